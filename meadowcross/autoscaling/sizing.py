"""Plans how many machines of which kinds to create for the demands of the queue. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import islice
from math import ceil, inf
from typing import NamedTuple

from msgspec.structs import replace

from meadowcross.autoscaling.even_distribution import distribute_evenly
from meadowcross.autoscaling.machine_kinds import kind_price, list_machine_kinds
from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.types import EPSILON, JobId, MachineKind, Seconds
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.model import TaskShape, count_slots, is_kind_allowed, max_tasks_per_zone, task_shape

MIN_CHARGE_S: Seconds = 60.0
"""The cloud charges each machine for at least this time, even if it is deleted earlier."""
MIN_FETCH_GB_PER_S = 0.01
"""Lower bound for the fetch rate that a machine type states."""
UNUSED_COST_SHARE = 0.5
"""Share of the price that counts for capacity that a demand leaves unused, as other jobs will use some of it."""


@dataclass(slots=True)
class CapacityDemand:
    """Tasks of one job that wait for capacity."""

    spec: JobSpec
    task_count: int
    expected_run_s: Seconds
    is_at_risk: bool = True
    """Whether the job would miss its deadline or objective if it waited for the existing machines."""
    placed_by_zone: dict[str, int] = field(default_factory=dict)
    """Number of the job's tasks that count in each zone already."""


@dataclass(slots=True)
class IncomingCapacity:
    """Free capacity of one kind, now or soon: of requested, booting and running machines, and of tasks about to end."""

    kind: MachineKind
    cpus: float
    gpus: float
    memory_gb: float


class ScaleOutRequest(NamedTuple):
    """Number of machines of one kind to create."""

    kind: MachineKind
    machine_count: int


class CostEstimate(NamedTuple):
    """Estimated cost of running the tasks of a demand on one kind, and the number of machines for them."""

    cost: float
    machine_count: int


class _Option(NamedTuple):
    """A kind that can run a demand. The option that sorts first by its fields, in their order, is chosen."""

    cost: float
    planned_machines: int
    kind: MachineKind
    machine_count: int


def mark_at_risk(demands: list[CapacityDemand], slacks_s: list[Seconds], cpus: float, boot_s: Seconds) -> None:
    """Mark the demands that would be late on the existing `cpus`; demands and slacks are in queue order.

    A demand is at risk if the wait for the tasks ahead of it and its own is longer than its slack, and longer than
    `boot_s`, as no new machine is available sooner. Without the second condition some job was always at risk, and all
    on-demand machines were kept all day for it. If there are no CPUs, every demand is at risk.
    """
    cpu_s_ahead = 0.0
    for demand, slack_s in zip(demands, slacks_s, strict=True):
        cpu_s_ahead += demand.task_count * demand.spec.cpus * demand.expected_run_s
        demand.is_at_risk = cpus <= 0 or max(slack_s, boot_s) < cpu_s_ahead / cpus


def absorb_demand(demand: CapacityDemand, incoming: Sequence[IncomingCapacity], first_index: int = 0) -> int:
    """Subtract the demand's tasks from the incoming capacity from `first_index` on; return how many do not fit."""
    spec = demand.spec
    remaining = demand.task_count
    for capacity in islice(incoming, first_index, None):
        if remaining == 0:
            break
        if not is_kind_allowed(spec, capacity.kind):
            continue
        assigned = min(remaining, count_slots(spec, capacity.cpus, capacity.gpus, capacity.memory_gb))
        capacity.cpus -= assigned * spec.cpus
        capacity.gpus -= assigned * spec.gpus
        capacity.memory_gb -= assigned * spec.memory_gb
        remaining -= assigned
    return remaining


class ZoneSlots:
    """Counts how many tasks of a job fit into the incoming capacity of each zone.

    Equal capacities are counted once, and jobs whose tasks have the same shape share one count: the time for each
    further job does not grow with the machines as long as these are alike.
    """

    def __init__(self, incoming: Iterable[IncomingCapacity], available_kinds: Iterable[MachineKind]) -> None:
        self._available_kinds = list(available_kinds)
        self._machine_counts = Counter(
            (capacity.kind, capacity.cpus, capacity.gpus, capacity.memory_gb) for capacity in incoming
        )
        self._slots_by_shape: dict[TaskShape, dict[str, int]] = {}

    def by_zone(self, spec: JobSpec) -> Mapping[str, int]:
        """Return how many tasks of the job fit into each zone that the job may use."""
        shape = task_shape(spec)
        slots_by_zone = self._slots_by_shape.get(shape)
        if slots_by_zone is None:
            slots_by_zone = self._slots_by_shape[shape] = self._count(spec)
        return slots_by_zone

    def _count(self, spec: JobSpec) -> dict[str, int]:
        slots_by_zone = {kind.zone: 0 for kind in self._available_kinds if is_kind_allowed(spec, kind)}
        for (kind, cpus, gpus, memory_gb), machine_count in self._machine_counts.items():
            if is_kind_allowed(spec, kind):
                slots = machine_count * count_slots(spec, cpus, gpus, memory_gb)
                slots_by_zone[kind.zone] = slots_by_zone.get(kind.zone, 0) + slots
        return slots_by_zone


def split_by_zone(demand: CapacityDemand, zone_slots: ZoneSlots) -> list[CapacityDemand]:
    """Split the demand of a job with zone constraints into demands of single zones.

    Each part may only use incoming capacity of its zone. When all zones were counted together, a spread service waited
    forever for a second zone where no machine was created, and a one-zone job waited for capacity of which two zones
    had half each.
    """
    spec = demand.spec
    if spec.zone is not None or not (spec.one_zone or spec.spread):
        return [demand]
    slots_by_zone = zone_slots.by_zone(spec)
    counts_by_zone = (
        _assign_to_one_zone(demand, slots_by_zone) if spec.one_zone else _spread_over_zones(demand, slots_by_zone)
    )
    return [
        CapacityDemand(replace(spec, zone=zone), count, demand.expected_run_s, demand.is_at_risk)
        for zone, count in counts_by_zone.items()
        if count
    ]


def _assign_to_one_zone(demand: CapacityDemand, slots_by_zone: Mapping[str, int]) -> dict[str, int]:
    """Assign all tasks to the zone of their siblings, else to the zone with the most incoming capacity."""
    zones = list(demand.placed_by_zone)
    if not zones:
        zones = sorted(slots_by_zone, key=lambda zone: (-min(slots_by_zone[zone], demand.task_count), zone))
    return {zones[0]: demand.task_count} if zones else {}


def _spread_over_zones(demand: CapacityDemand, slots_by_zone: Mapping[str, int]) -> dict[str, int]:
    """Assign tasks to zones with incoming capacity while that lasts, then to all zones, as evenly as possible.

    The totals that become even include the job's tasks that count in a zone already. No zone gets more than half of all
    the job's tasks, rounded up.
    """
    max_per_zone = max_tasks_per_zone(demand.spec)
    placed_by_zone = demand.placed_by_zone
    rooms = {zone: max(0, max_per_zone - placed_by_zone.get(zone, 0)) for zone in slots_by_zone}
    count = min(demand.task_count, 2 * max_per_zone)
    rooms_in_incoming = {zone: min(room, slots_by_zone[zone]) for zone, room in rooms.items()}
    in_incoming = distribute_evenly(placed_by_zone, rooms_in_incoming, count)
    totals = {zone: placed_by_zone.get(zone, 0) + assigned for zone, assigned in in_incoming.items()}
    rooms_left = {zone: room - in_incoming[zone] for zone, room in rooms.items()}
    in_new_machines = distribute_evenly(totals, rooms_left, count - sum(in_incoming.values()))
    return {zone: in_incoming[zone] + in_new_machines[zone] for zone in slots_by_zone}


def estimate_cost(
    kind: MachineKind, machine_type: MachineType, demand: CapacityDemand, count: int
) -> CostEstimate | None:
    """Return the estimated cost of running `count` tasks on this kind; None if no task fits.

    Each machine is paid for its boot, the image fetch and one run, and at least for `MIN_CHARGE_S`.
    """
    per_machine = count_slots(demand.spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    if per_machine == 0:
        return None
    machines = ceil(count / per_machine)
    fetch_s = demand.spec.image_gb / max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
    paid_s = max(MIN_CHARGE_S, machine_type.boot_s + fetch_s + demand.expected_run_s)
    used_share = count / (machines * per_machine)
    cost_weight = UNUSED_COST_SHARE + (1 - UNUSED_COST_SHARE) * used_share
    return CostEstimate(kind_price(kind, machine_type) * machines * paid_s * cost_weight, machines)


def plan_scale_out(
    demands: Iterable[CapacityDemand],
    incoming: list[IncomingCapacity],
    machine_types: dict[str, MachineType],
    unavailable_kinds: set[MachineKind],
    expensive_kinds: set[MachineKind],
) -> list[ScaleOutRequest]:
    """Return the machines to create for the demands, for each demand of the cheapest kind that can run it.

    The demands are subtracted from `incoming`, and unused capacity of the planned machines is added to it. Kinds in
    `unavailable_kinds` have no capacity now. Kinds in `expensive_kinds` are used only for demands at risk and for jobs
    that may not use spot machines.
    """
    plan = _ScaleOutPlan(incoming, machine_types, unavailable_kinds, expensive_kinds)
    available_kinds = [kind for kind, _ in list_machine_kinds(machine_types.values()) if kind not in unavailable_kinds]
    zone_slots = ZoneSlots(incoming, available_kinds)
    zone_demands: list[CapacityDemand] = []
    for demand in demands:
        with ErrorBoundary("dividing demand by zone", job=JobId(demand.spec.id)):
            zone_demands += split_by_zone(demand, zone_slots)
    demands_with_shapes = [(demand, task_shape(demand.spec)._replace(memory_gb=0.0)) for demand in zone_demands]
    least_memory_gb: dict[TaskShape, float] = {}
    for demand, shape in demands_with_shapes:
        least_memory_gb[shape] = min(demand.spec.memory_gb, least_memory_gb.get(shape, inf))
    for demand, shape in demands_with_shapes:
        with ErrorBoundary("planning machines", job=JobId(demand.spec.id)):
            plan.add(demand, shape, least_memory_gb[shape])
    return plan.requests()


class _ScaleOutPlan:
    """The machines planned so far.

    Two facts are cached by the shape of the tasks without memory: the index of the first incoming capacity that may
    still hold such a task, and the memory from which on no available kind is large enough. Jobs of a large
    series differ little, and checking the same full capacity for each of them took two thirds of a leader's time.
    """

    def __init__(
        self,
        incoming: list[IncomingCapacity],
        machine_types: dict[str, MachineType],
        unavailable_kinds: set[MachineKind],
        expensive_kinds: set[MachineKind],
    ) -> None:
        self._incoming = incoming
        self._machine_types = machine_types
        self._unavailable_kinds = unavailable_kinds
        self._expensive_kinds = expensive_kinds
        self._machine_counts: dict[MachineKind, int] = {}
        self._first_index_by_shape: dict[TaskShape, int] = {}
        self._unsatisfied_memory_gb: dict[tuple[TaskShape, bool], float] = {}

    def requests(self) -> list[ScaleOutRequest]:
        """Return the planned machines by kind."""
        return [ScaleOutRequest(kind, count) for kind, count in self._machine_counts.items()]

    def add(self, demand: CapacityDemand, shape: TaskShape, least_memory_gb: float) -> None:
        """Plan machines for the tasks of the demand that do not fit into the incoming capacity.

        `shape` is the tasks' shape without memory, `least_memory_gb` the least memory of all demands of that shape.
        """
        first_index = self._skip_full_capacity(demand.spec, shape, least_memory_gb)
        remaining = absorb_demand(demand, self._incoming, first_index)
        memory_gb = demand.spec.memory_gb
        if remaining == 0 or memory_gb >= self._unsatisfied_memory_gb.get((shape, demand.is_at_risk), inf):
            return
        option = self._cheapest_option(demand, remaining)
        if option is None:
            self._unsatisfied_memory_gb[shape, demand.is_at_risk] = memory_gb
            return
        self._machine_counts[option.kind] = option.planned_machines + option.machine_count
        self._add_unused_capacity(demand.spec, remaining, option)

    def _skip_full_capacity(self, spec: JobSpec, shape: TaskShape, least_memory_gb: float) -> int:
        """Return the index of the first incoming capacity that may hold a task of the shape."""
        first_index = self._first_index_by_shape.get(shape, 0)
        while first_index < len(self._incoming) and not _has_capacity_for(
            self._incoming[first_index], spec, least_memory_gb
        ):
            first_index += 1
        self._first_index_by_shape[shape] = first_index
        return first_index

    def _cheapest_option(self, demand: CapacityDemand, remaining: int) -> _Option | None:
        """Return the option that runs the remaining tasks at the least cost; None if no available kind may run them."""
        spec = demand.spec
        may_use_expensive = demand.is_at_risk or not spec.spot
        options = []
        for kind, machine_type in list_machine_kinds(self._machine_types.values()):
            if kind in self._unavailable_kinds or not is_kind_allowed(spec, kind):
                continue
            if kind in self._expensive_kinds and not may_use_expensive:
                continue
            estimate = estimate_cost(kind, machine_type, demand, remaining)
            if estimate is not None:
                planned_machines = self._machine_counts.get(kind, 0)
                options.append(_Option(estimate.cost, planned_machines, kind, estimate.machine_count))
        return min(options, default=None)

    def _add_unused_capacity(self, spec: JobSpec, remaining: int, option: _Option) -> None:
        """Add the capacity of the planned machines that the remaining tasks leave unused to the incoming capacity."""
        machine_type = self._machine_types[option.kind.type]
        machines = option.machine_count
        per_machine = count_slots(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        if machines * per_machine > remaining:
            self._incoming.append(
                IncomingCapacity(
                    option.kind,
                    machines * machine_type.cpus - remaining * spec.cpus,
                    machines * machine_type.gpus - remaining * spec.gpus,
                    machines * machine_type.memory_gb - remaining * spec.memory_gb,
                )
            )


def _has_capacity_for(capacity: IncomingCapacity, spec: JobSpec, memory_gb: float) -> bool:
    return (
        capacity.cpus + EPSILON >= spec.cpus
        and capacity.gpus + EPSILON >= spec.gpus
        and capacity.memory_gb + EPSILON >= memory_gb
        and is_kind_allowed(spec, capacity.kind)
    )
