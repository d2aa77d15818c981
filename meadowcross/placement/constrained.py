"""Placement of jobs with topology constraints: tasks in one zone, spread over zones, or placed together as a gang."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import MachineId
from meadowcross.jobs.messages import JobKind, JobSpec
from meadowcross.placement.model import UNBOUNDED_TASKS, Candidate, PendingJob, has_sibling_traffic
from meadowcross.placement.scoring import SLOW_FETCH_S, fetch_tier, score

OWN_FETCH_TIER = -1
"""Negated fetch tier of a machine where a service's replica would begin a fetch of its own."""
JOINED_FETCH_TIER = -2
"""Negated fetch tier of a machine where a service's replica would join a fetch of its image that is under way."""


class _SelectionQuality(NamedTuple):
    """Quality of a set of machines: the sum of the negated fetch tiers, then of the scores; higher is better."""

    tier: int
    score: float


class _MachineChoice(NamedTuple):
    """The machine chosen for one task, with its negated fetch tier and its score."""

    tier: int
    score: float
    candidate: Candidate


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
    selection = _GreedySelection(pending_job, candidate_group, weights)
    tier_sum, score_sum = 0, 0.0
    chosen: list[Candidate] = []
    for _ in range(count):
        choice = selection.choose_next()
        if choice is None:
            break
        selection.assign_task(choice.candidate)
        tier_sum += choice.tier
        score_sum += choice.score
        chosen.append(choice.candidate)
    for candidate in chosen:
        candidate.release(pending_job.spec)
    return _SelectionQuality(tier_sum, score_sum), [candidate.machine for candidate in chosen]


class _GreedySelection:
    """State of one greedy selection: the machines and zones of the job's tasks so far."""

    def __init__(self, pending_job: PendingJob, candidate_group: list[Candidate], weights: OperatorSettings) -> None:
        self._spec = spec = pending_job.spec
        self._candidates = candidate_group
        self._weights = weights
        # With fast fetches only the zones and the score decide, as in the paper.
        self._is_slow_fetch = pending_job.image_fetch_s >= SLOW_FETCH_S
        self._tiers = {
            candidate.machine: -fetch_tier(pending_job, candidate) if self._is_slow_fetch else 0
            for candidate in candidate_group
        }
        self._siblings = dict(pending_job.siblings)
        self._count_by_zone: Counter[str] = pending_job.count_siblings_by_zone()
        # Half of all tasks of the job, rounded up, regardless of how many of them are placed.
        self._max_per_zone = (spec.tasks + 1) // 2 if spec.spread else UNBOUNDED_TASKS

    def choose_next(self) -> _MachineChoice | None:
        """Return the best machine for the next task, None if no machine is left.

        The lowest fetch tier wins, then the highest score, then the first candidate.
        """
        spec, weights, siblings = self._spec, self._weights, self._siblings
        count_by_zone, max_per_zone, tiers = self._count_by_zone, self._max_per_zone, self._tiers
        best: Candidate | None = None
        best_tier, best_score = 0, 0.0
        for candidate in self._candidates:
            if count_by_zone[candidate.kind.zone] >= max_per_zone or not candidate.fits(spec):
                continue
            tier = tiers[candidate.machine]
            if best is not None and tier < best_tier:
                continue
            candidate_score = score(spec, candidate, siblings, weights)
            if best is None or (tier, candidate_score) > (best_tier, best_score):
                best, best_tier, best_score = candidate, tier, candidate_score
        return None if best is None else _MachineChoice(best_tier, best_score, best)

    def assign_task(self, candidate: Candidate) -> None:
        """Allocate one task of the job on the candidate, and count it as a sibling of the next tasks."""
        machine, zone = candidate.machine, candidate.kind.zone
        candidate.allocate(self._spec)
        if self._is_slow_fetch and self._spec.kind is JobKind.SERVICE and self._tiers[machine] == OWN_FETCH_TIER:
            # The next replica on this machine would join the fetch that this replica begins.
            self._tiers[machine] = JOINED_FETCH_TIER
        self._count_by_zone[zone] += 1
        sibling_zone, sibling_count = self._siblings.get(machine, (zone, 0))
        self._siblings[machine] = (sibling_zone, sibling_count + 1)
