"""Follows the store: one full read, then its feed of changes, at a bounded rate.

A node that leads is told of its own writes instead, which costs no request, and follows again when its term ends. A
node that is short of memory drops the replica; one whose own timers come late polls less often.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum

from msgspec import Raw
from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, Revision, Seconds
from meadowcross.replication.leader_activity import ENDED_JOBS_PREFIX, LeaderActivity
from meadowcross.replication.pre_loss_replica import PreLossReplica
from meadowcross.replication.store_replica import KeyCounts, StoreReplica
from meadowcross.store.client import (
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
    WatchCompactedError,
)
from meadowcross.store.messages import Delete, Event, Item, Put
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("replica")

POLL_INTERVAL_S: Seconds = 0.4
"""Between two polls of the feed: two and a half requests a second at the most, whatever changes."""
MAX_POLL_INTERVAL_S: Seconds = 2.0
OVERLOAD_DELAY_S: Seconds = 0.5
"""A timer this late shows that this process has no time to spare."""
WATCH_TIMEOUT_S: Seconds = 5.0
RETRY_DELAY_S: Seconds = 1.0
ESTABLISHED_LEADER_S: Seconds = 5.0
"""Peers that noticed a loss report it with their next heartbeat, a second later at the most, once connected."""


class FollowerState(Enum):
    """What a follower does; users see the value in the answers about a node's health."""

    SYNCING = "cold"
    """All is to be read."""
    IN_SYNC = "warm"
    """The replica follows the feed."""
    LEADING = "leading"
    """This node leads and reports its own writes."""
    FROZEN = "frozen"
    """The store has lost data: what was followed before is kept for the recovery."""
    OFF = "off"


def _ignore_ended_job(key: str, value: Raw) -> None:
    """Nobody wants to know."""


class ReplicaFollower:
    """Keeps a replica of the store up to date. All methods run on the reactor thread."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        max_bytes: int,
        on_job_ended: Callable[[str, Raw], None] = _ignore_ended_job,
    ) -> None:
        """`on_job_ended` gets each ended job's key and record once they are in the replica: followed, or written here.

        A replica that would take more than `max_bytes` is dropped for good.
        """
        self._clock = clock
        self._store = store
        self._max_bytes = max_bytes
        self._on_job_ended = on_job_ended
        self._activity = LeaderActivity(clock)
        self._poll_interval_s: Seconds = POLL_INTERVAL_S
        self._resumed: Deferred[None] | None = None
        """What `run` awaits while nothing is followed."""
        self._synced_at = Instant(0.0)
        self._began_leading_at = Instant(0.0)
        self._is_own_term_replica = False
        """The replica is that of this node's last term, not read since."""
        self.replica = StoreReplica()
        self.state = FollowerState.SYNCING
        self.pre_loss_replica: PreLossReplica | None = None
        self.resync_count = 0
        """How often the replica was read again after the first time."""

    @property
    def now(self) -> Instant:
        """The clock's time."""
        return Instant(self._clock.seconds())

    @property
    def is_in_sync(self) -> bool:
        """Whether the replica follows the feed."""
        return self.state is FollowerState.IN_SYNC

    def get(self, key: str) -> Item | None:
        """The replica's item, which may lag behind the store."""
        return self.replica.get(key)

    def _set_state(self, state: FollowerState, reason: str) -> None:
        if state is not self.state:
            log.info(
                "replica_state state=%s reason=%r keys=%d kilobytes=%d revision=%d",
                state.value,
                reason,
                sum(self.replica.counts()),
                self.replica.size_bytes // 1024,
                self.replica.revision,
            )
            self.state = state

    async def run(self) -> None:
        """Follow the store until the state is OFF."""
        while self.state is not FollowerState.OFF:
            if self.state in (FollowerState.LEADING, FollowerState.FROZEN):
                self._resumed = Deferred()
                await self._resumed
                continue
            try:
                if self.state is FollowerState.SYNCING:
                    await self._read_all()
                else:
                    await self._poll_after_interval()
            except WatchCompactedError:
                self.resync("the feed no longer reaches back")
            except (StoreUnavailableError, IndeterminateResultError) as error:
                log.debug("replica_waits error=%s", error)
                await pause(self._clock, RETRY_DELAY_S)
            except RequestRejectedError as error:
                self._set_state(FollowerState.OFF, f"the state service refuses to be followed: {error}")
            except Exception:
                # The replica may be half changed: it is read again.
                log.exception("replica_error")
                self.resync("an error")
                await pause(self._clock, RETRY_DELAY_S)

    async def _read_all(self) -> None:
        replica = StoreReplica()
        items, revision = await self._store.list_items("", RequestPriority.BACKGROUND)
        if self.state is not FollowerState.SYNCING:
            return
        replica.load(items, revision)
        self.replica, self._is_own_term_replica = replica, False
        self._synced_at = self.now
        self._set_state(FollowerState.IN_SYNC, "read")
        self._enforce_size_limit()

    async def _poll_after_interval(self) -> None:
        due_at = self.now + self._poll_interval_s
        await pause(self._clock, self._poll_interval_s)
        # An overloaded process polls less often, down to a bound, until it keeps up again.
        is_late = self.now - due_at > OVERLOAD_DELAY_S
        if is_late:
            self._poll_interval_s = min(MAX_POLL_INTERVAL_S, 2 * self._poll_interval_s)
        else:
            self._poll_interval_s = max(POLL_INTERVAL_S, self._poll_interval_s / 2)
        if self.state is FollowerState.IN_SYNC:
            await self._poll_feed(WATCH_TIMEOUT_S)

    async def _poll_feed(self, timeout_s: Seconds) -> None:
        """Apply what has changed; waits at most so long for a change. Raises what the store client raises."""
        requested_at = self.now
        replica = self.replica
        feed = await self._store.watch("", replica.revision, timeout_s)
        if replica is not self.replica or self.state is not FollowerState.IN_SYNC:
            return
        self._activity.record_poll(requested_at, feed.events, replica.revision)
        replica.apply_events(feed.events, feed.revision)
        for event in feed.events:
            if event.written_key is not None:
                self._report_if_ended(event.written_key, event.value)
        self._enforce_size_limit()

    async def _poll_or_resync(self, timeout_s: Seconds) -> None:
        """As `_poll_feed`, but a feed that no longer reaches back makes the replica be read again."""
        try:
            await self._poll_feed(timeout_s)
        except WatchCompactedError:
            self.resync("the feed no longer reaches back")

    def _report_if_ended(self, key: str, value: Raw) -> None:
        if key.startswith(ENDED_JOBS_PREFIX):
            self._on_job_ended(key, value)

    def _enforce_size_limit(self) -> None:
        if self.replica.size_bytes > self._max_bytes:
            self.replica = StoreReplica()
            self._set_state(FollowerState.OFF, f"it would take more than {self._max_bytes // 2**20} MB")

    def has_followed_for(self, duration_s: Seconds) -> bool:
        """Whether the replica was read at least so long ago and has been kept up to date since."""
        return self.state in (FollowerState.IN_SYNC, FollowerState.LEADING) and self.now - self._synced_at >= duration_s

    def resync(self, reason: str) -> None:
        """The replica can't be relied on: it is read again before it is used."""
        if self.state in (FollowerState.IN_SYNC, FollowerState.LEADING):
            self.resync_count += 1
            self.replica = StoreReplica()
            self._set_state(FollowerState.SYNCING, reason)
            self._resume()

    def _resume(self) -> None:
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    # For judging whether the leader still works

    def leader_writes_per_s(self) -> float:
        """Transactions a second that a leader stored lately."""
        return self._activity.writes_per_s()

    def leader_silence_s(self, since_at: Instant) -> Seconds:
        """For how long, from `since_at` on, the store is known to have taken nothing from a leader."""
        return self._activity.silence_s(since_at)

    async def poll_now(self, timeout_s: Seconds) -> None:
        """Poll the feed now, beside the usual interval. Raises what the store client raises."""
        if self.is_in_sync:
            await self._poll_or_resync(timeout_s)

    # For a new leader

    async def catch_up_to(self, leader_revision: Revision) -> StoreReplica | None:
        """The replica, complete up to the revision of the new leader's own key.

        It holds all that earlier leaders stored then. None: the store must be read. Raises what the store client
        raises.
        """
        if not self.is_in_sync:
            return None
        replica = self.replica
        if replica.revision < leader_revision:
            await self._poll_or_resync(0.0)
            if not self.is_in_sync or replica is not self.replica:
                return None
        if replica.revision < leader_revision:
            log.info("replica_too_old revision=%d leader_revision=%d", replica.revision, leader_revision)
            return None
        return replica

    def begin_leading(self, replica: StoreReplica, has_ended_jobs: bool) -> None:
        """A term begins with this replica, and reports what it writes and sees.

        Without `has_ended_jobs`, ended jobs, which no term needs, are read in the background.
        """
        if self.state is not FollowerState.OFF:
            self.replica = replica
            self._began_leading_at = self.now
            self._set_state(FollowerState.LEADING, "this node leads")
            if not has_ended_jobs:
                Deferred.fromCoroutine(self._read_ended_jobs(replica))

    async def _read_ended_jobs(self, replica: StoreReplica) -> None:
        while self.state is FollowerState.LEADING and replica is self.replica:
            try:
                items, _ = await self._store.list_items(ENDED_JOBS_PREFIX, RequestPriority.BACKGROUND)
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("ended_jobs_wait error=%s", error)
                await pause(self._clock, RETRY_DELAY_S)
                continue
            # They are never dropped, so what is read late can undo nothing.
            for item in items:
                replica.put(item.key, item.value, item.mod_revision)
            return

    def apply_own_write(self, revision: Revision, changes: Sequence[Put | Delete]) -> None:
        """This node's own transaction was stored at this revision."""
        if self.state is not FollowerState.LEADING:
            return
        for change in changes:
            if isinstance(change, Put):
                self.replica.put(change.key, change.value, revision)
                self._report_if_ended(change.key, change.value)
            else:
                self.replica.drop(change.key, revision)

    def apply_read(self, key: str, item: Item | None) -> None:
        """What a key holds, read after a transaction whose outcome was not known."""
        if self.state is not FollowerState.LEADING:
            return
        if item is not None:
            self.replica.put(item.key, item.value, item.mod_revision)
            self._report_if_ended(key, item.value)
        elif (current := self.replica.get(key)) is not None:
            self.replica.drop(key, Revision(current.mod_revision + 1))

    def apply_submission(self, key: str, value: Raw, revision: Revision) -> None:
        """This node stored something for a user, which nobody else may know yet; the feed will show it again.

        Where the feed was faster it has already shown what became of it.
        """
        if self.state in (FollowerState.IN_SYNC, FollowerState.LEADING) and revision > self.replica.revision:
            self.replica.put(key, value, revision)

    def apply_events(self, events: Sequence[Event], revision: Revision) -> None:
        """What users stored, as the term's own watch of open jobs shows it."""
        if self.state is not FollowerState.LEADING:
            return
        for event in events:
            key = event.written_key
            # A job that ended by our own transaction is over, though the watch shows only now how it changed before.
            if key is not None and self.replica.get(ENDED_JOBS_PREFIX + key[2:]) is None:
                self.replica.put(key, event.value, event.mod_revision)
        self.replica.revision = max(self.replica.revision, revision)

    def end_leading(self) -> None:
        """The term is over.

        Transactions of this node without an answer may have been stored, so all is read again; until then the replica
        stays as it was, and is not used.
        """
        if self.state is FollowerState.LEADING:
            self._is_own_term_replica = True
            self._set_state(FollowerState.SYNCING, "the term is over")
            self._resume()

    # For a recovery after a loss of data

    def followed_revision(self) -> Revision:
        """For comparing who knows most of the store as it was before a loss; a leader knows all."""
        pre_loss = self.pre_loss_replica
        return pre_loss.known_revision() if pre_loss is not None else self.replica.revision

    def freeze(self, epoch: int, is_loss_older: bool) -> None:
        """The store has lost data in this epoch: keep what was followed as it is, and follow nothing.

        With `is_loss_older` the loss came before, so the replica is of what was left and not worth keeping.
        """
        if self.state in (FollowerState.OFF, FollowerState.FROZEN):
            return
        if is_loss_older:
            self._set_state(FollowerState.FROZEN, "the state service lost data before it was followed")
            return
        is_own_replica = self._is_own_replica()
        if self.pre_loss_replica is None or is_own_replica:
            self.pre_loss_replica = PreLossReplica(self.replica, epoch, is_own_replica)
        else:
            # Lost again, in the middle of a recovery.
            self.pre_loss_replica.overlay(self.replica)
        self._set_state(FollowerState.FROZEN, "the state service has lost data")

    def _is_own_replica(self) -> bool:
        """Whether the replica is that of a term of this node, and lacks nothing that was stored."""
        # Whoever just began to lead may have begun on what was left already: others noticed before.
        if self.now - self._began_leading_at < ESTABLISHED_LEADER_S:
            return False
        if self.state is FollowerState.LEADING:
            return True
        return self.state is FollowerState.SYNCING and self._is_own_term_replica

    def unfreeze(self) -> None:
        """All is back, or known to be gone: read and follow the store as it is now."""
        self.pre_loss_replica = None
        if self.state is FollowerState.FROZEN:
            self.replica = StoreReplica()
            self._set_state(FollowerState.SYNCING, "the recovery is done")
            self._resume()

    def matches_counts(self, revision: Revision, counts: KeyCounts) -> bool:
        """Compare with what the leader counted; True also where that revision is not remembered."""
        own_counts = self.replica.counts_at(revision) if self.is_in_sync else None
        return own_counts is None or own_counts == counts
