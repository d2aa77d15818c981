"""Token buckets: priorities, the measured rate, and back-off."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from meadowcross.store.token_bucket import RequestPriority, TokenBucket


def test_waiters_are_served_by_priority_and_renewals_never_wait():
    clock = Clock()
    bucket = TokenBucket(clock, 10.0, 1.0)
    assert bucket.try_acquire(1.0)
    served: list[str] = []
    for name, priority in (
        ("later", RequestPriority.BACKGROUND),
        ("placement", RequestPriority.PLACEMENT),
        ("user", RequestPriority.USER),
    ):
        bucket.acquire(1.0, priority).addCallback(lambda _, requester=name: served.append(requester))
    bucket.acquire(1.0, RequestPriority.LEADERSHIP).addCallback(lambda _: served.append("renewal"))
    assert served == ["renewal"]
    clock.pump([0.1] * 6)
    assert served == ["renewal", "user", "placement", "later"]


def test_used_rate_is_measured_and_the_rate_can_change():
    clock = Clock()
    bucket = TokenBucket(clock, 10.0, 20.0)
    for _ in range(8):
        bucket.try_acquire()
    clock.advance(2.0)
    assert bucket.used_rate() == pytest.approx(4.0)
    clock.advance(0.5)
    assert bucket.used_rate() == pytest.approx(4.0), "the rate is not measured again within a second"
    bucket.back_off()
    bucket.set_rate(20.0)
    assert bucket.rate == pytest.approx(15.0), "the back-off is kept when the rate changes"


def test_back_off_lowers_the_rate_for_a_while():
    clock = Clock()
    bucket = TokenBucket(clock, 10.0, 10.0)
    bucket.back_off()
    assert bucket.rate == pytest.approx(7.5) and not bucket.try_acquire()
    for _ in range(20):
        bucket.back_off()
    assert bucket.rate == pytest.approx(2.5), "the rate is never reduced below a quarter"
    clock.advance(10.0)
    bucket.try_acquire()
    assert 2.5 < bucket.rate < 10.0
    clock.advance(40.0)
    bucket.try_acquire()
    assert bucket.rate == pytest.approx(10.0)
