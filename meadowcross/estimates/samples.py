"""Which part of a task's life is a run, and what an end says of it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from meadowcross.common.types import Instant, MachineId, Seconds
from meadowcross.estimates.runs import Runs
from meadowcross.jobs.job_table import Job, JobTable, Placement, PlacementPhase
from meadowcross.jobs.messages import JobSpec


def ran(job: Job, placement: Placement, now: Instant) -> Seconds:
    """How long the task has run by now, earlier attempts that it goes on from included;
    0 before it runs."""
    if placement.running_at is None:
        return 0.0
    until = now if placement.stop_requested_at is None else max(placement.stop_requested_at, placement.running_at)
    return max(0.0, until - placement.running_at) + job.checkpointed_progress.get(placement.task.number, 0.0)


def whole(job: Job, placement: Placement) -> bool:
    """Whether all of the task's run was seen: not what an earlier leader started, and not what
    goes on from progress that only an earlier leader saw."""
    if placement.is_inherited:
        return False
    return (
        placement.attempt == 1
        or job.spec.checkpoint_interval_s <= 0
        or placement.task.number in job.checkpointed_progress
    )


class Where(NamedTuple):
    """The machine that a task ran on."""

    machine: MachineId
    type: str
    sound: bool
    """It is not suspected of faults."""
    silent_until: Instant | None
    """When it was last heard again after a silence."""


class Samples:
    """Hands ends to whatever learns from them."""

    def __init__(self, learners: Sequence[Runs]) -> None:
        self._learners = learners

    def done(self, job: Job, placement: Placement, where: Where, now: Instant) -> None:
        """The task completed."""
        if placement.running_at is None:
            # Its result was kept from before: it did not run this time.
            return
        lasted = ran(job, placement, now)
        if where.silent_until is not None and where.silent_until > placement.running_at:
            # It hung, or could not be heard: nobody knows when the task ended. Once a cut of
            # minutes made all that ran behind it look that much longer.
            return
        for learner in self._learners:
            if where.sound and whole(job, placement):
                learner.done(job.spec, lasted, where.machine, where.type)
            elif where.sound:
                learner.cut(job.spec, lasted)

    def gone(self, job: Job, placement: Placement, saved: bool, heard: Instant | None, now: Instant) -> None:
        """The task is gone unfinished. `heard`: when its machine was last heard, where that
        is all that is known of it."""
        if placement.running_at is None:
            return
        end = now if heard is None else Instant(min(now, max(heard, placement.running_at)))
        lasted = ran(job, placement, end)
        for learner in self._learners:
            learner.cut(job.spec, lasted)
        spec = job.spec
        if spec.checkpoint_interval_s > 0 and whole(job, placement):
            kept = lasted if saved else lasted // spec.checkpoint_interval_s * spec.checkpoint_interval_s
            job.checkpointed_progress[placement.task.number] = kept

    def watch(self, book: JobTable, now: Instant) -> None:
        """Tell how long everything has run by now, so that what is overdue shows before it ends."""
        if self._learners:
            running = list(_running(book, now))
            for learner in self._learners:
                learner.watch(running)


def _running(book: JobTable, now: Instant) -> Iterable[tuple[JobSpec, list[Seconds]]]:
    for job in book.jobs.values():
        if job.cancelled_at is None and not job.is_ending:
            lasted = [
                ran(job, p, now)
                for p in job.placements.values()
                if p.phase is PlacementPhase.RUNNING and p.stop_requested_at is None
            ]
            if lasted:
                yield job.spec, lasted
