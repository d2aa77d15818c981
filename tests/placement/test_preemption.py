"""Who is asked to give way, when, and not again before it helped."""

from __future__ import annotations

from math import inf

import pytest

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import Instant, MachineId
from meadowcross.placement.engine import place
from meadowcross.placement.preemption import PreemptionPlanner, is_urgent
from meadowcross.placement.victims import Victim, mark_borrowed
from tests.placement.test_engine import make_candidate, make_headroom, make_pending_job


def make_victim(key="v", machine="m", rank=3, cpus=1.0, team="b", borrowed=False, loss=1.0, save_s=None):
    return Victim(key, MachineId(machine), rank, cpus, 0.0, 2.0, loss, team, borrowed, save_s)


class Snapshot:
    """What the planner is shown: the same machines and victims whoever asks."""

    def __init__(self, machines, running, may_preempt=True):
        self._machines, self._running, self._may_preempt = machines, running, may_preempt

    def all_candidates(self):
        return self._machines

    def candidates_of(self, victims):
        return self._machines

    def victims(self, rank, guaranteed):
        return self._running

    def may_preempt(self, pending_job):
        return self._may_preempt


def plan(planner, pending_job, snapshot, placed_counts=None, is_still_placed=lambda key: True, at=1.0):
    return planner.plan([pending_job], placed_counts or {}, make_headroom(), snapshot, is_still_placed, Instant(at))


URGENCY = [
    ("slack to spare", 100.0, {}, inf, False),
    ("slack within the estimates' error", 19.0, {}, inf, True),
    ("it should start now", 100.0, {}, 0.5, True),
    ("it should start, but not yet", 100.0, {}, 40.0, False),
    ("a gang", 100.0, {"breed": "group"}, inf, True),
]


@pytest.mark.parametrize(("slack", "changes", "start", "urgent"), [h[1:] for h in URGENCY], ids=[h[0] for h in URGENCY])
def test_hurry(slack, changes, start, urgent):
    victims = [make_victim()]
    pending_job = make_pending_job(slack=slack, **changes)
    pending_job.expected_run_s, pending_job.start_slack_s = 30.0, start
    assert is_urgent(pending_job, victims) is urgent


RESERVATIONS = [
    ("smaller tasks on a large machine: held, nobody stops", 8, 100.0, [], {"big"}),
    ("slack is short", 8, 10.0, [1, 1], set()),
    ("too few run there to make a hole soon", 7, 100.0, [1, 1], set()),
]


@pytest.mark.parametrize(
    ("running", "slack", "stopped", "reserved"), [h[1:] for h in RESERVATIONS], ids=[h[0] for h in RESERVATIONS]
)
def test_a_larger_task_waits_for_ends_where_many_smaller_ones_run(running, slack, stopped, reserved):
    """Once a burst of large tasks threw away a seventh of all work done below them."""
    planner = PreemptionPlanner(OperatorSettings())
    pending_job = make_pending_job(heads=1, rank=1, slack=slack, cpus=2.0)
    pending_job.expected_run_s = 20.0
    victims = [make_victim(i, "big") for i in range(running)]
    candidates = [make_candidate("big", cpus=0.0)]
    chosen = plan(planner, pending_job, Snapshot(candidates, victims))
    assert [len(group) for _, group in chosen] == [len(stopped)] * bool(stopped)
    assert set(planner.reservations) == reserved
    low = make_pending_job(id="wk-000009", heads=1, rank=3)
    roomy = [make_candidate("big", cpus=1.0)]
    assert bool(place(roomy, [low], make_headroom(), OperatorSettings(), planner.reservations)) is not bool(reserved)


def test_of_what_a_team_borrows_the_least_important_and_least_costly_goes():
    victims = [make_victim("dear", loss=9.0), make_victim("cheap", loss=1.0), make_victim("high", rank=1, loss=0.0)]
    mark_borrowed(victims, {"b": 1.5})
    assert [v.task_key for v in victims if v.is_borrowed] == ["cheap"]


def test_nobody_is_asked_again_before_it_helped_or_some_time_has_passed():
    planner = PreemptionPlanner(OperatorSettings())
    pending_job, candidates = make_pending_job(heads=1, rank=1), [make_candidate("m", cpus=0.0)]
    pending_job.start_slack_s = 0.5
    there = {"a"}

    def choose(at, key):
        snapshot = Snapshot(candidates, [make_victim(key)])
        chosen = plan(planner, pending_job, snapshot, is_still_placed=there.__contains__, at=at)
        return [v.task_key for _, victims in chosen for v in victims]

    assert choose(10.0, "a") == ["a"]
    assert choose(11.0, "b") == [], "the first is on its way"
    there.clear()
    assert choose(12.0, "b") == [], "it is gone and the job still waits: more would not help either"
    assert choose(14.5, "b") == ["b"]
    planner.forget(pending_job.job_id)
    assert choose(14.6, "c") == ["c"]


def test_a_prompt_task_takes_room_where_its_image_is_rather_than_free_room_elsewhere():
    """Once a third of the tasks that should start within a second went to free room and
    fetched their image for two."""
    prompt_job = make_pending_job(heads=2, rank=1)
    prompt_job.requires_cached_image, prompt_job.start_slack_s = True, 0.5
    candidates = [
        make_candidate("cold"),
        make_candidate("warm", cpus=1.0, images=["img"]),
        make_candidate("cold-too", cpus=0.0),
    ]
    other = make_pending_job(id="wk-000002", heads=1, rank=2)
    decisions = place(candidates, [prompt_job, other], make_headroom(), OperatorSettings())
    assert [c.machines for c in decisions] == [["warm"], ["cold"]], "nobody else has to wait for warm room"
    planner = PreemptionPlanner(OperatorSettings())
    victims = [make_victim("w", "warm", loss=9.0), make_victim("c", "cold-too", loss=0.0)]
    chosen = plan(planner, prompt_job, Snapshot(candidates, victims), placed_counts={prompt_job.job_id: 1})
    assert [v.task_key for _, group in chosen for v in group] == ["w"]


LENDERS = [
    # name, victim's changes, slack, tasks within the guarantee, the grace it is stopped with
    ("it can save: at once, with time for that", {"save_s": 3.0}, 100.0, 1, [7.0]),
    ("and without, where the slack is short", {"save_s": 3.0}, 10.0, 1, [0.0]),
    ("its work would be lost: only when the slack is short", {}, 100.0, 1, []),
    ("not to borrow as well", {"save_s": 3.0}, 100.0, 0, []),
    ("not what is within its own guarantee", {"save_s": 3.0, "borrowed": False}, 100.0, 1, []),
    ("not higher priority", {"save_s": 3.0, "rank": 2}, 100.0, 1, []),
]


@pytest.mark.parametrize(
    ("changes", "slack", "guaranteed", "graces"), [c[1:] for c in LENDERS], ids=[c[0] for c in LENDERS]
)
def test_what_a_guest_borrows_and_can_save_gives_way_to_a_guarantee_at_once(changes, slack, guaranteed, graces):
    planner = PreemptionPlanner(OperatorSettings())
    pending_job = make_pending_job(heads=1, rank=3, slack=slack)
    pending_job.expected_run_s, pending_job.guaranteed_tasks = 30.0, guaranteed
    running = make_victim(**{"team": "guest", "borrowed": True, **changes})
    candidates = [make_candidate("m", cpus=0.0)]
    chosen = plan(planner, pending_job, Snapshot(candidates, [running]))
    assert [v.grace_s for _, group in chosen for v in group] == graces


AGED = [
    # kind, one zone, what is free on four machines (two in each zone), which are held
    ("an array needs one", "batch", False, [1.0, 2.0, 0.0, 1.5], {"e2"}),
    ("a gang of two", "group", False, [1.0, 2.0, 0.0, 1.5], {"e2", "w2"}),
    ("a gang of two in one zone", "group", True, [1.0, 2.0, 0.0, 2.5], {"e1", "e2"}),
]


@pytest.mark.parametrize(("kind", "one_zone", "free", "reserved"), [a[1:] for a in AGED], ids=[a[0] for a in AGED])
def test_a_job_that_waited_too_long_to_begin_gets_machines_that_nothing_else_enters(kind, one_zone, free, reserved):
    """Among many small urgent ones a large one never found room: each piece was refilled before it was large enough."""
    pending_job = make_pending_job(
        heads=2, count=1 if kind == "batch" else 2, rank=3, breed=kind, oneZone=one_zone, cpus=4.0
    )
    pending_job.is_starved = True
    names = ["e1", "e2", "w1", "w2"]
    candidates = [
        make_candidate(name, cpus=cpus, zone="east" if name[0] == "e" else "west")
        for name, cpus in zip(names, free, strict=True)
    ]
    planner = PreemptionPlanner(OperatorSettings())
    assert not plan(planner, pending_job, Snapshot(candidates, [], may_preempt=False))
    assert set(planner.reservations) == reserved
    urgent = make_pending_job(id="wk-000009", heads=9, rank=0, cpus=1.0, memoryGb=0.0)
    (choice,) = place(candidates, [urgent, pending_job], make_headroom(), OperatorSettings(), planner.reservations)
    assert not reserved & set(choice.machines), "not even the most urgent"


def test_what_waited_too_long_goes_first_and_within_its_limit():
    old, urgent = make_pending_job(heads=1, rank=3, steward="a"), make_pending_job(id="wk-000002", heads=1, rank=0)
    old.is_starved = True
    for limit, first in ((4.0, "wk-000001"), (0.5, "wk-000002")):
        decisions = place([make_candidate("m", cpus=1.0)], [urgent, old], make_headroom(a=limit), OperatorSettings())
        assert [choice.job_id for choice in decisions] == [first]


def test_a_replica_that_is_missed_takes_room_where_its_image_is_and_no_other():
    pending_job = make_pending_job(
        heads=2, count=1, rank=0, breed="daemon", scatter=True, siblings={MachineId("w"): ("west", 1)}
    )
    pending_job.requires_cached_image, pending_job.image_fetch_s, pending_job.start_slack_s = True, 30.0, -30.0
    candidates = [make_candidate("cold"), make_candidate("warm", cpus=0.0, memory=0.0, images=["img"])]
    assert place(candidates, [pending_job], make_headroom(), OperatorSettings()) == []
    planner = PreemptionPlanner(OperatorSettings())
    victims = [make_victim("cheap", "cold", loss=0.0), make_victim("there", "warm", loss=9.0)]
    chosen = plan(planner, pending_job, Snapshot(candidates, victims))
    assert [v.task_key for _, gone in chosen for v in gone] == ["there"] and set(planner.reservations) == {"warm"}
    pending_job.requires_cached_image = False
    assert [choice.machines for choice in place(candidates, [pending_job], make_headroom(), OperatorSettings())] == [
        ["cold"]
    ]
