"""Driving tickets: from the record to native jobs and back, one writer at a time.

`due` and `settled` are pure functions over a record. Everything that a driver does can be repeated by
the next one: a job's id is stored before it is submitted, and a step's end is read from the controllers.
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
from meadowcross.jobs import messages as jm
from meadowcross.openjd import records as r
from meadowcross.openjd.controllers import Busy, Controllers
from meadowcross.openjd.members import Members
from meadowcross.store import messages as sm
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

TICK_S: Seconds = 0.1
POLL_S: Seconds = 3.0
POLL_MOST_S: Seconds = 15.0
AT_ONCE = 32
WITHIN_S: Seconds = 6.0
WATCH_S: Seconds = 20.0
RETRY_S: Seconds = 0.5
RETRY_MOST_S: Seconds = 10.0
PAGE = 200


def settled(record: r.TicketRecord) -> r.TicketRecord:
    """The record with all that follows from it: after a step that will not be done nothing runs, and of a
    cancelled ticket nothing new begins. Ready steps stay waiting: they need an id."""
    steps = [replace(step) for step in record.steps]
    changed = True
    while changed:
        changed = False
        for step in steps:
            if step.state is not r.StepState.WAITING:
                continue
            if record.cancelled is not None:
                step.state, changed = r.StepState.CANCELLED, True
            elif any(steps[i].state in r.FINAL and steps[i].state is not r.StepState.DONE for i in step.after):
                step.state, changed = r.StepState.SKIPPED, True
    return replace(record, steps=steps)


def ready(record: r.TicketRecord) -> list[int]:
    """The steps that may be submitted now and have no id yet."""
    return [
        number
        for number, step in enumerate(record.steps)
        if step.state is r.StepState.WAITING
        and record.cancelled is None
        and all(record.steps[i].state is r.StepState.DONE for i in step.after)
    ]


class Open:
    """An open ticket that we drive."""

    def __init__(self, ticket: r.TicketId, record: r.TicketRecord, mark: Revision, at: float) -> None:
        self.id = ticket
        self.record = record
        self.mark = mark
        self.content: r.Content | None = None
        self.busy = False
        self.at = at
        """When to look at it next."""
        self.wait = POLL_S
        self.fresh: set[str] = set()
        """Ids that this process allocated and of which no submission was ever sent."""


class Driver:
    def __init__(
        self, clock: Clock, store: StoreClient, controllers: Controllers, chance: Random, claims: Callable[[], Members]
    ) -> None:
        self._clock = clock
        self._store = store
        self._controllers = controllers
        self._chance = chance
        self._members = claims
        self.open: dict[r.TicketId, Open] = {}
        self._running = 0
        self._stopped = False
        self._unread: set[r.Partition] = set()
        self._loading = False
        self._tick = LoopingCall(self._look)
        self._tick.clock = clock  # type: ignore[assignment]

    def start(self) -> None:
        self._tick.start(TICK_S)
        Deferred.fromCoroutine(self._watch())

    def stop(self) -> None:
        self._stopped = True
        if self._tick.running:
            self._tick.stop()

    # What we drive

    def claimed(self, partition: r.Partition) -> None:
        """Claims come by the dozen; one list serves all that came since the last began."""
        self._unread.add(partition)
        if not self._loading:
            self._loading = True
            Deferred.fromCoroutine(self._load())

    def lost(self, partition: r.Partition) -> None:
        for ticket in [ticket for ticket in self.open if r.partition_of(ticket) == partition]:
            del self.open[ticket]

    async def _load(self) -> None:
        wait = RETRY_S
        while self._unread and not self._stopped:
            await pause(self._clock, 0.0)
            wanted, self._unread = self._unread, set()
            try:
                items, _ = await self._store.list_items(r.OPEN, RequestPriority.PLACEMENT, PAGE)
            except (
                StoreUnavailableError,
                IndeterminateResultError,
                RequestRejectedError,
                msgspec.DecodeError,
            ) as error:
                log.debug("%d partitions are not read yet: %s", len(wanted), error)
                self._unread |= wanted
                await pause(self._clock, wait)
                wait = min(RETRY_MOST_S, 2 * wait)
                continue
            for item in items:
                self.seen(item.key, item.value, item.mod_revision)
        self._loading = False

    async def _watch(self) -> None:
        """New tickets and cancels, whichever gateway took them."""
        revision: Revision | None = None
        while not self._stopped:
            try:
                if revision is None:
                    # Also after a gap in the watch: what came meanwhile is read with all the rest.
                    items, revision = await self._store.list_items(r.OPEN, RequestPriority.PLACEMENT, PAGE)
                    for item in items:
                        self.seen(item.key, item.value, item.mod_revision)
                seen = await self._store.watch(r.OPEN, revision, WATCH_S)
            except WatchCompactedError:
                revision = None
                continue
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("watch of tickets: %s", error)
                await pause(self._clock, RETRY_S)
                continue
            revision = seen.revision
            for event in seen.events:
                if event.written_key is not None:
                    self.seen(event.written_key, event.value, event.mod_revision)

    def seen(self, key: str, value: msgspec.Raw, mark: Revision) -> None:
        """A ticket's record as read or watched; taken up if it is ours to drive."""
        ticket = r.ticket_of(key)
        if r.partition_of(ticket) not in self._members().claims:
            return
        known = self.open.get(ticket)
        if known is not None and mark <= known.mark:
            return
        try:
            record = r.decode_ticket(value)
        except msgspec.DecodeError as error:
            log.error("ticket %s can't be read and is set aside: %s", ticket, error)
            return
        if record.v > r.FORMAT:
            log.error("ticket %s is of format %d, newer than %d: set aside", ticket, record.v, r.FORMAT)
            return
        now = self._clock.seconds()
        if known is None:
            self.open[ticket] = Open(ticket, record, mark, now)
        else:
            known.record, known.mark, known.at = record, mark, now

    def _look(self) -> None:
        now = self._clock.seconds()
        for one in sorted((x for x in self.open.values() if not x.busy and x.at <= now), key=lambda x: x.at):
            if self._running >= AT_ONCE:
                return
            one.busy = True
            self._running += 1
            Deferred.fromCoroutine(self._turn(one))

    async def _turn(self, one: Open) -> None:
        try:
            await self._drive(one)
        except Busy as busy:
            one.at = self._clock.seconds() + busy.after
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.debug("ticket %s waits: %s", one.id, error)
            one.at = self._clock.seconds() + RETRY_S * (1 + self._chance.random())
        except Exception:
            log.exception("ticket %s failed", one.id)
            one.at = self._clock.seconds() + RETRY_MOST_S
        finally:
            one.busy = False
            self._running -= 1

    async def _drive(self, one: Open) -> None:
        """One turn: ids first, then what they are for, then what became of it."""
        before = one.record
        record = settled(before)
        allocated = ready(record)
        for number in allocated:
            step = record.steps[number]
            step.job, step.state = self._new_id(), r.StepState.ALLOCATED
        if record != before:
            if not await self._write(one, record):
                return
            one.fresh.update(record.steps[i].job or "" for i in allocated)
        if one.record.state is not r.TicketState.OPEN:
            await self._end(one)
            return
        progressed = False
        for number, step in enumerate(one.record.steps):
            if step.state is r.StepState.ALLOCATED:
                progressed = await self._submit(one, number) or progressed
            elif step.state is r.StepState.ACCEPTED:
                progressed = await self._follow(one, number) or progressed
            if self.open.get(one.id) is not one:
                return
        one.wait = POLL_S if progressed else min(POLL_MOST_S, 1.3 * one.wait)
        one.at = self._clock.seconds() + (0.0 if progressed else one.wait * (0.9 + 0.2 * self._chance.random()))

    def _new_id(self) -> str:
        return f"wk-{self._chance.randrange(10**17, 10**18)}"

    async def _submit(self, one: Open, number: int) -> bool:
        """Submit the step's job. Of a cancelled ticket too: an earlier try may still arrive, and only what
        is accepted can be withdrawn for good."""
        step = one.record.steps[number]
        assert step.job is not None
        content = await self._content(one)
        spec = msgspec.structs.replace(content.specs[number], id=step.job)
        first = step.job in one.fresh
        one.fresh.discard(step.job)
        said = await self._controllers.call("POST", "/v1/jobs", jm.encode(spec), WITHIN_S)
        if said.status == 200 and first and not said.repeated:
            # We never sent this id before, and it is known: somebody else's.
            log.info("ticket %s: id %s is taken by another job", one.id, step.job)
            return await self._note(one, number, r.StepState.WAITING, "", None)
        if said.status in (200, 201):
            return await self._note(one, number, r.StepState.ACCEPTED, "", step.job)
        why = said.body[:200].decode(errors="replace").strip()
        return await self._note(one, number, r.StepState.REFUSED, f"{said.status}: {why}", step.job)

    async def _follow(self, one: Open, number: int) -> bool:
        """Read what became of the step's job, or withdraw it."""
        step = one.record.steps[number]
        if one.record.cancelled is not None:
            said = await self._controllers.call("POST", f"/v1/jobs/{step.job}/withdraw", b"{}", WITHIN_S)
        else:
            said = await self._controllers.call("GET", f"/v1/jobs/{step.job}", None, WITHIN_S)
        if said.status != 200:
            return False
        standing = msgspec.json.decode(said.body, type=jm.JobResponse).state
        if standing is jm.JobState.DONE:
            return await self._note(one, number, r.StepState.DONE, "", step.job)
        if standing is jm.JobState.CANCELLED:
            why = "" if one.record.cancelled is not None else "its job was withdrawn"
            return await self._note(one, number, r.StepState.CANCELLED, why, step.job)
        return False

    async def _note(self, one: Open, number: int, state: r.StepState, why: str, job: str | None) -> bool:
        steps = list(one.record.steps)
        steps[number] = replace(steps[number], state=state, why=why, job=job)
        return await self._write(one, settled(replace(one.record, steps=steps)))

    # The store

    def _conditions(self, one: Open) -> list[sm.Condition] | None:
        claim = self._members().claims.get(r.partition_of(one.id))
        if claim is None:
            self.open.pop(one.id, None)
            return None
        return [claim, sm.Condition(r.open_key(one.id), one.mark)]

    async def _write(self, one: Open, record: r.TicketRecord) -> bool:
        """Store the record; False: it changed meanwhile, or is no longer ours, and must be looked at anew."""
        conditions = self._conditions(one)
        if conditions is None:
            return False
        try:
            mark = await self._store.transact(
                conditions, [sm.Put(r.open_key(one.id), sm.encode_raw(record))], RequestPriority.PLACEMENT
            )
        except ConflictError as conflict:
            await self._conflict(one, conflict.failed_keys)
            return False
        except IndeterminateResultError:
            await self._reread(one)
            raise
        if mark > one.mark:
            one.record, one.mark = record, mark
        return True

    async def _conflict(self, one: Open, failed: list[str]) -> None:
        partition = r.partition_of(one.id)
        if r.claim_key(partition) in failed:
            self._members().lose(partition)
            self.open.pop(one.id, None)
            return
        await self._reread(one)

    async def _reread(self, one: Open) -> None:
        item = await self._store.get(r.open_key(one.id), RequestPriority.PLACEMENT)
        if item is None:
            # Only an owner moves a ticket away: a transaction of ours that was thought lost.
            self.open.pop(one.id, None)
        elif item.mod_revision != one.mark:
            one.record, one.mark = r.decode_ticket(item.value), item.mod_revision
            one.at = self._clock.seconds()

    async def _content(self, one: Open) -> r.Content:
        if one.content is None:
            pieces = []
            for number in range(one.record.pieces):
                item = await self._store.get(r.piece_key(one.id, one.record.digest, number), RequestPriority.PLACEMENT)
                if item is None:
                    raise RequestRejectedError(f"piece {number} of ticket {one.id} is missing")
                pieces.append(r.decode_piece(item.value))
            one.content = r.joined(pieces)
        return one.content

    async def _end(self, one: Open) -> None:
        """All steps are final: the record moves, its pieces go."""
        conditions = self._conditions(one)
        if conditions is None:
            return
        changes: list[Any] = [
            sm.Put(r.ended_key(one.id), sm.encode_raw(one.record)),
            sm.Delete(r.open_key(one.id)),
        ]
        pieces = [r.piece_key(one.id, one.record.digest, number) for number in range(one.record.pieces)]
        changes += [sm.Delete(key) for key in pieces[: self._store.max_changes - len(changes)]]
        try:
            await self._store.transact(conditions, changes, RequestPriority.PLACEMENT)
        except ConflictError as conflict:
            await self._conflict(one, conflict.failed_keys)
            return
        except IndeterminateResultError:
            await self._reread(one)
            raise
        log.info("ticket %s ended: %s", one.id, one.record.state.value)
        self.open.pop(one.id, None)
