"""When a term knows all that runs."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from meadowcross.common.types import Instant
from meadowcross.leadership.machine_verification import CLOUD_LIST_MARGIN_S, MachineVerification
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.term_recovery import TermRecovery
from tests.support.terms import add_machine, build_state

BEGAN_AT = 100.0


def build_verification(machine_count=3):
    clock = Clock()
    clock.advance(BEGAN_AT)
    state = build_state(clock)
    machines = [add_machine(state, f"i-{number}") for number in range(machine_count)]
    trigger = PassTrigger(state.context, state.lifecycle)
    return clock, machines, trigger, MachineVerification(state, TermRecovery(None), trigger)


def test_the_state_is_complete_once_every_machine_has_answered_or_is_gone():
    _, machines, trigger, verification = build_verification()
    assert verification.is_state_complete()
    verification.require_answers(machine.id for machine in machines)
    assert not verification.is_state_complete() and verification.unverified_count == 3
    assert all(machine.contact.hinted_contact_at == BEGAN_AT for machine in machines)
    for machine in machines[:2]:
        verification.on_machine_verified(machine.id)
    assert not verification.is_state_complete() and not trigger.is_scheduled
    verification.on_machine_verified(machines[2].id)
    assert verification.is_state_complete() and trigger.is_scheduled


LISTS = [
    # when the list came after the term began, how old it says it is, whether it counts
    ("it does not say how old it is", 1.0, None, False),
    ("from before the term", 1.0, -1.0, False),
    ("hardly younger than the term", 2.0, CLOUD_LIST_MARGIN_S, False),
    ("younger than the term", 2.0, CLOUD_LIST_MARGIN_S + 0.1, True),
    ("later than any list lags", 6.1, None, True),
]


@pytest.mark.parametrize(("after", "described", "counts"), [row[1:] for row in LISTS], ids=[row[0] for row in LISTS])
def test_a_list_counts_that_shows_the_machines_as_they_are_in_this_term(after, described, counts):
    clock, _, trigger, verification = build_verification()
    verification.require_cloud_list()
    clock.advance(after)
    verification.on_cloud_list(Instant(BEGAN_AT + described) if described is not None else None)
    assert verification.is_state_complete() == counts == trigger.is_scheduled


def test_nine_of_ten_answers_are_enough_after_a_cold_start():
    _, machines, trigger, verification = build_verification(10)
    verification.require_answers(machine.id for machine in machines)
    verification.await_answers(10)
    for machine in machines[:8]:
        verification.on_machine_verified(machine.id)
        verification.on_first_answer()
    assert not verification.is_state_complete()
    verification.on_first_answer()
    assert verification.is_state_complete() and trigger.is_scheduled
