"""Sizing: what to rent for the queue and what to return. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import islice
from math import ceil, inf
from typing import NamedTuple

from msgspec.structs import replace

from meadowcross.common.types import EPSILON, MachineId, MachineKind, Seconds
from meadowcross.fleet.messages import MachineType
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.engine import Shape, allowed, shape_of, slots

MIN_CHARGE_S: Seconds = 60.0
"""The protocol charges a deleted machine for at least this long."""


@dataclass(slots=True)
class Need:
    """Tasks of one job that no machine has room for now."""

    spec: JobSpec
    count: int
    run_s: Seconds
    pressed: bool = True
    """It would miss its deadline if it waited for the capacity there is."""
    in_zone: dict[str, int] = field(default_factory=dict)
    """How many of the job's tasks count in each zone already."""


@dataclass(slots=True)
class Coming:
    """Room that is on its way: a booting machine, or tasks about to end."""

    kind: MachineKind
    cpus: float
    gpus: float
    memory_gb: float


@dataclass(slots=True)
class Held:
    """A machine that may be drained: what it offers, what is on it, what it costs."""

    machine: MachineId
    cpus: float
    used_cpus: float
    memory_gb: float
    used_memory: float
    price: float

    @property
    def price_per_cpu(self) -> float:
        return self.price / self.cpus


def surplus(held: Iterable[Held], spare_share: float) -> list[MachineId]:
    """Machines to drain, dearest room first: the rest holds what all of them hold now,
    and `spare_share` more. Only which machines are offered changes; the score decides
    among those, so spreading does not keep every machine a little busy."""
    machines = sorted(held, key=lambda h: (-h.price_per_cpu, h.used_cpus / h.cpus, h.machine))
    cpus = sum(h.cpus for h in machines) - sum(h.used_cpus for h in machines) * (1 + spare_share)
    memory = sum(h.memory_gb for h in machines) - sum(h.used_memory for h in machines) * (1 + spare_share)
    drained = []
    for one in machines:
        if one.cpus <= cpus + EPSILON and one.memory_gb <= memory + EPSILON:
            cpus -= one.cpus
            memory -= one.memory_gb
            drained.append(one.machine)
    return drained


class Rental(NamedTuple):
    kind: MachineKind
    machines: int


def kinds_of(types: Iterable[MachineType]) -> Iterator[tuple[MachineKind, MachineType]]:
    """All that can be rented: each type in each of its zones, spot and ordinary."""
    for machine_type in types:
        for zone in machine_type.zones:
            for spot in (True, False):
                yield MachineKind(machine_type.name, zone, spot), machine_type


def dear_kinds(types: Iterable[MachineType], multiple: float) -> set[MachineKind]:
    """Kinds whose CPUs cost more than `multiple` times the cheapest: paid only under pressure."""
    prices = {kind: price_of(kind, t) / t.cpus for kind, t in kinds_of(types)}
    cheapest = min(prices.values(), default=0.0)
    return {kind for kind, price in prices.items() if price > multiple * cheapest}


def must_pay(spec: JobSpec, types: Iterable[MachineType], dear: set[MachineKind]) -> bool:
    """Whether only dear kinds may run the job: they are no luxury then."""
    return not any(
        kind not in dear and allowed(spec, kind) and slots(spec, t.cpus, t.gpus, t.memory_gb) > 0
        for kind, t in kinds_of(types)
    )


def press(needs: list[Need], slacks: list[Seconds], cpus: float, boot: Seconds) -> None:
    """Mark the needs, given in queue order, whose slack is shorter than the wait that
    the work ahead of them makes on `cpus`, where that wait is longer than a boot: what comes
    free sooner than any machine rented for it is not hurried by money. Once some job was
    always about to be late, and all ordinary machines were kept all day for it."""
    ahead = 0.0
    for need, slack in zip(needs, slacks, strict=True):
        ahead += need.count * need.spec.cpus * need.run_s
        need.pressed = cpus <= 0 or max(slack, boot) < ahead / cpus


def absorb(need: Need, coming: Sequence[Coming], first: int = 0) -> int:
    """Put the need's tasks into room that is on its way, from the `first` on; returns what is
    left over."""
    spec = need.spec
    left = need.count
    for room in islice(coming, first, None):
        if left == 0:
            break
        if not allowed(spec, room.kind):
            continue
        taken = min(left, slots(spec, room.cpus, room.gpus, room.memory_gb))
        room.cpus -= taken * spec.cpus
        room.gpus -= taken * spec.gpus
        room.memory_gb -= taken * spec.memory_gb
        left -= taken
    return left


def by_zone(need: Need, coming: Sequence[Coming], open_kinds: Iterable[MachineKind]) -> list[Need]:
    """The need of a job that its zones bind, as needs of single zones: room that is coming in another zone is
    no room for it. Counted together, a spread service waited for ever for a second zone where nothing was
    rented, and a job of one zone for room that two zones had half of each."""
    spec = need.spec
    if spec.zone is not None or not (spec.one_zone or spec.spread):
        return [need]
    room: dict[str, int] = {kind.zone: 0 for kind in open_kinds if allowed(spec, kind)}
    for one in coming:
        if allowed(spec, one.kind):
            held = slots(spec, one.cpus, one.gpus, one.memory_gb)
            room[one.kind.zone] = room.get(one.kind.zone, 0) + held
    if spec.one_zone:
        zones = list(need.in_zone) or sorted(room, key=lambda zone: (-min(room[zone], need.count), zone))
        shares = {zones[0]: need.count} if zones else {}
    else:
        shares = dict.fromkeys(room, 0)
        most = (spec.tasks + 1) // 2
        for _ in range(min(need.count, 2 * most)):
            # Room that is coming first; then where the fewest of its tasks are.
            counts = {zone: need.in_zone.get(zone, 0) + taken for zone, taken in shares.items()}
            left = [zone for zone in shares if counts[zone] < most]
            if not left:
                break
            shares[min(left, key=lambda zone: (room[zone] <= shares[zone], counts[zone], zone))] += 1
    return [Need(replace(spec, zone=zone), count, need.run_s, need.pressed) for zone, count in shares.items() if count]


def _holds(room: Coming, spec: JobSpec, memory_gb: float) -> bool:
    return (
        room.cpus + EPSILON >= spec.cpus
        and room.gpus + EPSILON >= spec.gpus
        and room.memory_gb + EPSILON >= memory_gb
        and allowed(spec, room.kind)
    )


def price_of(kind: MachineKind, machine_type: MachineType) -> float:
    return machine_type.spot_price if kind.spot else machine_type.price


def cost_of(kind: MachineKind, machine_type: MachineType, need: Need, count: int) -> tuple[float, int] | None:
    """Money for `count` tasks on this kind, and the machines it takes.

    A machine is paid for its boot, at least the least charge, and the tasks' rounds;
    room that the tasks leave unused is half counted, since others will use some.
    """
    per_machine = slots(need.spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    if per_machine == 0:
        return None
    machines = ceil(count / per_machine)
    price = price_of(kind, machine_type)
    fetch = need.spec.image_gb / max(machine_type.fetch_gb_per_s, 0.01)
    paid_s = max(MIN_CHARGE_S, machine_type.boot_s + fetch + need.run_s)
    used = count / (machines * per_machine)
    return price * machines * paid_s * (0.5 + 0.5 * used), machines


def plan(
    needs: Iterable[Need],
    coming: list[Coming],
    types: dict[str, MachineType],
    closed: set[MachineKind],
    dear: set[MachineKind],
) -> list[Rental]:
    """Rentals for the needs, cheapest useful capacity first. `closed` has no capacity now."""
    rentals: dict[MachineKind, int] = {}
    # The first room that may still hold a task of a shape: a swarm of jobs that differ by
    # little once spent two thirds of a leader's time asking the same full rooms for each.
    kinds = [kind for kind, _ in kinds_of(types.values()) if kind not in closed]
    bound = [part for need in needs for part in by_zone(need, coming, kinds)]
    shaped = [(need, shape_of(need.spec)._replace(memory_gb=0.0)) for need in bound]
    least: dict[Shape, float] = {}
    for need, shape in shaped:
        least[shape] = min(need.spec.memory_gb, least.get(shape, inf))
    first: dict[Shape, int] = {}
    # From how much memory on no open kind is left for a shape: it need not be priced again.
    barren: dict[tuple[Shape, bool], float] = {}
    for need, shape in shaped:
        memory = need.spec.memory_gb
        start = first.get(shape, 0)
        while start < len(coming) and not _holds(coming[start], need.spec, least[shape]):
            start += 1
        first[shape] = start
        left = absorb(need, coming, start)
        if left == 0:
            continue
        if memory >= barren.get((shape, need.pressed), inf):
            continue
        options = []
        for kind, machine_type in kinds_of(types.values()):
            if kind in closed or not allowed(need.spec, kind):
                continue
            if kind in dear and need.spec.spot and not need.pressed:
                continue
            cost = cost_of(kind, machine_type, need, left)
            if cost is not None:
                options.append((cost[0], rentals.get(kind, 0), kind, cost[1]))
        if not options:
            barren[shape, need.pressed] = memory
            continue
        _, _, kind, machines = min(options)
        rentals[kind] = rentals.get(kind, 0) + machines
        chosen = types[kind.type]
        per_machine = slots(need.spec, chosen.cpus, chosen.gpus, chosen.memory_gb)
        if machines * per_machine > left:
            spare = Coming(
                kind,
                machines * chosen.cpus - left * need.spec.cpus,
                machines * chosen.gpus - left * need.spec.gpus,
                machines * chosen.memory_gb - left * need.spec.memory_gb,
            )
            coming.append(spare)
    return [Rental(kind, count) for kind, count in rentals.items()]
