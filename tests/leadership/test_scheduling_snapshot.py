"""Snapshots for placement: which want may still start promptly on a machine with its image."""

from __future__ import annotations

import msgspec
import pytest
from twisted.internet.task import Clock

from meadowcross.autoscaling.messages import decode_machine_types, encode
from meadowcross.common.settings import Objective, Settings
from meadowcross.common.types import FencingToken, Instant, Revision, WallTime
from meadowcross.estimates.runs import MeanRuns
from meadowcross.jobs.job_table import JobTable
from meadowcross.jobs.messages import JobRecord, JobSpec
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.registry import WorkerRegistry
from simulation.standins import TYPES
from tests.support.world import SETTINGS, job

WARM_ONLY = [
    # name, class, aim on the start, seconds since its submission, image; fetched at 1 GB a second
    ("in time only without a fetch", "prompt", 1.0, 0.2, 1.5, True),
    ("half of the time is gone", "prompt", 1.0, 0.5, 1.5, False),
    ("a fetch is quick enough", "prompt", 1.0, 0.2, 0.7, False),
    ("no hurry to start", "prompt", 70.0, 5.0, 1.5, False),
    ("a class without such an aim", "train", 1.0, 0.2, 1.5, False),
]


@pytest.mark.parametrize(
    ("job_class", "within", "elapsed", "image", "warm_only"), [w[1:] for w in WARM_ONLY], ids=[w[0] for w in WARM_ONLY]
)
def test_warm_only(job_class, within, elapsed, image, warm_only):
    clock = Clock()
    clock.advance(100.0 + elapsed)
    settings = msgspec.convert(SETTINGS, Settings)
    facts = msgspec.structs.replace(settings.facts, objectives=[Objective("wait", "prompt", 0.8, None, within)])
    types = decode_machine_types(encode({"builds": TYPES})).types
    book = JobTable()
    book.add(JobRecord(msgspec.convert(job(herd=job_class, pullGb=image), JobSpec), WallTime(100.0)), Revision(1))
    view = SchedulingView(
        clock, facts, lambda: types, book, WorkerRegistry(FencingToken(1)), FailureTracker(bool), MeanRuns()
    )
    assert [want.requires_cached_image for want in view.pending_jobs()] == [warm_only]


BEGIN = [
    # kind, seconds since its submission, attempts so far, whether it must begin, and with how many tasks
    ("not yet", "batch", 100.0, [0, 0], (False, 2)),
    ("an array", "batch", 130.0, [0, 0], (True, 1)),
    ("a gang, all of it", "group", 130.0, [0, 0], (True, 2)),
    ("begun, and nothing placed for long: a task at a time", "batch", 130.0, [1, 0], (True, 1)),
    ("begun, and lost lately", "batch", 100.0, [1, 0], (False, 2)),
]


@pytest.mark.parametrize(("kind", "elapsed", "attempts", "expected"), [b[1:] for b in BEGIN], ids=[b[0] for b in BEGIN])
def test_what_never_began_must_begin_within_four_minutes(kind, elapsed, attempts, expected):
    clock = Clock()
    clock.advance(100.0 + elapsed)
    facts = msgspec.convert(SETTINGS, Settings).facts
    types = decode_machine_types(encode({"builds": TYPES})).types
    book = JobTable()
    waits = book.add(JobRecord(msgspec.convert(job(breed=kind), JobSpec), WallTime(100.0)), Revision(1))
    list(waits.load_chunk(0, attempts))
    book.rebuild_waiting(waits)
    view = SchedulingView(
        clock, facts, lambda: types, book, WorkerRegistry(FencingToken(1)), FailureTracker(bool), MeanRuns()
    )
    assert [(want.is_starved, want.task_count) for want in view.pending_jobs()] == [expected]


LOST = [
    # kind, image in GB at 1 GB a second, seconds since it was lost, whether only warm room is taken, whether in a hurry
    ("a replica just lost", "daemon", 30.0, 1.0, True, True),
    ("no warm room was made in time", "daemon", 30.0, 2.5, False, True),
    ("a quick fetch", "daemon", 1.0, 1.0, False, True),
    ("an array's task", "batch", 30.0, 1.0, False, False),
]


@pytest.mark.parametrize(
    ("kind", "image", "ago", "warm_only", "hurry"), [one[1:] for one in LOST], ids=[one[0] for one in LOST]
)
def test_a_lost_replica_waits_a_moment_for_room_where_its_image_is(kind, image, ago, warm_only, hurry):
    """Replicas of lost machines fetched 6 GB anew for 30 to 45 s beside idle-time work on machines that had it."""
    clock = Clock()
    clock.advance(500.0)
    facts = msgspec.convert(SETTINGS, Settings).facts
    types = decode_machine_types(encode({"builds": TYPES})).types
    book = JobTable()
    spec = msgspec.convert(job(breed=kind, pullGb=image, scatter=True, sundownS=None), JobSpec)
    lost = book.add(JobRecord(spec, WallTime(100.0)), Revision(1))
    lost.attempts = [1, 1]
    book.rebuild_waiting(lost)
    lost.last_loss_at = Instant(500.0 - ago)
    view = SchedulingView(
        clock, facts, lambda: types, book, WorkerRegistry(FencingToken(1)), FailureTracker(bool), MeanRuns()
    )
    (want,) = view.pending_jobs()
    assert (want.requires_cached_image, want.start_slack_s < 0) == (warm_only, hurry)
