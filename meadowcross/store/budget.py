"""Request budgets: token buckets, urgent callers first."""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from threading import Lock

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.types import Seconds

USED_OVER_S: Seconds = 0.9
LEAST_FACTOR = 0.25
SHRINK_FACTOR = 0.75
REGROWTH_PER_S = 0.02
"""Of the rate: refused, a budget gives up a quarter of it at once, and has all of it back after some ten seconds."""


class Urgency(IntEnum):
    """What goes first when a budget is short."""

    LEADERSHIP = 0
    USER = 1
    PLACEMENT = 2
    LATER = 3


class Budget:
    """A bucket of `burst` refilled at `rate` a second; waiters queue by urgency."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._full_rate = rate
        self._factor = 1.0
        self._taken = 0.0
        self._taken_since = clock.seconds()
        self._used = 0.0
        self._burst = max(burst, 1.0)
        self._level = self._burst
        self._at = clock.seconds()
        self._lock = Lock()
        self._waiting: dict[Urgency, deque[tuple[float, Deferred[None]]]] = {u: deque() for u in Urgency}
        self._timer_set = False

    def _refill(self) -> None:
        now = self._clock.seconds()
        passed = max(0.0, now - self._at)
        self._factor = min(1.0, self._factor + passed * REGROWTH_PER_S)
        self._level = min(self._burst, self._level + passed * self.rate)
        self._at = now

    def set_rate(self, rate: float) -> None:
        """Another part of the shared limit is ours from now on; what is left, and what a refusal took, stays."""
        with self._lock:
            self._refill()
            self._full_rate = rate

    def used(self) -> float:
        """Units a second that were taken, over the last whole second or more that somebody asked about."""
        with self._lock:
            passed = self._clock.seconds() - self._taken_since
            if passed >= USED_OVER_S:
                self._used = self._taken / passed
                self._taken, self._taken_since = 0.0, self._clock.seconds()
            return self._used

    @property
    def rate(self) -> float:
        """Units a second that are given out now."""
        return self._full_rate * self._factor

    def try_take(self, amount: float = 1.0) -> bool:
        """Take now or not at all; overdraws for an amount above the burst."""
        with self._lock:
            self._refill()
            if self._level < min(amount, self._burst):
                return False
            self._level -= amount
            self._taken += amount
            return True

    def empty_out(self) -> None:
        """The other side says that the shared budget is spent."""
        with self._lock:
            self._refill()
            self._level = min(self._level, 0.0)

    def shrink(self) -> None:
        """The same of a limit that other nodes use too: less of it is ours for a while."""
        self.empty_out()
        with self._lock:
            self._factor = max(LEAST_FACTOR, self._factor * SHRINK_FACTOR)

    def take(self, amount: float, urgency: Urgency) -> Deferred[None]:
        ready: Deferred[None] = Deferred()
        ahead = any(self._waiting[u] for u in Urgency if u <= urgency)
        if urgency is Urgency.LEADERSHIP:
            # Renewals are few and must never wait behind a backlog.
            with self._lock:
                self._refill()
                self._level -= amount
                self._taken += amount
            ready.callback(None)
        elif not ahead and self.try_take(amount):
            ready.callback(None)
        else:
            self._waiting[urgency].append((amount, ready))
            self._arm()
        return ready

    def _arm(self) -> None:
        if not self._timer_set:
            self._timer_set = True
            self._clock.callLater(1.0 / self.rate, self._serve)

    def _serve(self) -> None:
        self._timer_set = False
        for urgency in Urgency:
            queue = self._waiting[urgency]
            while queue:
                amount, ready = queue[0]
                if not self.try_take(amount):
                    self._arm()
                    return
                queue.popleft()
                ready.callback(None)
