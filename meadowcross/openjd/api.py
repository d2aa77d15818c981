"""The HTTP API of a gateway for submitters: submit, check, list, read and cancel tickets, each within limits.

A ticket is stored before it is accepted. Its id is derived from the submitter and a key that the submitter chooses, so
that a repeated submission finds the first one. A request over a limit is refused at once with `Retry-After`; no request
waits in a queue.
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
from meadowcross.openjd import records
from meadowcross.openjd.plan import build_job_spec, build_plan
from meadowcross.openjd.site import Site, Submitter
from meadowcross.openjd.template import TicketError
from meadowcross.store import messages as store_messages
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
MAX_OPEN_SUBMISSIONS = 32
"""Submissions in progress at once; more are refused with `Retry-After`."""
BURST_S: Seconds = 10.0
"""A submitter may submit at once as many tickets as its rate allows in this time."""
READS_PER_S = 20.0
"""Store reads for all requests that read or list tickets, however many submitters send them."""
LIST_CACHE_S: Seconds = 2.0
MAX_LISTED = 1_000
MAX_CACHED_ENDED = 5_000
MAX_CANCEL_ATTEMPTS = 3
MAX_TRANSACTION_BYTES = 48 * 1024
PLACEHOLDER_JOB_ID = "wk-000000"

_SubmissionKey = Annotated[str, Meta(min_length=1, max_length=200)]


class Submission(Struct):
    """A request to accept a ticket. The submitter chooses `key`; the same key always stands for the same ticket."""

    key: _SubmissionKey
    document: str
    parameters: dict[str, str] = {}


_decode_submission = msgspec.json.Decoder(Submission).decode


def _json_response(status: int, value: Any) -> ServerResponse:
    return ServerResponse(status, msgspec.json.encode(value) + b"\n")


def _ticket_response(
    record: records.TicketRecord | None, ticket_id: records.TicketId, submitter_name: str
) -> ServerResponse:
    """Describe a ticket to its own submitter; to any other, the ticket doesn't exist (404)."""
    if record is None or record.submitter != submitter_name:
        return error_response(404, "no such ticket")
    return _json_response(200, records.public_view(record, ticket_id))


class TicketApi:
    """Handlers of the requests of submitters, with their rate limits and caches."""

    def __init__(self, clock: Clock, store: StoreClient, site: Site, tickets_per_s: float) -> None:
        self._clock = clock
        self._store = store
        self._site = site
        self._tickets_per_s = tickets_per_s
        self._submitter_buckets: dict[str, TokenBucket] = {}
        self._total_bucket = TokenBucket(clock, 4 * tickets_per_s, 4 * tickets_per_s * BURST_S)
        self._read_bucket = TokenBucket(clock, READS_PER_S, READS_PER_S)
        self._open_submissions = 0
        self._waiting_reads: dict[records.TicketId, list[Deferred[records.TicketRecord | None]]] = {}
        self._ended_cache: OrderedDict[records.TicketId, records.TicketRecord] = OrderedDict()
        self._list_cache: tuple[float, list[tuple[records.TicketId, records.TicketRecord]]] | None = None

    def add_routes(self, router: Router) -> None:
        """Register all handlers."""
        router.add("POST", r"/v1/submitters/([^/]+)/tickets", self._with_store_errors(self.submit))
        router.add("POST", r"/v1/submitters/([^/]+)/check", self._with_store_errors(self.check))
        router.add("GET", r"/v1/submitters/([^/]+)/tickets", self._with_store_errors(self.list_open))
        router.add("GET", r"/v1/submitters/([^/]+)/tickets/([^/]+)", self._with_store_errors(self.get))
        router.add("POST", r"/v1/submitters/([^/]+)/tickets/([^/]+)/cancel", self._with_store_errors(self.cancel))
        router.add("GET", r"/ready", lambda body: ServerResponse(200, b'{"ready":true}\n'))

    def _with_store_errors(
        self, operation: Callable[..., Awaitable[ServerResponse]]
    ) -> Callable[..., Awaitable[ServerResponse]]:
        """Wrap a handler, so that it responds with 503 while the store can't serve it."""

        async def run(body: bytes, *path_parts: str) -> ServerResponse:
            try:
                return await operation(body, *path_parts)
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("request refused error=%s", error)
                return error_response(503, "the state service gives no answer", RETRY_AFTER_S)

        return run

    # Submissions

    def _decode_request(self, body: bytes, submitter_name: str) -> tuple[Submitter, Submission] | ServerResponse:
        submitter = self._site.find_submitter(submitter_name)
        if submitter is None:
            return error_response(403, "unknown submitter")
        try:
            return submitter, _decode_submission(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return error_response(400, str(error))

    async def check(self, body: bytes, submitter_name: str) -> ServerResponse:
        """Validate a ticket without storing it, and respond with its plan."""
        request = self._decode_request(body, submitter_name)
        if isinstance(request, ServerResponse):
            return request
        if not self._is_within_rate(submitter_name):
            return error_response(429, "too many tickets a second", RETRY_AFTER_S)
        submitter, submission = request
        try:
            return _json_response(200, build_plan(submission.document.encode(), submission.parameters, submitter))
        except TicketError as error:
            return _json_response(422, {"error": error.reason, "field": error.field})

    def _is_within_rate(self, submitter_name: str) -> bool:
        """Take a token from the submitter's own bucket, and then one from the bucket of all submitters."""
        bucket = self._submitter_buckets.get(submitter_name)
        if bucket is None:
            bucket = self._submitter_buckets[submitter_name] = TokenBucket(
                self._clock, self._tickets_per_s, self._tickets_per_s * BURST_S
            )
        return bucket.try_acquire() and self._total_bucket.try_acquire()

    async def submit(self, body: bytes, submitter_name: str) -> ServerResponse:
        """Accept a ticket (201), or find the one that the same key stands for (200)."""
        request = self._decode_request(body, submitter_name)
        if isinstance(request, ServerResponse):
            return request
        if not self._is_within_rate(submitter_name):
            return error_response(429, "too many tickets a second", RETRY_AFTER_S)
        if self._open_submissions >= MAX_OPEN_SUBMISSIONS:
            return error_response(503, "too many submissions are open", RETRY_AFTER_S)
        self._open_submissions += 1
        try:
            return await self._submit(*request)
        finally:
            self._open_submissions -= 1

    async def _submit(self, submitter: Submitter, submission: Submission) -> ServerResponse:
        ticket_id = records.ticket_id(submitter.name, submission.key)
        digest = records.digest_of(submission.document, submission.parameters)
        try:
            plan = build_plan(submission.document.encode(), submission.parameters, submitter)
        except TicketError as error:
            # A repeated submission of an accepted ticket is never refused, even if the site's settings have changed.
            known_record = await self._find_record(ticket_id)
            if known_record is not None and known_record.digest == digest:
                return _json_response(200, records.public_view(known_record, ticket_id))
            return _json_response(422, {"error": error.reason, "field": error.field})
        specs = [build_job_spec(plan, number, PLACEHOLDER_JOB_ID, submitter) for number in range(len(plan.steps))]
        content = records.Content(submission.document, submission.parameters, specs)
        pieces = records.split_content(content, self._store.max_value_bytes - 64)
        record = records.TicketRecord(
            records.FORMAT_VERSION,
            plan.name,
            submitter.name,
            digest,
            len(pieces),
            WallTime(self._clock.seconds()),
            [records.StepRecord(step.name, step.tasks, step.dependencies) for step in plan.steps],
        )
        value = store_messages.encode_raw(record)
        if len(bytes(value)) > self._store.max_value_bytes:
            return _json_response(422, {"error": "too many steps with long names to keep", "field": "steps"})
        known_record = await self._find_record(ticket_id)
        if known_record is None:
            await self._store_pieces(ticket_id, digest, pieces)
            known_record = await self._accept(ticket_id, record, value)
            if known_record is None:
                log.info(
                    "ticket accepted ticket=%s name=%.60r submitter=%s steps=%d",
                    ticket_id,
                    plan.name,
                    submitter.name,
                    len(specs),
                )
                return _json_response(201, records.public_view(record, ticket_id))
        if known_record.digest != digest:
            return _json_response(422, {"error": "the key belongs to another ticket", "field": "key"})
        return _json_response(200, records.public_view(known_record, ticket_id))

    async def _store_pieces(self, ticket_id: records.TicketId, digest: str, pieces: list[str]) -> None:
        batch: list[store_messages.Put | store_messages.Delete] = []
        batch_bytes = 0
        for number, piece in enumerate(pieces):
            put = store_messages.Put(records.piece_key(ticket_id, digest, number), store_messages.encode_raw(piece))
            if batch and (
                batch_bytes + len(bytes(put.value)) > MAX_TRANSACTION_BYTES or len(batch) >= self._store.max_changes
            ):
                await self._store.transact([], batch, RequestPriority.USER)
                batch, batch_bytes = [], 0
            batch.append(put)
            batch_bytes += len(bytes(put.value))
        await self._store.transact([], batch, RequestPriority.USER)

    async def _accept(
        self, ticket_id: records.TicketId, record: records.TicketRecord, value: msgspec.Raw
    ) -> records.TicketRecord | None:
        """Store the record, which makes the ticket accepted.

        None if this call stored it; otherwise the record that was stored before.
        """
        try:
            await self._store.transact(
                [
                    store_messages.Condition(records.open_key(ticket_id), Revision(0)),
                    store_messages.Condition(records.ended_key(ticket_id), Revision(0)),
                ],
                [store_messages.Put(records.open_key(ticket_id), value)],
                RequestPriority.USER,
            )
            return None
        except ConflictError:
            known_record = await self._find_record(ticket_id)
            if known_record is None:
                raise StoreUnavailableError(f"ticket {ticket_id} changed while it was being accepted") from None
            return known_record
        except IndeterminateResultError:
            known_record = await self._find_record(ticket_id)
            if known_record is None:
                raise
            return known_record

    # Reading

    async def _find_record(self, ticket_id: records.TicketId) -> records.TicketRecord | None:
        """Read a ticket's record from the store; None if the ticket was never accepted.

        The open key is read first: a record moves from the open to the ended key in one transaction, so a ticket that
        is under neither of them, read in this order, doesn't exist.
        """
        for key in (records.open_key(ticket_id), records.ended_key(ticket_id)):
            item = await self._store.get(key)
            if item is not None:
                record = records.decode_ticket(item.value)
                if record.state is not records.TicketState.OPEN:
                    self._ended_cache[ticket_id] = record
                    if len(self._ended_cache) > MAX_CACHED_ENDED:
                        self._ended_cache.popitem(last=False)
                return record
        return None

    async def get(self, body: bytes, submitter_name: str, id_text: str) -> ServerResponse:
        """Respond with a ticket's state. Requests for the same ticket at the same time share one read."""
        if not records.is_ticket_id(id_text):
            return error_response(404, "no such ticket")
        ticket_id = records.TicketId(id_text)
        record = self._ended_cache.get(ticket_id)
        if record is None:
            waiting_reads = self._waiting_reads.get(ticket_id)
            if waiting_reads is not None:
                # A read of this ticket is about to begin; its result serves all requests that came before it.
                shared_result: Deferred[records.TicketRecord | None] = Deferred()
                waiting_reads.append(shared_result)
                record = await shared_result
            else:
                if not self._read_bucket.try_acquire():
                    return error_response(503, "too many questions", RETRY_AFTER_S)
                record = await self._read_shared(ticket_id)
        return _ticket_response(record, ticket_id, submitter_name)

    async def _read_shared(self, ticket_id: records.TicketId) -> records.TicketRecord | None:
        """Read a record after a short delay, and pass the result to all requests that came during the delay."""
        waiting_reads = self._waiting_reads[ticket_id] = []
        delay_passed: Deferred[None] = Deferred()
        self._clock.callLater(0.02, delay_passed.callback, None)
        await delay_passed
        del self._waiting_reads[ticket_id]
        try:
            record = await self._find_record(ticket_id)
        except Exception as error:
            for shared_result in waiting_reads:
                shared_result.errback(error)
            raise
        for shared_result in waiting_reads:
            shared_result.callback(record)
        return record

    async def list_open(self, body: bytes, submitter_name: str) -> ServerResponse:
        """Respond with the submitter's open tickets; one store read in LIST_CACHE_S (2 s) serves all submitters."""
        if self._site.find_submitter(submitter_name) is None:
            return error_response(403, "unknown submitter")
        now = self._clock.seconds()
        if self._list_cache is None or now - self._list_cache[0] >= LIST_CACHE_S:
            if not self._read_bucket.try_acquire():
                return error_response(503, "too many questions", RETRY_AFTER_S)
            items, _ = await self._store.list_items(records.OPEN_PREFIX, RequestPriority.USER, 200)
            self._list_cache = (
                now,
                [(records.ticket_id_of_key(item.key), records.decode_ticket(item.value)) for item in items],
            )
        own = [
            records.public_view(record, ticket_id)
            for ticket_id, record in self._list_cache[1]
            if record.submitter == submitter_name
        ]
        return _json_response(200, {"tickets": own[:MAX_LISTED], "more": len(own) > MAX_LISTED})

    async def cancel(self, body: bytes, submitter_name: str, id_text: str) -> ServerResponse:
        """Store the ticket's cancellation; the gateway that drives it then withdraws its jobs. Safe to repeat."""
        if not records.is_ticket_id(id_text):
            return error_response(404, "no such ticket")
        ticket_id = records.TicketId(id_text)
        for _ in range(MAX_CANCEL_ATTEMPTS):
            item = await self._store.get(records.open_key(ticket_id))
            if item is None:
                record = await self._find_record(ticket_id)
                if record is not None and record.state is records.TicketState.OPEN:
                    continue
                return _ticket_response(record, ticket_id, submitter_name)
            record = records.decode_ticket(item.value)
            if record.submitter != submitter_name or record.cancelled_at is not None:
                return _ticket_response(record, ticket_id, submitter_name)
            record = replace(record, cancelled_at=WallTime(self._clock.seconds()))
            try:
                await self._store.transact(
                    [store_messages.Condition(records.open_key(ticket_id), item.mod_revision)],
                    [store_messages.Put(records.open_key(ticket_id), store_messages.encode_raw(record))],
                    RequestPriority.USER,
                )
            except (ConflictError, IndeterminateResultError):
                # The driver stored another change first, or the result is unknown: only a new read shows the state.
                continue
            log.info("ticket cancelled ticket=%s", ticket_id)
            return _json_response(200, records.public_view(record, ticket_id))
        return error_response(503, "the ticket is changing", RETRY_AFTER_S)
