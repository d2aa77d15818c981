"""Storing jobs: changed chunks, ended jobs, keys to drop, each a unit of the group commit."""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Revision
from meadowcross.jobs import messages as jm
from meadowcross.jobs.job_table import Job, JobTable, Placement, PlacementPhase
from meadowcross.store import messages as sm
from meadowcross.store.group_commit import GroupCommitter, Write

log = get_logger("jobs")


class JobWriter:
    def __init__(
        self,
        clock: Clock,
        job_table: JobTable,
        committer: GroupCommitter,
        max_changes: int,
        on_stored: Callable[[Placement], None],
        on_ended: Callable[[Job], None],
    ) -> None:
        self._clock = clock
        self._job_table = job_table
        self._committer = committer
        self._max_changes = max_changes
        self._on_stored = on_stored
        self._on_ended = on_ended

    def enqueue_end_if_due(self, job: Job) -> bool:
        """Queue the move to the ended key once nothing of the job is left to do."""
        if job.is_ending or not (job.is_complete or (job.is_cancel_stored and not job.placements)):
            return job.is_ending
        job.is_ending = True
        self._committer.enqueue(("end", job.id), lambda: self._build_end(job), True)
        return True

    def _build_end(self, job: Job) -> Write | None:
        if job.id not in self._job_table.jobs:
            return None
        state = jm.JobState.CANCELLED if job.cancelled_at is not None else jm.JobState.DONE
        key = jm.open_key(job.id)
        ended = jm.EndedRecord(state, job.spec.tasks)
        changes: list[sm.Put | sm.Delete] = [sm.Put(jm.ended_key(job.id), sm.encode_raw(ended)), sm.Delete(key)]
        chunks = [jm.chunk_key(job.id, chunk) for chunk in job.chunk_revisions]
        deleted_at_once = chunks[: self._max_changes - len(changes)]
        changes.extend(sm.Delete(chunk) for chunk in deleted_at_once)

        def on_stored(revision: Revision) -> None:
            log.info("job %s ended: %s%s", job.id, state.value, self._describe_duration(job))
            for chunk in chunks[len(deleted_at_once) :]:
                self.enqueue_delete(chunk)
            self._job_table.remove(job.id)
            self._on_ended(job)

        return Write([sm.Condition(key, job.mod_revision)], changes, on_stored)

    def _describe_duration(self, job: Job) -> str:
        elapsed_s = self._clock.seconds() - job.submitted_at
        deadline_s = job.spec.deadline_s
        return f", {elapsed_s:.0f} s after its submission" + (
            f", due after {deadline_s:.0f} s" if deadline_s is not None else ""
        )

    def enqueue_delete(self, key: str) -> None:
        self._committer.enqueue(("drop", key), lambda: Write([], [sm.Delete(key)], lambda mark: None), False)

    def enqueue_dirty_chunks(self) -> None:
        """Queue the chunks that changed."""
        for (job_id, chunk), is_urgent in list(self._job_table.dirty_chunks.items()):
            job = self._job_table.jobs.get(job_id)
            if job is not None:
                self._committer.enqueue(("chunk", job_id, chunk), self._chunk_write_factory(job, chunk), is_urgent)
        self._job_table.dirty_chunks.clear()

    def _chunk_write_factory(self, job: Job, chunk: int) -> Callable[[], Write | None]:
        def build() -> Write | None:
            if job.is_ending or job.id not in self._job_table.jobs:
                return None
            key = jm.chunk_key(job.id, chunk)
            indexes = job.chunk_range(chunk)
            storing = [
                p for i in indexes if (p := job.placements.get(i)) is not None and p.phase is PlacementPhase.STORING
            ]
            done_now = [i for i in indexes if job.done_flags[i] and i not in job.stored_done_tasks]
            conditions = [sm.Condition(key, job.chunk_revisions.get(chunk, Revision(0)))]
            if storing:
                # Not stored, and so never started, if the job was cancelled meanwhile.
                conditions.append(sm.Condition(jm.open_key(job.id), job.mod_revision))

            def on_stored(revision: Revision) -> None:
                job.chunk_revisions[chunk] = revision
                job.stored_done_tasks.update(done_now)
                for placement in storing:
                    self._on_stored(placement)

            return Write(conditions, [sm.Put(key, sm.encode_raw(job.chunk_entries(chunk)))], on_stored)

        return build
