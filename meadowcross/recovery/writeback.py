"""Writes the collected state back to the store, the most urgent items first, and stores the recovery's progress.

Every item is a write of the term's group commit, conditional on the leader key, on the epoch, and on the revision that
the key had when the store was read. The next leader can therefore continue a recovery that ended at any step, and two
recoveries at a time can't undo each other's writes.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Raw
from twisted.internet.defer import Deferred

from meadowcross.autoscaling.messages import MACHINE_KEY_PREFIX
from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import JobId, Revision, Seconds, WallTime
from meadowcross.jobs.job_table import JobTable
from meadowcross.jobs.messages import CHUNK_PREFIX, OPEN_PREFIX, ended_key, parse_chunk_key
from meadowcross.recovery.collect import StateRecovery
from meadowcross.recovery.merge import MergedState
from meadowcross.recovery.messages import RECOVERY_PROGRESS_KEY, RecoveryProgress, RecoveryStage
from meadowcross.store.client import IndeterminateResultError, RequestRejectedError, StoreUnavailableError
from meadowcross.store.group_commit import GroupCommitter, Write
from meadowcross.store.messages import Condition, Delete, Item, Put, encode_raw

log = get_logger("rebuild")

LATE_POLL_INTERVAL_S: Seconds = 1.0
"""Time between requests to peers whose replicas are still missing."""
MAX_PENDING_ENDED_JOBS = 200
"""Limit for ended jobs in the group commit, so that new writes of the term don't wait behind all of them."""
OPEN_STATE_PREFIXES = (OPEN_PREFIX, MACHINE_KEY_PREFIX, CHUNK_PREFIX)
"""Prefixes of the keys that are written back first."""


class WriteBack:
    """Restores the store during one leader's term: open jobs, tasks and machines first, then ended jobs."""

    def __init__(
        self,
        clock: Clock,
        merged: MergedState,
        job_table: JobTable,
        committer: GroupCommitter,
        recovery: StateRecovery,
        on_open_jobs_restored: Callable[[], None],
        on_late_job: Callable[[str, Raw, Revision], None],
    ) -> None:
        """Prepare the write-back of `merged`.

        `on_open_jobs_restored` is called once all open jobs, tasks and machines are stored, and `on_late_job` with the
        key, record and revision of each late job (an open job from a peer that was missing), once the job is stored.
        """
        self._clock = clock
        self._merged = merged
        self._job_table = job_table
        self._committer = committer
        self._recovery = recovery
        self._store_epochs = recovery.store_epochs
        self._on_open_jobs_restored = on_open_jobs_restored
        self._on_late_job = on_late_job
        self._is_stopped = False
        self._began_at = clock.seconds()
        self._pending_open: set[str] = set()
        """Keys of open jobs, tasks and machines that are not stored yet."""
        self._pending_ended: set[str] = set()
        """Keys of ended jobs that are in the group commit."""
        self._remaining_ended = {
            item.key: item for item in merged.missing_under("") if not item.key.startswith(OPEN_STATE_PREFIXES)
        }

    def begin(self) -> None:
        """Enqueue the open state. Records of open jobs are urgent: no task is placed before its job's record is stored.

        Users' requests are rejected with a request to retry meanwhile, so the write-back may use more of the store's
        request rate than a leader otherwise does.
        """
        self._recovery.prioritize(True)
        missing = [item for prefix in OPEN_STATE_PREFIXES for item in self._merged.missing_under(prefix)]
        chunks = [item for item in missing if item.key.startswith(CHUNK_PREFIX)]
        self._pending_open = {item.key for item in missing}
        for item in missing:
            if not item.key.startswith(CHUNK_PREFIX):
                # Machines are not urgent, as every follower's replica has them: writing 600 of them before the first
                # placement took 6 s.
                self._enqueue_item(item, is_urgent=item.key.startswith(OPEN_PREFIX))
        for key in self._merged.stale_keys():
            self._enqueue_deletion(key)
        for chunk in chunks:
            self._mark_chunk_dirty(chunk.key)
        self._advance()
        if self._recovery.missing_peers:
            log.info("recovery_peers_missing peers=%s", ",".join(sorted(self._recovery.missing_peers)))
            Deferred.fromCoroutine(self._collect_late())

    def stop(self) -> None:
        """Ask no further peers, at the end of the term."""
        self._is_stopped = True

    def on_stored(self, key: str) -> None:
        """Handle the write or deletion of a key, by the write-back or by any other part of the term."""
        if key in self._pending_open or key in self._pending_ended:
            self._pending_open.discard(key)
            self._pending_ended.discard(key)
            self._advance()

    # Writes to the store

    def _enqueue_item(self, item: Item, is_urgent: bool) -> None:
        self._committer.enqueue(("back", item.key), lambda: self._build_write(item), is_urgent)

    def _build_write(self, item: Item) -> Write | None:
        """Return the write of an item, or None if it is no longer needed."""
        if item.key not in self._pending_open and item.key not in self._pending_ended:
            return None
        job_id = JobId(item.key.removeprefix(OPEN_PREFIX)) if item.key.startswith(OPEN_PREFIX) else None
        job = self._job_table.jobs.get(job_id) if job_id is not None else None
        if job is not None and job.is_ending:
            # The job ended before this write. In one transaction with the job's end record, this write once left the
            # open record in place, so that the job was both open and ended.
            return None

        def on_committed(revision: Revision) -> None:
            if job is not None:
                job.mod_revision = max(job.mod_revision, revision)
            elif job_id is not None:
                self._on_late_job(item.key, item.value, revision)

        conditions = [Condition(item.key, item.mod_revision)]
        if job_id is not None:
            # After the job's end its open key is absent again, as the first condition expects. A write that was
            # applied that late restarted the job.
            conditions.append(Condition(ended_key(job_id), Revision(0)))
        return Write(conditions, [Put(item.key, item.value)], on_committed)

    def _enqueue_deletion(self, key: str) -> None:
        self._committer.enqueue(("drop", key), lambda: Write([], [Delete(key)], _ignore_revision), False)

    def _mark_chunk_dirty(self, key: str) -> None:
        """Have the job table write the chunk, with the content that the chunk has at the time of the write."""
        job_id, chunk = parse_chunk_key(key)
        job = self._job_table.jobs.get(job_id)
        if job is None:
            self._pending_open.discard(key)
        else:
            self._job_table.mark_dirty(job, job.chunk_range(chunk).start, False)

    # Replicas of missing peers

    async def _collect_late(self) -> None:
        """Request the replicas of missing peers, which may hold jobs and end records that no other source has.

        The recovery does not end before they all responded or the operators' waiting time for lost jobs is over.
        """
        while self._recovery.missing_peers and not self._is_stopped and not self._is_wait_over():
            await pause(self._clock, LATE_POLL_INTERVAL_S)
            try:
                merged = await self._recovery.collect_late()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("late_replicas_wait error=%s", error)
                continue
            if merged is not None and not self._is_stopped:
                self._add_late_items(merged)
                self._advance()
        self._advance()

    def _add_late_items(self, merged: MergedState) -> None:
        for item in merged.missing_under(""):
            job_id = JobId(item.key.removeprefix(OPEN_PREFIX))
            if item.key.startswith(OPEN_PREFIX) and job_id not in self._job_table.jobs:
                log.info("late_job_found job=%s", job_id)
                self._pending_open.add(item.key)
                self._enqueue_item(item, is_urgent=True)
            elif not item.key.startswith(OPEN_STATE_PREFIXES):
                self._remaining_ended.setdefault(item.key, item)

    def _is_wait_over(self) -> bool:
        wait_s = self._recovery.lost_jobs_wait_s
        return wait_s is not None and self._elapsed_s() > wait_s

    def _elapsed_s(self) -> Seconds:
        return self._clock.seconds() - self._began_at

    # Progress of the recovery

    def _advance(self) -> None:
        stage = self._store_epochs.stage
        if stage is RecoveryStage.OPEN_JOBS and not self._pending_open:
            log.info("open_jobs_restored elapsed_s=%.2f", self._elapsed_s())
            self._store_stage(RecoveryStage.ENDED_JOBS, self._on_open_jobs_restored)
        elif stage is RecoveryStage.ENDED_JOBS:
            self._enqueue_ended_jobs()
            if self._are_ended_jobs_restored():
                self._finish()

    def _enqueue_ended_jobs(self) -> None:
        while self._remaining_ended and len(self._pending_ended) < MAX_PENDING_ENDED_JOBS:
            key, item = self._remaining_ended.popitem()
            self._pending_ended.add(key)
            self._enqueue_item(item, is_urgent=False)

    def _are_ended_jobs_restored(self) -> bool:
        if self._remaining_ended or self._pending_ended:
            return False
        return not self._recovery.missing_peers or self._is_wait_over()

    def _finish(self) -> None:
        log.info("ended_jobs_restored elapsed_s=%.2f", self._elapsed_s())
        self._recovery.prioritize(False)
        has_all_data = self._merged.is_complete and self._recovery.has_all_peer_replicas()
        self._store_stage(None if has_all_data else RecoveryStage.SETTLING)

    def _store_stage(self, stage: RecoveryStage | None, on_stored: Callable[[], None] | None = None) -> None:
        """Store that the recovery has reached a stage; None: the recovery is complete."""
        progress = self._progress_at(stage)

        def on_committed(revision: Revision) -> None:
            self._store_epochs.record_progress(progress, revision)
            if on_stored is not None:
                on_stored()
            self._advance()

        def build() -> Write | None:
            if progress is None:
                change: Put | Delete = Delete(RECOVERY_PROGRESS_KEY)
            else:
                change = Put(RECOVERY_PROGRESS_KEY, encode_raw(progress))
            return Write([self._store_epochs.progress_condition()], [change], on_committed)

        self._committer.enqueue(("progress", stage), build, True)

    def _progress_at(self, stage: RecoveryStage | None) -> RecoveryProgress | None:
        record = self._store_epochs.record
        assert record is not None, "a recovery has an epoch"
        if stage is None:
            return None
        wait_s = self._recovery.lost_jobs_wait_s
        if stage is not RecoveryStage.SETTLING or wait_s is None:
            return RecoveryProgress(record.number, stage)
        return RecoveryProgress(record.number, stage, WallTime(self._clock.seconds() + wait_s))


def _ignore_revision(revision: Revision) -> None:
    """Do nothing after a deletion, whose revision is not used."""
