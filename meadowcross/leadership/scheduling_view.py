"""What there is to place, and on which machines: lists worked out at each call from the tables of jobs and workers.

`SchedulingView` is asked by placement passes, the autoscaler and forecasts, on the reactor's thread only.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.clock import Clock
from meadowcross.common.settings import Facts
from meadowcross.common.types import EPSILON, Instant, MachineId, Seconds
from meadowcross.estimates.runs import Runs
from meadowcross.estimates.samples import ran
from meadowcross.jobs.job_table import Job, JobTable, PlacementPhase
from meadowcross.jobs.messages import JobKind, JobSpec
from meadowcross.jobs.objectives import ServiceLevelObjectives, slack
from meadowcross.leadership.reachability import Reachability
from meadowcross.placement.descheduler import ServiceReplica
from meadowcross.placement.model import Candidate, PendingJob, QuotaHeadroom, has_topology_constraints
from meadowcross.placement.scoring import SLOW_FETCH_S
from meadowcross.placement.victims import Victim, mark_borrowed
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.heartbeat_tracker import silence_window
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

UNLIMITED = 1e15
"""Headroom of a team without a limit."""
ALMOST_DONE_S: Seconds = 3.0
"""A task that is expected to end within this time is not preempted."""
STARVATION_S: Seconds = 120.0
"""A job of which no task ever began goes first for its start: half of the four minutes within which users count on the
largest jobs to begin, so that the rest is left for its room to come free."""
AGED_JOBS_PER_MACHINE = 0.05
"""For at most so many jobs to a machine, a task is kept going although their turn does not come."""
WARM_ROOM_WAIT_S: Seconds = 2.0
"""A preempted task is gone within a second; then its room may be taken."""
MIN_FETCH_GB_PER_S = 0.01

# A tuple: members of an enumeration are compared faster than they are hashed.
_BEFORE_RUNNING = (
    PlacementPhase.STORING,
    PlacementPhase.STORED,
    PlacementPhase.SENT,
    PlacementPhase.FETCHING,
    PlacementPhase.WAITING,
)


class _Totals(NamedTuple):
    """What is the same for all jobs of one listing."""

    now: Instant
    guarantees_left: dict[str, float]
    """What of each team's guarantee its placed tasks leave, in CPUs."""
    fetch_gb_per_s: float
    """Of the machine type that fetches fastest."""


class SchedulingView:
    """Tells which machines may be given work, and which jobs want it."""

    def __init__(
        self,
        clock: Clock,
        facts: Facts,
        machine_types: Callable[[], list[MachineType]],
        job_table: JobTable,
        worker_registry: WorkerRegistry,
        health: FailureTracker,
        runs: Runs,
    ) -> None:
        self._clock = clock
        self._machine_types = machine_types
        self._job_table = job_table
        self._worker_registry = worker_registry
        self._health = health
        self._runs = runs
        self._teams = {team.name: team for team in facts.teams}
        self._objectives = ServiceLevelObjectives(facts.objectives)
        self._contact_window_s = silence_window(facts.workers.report_s)
        self._resumed_at = Instant(0.0)

    @property
    def _now(self) -> Instant:
        return Instant(self._clock.seconds())

    def on_resume(self) -> None:
        """The process was suspended for a while: nothing was heard meanwhile, whoever spoke."""
        self._resumed_at = self._now

    def silence_s(self, machine: Machine) -> Seconds:
        """For how long nothing was heard of the machine while this process listened."""
        last_contact_at = machine.contact.last_contact_at or machine.contact.hinted_contact_at or self._resumed_at
        return self._now - max(last_contact_at, self._resumed_at, min(machine.contact.grace_until, self._now))

    def _contact_cutoff(self) -> Instant:
        """A machine last heard before this instant is silent."""
        window_start = self._now - self._contact_window_s
        return Instant(window_start if self._resumed_at <= window_start else 0.0)

    @property
    def contact_window_s(self) -> Seconds:
        """A healthy machine that reports here was heard within this time."""
        return self._contact_window_s

    def is_silent(self, machine: Machine) -> bool:
        """Whether nothing was heard of the machine within the contact window."""
        return machine.contact.last_contact_at is None or machine.contact.last_contact_at < self._contact_cutoff()

    def contact_check(self) -> Callable[[Machine], bool]:
        """A function that tells whether a machine is not silent now; faster than `is_silent` for a whole fleet."""
        contact_cutoff = self._contact_cutoff()
        return lambda machine: (
            machine.contact.last_contact_at is not None and machine.contact.last_contact_at >= contact_cutoff
        )

    def measure_reach(self, best_peer_reach: int | None) -> Reachability:
        """How many of the machines in use sent heartbeats here within the window. `best_peer_reach` is what
        `Reachability.most_heard_by_peer` says."""
        in_use = [
            m
            for m in self._worker_registry.machines.values()
            if m.decommission_reason is None and (m.is_up or m.placements)
        ]
        contact_cutoff = self._contact_cutoff()
        return Reachability(
            len(in_use),
            sum(1 for m in in_use if (m.contact.last_heartbeat_at or -1.0) >= contact_cutoff),
            best_peer_reach,
        )

    def is_schedulable(self, machine: Machine) -> bool:
        """Whether the machine may be given work now, if it has room."""
        return self._is_schedulable(machine, self._contact_cutoff())

    def _is_schedulable(self, machine: Machine, contact_cutoff: Instant) -> bool:
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
            # A machine that answers commands, but whose heartbeats don't arrive, gets no renewal of its lease: tasks
            # would be started there over and over. A new leader waits for a heartbeat as long as for any machine.
            and (machine.contact.last_heartbeat_at or machine.contact.first_seen_at) >= contact_cutoff
            and not self._health.is_quarantined(machine.id)
        )

    def usability_check(self) -> Callable[[Machine], bool]:
        """A function that tells whether a machine is schedulable, or will be in a moment."""
        contact_cutoff = self._contact_cutoff()
        return lambda machine: (
            self._is_schedulable(machine, contact_cutoff) or self._is_arriving(machine, contact_cutoff)
        )

    def _is_arriving(self, machine: Machine, contact_cutoff: Instant) -> bool:
        """Whether the machine is heard, but has not confirmed our token yet, or its record is not stored. If it did
        not count as capacity, another would be rented beside each new machine."""
        return (
            not (machine.proof.has_confirmed_token and machine.is_stored)
            and machine.reclaim_at is None
            and not machine.is_draining
            and machine.contact.last_contact_at is not None
            and machine.contact.last_contact_at >= contact_cutoff
        )

    def candidates(self) -> list[Candidate]:
        """The machines that may be given work and have a free CPU."""
        return self._candidates(self._worker_registry.machines_with_free_cpu.values())

    def all_candidates(self) -> list[Candidate]:
        """The machines that may be given work, those without room included."""
        return self._candidates(self._worker_registry.machines.values())

    def candidates_of(self, victims: Iterable[Victim]) -> list[Candidate]:
        """The machines of these victims that may be given work."""
        machine_ids = {victim.machine for victim in victims}
        return self._candidates(self._worker_registry.machines[machine_id] for machine_id in machine_ids)

    def _candidates(self, machines: Iterable[Machine]) -> list[Candidate]:
        contact_cutoff = self._contact_cutoff()
        return [
            Candidate(
                machine.id,
                machine.kind,
                machine.machine_type.cpus - machine.usage.cpus,
                machine.machine_type.gpus - machine.usage.gpus,
                machine.machine_type.memory_gb - machine.usage.memory_gb,
                machine.images.cached,
                set(machine.images.pending_fetches),
            )
            for machine in machines
            if machine.machine_type is not None and self._is_schedulable(machine, contact_cutoff)
        ]

    def quota_headroom(self) -> dict[str, QuotaHeadroom]:
        """What each team may still use."""
        headroom = {}
        for team in self._teams.values():
            usage = self._job_table.usage_of(team.name)
            headroom[team.name] = QuotaHeadroom(
                team.cpus_max - usage.cpus if team.cpus_max > 0 else UNLIMITED,
                team.gpus_max - usage.gpus if team.gpus_max > 0 else UNLIMITED,
            )
        return headroom

    def pending_jobs(self) -> list[PendingJob]:
        """The jobs with tasks to place, but for those that must not be placed now."""
        totals = self._totals()
        pending_jobs = [
            self._pending_job(job, totals)
            for job in self._job_table.waiting.values()
            if self._may_be_placed(job, totals)
        ]
        self._promote_starved(pending_jobs, totals.now)
        return pending_jobs

    def _totals(self) -> _Totals:
        usage_of = self._job_table.usage_of
        guarantees_left = {name: team.cpus - usage_of(name).cpus + EPSILON for name, team in self._teams.items()}
        fastest = max((t.fetch_gb_per_s for t in self._machine_types()), default=0.0)
        return _Totals(self._now, guarantees_left, max(fastest, MIN_FETCH_GB_PER_S))

    def _may_be_placed(self, job: Job, totals: _Totals) -> bool:
        if job.cancelled_at is not None or job.is_ending or job.paused_until > totals.now or not job.mod_revision:
            # Without a revision its record is still to be written back after a loss.
            return False
        if job.spec.team not in totals.guarantees_left or not self._is_gang_ready(job):
            return False
        return not (job.is_probing and job.placements)

    def _promote_starved(self, pending_jobs: list[PendingJob], now: Instant) -> None:
        """What began and has nothing placed for long goes on with a task at a time, the oldest first, a few jobs at
        once: strict priority alone would never finish it while higher classes fill all there is."""
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

    def _pending_job(self, job: Job, totals: _Totals) -> PendingJob:
        spec = job.spec
        run_s = self._runs.run(spec)
        elapsed_s = totals.now - job.submitted_at
        if job.deadlines is None:
            job.deadlines = self._objectives.deadlines(spec)
        guaranteed_tasks = max(0, int(totals.guarantees_left[spec.team] / spec.cpus))
        is_probing = job.is_probing
        is_starved = elapsed_s > STARVATION_S and not job.has_placed
        has_one_task = (is_probing or (is_starved and spec.kind is JobKind.ARRAY)) and not job.is_gang
        pending = PendingJob(
            job.id,
            spec,
            1 if has_one_task else job.waiting_count,
            job.rank,
            slack(job.deadlines, elapsed_s, run_s),
            is_retrying=job.is_retrying and not is_probing,
            is_borrowing=guaranteed_tasks == 0,
            guaranteed_tasks=guaranteed_tasks,
        )
        pending.expected_run_s = run_s
        pending.is_starved = is_starved
        pending.image_fetch_s = spec.image_gb / totals.fetch_gb_per_s
        self._set_urgency(pending, job, totals.now, elapsed_s)
        return pending

    def _set_urgency(self, pending: PendingJob, job: Job, now: Instant, elapsed_s: Seconds) -> None:
        """How soon it should start, and whether only a machine that holds its image will do."""
        spec, fetch_s = pending.spec, pending.image_fetch_s
        availability_slack_s = self._objectives.availability_slack(spec, elapsed_s, pending.is_retrying)
        pending.start_slack_s = min(self._objectives.start_slack(spec, elapsed_s), availability_slack_s) - fetch_s
        if not has_topology_constraints(spec):
            pending.requires_cached_image = self._needs_warm_machine(spec, elapsed_s, fetch_s)
            return
        pending.requires_cached_image = availability_slack_s <= 0 and self._was_lost_recently(job, now, fetch_s)
        for placement in job.placements.values():
            machine = self._worker_registry.machines.get(placement.machine)
            zone = machine.kind.zone if machine else ""
            sibling_zone, sibling_count = pending.siblings.get(placement.machine, (zone, 0))
            pending.siblings[placement.machine] = (sibling_zone, sibling_count + 1)

    def _needs_warm_machine(self, spec: JobSpec, elapsed_s: Seconds, fetch_s: Seconds) -> bool:
        """Whether a task of the job can still start as soon as its class should, but not
        where its image has to be fetched first. Then it takes room from lower priority where
        the image is rather than free room elsewhere; half the time is left for that."""
        start_within_s = self._objectives.shortest_start_s(spec.job_class)
        return start_within_s is not None and elapsed_s < start_within_s / 2 and elapsed_s + fetch_s > start_within_s

    def _was_lost_recently(self, job: Job, now: Instant, fetch_s: Seconds) -> bool:
        """Whether a replica that is missed waits a moment for room where its image is, made by lower priority, as a
        slow fetch would keep it down for longer than that."""
        return fetch_s >= SLOW_FETCH_S and job.last_loss_at is not None and now - job.last_loss_at < WARM_ROOM_WAIT_S

    def _is_gang_ready(self, job: Job) -> bool:
        """A gang starts anew once all of its old attempt is gone; before it has started,
        a missing member is replaced with the same attempt."""
        if not job.is_gang or not job.placements:
            return True
        return all(p.phase in _BEFORE_RUNNING and p.stop_requested_at is None for p in job.placements.values())

    def movable_replicas(self) -> list[ServiceReplica]:
        """Running replicas of services that may be moved."""
        totals = self._totals()
        return [
            ServiceReplica(
                placement, self._pending_job(job, totals), placement.machine, totals.now - placement.running_at
            )
            for job in self._job_table.jobs.values()
            # A service with a replica that waits for its new place is moving already.
            if job.spec.kind is JobKind.SERVICE and job.cancelled_at is None and not job.waiting_count
            for placement in job.placements.values()
            if placement.phase is PlacementPhase.RUNNING
            and placement.running_at is not None
            and placement.stop_requested_at is None
        ]

    def cpu_utilization(self) -> dict[MachineId, float]:
        """The share of its CPUs that is in use, of each machine whose type is known."""
        return {
            m.id: m.usage.cpus / m.machine_type.cpus
            for m in self._worker_registry.machines.values()
            if m.machine_type is not None
        }

    def may_preempt(self, pending_job: PendingJob) -> bool:
        """Whether anything runs that could be preempted for the job, by counts: cheaper than `victims`."""
        if any(rank > pending_job.rank for rank in self._job_table.placed_count_by_rank):
            return True
        return pending_job.guaranteed_tasks > 0 and any(
            self._job_table.usage_of(team.name).cpus > team.cpus + EPSILON
            for team in self._teams.values()
            if team.name != pending_job.spec.team
        )

    def victims(self, rank: int, guaranteed: bool) -> list[Victim]:
        """Tasks that may be stopped at once for work of this rank, of the same rank only where
        some of that work is `guaranteed`: not a gang's, whose whole attempt would be lost."""
        now = self._now
        usage_of = self._job_table.usage_of
        over_guarantee = {team.name: usage_of(team.name).cpus - team.cpus for team in self._teams.values()}
        is_machine_schedulable = self._cached_schedulable_check()
        victims: list[Victim] = []
        for job in self._job_table.jobs.values():
            if not job.placements or job.rank < rank or job.is_gang:
                continue
            if job.rank == rank and (not guaranteed or over_guarantee.get(job.spec.team, 0.0) <= 0):
                continue
            victims += self._victims_of(job, now, is_machine_schedulable)
        mark_borrowed(victims, over_guarantee)
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
        almost_done_s = max(ALMOST_DONE_S, self._runs.run(spec) - ALMOST_DONE_S)
        for placement in job.placements.values():
            if placement.stop_requested_at is not None:
                continue
            if placement.phase not in (PlacementPhase.RUNNING, PlacementPhase.FETCHING):
                continue
            if not is_machine_schedulable(placement.machine):
                continue
            ran_s = ran(job, placement, now)
            # Half of what has lasted this long takes more than half of all: only past that is
            # it worth asking what is left.
            if ran_s > almost_done_s and self._runs.left(spec, ran_s) < ALMOST_DONE_S:
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
