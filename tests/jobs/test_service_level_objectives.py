"""Which of its class's aims a job goes by, and how much time that leaves."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.settings import Objective
from meadowcross.jobs.messages import JobSpec
from meadowcross.jobs.objectives import NO_DEADLINE_S, ServiceLevelObjectives, slack
from tests.support.world import job

AIMS = ServiceLevelObjectives(
    [
        Objective("deadline", "train", 0.9, 1.5),
        Objective("deadline", "train", 0.9, 1.0),
        Objective("finished", "slow", 0.9, None, 250.0),
        Objective("wait", "train", 0.9, None, 30.0),
        Objective("wait", "train", 0.9, None, 1.0),
    ]
)
SLACK = [
    # name, class, deadline, seconds since its submission, expected run, what is left
    ("in time", "train", 90.0, 10.0, 30.0, 50.0),
    ("late by less than the estimate's error", "train", 90.0, 66.0, 30.0, -6.0),
    ("too late for its deadline: the next that counts", "train", 90.0, 70.0, 30.0, 35.0),
    ("too late for all: a time that grows", "train", 90.0, 120.0, 30.0, 52.5),
    ("far too late", "train", 90.0, 1000.0, 30.0, 135.0 * 1.5**5 - 1030.0),
    ("longer than its deadline from the start", "train", 90.0, 0.0, 130.0, 5.0),
    ("no deadline of its own, an aim on its end", "slow", None, 100.0, 50.0, 100.0),
    ("neither", "other", None, 100.0, 50.0, NO_DEADLINE_S),
    ("a deadline that no aim counts", "other", 90.0, 100.0, 50.0, 52.5),
]


@pytest.mark.parametrize(
    ("job_class", "deadline", "elapsed", "run", "left"), [s[1:] for s in SLACK], ids=[s[0] for s in SLACK]
)
def test_slack(job_class, deadline, elapsed, run, left):
    spec = msgspec.convert(job(herd=job_class, sundownS=deadline), JobSpec)
    assert slack(AIMS.deadlines(spec), elapsed, run) == pytest.approx(left)


@pytest.mark.parametrize(
    ("job_class", "elapsed", "left"),
    [("train", 0.2, 0.8), ("train", 1.5, 28.5), ("train", 31.0, NO_DEADLINE_S), ("other", 0.0, NO_DEADLINE_S)],
)
def test_several_aims_on_the_start_are_met_one_after_the_other(job_class, elapsed, left):
    """Once the last aim named stood for all: a class to start within 1 s and within 30 s had 30."""
    assert AIMS.start_slack(msgspec.convert(job(herd=job_class), JobSpec), elapsed) == pytest.approx(left)
    assert AIMS.shortest_start_s("train") == 1.0
