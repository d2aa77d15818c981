"""Tracks which workers send heartbeats to this controller, as evidence of which controllers the workers can reach."""

from __future__ import annotations

from typing import NamedTuple

from meadowcross.common.clock import Clock
from meadowcross.common.types import HeartbeatVersion, Instant, MachineId, Seconds

RETAINED_WINDOWS = 20
"""Number of windows for which a machine's newest heartbeat version is kept, to recognise late copies of heartbeats."""


def silence_window_s(report_s: Seconds) -> Seconds:
    """Return the seconds without a heartbeat after which a worker counts as silent: an interval, jitter and delay."""
    return 1.25 * report_s + 1.0


class _NewestHeartbeat(NamedTuple):
    """Version and arrival of a machine's newest heartbeat."""

    arrived_at: Instant
    version: HeartbeatVersion


class HeartbeatTracker:
    """Counts the workers that sent a heartbeat within the last `window_s` seconds.

    Each heartbeat counts once. A copy that the network delivers seconds or minutes later does not show which
    controllers its machine can reach now; late copies would be false evidence against a leader or for a candidate.
    """

    def __init__(self, clock: Clock, window_s: Seconds) -> None:
        self._clock = clock
        self._window_s = window_s
        self._recorded_at: dict[MachineId, Instant] = {}
        self._relayed_machines: set[MachineId] = set()
        """Recorded machines that this controller relays; their heartbeats are no evidence against the leader."""
        self._newest_heartbeats: dict[MachineId, _NewestHeartbeat] = {}
        """By machine; a heartbeat moves its machine to the end."""

    def record(self, machine: MachineId, version: HeartbeatVersion, is_relayed: bool = False) -> None:
        """Record a heartbeat. `is_relayed` means that this controller handles it under the leader's grant."""
        now = Instant(self._clock.seconds())
        previous = self._newest_heartbeats.pop(machine, None)
        is_newest = previous is None or version > previous.version
        # The entry was removed above and goes to the end, so that the oldest entries stay in front.
        self._newest_heartbeats[machine] = _NewestHeartbeat(now, version) if previous is None or is_newest else previous
        self._discard_old(now)
        if is_newest:
            self._recorded_at.pop(machine, None)
            self._recorded_at[machine] = now
            self._relayed_machines.discard(machine)
            if is_relayed:
                self._relayed_machines.add(machine)

    def _discard_old(self, now: Instant) -> None:
        """Discard newest heartbeats that are older than RETAINED_WINDOWS windows."""
        while self._newest_heartbeats:
            machine, (arrived_at, _) = next(iter(self._newest_heartbeats.items()))
            if arrived_at >= now - RETAINED_WINDOWS * self._window_s:
                break
            del self._newest_heartbeats[machine]

    def count_since(self, at: Instant) -> int:
        """Return the number of workers with a heartbeat since `at` and within the window, except relayed workers."""
        return sum(
            1
            for machine, recorded_at in self._recorded_at.items()
            if recorded_at >= at and machine not in self._relayed_machines
        )

    def count(self) -> int:
        """Return the number of workers with a heartbeat within the window."""
        window_start_at = self._clock.seconds() - self._window_s
        while self._recorded_at:
            machine, recorded_at = next(iter(self._recorded_at.items()))
            if recorded_at >= window_start_at:
                break
            del self._recorded_at[machine]
            self._relayed_machines.discard(machine)
        return len(self._recorded_at)
