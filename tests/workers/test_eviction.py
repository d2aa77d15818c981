"""What must leave a machine before it is taken back, and cancels that stops don't clear."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.types import Instant, MachineId, MachineKind, Revision, WallTime
from meadowcross.estimates.runs import MeanRuns
from meadowcross.jobs.job_table import JobTable, PlacementPhase
from meadowcross.jobs.messages import JobRecord, JobSpec
from meadowcross.workers.eviction import overdue_cancellations, plan_drain_evictions, plan_reclaim_evictions
from meadowcross.workers.machine import Machine
from tests.support.world import job

NOW = Instant(100.0)

RECLAIM_EVICTIONS = [
    # name, changes of the job, phase, when it began to run, seconds left; stops: the grace of each
    ("saves in the time left", {"stookS": 10.0, "baleS": 4.0}, PlacementPhase.RUNNING, 90.0, 12.0, [12.0]),
    ("no time to save", {"stookS": 10.0, "baleS": 4.0}, PlacementPhase.RUNNING, 90.0, 3.0, []),
    ("may end in time", {}, PlacementPhase.RUNNING, 90.0, 14.0, []),
    ("can't end in time", {}, PlacementPhase.RUNNING, 90.0, 13.0, [0.0]),
    ("still fetching", {}, PlacementPhase.FETCHING, None, 1.0, []),
    ("saves already", {"stookS": 10.0, "baleS": 4.0}, PlacementPhase.CHECKPOINTING, 90.0, 12.0, []),
    (
        "a gang saves together",
        {"breed": "group", "heads": 3, "stookS": 10.0},
        PlacementPhase.RUNNING,
        90.0,
        12.0,
        [12.0] * 3,
    ),
    ("a gang that can't save stays", {"breed": "group", "heads": 3}, PlacementPhase.RUNNING, 90.0, 1.0, []),
    ("no notice", {"stookS": 10.0}, PlacementPhase.RUNNING, 90.0, None, []),
]


def make_machine(changes, phase, running_at):
    book = JobTable()
    spec = msgspec.convert(job(**{"heads": 1, **changes}), JobSpec)
    submitted = book.add(JobRecord(spec, WallTime(0.0)), Revision(1))
    machine = Machine(MachineId("i-0"), MachineKind("small", "east", True), None, NOW)
    for index in range(spec.tasks):
        placement = book.place(submitted, submitted.pop_waiting_task(), MachineId(f"i-{index}"), Instant(0.0))
        placement.phase, placement.running_at = phase, running_at
        if index == 0:
            machine.placements[placement.task] = placement
    return book, submitted, machine


@pytest.mark.parametrize(
    ("changes", "phase", "running_at", "left", "graces"),
    [c[1:] for c in RECLAIM_EVICTIONS],
    ids=[c[0] for c in RECLAIM_EVICTIONS],
)
def test_what_leaves_a_machine_with_a_notice(changes, phase, running_at, left, graces):
    book, _, machine = make_machine(changes, phase, running_at)
    machine.reclaim_at = None if left is None else Instant(NOW + left)
    assert [grace for _, grace in plan_reclaim_evictions(machine, book, MeanRuns(), NOW)] == graces


CANCELS = [
    ("not cancelled", None, 1, 0),
    ("cancelled lately", 90.0, 1, 0),
    ("cancelled long ago", 80.0, 1, 1),
    ("cancelled long ago, but nothing is placed", 80.0, 0, 0),
]


@pytest.mark.parametrize(("cancelled", "placed", "late"), [c[1:] for c in CANCELS], ids=[c[0] for c in CANCELS])
def test_late_cancels(cancelled, placed, late):
    book, submitted, _ = make_machine({}, PlacementPhase.RUNNING, 50.0)
    submitted.cancelled_at = cancelled
    if not placed:
        submitted.placements.clear()
    assert len(overdue_cancellations(book.jobs.values(), NOW, 20.0)) == late


SAVES = {"stookS": 10.0, "baleS": 4.0, "grazeS": 60.0}
DRAIN_EVICTIONS = [
    ("settled, much left", SAVES, PlacementPhase.RUNNING, 60.0, [9.0]),
    ("started just now", SAVES, PlacementPhase.RUNNING, 71.0, []),
    ("about to end", SAVES, PlacementPhase.RUNNING, 45.0, []),
    ("longer than expected: not about to end", SAVES, PlacementPhase.RUNNING, 39.0, [9.0]),
    ("can't save", {"grazeS": 60.0}, PlacementPhase.RUNNING, 60.0, []),
    ("a gang", {**SAVES, "breed": "group"}, PlacementPhase.RUNNING, 60.0, []),
    ("saves already", SAVES, PlacementPhase.CHECKPOINTING, 60.0, []),
]


@pytest.mark.parametrize(
    ("changes", "phase", "running_at", "graces"), [c[1:] for c in DRAIN_EVICTIONS], ids=[c[0] for c in DRAIN_EVICTIONS]
)
def test_what_moves_off_a_draining_machine(changes, phase, running_at, graces):
    book, _, machine = make_machine(changes, phase, running_at)
    assert [grace for _, grace in plan_drain_evictions(machine, book, MeanRuns(), NOW)] == graces
