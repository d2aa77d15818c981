"""Leader election by a key in the store that is attached to a short lease and created only if absent.

The revision that creates the key is the fencing token, so tokens only grow. Safety does not depend on clocks: a deposed
leader that has not noticed its deposition can't commit, since every transaction of a leader has the revision of the
leader key as a condition, and workers reject commands with a lower token.
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
CAMPAIGN_PAUSE_LEASES = 3.0
"""A node that transferred leadership campaigns again only after this many lease durations, so that others are elected
first."""
RENEWALS_PER_LEASE = 4
HISTORY_AFTER_S: Seconds = 10.0
"""A node that has led for this long sets `Election.has_history`."""


class ElectionState(Enum):
    """The role of a node in the election."""

    FOLLOWING = "following"
    AWAITING_TURN = "awaiting turn"
    """The leader key does not exist, and candidates with a better rank campaign first."""
    CAMPAIGNING = "campaigning"
    LEADING = "leading"
    """This node holds the leader key. Its term begins once the token is known; after a data loss this needs a new store
    epoch."""
    STEPPING_DOWN = "stepping down"
    """The term has ended, and the leader lease is about to be revoked."""


class ActiveTerm(Protocol):
    """The work of a node while it leads."""

    def stop(self) -> None:
        """End the term and the operations that it started."""


class Successor(NamedTuple):
    """The peer that takes over in a leadership transfer: its leader record, and its lease to attach the record to."""

    record: LeaderRecord
    lease: LeaseId


class ElectionListener(Protocol):
    """Begins and ends the terms of this node, and selects candidates and successors among the peers."""

    def begin_term(self, token: FencingToken) -> ActiveTerm:
        """Begin the term of this node, which was elected with this token."""

    def end_term(self) -> None:
        """Handle the end of a term, after it was stopped and before the leader lease is revoked."""

    def election_delay(self) -> Seconds:
        """Return how long this node waits before it campaigns, so that candidates with a better rank campaign first."""

    async def find_successor(self) -> Successor | None:
        """Return the best peer if it is ready to lead, else None."""


class TokenSource(Protocol):
    """Composes fencing tokens from the store epoch and revisions of the leader key."""

    def token_if_epoch_known(self, revision: Revision) -> FencingToken | None:
        """Return the token for this node's leader key at this revision, or None if a new epoch must begin first."""

    def token_for_key(self, revision: Revision) -> FencingToken:
        """Return the token for a leader key of any node, composed with the last known epoch."""

    async def begin_store_epoch(self, revision: Revision) -> FencingToken | None:
        """Begin a store epoch under the leader key of this node at this revision and return the token.

        Return None if this node may not begin the epoch. Raise the errors of the store client.
        """

    def is_store_suspect(self) -> bool:
        """Return whether the store has lost data and no new epoch has begun."""


class Election:
    """Campaigns, watches the leader key while another node leads, and renews the leader lease while this node leads."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        record: LeaderRecord,
        lease_ttl_s: Seconds,
        tokens: TokenSource,
    ) -> None:
        """`record` is the value of the leader key while this process leads. A listener must be set before `run`."""
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
        self._has_unconfirmed_transfer = False
        self.has_history = False
        """Whether this process has observed another leader, or has led for `HISTORY_AFTER_S` itself.

        Otherwise it has no information from before its present term."""
        self.token: FencingToken | None = None
        """The token of this node while it leads, else None."""

    def set_listener(self, listener: ElectionListener) -> None:
        """Set the listener, once and before `run`. It is no constructor argument, as it depends on the election."""
        self._listener = listener

    @property
    def leader(self) -> tuple[NodeName, FencingToken] | None:
        """The last observed leader and its token; kept during a store outage, when no other node can be elected."""
        return self._last_leader

    def has_valid_lease(self) -> bool:
        """Return whether this node leads and its leader lease can't have expired.

        Workers reject the commands of a deposed leader by its token, but the cloud does not check tokens: a deposed
        leader that was paused or partitioned would delete the machines of its successor.
        """
        return self.token is not None and self._lease.has_valid_lease()

    # Election rounds

    async def run(self) -> None:
        """Campaign, follow and lead until the process ends; errors of the store delay the next round."""
        while True:
            try:
                await self._run_round()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("election round postponed error=%s", error)
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
        """Campaign after the election delay, so that candidates campaign one after another by rank."""
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
        """Try to create the leader key. The next round reads the key, which alone decides who was elected."""
        lease_id = await self._lease.acquire()
        try:
            # Without an epoch condition: a leader must also be elected on a store that has lost data.
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
        """Lead, clear a stale key of this process, or wait for a change, by the leader key as just read."""
        self._state = ElectionState.FOLLOWING
        record = decode_leader(item.value)
        self._last_leader = (record.node, self._tokens.token_for_key(item.mod_revision))
        if record.incarnation == self._record.incarnation:
            # This process created the key, possibly late or by a request whose response was lost.
            if self._lease.lease_id is not None and item.lease_id == self._lease.lease_id:
                self._lease.confirm()
                await self._lead(item.mod_revision, self._lease.lease_id)
                return
            if item.lease_id is not None:
                await self._store.revoke_lease(item.lease_id)
                # The store deletes the key with its lease. The pause prevents a busy loop if the key still exists.
                await pause(self._clock, REVOKE_PAUSE_S)
                return
        self._has_unconfirmed_transfer = False
        self.has_history = True
        await self._watcher.await_change(item.mod_revision)

    # While another node leads

    def wake(self) -> None:
        """Read the leader key again now; a store that has lost data may not report changes for a long time."""
        self._watcher.wake()

    def prepare_lease(self) -> None:
        """Request a lease in advance, so that this node can campaign as soon as the leader key is deleted."""
        Deferred.fromCoroutine(self._prepare_lease())

    async def _prepare_lease(self) -> LeaseId | None:
        """Return a lease with at least half its time left that is not in use by a term.

        Return None if this node holds the leader key or campaigns, or if the store does not grant a lease.
        """
        if self._holds_leader_key:
            return None
        if not self._lease.is_prepared:
            requested_at = self._clock.seconds()
            try:
                lease_id = await self._lease.grant()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("lease grant failed error=%s", error)
                return None
            if self._holds_leader_key or self._state is ElectionState.CAMPAIGNING:
                return None
            self._lease.keep_prepared(lease_id, requested_at)
        return self._lease.lease_id

    async def accept_leadership(self) -> Successor | None:
        """Accept the offer of a leader that steps down; return the leader record and lease of this node.

        Return None if no lease is available.
        """
        lease_id = await self._prepare_lease()
        return Successor(self._record, lease_id) if lease_id is not None else None

    # While this node leads

    @property
    def _holds_leader_key(self) -> bool:
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
        # Not in a `finally`: when this coroutine is closed at the end of the process, the coroutines of the term may be
        # closed already, and stopping the term would resume them.
        self._end_leading(revision)
        await self._lease.revoke()

    def _become_leader(self, token: FencingToken) -> None:
        log.info("started leading token=%d", token)
        self._clock.callLater(HISTORY_AFTER_S, self._record_history, token)
        self.token = token
        self._last_leader = (self._record.node, token)
        self._term = self._listener.begin_term(token)

    def _record_history(self, token: FencingToken) -> None:
        self.has_history = self.has_history or self.token == token

    async def _begin_epoch_and_lead(self, revision: Revision) -> None:
        """Begin a new epoch on a store that has lost data, then lead; step down if the epoch can't begin."""
        try:
            token = await self._tokens.begin_store_epoch(revision)
        except (ConflictError, StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            self.step_down(f"cannot begin a new store epoch: {error}")
            return
        if token is None:
            self.step_down("cannot begin a new store epoch")
        elif self._is_leading:
            self._become_leader(token)

    async def _renew_until_stepped_down(self, lease_id: LeaseId) -> None:
        while self._is_leading:
            await self._wait_until_stepped_down(self._lease.ttl_s / RENEWALS_PER_LEASE)
            if self._is_leading:
                # Not awaited: a busy leader that processed responses late would send the next renewal too late, and
                # would lose the lease although the store had received every renewal.
                Deferred.fromCoroutine(self._renew_lease(lease_id))

    def _wait_until_stepped_down(self, timeout_s: Seconds) -> Deferred[None]:
        wait_over: Deferred[None] = Deferred()

        def end_wait() -> None:
            if not wait_over.called:
                wait_over.callback(None)

        self._end_wait = end_wait
        self._clock.callLater(timeout_s, end_wait)
        return wait_over

    async def _renew_lease(self, lease_id: LeaseId) -> None:
        try:
            is_alive = await self._lease.renew(lease_id)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            # Not a reason to step down: during an outage of the store no other node can be elected, and workers
            # without responses to their heartbeats would lose their worker leases.
            log.debug("leader lease renewal failed error=%s", error)
            return
        if not is_alive and lease_id == self._lease.lease_id:
            self.step_down(f"leader lease {lease_id} ended")

    def _end_leading(self, revision: Revision) -> None:
        token, self.token = self.token, None
        term, self._term = self._term, None
        self._state = ElectionState.FOLLOWING
        if term is not None:
            term.stop()
            self._listener.end_term()
        log.info("stopped leading token=%d", token or revision)

    # Stepping down

    def begin_transfer(self, reason: str) -> None:
        """Start a leadership transfer because another node is better placed to lead.

        Do nothing if no other leader was observed since the previous transfer. Without this rule, when all other nodes
        are unreachable (a partitioned zone), the machines that reach this node would repeatedly be without a leader
        for three lease durations.
        """
        if self._has_unconfirmed_transfer:
            return
        self._has_unconfirmed_transfer = True
        Deferred.fromCoroutine(self.transfer_leadership(reason))

    async def transfer_leadership(self, reason: str) -> None:
        """Stop leading. If a peer is ready to lead, replace the leader record by its record in one transaction."""
        token, term = self.token, self._term
        if token is None or term is None:
            return
        self._campaign_not_before = self._clock.seconds() + CAMPAIGN_PAUSE_LEASES * self._lease.ttl_s
        successor = await self._listener.find_successor()
        if successor is not None and self.token == token and await self._replace_leader_record(token, successor):
            reason = f"{reason}; transferred to {successor.record.node}"
        if self._term is term:
            self.step_down(reason)

    async def _replace_leader_record(self, token: FencingToken, successor: Successor) -> bool:
        """Replace the leader record of this node by the successor's; return whether the store confirmed the write."""
        try:
            await self._store.transact_unguarded(
                [Condition(LEADER_KEY, revision_of(token))],
                [Put(LEADER_KEY, encode_raw(successor.record), successor.lease)],
                RequestPriority.LEADERSHIP,
            )
        except (ConflictError, StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            # The write may be applied late or not at all. In both cases this node revokes its lease, and other nodes
            # may campaign.
            log.info("leadership transfer failed error=%s", error)
            return False
        return True

    def step_down(self, reason: str) -> None:
        """Stop leading and revoke the leader lease; do nothing if this node does not lead.

        Called when a higher token was received, when a commit showed that the leader key has changed, or when this node
        must not continue its term for another reason.
        """
        if not self._is_leading:
            return
        log.info("stepping down reason=%s", reason)
        self._state = ElectionState.STEPPING_DOWN
        if self._term is not None:
            self._term.stop()
        self.token = None
        # Revoke the lease immediately: until then no other node can be elected.
        self._clock.callLater(0, self._end_wait)
