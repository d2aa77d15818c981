"""Boot times as stated and as seen: late, at once, and what follows for waiting."""

from __future__ import annotations

from math import inf

import pytest

from meadowcross.autoscaling.boot_times import BootTimeEstimator
from meadowcross.autoscaling.messages import decode_machine_types, encode
from simulation.standins import TYPES

SMALL, LARGE = decode_machine_types(encode({"builds": [dict(t, readyS=40.0) for t in TYPES]})).types

CASES = [
    # name, boots seen a moment ago, expected, given up after
    ("as stated while few were seen", [200.0] * 4, 40.0, 120.0),
    ("as seen", [30.0, 40.0, 35.0, 45.0, 40.0], 40.0, 120.0),
    ("late", [150.0, 160.0, 170.0, 40.0, 160.0], 160.0, 480.0),
    ("at once, but what was rented before may still come", [2.0] * 9, 2.0, 120.0),
]


@pytest.mark.parametrize(("seen", "expected", "given_up"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_boots(seen, expected, given_up):
    boots = BootTimeEstimator()
    for took in seen:
        boots.record_boot(SMALL, took, 1000.0)
    now = 1010.0
    assert boots.expected_boot_s(SMALL, now) == expected and boots.give_up_after_s(SMALL, now) == given_up
    # Other types, and times long past, say nothing.
    assert boots.expected_boot_s(LARGE, now) == 40.0 and boots.expected_boot_s(SMALL, 1200.0) == 40.0


LATE = [
    # name, how many came up in 40 s lately, how long the others have been awaited, late after
    ("a lone machine that does not come", 0, [61.0], 60.0),
    ("not late yet", 0, [59.0], inf),
    ("no more than on ordinary days", 90, [61.0] * 10, inf),
    ("far more than that", 90, [61.0] * 60, 60.0),
    ("many that have just been rented beside", 0, [61.0] * 10 + [5.0] * 50, inf),
]


@pytest.mark.parametrize(("came", "waiting", "late_after"), [c[1:] for c in LATE], ids=[c[0] for c in LATE])
def test_late_machines_are_not_counted_on_where_more_are_late_than_usual(came, waiting, late_after):
    boots = BootTimeEstimator()
    for _ in range(came):
        boots.record_boot(SMALL, 40.0, 1000.0)
    assert boots.overdue_after_s(SMALL, waiting, 1010.0) == late_after


def test_what_waits_for_a_late_machine_is_rented_for_again(world):
    """A machine that has not come up in time is no room on its way, but is not given up yet."""
    original = world.cloud.on_rent
    world.cloud.on_rent = lambda machine: machine.update(standing="booting", addr=None)
    world.lead()
    world.submit(heads=1)
    world.pass_time(1.2, 0.1)
    assert len(world.cloud.machines) == 1
    world.cloud.on_rent = original
    world.pass_time(4.0)
    assert len(world.running()) == 1 and len(world.cloud.machines) == 2
    assert world.cloud.deleted == []


def test_machines_that_have_just_come_up_are_room_on_its_way(world):
    """Nothing is rented beside them while our token has not come back from them yet."""
    world.cloud.at_once = 50
    world.lead()
    for number in range(6):
        world.submit(id=f"wk-00000{number}", heads=10, cpus=4.0, builds=["small"], pullGb=0.1)
        world.pass_time(1.3, 0.05)
    world.pass_time(4.0)
    assert len(world.running()) == 60 and len(world.cloud.machines) == 60
