"""Whose reports reach this node, leader or not: what shows which node workers can reach."""

from __future__ import annotations

from meadowcross.common.clock import Clock
from meadowcross.common.types import HeartbeatVersion, Instant, MachineId, Seconds

RETAINED_WINDOWS = 20
"""For so many windows a machine's last report is known again when a copy of it comes."""


def silence_window(report_s: Seconds) -> Seconds:
    """A worker that said nothing for so long is silent: a period, its jitter and some delay."""
    return 1.25 * report_s + 1.0


class HeartbeatTracker:
    """The workers that reported within the last `window` seconds.

    A report counts once: a copy that the network delivers later, seconds or leases later, says nothing of whom its
    machine can reach now. Counted, late copies would speak for a leader's death or call for its place.
    """

    def __init__(self, clock: Clock, window_s: Seconds) -> None:
        self._clock = clock
        self._window_s = window_s
        self._recorded_at: dict[MachineId, Instant] = {}
        self._relayed: set[MachineId] = set()
        """Of those, the ones that report here as the leader lets us answer them; that they come tells nothing new."""
        self._newest: dict[MachineId, tuple[Instant, HeartbeatVersion]] = {}

    def record(self, machine: MachineId, version: HeartbeatVersion, is_relayed: bool = False) -> None:
        """A report came; `relayed`: it was taken for the leader, who lets us."""
        now = Instant(self._clock.seconds())
        previous = self._newest.pop(machine, None)
        is_newest = previous is None or version > previous[1]
        # Taken out first, so that the oldest stays in front.
        self._newest[machine] = (now, version) if previous is None or is_newest else previous
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
        """How many came since then, of those within the window, that no relay's session explains."""
        return sum(1 for machine, came in self._recorded_at.items() if came >= at and machine not in self._relayed)

    def count(self) -> int:
        oldest = self._clock.seconds() - self._window_s
        while self._recorded_at:
            machine, at = next(iter(self._recorded_at.items()))
            if at >= oldest:
                break
            del self._recorded_at[machine]
            self._relayed.discard(machine)
        return len(self._recorded_at)
