"""Sizing: the machines to create for demands, and the surplus machines to drain."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.autoscaling import sizing
from meadowcross.autoscaling.machine_kinds import find_expensive_kinds, requires_expensive_kind
from meadowcross.autoscaling.messages import decode_machine_types, encode
from meadowcross.autoscaling.sizing import (
    CapacityDemand,
    IncomingCapacity,
    ZoneSlots,
    mark_at_risk,
    plan_scale_out,
    split_by_zone,
)
from meadowcross.autoscaling.surplus import MachineUsage, select_surplus_machines
from meadowcross.common.types import MachineId, MachineKind
from meadowcross.jobs.messages import JobSpec
from simulation.standins import TYPES
from tests.support.world import job

MACHINE_TYPES = {
    machine_type.name: machine_type for machine_type in decode_machine_types(encode({"builds": TYPES})).types
}
EXPENSIVE_KINDS = find_expensive_kinds(MACHINE_TYPES.values(), 2.0)


def make_demand(count, is_at_risk=True, **changes):
    return CapacityDemand(msgspec.convert(job(**changes), JobSpec), count, 30.0, is_at_risk)


SMALL_EAST = MachineKind("small", "east", True)
SMALL_SPOT_KINDS = {MachineKind("small", zone, True) for zone in ("east", "west")}
PLAN_CASES = [
    # name, demand, incoming capacity, unavailable kinds, requests as (type, spot, machines)
    ("cheapest kind that fits", make_demand(4), [], set(), [("small", True, 1)]),
    ("many tasks, equal prices", make_demand(64), [], set(), [("large", True, 4)]),
    ("on-demand only", make_demand(4, stubble=False), [], set(), [("small", False, 1)]),
    ("incoming capacity is enough", make_demand(4), [IncomingCapacity(SMALL_EAST, 4.0, 0.0, 16.0)], set(), []),
    (
        "incoming capacity counts",
        make_demand(6),
        [IncomingCapacity(SMALL_EAST, 4.0, 0.0, 16.0)],
        set(),
        [("small", True, 1)],
    ),
    ("needs a gpu", make_demand(1, gpus=1.0), [], set(), [("large", True, 1)]),
    (
        "expensive kind for demand at risk",
        make_demand(4, builds=["small"]),
        [],
        SMALL_SPOT_KINDS,
        [("small", False, 1)],
    ),
    ("no expensive kind without risk", make_demand(4, False, builds=["small"]), [], SMALL_SPOT_KINDS, []),
]


@pytest.mark.parametrize(
    ("demand", "incoming", "unavailable_kinds", "expected"),
    [case[1:] for case in PLAN_CASES],
    ids=[case[0] for case in PLAN_CASES],
)
def test_scale_out_plan_uses_cheapest_available_kind(demand, incoming, unavailable_kinds, expected):
    requests = plan_scale_out([demand], incoming, MACHINE_TYPES, unavailable_kinds, EXPENSIVE_KINDS)
    assert [(request.kind.type, request.kind.spot, request.machine_count) for request in requests] == expected


def test_demand_is_at_risk_if_wait_exceeds_slack_and_boot_time():
    demands = [make_demand(10), make_demand(10), make_demand(10)]
    mark_at_risk(demands, [1000.0, 50.0, 1000.0], 10.0, 5.0)
    assert [demand.is_at_risk for demand in demands] == [False, True, False]
    mark_at_risk(demands, [1000.0, 50.0, 1000.0], 10.0, 70.0)
    assert not any(demand.is_at_risk for demand in demands), "existing machines become free sooner than a new one boots"


def test_surplus_machines_are_the_most_expensive_ones_not_needed():
    usages = [
        MachineUsage(MachineId("dear"), 4.0, 1.0, 16.0, 1.0, 0.4),
        MachineUsage(MachineId("cheap-busy"), 4.0, 2.0, 16.0, 1.0, 0.1),
        MachineUsage(MachineId("cheap-idle"), 4.0, 0.0, 16.0, 0.0, 0.1),
    ]
    assert select_surplus_machines(usages, 0.15) == ["dear", "cheap-idle"]
    usages[1].used_cpus = 3.9
    assert select_surplus_machines(usages, 0.15) == ["dear"]


def test_full_capacity_is_checked_once_for_many_similar_jobs(monkeypatch):
    capacity_checks, cost_estimates = [], []
    has_capacity_for, estimate_cost = sizing._has_capacity_for, sizing.estimate_cost
    monkeypatch.setattr(
        sizing, "_has_capacity_for", lambda *arguments: capacity_checks.append(1) or has_capacity_for(*arguments)
    )
    monkeypatch.setattr(
        sizing, "estimate_cost", lambda *arguments: cost_estimates.append(1) or estimate_cost(*arguments)
    )
    incoming = [IncomingCapacity(SMALL_EAST, 0.5, 0.0, 1.0) for _ in range(300)]
    # The demands differ a little in memory; the first is the smallest.
    demands = [make_demand(1, False, builds=["small"], memoryGb=1.0 + number * 0.001) for number in range(300)]
    assert plan_scale_out(demands, incoming, MACHINE_TYPES, SMALL_SPOT_KINDS, EXPENSIVE_KINDS) == []
    assert len(capacity_checks) == 300 and cost_estimates == []
    # The same holds if all of them fit into the last incoming capacity.
    capacity_checks.clear()
    incoming[-1:] = [IncomingCapacity(SMALL_EAST, 300.0, 0.0, 1000.0)]
    assert (
        plan_scale_out(demands, incoming, MACHINE_TYPES, SMALL_SPOT_KINDS, EXPENSIVE_KINDS) == []
        and len(capacity_checks) < 300 + 2 * 300
    )
    incoming[-1] = IncomingCapacity(SMALL_EAST, 0.5, 0.0, 1.0)
    # Costs are not estimated for each of them if no available kind is large enough.
    too_large_demands = [make_demand(1, cpus=64.0, memoryGb=1.0 + number * 0.001) for number in range(300)]
    assert (
        plan_scale_out(too_large_demands, [], MACHINE_TYPES, set(), EXPENSIVE_KINDS) == [] and len(cost_estimates) == 6
    )
    demands_of_both_risks = [
        make_demand(1, builds=["small"], memoryGb=1.0),
        make_demand(1, False, builds=["small"], memoryGb=1.0),
    ]
    assert len(plan_scale_out(demands_of_both_risks, [], MACHINE_TYPES, SMALL_SPOT_KINDS, EXPENSIVE_KINDS)) == 1, (
        "results for demands at risk and without risk are cached separately"
    )
    # Smaller tasks still fit into the remaining capacity.
    small_demand = make_demand(300, False, cpus=0.5, memoryGb=1.0)
    assert (
        plan_scale_out([*demands, small_demand], incoming, MACHINE_TYPES, SMALL_SPOT_KINDS, EXPENSIVE_KINDS) == []
        and incoming[-1].cpus == 0.0
    )


EXPENSIVE_CASES = [
    # name, changes of the job, whether it requires an expensive kind
    ("spot allowed", {}, False),
    ("on-demand only", {"stubble": False}, True),
    ("on-demand only, type given", {"stubble": False, "builds": ["large"]}, True),
    ("fits only the large type, cheap as spot", {"cpus": 16.0}, False),
]


@pytest.mark.parametrize(
    ("changes", "is_required"), [case[1:] for case in EXPENSIVE_CASES], ids=[case[0] for case in EXPENSIVE_CASES]
)
def test_job_requires_expensive_kind_if_no_other_kind_may_run_it(changes, is_required):
    assert (
        requires_expensive_kind(make_demand(1, **changes).spec, MACHINE_TYPES.values(), EXPENSIVE_KINDS) is is_required
    )


ZONE_CASES = [
    # name, changes of the job, tasks placed by zone, incoming capacity (zone, CPUs), tasks to place, tasks by zone
    (
        "spread service, no siblings",
        {"breed": "daemon", "scatter": True, "heads": 4},
        {},
        [],
        4,
        {"east": 2, "west": 2},
    ),
    (
        "spread service, two siblings in one zone",
        {"scatter": True, "heads": 4},
        {"east": 2},
        [("east", 8.0)],
        2,
        {"west": 2},
    ),
    ("spread, zone with incoming capacity first", {"scatter": True, "heads": 4}, {}, [("west", 1.0)], 1, {"west": 1}),
    ("one zone: zone of the siblings", {"oneZone": True, "heads": 4}, {"west": 1}, [("east", 8.0)], 3, {"west": 3}),
    (
        "one zone: most incoming capacity",
        {"oneZone": True, "heads": 4},
        {},
        [("east", 2.0), ("west", 3.0)],
        4,
        {"west": 4},
    ),
    ("zone given by the user", {"oneZone": True, "field": "east", "heads": 4}, {}, [], 4, {"east": 4}),
    ("no zone constraints", {"heads": 4}, {}, [], 4, {None: 4}),
]


@pytest.mark.parametrize(
    ("changes", "placed_by_zone", "incoming", "count", "counts_by_zone"),
    [case[1:] for case in ZONE_CASES],
    ids=[case[0] for case in ZONE_CASES],
)
def test_demand_with_zone_constraints_is_split_by_zone(changes, placed_by_zone, incoming, count, counts_by_zone):
    """Guards against a service that waits forever for its second zone.

    Incoming capacity in a zone that the service could not use was counted for it.
    """
    spec = msgspec.convert(job(**changes), JobSpec)
    incoming_capacity = [IncomingCapacity(MachineKind("small", zone, True), cpus, 0.0, 64.0) for zone, cpus in incoming]
    available_kinds = [MachineKind("small", "east", True), MachineKind("small", "west", True)]
    zone_demands = split_by_zone(
        CapacityDemand(spec, count, 30.0, placed_by_zone=placed_by_zone), ZoneSlots(incoming_capacity, available_kinds)
    )
    assert {zone_demand.spec.zone: zone_demand.task_count for zone_demand in zone_demands} == counts_by_zone
