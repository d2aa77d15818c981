"""Measures a leader's write rate and write silence from the store's change feed."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from meadowcross.common.clock import Clock
from meadowcross.common.types import Instant, Revision, Seconds
from meadowcross.store.messages import Event

WRITE_RATE_WINDOW_S: Seconds = 5.0
"""Period over which the leader's writes are counted."""
ENDED_JOBS_PREFIX = "e/"
LEADER_PREFIXES = ("t/", "w/", ENDED_JOBS_PREFIX)
"""Prefixes of keys that only a leader writes."""


class _ObservedWrites(NamedTuple):
    """The number of a leader's transactions in one answer of the change feed."""

    observed_at: Instant
    transactions: int


class LeaderActivity:
    """Evidence for deciding whether the leader has failed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._writes: deque[_ObservedWrites] = deque()
        self._last_poll_at = Instant(0.0)
        self._last_write_at = Instant(0.0)

    def record_poll(self, requested_at: Instant, events: Sequence[Event], since_revision: Revision) -> None:
        """Record an answer of the change feed, requested at `requested_at` with the replica at `since_revision`."""
        now = Instant(self._clock.seconds())
        # An answer without events only shows that there were no changes at the time of the request.
        self._last_poll_at = now if events else max(self._last_poll_at, requested_at)
        revisions = {
            event.mod_revision
            for event in events
            if event.mod_revision > since_revision and event.key.startswith(LEADER_PREFIXES)
        }
        if revisions:
            self._last_write_at = now
            self._writes.append(_ObservedWrites(now, len(revisions)))
        while self._writes and now - self._writes[0].observed_at > WRITE_RATE_WINDOW_S:
            self._writes.popleft()

    def writes_per_s(self) -> float:
        """Return the leader's transactions per second over the last `WRITE_RATE_WINDOW_S`."""
        now = self._clock.seconds()
        recent = sum(writes.transactions for writes in self._writes if now - writes.observed_at <= WRITE_RATE_WINDOW_S)
        return recent / WRITE_RATE_WINDOW_S

    def silence_s(self, since_at: Instant) -> Seconds:
        """Return for how long, from `since_at` on, the store is known to have received no write of a leader."""
        return max(0.0, self._last_poll_at - max(since_at, self._last_write_at))
