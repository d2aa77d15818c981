"""What all parts of the autoscaler share: the clock, the settings, and what they need of the leader's term."""

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
from meadowcross.estimates.runs import Runs
from meadowcross.jobs.job_table import JobTable, Placement
from meadowcross.placement.model import PendingJob, QuotaHeadroom
from meadowcross.workers.dispatcher import CommandDispatcher
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry


class WorkloadView(MachineAvailability, Protocol):
    """What the autoscaler asks about the queue and the machines' contact."""

    @property
    def contact_window_s(self) -> Seconds:
        """A machine that is well and reports here was heard within this time."""

    def is_schedulable(self, machine: Machine) -> bool:
        """Return whether the machine may be given work."""

    def pending_jobs(self) -> list[PendingJob]:
        """Return the jobs with tasks to place."""

    def quota_headroom(self) -> dict[str, QuotaHeadroom]:
        """Return what each team may still use."""

    def silence_s(self, machine: Machine) -> Seconds:
        """Return for how long nothing was heard of the machine while this process listened."""

    def is_silent(self, machine: Machine) -> bool:
        """Return whether the machine was not heard within the contact window."""

    def contact_check(self) -> Callable[[Machine], bool]:
        """Return a function that tells whether a machine is not silent; for use over all machines."""


class AutoscalerHost(Protocol):
    """What the autoscaler needs of the term that owns it."""

    token: FencingToken
    job_table: JobTable
    worker_registry: WorkerRegistry
    dispatcher: CommandDispatcher
    runs: Runs

    @property
    def scheduling_view(self) -> WorkloadView:
        """The state of the queue and of the machines."""

    def has_valid_lease(self) -> bool:
        """Return whether no other node can lead now."""

    def add_machine(self, machine_id: MachineId, kind: MachineKind) -> Machine:
        """Return the machine of this id, which is registered if it is new."""

    def store_machine(self, machine: Machine) -> None:
        """Write the machine's record to the store."""

    def on_machine_deleted(self, machine_id: MachineId) -> None:
        """Handle the proof that a machine and all that ran on it are gone."""

    def stop_task(self, placement: Placement, grace_s: Seconds) -> None:
        """Stop a task, which gets `grace_s` to save a checkpoint."""

    def on_cloud_list(self, described_at: Instant | None) -> None:
        """Handle a machine list of the cloud; `described_at` is the time that it describes, if known."""


@dataclass(slots=True)
class AutoscalerContext:
    """What the parts of one autoscaler have in common."""

    clock: Clock
    facts: Facts
    operator: OperatorSettings
    machine_types: Callable[[], list[MachineType]]
    host: AutoscalerHost
    ticker: LoopingCall
    boot_times: BootTimeEstimator
    saves_money: bool
    """Whether work may wait for cheaper capacity."""
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
        """Return how long a machine of this type is expected to boot."""
        return self.boot_times.expected_boot_s(machine_type, self.now)
