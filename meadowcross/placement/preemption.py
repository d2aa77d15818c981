"""Preemption: what gives way to what, at the least loss, and who was asked already.

The choices are pure functions over a snapshot; `GivingWay` keeps what a leader must
remember from one pass to the next.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from math import inf
from typing import NamedTuple

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import EPSILON, Instant, JobId, MachineId, Seconds
from meadowcross.jobs.messages import PRIORITY_RANKS, checkpoint_grace_s
from meadowcross.placement.engine import (
    Candidate,
    PendingJob,
    QuotaHeadroom,
    Reservation,
    count_slots,
    has_sibling_traffic,
    has_topology_constraints,
    is_kind_allowed,
    place_constrained,
    queue_order,
    task_shape,
)

PREEMPTION_RETRY_S: Seconds = 4.0
URGENT_SLACK_RUNS = 0.5
URGENT_SLACK_S: Seconds = 5.0
RESERVED_CAPACITY_FACTOR = 10.0
"""Ends of a tenth of what runs on the machines held are waited for: a few seconds."""
MIN_RESERVED_MACHINE_FACTOR = 4.0
LOWEST_RANK = max(PRIORITY_RANKS.values())
STARVED_JOB_RANK = min(PRIORITY_RANKS.values()) - 1
"""Of a hold that nothing else may enter."""


@dataclass(slots=True)
class Victim:
    """A running task that may be stopped for work of higher priority."""

    task_key: object
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
    """The time it takes to save; None: what it has done is lost."""
    grace_s: Seconds = 0.0
    """The time it is given for that, once chosen."""


def is_preemptible(victim: Victim, pending_job: PendingJob) -> bool:
    """Lower priority gives way; so does work of the same priority that another team runs
    beyond its guarantee, to work within one. Higher priority never gives way to a
    guarantee: the users want the stated priority kept without exception, and the two
    would take turns stopping each other."""
    if victim.rank != pending_job.rank:
        return victim.rank > pending_job.rank
    return victim.is_borrowed and pending_job.guaranteed_tasks > 0 and victim.team != pending_job.spec.team


def _preemptible_by_machine(pending_job: PendingJob, victims: Iterable[Victim]) -> dict[MachineId, list[Victim]]:
    by_machine: dict[MachineId, list[Victim]] = {}
    for victim in victims:
        if is_preemptible(victim, pending_job):
            by_machine.setdefault(victim.machine, []).append(victim)
    return by_machine


def select_victims(
    pending_job: PendingJob, count: int, candidates: Iterable[Candidate], victims: Iterable[Victim]
) -> list[Victim]:
    """The victims that make room for `count` tasks of the want at the least loss, machines
    that hold its image first."""
    return _select_least_loss(pending_job, count, candidates, _preemptible_by_loss(pending_job, victims))


def _preemptible_by_loss(pending_job: PendingJob, victims: Iterable[Victim]) -> dict[MachineId, list[Victim]]:
    by_machine = _preemptible_by_machine(pending_job, victims)
    for victims_here in by_machine.values():
        victims_here.sort(key=lambda v: v.lost_cpu_s / v.cpus)
    return by_machine


def _select_least_loss(
    pending_job: PendingJob, count: int, candidates: Iterable[Candidate], by_machine: Mapping[MachineId, list[Victim]]
) -> list[Victim]:
    spec = pending_job.spec
    options: list[tuple[bool, float, MachineId, list[Victim]]] = []
    for candidate in candidates:
        victims_here = by_machine.get(candidate.machine)
        if victims_here is None or not is_kind_allowed(spec, candidate.kind):
            continue
        if pending_job.requires_cached_image and spec.image not in candidate.cached_images:
            continue
        free = [candidate.free_cpus, candidate.free_gpus, candidate.free_memory_gb]
        chosen: list[Victim] = []
        freed_tasks = 0
        for victim in victims_here:
            chosen.append(victim)
            free[0] += victim.cpus
            free[1] += victim.gpus
            free[2] += victim.memory_gb
            if (
                free[0] + EPSILON >= spec.cpus
                and free[1] + EPSILON >= spec.gpus
                and free[2] + EPSILON >= spec.memory_gb
            ):
                loss = sum(v.lost_cpu_s for v in chosen)
                options.append((spec.image not in candidate.cached_images, loss, candidate.machine, chosen))
                free = [free[0] - spec.cpus, free[1] - spec.gpus, free[2] - spec.memory_gb]
                chosen = []
                freed_tasks += 1
                if freed_tasks >= count:
                    break
    options.sort(key=lambda option: option[:3])
    selected: list[Victim] = []
    guaranteed_left = pending_job.guaranteed_tasks
    for *_, chosen in options:
        if count == 0:
            break
        if any(v.rank == pending_job.rank for v in chosen):
            if guaranteed_left == 0:
                continue
            guaranteed_left -= 1
        count -= 1
        selected.extend(chosen)
    return selected


def select_victims_constrained(
    pending_job: PendingJob,
    count: int,
    candidates: Iterable[Candidate],
    victims: Iterable[Victim],
    weights: OperatorSettings,
) -> tuple[list[Victim], set[MachineId]]:
    """The victims that make room where the job's zones allow it, for a gang all of it or
    none, and the machines, where to hold the room until all of it is free."""
    spec = pending_job.spec
    by_machine = _preemptible_by_machine(pending_job, victims)
    cleared = []
    for candidate in candidates:
        if not is_kind_allowed(spec, candidate.kind):
            continue
        victims_here = by_machine.get(candidate.machine, [])
        cleared.append(
            replace(
                candidate,
                free_cpus=candidate.free_cpus + sum(v.cpus for v in victims_here),
                free_gpus=candidate.free_gpus + sum(v.gpus for v in victims_here),
                free_memory_gb=candidate.free_memory_gb + sum(v.memory_gb for v in victims_here),
            )
        )
    machines = Counter(place_constrained(pending_job, cleared, count, weights))
    candidate_by_machine = {o.machine: o for o in candidates}
    chosen: list[Victim] = []
    for machine, tasks in machines.items():
        remaining = replace(candidate_by_machine[machine])
        for victim in sorted(by_machine.get(machine, []), key=lambda v: v.lost_cpu_s / v.cpus):
            if count_slots(spec, remaining.free_cpus, remaining.free_gpus, remaining.free_memory_gb) >= tasks:
                break
            remaining.free_cpus += victim.cpus
            remaining.free_gpus += victim.gpus
            remaining.free_memory_gb += victim.memory_gb
            chosen.append(victim)
    return chosen, set(machines)


def _smallest_cpus_by_rank(victims: Iterable[Victim]) -> dict[int, float]:
    """The CPUs of the smallest victim of each rank."""
    smallest: dict[int, float] = {}
    for victim in victims:
        smallest[victim.rank] = min(victim.cpus, smallest.get(victim.rank, inf))
    return smallest


def mark_borrowed(victims: Iterable[Victim], excess_cpus_by_team: dict[str, float]) -> None:
    """`over` is each team's use beyond its guarantee, in CPUs. Of what a team borrows, its
    least important and least costly tasks are to go."""
    for victim in sorted(victims, key=lambda v: (-v.rank, v.lost_cpu_s)):
        if excess_cpus_by_team.get(victim.team, 0.0) >= victim.cpus:
            victim.is_borrowed = True
            excess_cpus_by_team[victim.team] -= victim.cpus


def is_urgent(pending_job: PendingJob, victims: Iterable[Victim]) -> bool:
    """Whether waiting for room harms: an aim on the start is about to be missed, or the slack
    is within the estimates' error, or others borrow what its team is guaranteed."""
    spec = pending_job.spec
    return (
        pending_job.is_starved
        or pending_job.start_slack_s < URGENT_SLACK_S
        or pending_job.slack_s < URGENT_SLACK_RUNS * pending_job.expected_run_s + URGENT_SLACK_S
        or has_sibling_traffic(spec)
        or (
            pending_job.guaranteed_tasks > 0
            and spec.deadline_s is None
            and any(v.is_borrowed and v.rank == pending_job.rank and v.team != spec.team for v in victims)
        )
    )


def checkpointable_victims(pending_job: PendingJob, victims: Iterable[Victim]) -> list[Victim]:
    """What another team runs beyond its guarantee and can save, for work of the same priority
    within one. It loses nothing, so nothing is gained by waiting until the slack is short:
    idle-time work of a guest that filled all room made a third of the others' jobs late."""
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


def select_machines_awaiting_completions(
    pending_job: PendingJob,
    missing_tasks: int,
    candidates: Iterable[Candidate],
    victims: Iterable[Victim],
    reservations: Mapping[MachineId, Reservation],
) -> list[MachineId]:
    """Machines to hold until what ends there by itself has left room for `short` tasks.

    Smaller tasks of lower priority would take each piece of room that comes free before it
    is large enough. On a machine that runs many of them a hole forms soon and wastes
    little, so the larger machines are held, and none that runs just a few."""
    spec = pending_job.spec
    by_machine = _preemptible_by_machine(pending_job, victims)
    machines_by_cpus = [
        (sum(v.cpus for v in by_machine[offer.machine]), offer.machine)
        for offer in candidates
        if offer.machine in by_machine and is_kind_allowed(spec, offer.kind) and offer.machine not in reservations
    ]
    selected: list[MachineId] = []
    missing_cpus = RESERVED_CAPACITY_FACTOR * missing_tasks * spec.cpus
    for cpus, machine in sorted(machines_by_cpus, key=lambda one: (-one[0], one[1])):
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
    """Machines, where most is free already, to hold for a job that waited too long to begin: nothing else enters until
    what runs there has left enough. One for each task that is short, so an array holds one."""
    spec = pending_job.spec
    free_by_machine = [
        (offer.free_gpus if spec.gpus > 0 else 0.0, offer.free_cpus, offer.machine, offer.kind.zone)
        for offer in candidates
        if is_kind_allowed(spec, offer.kind) and offer.machine not in reservations
    ]
    zones = set(pending_job.count_siblings_by_zone()) or {zone for *_, zone in free_by_machine}
    groups = (
        [[one for one in free_by_machine if one[3] == zone] for zone in sorted(zones)]
        if spec.one_zone
        else [free_by_machine]
    )
    best = max(
        (sorted(group, key=lambda one: (-one[0], -one[1], one[2]))[:missing_tasks] for group in groups),
        key=lambda group: (len(group), sum(one[0] for one in group), sum(one[1] for one in group)),
        default=[],
    )
    return [name for _, _, name, _ in best]


class PreemptionAttempt(NamedTuple):
    """What gave way for a job, when, and how many of its tasks waited."""

    started_at: Instant
    waiting_tasks: int
    victim_keys: list[object]


class PreemptionPlanner:
    """Stops lower priority for what found no room. Victims under way count as room."""

    def __init__(self, weights: OperatorSettings) -> None:
        self._weights = weights
        self._attempts: dict[JobId, PreemptionAttempt] = {}
        self._in_progress: set[JobId] = set()
        self.reservations: dict[MachineId, Reservation] = {}

    def forget(self, job_id: JobId) -> None:
        self._attempts.pop(job_id, None)
        self._in_progress.discard(job_id)

    def export_attempts(self, now: Instant) -> dict[JobId, tuple[Seconds, int]]:
        """For the next leader: for which jobs others were asked lately, how long ago, and how many tasks waited."""
        return {
            job: (now - asked.started_at, asked.waiting_tasks)
            for job, asked in self._attempts.items()
            if now - asked.started_at < PREEMPTION_RETRY_S
        }

    def import_attempts(self, attempts: Mapping[JobId, tuple[Seconds, int]], now: Instant) -> None:
        """The same, from the leader before."""
        for job_id, (age_s, waiting_tasks) in attempts.items():
            self._attempts[job_id] = PreemptionAttempt(Instant(now - age_s), waiting_tasks, [])

    def _drop_finished_attempts(self, now: Instant, is_still_placed: Callable[[object], bool]) -> None:
        for job_id in list(self._in_progress):
            attempt = self._attempts[job_id]
            if now - attempt.started_at >= PREEMPTION_RETRY_S or not any(
                is_still_placed(key) for key in attempt.victim_keys
            ):
                self._in_progress.discard(job_id)
        # What is held for ends is chosen anew in every pass.
        self.reservations = {name: hold for name, hold in self.reservations.items() if hold.job_id in self._in_progress}

    def plan(
        self,
        pending_jobs: Collection[PendingJob],
        placed_counts: Mapping[JobId, int],
        list_all_candidates: Callable[[], list[Candidate]],
        list_candidates_of: Callable[[list[Victim]], list[Candidate]],
        headroom_by_team: dict[str, QuotaHeadroom],
        list_victims: Callable[[int, bool], list[Victim]],
        may_preempt: Callable[[PendingJob], bool],
        is_still_placed: Callable[[object], bool],
        now: Instant,
    ) -> list[tuple[JobId, list[Victim]]]:
        """The victims for each job that is short of room; `found` is what it got, `placed`
        tells whether a victim's key is still on its machine. Offers and victims are asked for
        only where some job may have others give way, and the offers of the whole fleet only
        where it is bound by zones: free room elsewhere counts for it."""
        self._drop_finished_attempts(now, is_still_placed)
        plan: list[tuple[JobId, list[Victim]]] = []
        victims: list[Victim] | None = None
        candidates: list[Candidate] = []
        has_all_candidates = False
        victims_by_group: dict[tuple[int, str], dict[MachineId, list[Victim]]] = {}
        smallest_cpus: dict[int, float] = {}
        min_unsatisfiable_memory: dict[tuple[object, ...], float] = {}
        for pending_job in sorted(pending_jobs, key=queue_order):
            missing_tasks = min(
                pending_job.task_count - placed_counts.get(pending_job.job_id, 0),
                headroom_by_team[pending_job.spec.team].max_tasks(pending_job.spec),
            )
            if missing_tasks <= 0 or pending_job.job_id in self._in_progress:
                continue
            if pending_job.is_starved:
                machines_for_starved = select_machines_for_starved_job(
                    pending_job, missing_tasks, list_all_candidates(), self.reservations
                )
                self.reservations.update(
                    (name, Reservation(pending_job.job_id, STARVED_JOB_RANK)) for name in machines_for_starved
                )
            if pending_job.rank >= LOWEST_RANK and pending_job.guaranteed_tasks == 0:
                continue
            attempt = self._attempts.get(pending_job.job_id)
            if (
                attempt is not None
                and pending_job.task_count >= attempt.waiting_tasks
                and now - attempt.started_at < PREEMPTION_RETRY_S
            ):
                # What gave way last time did not help this job, so nothing more does yet.
                continue
            if not may_preempt(pending_job):
                continue
            if victims is None:
                # Wants come by rank, so what may give way to the first may to all.
                victims = list_victims(pending_job.rank, any(other.guaranteed_tasks for other in pending_jobs))
                candidates = list_candidates_of(victims)
                smallest_cpus = _smallest_cpus_by_rank(victims)
            if has_topology_constraints(pending_job.spec) and not has_all_candidates:
                candidates, has_all_candidates = list_all_candidates(), True
            urgent = is_urgent(pending_job, victims)
            selected = (
                []
                if urgent
                else self._select_victims(
                    pending_job, missing_tasks, candidates, checkpointable_victims(pending_job, victims)
                )
            )
            if not urgent and not selected:
                # What waits without harm lets the others keep what they have done.
                if not any(
                    rank > pending_job.rank and cpus < pending_job.spec.cpus for rank, cpus in smallest_cpus.items()
                ):
                    continue
                machines = select_machines_awaiting_completions(
                    pending_job, missing_tasks, candidates, victims, self.reservations
                )
                if machines:
                    self.reservations.update(
                        (name, Reservation(pending_job.job_id, pending_job.rank)) for name in machines
                    )
                    continue
            if not selected and has_topology_constraints(pending_job.spec):
                selected = self._select_victims(pending_job, missing_tasks, candidates, victims)
            elif not selected:
                # What found nobody finds nobody for its like, and who yields to it is sorted once: a swarm's
                # jobs asked the same thousands of tasks one by one, a tenth of a busy leader's time.
                group = (pending_job.rank, pending_job.spec.team if pending_job.guaranteed_tasks else "")
                shape = (
                    group,
                    task_shape(pending_job.spec)._replace(memory_gb=0.0),
                    pending_job.requires_cached_image and pending_job.spec.image,
                )
                if pending_job.spec.memory_gb >= min_unsatisfiable_memory.get(shape, inf):
                    continue
                if group not in victims_by_group:
                    victims_by_group[group] = _preemptible_by_loss(pending_job, victims)
                selected = self._reserve_if_equal_rank(
                    pending_job, _select_least_loss(pending_job, missing_tasks, candidates, victims_by_group[group])
                )
                if not selected:
                    min_unsatisfiable_memory[shape] = pending_job.spec.memory_gb
            if selected:
                taken_keys = {victim.task_key for victim in selected}
                victims = [v for v in victims if v.task_key not in taken_keys]
                victims_by_group.clear()
                smallest_cpus = _smallest_cpus_by_rank(victims)
                self._in_progress.add(pending_job.job_id)
                self._attempts[pending_job.job_id] = PreemptionAttempt(
                    now, pending_job.task_count, [v.task_key for v in selected]
                )
                plan.append((pending_job.job_id, selected))
        return plan

    def _reserve_if_equal_rank(self, pending_job: PendingJob, selected: list[Victim]) -> list[Victim]:
        """Room that its equals give is held for the job whose guarantee it is."""
        if any(v.rank == pending_job.rank for v in selected):
            self.reservations.update((v.machine, Reservation(pending_job.job_id, pending_job.rank)) for v in selected)
        return selected

    def _select_victims(
        self, pending_job: PendingJob, missing_tasks: int, candidates: list[Candidate], victims: list[Victim]
    ) -> list[Victim]:
        if not has_topology_constraints(pending_job.spec):
            return self._reserve_if_equal_rank(
                pending_job, select_victims(pending_job, missing_tasks, candidates, victims)
            )
        if has_sibling_traffic(pending_job.spec) and missing_tasks < pending_job.task_count:
            return []
        selected, machines = select_victims_constrained(pending_job, missing_tasks, candidates, victims, self._weights)
        if selected:
            self.reservations.update((name, Reservation(pending_job.job_id, pending_job.rank)) for name in machines)
        return selected
