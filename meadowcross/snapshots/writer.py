"""Writes snapshots of what a follower has followed, in a thread of their own; never by a node that leads.

The picture is complete up to one revision at any moment between two looks at the feed, so each snapshot is of one
moment. A disk that is full or slow stops snapshots, with one line in the log and a count, and nothing else.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.threads import deferToThreadPool

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, NodeName, Revision, Seconds
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.snapshots import files

log = get_logger("snapshots")

MAX_CHAIN_LENGTH = 10
"""So many changes may follow a full snapshot: a chain is read as a whole, and breaks as one."""
MAX_SNAPSHOT_BYTES = 256 * 2**20
POLL_INTERVAL_S: Seconds = 1.0


class SnapshotWriter:
    def __init__(
        self,
        clock: Clock,
        follower: ReplicaFollower,
        node: NodeName,
        current_epoch: Callable[[], int | None],
        directory: str,
        interval_s: Seconds,
        keep_count: int,
        keep_duration_s: Seconds,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._node = node
        self._current_epoch = current_epoch
        self._directory = directory
        self._interval_s = interval_s
        self._keep_count = keep_count
        self._keep_duration_s = keep_duration_s
        self._last_revisions: dict[str, Revision] = {}
        """What the last snapshot holds, by key."""
        self._last_position: tuple[int, Revision] | None = None
        self._chain_length = 0
        self.written_count = 0
        self.failure_count = 0

    async def _in_thread(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Away from the loop, where it has threads."""
        reactor: Any = self._clock
        if not hasattr(reactor, "getThreadPool"):
            return function(*arguments)
        return await deferToThreadPool(reactor, reactor.getThreadPool(), function, *arguments)

    async def run(self) -> None:
        due_at = Instant(self._clock.seconds())
        while True:
            await pause(self._clock, POLL_INTERVAL_S)
            now = Instant(self._clock.seconds())
            epoch = self._current_epoch()
            if now < due_at or not self._follower.is_in_sync or epoch is None:
                continue
            due_at = Instant(now + self._interval_s)
            try:
                await self._write(epoch, now)
                if self.failure_count:
                    log.info("snapshots are written again, after %d that failed", self.failure_count)
                self.failure_count = 0
            except OSError as error:
                if not self.failure_count:
                    log.error("no snapshot could be written to %s: %s", self._directory, error)
                self.failure_count += 1
                self._last_position = None
            except Exception:
                log.exception("writing a snapshot failed")
                self._last_position = None

    async def _write(self, epoch: int, now: Instant) -> None:
        replica = self._follower.replica
        revision = replica.revision
        if self._last_position == (epoch, revision):
            return
        is_full = (
            self._last_position is None
            or self._last_position[0] != epoch
            or self._chain_length >= MAX_CHAIN_LENGTH
            or revision < self._last_position[1]
        )
        items = list(replica.all_items())
        revisions = {item.key: item.mod_revision for item in items}
        base_revision = Revision(0) if is_full or self._last_position is None else self._last_position[1]
        entries = [
            files.SnapshotEntry(item.key, item.mod_revision, item.value)
            for item in items
            if is_full or self._last_revisions.get(item.key) != item.mod_revision
        ]
        if not is_full:
            entries += [
                files.SnapshotEntry(key, revision, is_dropped=True)
                for key in self._last_revisions
                if key not in revisions
            ]
        manifest = files.Manifest(
            files.MANIFEST_KIND,
            files.FORMAT_VERSION,
            epoch,
            revision,
            base_revision,
            len(entries),
            0,
            "",
            self._node,
            now,
        )
        await self._in_thread(files.write_snapshot, self._directory, manifest, entries, MAX_SNAPSHOT_BYTES)
        self._last_revisions, self._last_position = revisions, (epoch, revision)
        self._chain_length = 0 if is_full else self._chain_length + 1
        self.written_count += 1
        log.debug("snapshot of revision %d: %d lines, %d bytes", revision, len(entries), manifest.size_bytes)
        if is_full:
            await self._in_thread(
                files.remove_old_snapshots, self._directory, self._keep_count, now - self._keep_duration_s
            )
