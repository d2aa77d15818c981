"""Tasks that must leave a machine: before the cloud reclaims it, while it is drained, or after a cancellation.

Pure functions over the job table and a machine's state.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from meadowcross.common.types import Instant, Seconds
from meadowcross.estimates.runs import Runs
from meadowcross.estimates.samples import ran
from meadowcross.jobs.job_table import Job, JobTable, Placement, PlacementPhase
from meadowcross.jobs.messages import checkpoint_grace_s
from meadowcross.workers.machine import Machine

OVERRUN_FACTOR = 1.5
"""A task is stopped before a reclaim only if it is expected to need this much longer than there is left: the estimate
may be too high, and the task may end in time."""
STOP_RETRY_S: Seconds = 2.0
"""A stop whose task is not gone is sent again after this time."""
MIN_RUN_BEFORE_MOVE_S: Seconds = 30.0
"""A start counts for the service level objectives if no command stops it within this time."""


class Eviction(NamedTuple):
    """A placement to stop, and the time that it may take to save a checkpoint."""

    placement: Placement
    grace_s: Seconds


class OverdueCancellation(NamedTuple):
    """A cancelled job with placements left, and how long ago it was cancelled."""

    job: Job
    cancelled_for_s: Seconds


def plan_reclaim_evictions(machine: Machine, job_table: JobTable, runs: Runs, now: Instant) -> list[Eviction]:
    """What to stop on a machine with a spot notice. A task with checkpoints saves, a gang all together, since the save
    of a part would fail; a task that can't end in time is stopped at once to start again elsewhere; one that may end
    in time goes on."""
    if machine.reclaim_at is None:
        return []
    remaining_s = machine.reclaim_at - now
    stops: dict[int, Eviction] = {}
    for placement in machine.placements.values():
        job = job_table.jobs.get(placement.task.job)
        if job is None or placement.stop_requested_at is not None or placement.phase is not PlacementPhase.RUNNING:
            continue
        if job.spec.checkpoint_interval_s > 0:
            if remaining_s > job.spec.checkpoint_save_s:
                for member in job.placements.values() if job.is_gang else [placement]:
                    if member.may_have_started and member.stop_requested_at is None:
                        stops[id(member)] = Eviction(member, max(remaining_s, job.spec.checkpoint_save_s))
        elif not job.is_gang and runs.left(job.spec, ran(job, placement, now)) > OVERRUN_FACTOR * max(remaining_s, 0.0):
            stops[id(placement)] = Eviction(placement, 0.0)
    return list(stops.values())


def unacknowledged_stops(jobs: Iterable[Job], now: Instant, max_machines: int) -> list[Placement]:
    """Placements of cancelled jobs that are not gone although their stops were sent, of at most `max_machines`
    machines, those of the oldest stops first: the request may be lost, and a machine that reaches no controller gets
    the stop in no response to a heartbeat."""
    overdue = [
        placement
        for job in jobs
        if job.cancelled_at is not None
        for placement in job.placements.values()
        if placement.may_have_started
        and placement.stop_sent_at is not None
        and now - placement.stop_sent_at >= STOP_RETRY_S
    ]
    overdue.sort(key=lambda placement: placement.stop_sent_at or 0.0)
    chosen = set(list(dict.fromkeys(placement.machine for placement in overdue))[:max_machines])
    return [placement for placement in overdue if placement.machine in chosen]


def overdue_cancellations(jobs: Iterable[Job], now: Instant, patience_s: Seconds) -> list[OverdueCancellation]:
    """Jobs that were cancelled at least `patience_s` ago and that stops don't clear: their machines are to be deleted,
    so that the tasks end in time."""
    return [
        OverdueCancellation(job, now - job.cancelled_at)
        for job in jobs
        if job.cancelled_at is not None and job.placements and now - job.cancelled_at >= patience_s
    ]


def plan_drain_evictions(machine: Machine, job_table: JobTable, runs: Runs, now: Instant) -> list[Eviction]:
    """What to stop on a draining machine: saved progress continues elsewhere; a task without checkpoints, or one that
    is about to end, may end here. One that runs longer than expected is not about to end: such tasks would keep
    expensive machines for minutes."""
    stops: list[Eviction] = []
    for placement in machine.placements.values():
        job = job_table.jobs.get(placement.task.job)
        if job is None or job.is_gang or job.spec.checkpoint_interval_s <= 0 or placement.stop_requested_at is not None:
            continue
        if placement.phase is not PlacementPhase.RUNNING or placement.running_at is None:
            continue
        remaining_s = runs.left(job.spec, ran(job, placement, now))
        if (
            now - placement.running_at > MIN_RUN_BEFORE_MOVE_S
            and not 0 <= remaining_s <= 2 * job.spec.checkpoint_save_s
        ):
            stops.append(Eviction(placement, checkpoint_grace_s(job.spec.checkpoint_save_s)))
    return stops
