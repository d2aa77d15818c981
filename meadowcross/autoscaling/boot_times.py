"""How long machines take to boot: as stated, or as lately seen.

On some days they come up late, on others at once; whoever relies on the stated time then
waits for what does not come, gives up what is about to, or keeps idle what a moment brings.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from math import inf
from statistics import median

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.types import Instant, Seconds

RECENT_WINDOW_S: Seconds = 120.0
MIN_SAMPLES = 5
MAX_SAMPLES = 300
OVERDUE_FACTOR = 1.5
USUAL_OVERDUE_SHARE = 0.25
"""On ordinary days a tenth of all boots take longer than that, and come all the same."""
GIVE_UP_FACTOR = 3.0
"""The longest boots seen on ordinary days take so many times as long as stated."""


class BootTimeEstimator:
    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[Instant, Seconds]]] = {}
        self._cached_estimates: dict[str, tuple[Instant, Seconds]] = {}

    def record_boot(self, machine_type: MachineType, duration_s: Seconds, now: Instant) -> None:
        self._samples.setdefault(machine_type.name, deque(maxlen=MAX_SAMPLES)).append((now, duration_s))

    def export_samples(self, now: Instant) -> dict[str, list[tuple[Seconds, Seconds]]]:
        """By type, how long ago machines came up lately, and how long they took."""
        return {
            name: [(now - at, took) for at, took in seen if now - at <= RECENT_WINDOW_S]
            for name, seen in self._samples.items()
        }

    def import_samples(self, samples_by_type: dict[str, list[tuple[Seconds, Seconds]]], now: Instant) -> None:
        """What the leader before saw, put before our own."""
        for name, samples in samples_by_type.items():
            own_samples = self._samples.setdefault(name, deque(maxlen=MAX_SAMPLES))
            own_samples.extendleft((Instant(now - age), took) for age, took in reversed(samples))

    def expected_boot_s(self, machine_type: MachineType, now: Instant) -> Seconds:
        # Asked for every machine, so worked out once a second.
        estimated_at, estimate_s = self._cached_estimates.get(machine_type.name, (Instant(-inf), 0.0))
        if now - estimated_at >= 1.0:
            recent = self._recent_durations(machine_type, now)
            estimate_s = median(recent) if len(recent) >= MIN_SAMPLES else machine_type.boot_s
            self._cached_estimates[machine_type.name] = (now, estimate_s)
        return estimate_s

    def _recent_durations(self, machine_type: MachineType, now: Instant) -> list[Seconds]:
        return [took for at, took in self._samples.get(machine_type.name, ()) if now - at <= RECENT_WINDOW_S]

    def overdue_after_s(self, machine_type: MachineType, waiting_s: Sequence[Seconds], now: Instant) -> Seconds:
        """From when on a booting machine is not counted on, given how long each of its type has
        been awaited; never, while no more are late than on ordinary days."""
        limit_s = OVERDUE_FACTOR * self.expected_boot_s(machine_type, now)
        overdue_count = sum(1 for waited in waiting_s if waited > limit_s)
        return (
            limit_s
            if overdue_count > USUAL_OVERDUE_SHARE * (len(waiting_s) + len(self._recent_durations(machine_type, now)))
            else inf
        )

    def give_up_after_s(self, machine_type: MachineType, now: Instant) -> Seconds:
        """Booting at once now does not mean that what was rented before is lost."""
        return GIVE_UP_FACTOR * max(machine_type.boot_s, self.expected_boot_s(machine_type, now))
