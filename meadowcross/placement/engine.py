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

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import EPSILON, JobId, MachineId, MachineKind, Seconds
from meadowcross.jobs.messages import JobKind, JobSpec


@dataclass(slots=True)
class Candidate:
    """A machine that may be given work: draining, silent or condemned ones are not offered."""

    machine: MachineId
    kind: MachineKind
    free_cpus: float
    free_gpus: float
    free_memory_gb: float
    cached_images: set[str]
    fetching_images: set[str] = field(default_factory=set)
    """Images that are being fetched there; they share the machine's rate."""

    def fits(self, spec: JobSpec) -> bool:
        return (
            spec.cpus <= self.free_cpus + EPSILON
            and spec.gpus <= self.free_gpus + EPSILON
            and spec.memory_gb <= self.free_memory_gb + EPSILON
        )

    def allocate(self, spec: JobSpec, sign: int = 1) -> None:
        self.free_cpus -= sign * spec.cpus
        self.free_gpus -= sign * spec.gpus
        self.free_memory_gb -= sign * spec.memory_gb


@dataclass(slots=True)
class PendingJob:
    """A job with tasks to place, and where its placed, not proven gone, tasks are."""

    job_id: JobId
    spec: JobSpec
    task_count: int
    rank: int
    slack_s: Seconds
    is_retrying: bool = False
    is_borrowing: bool = False
    guaranteed_tasks: int = 0
    """How many of its tasks are still within its team's guarantee."""
    requires_cached_image: bool = False
    """Only a machine that holds the image can start it promptly, and it still may."""
    start_slack_s: Seconds = inf
    """How long it may still wait, its image fetched, for its class's aim on the start."""
    expected_run_s: Seconds = 0.0
    """How long one of its tasks is expected to run."""
    is_starved: bool = False
    """No task of it ever began, or none has gone on for long: it goes first, an array with one task."""
    image_fetch_s: Seconds = 0.0
    """How long its image takes to fetch, alone on the best machine type."""
    siblings: dict[MachineId, tuple[str, int]] = field(default_factory=dict)
    """Per machine: its zone and how many of the job's tasks count there."""

    def count_siblings_by_zone(self) -> Counter[str]:
        """How many of the job's tasks count in each zone."""
        counts: Counter[str] = Counter()
        for zone, count in self.siblings.values():
            counts[zone] += count
        return counts


@dataclass(slots=True)
class QuotaHeadroom:
    """What a team may still use; infinite where it has no limit."""

    cpus: float
    gpus: float

    def max_tasks(self, spec: JobSpec) -> int:
        limit = 10**9
        if spec.cpus > 0 and self.cpus < 1e12:
            limit = min(limit, int((self.cpus + EPSILON) / spec.cpus))
        if spec.gpus > 0 and self.gpus < 1e12:
            limit = min(limit, int((self.gpus + EPSILON) / spec.gpus))
        return max(0, limit)

    def consume(self, spec: JobSpec, count: int) -> None:
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count


class Decision(NamedTuple):
    job_id: JobId
    machines: list[MachineId]


def is_kind_allowed(spec: JobSpec, kind: MachineKind) -> bool:
    return (
        (spec.spot or not kind.spot)
        and (spec.types is None or kind.type in spec.types)
        and (spec.zone is None or kind.zone == spec.zone)
    )


class TaskShape(NamedTuple):
    """All that decides where a task fits: what finds no room for one finds none for its like."""

    cpus: float
    gpus: float
    memory_gb: float
    spot: bool
    zone: str | None
    types: tuple[str, ...]


def task_shape(spec: JobSpec) -> TaskShape:
    return TaskShape(spec.cpus, spec.gpus, spec.memory_gb, spec.spot, spec.zone, tuple(spec.types or ()))


def resource_term(spec: JobSpec, free_cpus: float, free_memory_gb: float, weights: OperatorSettings) -> float:
    cpu_gap = (free_cpus - spec.cpus) / free_cpus * 100 if free_cpus > EPSILON else 0.0
    memory_gap = (free_memory_gb - spec.memory_gb) / free_memory_gb * 100 if free_memory_gb > EPSILON else 0.0
    return weights.alpha * cpu_gap + weights.beta * memory_gap


def network_term(
    machine: MachineId, zone: str, siblings: dict[MachineId, tuple[str, int]], weights: OperatorSettings
) -> float:
    cost = 0.0
    for other, (other_zone, count) in siblings.items():
        if other == machine:
            cost += count * weights.cost_same_machine
        elif other_zone == zone:
            cost += count * weights.cost_same_zone
        else:
            cost += count * weights.cost_across_zones
    return -cost


def score(
    spec: JobSpec, candidate: Candidate, siblings: dict[MachineId, tuple[str, int]], weights: OperatorSettings
) -> float:
    network = (
        network_term(candidate.machine, candidate.kind.zone, siblings, weights) if has_sibling_traffic(spec) else 0.0
    )
    return (
        weights.gamma * resource_term(spec, candidate.free_cpus, candidate.free_memory_gb, weights)
        + weights.delta * network
    )


def has_sibling_traffic(spec: JobSpec) -> bool:
    """Only gang siblings count as talking; arrays and services have no known traffic."""
    return spec.kind is JobKind.GANG


def has_topology_constraints(spec: JobSpec) -> bool:
    """Where one task may go depends on where the others are."""
    return spec.one_zone or spec.spread or has_sibling_traffic(spec)


def queue_order(pending_job: PendingJob) -> tuple[bool, int, bool, bool, Seconds, JobId]:
    """What has waited too long to begin at all; else strictly by priority; then work inside a guarantee, retries, and
    least slack."""
    return (
        not pending_job.is_starved,
        pending_job.rank,
        pending_job.is_borrowing,
        not pending_job.is_retrying,
        pending_job.slack_s,
        pending_job.job_id,
    )


class Reservation(NamedTuple):
    """A machine where room is being made for a job bound by zones or a guarantee:
    nothing else but higher priority may take it."""

    job_id: JobId
    rank: int


SLOW_FETCH_S: Seconds = 5.0
"""A fetch that takes longer decides when the task starts; below it the score alone spreads what is cold."""


def fetch_tier(pending_job: PendingJob, candidate: Candidate) -> int:
    """How soon the task's image is there, and at whose cost; machines of a lower tier are offered first, and the
    score decides among equals. Fetches on one machine share its rate, so two images fetched there make both late: a
    machine that fetches another one is the last choice. An array joins a fetch under way, one for many tasks; a
    service's replica, which must find its image elsewhere when its machine is lost, begins one of its own first."""
    if pending_job.spec.image in candidate.cached_images:
        return 0
    if pending_job.image_fetch_s < SLOW_FETCH_S:
        return 1
    if not candidate.fetching_images:
        return 1 if pending_job.spec.kind is JobKind.SERVICE else 2
    if pending_job.spec.image in candidate.fetching_images:
        return 2 if pending_job.spec.kind is JobKind.SERVICE else 1
    return 3


def may_use_machine(pending_job: PendingJob, reservation: Reservation | None) -> bool:
    return reservation is None or reservation.job_id == pending_job.job_id or pending_job.rank < reservation.rank


def place(
    candidates: Iterable[Candidate],
    pending_jobs: Iterable[PendingJob],
    headroom_by_team: dict[str, QuotaHeadroom],
    weights: OperatorSettings,
    reservations: dict[MachineId, Reservation] | None = None,
) -> list[Decision]:
    """Choose machines for as many tasks as fit, in queue order."""
    available = list(candidates)
    active_reservations = reservations or {}
    full_shapes: set[TaskShape] = set()
    decisions: list[Decision] = []
    for pending_job in sorted(pending_jobs, key=queue_order):
        spec = pending_job.spec
        shape = task_shape(spec)
        is_unconstrained = not has_topology_constraints(spec)
        if is_unconstrained and shape in full_shapes:
            continue
        headroom = headroom_by_team[spec.team]
        count = min(pending_job.task_count, headroom.max_tasks(spec))
        if has_sibling_traffic(spec) and count < pending_job.task_count:
            continue
        if count == 0:
            continue
        fitting = [
            o
            for o in available
            if is_kind_allowed(spec, o.kind)
            and o.fits(spec)
            and may_use_machine(pending_job, active_reservations.get(o.machine))
        ]
        if is_unconstrained:
            machines = _place_unconstrained(pending_job, fitting, count, weights)
            if len(machines) < count and not pending_job.requires_cached_image:
                full_shapes.add(shape)
        else:
            machines = place_constrained(pending_job, fitting, count, weights)
        if machines:
            headroom.consume(spec, len(machines))
            decisions.append(Decision(pending_job.job_id, machines))
            # What is full now would only be asked again for each of the jobs behind.
            available = [o for o in available if o.free_cpus > EPSILON]
    return decisions


def _place_unconstrained(
    pending_job: PendingJob, fitting: list[Candidate], count: int, weights: OperatorSettings
) -> list[MachineId]:
    """The top score takes each task. Machines that hold the image are offered first:
    the smallest exception that spares starts an image fetch (see docs/design.md)."""
    spec = pending_job.spec
    machines: list[MachineId] = []

    def entry(candidate: Candidate) -> tuple[int, float, MachineId, Candidate]:
        return fetch_tier(pending_job, candidate), -score(spec, candidate, {}, weights), candidate.machine, candidate

    heap = [entry(o) for o in fitting if not pending_job.requires_cached_image or spec.image in o.cached_images]
    heapq.heapify(heap)
    while heap and len(machines) < count:
        tier, _, machine, candidate = heap[0]
        candidate.allocate(spec)
        if tier > 0:
            candidate.fetching_images.add(spec.image)
        machines.append(machine)
        if candidate.fits(spec):
            heapq.heapreplace(heap, entry(candidate))
        else:
            heapq.heappop(heap)
    return machines


def place_constrained(
    pending_job: PendingJob, fitting: list[Candidate], count: int, weights: OperatorSettings
) -> list[MachineId]:
    """One zone, spread and gangs; a gang's tasks are all placed or none are."""
    spec = pending_job.spec
    zones = {zone for zone, _ in pending_job.siblings.values()}
    if pending_job.requires_cached_image:
        fitting = [o for o in fitting if spec.image in o.cached_images]
    if spec.one_zone:
        # Old members hold their zone until they are gone.
        allowed_zones = sorted(zones or {o.kind.zone for o in fitting})
        groups = [[o for o in fitting if o.kind.zone == zone] for zone in allowed_zones]
        if len(zones) > 1:
            return []
    else:
        groups = [fitting]
    best: tuple[tuple[int, float], list[MachineId]] | None = None
    for group in groups:
        total, machines = _place_greedily(pending_job, group, count, weights)
        if has_sibling_traffic(spec) and len(machines) < count:
            continue
        if machines and (best is None or (len(machines), total) > (len(best[1]), best[0])):
            best = (total, machines)
    if best is None:
        return []
    by_machine = {o.machine: o for o in fitting}
    for machine in best[1]:
        by_machine[machine].allocate(spec)
        if spec.image not in by_machine[machine].cached_images:
            by_machine[machine].fetching_images.add(spec.image)
    return best[1]


def _place_greedily(
    pending_job: PendingJob, group: list[Candidate], count: int, weights: OperatorSettings
) -> tuple[tuple[int, float], list[MachineId]]:
    """The machines, and how good they are: by the tiers of their fetches, then by score."""
    spec = pending_job.spec
    # Where fetches are quick, zones and score alone decide, as the design has it.
    is_slow_fetch = pending_job.image_fetch_s >= SLOW_FETCH_S
    tiers = {o.machine: -fetch_tier(pending_job, o) if is_slow_fetch else 0 for o in group}
    siblings = dict(pending_job.siblings)
    count_by_zone = pending_job.count_siblings_by_zone()
    # Half of all the job's tasks, rounded up, however many of them are placed.
    max_per_zone = (spec.tasks + 1) // 2 if spec.spread else 10**9
    total_score, total_tier = 0.0, 0
    machines: list[MachineId] = []
    for _ in range(count):
        best: tuple[int, float, Candidate] | None = None
        for candidate in group:
            if count_by_zone[candidate.kind.zone] >= max_per_zone or not candidate.fits(spec):
                continue
            if best is not None and tiers[candidate.machine] < best[0]:
                continue
            candidate_score = score(spec, candidate, siblings, weights)
            if best is None or (tiers[candidate.machine], candidate_score) > best[:2]:
                best = (tiers[candidate.machine], candidate_score, candidate)
        if best is None:
            break
        _, candidate_score, candidate = best
        candidate.allocate(spec)
        total_score += candidate_score
        total_tier += tiers[candidate.machine]
        if is_slow_fetch and spec.kind is JobKind.SERVICE and tiers[candidate.machine] == -1:
            # Its next replica would join the fetch that this one begins.
            tiers[candidate.machine] = -2
        machines.append(candidate.machine)
        count_by_zone[candidate.kind.zone] += 1
        zone, sibling_count = siblings.get(candidate.machine, (candidate.kind.zone, 0))
        siblings[candidate.machine] = (zone, sibling_count + 1)
    for machine in machines:
        next(o for o in group if o.machine == machine).allocate(spec, -1)
    return (total_tier, total_score), machines


def count_slots(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks of the job a room holds."""
    limit = cpus / spec.cpus
    if spec.gpus > 0:
        limit = min(limit, gpus / spec.gpus)
    if spec.memory_gb > 0:
        limit = min(limit, memory_gb / spec.memory_gb)
    return int(limit + EPSILON)
