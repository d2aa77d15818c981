"""Direct commands to workers.

They are sent in one request at a time for each worker. Each possible result of a request is handled
separately, because start commands may be reverted only if they were certainly not sent.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.http import ClientResponse, ConnectionFailedError, NoResponseError
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, MachineId, Seconds
from meadowcross.jobs.job_table import Placement, PlacementPhase
from meadowcross.workers.command_log import CommandLog, SentCommands
from meadowcross.workers.fencing import TaskAttempt
from meadowcross.workers.machine import Machine
from meadowcross.workers.messages import (
    Command,
    DirectCommands,
    Heartbeat,
    decode_heartbeat,
    encode,
)
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("workers")

COMMAND_TIMEOUT_S: Seconds = 3.0
PROBE_BATCH_SIZE = 16
PROBE_BATCH_INTERVAL_S: Seconds = 0.05
"""Interval between batches of probes. Without batches, hundreds of responses at once kept a new leader with a quarter
of a core from renewing its leader lease, and the next leader began the probes again."""
FIRST_INCARNATION = 1
"""First incarnation of a worker; commands are addressed to it until a status or a hint gives another incarnation."""
HTTP_OK, HTTP_CONFLICT = 200, 409


SendCommands = Callable[[Machine, bytes], Awaitable[ClientResponse]]
"""Sends commands to a worker.

Raises ConnectionFailedError if the commands were certainly not sent, NoResponseError if they may have been sent.
"""


def _single_probing_node() -> int:
    return 1


@dataclass(frozen=True, slots=True)
class DispatchHandlers:
    """Callbacks from the dispatcher to its term."""

    on_status: Callable[[Heartbeat], None]
    """Called with the status in a worker's response."""
    on_not_sent: Callable[[Placement], None]
    """Called with a placement whose start command was certainly not sent."""
    may_start: Callable[[Placement], bool]
    """Returns whether the placement may still be started; called just before its start command is sent."""
    probing_nodes: Callable[[], int] = _single_probing_node
    """Returns the number of controllers that send probes; the size of a batch is proportional to it."""


class CommandDispatcher:
    """Queues starts, stops and probes by machine and sends them in batches, one request at a time for each machine."""

    def __init__(
        self,
        clock: Clock,
        send_commands: SendCommands,
        registry: WorkerRegistry,
        handlers: DispatchHandlers,
        command_log: CommandLog,
    ) -> None:
        """`send_commands` sends a request, either directly or through a relay."""
        self._clock = clock
        self._send_commands = send_commands
        self._registry = registry
        self._handlers = handlers
        self._command_log = command_log
        self._starts: dict[MachineId, list[Placement]] = {}
        self._stops: dict[MachineId, dict[TaskAttempt, Placement]] = {}
        self._probe_requested_at: dict[MachineId, Instant] = {}
        self._due_probes: set[MachineId] = set()
        self._is_probe_scheduled = False
        self._machines_in_flight: set[MachineId] = set()
        """Machines whose send loop is scheduled or running."""
        self._is_stopped = False

    def stop(self) -> None:
        """Stop sending; responses to requests in flight are still handled."""
        self._is_stopped = True

    def enqueue_start(self, placement: Placement) -> None:
        """Queue the start command of a stored placement."""
        self._starts.setdefault(placement.machine, []).append(placement)
        self._schedule(placement.machine)

    def enqueue_stop(self, placement: Placement) -> None:
        """Queue a stop command with the placement's grace period."""
        placement.stop_sent_at = self._now()
        self._stops.setdefault(placement.machine, {})[TaskAttempt(placement.task, placement.attempt)] = placement
        self._schedule(placement.machine)

    def probe(self, machine: MachineId) -> None:
        """Queue a request without commands; it carries this term's token, so that the response proves tasks."""
        self._probe_requested_at.setdefault(machine, self._now())
        if not self._is_probe_scheduled:
            self._is_probe_scheduled = True
            self._clock.callLater(0, self._probe_batch)

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())

    def _probe_batch(self) -> None:
        self._is_probe_scheduled = False
        remaining_probes = PROBE_BATCH_SIZE * self._handlers.probing_nodes()
        while self._probe_requested_at and remaining_probes > 0 and not self._is_stopped:
            machine_id = next(iter(self._probe_requested_at))
            requested_at = self._probe_requested_at.pop(machine_id)
            machine = self._registry.machines.get(machine_id)
            if machine is not None and _needs_probe(machine, requested_at):
                self._due_probes.add(machine_id)
                self._schedule(machine_id)
                remaining_probes -= 1
        if self._probe_requested_at and not self._is_stopped:
            self._is_probe_scheduled = True
            self._clock.callLater(PROBE_BATCH_INTERVAL_S, self._probe_batch)

    def _schedule(self, machine: MachineId) -> None:
        if machine not in self._machines_in_flight and not self._is_stopped:
            self._machines_in_flight.add(machine)
            # Sent in the next turn of the reactor, so that commands of the same pass share one request.
            self._clock.callLater(0, lambda: Deferred.fromCoroutine(self._send_queued(machine)))

    async def _send_queued(self, machine_id: MachineId) -> None:
        """Send the queued commands and probes of a machine until none is left."""
        try:
            while not self._is_stopped:
                starts = self._starts.pop(machine_id, [])
                stops = list(self._stops.pop(machine_id, {}).values())
                is_probe_due = machine_id in self._due_probes
                self._due_probes.discard(machine_id)
                machine = self._registry.machines.get(machine_id)
                if machine is None:
                    return
                if not (starts or stops or is_probe_due):
                    return
                await self._send(machine, starts, stops)
        except Exception:
            # Last resort of this machine's send loop: the next start, stop or probe begins the loop again.
            log.exception("sending commands failed machine=%s", machine_id)
        finally:
            self._machines_in_flight.discard(machine_id)

    async def _send(self, machine: Machine, starts: list[Placement], stops: list[Placement]) -> None:
        """Send one request and handle its result."""
        proof = machine.proof
        incarnation = proof.heartbeat_version.incarnation or proof.hinted_incarnation or FIRST_INCARNATION
        startable = self._select_startable(machine, starts)
        if machine.address is None:
            return
        # A worker ignores a repeated start of an attempt that it has. The first request may still arrive, so its start
        # stays open, and the task is not reaped while it is.
        repeated = _unacknowledged_starts(machine, incarnation)
        sent = SentCommands(
            machine.id,
            self._registry.token_for(machine),
            incarnation,
            starts=[_start_command(placement) for placement in startable],
            repeated_starts=[_start_command(placement) for placement in repeated],
            stops=[_stop_command(placement) for placement in stops],
        )
        sent_starts = [TaskAttempt(placement.task, placement.attempt) for placement in startable]
        for placement in startable:
            placement.phase = PlacementPhase.SENT
        self._registry.record_starts_sent(machine, incarnation, sent_starts)
        self._registry.record_starts_executable(
            machine, incarnation, [TaskAttempt(placement.task, placement.attempt) for placement in repeated]
        )
        self._command_log.on_sent(sent)
        body = encode(DirectCommands(sent.token, incarnation, [*sent.starts, *sent.repeated_starts, *sent.stops]))
        machine.proof.has_request_in_flight = True
        try:
            response = await self._send_commands(machine, body)
        except ConnectionFailedError as error:
            log.debug("connection for commands failed machine=%s error=%s", machine.id, error)
            self._mark_unresponsive(machine)
            self._revert_starts(machine, startable, sent_starts)
        except NoResponseError as error:
            # The starts stay open because they may be executed late: their tasks stay assigned to this machine until
            # the worker has a later incarnation or has seen a higher token.
            self._mark_unresponsive(machine)
            self._command_log.on_unanswered(machine.id, sent.token, len(sent_starts), error)
        else:
            self._handle_response(machine, sent, sent_starts, response)
        finally:
            machine.proof.has_request_in_flight = False

    def _select_startable(self, machine: Machine, starts: list[Placement]) -> list[Placement]:
        """Return the starts that may be sent now; call `on_not_sent` for the other ones."""
        startable = []
        for placement in starts:
            is_usable = machine.address is not None and machine.decommission_reason is None
            if is_usable and self._handlers.may_start(placement):
                startable.append(placement)
            else:
                self._handlers.on_not_sent(placement)
        return startable

    def _mark_unresponsive(self, machine: Machine) -> None:
        machine.contact.unresponsive_since = machine.contact.unresponsive_since or self._now()

    def _revert_starts(self, machine: Machine, placements: list[Placement], starts: list[TaskAttempt]) -> None:
        """Revert start commands that were certainly not sent."""
        self._registry.close_starts(machine, starts)
        for placement in placements:
            placement.phase = PlacementPhase.STORED
            self._handlers.on_not_sent(placement)

    def _handle_response(
        self, machine: Machine, sent: SentCommands, starts: list[TaskAttempt], response: ClientResponse
    ) -> None:
        if response.status not in (HTTP_OK, HTTP_CONFLICT):
            log.error("unexpected response to commands machine=%s status=%d", machine.id, response.status)
            return
        try:
            status = decode_heartbeat(response.body)
        except msgspec.DecodeError as error:
            # The error's text is enough; a stack trace of the decoder would add nothing.
            log.error("malformed response to commands machine=%s error=%s", machine.id, error)  # noqa: TRY400
            return
        machine.contact.unresponsive_since = None
        is_rejected = response.status == HTTP_CONFLICT
        self._command_log.on_answered(sent.token, is_rejected, status)
        # 200: executed; 409: certainly not executed. In both cases the starts are no longer open.
        self._registry.close_starts(machine, starts)
        self._handlers.on_status(status)
        if is_rejected and machine.proof.heartbeat_version.incarnation != sent.incarnation:
            self.probe(machine.id)


def _start_command(placement: Placement) -> Command:
    return Command("start", str(placement.task), placement.attempt)


def _stop_command(placement: Placement) -> Command:
    return Command("stop", str(placement.task), placement.attempt, placement.grace_s)


def _needs_probe(machine: Machine, requested_at: Instant) -> bool:
    """Whether a probe is still needed: no status came since it was requested, or the machine is unresponsive."""
    has_responded = machine.proof.has_confirmed_token and (machine.contact.last_status_at or 0.0) > requested_at
    return machine.contact.unresponsive_since is not None or not has_responded


def _unacknowledged_starts(machine: Machine, incarnation: int) -> list[Placement]:
    """Return the placements whose start command got no response and is still wanted, to be sent again.

    Without the repetition, such a task would wait on a machine that has recovered until the next leader takes over,
    for which its start is not open.
    """
    return [
        placement
        for (task, attempt), start_incarnation in machine.proof.open_starts.items()
        if start_incarnation == incarnation
        and (placement := machine.placements.get(task)) is not None
        and placement.attempt == attempt
        and placement.phase is PlacementPhase.SENT
        and placement.stop_requested_at is None
    ]
