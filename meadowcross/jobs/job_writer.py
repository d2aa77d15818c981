"""Stores the leader's jobs by group commit: changed chunks, ended jobs, and keys to be deleted."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Revision
from meadowcross.jobs.job_table import Job, JobTable, Placement, PlacementPhase
from meadowcross.jobs.messages import EndedRecord, JobState, chunk_key, ended_key, open_key
from meadowcross.store.group_commit import GroupCommitter, Write
from meadowcross.store.messages import Change, Condition, Delete, Put, encode_raw

log = get_logger("jobs")


class JobWriter:
    """Queues the writes that bring the store up to date with the job table.

    `on_stored` is called for each placement that is stored, `on_ended` for each job whose end is. `max_changes` is
    the most that a transaction holds.
    """

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
        """Queue the move to the ended key once nothing of the job is left to do; return whether it is queued."""
        if job.is_ending:
            return True
        is_due = job.is_complete or (job.is_cancel_stored and not job.placements)
        if not is_due:
            return False
        job.is_ending = True
        self._committer.enqueue(("end", job.id), partial(self._build_end, job), True)
        return True

    def enqueue_delete(self, key: str) -> None:
        """Queue the deletion of a key, in the background."""
        self._committer.enqueue(("drop", key), partial(_build_delete, key), False)

    def enqueue_dirty_chunks(self) -> None:
        """Queue the chunks that changed."""
        for chunk_id, is_urgent in list(self._job_table.dirty_chunks.items()):
            job = self._job_table.jobs.get(chunk_id.job)
            if job is not None:
                build = partial(self._build_chunk, job, chunk_id.chunk)
                self._committer.enqueue(("chunk", *chunk_id), build, is_urgent)
        self._job_table.dirty_chunks.clear()

    def _build_end(self, job: Job) -> Write | None:
        if job.id not in self._job_table.jobs:
            return None
        state = JobState.CANCELLED if job.cancelled_at is not None else JobState.DONE
        key = open_key(job.id)
        ended = EndedRecord(state, job.spec.tasks)
        changes: list[Change] = [Put(ended_key(job.id), encode_raw(ended)), Delete(key)]
        chunk_keys = [chunk_key(job.id, chunk) for chunk in job.chunk_revisions]
        room = self._max_changes - len(changes)
        changes.extend(Delete(chunk) for chunk in chunk_keys[:room])
        on_stored = partial(self._on_end_stored, job, state, chunk_keys[room:])
        return Write([Condition(key, job.mod_revision)], changes, on_stored)

    def _on_end_stored(self, job: Job, state: JobState, left_chunk_keys: list[str], _revision: Revision) -> None:
        log.info("job %s ended: %s%s", job.id, state.value, self._describe_duration(job))
        for key in left_chunk_keys:
            self.enqueue_delete(key)
        self._job_table.remove(job.id)
        self._on_ended(job)

    def _describe_duration(self, job: Job) -> str:
        elapsed_s = self._clock.seconds() - job.submitted_at
        deadline_s = job.spec.deadline_s
        due = f", due after {deadline_s:.0f} s" if deadline_s is not None else ""
        return f", {elapsed_s:.0f} s after its submission{due}"

    def _build_chunk(self, job: Job, chunk: int) -> Write | None:
        if job.is_ending or job.id not in self._job_table.jobs:
            return None
        key = chunk_key(job.id, chunk)
        indexes = job.chunk_range(chunk)
        storing = [
            placement
            for index in indexes
            if (placement := job.placements.get(index)) is not None and placement.phase is PlacementPhase.STORING
        ]
        done = [index for index in indexes if job.done_flags[index] and index not in job.stored_done_tasks]
        conditions = [Condition(key, job.chunk_revisions.get(chunk, Revision(0)))]
        if storing:
            # A placement is not stored, and so never started, if the job was cancelled meanwhile.
            conditions.append(Condition(open_key(job.id), job.mod_revision))
        on_stored = partial(self._on_chunk_stored, job, chunk, storing, done)
        return Write(conditions, [Put(key, encode_raw(job.chunk_entries(chunk)))], on_stored)

    def _on_chunk_stored(
        self, job: Job, chunk: int, storing: list[Placement], done: list[int], revision: Revision
    ) -> None:
        job.chunk_revisions[chunk] = revision
        job.stored_done_tasks.update(done)
        for placement in storing:
            self._on_stored(placement)


def _build_delete(key: str) -> Write:
    return Write([], [Delete(key)], lambda _revision: None)
