"""Writes back what a rebuild gathered, in the order in which it is needed, and says how far it has come.

Every piece is a unit of the term's group commit: conditional on the leader's key, on the era, and on the version that
the store had when it was read, so a rebuild that is killed at any step is gone on with by the next leader, and two
that meet can't undo each other.
"""

from __future__ import annotations

import functools
from collections.abc import Callable

from msgspec import Raw
from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import JobId, Revision, Seconds, WallTime
from meadowcross.jobs import messages as jm
from meadowcross.jobs.job_table import JobTable
from meadowcross.recovery.collect import StateRecovery
from meadowcross.recovery.merge import MergedState
from meadowcross.recovery.messages import RECOVERY_PROGRESS_KEY, RecoveryProgress, RecoveryStage
from meadowcross.recovery.store_epochs import StoreEpochs
from meadowcross.store import messages as sm
from meadowcross.store.client import IndeterminateResultError, RequestRejectedError, StoreUnavailableError
from meadowcross.store.group_commit import GroupCommitter, Write

log = get_logger("rebuild")

LATE_POLL_INTERVAL_S: Seconds = 1.0
MAX_PENDING_ENDED_JOBS = 200
"""So many ended jobs wait in the group commit at a time: what is decided meanwhile goes before them."""


def _build_delete(key: str) -> Write:
    return Write([], [sm.Delete(key)], lambda revision: None)


class WriteBack:
    def __init__(
        self,
        clock: Clock,
        store_epochs: StoreEpochs,
        merged: MergedState,
        job_table: JobTable,
        committer: GroupCommitter,
        recovery: StateRecovery,
        on_open_jobs_restored: Callable[[], None],
        on_late_job: Callable[[str, Raw, Revision], None],
    ) -> None:
        """`on_late` is told of an open job that came back late, once it is stored."""
        self._clock = clock
        self._store_epochs = store_epochs
        self._merged = merged
        self._job_table = job_table
        self._committer = committer
        self._recovery = recovery
        self._on_late_job = on_late_job
        self._stopped = False
        self._on_open_jobs_restored = on_open_jobs_restored
        self._pending_open: set[str] = set()
        self._remaining_ended = {
            item.key: item for item in merged.missing_under("") if not item.key.startswith(_FIRST_PREFIXES)
        }
        self._pending_ended: set[str] = set()
        self._began_at = clock.seconds()

    def begin(self) -> None:
        """Open jobs first: nothing is placed of a job whose record is not stored. Users are told to come again
        meanwhile, so more of the store's rate is ours than a leader has else."""
        self._recovery.prioritize(True)
        missing = [item for family in _FIRST_PREFIXES for item in self._merged.missing_under(family)]
        self._pending_open = {item.key for item in missing}
        for item in missing:
            if not item.key.startswith(jm.CHUNK_PREFIX):
                # Machines are known to all who followed; 600 of them before the first placement cost 6 s.
                self._submit(item, item.key.startswith(jm.OPEN_PREFIX))
        for key in self._merged.stale_keys():
            self._committer.enqueue(("drop", key), functools.partial(_build_delete, key), False)
        for item in missing:
            if item.key.startswith(jm.CHUNK_PREFIX):
                job_id, chunk = jm.parse_chunk_key(item.key)
                known_job = self._job_table.jobs.get(job_id)
                if known_job is None:
                    self._pending_open.discard(item.key)
                else:
                    # By the book, as it stands when the chunk's turn has come.
                    self._job_table.mark_dirty(known_job, known_job.chunk_range(chunk).start, False)
        self._advance()
        if self._recovery.unanswered_peers:
            log.info("still to be asked: %s", ", ".join(sorted(self._recovery.unanswered_peers)))
            Deferred.fromCoroutine(self._collect_late())

    def stop(self) -> None:
        self._stopped = True

    async def _collect_late(self) -> None:
        """Whoever could not be asked may know of ends and jobs that nobody else does: nothing is concluded before,
        for as long as the operators want to wait for lost jobs."""
        while self._recovery.unanswered_peers and not self._stopped and not self._has_waited_long_enough():
            await pause(self._clock, LATE_POLL_INTERVAL_S)
            try:
                merged = await self._recovery.collect_late()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("late pictures wait: %s", error)
                continue
            if merged is None or self._stopped:
                continue
            for item in merged.missing_under(""):
                if (
                    item.key.startswith(jm.OPEN_PREFIX)
                    and JobId(item.key.removeprefix(jm.OPEN_PREFIX)) not in self._job_table.jobs
                ):
                    log.info("%s came back late", item.key)
                    self._pending_open.add(item.key)
                    self._submit(item, True)
                elif not item.key.startswith(_FIRST_PREFIXES):
                    self._remaining_ended.setdefault(item.key, item)
            self._advance()
        self._advance()

    def _has_waited_long_enough(self) -> bool:
        wait_s = self._recovery.lost_jobs_wait_s
        return wait_s is not None and self._clock.seconds() - self._began_at > wait_s

    def _submit(self, item: sm.Item, is_urgent: bool) -> None:
        def build() -> Write | None:
            if item.key not in self._pending_open and item.key not in self._pending_ended:
                return None
            job = (
                self._job_table.jobs.get(JobId(item.key.removeprefix(jm.OPEN_PREFIX)))
                if item.key.startswith(jm.OPEN_PREFIX)
                else None
            )
            if job is not None and job.is_ending:
                # Over before its turn came: in one transaction with its end its record once stayed, open and ended.
                return None

            def on_committed(revision: Revision) -> None:
                if job is not None:
                    job.mod_revision = max(job.mod_revision, revision)
                elif item.key.startswith(jm.OPEN_PREFIX):
                    self._on_late_job(item.key, item.value, revision)

            conditions = [sm.Condition(item.key, item.mod_revision)]
            if item.key.startswith(jm.OPEN_PREFIX):
                # Carried out late, once the job has ended, the key is absent again: such a job began anew.
                conditions.append(sm.Condition(jm.ended_key(JobId(item.key.removeprefix(jm.OPEN_PREFIX))), Revision(0)))
            return Write(conditions, [sm.Put(item.key, item.value)], on_committed)

        self._committer.enqueue(("back", item.key), build, is_urgent)

    def on_stored(self, key: str) -> None:
        """It is in the store now, or dropped, by our writing or anybody's."""
        if key in self._pending_open or key in self._pending_ended:
            self._pending_open.discard(key)
            self._pending_ended.discard(key)
            self._advance()

    def _advance(self) -> None:
        phase = self._store_epochs.stage
        if phase is RecoveryStage.OPEN_JOBS and not self._pending_open:
            log.info("open jobs, tasks and machines are back after %.2f s", self._clock.seconds() - self._began_at)
            self._store_stage(RecoveryStage.ENDED_JOBS, self._on_open_jobs_restored)
        elif phase is RecoveryStage.ENDED_JOBS:
            while self._remaining_ended and len(self._pending_ended) < MAX_PENDING_ENDED_JOBS:
                key, item = self._remaining_ended.popitem()
                self._pending_ended.add(key)
                self._submit(item, False)
            if (
                not self._remaining_ended
                and not self._pending_ended
                and (not self._recovery.unanswered_peers or self._has_waited_long_enough())
            ):
                log.info("all that was known is back after %.2f s", self._clock.seconds() - self._began_at)
                self._recovery.prioritize(False)
                if self._merged.is_complete and self._recovery.have_all_peers_answered():
                    self._store_stage(None, lambda: None)
                else:
                    self._store_stage(RecoveryStage.SETTLING, lambda: None)

    def _store_stage(self, stage: RecoveryStage | None, on_stored: Callable[[], None]) -> None:
        record = self._store_epochs.record
        assert record is not None
        settling_until = None
        wait_s = self._recovery.lost_jobs_wait_s
        if stage is RecoveryStage.SETTLING and wait_s is not None:
            settling_until = WallTime(self._clock.seconds() + wait_s)
        progress = RecoveryProgress(record.number, stage, settling_until) if stage is not None else None

        def build() -> Write | None:
            change = (
                sm.Put(RECOVERY_PROGRESS_KEY, sm.encode_raw(progress))
                if progress is not None
                else sm.Delete(RECOVERY_PROGRESS_KEY)
            )

            def on_committed(revision: Revision) -> None:
                self._store_epochs.record_progress(progress, revision)
                on_stored()
                self._advance()

            return Write([self._store_epochs.progress_condition()], [change], on_committed)

        self._committer.enqueue(("progress", stage), build, True)


_FIRST_PREFIXES = (jm.OPEN_PREFIX, "w/", jm.CHUNK_PREFIX)
