"""When a term knows all tasks that run on machines."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from meadowcross.common.types import Instant
from meadowcross.leadership.machine_verification import CLOUD_LIST_MARGIN_S, MachineVerification
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.term_recovery import TermRecovery
from tests.support.terms import add_machine, build_state

STARTED_AT = 100.0


def build_verification(machine_count=3):
    clock = Clock()
    clock.advance(STARTED_AT)
    state = build_state(clock)
    machines = [add_machine(state, f"i-{number}") for number in range(machine_count)]
    trigger = PassTrigger(state.context, state.lifecycle)
    return clock, machines, trigger, MachineVerification(state, TermRecovery(None), trigger)


def test_state_is_complete_once_every_machine_has_confirmed_the_token_or_is_deleted():
    _, machines, trigger, verification = build_verification()
    assert verification.is_state_complete()
    verification.require_confirmations(machine.id for machine in machines)
    assert not verification.is_state_complete() and verification.unverified_count == 3
    assert all(machine.contact.hinted_contact_at == STARTED_AT for machine in machines)
    for machine in machines[:2]:
        verification.on_machine_verified(machine.id)
    assert not verification.is_state_complete() and not trigger.is_scheduled
    verification.on_machine_verified(machines[2].id)
    assert verification.is_state_complete() and trigger.is_scheduled


LISTS = [
    # seconds from the start of the term to the arrival of the list, and to its described time; whether it is accepted
    ("age unknown", 1.0, None, False),
    ("older than the term", 1.0, -1.0, False),
    ("newer than the term, within the margin", 2.0, CLOUD_LIST_MARGIN_S, False),
    ("newer than the term", 2.0, CLOUD_LIST_MARGIN_S + 0.1, True),
    ("received after the maximum lag", 6.1, None, True),
]


@pytest.mark.parametrize(
    ("received_after_s", "described_after_s", "is_accepted"), [row[1:] for row in LISTS], ids=[row[0] for row in LISTS]
)
def test_cloud_list_is_accepted_only_if_it_was_made_during_the_term(received_after_s, described_after_s, is_accepted):
    clock, _, trigger, verification = build_verification()
    verification.require_cloud_list()
    clock.advance(received_after_s)
    verification.on_cloud_list(Instant(STARTED_AT + described_after_s) if described_after_s is not None else None)
    assert verification.is_state_complete() == is_accepted == trigger.is_scheduled


def test_nine_of_ten_responses_are_enough_after_a_cold_start():
    _, machines, trigger, verification = build_verification(10)
    verification.require_confirmations(machine.id for machine in machines)
    verification.expect_responses(10)
    for machine in machines[:8]:
        verification.on_machine_verified(machine.id)
        verification.on_first_response()
    assert not verification.is_state_complete()
    verification.on_first_response()
    assert verification.is_state_complete() and trigger.is_scheduled
