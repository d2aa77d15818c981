"""Snapshots for placement: which want may still start promptly on a machine with its image."""

from __future__ import annotations

import msgspec
import pytest
from twisted.internet.task import Clock

from lab.standins import TYPES
from meadowcross.common.settings import Objective, Settings
from meadowcross.common.types import Mark, Token, WallTime
from meadowcross.estimates.runs import MeanRuns
from meadowcross.fleet.messages import decode_types, encode
from meadowcross.jobs.book import Book
from meadowcross.jobs.messages import JobRecord, JobSpec
from meadowcross.leadership.view import View
from meadowcross.workers.health import Health
from meadowcross.workers.roster import Roster
from tests.conftest import SETTINGS, job

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
    types = decode_types(encode({"builds": TYPES})).types
    book = Book()
    book.add(JobRecord(msgspec.convert(job(herd=job_class, pullGb=image), JobSpec), WallTime(100.0)), Mark(1))
    view = View(clock, facts, lambda: types, book, Roster(Token(1)), Health(bool), MeanRuns())
    assert [want.warm_only for want in view.wants()] == [warm_only]
