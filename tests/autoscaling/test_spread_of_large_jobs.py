"""Scale-out for jobs whose tasks must be spread over zones: the same zones as before, at a cost without the tasks."""

from __future__ import annotations

import os

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from meadowcross.autoscaling.machine_kinds import find_expensive_kinds
from meadowcross.autoscaling.messages import decode_machine_types, encode
from meadowcross.autoscaling.sizing import CapacityDemand, IncomingCapacity, ZoneSlots, plan_scale_out, split_by_zone
from meadowcross.common.types import MachineKind
from meadowcross.jobs.messages import JobSpec
from simulation.standins import TYPES
from tests.support.reference_decisions import spread_one_by_one
from tests.support.step_counter import count_steps
from tests.support.world import job

EXAMPLES = int(os.environ.get("MEADOWCROSS_EXAMPLES", "0"))
MACHINE_TYPES = {
    machine_type.name: machine_type for machine_type in decode_machine_types(encode({"builds": TYPES})).types
}
EXPENSIVE_KINDS = find_expensive_kinds(MACHINE_TYPES.values(), 2.0)
MAX_ARRAY_TASKS = 100_000


def make_spread_demand(tasks, number=1, **changes):
    spec = msgspec.convert(job(id=f"wk-{number:06d}", heads=tasks, scatter=True, **changes), JobSpec)
    return CapacityDemand(spec, tasks, 30.0)


def count_planning_steps(tasks, job_count):
    # The jobs differ, so that nothing found for one can serve for the others.
    demands = [make_spread_demand(tasks + number, number, memoryGb=1.0 + number) for number in range(job_count)]
    incoming = [IncomingCapacity(MachineKind("small", "east", True), 4.0, 0.0, 16.0) for _ in range(3)]
    return count_steps(lambda: plan_scale_out(demands, incoming, MACHINE_TYPES, set(), EXPENSIVE_KINDS))


@pytest.mark.parametrize("job_count", [1, 12, 20])
def test_queued_arrays_spread_over_zones_do_not_stop_the_leader(job_count):
    """Guards against review/4: no task of any job ran, as sizing assigned 100,000 tasks of each array one by one."""
    assert count_planning_steps(MAX_ARRAY_TASKS - job_count, job_count) < 3 * count_planning_steps(100, job_count)


@pytest.mark.parametrize("changes", [{"scatter": True}, {"oneZone": True}], ids=["spread", "one zone"])
def test_many_jobs_with_zone_constraints_do_not_take_their_number_times_the_machines(changes):
    """Guards against a leader that loses its lease by counting all machines for each of 200 jobs at each scale-out."""
    job_count, machine_count = 200, 2_000
    demands = [
        CapacityDemand(msgspec.convert(job(memoryGb=9.0 + number, **changes), JobSpec), 4, 30.0)
        for number in range(job_count)
    ]
    # Machines in use have a few tasks each, of the same sizes.
    incoming = [
        IncomingCapacity(MachineKind("small", ("east", "west")[number % 2], True), number % 5, 0.0, 8.0)
        for number in range(machine_count)
    ]
    limit = 500 * job_count + 100 * machine_count
    count_steps(lambda: plan_scale_out(demands, incoming, MACHINE_TYPES, set(), EXPENSIVE_KINDS), limit)


ZONES = ["east", "north", "south", "west", "zenith"]


@settings(max_examples=EXAMPLES or 400, deadline=None, derandomize=not EXAMPLES, database=None)
@given(data=st.data())
def test_large_jobs_are_spread_over_the_same_zones_as_task_by_task(data):
    """Guards against a faster spread that chooses other zones than the one that assigned each task in turn."""
    tasks = data.draw(st.integers(1, 60))
    zones = data.draw(st.lists(st.sampled_from(ZONES), max_size=5, unique=True))
    slots = {zone: data.draw(st.integers(0, 40)) for zone in zones}
    placed = data.draw(st.dictionaries(st.sampled_from([*ZONES, ""]), st.integers(0, 40)))
    demand = make_spread_demand(tasks, cpus=1.0, memoryGb=0.0)
    demand.task_count = data.draw(st.integers(0, tasks + 3))
    demand.placed_by_zone = placed
    incoming = [
        IncomingCapacity(MachineKind("small", zone, True), float(count), 0.0, 0.0) for zone, count in slots.items()
    ]
    parts = split_by_zone(demand, ZoneSlots(incoming, [MachineKind("small", zone, True) for zone in zones]))
    expected = spread_one_by_one(tasks, demand.task_count, placed, slots)
    assert [(part.spec.zone, part.task_count) for part in parts] == [item for item in expected.items() if item[1]]
