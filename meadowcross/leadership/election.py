"""Leader election: a key in the store, attached to a short lease and created only if absent.

The revision that creates the key is the fencing token, so tokens only grow. Nothing here relies on clocks: a node that
wrongly believes that it leads can't commit, since every transaction of a leader has the key's revision as a condition,
and workers drop what carries a lower token.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, LeaseId, NodeName, Revision, Seconds, revision_of
from meadowcross.leadership.leader_key_watcher import LeaderKeyWatcher
from meadowcross.leadership.leader_lease import LeaderLease
from meadowcross.leadership.messages import LEADER_KEY, LeaderRecord, decode_leader
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.messages import Condition, Item, Put, encode_raw
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("leadership")

RETRY_DELAY_S: Seconds = 0.25
CRASH_RETRY_DELAY_S: Seconds = 1.0
REVOKE_PAUSE_S: Seconds = 0.05
STEP_DOWN_PAUSE_LEASES = 3.0
"""A node that stepped down for another campaigns again only after so many leases: the others go first."""
RENEWALS_PER_LEASE = 4
HISTORY_AFTER_S: Seconds = 10.0
"""A node that has led for so long knows what was before."""


class ElectionState(Enum):
    """Where a node stands between two elections."""

    FOLLOWING = "following"
    AWAITING_TURN = "awaiting turn"
    """The key is free, and nodes that are placed better campaign first."""
    CAMPAIGNING = "campaigning"
    LEADING = "leading"
    """The key is ours. The term begins with the token, which on a store that lost data takes a new epoch."""
    STEPPING_DOWN = "stepping down"
    """The term is over, and its lease about to be revoked."""


class ActiveTerm(Protocol):
    """What a node does while it leads."""

    def stop(self) -> None:
        """The term is over; what it began ends."""


class Successor(NamedTuple):
    """Who takes over in one step: the record to write, and the lease to attach it to."""

    record: LeaderRecord
    lease: LeaseId


class ElectionListener(Protocol):
    """Begins and ends this node's terms, and knows its peers."""

    def begin_term(self, token: FencingToken) -> ActiveTerm:
        """This node was elected: begin its term."""

    def end_term(self) -> None:
        """The term was stopped, and the leader's key is about to go."""

    def election_delay(self) -> Seconds:
        """How long nodes that are placed better may campaign before this one."""

    async def find_successor(self) -> Successor | None:
        """The peer that is ready to lead next, if there is one."""


class TokenSource(Protocol):
    """Fencing tokens of the store's epoch."""

    def token_if_epoch_known(self, revision: Revision) -> FencingToken | None:
        """The token for our own key of this revision; None where a new epoch must begin first."""

    def token_for_key(self, revision: Revision) -> FencingToken:
        """The token of another node's key, as far as its epoch is known."""

    async def begin_store_epoch(self, revision: Revision) -> FencingToken | None:
        """Begin an epoch under our key of this revision; None where that is not ours to do. Raises what the store
        client raises."""

    def is_store_suspect(self) -> bool:
        """Whether the store has lost data and no new epoch has begun."""


class Election:
    """Campaigns, watches the leader's key while another node leads, and renews the lease while this one does."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        record: LeaderRecord,
        lease_ttl_s: Seconds,
        tokens: TokenSource,
    ) -> None:
        """`record` names this process as the leader. A listener must be set before `run`."""
        self._clock = clock
        self._store = store
        self._record = record
        self._tokens = tokens
        self._watcher = LeaderKeyWatcher(store, tokens.is_store_suspect)
        self._lease = LeaderLease(clock, store, lease_ttl_s)
        self._state = ElectionState.FOLLOWING
        self._listener: ElectionListener
        self._term: ActiveTerm | None = None
        self._last_leader: tuple[NodeName, FencingToken] | None = None
        self._end_wait: Callable[[], None] = lambda: None
        self._campaign_not_before = 0.0
        self._was_transfer_futile = False
        self.has_history = False
        """Whether somebody has led since this process began, so that what it knows goes back to before now."""
        self.token: FencingToken | None = None
        """Our own token while we lead."""

    def set_listener(self, listener: ElectionListener) -> None:
        """Once, before `run`: the listener needs the election, too."""
        self._listener = listener

    @property
    def leader(self) -> tuple[NodeName, FencingToken] | None:
        """The last leader seen; kept through an outage, when nobody else can be elected."""
        return self._last_leader

    def has_valid_lease(self) -> bool:
        """Whether this node leads, and its lease can't have ended.

        Workers drop an old leader's commands by their token, but the cloud can't tell who asks: a leader that was
        silent or cut off would return the next one's machines.
        """
        return self.token is not None and self._lease.has_valid_lease()

    # Rounds

    async def run(self) -> None:
        """Follow and lead in turn, for as long as the process lives."""
        while True:
            try:
                await self._run_round()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("election waits: %s", error)
                await pause(self._clock, RETRY_DELAY_S)
            except Exception:
                log.exception("election round failed")
                await pause(self._clock, CRASH_RETRY_DELAY_S)

    async def _run_round(self) -> None:
        item = await self._store.get(LEADER_KEY, RequestPriority.LEADERSHIP)
        if item is None:
            self._last_leader = None
            await self._campaign_in_turn()
        else:
            await self._observe(item)

    async def _campaign_in_turn(self) -> None:
        """One after the other, by who is placed best, instead of all at once."""
        if self._clock.seconds() < self._campaign_not_before:
            await pause(self._clock, RETRY_DELAY_S)
            return
        if self._state is not ElectionState.AWAITING_TURN:
            delay_s = self._listener.election_delay()
            if delay_s > 0:
                self._state = ElectionState.AWAITING_TURN
                await pause(self._clock, delay_s)
                return
        self._state = ElectionState.CAMPAIGNING
        try:
            await self._campaign()
        finally:
            self._state = ElectionState.FOLLOWING

    async def _campaign(self) -> None:
        """Create the leader's key. Won, lost or unknown: the next round reads the key, which alone decides."""
        lease_id = await self._lease.acquire()
        try:
            # In no epoch: on a store that has lost data somebody must lead, too.
            await self._store.transact_unguarded(
                [Condition(LEADER_KEY, Revision(0))],
                [Put(LEADER_KEY, encode_raw(self._record), lease_id)],
                RequestPriority.LEADERSHIP,
            )
        except ConflictError:
            log.debug("another node was elected first")
        except RequestRejectedError:
            self._lease.forget()
            raise

    async def _observe(self, item: Item) -> None:
        """Act on the leader's key as it was just read."""
        self._state = ElectionState.FOLLOWING
        record = decode_leader(item.value)
        self._last_leader = (record.node, self._tokens.token_for_key(item.mod_revision))
        if record.incarnation == self._record.incarnation:
            # Ours: also where a lost answer hid that the key was created, at once or late.
            if self._lease.lease_id is not None and item.lease_id == self._lease.lease_id:
                self._lease.confirm()
                await self._lead(item.mod_revision, self._lease.lease_id)
                return
            if item.lease_id is not None:
                await self._store.revoke_lease(item.lease_id)
                # The key goes with its lease; should it not, the next look at it must not follow at once.
                await pause(self._clock, REVOKE_PAUSE_S)
                return
        self._was_transfer_futile = False
        self.has_history = True
        await self._watcher.await_change(item.mod_revision)

    # While another node leads

    def wake(self) -> None:
        """Read the leader's key anew: a store that has lost data may tell of no change for long."""
        self._watcher.wake()

    def prepare_lease(self) -> None:
        """The key may be free in a moment: ask for the lease to create it under now."""
        Deferred.fromCoroutine(self._prepare_lease())

    async def _prepare_lease(self) -> LeaseId | None:
        """A lease with most of its time left, and not the one of a term; None without an answer."""
        if self._is_key_ours:
            return None
        if not self._lease.is_prepared:
            asked_at = self._clock.seconds()
            try:
                lease_id = await self._lease.grant()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("no lease yet: %s", error)
                return None
            if self._is_key_ours or self._state is ElectionState.CAMPAIGNING:
                return None
            self._lease.keep_prepared(lease_id, asked_at)
        return self._lease.lease_id

    async def accept_leadership(self) -> Successor | None:
        """Asked by a leader that steps down: what it shall write for us to lead."""
        lease_id = await self._prepare_lease()
        return Successor(self._record, lease_id) if lease_id is not None else None

    # While this node leads

    @property
    def _is_key_ours(self) -> bool:
        return self._state in (ElectionState.LEADING, ElectionState.STEPPING_DOWN)

    @property
    def _is_leading(self) -> bool:
        return self._state is ElectionState.LEADING

    async def _lead(self, revision: Revision, lease_id: LeaseId) -> None:
        self._state = ElectionState.LEADING
        token = self._tokens.token_if_epoch_known(revision)
        if token is not None:
            self._become_leader(token)
        else:
            Deferred.fromCoroutine(self._begin_epoch_and_lead(revision))
        try:
            await self._renew_until_stepped_down(lease_id)
        except Exception:
            # The next round revokes the lease.
            self._lease.forget()
            self._end_leading(revision)
            raise
        # Not in a `finally`: closed with the process, this coroutine would stop a term whose own coroutines are closed
        # already and can't be resumed.
        self._end_leading(revision)
        await self._lease.revoke()

    def _become_leader(self, token: FencingToken) -> None:
        log.info("leads with token %d", token)
        self._clock.callLater(HISTORY_AFTER_S, self._note_history, token)
        self.token = token
        self._last_leader = (self._record.node, token)
        self._term = self._listener.begin_term(token)

    def _note_history(self, token: FencingToken) -> None:
        self.has_history = self.has_history or self.token == token

    async def _begin_epoch_and_lead(self, revision: Revision) -> None:
        """Elected on a store that has lost data: under our key a new epoch begins, or we step down."""
        try:
            token = await self._tokens.begin_store_epoch(revision)
        except (ConflictError, StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            self.step_down(f"no new epoch could begin: {error}")
            return
        if token is None:
            self.step_down("no new epoch could begin")
        elif self._is_leading:
            self._become_leader(token)

    async def _renew_until_stepped_down(self, lease_id: LeaseId) -> None:
        while self._is_leading:
            await self._until_stepped_down(self._lease.ttl_s / RENEWALS_PER_LEASE)
            if self._is_leading:
                # Not awaited: a busy leader that read answers late once sent its next renewal too late, and lost a
                # lease that every renewal had reached.
                Deferred.fromCoroutine(self._renew_lease(lease_id))

    def _until_stepped_down(self, timeout_s: Seconds) -> Deferred[None]:
        over: Deferred[None] = Deferred()

        def end() -> None:
            if not over.called:
                over.callback(None)

        self._end_wait = end
        self._clock.callLater(timeout_s, end)
        return over

    async def _renew_lease(self, lease_id: LeaseId) -> None:
        try:
            is_alive = await self._lease.renew(lease_id)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            # Not a reason to step down: in an outage nobody else can be elected, and workers whose heartbeats go
            # unanswered would lose their leases.
            log.debug("renewal fails: %s", error)
            return
        if not is_alive and lease_id == self._lease.lease_id:
            self.step_down(f"lease {lease_id} ended")

    def _end_leading(self, revision: Revision) -> None:
        token, self.token = self.token, None
        term, self._term = self._term, None
        self._state = ElectionState.FOLLOWING
        if term is not None:
            term.stop()
            self._listener.end_term()
        log.info("no longer leads with token %d", token or revision)

    # Stepping down

    def begin_transfer(self, reason: str) -> None:
        """Another node is placed better: revoke our lease, and let the others go first. Not twice in a row: where
        nobody took over, as when a zone with all other nodes was cut off, the machines that do reach us were without a
        leader for three leases, again and again."""
        if self._was_transfer_futile:
            return
        self._was_transfer_futile = True
        Deferred.fromCoroutine(self.transfer_leadership(reason))

    async def transfer_leadership(self, reason: str) -> None:
        """Stop leading, in one step with the next leader's beginning where a peer is ready for it."""
        token, term = self.token, self._term
        if token is None or term is None:
            return
        self._campaign_not_before = self._clock.seconds() + STEP_DOWN_PAUSE_LEASES * self._lease.ttl_s
        successor = await self._listener.find_successor()
        if successor is not None and self.token == token and await self._give_key(token, successor):
            reason = f"{reason}; transferred to {successor.record.node}"
        if self._term is term:
            self.step_down(reason)

    async def _give_key(self, token: FencingToken, successor: Successor) -> bool:
        """Write the successor's record in place of ours; returns whether that is certain to have happened."""
        try:
            await self._store.transact_unguarded(
                [Condition(LEADER_KEY, revision_of(token))],
                [Put(LEADER_KEY, encode_raw(successor.record), successor.lease)],
                RequestPriority.LEADERSHIP,
            )
        except (ConflictError, StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            # Applied late or not at all: with our lease revoked, either way the others may campaign.
            log.info("not transferred: %s", error)
            return False
        return True

    def step_down(self, reason: str) -> None:
        """A higher token was seen, or a commit showed that the key is no longer ours."""
        if not self._is_leading:
            return
        log.info("steps down: %s", reason)
        self._state = ElectionState.STEPPING_DOWN
        if self._term is not None:
            self._term.stop()
        self.token = None
        # The lease is revoked at once: until then nobody can follow.
        self._clock.callLater(0, self._end_wait)
