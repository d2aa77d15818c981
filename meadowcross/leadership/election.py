"""Election: a key attached to a short hold, created only if absent.

The revision that creates the key is the token, so tokens only grow. Nothing here
relies on clocks: a node that wrongly believes that it leads can't commit, since
every leader transaction has the key's version as a condition, and workers drop
what carries a lower token.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from math import inf
from typing import Any, NamedTuple, Protocol

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, LeaseId, NodeName, Revision, Seconds, revision_of
from meadowcross.leadership.messages import LEADER_KEY, LeaderRecord, decode_leader
from meadowcross.store import messages as sm
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
    WatchCompactedError,
)
from meadowcross.store.messages import WatchResponse
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("leadership")

RETRY_DELAY_S: Seconds = 0.25
REVOKE_PAUSE_S: Seconds = 0.05
STEP_DOWN_PAUSE_LEASES = 3.0
"""A node that made way stands again only after so many holds: the others go first."""
WATCH_TIMEOUT_S: Seconds = 20.0
SUSPECT_WATCH_TIMEOUT_S: Seconds = 1.0
HISTORY_AFTER_S: Seconds = 10.0
"""A leader's own word goes back to before now once it has led for so long."""


class ActiveTerm(Protocol):
    """What a node does while it leads."""

    def stop(self) -> None: ...


class Successor(NamedTuple):
    """Who takes over in one step: the record to write, and the hold to attach it to."""

    record: LeaderRecord
    lease: LeaseId


class Election:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        node: NodeName,
        incarnation: str,
        lease_ttl_s: Seconds,
        begin_term: Callable[[FencingToken], ActiveTerm],
        end_term: Callable[[], None],
        election_delay: Callable[[], Seconds] = lambda: 0.0,
        find_successor: Callable[[], Awaitable[Successor | None]] | None = None,
        token_if_epoch_known: Callable[[Revision], FencingToken | None] = lambda mark: FencingToken(mark),
        begin_store_epoch: Callable[[Revision], Awaitable[FencingToken | None]] | None = None,
        token_for_key: Callable[[Revision], FencingToken] = lambda mark: FencingToken(mark),
        is_store_suspect: Callable[[], bool] = lambda: False,
    ) -> None:
        """`entitle` gives the token for a leader's key of ours, or None where `new_era` must begin one first;
        `compose` that of another's, as far as its era is known."""
        self._token_if_epoch_known = token_if_epoch_known
        self._begin_store_epoch = begin_store_epoch
        self._token_for_key = token_for_key
        self._is_store_suspect = is_store_suspect
        self.has_history = False
        """Somebody has led since this process began."""
        self._is_leading = False
        self._end_wait: Callable[[], None] = lambda: None
        self._woken: Deferred[WatchResponse | None] | None = None
        self._election_delay = election_delay
        self._find_successor = find_successor
        self._has_waited = False
        self._is_campaigning = False
        self._lease_asked_at = -inf
        self._clock = clock
        self._store = store
        self._record = LeaderRecord(node, incarnation)
        self._lease_ttl_s = lease_ttl_s
        self._begin_term = begin_term
        self._end_term = end_term
        self._lease: LeaseId | None = None
        self._term: ActiveTerm | None = None
        self._last_leader: tuple[NodeName, FencingToken] | None = None
        self._has_stepped_down = False
        self._lease_valid_until = 0.0
        self._campaign_not_before = 0.0
        self._was_transfer_futile = False
        self.token: FencingToken | None = None
        """Our own token while we lead."""

    @property
    def leader(self) -> tuple[NodeName, FencingToken] | None:
        """The last leader seen; kept through an outage, when nobody else can be elected."""
        return self._last_leader

    def has_valid_lease(self) -> bool:
        """Whether our hold can't have ended, by when its last answered renewal was sent.
        Workers drop an old leader's commands by their token, but the cloud can't tell who
        asks: a leader that was silent or cut off would return the next one's machines."""
        return self.token is not None and self._clock.seconds() < self._lease_valid_until

    async def run(self) -> None:
        while True:
            try:
                await self._run_round()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("election waits: %s", error)
                await pause(self._clock, RETRY_DELAY_S)
            except Exception:
                log.exception("election round failed")
                await pause(self._clock, 1.0)

    async def _run_round(self) -> None:
        item = await self._store.get(LEADER_KEY, RequestPriority.LEADERSHIP)
        if item is None:
            self._last_leader = None
            if self._clock.seconds() < self._campaign_not_before:
                await pause(self._clock, RETRY_DELAY_S)
                return
            delay_s = 0.0 if self._has_waited else self._election_delay()
            self._has_waited = delay_s > 0
            if delay_s > 0:
                # One after the other, by who is placed best, instead of all at once.
                await pause(self._clock, delay_s)
                return
            self._is_campaigning = True
            try:
                await self._campaign()
            finally:
                self._is_campaigning = False
            return
        self._has_waited = False
        record = decode_leader(item.value)
        self._last_leader = (record.node, self._token_for_key(item.mod_revision))
        if record.incarnation == self._record.incarnation:
            # Ours: also where a lost answer hid that the key was created, at once or late.
            if self._lease is not None and item.lease_id == self._lease:
                # Handed over, the hold may be older than what we last asked for.
                self._lease_valid_until = max(self._lease_valid_until, self._lease_asked_at + self._lease_ttl_s)
                await self._lead_until_over(item.mod_revision)
                return
            if item.lease_id is not None:
                await self._store.revoke_lease(item.lease_id)
                # The key goes with its hold; should it not, the next look at it must not follow at once.
                await pause(self._clock, REVOKE_PAUSE_S)
                return
        self._was_transfer_futile = False
        self.has_history = True
        await self._await_key_change(Revision(item.mod_revision))

    def prepare_lease(self) -> None:
        """The place may be free in a moment: open the hold that it takes now."""
        Deferred.fromCoroutine(self._prepare_lease())

    async def _prepare_lease(self) -> LeaseId | None:
        """A hold with most of its time left, and not the one of a term; None without an answer."""
        if self._is_leading:
            return None
        asked_at = self._clock.seconds()
        try:
            if asked_at - self._lease_asked_at > self._lease_ttl_s / 2 or self._lease is None:
                lease = await self._store.grant_lease(self._lease_ttl_s)
                if self._is_leading or self._is_campaigning:
                    return None
                self._lease, self._lease_asked_at = lease, asked_at
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.debug("no hold yet: %s", error)
            return None
        return self._lease

    async def accept_leadership(self) -> Successor | None:
        """Asked by a leader that makes way: what it shall write for us to lead."""
        lease = await self._prepare_lease()
        return Successor(self._record, lease) if lease is not None else None

    async def _campaign(self) -> None:
        asked_at = self._clock.seconds()
        if self._lease is not None and asked_at - self._lease_asked_at <= self._lease_ttl_s / 2:
            asked_at = self._lease_asked_at
        elif self._lease is None or not await self._store.renew_lease(self._lease, self._lease_ttl_s):
            self._lease = await self._store.grant_lease(self._lease_ttl_s)
        self._lease_valid_until = asked_at + self._lease_ttl_s
        try:
            # In no era: on a store that has lost data somebody must lead, too.
            await self._store.transact_unguarded(
                [sm.Condition(LEADER_KEY, Revision(0))],
                [sm.Put(LEADER_KEY, sm.encode_raw(self._record), self._lease)],
                RequestPriority.LEADERSHIP,
            )
        except ConflictError:
            log.debug("another node was elected first")
        except RequestRejectedError:
            self._lease = None
            raise
        # Won, lost or unknown: the next round reads the key, which alone decides.

    async def _await_key_change(self, since: Revision) -> None:
        revision = since
        while True:
            try:
                wait = SUSPECT_WATCH_TIMEOUT_S if self._is_store_suspect() else WATCH_TIMEOUT_S
                events = await self._until_woken(self._store.watch(LEADER_KEY, revision, wait))
            except WatchCompactedError:
                return
            if events is None or self._is_store_suspect():
                # A store that has lost data tells of no change: the key is read again.
                return
            if any(event.key == LEADER_KEY for event in events.events):
                return
            revision = events.revision

    def wake(self) -> None:
        """Look at the leader's key anew: a store that has lost data may tell of no change for long."""
        nudged, self._woken = self._woken, None
        if nudged is not None:
            nudged.callback(None)

    def _until_woken(self, watch: Coroutine[Any, Any, WatchResponse]) -> Deferred[WatchResponse | None]:
        first: Deferred[WatchResponse | None] = Deferred()
        self._woken = first

        def settle(result: Any) -> None:
            if not first.called:
                self._woken = None
                first.callback(result)

        Deferred.fromCoroutine(watch).addBoth(settle)
        return first

    async def _lead_until_over(self, mark: Revision) -> None:
        assert self._lease is not None
        self._is_leading, self._has_stepped_down = True, False
        token = self._token_if_epoch_known(mark)
        if token is not None:
            self._become_leader(mark, token)
        else:
            Deferred.fromCoroutine(self._begin_epoch_and_lead(mark))
        try:
            await self._renew_until_stepped_down(self._lease)
        except Exception:
            # The next round ends the hold.
            self._end_leading(mark)
            raise
        # No clause for whatever happens: closed with the process, this coroutine would stop a term whose own ones
        # are closed already, and those can't be resumed.
        lease = self._lease
        self._end_leading(mark)
        try:
            await self._store.revoke_lease(lease)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError):
            log.debug("hold %d left to end by itself", lease)

    async def _renew_until_stepped_down(self, lease: LeaseId) -> None:
        while not self._has_stepped_down:
            await self._until_stepped_down(self._lease_ttl_s / 4)
            if not self._has_stepped_down:
                # Not awaited: a busy leader that read answers late once sent its next
                # renewal too late, and lost a hold that every renewal had reached.
                Deferred.fromCoroutine(self._renew_lease(lease))

    def _end_leading(self, mark: Revision) -> None:
        self._lease = None
        token, self.token = self.token, None
        term, self._term = self._term, None
        self._is_leading = False
        if term is not None:
            term.stop()
            self._end_term()
        log.info("no longer leads with token %d", token or mark)

    def _until_stepped_down(self, timeout_s: Seconds) -> Deferred[None]:
        over: Deferred[None] = Deferred()

        def end() -> None:
            if not over.called:
                over.callback(None)

        self._end_wait = end
        self._clock.callLater(timeout_s, end)
        return over

    def _become_leader(self, mark: Revision, token: FencingToken) -> None:
        log.info("leads with token %d", token)
        self._clock.callLater(HISTORY_AFTER_S, self._note_history, token)
        self.token = token
        self._last_leader = (self._record.node, token)
        self._term = self._begin_term(token)

    def _note_history(self, token: FencingToken) -> None:
        self.has_history = self.has_history or self.token == token

    async def _begin_epoch_and_lead(self, mark: Revision) -> None:
        """Elected on a store that has lost data: under our key a new era begins, or we make room."""
        try:
            token = await self._begin_store_epoch(mark) if self._begin_store_epoch is not None else None
            if token is None:
                self.step_down("no new era could begin")
            elif self._is_leading and not self._has_stepped_down:
                self._become_leader(mark, token)
        except (ConflictError, StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            self.step_down(f"no new era could begin: {error}")

    async def _renew_lease(self, lease: LeaseId) -> None:
        asked_at = self._clock.seconds()
        try:
            is_alive = await self._store.renew_lease(lease, self._lease_ttl_s)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            # Not a reason to stand down: in an outage nobody else can be elected,
            # and workers whose reports go unanswered would lose their leases.
            log.debug("renewal fails: %s", error)
            return
        if lease != self._lease:
            return
        if is_alive:
            self._lease_valid_until = max(self._lease_valid_until, asked_at + self._lease_ttl_s)
        else:
            self.step_down(f"hold {lease} ended")

    def begin_transfer(self, reason: str) -> None:
        """Another node is better placed: end our hold, and let the others go first. Not twice in a row: where
        nobody took the place, as when a zone with all other nodes was cut off, the machines that do reach us
        were without a leader for three holds, again and again."""
        if self._was_transfer_futile:
            return
        self._was_transfer_futile = True
        Deferred.fromCoroutine(self.transfer_leadership(reason))

    async def transfer_leadership(self, reason: str) -> None:
        """Stop leading, in one step with the next leader's beginning where a peer is ready for it."""
        token, term = self.token, self._term
        if token is None or term is None:
            return
        self._campaign_not_before = self._clock.seconds() + STEP_DOWN_PAUSE_LEASES * self._lease_ttl_s
        successor = await self._find_successor() if self._find_successor is not None else None
        if successor is not None and self.token == token:
            try:
                await self._store.transact_unguarded(
                    [sm.Condition(LEADER_KEY, revision_of(token))],
                    [sm.Put(LEADER_KEY, sm.encode_raw(successor.record), successor.lease)],
                    RequestPriority.LEADERSHIP,
                )
                reason = f"{reason}; handed over to {successor.record.node}"
            except (ConflictError, StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                # Applied late or not at all: with our hold ended, either way the others may stand.
                log.info("not handed over: %s", error)
        if self._term is term:
            self.step_down(reason)

    def step_down(self, reason: str) -> None:
        """A higher token was seen, or a commit showed that the key is no longer ours."""
        if self._is_leading and not self._has_stepped_down:
            log.info("stands down: %s", reason)
            self._has_stepped_down = True
            if self._term is not None:
                self._term.stop()
            self.token = None
            # The hold is ended at once: until then nobody can follow.
            self._clock.callLater(0, self._end_wait)
