"""Which machines the work at hand can do without. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from meadowcross.common.types import EPSILON, MachineId


@dataclass(slots=True)
class MachineUsage:
    """A machine that may be drained: its size, what is used of it, what it costs."""

    machine: MachineId
    cpus: float
    used_cpus: float
    memory_gb: float
    used_memory_gb: float
    price: float

    @property
    def price_per_cpu(self) -> float:
        """The price of one CPU of the machine."""
        return self.price / self.cpus


def select_surplus_machines(usages: Iterable[MachineUsage], spare_share: float) -> list[MachineId]:
    """Return the machines to drain, most expensive CPUs first.

    The others have room for all that runs on all of them now, and `spare_share` more. Draining only changes which
    machines are candidates; the score decides among these, so that spreading does not keep each machine a
    little busy.
    """
    machines = sorted(usages, key=lambda usage: (-usage.price_per_cpu, usage.used_cpus / usage.cpus, usage.machine))
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
