"""Connects the autoscaler to the leader's term that it works for."""

from __future__ import annotations

from meadowcross.autoscaling.messages import machine_key
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, MachineId, MachineKind, Seconds
from meadowcross.estimates.samples import SampleCollector
from meadowcross.jobs.job_table import Placement
from meadowcross.leadership.machine_records import MachineRecords
from meadowcross.leadership.machine_verification import MachineVerification
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.placement_writer import PlacementWriter
from meadowcross.leadership.run_time_estimators import RunTimeEstimators
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.leadership.term_context import TermState
from meadowcross.relay.pool import RelayPool
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.machine import Machine

log = get_logger("leadership")


class MachineRemoval:
    """Removes deleted machines and their tasks from a term's state."""

    def __init__(
        self,
        state: TermState,
        placement_writer: PlacementWriter,
        verification: MachineVerification,
        health: FailureTracker,
        samples: SampleCollector,
        relay_pool: RelayPool | None,
        pass_trigger: PassTrigger,
    ) -> None:
        self._context = state.context
        self._job_table = state.job_table
        self._worker_registry = state.worker_registry
        self._placement_writer = placement_writer
        self._verification = verification
        self._health = health
        self._samples = samples
        self._relay_pool = relay_pool
        self._pass_trigger = pass_trigger

    def on_machine_deleted(self, machine_id: MachineId) -> None:
        """Remove a machine whose deletion the cloud confirmed with status 200, so that none of its tasks is left."""
        machine = self._worker_registry.machines.get(machine_id)
        last_contact_at = machine.contact.last_contact_at if machine is not None else None
        for placement in self._worker_registry.remove(machine_id):
            self._release_lost_task(placement, machine_id, last_contact_at)
        self._verification.on_machine_verified(machine_id)
        if self._relay_pool is not None:
            self._relay_pool.remove_machine(machine_id)
        self._health.forget_machine(machine_id)
        self._placement_writer.job_writer.enqueue_delete(machine_key(machine_id))
        self._pass_trigger.schedule_pass()

    def _release_lost_task(self, placement: Placement, machine_id: MachineId, last_contact_at: Instant | None) -> None:
        job = self._job_table.jobs.get(placement.task.job)
        if job is None:
            return
        log.info(
            "task released with its machine task=%s attempt=%d machine=%s",
            placement.task,
            placement.attempt,
            machine_id,
        )
        self._samples.on_task_interrupted(job, placement, False, last_contact_at, self._context.now)
        self._job_table.release(placement)
        job.last_loss_at = self._context.now
        self._placement_writer.after_release(job)


class TermAutoscalerHost:
    """The state and operations of a term that its autoscaler uses."""

    def __init__(
        self,
        state: TermState,
        scheduling_view: SchedulingView,
        estimators: RunTimeEstimators,
        machine_records: MachineRecords,
        placement_writer: PlacementWriter,
        verification: MachineVerification,
        machine_removal: MachineRemoval,
    ) -> None:
        self.token = state.context.token
        self.job_table = state.job_table
        self.worker_registry = state.worker_registry
        self.dispatcher = placement_writer.dispatcher
        self.run_time_estimator = estimators.decision_estimator
        self._leadership = state.context.leadership
        self._scheduling_view = scheduling_view
        self._machine_records = machine_records
        self._placement_writer = placement_writer
        self._verification = verification
        self._machine_removal = machine_removal

    @property
    def scheduling_view(self) -> SchedulingView:
        """The pending jobs, and the machines for them."""
        return self._scheduling_view

    def has_valid_lease(self) -> bool:
        """Whether the leader lease is valid, so that no other controller can lead now."""
        return self._leadership.has_valid_lease()

    def add_machine(self, machine_id: MachineId, kind: MachineKind) -> Machine:
        """See `MachineRecords.add_machine`."""
        return self._machine_records.add_machine(machine_id, kind)

    def store_machine(self, machine: Machine) -> None:
        """See `MachineRecords.store_machine`."""
        self._machine_records.store_machine(machine)

    def on_machine_deleted(self, machine_id: MachineId) -> None:
        """See `MachineRemoval.on_machine_deleted`."""
        self._machine_removal.on_machine_deleted(machine_id)

    def stop_task(self, placement: Placement, grace_s: Seconds) -> None:
        """See `PlacementWriter.stop_task`."""
        self._placement_writer.stop_task(placement, grace_s)

    def on_cloud_list(self, described_at: Instant | None) -> None:
        """See `MachineVerification.on_cloud_list`."""
        self._verification.on_cloud_list(described_at)
