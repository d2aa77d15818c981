"""Reconciles the tasks that machines report with the records: detects lost records, and adopts orphaned tasks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
from twisted.internet.defer import Deferred

from meadowcross.common.logging import get_logger
from meadowcross.common.types import JobId, Revision, TaskId
from meadowcross.jobs import messages as job_messages
from meadowcross.jobs.job_table import Job, Placement
from meadowcross.leadership.ended_jobs import EndedJobs
from meadowcross.leadership.placement_writer import PlacementWriter
from meadowcross.leadership.term_context import TermState
from meadowcross.leadership.term_recovery import TermRecovery
from meadowcross.recovery.messages import MAX_PROVEN_JOBS, RECOVERY_PROGRESS_KEY, RecoveryProgress, RecoveryStage
from meadowcross.recovery.store_epochs import StoreEpochs
from meadowcross.store.client import (
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.group_commit import GroupCommitter, Write
from meadowcross.store.messages import Condition, Delete, Put, encode_raw
from meadowcross.store.token_bucket import RequestPriority
from meadowcross.workers import messages as worker_messages
from meadowcross.workers.machine import Machine

log = get_logger("leadership")

LOST_ATTEMPTS_MARGIN = 1_000
"""More attempts than a task can have had in the lost part of its records."""


class Reconciler:
    """Compares the tasks on machines with the records of jobs."""

    def __init__(
        self,
        state: TermState,
        store: StoreClient,
        committer: GroupCommitter,
        placement_writer: PlacementWriter,
        ended_jobs: EndedJobs,
        recovery: TermRecovery,
    ) -> None:
        self._context = state.context
        self._job_table = state.job_table
        self._worker_registry = state.worker_registry
        self._store = store
        self._committer = committer
        self._placement_writer = placement_writer
        self._ended_jobs = ended_jobs
        self._recovery = recovery
        self._queried_jobs: set[JobId] = set()
        """Unknown jobs that are being looked up in the store."""
        self._jobs_with_adoptions: dict[JobId, Job] = {}
        """Jobs whose waiting tasks and attempt have to be derived again."""

    def reconcile(self, machine: Machine) -> None:
        """Process the tasks in the machine's newest status that have no placement or have exited."""
        if self._recovery.is_unsettled():
            self.adopt_orphans(machine)
        else:
            self._detect_lost_records(machine)

    def adopt_orphans(self, machine: Machine) -> None:
        """Adopt the machine's tasks whose records were lost.

        Tasks of an open job are recorded as placed or done. Tasks of an unknown job are neither stopped nor reaped
        until its user submits the job again, or the settling stage ends."""
        with self._adopting():
            self._adopt_orphans_of(machine)

    @contextmanager
    def _adopting(self) -> Iterator[None]:
        """Derive the state of the jobs for which placements are adopted in the block at its end, once for each job.

        That takes time by the tasks of the job: after each adopted task of a large job it held the reactor for
        seconds."""
        try:
            yield
        finally:
            for job in self._jobs_with_adoptions.values():
                self._job_table.rebuild_waiting(job)
                if job.is_gang and job.placements:
                    job.gang_attempt = max(p.attempt for p in job.placements.values())
            self._jobs_with_adoptions.clear()

    def _adopt_orphans_of(self, machine: Machine) -> None:
        stale, exited = machine.reported.stale, machine.reported.exited
        machine.reported.orphaned, machine.reported.stale, machine.reported.exited = [], [], []
        for task in (*stale, *exited):
            task_id = TaskId.parse(task.task)
            job = self._job_table.jobs.get(task_id.job)
            if job is None and not self._ended_jobs.has_ended(task_id.job) and self._recovery.is_unsettled():
                machine.reported.orphaned.append(task)
            elif job is None or task_id.number >= job.spec.tasks or not self._adopt_orphan(machine, job, task_id, task):
                has_exited = task.state is worker_messages.TaskState.EXITED
                (machine.reported.exited if has_exited else machine.reported.stale).append(task)

    def on_job_resubmitted(self, job: Job) -> None:
        """Adopt the tasks that machines still have of a job that was submitted again while records may be lost."""
        job.attempts = [LOST_ATTEMPTS_MARGIN] * job.spec.tasks
        with self._adopting():
            for machine in self._worker_registry.machines.values():
                if any(TaskId.parse(task.task).job == job.id for task in machine.reported.orphaned):
                    machine.reported.stale += machine.reported.orphaned
                    self._adopt_orphans_of(machine)

    def _adopt_orphan(self, machine: Machine, job: Job, task_id: TaskId, reported: worker_messages.TaskReport) -> bool:
        """Record a reported task as placed or done, as its lost record did. Returns whether it is placed: False if its
        record is newer or the task has exited."""
        known_placement = job.placements.get(task_id.number)
        if not self._is_newer_than_record(job, task_id, reported.attempt, known_placement):
            return False
        if known_placement is not None:
            # A later attempt is only started once the earlier one is proven to be on no machine.
            self._worker_registry.unassign(known_placement, job.spec, self._context.now)
            self._job_table.release(known_placement)
        has_exited = reported.state is worker_messages.TaskState.EXITED
        if has_exited and reported.exit_reason != worker_messages.EXIT_DONE:
            return False
        placement = self._adopt_placement(machine, job, task_id, reported.attempt)
        if has_exited:
            self._job_table.complete_task(placement)
            self._placement_writer.after_release(job)
            return False
        self._worker_registry.assign(machine, placement, job.spec)
        return True

    @staticmethod
    def _is_newer_than_record(job: Job, task_id: TaskId, attempt: int, known_placement: Placement | None) -> bool:
        """Whether the attempt is newer than the task's record, whose attempts were raised by `LOST_ATTEMPTS_MARGIN`."""
        if job.done_flags[task_id.number]:
            return False
        if known_placement is not None:
            return known_placement.attempt < attempt
        return attempt > job.attempts[task_id.number] - LOST_ATTEMPTS_MARGIN

    def _adopt_placement(self, machine: Machine, job: Job, task_id: TaskId, attempt: int) -> Placement:
        placement = self._job_table.adopt_placement(job, task_id.number, attempt, machine.id, self._context.now)
        job.attempts[task_id.number] = max(job.attempts[task_id.number], attempt)
        self._jobs_with_adoptions[job.id] = job
        self._job_table.mark_dirty(job, task_id.number, True)
        log.info("adopted orphaned task task=%s attempt=%d machine=%s", task_id, attempt, machine.id)
        return placement

    def _detect_lost_records(self, machine: Machine) -> None:
        """Report a data loss if the machine has a task that the records can't explain.

        A placement is stored before its task is started. So a machine that has confirmed our token proves a loss if it
        reports a higher attempt than the record has, or a task of a job without a record."""
        for task in (*machine.reported.stale, *machine.reported.exited):
            task_id = TaskId.parse(task.task)
            job = self._job_table.jobs.get(task_id.job)
            if job is None:
                if self._may_look_up(task_id.job):
                    self._queried_jobs.add(task_id.job)
                    machine.reported.stale = [stale for stale in machine.reported.stale if stale is not task]
                    Deferred.fromCoroutine(self._look_up_job(task_id.job, machine))
                continue
            if task_id.number >= job.spec.tasks or job.done_flags[task_id.number]:
                continue
            if task.attempt > job.attempts[task_id.number]:
                self._recovery.report_data_loss(
                    f"attempt {task.attempt} of task {task_id} on {machine.id} has no record", True
                )
                return

    def _may_look_up(self, job_id: JobId) -> bool:
        return (
            self._recovery.collector is not None
            and job_id not in self._queried_jobs
            and not self._ended_jobs.has_ended(job_id)
        )

    async def _look_up_job(self, job_id: JobId, machine: Machine) -> None:
        """Look up an unknown job with running tasks in the store: it has ended, was just submitted, or its record is
        lost."""
        open_key, ended_key = job_messages.open_key(job_id), job_messages.ended_key(job_id)
        try:
            if await self._store.get(ended_key, RequestPriority.PLACEMENT) is not None:
                self._ended_jobs.add(job_id)
                machine.proof.reconciled_tasks = None
            elif not await self._store.find_changed_keys(
                [Condition(open_key, Revision(0)), Condition(ended_key, Revision(0))], RequestPriority.PLACEMENT
            ):
                self._recovery.report_data_loss(f"job {job_id}, which runs on {machine.id}, has no record", True)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.debug("lookup of unknown job failed job=%s machine=%s error=%s", job_id, machine.id, error)
        finally:
            self._queried_jobs.discard(job_id)

    def settle_orphaned_jobs(self) -> None:
        """Store which jobs without a record still have tasks on machines, so that every controller reports them as
        running, and end the settling stage when its time is over: other unknown jobs are then reported as unknown."""
        epochs = self._recovery.store_epochs
        if epochs is None or epochs.stage is not RecoveryStage.SETTLING or epochs.progress is None:
            return
        progress = epochs.progress
        self._drop_ended_orphans()
        task_counts = self._count_orphaned_tasks()
        unknown_jobs = self._list_unknown_jobs(progress, task_counts)
        is_over = not unknown_jobs and self._is_settling_over(progress)
        if not is_over and unknown_jobs == progress.proven_jobs:
            return
        for job_id in unknown_jobs:
            if job_id not in progress.proven_jobs:
                log.error("job without a record counts as running job=%s tasks=%d", job_id, task_counts[job_id])
        proven_jobs = [str(job_id) for job_id in unknown_jobs]
        self._store_progress(epochs, None if is_over else msgspec.structs.replace(progress, proven_jobs=proven_jobs))

    def _drop_ended_orphans(self) -> None:
        """Drop orphaned tasks of jobs that have ended meanwhile; the next status of their machine lists them as stale,
        so that they are stopped."""
        for machine in self._worker_registry.machines.values():
            remaining = [
                task
                for task in machine.reported.orphaned
                if not self._ended_jobs.has_ended(TaskId.parse(task.task).job)
            ]
            if len(remaining) < len(machine.reported.orphaned):
                machine.reported.orphaned, machine.proof.reconciled_tasks = remaining, None

    def _count_orphaned_tasks(self) -> Counter[JobId]:
        machines = self._worker_registry.machines.values()
        return Counter(TaskId.parse(task.task).job for machine in machines for task in machine.reported.orphaned)

    def _list_unknown_jobs(self, progress: RecoveryProgress, task_counts: Counter[JobId]) -> list[JobId]:
        candidates = {*map(JobId, progress.proven_jobs), *task_counts}
        return sorted(
            job_id
            for job_id in candidates
            if job_id not in self._job_table.jobs and not self._ended_jobs.has_ended(job_id)
        )[:MAX_PROVEN_JOBS]

    def _is_settling_over(self, progress: RecoveryProgress) -> bool:
        return progress.settling_until is not None and self._context.now >= progress.settling_until

    def _store_progress(self, epochs: StoreEpochs, progress: RecoveryProgress | None) -> None:
        def build() -> Write | None:
            change: Put | Delete = (
                Delete(RECOVERY_PROGRESS_KEY) if progress is None else Put(RECOVERY_PROGRESS_KEY, encode_raw(progress))
            )
            return Write(
                [epochs.progress_condition()], [change], lambda revision: epochs.record_progress(progress, revision)
            )

        self._committer.enqueue(("progress", None), build, True)
