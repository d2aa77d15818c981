"""The part of a term that deals with records that the state service has lost."""

from __future__ import annotations

from collections import Counter

import msgspec
from twisted.internet.defer import Deferred

from meadowcross.common.logging import logger
from meadowcross.common.types import (
    Instant,
    JobId,
    MachineId,
    Mark,
    Seconds,
    TaskId,
)
from meadowcross.jobs import messages as jm
from meadowcross.jobs.book import Job
from meadowcross.leadership.term_base import TermBase
from meadowcross.rebuild.gather import Rebuild
from meadowcross.rebuild.merge import Merged
from meadowcross.rebuild.messages import MOST_KNOWN, PROGRESS_KEY, Stage
from meadowcross.rebuild.writeback import WriteBack
from meadowcross.store import messages as sm
from meadowcross.store.budget import Urgency
from meadowcross.store.client import Refused, Unavailable, Unknown
from meadowcross.store.commit import Built
from meadowcross.workers import messages as wm
from meadowcross.workers.roster import Machine

log = logger("leadership")

ATTEMPTS_LOST = 1_000
"""More than a task can have been tried in the part of its records that is lost."""
LIST_MARGIN_S: Seconds = 1.0
"""For what the time of a rental is off by."""


class LostRecords(TermBase):
    """Notices lost records by what machines show, takes tasks over from reports, and settles what nobody knows."""

    def _write_back(self, rebuild: Rebuild, merged: Merged) -> None:
        """The picture stands. Until every machine has answered, or is proven deleted, one of those whose records
        were lost may run anything: then nothing is placed. A leader's own picture lacks nothing."""
        if not merged.whole:
            self._doubted = set(self.roster.machines)
            self._list_awaited = True
            for machine in self.roster.machines.values():
                # Who says nothing now is given up like anybody who falls silent, be it still booting.
                machine.presumed_at = self.now
            for job in self.book.jobs.values():
                # Above whatever was tried in the part that is lost.
                job.attempts = [attempt + ATTEMPTS_LOST for attempt in job.attempts]
            log.info("term %d: %d machines may run what no record tells of", self.token, len(self._doubted))
        self._back = WriteBack(
            self._clock, rebuild.eras, merged, self.book, self.committer, rebuild, self.kick, self._job_seen
        )
        for machine in self.roster.machines.values():
            # On record with all who followed: it may be offered before its key is back.
            machine.stored = True
        self._back.begin()

    def _certain(self) -> bool:
        """Whether all that runs is known, so that placing what seems to run nowhere starts nothing twice."""
        return not self._doubted and not self._list_awaited

    def _cleared(self, machine: MachineId) -> None:
        """It has answered with our token, or is proven gone."""
        if machine in self._doubted:
            self._doubted.discard(machine)
            if self._certain():
                log.info("term %d: all that runs is known after %.2f s", self.token, self.now - self._began)
                self.kick()

    def listed(self, described: Instant | None) -> None:
        """The cloud's list came; it shows the machines as they were then, where that can be told."""
        lag = 2 * self._settings.facts.cloud.list_lag_s
        if self._list_awaited and (
            self.now - self._began > lag or (described is not None and described > self._began + LIST_MARGIN_S)
        ):
            self._list_awaited = False
            # Who is on no record and in no list that is younger than the loss does not exist.
            self._cleared(next(iter(self._doubted), MachineId("")))
            self.kick()

    def _claim(self, machine: Machine) -> None:
        """After a loss, tasks on a machine that no record tells of are somebody's: of a known job they are taken
        as placed, or done; of one that nobody knows they are let be, until its user comes or time is up."""
        assert self._rebuild is not None
        strays, exited = machine.strays, machine.exited
        machine.unclaimed, machine.strays, machine.exited = [], [], []
        for task in (*strays, *exited):
            name = TaskId.parse(task.task)
            job = self.book.jobs.get(name.job)
            gone = task.state is wm.TaskState.EXITED
            if job is None and not self._over(name.job) and self._rebuild.unsettled():
                machine.unclaimed.append(task)
            elif job is None or name.number >= job.spec.tasks or not self._adopt(machine, job, name, task):
                (machine.exited if gone else machine.strays).append(task)

    def _see_beyond(self, machine: Machine) -> None:
        """Whatever runs was stored before it was started. A machine that has our token and shows an attempt that is
        beyond its record, or a job of which there is none, proves that records were lost."""
        for task in (*machine.strays, *machine.exited):
            name = TaskId.parse(task.task)
            job = self.book.jobs.get(name.job)
            if job is not None and (name.number >= job.spec.tasks or job.done[name.number]):
                continue
            if job is not None and task.attempt > job.attempts[name.number]:
                self._lost(f"attempt {task.attempt} of task {name} on {machine.id} is on no record", True)
                return
            if job is None and self._rebuild is not None and name.job not in self._asked and not self._over(name.job):
                self._asked.add(name.job)
                machine.strays = [one for one in machine.strays if one is not task]
                Deferred.fromCoroutine(self._ask_about(name.job, machine))

    async def _ask_about(self, job: JobId, machine: Machine) -> None:
        """A job runs that we don't know: over, just come, or lost?"""
        try:
            if await self._store.get(jm.ended_key(job), Urgency.PLACEMENT) is not None:
                self._ended_here.add(job)
                machine.shown = None
            elif not await self._store.compare(
                [sm.Condition(jm.open_key(job), Mark(0)), sm.Condition(jm.ended_key(job), Mark(0))], Urgency.PLACEMENT
            ):
                self._lost(f"job {job}, which {machine.id} runs, is on no record", True)
        except (Unavailable, Unknown, Refused) as error:
            log.debug("job %s on %s is not known: %s", job, machine.id, error)
        self._asked.discard(job)

    def _settle_lost(self) -> None:
        """What machines show of jobs whose submissions are lost is kept on record, so that every node answers for
        them. Time is up for all others: they are told as unknown. Once such jobs were given up with them, and their
        users, who had been told that they were accepted, that there was no such job."""
        eras = self._rebuild.eras if self._rebuild is not None else None
        if eras is None or eras.phase is not Stage.SETTLING or eras.progress is None:
            return
        progress = eras.progress
        for machine in self.roster.machines.values():
            left = [task for task in machine.unclaimed if not self._over(TaskId.parse(task.task).job)]
            if len(left) < len(machine.unclaimed):
                # Cancelled meanwhile: its next report shows them as any other task without a record.
                machine.unclaimed, machine.shown = left, None
        shown = Counter(TaskId.parse(t.task).job for m in self.roster.machines.values() for t in m.unclaimed)
        jobs = {*map(JobId, progress.known), *shown}
        known = sorted(job for job in jobs if job not in self.book.jobs and not self._over(job))[:MOST_KNOWN]
        over = not known and progress.until is not None and self.now >= progress.until
        if not over and known == progress.known:
            return
        for job in known:
            if job not in progress.known:
                log.error("job %s has no record, but %d tasks on machines: it counts as running", job, shown[job])
        then = None if over else msgspec.structs.replace(progress, known=[str(job) for job in known])

        def build() -> Built | None:
            change = sm.Drop(PROGRESS_KEY) if then is None else sm.Put(PROGRESS_KEY, sm.raw(then))
            return Built([eras.progress_stands()], [change], lambda mark: eras.now_at(then, mark))

        self.committer.add(("progress", None), build, True)

    def _adopt(self, machine: Machine, job: Job, name: TaskId, task: wm.TaskReport) -> bool:
        """Take a reported task as what its record would have said; False: its record is newer."""
        known = job.placed.get(name.number)
        if job.done[name.number] or (known is not None and known.attempt >= task.attempt):
            return False
        if known is None and task.attempt <= job.attempts[name.number] - ATTEMPTS_LOST:
            return False
        if known is not None:
            # A later attempt was started only after this one was proven gone.
            self.roster.detach(known, job.spec, self.now)
            self.book.gone(known)
        done = task.state is wm.TaskState.EXITED
        if done and task.why != wm.DONE:
            return False
        placement = self.book.inherit(job, name.number, task.attempt, machine.id, self.now)
        job.attempts[name.number] = max(job.attempts[name.number], task.attempt)
        self.book.rebuild_waiting(job)
        if job.is_gang:
            job.gang_attempt = max(p.attempt for p in job.placed.values())
        self.book.mark_dirty(job, name.number, True)
        log.info("task %s attempt %d on %s is taken over from its report", name, task.attempt, machine.id)
        if done:
            self.book.task_done(placement)
            self._after_change(job)
            return False
        self.roster.attach(machine, placement, job.spec)
        return True
