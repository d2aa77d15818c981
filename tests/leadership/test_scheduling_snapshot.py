"""Pending jobs in the scheduling view: which of them require a cached image, and which are starved."""

from __future__ import annotations

import msgspec
import pytest
from twisted.internet.task import Clock

from meadowcross.autoscaling.messages import decode_machine_types, encode
from meadowcross.common.settings import Objective, Settings
from meadowcross.common.types import FencingToken, Instant, Revision, WallTime
from meadowcross.estimates.estimators import MeanRatioEstimator
from meadowcross.jobs.job_table import JobTable
from meadowcross.jobs.messages import JobRecord, JobSpec
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.registry import WorkerRegistry
from simulation.standins import TYPES
from tests.support.world import SETTINGS, job

CACHED_IMAGE_CASES = [
    # class, objective on the start (s), age of the job (s), image (GB, fetched at 1 GB/s), whether it must be cached
    ("in time only without a fetch", "prompt", 1.0, 0.2, 1.5, True),
    ("half of the time has passed", "prompt", 1.0, 0.5, 1.5, False),
    ("fetch is quick enough", "prompt", 1.0, 0.2, 0.7, False),
    ("long objective", "prompt", 70.0, 5.0, 1.5, False),
    ("class without an objective on the start", "train", 1.0, 0.2, 1.5, False),
]


@pytest.mark.parametrize(
    ("job_class", "start_within_s", "age_s", "image_gb", "requires_cached_image"),
    [row[1:] for row in CACHED_IMAGE_CASES],
    ids=[row[0] for row in CACHED_IMAGE_CASES],
)
def test_cached_image_is_required_while_only_it_meets_the_objective(
    job_class, start_within_s, age_s, image_gb, requires_cached_image
):
    clock = Clock()
    clock.advance(100.0 + age_s)
    settings = msgspec.convert(SETTINGS, Settings)
    facts = msgspec.structs.replace(settings.facts, objectives=[Objective("wait", "prompt", 0.8, None, start_within_s)])
    types = decode_machine_types(encode({"builds": TYPES})).types
    job_table = JobTable()
    job_table.add(
        JobRecord(msgspec.convert(job(herd=job_class, pullGb=image_gb), JobSpec), WallTime(100.0)), Revision(1)
    )
    view = SchedulingView(
        clock,
        facts,
        lambda: types,
        job_table,
        WorkerRegistry(FencingToken(1)),
        FailureTracker(bool),
        MeanRatioEstimator(),
    )
    assert [pending.requires_cached_image for pending in view.pending_jobs()] == [requires_cached_image]


STARVATION_CASES = [
    # kind, age of the job (s), attempts of its tasks, whether it is starved, and how many tasks to place
    ("not yet", "batch", 100.0, [0, 0], (False, 2)),
    ("array with one task", "batch", 130.0, [0, 0], (True, 1)),
    ("gang with all members", "group", 130.0, [0, 0], (True, 2)),
    ("array that began, with one task", "batch", 130.0, [1, 0], (True, 1)),
    ("began, and not waiting for long", "batch", 100.0, [1, 0], (False, 2)),
]


@pytest.mark.parametrize(
    ("kind", "age_s", "attempts", "expected"),
    [row[1:] for row in STARVATION_CASES],
    ids=[row[0] for row in STARVATION_CASES],
)
def test_job_without_placements_is_starved_after_two_minutes(kind, age_s, attempts, expected):
    clock = Clock()
    clock.advance(100.0 + age_s)
    facts = msgspec.convert(SETTINGS, Settings).facts
    types = decode_machine_types(encode({"builds": TYPES})).types
    job_table = JobTable()
    waiting_job = job_table.add(JobRecord(msgspec.convert(job(breed=kind), JobSpec), WallTime(100.0)), Revision(1))
    list(waiting_job.load_chunk(0, attempts))
    job_table.rebuild_waiting(waiting_job)
    view = SchedulingView(
        clock,
        facts,
        lambda: types,
        job_table,
        WorkerRegistry(FencingToken(1)),
        FailureTracker(bool),
        MeanRatioEstimator(),
    )
    assert [(pending.is_starved, pending.task_count) for pending in view.pending_jobs()] == [expected]


LOST_REPLICA_CASES = [
    # kind, image (GB, fetched at 1 GB/s), time since the loss (s), whether the image must be cached, whether it is late
    ("replica just lost", "daemon", 30.0, 1.0, True, True),
    ("no machine with the image in time", "daemon", 30.0, 2.5, False, True),
    ("quick fetch", "daemon", 1.0, 1.0, False, True),
    ("task of an array", "batch", 30.0, 1.0, False, False),
]


@pytest.mark.parametrize(
    ("kind", "image_gb", "lost_for_s", "requires_cached_image", "is_late"),
    [row[1:] for row in LOST_REPLICA_CASES],
    ids=[row[0] for row in LOST_REPLICA_CASES],
)
def test_lost_replica_waits_briefly_for_a_machine_with_its_image(
    kind, image_gb, lost_for_s, requires_cached_image, is_late
):
    """Guards against replicas of lost machines that fetch 6 GB again for 30 to 45 s, while tasks of idle priority run
    on machines that have the image."""
    clock = Clock()
    clock.advance(500.0)
    facts = msgspec.convert(SETTINGS, Settings).facts
    types = decode_machine_types(encode({"builds": TYPES})).types
    job_table = JobTable()
    spec = msgspec.convert(job(breed=kind, pullGb=image_gb, scatter=True, sundownS=None), JobSpec)
    lost_job = job_table.add(JobRecord(spec, WallTime(100.0)), Revision(1))
    lost_job.attempts = [1, 1]
    job_table.rebuild_waiting(lost_job)
    lost_job.last_loss_at = Instant(500.0 - lost_for_s)
    view = SchedulingView(
        clock,
        facts,
        lambda: types,
        job_table,
        WorkerRegistry(FencingToken(1)),
        FailureTracker(bool),
        MeanRatioEstimator(),
    )
    (pending,) = view.pending_jobs()
    assert (pending.requires_cached_image, pending.start_slack_s < 0) == (requires_cached_image, is_late)
