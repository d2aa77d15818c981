"""Commands to workers: those in the response to a heartbeat, and direct ones.

Direct commands go in one request at a time for each worker, and each way in which a request can end is handled apart:
only one that was certainly not sent may be taken back.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.http import ClientResponse, ConnectionFailedError, NoResponseError
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, Instant, MachineId, Seconds, TaskId
from meadowcross.jobs.job_table import JobTable, Placement, PlacementPhase
from meadowcross.workers.machine import Machine, TaskAttempt
from meadowcross.workers.messages import (
    EXIT_DONE,
    Command,
    DirectCommands,
    Heartbeat,
    TaskReport,
    decode_heartbeat,
    encode,
)
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("workers")

COMMAND_TIMEOUT_S: Seconds = 3.0
PROBE_BATCH_SIZE = 16
PROBE_BATCH_INTERVAL_S: Seconds = 0.05
"""Probes go a few at a time: hundreds of responses at once kept a new leader with a quarter of a core from renewing
its lease, and the next leader started anew."""
FIRST_INCARNATION = 1
"""A worker's incarnations count from here: addressed while neither a status nor a hint tells another."""
HTTP_OK, HTTP_CONFLICT = 200, 409


def commands_for(machine: Machine, job_table: JobTable) -> list[Command]:
    """The commands in the response to a heartbeat, by the newest status of its machine."""
    commands = [
        Command("stop", str(placement.task), placement.attempt, placement.grace_s)
        for placement in machine.placements.values()
        if placement.stop_requested_at is not None and placement.may_have_started
    ]
    for stale_task in machine.reported.stale:
        log.info("task %s attempt %d on %s has no record: stopped", stale_task.task, stale_task.attempt, machine.id)
        commands.append(Command("stop", stale_task.task, stale_task.attempt, 0.0))
    commands += [
        Command("reap", task.task, task.attempt) for task in machine.reported.exited if _may_reap(task, job_table)
    ]
    return commands


def _may_reap(task: TaskReport, job_table: JobTable) -> bool:
    """An exited task may leave the worker once what it proves is stored."""
    task_id = TaskId.parse(task.task)
    job = job_table.jobs.get(task_id.job)
    if job is None or task.exit_reason != EXIT_DONE:
        return True
    return task_id.number in job.stored_done_tasks or job.cancelled_at is not None or not job.done_flags[task_id.number]


SendCommands = Callable[[Machine, bytes], Awaitable[ClientResponse]]
"""Sends commands to a worker. Raises ConnectionFailedError if they were certainly not sent, else NoResponseError."""


def _just_this_node() -> int:
    return 1


@dataclass(frozen=True, slots=True)
class DispatchHandlers:
    """What the dispatcher asks and tells its term."""

    on_status: Callable[[Heartbeat], None]
    """A worker responded with its status."""
    on_not_sent: Callable[[Placement], None]
    """The start of a placement was certainly not sent."""
    may_start: Callable[[Placement], bool]
    """Asked just before a start is sent."""
    probing_nodes: Callable[[], int] = _just_this_node
    """How many nodes send probes; a batch grows with them."""


class CommandDispatcher:
    """Queues starts, stops and probes by machine and sends them in batches, one request at a time for each machine."""

    def __init__(
        self,
        clock: Clock,
        send_commands: SendCommands,
        registry: WorkerRegistry,
        token: FencingToken,
        handlers: DispatchHandlers,
    ) -> None:
        """`token` goes with each request; `send_commands` sends one to a worker, directly or through a relay."""
        self._clock = clock
        self._send_commands = send_commands
        self._registry = registry
        self._token = token
        self._handlers = handlers
        self._starts: dict[MachineId, list[Placement]] = {}
        self._stops: dict[MachineId, dict[TaskAttempt, Placement]] = {}
        self._probe_requested_at: dict[MachineId, Instant] = {}
        self._probe_due: set[MachineId] = set()
        self._is_probe_scheduled = False
        self._sending: set[MachineId] = set()
        self._is_stopped = False

    def stop(self) -> None:
        """Send nothing more; responses to requests in flight are still handled."""
        self._is_stopped = True

    def enqueue_start(self, placement: Placement) -> None:
        """Send the start of a placement whose record is stored."""
        self._starts.setdefault(placement.machine, []).append(placement)
        self._schedule(placement.machine)

    def enqueue_stop(self, placement: Placement) -> None:
        """Send the stop of a placement, with its grace period."""
        placement.stop_sent_at = self._now()
        self._stops.setdefault(placement.machine, {})[TaskAttempt(placement.task, placement.attempt)] = placement
        self._schedule(placement.machine)

    def probe(self, machine: MachineId) -> None:
        """Send our token without commands, so that the response can prove something."""
        self._probe_requested_at.setdefault(machine, self._now())
        if not self._is_probe_scheduled:
            self._is_probe_scheduled = True
            self._clock.callLater(0, self._probe_batch)

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())

    def _probe_batch(self) -> None:
        self._is_probe_scheduled = False
        remaining = PROBE_BATCH_SIZE * self._handlers.probing_nodes()
        while self._probe_requested_at and remaining > 0 and not self._is_stopped:
            machine_id = next(iter(self._probe_requested_at))
            requested_at = self._probe_requested_at.pop(machine_id)
            machine = self._registry.machines.get(machine_id)
            if machine is not None and _needs_probe(machine, requested_at):
                self._probe_due.add(machine_id)
                self._schedule(machine_id)
                remaining -= 1
        if self._probe_requested_at and not self._is_stopped:
            self._is_probe_scheduled = True
            self._clock.callLater(PROBE_BATCH_INTERVAL_S, self._probe_batch)

    def _schedule(self, machine: MachineId) -> None:
        if machine not in self._sending and not self._is_stopped:
            self._sending.add(machine)
            # A turn of the reactor later, so that what is decided together goes together.
            self._clock.callLater(0, lambda: Deferred.fromCoroutine(self._drain(machine)))

    async def _drain(self, machine_id: MachineId) -> None:
        """Send what is queued for a machine until nothing is left."""
        try:
            while not self._is_stopped:
                starts = self._starts.pop(machine_id, [])
                stops = list(self._stops.pop(machine_id, {}).values())
                is_probe_due = machine_id in self._probe_due
                self._probe_due.discard(machine_id)
                machine = self._registry.machines.get(machine_id)
                if machine is None:
                    return
                if not (starts or stops or is_probe_due):
                    return
                await self._send(machine, starts, stops)
        except Exception:
            # The edge of this machine's loop: it is begun again by the next start, stop or probe.
            log.exception("sending to %s failed", machine_id)
        finally:
            self._sending.discard(machine_id)

    async def _send(self, machine: Machine, starts: list[Placement], stops: list[Placement]) -> None:
        """Send one request and handle its result."""
        proof = machine.proof
        incarnation = proof.heartbeat_version.incarnation or proof.hinted_incarnation or FIRST_INCARNATION
        ready = self._select_startable(machine, starts)
        if machine.address is None:
            return
        # A repeated start of an attempt that the worker has is ignored there. The first request may still arrive, so
        # its start stays open: the task is known from now on, and never reaped.
        commands = [_start(placement) for placement in ready + _unacknowledged(machine, incarnation)]
        commands += [_stop(placement) for placement in stops]
        sent_starts = [TaskAttempt(placement.task, placement.attempt) for placement in ready]
        for placement in ready:
            placement.phase = PlacementPhase.SENT
        self._registry.record_starts_sent(machine, incarnation, sent_starts)
        body = encode(DirectCommands(self._token, incarnation, commands))
        try:
            response = await self._send_commands(machine, body)
        except ConnectionFailedError as error:
            log.debug("%s not reached: %s", machine.id, error)
            self._mark_unresponsive(machine)
            self._take_back(machine, ready, sent_starts)
        except NoResponseError as error:
            # The starts stay open: they may be executed late, so their tasks stay assigned to this machine until its
            # incarnation or our token is over there.
            self._mark_unresponsive(machine)
            log.info("%s gave no answer to %d starts: %s", machine.id, len(sent_starts), error)
        else:
            self._handle_response(machine, incarnation, sent_starts, response)

    def _select_startable(self, machine: Machine, starts: list[Placement]) -> list[Placement]:
        """The starts that may be sent now; the others are handed back."""
        ready = []
        for placement in starts:
            is_usable = machine.address is not None and machine.decommission_reason is None
            if is_usable and self._handlers.may_start(placement):
                ready.append(placement)
            else:
                self._handlers.on_not_sent(placement)
        return ready

    def _mark_unresponsive(self, machine: Machine) -> None:
        machine.contact.unresponsive_since = machine.contact.unresponsive_since or self._now()

    def _take_back(self, machine: Machine, placements: list[Placement], starts: list[TaskAttempt]) -> None:
        """The request was certainly not sent."""
        self._registry.close_starts(machine, starts)
        for placement in placements:
            placement.phase = PlacementPhase.STORED
            self._handlers.on_not_sent(placement)

    def _handle_response(
        self, machine: Machine, incarnation: int, starts: list[TaskAttempt], response: ClientResponse
    ) -> None:
        if response.status not in (HTTP_OK, HTTP_CONFLICT):
            log.error("%s answered %d to commands", machine.id, response.status)
            return
        try:
            status = decode_heartbeat(response.body)
        except msgspec.DecodeError as error:
            # Its text says all: a trace of our own decoder would add nothing.
            log.error("%s answered what can't be read: %s", machine.id, error)  # noqa: TRY400
            return
        machine.contact.unresponsive_since = None
        # 200: executed; 409: certainly not executed. Either way no start is open any more.
        self._registry.close_starts(machine, starts)
        self._handlers.on_status(status)
        if response.status == HTTP_CONFLICT and machine.proof.heartbeat_version.incarnation != incarnation:
            self.probe(machine.id)


def _start(placement: Placement) -> Command:
    return Command("start", str(placement.task), placement.attempt)


def _stop(placement: Placement) -> Command:
    return Command("stop", str(placement.task), placement.attempt, placement.grace_s)


def _needs_probe(machine: Machine, requested_at: Instant) -> bool:
    """Not if its status came meanwhile, unless its heartbeats arrive while commands to it get no response."""
    has_answered = machine.proof.has_confirmed_token and (machine.contact.last_status_at or 0.0) > requested_at
    return machine.contact.unresponsive_since is not None or not has_answered


def _unacknowledged(machine: Machine, incarnation: int) -> list[Placement]:
    """Placements whose start got no response and is still wanted. Without a repeat such a task would wait on a machine
    that has recovered until a new leader comes, which has not sent it."""
    return [
        placement
        for (task, attempt), start_incarnation in machine.proof.open_starts.items()
        if start_incarnation == incarnation
        and (placement := machine.placements.get(task)) is not None
        and placement.attempt == attempt
        and placement.phase is PlacementPhase.SENT
        and placement.stop_requested_at is None
    ]
