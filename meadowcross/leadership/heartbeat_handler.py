"""Responds to workers' heartbeats."""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.autoscaling.autoscaler import Autoscaler
from meadowcross.common.types import JobId, NodeName, TaskId
from meadowcross.jobs import messages as job_messages
from meadowcross.leadership.machine_status import MachineStatusHandler
from meadowcross.leadership.term_context import TermState
from meadowcross.leadership.term_recovery import TermRecovery
from meadowcross.relay.pool import RelayPool
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.workers.heartbeat_commands import respond_to_heartbeat
from meadowcross.workers.messages import Command, Heartbeat, HeartbeatResponse, Redirect, TaskState
from meadowcross.workers.registry import StaleTokenError


class CancellationsBeforeLoad:
    """Detects cancelled jobs before a term has loaded its state, which an outage can delay for long.

    Responses to heartbeats renew worker leases, so cancelled tasks would otherwise run until the state is loaded."""

    def __init__(self, follower: ReplicaFollower | None, is_cancel_announced: Callable[[JobId], bool]) -> None:
        """`is_cancel_announced`: whether a peer announced that the job's cancellation is stored."""
        self._follower = follower
        self._is_cancel_announced = is_cancel_announced
        self._is_cancelled_by_replica: dict[JobId, bool] = {}

    def list_stop_commands(self, heartbeat: Heartbeat) -> list[Command]:
        """Returns commands that stop, without a grace time, those of the heartbeat's tasks whose jobs are cancelled."""
        return [
            Command("stop", task.task, task.attempt, 0.0)
            for task in heartbeat.tasks
            if task.state is not TaskState.EXITED and self._is_cancelled(TaskId.parse(task.task).job)
        ]

    def _is_cancelled(self, job_id: JobId) -> bool:
        if self._is_cancel_announced(job_id):
            return True
        if job_id not in self._is_cancelled_by_replica:
            item = self._follower.get(job_messages.open_key(job_id)) if self._follower is not None else None
            self._is_cancelled_by_replica[job_id] = (
                item is not None and job_messages.decode_record(item.value).cancelled_at is not None
            )
        return self._is_cancelled_by_replica[job_id]


class HeartbeatHandler:
    """Handles full heartbeats, from workers or from relays, and responds with commands."""

    def __init__(
        self,
        state: TermState,
        status_handler: MachineStatusHandler,
        autoscaler: Autoscaler,
        relay_pool: RelayPool | None,
        cancellations_before_load: CancellationsBeforeLoad,
        recovery: TermRecovery,
    ) -> None:
        self._context = state.context
        self._lifecycle = state.lifecycle
        self._job_table = state.job_table
        self._worker_registry = state.worker_registry
        self._command_log = state.command_log
        self._status_handler = status_handler
        self._autoscaler = autoscaler
        self._relay_pool = relay_pool
        self._cancellations_before_load = cancellations_before_load
        self._recovery = recovery

    def handle(self, heartbeat: Heartbeat, relay: NodeName | None = None) -> HeartbeatResponse | Redirect | None:
        """Respond to a worker's full heartbeat, which came directly or through `relay`.

        Returns a `Redirect` to assign the worker to a relay, and None if this controller is no longer the leader."""
        token = self._context.token
        if not self._lifecycle.is_loaded:
            # The response renews the worker lease; the status is not applied before the state is loaded.
            if heartbeat.token > token:
                return None
            return HeartbeatResponse(token, self._cancellations_before_load.list_stop_commands(heartbeat))
        if self._autoscaler.is_deleted(heartbeat.machine):
            return HeartbeatResponse(token, [])
        known_machine = self._worker_registry.machines.get(heartbeat.machine)
        # A late copy does not show which controller its machine reaches now.
        is_copy = known_machine is not None and heartbeat.version <= max(
            known_machine.proof.heartbeat_version, known_machine.proof.renewed_version
        )
        try:
            is_newest = self._status_handler.apply(heartbeat)
        except StaleTokenError as error:
            self._on_stale_token(error)
            return None
        machine = self._worker_registry.machines[heartbeat.machine]
        if not is_copy:
            machine.contact.last_heartbeat_at = self._context.now
            if self._relay_pool is not None and (node := self._relay_pool.assign_relay(machine, relay)) is not None:
                return Redirect(node)
        if not is_newest:
            return HeartbeatResponse(self._worker_registry.token_for(machine), [])
        response = respond_to_heartbeat(machine, self._job_table, self._worker_registry)
        if response.commands:
            self._command_log.on_heartbeat_response(heartbeat, response.token, response.commands)
        return response

    def is_repeatable(self, heartbeat: Heartbeat) -> bool:
        """Whether the same heartbeat, sent again, would get no command and change nothing."""
        machine = self._worker_registry.machines.get(heartbeat.machine)
        return (
            machine is not None
            and heartbeat.token == self._worker_registry.token_for(machine)
            and heartbeat.version == machine.proof.heartbeat_version
            and machine.proof.reconciled_tasks is not None
            and not machine.reported.stale
            and not machine.reported.orphaned
            and all(task.state is not TaskState.EXITED for task in heartbeat.tasks)
            and all(placement.stop_requested_at is None for placement in machine.placements.values())
        )

    def on_command_response(self, heartbeat: Heartbeat) -> None:
        """Apply the status in a worker's response to commands, if the machine is still registered."""
        if self._lifecycle.is_stopped or heartbeat.machine not in self._worker_registry.machines:
            return
        try:
            self._status_handler.apply(heartbeat)
        except StaleTokenError as error:
            self._on_stale_token(error)

    def _on_stale_token(self, error: StaleTokenError) -> None:
        """End the term. If no other leader is found, the token shows that the store lost the data of its leader."""
        self._recovery.observe_token(error.seen)
        self._context.leadership.step_down(str(error))
