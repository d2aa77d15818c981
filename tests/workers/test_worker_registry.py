"""What proves a task gone, and each near miss."""

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


def make_registry(phase=PlacementPhase.SENT, open_start=False, session=1, seq=5):
    roster = WorkerRegistry(FencingToken(7))
    machine = roster.add(Machine(MachineId("i-1"), MachineKind("small", "east", True), None, Instant(0.0)))
    machine.proof.heartbeat_version = machine.proof.heartbeat_version._replace(incarnation=session, sequence=seq)
    placement = Placement(TASK, Attempt(2), machine.id, phase, Instant(0.0))
    machine.placements[TASK] = placement
    if open_start:
        roster.record_starts_sent(machine, session, [(TASK, Attempt(2))])
    return roster, machine, placement


def make_heartbeat(session=1, seq=6, token=7, tasks=()):
    return Heartbeat("i-1", "i-1:9000", "small", "east", True, session, seq, token, None, list(tasks))


def make_task_report(state, attempt=2, why=None):
    return TaskReport(str(TASK), attempt, state, why)


CASES = [
    # name, setting, report, expected change (None: nothing proven)
    ("newest report lacks it", {}, {}, TaskChange.GONE),
    ("inherited, newest report lacks it", {"phase": PlacementPhase.INHERITED}, {}, TaskChange.GONE),
    ("ended done", {}, {"tasks": [make_task_report(TaskState.EXITED, why="done")]}, TaskChange.DONE),
    ("ended with an error", {}, {"tasks": [make_task_report(TaskState.EXITED, why="error")]}, TaskChange.GONE),
    ("runs", {}, {"tasks": [make_task_report(TaskState.RUNNING)]}, TaskChange.RUNNING),
    ("waits for its gang, with its image", {}, {"tasks": [make_task_report(TaskState.WAITING)]}, TaskChange.WAITING),
    ("waits still", {"phase": PlacementPhase.WAITING}, {"tasks": [make_task_report(TaskState.WAITING)]}, None),
    ("older sequence", {}, {"seq": 4}, None),
    ("same sequence again", {}, {"seq": 5}, None),
    ("older session, higher sequence", {"session": 2}, {"session": 1, "seq": 99}, None),
    ("lower token", {}, {"token": 6}, None),
    ("open direct start", {"open_start": True}, {}, None),
    (
        "open direct start, refused",
        {"open_start": True},
        {"tasks": [make_task_report(TaskState.EXITED, why="full")]},
        TaskChange.GONE,
    ),
    ("open direct start of an earlier session", {"open_start": True}, {"session": 2, "seq": 1}, TaskChange.GONE),
    ("new session but a lower token", {"open_start": True}, {"session": 2, "seq": 1, "token": 0}, None),
    ("not sent yet", {"phase": PlacementPhase.STORED}, {}, None),
    ("not stored yet", {"phase": PlacementPhase.STORING}, {}, None),
    ("an older attempt ended", {}, {"tasks": [make_task_report(TaskState.EXITED, 1, "done")]}, TaskChange.GONE),
]


@pytest.mark.parametrize(("before", "said", "expected"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_proofs(before, said, expected):
    roster, machine, placement = make_registry(**before)
    outcomes = roster.apply_heartbeat(machine, make_heartbeat(**said), Instant(1.0)) or []
    assert [(o.change, o.placement) for o in outcomes] == ([(expected, placement)] if expected else [])


def test_a_higher_token_is_told():
    roster, machine, _ = make_registry()
    with pytest.raises(StaleTokenError):
        roster.apply_heartbeat(machine, make_heartbeat(token=8), Instant(1.0))


def test_an_ended_task_whose_start_is_open_is_never_offered_for_reaping():
    roster, machine, _ = make_registry(open_start=True)
    roster.apply_heartbeat(
        machine, make_heartbeat(tasks=[make_task_report(TaskState.EXITED, why="done")]), Instant(1.0)
    )
    assert machine.reported.exited == []
    roster.close_starts(machine, [(TASK, Attempt(2))])
    roster.apply_heartbeat(
        machine, make_heartbeat(seq=7, tasks=[make_task_report(TaskState.EXITED, why="done")]), Instant(2.0)
    )
    assert len(machine.reported.exited) == 1


@pytest.mark.parametrize("change", ["start", "attach", "session", "close"])
def test_a_report_like_the_last_one_is_looked_at_again_once_anything_else_changed(change):
    """An unchanged report is passed over for its cost; what it is compared with may change."""
    roster, machine, placement = make_registry(open_start=change == "close")
    if change != "close":
        machine.placements.clear()
    assert roster.apply_heartbeat(machine, make_heartbeat(), Instant(1.0)) == []
    assert roster.apply_heartbeat(machine, make_heartbeat(seq=7), Instant(2.0)) == []
    if change == "close":
        roster.close_starts(machine, [(TASK, Attempt(2))])
    else:
        roster.assign(machine, placement, msgspec.convert(job(), JobSpec))
    if change == "start":
        roster.record_starts_sent(machine, 1, [(TASK, Attempt(2))])
        assert roster.apply_heartbeat(machine, make_heartbeat(seq=8), Instant(3.0)) == []
        roster.close_starts(machine, [(TASK, Attempt(2))])
    version = {"session": 2, "seq": 1} if change == "session" else {"seq": 9}
    (outcome,) = roster.apply_heartbeat(machine, make_heartbeat(**version), Instant(4.0))
    assert outcome.change is TaskChange.GONE


def test_only_the_clouds_answer_clears_a_deleted_machine():
    roster, _, placement = make_registry()
    assert roster.remove(MachineId("i-1")) == [placement]
    assert roster.remove(MachineId("i-1")) == []
