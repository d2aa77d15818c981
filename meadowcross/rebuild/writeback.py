"""Writes back what a rebuild gathered, in the order in which it is needed, and says how far it has come.

Every piece is a unit of the term's group commit: conditional on the leader's key, on the era, and on the version that
the store had when it was read, so a rebuild that is killed at any step is gone on with by the next leader, and two
that meet can't undo each other.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Raw
from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import JobId, Mark, Seconds, WallTime
from meadowcross.jobs import messages as jm
from meadowcross.jobs.book import Book
from meadowcross.rebuild.era import Eras
from meadowcross.rebuild.gather import Rebuild
from meadowcross.rebuild.merge import Merged
from meadowcross.rebuild.messages import PROGRESS_KEY, Progress, Stage
from meadowcross.store import messages as sm
from meadowcross.store.client import Refused, Unavailable, Unknown
from meadowcross.store.commit import Built, Committer

log = logger("rebuild")

LATE_S: Seconds = 1.0
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
        rebuild: Rebuild,
        on_open: Callable[[], None],
        on_late: Callable[[str, Raw, Mark], None],
    ) -> None:
        """`on_late` is told of an open job that came back late, once it is stored."""
        self._clock = clock
        self._eras = eras
        self._merged = merged
        self._book = book
        self._committer = committer
        self._rebuild = rebuild
        self._on_late = on_late
        self._stopped = False
        self._on_open = on_open
        self._left: set[str] = set()
        self._ended = {item.key: item for item in merged.missing("") if not item.key.startswith(_FIRST)}
        self._waiting: set[str] = set()
        self._began = clock.seconds()

    def begin(self) -> None:
        """Open jobs first: nothing is placed of a job whose record is not stored. Users are told to come again
        meanwhile, so more of the store's rate is ours than a leader has else."""
        self._rebuild.hurry(True)
        missing = [item for family in _FIRST for item in self._merged.missing(family)]
        self._left = {item.key for item in missing}
        for item in missing:
            if not item.key.startswith(jm.CHUNKS):
                # Machines are known to all who followed; 600 of them before the first placement cost 6 s.
                self._add(item, item.key.startswith(jm.OPEN))
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
        if self._rebuild.unheard:
            log.info("still to be asked: %s", ", ".join(sorted(self._rebuild.unheard)))
            Deferred.fromCoroutine(self._ask_late())

    def stop(self) -> None:
        self._stopped = True

    async def _ask_late(self) -> None:
        """Whoever could not be asked may know of ends and jobs that nobody else does: nothing is concluded before,
        for as long as the operators want to wait for lost jobs."""
        while self._rebuild.unheard and not self._stopped and not self._waited_enough():
            await pause(self._clock, LATE_S)
            try:
                merged = await self._rebuild.late()
            except (Unavailable, Unknown, Refused) as error:
                log.debug("late pictures wait: %s", error)
                continue
            if merged is None or self._stopped:
                continue
            for item in merged.missing(""):
                if item.key.startswith(jm.OPEN) and JobId(item.key.removeprefix(jm.OPEN)) not in self._book.jobs:
                    log.info("%s came back late", item.key)
                    self._left.add(item.key)
                    self._add(item, True)
                elif not item.key.startswith(_FIRST):
                    self._ended.setdefault(item.key, item)
            self._advance()
        self._advance()

    def _waited_enough(self) -> bool:
        wait = self._rebuild.lost_wait_s
        return wait is not None and self._clock.seconds() - self._began > wait

    def _add(self, item: sm.Item, urgent: bool) -> None:
        def build() -> Built | None:
            if item.key not in self._left and item.key not in self._waiting:
                return None
            job = self._book.jobs.get(JobId(item.key.removeprefix(jm.OPEN))) if item.key.startswith(jm.OPEN) else None
            if job is not None and job.ending:
                # Over before its turn came: in one transaction with its end its record once stayed, open and ended.
                return None

            def done(mark: Mark) -> None:
                if job is not None:
                    job.mark = max(job.mark, mark)
                elif item.key.startswith(jm.OPEN):
                    self._on_late(item.key, item.value, mark)

            conditions = [sm.Condition(item.key, item.mark)]
            if item.key.startswith(jm.OPEN):
                # Carried out late, once the job has ended, the key is absent again: such a job began anew.
                conditions.append(sm.Condition(jm.ended_key(JobId(item.key.removeprefix(jm.OPEN))), Mark(0)))
            return Built(conditions, [sm.Put(item.key, item.value)], done)

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
            if not self._ended and not self._waiting and (not self._rebuild.unheard or self._waited_enough()):
                log.info("all that was known is back after %.2f s", self._clock.seconds() - self._began)
                self._rebuild.hurry(False)
                if self._merged.whole and self._rebuild.all_told():
                    self._say(None, lambda: None)
                else:
                    self._say(Stage.SETTLING, lambda: None)

    def _say(self, phase: Stage | None, then: Callable[[], None]) -> None:
        record = self._eras.record
        assert record is not None
        until = None
        wait = self._rebuild.lost_wait_s
        if phase is Stage.SETTLING and wait is not None:
            until = WallTime(self._clock.seconds() + wait)
        progress = Progress(record.number, phase, until) if phase is not None else None

        def build() -> Built | None:
            change = sm.Put(PROGRESS_KEY, sm.raw(progress)) if progress is not None else sm.Drop(PROGRESS_KEY)

            def done(mark: Mark) -> None:
                self._eras.now_at(progress, mark)
                then()
                self._advance()

            return Built([self._eras.progress_stands()], [change], done)

        self._committer.add(("progress", phase), build, True)


_FIRST = (jm.OPEN, "w/", jm.CHUNKS)
