"""Placement: filter, score and choose. Pure functions over a snapshot.

The score is DESIGN's: gamma times the resource term plus delta times the network
term. The paper's percentage gap is taken relative to the machine's free amount,
the term in Algorithm 1 that the gap is subtracted from (see docs/design.md).
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from meadowcross.common.settings import Operator
from meadowcross.common.types import EPSILON, JobId, MachineId, MachineKind, Seconds
from meadowcross.jobs.messages import JobSpec, Kind


@dataclass(slots=True)
class Offer:
    """A machine that may be given work: draining, silent or condemned ones are not offered."""

    machine: MachineId
    kind: MachineKind
    free_cpus: float
    free_gpus: float
    free_memory: float
    images: set[str]
    fetching: set[str] = field(default_factory=set)
    """Images that are being fetched there; they share the machine's rate."""

    def fits(self, spec: JobSpec) -> bool:
        return (
            spec.cpus <= self.free_cpus + EPSILON
            and spec.gpus <= self.free_gpus + EPSILON
            and spec.memory_gb <= self.free_memory + EPSILON
        )

    def take(self, spec: JobSpec, sign: int = 1) -> None:
        self.free_cpus -= sign * spec.cpus
        self.free_gpus -= sign * spec.gpus
        self.free_memory -= sign * spec.memory_gb


@dataclass(slots=True)
class Want:
    """A job with tasks to place, and where its placed, not proven gone, tasks are."""

    job: JobId
    spec: JobSpec
    count: int
    rank: int
    slack: Seconds
    retrying: bool = False
    borrowing: bool = False
    guaranteed: int = 0
    """How many of its tasks are still within its team's guarantee."""
    warm_only: bool = False
    """Only a machine that holds the image can start it promptly, and it still may."""
    start_slack: Seconds = inf
    """How long it may still wait, its image fetched, for its class's aim on the start."""
    run_s: Seconds = 0.0
    """How long one of its tasks is expected to run."""
    aged: bool = False
    """No task of it ever began, or none has gone on for long: it goes first, an array with one task."""
    fetch_s: Seconds = 0.0
    """How long its image takes to fetch, alone on the best machine type."""
    siblings: dict[MachineId, tuple[str, int]] = field(default_factory=dict)
    """Per machine: its zone and how many of the job's tasks count there."""

    def in_zone(self) -> Counter[str]:
        """How many of the job's tasks count in each zone."""
        counts: Counter[str] = Counter()
        for zone, number in self.siblings.values():
            counts[zone] += number
        return counts


@dataclass(slots=True)
class Room:
    """What a team may still use; infinite where it has no limit."""

    cpus: float
    gpus: float

    def tasks(self, spec: JobSpec) -> int:
        most = 10**9
        if spec.cpus > 0 and self.cpus < 1e12:
            most = min(most, int((self.cpus + EPSILON) / spec.cpus))
        if spec.gpus > 0 and self.gpus < 1e12:
            most = min(most, int((self.gpus + EPSILON) / spec.gpus))
        return max(0, most)

    def take(self, spec: JobSpec, count: int) -> None:
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count


class Choice(NamedTuple):
    job: JobId
    machines: list[MachineId]


def allowed(spec: JobSpec, kind: MachineKind) -> bool:
    return (
        (spec.spot or not kind.spot)
        and (spec.types is None or kind.type in spec.types)
        and (spec.zone is None or kind.zone == spec.zone)
    )


class Shape(NamedTuple):
    """All that decides where a task fits: what finds no room for one finds none for its like."""

    cpus: float
    gpus: float
    memory_gb: float
    spot: bool
    zone: str | None
    types: tuple[str, ...]


def shape_of(spec: JobSpec) -> Shape:
    return Shape(spec.cpus, spec.gpus, spec.memory_gb, spec.spot, spec.zone, tuple(spec.types or ()))


def resource_term(spec: JobSpec, free_cpus: float, free_memory: float, weights: Operator) -> float:
    cpu = (free_cpus - spec.cpus) / free_cpus * 100 if free_cpus > EPSILON else 0.0
    memory = (free_memory - spec.memory_gb) / free_memory * 100 if free_memory > EPSILON else 0.0
    return weights.alpha * cpu + weights.beta * memory


def network_term(machine: MachineId, zone: str, siblings: dict[MachineId, tuple[str, int]], weights: Operator) -> float:
    cost = 0.0
    for other, (other_zone, count) in siblings.items():
        if other == machine:
            cost += count * weights.cost_same_machine
        elif other_zone == zone:
            cost += count * weights.cost_same_zone
        else:
            cost += count * weights.cost_across_zones
    return -cost


def score(spec: JobSpec, offer: Offer, siblings: dict[MachineId, tuple[str, int]], weights: Operator) -> float:
    network = network_term(offer.machine, offer.kind.zone, siblings, weights) if talks(spec) else 0.0
    return weights.gamma * resource_term(spec, offer.free_cpus, offer.free_memory, weights) + weights.delta * network


def talks(spec: JobSpec) -> bool:
    """Only gang siblings count as talking; arrays and services have no known traffic."""
    return spec.kind is Kind.GANG


def constrained(spec: JobSpec) -> bool:
    """Where one task may go depends on where the others are."""
    return spec.one_zone or spec.spread or talks(spec)


def order(want: Want) -> tuple[bool, int, bool, bool, Seconds, JobId]:
    """What has waited too long to begin at all; else strictly by priority; then work inside a guarantee, retries, and
    least slack."""
    return (not want.aged, want.rank, want.borrowing, not want.retrying, want.slack, want.job)


class Hold(NamedTuple):
    """A machine where room is being made for a job bound by zones or a guarantee:
    nothing else but higher priority may take it."""

    job: JobId
    rank: int


SLOW_FETCH_S: Seconds = 5.0
"""A fetch that takes longer decides when the task starts; below it the score alone spreads what is cold."""


def fetch_tier(want: Want, offer: Offer) -> int:
    """How soon the task's image is there, and at whose cost; machines of a lower tier are offered first, and the
    score decides among equals. Fetches on one machine share its rate, so two images fetched there make both late: a
    machine that fetches another one is the last choice. An array joins a fetch under way, one for many tasks; a
    service's replica, which must find its image elsewhere when its machine is lost, begins one of its own first."""
    if want.spec.image in offer.images:
        return 0
    if want.fetch_s < SLOW_FETCH_S:
        return 1
    if not offer.fetching:
        return 1 if want.spec.kind is Kind.SERVICE else 2
    if want.spec.image in offer.fetching:
        return 2 if want.spec.kind is Kind.SERVICE else 1
    return 3


def may_enter(want: Want, hold: Hold | None) -> bool:
    return hold is None or hold.job == want.job or want.rank < hold.rank


def place(
    offers: Iterable[Offer],
    wants: Iterable[Want],
    rooms: dict[str, Room],
    weights: Operator,
    holds: dict[MachineId, Hold] | None = None,
) -> list[Choice]:
    """Choose machines for as many tasks as fit, in queue order."""
    offered = list(offers)
    held = holds or {}
    full: set[Shape] = set()
    choices: list[Choice] = []
    for want in sorted(wants, key=order):
        spec = want.spec
        shape = shape_of(spec)
        plain = not constrained(spec)
        if plain and shape in full:
            continue
        room = rooms[spec.team]
        count = min(want.count, room.tasks(spec))
        if talks(spec) and count < want.count:
            continue
        if count == 0:
            continue
        fitting = [
            o for o in offered if allowed(spec, o.kind) and o.fits(spec) and may_enter(want, held.get(o.machine))
        ]
        if plain:
            machines = _fill(want, fitting, count, weights)
            if len(machines) < count and not want.warm_only:
                full.add(shape)
        else:
            machines = fill_constrained(want, fitting, count, weights)
        if machines:
            room.take(spec, len(machines))
            choices.append(Choice(want.job, machines))
            # What is full now would only be asked again for each of the jobs behind.
            offered = [o for o in offered if o.free_cpus > EPSILON]
    return choices


def _fill(want: Want, fitting: list[Offer], count: int, weights: Operator) -> list[MachineId]:
    """The top score takes each task. Machines that hold the image are offered first:
    the smallest exception that spares starts an image fetch (see docs/design.md)."""
    spec = want.spec
    machines: list[MachineId] = []

    def entry(offer: Offer) -> tuple[int, float, MachineId, Offer]:
        return fetch_tier(want, offer), -score(spec, offer, {}, weights), offer.machine, offer

    heap = [entry(o) for o in fitting if not want.warm_only or spec.image in o.images]
    heapq.heapify(heap)
    while heap and len(machines) < count:
        tier, _, name, offer = heap[0]
        offer.take(spec)
        if tier > 0:
            offer.fetching.add(spec.image)
        machines.append(name)
        if offer.fits(spec):
            heapq.heapreplace(heap, entry(offer))
        else:
            heapq.heappop(heap)
    return machines


def fill_constrained(want: Want, fitting: list[Offer], count: int, weights: Operator) -> list[MachineId]:
    """One zone, spread and gangs; a gang's tasks are all placed or none are."""
    spec = want.spec
    zones = {zone for zone, _ in want.siblings.values()}
    if want.warm_only:
        fitting = [o for o in fitting if spec.image in o.images]
    if spec.one_zone:
        # Old members hold their zone until they are gone.
        chosen = sorted(zones or {o.kind.zone for o in fitting})
        options = [[o for o in fitting if o.kind.zone == zone] for zone in chosen]
        if len(zones) > 1:
            return []
    else:
        options = [fitting]
    best: tuple[tuple[int, float], list[MachineId]] | None = None
    for option in options:
        total, machines = _greedy(want, option, count, weights)
        if talks(spec) and len(machines) < count:
            continue
        if machines and (best is None or (len(machines), total) > (len(best[1]), best[0])):
            best = (total, machines)
    if best is None:
        return []
    by_name = {o.machine: o for o in fitting}
    for name in best[1]:
        by_name[name].take(spec)
        if spec.image not in by_name[name].images:
            by_name[name].fetching.add(spec.image)
    return best[1]


def _greedy(
    want: Want, option: list[Offer], count: int, weights: Operator
) -> tuple[tuple[int, float], list[MachineId]]:
    """The machines, and how good they are: by the tiers of their fetches, then by score."""
    spec = want.spec
    # Where fetches are quick, zones and score alone decide, as the design has it.
    slow = want.fetch_s >= SLOW_FETCH_S
    tiers = {o.machine: -fetch_tier(want, o) if slow else 0 for o in option}
    siblings = dict(want.siblings)
    in_zone = want.in_zone()
    # Half of all the job's tasks, rounded up, however many of them are placed.
    most_in_zone = (spec.tasks + 1) // 2 if spec.spread else 10**9
    total, tier = 0.0, 0
    machines: list[MachineId] = []
    for _ in range(count):
        best: tuple[int, float, Offer] | None = None
        for offer in option:
            if in_zone[offer.kind.zone] >= most_in_zone or not offer.fits(spec):
                continue
            if best is not None and tiers[offer.machine] < best[0]:
                continue
            value = score(spec, offer, siblings, weights)
            if best is None or (tiers[offer.machine], value) > best[:2]:
                best = (tiers[offer.machine], value, offer)
        if best is None:
            break
        _, value, offer = best
        offer.take(spec)
        total += value
        tier += tiers[offer.machine]
        if slow and spec.kind is Kind.SERVICE and tiers[offer.machine] == -1:
            # Its next replica would join the fetch that this one begins.
            tiers[offer.machine] = -2
        machines.append(offer.machine)
        in_zone[offer.kind.zone] += 1
        zone, number = siblings.get(offer.machine, (offer.kind.zone, 0))
        siblings[offer.machine] = (zone, number + 1)
    for name in machines:
        next(o for o in option if o.machine == name).take(spec, -1)
    return (tier, total), machines


def slots(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks of the job a room holds."""
    most = cpus / spec.cpus
    if spec.gpus > 0:
        most = min(most, gpus / spec.gpus)
    if spec.memory_gb > 0:
        most = min(most, memory_gb / spec.memory_gb)
    return int(most + EPSILON)
