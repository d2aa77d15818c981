"""Rate limiting by token buckets whose waiters are served by priority."""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from threading import Lock
from typing import NamedTuple

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.types import Instant, Seconds

USAGE_WINDOW_S: Seconds = 0.9
"""The shortest time over which the used rate is measured."""
MIN_RATE_FACTOR = 0.25
BACK_OFF_FACTOR = 0.75
RECOVERY_PER_S = 0.02
"""Part of the full rate regained each second: after one back-off it takes some ten seconds to recover."""


class RequestPriority(IntEnum):
    """The order in which waiting requests are served; the lowest number goes first."""

    LEADERSHIP = 0
    USER = 1
    PLACEMENT = 2
    BACKGROUND = 3


class _Waiter(NamedTuple):
    amount: float
    ready: Deferred[None]


class TokenBucket:
    """A bucket that holds at most `burst` tokens and is refilled at `rate` tokens a second."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._full_rate = rate
        self._rate_factor = 1.0
        self._acquired = 0.0
        self._acquired_since = Instant(clock.seconds())
        self._last_used_rate = 0.0
        self._burst = max(burst, 1.0)
        self._available = self._burst
        self._refilled_at = Instant(clock.seconds())
        self._lock = Lock()
        self._waiters: dict[RequestPriority, deque[_Waiter]] = {priority: deque() for priority in RequestPriority}
        self._is_service_scheduled = False

    @property
    def rate(self) -> float:
        """The present refill rate in tokens a second, after back-off."""
        return self._full_rate * self._rate_factor

    def set_rate(self, rate: float) -> None:
        """Change the full refill rate; available tokens and the back-off are kept."""
        with self._lock:
            self._refill()
            self._full_rate = rate

    def used_rate(self) -> float:
        """Return the tokens acquired a second, measured between calls at least `USAGE_WINDOW_S` apart."""
        with self._lock:
            now = Instant(self._clock.seconds())
            elapsed_s = now - self._acquired_since
            if elapsed_s >= USAGE_WINDOW_S:
                self._last_used_rate = self._acquired / elapsed_s
                self._acquired = 0.0
                self._acquired_since = now
            return self._last_used_rate

    def try_acquire(self, amount: float = 1.0) -> bool:
        """Acquire the tokens now or not at all. An amount above the burst overdraws a full bucket."""
        with self._lock:
            self._refill()
            if self._available < min(amount, self._burst):
                return False
            self._withdraw(amount)
            return True

    def acquire(self, amount: float, priority: RequestPriority) -> Deferred[None]:
        """Return a Deferred that fires once the tokens are acquired.

        Requests for leadership overdraw the bucket: lease renewals are few and must never wait behind a backlog.
        """
        ready: Deferred[None] = Deferred()
        if priority is RequestPriority.LEADERSHIP:
            with self._lock:
                self._refill()
                self._withdraw(amount)
            ready.callback(None)
        elif not self._has_waiters_up_to(priority) and self.try_acquire(amount):
            ready.callback(None)
        else:
            self._waiters[priority].append(_Waiter(amount, ready))
            self._schedule_service()
        return ready

    def drain(self) -> None:
        """Discard the available tokens: the service reports that its limit is exhausted."""
        with self._lock:
            self._refill()
            self._available = min(self._available, 0.0)

    def back_off(self) -> None:
        """Drain the bucket and lower its rate for a while, for a limit that other nodes use too."""
        self.drain()
        with self._lock:
            self._rate_factor = max(MIN_RATE_FACTOR, self._rate_factor * BACK_OFF_FACTOR)

    def _refill(self) -> None:
        now = Instant(self._clock.seconds())
        elapsed_s = max(0.0, now - self._refilled_at)
        self._rate_factor = min(1.0, self._rate_factor + elapsed_s * RECOVERY_PER_S)
        self._available = min(self._burst, self._available + elapsed_s * self.rate)
        self._refilled_at = now

    def _withdraw(self, amount: float) -> None:
        self._available -= amount
        self._acquired += amount

    def _has_waiters_up_to(self, priority: RequestPriority) -> bool:
        return any(self._waiters[other] for other in RequestPriority if other <= priority)

    def _schedule_service(self) -> None:
        if not self._is_service_scheduled:
            self._is_service_scheduled = True
            self._clock.callLater(1.0 / self.rate, self._serve_waiters)

    def _serve_waiters(self) -> None:
        self._is_service_scheduled = False
        for priority in RequestPriority:
            queue = self._waiters[priority]
            while queue:
                waiter = queue[0]
                if not self.try_acquire(waiter.amount):
                    self._schedule_service()
                    return
                queue.popleft()
                waiter.ready.callback(None)
