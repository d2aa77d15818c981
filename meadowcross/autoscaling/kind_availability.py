"""Tracks the machine kinds that the cloud had no capacity for recently."""

from __future__ import annotations

from meadowcross.common.clock import Clock
from meadowcross.common.types import MachineKind, Seconds


class KindAvailability:
    """Holds for each unavailable kind the instant until which it is not requested again."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._unavailable_until: dict[MachineKind, float] = {}

    def is_available(self, kind: MachineKind) -> bool:
        """Return whether the kind may be requested now."""
        return self._unavailable_until.get(kind, 0.0) <= self._clock.seconds()

    def unavailable_kinds(self) -> set[MachineKind]:
        """Return the kinds that may not be requested now."""
        now = self._clock.seconds()
        return {kind for kind, unavailable_until in self._unavailable_until.items() if unavailable_until > now}

    def mark_unavailable(self, kind: MachineKind, duration_s: Seconds) -> None:
        """Do not request the kind for `duration_s`."""
        self._unavailable_until[kind] = self._clock.seconds() + duration_s

    def mark_available(self, kind: MachineKind) -> None:
        """Allow requests for the kind again, as capacity for it has become free."""
        self._unavailable_until.pop(kind, None)

    def export_state(self) -> list[tuple[MachineKind, Seconds]]:
        """Return the unavailable kinds for the next leader, each with the remaining time."""
        now = self._clock.seconds()
        return [
            (kind, unavailable_until - now)
            for kind, unavailable_until in self._unavailable_until.items()
            if unavailable_until > now
        ]

    def import_state(self, unavailable: list[tuple[MachineKind, Seconds]]) -> None:
        """Import the previous leader's unavailable kinds, in the form that `export_state` returns."""
        now = self._clock.seconds()
        self._unavailable_until.update(
            (kind, now + remaining_s) for kind, remaining_s in unavailable if remaining_s > 0
        )
