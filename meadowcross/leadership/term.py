"""Builds, starts and stops the components of one leader term.

The whole state of a term is discarded when the term ends; only the store persists.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from meadowcross.autoscaling.autoscaler import Autoscaler
from meadowcross.autoscaling.cloud import CloudClient
from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.clock import Clock, pause
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.http import HttpClient
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import OperatorSettings, Settings
from meadowcross.common.types import FencingToken, Instant, JobId, NodeName, Revision, Seconds, revision_of
from meadowcross.jobs.job_table import JobTable
from meadowcross.leadership.autoscaler_host import MachineRemoval, TermAutoscalerHost
from meadowcross.leadership.cancellation_tracker import CancellationTracker
from meadowcross.leadership.commit_outcome import CommitOutcome
from meadowcross.leadership.ended_jobs import EndedJobs
from meadowcross.leadership.heartbeat_handler import CancellationsBeforeLoad, HeartbeatHandler
from meadowcross.leadership.hint_exchange import HintExchange, HintSources
from meadowcross.leadership.job_records import JobRecords, JobWatch
from meadowcross.leadership.machine_records import MachineDecommissioner, MachineRecords
from meadowcross.leadership.machine_status import MachineStatusHandler, StatusCollaborators
from meadowcross.leadership.machine_verification import MachineVerification
from meadowcross.leadership.maintenance_loop import (
    EvictionPlanner,
    LeadershipTransfer,
    MaintenanceLoop,
    MaintenanceTasks,
    RunSampler,
)
from meadowcross.leadership.messages import LEADER_KEY, CancellationNotice
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.placement_writer import CommandTransport, PlacementWriter
from meadowcross.leadership.reconciler import LOST_ATTEMPTS_MARGIN, Reconciler
from meadowcross.leadership.replica_check import verify_replica
from meadowcross.leadership.run_time_estimators import build_estimators
from meadowcross.leadership.scheduling_loop import PlacementParts, SchedulingLoop
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.leadership.state_loader import StateLoader, StateReader
from meadowcross.leadership.task_outcomes import TaskOutcomeHandler
from meadowcross.leadership.term_context import Leadership, TermContext, TermLifecycle, TermState
from meadowcross.leadership.term_recovery import TermRecovery
from meadowcross.placement.preemption import PreemptionPlanner
from meadowcross.recovery.collect import StateRecovery
from meadowcross.recovery.merge import MergedState
from meadowcross.relay.pool import RelayPool, direct_sender
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.replication.messages import Hints
from meadowcross.store.client import (
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.group_commit import GroupCommitter
from meadowcross.store.messages import Condition
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.messages import Heartbeat, HeartbeatResponse, Redirect
from meadowcross.workers.registry import WorkerRegistry

if TYPE_CHECKING:
    from meadowcross.estimates.completion_time import CompletionForecast
    from meadowcross.leadership.completion_forecaster import CompletionForecaster

log = get_logger("leadership")

LOAD_RETRY_S: Seconds = 0.3
ESTIMATES_DELAY_S: Seconds = 3.0
"""Delay before stored estimates are loaded: the first seconds of a term are reserved for workers, the first placements
and users' requests."""


class LeaderTerm:
    """One term of this controller as the leader."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        operator: OperatorSettings,
        store: StoreClient,
        http: HttpClient,
        cloud: CloudClient,
        machine_types: Callable[[], list[MachineType]],
        token: FencingToken,
        election: Leadership,
        best_peer_reach: Callable[[], int | None],
        follower: ReplicaFollower | None = None,
        hints: Hints | None = None,
        recovery: StateRecovery | None = None,
        is_cold_start: bool = False,
        is_cancel_announced: Callable[[JobId], bool] = lambda _job: False,
        relay_pool: RelayPool | None = None,
    ) -> None:
        """Build the components; none of them runs before `start`.

        `is_cold_start`: no controller has the previous state, so only the machines can show whether the store still
        holds it. `is_cancel_announced`: whether a peer announced that a job's cancellation is stored. `relay_pool`: the
        relays that respond to heartbeats for this leader."""
        self.token = token
        self.relay_pool = relay_pool
        self.hints = hints
        self._store = store
        self._follower = follower
        self._is_cold_start = is_cold_start
        clock: Clock = reactor
        self.context = TermContext(
            clock,
            token,
            settings,
            operator,
            election,
            machine_types,
            Condition(LEADER_KEY, revision_of(token)),
            Instant(clock.seconds()),
        )
        self.lifecycle = TermLifecycle(self.context)
        self.job_table = JobTable()
        self.worker_registry = WorkerRegistry(token)
        if relay_pool is not None:
            relay_pool.set_registry(self.worker_registry)
        self.state = TermState(self.context, self.lifecycle, self.job_table, self.worker_registry)
        self.pass_trigger = PassTrigger(self.context, self.lifecycle)
        self.recovery = TermRecovery(recovery)
        self._build_storage()
        self._build_placement(http)
        self._build_autoscaling(cloud)
        self._build_reconciliation()
        self._build_heartbeats(is_cancel_announced)
        self._build_loading()
        self._build_loops(best_peer_reach)

    def _build_storage(self) -> None:
        self.ended_jobs = EndedJobs(self._follower)
        self.commit_outcome = CommitOutcome(self.state, self._store, self._follower, self.ended_jobs, self.recovery)
        self.group_committer = GroupCommitter(
            self.context.clock,
            self._store,
            self.context.leader_condition,
            self.commit_outcome.reread_keys,
            self.commit_outcome.on_written,
        )
        self.estimators = build_estimators(self.context, self._store, self.commit_outcome.reread_keys)

    def _build_placement(self, http: HttpClient) -> None:
        machines = self.worker_registry.machines
        self.health = FailureTracker(lambda machine_id: machine_id in machines)
        self.scheduling_view = SchedulingView(
            self.context.clock,
            self.context.settings.facts,
            self.context.list_machine_types,
            self.job_table,
            self.worker_registry,
            self.health,
            self.estimators.decision_estimator,
        )
        self.preemption = PreemptionPlanner(self.context.operator_settings)
        self.verification = MachineVerification(self.state, self.recovery, self.pass_trigger)
        relay_pool = self.relay_pool
        self.placement_writer = PlacementWriter(
            self.state,
            self.group_committer,
            self._store.max_changes,
            CommandTransport(
                relay_pool.send_commands if relay_pool is not None else direct_sender(http),
                lambda: 1 + (relay_pool.relay_count if relay_pool is not None else 0),
            ),
            self.pass_trigger,
        )
        self.machine_records = MachineRecords(self.state, self.group_committer, self.pass_trigger)

    def _build_autoscaling(self, cloud: CloudClient) -> None:
        machine_removal = MachineRemoval(
            self.state,
            self.placement_writer,
            self.verification,
            self.health,
            self.estimators.samples,
            self.relay_pool,
            self.pass_trigger,
        )
        host = TermAutoscalerHost(
            self.state,
            self.scheduling_view,
            self.estimators,
            self.machine_records,
            self.placement_writer,
            self.verification,
            machine_removal,
        )
        context = self.context
        self.autoscaler = Autoscaler(
            context.clock, context.settings, context.operator_settings, cloud, context.list_machine_types, host
        )
        self.decommissioner = MachineDecommissioner(self.worker_registry, self.autoscaler)
        self.forecaster = self._build_forecaster()

    def _build_forecaster(self) -> CompletionForecaster | None:
        if self.estimators.learned is None:
            return None
        # Imported only by a leader that learns run times: a killed controller restarts faster without this import.
        from meadowcross.leadership.completion_forecaster import (  # noqa: PLC0415 - start-up time
            CompletionForecaster,
        )

        return CompletionForecaster(
            self.context.clock,
            self.job_table,
            self.worker_registry,
            self.scheduling_view,
            self.context.list_machine_types,
            self.autoscaler,
            self.estimators.learned,
        )

    def _build_reconciliation(self) -> None:
        self.cancellation_tracker = CancellationTracker(
            self.state,
            self.group_committer,
            self.placement_writer,
            self.ended_jobs,
            self.verification,
            self.decommissioner,
            self.pass_trigger,
        )
        self.reconciler = Reconciler(
            self.state, self._store, self.group_committer, self.placement_writer, self.ended_jobs, self.recovery
        )
        self.job_records = JobRecords(
            self.state,
            self.reconciler,
            self.cancellation_tracker,
            self.ended_jobs,
            self.recovery,
            self.autoscaler,
            self.pass_trigger,
        )
        self.commit_outcome.set_job_records(self.job_records)

    def _build_heartbeats(self, is_cancel_announced: Callable[[JobId], bool]) -> None:
        self.task_outcomes = TaskOutcomeHandler(
            self.state, self.placement_writer, self.health, self.estimators.samples, self.decommissioner
        )
        collaborators = StatusCollaborators(
            self.scheduling_view,
            self.machine_records,
            self.verification,
            self.autoscaler,
            self.reconciler,
            self.task_outcomes,
            self.pass_trigger,
        )
        self.heartbeat_handler = HeartbeatHandler(
            self.state,
            MachineStatusHandler(self.state, collaborators),
            self.autoscaler,
            self.relay_pool,
            CancellationsBeforeLoad(self._follower, is_cancel_announced),
            self.recovery,
        )
        on_job_ended = [
            lambda job: self.ended_jobs.add(job.id),
            self.health.forget_job,
            lambda job: self.preemption.forget(job.id),
        ]
        if self.forecaster is not None:
            on_job_ended.append(self.forecaster.on_job_ended)
        if (learned := self.estimators.learned) is not None:
            on_job_ended.append(lambda job: learned.drop_job(job.id))
        self.placement_writer.set_listeners(self.heartbeat_handler.on_command_response, on_job_ended)

    def _build_loading(self) -> None:
        self.state_reader = StateReader(self.state, self._store, self._follower, self.recovery)
        self.state_loader = StateLoader(
            self.state,
            self.state_reader,
            self.machine_records,
            self.job_records,
            self.placement_writer,
            self.cancellation_tracker,
        )
        self.job_watch = JobWatch(self.state, self._store, self._follower, self.job_records)
        sources = HintSources(
            self.scheduling_view,
            self.autoscaler,
            self.health,
            self.preemption,
            self.estimators,
            self.group_committer,
            self.commit_outcome,
        )
        self.hint_exchange = HintExchange(self.state, sources)

    def _build_loops(self, best_peer_reach: Callable[[], int | None]) -> None:
        self.scheduling_loop = SchedulingLoop(
            self.state,
            self._store,
            PlacementParts(self.scheduling_view, self.preemption, self.health),
            self.placement_writer,
            self.verification,
            self.pass_trigger,
        )
        self.pass_trigger.set_runner(self.scheduling_loop.run_pass)
        tasks = MaintenanceTasks(
            LeadershipTransfer(self.state, self.scheduling_view, best_peer_reach),
            self.health,
            self.decommissioner,
            self.cancellation_tracker,
            EvictionPlanner(self.state, self.placement_writer, self.autoscaler, self.estimators),
            self.reconciler,
            RunSampler(self.state, self.estimators.samples, self.forecaster),
            self.scheduling_loop,
        )
        self.maintenance_loop = MaintenanceLoop(self.state, self.scheduling_view, tasks, self.pass_trigger)

    @property
    def is_loaded(self) -> bool:
        """Whether the stored state is loaded."""
        return self.lifecycle.is_loaded

    @property
    def is_stopped(self) -> bool:
        """Whether the term has ended."""
        return self.lifecycle.is_stopped

    def start(self) -> None:
        """Load the stored state, then run the term until `stop` is called."""
        for coroutine in (self._run(), self.group_committer.run()):
            Deferred.fromCoroutine(coroutine).addErrback(self._on_crash)

    def stop(self) -> None:
        """End the term; nothing is sent or stored afterwards."""
        if self.lifecycle.is_stopped:
            return
        self.lifecycle.is_stopped = True
        self.group_committer.stop()
        if self.estimators.storage is not None:
            self.estimators.storage.stop()
        self.placement_writer.stop()
        self.autoscaler.stop()
        self.maintenance_loop.stop()
        self.recovery.stop()
        if self._follower is not None:
            self._follower.end_leading()

    def _on_crash(self, failure: Any) -> None:
        log.error("term failed term=%d error=%s", self.token, failure.getTraceback())
        self.context.leadership.step_down("internal error")

    async def _run(self) -> None:
        revision = await self._load()
        if self.lifecycle.is_stopped or revision is None:
            return
        if self.hints is not None:
            self.hint_exchange.apply(self.hints)
        self.lifecycle.is_loaded = True
        self._begin_verification()
        self._log_loaded(revision)
        self._probe_machines()
        self.autoscaler.start()
        self.maintenance_loop.start()
        if self.state_reader.was_replica_followed and self._follower is not None:
            Deferred.fromCoroutine(verify_replica(self.state, self._store, self._follower))
        if self.estimators.storage is not None:
            self.context.clock.callLater(ESTIMATES_DELAY_S, self.estimators.storage.start)
        await self.job_watch.run(revision)

    async def _load(self) -> Revision | None:
        while not self.lifecycle.is_stopped:
            try:
                return await self.state_loader.load()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.info("loading the stored state failed, retrying error=%s", error)
                await pause(self.context.clock, LOAD_RETRY_S)
        return None

    def _begin_verification(self) -> None:
        """Where records may be lost, require the machines to report their tasks before anything is placed."""
        merged = self.state_reader.merged_state
        machines = self.worker_registry.machines.values()
        if merged is not None:
            self._begin_write_back(merged)
        elif self._is_cold_start and self.recovery.collector is not None:
            # All controllers were down. If the store lost its last minutes meanwhile, machines run orphaned tasks.
            self.verification.require_confirmations(m.id for m in machines if m.address is not None)

    def _begin_write_back(self, merged: MergedState) -> None:
        """Store the recovered state again.

        Where records are missing from it, a machine may run any task, so nothing is placed until every machine has
        confirmed the token or is proven deleted. A state that came from the leader's own replica is complete."""
        if not merged.is_complete:
            self.verification.require_cloud_list()
            self.verification.require_confirmations(self.worker_registry.machines)
            for job in self.job_table.jobs.values():
                # Higher than any attempt in the lost part of the records.
                job.attempts = [attempt + LOST_ATTEMPTS_MARGIN for attempt in job.attempts]
            count = self.verification.unverified_count
            log.info("verifying machines that may run orphaned tasks term=%d machines=%d", self.token, count)
        for machine in self.worker_registry.machines.values():
            # Every controller that followed the store has the record: tasks may be placed before its key is restored.
            machine.is_stored = True
        self.recovery.begin_write_back(
            self.context.clock,
            merged,
            self.job_table,
            self.group_committer,
            self.pass_trigger.schedule_pass,
            self.job_records.apply,
        )

    def _log_loaded(self, revision: Revision) -> None:
        machines = self.worker_registry.machines
        # `benchmarks.takeover` reads this line.
        log.info(
            "state loaded term=%d jobs=%d machines=%d placements=%d replica=%s hints=%s revision=%d",
            self.token,
            len(self.job_table.jobs),
            len(machines),
            sum(len(machine.placements) for machine in machines.values()),
            "followed" if self.state_reader.was_replica_followed else "read",
            "applied" if self.hints is not None else "none",
            revision,
        )

    def _probe_machines(self) -> None:
        """Probe the machines with free CPUs first, where waiting tasks can be placed, then those with the most
        placements, where the most tasks are about to end."""
        machines_with_free_cpu = self.worker_registry.machines_with_free_cpu
        reachable = sorted(
            (machine for machine in self.worker_registry.machines.values() if machine.address is not None),
            key=lambda machine: (machine.id not in machines_with_free_cpu, -len(machine.placements), machine.id),
        )
        self.verification.expect_responses(len(reachable))
        for machine in reachable:
            self.placement_writer.dispatcher.probe(machine.id)

    def handle_heartbeat(
        self, heartbeat: Heartbeat, relay: NodeName | None = None
    ) -> HeartbeatResponse | Redirect | None:
        """See `HeartbeatHandler.handle`."""
        return self.heartbeat_handler.handle(heartbeat, relay)

    def is_repeatable(self, heartbeat: Heartbeat) -> bool:
        """See `HeartbeatHandler.is_repeatable`."""
        return self.heartbeat_handler.is_repeatable(heartbeat)

    def apply_announced_cancellations(self, notice: CancellationNotice) -> bool:
        """See `CancellationTracker.apply_announced`."""
        return self.cancellation_tracker.apply_announced(notice)

    def export_hints(self) -> Hints | None:
        """See `HintExchange.export`."""
        return self.hint_exchange.export()

    def forecast(self, job_id: JobId) -> CompletionForecast | None:
        """Returns when the job will be done; None before the state is loaded, where run times are not learned, and
        after an unexpected error: a user's question for the job's state is answered without a forecast."""
        if self.forecaster is None or not self.is_loaded:
            return None
        with ErrorBoundary("forecasting the end of a job", job=job_id):
            return self.forecaster.forecast(job_id)
        return None
