"""Writes snapshots of what a follower has followed, in a thread of their own; never by a node that leads.

The picture is complete up to one revision at any moment between two looks at the feed, so each snapshot is of one
moment. A disk that is full or slow stops snapshots, with one line in the log and a count, and nothing else.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.threads import deferToThreadPool

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import Instant, Mark, NodeName, Seconds
from meadowcross.replica.follower import Follower
from meadowcross.snapshots import files

log = logger("snapshots")

CHAIN = 10
"""So many changes may follow a full snapshot: a chain is read as a whole, and breaks as one."""
MOST_BYTES = 256 * 2**20
LOOK_S: Seconds = 1.0


class Writer:
    def __init__(
        self,
        clock: Clock,
        follower: Follower,
        node: NodeName,
        era: Callable[[], int | None],
        directory: str,
        every_s: Seconds,
        keep: int,
        keep_s: Seconds,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._node = node
        self._era = era
        self._directory = directory
        self._every_s = every_s
        self._keep = keep
        self._keep_s = keep_s
        self._last: dict[str, Mark] = {}
        """What the last snapshot holds, by key."""
        self._at: tuple[int, Mark] | None = None
        self._chain = 0
        self.written = 0
        self.failed = 0

    async def _in_thread(self, work: Callable[..., Any], *arguments: Any) -> Any:
        """Away from the loop, where it has threads."""
        pool: Any = self._clock
        if not hasattr(pool, "getThreadPool"):
            return work(*arguments)
        return await deferToThreadPool(pool, pool.getThreadPool(), work, *arguments)

    async def run(self) -> None:
        due = Instant(self._clock.seconds())
        while True:
            await pause(self._clock, LOOK_S)
            now = Instant(self._clock.seconds())
            era = self._era()
            if now < due or not self._follower.warm or era is None:
                continue
            due = Instant(now + self._every_s)
            try:
                await self._write(era, now)
                if self.failed:
                    log.info("snapshots are written again, after %d that failed", self.failed)
                self.failed = 0
            except OSError as error:
                if not self.failed:
                    log.error("no snapshot could be written to %s: %s", self._directory, error)
                self.failed += 1
                self._at = None
            except Exception:
                log.exception("writing a snapshot failed")
                self._at = None

    async def _write(self, era: int, now: Instant) -> None:
        picture = self._follower.picture
        revision = picture.revision
        if self._at == (era, revision):
            return
        full = self._at is None or self._at[0] != era or self._chain >= CHAIN or revision < self._at[1]
        items = list(picture.entries())
        marks = {item.key: item.mark for item in items}
        after = Mark(0) if full or self._at is None else self._at[1]
        lines = [
            files.Line(item.key, item.mark, item.value)
            for item in items
            if full or self._last.get(item.key) != item.mark
        ]
        if not full:
            lines += [files.Line(key, revision, dropped=True) for key in self._last if key not in marks]
        manifest = files.Manifest(files.KIND, files.FORMAT, era, revision, after, len(lines), 0, "", self._node, now)
        await self._in_thread(files.write, self._directory, manifest, lines, MOST_BYTES)
        self._last, self._at = marks, (era, revision)
        self._chain = 0 if full else self._chain + 1
        self.written += 1
        log.debug("snapshot of revision %d: %d lines, %d bytes", revision, len(lines), manifest.size)
        if full:
            await self._in_thread(files.remove_old, self._directory, self._keep, now - self._keep_s)
