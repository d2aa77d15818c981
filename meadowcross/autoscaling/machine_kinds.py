"""What machine kinds exist, what they cost, and which of them are expensive. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.types import MachineKind
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.model import count_slots, is_kind_allowed


def list_machine_kinds(machine_types: Iterable[MachineType]) -> Iterator[tuple[MachineKind, MachineType]]:
    """Yield all kinds that the cloud may provide: each type in each of its zones, spot and on demand."""
    for machine_type in machine_types:
        for zone in machine_type.zones:
            for spot in (True, False):
                yield MachineKind(machine_type.name, zone, spot), machine_type


def kind_price(kind: MachineKind, machine_type: MachineType) -> float:
    """Return the price of such a machine, in the cloud's unit per second."""
    return machine_type.spot_price if kind.spot else machine_type.price


def find_expensive_kinds(machine_types: Iterable[MachineType], multiple: float) -> set[MachineKind]:
    """Return the kinds whose CPUs cost more than `multiple` times the cheapest; they are used only under pressure."""
    prices = {kind: kind_price(kind, t) / t.cpus for kind, t in list_machine_kinds(machine_types)}
    cheapest = min(prices.values(), default=0.0)
    return {kind for kind, price in prices.items() if price > multiple * cheapest}


def requires_expensive_kind(spec: JobSpec, machine_types: Iterable[MachineType], expensive: set[MachineKind]) -> bool:
    """Return whether only expensive kinds may run the job; it then may use them without pressure."""
    return not any(
        kind not in expensive and is_kind_allowed(spec, kind) and count_slots(spec, t.cpus, t.gpus, t.memory_gb) > 0
        for kind, t in list_machine_kinds(machine_types)
    )
