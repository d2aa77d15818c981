"""Selects the machines to reserve for a job until running tasks have freed enough resources there.

Pure functions over a snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from meadowcross.common.types import MachineId
from meadowcross.placement.model import Candidate, PendingJob, Reservation, is_kind_allowed
from meadowcross.placement.victims import Victim, group_preemptible_by_machine

RESERVED_CAPACITY_FACTOR = 10.0
"""Multiple of the needed CPUs to reserve: about a tenth of the tasks on a machine end within a few seconds."""
MIN_RESERVED_MACHINE_FACTOR = 4.0
"""A machine is reserved only if the preemptible tasks there use at least this multiple of the CPUs of one task."""


class _FreeMachine(NamedTuple):
    """Free resources of a machine that may be reserved for a starved job."""

    gpus: float
    cpus: float
    machine: MachineId
    zone: str


def select_machines_awaiting_completions(
    pending_job: PendingJob,
    missing_tasks: int,
    candidates: Iterable[Candidate],
    victims: Iterable[Victim],
    reservations: Mapping[MachineId, Reservation],
) -> list[MachineId]:
    """Return the machines to reserve until tasks that end there have freed resources for `missing_tasks` tasks.

    Without a reservation, smaller tasks of lower priority would be placed in the freed resources before they are
    large enough. On a machine that runs many such tasks enough is freed soon and little is wasted, so the machines
    with the most preemptible CPUs are reserved, and none that has only a few.
    """
    spec = pending_job.spec
    victims_by_machine = group_preemptible_by_machine(pending_job, victims)
    cpus_by_machine = {
        candidate.machine: sum(victim.cpus for victim in victims_by_machine[candidate.machine])
        for candidate in candidates
        if candidate.machine in victims_by_machine
        and is_kind_allowed(spec, candidate.kind)
        and candidate.machine not in reservations
    }
    selected: list[MachineId] = []
    missing_cpus = RESERVED_CAPACITY_FACTOR * missing_tasks * spec.cpus
    for machine, cpus in sorted(cpus_by_machine.items(), key=lambda item: (-item[1], item[0])):
        if missing_cpus <= 0 or cpus < MIN_RESERVED_MACHINE_FACTOR * spec.cpus:
            break
        missing_cpus -= cpus
        selected.append(machine)
    return selected


def select_machines_for_starved_job(
    pending_job: PendingJob,
    missing_tasks: int,
    candidates: Iterable[Candidate],
    reservations: Mapping[MachineId, Reservation],
) -> list[MachineId]:
    """Return the machines with the most free resources to reserve for a starved job, one for each missing task.

    A one-zone job gets machines of one zone only: the zone of its siblings, else the zone with the most machines,
    then with the most free GPUs and CPUs.
    """
    spec = pending_job.spec
    free_machines = [
        _FreeMachine(
            candidate.free_gpus if spec.gpus > 0 else 0.0,
            candidate.free_cpus,
            candidate.machine,
            candidate.kind.zone,
        )
        for candidate in candidates
        if is_kind_allowed(spec, candidate.kind) and candidate.machine not in reservations
    ]
    free_machines.sort(key=lambda machine: (-machine.gpus, -machine.cpus, machine.machine))
    if not spec.one_zone:
        return [machine.machine for machine in free_machines[:missing_tasks]]
    zones = set(pending_job.count_siblings_by_zone()) or {machine.zone for machine in free_machines}
    groups = [[machine for machine in free_machines if machine.zone == zone][:missing_tasks] for zone in sorted(zones)]
    return [machine.machine for machine in max(groups, key=_total_free_resources, default=[])]


def _total_free_resources(group: list[_FreeMachine]) -> tuple[int, float, float]:
    """Return the number of machines, then the sums of their free GPUs and CPUs, to compare groups by."""
    return len(group), sum(machine.gpus for machine in group), sum(machine.cpus for machine in group)
