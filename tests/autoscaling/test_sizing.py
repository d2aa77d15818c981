"""Sizing: what is rented for a need, and what is drained."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.autoscaling import sizing
from meadowcross.autoscaling.machine_kinds import find_expensive_kinds, requires_expensive_kind
from meadowcross.autoscaling.messages import decode_machine_types, encode
from meadowcross.autoscaling.sizing import (
    CapacityDemand,
    IncomingCapacity,
    mark_at_risk,
    plan_scale_out,
    split_by_zone,
)
from meadowcross.autoscaling.surplus import MachineUsage, select_surplus_machines
from meadowcross.common.types import MachineId, MachineKind
from meadowcross.jobs.messages import JobSpec
from simulation.standins import TYPES
from tests.support.world import job

KINDS = {t.name: t for t in decode_machine_types(encode({"builds": TYPES})).types}
DEAR = find_expensive_kinds(KINDS.values(), 2.0)


def need(count, pressed=True, **changes):
    return CapacityDemand(msgspec.convert(job(**changes), JobSpec), count, 30.0, pressed)


SMALL_EAST = MachineKind("small", "east", True)
SPOT = {MachineKind("small", zone, True) for zone in ("east", "west")}
PLANS = [
    ("cheapest that holds it", need(4), [], set(), [("small", True, 1)]),
    ("many tasks, equal prices", need(64), [], set(), [("large", True, 4)]),
    ("ordinary only", need(4, stubble=False), [], set(), [("small", False, 1)]),
    ("room on its way is enough", need(4), [IncomingCapacity(SMALL_EAST, 4.0, 0.0, 16.0)], set(), []),
    ("room on its way counts", need(6), [IncomingCapacity(SMALL_EAST, 4.0, 0.0, 16.0)], set(), [("small", True, 1)]),
    ("needs a gpu", need(1, gpus=1.0), [], set(), [("large", True, 1)]),
    ("dear under pressure", need(4, builds=["small"]), [], SPOT, [("small", False, 1)]),
    ("not dear without", need(4, False, builds=["small"]), [], SPOT, []),
]


@pytest.mark.parametrize(("what", "coming", "closed", "expected"), [p[1:] for p in PLANS], ids=[p[0] for p in PLANS])
def test_plan(what, coming, closed, expected):
    rentals = plan_scale_out([what], coming, KINDS, closed, DEAR)
    assert [(r.kind.type, r.kind.spot, r.machine_count) for r in rentals] == expected


def test_pressure_is_slack_against_the_work_ahead():
    needs = [need(10), need(10), need(10)]
    mark_at_risk(needs, [1000.0, 50.0, 1000.0], 10.0, 5.0)
    assert [n.is_at_risk for n in needs] == [False, True, False]
    mark_at_risk(needs, [1000.0, 50.0, 1000.0], 10.0, 70.0)
    assert not any(n.is_at_risk for n in needs), "room comes free sooner than a machine that is rented for it"


def test_surplus_drains_the_dearest_room_that_the_rest_can_do_without():
    held = [
        MachineUsage(MachineId("dear"), 4.0, 1.0, 16.0, 1.0, 0.4),
        MachineUsage(MachineId("cheap-busy"), 4.0, 2.0, 16.0, 1.0, 0.1),
        MachineUsage(MachineId("cheap-idle"), 4.0, 0.0, 16.0, 0.0, 0.1),
    ]
    assert select_surplus_machines(held, 0.15) == ["dear", "cheap-idle"]
    held[1].used_cpus = 3.9
    assert select_surplus_machines(held, 0.15) == ["dear"]


def test_a_swarm_of_jobs_that_look_alike_asks_each_full_room_once(monkeypatch):
    asked, priced = [], []
    holds, cost_of = sizing._has_room, sizing.estimate_cost
    monkeypatch.setattr(sizing, "_has_room", lambda *arguments: asked.append(1) or holds(*arguments))
    monkeypatch.setattr(sizing, "estimate_cost", lambda *arguments: priced.append(1) or cost_of(*arguments))
    rooms = [IncomingCapacity(SMALL_EAST, 0.5, 0.0, 1.0) for _ in range(300)]
    # They differ a little in memory, as a swarm's do; the first is the smallest.
    needs = [need(1, False, builds=["small"], memoryGb=1.0 + n * 0.001) for n in range(300)]
    assert plan_scale_out(needs, rooms, KINDS, SPOT, DEAR) == []
    assert len(asked) == 300 and priced == []
    # Nor where the last room has place for all of them.
    asked.clear()
    rooms[-1:] = [IncomingCapacity(SMALL_EAST, 300.0, 0.0, 1000.0)]
    assert plan_scale_out(needs, rooms, KINDS, SPOT, DEAR) == [] and len(asked) < 300 + 2 * 300
    rooms[-1] = IncomingCapacity(SMALL_EAST, 0.5, 0.0, 1.0)
    # Nor is what has no open kind priced for each of them: here no type is large enough.
    huge = [need(1, cpus=64.0, memoryGb=1.0 + n * 0.001) for n in range(300)]
    assert plan_scale_out(huge, [], KINDS, set(), DEAR) == [] and len(priced) == 6
    pressed = [need(1, builds=["small"], memoryGb=1.0), need(1, False, builds=["small"], memoryGb=1.0)]
    assert len(plan_scale_out(pressed, [], KINDS, SPOT, DEAR)) == 1, "what is not pressed does not speak for what is"
    # What is smaller still finds the room that is there.
    small = need(300, False, cpus=0.5, memoryGb=1.0)
    assert plan_scale_out([*needs, small], rooms, KINDS, SPOT, DEAR) == [] and rooms[-1].cpus == 0.0


PAY = [
    ("spot is allowed", {}, False),
    ("ordinary machines only", {"stubble": False}, True),
    ("ordinary, though it names the type", {"stubble": False, "builds": ["large"]}, True),
    ("too large for any but the large type, which is cheap as spot", {"cpus": 16.0}, False),
]


@pytest.mark.parametrize(("changes", "pays"), [p[1:] for p in PAY], ids=[p[0] for p in PAY])
def test_dear_kinds_are_no_luxury_for_what_may_use_no_other(changes, pays):
    assert requires_expensive_kind(need(1, **changes).spec, KINDS.values(), DEAR) is pays


BOUND = [
    # name, changes of the job, tasks placed by zone, coming (zone, CPUs), tasks to place, by zone
    (
        "a spread service, nothing there",
        {"breed": "daemon", "scatter": True, "heads": 4},
        {},
        [],
        4,
        {"east": 2, "west": 2},
    ),
    (
        "a spread service, two in one zone already",
        {"scatter": True, "heads": 4},
        {"east": 2},
        [("east", 8.0)],
        2,
        {"west": 2},
    ),
    ("room that is coming goes first", {"scatter": True, "heads": 4}, {}, [("west", 1.0)], 1, {"west": 1}),
    ("one zone: that of its siblings", {"oneZone": True, "heads": 4}, {"west": 1}, [("east", 8.0)], 3, {"west": 3}),
    (
        "one zone: where most room is coming",
        {"oneZone": True, "heads": 4},
        {},
        [("east", 2.0), ("west", 3.0)],
        4,
        {"west": 4},
    ),
    ("bound by the user", {"oneZone": True, "field": "east", "heads": 4}, {}, [], 4, {"east": 4}),
    ("not bound", {"heads": 4}, {}, [], 4, {None: 4}),
]


@pytest.mark.parametrize(
    ("changes", "placed", "coming", "count", "shares"), [b[1:] for b in BOUND], ids=[b[0] for b in BOUND]
)
def test_what_zones_bind_is_sized_by_zone(changes, placed, coming, count, shares):
    """Once room in a zone that could not be used kept a service from a second zone for ever."""
    spec = msgspec.convert(job(**changes), JobSpec)
    room = [IncomingCapacity(MachineKind("small", zone, True), cpus, 0.0, 64.0) for zone, cpus in coming]
    kinds = [MachineKind("small", "east", True), MachineKind("small", "west", True)]
    parts = split_by_zone(CapacityDemand(spec, count, 30.0, placed_by_zone=placed), room, kinds)
    assert {part.spec.zone: part.task_count for part in parts} == shares
