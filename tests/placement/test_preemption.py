"""Preemption: which tasks are stopped, when, and how soon again for the same job."""

from __future__ import annotations

from math import inf

import pytest

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import Instant, MachineId
from meadowcross.placement.engine import place
from meadowcross.placement.preemption import PreemptionPlanner, is_urgent
from meadowcross.placement.victims import Victim, mark_borrowed
from tests.placement.test_engine import make_candidate, make_headroom, make_pending_job


def make_victim(key="v", machine="m", rank=3, cpus=1.0, team="b", is_borrowed=False, lost_cpu_s=1.0, save_s=None):
    return Victim(key, MachineId(machine), rank, cpus, 0.0, 2.0, lost_cpu_s, team, is_borrowed, save_s)


class Snapshot:
    """A `PreemptionSnapshot` with the same machines and victims for every job."""

    def __init__(self, candidates, victims, may_preempt=True):
        self._candidates, self._victims, self._may_preempt = candidates, victims, may_preempt

    def all_candidates(self):
        return self._candidates

    def candidates_of(self, victims):
        return self._candidates

    def victims(self, rank, has_guaranteed_tasks):
        return self._victims

    def may_preempt(self, pending_job):
        return self._may_preempt


def plan(planner, pending_job, snapshot, placed_counts=None, is_still_placed=lambda key: True, now=1.0):
    return planner.plan([pending_job], placed_counts or {}, make_headroom(), snapshot, is_still_placed, Instant(now))


URGENCY_CASES = [
    # name, slack (s), changes of the job, start slack (s), is_urgent
    ("enough slack", 100.0, {}, inf, False),
    ("slack within the error of the estimate", 19.0, {}, inf, True),
    ("start objective about to be missed", 100.0, {}, 0.5, True),
    ("start objective not close", 100.0, {}, 40.0, False),
    ("gang", 100.0, {"breed": "group"}, inf, True),
]


@pytest.mark.parametrize(
    ("slack_s", "changes", "start_slack_s", "expected"),
    [case[1:] for case in URGENCY_CASES],
    ids=[case[0] for case in URGENCY_CASES],
)
def test_job_is_urgent(slack_s, changes, start_slack_s, expected):
    victims = [make_victim()]
    pending_job = make_pending_job(slack_s=slack_s, **changes)
    pending_job.expected_run_s, pending_job.start_slack_s = 30.0, start_slack_s
    assert is_urgent(pending_job, victims) is expected


RESERVATION_CASES = [
    # name, tasks on the machine, slack (s), victims, reserved machines
    ("many smaller tasks on the machine: reserved, no victims", 8, 100.0, [], {"big"}),
    ("short slack: victims", 8, 10.0, [1, 1], set()),
    ("too few smaller tasks: victims", 7, 100.0, [1, 1], set()),
]


@pytest.mark.parametrize(
    ("running_count", "slack_s", "stopped", "reserved"),
    [case[1:] for case in RESERVATION_CASES],
    ids=[case[0] for case in RESERVATION_CASES],
)
def test_larger_task_waits_on_reserved_machine_for_smaller_tasks_to_end(running_count, slack_s, stopped, reserved):
    """Guards against stopping many small tasks for a larger one that could wait for them to end.

    A burst of large tasks lost a seventh of all work done at lower priority.
    """
    planner = PreemptionPlanner(OperatorSettings())
    pending_job = make_pending_job(heads=1, rank=1, slack_s=slack_s, cpus=2.0)
    pending_job.expected_run_s = 20.0
    victims = [make_victim(i, "big") for i in range(running_count)]
    candidates = [make_candidate("big", cpus=0.0)]
    preemptions = plan(planner, pending_job, Snapshot(candidates, victims))
    assert [len(selected) for _, selected in preemptions] == [len(stopped)] * bool(stopped)
    assert set(planner.reservations) == reserved
    low = make_pending_job(id="wk-000009", heads=1, rank=3)
    candidates_with_free_cpu = [make_candidate("big", cpus=1.0)]
    assert bool(
        place(candidates_with_free_cpu, [low], make_headroom(), OperatorSettings(), planner.reservations)
    ) is not bool(reserved)


def test_borrowed_tasks_have_lowest_priority_then_least_loss():
    victims = [
        make_victim("dear", lost_cpu_s=9.0),
        make_victim("cheap", lost_cpu_s=1.0),
        make_victim("high", rank=1, lost_cpu_s=0.0),
    ]
    mark_borrowed(victims, {"b": 1.5})
    assert [victim.task_key for victim in victims if victim.is_borrowed] == ["cheap"]


def test_job_preempts_again_only_after_retry_time():
    planner = PreemptionPlanner(OperatorSettings())
    pending_job, candidates = make_pending_job(heads=1, rank=1), [make_candidate("m", cpus=0.0)]
    pending_job.start_slack_s = 0.5
    placed_keys = {"a"}

    def choose(now, key):
        snapshot = Snapshot(candidates, [make_victim(key)])
        preemptions = plan(planner, pending_job, snapshot, is_still_placed=placed_keys.__contains__, now=now)
        return [victim.task_key for _, victims in preemptions for victim in victims]

    assert choose(10.0, "a") == ["a"]
    assert choose(11.0, "b") == [], "the first victim is still ending"
    placed_keys.clear()
    assert choose(12.0, "b") == [], "the victim has ended and the job still waits: more victims would not help"
    assert choose(14.5, "b") == ["b"]
    planner.forget(pending_job.job_id)
    assert choose(14.6, "c") == ["c"]


def test_job_requiring_cached_image_preempts_instead_of_using_free_machine_without_image():
    """Guards against placing a job that must start soon on a free machine without its image.

    A third of the tasks that should start within one second were placed there and fetched their image for two seconds.
    """
    prompt_job = make_pending_job(heads=2, rank=1)
    prompt_job.requires_cached_image, prompt_job.start_slack_s = True, 0.5
    candidates = [
        make_candidate("cold"),
        make_candidate("warm", cpus=1.0, images=["img"]),
        make_candidate("cold-too", cpus=0.0),
    ]
    other = make_pending_job(id="wk-000002", heads=1, rank=2)
    decisions = place(candidates, [prompt_job, other], make_headroom(), OperatorSettings())
    assert [decision.machines for decision in decisions] == [["warm"], ["cold"]], (
        "other jobs do not wait for a machine with the image"
    )
    planner = PreemptionPlanner(OperatorSettings())
    victims = [make_victim("w", "warm", lost_cpu_s=9.0), make_victim("c", "cold-too", lost_cpu_s=0.0)]
    preemptions = plan(planner, prompt_job, Snapshot(candidates, victims), placed_counts={prompt_job.job_id: 1})
    assert [victim.task_key for _, selected in preemptions for victim in selected] == ["w"]


CHECKPOINT_CASES = [
    # name, changes of the victim, slack (s), tasks within the guarantee, graces of the stopped tasks (s)
    ("checkpointable: stopped with grace", {"save_s": 3.0}, 100.0, 1, [7.0]),
    ("short slack: stopped without grace", {"save_s": 3.0}, 10.0, 1, [0.0]),
    ("not checkpointable: not stopped", {}, 100.0, 1, []),
    ("job beyond its guarantee", {"save_s": 3.0}, 100.0, 0, []),
    ("victim within its guarantee", {"save_s": 3.0, "is_borrowed": False}, 100.0, 1, []),
    ("victim of higher priority", {"save_s": 3.0, "rank": 2}, 100.0, 1, []),
]


@pytest.mark.parametrize(
    ("changes", "slack_s", "guaranteed_tasks", "graces"),
    [case[1:] for case in CHECKPOINT_CASES],
    ids=[case[0] for case in CHECKPOINT_CASES],
)
def test_borrowed_checkpointable_task_is_preempted_for_guarantee_before_slack_is_short(
    changes, slack_s, guaranteed_tasks, graces
):
    planner = PreemptionPlanner(OperatorSettings())
    pending_job = make_pending_job(heads=1, rank=3, slack_s=slack_s)
    pending_job.expected_run_s, pending_job.guaranteed_tasks = 30.0, guaranteed_tasks
    running_task = make_victim(**{"team": "guest", "is_borrowed": True, **changes})
    candidates = [make_candidate("m", cpus=0.0)]
    preemptions = plan(planner, pending_job, Snapshot(candidates, [running_task]))
    assert [victim.grace_s for _, selected in preemptions for victim in selected] == graces


STARVED_CASES = [
    # name, kind, one zone, free CPUs of four machines (two in each zone), reserved machines
    ("array: one machine", "batch", False, [1.0, 2.0, 0.0, 1.5], {"e2"}),
    ("gang of two: two machines", "group", False, [1.0, 2.0, 0.0, 1.5], {"e2", "w2"}),
    ("gang of two in one zone: both machines there", "group", True, [1.0, 2.0, 0.0, 2.5], {"e1", "e2"}),
]


@pytest.mark.parametrize(
    ("kind", "one_zone", "free_cpus", "reserved"),
    [case[1:] for case in STARVED_CASES],
    ids=[case[0] for case in STARVED_CASES],
)
def test_starved_job_reserves_machines_against_all_other_jobs(kind, one_zone, free_cpus, reserved):
    """Guards against a large job that is never placed among many small jobs of higher priority.

    Small tasks used the freed resources of each machine again before they were large enough.
    """
    pending_job = make_pending_job(
        heads=2, count=1 if kind == "batch" else 2, rank=3, breed=kind, oneZone=one_zone, cpus=4.0
    )
    pending_job.is_starved = True
    names = ["e1", "e2", "w1", "w2"]
    candidates = [
        make_candidate(name, cpus=cpus, zone="east" if name[0] == "e" else "west")
        for name, cpus in zip(names, free_cpus, strict=True)
    ]
    planner = PreemptionPlanner(OperatorSettings())
    assert not plan(planner, pending_job, Snapshot(candidates, [], may_preempt=False))
    assert set(planner.reservations) == reserved
    urgent = make_pending_job(id="wk-000009", heads=9, rank=0, cpus=1.0, memoryGb=0.0)
    (decision,) = place(candidates, [urgent, pending_job], make_headroom(), OperatorSettings(), planner.reservations)
    assert not reserved & set(decision.machines), "not even a job of the highest priority"


def test_starved_job_is_placed_first_within_team_quota():
    starved, urgent = make_pending_job(heads=1, rank=3, steward="a"), make_pending_job(id="wk-000002", heads=1, rank=0)
    starved.is_starved = True
    for quota, first in ((4.0, "wk-000001"), (0.5, "wk-000002")):
        decisions = place(
            [make_candidate("m", cpus=1.0)], [urgent, starved], make_headroom(a=quota), OperatorSettings()
        )
        assert [decision.job_id for decision in decisions] == [first]


def test_missing_replica_preempts_only_where_its_image_is_cached():
    pending_job = make_pending_job(
        heads=2, count=1, rank=0, breed="daemon", scatter=True, siblings={MachineId("w"): ("west", 1)}
    )
    pending_job.requires_cached_image, pending_job.image_fetch_s, pending_job.start_slack_s = True, 30.0, -30.0
    candidates = [make_candidate("cold"), make_candidate("warm", cpus=0.0, memory_gb=0.0, images=["img"])]
    assert place(candidates, [pending_job], make_headroom(), OperatorSettings()) == []
    planner = PreemptionPlanner(OperatorSettings())
    victims = [make_victim("cheap", "cold", lost_cpu_s=0.0), make_victim("there", "warm", lost_cpu_s=9.0)]
    preemptions = plan(planner, pending_job, Snapshot(candidates, victims))
    assert [v.task_key for _, selected in preemptions for v in selected] == ["there"] and set(planner.reservations) == {
        "warm"
    }
    pending_job.requires_cached_image = False
    assert [
        decision.machines for decision in place(candidates, [pending_job], make_headroom(), OperatorSettings())
    ] == [["cold"]]
