"""Computes, at each call, the pending jobs and the machines for them from the tables of jobs and workers.

`SchedulingView` is used by placement passes, the autoscaler and forecasts, on the reactor thread only.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.clock import Clock
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.settings import Facts
from meadowcross.common.types import EPSILON, Instant, MachineId, Seconds
from meadowcross.estimates.estimators import RunTimeEstimator
from meadowcross.estimates.samples import elapsed_run_s
from meadowcross.jobs.job_table import Job, JobTable, PlacementPhase
from meadowcross.jobs.messages import JobKind, JobSpec
from meadowcross.jobs.objectives import ServiceLevelObjectives, slack
from meadowcross.leadership.reachability import Reachability
from meadowcross.placement.descheduler import ServiceReplica
from meadowcross.placement.model import (
    Candidate,
    PendingJob,
    QuotaHeadroom,
    bounded_count,
    has_topology_constraints,
)
from meadowcross.placement.scoring import SLOW_FETCH_S
from meadowcross.placement.victims import Victim, mark_borrowed
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.heartbeat_tracker import silence_window_s
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

UNLIMITED = 1e15
"""Headroom of a team without a limit, in CPUs or GPUs."""
ALMOST_DONE_S: Seconds = 3.0
"""A task that is expected to end within this time is not preempted."""
STARVATION_S: Seconds = 120.0
"""A job is starved, and placed first, if no task of it was placed for this time after its submission. It is half of the
four minutes within which users expect the largest jobs to begin: the other half is left for capacity to become free."""
AGED_JOBS_PER_MACHINE = 0.05
"""Maximum number of jobs per machine that run out of turn because they were starved."""
CACHED_IMAGE_WAIT_S: Seconds = 2.0
"""How long a lost replica waits for capacity on a machine with its image: a preempted task is gone within a second,
then its capacity may be used."""
MIN_FETCH_GB_PER_S = 0.01
"""Used where no machine type has a known fetch rate, so that fetch times stay finite."""

# A tuple instead of a set: enum members are compared faster than they are hashed.
_BEFORE_RUNNING = (
    PlacementPhase.STORING,
    PlacementPhase.STORED,
    PlacementPhase.SENT,
    PlacementPhase.FETCHING,
    PlacementPhase.WAITING,
)


class _SharedInputs(NamedTuple):
    """The inputs that all pending jobs of one call share."""

    now: Instant
    guarantees_left: dict[str, float]
    """The part of each team's guarantee that its placed tasks don't use, in CPUs."""
    fetch_gb_per_s: float
    """The fetch rate of the machine type with the fastest network."""


def _make_candidate(machine: Machine, machine_type: MachineType) -> Candidate:
    return Candidate(
        machine.id,
        machine.kind,
        machine_type.cpus - machine.usage.cpus,
        machine_type.gpus - machine.usage.gpus,
        machine_type.memory_gb - machine.usage.memory_gb,
        machine.images.cached,
        set(machine.images.pending_fetches),
    )


class SchedulingView:
    """Computes which machines may be given tasks, and which jobs have tasks to place."""

    def __init__(
        self,
        clock: Clock,
        facts: Facts,
        machine_types: Callable[[], list[MachineType]],
        job_table: JobTable,
        worker_registry: WorkerRegistry,
        health: FailureTracker,
        run_time_estimator: RunTimeEstimator,
    ) -> None:
        self._clock = clock
        self._machine_types = machine_types
        self._job_table = job_table
        self._worker_registry = worker_registry
        self._health = health
        self._run_time_estimator = run_time_estimator
        self._teams = {team.name: team for team in facts.teams}
        self._objectives = ServiceLevelObjectives(facts.objectives)
        self._contact_window_s = silence_window_s(facts.workers.report_s)
        self._resumed_at = Instant(0.0)

    @property
    def _now(self) -> Instant:
        return Instant(self._clock.seconds())

    def on_resume(self) -> None:
        """Record that the process was suspended until now: it received no message meanwhile, so no machine counts as
        silent for that time."""
        self._resumed_at = self._now

    def silence_s(self, machine: Machine) -> Seconds:
        """Returns how long the machine has been silent. The time before this process resumed, and the grace time after
        its relay failed, do not count."""
        last_contact_at = machine.contact.last_contact_at or machine.contact.hinted_contact_at or self._resumed_at
        return self._now - max(last_contact_at, self._resumed_at, min(machine.contact.grace_until, self._now))

    def _contact_cutoff(self) -> Instant:
        """Returns the instant before which the last contact of a silent machine was. It is 0 until one contact window
        after a suspension, so that no machine counts as silent."""
        window_start = self._now - self._contact_window_s
        return Instant(window_start if self._resumed_at <= window_start else 0.0)

    @property
    def contact_window_s(self) -> Seconds:
        """The time within which a healthy machine that reports here has a contact."""
        return self._contact_window_s

    def is_silent(self, machine: Machine) -> bool:
        """Whether the machine had no contact within the contact window."""
        return machine.contact.last_contact_at is None or machine.contact.last_contact_at < self._contact_cutoff()

    def contact_check(self) -> Callable[[Machine], bool]:
        """Returns a function that checks that a machine is not silent; faster than `is_silent` for many machines."""
        contact_cutoff = self._contact_cutoff()
        return lambda machine: (
            machine.contact.last_contact_at is not None and machine.contact.last_contact_at >= contact_cutoff
        )

    def measure_reach(self, best_peer_reach: int | None) -> Reachability:
        """Count the machines in use, and those whose heartbeats arrived within the contact window. `best_peer_reach` as
        in `Reachability`."""
        machines_in_use = [
            m
            for m in self._worker_registry.machines.values()
            if m.decommission_reason is None and (m.is_up or m.placements)
        ]
        contact_cutoff = self._contact_cutoff()
        return Reachability(
            len(machines_in_use),
            sum(1 for m in machines_in_use if (m.contact.last_heartbeat_at or -1.0) >= contact_cutoff),
            best_peer_reach,
        )

    def is_schedulable(self, machine: Machine) -> bool:
        """Whether tasks may be placed on the machine now, if it has free capacity."""
        return self._is_schedulable(machine, self._contact_cutoff())

    def _is_schedulable(self, machine: Machine, contact_cutoff: Instant) -> bool:
        return self._is_in_service(machine, contact_cutoff) and not self._health.is_quarantined(machine.id)

    def _is_in_service(self, machine: Machine, contact_cutoff: Instant) -> bool:
        """Whether the machine can execute tasks and is to be kept; it may be quarantined."""
        return (
            machine.proof.has_confirmed_token
            and machine.is_stored
            and machine.decommission_reason is None
            and not machine.is_draining
            and machine.machine_type is not None
            and machine.reclaim_at is None
            and machine.contact.unresponsive_since is None
            and machine.contact.last_contact_at is not None
            and machine.contact.last_contact_at >= contact_cutoff
            # A machine that responds to commands, but whose heartbeats don't arrive, gets no renewal of its worker
            # lease: tasks would be started there over and over. The heartbeat of a machine that was just registered may
            # take as long as the contact window.
            and (machine.contact.last_heartbeat_at or machine.contact.first_seen_at) >= contact_cutoff
        )

    def usability_check(self) -> Callable[[Machine], bool]:
        """Returns a function that checks whether a machine is schedulable, or will be in a moment."""
        contact_cutoff = self._contact_cutoff()
        return lambda machine: (
            self._is_schedulable(machine, contact_cutoff) or self._is_arriving(machine, contact_cutoff)
        )

    def _is_arriving(self, machine: Machine, contact_cutoff: Instant) -> bool:
        """Whether the machine is in contact, but has not confirmed our token yet, or its record is not stored.

        It counts as capacity: otherwise one more machine would be created beside each new one."""
        return (
            not (machine.proof.has_confirmed_token and machine.is_stored)
            and machine.reclaim_at is None
            and not machine.is_draining
            and machine.contact.last_contact_at is not None
            and machine.contact.last_contact_at >= contact_cutoff
        )

    def candidates(self) -> list[Candidate]:
        """Returns the machines that may be given tasks and have a free CPU."""
        return self._candidates(self._worker_registry.machines_with_free_cpu.values())

    def all_candidates(self) -> list[Candidate]:
        """Returns the machines that may be given tasks, including machines without free capacity."""
        return self._candidates(self._worker_registry.machines.values())

    def candidates_of(self, victims: Iterable[Victim]) -> list[Candidate]:
        """Returns the machines of these victims that may be given tasks."""
        machine_ids = {victim.machine for victim in victims}
        return self._candidates(self._worker_registry.machines[machine_id] for machine_id in machine_ids)

    def trial_candidates(self) -> list[Candidate]:
        """Returns the quarantined machines on which one job may be placed, to show whether tasks still fail there."""
        machines_with_free_cpu = self._worker_registry.machines_with_free_cpu
        contact_cutoff = self._contact_cutoff()
        return [
            _make_candidate(machine, machine.machine_type)
            for machine_id in self._health.list_machines_for_trial(self._now)
            if (machine := machines_with_free_cpu.get(machine_id)) is not None
            and machine.machine_type is not None
            and self._is_in_service(machine, contact_cutoff)
        ]

    def _candidates(self, machines: Iterable[Machine]) -> list[Candidate]:
        contact_cutoff = self._contact_cutoff()
        return [
            _make_candidate(machine, machine.machine_type)
            for machine in machines
            if machine.machine_type is not None and self._is_schedulable(machine, contact_cutoff)
        ]

    def quota_headroom(self) -> dict[str, QuotaHeadroom]:
        """Returns the CPUs and GPUs that each team's quota still allows."""
        headroom = {}
        for team in self._teams.values():
            usage = self._job_table.usage_of(team.name)
            headroom[team.name] = QuotaHeadroom(
                team.cpus_max - usage.cpus if team.cpus_max > 0 else UNLIMITED,
                team.gpus_max - usage.gpus if team.gpus_max > 0 else UNLIMITED,
            )
        return headroom

    def pending_jobs(self) -> list[PendingJob]:
        """Returns the jobs with tasks to place, except the jobs that must not be placed now."""
        shared = self._collect_shared_inputs()
        pending_jobs: list[PendingJob] = []
        for job in self._job_table.waiting.values():
            with ErrorBoundary("listing pending jobs", job=job.id):
                if self._may_be_placed(job, shared):
                    pending_jobs.append(self._pending_job(job, shared))
        self._promote_starved(pending_jobs, shared.now)
        return pending_jobs

    def _collect_shared_inputs(self) -> _SharedInputs:
        usage_of = self._job_table.usage_of
        guarantees_left = {name: team.cpus - usage_of(name).cpus + EPSILON for name, team in self._teams.items()}
        fastest = max((t.fetch_gb_per_s for t in self._machine_types()), default=0.0)
        return _SharedInputs(self._now, guarantees_left, max(fastest, MIN_FETCH_GB_PER_S))

    def _may_be_placed(self, job: Job, shared: _SharedInputs) -> bool:
        if job.cancelled_at is not None or job.is_ending or job.paused_until > shared.now or not job.mod_revision:
            # A job without a revision has a record that is not written back yet after a data loss.
            return False
        if job.spec.team not in shared.guarantees_left or not self._is_gang_ready(job):
            return False
        return not (job.is_probing and job.placements)

    def _promote_starved(self, pending_jobs: list[PendingJob], now: Instant) -> None:
        """Mark jobs as starved that have begun, but had nothing placed for long: a few at once, the oldest first, and
        an array with one task at a time. By strict priority alone they would never finish while higher classes use all
        capacity."""
        jobs = self._job_table.jobs
        starved = [job for job in pending_jobs if not job.is_starved and self._is_starved(jobs[job.job_id], now)]
        if not starved:
            return
        starved.sort(key=lambda pending: jobs[pending.job_id].submitted_at)
        promoted_count = sum(1 for job in jobs.values() if job.was_started_by_aging and job.placements)
        max_promoted = max(1, int(AGED_JOBS_PER_MACHINE * len(self._worker_registry.machines)))
        for pending in starved[: max(0, max_promoted - promoted_count)]:
            pending.is_starved = jobs[pending.job_id].was_started_by_aging = True
            if pending.spec.kind is JobKind.ARRAY:
                pending.task_count = 1

    @staticmethod
    def _is_starved(job: Job, now: Instant) -> bool:
        waited_s = now - max(job.submitted_at, job.last_loss_at or 0.0)
        return job.has_placed and not job.placements and not job.is_probing and waited_s > STARVATION_S

    def _pending_job(self, job: Job, shared: _SharedInputs) -> PendingJob:
        spec = job.spec
        run_s = self._run_time_estimator.run_time(spec)
        elapsed_s = shared.now - job.submitted_at
        if job.deadlines is None:
            job.deadlines = self._objectives.deadlines(spec)
        guaranteed_tasks = bounded_count(shared.guarantees_left[spec.team] / spec.cpus)
        is_probing = job.is_probing
        is_starved = elapsed_s > STARVATION_S and not job.has_placed
        is_limited_to_one_task = (is_probing or (is_starved and spec.kind is JobKind.ARRAY)) and not job.is_gang
        pending = PendingJob(
            job.id,
            spec,
            1 if is_limited_to_one_task else job.waiting_count,
            job.rank,
            slack(job.deadlines, elapsed_s, run_s),
            is_retrying=job.is_retrying and not is_probing,
            is_borrowing=guaranteed_tasks == 0,
            guaranteed_tasks=guaranteed_tasks,
        )
        pending.expected_run_s = run_s
        pending.is_starved = is_starved
        pending.image_fetch_s = spec.image_gb / shared.fetch_gb_per_s
        self._set_urgency(pending, job, shared.now, elapsed_s)
        return pending

    def _set_urgency(self, pending: PendingJob, job: Job, now: Instant, elapsed_s: Seconds) -> None:
        """Set how soon the job should start, whether it requires a cached image, and where its siblings are."""
        spec, fetch_s = pending.spec, pending.image_fetch_s
        availability_slack_s = self._objectives.availability_slack(spec, elapsed_s, pending.is_retrying)
        pending.start_slack_s = min(self._objectives.start_slack(spec, elapsed_s), availability_slack_s) - fetch_s
        if not has_topology_constraints(spec):
            pending.requires_cached_image = self._needs_cached_image(spec, elapsed_s, fetch_s)
            return
        pending.requires_cached_image = availability_slack_s <= 0 and self._may_wait_for_cached_image(job, now, fetch_s)
        for placement in job.placements.values():
            machine = self._worker_registry.machines.get(placement.machine)
            zone = machine.kind.zone if machine else ""
            sibling_zone, sibling_count = pending.siblings.get(placement.machine, (zone, 0))
            pending.siblings[placement.machine] = (sibling_zone, sibling_count + 1)

    def _needs_cached_image(self, spec: JobSpec, elapsed_s: Seconds, fetch_s: Seconds) -> bool:
        """Whether the job can still meet its class's objective on the start, but only on a machine that has its image.

        It then preempts lower priority on such a machine instead of using free capacity elsewhere; half of the
        objective's time is left for the preemption."""
        start_within_s = self._objectives.shortest_start_s(spec.job_class)
        return start_within_s is not None and elapsed_s < start_within_s / 2 and elapsed_s + fetch_s > start_within_s

    def _may_wait_for_cached_image(self, job: Job, now: Instant, fetch_s: Seconds) -> bool:
        """Whether a lost replica waits a moment until lower priority is preempted on a machine that has its image: a
        slow fetch would keep the replica down for longer than that."""
        return fetch_s >= SLOW_FETCH_S and job.last_loss_at is not None and now - job.last_loss_at < CACHED_IMAGE_WAIT_S

    def _is_gang_ready(self, job: Job) -> bool:
        """Whether members of the gang may be placed. A gang starts again once its whole old attempt is gone; before the
        attempt has started, a missing member is replaced within the same attempt. True for other jobs."""
        if not job.is_gang or not job.placements:
            return True
        return all(p.phase in _BEFORE_RUNNING and p.stop_requested_at is None for p in job.placements.values())

    def movable_replicas(self) -> list[ServiceReplica]:
        """Returns the running service replicas that may be moved."""
        shared = self._collect_shared_inputs()
        replicas: list[ServiceReplica] = []
        for job in self._job_table.jobs.values():
            # A service with a waiting replica is already being moved.
            if job.spec.kind is JobKind.SERVICE and job.cancelled_at is None and not job.waiting_count:
                with ErrorBoundary("listing movable replicas", job=job.id):
                    replicas += self._movable_replicas_of(job, shared)
        return replicas

    def _movable_replicas_of(self, job: Job, shared: _SharedInputs) -> list[ServiceReplica]:
        pending_job = self._pending_job(job, shared)
        return [
            ServiceReplica(placement, pending_job, placement.machine, shared.now - placement.running_at)
            for placement in job.placements.values()
            if placement.phase is PlacementPhase.RUNNING
            and placement.running_at is not None
            and placement.stop_requested_at is None
        ]

    def cpu_utilization(self) -> dict[MachineId, float]:
        """Returns the share of CPUs in use, from 0 to 1, of each machine whose type is known."""
        return {
            m.id: m.usage.cpus / m.machine_type.cpus
            for m in self._worker_registry.machines.values()
            if m.machine_type is not None
        }

    def may_preempt(self, pending_job: PendingJob) -> bool:
        """Whether any running task could be preempted for the job, judged by counts only: cheaper than `victims`."""
        if any(rank > pending_job.rank for rank in self._job_table.placed_count_by_rank):
            return True
        return pending_job.guaranteed_tasks > 0 and any(
            self._job_table.usage_of(team.name).cpus > team.cpus + EPSILON
            for team in self._teams.values()
            if team.name != pending_job.spec.team
        )

    def victims(self, rank: int, has_guaranteed_tasks: bool) -> list[Victim]:
        """Returns the tasks that may be stopped at once for tasks of this rank; tasks of the same rank only if
        `has_guaranteed_tasks`: a team's guarantee covers some of the tasks to place.

        Members of gangs are excluded: their whole attempt would be lost."""
        now = self._now
        usage_of = self._job_table.usage_of
        cpus_over_guarantee = {team.name: usage_of(team.name).cpus - team.cpus for team in self._teams.values()}
        is_machine_schedulable = self._cached_schedulable_check()
        victims: list[Victim] = []
        for job in self._job_table.jobs.values():
            if not job.placements or job.rank < rank or job.is_gang:
                continue
            if job.rank == rank and (not has_guaranteed_tasks or cpus_over_guarantee.get(job.spec.team, 0.0) <= 0):
                continue
            with ErrorBoundary("listing preemptible tasks", job=job.id):
                victims += self._victims_of(job, now, is_machine_schedulable)
        mark_borrowed(victims, cpus_over_guarantee)
        return victims

    def _cached_schedulable_check(self) -> Callable[[MachineId], bool]:
        contact_cutoff = self._contact_cutoff()
        machines = self._worker_registry.machines
        cache: dict[MachineId, bool] = {}

        def is_machine_schedulable(machine_id: MachineId) -> bool:
            is_schedulable = cache.get(machine_id)
            if is_schedulable is None:
                machine = machines.get(machine_id)
                is_schedulable = machine is not None and self._is_schedulable(machine, contact_cutoff)
                cache[machine_id] = is_schedulable
            return is_schedulable

        return is_machine_schedulable

    def _victims_of(
        self, job: Job, now: Instant, is_machine_schedulable: Callable[[MachineId], bool]
    ) -> Iterator[Victim]:
        spec = job.spec
        checkpoint_interval_s = spec.checkpoint_interval_s
        has_checkpoints = checkpoint_interval_s > 0
        almost_done_s = max(ALMOST_DONE_S, self._run_time_estimator.run_time(spec) - ALMOST_DONE_S)
        for placement in job.placements.values():
            if placement.stop_requested_at is not None:
                continue
            if placement.phase not in (PlacementPhase.RUNNING, PlacementPhase.FETCHING):
                continue
            if not is_machine_schedulable(placement.machine):
                continue
            ran_s = elapsed_run_s(job, placement, now)
            # The median of runs that have lasted this long is not below the median of all runs, so the remaining time
            # is only estimated close to the median or past it.
            if ran_s > almost_done_s and self._run_time_estimator.remaining_time(spec, ran_s) < ALMOST_DONE_S:
                continue
            lost_s = ran_s % checkpoint_interval_s if has_checkpoints else ran_s
            yield Victim(
                placement,
                placement.machine,
                job.rank,
                spec.cpus,
                spec.gpus,
                spec.memory_gb,
                lost_s * spec.cpus,
                spec.team,
                checkpoint_save_s=spec.checkpoint_save_s if has_checkpoints else None,
            )
