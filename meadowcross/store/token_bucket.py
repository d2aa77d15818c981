"""Rate limiting by token buckets that serve waiting requests by priority."""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from threading import Lock
from typing import NamedTuple

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.types import Instant, Seconds

USAGE_WINDOW_S: Seconds = 0.9
"""The shortest period over which the used rate is measured."""
MIN_RATE_FACTOR = 0.25
BACK_OFF_FACTOR = 0.75
RECOVERY_PER_S = 0.02
"""Part of the full rate that is regained each second; recovery from one back-off takes about ten seconds."""


class RequestPriority(IntEnum):
    """The order in which waiting requests are served, the lowest number first."""

    LEADERSHIP = 0
    USER = 1
    PLACEMENT = 2
    BACKGROUND = 3


class _Waiter(NamedTuple):
    amount: float
    ready: Deferred[None]


class TokenBucket:
    """A bucket that holds at most `burst` tokens and is refilled at `rate` tokens per second."""

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
        self._is_wakeup_scheduled = False

    @property
    def rate(self) -> float:
        """The current refill rate in tokens per second, reduced by back-offs."""
        return self._full_rate * self._rate_factor

    def set_rate(self, rate: float) -> None:
        """Change the full refill rate; the available tokens and the back-off stay as they are."""
        with self._lock:
            self._refill()
            self._full_rate = rate

    def used_rate(self) -> float:
        """Return the tokens acquired per second, measured between calls at least `USAGE_WINDOW_S` apart."""
        with self._lock:
            now = Instant(self._clock.seconds())
            elapsed_s = now - self._acquired_since
            if elapsed_s >= USAGE_WINDOW_S:
                self._last_used_rate = self._acquired / elapsed_s
                self._acquired = 0.0
                self._acquired_since = now
            return self._last_used_rate

    def try_acquire(self, amount: float = 1.0) -> bool:
        """Acquire the tokens if they are available now; return whether they were.

        An amount above the burst overdraws a full bucket.
        """
        with self._lock:
            self._refill()
            if self._available < min(amount, self._burst):
                return False
            self._withdraw(amount)
            return True

    def acquire(self, amount: float, priority: RequestPriority) -> Deferred[None]:
        """Return a Deferred that fires once the tokens are acquired.

        Requests with leadership priority overdraw the bucket, since lease renewals are few and must never be queued.
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
            self._schedule_wakeup()
        return ready

    def discard_tokens(self) -> None:
        """Discard the available tokens, because the service has reported that its limit is exhausted."""
        with self._lock:
            self._refill()
            self._available = min(self._available, 0.0)

    def back_off(self) -> None:
        """Discard the available tokens and reduce the rate for a while, for a limit that is shared with other nodes."""
        self.discard_tokens()
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

    def _schedule_wakeup(self) -> None:
        if not self._is_wakeup_scheduled:
            self._is_wakeup_scheduled = True
            self._clock.callLater(1.0 / self.rate, self._serve_waiters)

    def _serve_waiters(self) -> None:
        self._is_wakeup_scheduled = False
        for priority in RequestPriority:
            queue = self._waiters[priority]
            while queue:
                waiter = queue[0]
                if not self.try_acquire(waiter.amount):
                    self._schedule_wakeup()
                    return
                queue.popleft()
                waiter.ready.callback(None)
