"""Drives tickets: submits their steps as native jobs and stores the jobs' outcomes, with one writer for each ticket.

`apply_consequences` and `find_ready_steps` are pure functions of a record. The next owner of a partition can repeat
every action of the driver: a job's id is stored before the job is submitted, and the outcome of a step is read from the
controllers.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
from msgspec.structs import replace
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Revision, Seconds
from meadowcross.jobs import messages as job_messages
from meadowcross.openjd import records
from meadowcross.openjd.controller_client import ControllerClient, ControllersUnavailableError
from meadowcross.openjd.membership import Membership
from meadowcross.store import messages as store_messages
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
    WatchCompactedError,
)
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("tickets")

TICK_INTERVAL_S: Seconds = 0.1
MIN_POLL_INTERVAL_S: Seconds = 3.0
MAX_POLL_INTERVAL_S: Seconds = 15.0
MAX_CONCURRENT_TICKETS = 32
REQUEST_TIMEOUT_S: Seconds = 6.0
WATCH_TIMEOUT_S: Seconds = 20.0
MIN_RETRY_DELAY_S: Seconds = 0.5
MAX_RETRY_DELAY_S: Seconds = 10.0
LIST_PAGE_SIZE = 200


def apply_consequences(record: records.TicketRecord) -> records.TicketRecord:
    """The record after all changes of state that follow from it without a request.

    A step is skipped if a step that it depends on has ended without being done; in a cancelled ticket, waiting steps
    are cancelled. Ready steps stay waiting, because they need a job id.
    """
    steps = [replace(step) for step in record.steps]
    changed = True
    while changed:
        changed = False
        for step in steps:
            if step.state is not records.StepState.WAITING:
                continue
            if record.cancelled_at is not None:
                step.state, changed = records.StepState.CANCELLED, True
            elif any(
                steps[i].state in records.FINAL_STATES and steps[i].state is not records.StepState.DONE
                for i in step.dependencies
            ):
                step.state, changed = records.StepState.SKIPPED, True
    return replace(record, steps=steps)


def find_ready_steps(record: records.TicketRecord) -> list[int]:
    """Indexes of the steps that may be submitted now and have no job id yet."""
    return [
        number
        for number, step in enumerate(record.steps)
        if step.state is records.StepState.WAITING
        and record.cancelled_at is None
        and all(record.steps[i].state is records.StepState.DONE for i in step.dependencies)
    ]


class OpenTicket:
    """An open ticket of a partition that this gateway owns."""

    def __init__(
        self, ticket_id: records.TicketId, record: records.TicketRecord, revision: Revision, next_turn_at: float
    ) -> None:
        self.id = ticket_id
        self.record = record
        self.revision = revision
        """Of the stored record."""
        self.content: records.Content | None = None
        """None until it is read from the store."""
        self.is_busy = False
        """Whether a turn is in progress."""
        self.next_turn_at = next_turn_at
        """When the ticket's next turn is due."""
        self.poll_interval_s = MIN_POLL_INTERVAL_S
        self.unsent_job_ids: set[str] = set()
        """Job ids that this process allocated and for which no submission was ever sent."""


class Driver:
    """Drives the open tickets of the partitions that this gateway owns."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        controllers: ControllerClient,
        random_source: Random,
        get_membership: Callable[[], Membership],
    ) -> None:
        self._clock = clock
        self._store = store
        self._controllers = controllers
        self._random_source = random_source
        self._get_membership = get_membership
        self.open_tickets: dict[records.TicketId, OpenTicket] = {}
        self._running = 0
        self._stopped = False
        self._unread_partitions: set[records.Partition] = set()
        self._is_loading = False
        self._tick = LoopingCall(self._start_due_turns)
        self._tick.clock = clock  # type: ignore[assignment]

    def start(self) -> None:
        """Start the watch of tickets and their turns."""
        self._tick.start(TICK_INTERVAL_S)
        Deferred.fromCoroutine(self._watch())

    def stop(self) -> None:
        """Start no more turns; turns in progress are completed."""
        self._stopped = True
        if self._tick.running:
            self._tick.stop()

    # Which tickets to drive

    def on_partition_claimed(self, partition: records.Partition) -> None:
        """Read the tickets of a claimed partition.

        Partitions are claimed in batches; one list request serves all that were claimed since the last one began.
        """
        self._unread_partitions.add(partition)
        if not self._is_loading:
            self._is_loading = True
            Deferred.fromCoroutine(self._load_partitions())

    def on_partition_lost(self, partition: records.Partition) -> None:
        """Drop the tickets of a partition that this gateway no longer owns."""
        for ticket_id in [ticket_id for ticket_id in self.open_tickets if records.partition_of(ticket_id) == partition]:
            del self.open_tickets[ticket_id]

    async def _load_partitions(self) -> None:
        retry_delay_s = MIN_RETRY_DELAY_S
        while self._unread_partitions and not self._stopped:
            await pause(self._clock, 0.0)
            wanted, self._unread_partitions = self._unread_partitions, set()
            try:
                items, _ = await self._store.list_items(records.OPEN_PREFIX, RequestPriority.PLACEMENT, LIST_PAGE_SIZE)
            except (
                StoreUnavailableError,
                IndeterminateResultError,
                RequestRejectedError,
                msgspec.DecodeError,
            ) as error:
                log.debug("claimed partitions not read yet count=%d error=%s", len(wanted), error)
                self._unread_partitions |= wanted
                await pause(self._clock, retry_delay_s)
                retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * retry_delay_s)
                continue
            for item in items:
                self.observe_record(item.key, item.value, item.mod_revision)
        self._is_loading = False

    async def _watch(self) -> None:
        """Watch for new tickets and cancellations, which any gateway may have stored."""
        revision: Revision | None = None
        while not self._stopped:
            try:
                if revision is None:
                    # At the start, and after a gap in the watch: the list contains the changes that the watch missed.
                    items, revision = await self._store.list_items(
                        records.OPEN_PREFIX, RequestPriority.PLACEMENT, LIST_PAGE_SIZE
                    )
                    for item in items:
                        self.observe_record(item.key, item.value, item.mod_revision)
                watched = await self._store.watch(records.OPEN_PREFIX, revision, WATCH_TIMEOUT_S)
            except WatchCompactedError:
                revision = None
                continue
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("watch of tickets failed error=%s", error)
                await pause(self._clock, MIN_RETRY_DELAY_S)
                continue
            revision = watched.revision
            for event in watched.events:
                if event.written_key is not None:
                    self.observe_record(event.written_key, event.value, event.mod_revision)

    def observe_record(self, key: str, value: msgspec.Raw, revision: Revision) -> None:
        """Process a ticket's record that was listed or watched; ignored if another gateway owns the partition."""
        ticket_id = records.ticket_id_of_key(key)
        if records.partition_of(ticket_id) not in self._get_membership().claims:
            return
        known_ticket = self.open_tickets.get(ticket_id)
        if known_ticket is not None and revision <= known_ticket.revision:
            return
        try:
            record = records.decode_ticket(value)
        except msgspec.DecodeError as error:
            log.error("unreadable ticket set aside ticket=%s error=%s", ticket_id, error)
            return
        if record.format_version > records.FORMAT_VERSION:
            log.error(
                "ticket of a newer format set aside ticket=%s format=%d supported=%d",
                ticket_id,
                record.format_version,
                records.FORMAT_VERSION,
            )
            return
        now = self._clock.seconds()
        if known_ticket is None:
            self.open_tickets[ticket_id] = OpenTicket(ticket_id, record, revision, now)
        else:
            known_ticket.record, known_ticket.revision, known_ticket.next_turn_at = record, revision, now

    def _start_due_turns(self) -> None:
        now = self._clock.seconds()
        for ticket in sorted(
            (
                open_ticket
                for open_ticket in self.open_tickets.values()
                if not open_ticket.is_busy and open_ticket.next_turn_at <= now
            ),
            key=lambda open_ticket: open_ticket.next_turn_at,
        ):
            if self._running >= MAX_CONCURRENT_TICKETS:
                return
            ticket.is_busy = True
            self._running += 1
            Deferred.fromCoroutine(self._run_turn(ticket))

    async def _run_turn(self, ticket: OpenTicket) -> None:
        """Drive the ticket once, and schedule its next turn after a failure."""
        try:
            await self._drive(ticket)
        except ControllersUnavailableError as unavailable:
            ticket.next_turn_at = self._clock.seconds() + unavailable.retry_after_s
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.debug("ticket delayed ticket=%s error=%s", ticket.id, error)
            ticket.next_turn_at = self._clock.seconds() + MIN_RETRY_DELAY_S * (1 + self._random_source.random())
        except Exception:
            log.exception("ticket failed ticket=%s", ticket.id)
            ticket.next_turn_at = self._clock.seconds() + MAX_RETRY_DELAY_S
        finally:
            ticket.is_busy = False
            self._running -= 1

    async def _drive(self, ticket: OpenTicket) -> None:
        """Store job ids for ready steps, submit allocated jobs, and poll the jobs that were accepted."""
        before = ticket.record
        record = apply_consequences(before)
        allocated = find_ready_steps(record)
        for number in allocated:
            step = record.steps[number]
            step.job, step.state = self._new_job_id(), records.StepState.ALLOCATED
        if record != before:
            if not await self._write(ticket, record):
                return
            ticket.unsent_job_ids.update(record.steps[i].job or "" for i in allocated)
        if ticket.record.state is not records.TicketState.OPEN:
            await self._end(ticket)
            return
        progressed = False
        for number, step in enumerate(ticket.record.steps):
            if step.state is records.StepState.ALLOCATED:
                progressed = await self._submit(ticket, number) or progressed
            elif step.state is records.StepState.ACCEPTED:
                progressed = await self._follow(ticket, number) or progressed
            if self.open_tickets.get(ticket.id) is not ticket:
                return
        ticket.poll_interval_s = (
            MIN_POLL_INTERVAL_S if progressed else min(MAX_POLL_INTERVAL_S, 1.3 * ticket.poll_interval_s)
        )
        ticket.next_turn_at = self._clock.seconds() + (
            0.0 if progressed else ticket.poll_interval_s * (0.9 + 0.2 * self._random_source.random())
        )

    def _new_job_id(self) -> str:
        return f"wk-{self._random_source.randrange(10**17, 10**18)}"

    async def _submit(self, ticket: OpenTicket, number: int) -> bool:
        """Submit the step's job, and return whether its new state is stored.

        The job of a cancelled ticket is submitted too: an earlier submission may still arrive, and only an accepted job
        can be withdrawn for good.
        """
        step = ticket.record.steps[number]
        assert step.job is not None
        content = await self._load_content(ticket)
        spec = msgspec.structs.replace(content.specs[number], id=step.job)
        is_first_submission = step.job in ticket.unsent_job_ids
        ticket.unsent_job_ids.discard(step.job)
        response = await self._controllers.call("POST", "/v1/jobs", job_messages.encode(spec), REQUEST_TIMEOUT_S)
        if response.status == 200 and is_first_submission and not response.may_be_repeated:
            # This gateway never sent the id before, so the existing job with this id belongs to someone else.
            log.info("job id taken by another job ticket=%s job=%s", ticket.id, step.job)
            return await self._store_step(ticket, number, records.StepState.WAITING, "", None)
        if response.status in (200, 201):
            return await self._store_step(ticket, number, records.StepState.ACCEPTED, "", step.job)
        reason = response.body[:200].decode(errors="replace").strip()
        return await self._store_step(
            ticket, number, records.StepState.REFUSED, f"{response.status}: {reason}", step.job
        )

    async def _follow(self, ticket: OpenTicket, number: int) -> bool:
        """Poll the step's job, or withdraw it if the ticket is cancelled; return whether a new state is stored."""
        step = ticket.record.steps[number]
        if ticket.record.cancelled_at is not None:
            response = await self._controllers.call("POST", f"/v1/jobs/{step.job}/withdraw", b"{}", REQUEST_TIMEOUT_S)
        else:
            response = await self._controllers.call("GET", f"/v1/jobs/{step.job}", None, REQUEST_TIMEOUT_S)
        if response.status != 200:
            return False
        job_state = msgspec.json.decode(response.body, type=job_messages.JobResponse).state
        if job_state is job_messages.JobState.DONE:
            return await self._store_step(ticket, number, records.StepState.DONE, "", step.job)
        if job_state is job_messages.JobState.CANCELLED:
            reason = "" if ticket.record.cancelled_at is not None else "its job was withdrawn"
            return await self._store_step(ticket, number, records.StepState.CANCELLED, reason, step.job)
        return False

    async def _store_step(
        self, ticket: OpenTicket, number: int, state: records.StepState, reason: str, job: str | None
    ) -> bool:
        """Store a step's new state and its consequences; returns the result of `_write`."""
        steps = list(ticket.record.steps)
        steps[number] = replace(steps[number], state=state, reason=reason, job=job)
        return await self._write(ticket, apply_consequences(replace(ticket.record, steps=steps)))

    # The store

    def _write_conditions(self, ticket: OpenTicket) -> list[store_messages.Condition] | None:
        """The conditions of a write to the ticket; None if this gateway no longer owns its partition."""
        claim = self._get_membership().claims.get(records.partition_of(ticket.id))
        if claim is None:
            self.open_tickets.pop(ticket.id, None)
            return None
        return [claim, store_messages.Condition(records.open_key(ticket.id), ticket.revision)]

    async def _write(self, ticket: OpenTicket, record: records.TicketRecord) -> bool:
        """Store the record.

        False if the stored record has changed meanwhile or the partition is lost: the caller must start again from the
        ticket's present record.
        """
        conditions = self._write_conditions(ticket)
        if conditions is None:
            return False
        try:
            revision = await self._store.transact(
                conditions,
                [store_messages.Put(records.open_key(ticket.id), store_messages.encode_raw(record))],
                RequestPriority.PLACEMENT,
            )
        except ConflictError as conflict:
            await self._handle_conflict(ticket, conflict.failed_keys)
            return False
        except IndeterminateResultError:
            await self._reload(ticket)
            raise
        if revision > ticket.revision:
            ticket.record, ticket.revision = record, revision
        return True

    async def _handle_conflict(self, ticket: OpenTicket, failed_keys: list[str]) -> None:
        partition = records.partition_of(ticket.id)
        if records.claim_key(partition) in failed_keys:
            self._get_membership().lose(partition)
            self.open_tickets.pop(ticket.id, None)
            return
        await self._reload(ticket)

    async def _reload(self, ticket: OpenTicket) -> None:
        """Read the ticket's record again after a write that failed or whose result is unknown."""
        item = await self._store.get(records.open_key(ticket.id), RequestPriority.PLACEMENT)
        if item is None:
            # Only the owner ends a ticket, so a transaction of this gateway with an unknown result has succeeded.
            self.open_tickets.pop(ticket.id, None)
        elif item.mod_revision != ticket.revision:
            ticket.record, ticket.revision = records.decode_ticket(item.value), item.mod_revision
            ticket.next_turn_at = self._clock.seconds()

    async def _load_content(self, ticket: OpenTicket) -> records.Content:
        if ticket.content is None:
            pieces = []
            for number in range(ticket.record.piece_count):
                item = await self._store.get(
                    records.piece_key(ticket.id, ticket.record.digest, number), RequestPriority.PLACEMENT
                )
                if item is None:
                    raise RequestRejectedError(f"piece {number} of ticket {ticket.id} is missing")
                pieces.append(records.decode_piece(item.value))
            ticket.content = records.join_pieces(pieces)
        return ticket.content

    async def _end(self, ticket: OpenTicket) -> None:
        """Move the record of a ticket whose steps are all final to its ended key, and delete its pieces."""
        conditions = self._write_conditions(ticket)
        if conditions is None:
            return
        changes: list[Any] = [
            store_messages.Put(records.ended_key(ticket.id), store_messages.encode_raw(ticket.record)),
            store_messages.Delete(records.open_key(ticket.id)),
        ]
        piece_keys = [
            records.piece_key(ticket.id, ticket.record.digest, number) for number in range(ticket.record.piece_count)
        ]
        changes += [store_messages.Delete(key) for key in piece_keys[: self._store.max_changes - len(changes)]]
        try:
            await self._store.transact(conditions, changes, RequestPriority.PLACEMENT)
        except ConflictError as conflict:
            await self._handle_conflict(ticket, conflict.failed_keys)
            return
        except IndeterminateResultError:
            await self._reload(ticket)
            raise
        log.info("ticket ended ticket=%s state=%s", ticket.id, ticket.record.state.value)
        self.open_tickets.pop(ticket.id, None)
