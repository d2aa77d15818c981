"""How long machines take to boot: as their type states, or as observed lately.

On some days machines come up late, on others at once. Relying on the stated time would then mean to wait for machines
that do not come, to give up those that are about to, or to keep idle ones that a moment would bring back.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from math import inf
from statistics import median
from typing import NamedTuple

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.types import Instant, Seconds

RECENT_WINDOW_S: Seconds = 120.0
"""Boots that ended longer ago say nothing about the next."""
MIN_SAMPLES = 5
"""With fewer recent boots the stated time counts."""
MAX_SAMPLES = 300
ESTIMATE_MAX_AGE_S: Seconds = 1.0
"""An estimate is asked for every machine, so it is kept for so long."""
OVERDUE_FACTOR = 1.5
"""A boot that takes so many times as long as expected is overdue."""
USUAL_OVERDUE_SHARE = 0.25
"""On ordinary days a tenth of all boots are overdue, and come all the same; only more than this share is unusual."""
GIVE_UP_FACTOR = 3.0
"""The longest boots on ordinary days take so many times as long as stated."""


class BootSample(NamedTuple):
    """One boot that was observed."""

    ended_at: Instant
    duration_s: Seconds


class _Estimate(NamedTuple):
    """The boot time expected of a type, and when it was worked out."""

    made_at: Instant
    boot_s: Seconds


class BootTimeEstimator:
    """Keeps recent boots by machine type, and tells what to expect of the next."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[BootSample]] = {}
        self._estimates: dict[str, _Estimate] = {}

    def record_boot(self, machine_type: MachineType, duration_s: Seconds, now: Instant) -> None:
        """Record that a machine of the type has come up after `duration_s`."""
        samples = self._samples.setdefault(machine_type.name, deque(maxlen=MAX_SAMPLES))
        samples.append(BootSample(now, duration_s))

    def export_samples(self, now: Instant) -> dict[str, list[tuple[Seconds, Seconds]]]:
        """Return the recent boots for the next leader: by type, how long ago each ended and how long it took."""
        return {
            name: [
                (now - sample.ended_at, sample.duration_s)
                for sample in samples
                if now - sample.ended_at <= RECENT_WINDOW_S
            ]
            for name, samples in self._samples.items()
        }

    def import_samples(self, samples_by_type: dict[str, list[tuple[Seconds, Seconds]]], now: Instant) -> None:
        """Take over what the previous leader observed, as from `export_samples`, as older than our own."""
        for name, samples in samples_by_type.items():
            own_samples = self._samples.setdefault(name, deque(maxlen=MAX_SAMPLES))
            own_samples.extendleft(
                BootSample(Instant(now - age_s), duration_s) for age_s, duration_s in reversed(samples)
            )

    def expected_boot_s(self, machine_type: MachineType, now: Instant) -> Seconds:
        """Return the median of the type's recent boots, or the stated time while they are too few."""
        estimate = self._estimates.get(machine_type.name)
        if estimate is None or now - estimate.made_at >= ESTIMATE_MAX_AGE_S:
            recent = self._recent_durations(machine_type, now)
            boot_s = median(recent) if len(recent) >= MIN_SAMPLES else machine_type.boot_s
            estimate = self._estimates[machine_type.name] = _Estimate(now, boot_s)
        return estimate.boot_s

    def _recent_durations(self, machine_type: MachineType, now: Instant) -> list[Seconds]:
        samples = self._samples.get(machine_type.name, ())
        return [sample.duration_s for sample in samples if now - sample.ended_at <= RECENT_WINDOW_S]

    def overdue_after_s(self, machine_type: MachineType, waiting_s: Sequence[Seconds], now: Instant) -> Seconds:
        """Return after which time a booting machine is not counted on; infinite while no more are late than usual.

        `waiting_s` is how long each machine of the type that has not come up has been awaited.
        """
        limit_s = OVERDUE_FACTOR * self.expected_boot_s(machine_type, now)
        overdue_count = sum(1 for waited_s in waiting_s if waited_s > limit_s)
        boot_count = len(waiting_s) + len(self._recent_durations(machine_type, now))
        return limit_s if overdue_count > USUAL_OVERDUE_SHARE * boot_count else inf

    def give_up_after_s(self, machine_type: MachineType, now: Instant) -> Seconds:
        """Return after which time a machine is given up.

        That others boot quickly now does not mean that one created before is lost, so the stated time counts too.
        """
        return GIVE_UP_FACTOR * max(machine_type.boot_s, self.expected_boot_s(machine_type, now))
