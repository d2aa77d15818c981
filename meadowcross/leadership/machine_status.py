"""Applies the status that a machine reports in a heartbeat or in a response to commands."""

from __future__ import annotations

from dataclasses import dataclass

from meadowcross.autoscaling.autoscaler import Autoscaler
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Address, Instant, MachineKind
from meadowcross.leadership.machine_records import MachineRecords
from meadowcross.leadership.machine_verification import MachineVerification
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.reconciler import Reconciler
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.leadership.task_outcomes import TaskOutcomeHandler
from meadowcross.leadership.term_context import TermState
from meadowcross.workers.machine import Machine
from meadowcross.workers.messages import Heartbeat

log = get_logger("leadership")


@dataclass(frozen=True, slots=True)
class StatusCollaborators:
    """The components that act on a status."""

    scheduling_view: SchedulingView
    machine_records: MachineRecords
    verification: MachineVerification
    autoscaler: Autoscaler
    reconciler: Reconciler
    task_outcomes: TaskOutcomeHandler
    pass_trigger: PassTrigger


class MachineStatusHandler:
    """Applies a status to the worker registry, and acts on the changes."""

    def __init__(self, state: TermState, collaborators: StatusCollaborators) -> None:
        self._context = state.context
        self._worker_registry = state.worker_registry
        self._command_log = state.command_log
        self._scheduling_view = collaborators.scheduling_view
        self._machine_records = collaborators.machine_records
        self._verification = collaborators.verification
        self._autoscaler = collaborators.autoscaler
        self._reconciler = collaborators.reconciler
        self._task_outcomes = collaborators.task_outcomes
        self._pass_trigger = collaborators.pass_trigger

    def apply(self, heartbeat: Heartbeat) -> bool:
        """Apply a status. Returns whether it is the newest of its machine and carries this term's token.

        Raises `StaleTokenError` if the worker has seen a higher token."""
        # Runs once for each heartbeat, so the previous values are kept in local variables only.
        machine = self._machine_records.add_machine(
            heartbeat.machine, MachineKind(heartbeat.machine_type, heartbeat.zone, heartbeat.spot)
        )
        was_up = machine.is_up
        previous_address = machine.address
        had_confirmed_token = machine.proof.has_confirmed_token
        previous_reclaim_at = machine.reclaim_at
        previous_version = machine.proof.heartbeat_version
        if was_up and self._scheduling_view.is_silent(machine) and heartbeat.version > previous_version:
            machine.contact.silence_ended_at = self._context.now
        outcomes = self._worker_registry.apply_heartbeat(machine, heartbeat, self._context.now)
        if outcomes is not None and (machine.reported.stale or machine.reported.exited):
            self._command_log.check_stale_tasks(heartbeat, machine.reported.stale)
            self._reconciler.reconcile(machine)
        has_just_confirmed = machine.proof.has_confirmed_token and not had_confirmed_token
        if has_just_confirmed:
            self._verification.on_machine_verified(machine.id)
        if machine.address != previous_address or not machine.is_stored:
            self._machine_records.store_machine(machine)
        if not was_up and machine.is_up:
            self._on_first_contact(machine, previous_address)
        incarnation = machine.proof.heartbeat_version.incarnation
        if incarnation != previous_version.incarnation or machine.reclaim_at != previous_reclaim_at:
            self._log_changes(machine, previous_version.incarnation, previous_reclaim_at)
        for outcome in outcomes or ():
            with ErrorBoundary("applying a task's state", job=outcome.placement.task.job, machine=machine.id):
                self._task_outcomes.apply(machine, outcome)
        if has_just_confirmed:
            self._verification.on_first_response()
        if outcomes or has_just_confirmed:
            self._pass_trigger.schedule_pass()
        return outcomes is not None

    def _log_changes(self, machine: Machine, previous_incarnation: int, previous_reclaim_at: Instant | None) -> None:
        incarnation = machine.proof.heartbeat_version.incarnation
        if incarnation > previous_incarnation > 0:
            log.info("worker restarted machine=%s incarnation=%d", machine.id, incarnation)
        if machine.reclaim_at is not None and previous_reclaim_at is None:
            log.info("eviction notice machine=%s remaining_s=%.0f", machine.id, machine.reclaim_at - self._context.now)

    def _on_first_contact(self, machine: Machine, previous_address: Address | None) -> None:
        if previous_address is None:
            self._autoscaler.on_machine_up(machine)
        # `benchmarks.day` reads this line.
        log.info("first contact machine=%s type=%s", machine.id, machine.kind.type)
