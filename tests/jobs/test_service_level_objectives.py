"""Which objective of its class decides a job's slack, and how much slack is left until then."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.settings import Objective
from meadowcross.jobs.messages import JobSpec
from meadowcross.jobs.objectives import NO_DEADLINE_S, ServiceLevelObjectives, slack
from tests.support.world import job

OBJECTIVES = ServiceLevelObjectives(
    [
        Objective("deadline", "train", 0.9, 1.5),
        Objective("deadline", "train", 0.9, 1.0),
        Objective("finished", "slow", 0.9, None, 250.0),
        Objective("wait", "train", 0.9, None, 30.0),
        Objective("wait", "train", 0.9, None, 1.0),
    ]
)
SLACK_CASES = [
    # name, class, deadline, seconds since the submission, expected run time, expected slack
    ("in time", "train", 90.0, 10.0, 30.0, 50.0),
    ("late by less than the estimate tolerance", "train", 90.0, 66.0, 30.0, -6.0),
    ("too late for the deadline: the next objective", "train", 90.0, 70.0, 30.0, 35.0),
    ("too late for all: a substitute deadline", "train", 90.0, 120.0, 30.0, 52.5),
    ("far too late", "train", 90.0, 1000.0, 30.0, 135.0 * 1.5**5 - 1030.0),
    ("expected run time above the deadline", "train", 90.0, 0.0, 130.0, 5.0),
    ("no deadline, but a finish objective", "slow", None, 100.0, 50.0, 100.0),
    ("no deadline, no objective", "other", None, 100.0, 50.0, NO_DEADLINE_S),
    ("a deadline without an objective", "other", 90.0, 100.0, 50.0, 52.5),
]


@pytest.mark.parametrize(
    ("job_class", "deadline_s", "elapsed_s", "run_s", "expected_slack_s"),
    [case[1:] for case in SLACK_CASES],
    ids=[case[0] for case in SLACK_CASES],
)
def test_slack_follows_the_next_deadline_that_can_be_met(job_class, deadline_s, elapsed_s, run_s, expected_slack_s):
    spec = msgspec.convert(job(herd=job_class, sundownS=deadline_s), JobSpec)
    assert slack(OBJECTIVES.deadlines(spec), elapsed_s, run_s) == pytest.approx(expected_slack_s)


@pytest.mark.parametrize(
    ("job_class", "elapsed_s", "expected_slack_s"),
    [("train", 0.2, 0.8), ("train", 1.5, 28.5), ("train", 31.0, NO_DEADLINE_S), ("other", 0.0, NO_DEADLINE_S)],
)
def test_start_slack_follows_the_next_start_objective_that_can_be_met(job_class, elapsed_s, expected_slack_s):
    """Guards against using only the last objective of a class: with limits of 1 s and 30 s, jobs once had 30 s."""
    assert OBJECTIVES.start_slack(msgspec.convert(job(herd=job_class), JobSpec), elapsed_s) == pytest.approx(
        expected_slack_s
    )
    assert OBJECTIVES.shortest_start_s("train") == 1.0
