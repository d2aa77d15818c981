"""When requested placement passes run."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from meadowcross.leadership.pass_trigger import MIN_PASS_DELAY_S, PASS_PAUSE_RATIO, PassTrigger
from tests.support.terms import build_state


def build_trigger(clock, is_loaded=True):
    state = build_state(clock, is_loaded=is_loaded)
    trigger = PassTrigger(state.context, state.lifecycle)
    passes = []

    def run_pass():
        trigger.is_scheduled = False
        passes.append(clock.seconds())

    trigger.set_runner(run_pass)
    return state, trigger, passes


def test_requests_before_a_pass_are_merged():
    clock = Clock()
    _, trigger, passes = build_trigger(clock)
    for _ in range(3):
        trigger.schedule_pass()
    clock.advance(MIN_PASS_DELAY_S)
    trigger.schedule_pass()
    clock.advance(MIN_PASS_DELAY_S)
    assert passes == [MIN_PASS_DELAY_S, 2 * MIN_PASS_DELAY_S]


def test_pause_is_proportional_to_the_duration_of_the_last_pass():
    clock = Clock()
    _, trigger, passes = build_trigger(clock)
    trigger.last_pass_s = 1.0
    trigger.schedule_pass()
    clock.advance(PASS_PAUSE_RATIO - 0.1)
    assert passes == []
    clock.advance(0.2)
    assert len(passes) == 1


@pytest.mark.parametrize(("is_loaded", "is_stopped"), [(False, False), (True, True)], ids=["not loaded", "ended"])
def test_inactive_term_runs_no_pass(is_loaded, is_stopped):
    clock = Clock()
    state, trigger, passes = build_trigger(clock, is_loaded)
    state.lifecycle.is_stopped = is_stopped
    trigger.schedule_pass()
    clock.advance(10.0)
    assert passes == [] and not trigger.is_scheduled
