"""Preemption: which running tasks are stopped for jobs that found no room, and which machines are reserved.

The choices are pure functions over a snapshot (`victims`, `reservations`); `PreemptionPlanner` keeps what a
leader must remember from one pass to the next.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from math import inf
from typing import NamedTuple, Protocol

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import Instant, JobId, MachineId, Seconds
from meadowcross.jobs.messages import PRIORITY_RANKS
from meadowcross.placement.model import (
    Candidate,
    PendingJob,
    QuotaHeadroom,
    Reservation,
    TaskShape,
    has_sibling_traffic,
    has_topology_constraints,
    queue_order,
    task_shape,
)
from meadowcross.placement.reservations import select_machines_awaiting_completions, select_machines_for_starved_job
from meadowcross.placement.victims import (
    Victim,
    VictimsByMachine,
    checkpointable_victims,
    preemptible_by_loss,
    select_least_loss,
    select_victims,
    select_victims_constrained,
    smallest_cpus_by_rank,
)

PREEMPTION_RETRY_S: Seconds = 4.0
"""A job for which tasks were stopped has no others stopped within this time, unless more of its tasks are missing."""
URGENT_SLACK_RUNS = 0.5
"""The part of a run by which estimates may be wrong: with less slack a job can't wait."""
URGENT_SLACK_S: Seconds = 5.0
LOWEST_RANK = max(PRIORITY_RANKS.values())
STARVED_JOB_RANK = min(PRIORITY_RANKS.values()) - 1
"""The rank of a starved job's reservations, above all priorities: no other job may use these machines."""


class PreemptionSnapshot(Protocol):
    """What the planner looks at; each list is built only when it is asked for."""

    def all_candidates(self) -> list[Candidate]:
        """Return all schedulable machines, also the full ones."""

    def candidates_of(self, victims: Iterable[Victim]) -> list[Candidate]:
        """Return the machines that the victims run on."""

    def victims(self, rank: int, guaranteed: bool) -> list[Victim]:
        """Return what may be stopped for work of this rank; of the same rank only if `guaranteed`."""

    def may_preempt(self, pending_job: PendingJob) -> bool:
        """Return whether anything runs that might be stopped for the job."""


class PreemptionAttempt(NamedTuple):
    """The last time when tasks were stopped for a job."""

    started_at: Instant
    waiting_tasks: int
    """How many of the job's tasks waited then."""
    victim_keys: list[object]


class Preemption(NamedTuple):
    """The tasks to stop for a job."""

    job_id: JobId
    victims: list[Victim]


class _Group(NamedTuple):
    """Jobs for which the same tasks may be stopped."""

    rank: int
    team: str
    """Empty for jobs without a guarantee left."""


class _DemandShape(NamedTuple):
    """Jobs that find victims on the same machines, but for their need of memory."""

    group: _Group
    task: TaskShape
    required_image: str | None


class _PlanningPass:
    """What one pass looks at, read from the snapshot once the first job needs it and reduced by what is selected."""

    def __init__(self, snapshot: PreemptionSnapshot, pending_jobs: Collection[PendingJob]) -> None:
        self._snapshot = snapshot
        self._pending_jobs = pending_jobs
        self._is_loaded = False
        self._has_all_candidates = False
        self.victims: list[Victim] = []
        self.candidates: list[Candidate] = []
        self._smallest_cpus: dict[int, float] = {}
        self._by_group: dict[_Group, VictimsByMachine] = {}
        self._unsatisfied_memory_gb: dict[_DemandShape, float] = {}

    def prepare_for(self, pending_job: PendingJob) -> None:
        """Read the victims and candidates if the job is the first that needs them.

        Jobs come by rank, so what may be stopped for the first covers all later ones. Only a job bound by zones
        needs the candidates of all machines: room that is free elsewhere counts for it.
        """
        if not self._is_loaded:
            self._is_loaded = True
            has_guaranteed = any(job.guaranteed_tasks for job in self._pending_jobs)
            self.victims = self._snapshot.victims(pending_job.rank, has_guaranteed)
            self.candidates = self._snapshot.candidates_of(self.victims)
            self._smallest_cpus = smallest_cpus_by_rank(self.victims)
        if has_topology_constraints(pending_job.spec) and not self._has_all_candidates:
            self._has_all_candidates = True
            self.candidates = self._snapshot.all_candidates()

    def remove(self, selected: Iterable[Victim]) -> None:
        """Take the selected victims out of the choice for later jobs."""
        keys = {victim.task_key for victim in selected}
        self.victims = [victim for victim in self.victims if victim.task_key not in keys]
        self._by_group.clear()
        self._smallest_cpus = smallest_cpus_by_rank(self.victims)

    def has_smaller_victims(self, pending_job: PendingJob) -> bool:
        """Return whether tasks of lower priority run that are smaller than the job's."""
        return any(
            rank > pending_job.rank and cpus < pending_job.spec.cpus for rank, cpus in self._smallest_cpus.items()
        )

    def select_least_loss(self, pending_job: PendingJob, missing_tasks: int) -> list[Victim]:
        """Return the victims for a job without topology constraints.

        Victims are sorted once for each group, and what found none finds none for its like: for thousands of
        similar jobs asking the same tasks one by one took a tenth of a busy leader's time.
        """
        spec = pending_job.spec
        group = _Group(pending_job.rank, spec.team if pending_job.guaranteed_tasks else "")
        required_image = spec.image if pending_job.requires_cached_image else None
        shape = _DemandShape(group, task_shape(spec)._replace(memory_gb=0.0), required_image)
        if spec.memory_gb >= self._unsatisfied_memory_gb.get(shape, inf):
            return []
        if group not in self._by_group:
            self._by_group[group] = preemptible_by_loss(pending_job, self.victims)
        selected = select_least_loss(pending_job, missing_tasks, self.candidates, self._by_group[group])
        if not selected:
            self._unsatisfied_memory_gb[shape] = spec.memory_gb
        return selected


class PreemptionPlanner:
    """Chooses the tasks to stop for jobs that found no room. The room of tasks being stopped counts as theirs."""

    def __init__(self, weights: OperatorSettings) -> None:
        self._weights = weights
        self._attempts: dict[JobId, PreemptionAttempt] = {}
        self._in_progress: set[JobId] = set()
        self.reservations: dict[MachineId, Reservation] = {}

    def forget(self, job_id: JobId) -> None:
        """Forget a job that is over."""
        self._attempts.pop(job_id, None)
        self._in_progress.discard(job_id)

    def export_attempts(self, now: Instant) -> dict[JobId, tuple[Seconds, int]]:
        """Return the recent attempts for the next leader, by job: their age and how many tasks waited."""
        return {
            job_id: (now - attempt.started_at, attempt.waiting_tasks)
            for job_id, attempt in self._attempts.items()
            if now - attempt.started_at < PREEMPTION_RETRY_S
        }

    def import_attempts(self, attempts: Mapping[JobId, tuple[Seconds, int]], now: Instant) -> None:
        """Take over the previous leader's attempts, as from `export_attempts`."""
        for job_id, (age_s, waiting_tasks) in attempts.items():
            self._attempts[job_id] = PreemptionAttempt(Instant(now - age_s), waiting_tasks, [])

    def plan(
        self,
        pending_jobs: Collection[PendingJob],
        placed_counts: Mapping[JobId, int],
        headroom_by_team: Mapping[str, QuotaHeadroom],
        snapshot: PreemptionSnapshot,
        is_still_placed: Callable[[object], bool],
        now: Instant,
    ) -> list[Preemption]:
        """Return the victims for each job that is short of room, and reserve machines.

        `placed_counts` is what each job got in this pass; `is_still_placed` tells of a victim's key whether the
        task is still on its machine.
        """
        self._drop_finished_attempts(now, is_still_placed)
        current = _PlanningPass(snapshot, pending_jobs)
        preemptions: list[Preemption] = []
        for pending_job in sorted(pending_jobs, key=queue_order):
            missing_tasks = min(
                pending_job.task_count - placed_counts.get(pending_job.job_id, 0),
                headroom_by_team[pending_job.spec.team].max_tasks(pending_job.spec),
            )
            if missing_tasks <= 0 or pending_job.job_id in self._in_progress:
                continue
            if pending_job.is_starved:
                self._reserve_for_starved(pending_job, missing_tasks, snapshot)
            if not self._may_stop_others(pending_job, now) or not snapshot.may_preempt(pending_job):
                continue
            current.prepare_for(pending_job)
            selected = self._select(pending_job, missing_tasks, current)
            if selected:
                current.remove(selected)
                self._record_attempt(pending_job, selected, now)
                preemptions.append(Preemption(pending_job.job_id, selected))
        return preemptions

    def _drop_finished_attempts(self, now: Instant, is_still_placed: Callable[[object], bool]) -> None:
        for job_id in list(self._in_progress):
            attempt = self._attempts[job_id]
            is_overdue = now - attempt.started_at >= PREEMPTION_RETRY_S
            if is_overdue or not any(is_still_placed(key) for key in attempt.victim_keys):
                self._in_progress.discard(job_id)
        # Machines that wait for completions are chosen anew in every pass.
        self.reservations = {
            machine: reservation
            for machine, reservation in self.reservations.items()
            if reservation.job_id in self._in_progress
        }

    def _may_stop_others(self, pending_job: PendingJob, now: Instant) -> bool:
        """Return whether the job's priority or guarantee lets it, and its last attempt is not too recent."""
        if pending_job.rank >= LOWEST_RANK and pending_job.guaranteed_tasks == 0:
            return False
        attempt = self._attempts.get(pending_job.job_id)
        # If what was stopped last did not help the job, more would not help yet.
        return (
            attempt is None
            or pending_job.task_count < attempt.waiting_tasks
            or now - attempt.started_at >= PREEMPTION_RETRY_S
        )

    def _record_attempt(self, pending_job: PendingJob, selected: list[Victim], now: Instant) -> None:
        self._in_progress.add(pending_job.job_id)
        victim_keys = [victim.task_key for victim in selected]
        self._attempts[pending_job.job_id] = PreemptionAttempt(now, pending_job.task_count, victim_keys)

    def _select(self, pending_job: PendingJob, missing_tasks: int, current: _PlanningPass) -> list[Victim]:
        """Return the tasks to stop for the job; a job that can wait costs nobody's progress."""
        if not is_urgent(pending_job, current.victims):
            without_loss = checkpointable_victims(pending_job, current.victims)
            selected = self._select_from(pending_job, missing_tasks, current.candidates, without_loss)
            if selected or not current.has_smaller_victims(pending_job):
                return selected
            if self._reserve_for_completions(pending_job, missing_tasks, current):
                return []
        if has_topology_constraints(pending_job.spec):
            return self._select_from(pending_job, missing_tasks, current.candidates, current.victims)
        selected = current.select_least_loss(pending_job, missing_tasks)
        self._reserve_if_equal_rank(pending_job, selected)
        return selected

    def _select_from(
        self, pending_job: PendingJob, missing_tasks: int, candidates: list[Candidate], victims: list[Victim]
    ) -> list[Victim]:
        """Return the victims among those given, and reserve the machines where the job needs it."""
        if not has_topology_constraints(pending_job.spec):
            selected = select_victims(pending_job, missing_tasks, candidates, victims)
            self._reserve_if_equal_rank(pending_job, selected)
            return selected
        if has_sibling_traffic(pending_job.spec) and missing_tasks < pending_job.task_count:
            return []
        selection = select_victims_constrained(pending_job, missing_tasks, candidates, victims, self._weights)
        if selection.victims:
            self._reserve(selection.machines, pending_job, pending_job.rank)
        return selection.victims

    def _reserve_if_equal_rank(self, pending_job: PendingJob, selected: list[Victim]) -> None:
        """Reserve the room that work of the same priority leaves for the job whose guarantee it is."""
        if any(victim.rank == pending_job.rank for victim in selected):
            self._reserve((victim.machine for victim in selected), pending_job, pending_job.rank)

    def _reserve_for_starved(self, pending_job: PendingJob, missing_tasks: int, snapshot: PreemptionSnapshot) -> None:
        machines = select_machines_for_starved_job(
            pending_job, missing_tasks, snapshot.all_candidates(), self.reservations
        )
        self._reserve(machines, pending_job, STARVED_JOB_RANK)

    def _reserve_for_completions(self, pending_job: PendingJob, missing_tasks: int, current: _PlanningPass) -> bool:
        """Reserve machines where tasks that end will soon leave room; False if there are none."""
        machines = select_machines_awaiting_completions(
            pending_job, missing_tasks, current.candidates, current.victims, self.reservations
        )
        self._reserve(machines, pending_job, pending_job.rank)
        return bool(machines)

    def _reserve(self, machines: Iterable[MachineId], pending_job: PendingJob, rank: int) -> None:
        reservation = Reservation(pending_job.job_id, rank)
        self.reservations.update(dict.fromkeys(machines, reservation))


def is_urgent(pending_job: PendingJob, victims: Iterable[Victim]) -> bool:
    """Return whether waiting for room does harm.

    It does if an objective on the start is about to be missed, if the slack is within the estimates' error, or if
    others use what the job's team is guaranteed.
    """
    spec = pending_job.spec
    return (
        pending_job.is_starved
        or pending_job.start_slack_s < URGENT_SLACK_S
        or pending_job.slack_s < URGENT_SLACK_RUNS * pending_job.expected_run_s + URGENT_SLACK_S
        or has_sibling_traffic(spec)
        or (
            pending_job.guaranteed_tasks > 0
            and spec.deadline_s is None
            and any(
                victim.is_borrowed and victim.rank == pending_job.rank and victim.team != spec.team
                for victim in victims
            )
        )
    )
