"""Sizing: what is rented for a need, and what is drained."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.types import MachineId, MachineKind
from meadowcross.fleet.messages import decode_types, encode
from meadowcross.fleet.sizing import Coming, Held, Need, dear_kinds, foresee, plan, press, surplus
from meadowcross.jobs.messages import JobSpec
from tests.conftest import job
from tests.standins import TYPES

KINDS = {t.name: t for t in decode_types(encode({"builds": TYPES})).types}
DEAR = dear_kinds(KINDS.values(), 2.0)


def need(count, pressed=True, **changes):
    return Need(msgspec.convert(job(**changes), JobSpec), count, 30.0, pressed)


SMALL_EAST = MachineKind("small", "east", True)
SPOT = {MachineKind("small", zone, True) for zone in ("east", "west")}
PLANS = [
    ("cheapest that holds it", need(4), [], set(), [("small", True, 1)]),
    ("many tasks, equal prices", need(64), [], set(), [("large", True, 4)]),
    ("ordinary only", need(4, stubble=False), [], set(), [("small", False, 1)]),
    ("room on its way is enough", need(4), [Coming(SMALL_EAST, 4.0, 0.0, 16.0)], set(), []),
    ("room on its way counts", need(6), [Coming(SMALL_EAST, 4.0, 0.0, 16.0)], set(), [("small", True, 1)]),
    ("needs a gpu", need(1, gpus=1.0), [], set(), [("large", True, 1)]),
    ("dear under pressure", need(4, builds=["small"]), [], SPOT, [("small", False, 1)]),
    ("not dear without", need(4, False, builds=["small"]), [], SPOT, []),
]  # fmt: skip


@pytest.mark.parametrize(("what", "coming", "closed", "expected"), [p[1:] for p in PLANS], ids=[p[0] for p in PLANS])
def test_plan(what, coming, closed, expected):
    rentals = plan([what], coming, KINDS, closed, DEAR)
    assert [(r.kind.type, r.kind.spot, r.machines) for r in rentals] == expected


FORESEEN = [
    ("nothing comes free", {}, {}, 8),
    ("all would start before a machine is up", {SMALL_EAST: 8.0}, {}, 0),
    ("the last half would not", {SMALL_EAST: 2.0}, {}, 4),
    ("what comes free is of no use to it", {SMALL_EAST: 8.0}, {"field": "west"}, 8),
    ("a service's end can't be foreseen", {SMALL_EAST: 8.0}, {"breed": "daemon"}, 8),
    ("a gang needs its room at once", {SMALL_EAST: 8.0}, {"breed": "group"}, 8),
]  # fmt: skip


@pytest.mark.parametrize(("freed", "changes", "cpus"), [f[1:] for f in FORESEEN], ids=[f[0] for f in FORESEEN])
def test_only_what_a_machine_would_start_sooner_is_rented_for(freed, changes, cpus):
    """Once a burst rented a hundred machines that were up when the queue was empty."""
    waiting = need(8, **changes)
    foresee([waiting], freed)
    # Boot and fetch take 1 s each on both types.
    rented = plan([waiting], [], KINDS, set(), DEAR)
    assert sum(r.machines * KINDS[r.kind.type].cpus for r in rented) == cpus


def test_foreseen_starts_follow_the_queue():
    needs = [need(4), need(8), need(4)]
    foresee(needs, {SMALL_EAST: 2.0})
    assert [(n.first_s, n.last_s) for n in needs] == [(0.0, 2.0), (2.0, 6.0), (6.0, 8.0)]


def test_pressure_is_slack_against_the_work_ahead():
    needs = [need(10), need(10), need(10)]
    press(needs, [1000.0, 50.0, 1000.0], 10.0)
    assert [n.pressed for n in needs] == [False, True, False]


def test_surplus_drains_the_dearest_room_that_the_rest_can_do_without():
    held = [
        Held(MachineId("dear"), 4.0, 1.0, 16.0, 1.0, 0.4),
        Held(MachineId("cheap-busy"), 4.0, 2.0, 16.0, 1.0, 0.1),
        Held(MachineId("cheap-idle"), 4.0, 0.0, 16.0, 0.0, 0.1),
    ]
    assert surplus(held, 0.15) == ["dear", "cheap-idle"]
    held[1].used_cpus = 3.9
    assert surplus(held, 0.15) == ["dear"]
