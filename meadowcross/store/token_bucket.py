"""Request budgets: token buckets, urgent callers first."""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from threading import Lock

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.types import Seconds

USAGE_WINDOW_S: Seconds = 0.9
MIN_RATE_FACTOR = 0.25
BACK_OFF_FACTOR = 0.75
RECOVERY_PER_S = 0.02
"""Of the rate: refused, a budget gives up a quarter of it at once, and has all of it back after some ten seconds."""


class RequestPriority(IntEnum):
    """What goes first when a budget is short."""

    LEADERSHIP = 0
    USER = 1
    PLACEMENT = 2
    BACKGROUND = 3


class TokenBucket:
    """A bucket of `burst` refilled at `rate` a second; waiters queue by urgency."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._full_rate = rate
        self._rate_factor = 1.0
        self._acquired = 0.0
        self._acquired_since = clock.seconds()
        self._last_used_rate = 0.0
        self._burst = max(burst, 1.0)
        self._available = self._burst
        self._refilled_at = clock.seconds()
        self._lock = Lock()
        self._waiters: dict[RequestPriority, deque[tuple[float, Deferred[None]]]] = {
            u: deque() for u in RequestPriority
        }
        self._is_service_scheduled = False

    def _refill(self) -> None:
        now = self._clock.seconds()
        elapsed_s = max(0.0, now - self._refilled_at)
        self._rate_factor = min(1.0, self._rate_factor + elapsed_s * RECOVERY_PER_S)
        self._available = min(self._burst, self._available + elapsed_s * self.rate)
        self._refilled_at = now

    def set_rate(self, rate: float) -> None:
        """Another part of the shared limit is ours from now on; what is left, and what a refusal took, stays."""
        with self._lock:
            self._refill()
            self._full_rate = rate

    def used_rate(self) -> float:
        """Units a second that were taken, over the last whole second or more that somebody asked about."""
        with self._lock:
            elapsed_s = self._clock.seconds() - self._acquired_since
            if elapsed_s >= USAGE_WINDOW_S:
                self._last_used_rate = self._acquired / elapsed_s
                self._acquired, self._acquired_since = 0.0, self._clock.seconds()
            return self._last_used_rate

    @property
    def rate(self) -> float:
        """Units a second that are given out now."""
        return self._full_rate * self._rate_factor

    def try_acquire(self, amount: float = 1.0) -> bool:
        """Take now or not at all; overdraws for an amount above the burst."""
        with self._lock:
            self._refill()
            if self._available < min(amount, self._burst):
                return False
            self._available -= amount
            self._acquired += amount
            return True

    def drain(self) -> None:
        """The other side says that the shared budget is spent."""
        with self._lock:
            self._refill()
            self._available = min(self._available, 0.0)

    def back_off(self) -> None:
        """The same of a limit that other nodes use too: less of it is ours for a while."""
        self.drain()
        with self._lock:
            self._rate_factor = max(MIN_RATE_FACTOR, self._rate_factor * BACK_OFF_FACTOR)

    def acquire(self, amount: float, priority: RequestPriority) -> Deferred[None]:
        ready: Deferred[None] = Deferred()
        has_waiters_ahead = any(self._waiters[u] for u in RequestPriority if u <= priority)
        if priority is RequestPriority.LEADERSHIP:
            # Renewals are few and must never wait behind a backlog.
            with self._lock:
                self._refill()
                self._available -= amount
                self._acquired += amount
            ready.callback(None)
        elif not has_waiters_ahead and self.try_acquire(amount):
            ready.callback(None)
        else:
            self._waiters[priority].append((amount, ready))
            self._schedule_service()
        return ready

    def _schedule_service(self) -> None:
        if not self._is_service_scheduled:
            self._is_service_scheduled = True
            self._clock.callLater(1.0 / self.rate, self._serve_waiters)

    def _serve_waiters(self) -> None:
        self._is_service_scheduled = False
        for priority in RequestPriority:
            queue = self._waiters[priority]
            while queue:
                amount, ready = queue[0]
                if not self.try_acquire(amount):
                    self._schedule_service()
                    return
                queue.popleft()
                ready.callback(None)
