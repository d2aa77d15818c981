"""Writes the leader's job table to the store by group commit: dirty chunks, ended jobs, and deletions of keys."""

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

    `on_stored` is called with each placement once it is stored, `on_ended` with each job once its end is stored.
    `max_changes` is the limit of changes in one transaction.
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
        """Queue the move to the ended key if the job is complete, or cancelled and without placements.

        Returns whether the move is queued, by this call or an earlier one.
        """
        if job.is_ending:
            return True
        is_due = job.is_complete or (job.is_cancel_stored and not job.placements)
        if not is_due:
            return False
        job.is_ending = True
        self._committer.enqueue(("end", job.id), partial(self._build_end, job), True)
        return True

    def enqueue_delete(self, key: str) -> None:
        """Queue the deletion of a key as a write that is not urgent."""
        self._committer.enqueue(("drop", key), partial(_build_delete, key), False)

    def enqueue_dirty_chunks(self) -> None:
        """Queue a write for each dirty chunk, and mark the chunks as clean."""
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
        max_deletions = self._max_changes - len(changes)
        changes.extend(Delete(chunk) for chunk in chunk_keys[:max_deletions])
        on_stored = partial(self._on_end_stored, job, state, chunk_keys[max_deletions:])
        return Write([Condition(key, job.mod_revision)], changes, on_stored)

    def _on_end_stored(self, job: Job, state: JobState, remaining_chunk_keys: list[str], _revision: Revision) -> None:
        log.info("job ended job=%s state=%s %s", job.id, state.value, self._describe_duration(job))
        for key in remaining_chunk_keys:
            self.enqueue_delete(key)
        self._job_table.remove(job.id)
        self._on_ended(job)

    def _describe_duration(self, job: Job) -> str:
        """Return the time since the submission and the deadline as text for the log."""
        elapsed_s = self._clock.seconds() - job.submitted_at
        deadline_s = job.spec.deadline_s
        deadline_text = f"(deadline_s={deadline_s:.0f})" if deadline_s is not None else "(no deadline)"
        return f"elapsed_s={elapsed_s:.0f} {deadline_text}"

    def _build_chunk(self, job: Job, chunk: int) -> Write | None:
        if job.is_ending or job.id not in self._job_table.jobs:
            return None
        key = chunk_key(job.id, chunk)
        indexes = job.chunk_range(chunk)
        placements_to_store = [
            placement
            for index in indexes
            if (placement := job.placements.get(index)) is not None and placement.phase is PlacementPhase.STORING
        ]
        done_tasks = [index for index in indexes if job.done_flags[index] and index not in job.stored_done_tasks]
        conditions = [Condition(key, job.chunk_revisions.get(chunk, Revision(0)))]
        if placements_to_store:
            # If the job was cancelled meanwhile, its placements are not stored and so never started.
            conditions.append(Condition(open_key(job.id), job.mod_revision))
        on_stored = partial(self._on_chunk_stored, job, chunk, placements_to_store, done_tasks)
        return Write(conditions, [Put(key, encode_raw(job.chunk_entries(chunk)))], on_stored)

    def _on_chunk_stored(
        self, job: Job, chunk: int, stored_placements: list[Placement], done_tasks: list[int], revision: Revision
    ) -> None:
        job.chunk_revisions[chunk] = revision
        job.stored_done_tasks.update(done_tasks)
        for placement in stored_placements:
            self._on_stored(placement)


def _build_delete(key: str) -> Write:
    return Write([], [Delete(key)], lambda _revision: None)
