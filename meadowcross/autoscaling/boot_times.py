"""Estimates the boot time of machines from recent boots, or else from the time that their type states.

On some days machines boot much more slowly or quickly than stated. With the stated time alone the autoscaler would wait
for machines that do not come up, decommission machines that are about to, or keep idle ones that boot in a moment.
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
"""Boots that ended longer ago do not predict the next one."""
MIN_SAMPLES = 5
"""With fewer recent boots the stated time is used."""
MAX_SAMPLES = 300
"""Boots kept for each machine type."""
ESTIMATE_MAX_AGE_S: Seconds = 1.0
"""An estimate is reused for this long, as it is needed for every machine."""
OVERDUE_FACTOR = 1.5
"""A boot is overdue after this multiple of the expected time."""
USUAL_OVERDUE_SHARE = 0.25
"""Up to this share of overdue boots is normal: on ordinary days a tenth of all boots is overdue and still succeeds."""
BOOT_TIMEOUT_FACTOR = 3.0
"""A boot times out after this multiple of the expected time; the longest boots on ordinary days reach it."""


class BootSample(NamedTuple):
    """One observed boot."""

    ended_at: Instant
    duration_s: Seconds


class _Estimate(NamedTuple):
    """The expected boot time of a machine type, and when it was computed."""

    computed_at: Instant
    boot_s: Seconds


class BootTimeEstimator:
    """Keeps recent boots by machine type, and estimates the time of the next one."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[BootSample]] = {}
        self._estimates: dict[str, _Estimate] = {}

    def record_boot(self, machine_type: MachineType, duration_s: Seconds, now: Instant) -> None:
        """Record that a machine of the type came up after `duration_s`."""
        samples = self._samples.setdefault(machine_type.name, deque(maxlen=MAX_SAMPLES))
        samples.append(BootSample(now, duration_s))

    def export_samples(self, now: Instant) -> dict[str, list[tuple[Seconds, Seconds]]]:
        """Return the recent boots for the next leader: by type name, the age and the duration of each."""
        return {
            name: [
                (now - sample.ended_at, sample.duration_s)
                for sample in samples
                if now - sample.ended_at <= RECENT_WINDOW_S
            ]
            for name, samples in self._samples.items()
        }

    def import_samples(self, samples_by_type: dict[str, list[tuple[Seconds, Seconds]]], now: Instant) -> None:
        """Insert the previous leader's samples, in the form that `export_samples` returns, before the own ones."""
        for name, samples in samples_by_type.items():
            own_samples = self._samples.setdefault(name, deque(maxlen=MAX_SAMPLES))
            own_samples.extendleft(
                BootSample(Instant(now - age_s), duration_s) for age_s, duration_s in reversed(samples)
            )

    def expected_boot_s(self, machine_type: MachineType, now: Instant) -> Seconds:
        """Return the median of the type's recent boots, or the stated time while there are fewer than `MIN_SAMPLES`."""
        estimate = self._estimates.get(machine_type.name)
        if estimate is None or now - estimate.computed_at >= ESTIMATE_MAX_AGE_S:
            recent_durations_s = self._recent_durations_s(machine_type, now)
            boot_s = median(recent_durations_s) if len(recent_durations_s) >= MIN_SAMPLES else machine_type.boot_s
            estimate = self._estimates[machine_type.name] = _Estimate(now, boot_s)
        return estimate.boot_s

    def _recent_durations_s(self, machine_type: MachineType, now: Instant) -> list[Seconds]:
        samples = self._samples.get(machine_type.name, ())
        return [sample.duration_s for sample in samples if now - sample.ended_at <= RECENT_WINDOW_S]

    def overdue_after_s(self, machine_type: MachineType, waiting_s: Sequence[Seconds], now: Instant) -> Seconds:
        """Return the time after which a booting machine does not count as incoming capacity.

        It is infinite while the share of overdue machines is usual. `waiting_s` is the time since the creation of each
        machine of the type that has not come up.
        """
        overdue_s = OVERDUE_FACTOR * self.expected_boot_s(machine_type, now)
        overdue_count = sum(1 for waited_s in waiting_s if waited_s > overdue_s)
        boot_count = len(waiting_s) + len(self._recent_durations_s(machine_type, now))
        return overdue_s if overdue_count > USUAL_OVERDUE_SHARE * boot_count else inf

    def boot_timeout_s(self, machine_type: MachineType, now: Instant) -> Seconds:
        """Return the time after which a booting machine is decommissioned.

        It is not shorter than for the stated time: fast boots of other machines do not show that an older one is lost.
        """
        return BOOT_TIMEOUT_FACTOR * max(machine_type.boot_s, self.expected_boot_s(machine_type, now))
