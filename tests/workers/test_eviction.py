"""Which tasks are stopped before a reclaim or during a drain, and which cancellations are overdue."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.types import Instant, MachineId, MachineKind, Revision, WallTime
from meadowcross.estimates.estimators import MeanRatioEstimator
from meadowcross.jobs.job_table import JobTable, PlacementPhase
from meadowcross.jobs.messages import JobRecord, JobSpec
from meadowcross.workers.eviction import overdue_cancellations, plan_drain_evictions, plan_reclaim_evictions
from meadowcross.workers.machine import Machine
from tests.support.step_counter import count_steps
from tests.support.world import job

NOW = Instant(100.0)

RECLAIM_EVICTIONS = [
    # name, changes of the job, phase, start of the run, seconds until the reclaim; grace of each expected eviction
    ("saves a checkpoint in time", {"stookS": 10.0, "baleS": 4.0}, PlacementPhase.RUNNING, 90.0, 12.0, [12.0]),
    ("no time to save", {"stookS": 10.0, "baleS": 4.0}, PlacementPhase.RUNNING, 90.0, 3.0, []),
    ("may end in time", {}, PlacementPhase.RUNNING, 90.0, 14.0, []),
    ("can't end in time", {}, PlacementPhase.RUNNING, 90.0, 13.0, [0.0]),
    ("still fetching", {}, PlacementPhase.FETCHING, None, 1.0, []),
    ("checkpoint in progress", {"stookS": 10.0, "baleS": 4.0}, PlacementPhase.CHECKPOINTING, 90.0, 12.0, []),
    (
        "a gang saves together",
        {"breed": "group", "heads": 3, "stookS": 10.0},
        PlacementPhase.RUNNING,
        90.0,
        12.0,
        [12.0] * 3,
    ),
    ("a gang without checkpoints", {"breed": "group", "heads": 3}, PlacementPhase.RUNNING, 90.0, 1.0, []),
    ("no notice", {"stookS": 10.0}, PlacementPhase.RUNNING, 90.0, None, []),
]


def test_eviction_notice_for_a_large_gang_does_not_take_its_members_squared():
    """Guards against a leader that loses its lease by listing all members anew for each member on the machine."""
    member_count = 2_000
    changes = {"breed": "group", "heads": member_count, "stookS": 10.0, "baleS": 4.0}
    job_table, gang, machine = place_job(changes, PlacementPhase.RUNNING, 0.0)
    machine.placements.update((placement.task, placement) for placement in gang.placements.values())
    machine.reclaim_at = Instant(NOW + 60.0)
    evictions = []
    limit = 100 * member_count
    count_steps(lambda: evictions.extend(plan_reclaim_evictions(machine, job_table, MeanRatioEstimator(), NOW)), limit)
    assert [placement for placement, _ in evictions] == list(gang.placements.values())


def place_job(changes, phase, running_at):
    """Return a job table, its only job, and the machine of the job's first task; other tasks are on other machines."""
    job_table = JobTable()
    spec = msgspec.convert(job(**{"heads": 1, **changes}), JobSpec)
    submitted = job_table.add(JobRecord(spec, WallTime(0.0)), Revision(1))
    machine = Machine(MachineId("i-0"), MachineKind("small", "east", True), None, NOW)
    for index in range(spec.tasks):
        placement = job_table.place(submitted, submitted.pop_waiting_task(), MachineId(f"i-{index}"), Instant(0.0))
        placement.phase, placement.running_at = phase, running_at
        if index == 0:
            machine.placements[placement.task] = placement
    return job_table, submitted, machine


@pytest.mark.parametrize(
    ("changes", "phase", "running_at", "remaining_s", "graces_s"),
    [case[1:] for case in RECLAIM_EVICTIONS],
    ids=[case[0] for case in RECLAIM_EVICTIONS],
)
def test_reclaim_stops_tasks_that_save_or_cannot_end_in_time(changes, phase, running_at, remaining_s, graces_s):
    job_table, _, machine = place_job(changes, phase, running_at)
    machine.reclaim_at = None if remaining_s is None else Instant(NOW + remaining_s)
    assert [grace_s for _, grace_s in plan_reclaim_evictions(machine, job_table, MeanRatioEstimator(), NOW)] == graces_s


CANCELLATIONS = [
    # name, instant of the cancellation, number of placements, expected number of overdue cancellations
    ("not cancelled", None, 1, 0),
    ("cancelled recently", 90.0, 1, 0),
    ("cancelled long ago", 80.0, 1, 1),
    ("cancelled long ago, without placements", 80.0, 0, 0),
]


@pytest.mark.parametrize(
    ("cancelled_at", "placement_count", "overdue_count"),
    [case[1:] for case in CANCELLATIONS],
    ids=[case[0] for case in CANCELLATIONS],
)
def test_cancellation_with_placements_is_overdue_after_the_limit(cancelled_at, placement_count, overdue_count):
    job_table, submitted, _ = place_job({}, PlacementPhase.RUNNING, 50.0)
    submitted.cancelled_at = cancelled_at
    if not placement_count:
        submitted.placements.clear()
    assert len(overdue_cancellations(job_table.jobs.values(), NOW, 20.0)) == overdue_count


CHECKPOINTS = {"stookS": 10.0, "baleS": 4.0, "grazeS": 60.0}
DRAIN_EVICTIONS = [
    # name, changes of the job, phase, start of the run, grace of each expected eviction
    ("much run time left", CHECKPOINTS, PlacementPhase.RUNNING, 60.0, [9.0]),
    ("started recently", CHECKPOINTS, PlacementPhase.RUNNING, 71.0, []),
    ("about to end", CHECKPOINTS, PlacementPhase.RUNNING, 45.0, []),
    ("longer than expected: not about to end", CHECKPOINTS, PlacementPhase.RUNNING, 39.0, [9.0]),
    ("without checkpoints", {"grazeS": 60.0}, PlacementPhase.RUNNING, 60.0, []),
    ("a gang", {**CHECKPOINTS, "breed": "group"}, PlacementPhase.RUNNING, 60.0, []),
    ("checkpoint in progress", CHECKPOINTS, PlacementPhase.CHECKPOINTING, 60.0, []),
]


@pytest.mark.parametrize(
    ("changes", "phase", "running_at", "graces_s"),
    [case[1:] for case in DRAIN_EVICTIONS],
    ids=[case[0] for case in DRAIN_EVICTIONS],
)
def test_drain_stops_tasks_with_checkpoints_that_are_not_about_to_end(changes, phase, running_at, graces_s):
    job_table, _, machine = place_job(changes, phase, running_at)
    assert [grace_s for _, grace_s in plan_drain_evictions(machine, job_table, MeanRatioEstimator(), NOW)] == graces_s
