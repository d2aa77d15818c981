"""Whose reports reach this node, leader or not: what shows which node workers can reach."""

from __future__ import annotations

from meadowcross.common.clock import Clock
from meadowcross.common.types import Instant, MachineId, Seconds


class Visitors:
    """The workers that reported within the last `window` seconds."""

    def __init__(self, clock: Clock, window: Seconds) -> None:
        self._clock = clock
        self._window = window
        self._came: dict[MachineId, Instant] = {}

    def came(self, machine: MachineId) -> None:
        # Taken out first, so that the oldest visit stays in front.
        self._came.pop(machine, None)
        self._came[machine] = Instant(self._clock.seconds())

    def since(self, at: Instant) -> int:
        """How many came since then, of those within the window."""
        return sum(1 for came in self._came.values() if came >= at)

    def count(self) -> int:
        oldest = self._clock.seconds() - self._window
        while self._came:
            machine, at = next(iter(self._came.items()))
            if at >= oldest:
                break
            del self._came[machine]
        return len(self._came)
