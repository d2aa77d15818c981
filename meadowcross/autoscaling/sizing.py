"""How many machines of which kinds to create for the queue. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import islice
from math import ceil, inf
from typing import NamedTuple

from msgspec.structs import replace

from meadowcross.autoscaling.machine_kinds import kind_price, list_machine_kinds
from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.types import EPSILON, MachineKind, Seconds
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.model import TaskShape, count_slots, is_kind_allowed, task_shape

MIN_CHARGE_S: Seconds = 60.0
"""The cloud charges a deleted machine for at least this long."""
MIN_FETCH_GB_PER_S = 0.01
"""A type that states a lower fetch rate is taken to have this one."""
UNUSED_COST_SHARE = 0.5
"""Room that the demand leaves unused costs this share of its price, since other work will use some of it."""


@dataclass(slots=True)
class CapacityDemand:
    """Tasks of one job that no machine has room for now."""

    spec: JobSpec
    task_count: int
    expected_run_s: Seconds
    is_at_risk: bool = True
    """It would miss its deadline or objective if it waited for the capacity there is."""
    placed_by_zone: dict[str, int] = field(default_factory=dict)
    """How many of the job's tasks count in each zone already."""


@dataclass(slots=True)
class IncomingCapacity:
    """Room that will be there soon: of a machine that boots, or of tasks about to end."""

    kind: MachineKind
    cpus: float
    gpus: float
    memory_gb: float


class ScaleOutRequest(NamedTuple):
    """Machines of one kind to create."""

    kind: MachineKind
    machine_count: int


class Estimate(NamedTuple):
    """What it costs to run the tasks of a demand on one kind, and how many machines it takes."""

    cost: float
    machine_count: int


class _Option(NamedTuple):
    """A kind that could take a demand. The least in the order of the fields is chosen."""

    cost: float
    planned_machines: int
    kind: MachineKind
    machine_count: int


def mark_at_risk(demands: list[CapacityDemand], slacks_s: list[Seconds], cpus: float, boot_s: Seconds) -> None:
    """Mark the demands that would be late on the `cpus` there are; demands and slacks are in queue order.

    A demand is at risk if its slack is shorter than the wait that the work ahead of it makes, and that wait is
    longer than a boot: money brings nothing sooner than a boot. Without the latter some job was always about to be
    late, and all on-demand machines were kept all day for it.
    """
    cpu_s_ahead = 0.0
    for demand, slack_s in zip(demands, slacks_s, strict=True):
        cpu_s_ahead += demand.task_count * demand.spec.cpus * demand.expected_run_s
        demand.is_at_risk = cpus <= 0 or max(slack_s, boot_s) < cpu_s_ahead / cpus


def absorb_demand(demand: CapacityDemand, incoming: Sequence[IncomingCapacity], first: int = 0) -> int:
    """Put the demand's tasks into the incoming capacity from index `first` on; return how many are left over."""
    spec = demand.spec
    remaining = demand.task_count
    for capacity in islice(incoming, first, None):
        if remaining == 0:
            break
        if not is_kind_allowed(spec, capacity.kind):
            continue
        taken = min(remaining, count_slots(spec, capacity.cpus, capacity.gpus, capacity.memory_gb))
        capacity.cpus -= taken * spec.cpus
        capacity.gpus -= taken * spec.gpus
        capacity.memory_gb -= taken * spec.memory_gb
        remaining -= taken
    return remaining


def split_by_zone(
    demand: CapacityDemand, incoming: Sequence[IncomingCapacity], open_kinds: Iterable[MachineKind]
) -> list[CapacityDemand]:
    """Divide the demand of a job that is bound by zones into demands of single zones.

    Capacity that comes in another zone is none for it. Counted together, a spread service waited for ever for a
    second zone where no machine was created, and a job of one zone for room that two zones had half of each.
    """
    spec = demand.spec
    if spec.zone is not None or not (spec.one_zone or spec.spread):
        return [demand]
    slots_by_zone = _incoming_slots_by_zone(spec, incoming, open_kinds)
    shares = _share_of_one_zone(demand, slots_by_zone) if spec.one_zone else _spread_shares(demand, slots_by_zone)
    return [
        CapacityDemand(replace(spec, zone=zone), count, demand.expected_run_s, demand.is_at_risk)
        for zone, count in shares.items()
        if count
    ]


def _incoming_slots_by_zone(
    spec: JobSpec, incoming: Sequence[IncomingCapacity], open_kinds: Iterable[MachineKind]
) -> dict[str, int]:
    """Return how many tasks of the job the incoming capacity holds in each zone that the job may use."""
    slots_by_zone = {kind.zone: 0 for kind in open_kinds if is_kind_allowed(spec, kind)}
    for capacity in incoming:
        if is_kind_allowed(spec, capacity.kind):
            slots = count_slots(spec, capacity.cpus, capacity.gpus, capacity.memory_gb)
            slots_by_zone[capacity.kind.zone] = slots_by_zone.get(capacity.kind.zone, 0) + slots
    return slots_by_zone


def _share_of_one_zone(demand: CapacityDemand, slots_by_zone: dict[str, int]) -> dict[str, int]:
    """Give all tasks to the zone of their siblings, else to the one where most capacity comes."""
    zones = list(demand.placed_by_zone)
    if not zones:
        zones = sorted(slots_by_zone, key=lambda zone: (-min(slots_by_zone[zone], demand.task_count), zone))
    return {zones[0]: demand.task_count} if zones else {}


def _spread_shares(demand: CapacityDemand, slots_by_zone: dict[str, int]) -> dict[str, int]:
    """Give each task to a zone with incoming capacity left, then to the one with the fewest of the job's tasks.

    No zone gets more than half of all the job's tasks, rounded up.
    """
    shares = dict.fromkeys(slots_by_zone, 0)
    max_per_zone = (demand.spec.tasks + 1) // 2
    for _ in range(min(demand.task_count, 2 * max_per_zone)):
        counts = {zone: demand.placed_by_zone.get(zone, 0) + taken for zone, taken in shares.items()}
        open_zones = [zone for zone in shares if counts[zone] < max_per_zone]
        if not open_zones:
            break
        best = min((slots_by_zone[zone] <= shares[zone], counts[zone], zone) for zone in open_zones)
        shares[best[-1]] += 1
    return shares


def estimate_cost(kind: MachineKind, machine_type: MachineType, demand: CapacityDemand, count: int) -> Estimate | None:
    """Return what it costs to run `count` tasks on this kind; None if no task fits.

    A machine is paid for its boot, the image fetch and one run, and at least for the minimum charge.
    """
    per_machine = count_slots(demand.spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    if per_machine == 0:
        return None
    machines = ceil(count / per_machine)
    fetch_s = demand.spec.image_gb / max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
    paid_s = max(MIN_CHARGE_S, machine_type.boot_s + fetch_s + demand.expected_run_s)
    used_share = count / (machines * per_machine)
    weight = UNUSED_COST_SHARE + (1 - UNUSED_COST_SHARE) * used_share
    return Estimate(kind_price(kind, machine_type) * machines * paid_s * weight, machines)


def plan_scale_out(
    demands: Iterable[CapacityDemand],
    incoming: list[IncomingCapacity],
    machine_types: dict[str, MachineType],
    unavailable: set[MachineKind],
    expensive: set[MachineKind],
) -> list[ScaleOutRequest]:
    """Return the machines to create for the demands, cheapest useful kind first.

    `incoming` is used up by the demands and grows by the room that the planned machines leave. Kinds in
    `unavailable` have no capacity now; those in `expensive` are for demands at risk, or that may use no spot machines.
    """
    plan = _ScaleOutPlan(incoming, machine_types, unavailable, expensive)
    open_kinds = [kind for kind, _ in list_machine_kinds(machine_types.values()) if kind not in unavailable]
    zone_demands = [part for demand in demands for part in split_by_zone(demand, incoming, open_kinds)]
    with_shapes = [(demand, task_shape(demand.spec)._replace(memory_gb=0.0)) for demand in zone_demands]
    least_memory_gb: dict[TaskShape, float] = {}
    for demand, shape in with_shapes:
        least_memory_gb[shape] = min(demand.spec.memory_gb, least_memory_gb.get(shape, inf))
    for demand, shape in with_shapes:
        plan.add(demand, shape, least_memory_gb[shape])
    return plan.requests()


class _ScaleOutPlan:
    """The machines planned so far.

    Two things are remembered by the tasks' shape without memory, since jobs of a swarm differ by little and asking
    the same full rooms for each took two thirds of a leader's time: where the first incoming capacity is that may
    still hold such a task, and from how much memory on no open kind is large enough.
    """

    def __init__(
        self,
        incoming: list[IncomingCapacity],
        machine_types: dict[str, MachineType],
        unavailable: set[MachineKind],
        expensive: set[MachineKind],
    ) -> None:
        self._incoming = incoming
        self._machine_types = machine_types
        self._unavailable = unavailable
        self._expensive = expensive
        self._machines: dict[MachineKind, int] = {}
        self._first_open: dict[TaskShape, int] = {}
        self._unsatisfied_memory_gb: dict[tuple[TaskShape, bool], float] = {}

    def requests(self) -> list[ScaleOutRequest]:
        """Return what to create, by kind."""
        return [ScaleOutRequest(kind, count) for kind, count in self._machines.items()]

    def add(self, demand: CapacityDemand, shape: TaskShape, least_memory_gb: float) -> None:
        """Plan machines for what of the demand the incoming capacity does not take.

        `shape` is the tasks' shape without memory, `least_memory_gb` the least memory of all demands of that shape.
        """
        first = self._skip_full(demand.spec, shape, least_memory_gb)
        remaining = absorb_demand(demand, self._incoming, first)
        memory_gb = demand.spec.memory_gb
        if remaining == 0 or memory_gb >= self._unsatisfied_memory_gb.get((shape, demand.is_at_risk), inf):
            return
        option = self._cheapest_option(demand, remaining)
        if option is None:
            self._unsatisfied_memory_gb[shape, demand.is_at_risk] = memory_gb
            return
        self._machines[option.kind] = option.planned_machines + option.machine_count
        self._add_spare_room(demand.spec, remaining, option)

    def _skip_full(self, spec: JobSpec, shape: TaskShape, least_memory_gb: float) -> int:
        """Return the index of the first incoming capacity that may hold a task of the shape."""
        first = self._first_open.get(shape, 0)
        while first < len(self._incoming) and not _has_room(self._incoming[first], spec, least_memory_gb):
            first += 1
        self._first_open[shape] = first
        return first

    def _cheapest_option(self, demand: CapacityDemand, remaining: int) -> _Option | None:
        """Return the kind that runs the remaining tasks at the least cost; None if no kind may and can."""
        spec = demand.spec
        may_use_expensive = demand.is_at_risk or not spec.spot
        options = []
        for kind, machine_type in list_machine_kinds(self._machine_types.values()):
            if kind in self._unavailable or not is_kind_allowed(spec, kind):
                continue
            if kind in self._expensive and not may_use_expensive:
                continue
            estimate = estimate_cost(kind, machine_type, demand, remaining)
            if estimate is not None:
                planned = self._machines.get(kind, 0)
                options.append(_Option(estimate.cost, planned, kind, estimate.machine_count))
        return min(options, default=None)

    def _add_spare_room(self, spec: JobSpec, remaining: int, option: _Option) -> None:
        """Count what the remaining tasks leave of the planned machines as incoming for the demands behind."""
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


def _has_room(capacity: IncomingCapacity, spec: JobSpec, memory_gb: float) -> bool:
    return (
        capacity.cpus + EPSILON >= spec.cpus
        and capacity.gpus + EPSILON >= spec.gpus
        and capacity.memory_gb + EPSILON >= memory_gb
        and is_kind_allowed(spec, capacity.kind)
    )
