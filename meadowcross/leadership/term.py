"""A leader's term: rebuild the picture, take reports, place, commit, command.

Everything here is thrown away when the term ends; only the store is kept.
"""

from __future__ import annotations

from twisted.internet.defer import Deferred

from meadowcross.common.logging import get_logger
from meadowcross.common.types import (
    Attempt,
    Seconds,
)
from meadowcross.jobs.job_table import Placement
from meadowcross.leadership.cancellation_tracker import CancellationTracker
from meadowcross.leadership.heartbeat_handler import UNHEALTHY_REASON, HeartbeatHandler
from meadowcross.leadership.placement_writer import PlacementWriter
from meadowcross.leadership.reconciler import Reconciler
from meadowcross.leadership.state_loader import StateLoader
from meadowcross.placement.descheduler import select_replicas_to_move
from meadowcross.placement.engine import place
from meadowcross.placement.model import Decision

log = get_logger("leadership")

SUSPENSION_THRESHOLD_S: Seconds = 2.0
"""Ticks this far apart tell that the process itself was silent between them."""
MIN_PASS_DELAY_S: Seconds = 0.02
PASS_PAUSE_RATIO = 5.0
WARM_RETRY_S: Seconds = 0.1
RUN_SAMPLING_PERIOD_S: Seconds = 4.0


class LeaderTerm(StateLoader, Reconciler, CancellationTracker, HeartbeatHandler, PlacementWriter):
    """One term: its life, its ticks and its passes; the other parts are in modules of their own."""

    def start(self) -> None:
        for coroutine in (self._load_and_watch(), self.group_committer.run()):
            Deferred.fromCoroutine(coroutine).addErrback(self._on_crash)

    def stop(self) -> None:
        if self._stopped:
            return
        self._stopped = True
        self.group_committer.stop()
        if self.estimates is not None:
            self.estimates.stop()
        self.dispatcher.stop()
        self.autoscaler.stop()
        if self._ticker.running:
            self._ticker.stop()
        if self._active_write_back is not None:
            self._active_write_back.stop()
        if self._follower is not None:
            self._follower.end_leading()

    def schedule_pass(self) -> None:
        if not self._is_pass_scheduled and not self._stopped and self.loaded:
            self._is_pass_scheduled = True
            # A pause in proportion: reports and users are served between long passes.
            self._clock.callLater(max(MIN_PASS_DELAY_S, PASS_PAUSE_RATIO * self._last_pass_s), self._run_pass)

    def _on_tick(self) -> None:
        was_suspended = self.now - self._last_tick_at > SUSPENSION_THRESHOLD_S
        self._last_tick_at = self.now
        if was_suspended:
            # What passed meanwhile is our own silence, not the machines'; whether we still
            # lead is asked before anything else rests on it.
            log.info("this process was silent for a while")
            self.scheduling_view.on_resume()
            return
        try:
            self._transfer_if_better_reached()
            self._decommission(self.health.find_faulty_machines(self.now), UNHEALTHY_REASON)
            self._retry_cancellations()
            self._evict_reclaimed()
            self._settle_orphaned_jobs()
            if self.now - self._runs_sampled_at >= RUN_SAMPLING_PERIOD_S:
                self._runs_sampled_at = self.now
                if self._forecaster is not None:
                    self._samples.watch(self.job_table, self.now)
                    self._forecaster.record_forecasts()
            if self.now - self._descheduled_at >= self._operator.move_period_s:
                self._descheduled_at = self.now
                self._deschedule_replicas()
            self.schedule_pass()
        except Exception:
            log.exception("tick failed")

    def _transfer_if_better_reached(self) -> None:
        """Direct answers renew no lease, so only reports tell whether workers reach us. A new
        leader waits until its workers can have found it."""
        if self.now - self._started_at < self._settings.facts.workers.lease_s / 2:
            return
        reach = self.scheduling_view.measure_reach(self._best_peer_reach())
        if reach.is_better_elsewhere:
            self._election.begin_transfer(
                f"{reach.reporting_machines} of {reach.known_machines} machines report, "
                f"a peer hears {reach.most_heard_by_peer}"
            )

    def _deschedule_replicas(self) -> None:
        replicas = self.scheduling_view.movable_replicas()
        if not replicas:
            return
        for replica in select_replicas_to_move(
            self.scheduling_view.all_candidates(), replicas, self.scheduling_view.cpu_utilization(), self._operator
        ):
            placement = replica.key
            if isinstance(placement, Placement):
                # It waits again, and the score places it, once this copy is proven gone.
                log.info("task %s moves off %s", placement.task, placement.machine)
                self.stop_task(placement, self.job_table.jobs[placement.task.job].spec.checkpoint_save_s)

    def _run_pass(self) -> None:
        self._is_pass_scheduled = False
        if self._stopped or not self._machine_types():
            return
        if self._store.failing_since is not None and self.now - self._store.failing_since > 1.0:
            return
        started_at = self.now
        pending_jobs = self.scheduling_view.pending_jobs() if self._is_state_complete() else []
        if pending_jobs:
            headroom = self.scheduling_view.quota_headroom()
            decisions = place(
                self.scheduling_view.candidates(), pending_jobs, headroom, self._operator, self._preemption.reservations
            )
            self._apply_decisions(decisions)
            placed_counts = {decision.job_id: len(decision.machines) for decision in decisions}
            for job, victims in self._preemption.plan(
                pending_jobs, placed_counts, headroom, self.scheduling_view, self._is_current_placement, started_at
            ):
                log.info("job %s: %d tasks give way", job, len(victims))
                for victim in victims:
                    if isinstance(victim.task_key, Placement):
                        self.stop_task(victim.task_key, victim.grace_s)
            if any(pending_job.requires_cached_image for pending_job in pending_jobs):
                # Soon free room without their image is good enough for them.
                self._clock.callLater(WARM_RETRY_S, self.schedule_pass)
        self.job_writer.enqueue_dirty_chunks()
        self._last_pass_s = self.now - started_at

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        now = self.now
        for decision in decisions:
            job = self.job_table.jobs[decision.job_id]
            if job.is_gang and job.gang_attempt is None:
                job.gang_attempt = Attempt(max(job.attempts) + 1)
            for machine_id in decision.machines:
                placement = self.job_table.place(job, job.pop_waiting_task(), machine_id, now)
                self.worker_registry.assign(self.worker_registry.machines[machine_id], placement, job.spec)
