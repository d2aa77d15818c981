"""Stops the tasks of cancelled jobs, and verifies that none of them is left."""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, JobId, Revision, TaskId, WallTime
from meadowcross.jobs import messages as job_messages
from meadowcross.jobs.job_table import Job
from meadowcross.leadership.ended_jobs import EndedJobs
from meadowcross.leadership.machine_records import MachineDecommissioner
from meadowcross.leadership.machine_verification import MachineVerification
from meadowcross.leadership.messages import CancellationNotice
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.placement_writer import PlacementWriter
from meadowcross.leadership.term_context import TermState
from meadowcross.store.group_commit import GroupCommitter, Write
from meadowcross.store.messages import Condition, Put, encode_raw
from meadowcross.workers.eviction import overdue_cancellations, unacknowledged_stops

log = get_logger("leadership")

CANCEL_TIMEOUT_SHARE = 0.5
"""A machine that still has a cancelled task after this share of the allowed time is decommissioned."""
MAX_STOPS_PER_TICK = 16
"""Stops without a response are sent again to at most this many machines per tick, which leaves time for other work."""


class CancellationTracker:
    """Applies cancellations from records and from peers' announcements, and stores ends once they are proven."""

    def __init__(
        self,
        state: TermState,
        committer: GroupCommitter,
        placement_writer: PlacementWriter,
        ended_jobs: EndedJobs,
        verification: MachineVerification,
        decommissioner: MachineDecommissioner,
        pass_trigger: PassTrigger,
    ) -> None:
        self._context = state.context
        self._lifecycle = state.lifecycle
        self._job_table = state.job_table
        self._worker_registry = state.worker_registry
        self._committer = committer
        self._placement_writer = placement_writer
        self._ended_jobs = ended_jobs
        self._verification = verification
        self._decommissioner = decommissioner
        self._pass_trigger = pass_trigger

    def apply_cancellation(self, job: Job, cancelled_at: WallTime) -> None:
        """Stop the tasks of a job whose cancellation is stored, as its record or only a peer's announcement shows."""
        if job.cancelled_at is None:
            log.info("cancellation applied job=%s tasks=%d", job.id, len(job.placements))
        # The time is from the clock of the controller that stored the cancellation. If that clock is ahead of ours, the
        # deletion of machines that hold tasks would be delayed.
        job.cancelled_at = WallTime(min(cancelled_at, self._context.now))
        if self._lifecycle.is_loaded:
            self.stop_all_tasks(job)
            self._pass_trigger.schedule_pass()

    def apply_announced(self, notice: CancellationNotice) -> bool:
        """Stop the tasks of jobs whose cancellations a peer announced as stored.

        An announcement is as reliable as the watch, which gets no changes while the state service refuses only this
        controller. The ends of these jobs are stored once their records have been read. Returns False if the term can't
        apply the notice now."""
        if not self._lifecycle.is_active:
            return False
        for job_id, revision in notice.revisions.items():
            job = self._job_table.jobs.get(job_id)
            if job is not None and job.cancelled_at is None:
                self.apply_cancellation(job, WallTime(self._context.now))
            elif job is None and job_id in notice.unrecorded and job_id not in self._ended_jobs.unconfirmed:
                self._apply_unrecorded(job_id, revision)
        return True

    def _apply_unrecorded(self, job_id: JobId, revision: Revision) -> None:
        """Mark a job without a record as ended; machines then stop its tasks, as those of any ended job."""
        self._ended_jobs.add_unconfirmed(job_id, revision, self._context.now)
        for machine in self._worker_registry.machines.values():
            machine.proof.reconciled_tasks = None

    def stop_all_tasks(self, job: Job) -> None:
        """Stop the tasks of a cancelled job that may run, and release its placements whose start was never sent."""
        now = self._context.now
        for placement in list(job.placements.values()):
            if not placement.may_have_started:
                self._worker_registry.unassign(placement, job.spec, now)
                self._job_table.release(placement)
            else:
                # Without a grace time: a checkpoint of a cancelled job is of no use.
                self._placement_writer.stop_task(placement, 0.0)
        self._placement_writer.after_release(job)

    def retry(self) -> None:
        """Send stops without a response again, store ends that are proven, and decommission machines that have held
        cancelled tasks for too long."""
        now = self._context.now
        for placement in unacknowledged_stops(self._job_table.jobs.values(), now, MAX_STOPS_PER_TICK):
            self._placement_writer.dispatcher.enqueue_stop(placement)
        self._confirm_ends()
        if not self._context.leadership.has_valid_lease():
            return
        timeout_s = CANCEL_TIMEOUT_SHARE * self._context.settings.facts.workers.cancel_s
        for job, cancelled_for_s in overdue_cancellations(self._job_table.jobs.values(), self._context.now, timeout_s):
            machine_ids = [p.machine for p in job.placements.values()]
            reason = f"holds tasks of job {job.id}, cancelled {cancelled_for_s:.0f} s ago"
            self._decommissioner.decommission(machine_ids, reason)

    def _confirm_ends(self) -> None:
        """Store the ends of cancelled jobs without a record as final, once no machine can have tasks of them."""
        for job_id, end in self._ended_jobs.unconfirmed.items():
            if self._verification.is_state_complete() and self._is_on_no_machine(job_id, end.known_since):
                self._committer.enqueue(("proven", job_id), self._end_write_factory(job_id, end.revision), True)

    def _end_write_factory(self, job_id: JobId, revision: Revision) -> Callable[[], Write | None]:
        key = job_messages.ended_key(job_id)
        record = encode_raw(job_messages.EndedRecord(job_messages.JobState.CANCELLED, 0))

        def on_stored(_revision: Revision) -> None:
            log.info("confirmed the end of a job without a record job=%s state=cancelled", job_id)
            self._ended_jobs.confirm(job_id)

        def build() -> Write | None:
            if job_id not in self._ended_jobs.unconfirmed:
                return None
            return Write([Condition(key, revision)], [Put(key, record)], on_stored)

        return build

    def _is_on_no_machine(self, job_id: JobId, known_since: Instant) -> bool:
        """Whether no machine has a task of a job without a record, according to the statuses since its end is known.

        A machine that is older than this term and has sent no status since may have any task. Until it has sent one,
        stale tasks of the job may be in a lookup in the store, and so in neither list."""
        return all(
            (
                (machine.proof.has_confirmed_token and (machine.contact.last_status_at or 0.0) > known_since)
                or machine.created_at > self._context.started_at
            )
            and not any(
                TaskId.parse(task.task).job == job_id for task in (*machine.reported.orphaned, *machine.reported.stale)
            )
            for machine in self._worker_registry.machines.values()
        )
