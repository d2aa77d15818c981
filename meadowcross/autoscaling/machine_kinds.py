"""The machine kinds that exist, their prices, and which of them are expensive. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.types import MachineKind
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.model import count_slots, is_kind_allowed


def list_machine_kinds(machine_types: Iterable[MachineType]) -> Iterator[tuple[MachineKind, MachineType]]:
    """Yield all kinds that the cloud may provide, with their types: each type in its zones, as spot and on demand."""
    for machine_type in machine_types:
        for zone in machine_type.zones:
            for spot in (True, False):
                yield MachineKind(machine_type.name, zone, spot), machine_type


def kind_price(kind: MachineKind, machine_type: MachineType) -> float:
    """Return the price of a machine of the kind per second, in the unit of the cloud's API."""
    return machine_type.spot_price if kind.spot else machine_type.price


def find_expensive_kinds(machine_types: Iterable[MachineType], multiple: float) -> set[MachineKind]:
    """Return the kinds whose price per CPU is more than `multiple` times the lowest.

    They are used only for demands at risk, and for jobs that no other kind may run.
    """
    prices = {
        kind: kind_price(kind, machine_type) / machine_type.cpus
        for kind, machine_type in list_machine_kinds(machine_types)
    }
    cheapest_price = min(prices.values(), default=0.0)
    return {kind for kind, price in prices.items() if price > multiple * cheapest_price}


def requires_expensive_kind(
    spec: JobSpec, machine_types: Iterable[MachineType], expensive_kinds: set[MachineKind]
) -> bool:
    """Return whether only expensive kinds may run the job; then it may use them without being at risk."""
    return not any(
        kind not in expensive_kinds
        and is_kind_allowed(spec, kind)
        and count_slots(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb) > 0
        for kind, machine_type in list_machine_kinds(machine_types)
    )
