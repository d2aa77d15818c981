"""Token buckets: priorities, the used rate, and backing off."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from meadowcross.store.token_bucket import RequestPriority, TokenBucket


def test_waiters_are_served_by_priority_and_renewals_never_wait():
    clock = Clock()
    budget = TokenBucket(clock, 10.0, 1.0)
    assert budget.try_acquire(1.0)
    served: list[str] = []
    for name, urgency in (
        ("later", RequestPriority.BACKGROUND),
        ("placement", RequestPriority.PLACEMENT),
        ("user", RequestPriority.USER),
    ):
        budget.acquire(1.0, urgency).addCallback(lambda _, n=name: served.append(n))
    budget.acquire(1.0, RequestPriority.LEADERSHIP).addCallback(lambda _: served.append("renewal"))
    assert served == ["renewal"]
    clock.pump([0.1] * 6)
    assert served == ["renewal", "user", "placement", "later"]


def test_used_rate_is_measured_and_the_rate_can_change():
    clock = Clock()
    budget = TokenBucket(clock, 10.0, 20.0)
    for _ in range(8):
        budget.try_acquire()
    clock.advance(2.0)
    assert budget.used_rate() == pytest.approx(4.0)
    clock.advance(0.5)
    assert budget.used_rate() == pytest.approx(4.0), "not anew within a second"
    budget.back_off()
    budget.set_rate(20.0)
    assert budget.rate == pytest.approx(15.0), "what a refusal took stays taken"


def test_back_off_lowers_the_rate_for_a_while():
    clock = Clock()
    budget = TokenBucket(clock, 10.0, 10.0)
    budget.back_off()
    assert budget.rate == pytest.approx(7.5) and not budget.try_acquire()
    for _ in range(20):
        budget.back_off()
    assert budget.rate == pytest.approx(2.5), "never less than a quarter"
    clock.advance(10.0)
    budget.try_acquire()
    assert 2.5 < budget.rate < 10.0
    clock.advance(40.0)
    budget.try_acquire()
    assert budget.rate == pytest.approx(10.0)
