"""Commands: in the response to a report, and direct, one request at a time for each worker,
every outcome told apart."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.http import ClientResponse, ConnectionFailedError, NoResponseError
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, Instant, MachineId, Seconds, TaskId
from meadowcross.jobs.job_table import JobTable, Placement, PlacementPhase
from meadowcross.workers import messages as m
from meadowcross.workers.machine import Machine, TaskAttempt
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("workers")

COMMAND_TIMEOUT_S: Seconds = 3.0
PROBE_BATCH_SIZE = 16
PROBE_BATCH_INTERVAL_S: Seconds = 0.05
"""Greetings go a few at a time: hundreds of answers at once kept a new leader with a quarter
of a core from renewing its hold, and the next one started anew."""


def commands_for(machine: Machine, book: JobTable) -> list[m.Command]:
    """What the response to a newest report tells the worker."""
    commands = [
        m.Command("stop", str(placement.task), placement.attempt, placement.grace_s)
        for placement in machine.placements.values()
        if placement.stop_requested_at is not None and placement.may_have_started
    ]
    for stale_task in machine.reported.stale:
        log.info("task %s attempt %d on %s has no record: stopped", stale_task.task, stale_task.attempt, machine.id)
        commands.append(m.Command("stop", stale_task.task, stale_task.attempt, 0.0))
    commands += [
        m.Command("reap", task.task, task.attempt) for task in machine.reported.exited if _may_reap(task, book)
    ]
    return commands


def _may_reap(task: m.TaskReport, book: JobTable) -> bool:
    """An exited task may leave the worker once what it proves is stored."""
    task_id = TaskId.parse(task.task)
    job = book.jobs.get(task_id.job)
    if job is None or task.exit_reason != m.EXIT_DONE:
        return True
    return task_id.number in job.stored_done_tasks or job.cancelled_at is not None or not job.done_flags[task_id.number]


SendCommands = Callable[[Machine, bytes], Awaitable[ClientResponse]]
"""Sends commands to a worker. Raises NotSent where they were certainly not sent, else Unanswered."""


class CommandDispatcher:
    """Queues starts and stops per machine and sends them in batches."""

    def __init__(
        self,
        clock: Clock,
        send_commands: SendCommands,
        registry: WorkerRegistry,
        token: FencingToken,
        on_status: Callable[[m.Heartbeat], None],
        on_unsent: Callable[[Placement], None],
        may_start: Callable[[Placement], bool],
        probing_nodes: Callable[[], int] = lambda: 1,
    ) -> None:
        """`greeters`: how many nodes send greetings, so many times as many go at once."""
        self._probing_nodes = probing_nodes
        self._clock = clock
        self._send_commands = send_commands
        self._registry = registry
        self._token = token
        self._on_status = on_status
        self._on_unsent = on_unsent
        self._may_start = may_start
        self._starts: dict[MachineId, list[Placement]] = {}
        self._stops: dict[MachineId, dict[TaskAttempt, Placement]] = {}
        self._probe_requested_at: dict[MachineId, Instant] = {}
        self._probe_due: set[MachineId] = set()
        self._is_probe_scheduled = False
        self._sending: set[MachineId] = set()
        self._is_stopped = False

    def stop(self) -> None:
        self._is_stopped = True

    def enqueue_start(self, placement: Placement) -> None:
        self._starts.setdefault(placement.machine, []).append(placement)
        self._schedule(placement.machine)

    def enqueue_stop(self, placement: Placement) -> None:
        placement.stop_sent_at = Instant(self._clock.seconds())
        self._stops.setdefault(placement.machine, {})[TaskAttempt(placement.task, placement.attempt)] = placement
        self._schedule(placement.machine)

    def probe(self, machine: MachineId) -> None:
        """Send our token with no commands, so that the answer can prove things."""
        self._probe_requested_at.setdefault(machine, Instant(self._clock.seconds()))
        if not self._is_probe_scheduled:
            self._is_probe_scheduled = True
            self._clock.callLater(0, self._probe_batch)

    def _probe_batch(self) -> None:
        self._is_probe_scheduled = False
        probe_count = 0
        while (
            self._probe_requested_at and probe_count < PROBE_BATCH_SIZE * self._probing_nodes() and not self._is_stopped
        ):
            machine_id = next(iter(self._probe_requested_at))
            requested_at = self._probe_requested_at.pop(machine_id)
            machine = self._registry.machines.get(machine_id)
            # Who has answered or reported meanwhile needs no greeting any more, unless it is reports that come and
            # nothing else that arrives.
            has_answered = (
                machine is not None
                and machine.proof.has_confirmed_token
                and (machine.contact.last_status_at or 0.0) > requested_at
            )
            if machine is not None and (machine.contact.unresponsive_since is not None or not has_answered):
                self._probe_due.add(machine_id)
                self._schedule(machine_id)
                probe_count += 1
        if self._probe_requested_at and not self._is_stopped:
            self._is_probe_scheduled = True
            self._clock.callLater(PROBE_BATCH_INTERVAL_S, self._probe_batch)

    def _schedule(self, machine: MachineId) -> None:
        if machine not in self._sending and not self._is_stopped:
            self._sending.add(machine)
            # A turn of the loop later, so that what is decided together goes together.
            self._clock.callLater(0, lambda: Deferred.fromCoroutine(self._drain(machine)))

    async def _drain(self, machine_id: MachineId) -> None:
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
            log.exception("sending to %s failed", machine_id)
        finally:
            self._sending.discard(machine_id)

    def _unacknowledged(self, machine: Machine, incarnation: int) -> list[Placement]:
        """What was started there without an answer, and is still wanted. Once such a task waited, on a machine that
        was well again, until a leader came who had not sent it."""
        return [
            placement
            for (task, attempt), start_incarnation in machine.proof.open_starts.items()
            if start_incarnation == incarnation
            and (placement := machine.placements.get(task)) is not None
            and placement.attempt == attempt
            and placement.phase is PlacementPhase.SENT
            and placement.stop_requested_at is None
        ]

    async def _send(self, machine: Machine, starts: list[Placement], stops: list[Placement]) -> None:
        incarnation = machine.proof.heartbeat_version.incarnation or machine.proof.hinted_incarnation or 1
        ready = []
        for placement in starts:
            if machine.address is not None and machine.decommission_reason is None and self._may_start(placement):
                ready.append(placement)
            else:
                self._on_unsent(placement)
        commands = [m.Command("start", str(p.task), p.attempt) for p in ready]
        # Told again, an attempt that the worker has is left as it is. The first request may still arrive, so its start
        # stays open: the task is known from now on, and never reaped.
        commands += [m.Command("start", str(p.task), p.attempt) for p in self._unacknowledged(machine, incarnation)]
        commands += [m.Command("stop", str(p.task), p.attempt, p.grace_s) for p in stops]
        if machine.address is None:
            return
        sent_starts: list[TaskAttempt] = [TaskAttempt(p.task, p.attempt) for p in ready]
        for placement in ready:
            placement.phase = PlacementPhase.SENT
        self._registry.record_starts_sent(machine, incarnation, sent_starts)
        body = m.encode(m.DirectCommands(self._token, incarnation, commands))
        try:
            reply = await self._send_commands(machine, body)
        except ConnectionFailedError as error:
            log.debug("%s not reached: %s", machine.id, error)
            machine.contact.unresponsive_since = machine.contact.unresponsive_since or Instant(self._clock.seconds())
            self._registry.close_starts(machine, sent_starts)
            for placement in ready:
                placement.phase = PlacementPhase.STORED
                self._on_unsent(placement)
            return
        except NoResponseError as error:
            # The starts stay open: they may be carried out late, so their tasks stay
            # pinned to this machine until its session or our token is over there.
            machine.contact.unresponsive_since = machine.contact.unresponsive_since or Instant(self._clock.seconds())
            log.info("%s gave no answer to %d starts: %s", machine.id, len(sent_starts), error)
            return
        if reply.status not in (200, 409):
            log.error("%s answered %d to commands", machine.id, reply.status)
            return
        try:
            status = m.decode_heartbeat(reply.body)
        except msgspec.DecodeError as error:
            log.error("%s answered what can't be read: %s", machine.id, error)
            return
        machine.contact.unresponsive_since = None
        # 200: carried out; 409: certainly not. Either way no start is open any more.
        self._registry.close_starts(machine, sent_starts)
        self._on_status(status)
        if reply.status == 409 and machine.proof.heartbeat_version.incarnation != incarnation:
            self.probe(machine.id)
