"""Keeps a replica in sync with the store by one full read and then by polling the change feed at a bounded rate.

On the leader the term reports its own writes instead, which needs no requests; polling resumes after a full read when
the term ends. A replica that needs too much memory is discarded; a process whose timers run late polls less often.
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
"""Time between two polls of the change feed: at most 2.5 requests per second, independent of the rate of changes."""
MAX_POLL_INTERVAL_S: Seconds = 2.0
OVERLOAD_DELAY_S: Seconds = 0.5
"""A timer that runs later than this shows that the process is overloaded."""
WATCH_TIMEOUT_S: Seconds = 5.0
RETRY_DELAY_S: Seconds = 1.0
ESTABLISHED_LEADER_S: Seconds = 5.0
"""Time after which a leader has received the data losses that peers detected: connected peers report a loss with their
next heartbeat, at most one second later."""


class FollowerState(Enum):
    """State of a follower; the values are part of the response to health requests."""

    SYNCING = "cold"
    """A full read is in progress or about to begin."""
    IN_SYNC = "warm"
    """The replica follows the change feed."""
    LEADING = "leading"
    """This node leads, and its term reports its own writes."""
    FROZEN = "frozen"
    """The store has lost data, and the replica from before the loss is kept for the recovery."""
    OFF = "off"
    """The replica is not used any more, because it was too large or the store rejected a request."""


def _ignore_ended_job(key: str, value: Raw) -> None:
    """Default of `on_job_ended`: ignore ended jobs."""


class ReplicaFollower:
    """Keeps a replica of the store up to date. All methods run on the reactor thread."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        max_bytes: int,
        on_job_ended: Callable[[str, Raw], None] = _ignore_ended_job,
    ) -> None:
        """`on_job_ended` is called with the key and record of each ended job after the replica has them.

        A replica that takes more than `max_bytes` is discarded, and the state becomes OFF for good.
        """
        self._clock = clock
        self._store = store
        self._max_bytes = max_bytes
        self._on_job_ended = on_job_ended
        self._activity = LeaderActivity(clock)
        self._poll_interval_s: Seconds = POLL_INTERVAL_S
        self._resumed: Deferred[None] | None = None
        """Awaited by `run` while the state is LEADING or FROZEN."""
        self._synced_at = Instant(0.0)
        self._began_leading_at = Instant(0.0)
        self._is_own_term_replica = False
        """Whether the replica is that of this node's last term and was not read from the store since."""
        self.replica = StoreReplica()
        self.state = FollowerState.SYNCING
        self.pre_loss_replica: PreLossReplica | None = None
        self.resync_count = 0
        """How often the replica was discarded to be read again."""

    @property
    def now(self) -> Instant:
        """The instant on this node's clock."""
        return Instant(self._clock.seconds())

    @property
    def is_in_sync(self) -> bool:
        """Whether the replica follows the change feed."""
        return self.state is FollowerState.IN_SYNC

    def get(self, key: str) -> Item | None:
        """Return the replica's item, which may be older than the item in the store; None if the replica has none."""
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
                self.resync("change feed compacted")
            except (StoreUnavailableError, IndeterminateResultError) as error:
                log.debug("replica_waits error=%s", error)
                await pause(self._clock, RETRY_DELAY_S)
            except RequestRejectedError as error:
                self._set_state(FollowerState.OFF, f"the state service rejected a request: {error}")
            except Exception:
                # Changes may have been applied in part, so the replica is read again.
                log.exception("replica_error")
                self.resync("unexpected error")
                await pause(self._clock, RETRY_DELAY_S)

    async def _read_all(self) -> None:
        replica = StoreReplica()
        items, revision = await self._store.list_items("", RequestPriority.BACKGROUND)
        if self.state is not FollowerState.SYNCING:
            return
        replica.load(items, revision)
        self.replica, self._is_own_term_replica = replica, False
        self._synced_at = self.now
        self._set_state(FollowerState.IN_SYNC, "all keys read")
        self._enforce_size_limit()

    async def _poll_after_interval(self) -> None:
        due_at = self.now + self._poll_interval_s
        await pause(self._clock, self._poll_interval_s)
        # An overloaded process doubles the interval up to `MAX_POLL_INTERVAL_S`, until its timers run on time again.
        is_late = self.now - due_at > OVERLOAD_DELAY_S
        if is_late:
            self._poll_interval_s = min(MAX_POLL_INTERVAL_S, 2 * self._poll_interval_s)
        else:
            self._poll_interval_s = max(POLL_INTERVAL_S, self._poll_interval_s / 2)
        if self.state is FollowerState.IN_SYNC:
            await self._poll_feed(WATCH_TIMEOUT_S)

    async def _poll_feed(self, timeout_s: Seconds) -> None:
        """Apply the changes since the replica's revision, waiting at most `timeout_s` for one.

        Raises the errors of `StoreClient.watch`.
        """
        requested_at = self.now
        replica = self.replica
        response = await self._store.watch("", replica.revision, timeout_s)
        if replica is not self.replica or self.state is not FollowerState.IN_SYNC:
            return
        self._activity.record_poll(requested_at, response.events, replica.revision)
        replica.apply_events(response.events, response.revision)
        for event in response.events:
            if event.written_key is not None:
                self._report_if_ended(event.written_key, event.value)
        self._enforce_size_limit()

    async def _poll_or_resync(self, timeout_s: Seconds) -> None:
        """Poll as `_poll_feed` does, but read the replica again if the change feed no longer has all changes."""
        try:
            await self._poll_feed(timeout_s)
        except WatchCompactedError:
            self.resync("change feed compacted")

    def _report_if_ended(self, key: str, value: Raw) -> None:
        if key.startswith(ENDED_JOBS_PREFIX):
            self._on_job_ended(key, value)

    def _enforce_size_limit(self) -> None:
        if self.replica.size_bytes > self._max_bytes:
            self.replica = StoreReplica()
            self._set_state(FollowerState.OFF, f"replica larger than {self._max_bytes // 2**20} MB")

    def has_followed_for(self, duration_s: Seconds) -> bool:
        """Whether the replica was read at least `duration_s` ago and has been kept up to date since."""
        return self.state in (FollowerState.IN_SYNC, FollowerState.LEADING) and self.now - self._synced_at >= duration_s

    def resync(self, reason: str) -> None:
        """Discard a replica that may be wrong; it is read again before it is used."""
        if self.state in (FollowerState.IN_SYNC, FollowerState.LEADING):
            self.resync_count += 1
            self.replica = StoreReplica()
            self._set_state(FollowerState.SYNCING, reason)
            self._resume()

    def _resume(self) -> None:
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    # Evidence for deciding whether the leader has failed

    def leader_writes_per_s(self) -> float:
        """Return the leader's transactions per second over the last few seconds; see `LeaderActivity`."""
        return self._activity.writes_per_s()

    def leader_silence_s(self, since_at: Instant) -> Seconds:
        """Return for how long, from `since_at` on, the store is known to have received no write of a leader."""
        return self._activity.silence_s(since_at)

    async def poll_now(self, timeout_s: Seconds) -> None:
        """Poll the change feed now, in addition to the regular polls.

        Raises the errors of `StoreClient.watch`, except WatchCompactedError.
        """
        if self.is_in_sync:
            await self._poll_or_resync(timeout_s)

    # For a new leader

    async def catch_up_to(self, leader_revision: Revision) -> StoreReplica | None:
        """Return the replica, complete up to the revision of the new leader's own key.

        It then contains everything that earlier leaders stored. Returns None if the store must be read instead. Raises
        the errors of `StoreClient.watch`, except WatchCompactedError.
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
        """Use this replica for a term of this node, which reports its writes from now on.

        Without `has_ended_jobs` the replica lacks ended jobs; a term does not need them, so they are read in the
        background.
        """
        if self.state is not FollowerState.OFF:
            self.replica = replica
            self._began_leading_at = self.now
            self._set_state(FollowerState.LEADING, "term began")
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
            # Ended jobs are never deleted, so items that are read late cannot undo a deletion.
            for item in items:
                replica.put(item.key, item.value, item.mod_revision)
            return

    def apply_own_write(self, revision: Revision, changes: Sequence[Put | Delete]) -> None:
        """Apply the changes of a transaction of this node that was stored at this revision."""
        if self.state is not FollowerState.LEADING:
            return
        for change in changes:
            if isinstance(change, Put):
                self.replica.put(change.key, change.value, revision)
                self._report_if_ended(change.key, change.value)
            else:
                self.replica.delete(change.key, revision)

    def apply_read(self, key: str, item: Item | None) -> None:
        """Apply a key's item, or its absence, as read from the store after a transaction with an unknown outcome."""
        if self.state is not FollowerState.LEADING:
            return
        if item is not None:
            self.replica.put(item.key, item.value, item.mod_revision)
            self._report_if_ended(key, item.value)
        elif (current := self.replica.get(key)) is not None:
            self.replica.delete(key, Revision(current.mod_revision + 1))

    def apply_submission(self, key: str, value: Raw, revision: Revision) -> None:
        """Apply a record that this node stored for a user; the change feed will report it again.

        Ignored if the replica has reached the revision, since it may contain a later change of the record.
        """
        if self.state in (FollowerState.IN_SYNC, FollowerState.LEADING) and revision > self.replica.revision:
            self.replica.put(key, value, revision)

    def apply_events(self, events: Sequence[Event], revision: Revision) -> None:
        """Apply users' changes, as reported by the term's watch of open jobs."""
        if self.state is not FollowerState.LEADING:
            return
        for event in events:
            key = event.written_key
            # The watch may report an earlier change of a job that has since ended by a transaction of this node.
            if key is not None and self.replica.get(ENDED_JOBS_PREFIX + key[2:]) is None:
                self.replica.put(key, event.value, event.mod_revision)
        self.replica.revision = max(self.replica.revision, revision)

    def end_leading(self) -> None:
        """Start a full read after the end of this node's term.

        The read is necessary because transactions of this node without an answer may have been stored. Until it is
        complete, the replica stays unchanged and is not used.
        """
        if self.state is FollowerState.LEADING:
            self._is_own_term_replica = True
            self._set_state(FollowerState.SYNCING, "term ended")
            self._resume()

    # For a recovery after a loss of data

    def followed_revision(self) -> Revision:
        """Return the revision by which nodes compare whose replica from before a data loss is the most recent."""
        pre_loss = self.pre_loss_replica
        return pre_loss.known_revision() if pre_loss is not None else self.replica.revision

    def freeze(self, epoch: int, is_loss_before_replica: bool) -> None:
        """Stop following the store, which has lost data in this epoch, and keep the replica unchanged.

        With `is_loss_before_replica` the loss happened before the replica was read, so the replica lacks the lost data
        and is not kept.
        """
        if self.state in (FollowerState.OFF, FollowerState.FROZEN):
            return
        if is_loss_before_replica:
            self._set_state(FollowerState.FROZEN, "the state service lost data before the replica was read")
            return
        is_own_replica = self._is_own_replica()
        if self.pre_loss_replica is None or is_own_replica:
            self.pre_loss_replica = PreLossReplica(self.replica, epoch, is_own_replica)
        else:
            # Data was lost again during a recovery.
            self.pre_loss_replica.overlay(self.replica)
        self._set_state(FollowerState.FROZEN, "the state service has lost data")

    def _is_own_replica(self) -> bool:
        """Whether the replica is that of a term of this node, and therefore contains everything that was stored."""
        # A term that has just begun may have started from a store that had lost data, if other nodes noticed it first.
        if self.now - self._began_leading_at < ESTABLISHED_LEADER_S:
            return False
        if self.state is FollowerState.LEADING:
            return True
        return self.state is FollowerState.SYNCING and self._is_own_term_replica

    def unfreeze(self) -> None:
        """Discard the pre-loss replica once the recovery is complete, then read and follow the store again."""
        self.pre_loss_replica = None
        if self.state is FollowerState.FROZEN:
            self.replica = StoreReplica()
            self._set_state(FollowerState.SYNCING, "recovery complete")
            self._resume()

    def matches_counts(self, revision: Revision, counts: KeyCounts) -> bool:
        """Whether the counts equal those of the leader at this revision; also True if the own counts are not kept."""
        own_counts = self.replica.counts_at(revision) if self.is_in_sync else None
        return own_counts is None or own_counts == counts
