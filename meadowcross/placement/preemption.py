"""Preemption: selects running tasks to stop, and machines to reserve, for jobs that could not be placed.

The selections are pure functions over a snapshot (`victims`, `reservations`); `PreemptionPlanner` keeps the state
that a leader needs from one pass to the next.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from math import inf
from typing import NamedTuple, Protocol

from meadowcross.common.error_boundary import ErrorBoundary
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
    find_smallest_cpus_by_rank,
    group_preemptible_by_loss,
    select_checkpointable_victims,
    select_least_loss,
    select_victims,
    select_victims_constrained,
)

PREEMPTION_RETRY_S: Seconds = 4.0
"""Tasks are stopped again for the same job only after this time, unless fewer of its tasks wait than before."""
URGENT_SLACK_RUNS = 0.5
"""Share of the run time by which estimates may be wrong; a job whose slack is below it is urgent."""
URGENT_SLACK_S: Seconds = 5.0
"""Slack that is added to the share of the run time; a job with less start slack is urgent."""
LOWEST_RANK = max(PRIORITY_RANKS.values())
STARVED_JOB_RANK = min(PRIORITY_RANKS.values()) - 1
"""Rank of a starved job's reservations, above all priorities: no other job may use these machines."""


class PreemptionSnapshot(Protocol):
    """State of the cluster as the planner reads it; each list is built only when its method is called."""

    def all_candidates(self) -> list[Candidate]:
        """Return all schedulable machines, including full ones."""

    def candidates_of(self, victims: Iterable[Victim]) -> list[Candidate]:
        """Return the machines that the victims run on."""

    def victims(self, rank: int, has_guaranteed_tasks: bool) -> list[Victim]:
        """Return the tasks that may be stopped for jobs of this rank.

        Tasks of the same rank may be stopped only if `has_guaranteed_tasks`: a team's guarantee covers some of the
        tasks to place.
        """

    def may_preempt(self, pending_job: PendingJob) -> bool:
        """Return whether any task is running that might be stopped for the job."""


class PreemptionAttempt(NamedTuple):
    """The last time that tasks were stopped for a job."""

    started_at: Instant
    waiting_tasks: int
    """Number of the job's tasks that waited at that time."""
    victim_keys: list[object]


class Preemption(NamedTuple):
    """The tasks to stop for a job."""

    job_id: JobId
    victims: list[Victim]


class _PreemptorGroup(NamedTuple):
    """Key of the jobs for which the same tasks may be stopped."""

    rank: int
    team: str
    """Empty if the team's guarantee is used up."""


class _DemandShape(NamedTuple):
    """Key of the jobs that find victims on the same machines, except that they may need different amounts of memory."""

    group: _PreemptorGroup
    task: TaskShape
    required_image: str | None


class _PlanningPass:
    """Candidates and victims of one pass.

    They are read from the snapshot when the first job needs them; victims are removed once they are selected.
    """

    def __init__(self, snapshot: PreemptionSnapshot, pending_jobs: Collection[PendingJob]) -> None:
        self.snapshot = snapshot
        self._pending_jobs = pending_jobs
        self._is_loaded = False
        self._has_all_candidates = False
        self.victims: list[Victim] = []
        self.candidates: list[Candidate] = []
        self._smallest_cpus_by_rank: dict[int, float] = {}
        self._victims_by_group: dict[_PreemptorGroup, VictimsByMachine] = {}
        self._unsatisfied_memory_gb: dict[_DemandShape, float] = {}

    def load_for(self, pending_job: PendingJob) -> None:
        """Read the victims and candidates if the job is the first that needs them.

        Apart from starved jobs, jobs are planned in the order of ranks, so the victims for the first job include those
        for all later jobs. Only a job with topology constraints needs the candidates without victims: it may use free
        resources there.
        """
        if not self._is_loaded:
            self._is_loaded = True
            has_guaranteed_tasks = any(job.guaranteed_tasks for job in self._pending_jobs)
            self.victims = self.snapshot.victims(pending_job.rank, has_guaranteed_tasks)
            self.candidates = self.snapshot.candidates_of(self.victims)
            self._smallest_cpus_by_rank = find_smallest_cpus_by_rank(self.victims)
        if has_topology_constraints(pending_job.spec) and not self._has_all_candidates:
            self._has_all_candidates = True
            self.candidates = self.snapshot.all_candidates()

    def remove_victims(self, selected: Iterable[Victim]) -> None:
        """Remove the selected victims, so that later jobs do not select them again."""
        selected_keys = {victim.task_key for victim in selected}
        self.victims = [victim for victim in self.victims if victim.task_key not in selected_keys]
        self._victims_by_group.clear()
        self._smallest_cpus_by_rank = find_smallest_cpus_by_rank(self.victims)

    def has_smaller_victims(self, pending_job: PendingJob) -> bool:
        """Return whether a task of lower priority is running that needs fewer CPUs than one of the job's tasks."""
        return any(
            rank > pending_job.rank and cpus < pending_job.spec.cpus
            for rank, cpus in self._smallest_cpus_by_rank.items()
        )

    def select_least_loss(self, pending_job: PendingJob, missing_tasks: int) -> list[Victim]:
        """Return the victims for a job without topology constraints.

        Victims are sorted once for each group, and a job is skipped if a job of the same shape that needs no more
        memory found no victims: checking the same victims for each of thousands of similar jobs took a tenth of a busy
        leader's time.
        """
        spec = pending_job.spec
        group = _PreemptorGroup(pending_job.rank, spec.team if pending_job.guaranteed_tasks else "")
        required_image = spec.image if pending_job.requires_cached_image else None
        shape = _DemandShape(group, task_shape(spec)._replace(memory_gb=0.0), required_image)
        if spec.memory_gb >= self._unsatisfied_memory_gb.get(shape, inf):
            return []
        if group not in self._victims_by_group:
            self._victims_by_group[group] = group_preemptible_by_loss(pending_job, self.victims)
        selected = select_least_loss(pending_job, missing_tasks, self.candidates, self._victims_by_group[group])
        if not selected:
            self._unsatisfied_memory_gb[shape] = spec.memory_gb
        return selected


class PreemptionPlanner:
    """Selects the tasks to stop for jobs that could not be placed.

    No further tasks are stopped for a job while its earlier victims are still ending.
    """

    def __init__(self, weights: OperatorSettings) -> None:
        self._weights = weights
        self._attempts: dict[JobId, PreemptionAttempt] = {}
        self._in_progress: set[JobId] = set()
        self.reservations: dict[MachineId, Reservation] = {}

    def forget(self, job_id: JobId) -> None:
        """Drop the state of a job that has ended."""
        self._attempts.pop(job_id, None)
        self._in_progress.discard(job_id)

    def is_in_progress(self, job_id: JobId) -> bool:
        """Return whether tasks that were stopped for the job are still ending."""
        return job_id in self._in_progress

    def export_attempts(self, now: Instant) -> dict[JobId, tuple[Seconds, int]]:
        """Return the recent attempts for the next leader, by job: age and number of waiting tasks."""
        return {
            job_id: (now - attempt.started_at, attempt.waiting_tasks)
            for job_id, attempt in self._attempts.items()
            if now - attempt.started_at < PREEMPTION_RETRY_S
        }

    def import_attempts(self, attempts: Mapping[JobId, tuple[Seconds, int]], now: Instant) -> None:
        """Import the previous leader's attempts, in the form that `export_attempts` returns."""
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
        """Select the victims for each job with tasks left to place, and reserve machines.

        `placed_counts` is the number of tasks that each job had placed in this pass; `is_still_placed` returns whether
        the task of a victim's key is still on its machine.
        """
        self._drop_finished_attempts(now, is_still_placed)
        planning_pass = _PlanningPass(snapshot, pending_jobs)
        preemptions: list[Preemption] = []
        for pending_job in sorted(pending_jobs, key=queue_order):
            with ErrorBoundary("planning preemption", job=pending_job.job_id):
                missing_tasks = min(
                    pending_job.task_count - placed_counts.get(pending_job.job_id, 0),
                    headroom_by_team[pending_job.spec.team].max_tasks(pending_job.spec),
                )
                if missing_tasks > 0 and pending_job.job_id not in self._in_progress:
                    preemptions += self._plan_for(pending_job, missing_tasks, planning_pass, now)
        return preemptions

    def _plan_for(
        self, pending_job: PendingJob, missing_tasks: int, planning_pass: _PlanningPass, now: Instant
    ) -> list[Preemption]:
        """Reserve machines for the job and return its preemption, if there is any."""
        snapshot = planning_pass.snapshot
        if pending_job.is_starved:
            self._reserve_for_starved(pending_job, missing_tasks, snapshot)
        if not self._may_preempt_now(pending_job, now) or not snapshot.may_preempt(pending_job):
            return []
        planning_pass.load_for(pending_job)
        selected = self._select_victims(pending_job, missing_tasks, planning_pass)
        if not selected:
            return []
        planning_pass.remove_victims(selected)
        self._record_attempt(pending_job, selected, now)
        return [Preemption(pending_job.job_id, selected)]

    def _drop_finished_attempts(self, now: Instant, is_still_placed: Callable[[object], bool]) -> None:
        for job_id in list(self._in_progress):
            attempt = self._attempts[job_id]
            is_overdue = now - attempt.started_at >= PREEMPTION_RETRY_S
            if is_overdue or not any(is_still_placed(key) for key in attempt.victim_keys):
                self._in_progress.discard(job_id)
        # Reservations that wait for completions are made again in every pass.
        self.reservations = {
            machine: reservation
            for machine, reservation in self.reservations.items()
            if reservation.job_id in self._in_progress
        }

    def _may_preempt_now(self, pending_job: PendingJob, now: Instant) -> bool:
        """Return whether the job's priority or guarantee allows preemption, and its last attempt is not too recent."""
        if pending_job.rank >= LOWEST_RANK and pending_job.guaranteed_tasks == 0:
            return False
        attempt = self._attempts.get(pending_job.job_id)
        # If the last victims have not helped the job, more victims would not help yet.
        return (
            attempt is None
            or pending_job.task_count < attempt.waiting_tasks
            or now - attempt.started_at >= PREEMPTION_RETRY_S
        )

    def _record_attempt(self, pending_job: PendingJob, selected: list[Victim], now: Instant) -> None:
        self._in_progress.add(pending_job.job_id)
        victim_keys = [victim.task_key for victim in selected]
        self._attempts[pending_job.job_id] = PreemptionAttempt(now, pending_job.task_count, victim_keys)

    def _select_victims(
        self, pending_job: PendingJob, missing_tasks: int, planning_pass: _PlanningPass
    ) -> list[Victim]:
        """Return the tasks to stop for the job.

        For a job that can wait these are checkpointable tasks only, unless its tasks are larger than tasks of lower
        priority and there is no machine to reserve.
        """
        if not is_urgent(pending_job, planning_pass.victims):
            checkpointable = select_checkpointable_victims(pending_job, planning_pass.victims)
            selected = self._select_and_reserve(pending_job, missing_tasks, planning_pass.candidates, checkpointable)
            if selected or not planning_pass.has_smaller_victims(pending_job):
                return selected
            if self._reserve_for_completions(pending_job, missing_tasks, planning_pass):
                return []
        if has_topology_constraints(pending_job.spec):
            return self._select_and_reserve(pending_job, missing_tasks, planning_pass.candidates, planning_pass.victims)
        selected = planning_pass.select_least_loss(pending_job, missing_tasks)
        self._reserve_for_guarantee(pending_job, selected)
        return selected

    def _select_and_reserve(
        self, pending_job: PendingJob, missing_tasks: int, candidates: list[Candidate], victims: list[Victim]
    ) -> list[Victim]:
        """Select victims among the given ones, and reserve their machines if the job needs reservations."""
        if not has_topology_constraints(pending_job.spec):
            selected = select_victims(pending_job, missing_tasks, candidates, victims)
            self._reserve_for_guarantee(pending_job, selected)
            return selected
        if has_sibling_traffic(pending_job.spec) and missing_tasks < pending_job.task_count:
            return []
        selection = select_victims_constrained(pending_job, missing_tasks, candidates, victims, self._weights)
        if selection.victims:
            self._reserve_machines(selection.machines, pending_job, pending_job.rank)
        return selection.victims

    def _reserve_for_guarantee(self, pending_job: PendingJob, selected: list[Victim]) -> None:
        """Reserve the machines of the victims for the job if one of them has the job's own priority.

        Such victims are stopped for the guarantee of the job's team.
        """
        if any(victim.rank == pending_job.rank for victim in selected):
            self._reserve_machines((victim.machine for victim in selected), pending_job, pending_job.rank)

    def _reserve_for_starved(self, pending_job: PendingJob, missing_tasks: int, snapshot: PreemptionSnapshot) -> None:
        machines = select_machines_for_starved_job(
            pending_job, missing_tasks, snapshot.all_candidates(), self.reservations
        )
        self._reserve_machines(machines, pending_job, STARVED_JOB_RANK)

    def _reserve_for_completions(
        self, pending_job: PendingJob, missing_tasks: int, planning_pass: _PlanningPass
    ) -> bool:
        """Reserve machines where ending tasks will soon free enough resources; return False if there are none."""
        machines = select_machines_awaiting_completions(
            pending_job, missing_tasks, planning_pass.candidates, planning_pass.victims, self.reservations
        )
        self._reserve_machines(machines, pending_job, pending_job.rank)
        return bool(machines)

    def _reserve_machines(self, machines: Iterable[MachineId], pending_job: PendingJob, rank: int) -> None:
        reservation = Reservation(pending_job.job_id, rank)
        self.reservations.update(dict.fromkeys(machines, reservation))


def is_urgent(pending_job: PendingJob, victims: Iterable[Victim]) -> bool:
    """Return whether the job can't wait for resources to become free.

    That is so if it is starved, a start objective is about to be missed, the slack is within the error of the
    estimates, the job is a gang, or other teams borrow resources of its team's guarantee and it has no deadline.
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
