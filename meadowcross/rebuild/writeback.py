"""Writes back what a rebuild gathered, in the order in which it is needed, and says how far it has come.

Every piece is a unit of the term's group commit: conditional on the leader's key, on the era, and on the version that
the store had when it was read, so a rebuild that is killed at any step is gone on with by the next leader, and two
that meet can't undo each other.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.common.clock import Clock
from meadowcross.common.logging import logger
from meadowcross.common.types import JobId, Mark, Seconds, WallTime
from meadowcross.jobs import messages as jm
from meadowcross.jobs.book import Book
from meadowcross.rebuild.era import Eras
from meadowcross.rebuild.merge import Merged
from meadowcross.rebuild.messages import PROGRESS_KEY, Progress, Stage
from meadowcross.store import messages as sm
from meadowcross.store.commit import Built, Committer

log = logger("rebuild")

AT_ONCE = 200
"""So many ended jobs wait in the group commit at a time: what is decided meanwhile goes before them."""


class WriteBack:
    def __init__(
        self,
        clock: Clock,
        eras: Eras,
        merged: Merged,
        book: Book,
        committer: Committer,
        lost_wait_s: Seconds | None,
        on_open: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._eras = eras
        self._merged = merged
        self._book = book
        self._committer = committer
        self._lost_wait_s = lost_wait_s
        self._on_open = on_open
        self._left: set[str] = set()
        self._ended = {item.key: item for item in merged.missing("") if not item.key.startswith(_FIRST)}
        self._waiting: set[str] = set()
        self._began = clock.seconds()

    def begin(self) -> None:
        """Open jobs first: nothing is placed of a job whose record is not stored."""
        missing = [item for family in _FIRST for item in self._merged.missing(family)]
        self._left = {item.key for item in missing}
        for item in missing:
            if not item.key.startswith(jm.CHUNKS):
                self._add(item, True)
        for key in self._merged.stale():
            self._committer.add(("drop", key), lambda key=key: Built([], [sm.Drop(key)], lambda mark: None), False)  # type: ignore[misc]
        for item in missing:
            if item.key.startswith(jm.CHUNKS):
                job, chunk = jm.parse_chunk_key(item.key)
                known = self._book.jobs.get(job)
                if known is None:
                    self._left.discard(item.key)
                else:
                    # By the book, as it stands when the chunk's turn has come.
                    self._book.mark_dirty(known, known.chunk_range(chunk).start, False)
        self._advance()

    def _add(self, item: sm.Item, urgent: bool) -> None:
        def build() -> Built | None:
            if item.key not in self._left and item.key not in self._waiting:
                return None
            job = self._book.jobs.get(JobId(item.key.removeprefix(jm.OPEN))) if item.key.startswith(jm.OPEN) else None

            def done(mark: Mark) -> None:
                if job is not None:
                    job.mark = max(job.mark, mark)

            return Built([sm.Condition(item.key, item.mark)], [sm.Put(item.key, item.value)], done)

        self._committer.add(("back", item.key), build, urgent)

    def stored(self, key: str) -> None:
        """It is in the store now, or dropped, by our writing or anybody's."""
        if key in self._left or key in self._waiting:
            self._left.discard(key)
            self._waiting.discard(key)
            self._advance()

    def _advance(self) -> None:
        phase = self._eras.phase
        if phase is Stage.OPEN and not self._left:
            log.info("open jobs, tasks and machines are back after %.2f s", self._clock.seconds() - self._began)
            self._say(Stage.ENDED, self._on_open)
        elif phase is Stage.ENDED:
            while self._ended and len(self._waiting) < AT_ONCE:
                key, item = self._ended.popitem()
                self._waiting.add(key)
                self._add(item, False)
            if not self._ended and not self._waiting:
                log.info("all that was known is back after %.2f s", self._clock.seconds() - self._began)
                if self._merged.whole:
                    self._say(None, lambda: None)
                else:
                    self._say(Stage.SETTLING, lambda: None)

    def _say(self, phase: Stage | None, then: Callable[[], None]) -> None:
        record = self._eras.record
        assert record is not None
        until = None
        if phase is Stage.SETTLING and self._lost_wait_s is not None:
            until = WallTime(self._clock.seconds() + self._lost_wait_s)
        progress = Progress(record.number, phase, until) if phase is not None else None

        def build() -> Built | None:
            change = sm.Put(PROGRESS_KEY, sm.raw(progress)) if progress is not None else sm.Drop(PROGRESS_KEY)

            def done(mark: Mark) -> None:
                self._eras.now_at(progress)
                then()
                self._advance()

            return Built([], [change], done)

        self._committer.add(("progress", phase), build, True)


_FIRST = (jm.OPEN, "w/", jm.CHUNKS)
