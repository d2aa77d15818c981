"""Placement of jobs whose tasks depend on each other's place: one zone, spread over zones, gangs."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import MachineId
from meadowcross.jobs.messages import JobKind, JobSpec
from meadowcross.placement.model import UNBOUNDED_TASKS, Candidate, PendingJob, has_sibling_traffic
from meadowcross.placement.scoring import SLOW_FETCH_S, fetch_tier, score

OWN_FETCH_TIER = -1
"""The negated tier of a machine where a service's replica would begin a fetch of its own."""
JOINED_FETCH_TIER = -2
"""The negated tier of a machine where a service's replica would join the fetch of its image."""


class _Quality(NamedTuple):
    """How good a set of machines is: more by its fetch tiers (negated, so that higher is better) than by its score."""

    tier: int
    score: float


class _Pick(NamedTuple):
    """The machine chosen for one task, with its negated fetch tier and its score."""

    tier: int
    score: float
    candidate: Candidate


def place_constrained(
    pending_job: PendingJob, fitting: list[Candidate], count: int, weights: OperatorSettings
) -> list[MachineId]:
    """Choose machines for up to `count` tasks within the job's zones, and allocate them.

    A gang's tasks are all placed or none are.
    """
    spec = pending_job.spec
    if pending_job.requires_cached_image:
        fitting = [candidate for candidate in fitting if spec.image in candidate.cached_images]
    best: list[MachineId] = []
    best_quality = _Quality(0, 0.0)
    for group in _groups_to_try(pending_job, fitting):
        quality, machines = _place_greedily(pending_job, group, count, weights)
        if has_sibling_traffic(spec) and len(machines) < count:
            continue
        if machines and (not best or (len(machines), quality) > (len(best), best_quality)):
            best, best_quality = machines, quality
    if best:
        _allocate(spec, best, fitting)
    return best


def _groups_to_try(pending_job: PendingJob, fitting: list[Candidate]) -> list[list[Candidate]]:
    """Return the sets of machines of which the job may use one: one a zone for a job of one zone, else all.

    Members that are not proven gone hold a job of one zone in theirs.
    """
    if not pending_job.spec.one_zone:
        return [fitting]
    held_zones = {zone for zone, _ in pending_job.siblings.values()}
    if len(held_zones) > 1:
        return []
    zones = sorted(held_zones or {candidate.kind.zone for candidate in fitting})
    return [[candidate for candidate in fitting if candidate.kind.zone == zone] for zone in zones]


def _allocate(spec: JobSpec, machines: list[MachineId], fitting: list[Candidate]) -> None:
    by_machine = {candidate.machine: candidate for candidate in fitting}
    for machine in machines:
        candidate = by_machine[machine]
        candidate.allocate(spec)
        if spec.image not in candidate.cached_images:
            candidate.fetching_images.add(spec.image)


def _place_greedily(
    pending_job: PendingJob, group: list[Candidate], count: int, weights: OperatorSettings
) -> tuple[_Quality, list[MachineId]]:
    """Choose a machine for one task after the other, and return how good the choice is.

    The candidates are as before when this returns.
    """
    attempt = _GreedyAttempt(pending_job, group, weights)
    total_tier, total_score = 0, 0.0
    picked: list[Candidate] = []
    for _ in range(count):
        pick = attempt.pick_next()
        if pick is None:
            break
        attempt.assign(pick.candidate)
        total_tier += pick.tier
        total_score += pick.score
        picked.append(pick.candidate)
    for candidate in picked:
        candidate.release(pending_job.spec)
    return _Quality(total_tier, total_score), [candidate.machine for candidate in picked]


class _GreedyAttempt:
    """The state of one greedy choice: where the job's tasks are so far."""

    def __init__(self, pending_job: PendingJob, group: list[Candidate], weights: OperatorSettings) -> None:
        self._spec = spec = pending_job.spec
        self._group = group
        self._weights = weights
        # With quick fetches the zones and the score alone decide, as in the paper.
        self._is_slow_fetch = pending_job.image_fetch_s >= SLOW_FETCH_S
        self._tiers = {
            candidate.machine: -fetch_tier(pending_job, candidate) if self._is_slow_fetch else 0 for candidate in group
        }
        self._siblings = dict(pending_job.siblings)
        self._count_by_zone: Counter[str] = pending_job.count_siblings_by_zone()
        # Half of all the job's tasks, rounded up, however many of them are placed.
        self._max_per_zone = (spec.tasks + 1) // 2 if spec.spread else UNBOUNDED_TASKS

    def pick_next(self) -> _Pick | None:
        """Return the best machine for the next task: lowest fetch tier, then highest score, then first."""
        spec, weights, siblings = self._spec, self._weights, self._siblings
        count_by_zone, max_per_zone, tiers = self._count_by_zone, self._max_per_zone, self._tiers
        best: Candidate | None = None
        best_tier, best_score = 0, 0.0
        for candidate in self._group:
            if count_by_zone[candidate.kind.zone] >= max_per_zone or not candidate.fits(spec):
                continue
            tier = tiers[candidate.machine]
            if best is not None and tier < best_tier:
                continue
            candidate_score = score(spec, candidate, siblings, weights)
            if best is None or (tier, candidate_score) > (best_tier, best_score):
                best, best_tier, best_score = candidate, tier, candidate_score
        return None if best is None else _Pick(best_tier, best_score, best)

    def assign(self, candidate: Candidate) -> None:
        """Count one task of the job on the machine."""
        machine, zone = candidate.machine, candidate.kind.zone
        candidate.allocate(self._spec)
        if self._is_slow_fetch and self._spec.kind is JobKind.SERVICE and self._tiers[machine] == OWN_FETCH_TIER:
            # Its next replica would join the fetch that this one begins.
            self._tiers[machine] = JOINED_FETCH_TIER
        self._count_by_zone[zone] += 1
        known_zone, sibling_count = self._siblings.get(machine, (zone, 0))
        self._siblings[machine] = (known_zone, sibling_count + 1)
