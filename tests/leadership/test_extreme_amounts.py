"""Well-formed jobs with the smallest and largest amounts run like any other job and don't delay other jobs."""

from __future__ import annotations

from math import inf, isfinite

import pytest
from twisted.internet.task import Clock

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import Instant
from meadowcross.estimates.run_time_model import RunFeatures, RunTimeModel
from meadowcross.estimates.samples import SampleCollector
from meadowcross.jobs.job_table import PlacementPhase
from meadowcross.placement.model import UNBOUNDED_TASKS, QuotaHeadroom, bounded_count, count_slots
from tests.support.terms import add_job, add_machine, build_state, place_task

SMALLEST = 5e-324
"""The smallest positive float."""
UNSET_CPUS = 6.9e-310
"""The value of a float that was never set and holds the bits of a pointer; seen in a review of accepted jobs."""
LARGEST = 1e9
"""The largest amount that a submission may state."""

EXTREME_JOBS = [
    ("CPUs of an unset float", {"cpus": UNSET_CPUS}),
    ("smallest CPUs", {"cpus": SMALLEST}),
    ("smallest CPUs of a gang", {"cpus": SMALLEST, "breed": "group"}),
    ("smallest CPUs of a spread service", {"cpus": SMALLEST, "breed": "daemon", "scatter": True}),
    ("smallest CPUs in one zone", {"cpus": SMALLEST, "oneZone": True}),
    ("smallest GPUs", {"gpus": SMALLEST}),
    ("smallest memory", {"memoryGb": SMALLEST}),
    ("smallest of every resource", {"cpus": SMALLEST, "gpus": SMALLEST, "memoryGb": SMALLEST}),
    ("no GPUs and no memory beside the smallest CPUs", {"cpus": SMALLEST, "gpus": 0.0, "memoryGb": 0.0}),
    ("shortest checkpoint interval", {"stookS": SMALLEST, "baleS": SMALLEST}),
    ("longest checkpoint interval and save", {"stookS": LARGEST, "baleS": LARGEST}),
    ("shortest estimate", {"grazeS": SMALLEST}),
    ("longest estimate", {"grazeS": LARGEST}),
    ("shortest deadline", {"sundownS": SMALLEST}),
    ("no time until the deadline", {"sundownS": 0.0}),
    ("longest deadline", {"sundownS": LARGEST}),
    ("smallest image", {"pullGb": SMALLEST}),
    ("largest image", {"pullGb": LARGEST}),
]


def build_state_at(seconds):
    clock = Clock()
    clock.advance(seconds)
    return build_state(clock)


def end_all_tasks(world, reason):
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key, reason)


def tasks_of(world, job_id):
    return [task for task in world.running() if task.startswith(job_id)]


@pytest.mark.parametrize("learned_estimates", [0.0, 2.0], ids=["means", "learned"])
@pytest.mark.parametrize("changes", [case[1] for case in EXTREME_JOBS], ids=[case[0] for case in EXTREME_JOBS])
def test_job_with_an_extreme_amount_delays_no_other_job(world, changes, learned_estimates):
    """Guards against a quotient of amounts that is infinite: one such job once stopped every placement pass."""
    world.operator = OperatorSettings(learned_estimates=learned_estimates)
    world.lead()
    assert world.submit(steward="a", **changes).status == 201
    world.pass_time(4.0)
    assert len(tasks_of(world, "wk-000001")) == 2
    # An interrupted attempt is learned from, and its checkpointed progress counts for the next one.
    end_all_tasks(world, "stopped")
    world.pass_time(4.0)
    assert len(tasks_of(world, "wk-000001")) == 2
    assert world.submit(id="wk-000002", steward="a", rank="urgent").status == 201
    assert world.submit(id="wk-000003", heads=12).status == 201
    world.pass_time(8.0)
    assert len(tasks_of(world, "wk-000002")) == 2 and len(tasks_of(world, "wk-000003")) == 12
    end_all_tasks(world, "done")
    world.pass_time(4.0)
    assert all(world.state.value(f"e/wk-{number:06d}")["s"] == "done" for number in (1, 2, 3))


def test_next_leader_places_other_jobs_beside_one_with_an_extreme_amount(world):
    """Guards against a fault that every leader meets again, since the job is stored."""
    world.lead()
    world.cloud.full = True
    assert world.submit(steward="a", cpus=UNSET_CPUS).status == 201
    world.pass_time(2.0)
    world.election.step_down("test")
    world.pass_time(1.0)
    world.cloud.full = False
    assert world.submit(id="wk-000002").status == 201
    world.pass_time(20.0)
    assert len(tasks_of(world, "wk-000001")) == 2 and len(tasks_of(world, "wk-000002")) == 2


COUNTS = [
    ("whole", 3.0, 3),
    ("rounded down", 3.9, 3),
    ("negative", -0.5, 0),
    ("infinite", inf, UNBOUNDED_TASKS),
    ("negative and infinite", -inf, 0),
    ("larger than any float", 1.7e308, UNBOUNDED_TASKS),
]


@pytest.mark.parametrize(("quotient", "count"), [case[1:] for case in COUNTS], ids=[case[0] for case in COUNTS])
def test_count_of_tasks_is_bounded(quotient, count):
    assert bounded_count(quotient) == count


@pytest.mark.parametrize("amount", [SMALLEST, UNSET_CPUS, 1e-30])
def test_number_of_tasks_that_fit_is_finite_for_the_smallest_amounts(amount):
    spec = add_job(build_state_at(0.0), cpus=amount, gpus=amount, memoryGb=amount).spec
    assert count_slots(spec, 64.0, 2.0, 256.0) == UNBOUNDED_TASKS
    assert count_slots(spec, 64.0, 0.0, 256.0) == 0
    assert count_slots(spec, -1.0, 2.0, 256.0) == 0
    assert QuotaHeadroom(80.0, 8.0).max_tasks(spec) == UNBOUNDED_TASKS


@pytest.mark.parametrize("interval_s", [SMALLEST, UNSET_CPUS, 7.0, LARGEST])
def test_checkpointed_progress_is_at_most_the_run_time(interval_s):
    """Guards against infinite progress, which made every forecast of the task's end fail."""
    state = build_state_at(100.0)
    job = add_job(state, stookS=interval_s)
    placement = place_task(state, job, add_machine(state))
    placement.phase, placement.running_at = PlacementPhase.RUNNING, Instant(100.0)
    SampleCollector([]).on_task_interrupted(job, placement, False, None, Instant(110.0))
    progress_s = job.checkpointed_progress[placement.task.number]
    assert progress_s == pytest.approx({7.0: 7.0, LARGEST: 0.0}.get(interval_s, 10.0))


def test_shortest_estimate_leaves_the_predictions_of_other_jobs_finite():
    """Guards against ratios of run times to an estimate near 0, which all jobs of the class and the team share."""
    model = RunTimeModel(build_state_at(0.0).context.clock)
    for number in range(20):
        model.learn_completed(RunFeatures("train", "a", "", "", SMALLEST, f"wk-{number:06d}"), 10.0)
    entry = model.curve(RunFeatures("train", "a", "", "", 10.0, "wk-000100"))
    assert all(isfinite(value) for value in entry.log_quantiles)
    assert model.curve(RunFeatures("other", "a", "", "", 10.0, "wk-000200")).quantile(0.5) < LARGEST
