"""Selects the machines that the current load does not need. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from meadowcross.common.types import EPSILON, MachineId


@dataclass(slots=True)
class MachineUsage:
    """A machine that may be drained: its resources, the used part of them, and its price."""

    machine: MachineId
    cpus: float
    used_cpus: float
    memory_gb: float
    used_memory_gb: float
    price: float

    @property
    def price_per_cpu(self) -> float:
        """Price of the machine divided by its CPUs."""
        return self.price / self.cpus


def select_surplus_machines(machine_usages: Iterable[MachineUsage], spare_share: float) -> list[MachineId]:
    """Return the machines to drain, those with the most expensive CPUs first.

    The remaining machines have capacity for everything that runs on all of them now, and `spare_share` more. Draining
    only removes machines from the candidates of the placement: the score spreads tasks over the remaining candidates,
    so they do not keep every machine slightly used.
    """
    machines = sorted(
        machine_usages, key=lambda usage: (-usage.price_per_cpu, usage.used_cpus / usage.cpus, usage.machine)
    )
    used_cpus = sum(usage.used_cpus for usage in machines)
    used_memory_gb = sum(usage.used_memory_gb for usage in machines)
    spare_cpus = sum(usage.cpus for usage in machines) - used_cpus * (1 + spare_share)
    spare_memory_gb = sum(usage.memory_gb for usage in machines) - used_memory_gb * (1 + spare_share)
    surplus = []
    for usage in machines:
        if usage.cpus <= spare_cpus + EPSILON and usage.memory_gb <= spare_memory_gb + EPSILON:
            spare_cpus -= usage.cpus
            spare_memory_gb -= usage.memory_gb
            surplus.append(usage.machine)
    return surplus
