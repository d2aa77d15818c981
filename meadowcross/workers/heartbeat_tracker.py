"""Which workers send heartbeats to this node, leader or not: shows which node workers can reach."""

from __future__ import annotations

from typing import NamedTuple

from meadowcross.common.clock import Clock
from meadowcross.common.types import HeartbeatVersion, Instant, MachineId, Seconds

RETAINED_WINDOWS = 20
"""For this many windows a machine's newest heartbeat is remembered, to recognise late copies of it."""


def silence_window(report_s: Seconds) -> Seconds:
    """After how many seconds without a heartbeat a worker counts as silent: an interval, its jitter and some delay."""
    return 1.25 * report_s + 1.0


class _Newest(NamedTuple):
    """A machine's newest heartbeat."""

    arrived_at: Instant
    version: HeartbeatVersion


class HeartbeatTracker:
    """The workers that sent a heartbeat within the last `window_s` seconds.

    A heartbeat counts once: a copy that the network delivers later, by seconds or by minutes, does not show whom its
    machine can reach now. If late copies counted, they would be evidence against a leader, or for a candidate.
    """

    def __init__(self, clock: Clock, window_s: Seconds) -> None:
        self._clock = clock
        self._window_s = window_s
        self._recorded_at: dict[MachineId, Instant] = {}
        self._relayed: set[MachineId] = set()
        """Those of them that this node relays: their heartbeats are no evidence against the leader."""
        self._newest: dict[MachineId, _Newest] = {}
        """Oldest first."""

    def record(self, machine: MachineId, version: HeartbeatVersion, is_relayed: bool = False) -> None:
        """A heartbeat arrived; `is_relayed`: this node answers it with the leader's grant."""
        now = Instant(self._clock.seconds())
        previous = self._newest.pop(machine, None)
        is_newest = previous is None or version > previous.version
        # Taken out first, so that the oldest stays in front.
        self._newest[machine] = _Newest(now, version) if previous is None or is_newest else previous
        self._forget_old(now)
        if is_newest:
            self._recorded_at.pop(machine, None)
            self._recorded_at[machine] = now
            self._relayed.discard(machine)
            if is_relayed:
                self._relayed.add(machine)

    def _forget_old(self, now: Instant) -> None:
        while self._newest:
            machine, (at, _) = next(iter(self._newest.items()))
            if at >= now - RETAINED_WINDOWS * self._window_s:
                break
            del self._newest[machine]

    def count_since(self, at: Instant) -> int:
        """How many workers were recorded since then, of those within the window, except those that this node relays."""
        return sum(1 for machine, came in self._recorded_at.items() if came >= at and machine not in self._relayed)

    def count(self) -> int:
        """How many workers were recorded within the window."""
        oldest = self._clock.seconds() - self._window_s
        while self._recorded_at:
            machine, at = next(iter(self._recorded_at.items()))
            if at >= oldest:
                break
            del self._recorded_at[machine]
            self._relayed.discard(machine)
        return len(self._recorded_at)
