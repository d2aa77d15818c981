"""Which machine kinds the cloud refused lately."""

from __future__ import annotations

from meadowcross.common.clock import Clock
from meadowcross.common.types import MachineKind, Seconds


class KindAvailability:
    """Remembers for each kind that the cloud refused until when it is not asked for again."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._unavailable_until: dict[MachineKind, float] = {}

    def is_available(self, kind: MachineKind) -> bool:
        """Return whether the cloud has not refused the kind just now."""
        return self._unavailable_until.get(kind, 0.0) <= self._clock.seconds()

    def unavailable_kinds(self) -> set[MachineKind]:
        """Return the kinds that are not asked for now."""
        now = self._clock.seconds()
        return {kind for kind, until in self._unavailable_until.items() if until > now}

    def mark_unavailable(self, kind: MachineKind, duration_s: Seconds) -> None:
        """Do not ask for the kind for so long."""
        self._unavailable_until[kind] = self._clock.seconds() + duration_s

    def mark_available(self, kind: MachineKind) -> None:
        """Ask for the kind again: room for such a machine has come free."""
        self._unavailable_until.pop(kind, None)

    def export_state(self) -> list[tuple[MachineKind, Seconds]]:
        """Return the refused kinds for the next leader, and for how much longer they are not asked for."""
        now = self._clock.seconds()
        return [(kind, until - now) for kind, until in self._unavailable_until.items() if until > now]

    def import_state(self, unavailable: list[tuple[MachineKind, Seconds]]) -> None:
        """Take over what the previous leader knew, as from `export_state`."""
        now = self._clock.seconds()
        self._unavailable_until.update((kind, now + left_s) for kind, left_s in unavailable if left_s > 0)
