"""The state-service client. Every outcome of a transaction is told apart."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol
from urllib.parse import quote

import msgspec
from twisted.internet.defer import Deferred, FirstError, gatherResults

from meadowcross.common.clock import Clock
from meadowcross.common.http import ClientResponse, ConnectionFailedError, HttpClient, NoResponseError
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import StateFacts
from meadowcross.common.types import Address, LeaseId, Revision, Seconds
from meadowcross.store import messages as m
from meadowcross.store.rate_shares import MIN_BURST_SHARE
from meadowcross.store.request_counter import RequestCounter
from meadowcross.store.token_bucket import RequestPriority, TokenBucket

log = get_logger("store")

CALL_TIMEOUT_S: Seconds = 2.0
MAX_CONCURRENT_READS = 16
DEFAULT_SHARE = 0.2


class StoreUnavailableError(Exception):
    """Not executed: an outage, a spent budget, or no connection."""


class IndeterminateResultError(Exception):
    """No answer: executed, or not, or executed later."""


class RequestRejectedError(Exception):
    """The service says that the request is malformed or its hold is gone."""


class ConflictError(Exception):
    """A condition did not hold; nothing was written."""

    def __init__(self, failed_keys: Sequence[str]) -> None:
        super().__init__(", ".join(failed_keys))
        self.failed_keys = list(failed_keys)


class WatchCompactedError(Exception):
    """The watch has missed changes: read the keys again."""


class StoreEpochGuard(Protocol):
    """Knows whether the service still holds what was stored in it; see `rebuild.era`."""

    def epoch_condition(self) -> m.Condition | None:
        """Carried by whatever is written or compared. Raises Unavailable."""

    def on_epoch_mismatch(self) -> None:
        """That condition failed."""

    def on_revision_regressed(self, known: Revision, received: Revision) -> None:
        """The service's revision is lower than before."""


class StoreClient:
    def __init__(
        self, clock: Clock, http: HttpClient, address: Address, facts: StateFacts, share: float = DEFAULT_SHARE
    ) -> None:
        """`share` of the service's limits is this client's."""
        self._clock = clock
        self._http = http
        self._address = address
        self._facts = facts
        self.max_changes = facts.txn_ops
        self.max_conditions = 4 * facts.txn_ops - 1
        """One more is kept for the era's."""
        self.guard: StoreEpochGuard | None = None
        self.highest_revision = Revision(0)
        """The highest revision that the service has told of, in this era."""
        self._epoch_count = 0
        self.max_value_bytes = int(facts.value_kb * 1024)
        self.failing_since: float | None = None
        self._request_counter = RequestCounter(clock)
        self.reset_share(share)

    def reset_share(self, share: float) -> None:
        """The nodes share the service's limits (`store/shares.py`); a budget begins anew with each share."""
        burst = max(share, MIN_BURST_SHARE)
        self._request_bucket = TokenBucket(self._clock, self._facts.rps * share, self._facts.rps * burst)
        self._write_bucket = TokenBucket(self._clock, self._facts.write_rps * share, self._facts.write_rps * burst)

    def used_share(self) -> float:
        """The part of the service's limits that this client used lately: of requests or of changes, the larger."""
        return max(
            self._request_bucket.used_rate() / self._facts.rps, self._write_bucket.used_rate() / self._facts.write_rps
        )

    def adjust_share(self, share: float) -> None:
        """The same budgets go on at other rates."""
        self._request_bucket.set_rate(self._facts.rps * share)
        self._write_bucket.set_rate(self._facts.write_rps * share)

    def is_answering(self) -> bool:
        """Whether the last call was answered properly."""
        return self.failing_since is None

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        priority: RequestPriority,
        timeout_s: Seconds = CALL_TIMEOUT_S,
        is_long_poll: bool = False,
    ) -> ClientResponse:
        await self._request_bucket.acquire(1.0, priority)
        self._request_counter.count(method, path, priority)
        try:
            reply = await self._http.call(method, self._address, path, body, timeout_s)
        except ConnectionFailedError as error:
            self._record_failure()
            raise StoreUnavailableError(str(error)) from error
        except NoResponseError as error:
            if not is_long_poll:
                self._record_failure()
            raise IndeterminateResultError(str(error)) from error
        if reply.status == 429:
            self._request_bucket.back_off()
            if method == "POST" and path == "/multi":
                self._write_bucket.back_off()
            raise StoreUnavailableError("over the service's rate")
        if reply.status >= 500:
            self._record_failure()
            raise StoreUnavailableError(f"status {reply.status}")
        self.failing_since = None
        return reply

    def _record_failure(self) -> None:
        if self.failing_since is None:
            self.failing_since = self._clock.seconds()
            log.info("state service does not answer properly")

    async def get(self, key: str, priority: RequestPriority = RequestPriority.USER) -> m.Item | None:
        reply = await self._call("GET", "/kv/" + key, None, priority)
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise RequestRejectedError(f"read of {key}: {reply.status}")
        return m.decode_item(reply.body)

    async def list_page(
        self, prefix: str, limit: int, after: str = "", priority: RequestPriority = RequestPriority.LEADERSHIP
    ) -> m.Page:
        """At most so many keys under the prefix, in order, beginning after one."""
        since_parameter = f"&since={quote(after, safe='/')}" if after else ""
        baseline = self._request_baseline()
        reply = await self._call("GET", f"/kv?under={prefix}{since_parameter}&limit={limit}", None, priority, 5.0)
        if reply.status != 200:
            raise RequestRejectedError(f"list of {prefix}: {reply.status}")
        result_page = m.decode_page(reply.body)
        self._record_revision(baseline, result_page.revision)
        return result_page

    def begin_epoch(self, revision: Revision) -> None:
        """Another era: revisions may begin anew."""
        self._epoch_count += 1
        self.highest_revision = revision

    def _request_baseline(self) -> tuple[int, Revision]:
        """What is known when a request is sent."""
        return self._epoch_count, self.highest_revision

    def _record_revision(self, baseline: tuple[int, Revision], received: Revision) -> None:
        """A request sent when `seen` was the highest revision known was answered with `told`: a store that is
        consistent can't tell less. Only what was known at the sending counts, or answers that overtook each
        other would look like a loss."""
        epoch_count, known = baseline
        if epoch_count != self._epoch_count:
            return
        if received < known and self.guard is not None:
            self.guard.on_revision_regressed(known, received)
        self.highest_revision = max(self.highest_revision, received)

    async def list_items(
        self, prefix: str, priority: RequestPriority = RequestPriority.LEADERSHIP, page_size: int = 1000
    ) -> tuple[list[m.Item], Revision]:
        """All keys under the prefix, `page` at a time, and the revision before the first page
        was read."""
        items: list[m.Item] = []
        first_revision: Revision | None = None
        after = ""
        while True:
            result_page = await self.list_page(prefix, page_size, after, priority)
            # A watch from the first page's revision sees whatever changed in between.
            first_revision = result_page.revision if first_revision is None else first_revision
            items.extend(result_page.items)
            if not result_page.has_more or not result_page.items:
                return items, first_revision
            after = result_page.items[-1].key

    async def get_all(
        self, keys: Sequence[str], priority: RequestPriority = RequestPriority.USER
    ) -> Sequence[m.Item | None]:
        """What each of the keys holds, some read at once. Raises the first failure."""
        items: list[m.Item | None] = []
        for start in range(0, len(keys), MAX_CONCURRENT_READS):
            batch = keys[start : start + MAX_CONCURRENT_READS]
            reads = [Deferred.fromCoroutine(self.get(key, priority)) for key in batch]
            try:
                items.extend(await gatherResults(reads, consumeErrors=True))
            except FirstError as error:
                error.subFailure.raiseException()
        return items

    async def transact(
        self,
        conditions: Sequence[m.Condition],
        changes: Sequence[m.Put | m.Delete],
        priority: RequestPriority,
        timeout_s: Seconds = CALL_TIMEOUT_S,
    ) -> Revision:
        epoch_condition = self.guard.epoch_condition() if self.guard is not None else None
        if epoch_condition is None:
            return await self.transact_unguarded(conditions, changes, priority, timeout_s)
        try:
            return await self.transact_unguarded([*conditions, epoch_condition], changes, priority, timeout_s)
        except ConflictError as conflict:
            if epoch_condition.key in conflict.failed_keys and self.guard is not None:
                self.guard.on_epoch_mismatch()
                raise StoreUnavailableError("the state service's era is another") from conflict
            raise

    async def transact_unguarded(
        self,
        conditions: Sequence[m.Condition],
        changes: Sequence[m.Put | m.Delete],
        priority: RequestPriority,
        timeout_s: Seconds = CALL_TIMEOUT_S,
    ) -> Revision:
        """Without the era's condition: for what begins an era, or must work in any."""
        if changes:
            await self._write_bucket.acquire(float(len(changes)), priority)
        body = m.encode(m.Transaction(list(conditions), list(changes)))
        baseline = self._request_baseline()
        reply = await self._call("POST", "/multi", body, priority, timeout_s)
        if reply.status == 200:
            revision = m.decode_revision(reply.body).revision
            self._record_revision(baseline, revision)
            return revision
        if reply.status == 409:
            conflict = m.decode_conflict(reply.body)
            if conflict.revision is not None:
                self._record_revision(baseline, conflict.revision)
            raise ConflictError(conflict.failed_keys)
        raise RequestRejectedError(f"transaction: {reply.status} {reply.body[:200]!r}")

    async def find_changed_keys(
        self, conditions: Sequence[m.Condition], priority: RequestPriority = RequestPriority.USER
    ) -> set[str]:
        """The keys, of those named, that no longer have the version given."""
        try:
            await self.transact(conditions, [], priority)
        except ConflictError as conflict:
            return set(conflict.failed_keys)
        return set()

    async def grant_lease(self, ttl_s: Seconds) -> LeaseId:
        body = m.encode(m.LeaseRequest(int(ttl_s * 1000)))
        reply = await self._call("POST", "/holds", body, RequestPriority.LEADERSHIP)
        if reply.status != 200:
            raise RequestRejectedError(f"hold: {reply.status}")
        return m.decode_lease(reply.body).lease_id

    async def renew_lease(self, lease_id: LeaseId, timeout_s: Seconds) -> bool:
        """False: the hold has ended."""
        reply = await self._call("POST", f"/holds/{lease_id}/renew", b"{}", RequestPriority.LEADERSHIP, timeout_s)
        if reply.status == 404:
            return False
        if reply.status != 200:
            raise RequestRejectedError(f"renewal: {reply.status}")
        return True

    async def revoke_lease(self, lease_id: LeaseId) -> None:
        await self._call("DELETE", f"/holds/{lease_id}", None, RequestPriority.LEADERSHIP)

    async def watch(self, prefix: str, since_revision: Revision, wait_s: Seconds) -> m.WatchResponse:
        path = f"/watch?under={prefix}&since={since_revision}&waitMs={int(wait_s * 1000)}"
        baseline = (self._epoch_count, since_revision)
        # An open watch says nothing during an outage, so its silence is no failure.
        reply = await self._call("GET", path, None, RequestPriority.LEADERSHIP, wait_s + 5.0, is_long_poll=True)
        if reply.status == 410:
            raise WatchCompactedError(prefix)
        if reply.status != 200:
            raise RequestRejectedError(f"watch of {prefix}: {reply.status}")
        try:
            events = m.decode_watch(reply.body)
        except msgspec.DecodeError as error:
            raise StoreUnavailableError(f"watch of {prefix}: {error}") from error
        self._record_revision(baseline, events.revision)
        return events
