"""Expected boot times, boot timeouts, and overdue machines."""

from __future__ import annotations

from math import inf

import pytest

from meadowcross.autoscaling.boot_times import BootTimeEstimator
from meadowcross.autoscaling.messages import decode_machine_types, encode
from simulation.standins import TYPES

SMALL, LARGE = decode_machine_types(encode({"builds": [dict(fields, readyS=40.0) for fields in TYPES]})).types

BOOT_CASES = [
    # name, recent boots (s), expected boot time (s), boot timeout (s)
    ("few samples: stated time", [200.0] * 4, 40.0, 120.0),
    ("median of recent boots", [30.0, 40.0, 35.0, 45.0, 40.0], 40.0, 120.0),
    ("slow boots: longer timeout", [150.0, 160.0, 170.0, 40.0, 160.0], 160.0, 480.0),
    ("fast boots: timeout of the stated time", [2.0] * 9, 2.0, 120.0),
]


@pytest.mark.parametrize(
    ("recent_boots_s", "expected_s", "timeout_s"),
    [case[1:] for case in BOOT_CASES],
    ids=[case[0] for case in BOOT_CASES],
)
def test_expected_boot_time_and_boot_timeout(recent_boots_s, expected_s, timeout_s):
    estimator = BootTimeEstimator()
    for duration_s in recent_boots_s:
        estimator.record_boot(SMALL, duration_s, 1000.0)
    now = 1010.0
    assert estimator.expected_boot_s(SMALL, now) == expected_s and estimator.boot_timeout_s(SMALL, now) == timeout_s
    # Boots of other types and old boots do not count.
    assert estimator.expected_boot_s(LARGE, now) == 40.0 and estimator.expected_boot_s(SMALL, 1200.0) == 40.0


OVERDUE_CASES = [
    # name, recent boots of 40 s, time since creation of booting machines (s), overdue after (s)
    ("single machine overdue", 0, [61.0], 60.0),
    ("single machine not overdue", 0, [59.0], inf),
    ("usual share overdue", 90, [61.0] * 10, inf),
    ("unusual share overdue", 90, [61.0] * 60, 60.0),
    ("few overdue among many new machines", 0, [61.0] * 10 + [5.0] * 50, inf),
]


@pytest.mark.parametrize(
    ("recent_boot_count", "waiting_s", "overdue_after_s"),
    [case[1:] for case in OVERDUE_CASES],
    ids=[case[0] for case in OVERDUE_CASES],
)
def test_overdue_machines_do_not_count_if_unusually_many_are_overdue(recent_boot_count, waiting_s, overdue_after_s):
    estimator = BootTimeEstimator()
    for _ in range(recent_boot_count):
        estimator.record_boot(SMALL, 40.0, 1000.0)
    assert estimator.overdue_after_s(SMALL, waiting_s, 1010.0) == overdue_after_s


def test_replacement_is_created_for_overdue_machine(world):
    """An overdue machine does not count as incoming capacity, but is not decommissioned yet."""
    create_worker = world.cloud.on_rent
    world.cloud.on_rent = lambda machine: machine.update(standing="booting", addr=None)
    world.lead()
    world.submit(heads=1)
    world.pass_time(1.2, 0.1)
    assert len(world.cloud.machines) == 1
    world.cloud.on_rent = create_worker
    world.pass_time(4.0)
    assert len(world.running()) == 1 and len(world.cloud.machines) == 2
    assert world.cloud.deleted == []


def test_machines_that_just_came_up_count_as_incoming_capacity(world):
    """Guards against creating machines beside new ones that have not confirmed the leader's token yet."""
    world.cloud.at_once = 50
    world.lead()
    for number in range(6):
        world.submit(id=f"wk-00000{number}", heads=10, cpus=4.0, builds=["small"], pullGb=0.1)
        world.pass_time(1.3, 0.05)
    world.pass_time(4.0)
    assert len(world.running()) == 60 and len(world.cloud.machines) == 60
