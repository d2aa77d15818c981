"""Follows the store: one full read, then its feed of changes, at a bounded pace.

A node that leads is told of its own writes instead, which costs no request, and follows again when its term ends.
A node that is short of memory lets the picture go; one whose own timers come late asks less often.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple

from msgspec import Raw
from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, Revision, Seconds
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
"""Between two looks at the feed: two and a half requests a second at the most, whatever changes."""
MAX_POLL_INTERVAL_S: Seconds = 2.0
OVERLOAD_DELAY_S: Seconds = 0.5
"""A timer this late tells that this process has no time to spare."""
WATCH_TIMEOUT_S: Seconds = 5.0
RETRY_DELAY_S: Seconds = 1.0
WRITE_RATE_WINDOW_S: Seconds = 5.0
"""How often the leader writes is counted over so long."""
ESTABLISHED_LEADER_S: Seconds = 5.0
"""Peers that noticed a loss tell within a beat of a second, once they are heard."""
ENDED_JOBS_PREFIX = "e/"
LEADER_PREFIXES = ("t/", "w/", ENDED_JOBS_PREFIX)
"""Only a leader writes below these."""


class FollowerState(Enum):
    SYNCING = "cold"
    IN_SYNC = "warm"
    LEADING = "leading"
    FROZEN = "frozen"
    """The store has lost data: what was followed before is kept for the rebuild."""
    OFF = "off"


class PreLossReplica(NamedTuple):
    """A picture of before a loss."""

    replica: StoreReplica
    epoch: int
    is_complete: bool
    """This node led: its picture lacks nothing that was stored."""


class ReplicaFollower:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        max_bytes: int,
        on_job_ended: Callable[[str, Raw], None] = lambda key, value: None,
    ) -> None:
        """`ended` is told of each ended job once its key is in the picture: followed, or written by us."""
        self._on_job_ended = on_job_ended
        self._clock = clock
        self._store = store
        self._max_bytes = max_bytes
        self.replica = StoreReplica()
        self.state = FollowerState.SYNCING
        self._poll_interval_s: Seconds = POLL_INTERVAL_S
        self._leader_writes: deque[tuple[Instant, int]] = deque()
        self._last_poll_at = Instant(0.0)
        self._last_leader_write_at = Instant(0.0)
        self._resumed: Deferred[None] | None = None
        self.pre_loss_replica: PreLossReplica | None = None
        self._synced_at = self._began_leading_at = Instant(0.0)
        self._is_own_term_replica = False
        """The picture is that of our own last term, not read since."""
        self.resync_count = 0
        """How often the picture was read anew after the first time."""

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    @property
    def is_in_sync(self) -> bool:
        return self.state is FollowerState.IN_SYNC

    def get(self, key: str) -> Item | None:
        """As the picture has it, which may lag behind the store."""
        return self.replica.get(key)

    def _set_state(self, state: FollowerState, reason: str) -> None:
        if state is not self.state:
            log.info(
                "replica %s: %s (%d keys, about %d KB, revision %d)",
                state.value,
                reason,
                sum(self.replica.counts()),
                self.replica.size_bytes // 1024,
                self.replica.revision,
            )
            self.state = state

    async def run(self) -> None:
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
                log.debug("replica waits: %s", error)
                await pause(self._clock, RETRY_DELAY_S)
            except RequestRejectedError as error:
                self._set_state(FollowerState.OFF, f"the state service refuses to be followed: {error}")
            except Exception:
                log.exception("following failed")
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
        # Who is late itself asks less often, down to a bound, until it keeps up again.
        is_late = self.now - due_at > OVERLOAD_DELAY_S
        self._poll_interval_s = (
            min(MAX_POLL_INTERVAL_S, 2 * self._poll_interval_s)
            if is_late
            else max(POLL_INTERVAL_S, self._poll_interval_s / 2)
        )
        if self.state is FollowerState.IN_SYNC:
            await self._poll_feed(WATCH_TIMEOUT_S)

    async def _poll_feed(self, timeout_s: Seconds) -> bool:
        """Take in what has changed; waits at most so long for something. False: nothing new."""
        requested_at = self.now
        replica = self.replica
        feed = await self._store.watch("", replica.revision, timeout_s)
        if replica is not self.replica or self.state is not FollowerState.IN_SYNC:
            return False
        self._last_poll_at = max(self._last_poll_at, requested_at) if not feed.events else self.now
        self._record_leader_writes(feed.events, replica.revision)
        has_changed = replica.apply_events(feed.events, feed.revision)
        for event in feed.events:
            if event.written_key is not None and event.written_key.startswith(ENDED_JOBS_PREFIX):
                self._on_job_ended(event.written_key, event.value)
        self._enforce_size_limit()
        return has_changed

    def _record_leader_writes(self, events: Sequence[Event], since_revision: Revision) -> None:
        revisions = {
            event.mod_revision
            for event in events
            if event.mod_revision > since_revision and event.key.startswith(LEADER_PREFIXES)
        }
        if revisions:
            self._last_leader_write_at = self.now
            self._leader_writes.append((self.now, len(revisions)))
        while self._leader_writes and self.now - self._leader_writes[0][0] > WRITE_RATE_WINDOW_S:
            self._leader_writes.popleft()

    def _enforce_size_limit(self) -> None:
        if self.replica.size_bytes > self._max_bytes:
            self.replica = StoreReplica()
            self._set_state(FollowerState.OFF, f"it would take more than {self._max_bytes // 2**20} MB")

    def has_followed_for(self, duration_s: Seconds) -> bool:
        """Whether the picture goes back at least so far."""
        return self.state in (FollowerState.IN_SYNC, FollowerState.LEADING) and self.now - self._synced_at >= duration_s

    def resync(self, reason: str) -> None:
        """The picture can't be relied on: read anew before it is used again."""
        if self.state in (FollowerState.IN_SYNC, FollowerState.LEADING):
            self.resync_count += 1
            self.replica = StoreReplica()
            self._set_state(FollowerState.SYNCING, reason)
            self._resume()

    def _resume(self) -> None:
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    # For whoever wonders whether the leader still lives

    def leader_writes_per_s(self) -> float:
        """Transactions a second that a leader stored lately."""
        return (
            sum(count for at, count in self._leader_writes if self.now - at <= WRITE_RATE_WINDOW_S)
            / WRITE_RATE_WINDOW_S
        )

    def leader_silence_s(self, since_at: Instant) -> Seconds:
        """For how long, from `since` on, the store is known to have taken nothing from a leader."""
        return max(0.0, self._last_poll_at - max(since_at, self._last_leader_write_at))

    async def poll_now(self, timeout_s: Seconds) -> None:
        """Look at the feed now, beside the usual pace. Raises what the store client raises."""
        if self.state is FollowerState.IN_SYNC:
            try:
                await self._poll_feed(timeout_s)
            except WatchCompactedError:
                self.resync("the feed no longer reaches back")

    # For a new leader

    async def catch_up_to(self, leader_revision: Revision) -> StoreReplica | None:
        """The picture, complete up to the revision of the new leader's own key, so that it holds all that
        earlier leaders stored; None: read everything. Raises what the store client raises."""
        if self.state is not FollowerState.IN_SYNC:
            return None
        replica = self.replica
        if replica.revision < leader_revision:
            try:
                await self._poll_feed(0.0)
            except WatchCompactedError:
                self.resync("the feed no longer reaches back")
                return None
        if self.state is not FollowerState.IN_SYNC or replica is not self.replica or replica.revision < leader_revision:
            log.info(
                "replica not used: it reaches revision %d, the leader's key has %d", replica.revision, leader_revision
            )
            return None
        return replica

    def begin_leading(self, replica: StoreReplica, has_ended_jobs: bool) -> None:
        """A term begins with this picture, and tells of what it writes and sees; not `whole`: ended jobs, which
        no term needs, are still to be read."""
        if self.state is not FollowerState.OFF:
            self.replica = replica
            self._began_leading_at = self.now
            self._set_state(FollowerState.LEADING, "this node leads")
            if not has_ended_jobs:
                Deferred.fromCoroutine(self._read_ended_jobs(replica))

    async def _read_ended_jobs(self, replica: StoreReplica) -> None:
        while self.state is FollowerState.LEADING and replica is self.replica:
            try:
                # They are never dropped, so what is read late can undo nothing.
                for item in (await self._store.list_items(ENDED_JOBS_PREFIX, RequestPriority.BACKGROUND))[0]:
                    replica.put(item.key, item.value, item.mod_revision)
                return
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("ended jobs not read yet: %s", error)
                await pause(self._clock, RETRY_DELAY_S)

    def apply_own_write(self, revision: Revision, changes: Sequence[Put | Delete]) -> None:
        """Our own transaction was stored."""
        if self.state is FollowerState.LEADING:
            for change in changes:
                if isinstance(change, Put):
                    self.replica.put(change.key, change.value, revision)
                    if change.key.startswith(ENDED_JOBS_PREFIX):
                        self._on_job_ended(change.key, change.value)
                else:
                    self.replica.drop(change.key, revision)

    def apply_read(self, key: str, item: Item | None) -> None:
        """What a key holds, read after a transaction whose outcome was not known."""
        if self.state is FollowerState.LEADING:
            if item is not None:
                self.replica.put(item.key, item.value, item.mod_revision)
                if key.startswith(ENDED_JOBS_PREFIX):
                    self._on_job_ended(key, item.value)
            elif (current := self.replica.get(key)) is not None:
                self.replica.drop(key, Revision(current.mod_revision + 1))

    def apply_submission(self, key: str, value: Raw, revision: Revision) -> None:
        """This node stored something for a user; the feed will tell it again. Nobody else may know it yet. Where the
        feed was faster it has told already what became of it."""
        if self.state in (FollowerState.IN_SYNC, FollowerState.LEADING) and revision > self.replica.revision:
            self.replica.put(key, value, revision)

    def followed_revision(self) -> Revision:
        """For whoever asks who knows most of the store as it was before a loss; a leader knows all."""
        pre_loss = self.pre_loss_replica
        if pre_loss is None:
            return self.replica.revision
        return Revision(pre_loss.replica.newest_revision + 1) if pre_loss.is_complete else pre_loss.replica.revision

    def apply_events(self, events: Sequence[Event], revision: Revision) -> None:
        """What users stored, as the term's own watch of open jobs tells it."""
        if self.state is FollowerState.LEADING:
            for event in events:
                # What has ended by our own transaction is over, though the watch tells only now how it changed before.
                if (
                    event.written_key is not None
                    and self.replica.get(ENDED_JOBS_PREFIX + event.written_key[2:]) is None
                ):
                    self.replica.put(event.written_key, event.value, event.mod_revision)
            self.replica.revision = max(self.replica.revision, revision)

    def end_leading(self) -> None:
        """The term is over. Transactions of ours without an answer may have been stored, so all is read again;
        until then the picture stays as it was, and is not used."""
        if self.state is FollowerState.LEADING:
            self._is_own_term_replica = True
            self._set_state(FollowerState.SYNCING, "the term is over")
            self._resume()

    def freeze(self, epoch: int, is_loss_older: bool) -> None:
        """The store has lost data in this era: what was followed is kept as it is, and nothing follows. `old`: the
        loss came before, so the picture is of what was left."""
        if self.state in (FollowerState.OFF, FollowerState.FROZEN):
            return
        if is_loss_older:
            self._set_state(FollowerState.FROZEN, "the state service lost data before it was followed")
            return
        # Whoever just began to lead may have begun on what was left already: others noticed before.
        is_established_leader = self.now - self._began_leading_at >= ESTABLISHED_LEADER_S
        is_own_replica = is_established_leader and (
            self.state is FollowerState.LEADING or (self.state is FollowerState.SYNCING and self._is_own_term_replica)
        )
        if self.pre_loss_replica is None or is_own_replica:
            self.pre_loss_replica = PreLossReplica(self.replica, epoch, is_own_replica)
        else:
            # Lost again, in the middle of a rebuild: what came back so far goes on top of what was known before.
            retained = self.pre_loss_replica.replica
            base_revision = retained.revision
            for item in self.replica.all_items():
                retained.put(item.key, item.value, Revision(base_revision + item.mod_revision))
            retained.revision = Revision(base_revision + self.replica.revision)
        self._set_state(FollowerState.FROZEN, "the state service has lost data")

    def unfreeze(self) -> None:
        """All is back, or known to be gone: read and follow the store as it is now."""
        self.pre_loss_replica = None
        if self.state is FollowerState.FROZEN:
            self.replica = StoreReplica()
            self._set_state(FollowerState.SYNCING, "the rebuild is done")
            self._resume()

    def matches_counts(self, revision: Revision, counts: KeyCounts) -> bool:
        """Compare with what the leader counted; True also where that revision is not remembered."""
        own_counts = self.replica.counts_at(revision) if self.state is FollowerState.IN_SYNC else None
        return own_counts is None or own_counts == counts
