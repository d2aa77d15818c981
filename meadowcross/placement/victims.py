"""Selects the running tasks to stop for a pending job so that the least progress is lost.

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
    """A running task that may be stopped for another job."""

    task_key: object
    """Opaque handle by which the caller identifies the task."""
    machine: MachineId
    rank: int
    cpus: float
    gpus: float
    memory_gb: float
    lost_cpu_s: float
    """Progress that is lost if the task is stopped now, in CPU seconds."""
    team: str = ""
    is_borrowed: bool = False
    """Whether the task is part of the usage of its team beyond the team's guarantee."""
    checkpoint_save_s: Seconds | None = None
    """Time that saving a checkpoint takes; None if the task can't save one."""
    grace_s: Seconds = 0.0
    """Time that the task gets to save a checkpoint before it is stopped."""


VictimsByMachine = Mapping[MachineId, list[Victim]]


class ConstrainedSelection(NamedTuple):
    """Victims for a job with topology constraints, and all the machines to reserve until the victims have ended."""

    victims: list[Victim]
    machines: set[MachineId]


class _VictimSet(NamedTuple):
    """Victims on one machine that together free enough resources for one task.

    Sets are sorted by their first three fields, in this order.
    """

    needs_image_fetch: bool
    lost_cpu_s: float
    machine: MachineId
    victims: list[Victim]


def is_preemptible(victim: Victim, pending_job: PendingJob) -> bool:
    """Return whether the task may be stopped for the job.

    Tasks of lower priority may be stopped. Tasks of the same priority may be stopped if another team runs them beyond
    its guarantee and the job is within the guarantee of its own team. Tasks of higher priority are never stopped: users
    require that priorities hold without exception, and otherwise the two jobs would preempt each other in turn.
    """
    if victim.rank != pending_job.rank:
        return victim.rank > pending_job.rank
    return victim.is_borrowed and pending_job.guaranteed_tasks > 0 and victim.team != pending_job.spec.team


def group_preemptible_by_machine(pending_job: PendingJob, victims: Iterable[Victim]) -> dict[MachineId, list[Victim]]:
    """Return the tasks that may be stopped for the job, grouped by machine."""
    victims_by_machine: dict[MachineId, list[Victim]] = {}
    for victim in victims:
        if is_preemptible(victim, pending_job):
            victims_by_machine.setdefault(victim.machine, []).append(victim)
    return victims_by_machine


def group_preemptible_by_loss(pending_job: PendingJob, victims: Iterable[Victim]) -> dict[MachineId, list[Victim]]:
    """Return the tasks that may be stopped for the job, grouped by machine and sorted by lost progress per CPU."""
    victims_by_machine = group_preemptible_by_machine(pending_job, victims)
    for machine_victims in victims_by_machine.values():
        machine_victims.sort(key=_loss_per_cpu)
    return victims_by_machine


def _loss_per_cpu(victim: Victim) -> float:
    return victim.lost_cpu_s / victim.cpus


def select_victims(
    pending_job: PendingJob, count: int, candidates: Iterable[Candidate], victims: Iterable[Victim]
) -> list[Victim]:
    """Group the victims by machine, then select among them as `select_least_loss` does."""
    return select_least_loss(pending_job, count, candidates, group_preemptible_by_loss(pending_job, victims))


def select_least_loss(
    pending_job: PendingJob, count: int, candidates: Iterable[Candidate], victims_by_machine: VictimsByMachine
) -> list[Victim]:
    """Return the victims that free resources for up to `count` tasks with the least lost progress.

    Victims on machines that have the image cached are preferred. `victims_by_machine` holds the preemptible tasks,
    those with the least lost progress per CPU first.
    """
    spec = pending_job.spec
    victim_sets: list[_VictimSet] = []
    for candidate in candidates:
        machine_victims = victims_by_machine.get(candidate.machine)
        if machine_victims is None or not is_kind_allowed(spec, candidate.kind):
            continue
        if pending_job.requires_cached_image and spec.image not in candidate.cached_images:
            continue
        victim_sets.extend(_build_victim_sets(spec, count, candidate, machine_victims))
    victim_sets.sort(key=lambda victim_set: victim_set[:3])
    return _choose_victim_sets(pending_job, count, victim_sets)


def _build_victim_sets(
    spec: JobSpec, count: int, candidate: Candidate, machine_victims: Sequence[Victim]
) -> list[_VictimSet]:
    """Divide the machine's victims, in their order, into at most `count` sets that each free resources for one task."""
    needs_image_fetch = spec.image not in candidate.cached_images
    free_cpus, free_gpus, free_memory_gb = candidate.free_cpus, candidate.free_gpus, candidate.free_memory_gb
    victim_sets: list[_VictimSet] = []
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
            lost_cpu_s = sum(chosen_victim.lost_cpu_s for chosen_victim in chosen)
            victim_sets.append(_VictimSet(needs_image_fetch, lost_cpu_s, candidate.machine, chosen))
            if len(victim_sets) >= count:
                break
            free_cpus -= spec.cpus
            free_gpus -= spec.gpus
            free_memory_gb -= spec.memory_gb
            chosen = []
    return victim_sets


def _choose_victim_sets(pending_job: PendingJob, count: int, victim_sets: Iterable[_VictimSet]) -> list[Victim]:
    """Return the victims of the first `count` sets.

    Sets with a victim of the job's own priority are used only for tasks within the guarantee of the job's team.
    """
    selected: list[Victim] = []
    guaranteed_left = pending_job.guaranteed_tasks
    for victim_set in victim_sets:
        if count == 0:
            break
        if any(victim.rank == pending_job.rank for victim in victim_set.victims):
            if guaranteed_left == 0:
                continue
            guaranteed_left -= 1
        count -= 1
        selected.extend(victim_set.victims)
    return selected


def select_victims_constrained(
    pending_job: PendingJob,
    count: int,
    candidates: Sequence[Candidate],
    victims: Iterable[Victim],
    weights: OperatorSettings,
) -> ConstrainedSelection:
    """Return the victims that free resources for the job under its topology constraints.

    For a gang they free resources for all `count` tasks, or no victims are returned.
    """
    spec = pending_job.spec
    victims_by_machine = group_preemptible_by_machine(pending_job, victims)
    emptied_candidates = [
        _without_victims(candidate, victims_by_machine.get(candidate.machine, ()))
        for candidate in candidates
        if is_kind_allowed(spec, candidate.kind)
    ]
    tasks_by_machine = Counter(place_constrained(pending_job, emptied_candidates, count, weights))
    candidate_by_machine = {candidate.machine: candidate for candidate in candidates}
    selected: list[Victim] = []
    for machine, task_count in tasks_by_machine.items():
        machine_victims = sorted(victims_by_machine.get(machine, ()), key=_loss_per_cpu)
        selected.extend(_select_first_sufficient(spec, task_count, candidate_by_machine[machine], machine_victims))
    return ConstrainedSelection(selected, set(tasks_by_machine))


def _without_victims(candidate: Candidate, machine_victims: Sequence[Victim]) -> Candidate:
    """Return a copy of the candidate with the resources of all the victims added to the free ones."""
    return replace(
        candidate,
        free_cpus=candidate.free_cpus + sum(victim.cpus for victim in machine_victims),
        free_gpus=candidate.free_gpus + sum(victim.gpus for victim in machine_victims),
        free_memory_gb=candidate.free_memory_gb + sum(victim.memory_gb for victim in machine_victims),
    )


def _select_first_sufficient(
    spec: JobSpec, task_count: int, candidate: Candidate, machine_victims: Iterable[Victim]
) -> list[Victim]:
    """Return as many of the victims, in their order, as are needed to free resources for the tasks."""
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


def select_checkpointable_victims(pending_job: PendingJob, victims: Iterable[Victim]) -> list[Victim]:
    """Return the tasks of the job's priority that other teams run beyond their guarantee and that save checkpoints.

    The list is empty if the job is not within its team's guarantee. Stopping these tasks loses no progress, so
    waiting until the slack is short gains nothing: low-priority tasks of a borrowing team once filled all machines and
    made a third of the other teams' jobs late.
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
    """Mark the tasks that each team runs beyond its guarantee: those of the lowest priority, then with the least loss.

    `excess_cpus_by_team` is each team's usage beyond its guarantee; the CPUs of the marked tasks are subtracted.
    """
    for victim in sorted(victims, key=lambda victim: (-victim.rank, victim.lost_cpu_s)):
        if excess_cpus_by_team.get(victim.team, 0.0) >= victim.cpus:
            victim.is_borrowed = True
            excess_cpus_by_team[victim.team] -= victim.cpus


def find_smallest_cpus_by_rank(victims: Iterable[Victim]) -> dict[int, float]:
    """Return the CPUs of the victim with the fewest CPUs of each rank."""
    smallest_cpus: dict[int, float] = {}
    for victim in victims:
        smallest_cpus[victim.rank] = min(victim.cpus, smallest_cpus.get(victim.rank, inf))
    return smallest_cpus
