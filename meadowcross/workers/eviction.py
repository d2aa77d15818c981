"""Selects the tasks to stop on a machine: before the cloud reclaims it, while it drains, or after a cancellation.

All functions are pure functions of the job table and a machine's state.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.types import Instant, JobId, Seconds
from meadowcross.estimates.estimators import RunTimeEstimator
from meadowcross.estimates.samples import elapsed_run_s
from meadowcross.jobs.job_table import Job, JobTable, Placement, PlacementPhase
from meadowcross.jobs.messages import checkpoint_grace_s
from meadowcross.workers.machine import Machine

OVERRUN_FACTOR = 1.5
"""A task without checkpoints is stopped before a reclaim only if its expected time left exceeds the machine's time left
by this factor: the estimate may be too high, and the task may end in time."""
STOP_RETRY_S: Seconds = 2.0
"""A stop command is sent again after this time if its task is not gone."""
MIN_RUN_BEFORE_MOVE_S: Seconds = 30.0
"""A task is not moved before it has run for this time: a start counts for the service level objectives only if no
command stops it within the time."""


class Eviction(NamedTuple):
    """A placement to stop, and its grace period to save a checkpoint."""

    placement: Placement
    grace_s: Seconds


class OverdueCancellation(NamedTuple):
    """A cancelled job that still has placements, and the time since its cancellation."""

    job: Job
    cancelled_for_s: Seconds


def plan_reclaim_evictions(
    machine: Machine, job_table: JobTable, estimator: RunTimeEstimator, now: Instant
) -> list[Eviction]:
    """Return the placements to stop on a machine with an eviction notice.

    A task with checkpoints saves one. In a gang all tasks save together, since a checkpoint of some of them would
    fail. A task without checkpoints that can't end in time is stopped at once to start again on another machine; a task
    that may end in time continues.
    """
    if machine.reclaim_at is None:
        return []
    remaining_s = machine.reclaim_at - now
    evictions: dict[int, Eviction] = {}
    planned_gangs: set[JobId] = set()
    for placement in machine.placements.values():
        job = job_table.jobs.get(placement.task.job)
        if job is None or placement.stop_requested_at is not None or placement.phase is not PlacementPhase.RUNNING:
            continue
        if job.is_gang:
            # One member's evictions are those of all members, however many of them are on the machine.
            if job.id in planned_gangs:
                continue
            planned_gangs.add(job.id)
        with ErrorBoundary("planning evictions before a reclaim", job=job.id, machine=machine.id):
            for eviction in _plan_reclaim_evictions_of(job, placement, remaining_s, estimator, now):
                evictions[id(eviction.placement)] = eviction
    return list(evictions.values())


def _plan_reclaim_evictions_of(
    job: Job, placement: Placement, remaining_s: Seconds, estimator: RunTimeEstimator, now: Instant
) -> list[Eviction]:
    """Return the placements of one job to stop because of one of its placements."""
    checkpoint_save_s = job.spec.checkpoint_save_s
    if job.spec.checkpoint_interval_s > 0:
        if remaining_s <= checkpoint_save_s:
            return []
        return [
            Eviction(member, max(remaining_s, checkpoint_save_s))
            for member in (job.placements.values() if job.is_gang else [placement])
            if member.may_have_started and member.stop_requested_at is None
        ]
    if job.is_gang:
        return []
    expected_s = estimator.remaining_time(job.spec, elapsed_run_s(job, placement, now))
    return [Eviction(placement, 0.0)] if expected_s > OVERRUN_FACTOR * max(remaining_s, 0.0) else []


def unacknowledged_stops(jobs: Iterable[Job], now: Instant, max_machines: int) -> list[Placement]:
    """Return placements of cancelled jobs that are not gone although their stop commands were sent.

    They are on at most `max_machines` machines, chosen by the oldest stop commands. The request may have been lost, and
    a machine that reaches no controller receives no stop command in the response to a heartbeat.
    """
    unacknowledged = [
        placement
        for job in jobs
        if job.cancelled_at is not None
        for placement in job.placements.values()
        if placement.may_have_started
        and placement.stop_sent_at is not None
        and now - placement.stop_sent_at >= STOP_RETRY_S
    ]
    unacknowledged.sort(key=lambda placement: placement.stop_sent_at or 0.0)
    machines = set(list(dict.fromkeys(placement.machine for placement in unacknowledged))[:max_machines])
    return [placement for placement in unacknowledged if placement.machine in machines]


def overdue_cancellations(jobs: Iterable[Job], now: Instant, min_age_s: Seconds) -> list[OverdueCancellation]:
    """Return the jobs that were cancelled at least `min_age_s` ago and still have placements.

    Their stop commands have no effect, so their machines are to be deleted to end the tasks in time.
    """
    return [
        OverdueCancellation(job, now - job.cancelled_at)
        for job in jobs
        if job.cancelled_at is not None and job.placements and now - job.cancelled_at >= min_age_s
    ]


def plan_drain_evictions(
    machine: Machine, job_table: JobTable, estimator: RunTimeEstimator, now: Instant
) -> list[Eviction]:
    """Return the placements to stop on a draining machine.

    A task with checkpoints continues from its checkpoint on another machine. A task without checkpoints, or one that is
    about to end, may end here. A task that has run for longer than expected does not count as about to end: such tasks
    would keep expensive machines for minutes.
    """
    evictions: list[Eviction] = []
    for placement in machine.placements.values():
        job = job_table.jobs.get(placement.task.job)
        if job is None or job.is_gang or job.spec.checkpoint_interval_s <= 0 or placement.stop_requested_at is not None:
            continue
        if placement.phase is not PlacementPhase.RUNNING or placement.running_at is None:
            continue
        with ErrorBoundary("planning evictions of a draining machine", job=job.id, machine=machine.id):
            remaining_s = estimator.remaining_time(job.spec, elapsed_run_s(job, placement, now))
            if (
                now - placement.running_at > MIN_RUN_BEFORE_MOVE_S
                and not 0 <= remaining_s <= 2 * job.spec.checkpoint_save_s
            ):
                evictions.append(Eviction(placement, checkpoint_grace_s(job.spec.checkpoint_save_s)))
    return evictions
