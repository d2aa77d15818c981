"""Tasks that must leave a machine: before it is taken back, or after a cancel.

Pure functions over the book and a machine's record."""

from __future__ import annotations

from collections.abc import Iterable

from meadowcross.common.types import Instant, Seconds
from meadowcross.estimates.runs import Runs
from meadowcross.estimates.samples import ran
from meadowcross.jobs.book import Book, Job, Phase, Placement
from meadowcross.jobs.messages import time_to_save
from meadowcross.workers.roster import Machine

LATE_FACTOR = 1.5
STOP_AGAIN_S: Seconds = 2.0
SETTLED_S: Seconds = 30.0
"""A start counts for the aims if no command stops it within this time."""


def leaving(machine: Machine, book: Book, runs: Runs, now: Instant) -> list[tuple[Placement, Seconds]]:
    """What to stop on a machine with a notice, and the time each may take to save: what can
    save does, a gang all together, or its save would fail; what can't end in time starts
    again elsewhere; what may end in time goes on."""
    if machine.taken_at is None:
        return []
    left = machine.taken_at - now
    stops: dict[int, tuple[Placement, Seconds]] = {}
    for placement in machine.placements.values():
        job = book.jobs.get(placement.task.job)
        if job is None or placement.stop_at is not None or placement.phase is not Phase.RUNNING:
            continue
        if job.spec.checkpoint_s > 0:
            if left > job.spec.save_s:
                for other in job.placed.values() if job.is_gang else [placement]:
                    if other.started and other.stop_at is None:
                        stops[id(other)] = (other, max(left, job.spec.save_s))
        elif not job.is_gang and runs.left(job.spec, ran(job, placement, now)) > LATE_FACTOR * max(left, 0.0):
            stops[id(placement)] = (placement, 0.0)
    return list(stops.values())


def unheard_stops(jobs: Iterable[Job], now: Instant, most: int) -> list[Placement]:
    """Tasks of cancelled jobs that are not gone though their machines were told to stop them, of `most` machines at the
    most, those that were told longest ago first: the request may be lost, and a machine that reaches no controller
    hears of it in no answer."""
    left = [
        placement
        for job in jobs
        if job.cancelled is not None
        for placement in job.placed.values()
        if placement.started and placement.told_at is not None and now - placement.told_at >= STOP_AGAIN_S
    ]
    left.sort(key=lambda placement: placement.told_at or 0.0)
    chosen = set(list(dict.fromkeys(placement.machine for placement in left))[:most])
    return [placement for placement in left if placement.machine in chosen]


def late_cancels(jobs: Iterable[Job], now: Instant, patience: Seconds) -> list[tuple[Job, Seconds]]:
    """Cancelled jobs that stops don't clear, and how long ago they were cancelled: their
    tasks go with their machines, in time."""
    return [
        (job, now - job.cancelled)
        for job in jobs
        if job.cancelled is not None and job.placed and now - job.cancelled >= patience
    ]


def moving_off(machine: Machine, book: Book, runs: Runs, now: Instant) -> list[tuple[Placement, Seconds]]:
    """What to stop on a draining machine, and the time each may take to save: saved progress
    goes on elsewhere, what can't be saved or is about to end may end here. A task that runs
    longer than expected is not about to end: once such tasks held dear machines for minutes."""
    stops = []
    for placement in machine.placements.values():
        job = book.jobs.get(placement.task.job)
        if job is None or job.is_gang or job.spec.checkpoint_s <= 0 or placement.stop_at is not None:
            continue
        if placement.phase is not Phase.RUNNING or placement.running_at is None:
            continue
        left = runs.left(job.spec, ran(job, placement, now))
        if now - placement.running_at > SETTLED_S and not 0 <= left <= 2 * job.spec.save_s:
            stops.append((placement, time_to_save(job.spec.save_s)))
    return stops
