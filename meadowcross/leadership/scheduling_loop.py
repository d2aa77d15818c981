"""Runs placement passes, which place waiting tasks and preempt tasks of lower priority for them."""

from __future__ import annotations

from dataclasses import dataclass

from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Attempt, Instant, JobId, Seconds
from meadowcross.jobs.job_table import Placement
from meadowcross.leadership.machine_verification import MachineVerification
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.placement_writer import PlacementWriter
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.leadership.term_context import TermState
from meadowcross.leadership.trial_placement import TrialInputs, choose_trials
from meadowcross.placement.descheduler import select_replicas_to_move
from meadowcross.placement.engine import MAX_TASKS_PER_PASS, place_at_most
from meadowcross.placement.model import Candidate, Decision, PendingJob, QuotaHeadroom
from meadowcross.placement.preemption import Preemption, PreemptionPlanner
from meadowcross.placement.victims import Victim
from meadowcross.store.client import StoreClient
from meadowcross.workers.health import FailureTracker

log = get_logger("leadership")

CACHED_IMAGE_RETRY_S: Seconds = 0.1
"""Delay until the next pass for jobs that wait for a machine with their image: soon they may start on any machine."""
STORE_FAILURE_TOLERANCE_S: Seconds = 1.0
"""No pass runs once the store has failed for longer than this: placements could not be stored."""


@dataclass(frozen=True, slots=True)
class PlacementParts:
    """The components that a placement decision is taken from."""

    scheduling_view: SchedulingView
    preemption: PreemptionPlanner
    health: FailureTracker


class SchedulingLoop:
    """Runs placement passes, and moves service replicas to better machines."""

    def __init__(
        self,
        state: TermState,
        store: StoreClient,
        parts: PlacementParts,
        placement_writer: PlacementWriter,
        verification: MachineVerification,
        pass_trigger: PassTrigger,
    ) -> None:
        self._state = state
        self._context = state.context
        self._lifecycle = state.lifecycle
        self._job_table = state.job_table
        self._worker_registry = state.worker_registry
        self._store = store
        self._scheduling_view = parts.scheduling_view
        self._preemption = parts.preemption
        self._health = parts.health
        self._placement_writer = placement_writer
        self._verification = verification
        self._pass_trigger = pass_trigger
        self._has_deferred_jobs = False
        """Whether the last pass ended before it had considered all tasks."""
        self._unrecorded_jobs: set[JobId] = set()
        """Jobs that the next pass leaves out: their placements could not be recorded and used up the last pass."""

    def run_pass(self) -> None:
        """Place the tasks that can be placed now, and store the changes."""
        self._pass_trigger.is_scheduled = False
        if self._lifecycle.is_stopped or not self._context.list_machine_types() or self._is_store_failing():
            return
        started_at = self._context.now
        self._has_deferred_jobs = False
        if self._verification.is_state_complete():
            with ErrorBoundary("placement pass"):
                self._place_pending_jobs(started_at)
        with ErrorBoundary("queueing changed chunks"):
            self._placement_writer.job_writer.enqueue_dirty_chunks()
        self._pass_trigger.last_pass_s = self._context.now - started_at
        if self._has_deferred_jobs:
            self._pass_trigger.schedule_pass()

    def _place_pending_jobs(self, started_at: Instant) -> None:
        pending_jobs = self._scheduling_view.pending_jobs()
        if pending_jobs:
            self._place(pending_jobs, started_at)

    def _is_store_failing(self) -> bool:
        failing_since = self._store.failing_since
        return failing_since is not None and self._context.now - failing_since > STORE_FAILURE_TOLERANCE_S

    def _place(self, pending_jobs: list[PendingJob], started_at: Instant) -> None:
        pending_jobs = [pending_job for pending_job in pending_jobs if pending_job.job_id not in self._unrecorded_jobs]
        headroom_by_team = self._scheduling_view.quota_headroom()
        candidates = self._scheduling_view.candidates()
        decisions, deferred_jobs = place_at_most(
            MAX_TASKS_PER_PASS,
            candidates,
            pending_jobs,
            headroom_by_team,
            self._context.operator_settings,
            reservations=self._preemption.reservations,
        )
        unrecorded_jobs = self.apply_decisions(decisions)
        self._has_deferred_jobs = bool(deferred_jobs)
        self._unrecorded_jobs = unrecorded_jobs if deferred_jobs else set()
        # Free machines may be left for a deferred job, so nothing is preempted for it yet.
        pending_jobs = [pending_job for pending_job in pending_jobs if pending_job.job_id not in deferred_jobs]
        placed_counts = {decision.job_id: len(decision.machines) for decision in decisions}
        for job_id, victims in self._plan_preemption(pending_jobs, placed_counts, headroom_by_team, started_at):
            log.info("preempting tasks job=%s count=%d", job_id, len(victims))
            with ErrorBoundary("preempting tasks", job=job_id):
                self._stop_victims(victims)
        with ErrorBoundary("placing trials"):
            self._place_trials(pending_jobs, placed_counts, headroom_by_team, candidates)
        if any(pending_job.requires_cached_image for pending_job in pending_jobs):
            self._context.clock.callLater(CACHED_IMAGE_RETRY_S, self._pass_trigger.schedule_pass)

    def _place_trials(
        self,
        pending_jobs: list[PendingJob],
        placed_counts: dict[JobId, int],
        headroom_by_team: dict[str, QuotaHeadroom],
        candidates: list[Candidate],
    ) -> None:
        """Place tasks that found no other capacity on quarantined machines whose pause is over."""
        trial_candidates = self._scheduling_view.trial_candidates()
        if not trial_candidates:
            return
        # Capacity is about to become free for jobs in whose favor tasks were preempted.
        waiting = [pending for pending in pending_jobs if not self._preemption.is_in_progress(pending.job_id)]
        inputs = TrialInputs(waiting, placed_counts, headroom_by_team, candidates, self._preemption.reservations)
        weights = self._context.operator_settings
        for machine_id, decision in choose_trials(trial_candidates, inputs, self._job_table, weights).items():
            self.apply_decisions([decision])
            if machine_id in decision.machines:
                job = self._job_table.jobs[decision.job_id]
                placements = [placement for placement in job.placements.values() if placement.machine == machine_id]
                self._health.begin_trial(job, max(placements, key=lambda placement: placement.placed_at))

    def apply_decisions(self, decisions: list[Decision]) -> set[JobId]:
        """Record the decided placements; each is stored before its start is sent.

        Returns the jobs for which an unexpected error was contained.
        """
        failed_jobs: set[JobId] = set()
        for decision in decisions:
            with ErrorBoundary("recording placements", job=decision.job_id) as boundary:
                self._apply_decision(decision)
            if boundary.has_failed:
                failed_jobs.add(decision.job_id)
        return failed_jobs

    def _apply_decision(self, decision: Decision) -> None:
        now = self._context.now
        job = self._job_table.jobs[decision.job_id]
        if job.is_gang and job.gang_attempt is None:
            job.gang_attempt = Attempt(max(job.attempts) + 1)
        for machine_id in decision.machines:
            placement = self._job_table.place(job, job.pop_waiting_task(), machine_id, now)
            self._worker_registry.assign(self._worker_registry.machines[machine_id], placement, job.spec)

    def _stop_victims(self, victims: list[Victim]) -> None:
        for victim in victims:
            if isinstance(victim.task_key, Placement):
                self._placement_writer.stop_task(victim.task_key, victim.grace_s)

    def _plan_preemption(
        self,
        pending_jobs: list[PendingJob],
        placed_counts: dict[JobId, int],
        headroom_by_team: dict[str, QuotaHeadroom],
        started_at: Instant,
    ) -> list[Preemption]:
        return self._preemption.plan(
            pending_jobs,
            placed_counts,
            headroom_by_team,
            self._scheduling_view,
            self._state.is_current_placement,
            started_at,
        )

    def deschedule_replicas(self) -> None:
        """Stop service replicas that would run better on other machines."""
        view = self._scheduling_view
        replicas = view.movable_replicas()
        if not replicas:
            return
        for replica in select_replicas_to_move(
            view.all_candidates(), replicas, view.cpu_utilization(), self._context.operator_settings
        ):
            placement = replica.key
            if isinstance(placement, Placement):
                with ErrorBoundary("moving a service replica", job=placement.task.job):
                    self._move_replica(placement)

    def _move_replica(self, placement: Placement) -> None:
        """Stop the replica: once it is proven to have ended, it waits again and is placed by score."""
        log.info("moving service replica task=%s machine=%s", placement.task, placement.machine)
        spec = self._job_table.jobs[placement.task.job].spec
        self._placement_writer.stop_task(placement, spec.checkpoint_save_s)
