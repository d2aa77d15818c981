"""What proves a task gone, and each near miss."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.types import Attempt, Instant, JobId, MachineId, MachineKind, TaskId, Token
from meadowcross.jobs.book import Phase, Placement
from meadowcross.jobs.messages import JobSpec
from meadowcross.workers.messages import Report, TaskReport, TaskState
from meadowcross.workers.roster import Change, HigherToken, Machine, Roster
from tests.conftest import job

TASK = TaskId(JobId("wk-000001"), 0)


def setting(phase=Phase.SENT, open_start=False, session=1, seq=5):
    roster = Roster(Token(7))
    machine = roster.add(Machine(MachineId("i-1"), MachineKind("small", "east", True), None, Instant(0.0)))
    machine.version = machine.version._replace(session=session, seq=seq)
    placement = Placement(TASK, Attempt(2), machine.id, phase, Instant(0.0))
    machine.placements[TASK] = placement
    if open_start:
        roster.starts_sent(machine, session, [(TASK, Attempt(2))])
    return roster, machine, placement


def report(session=1, seq=6, token=7, tasks=()):
    return Report("i-1", "i-1:9000", "small", "east", True, session, seq, token, None, list(tasks))


def head(state, attempt=2, why=None):
    return TaskReport(str(TASK), attempt, state, why)


CASES = [
    # name, setting, report, expected change (None: nothing proven)
    ("newest report lacks it", {}, {}, Change.GONE),
    ("inherited, newest report lacks it", {"phase": Phase.INHERITED}, {}, Change.GONE),
    ("ended done", {}, {"tasks": [head(TaskState.EXITED, why="done")]}, Change.DONE),
    ("ended with an error", {}, {"tasks": [head(TaskState.EXITED, why="error")]}, Change.GONE),
    ("runs", {}, {"tasks": [head(TaskState.RUNNING)]}, Change.RUNS),
    ("waits for its gang, with its image", {}, {"tasks": [head(TaskState.WAITING)]}, Change.WAITS),
    ("waits still", {"phase": Phase.WAITING}, {"tasks": [head(TaskState.WAITING)]}, None),
    ("older sequence", {}, {"seq": 4}, None),
    ("same sequence again", {}, {"seq": 5}, None),
    ("older session, higher sequence", {"session": 2}, {"session": 1, "seq": 99}, None),
    ("lower token", {}, {"token": 6}, None),
    ("open direct start", {"open_start": True}, {}, None),
    ("open direct start, refused", {"open_start": True}, {"tasks": [head(TaskState.EXITED, why="full")]}, Change.GONE),
    ("open direct start of an earlier session", {"open_start": True}, {"session": 2, "seq": 1}, Change.GONE),
    ("new session but a lower token", {"open_start": True}, {"session": 2, "seq": 1, "token": 0}, None),
    ("not sent yet", {"phase": Phase.STORED}, {}, None),
    ("not stored yet", {"phase": Phase.STORING}, {}, None),
    ("an older attempt ended", {}, {"tasks": [head(TaskState.EXITED, 1, "done")]}, Change.GONE),
]


@pytest.mark.parametrize(("before", "said", "expected"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_proofs(before, said, expected):
    roster, machine, placement = setting(**before)
    outcomes = roster.apply(machine, report(**said), Instant(1.0)) or []
    assert [(o.change, o.placement) for o in outcomes] == ([(expected, placement)] if expected else [])


def test_a_higher_token_is_told():
    roster, machine, _ = setting()
    with pytest.raises(HigherToken):
        roster.apply(machine, report(token=8), Instant(1.0))


def test_an_ended_task_whose_start_is_open_is_never_offered_for_reaping():
    roster, machine, _ = setting(open_start=True)
    roster.apply(machine, report(tasks=[head(TaskState.EXITED, why="done")]), Instant(1.0))
    assert machine.exited == []
    roster.starts_closed(machine, [(TASK, Attempt(2))])
    roster.apply(machine, report(seq=7, tasks=[head(TaskState.EXITED, why="done")]), Instant(2.0))
    assert len(machine.exited) == 1


@pytest.mark.parametrize("change", ["start", "attach", "session", "close"])
def test_a_report_like_the_last_one_is_looked_at_again_once_anything_else_changed(change):
    """An unchanged report is passed over for its cost; what it is compared with may change."""
    roster, machine, placement = setting(open_start=change == "close")
    if change != "close":
        machine.placements.clear()
    assert roster.apply(machine, report(), Instant(1.0)) == []
    assert roster.apply(machine, report(seq=7), Instant(2.0)) == []
    if change == "close":
        roster.starts_closed(machine, [(TASK, Attempt(2))])
    else:
        roster.attach(machine, placement, msgspec.convert(job(), JobSpec))
    if change == "start":
        roster.starts_sent(machine, 1, [(TASK, Attempt(2))])
        assert roster.apply(machine, report(seq=8), Instant(3.0)) == []
        roster.starts_closed(machine, [(TASK, Attempt(2))])
    version = {"session": 2, "seq": 1} if change == "session" else {"seq": 9}
    (outcome,) = roster.apply(machine, report(**version), Instant(4.0))
    assert outcome.change is Change.GONE


def test_only_the_clouds_answer_clears_a_deleted_machine():
    roster, _, placement = setting()
    assert roster.deleted(MachineId("i-1")) == [placement]
    assert roster.deleted(MachineId("i-1")) == []
