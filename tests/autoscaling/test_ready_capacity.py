"""Idle machines and scale-out where no objective lets jobs wait for cheaper capacity."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.settings import Objective
from meadowcross.jobs.objectives import may_wait_for_cheaper_capacity

COST_CASES = [
    ("no objectives", [], True),
    ("a deadline objective", [Objective("wait", "train"), Objective("deadline", "train", times=1.0)], True),
    (
        "only objectives counted from the submission",
        [Objective("wait", "train"), Objective("finished", "train")],
        False,
    ),
    ("objective of unknown kind", [Objective("elegance", "train")], False),
]


@pytest.mark.parametrize(
    ("objectives", "may_wait"), [case[1:] for case in COST_CASES], ids=[case[0] for case in COST_CASES]
)
def test_jobs_may_wait_for_cheaper_capacity_with_a_deadline_objective_or_no_objective(objectives, may_wait):
    assert may_wait_for_cheaper_capacity(objectives) is may_wait


def set_objectives(world, *objectives):
    facts = msgspec.structs.replace(world.settings.facts, objectives=list(objectives))
    world.settings = msgspec.structs.replace(world.settings, facts=facts)


@pytest.mark.parametrize(("objective_kind", "kept_count"), [("deadline", 0), ("wait", 1)])
def test_idle_machines_are_kept_if_no_objective_is_a_deadline(world, objective_kind, kept_count):
    """Guards against deleting idle on-demand machines as expensive and booting them again for the next job."""
    set_objectives(world, Objective(objective_kind, "train", within_s=15.0, times=1.0))
    world.lead()
    world.submit(heads=1, stubble=False)
    world.pass_time(8.0)
    (worker,) = (w for w in world.workers.values() if w.tasks)
    for key in list(worker.tasks):
        worker.end(key)
    world.pass_time(120.0, 0.25)
    assert len(world.workers) == kept_count
    world.pass_time(world.operator.ready_keep_s, 1.0)
    assert not world.workers, "no machine is kept after `ready_keep_s`"


SCALE_OUT_CASES = [
    # name, kind of objective, changes of the running job, machines created for a job that does not fit
    ("deadline: waits for a task about to end", "deadline", {"grazeS": 10.0}, 0),
    ("no deadline: creates a machine at once", "wait", {"grazeS": 10.0}, 1),
    ("deadline, but a service does not end", "deadline", {"grazeS": 0.0, "breed": "daemon", "herd": "web"}, 1),
]


@pytest.mark.parametrize(
    ("objective_kind", "running_job_changes", "created_count"),
    [case[1:] for case in SCALE_OUT_CASES],
    ids=[case[0] for case in SCALE_OUT_CASES],
)
def test_scale_out_waits_for_ending_tasks_only_if_cost_counts(
    world, objective_kind, running_job_changes, created_count
):
    """Guards against jobs that wait too long for running tasks.

    An array waited for minutes for tasks that were always about to end, and for services, whose estimate is 0.
    """
    set_objectives(world, Objective(objective_kind, "train", within_s=15.0, times=1.0))
    world.types = [msgspec.structs.replace(machine_type, boot_s=40.0) for machine_type in world.types]
    world.lead()
    world.submit(heads=1, cpus=4.0, builds=["small"], sundownS=None, **running_job_changes)
    world.pass_time(3.0)
    count_before = len(world.workers)
    world.submit(id="wk-000002", heads=1, cpus=4.0, builds=["small"], grazeS=10.0, sundownS=None)
    world.pass_time(1.0)
    assert len(world.workers) - count_before == created_count
