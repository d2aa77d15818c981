"""State and interfaces that all parts of the autoscaler share: the clock, the settings and the leader's term."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.task import LoopingCall

from meadowcross.autoscaling.boot_times import BootTimeEstimator
from meadowcross.autoscaling.incoming_capacity import MachineAvailability
from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.clock import Clock
from meadowcross.common.settings import Facts, OperatorSettings
from meadowcross.common.types import FencingToken, Instant, MachineId, MachineKind, Seconds
from meadowcross.estimates.estimators import RunTimeEstimator
from meadowcross.jobs.job_table import JobTable, Placement
from meadowcross.placement.model import PendingJob, QuotaHeadroom
from meadowcross.workers.dispatcher import CommandDispatcher
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry


class WorkloadView(MachineAvailability, Protocol):
    """The queue, the teams' quotas and the contact with machines, as the autoscaler reads them."""

    @property
    def contact_window_s(self) -> Seconds:
        """Time within which a healthy machine that reports to this controller has sent a heartbeat."""

    def is_schedulable(self, machine: Machine) -> bool:
        """Return whether tasks may be placed on the machine now."""

    def pending_jobs(self) -> list[PendingJob]:
        """Return the jobs with tasks to place."""

    def quota_headroom(self) -> dict[str, QuotaHeadroom]:
        """Return by team the resources that it may still use."""

    def silence_s(self, machine: Machine) -> Seconds:
        """Return the time since the last contact with the machine; a suspension of this process does not count."""

    def is_silent(self, machine: Machine) -> bool:
        """Return whether there was no contact with the machine within the contact window."""

    def contact_check(self) -> Callable[[Machine], bool]:
        """Return a predicate that is true for machines that are not silent; for use over all machines."""


class AutoscalerHost(Protocol):
    """The operations of the leader's term that the autoscaler uses."""

    token: FencingToken
    job_table: JobTable
    worker_registry: WorkerRegistry
    dispatcher: CommandDispatcher
    run_time_estimator: RunTimeEstimator

    @property
    def scheduling_view(self) -> WorkloadView:
        """State of the queue and of the machines."""

    def has_valid_lease(self) -> bool:
        """Return whether the leader lease is valid, so that no other node can lead now."""

    def add_machine(self, machine_id: MachineId, kind: MachineKind) -> Machine:
        """Return the machine with this id; register it first if it is new."""

    def store_machine(self, machine: Machine) -> None:
        """Write the machine's record to the store."""

    def on_machine_deleted(self, machine_id: MachineId) -> None:
        """Remove a machine whose deletion the cloud confirmed, and release its tasks."""

    def stop_task(self, placement: Placement, grace_s: Seconds) -> None:
        """Stop a task after a grace of `grace_s` for saving a checkpoint."""

    def on_cloud_list(self, described_at: Instant | None) -> None:
        """Handle a machine list of the cloud; `described_at` is the instant that it describes, None if unknown."""


@dataclass(slots=True)
class AutoscalerContext:
    """Clock, settings and collaborators that the parts of one autoscaler share."""

    clock: Clock
    facts: Facts
    operator: OperatorSettings
    machine_types: Callable[[], list[MachineType]]
    host: AutoscalerHost
    ticker: LoopingCall
    boot_times: BootTimeEstimator
    is_cost_sensitive: bool
    """Whether jobs may wait for cheaper capacity, so that cost decides about machines."""
    started_at: Instant

    @property
    def now(self) -> Instant:
        """The current time."""
        return Instant(self.clock.seconds())

    @property
    def is_running(self) -> bool:
        """Whether the autoscaler has been started and not stopped."""
        return self.ticker.running

    def machines(self) -> dict[MachineId, Machine]:
        """Return all known machines by id."""
        return self.host.worker_registry.machines

    def expected_boot_s(self, machine_type: MachineType) -> Seconds:
        """Return the expected boot time of a machine of this type."""
        return self.boot_times.expected_boot_s(machine_type, self.now)
