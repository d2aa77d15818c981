"""Storing jobs: changed chunks, ended jobs, keys to drop, each a unit of the group commit."""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.common.clock import Clock
from meadowcross.common.logging import logger
from meadowcross.common.types import Mark
from meadowcross.jobs import messages as jm
from meadowcross.jobs.book import Book, Job, Phase, Placement
from meadowcross.store import messages as sm
from meadowcross.store.commit import Built, Committer

log = logger("jobs")


class Keeper:
    def __init__(
        self,
        clock: Clock,
        book: Book,
        committer: Committer,
        max_changes: int,
        on_stored: Callable[[Placement], None],
        on_ended: Callable[[Job], None],
    ) -> None:
        self._clock = clock
        self._book = book
        self._committer = committer
        self._max_changes = max_changes
        self._on_stored = on_stored
        self._on_ended = on_ended

    def check_end(self, job: Job) -> bool:
        """Queue the move to the ended key once nothing of the job is left to do."""
        if job.ending or not (job.complete or (job.cancel_read and not job.placed)):
            return job.ending
        job.ending = True
        self._committer.add(("end", job.id), lambda: self._build_end(job), True)
        return True

    def _build_end(self, job: Job) -> Built | None:
        if job.id not in self._book.jobs:
            return None
        standing = jm.Standing.CANCELLED if job.cancelled is not None else jm.Standing.DONE
        key = jm.open_key(job.id)
        ended = jm.EndedRecord(standing, job.spec.tasks)
        changes: list[sm.Put | sm.Drop] = [sm.Put(jm.ended_key(job.id), sm.raw(ended)), sm.Drop(key)]
        chunks = [jm.chunk_key(job.id, chunk) for chunk in job.chunk_marks]
        with_it = chunks[: self._max_changes - len(changes)]
        changes.extend(sm.Drop(chunk) for chunk in with_it)

        def done(mark: Mark) -> None:
            log.info("job %s ended: %s%s", job.id, standing.value, self._lateness(job))
            for chunk in chunks[len(with_it) :]:
                self.drop_later(chunk)
            self._book.remove(job.id)
            self._on_ended(job)

        return Built([sm.Condition(key, job.mark)], changes, done)

    def _lateness(self, job: Job) -> str:
        took = self._clock.seconds() - job.submitted
        due = job.spec.deadline_s
        return f", {took:.0f} s after its submission" + (f", due after {due:.0f} s" if due is not None else "")

    def drop_later(self, key: str) -> None:
        self._committer.add(("drop", key), lambda: Built([], [sm.Drop(key)], lambda mark: None), False)

    def flush(self) -> None:
        """Queue the chunks that changed."""
        for (job_id, chunk), urgent in list(self._book.dirty.items()):
            job = self._book.jobs.get(job_id)
            if job is not None:
                self._committer.add(("chunk", job_id, chunk), self._chunk_builder(job, chunk), urgent)
        self._book.dirty.clear()

    def _chunk_builder(self, job: Job, chunk: int) -> Callable[[], Built | None]:
        def build() -> Built | None:
            if job.ending or job.id not in self._book.jobs:
                return None
            key = jm.chunk_key(job.id, chunk)
            indexes = job.chunk_range(chunk)
            storing = [p for i in indexes if (p := job.placed.get(i)) is not None and p.phase is Phase.STORING]
            done_now = [i for i in indexes if job.done[i] and i not in job.stored_done]
            conditions = [sm.Condition(key, job.chunk_marks.get(chunk, Mark(0)))]
            if storing:
                # Not stored, and so never started, if the job was cancelled meanwhile.
                conditions.append(sm.Condition(jm.open_key(job.id), job.mark))

            def done(mark: Mark) -> None:
                job.chunk_marks[chunk] = mark
                job.stored_done.update(done_now)
                for placement in storing:
                    self._on_stored(placement)

            return Built(conditions, [sm.Put(key, sm.raw(job.chunk_entries(chunk)))], done)

        return build
