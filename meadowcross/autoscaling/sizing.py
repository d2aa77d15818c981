"""Sizing: what to rent for the queue and what to return. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import islice
from math import ceil, inf
from typing import NamedTuple

from msgspec.structs import replace

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.types import EPSILON, MachineId, MachineKind, Seconds
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.model import TaskShape, count_slots, is_kind_allowed, task_shape

MIN_CHARGE_S: Seconds = 60.0
"""The protocol charges a deleted machine for at least this long."""


@dataclass(slots=True)
class CapacityDemand:
    """Tasks of one job that no machine has room for now."""

    spec: JobSpec
    task_count: int
    expected_run_s: Seconds
    is_at_risk: bool = True
    """It would miss its deadline if it waited for the capacity there is."""
    placed_by_zone: dict[str, int] = field(default_factory=dict)
    """How many of the job's tasks count in each zone already."""


@dataclass(slots=True)
class IncomingCapacity:
    """Room that is on its way: a booting machine, or tasks about to end."""

    kind: MachineKind
    cpus: float
    gpus: float
    memory_gb: float


@dataclass(slots=True)
class MachineUsage:
    """A machine that may be drained: what it offers, what is on it, what it costs."""

    machine: MachineId
    cpus: float
    used_cpus: float
    memory_gb: float
    used_memory_gb: float
    price: float

    @property
    def price_per_cpu(self) -> float:
        return self.price / self.cpus


def select_surplus_machines(usages: Iterable[MachineUsage], spare_share: float) -> list[MachineId]:
    """Machines to drain, dearest room first: the rest holds what all of them hold now,
    and `spare_share` more. Only which machines are offered changes; the score decides
    among those, so spreading does not keep every machine a little busy."""
    machines = sorted(usages, key=lambda h: (-h.price_per_cpu, h.used_cpus / h.cpus, h.machine))
    cpus = sum(h.cpus for h in machines) - sum(h.used_cpus for h in machines) * (1 + spare_share)
    memory_gb = sum(h.memory_gb for h in machines) - sum(h.used_memory_gb for h in machines) * (1 + spare_share)
    surplus = []
    for usage in machines:
        if usage.cpus <= cpus + EPSILON and usage.memory_gb <= memory_gb + EPSILON:
            cpus -= usage.cpus
            memory_gb -= usage.memory_gb
            surplus.append(usage.machine)
    return surplus


class ScaleOutRequest(NamedTuple):
    kind: MachineKind
    machine_count: int


def list_machine_kinds(machine_types: Iterable[MachineType]) -> Iterator[tuple[MachineKind, MachineType]]:
    """All that can be rented: each type in each of its zones, spot and ordinary."""
    for machine_type in machine_types:
        for zone in machine_type.zones:
            for spot in (True, False):
                yield MachineKind(machine_type.name, zone, spot), machine_type


def find_expensive_kinds(machine_types: Iterable[MachineType], multiple: float) -> set[MachineKind]:
    """Kinds whose CPUs cost more than `multiple` times the cheapest: paid only under pressure."""
    prices = {kind: kind_price(kind, t) / t.cpus for kind, t in list_machine_kinds(machine_types)}
    cheapest = min(prices.values(), default=0.0)
    return {kind for kind, price in prices.items() if price > multiple * cheapest}


def requires_expensive_kind(spec: JobSpec, machine_types: Iterable[MachineType], expensive: set[MachineKind]) -> bool:
    """Whether only dear kinds may run the job: they are no luxury then."""
    return not any(
        kind not in expensive and is_kind_allowed(spec, kind) and count_slots(spec, t.cpus, t.gpus, t.memory_gb) > 0
        for kind, t in list_machine_kinds(machine_types)
    )


def mark_at_risk(demands: list[CapacityDemand], slacks_s: list[Seconds], cpus: float, boot_s: Seconds) -> None:
    """Mark the needs, given in queue order, whose slack is shorter than the wait that
    the work ahead of them makes on `cpus`, where that wait is longer than a boot: what comes
    free sooner than any machine rented for it is not hurried by money. Once some job was
    always about to be late, and all ordinary machines were kept all day for it."""
    cpu_s_ahead = 0.0
    for demand, slack_s in zip(demands, slacks_s, strict=True):
        cpu_s_ahead += demand.task_count * demand.spec.cpus * demand.expected_run_s
        demand.is_at_risk = cpus <= 0 or max(slack_s, boot_s) < cpu_s_ahead / cpus


def absorb_demand(demand: CapacityDemand, incoming: Sequence[IncomingCapacity], first: int = 0) -> int:
    """Put the need's tasks into room that is on its way, from the `first` on; returns what is
    left over."""
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
    """The need of a job that its zones bind, as needs of single zones: room that is coming in another zone is
    no room for it. Counted together, a spread service waited for ever for a second zone where nothing was
    rented, and a job of one zone for room that two zones had half of each."""
    spec = demand.spec
    if spec.zone is not None or not (spec.one_zone or spec.spread):
        return [demand]
    slots_by_zone: dict[str, int] = {kind.zone: 0 for kind in open_kinds if is_kind_allowed(spec, kind)}
    for capacity in incoming:
        if is_kind_allowed(spec, capacity.kind):
            held = count_slots(spec, capacity.cpus, capacity.gpus, capacity.memory_gb)
            slots_by_zone[capacity.kind.zone] = slots_by_zone.get(capacity.kind.zone, 0) + held
    if spec.one_zone:
        zones = list(demand.placed_by_zone) or sorted(
            slots_by_zone, key=lambda zone: (-min(slots_by_zone[zone], demand.task_count), zone)
        )
        shares = {zones[0]: demand.task_count} if zones else {}
    else:
        shares = dict.fromkeys(slots_by_zone, 0)
        max_per_zone = (spec.tasks + 1) // 2
        for _ in range(min(demand.task_count, 2 * max_per_zone)):
            # Room that is coming first; then where the fewest of its tasks are.
            counts = {zone: demand.placed_by_zone.get(zone, 0) + taken for zone, taken in shares.items()}
            open_zones = [zone for zone in shares if counts[zone] < max_per_zone]
            if not open_zones:
                break
            shares[min(open_zones, key=lambda zone: (slots_by_zone[zone] <= shares[zone], counts[zone], zone))] += 1
    return [
        CapacityDemand(replace(spec, zone=zone), count, demand.expected_run_s, demand.is_at_risk)
        for zone, count in shares.items()
        if count
    ]


def _has_room(capacity: IncomingCapacity, spec: JobSpec, memory_gb: float) -> bool:
    return (
        capacity.cpus + EPSILON >= spec.cpus
        and capacity.gpus + EPSILON >= spec.gpus
        and capacity.memory_gb + EPSILON >= memory_gb
        and is_kind_allowed(spec, capacity.kind)
    )


def kind_price(kind: MachineKind, machine_type: MachineType) -> float:
    return machine_type.spot_price if kind.spot else machine_type.price


def estimate_cost(
    kind: MachineKind, machine_type: MachineType, demand: CapacityDemand, count: int
) -> tuple[float, int] | None:
    """Money for `count` tasks on this kind, and the machines it takes.

    A machine is paid for its boot, at least the least charge, and the tasks' rounds;
    room that the tasks leave unused is half counted, since others will use some.
    """
    per_machine = count_slots(demand.spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    if per_machine == 0:
        return None
    machines = ceil(count / per_machine)
    price = kind_price(kind, machine_type)
    fetch_s = demand.spec.image_gb / max(machine_type.fetch_gb_per_s, 0.01)
    paid_s = max(MIN_CHARGE_S, machine_type.boot_s + fetch_s + demand.expected_run_s)
    used_share = count / (machines * per_machine)
    return price * machines * paid_s * (0.5 + 0.5 * used_share), machines


def plan_scale_out(
    demands: Iterable[CapacityDemand],
    incoming: list[IncomingCapacity],
    machine_types: dict[str, MachineType],
    unavailable: set[MachineKind],
    expensive: set[MachineKind],
) -> list[ScaleOutRequest]:
    """Rentals for the needs, cheapest useful capacity first. `closed` has no capacity now."""
    requests: dict[MachineKind, int] = {}
    # The first room that may still hold a task of a shape: a swarm of jobs that differ by
    # little once spent two thirds of a leader's time asking the same full rooms for each.
    kinds = [kind for kind, _ in list_machine_kinds(machine_types.values()) if kind not in unavailable]
    zone_demands = [part for need in demands for part in split_by_zone(need, incoming, kinds)]
    demands_with_shape = [(need, task_shape(need.spec)._replace(memory_gb=0.0)) for need in zone_demands]
    least_memory_gb: dict[TaskShape, float] = {}
    for need, shape in demands_with_shape:
        least_memory_gb[shape] = min(need.spec.memory_gb, least_memory_gb.get(shape, inf))
    first_open: dict[TaskShape, int] = {}
    # From how much memory on no open kind is left for a shape: it need not be priced again.
    min_unsatisfiable_memory_gb: dict[tuple[TaskShape, bool], float] = {}
    for need, shape in demands_with_shape:
        memory_gb = need.spec.memory_gb
        first_index = first_open.get(shape, 0)
        while first_index < len(incoming) and not _has_room(incoming[first_index], need.spec, least_memory_gb[shape]):
            first_index += 1
        first_open[shape] = first_index
        remaining = absorb_demand(need, incoming, first_index)
        if remaining == 0:
            continue
        if memory_gb >= min_unsatisfiable_memory_gb.get((shape, need.is_at_risk), inf):
            continue
        options = []
        for kind, machine_type in list_machine_kinds(machine_types.values()):
            if kind in unavailable or not is_kind_allowed(need.spec, kind):
                continue
            if kind in expensive and need.spec.spot and not need.is_at_risk:
                continue
            cost = estimate_cost(kind, machine_type, need, remaining)
            if cost is not None:
                options.append((cost[0], requests.get(kind, 0), kind, cost[1]))
        if not options:
            min_unsatisfiable_memory_gb[shape, need.is_at_risk] = memory_gb
            continue
        _, _, kind, machines = min(options)
        requests[kind] = requests.get(kind, 0) + machines
        chosen_type = machine_types[kind.type]
        per_machine = count_slots(need.spec, chosen_type.cpus, chosen_type.gpus, chosen_type.memory_gb)
        if machines * per_machine > remaining:
            spare_capacity = IncomingCapacity(
                kind,
                machines * chosen_type.cpus - remaining * need.spec.cpus,
                machines * chosen_type.gpus - remaining * need.spec.gpus,
                machines * chosen_type.memory_gb - remaining * need.spec.memory_gb,
            )
            incoming.append(spare_capacity)
    return [ScaleOutRequest(kind, count) for kind, count in requests.items()]
