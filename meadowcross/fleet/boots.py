"""How long machines take to boot: as stated, or as lately seen.

On some days they come up late, on others at once; whoever relies on the stated time then
waits for what does not come, gives up what is about to, or keeps idle what a moment brings.
"""

from __future__ import annotations

from collections import deque
from statistics import median

from meadowcross.common.types import Instant, Seconds
from meadowcross.fleet.messages import MachineType

LATELY_S: Seconds = 120.0
ENOUGH = 5
MOST = 15
LATE_TIMES = 1.5
"""A tenth of all boots take longer than this: what waits then counts on other machines."""
GIVEN_UP_TIMES = 3.0
"""The longest boots seen on ordinary days take so many times as long as stated."""


class Boots:
    def __init__(self) -> None:
        self._seen: dict[str, deque[tuple[Instant, Seconds]]] = {}

    def came_up(self, machine_type: MachineType, took: Seconds, now: Instant) -> None:
        self._seen.setdefault(machine_type.name, deque(maxlen=MOST)).append((now, took))

    def expected(self, machine_type: MachineType, now: Instant) -> Seconds:
        lately = [took for at, took in self._seen.get(machine_type.name, ()) if now - at <= LATELY_S]
        return median(lately) if len(lately) >= ENOUGH else machine_type.boot_s

    def late(self, machine_type: MachineType, waited: Seconds, now: Instant) -> bool:
        return waited > LATE_TIMES * self.expected(machine_type, now)

    def patience(self, machine_type: MachineType, now: Instant) -> Seconds:
        """Booting at once now does not mean that what was rented before is lost."""
        return GIVEN_UP_TIMES * max(machine_type.boot_s, self.expected(machine_type, now))
