"""The part of a term that ends cancelled jobs and proves that they are gone."""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.common.logging import logger
from meadowcross.common.types import (
    Instant,
    JobId,
    Mark,
    TaskId,
    WallTime,
)
from meadowcross.jobs import messages as jm
from meadowcross.jobs.book import Job
from meadowcross.leadership.messages import CancelsTold
from meadowcross.leadership.term_base import TermBase
from meadowcross.store import messages as sm
from meadowcross.store.commit import Built
from meadowcross.workers import messages as wm
from meadowcross.workers.departures import late_cancels, unheard_stops

log = logger("leadership")

CANCEL_SHARE = 0.5
STOPPED_AT_ONCE = 16
"""So many machines are told again, each tick, to stop what is cancelled: as with greetings, a leader has other work."""


class Cancellation(TermBase):
    """Stops cancelled tasks, by the record or by a peer's word, and stores ends that are proven."""

    def _call_off(self, job: Job, cancelled: WallTime) -> None:
        """Its cancel is stored: by its record, or by a peer's word alone."""
        if job.cancelled is None:
            log.info("job %s is cancelled, %d tasks placed", job.id, len(job.placed))
        # By who cancelled it: a clock ahead of ours would put off the deletion of what does not let go.
        job.cancelled = WallTime(min(cancelled, self.now))
        if self.loaded:
            self._clear(job)
            self.kick()

    def take_cancels(self, told: CancelsTold) -> bool:
        """A peer's word that these cancels are stored: as good as the watch for stopping their tasks, which stands
        still where the state service refuses us alone. Their ends wait until we have read the records. False: we can't
        take them in now."""
        if not self.loaded or self._stopped:
            return False
        for name, mark in told.jobs.items():
            job = self.book.jobs.get(name)
            if job is not None and job.cancelled is None:
                self._call_off(job, WallTime(self.now))
            elif job is None and name in told.unrecorded and name not in self._unproven:
                # Only machines know it: they are told to stop what is on no record, as of any job that is over.
                self._ended_here.add(name)
                self._unproven[name] = (mark, self.now)
                for machine in self.roster.machines.values():
                    machine.shown = None
        return True

    def _prove_ends(self) -> None:
        """Jobs that only machines knew, cancelled: their ends are stored as proven once no machine can have tasks."""
        for name, (mark, since) in self._unproven.items():
            if self._certain() and self._shown_nowhere(name, since):
                self.committer.add(("proven", name), self._proven(name, mark), True)

    def _proven(self, name: JobId, mark: Mark) -> Callable[[], Built | None]:
        key = jm.ended_key(name)
        ended = sm.raw(jm.EndedRecord(jm.Standing.CANCELLED, 0))

        def done(stored: Mark) -> None:
            log.info("job %s, known by its tasks only, ended: cancelled", name)
            self._unproven.pop(name, None)

        def build() -> Built | None:
            if name not in self._unproven:
                return None
            return Built([sm.Condition(key, mark)], [sm.Put(key, ended)], done)

        return build

    def _shown_nowhere(self, name: JobId, since: Instant) -> bool:
        """Whether no machine has a task of a job without a record, by what each told since we know that it is over. One
        that is older than this term and has not told may have any; until then strays of such a job may be asked about,
        and be in neither list."""
        return all(
            ((machine.confirmed and (machine.told_at or 0.0) > since) or machine.rented_at > self._began)
            and not any(TaskId.parse(task.task).job == name for task in (*machine.unclaimed, *machine.strays))
            for machine in self.roster.machines.values()
        )

    def _stops(self, report: wm.Report) -> list[wm.Command]:
        """Before the picture is there, which an outage may put off for long: what is known to be cancelled ends all
        the same. Our answers keep its machines' leases, and once kept such tasks for a whole outage."""
        return [
            wm.Command("stop", task.task, task.attempt, 0.0)
            for task in report.tasks
            if task.state is not wm.TaskState.EXITED and self._known_cancelled(TaskId.parse(task.task).job)
        ]

    def _known_cancelled(self, job: JobId) -> bool:
        if self._told(job):
            return True
        if job not in self._cancelled_before:
            item = self._follower.get(jm.open_key(job)) if self._follower is not None else None
            self._cancelled_before[job] = item is not None and jm.decode_record(item.value).cancelled is not None
        return self._cancelled_before[job]

    def _clear(self, job: Job) -> None:
        """A cancelled job: stop what runs, forget what was never sent."""
        now = self.now
        for placement in list(job.placed.values()):
            if not placement.started:
                self.roster.detach(placement, job.spec, now)
                self.book.gone(placement)
            else:
                # Also what is saving: nobody has any use for it.
                self.stop_task(placement, 0.0)
        self._after_change(job)

    def _clear_late_cancels(self) -> None:
        for placement in unheard_stops(self.book.jobs.values(), self.now, STOPPED_AT_ONCE):
            self.sender.end(placement)
        self._prove_ends()
        if not self.sure():
            return
        patience = CANCEL_SHARE * self._settings.facts.workers.cancel_s
        for job, late in late_cancels(self.book.jobs.values(), self.now, patience):
            names = [p.machine for p in job.placed.values()]
            self._condemn(names, f"holds tasks of job {job.id}, cancelled {late:.0f} s ago")
