"""Tokens that one term gives to workers, and the starts that a worker still executes."""

from __future__ import annotations

import pytest

from meadowcross.common.types import (
    Attempt,
    FencingToken,
    Instant,
    JobId,
    MachineId,
    MachineKind,
    Revision,
    TaskId,
    compose_token,
)
from meadowcross.workers.fencing import TaskAttempt, TermTokens
from meadowcross.workers.machine import Machine
from meadowcross.workers.messages import Heartbeat
from meadowcross.workers.registry import StaleTokenError, WorkerRegistry

TERM = FencingToken(7)
START = TaskAttempt(TaskId(JobId("wk-000001"), 0), Attempt(2))


def make_registry(committed=None):
    """A registry with one machine that was sent a start; `committed`: revision of the term's last transaction."""
    registry = WorkerRegistry(TERM)
    machine = registry.add(Machine(MachineId("i-1"), MachineKind("small", "east", True), None, Instant(0.0)))
    registry.record_starts_sent(machine, 1, [START])
    registry.close_starts(machine, [START])
    if committed is not None:
        registry.tokens.record_commit(Revision(committed))
    return registry, machine


def make_heartbeat(token, incarnation=1, seq=6):
    return Heartbeat("i-1", "i-1:9000", "small", "east", True, incarnation, seq, FencingToken(token), None, [])


def test_attempt_is_not_reaped_under_the_token_that_started_it():
    registry, machine = make_registry()
    token = registry.token_to_reap(machine, [START])
    assert token == TERM and not machine.proof.fence.may_reap(START, token)


def test_token_is_raised_to_a_later_transaction_for_a_reap_only():
    registry, machine = make_registry(committed=9)
    assert registry.token_for(machine) == registry.token_to_reap(machine, []) == TERM
    token = registry.token_to_reap(machine, [START])
    assert token == registry.token_for(machine) == 9 and machine.proof.fence.may_reap(START, token)


def test_token_is_not_raised_while_a_request_is_in_flight():
    registry, machine = make_registry(committed=9)
    machine.proof.has_request_in_flight = True
    assert registry.token_to_reap(machine, [START]) == TERM
    machine.proof.has_request_in_flight = False
    assert registry.token_to_reap(machine, [START]) == 9


def test_start_repeated_under_a_raised_token_needs_a_higher_one():
    registry, machine = make_registry(committed=9)
    registry.token_to_reap(machine, [START])
    registry.record_starts_executable(machine, 1, [START])
    assert not machine.proof.fence.may_reap(START, registry.token_to_reap(machine, [START]))
    registry.tokens.record_commit(Revision(12))
    assert registry.token_to_reap(machine, [START]) == 12


REJECTED = [
    # token and incarnation that a status shows, and whether the worker rejects the start of token 7, incarnation 1
    ("same token", 7, 1, False),
    ("raised token", 9, 1, True),
    ("next incarnation", 7, 2, True),
]


@pytest.mark.parametrize(
    ("token", "incarnation", "is_rejected"), [row[1:] for row in REJECTED], ids=[row[0] for row in REJECTED]
)
def test_unanswered_start_is_closed_once_the_worker_has_shown_that_it_rejects_it(token, incarnation, is_rejected):
    registry, machine = make_registry(committed=9)
    registry.record_starts_sent(machine, 1, [START])
    registry.apply_heartbeat(machine, make_heartbeat(token, incarnation), Instant(1.0))
    assert machine.proof.has_open_start(*START) is not is_rejected
    assert (START in machine.proof.fence.executable_starts) is not is_rejected


def test_raised_token_is_of_this_term_and_a_higher_one_of_another_leader():
    registry, machine = make_registry(committed=9)
    assert registry.apply_heartbeat(machine, make_heartbeat(9), Instant(1.0)) == []
    assert machine.proof.has_confirmed_token
    with pytest.raises(StaleTokenError):
        registry.apply_heartbeat(machine, make_heartbeat(10, seq=7), Instant(2.0))


def test_raised_tokens_keep_the_store_epoch():
    tokens = TermTokens(compose_token(3, Revision(7)))
    tokens.record_commit(Revision(12))
    assert (
        tokens.newest == compose_token(3, Revision(12)) < compose_token(3, Revision(13)) < compose_token(4, Revision(1))
    )


def test_with_relays_a_token_is_issued_only_after_the_next_announcement():
    tokens = TermTokens(TERM)
    assert tokens.announce(has_relays=True) == TERM
    tokens.record_commit(Revision(9))
    assert tokens.issuable == TERM
    assert tokens.announce(has_relays=True) == 9 and tokens.issuable == TERM
    tokens.record_commit(Revision(12))
    assert tokens.announce(has_relays=True) == 12 and tokens.issuable == 9
    assert tokens.announce(has_relays=False) == 12 and tokens.issuable == 12
