"""Writes snapshots of a follower's replica of the store, off the reactor thread and never on the leader.

Between two polls of the feed the replica is complete up to one revision, so each snapshot is consistent. A full or slow
disk stops only the snapshots, with one line in the log.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.threads import deferToThreadPool

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, NodeName, Revision, Seconds
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.snapshots.files import (
    SnapshotEntry,
    SnapshotHeader,
    remove_old_snapshots,
    write_snapshot,
)
from meadowcross.store.messages import Item

log = get_logger("snapshots")

MAX_CHAIN_LENGTH = 10
"""Limit for the changes after a full snapshot: one broken change makes all later ones of its chain unusable."""
MAX_SNAPSHOT_BYTES = 256 * 2**20
"""Limit for the compressed data of one snapshot."""
POLL_INTERVAL_S: Seconds = 1.0
"""Time between checks whether a snapshot is due."""


@dataclass(frozen=True, slots=True)
class SnapshotSettings:
    """Where snapshots are written, how often, and how long they are kept."""

    directory: str
    interval_s: Seconds
    keep_count: int
    """Number of full snapshots that are kept, with their changes."""
    keep_duration_s: Seconds
    """Age above which a chain is removed."""


@dataclass(frozen=True, slots=True)
class _LastSnapshot:
    """The newest written snapshot, on which the next one builds."""

    epoch: int
    revision: Revision
    chain_length: int
    """Number of snapshots after the full one of the same chain."""
    key_revisions: dict[str, Revision]
    """Revision of each key at the snapshot."""


class SnapshotWriter:
    """Writes a snapshot at each interval while the follower is in sync."""

    def __init__(
        self,
        clock: Clock,
        follower: ReplicaFollower,
        node: NodeName,
        current_epoch: Callable[[], int | None],
        settings: SnapshotSettings,
    ) -> None:
        """`current_epoch` returns None while the store can't be relied on; no snapshot is written then."""
        self._clock = clock
        self._follower = follower
        self._node = node
        self._current_epoch = current_epoch
        self._settings = settings
        self._last: _LastSnapshot | None = None
        """None: the next snapshot must be a full one."""
        self._failure_count = 0
        """Number of consecutive failures."""

    async def run(self) -> None:
        """Write a snapshot whenever one is due, without end. Errors are logged."""
        due_at = Instant(self._clock.seconds())
        while True:
            await pause(self._clock, POLL_INTERVAL_S)
            now = Instant(self._clock.seconds())
            epoch = self._current_epoch()
            if now < due_at or not self._follower.is_in_sync or epoch is None:
                continue
            due_at = Instant(now + self._settings.interval_s)
            await self._try_write(epoch, now)

    async def _try_write(self, epoch: int, now: Instant) -> None:
        try:
            await self._write(epoch, now)
        except OSError as error:
            self._last = None
            if not self._failure_count:
                # A full disk is expected, so only its first failure is logged, without a traceback.
                log.error("snapshot_failed directory=%s error=%s", self._settings.directory, error)
            self._failure_count += 1
        except Exception:
            # An unexpected error must not end the loop; the next snapshot is a full one.
            self._last = None
            log.exception("snapshot_error")
        else:
            if self._failure_count:
                log.info("snapshots_resumed failures=%d", self._failure_count)
            self._failure_count = 0

    async def _write(self, epoch: int, now: Instant) -> None:
        replica = self._follower.replica
        revision = replica.revision
        if self._last is not None and (self._last.epoch, self._last.revision) == (epoch, revision):
            return
        base = self._find_base(epoch, revision)
        items = list(replica.all_items())
        entries = _full_entries(items) if base is None else _changed_entries(items, base, revision)
        base_revision = Revision(0) if base is None else base.revision
        header = SnapshotHeader(epoch, revision, base_revision, self._node, now)
        manifest = await self._in_thread(write_snapshot, self._settings.directory, header, entries, MAX_SNAPSHOT_BYTES)
        chain_length = 0 if base is None else base.chain_length + 1
        key_revisions = {item.key: item.mod_revision for item in items}
        self._last = _LastSnapshot(epoch, revision, chain_length, key_revisions)
        log.debug("snapshot_written revision=%d entries=%d bytes=%d", revision, len(entries), manifest.size_bytes)
        if base is None:
            oldest_at = now - self._settings.keep_duration_s
            await self._in_thread(remove_old_snapshots, self._settings.directory, self._settings.keep_count, oldest_at)

    def _find_base(self, epoch: int, revision: Revision) -> _LastSnapshot | None:
        """Return the snapshot on which one at this revision may build; None: a full snapshot is due."""
        last = self._last
        if last is None or last.epoch != epoch or last.revision > revision:
            return None
        return last if last.chain_length < MAX_CHAIN_LENGTH else None

    async def _in_thread(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Run a blocking function in the reactor's thread pool, or directly on a simulated clock without one."""
        reactor: Any = self._clock
        if not hasattr(reactor, "getThreadPool"):
            return function(*arguments)
        return await deferToThreadPool(reactor, reactor.getThreadPool(), function, *arguments)


def _full_entries(items: Sequence[Item]) -> list[SnapshotEntry]:
    return [SnapshotEntry(item.key, item.mod_revision, item.value) for item in items]


def _changed_entries(items: Sequence[Item], base: _LastSnapshot, revision: Revision) -> list[SnapshotEntry]:
    """Return the entries of all keys that were written or deleted since the base."""
    base_revisions = base.key_revisions
    written_items = [item for item in items if base_revisions.get(item.key) != item.mod_revision]
    present_keys = {item.key for item in items}
    deleted_keys = [key for key in base_revisions if key not in present_keys]
    return _full_entries(written_items) + [SnapshotEntry(key, revision, is_deleted=True) for key in deleted_keys]
