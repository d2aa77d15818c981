"""Tasks that must leave a machine: before it is taken back, or after a cancel.

Pure functions over the book and a machine's record."""

from __future__ import annotations

from collections.abc import Iterable

from meadowcross.common.types import Instant, Seconds
from meadowcross.estimates.runs import Runs
from meadowcross.estimates.samples import ran
from meadowcross.jobs.job_table import Job, JobTable, Placement, PlacementPhase
from meadowcross.jobs.messages import checkpoint_grace_s
from meadowcross.workers.machine import Machine

OVERRUN_FACTOR = 1.5
STOP_RETRY_S: Seconds = 2.0
MIN_RUN_BEFORE_MOVE_S: Seconds = 30.0
"""A start counts for the aims if no command stops it within this time."""


def plan_reclaim_evictions(
    machine: Machine, book: JobTable, runs: Runs, now: Instant
) -> list[tuple[Placement, Seconds]]:
    """What to stop on a machine with a notice, and the time each may take to save: what can
    save does, a gang all together, or its save would fail; what can't end in time starts
    again elsewhere; what may end in time goes on."""
    if machine.reclaim_at is None:
        return []
    remaining_s = machine.reclaim_at - now
    stops: dict[int, tuple[Placement, Seconds]] = {}
    for placement in machine.placements.values():
        job = book.jobs.get(placement.task.job)
        if job is None or placement.stop_requested_at is not None or placement.phase is not PlacementPhase.RUNNING:
            continue
        if job.spec.checkpoint_interval_s > 0:
            if remaining_s > job.spec.checkpoint_save_s:
                for member in job.placements.values() if job.is_gang else [placement]:
                    if member.may_have_started and member.stop_requested_at is None:
                        stops[id(member)] = (member, max(remaining_s, job.spec.checkpoint_save_s))
        elif not job.is_gang and runs.left(job.spec, ran(job, placement, now)) > OVERRUN_FACTOR * max(remaining_s, 0.0):
            stops[id(placement)] = (placement, 0.0)
    return list(stops.values())


def unacknowledged_stops(jobs: Iterable[Job], now: Instant, max_machines: int) -> list[Placement]:
    """Tasks of cancelled jobs that are not gone though their machines were told to stop them, of `most` machines at the
    most, those that were told longest ago first: the request may be lost, and a machine that reaches no controller
    hears of it in no answer."""
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


def overdue_cancellations(jobs: Iterable[Job], now: Instant, patience_s: Seconds) -> list[tuple[Job, Seconds]]:
    """Cancelled jobs that stops don't clear, and how long ago they were cancelled: their
    tasks go with their machines, in time."""
    return [
        (job, now - job.cancelled_at)
        for job in jobs
        if job.cancelled_at is not None and job.placements and now - job.cancelled_at >= patience_s
    ]


def plan_drain_evictions(machine: Machine, book: JobTable, runs: Runs, now: Instant) -> list[tuple[Placement, Seconds]]:
    """What to stop on a draining machine, and the time each may take to save: saved progress
    goes on elsewhere, what can't be saved or is about to end may end here. A task that runs
    longer than expected is not about to end: once such tasks held dear machines for minutes."""
    stops = []
    for placement in machine.placements.values():
        job = book.jobs.get(placement.task.job)
        if job is None or job.is_gang or job.spec.checkpoint_interval_s <= 0 or placement.stop_requested_at is not None:
            continue
        if placement.phase is not PlacementPhase.RUNNING or placement.running_at is None:
            continue
        remaining_s = runs.left(job.spec, ran(job, placement, now))
        if (
            now - placement.running_at > MIN_RUN_BEFORE_MOVE_S
            and not 0 <= remaining_s <= 2 * job.spec.checkpoint_save_s
        ):
            stops.append((placement, checkpoint_grace_s(job.spec.checkpoint_save_s)))
    return stops
