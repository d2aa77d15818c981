"""What submitters ask of a gateway: submit, check, list, state, cancel; each within limits.

A ticket is stored before it is accepted, under an id that follows from the submitter and a key of his own, so
that a repeated submission finds the first one. What is over a limit is refused at once with
`Retry-After`; nothing waits in a queue here.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct
from msgspec.structs import replace
from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.http import Router, ServerResponse, error_response
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Revision, Seconds, WallTime
from meadowcross.openjd import records as r
from meadowcross.openjd.plan import native, plan_of
from meadowcross.openjd.reading import TicketError
from meadowcross.openjd.site import Site, Submitter
from meadowcross.store import messages as sm
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.token_bucket import RequestPriority, TokenBucket

log = get_logger("tickets")

RETRY_AFTER_S = 1
MAX_OPEN = 32
"""Submissions at once; more are told to come back."""
BURST_S: Seconds = 10.0
"""A submitter may bring at once what its rate allows in so long."""
QUESTIONS_PER_S = 20.0
"""Reads for questions, however many ask."""
LISTED_S: Seconds = 2.0
MAX_LISTED = 1_000
MAX_REMEMBERED = 5_000
TRIES = 3
SENT_AT_ONCE = 48 * 1024
STAND_IN = "wk-000000"

_Key = Annotated[str, Meta(min_length=1, max_length=200)]


class Submission(Struct):
    """A request to take a ticket. `key` is the submitter's own; repeated, it is the same ticket."""

    key: _Key
    document: str
    parameters: dict[str, str] = {}


_decode = msgspec.json.Decoder(Submission).decode


def _json(status: int, value: Any) -> ServerResponse:
    return ServerResponse(status, msgspec.json.encode(value) + b"\n")


def _told(record: r.TicketRecord | None, ticket: r.TicketId, name: str) -> ServerResponse:
    """A ticket's state, for its own submitter only."""
    if record is None or record.submitter != name:
        return error_response(404, "no such ticket")
    return _json(200, r.plain(record, ticket))


class Intake:
    def __init__(self, clock: Clock, store: StoreClient, site: Site, tickets_per_s: float) -> None:
        self._clock = clock
        self._store = store
        self._site = site
        self._rate = tickets_per_s
        self._rates: dict[str, TokenBucket] = {}
        self._all = TokenBucket(clock, 4 * tickets_per_s, 4 * tickets_per_s * BURST_S)
        self._questions = TokenBucket(clock, QUESTIONS_PER_S, QUESTIONS_PER_S)
        self._open = 0
        self._reading: dict[r.TicketId, list[Deferred[r.TicketRecord | None]]] = {}
        self._ended: OrderedDict[r.TicketId, r.TicketRecord] = OrderedDict()
        self._listed: tuple[float, list[tuple[r.TicketId, r.TicketRecord]]] | None = None

    def routes(self, router: Router) -> None:
        router.add("POST", r"/v1/submitters/([^/]+)/tickets", self._guarded(self.submit))
        router.add("POST", r"/v1/submitters/([^/]+)/check", self._guarded(self.check))
        router.add("GET", r"/v1/submitters/([^/]+)/tickets", self._guarded(self.list))
        router.add("GET", r"/v1/submitters/([^/]+)/tickets/([^/]+)", self._guarded(self.state))
        router.add("POST", r"/v1/submitters/([^/]+)/tickets/([^/]+)/cancel", self._guarded(self.cancel))
        router.add("GET", r"/ready", lambda body: ServerResponse(200, b'{"ready":true}\n'))

    def _guarded(self, operation: Callable[..., Awaitable[ServerResponse]]) -> Callable[..., Awaitable[ServerResponse]]:
        async def run(body: bytes, *what: str) -> ServerResponse:
            try:
                return await operation(body, *what)
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("request refused: %s", error)
                return error_response(503, "the state service gives no answer", RETRY_AFTER_S)

        return run

    # Submitting

    def _read(self, body: bytes, name: str) -> tuple[Submitter, Submission] | ServerResponse:
        submitter = self._site.named(name)
        if submitter is None:
            return error_response(403, "unknown submitter")
        try:
            return submitter, _decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return error_response(400, str(error))

    async def check(self, body: bytes, name: str) -> ServerResponse:
        """Validate only."""
        given = self._read(body, name)
        if isinstance(given, ServerResponse):
            return given
        if not self._may(name):
            return error_response(429, "too many tickets a second", RETRY_AFTER_S)
        submitter, submission = given
        try:
            return _json(200, plan_of(submission.document.encode(), submission.parameters, submitter))
        except TicketError as error:
            return _json(422, {"error": error.what, "field": error.field})

    def _may(self, name: str) -> bool:
        """Within the submitter's own rate, and then within that of all."""
        rate = self._rates.get(name)
        if rate is None:
            rate = self._rates[name] = TokenBucket(self._clock, self._rate, self._rate * BURST_S)
        return rate.try_acquire() and self._all.try_acquire()

    async def submit(self, body: bytes, name: str) -> ServerResponse:
        given = self._read(body, name)
        if isinstance(given, ServerResponse):
            return given
        if not self._may(name):
            return error_response(429, "too many tickets a second", RETRY_AFTER_S)
        if self._open >= MAX_OPEN:
            return error_response(503, "too many submissions are open", RETRY_AFTER_S)
        self._open += 1
        try:
            return await self._submit(*given)
        finally:
            self._open -= 1

    async def _submit(self, submitter: Submitter, submission: Submission) -> ServerResponse:
        ticket = r.ticket_id(submitter.name, submission.key)
        digest = r.digest_of(submission.document, submission.parameters)
        try:
            plan = plan_of(submission.document.encode(), submission.parameters, submitter)
        except TicketError as error:
            # A repeated submission of an accepted ticket is never refused, whatever the site says by now.
            known = await self._find(ticket)
            if known is not None and known.digest == digest:
                return _json(200, r.plain(known, ticket))
            return _json(422, {"error": error.what, "field": error.field})
        specs = [native(plan, number, STAND_IN, submitter) for number in range(len(plan.steps))]
        content = r.Content(submission.document, submission.parameters, specs)
        pieces = r.split(content, self._store.max_value_bytes - 64)
        record = r.TicketRecord(
            r.FORMAT,
            plan.name,
            submitter.name,
            digest,
            len(pieces),
            WallTime(self._clock.seconds()),
            [r.StepRecord(step.name, step.tasks, step.after) for step in plan.steps],
        )
        value = sm.encode_raw(record)
        if len(bytes(value)) > self._store.max_value_bytes:
            return _json(422, {"error": "too many steps with long names to keep", "field": "steps"})
        known = await self._find(ticket)
        if known is None:
            await self._store_pieces(ticket, digest, pieces)
            known = await self._accept(ticket, record, value)
            if known is None:
                log.info("ticket %s accepted: %.60r of %s, %d steps", ticket, plan.name, submitter.name, len(specs))
                return _json(201, r.plain(record, ticket))
        if known.digest != digest:
            return _json(422, {"error": "the key belongs to another ticket", "field": "key"})
        return _json(200, r.plain(known, ticket))

    async def _store_pieces(self, ticket: r.TicketId, digest: str, pieces: list[str]) -> None:
        group: list[sm.Put | sm.Delete] = []
        size = 0
        for number, piece in enumerate(pieces):
            put = sm.Put(r.piece_key(ticket, digest, number), sm.encode_raw(piece))
            if group and (size + len(bytes(put.value)) > SENT_AT_ONCE or len(group) >= self._store.max_changes):
                await self._store.transact([], group, RequestPriority.USER)
                group, size = [], 0
            group.append(put)
            size += len(bytes(put.value))
        await self._store.transact([], group, RequestPriority.USER)

    async def _accept(self, ticket: r.TicketId, record: r.TicketRecord, value: msgspec.Raw) -> r.TicketRecord | None:
        """Store the record, which makes the ticket accepted; the one that is there already, if any."""
        try:
            await self._store.transact(
                [sm.Condition(r.open_key(ticket), Revision(0)), sm.Condition(r.ended_key(ticket), Revision(0))],
                [sm.Put(r.open_key(ticket), value)],
                RequestPriority.USER,
            )
            return None
        except ConflictError:
            known = await self._find(ticket)
            if known is None:
                raise StoreUnavailableError("the ticket just changed") from None
            return known
        except IndeterminateResultError:
            known = await self._find(ticket)
            if known is None:
                raise
            return known

    # Questions

    async def _find(self, ticket: r.TicketId) -> r.TicketRecord | None:
        """By a read that begins after the question. Records move from the open to the ended key in one
        transaction, so one found under neither, in this order, was never accepted."""
        for key in (r.open_key(ticket), r.ended_key(ticket)):
            item = await self._store.get(key)
            if item is not None:
                record = r.decode_ticket(item.value)
                if record.state is not r.TicketState.OPEN:
                    self._ended[ticket] = record
                    if len(self._ended) > MAX_REMEMBERED:
                        self._ended.popitem(last=False)
                return record
        return None

    async def state(self, body: bytes, name: str, text: str) -> ServerResponse:
        if not r.is_ticket_id(text):
            return error_response(404, "no such ticket")
        ticket = r.TicketId(text)
        record = self._ended.get(ticket)
        if record is None:
            waiting = self._reading.get(ticket)
            if waiting is not None:
                # A read of it is about to begin: it answers all who asked before.
                answer: Deferred[r.TicketRecord | None] = Deferred()
                waiting.append(answer)
                record = await answer
            else:
                if not self._questions.try_acquire():
                    return error_response(503, "too many questions", RETRY_AFTER_S)
                record = await self._shared(ticket)
        return _told(record, ticket, name)

    async def _shared(self, ticket: r.TicketId) -> r.TicketRecord | None:
        waiting = self._reading[ticket] = []
        gathered: Deferred[None] = Deferred()
        self._clock.callLater(0.02, gathered.callback, None)
        await gathered
        del self._reading[ticket]
        try:
            record = await self._find(ticket)
        except Exception as error:
            for one in waiting:
                one.errback(error)
            raise
        for one in waiting:
            one.callback(record)
        return record

    async def list(self, body: bytes, name: str) -> ServerResponse:
        """A submitter's open tickets; one read in two seconds serves all submitters."""
        if self._site.named(name) is None:
            return error_response(403, "unknown submitter")
        now = self._clock.seconds()
        if self._listed is None or now - self._listed[0] >= LISTED_S:
            if not self._questions.try_acquire():
                return error_response(503, "too many questions", RETRY_AFTER_S)
            items, _ = await self._store.list_items(r.OPEN, RequestPriority.USER, 200)
            self._listed = (now, [(r.ticket_of(item.key), r.decode_ticket(item.value)) for item in items])
        own = [r.plain(record, ticket) for ticket, record in self._listed[1] if record.submitter == name]
        return _json(200, {"tickets": own[:MAX_LISTED], "more": len(own) > MAX_LISTED})

    async def cancel(self, body: bytes, name: str, text: str) -> ServerResponse:
        """Stored; whoever drives the ticket then withdraws its jobs. Safe to repeat."""
        if not r.is_ticket_id(text):
            return error_response(404, "no such ticket")
        ticket = r.TicketId(text)
        for _ in range(TRIES):
            item = await self._store.get(r.open_key(ticket))
            if item is None:
                record = await self._find(ticket)
                if record is not None and record.state is r.TicketState.OPEN:
                    continue
                return _told(record, ticket, name)
            record = r.decode_ticket(item.value)
            if record.submitter != name or record.cancelled is not None:
                return _told(record, ticket, name)
            record = replace(record, cancelled=WallTime(self._clock.seconds()))
            try:
                await self._store.transact(
                    [sm.Condition(r.open_key(ticket), item.mod_revision)],
                    [sm.Put(r.open_key(ticket), sm.encode_raw(record))],
                    RequestPriority.USER,
                )
            except (ConflictError, IndeterminateResultError):
                # Its driver wrote first, or no answer came: only a fresh read tells.
                continue
            log.info("ticket %s cancelled", ticket)
            return _json(200, r.plain(record, ticket))
        return error_response(503, "the ticket is changing", RETRY_AFTER_S)
