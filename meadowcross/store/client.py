"""The state-service client. Every outcome of a transaction is told apart."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol
from urllib.parse import quote

import msgspec
from twisted.internet.defer import Deferred, FirstError, gatherResults

from meadowcross.common.clock import Clock
from meadowcross.common.http import HttpClient, NotSent, Reply, Unanswered
from meadowcross.common.logging import logger
from meadowcross.common.settings import StateFacts
from meadowcross.common.types import Address, HoldId, Mark, Seconds
from meadowcross.store import messages as m
from meadowcross.store.budget import Budget, Urgency
from meadowcross.store.shares import LEAST_BURST_SHARE
from meadowcross.store.traffic import Traffic

log = logger("store")

CALL_S: Seconds = 2.0
READ_AT_ONCE = 16
DEFAULT_SHARE = 0.2


class Unavailable(Exception):
    """Not executed: an outage, a spent budget, or no connection."""


class Unknown(Exception):
    """No answer: executed, or not, or executed later."""


class Refused(Exception):
    """The service says that the request is malformed or its hold is gone."""


class Conflicted(Exception):
    """A condition did not hold; nothing was written."""

    def __init__(self, failed: Sequence[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = list(failed)


class WatchTooOld(Exception):
    """The watch has missed changes: read the keys again."""


class Guard(Protocol):
    """Knows whether the service still holds what was stored in it; see `rebuild.era`."""

    def condition(self) -> m.Condition | None:
        """Carried by whatever is written or compared. Raises Unavailable."""

    def another(self) -> None:
        """That condition failed."""

    def went_back(self, seen: Mark, told: Mark) -> None:
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
        self.guard: Guard | None = None
        self.highest = Mark(0)
        """The highest revision that the service has told of, in this era."""
        self._era = 0
        self.max_value = int(facts.value_kb * 1024)
        self.failing_since: float | None = None
        self._traffic = Traffic(clock)
        self.set_share(share)

    def set_share(self, share: float) -> None:
        """The nodes share the service's limits (`store/shares.py`); a budget begins anew with each share."""
        burst = max(share, LEAST_BURST_SHARE)
        self._requests = Budget(self._clock, self._facts.rps * share, self._facts.rps * burst)
        self._writes = Budget(self._clock, self._facts.write_rps * share, self._facts.write_rps * burst)

    def used(self) -> float:
        """The part of the service's limits that this client used lately: of requests or of changes, the larger."""
        return max(self._requests.used() / self._facts.rps, self._writes.used() / self._facts.write_rps)

    def adjust_share(self, share: float) -> None:
        """The same budgets go on at other rates."""
        self._requests.set_rate(self._facts.rps * share)
        self._writes.set_rate(self._facts.write_rps * share)

    def answering(self) -> bool:
        """Whether the last call was answered properly."""
        return self.failing_since is None

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        urgency: Urgency,
        timeout: Seconds = CALL_S,
        spare: bool = False,
    ) -> Reply:
        await self._requests.take(1.0, urgency)
        self._traffic.count(method, path, urgency)
        try:
            reply = await self._http.call(method, self._address, path, body, timeout)
        except NotSent as error:
            self._failed()
            raise Unavailable(str(error)) from error
        except Unanswered as error:
            if not spare:
                self._failed()
            raise Unknown(str(error)) from error
        if reply.status == 429:
            self._requests.shrink()
            if method == "POST" and path == "/multi":
                self._writes.shrink()
            raise Unavailable("over the service's rate")
        if reply.status >= 500:
            self._failed()
            raise Unavailable(f"status {reply.status}")
        self.failing_since = None
        return reply

    def _failed(self) -> None:
        if self.failing_since is None:
            self.failing_since = self._clock.seconds()
            log.info("state service does not answer properly")

    async def get(self, key: str, urgency: Urgency = Urgency.USER) -> m.Item | None:
        reply = await self._call("GET", "/kv/" + key, None, urgency)
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise Refused(f"read of {key}: {reply.status}")
        return m.decode_item(reply.body)

    async def page(self, prefix: str, limit: int, after: str = "", urgency: Urgency = Urgency.LEADERSHIP) -> m.Page:
        """At most so many keys under the prefix, in order, beginning after one."""
        since = f"&since={quote(after, safe='/')}" if after else ""
        seen = self._seen()
        reply = await self._call("GET", f"/kv?under={prefix}{since}&limit={limit}", None, urgency, 5.0)
        if reply.status != 200:
            raise Refused(f"list of {prefix}: {reply.status}")
        part = m.decode_page(reply.body)
        self._note(seen, part.revision)
        return part

    def restart(self, revision: Mark) -> None:
        """Another era: revisions may begin anew."""
        self._era += 1
        self.highest = revision

    def _seen(self) -> tuple[int, Mark]:
        """What is known when a request is sent."""
        return self._era, self.highest

    def _note(self, then: tuple[int, Mark], told: Mark) -> None:
        """A request sent when `seen` was the highest revision known was answered with `told`: a store that is
        consistent can't tell less. Only what was known at the sending counts, or answers that overtook each
        other would look like a loss."""
        era, seen = then
        if era != self._era:
            return
        if told < seen and self.guard is not None:
            self.guard.went_back(seen, told)
        self.highest = max(self.highest, told)

    async def list(
        self, prefix: str, urgency: Urgency = Urgency.LEADERSHIP, page: int = 1000
    ) -> tuple[list[m.Item], Mark]:
        """All keys under the prefix, `page` at a time, and the revision before the first page
        was read."""
        items: list[m.Item] = []
        first: Mark | None = None
        after = ""
        while True:
            part = await self.page(prefix, page, after, urgency)
            # A watch from the first page's revision sees whatever changed in between.
            first = part.revision if first is None else first
            items.extend(part.items)
            if not part.more or not part.items:
                return items, first
            after = part.items[-1].key

    async def get_all(self, keys: Sequence[str], urgency: Urgency = Urgency.USER) -> Sequence[m.Item | None]:
        """What each of the keys holds, some read at once. Raises the first failure."""
        items: list[m.Item | None] = []
        for first in range(0, len(keys), READ_AT_ONCE):
            asked = keys[first : first + READ_AT_ONCE]
            begun = [Deferred.fromCoroutine(self.get(key, urgency)) for key in asked]
            try:
                items.extend(await gatherResults(begun, consumeErrors=True))
            except FirstError as error:
                error.subFailure.raiseException()
        return items

    async def transact(
        self,
        conditions: Sequence[m.Condition],
        changes: Sequence[m.Put | m.Drop],
        urgency: Urgency,
        timeout: Seconds = CALL_S,
    ) -> Mark:
        era = self.guard.condition() if self.guard is not None else None
        if era is None:
            return await self.transact_bare(conditions, changes, urgency, timeout)
        try:
            return await self.transact_bare([*conditions, era], changes, urgency, timeout)
        except Conflicted as conflict:
            if era.key in conflict.failed and self.guard is not None:
                self.guard.another()
                raise Unavailable("the state service's era is another") from conflict
            raise

    async def transact_bare(
        self,
        conditions: Sequence[m.Condition],
        changes: Sequence[m.Put | m.Drop],
        urgency: Urgency,
        timeout: Seconds = CALL_S,
    ) -> Mark:
        """Without the era's condition: for what begins an era, or must work in any."""
        if changes:
            await self._writes.take(float(len(changes)), urgency)
        body = m.encode(m.Transaction(list(conditions), list(changes)))
        seen = self._seen()
        reply = await self._call("POST", "/multi", body, urgency, timeout)
        if reply.status == 200:
            told = m.decode_revision(reply.body).revision
            self._note(seen, told)
            return told
        if reply.status == 409:
            conflict = m.decode_conflict(reply.body)
            if conflict.revision is not None:
                self._note(seen, conflict.revision)
            raise Conflicted(conflict.failed)
        raise Refused(f"transaction: {reply.status} {reply.body[:200]!r}")

    async def compare(self, conditions: Sequence[m.Condition], urgency: Urgency = Urgency.USER) -> set[str]:
        """The keys, of those named, that no longer have the version given."""
        try:
            await self.transact(conditions, [], urgency)
        except Conflicted as conflict:
            return set(conflict.failed)
        return set()

    async def open_hold(self, ttl: Seconds) -> HoldId:
        body = m.encode(m.HoldRequest(int(ttl * 1000)))
        reply = await self._call("POST", "/holds", body, Urgency.LEADERSHIP)
        if reply.status != 200:
            raise Refused(f"hold: {reply.status}")
        return m.decode_hold(reply.body).hold

    async def renew_hold(self, hold: HoldId, timeout: Seconds) -> bool:
        """False: the hold has ended."""
        reply = await self._call("POST", f"/holds/{hold}/renew", b"{}", Urgency.LEADERSHIP, timeout)
        if reply.status == 404:
            return False
        if reply.status != 200:
            raise Refused(f"renewal: {reply.status}")
        return True

    async def end_hold(self, hold: HoldId) -> None:
        await self._call("DELETE", f"/holds/{hold}", None, Urgency.LEADERSHIP)

    async def watch(self, prefix: str, since: Mark, wait: Seconds) -> m.Events:
        path = f"/watch?under={prefix}&since={since}&waitMs={int(wait * 1000)}"
        then = (self._era, since)
        # An open watch says nothing during an outage, so its silence is no failure.
        reply = await self._call("GET", path, None, Urgency.LEADERSHIP, wait + 5.0, spare=True)
        if reply.status == 410:
            raise WatchTooOld(prefix)
        if reply.status != 200:
            raise Refused(f"watch of {prefix}: {reply.status}")
        try:
            events = m.decode_events(reply.body)
        except msgspec.DecodeError as error:
            raise Unavailable(f"watch of {prefix}: {error}") from error
        self._note(then, events.revision)
        return events
