"""Runs a leader's periodic maintenance twice a second, for conditions that no event reports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from meadowcross.autoscaling.autoscaler import Autoscaler
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Seconds
from meadowcross.estimates.samples import SampleCollector
from meadowcross.leadership.cancellation_tracker import CancellationTracker
from meadowcross.leadership.machine_records import MachineDecommissioner
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.placement_writer import PlacementWriter
from meadowcross.leadership.reconciler import Reconciler
from meadowcross.leadership.run_time_estimators import RunTimeEstimators
from meadowcross.leadership.scheduling_loop import SchedulingLoop
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.leadership.task_outcomes import UNHEALTHY_REASON
from meadowcross.leadership.term_context import TermState
from meadowcross.workers.eviction import plan_reclaim_evictions
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.machine import Machine

if TYPE_CHECKING:
    from meadowcross.leadership.completion_forecaster import CompletionForecaster

log = get_logger("leadership")

TICK_S: Seconds = 0.5
SUSPENSION_THRESHOLD_S: Seconds = 2.0
"""If two ticks are further apart than this, the process itself was suspended between them."""
RUN_SAMPLING_PERIOD_S: Seconds = 4.0


class EvictionPlanner:
    """Evicts tasks from machines that got an eviction notice."""

    def __init__(
        self,
        state: TermState,
        placement_writer: PlacementWriter,
        autoscaler: Autoscaler,
        estimators: RunTimeEstimators,
    ) -> None:
        self._context = state.context
        self._job_table = state.job_table
        self._worker_registry = state.worker_registry
        self._placement_writer = placement_writer
        self._autoscaler = autoscaler
        self._run_time_estimator = estimators.decision_estimator

    def evict_reclaimed(self) -> None:
        """Stop tasks that must leave their machine now, and decommission machines without tasks."""
        for machine in self._worker_registry.machines.values():
            if (
                machine.reclaim_at is None
                or machine.decommission_reason is not None
                or not machine.proof.has_confirmed_token
            ):
                continue
            with ErrorBoundary("evicting tasks before a reclaim", machine=machine.id):
                self._evict(machine)

    def _evict(self, machine: Machine) -> None:
        if not machine.placements:
            self._autoscaler.decommission(machine, "eviction notice, and no task left")
        evictions = plan_reclaim_evictions(machine, self._job_table, self._run_time_estimator, self._context.now)
        for placement, grace_s in evictions:
            self._placement_writer.stop_task(placement, grace_s)


class LeadershipTransfer:
    """Transfers the leadership when more workers reach a peer than this controller."""

    def __init__(
        self, state: TermState, scheduling_view: SchedulingView, best_peer_reach: Callable[[], int | None]
    ) -> None:
        """`best_peer_reach` as in `Reachability.best_peer_reach`."""
        self._context = state.context
        self._scheduling_view = scheduling_view
        self._best_peer_reach = best_peer_reach

    def transfer_if_better_reached(self) -> None:
        """Begin a transfer if most workers don't reach this controller and another leader could do better.

        Only heartbeats count, as responses to commands renew no worker lease. A new leader waits until its workers can
        have found it."""
        context = self._context
        if context.now - context.started_at < context.settings.facts.workers.lease_s / 2:
            return
        reach = self._scheduling_view.measure_reach(self._best_peer_reach())
        if reach.is_better_elsewhere:
            context.leadership.begin_transfer(
                f"{reach.reporting_machines} of {reach.known_machines} machines report here, "
                f"the best-connected peer is reached by {reach.best_peer_reach}"
            )


class RunSampler:
    """Samples running tasks for the estimators, and records forecasts for a later comparison with the actual ends."""

    def __init__(self, state: TermState, samples: SampleCollector, forecaster: CompletionForecaster | None) -> None:
        self._context = state.context
        self._job_table = state.job_table
        self._samples = samples
        self._forecaster = forecaster
        self._sampled_at = state.context.now

    def sample_if_due(self) -> None:
        """Sample running tasks and record forecasts, at most once every `RUN_SAMPLING_PERIOD_S`."""
        now = self._context.now
        if now - self._sampled_at < RUN_SAMPLING_PERIOD_S:
            return
        self._sampled_at = now
        if self._forecaster is not None:
            self._samples.update_running(self._job_table, now)
            self._forecaster.record_forecasts()


@dataclass(frozen=True, slots=True)
class MaintenanceTasks:
    """The components that do their work at each tick, in this order."""

    transfer: LeadershipTransfer
    health: FailureTracker
    decommissioner: MachineDecommissioner
    cancellation_tracker: CancellationTracker
    evictions: EvictionPlanner
    reconciler: Reconciler
    run_sampler: RunSampler
    scheduling_loop: SchedulingLoop


class MaintenanceLoop:
    """Runs the maintenance tasks every `TICK_S`, from the time when the state is loaded."""

    def __init__(
        self, state: TermState, scheduling_view: SchedulingView, tasks: MaintenanceTasks, pass_trigger: PassTrigger
    ) -> None:
        self._context = state.context
        self._scheduling_view = scheduling_view
        self._tasks = tasks
        self._pass_trigger = pass_trigger
        self._command_log = state.command_log
        self._last_tick_at = self._last_descheduling_at = state.context.now
        self._ticker = LoopingCall(self.tick)
        self._ticker.clock = cast(IReactorTime, state.context.clock)

    def start(self) -> None:
        """Tick now, and then every `TICK_S`."""
        self._ticker.start(TICK_S)

    def stop(self) -> None:
        """Stop ticking."""
        if self._ticker.running:
            self._ticker.stop()

    def tick(self) -> None:
        """Run the maintenance tasks, unless the process was suspended since the last tick."""
        was_suspended = self._context.now - self._last_tick_at > SUSPENSION_THRESHOLD_S
        self._last_tick_at = self._context.now
        if was_suspended:
            # No message was received while the process was suspended, so machines only seem silent; and whether this
            # controller still leads must be checked before any decision relies on it.
            log.info("process was suspended")
            self._scheduling_view.on_resume()
            return
        self._run_tasks()

    def _run_tasks(self) -> None:
        """Run all tasks; one that fails does not keep the others from running."""
        tasks = self._tasks
        with ErrorBoundary("transferring the leadership"):
            tasks.transfer.transfer_if_better_reached()
        with ErrorBoundary("finding faulty machines"):
            tasks.decommissioner.decommission(tasks.health.find_faulty_machines(self._context.now), UNHEALTHY_REASON)
        with ErrorBoundary("following cancellations"):
            tasks.cancellation_tracker.retry()
        with ErrorBoundary("evicting tasks before reclaims"):
            tasks.evictions.evict_reclaimed()
        with ErrorBoundary("settling orphaned jobs"):
            tasks.reconciler.settle_orphaned_jobs()
        with ErrorBoundary("sampling running tasks"):
            tasks.run_sampler.sample_if_due()
        with ErrorBoundary("logging the counts of commands"):
            self._command_log.log_counts_if_due(self._context.token, self._context.now)
        with ErrorBoundary("descheduling service replicas"):
            self._deschedule_if_due()
        self._pass_trigger.schedule_pass()

    def _deschedule_if_due(self) -> None:
        if self._context.now - self._last_descheduling_at >= self._context.operator_settings.move_period_s:
            self._last_descheduling_at = self._context.now
            self._tasks.scheduling_loop.deschedule_replicas()
