"""The part of a term that deals with records that the state service has lost."""

from __future__ import annotations

from collections import Counter

import msgspec
from twisted.internet.defer import Deferred

from meadowcross.common.logging import get_logger
from meadowcross.common.types import (
    Instant,
    JobId,
    MachineId,
    Revision,
    Seconds,
    TaskId,
)
from meadowcross.jobs import messages as jm
from meadowcross.jobs.job_table import Job
from meadowcross.leadership.term_base import TermBase
from meadowcross.recovery.collect import StateRecovery
from meadowcross.recovery.merge import MergedState
from meadowcross.recovery.messages import MAX_PROVEN_JOBS, RECOVERY_PROGRESS_KEY, RecoveryStage
from meadowcross.recovery.writeback import WriteBack
from meadowcross.store import messages as sm
from meadowcross.store.client import IndeterminateResultError, RequestRejectedError, StoreUnavailableError
from meadowcross.store.group_commit import Write
from meadowcross.store.token_bucket import RequestPriority
from meadowcross.workers import messages as wm
from meadowcross.workers.machine import Machine

log = get_logger("leadership")

LOST_ATTEMPTS_MARGIN = 1_000
"""More than a task can have been tried in the part of its records that is lost."""
CLOUD_LIST_MARGIN_S: Seconds = 1.0
"""For what the time of a rental is off by."""


class Reconciler(TermBase):
    """Notices lost records by what machines show, takes tasks over from reports, and settles what nobody knows."""

    def _begin_write_back(self, recovery: StateRecovery, merged: MergedState) -> None:
        """The picture stands. Until every machine has answered, or is proven deleted, one of those whose records
        were lost may run anything: then nothing is placed. A leader's own picture lacks nothing."""
        if not merged.is_complete:
            self._unverified_machines = set(self.worker_registry.machines)
            self._is_cloud_list_awaited = True
            for machine in self.worker_registry.machines.values():
                # Who says nothing now is given up like anybody who falls silent, be it still booting.
                machine.contact.hinted_contact_at = self.now
            for job in self.job_table.jobs.values():
                # Above whatever was tried in the part that is lost.
                job.attempts = [attempt + LOST_ATTEMPTS_MARGIN for attempt in job.attempts]
            log.info("term %d: %d machines may run what no record tells of", self.token, len(self._unverified_machines))
        self._active_write_back = WriteBack(
            self._clock,
            recovery.store_epochs,
            merged,
            self.job_table,
            self.group_committer,
            recovery,
            self.schedule_pass,
            self._apply_job_record,
        )
        for machine in self.worker_registry.machines.values():
            # On record with all who followed: it may be offered before its key is back.
            machine.is_stored = True
        self._active_write_back.begin()

    def _is_state_complete(self) -> bool:
        """Whether all that runs is known, so that placing what seems to run nowhere starts nothing twice."""
        return not self._unverified_machines and not self._is_cloud_list_awaited

    def _on_machine_verified(self, machine_id: MachineId) -> None:
        """It has answered with our token, or is proven gone."""
        if machine_id in self._unverified_machines:
            self._unverified_machines.discard(machine_id)
            if self._is_state_complete():
                log.info("term %d: all that runs is known after %.2f s", self.token, self.now - self._started_at)
                self.schedule_pass()

    def on_cloud_list(self, described: Instant | None) -> None:
        """The cloud's list came; it shows the machines as they were then, where that can be told."""
        lag_s = 2 * self._settings.facts.cloud.list_lag_s
        if self._is_cloud_list_awaited and (
            self.now - self._started_at > lag_s
            or (described is not None and described > self._started_at + CLOUD_LIST_MARGIN_S)
        ):
            self._is_cloud_list_awaited = False
            # Who is on no record and in no list that is younger than the loss does not exist.
            self._on_machine_verified(next(iter(self._unverified_machines), MachineId("")))
            self.schedule_pass()

    def _adopt_orphans(self, machine: Machine) -> None:
        """After a loss, tasks on a machine that no record tells of are somebody's: of a known job they are taken
        as placed, or done; of one that nobody knows they are let be, until its user comes or time is up."""
        assert self._recovery is not None
        stale_tasks, exited = machine.reported.stale, machine.reported.exited
        machine.reported.orphaned, machine.reported.stale, machine.reported.exited = [], [], []
        for task in (*stale_tasks, *exited):
            task_id = TaskId.parse(task.task)
            job = self.job_table.jobs.get(task_id.job)
            has_exited = task.state is wm.TaskState.EXITED
            if job is None and not self._has_ended(task_id.job) and self._recovery.is_unsettled():
                machine.reported.orphaned.append(task)
            elif job is None or task_id.number >= job.spec.tasks or not self._adopt_orphan(machine, job, task_id, task):
                (machine.reported.exited if has_exited else machine.reported.stale).append(task)

    def _detect_lost_records(self, machine: Machine) -> None:
        """Whatever runs was stored before it was started. A machine that has our token and shows an attempt that is
        beyond its record, or a job of which there is none, proves that records were lost."""
        for task in (*machine.reported.stale, *machine.reported.exited):
            task_id = TaskId.parse(task.task)
            job = self.job_table.jobs.get(task_id.job)
            if job is not None and (task_id.number >= job.spec.tasks or job.done_flags[task_id.number]):
                continue
            if job is not None and task.attempt > job.attempts[task_id.number]:
                self._report_data_loss(
                    f"attempt {task.attempt} of task {task_id} on {machine.id} is on no record", True
                )
                return
            if (
                job is None
                and self._recovery is not None
                and task_id.job not in self._queried_jobs
                and not self._has_ended(task_id.job)
            ):
                self._queried_jobs.add(task_id.job)
                machine.reported.stale = [one for one in machine.reported.stale if one is not task]
                Deferred.fromCoroutine(self._look_up_job(task_id.job, machine))

    async def _look_up_job(self, job: JobId, machine: Machine) -> None:
        """A job runs that we don't know: over, just come, or lost?"""
        try:
            if await self._store.get(jm.ended_key(job), RequestPriority.PLACEMENT) is not None:
                self._known_ended.add(job)
                machine.proof.reconciled_tasks = None
            elif not await self._store.find_changed_keys(
                [sm.Condition(jm.open_key(job), Revision(0)), sm.Condition(jm.ended_key(job), Revision(0))],
                RequestPriority.PLACEMENT,
            ):
                self._report_data_loss(f"job {job}, which {machine.id} runs, is on no record", True)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.debug("job %s on %s is not known: %s", job, machine.id, error)
        self._queried_jobs.discard(job)

    def _settle_orphaned_jobs(self) -> None:
        """What machines show of jobs whose submissions are lost is kept on record, so that every node answers for
        them. Time is up for all others: they are told as unknown. Once such jobs were given up with them, and their
        users, who had been told that they were accepted, that there was no such job."""
        eras = self._recovery.store_epochs if self._recovery is not None else None
        if eras is None or eras.stage is not RecoveryStage.SETTLING or eras.progress is None:
            return
        progress = eras.progress
        for machine in self.worker_registry.machines.values():
            remaining = [task for task in machine.reported.orphaned if not self._has_ended(TaskId.parse(task.task).job)]
            if len(remaining) < len(machine.reported.orphaned):
                # Cancelled meanwhile: its next report shows them as any other task without a record.
                machine.reported.orphaned, machine.proof.reconciled_tasks = remaining, None
        task_counts = Counter(
            TaskId.parse(t.task).job for m in self.worker_registry.machines.values() for t in m.reported.orphaned
        )
        jobs = {*map(JobId, progress.proven_jobs), *task_counts}
        known_jobs = sorted(job for job in jobs if job not in self.job_table.jobs and not self._has_ended(job))[
            :MAX_PROVEN_JOBS
        ]
        is_over = not known_jobs and progress.settling_until is not None and self.now >= progress.settling_until
        if not is_over and known_jobs == progress.proven_jobs:
            return
        for job in known_jobs:
            if job not in progress.proven_jobs:
                log.error("job %s has no record, but %d tasks on machines: it counts as running", job, task_counts[job])
        next_progress = (
            None if is_over else msgspec.structs.replace(progress, proven_jobs=[str(job) for job in known_jobs])
        )

        def build() -> Write | None:
            change = (
                sm.Delete(RECOVERY_PROGRESS_KEY)
                if next_progress is None
                else sm.Put(RECOVERY_PROGRESS_KEY, sm.encode_raw(next_progress))
            )
            return Write([eras.progress_condition()], [change], lambda mark: eras.record_progress(next_progress, mark))

        self.group_committer.enqueue(("progress", None), build, True)

    def _adopt_orphan(self, machine: Machine, job: Job, task_id: TaskId, reported: wm.TaskReport) -> bool:
        """Take a reported task as what its record would have said; False: its record is newer."""
        known_placement = job.placements.get(task_id.number)
        if job.done_flags[task_id.number] or (
            known_placement is not None and known_placement.attempt >= reported.attempt
        ):
            return False
        if known_placement is None and reported.attempt <= job.attempts[task_id.number] - LOST_ATTEMPTS_MARGIN:
            return False
        if known_placement is not None:
            # A later attempt was started only after this one was proven gone.
            self.worker_registry.unassign(known_placement, job.spec, self.now)
            self.job_table.release(known_placement)
        has_exited = reported.state is wm.TaskState.EXITED
        if has_exited and reported.exit_reason != wm.EXIT_DONE:
            return False
        placement = self.job_table.adopt_placement(job, task_id.number, reported.attempt, machine.id, self.now)
        job.attempts[task_id.number] = max(job.attempts[task_id.number], reported.attempt)
        self.job_table.rebuild_waiting(job)
        if job.is_gang:
            job.gang_attempt = max(p.attempt for p in job.placements.values())
        self.job_table.mark_dirty(job, task_id.number, True)
        log.info("task %s attempt %d on %s is taken over from its report", task_id, reported.attempt, machine.id)
        if has_exited:
            self.job_table.complete_task(placement)
            self._after_release(job)
            return False
        self.worker_registry.assign(machine, placement, job.spec)
        return True
