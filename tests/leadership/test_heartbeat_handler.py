"""Responses to heartbeats that arrive before a term has loaded its state."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from msgspec import Raw
from twisted.internet.task import Clock

from meadowcross.autoscaling.messages import encode
from meadowcross.leadership.heartbeat_handler import CancellationsBeforeLoad, HeartbeatHandler
from meadowcross.leadership.term_recovery import TermRecovery
from meadowcross.workers.messages import decode_heartbeat
from tests.support.terms import build_state
from tests.support.world import job


def build_heartbeat(token=1, task_state="running"):
    fields = {"stall": "i-1", "addr": "10.0.0.1:9000", "build": "small", "field": "east", "stubble": False}
    task = {"head": "wk-000001/0", "round": 1, "standing": task_state}
    return decode_heartbeat(encode(fields | {"tenure": 1, "tally": 1, "crook": token, "heads": [task]}))


def build_replica(cancelled_at):
    record = {"spec": job(), "t": 1.0, "k": 256} | ({"c": cancelled_at} if cancelled_at is not None else {})
    item = SimpleNamespace(value=Raw(encode(record)))
    return SimpleNamespace(get={"j/wk-000001": item}.get)


def build_handler(cancellations):
    """A handler of a term that has not loaded its state."""
    state = build_state(Clock(), is_loaded=False)
    return HeartbeatHandler(state, None, None, None, cancellations, TermRecovery(None))


STOPS = [
    # time of the cancellation in the replica, whether a peer announced it, the task's state, number of stops
    ("not cancelled", None, False, "running", 0),
    ("cancelled in the replica", 5.0, False, "running", 1),
    ("announced by a peer", None, True, "running", 1),
    ("task has ended", 5.0, True, "ended", 0),
]


@pytest.mark.parametrize(
    ("cancelled_at", "is_announced", "task_state", "stop_count"),
    [row[1:] for row in STOPS],
    ids=[row[0] for row in STOPS],
)
def test_known_cancellations_stop_tasks_before_the_state_is_loaded(cancelled_at, is_announced, task_state, stop_count):
    cancellations = CancellationsBeforeLoad(build_replica(cancelled_at), lambda job_id: is_announced)
    handler = HeartbeatHandler(
        build_state(Clock(), is_loaded=False), None, None, None, cancellations, TermRecovery(None)
    )
    response = handler.handle(build_heartbeat(task_state=task_state))
    assert response.token == 1
    assert [(c.op, c.task, c.attempt, c.grace_s) for c in response.commands] == [
        ("stop", "wk-000001/0", 1, 0.0)
    ] * stop_count


def test_worker_with_a_higher_token_gets_no_response():
    cancellations = CancellationsBeforeLoad(None, lambda job_id: False)
    handler = HeartbeatHandler(
        build_state(Clock(), is_loaded=False), None, None, None, cancellations, TermRecovery(None)
    )
    assert handler.handle(build_heartbeat(token=2)) is None
