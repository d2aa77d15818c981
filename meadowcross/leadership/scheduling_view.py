"""What placement sees: offers, wants, rooms, victims and replicas, as snapshots taken
from the book, the roster and the machines' health."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.clock import Clock
from meadowcross.common.settings import Facts
from meadowcross.common.types import EPSILON, Instant, MachineId, Seconds
from meadowcross.estimates.runs import Runs
from meadowcross.estimates.samples import ran
from meadowcross.jobs import messages as jm
from meadowcross.jobs.job_table import Job, JobTable, PlacementPhase
from meadowcross.jobs.messages import JobSpec
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
ALMOST_DONE_S: Seconds = 3.0
STARVATION_S: Seconds = 120.0
"""A job of which no task ever began goes first for its start: half of the four minutes within which users count on the
largest jobs to begin, so that the rest is left for its room to come free."""
AGED_JOBS_PER_MACHINE = 0.05
"""Of so many jobs to a machine, at the most, a task is kept going although their turn does not come."""
WARM_ROOM_WAIT_S: Seconds = 2.0
"""A task that gives way is gone within a second; then its room may be taken."""


class SchedulingView:
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
        """This process was silent for a while, so nothing was heard whoever spoke."""
        self._resumed_at = self._now

    def silence_s(self, machine: Machine) -> Seconds:
        """For how long a machine has said nothing while we listened."""
        last_contact_at = machine.contact.last_contact_at or machine.contact.hinted_contact_at or self._resumed_at
        return self._now - max(last_contact_at, self._resumed_at, min(machine.contact.grace_until, self._now))

    def _contact_cutoff(self) -> Instant:
        """Earlier than this is silence."""
        since = self._now - self._contact_window_s
        return Instant(since if self._resumed_at <= since else 0.0)

    @property
    def contact_window_s(self) -> Seconds:
        """Whoever is well and reports to us was heard within this time."""
        return self._contact_window_s

    def is_silent(self, machine: Machine) -> bool:
        return machine.contact.last_contact_at is None or machine.contact.last_contact_at < self._contact_cutoff()

    def contact_check(self) -> Callable[[Machine], bool]:
        """Tells of each machine asked for whether it is not silent; for whoever asks of the whole fleet."""
        contact_cutoff = self._contact_cutoff()
        return lambda machine: (
            machine.contact.last_contact_at is not None and machine.contact.last_contact_at >= contact_cutoff
        )

    def measure_reach(self, best_peer_reach: int | None) -> Reachability:
        """How many of the machines in use reported to us lately; `peers` as in Reach."""
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
            # What only answers renews no lease, as no report of it arrives: once tasks were begun over and over on such
            # machines. Who leads anew waits for a report as long as for any other.
            and (machine.contact.last_heartbeat_at or machine.contact.first_seen_at) >= contact_cutoff
            and not self._health.is_quarantined(machine.id)
        )

    def usability_check(self) -> Callable[[Machine], bool]:
        """Tells of each machine asked for whether it is offered, or will be in a moment."""
        contact_cutoff = self._contact_cutoff()
        return lambda machine: (
            self._is_schedulable(machine, contact_cutoff) or self._is_arriving(machine, contact_cutoff)
        )

    def _is_arriving(self, machine: Machine, contact_cutoff: Instant) -> bool:
        """It reports, but our token has not come back yet, or its record is not stored: it will
        be offered in a moment. Left out of what is coming, each new machine had another
        rented beside it."""
        return (
            not (machine.proof.has_confirmed_token and machine.is_stored)
            and machine.reclaim_at is None
            and not machine.is_draining
            and machine.contact.last_contact_at is not None
            and machine.contact.last_contact_at >= contact_cutoff
        )

    def candidates(self) -> list[Candidate]:
        """The machines that have room and may be given work."""
        return self._candidates(self._worker_registry.machines_with_free_cpu.values())

    def all_candidates(self) -> list[Candidate]:
        """Those without room too."""
        return self._candidates(self._worker_registry.machines.values())

    def candidates_of(self, victims: Iterable[Victim]) -> list[Candidate]:
        """The machines where something may give way."""
        machine_ids = {victim.machine for victim in victims}
        return self._candidates(self._worker_registry.machines[name] for name in machine_ids)

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
        headroom = {}
        for team in self._teams.values():
            use = self._job_table.usage_of(team.name)
            headroom[team.name] = QuotaHeadroom(
                team.cpus_max - use.cpus if team.cpus_max > 0 else UNLIMITED,
                team.gpus_max - use.gpus if team.gpus_max > 0 else UNLIMITED,
            )
        return headroom

    def pending_jobs(self) -> list[PendingJob]:
        now = self._now
        guarantees_left = self._guarantees_left()
        fetch_gb_per_s = self._fastest_fetch_gb_per_s()
        pending_jobs = []
        for job in self._job_table.waiting.values():
            if job.cancelled_at is not None or job.is_ending or job.paused_until > now or not job.mod_revision:
                # Without a version its record is still to be written back after a loss.
                continue
            if job.spec.team not in guarantees_left or not self._is_gang_ready(job):
                continue
            if job.is_probing and job.placements:
                continue
            pending_jobs.append(self._pending_job(job, now, guarantees_left, fetch_gb_per_s))
        self._promote_starved(pending_jobs, now)
        return pending_jobs

    def _promote_starved(self, pending_jobs: list[PendingJob], now: Instant) -> None:
        """What began and has nothing placed for long goes on with a task at a time, the oldest first, a few jobs at
        once: strict priority alone would never finish it while higher classes fill all there is."""
        jobs = self._job_table.jobs
        starved = [
            pending_job
            for pending_job in pending_jobs
            if not pending_job.is_starved and self._is_starved(jobs[pending_job.job_id], now)
        ]
        if not starved:
            return
        promoted = sum(1 for job in jobs.values() if job.was_started_by_aging and job.placements)
        max_promoted = max(1, int(AGED_JOBS_PER_MACHINE * len(self._worker_registry.machines)))
        for pending_job in sorted(starved, key=lambda want: jobs[want.job_id].submitted_at)[
            : max(0, max_promoted - promoted)
        ]:
            pending_job.is_starved = jobs[pending_job.job_id].was_started_by_aging = True
            if pending_job.spec.kind is jm.JobKind.ARRAY:
                pending_job.task_count = 1

    @staticmethod
    def _is_starved(job: Job, now: Instant) -> bool:
        waited_s = now - max(job.submitted_at, job.last_loss_at or 0.0)
        return job.has_placed and not job.placements and not job.is_probing and waited_s > STARVATION_S

    def _guarantees_left(self) -> dict[str, float]:
        """What of each team's guarantee its placed tasks leave, in CPUs."""
        return {name: team.cpus - self._job_table.usage_of(name).cpus + EPSILON for name, team in self._teams.items()}

    def _fastest_fetch_gb_per_s(self) -> float:
        """In GB a second, by the best type."""
        return max(max((t.fetch_gb_per_s for t in self._machine_types()), default=0.0), 0.01)

    def _pending_job(
        self, job: Job, now: Instant, guarantees_left: dict[str, float], fetch_gb_per_s: float
    ) -> PendingJob:
        spec = job.spec
        run_s = self._runs.run(spec)
        elapsed_s = now - job.submitted_at
        if job.deadlines is None:
            job.deadlines = self._objectives.deadlines(spec)
        guaranteed = max(0, int(guarantees_left[spec.team] / spec.cpus))
        is_probing = job.is_probing
        is_aged = elapsed_s > STARVATION_S and not job.has_placed
        count = (
            1 if (is_probing or (is_aged and spec.kind is jm.JobKind.ARRAY)) and not job.is_gang else job.waiting_count
        )
        pending = PendingJob(
            job.id,
            spec,
            count,
            job.rank,
            slack(job.deadlines, elapsed_s, run_s),
            job.is_retrying and not is_probing,
            guaranteed == 0,
            guaranteed,
        )
        pending.expected_run_s, pending.is_starved = run_s, is_aged
        pending.image_fetch_s = fetch_s = spec.image_gb / fetch_gb_per_s
        up_slack = self._objectives.availability_slack(spec, elapsed_s, pending.is_retrying)
        pending.start_slack_s = min(self._objectives.start_slack(spec, elapsed_s), up_slack) - fetch_s
        if not has_topology_constraints(spec):
            pending.requires_cached_image = self._needs_warm_machine(spec, elapsed_s, fetch_s)
        else:
            pending.requires_cached_image = up_slack <= 0 and self._was_lost_recently(job, now, fetch_s)
            for placement in job.placements.values():
                machine = self._worker_registry.machines.get(placement.machine)
                zone = machine.kind.zone if machine else ""
                sibling_zone, sibling_count = pending.siblings.get(placement.machine, (zone, 0))
                pending.siblings[placement.machine] = (sibling_zone, sibling_count + 1)
        return pending

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
        return all(
            p.phase
            in (
                PlacementPhase.STORING,
                PlacementPhase.STORED,
                PlacementPhase.SENT,
                PlacementPhase.FETCHING,
                PlacementPhase.WAITING,
            )
            and p.stop_requested_at is None
            for p in job.placements.values()
        )

    def movable_replicas(self) -> list[ServiceReplica]:
        """Running service replicas that the move pass may consider."""
        now = self._now
        guarantees_left, fetch_gb_per_s = self._guarantees_left(), self._fastest_fetch_gb_per_s()
        return [
            ServiceReplica(
                placement,
                self._pending_job(job, now, guarantees_left, fetch_gb_per_s),
                placement.machine,
                now - placement.running_at,
            )
            for job in self._job_table.jobs.values()
            # A service with a replica that waits for its new place is moving already.
            if job.spec.kind is jm.JobKind.SERVICE and job.cancelled_at is None and not job.waiting_count
            for placement in job.placements.values()
            if placement.phase is PlacementPhase.RUNNING
            and placement.running_at is not None
            and placement.stop_requested_at is None
        ]

    def cpu_utilization(self) -> dict[MachineId, float]:
        return {
            m.id: m.usage.cpus / m.machine_type.cpus
            for m in self._worker_registry.machines.values()
            if m.machine_type is not None
        }

    def may_preempt(self, pending_job: PendingJob) -> bool:
        """Whether anything runs that could give way to it: asked of counts, before the tasks
        themselves are looked at."""
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
        victims = []
        over_guarantee = {t.name: self._job_table.usage_of(t.name).cpus - t.cpus for t in self._teams.values()}
        contact_cutoff = self._contact_cutoff()
        schedulable: dict[MachineId, bool] = {}
        for job in self._job_table.jobs.values():
            spec = job.spec
            if not job.placements or job.rank < rank or job.is_gang:
                continue
            if job.rank == rank and (not guaranteed or over_guarantee.get(spec.team, 0.0) <= 0):
                continue
            checkpoint_s = spec.checkpoint_interval_s
            save_s = spec.checkpoint_save_s if checkpoint_s > 0 else None
            almost_done_s = max(ALMOST_DONE_S, self._runs.run(spec) - ALMOST_DONE_S)
            for placement in job.placements.values():
                if placement.stop_requested_at is not None or placement.phase not in (
                    PlacementPhase.RUNNING,
                    PlacementPhase.FETCHING,
                ):
                    continue
                is_schedulable = schedulable.get(placement.machine)
                if is_schedulable is None:
                    machine = self._worker_registry.machines.get(placement.machine)
                    is_schedulable = schedulable[placement.machine] = machine is not None and self._is_schedulable(
                        machine, contact_cutoff
                    )
                if not is_schedulable:
                    continue
                ran_s = ran(job, placement, now)
                # Half of what has lasted this long takes more than half of all: only past that is
                # it worth asking what is left.
                if ran_s > almost_done_s and self._runs.left(spec, ran_s) < ALMOST_DONE_S:
                    continue
                lost_s = ran_s % checkpoint_s if checkpoint_s > 0 else ran_s
                victims.append(
                    Victim(
                        placement,
                        placement.machine,
                        job.rank,
                        spec.cpus,
                        spec.gpus,
                        spec.memory_gb,
                        lost_s * spec.cpus,
                        spec.team,
                        checkpoint_save_s=save_s,
                    )
                )
        mark_borrowed(victims, over_guarantee)
        return victims
