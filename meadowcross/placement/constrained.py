"""Placement of jobs with topology constraints: tasks in one zone, spread over zones, or placed together as a gang."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import EPSILON, MachineId
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.greedy_selection import GreedySelection
from meadowcross.placement.model import Candidate, PendingJob, count_slots, has_sibling_traffic, max_tasks_per_zone


class _SelectionQuality(NamedTuple):
    """Quality of a set of machines: the sum of the negated fetch tiers, then of the scores; higher is better."""

    tier: int
    score: float


def place_constrained(
    pending_job: PendingJob, candidates: list[Candidate], count: int, weights: OperatorSettings
) -> list[MachineId]:
    """Choose machines for up to `count` tasks under the job's topology constraints, and allocate their resources.

    Returns one machine id for each task; for a gang, `count` ids or none.
    """
    spec = pending_job.spec
    if pending_job.requires_cached_image:
        candidates = [candidate for candidate in candidates if spec.image in candidate.cached_images]
    best: list[MachineId] = []
    best_quality = _SelectionQuality(0, 0.0)
    for candidate_group in _split_by_allowed_zones(pending_job, candidates):
        if has_sibling_traffic(spec) and not _may_hold(pending_job, candidate_group, count):
            continue
        quality, machines = _select_greedily(pending_job, candidate_group, count, weights)
        if has_sibling_traffic(spec) and len(machines) < count:
            continue
        if machines and (not best or (len(machines), quality) > (len(best), best_quality)):
            best, best_quality = machines, quality
    if best:
        _allocate_tasks(spec, best, candidates)
    return best


def _split_by_allowed_zones(pending_job: PendingJob, candidates: list[Candidate]) -> list[list[Candidate]]:
    """Return the sets of candidates of which the job may use one: a set for each zone if it needs one zone, else all.

    Siblings that are not proven to be gone bind a one-zone job to their zone.
    """
    if not pending_job.spec.one_zone:
        return [candidates]
    sibling_zones = {zone for zone, _ in pending_job.siblings.values()}
    if len(sibling_zones) > 1:
        return []
    zones = sorted(sibling_zones or {candidate.kind.zone for candidate in candidates})
    return [[candidate for candidate in candidates if candidate.kind.zone == zone] for zone in zones]


def _may_hold(pending_job: PendingJob, candidate_group: list[Candidate], count: int) -> bool:
    """Return False if the candidates certainly can't hold `count` more tasks of the job, which takes no selection."""
    spec = pending_job.spec
    slots_by_zone: Counter[str] = Counter()
    for candidate in candidate_group:
        slots_by_zone[candidate.kind.zone] += _max_slots(spec, candidate)
    if spec.spread:
        max_per_zone = max_tasks_per_zone(spec)
        siblings_by_zone = pending_job.count_siblings_by_zone()
        for zone in slots_by_zone:
            slots_by_zone[zone] = min(slots_by_zone[zone], max(0, max_per_zone - siblings_by_zone[zone]))
    return slots_by_zone.total() >= count


def _max_slots(spec: JobSpec, candidate: Candidate) -> int:
    """Return an upper bound of the tasks that fit: one more than the quotients, which covers their rounding errors."""
    if not candidate.fits(spec):
        return 0
    return 1 + count_slots(
        spec, candidate.free_cpus + EPSILON, candidate.free_gpus + EPSILON, candidate.free_memory_gb + EPSILON
    )


def _allocate_tasks(spec: JobSpec, machines: list[MachineId], candidates: list[Candidate]) -> None:
    by_machine = {candidate.machine: candidate for candidate in candidates}
    for machine in machines:
        candidate = by_machine[machine]
        candidate.allocate(spec)
        if spec.image not in candidate.cached_images:
            candidate.fetching_images.add(spec.image)


def _select_greedily(
    pending_job: PendingJob, candidate_group: list[Candidate], count: int, weights: OperatorSettings
) -> tuple[_SelectionQuality, list[MachineId]]:
    """Choose a machine for one task after the other; return the quality of the selection and its machines.

    The resources allocated meanwhile are released before the function returns.
    """
    selection = GreedySelection(pending_job, candidate_group, weights)
    tier_sum, score_sum = 0, 0.0
    chosen: list[Candidate] = []
    for _ in range(count):
        choice = selection.assign_next()
        if choice is None:
            break
        tier_sum += choice.tier
        score_sum += choice.score
        chosen.append(choice.candidate)
    for candidate in chosen:
        candidate.release(pending_job.spec)
    return _SelectionQuality(tier_sum, score_sum), [candidate.machine for candidate in chosen]
