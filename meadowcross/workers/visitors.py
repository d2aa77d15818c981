"""Whose reports reach this node, leader or not: what shows which node workers can reach."""

from __future__ import annotations

from meadowcross.common.clock import Clock
from meadowcross.common.types import Instant, MachineId, ReportVersion, Seconds

KEPT_WINDOWS = 20
"""For so many windows a machine's last report is known again when a copy of it comes."""


def heard_window(report_s: Seconds) -> Seconds:
    """A worker that said nothing for so long is silent: a period, its jitter and some delay."""
    return 1.25 * report_s + 1.0


class Visitors:
    """The workers that reported within the last `window` seconds.

    A report counts once: a copy that the network delivers later, seconds or leases later, says nothing of whom its
    machine can reach now. Counted, late copies would speak for a leader's death or call for its place.
    """

    def __init__(self, clock: Clock, window: Seconds) -> None:
        self._clock = clock
        self._window = window
        self._came: dict[MachineId, Instant] = {}
        self._relayed: set[MachineId] = set()
        """Of those, the ones that report here as the leader lets us answer them; that they come tells nothing new."""
        self._last: dict[MachineId, tuple[Instant, ReportVersion]] = {}

    def came(self, machine: MachineId, version: ReportVersion, relayed: bool = False) -> None:
        """A report came; `relayed`: it was taken for the leader, who lets us."""
        now = Instant(self._clock.seconds())
        last = self._last.pop(machine, None)
        newest = last is None or version > last[1]
        # Taken out first, so that the oldest stays in front.
        self._last[machine] = (now, version) if last is None or newest else last
        self._forget(now)
        if newest:
            self._came.pop(machine, None)
            self._came[machine] = now
            self._relayed.discard(machine)
            if relayed:
                self._relayed.add(machine)

    def _forget(self, now: Instant) -> None:
        while self._last:
            machine, (at, _) = next(iter(self._last.items()))
            if at >= now - KEPT_WINDOWS * self._window:
                break
            del self._last[machine]

    def since(self, at: Instant) -> int:
        """How many came since then, of those within the window, that no relay's session explains."""
        return sum(1 for machine, came in self._came.items() if came >= at and machine not in self._relayed)

    def count(self) -> int:
        oldest = self._clock.seconds() - self._window
        while self._came:
            machine, at = next(iter(self._came.items()))
            if at >= oldest:
                break
            del self._came[machine]
            self._relayed.discard(machine)
        return len(self._came)
