"""The part of a term that ends cancelled jobs and proves that they are gone."""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.common.logging import get_logger
from meadowcross.common.types import (
    Instant,
    JobId,
    Revision,
    TaskId,
    WallTime,
)
from meadowcross.jobs import messages as jm
from meadowcross.jobs.job_table import Job
from meadowcross.leadership.messages import CancellationNotice
from meadowcross.leadership.term_base import TermBase
from meadowcross.store import messages as sm
from meadowcross.store.group_commit import Write
from meadowcross.workers import messages as wm
from meadowcross.workers.eviction import overdue_cancellations, unacknowledged_stops

log = get_logger("leadership")

CANCEL_PATIENCE_SHARE = 0.5
MAX_STOPS_PER_TICK = 16
"""So many machines are told again, each tick, to stop what is cancelled: as with greetings, a leader has other work."""


class CancellationTracker(TermBase):
    """Stops cancelled tasks, by the record or by a peer's word, and stores ends that are proven."""

    def _apply_cancellation(self, job: Job, cancelled_at: WallTime) -> None:
        """Its cancel is stored: by its record, or by a peer's word alone."""
        if job.cancelled_at is None:
            log.info("job %s is cancelled, %d tasks placed", job.id, len(job.placements))
        # By who cancelled it: a clock ahead of ours would put off the deletion of what does not let go.
        job.cancelled_at = WallTime(min(cancelled_at, self.now))
        if self.loaded:
            self._stop_all_tasks(job)
            self.schedule_pass()

    def apply_announced_cancellations(self, announced: CancellationNotice) -> bool:
        """A peer's word that these cancels are stored: as good as the watch for stopping their tasks, which stands
        still where the state service refuses us alone. Their ends wait until we have read the records. False: we can't
        take them in now."""
        if not self.loaded or self._stopped:
            return False
        for job_id, mark in announced.revisions.items():
            job = self.job_table.jobs.get(job_id)
            if job is not None and job.cancelled_at is None:
                self._apply_cancellation(job, WallTime(self.now))
            elif job is None and job_id in announced.unrecorded and job_id not in self._unconfirmed_ends:
                # Only machines know it: they are told to stop what is on no record, as of any job that is over.
                self._known_ended.add(job_id)
                self._unconfirmed_ends[job_id] = (mark, self.now)
                for machine in self.worker_registry.machines.values():
                    machine.proof.reconciled_tasks = None
        return True

    def _confirm_terminations(self) -> None:
        """Jobs that only machines knew, cancelled: their ends are stored as proven once no machine can have tasks."""
        for job_id, (mark, known_since) in self._unconfirmed_ends.items():
            if self._is_state_complete() and self._is_on_no_machine(job_id, known_since):
                self.group_committer.enqueue(("proven", job_id), self._end_write(job_id, mark), True)

    def _end_write(self, job_id: JobId, mark: Revision) -> Callable[[], Write | None]:
        key = jm.ended_key(job_id)
        ended = sm.encode_raw(jm.EndedRecord(jm.JobState.CANCELLED, 0))

        def done(stored: Revision) -> None:
            log.info("job %s, known by its tasks only, ended: cancelled", job_id)
            self._unconfirmed_ends.pop(job_id, None)

        def build() -> Write | None:
            if job_id not in self._unconfirmed_ends:
                return None
            return Write([sm.Condition(key, mark)], [sm.Put(key, ended)], done)

        return build

    def _is_on_no_machine(self, job_id: JobId, known_since: Instant) -> bool:
        """Whether no machine has a task of a job without a record, by what each told since we know that it is over. One
        that is older than this term and has not told may have any; until then strays of such a job may be asked about,
        and be in neither list."""
        return all(
            (
                (machine.proof.has_confirmed_token and (machine.contact.last_status_at or 0.0) > known_since)
                or machine.rented_at > self._started_at
            )
            and not any(
                TaskId.parse(task.task).job == job_id for task in (*machine.reported.orphaned, *machine.reported.stale)
            )
            for machine in self.worker_registry.machines.values()
        )

    def _stops_before_load(self, report: wm.Heartbeat) -> list[wm.Command]:
        """Before the picture is there, which an outage may put off for long: what is known to be cancelled ends all
        the same. Our answers keep its machines' leases, and once kept such tasks for a whole outage."""
        return [
            wm.Command("stop", task.task, task.attempt, 0.0)
            for task in report.tasks
            if task.state is not wm.TaskState.EXITED and self._is_known_cancelled(TaskId.parse(task.task).job)
        ]

    def _is_known_cancelled(self, job: JobId) -> bool:
        if self._is_cancel_announced(job):
            return True
        if job not in self._cancelled_at_takeover:
            item = self._follower.get(jm.open_key(job)) if self._follower is not None else None
            self._cancelled_at_takeover[job] = (
                item is not None and jm.decode_record(item.value).cancelled_at is not None
            )
        return self._cancelled_at_takeover[job]

    def _stop_all_tasks(self, job: Job) -> None:
        """A cancelled job: stop what runs, forget what was never sent."""
        now = self.now
        for placement in list(job.placements.values()):
            if not placement.may_have_started:
                self.worker_registry.unassign(placement, job.spec, now)
                self.job_table.release(placement)
            else:
                # Also what is saving: nobody has any use for it.
                self.stop_task(placement, 0.0)
        self._after_release(job)

    def _retry_cancellations(self) -> None:
        for placement in unacknowledged_stops(self.job_table.jobs.values(), self.now, MAX_STOPS_PER_TICK):
            self.dispatcher.enqueue_stop(placement)
        self._confirm_terminations()
        if not self.has_valid_lease():
            return
        patience_s = CANCEL_PATIENCE_SHARE * self._settings.facts.workers.cancel_s
        for job, late_s in overdue_cancellations(self.job_table.jobs.values(), self.now, patience_s):
            machine_ids = [p.machine for p in job.placements.values()]
            self._decommission(machine_ids, f"holds tasks of job {job.id}, cancelled {late_s:.0f} s ago")
