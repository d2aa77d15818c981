"""Which running tasks may be stopped for a pending job, and which of them lose least.

Pure functions over a snapshot.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from math import inf
from typing import NamedTuple

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import EPSILON, MachineId, Seconds
from meadowcross.jobs.messages import JobSpec, checkpoint_grace_s
from meadowcross.placement.constrained import place_constrained
from meadowcross.placement.model import Candidate, PendingJob, count_slots, is_kind_allowed


@dataclass(slots=True)
class Victim:
    """A running task that may be stopped for other work."""

    task_key: object
    """The caller's handle of the task."""
    machine: MachineId
    rank: int
    cpus: float
    gpus: float
    memory_gb: float
    lost_cpu_s: float
    """CPU seconds of progress that stopping it now throws away."""
    team: str = ""
    is_borrowed: bool = False
    """Its team uses more than its guarantee, this task's share of it included."""
    checkpoint_save_s: Seconds | None = None
    """The time it takes to save a checkpoint; None if it can't."""
    grace_s: Seconds = 0.0
    """The time it is given to save a checkpoint, once chosen."""


VictimsByMachine = Mapping[MachineId, list[Victim]]


class ConstrainedSelection(NamedTuple):
    """The victims for a job bound by zones, and all the machines to reserve until its room is complete."""

    victims: list[Victim]
    machines: set[MachineId]


class _VictimSet(NamedTuple):
    """Victims on one machine that together make room for one task. Sets are preferred in the order of the fields."""

    needs_image_fetch: bool
    lost_cpu_s: float
    machine: MachineId
    victims: list[Victim]


def is_preemptible(victim: Victim, pending_job: PendingJob) -> bool:
    """Return whether the task may be stopped for the job.

    Lower priority may; so may work of the same priority that another team runs beyond its guarantee, for work
    within a guarantee. Higher priority never is: users want the stated priority kept without exception, and the
    two would take turns stopping each other.
    """
    if victim.rank != pending_job.rank:
        return victim.rank > pending_job.rank
    return victim.is_borrowed and pending_job.guaranteed_tasks > 0 and victim.team != pending_job.spec.team


def preemptible_by_machine(pending_job: PendingJob, victims: Iterable[Victim]) -> dict[MachineId, list[Victim]]:
    """Return the tasks that may be stopped for the job, by machine."""
    by_machine: dict[MachineId, list[Victim]] = {}
    for victim in victims:
        if is_preemptible(victim, pending_job):
            by_machine.setdefault(victim.machine, []).append(victim)
    return by_machine


def preemptible_by_loss(pending_job: PendingJob, victims: Iterable[Victim]) -> dict[MachineId, list[Victim]]:
    """Return the tasks that may be stopped for the job, by machine, least loss per CPU first."""
    by_machine = preemptible_by_machine(pending_job, victims)
    for machine_victims in by_machine.values():
        machine_victims.sort(key=_loss_per_cpu)
    return by_machine


def _loss_per_cpu(victim: Victim) -> float:
    return victim.lost_cpu_s / victim.cpus


def select_victims(
    pending_job: PendingJob, count: int, candidates: Iterable[Candidate], victims: Iterable[Victim]
) -> list[Victim]:
    """Return the victims that make room for `count` tasks of the job, as `select_least_loss`."""
    return select_least_loss(pending_job, count, candidates, preemptible_by_loss(pending_job, victims))


def select_least_loss(
    pending_job: PendingJob, count: int, candidates: Iterable[Candidate], by_machine: VictimsByMachine
) -> list[Victim]:
    """Return the victims that make room for `count` tasks at the least loss, machines with the image first.

    `by_machine` holds the preemptible tasks, least loss per CPU first.
    """
    spec = pending_job.spec
    options: list[_VictimSet] = []
    for candidate in candidates:
        machine_victims = by_machine.get(candidate.machine)
        if machine_victims is None or not is_kind_allowed(spec, candidate.kind):
            continue
        if pending_job.requires_cached_image and spec.image not in candidate.cached_images:
            continue
        options.extend(_victim_sets(spec, count, candidate, machine_victims))
    options.sort(key=lambda option: option[:3])
    return _choose_sets(pending_job, count, options)


def _victim_sets(
    spec: JobSpec, count: int, candidate: Candidate, machine_victims: Sequence[Victim]
) -> list[_VictimSet]:
    """Divide the machine's victims, in their order, into sets that each make room for one task, `count` at most."""
    needs_image_fetch = spec.image not in candidate.cached_images
    free_cpus, free_gpus, free_memory_gb = candidate.free_cpus, candidate.free_gpus, candidate.free_memory_gb
    sets: list[_VictimSet] = []
    chosen: list[Victim] = []
    for victim in machine_victims:
        chosen.append(victim)
        free_cpus += victim.cpus
        free_gpus += victim.gpus
        free_memory_gb += victim.memory_gb
        if (
            free_cpus + EPSILON >= spec.cpus
            and free_gpus + EPSILON >= spec.gpus
            and free_memory_gb + EPSILON >= spec.memory_gb
        ):
            lost_cpu_s = sum(stopped.lost_cpu_s for stopped in chosen)
            sets.append(_VictimSet(needs_image_fetch, lost_cpu_s, candidate.machine, chosen))
            if len(sets) >= count:
                break
            free_cpus -= spec.cpus
            free_gpus -= spec.gpus
            free_memory_gb -= spec.memory_gb
            chosen = []
    return sets


def _choose_sets(pending_job: PendingJob, count: int, options: Iterable[_VictimSet]) -> list[Victim]:
    """Take the first `count` sets; those with work of the same priority only for tasks within the guarantee."""
    selected: list[Victim] = []
    guaranteed_left = pending_job.guaranteed_tasks
    for option in options:
        if count == 0:
            break
        if any(victim.rank == pending_job.rank for victim in option.victims):
            if guaranteed_left == 0:
                continue
            guaranteed_left -= 1
        count -= 1
        selected.extend(option.victims)
    return selected


def select_victims_constrained(
    pending_job: PendingJob,
    count: int,
    candidates: Sequence[Candidate],
    victims: Iterable[Victim],
    weights: OperatorSettings,
) -> ConstrainedSelection:
    """Return the victims that make room where the job's zones allow it, for a gang all of its room or none."""
    spec = pending_job.spec
    by_machine = preemptible_by_machine(pending_job, victims)
    cleared = [
        _without(candidate, by_machine.get(candidate.machine, ()))
        for candidate in candidates
        if is_kind_allowed(spec, candidate.kind)
    ]
    tasks_by_machine = Counter(place_constrained(pending_job, cleared, count, weights))
    candidate_by_machine = {candidate.machine: candidate for candidate in candidates}
    selected: list[Victim] = []
    for machine, task_count in tasks_by_machine.items():
        machine_victims = sorted(by_machine.get(machine, ()), key=_loss_per_cpu)
        selected.extend(_first_that_make_room(spec, task_count, candidate_by_machine[machine], machine_victims))
    return ConstrainedSelection(selected, set(tasks_by_machine))


def _without(candidate: Candidate, machine_victims: Sequence[Victim]) -> Candidate:
    """Return the machine as it would be with all the victims gone."""
    return replace(
        candidate,
        free_cpus=candidate.free_cpus + sum(victim.cpus for victim in machine_victims),
        free_gpus=candidate.free_gpus + sum(victim.gpus for victim in machine_victims),
        free_memory_gb=candidate.free_memory_gb + sum(victim.memory_gb for victim in machine_victims),
    )


def _first_that_make_room(
    spec: JobSpec, task_count: int, candidate: Candidate, machine_victims: Iterable[Victim]
) -> list[Victim]:
    """Return as many of the victims, in their order, as it takes to make room for the tasks."""
    free_cpus, free_gpus, free_memory_gb = candidate.free_cpus, candidate.free_gpus, candidate.free_memory_gb
    chosen: list[Victim] = []
    for victim in machine_victims:
        if count_slots(spec, free_cpus, free_gpus, free_memory_gb) >= task_count:
            break
        free_cpus += victim.cpus
        free_gpus += victim.gpus
        free_memory_gb += victim.memory_gb
        chosen.append(victim)
    return chosen


def checkpointable_victims(pending_job: PendingJob, victims: Iterable[Victim]) -> list[Victim]:
    """Return what other teams run beyond their guarantee and can save, for work of the same priority within one.

    Stopping it loses no progress, so nothing is gained by waiting until the slack is short: idle-time work of a
    guest that filled all machines once made a third of the others' jobs late.
    """
    if pending_job.guaranteed_tasks == 0:
        return []
    return [
        replace(victim, grace_s=checkpoint_grace_s(victim.checkpoint_save_s))
        for victim in victims
        if victim.checkpoint_save_s is not None
        and victim.is_borrowed
        and victim.rank == pending_job.rank
        and is_preemptible(victim, pending_job)
    ]


def mark_borrowed(victims: Iterable[Victim], excess_cpus_by_team: dict[str, float]) -> None:
    """Mark the tasks that each team runs beyond its guarantee: the least important and least costly ones.

    `excess_cpus_by_team` is each team's use beyond its guarantee, in CPUs; it is used up by what is marked.
    """
    for victim in sorted(victims, key=lambda victim: (-victim.rank, victim.lost_cpu_s)):
        if excess_cpus_by_team.get(victim.team, 0.0) >= victim.cpus:
            victim.is_borrowed = True
            excess_cpus_by_team[victim.team] -= victim.cpus


def smallest_cpus_by_rank(victims: Iterable[Victim]) -> dict[int, float]:
    """Return the CPUs of the smallest victim of each rank."""
    smallest: dict[int, float] = {}
    for victim in victims:
        smallest[victim.rank] = min(victim.cpus, smallest.get(victim.rank, inf))
    return smallest
