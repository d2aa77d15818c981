"""Writes snapshots of a follower's replica of the store, off the reactor thread; never on a node that leads.

Between two polls of the feed the replica is complete up to one revision, so each snapshot is of one moment. A disk
that is full or slow stops snapshots, with one line in the log, and nothing else.
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
"""So many changes may follow a full snapshot: a chain is read as a whole, and breaks as one."""
MAX_SNAPSHOT_BYTES = 256 * 2**20
POLL_INTERVAL_S: Seconds = 1.0


@dataclass(frozen=True, slots=True)
class SnapshotSettings:
    """Where snapshots are written, how often, and how long they are kept."""

    directory: str
    interval_s: Seconds
    keep_count: int
    """How many full snapshots stay, with their changes."""
    keep_duration_s: Seconds


@dataclass(frozen=True, slots=True)
class _LastSnapshot:
    """The newest snapshot written, on which the next one builds."""

    epoch: int
    revision: Revision
    chain_length: int
    """Changes written since the full snapshot."""
    key_revisions: dict[str, Revision]


class SnapshotWriter:
    """Writes a snapshot at each interval, as long as the follower is in sync."""

    def __init__(
        self,
        clock: Clock,
        follower: ReplicaFollower,
        node: NodeName,
        current_epoch: Callable[[], int | None],
        settings: SnapshotSettings,
    ) -> None:
        """`current_epoch` returns None while the store can't be relied on; nothing is written then."""
        self._clock = clock
        self._follower = follower
        self._node = node
        self._current_epoch = current_epoch
        self._settings = settings
        self._last: _LastSnapshot | None = None
        """None: the next snapshot must be a full one."""
        self._failure_count = 0
        """Snapshots that failed in a row."""

    async def run(self) -> None:
        """Write snapshots for ever."""
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
                # A full disk is one line, not a traceback.
                log.error("snapshot_failed directory=%s error=%s", self._settings.directory, error)
            self._failure_count += 1
        except Exception:
            # The loop goes on; the next snapshot is a full one.
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
        """The snapshot on which one of this revision may build; None: a full one is due."""
        last = self._last
        if last is None or last.epoch != epoch or last.revision > revision:
            return None
        return last if last.chain_length < MAX_CHAIN_LENGTH else None

    async def _in_thread(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Run a blocking function off the reactor thread; in simulated time, which has no threads, at once."""
        reactor: Any = self._clock
        if not hasattr(reactor, "getThreadPool"):
            return function(*arguments)
        return await deferToThreadPool(reactor, reactor.getThreadPool(), function, *arguments)


def _full_entries(items: Sequence[Item]) -> list[SnapshotEntry]:
    return [SnapshotEntry(item.key, item.mod_revision, item.value) for item in items]


def _changed_entries(items: Sequence[Item], base: _LastSnapshot, revision: Revision) -> list[SnapshotEntry]:
    """What was written or dropped since the base."""
    known = base.key_revisions
    written = [item for item in items if known.get(item.key) != item.mod_revision]
    present_keys = {item.key for item in items}
    dropped_keys = [key for key in known if key not in present_keys]
    return _full_entries(written) + [SnapshotEntry(key, revision, is_dropped=True) for key in dropped_keys]
