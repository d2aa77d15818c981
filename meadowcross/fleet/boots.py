"""How long machines take to boot: as stated, or as lately seen.

On some days they come up late, on others at once; whoever relies on the stated time then
waits for what does not come, gives up what is about to, or keeps idle what a moment brings.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from math import inf
from statistics import median

from meadowcross.common.types import Instant, Seconds
from meadowcross.fleet.messages import MachineType

LATELY_S: Seconds = 120.0
ENOUGH = 5
MOST = 300
LATE_TIMES = 1.5
ORDINARY_LATE = 0.25
"""On ordinary days a tenth of all boots take longer than that, and come all the same."""
GIVEN_UP_TIMES = 3.0
"""The longest boots seen on ordinary days take so many times as long as stated."""


class Boots:
    def __init__(self) -> None:
        self._seen: dict[str, deque[tuple[Instant, Seconds]]] = {}
        self._expected: dict[str, tuple[Instant, Seconds]] = {}

    def came_up(self, machine_type: MachineType, took: Seconds, now: Instant) -> None:
        self._seen.setdefault(machine_type.name, deque(maxlen=MOST)).append((now, took))

    def seen(self, now: Instant) -> dict[str, list[tuple[Seconds, Seconds]]]:
        """By type, how long ago machines came up lately, and how long they took."""
        return {
            name: [(now - at, took) for at, took in seen if now - at <= LATELY_S] for name, seen in self._seen.items()
        }

    def presume(self, boots: dict[str, list[tuple[Seconds, Seconds]]], now: Instant) -> None:
        """What the leader before saw, put before our own."""
        for name, seen in boots.items():
            known = self._seen.setdefault(name, deque(maxlen=MOST))
            known.extendleft((Instant(now - age), took) for age, took in reversed(seen))

    def expected(self, machine_type: MachineType, now: Instant) -> Seconds:
        # Asked for every machine, so worked out once a second.
        at, known = self._expected.get(machine_type.name, (Instant(-inf), 0.0))
        if now - at >= 1.0:
            lately = self._lately(machine_type, now)
            known = median(lately) if len(lately) >= ENOUGH else machine_type.boot_s
            self._expected[machine_type.name] = (now, known)
        return known

    def _lately(self, machine_type: MachineType, now: Instant) -> list[Seconds]:
        return [took for at, took in self._seen.get(machine_type.name, ()) if now - at <= LATELY_S]

    def late_after(self, machine_type: MachineType, waiting: Sequence[Seconds], now: Instant) -> Seconds:
        """From when on a booting machine is not counted on, given how long each of its type has
        been awaited; never, while no more are late than on ordinary days."""
        limit = LATE_TIMES * self.expected(machine_type, now)
        late = sum(1 for waited in waiting if waited > limit)
        return limit if late > ORDINARY_LATE * (len(waiting) + len(self._lately(machine_type, now))) else inf

    def patience(self, machine_type: MachineType, now: Instant) -> Seconds:
        """Booting at once now does not mean that what was rented before is lost."""
        return GIVEN_UP_TIMES * max(machine_type.boot_s, self.expected(machine_type, now))
