"""Client of the state service: reads, transactions, leases and watches within the node's rate share.

Each unsuccessful outcome of a transaction has its own error, since callers must handle them differently: certainly not
applied, rejected by a condition, or unknown.
"""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus
from typing import NamedTuple, Protocol
from urllib.parse import quote

import msgspec
from twisted.internet.defer import Deferred, FirstError, gatherResults

from meadowcross.common.clock import Clock
from meadowcross.common.http import ClientResponse, ConnectionFailedError, HttpClient, NoResponseError
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import StateFacts
from meadowcross.common.types import Address, LeaseId, Revision, Seconds
from meadowcross.store.messages import (
    Change,
    Condition,
    Item,
    LeaseRequest,
    Page,
    Transaction,
    WatchResponse,
    decode_conflict,
    decode_item,
    decode_lease,
    decode_page,
    decode_revision,
    decode_watch,
    encode,
)
from meadowcross.store.rate_shares import MIN_BURST_SHARE
from meadowcross.store.request_counter import RequestCounter
from meadowcross.store.token_bucket import RequestPriority, TokenBucket

log = get_logger("store")

CALL_TIMEOUT_S: Seconds = 2.0
LIST_TIMEOUT_S: Seconds = 5.0
WATCH_TIMEOUT_MARGIN_S: Seconds = 5.0
"""Added to the time for which the service may keep a watch open."""
MAX_CONCURRENT_READS = 16
DEFAULT_PAGE_SIZE = 1000
DEFAULT_SHARE = 0.2
CONDITIONS_PER_CHANGE = 4
"""The service's limit of conditions in a transaction, as a multiple of its limit of changes."""
TRANSACTION_PATH = "/multi"


class StoreError(Exception):
    """Base class of the errors of requests to the state service."""


class StoreUnavailableError(StoreError):
    """The request was not executed, because of an outage, an exhausted rate limit or a missing connection."""


class IndeterminateResultError(StoreError):
    """No answer arrived, so the request may have been executed, may be executed later, or may be lost."""


class RequestRejectedError(StoreError):
    """The service rejected the request as malformed, or the lease that it names has ended."""


class ConflictError(StoreError):
    """A condition of the transaction did not hold, so nothing was written; `failed_keys` are the keys concerned."""

    def __init__(self, failed_keys: Sequence[str]) -> None:
        super().__init__(", ".join(failed_keys))
        self.failed_keys = list(failed_keys)


class WatchCompactedError(StoreError):
    """The service no longer has all changes since the watched revision, so the keys must be read again."""


class StoreEpochGuard(Protocol):
    """Detects whether the service has lost data; implemented in `recovery`."""

    def epoch_condition(self) -> Condition | None:
        """Return the condition that the store epoch is unchanged, for every transaction and comparison.

        Returns None if there is no such condition. Raises StoreUnavailableError.
        """

    def on_epoch_mismatch(self) -> None:
        """Handle a transaction that failed on the epoch condition."""

    def on_revision_regressed(self, known: Revision, received: Revision) -> None:
        """Handle an answer whose revision is lower than one known before the request was sent."""


class Listing(NamedTuple):
    """All items under a prefix, and the revision of the store when the first page was read."""

    items: list[Item]
    revision: Revision


class _RequestBaseline(NamedTuple):
    """The epoch count and the lowest revision that a consistent answer can have, as known when the request was sent."""

    epoch_count: int
    revision: Revision


class StoreClient:
    """Requests to the state service, limited to this node's share of the service's rates.

    Any method may raise StoreUnavailableError, IndeterminateResultError or RequestRejectedError.
    """

    def __init__(
        self, clock: Clock, http: HttpClient, address: Address, facts: StateFacts, share: float = DEFAULT_SHARE
    ) -> None:
        self._clock = clock
        self._http = http
        self._address = address
        self._facts = facts
        self.max_changes = facts.txn_ops
        self.max_conditions = CONDITIONS_PER_CHANGE * facts.txn_ops - 1
        """One less than the service accepts, since one condition is reserved for the store epoch."""
        self.guard: StoreEpochGuard | None = None
        self.highest_revision = Revision(0)
        """The highest revision that the service has reported in this store epoch."""
        self._epoch_count = 0
        self.max_value_bytes = int(facts.value_kb * 1024)
        self.failing_since: float | None = None
        """The instant of the first failed request since the last proper answer; None if no request has failed since."""
        self._request_counter = RequestCounter(clock)
        self.reset_share(share)

    # Rate share

    def reset_share(self, share: float) -> None:
        """Use this share of the service's limits from now on, with full buckets (see `store.rate_shares`)."""
        burst = max(share, MIN_BURST_SHARE)
        self._request_bucket = TokenBucket(self._clock, self._facts.rps * share, self._facts.rps * burst)
        self._write_bucket = TokenBucket(self._clock, self._facts.write_rps * share, self._facts.write_rps * burst)

    def adjust_share(self, share: float) -> None:
        """Change the rates to this share; the buckets keep their contents and their back-off."""
        self._request_bucket.set_rate(self._facts.rps * share)
        self._write_bucket.set_rate(self._facts.write_rps * share)

    def used_share(self) -> float:
        """Return the part of the service's limits used recently (1: all): of requests or changes, the larger."""
        requests = self._request_bucket.used_rate() / self._facts.rps
        writes = self._write_bucket.used_rate() / self._facts.write_rps
        return max(requests, writes)

    # Reads

    async def get(self, key: str, priority: RequestPriority = RequestPriority.USER) -> Item | None:
        """Return the key's item, or None if the key does not exist."""
        response = await self._call("GET", "/kv/" + key, None, priority)
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        _require_ok(response, "read", key)
        return decode_item(response.body)

    async def get_all(
        self, keys: Sequence[str], priority: RequestPriority = RequestPriority.USER
    ) -> Sequence[Item | None]:
        """Return the items of the keys in the same order, None for each key that does not exist.

        Reads up to `MAX_CONCURRENT_READS` keys at a time. Raises the first failure.
        """
        items: list[Item | None] = []
        for start in range(0, len(keys), MAX_CONCURRENT_READS):
            batch = keys[start : start + MAX_CONCURRENT_READS]
            reads = [Deferred.fromCoroutine(self.get(key, priority)) for key in batch]
            try:
                items.extend(await gatherResults(reads, consumeErrors=True))
            except FirstError as error:
                error.subFailure.raiseException()
        return items

    async def list_page(
        self, prefix: str, limit: int, after: str = "", priority: RequestPriority = RequestPriority.LEADERSHIP
    ) -> Page:
        """Return at most `limit` items under the prefix in key order, beginning after the key `after`."""
        since_parameter = f"&since={quote(after, safe='/')}" if after else ""
        path = f"/kv?under={prefix}{since_parameter}&limit={limit}"
        baseline = self._request_baseline()
        response = await self._call("GET", path, None, priority, LIST_TIMEOUT_S)
        _require_ok(response, "list", prefix)
        page = decode_page(response.body)
        self._record_revision(baseline, page.revision)
        return page

    async def list_items(
        self,
        prefix: str,
        priority: RequestPriority = RequestPriority.LEADERSHIP,
        page_size: int = DEFAULT_PAGE_SIZE,
    ) -> Listing:
        """Return all items under the prefix, read `page_size` at a time.

        A watch from the listing's revision also reports the changes made while later pages were read.
        """
        items: list[Item] = []
        first_revision: Revision | None = None
        after = ""
        while True:
            page = await self.list_page(prefix, page_size, after, priority)
            first_revision = page.revision if first_revision is None else first_revision
            items.extend(page.items)
            if not page.has_more or not page.items:
                return Listing(items, first_revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, since_revision: Revision, wait_s: Seconds) -> WatchResponse:
        """Return the changes under the prefix since the revision, waiting up to `wait_s` for one.

        Raises WatchCompactedError if the service no longer has all changes since the revision.
        """
        path = f"/watch?under={prefix}&since={since_revision}&waitMs={int(wait_s * 1000)}"
        baseline = _RequestBaseline(self._epoch_count, since_revision)
        timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        response = await self._call("GET", path, None, RequestPriority.LEADERSHIP, timeout_s, is_long_poll=True)
        if response.status == HTTPStatus.GONE:
            raise WatchCompactedError(prefix)
        _require_ok(response, "watch", prefix)
        try:
            changes = decode_watch(response.body)
        except msgspec.DecodeError as error:
            message = f"watch of {prefix}: {error}"
            raise StoreUnavailableError(message) from error
        self._record_revision(baseline, changes.revision)
        return changes

    # Transactions

    async def transact(
        self,
        conditions: Sequence[Condition],
        changes: Sequence[Change],
        priority: RequestPriority,
        timeout_s: Seconds = CALL_TIMEOUT_S,
    ) -> Revision:
        """Apply all changes if all conditions hold and the store epoch is unchanged.

        Returns the revision of the changes. Raises ConflictError if a condition does not hold.
        """
        epoch_condition = self.guard.epoch_condition() if self.guard is not None else None
        if epoch_condition is None:
            return await self.transact_unguarded(conditions, changes, priority, timeout_s)
        try:
            return await self.transact_unguarded([*conditions, epoch_condition], changes, priority, timeout_s)
        except ConflictError as conflict:
            if epoch_condition.key in conflict.failed_keys and self.guard is not None:
                self.guard.on_epoch_mismatch()
                message = "the store epoch has changed"
                raise StoreUnavailableError(message) from conflict
            raise

    async def transact_unguarded(
        self,
        conditions: Sequence[Condition],
        changes: Sequence[Change],
        priority: RequestPriority,
        timeout_s: Seconds = CALL_TIMEOUT_S,
    ) -> Revision:
        """Apply changes as `transact` does, without the condition that the store epoch is unchanged.

        For writes that begin an epoch, and for writes that must succeed in any epoch.
        """
        if changes:
            await self._write_bucket.acquire(float(len(changes)), priority)
        body = encode(Transaction(list(conditions), list(changes)))
        baseline = self._request_baseline()
        response = await self._call("POST", TRANSACTION_PATH, body, priority, timeout_s)
        if response.status == HTTPStatus.OK:
            revision = decode_revision(response.body).revision
            self._record_revision(baseline, revision)
            return revision
        if response.status == HTTPStatus.CONFLICT:
            conflict = decode_conflict(response.body)
            if conflict.revision is not None:
                self._record_revision(baseline, conflict.revision)
            raise ConflictError(conflict.failed_keys)
        message = f"transaction: {response.status} {response.body[:200]!r}"
        raise RequestRejectedError(message)

    async def find_changed_keys(
        self, conditions: Sequence[Condition], priority: RequestPriority = RequestPriority.USER
    ) -> set[str]:
        """Return the keys whose conditions no longer hold, by one transaction without changes."""
        try:
            await self.transact(conditions, [], priority)
        except ConflictError as conflict:
            return set(conflict.failed_keys)
        return set()

    # Leases

    async def grant_lease(self, ttl_s: Seconds) -> LeaseId:
        """Return a new lease, which ends unless it is renewed within `ttl_s`."""
        body = encode(LeaseRequest(int(ttl_s * 1000)))
        response = await self._call("POST", "/holds", body, RequestPriority.LEADERSHIP)
        _require_ok(response, "lease grant")
        return decode_lease(response.body).lease_id

    async def renew_lease(self, lease_id: LeaseId, timeout_s: Seconds) -> bool:
        """Renew the lease; return False if it has ended."""
        path = f"/holds/{lease_id}/renew"
        response = await self._call("POST", path, b"{}", RequestPriority.LEADERSHIP, timeout_s)
        if response.status == HTTPStatus.NOT_FOUND:
            return False
        _require_ok(response, "lease renewal")
        return True

    async def revoke_lease(self, lease_id: LeaseId) -> None:
        """End the lease, which deletes the keys that are attached to it."""
        await self._call("DELETE", f"/holds/{lease_id}", None, RequestPriority.LEADERSHIP)

    # Consistency and health

    def is_answering(self) -> bool:
        """Whether no request has failed since the last proper answer."""
        return self.failing_since is None

    def begin_epoch(self, revision: Revision) -> None:
        """Reset the highest revision to `revision`: in a new store epoch revisions may restart at a lower value."""
        self._epoch_count += 1
        self.highest_revision = revision

    def _request_baseline(self) -> _RequestBaseline:
        return _RequestBaseline(self._epoch_count, self.highest_revision)

    def _record_revision(self, baseline: _RequestBaseline, received: Revision) -> None:
        """Compare the revision of an answer with the highest revision that was known when its request was sent.

        A consistent service never answers with a lower revision. The comparison uses the revision known at the time
        of sending, because otherwise answers that overtook each other would look like a loss of data.
        """
        if baseline.epoch_count != self._epoch_count:
            return
        if received < baseline.revision and self.guard is not None:
            self.guard.on_revision_regressed(baseline.revision, received)
        self.highest_revision = max(self.highest_revision, received)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        priority: RequestPriority,
        timeout_s: Seconds = CALL_TIMEOUT_S,
        is_long_poll: bool = False,
    ) -> ClientResponse:
        """Send one request; return its answer unless that reports an overload or an outage.

        A long poll may stay open without an answer during an outage, so a missing answer to one is not recorded as a
        failure.
        """
        await self._request_bucket.acquire(1.0, priority)
        self._request_counter.count(method, path, priority)
        try:
            response = await self._http.call(method, self._address, path, body, timeout_s)
        except ConnectionFailedError as error:
            self._record_failure()
            raise StoreUnavailableError(str(error)) from error
        except NoResponseError as error:
            if not is_long_poll:
                self._record_failure()
            raise IndeterminateResultError(str(error)) from error
        self._check_availability(response, is_transaction=path == TRANSACTION_PATH)
        self.failing_since = None
        return response

    def _check_availability(self, response: ClientResponse, is_transaction: bool) -> None:
        """Raise StoreUnavailableError if the status shows that the service did not execute the request."""
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            self._request_bucket.back_off()
            if is_transaction:
                self._write_bucket.back_off()
            message = "over the service's rate"
            raise StoreUnavailableError(message)
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._record_failure()
            message = f"status {response.status}"
            raise StoreUnavailableError(message)

    def _record_failure(self) -> None:
        if self.failing_since is None:
            self.failing_since = self._clock.seconds()
            log.info("store failing address=%s", self._address)


def _require_ok(response: ClientResponse, operation: str, key: str | None = None) -> None:
    if response.status != HTTPStatus.OK:
        subject = operation if key is None else f"{operation} of {key}"
        message = f"{subject}: {response.status}"
        raise RequestRejectedError(message)
