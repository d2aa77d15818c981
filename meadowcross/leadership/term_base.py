"""What all parts of a leader's term share: its state, and what each part asks of the others."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.task import LoopingCall

from meadowcross.autoscaling import messages as fm
from meadowcross.autoscaling.autoscaler import Autoscaler
from meadowcross.autoscaling.cloud import CloudClient
from meadowcross.common.clock import Clock
from meadowcross.common.http import HttpClient
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import OperatorSettings, Settings
from meadowcross.common.types import (
    FencingToken,
    Instant,
    JobId,
    MachineId,
    MachineKind,
    Revision,
    Seconds,
    WallTime,
    revision_of,
)
from meadowcross.estimates.runs import MeanRuns, Runs
from meadowcross.estimates.samples import Samples
from meadowcross.jobs import messages as jm
from meadowcross.jobs.job_table import Job, JobTable, Placement
from meadowcross.jobs.job_writer import JobWriter
from meadowcross.leadership.election import Election
from meadowcross.leadership.messages import LEADER_KEY
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.placement.preemption import PreemptionPlanner
from meadowcross.recovery.collect import StateRecovery
from meadowcross.recovery.merge import MergedState
from meadowcross.recovery.writeback import WriteBack
from meadowcross.relay.pool import RelayPool, direct_sender
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.replication.messages import Hints
from meadowcross.replication.store_replica import StoreReplica
from meadowcross.store import messages as sm
from meadowcross.store.client import StoreClient
from meadowcross.store.group_commit import GroupCommitter
from meadowcross.workers import messages as wm
from meadowcross.workers.dispatcher import CommandDispatcher, DispatchHandlers
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

if TYPE_CHECKING:
    from meadowcross.estimates.finish import Ends
    from meadowcross.estimates.keeper import EstimateKeeper
    from meadowcross.estimates.learned import Learned
    from meadowcross.leadership.completion_forecaster import CompletionForecaster

log = get_logger("leadership")


class TermBase(ABC):
    """The state of a term, and the questions that its parts have in common."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        operator: OperatorSettings,
        store: StoreClient,
        http: HttpClient,
        cloud: CloudClient,
        machine_types: Callable[[], list[fm.MachineType]],
        token: FencingToken,
        election: Election,
        best_peer_reach: Callable[[], int | None],
        follower: ReplicaFollower | None = None,
        hints: Hints | None = None,
        recovery: StateRecovery | None = None,
        is_cold_start: bool = False,
        is_cancel_announced: Callable[[JobId], bool] = lambda job: False,
        relay_pool: RelayPool | None = None,
    ) -> None:
        """`cold`: nobody here knows what was before, so only the machines can tell whether the store still does.
        `told`: whether a peer has said that a job's cancel is stored. `relays`: who answers workers for us."""
        self.relay_pool = relay_pool
        self._is_cold_start = is_cold_start
        self._is_cancel_announced = is_cancel_announced
        self._cancelled_at_takeover: dict[JobId, bool] = {}
        """What the picture of before this term says of jobs whose tasks are reported while none could be taken."""
        self._recovery = recovery
        self._active_write_back: WriteBack | None = None
        self._unverified_machines: set[MachineId] = set()
        """Machines that may run tasks which no record tells of, as the last of them was lost."""
        self._is_cloud_list_awaited = False
        self._queried_jobs: set[JobId] = set()
        self._known_ended: set[JobId] = set()
        """Jobs known to be over though no picture says so."""
        self._unconfirmed_ends: dict[JobId, tuple[Revision, Instant]] = {}
        """Of those, the ones whose stored ends, at this version, are not proven yet, and since when we know of them."""
        self._follower = follower
        self._hints = hints
        self._clock: Clock = reactor
        self._settings = settings
        self._operator = operator
        self._store = store
        self._machine_types = machine_types
        self._election = election
        self._best_peer_reach = best_peer_reach
        self.token = token
        self.job_table = JobTable()
        self.worker_registry = WorkerRegistry(token)
        if relay_pool is not None:
            relay_pool.set_registry(self.worker_registry)
        self.health = FailureTracker(lambda name: name in self.worker_registry.machines)
        self._leader_condition = sm.Condition(LEADER_KEY, revision_of(token))
        self._choose_run_time_estimators(operator)
        self.scheduling_view = SchedulingView(
            reactor, settings.facts, machine_types, self.job_table, self.worker_registry, self.health, self.runs
        )
        self._last_write_revision = Revision(0)
        self.group_committer = GroupCommitter(
            reactor, store, self._leader_condition, self._reread_keys, self._on_written
        )
        self.dispatcher = CommandDispatcher(
            reactor,
            relay_pool.send_commands if relay_pool is not None else direct_sender(http),
            self.worker_registry,
            token,
            DispatchHandlers(
                self._on_command_response,
                self._on_start_not_sent,
                self._may_start,
                lambda: 1 + (relay_pool.relay_count if relay_pool is not None else 0),
            ),
        )
        self.job_writer = JobWriter(
            reactor,
            self.job_table,
            self.group_committer,
            store.max_changes,
            self._on_placement_stored,
            self._on_job_ended,
        )
        self.autoscaler = Autoscaler(reactor, settings, operator, cloud, machine_types, self)
        self._forecaster: CompletionForecaster | None = None
        if self._learned is not None:
            from meadowcross.leadership.completion_forecaster import CompletionForecaster

            self._forecaster = CompletionForecaster(
                reactor,
                self.job_table,
                self.worker_registry,
                self.scheduling_view,
                machine_types,
                self.autoscaler,
                self._learned,
            )
        self.loaded = False
        self._merged_state: MergedState | None = None
        self._was_replica_followed = False
        """Whether the picture that the term began with had been followed, not read."""
        self._stopped = False
        self._is_pass_scheduled = False
        self._last_pass_s: Seconds = 0.0
        self._descheduled_at = self._runs_sampled_at = self.now
        self._started_at = self._last_tick_at = self.now
        self._logged_milestones: set[str] = set()
        self._awaited_answers = 0
        """Of the machines found on record, those that must still answer for nine of ten to have done so."""
        self._preemption = PreemptionPlanner(operator)
        self._ticker = LoopingCall(self._on_tick)
        self._ticker.clock = reactor

    def _choose_run_time_estimators(self, operator: OperatorSettings) -> None:
        """Who learns run times, and whose word decides."""
        estimators: list[Runs] = []
        self._learned: Learned | None = None
        self.estimates: EstimateKeeper | None = None
        self.runs: Runs = MeanRuns()
        if operator.learned_estimates >= 1:
            # Only by who leads: a node that was killed is back sooner without them.
            from meadowcross.estimates.keeper import EstimateKeeper
            from meadowcross.estimates.learned import Learned

            self._learned = Learned(self._clock)
            self.estimates = EstimateKeeper(
                self._clock, self._store, self._leader_condition, self._learned, self._reread_keys
            )
            estimators.append(self._learned)
        if self._learned is not None and operator.learned_estimates >= 2:
            self.runs = self._learned
        else:
            estimators.append(self.runs)
        self._samples = Samples(estimators)

    def forecast(self, job: JobId) -> Ends | None:
        """When the job will be done, where that is learned."""
        return self._forecaster.forecast(job) if self._forecaster is not None and self.loaded else None

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    def has_valid_lease(self) -> bool:
        """Whether no other node can lead now."""
        return self._election.has_valid_lease()

    @property
    def stopped(self) -> bool:
        return self._stopped

    def _log_milestone(self, milestone: str) -> None:
        """For whoever measures takeovers: each step once, with the time since the election."""
        if milestone not in self._logged_milestones:
            self._logged_milestones.add(milestone)
            log.info("term %d: %s after %.3f s", self.token, milestone, self.now - self._started_at)

    def _on_crash(self, failure: Any) -> None:
        log.error("term %d failed: %s", self.token, failure.getTraceback())
        self._election.step_down("internal error")

    def find_machine_type(self, name: str) -> fm.MachineType | None:
        return next((t for t in self._machine_types() if t.name == name), None)

    def add_machine(self, machine_id: MachineId, kind: MachineKind) -> Machine:
        known_machine = self.worker_registry.machines.get(machine_id)
        if known_machine is None:
            known_machine = self.worker_registry.add(
                Machine(machine_id, kind, self.find_machine_type(kind.type), self.now)
            )
        elif kind.type and not known_machine.kind.type:
            known_machine.kind = kind
        if known_machine.machine_type is None:
            known_machine.machine_type = self.find_machine_type(known_machine.kind.type)
            self.worker_registry.on_type_known(known_machine)
        return known_machine

    def _decommission(self, machine_ids: list[MachineId], reason: str) -> None:
        for machine_id in machine_ids:
            machine = self.worker_registry.machines.get(machine_id)
            if machine is not None:
                self.autoscaler.decommission(machine, reason)

    def _is_current_placement(self, key: object) -> bool:
        if not isinstance(key, Placement):
            return False
        job = self.job_table.jobs.get(key.task.job)
        return job is not None and job.placements.get(key.task.number) is key

    def _current_replica(self) -> StoreReplica | None:
        return self._follower.replica if self._follower is not None else None

    def _has_end_record(self, job: JobId) -> bool:
        return self._follower is not None and self._follower.get(jm.ended_key(job)) is not None

    def _has_ended(self, job: JobId) -> bool:
        return job in self._known_ended or self._has_end_record(job)

    def _report_data_loss(self, reason: str, old: bool = False) -> None:
        """Proof that the store lost data: versions only grow, and only we move jobs away."""
        if self._recovery is not None:
            self._recovery.store_epochs.report_loss(reason, old)

    def _is_recovery_unsettled(self) -> bool:
        return self._recovery is not None and self._recovery.is_unsettled()

    # What the parts ask of each other

    @abstractmethod
    def _after_release(self, job: Job) -> None:
        """See `Reports`."""

    @abstractmethod
    def _apply_cancellation(self, job: Job, cancelled: WallTime) -> None:
        """See `Cancellation`."""

    @abstractmethod
    def _is_state_complete(self) -> bool:
        """See `LostRecords`."""

    @abstractmethod
    def _adopt_orphans(self, machine: Machine) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def _stop_all_tasks(self, job: Job) -> None:
        """See `Cancellation`."""

    @abstractmethod
    def _retry_cancellations(self) -> None:
        """See `Cancellation`."""

    @abstractmethod
    def _on_machine_verified(self, machine: MachineId) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def _on_job_ended(self, job: Job) -> None:
        """See `Storing`."""

    @abstractmethod
    def _apply_job_record(self, key: str, value: msgspec.Raw, mark: Revision) -> None:
        """See `Loading`."""

    @abstractmethod
    def _evict_reclaimed(self) -> None:
        """See `Reports`."""

    @abstractmethod
    async def _load_and_watch(self) -> None:
        """See `Loading`."""

    @abstractmethod
    def _may_start(self, placement: Placement) -> bool:
        """See `Storing`."""

    @abstractmethod
    def _on_command_response(self, report: wm.Heartbeat) -> None:
        """See `Reports`."""

    @abstractmethod
    def _on_tick(self) -> None:
        """See `Term`."""

    @abstractmethod
    def _on_start_not_sent(self, placement: Placement) -> None:
        """See `Storing`."""

    @abstractmethod
    async def _reread_keys(self, keys: list[str]) -> None:
        """See `Storing`."""

    @abstractmethod
    def _detect_lost_records(self, machine: Machine) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def _settle_orphaned_jobs(self) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def _stops_before_load(self, report: wm.Heartbeat) -> list[wm.Command]:
        """See `Cancellation`."""

    @abstractmethod
    def _on_placement_stored(self, placement: Placement) -> None:
        """See `Storing`."""

    @abstractmethod
    def _begin_write_back(self, rebuild: StateRecovery, merged: MergedState) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def _on_written(self, mark: Revision, changes: Sequence[sm.Put | sm.Delete]) -> None:
        """See `Storing`."""

    @abstractmethod
    def schedule_pass(self) -> None:
        """See `Term`."""

    @abstractmethod
    def on_cloud_list(self, described_at: Instant | None) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def on_machine_deleted(self, machine_id: MachineId) -> None:
        """See `Storing`."""

    @abstractmethod
    def stop_task(self, placement: Placement, grace: Seconds) -> None:
        """See `Reports`."""

    @abstractmethod
    def store_machine(self, machine: Machine) -> None:
        """See `Storing`."""
