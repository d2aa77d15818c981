"""Updates a term's state after a transaction was stored, rejected, or got no response."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from msgspec import Raw

from meadowcross.common.types import JobId, Revision
from meadowcross.jobs import messages as job_messages
from meadowcross.leadership.ended_jobs import EndedJobs
from meadowcross.leadership.messages import LEADER_KEY
from meadowcross.leadership.term_context import TermState
from meadowcross.leadership.term_recovery import TermRecovery
from meadowcross.recovery.messages import RECOVERY_PROGRESS_KEY
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.store.client import StoreClient
from meadowcross.store.messages import Delete, Item, Put
from meadowcross.store.token_bucket import RequestPriority


class JobRecordSink(Protocol):
    """Receives the stored records of open jobs."""

    def apply(self, key: str, value: Raw, revision: Revision) -> None:
        """See `JobRecords.apply`."""


class CommitOutcome:
    """Keeps the term's state consistent with the store after each write, also after writes with an unknown result."""

    def __init__(
        self,
        state: TermState,
        store: StoreClient,
        follower: ReplicaFollower | None,
        ended_jobs: EndedJobs,
        recovery: TermRecovery,
    ) -> None:
        self._context = state.context
        self._lifecycle = state.lifecycle
        self._job_table = state.job_table
        self._tokens = state.worker_registry.tokens
        self._store = store
        self._follower = follower
        self._ended_jobs = ended_jobs
        self._recovery = recovery
        self._job_records: JobRecordSink | None = None
        self._last_write_revision = Revision(0)

    def count_stored_keys(self) -> tuple[Revision, int, int, int, int] | None:
        """Returns the revision of our replica and its counts of keys by kind, as in `KeyCounts`.

        Returns None without a replica, or if the replica lacks a write of this term."""
        if self._follower is None:
            return None
        replica = self._follower.replica
        if self._last_write_revision > replica.revision:
            return None
        return (replica.revision, *replica.counts())

    def set_job_records(self, job_records: JobRecordSink) -> None:
        """Set the receiver of open jobs that are read again."""
        self._job_records = job_records

    def on_written(self, revision: Revision, changes: Sequence[Put | Delete]) -> None:
        """Apply a transaction of this term that was stored at `revision`."""
        self._last_write_revision = revision
        self._tokens.record_commit(revision)
        if self._follower is not None:
            self._follower.apply_own_write(revision, changes)
        if self._recovery.is_writing_back:
            for change in changes:
                self._recovery.on_stored(change.key)

    async def reread_keys(self, keys: list[str]) -> None:
        """Read the keys and apply their present values, after a conflict or a lost response. Raises `StoreError`."""
        # Taken before the reads: the watch may deliver a newer version while a response is on its way, and the older
        # version in that response must not count as a data loss.
        revisions_before = {
            key: job.mod_revision
            for key in keys
            if (job := self._job_table.jobs.get(JobId(key.removeprefix(job_messages.OPEN_PREFIX))))
        }
        items = await self._store.get_all(keys, RequestPriority.PLACEMENT)
        for key, item in zip(keys, items, strict=True):
            if self._lifecycle.is_stopped:
                return
            if not await self._apply_key(key, item, revisions_before.get(key, Revision(0))):
                return
            if self._follower is not None:
                # Only after the check: the replica must keep a key that the store has lost.
                self._follower.apply_read(key, item)

    async def _apply_key(self, key: str, item: Item | None, revision_before: Revision) -> bool:
        """Apply the value of one key. Returns False if the term ends or data was lost: the rest is then ignored."""
        if key == LEADER_KEY:
            return self._apply_leader_key(item)
        if key.startswith(job_messages.CHUNK_PREFIX):
            return self._apply_chunk(key, item)
        if key.startswith(job_messages.OPEN_PREFIX):
            return await self._apply_open_job(key, item, revision_before)
        if key == RECOVERY_PROGRESS_KEY:
            self._apply_recovery_progress(item)
        elif key.startswith(job_messages.ENDED_PREFIX) and item is not None:
            self._apply_ended_job(key)
        elif item is not None:
            self._recovery.on_stored(key)
        return True

    def _apply_leader_key(self, item: Item | None) -> bool:
        if item is None or item.mod_revision != self._context.leader_condition.mod_revision:
            self._context.leadership.step_down("the leader key has changed")
            return False
        return True

    def _apply_chunk(self, key: str, item: Item | None) -> bool:
        job_id, chunk = job_messages.parse_chunk_key(key)
        job = self._job_table.jobs.get(job_id)
        if job is None:
            return True
        revision = item.mod_revision if item is not None else Revision(0)
        if revision < job.chunk_revisions.get(chunk, 0):
            self._recovery.report_data_loss(f"{key} has a lower revision than before")
            return False
        job.chunk_revisions[chunk] = revision
        return True

    async def _apply_open_job(self, key: str, item: Item | None, revision_before: Revision) -> bool:
        job = self._job_table.jobs.get(JobId(key.removeprefix(job_messages.OPEN_PREFIX)))
        if item is not None:
            if item.mod_revision < revision_before:
                self._recovery.report_data_loss(f"{key} has a lower revision than before")
                return False
            assert self._job_records is not None
            self._job_records.apply(item.key, item.value, item.mod_revision)
        elif job is not None and job.mod_revision > 0:
            # Only a leader deletes an open job, so our own transaction without a response did that.
            ended = await self._store.get(job_messages.ended_key(job.id), RequestPriority.PLACEMENT)
            if ended is None:
                self._recovery.report_data_loss(f"{key} is gone")
                return False
            if self._follower is not None:
                # Stored by the same transaction: without this key our replica counts one ended job too few.
                self._follower.apply_read(ended.key, ended)
            self._job_table.remove(job.id)
            self._ended_jobs.add(job.id)
        return True

    def _apply_recovery_progress(self, item: Item | None) -> None:
        epochs = self._recovery.store_epochs
        if epochs is not None:
            # Our own write was executed without a response: the next write is built from the stored value.
            epochs.load_progress(item)

    def _apply_ended_job(self, key: str) -> None:
        """Mark a job as ended that was about to be written back as open."""
        job_id = JobId(key.removeprefix(job_messages.ENDED_PREFIX))
        self._ended_jobs.confirm(job_id)
        self._job_table.remove(job_id)
        self._ended_jobs.add(job_id)
        self._recovery.on_stored(job_messages.open_key(job_id))
        self._recovery.on_stored(key)
