"""Applies the records of open jobs as they are loaded, and watches the store for later changes."""

from __future__ import annotations

from msgspec import Raw

from meadowcross.autoscaling.autoscaler import Autoscaler
from meadowcross.common.clock import pause
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.logging import get_logger
from meadowcross.common.types import JobId, Revision, Seconds, WallTime
from meadowcross.jobs import messages as job_messages
from meadowcross.jobs.job_table import Job
from meadowcross.leadership.cancellation_tracker import CancellationTracker
from meadowcross.leadership.ended_jobs import EndedJobs
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.reconciler import Reconciler
from meadowcross.leadership.term_context import TermState
from meadowcross.leadership.term_recovery import TermRecovery
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.store.client import (
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
    WatchCompactedError,
)

log = get_logger("leadership")

WATCH_TIMEOUT_S: Seconds = 20.0
WATCH_RETRY_S: Seconds = 0.2
REREAD_RETRY_S: Seconds = 0.3


class JobRecords:
    """Keeps the job table up to date with the stored records of open jobs."""

    def __init__(
        self,
        state: TermState,
        reconciler: Reconciler,
        cancellation_tracker: CancellationTracker,
        ended_jobs: EndedJobs,
        recovery: TermRecovery,
        autoscaler: Autoscaler,
        pass_trigger: PassTrigger,
    ) -> None:
        self._lifecycle = state.lifecycle
        self._job_table = state.job_table
        self._reconciler = reconciler
        self._cancellation_tracker = cancellation_tracker
        self._ended_jobs = ended_jobs
        self._recovery = recovery
        self._autoscaler = autoscaler
        self._pass_trigger = pass_trigger

    def apply(self, key: str, value: Raw, revision: Revision) -> None:
        """Apply the record of an open job at this revision, as read or watched; an older revision changes nothing."""
        job_id = JobId(key.removeprefix(job_messages.OPEN_PREFIX))
        job = self._job_table.jobs.get(job_id)
        if (job is not None and revision <= job.mod_revision) or (
            job is None and self._ended_jobs.has_processed_end(job_id)
        ):
            # An announced cancellation can arrive before the watch, which then shows a job that has ended since. If the
            # job were added again, without its attempts, its tasks on machines would count as proof of a data loss.
            return
        record = job_messages.decode_record(value)
        if job is None:
            job = self._job_table.add(record, revision)
            log.debug("new open job job=%s", job.id)
            if self._lifecycle.is_loaded and self._recovery.is_unsettled():
                self._reconciler.on_job_resubmitted(job)
        self._on_new_version(job, revision, record.cancelled_at)

    def apply_contained(self, key: str, value: Raw, revision: Revision) -> bool:
        """Apply a record as `apply` does; return False, with the error logged, if it can't be applied.

        The job of such a record is left as it is, and all other jobs go on.
        """
        boundary = ErrorBoundary("applying a job's record", job=JobId(key.removeprefix(job_messages.OPEN_PREFIX)))
        with boundary:
            self.apply(key, value, revision)
        return not boundary.has_failed

    def _on_new_version(self, job: Job, revision: Revision, cancelled_at: WallTime | None) -> None:
        job.mod_revision = revision
        job.is_cancel_stored = cancelled_at is not None
        if cancelled_at is not None:
            self._cancellation_tracker.apply_cancellation(job, cancelled_at)
        elif self._lifecycle.is_loaded:
            self._autoscaler.on_new_job()
            self._pass_trigger.schedule_pass()


class JobWatch:
    """Watches the store for submissions and cancellations until the term ends."""

    def __init__(
        self, state: TermState, store: StoreClient, follower: ReplicaFollower | None, job_records: JobRecords
    ) -> None:
        self._clock = state.context.clock
        self._lifecycle = state.lifecycle
        self._store = store
        self._follower = follower
        self._job_records = job_records

    async def run(self, revision: Revision) -> None:
        """Apply all changes of open jobs after this revision."""
        while not self._lifecycle.is_stopped:
            try:
                response = await self._store.watch(job_messages.OPEN_PREFIX, revision, WATCH_TIMEOUT_S)
            except WatchCompactedError:
                revision = await self._try_reread(revision)
                continue
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("watch of open jobs failed, retrying error=%s", error)
                await pause(self._clock, WATCH_RETRY_S)
                continue
            if self._lifecycle.is_stopped:
                return
            revision = response.revision
            if self._follower is not None:
                self._follower.apply_events(response.events, revision)
            for event in response.events:
                if event.written_key is not None:
                    self._job_records.apply_contained(event.written_key, event.value, event.mod_revision)

    async def _try_reread(self, revision: Revision) -> Revision:
        """Read all open jobs again, as the store no longer has the changes since `revision`.

        Returns the revision to watch from, which is `revision` if the read fails."""
        try:
            items, new_revision = await self._store.list_items(job_messages.OPEN_PREFIX)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError):
            await pause(self._clock, REREAD_RETRY_S)
            return revision
        for item in items:
            self._job_records.apply_contained(item.key, item.value, item.mod_revision)
        return new_revision
