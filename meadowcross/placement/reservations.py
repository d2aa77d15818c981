"""Which machines to reserve for a job until running tasks have left enough room there.

Pure functions over a snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from meadowcross.common.types import MachineId
from meadowcross.placement.model import Candidate, PendingJob, Reservation, is_kind_allowed
from meadowcross.placement.victims import Victim, preemptible_by_machine

RESERVED_CAPACITY_FACTOR = 10.0
"""So many times what the job needs is reserved: a tenth of what runs there ends within a few seconds."""
MIN_RESERVED_MACHINE_FACTOR = 4.0
"""A machine is worth reserving if the tasks there are so many times as large as one of the job's."""


class _FreeMachine(NamedTuple):
    """What is free on a machine that may be reserved for a starved job."""

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
    """Return the machines to reserve until tasks that end there by themselves leave room for `missing_tasks`.

    Smaller tasks of lower priority would take each piece of room that comes free before it is large enough. On
    a machine that runs many of them enough room forms soon and little is wasted, so the machines where most
    runs are reserved, and none that runs only a few.
    """
    spec = pending_job.spec
    by_machine = preemptible_by_machine(pending_job, victims)
    cpus_by_machine = {
        candidate.machine: sum(victim.cpus for victim in by_machine[candidate.machine])
        for candidate in candidates
        if candidate.machine in by_machine
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
    """Return the machines with most room to reserve for a job that waited too long, one for each missing task.

    A job of one zone gets machines of one zone only: the zone where its tasks are, else where most machines are
    to be had, then most room.
    """
    spec = pending_job.spec
    free = [
        _FreeMachine(
            candidate.free_gpus if spec.gpus > 0 else 0.0,
            candidate.free_cpus,
            candidate.machine,
            candidate.kind.zone,
        )
        for candidate in candidates
        if is_kind_allowed(spec, candidate.kind) and candidate.machine not in reservations
    ]
    free.sort(key=lambda machine: (-machine.gpus, -machine.cpus, machine.machine))
    if not spec.one_zone:
        return [machine.machine for machine in free[:missing_tasks]]
    zones = set(pending_job.count_siblings_by_zone()) or {machine.zone for machine in free}
    groups = [[machine for machine in free if machine.zone == zone][:missing_tasks] for zone in sorted(zones)]
    return [machine.machine for machine in max(groups, key=_total_room, default=[])]


def _total_room(group: list[_FreeMachine]) -> tuple[int, float, float]:
    return len(group), sum(machine.gpus for machine in group), sum(machine.cpus for machine in group)
