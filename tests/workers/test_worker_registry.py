"""Which status proves a placement gone, done or running, and which similar status proves nothing."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.types import Attempt, FencingToken, Instant, JobId, MachineId, MachineKind, TaskId
from meadowcross.jobs.job_table import Placement, PlacementPhase
from meadowcross.jobs.messages import JobSpec
from meadowcross.workers.machine import Machine
from meadowcross.workers.messages import Heartbeat, TaskReport, TaskState
from meadowcross.workers.registry import StaleTokenError, TaskChange, WorkerRegistry
from tests.support.world import job

TASK = TaskId(JobId("wk-000001"), 0)


def make_registry(phase=PlacementPhase.SENT, open_start=False, incarnation=1, seq=5):
    registry = WorkerRegistry(FencingToken(7))
    machine = registry.add(Machine(MachineId("i-1"), MachineKind("small", "east", True), None, Instant(0.0)))
    machine.proof.heartbeat_version = machine.proof.heartbeat_version._replace(incarnation=incarnation, sequence=seq)
    placement = Placement(TASK, Attempt(2), machine.id, phase, Instant(0.0))
    machine.placements[TASK] = placement
    if open_start:
        registry.record_starts_sent(machine, incarnation, [(TASK, Attempt(2))])
    return registry, machine, placement


def make_heartbeat(incarnation=1, seq=6, token=7, tasks=()):
    return Heartbeat("i-1", "i-1:9000", "small", "east", True, incarnation, seq, token, None, list(tasks))


def make_task_report(state, attempt=2, exit_reason=None):
    return TaskReport(str(TASK), attempt, state, exit_reason)


CASES = [
    # name, state of the registry, heartbeat, expected change (None: nothing is proven)
    ("newest status lacks the task", {}, {}, TaskChange.GONE),
    ("inherited, newest status lacks the task", {"phase": PlacementPhase.INHERITED}, {}, TaskChange.GONE),
    ("ended as done", {}, {"tasks": [make_task_report(TaskState.EXITED, exit_reason="done")]}, TaskChange.DONE),
    ("ended with an error", {}, {"tasks": [make_task_report(TaskState.EXITED, exit_reason="error")]}, TaskChange.GONE),
    ("running", {}, {"tasks": [make_task_report(TaskState.RUNNING)]}, TaskChange.RUNNING),
    ("waiting for its gang", {}, {"tasks": [make_task_report(TaskState.WAITING)]}, TaskChange.WAITING),
    ("still waiting", {"phase": PlacementPhase.WAITING}, {"tasks": [make_task_report(TaskState.WAITING)]}, None),
    ("older sequence", {}, {"seq": 4}, None),
    ("same sequence again", {}, {"seq": 5}, None),
    ("older incarnation, higher sequence", {"incarnation": 2}, {"incarnation": 1, "seq": 99}, None),
    ("lower token", {}, {"token": 6}, None),
    ("open start", {"open_start": True}, {}, None),
    (
        "open start, rejected by the worker",
        {"open_start": True},
        {"tasks": [make_task_report(TaskState.EXITED, exit_reason="full")]},
        TaskChange.GONE,
    ),
    ("open start of an earlier incarnation", {"open_start": True}, {"incarnation": 2, "seq": 1}, TaskChange.GONE),
    ("new incarnation, lower token", {"open_start": True}, {"incarnation": 2, "seq": 1, "token": 0}, None),
    ("not sent yet", {"phase": PlacementPhase.STORED}, {}, None),
    ("not stored yet", {"phase": PlacementPhase.STORING}, {}, None),
    ("an older attempt ended", {}, {"tasks": [make_task_report(TaskState.EXITED, 1, "done")]}, TaskChange.GONE),
]


@pytest.mark.parametrize(
    ("registry_state", "heartbeat", "expected_change"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
def test_change_that_a_status_proves(registry_state, heartbeat, expected_change):
    registry, machine, placement = make_registry(**registry_state)
    outcomes = registry.apply_heartbeat(machine, make_heartbeat(**heartbeat), Instant(1.0)) or []
    assert [(outcome.change, outcome.placement) for outcome in outcomes] == (
        [(expected_change, placement)] if expected_change else []
    )


def test_higher_token_raises_stale_token_error():
    registry, machine, _ = make_registry()
    with pytest.raises(StaleTokenError):
        registry.apply_heartbeat(machine, make_heartbeat(token=8), Instant(1.0))


def test_ended_task_with_an_open_start_is_not_offered_for_reaping():
    registry, machine, _ = make_registry(open_start=True)
    registry.apply_heartbeat(
        machine, make_heartbeat(tasks=[make_task_report(TaskState.EXITED, exit_reason="done")]), Instant(1.0)
    )
    assert machine.reported.exited == []
    registry.close_starts(machine, [(TASK, Attempt(2))])
    registry.apply_heartbeat(
        machine, make_heartbeat(seq=7, tasks=[make_task_report(TaskState.EXITED, exit_reason="done")]), Instant(2.0)
    )
    assert len(machine.reported.exited) == 1


@pytest.mark.parametrize("change", ["start", "assign", "incarnation", "close"])
def test_unchanged_status_is_compared_again_after_another_change(change):
    """Guards against a status that is skipped because its tasks are unchanged, although the placements have changed."""
    registry, machine, placement = make_registry(open_start=change == "close")
    if change != "close":
        machine.placements.clear()
    assert registry.apply_heartbeat(machine, make_heartbeat(), Instant(1.0)) == []
    assert registry.apply_heartbeat(machine, make_heartbeat(seq=7), Instant(2.0)) == []
    if change == "close":
        registry.close_starts(machine, [(TASK, Attempt(2))])
    else:
        registry.assign(machine, placement, msgspec.convert(job(), JobSpec))
    if change == "start":
        registry.record_starts_sent(machine, 1, [(TASK, Attempt(2))])
        assert registry.apply_heartbeat(machine, make_heartbeat(seq=8), Instant(3.0)) == []
        registry.close_starts(machine, [(TASK, Attempt(2))])
    version = {"incarnation": 2, "seq": 1} if change == "incarnation" else {"seq": 9}
    (outcome,) = registry.apply_heartbeat(machine, make_heartbeat(**version), Instant(4.0))
    assert outcome.change is TaskChange.GONE


def test_removing_a_machine_returns_its_placements_once():
    registry, _, placement = make_registry()
    assert registry.remove(MachineId("i-1")) == [placement]
    assert registry.remove(MachineId("i-1")) == []
