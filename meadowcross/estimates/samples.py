"""Turns ends of tasks into samples of run times, and passes them to the estimators."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.types import Instant, MachineId, Seconds
from meadowcross.estimates.estimators import RunTimeEstimator
from meadowcross.jobs.job_table import Job, JobTable, Placement, PlacementPhase
from meadowcross.jobs.messages import JobSpec


def elapsed_run_s(job: Job, placement: Placement, now: Instant) -> Seconds:
    """Return how long the task has run by now, including the checkpointed progress of earlier attempts.

    Returns 0 for a task that does not run yet."""
    if placement.running_at is None:
        return 0.0
    until = now if placement.stop_requested_at is None else max(placement.stop_requested_at, placement.running_at)
    return max(0.0, until - placement.running_at) + job.checkpointed_progress.get(placement.task.number, 0.0)


def is_run_fully_observed(job: Job, placement: Placement) -> bool:
    """Whether this leader has observed the task's whole run.

    That is not so for a placement of an earlier leader, or for an attempt that resumes from progress which only an
    earlier leader observed."""
    if placement.is_inherited:
        return False
    return (
        placement.attempt == 1
        or job.spec.checkpoint_interval_s <= 0
        or placement.task.number in job.checkpointed_progress
    )


class SampleMachine(NamedTuple):
    """The machine that a task ran on."""

    machine_id: MachineId
    machine_type: str
    is_healthy: bool
    """False while the machine is suspected of faults."""
    silence_ended_at: Instant | None
    """When the machine last sent a heartbeat again after a silence; None if it was never silent."""


class SampleCollector:
    """Passes samples of run times to all estimators that learn."""

    def __init__(self, learners: Sequence[RunTimeEstimator]) -> None:
        self._learners = learners

    def on_task_completed(self, job: Job, placement: Placement, machine: SampleMachine, now: Instant) -> None:
        """Record that the task completed."""
        if placement.running_at is None:
            # The task's result was kept from an earlier attempt: it did not run this time.
            return
        run_s = elapsed_run_s(job, placement, now)
        if machine.silence_ended_at is not None and machine.silence_ended_at > placement.running_at:
            # The machine hung or was cut off during the run, so the task's end is not known. A network partition of
            # minutes once made all runs behind it look minutes longer.
            return
        for learner in self._learners:
            with ErrorBoundary("learning from a completed task", job=job.id):
                if machine.is_healthy and is_run_fully_observed(job, placement):
                    learner.on_completed(job.spec, run_s, machine.machine_id, machine.machine_type)
                elif machine.is_healthy:
                    learner.on_interrupted(job.spec, run_s)

    def on_task_interrupted(
        self, job: Job, placement: Placement, has_saved_progress: bool, last_contact_at: Instant | None, now: Instant
    ) -> None:
        """Record that the task ended without completing, and keep its checkpointed progress.

        `last_contact_at` is the machine's last contact if nothing later is known of the task, else None."""
        if placement.running_at is None:
            return
        ended_at = now if last_contact_at is None else Instant(min(now, max(last_contact_at, placement.running_at)))
        run_s = elapsed_run_s(job, placement, ended_at)
        for learner in self._learners:
            with ErrorBoundary("learning from an interrupted task", job=job.id):
                learner.on_interrupted(job.spec, run_s)
        spec = job.spec
        if spec.checkpoint_interval_s > 0 and is_run_fully_observed(job, placement):
            # Not `//`: its quotient is infinite for a very short interval, a remainder is always finite.
            lost_s = 0.0 if has_saved_progress else run_s % spec.checkpoint_interval_s
            job.checkpointed_progress[placement.task.number] = run_s - lost_s

    def update_running(self, job_table: JobTable, now: Instant) -> None:
        """Report how long all running tasks have lasted, so that overdue runs count before they end."""
        if self._learners:
            running = list(_list_running(job_table, now))
            for learner in self._learners:
                learner.update_running(running)


def _list_running(job_table: JobTable, now: Instant) -> Iterable[tuple[JobSpec, list[Seconds]]]:
    for job in job_table.jobs.values():
        if job.cancelled_at is None and not job.is_ending:
            elapsed_s = [
                elapsed_run_s(job, p, now)
                for p in job.placements.values()
                if p.phase is PlacementPhase.RUNNING and p.stop_requested_at is None
            ]
            if elapsed_s:
                yield job.spec, elapsed_s
