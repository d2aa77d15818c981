"""Chooses a machine for one task of a job after the other, where each choice depends on the choices before it.

Machines of one zone, one fetch tier and one number of the job's tasks differ in their score only by their free
resources. They are kept in one group, in the order of that part of the score, so that a choice compares the best
machine of each group instead of all machines.
"""

from __future__ import annotations

import heapq
from collections import Counter
from typing import NamedTuple

from meadowcross.common.settings import OperatorSettings
from meadowcross.jobs.messages import JobKind
from meadowcross.placement.model import (
    UNBOUNDED_TASKS,
    Candidate,
    PendingJob,
    has_sibling_traffic,
    max_tasks_per_zone,
)
from meadowcross.placement.scoring import SLOW_FETCH_S, fetch_tier, grouped_network_term, resource_term

OWN_FETCH_TIER = -1
"""Negated fetch tier of a machine where a service's replica would begin a fetch of its own."""
JOINED_FETCH_TIER = -2
"""Negated fetch tier of a machine where a service's replica would join a fetch of its image that is under way."""


class MachineChoice(NamedTuple):
    """The machine chosen for one task, with its negated fetch tier and its score."""

    tier: int
    score: float
    candidate: Candidate


class _GroupKey(NamedTuple):
    """What the machines of a group have in common."""

    tier: int
    zone: str
    sibling_count: int
    """Number of the job's tasks on each machine; 0 where it does not affect the score."""


class _MachineGroup:
    """Machines whose scores differ only by their free resources, ordered by that part of the score."""

    __slots__ = ("_indexes_by_level", "key", "negated_levels")

    def __init__(self, key: _GroupKey) -> None:
        self.key = key
        self.negated_levels: list[float] = []
        """A heap of the distinct resource scores, negated so that the highest score comes first; empty if no machine is
        left."""
        self._indexes_by_level: dict[float, list[int]] = {}
        """By negated resource score: a heap of the machines' positions among the candidates."""

    def add(self, index: int, resource_score: float) -> None:
        """Add the machine at this position among the candidates."""
        level = -resource_score
        indexes = self._indexes_by_level.get(level)
        if indexes is None:
            self._indexes_by_level[level] = [index]
            heapq.heappush(self.negated_levels, level)
        else:
            heapq.heappush(indexes, index)

    def first_index(self, network_score: float) -> int:
        """Return the position of the machine that comes first of those with the highest score."""
        return self._indexes_by_level[self._best_level(network_score)][0]

    def pop_first(self, network_score: float) -> int:
        """Remove the machine that comes first of those with the highest score, and return its position."""
        level = self._best_level(network_score)
        indexes = self._indexes_by_level[level]
        index = heapq.heappop(indexes)
        if not indexes:
            del self._indexes_by_level[level]
            self._remove_level(level)
        return index

    def _remove_level(self, level: float) -> None:
        if level == self.negated_levels[0]:
            heapq.heappop(self.negated_levels)
        else:
            self.negated_levels.remove(level)
            heapq.heapify(self.negated_levels)

    def _best_level(self, network_score: float) -> float:
        """Return the level of the first machine among those with the highest score.

        The sum of the two parts of a score is rounded, so several levels may have the highest one.
        """
        levels = self.negated_levels
        best = levels[0]
        if len(levels) == 1 or network_score - min(levels[1:3]) != network_score - best:
            return best
        equal_levels: list[float] = []
        positions = [0]
        while positions:
            position = positions.pop()
            if position < len(levels) and network_score - levels[position] == network_score - best:
                equal_levels.append(levels[position])
                positions += (2 * position + 1, 2 * position + 2)
        return min(equal_levels, key=lambda level: self._indexes_by_level[level][0])


class _BestGroup(NamedTuple):
    """The group that holds the best machine, with that machine's negated fetch tier and score."""

    group: _MachineGroup
    tier: int
    score: float
    network_score: float


class GreedySelection:
    """State of one greedy selection: the machines and zones of the job's tasks so far."""

    def __init__(self, pending_job: PendingJob, candidates: list[Candidate], weights: OperatorSettings) -> None:
        self._spec = spec = pending_job.spec
        self._candidates = candidates
        self._weights = weights
        self._has_traffic = has_sibling_traffic(spec)
        # With fast fetches only the zones and the score decide, as in the paper.
        self._is_slow_fetch = pending_job.image_fetch_s >= SLOW_FETCH_S
        self._siblings = {machine: count for machine, (_, count) in pending_job.siblings.items()}
        self._count_by_zone: Counter[str] = pending_job.count_siblings_by_zone()
        self._sibling_count = self._count_by_zone.total()
        self._max_per_zone = max_tasks_per_zone(spec) if spec.spread else UNBOUNDED_TASKS
        self._groups: dict[_GroupKey, _MachineGroup] = {}
        for index, candidate in enumerate(candidates):
            tier = -fetch_tier(pending_job, candidate) if self._is_slow_fetch else 0
            self._add_to_group(index, candidate, tier)

    def assign_next(self) -> MachineChoice | None:
        """Allocate one task on the best machine, and count it as a sibling of the next tasks.

        The lowest fetch tier wins, then the highest score, then the first candidate. Returns None if no machine is
        left.
        """
        best = self._best_group()
        if best is None:
            return None
        return MachineChoice(best.tier, best.score, self._take_first(best.group, best.network_score))

    def _best_group(self) -> _BestGroup | None:
        best: _MachineGroup | None = None
        best_tier, best_score, best_network_score = 0, 0.0, 0.0
        count_by_zone, max_per_zone, has_traffic = self._count_by_zone, self._max_per_zone, self._has_traffic
        network_score = 0.0
        for (tier, zone, sibling_count), group in self._groups.items():
            zone_count = count_by_zone[zone]
            if zone_count >= max_per_zone or (best is not None and tier < best_tier):
                continue
            if has_traffic:
                network_score = self._network_score(sibling_count, zone_count)
            score = network_score - group.negated_levels[0]
            if best is not None and tier == best_tier:
                if score < best_score:
                    continue
                if score == best_score and best.first_index(best_network_score) < group.first_index(network_score):
                    continue
            best, best_tier, best_score, best_network_score = group, tier, score, network_score
        return None if best is None else _BestGroup(best, best_tier, best_score, best_network_score)

    def _network_score(self, machine_count: int, zone_count: int) -> float:
        """Return the network part of the score, from the siblings on the machine and in its zone."""
        weights = self._weights
        return weights.delta * grouped_network_term(machine_count, zone_count, self._sibling_count, weights)

    def _take_first(self, group: _MachineGroup, network_score: float) -> Candidate:
        """Allocate one task on the group's best machine, and move the machine to the group that it belongs to then."""
        index = group.pop_first(network_score)
        if not group.negated_levels:
            del self._groups[group.key]
        candidate = self._candidates[index]
        candidate.allocate(self._spec)
        tier, zone, _ = group.key
        if self._is_slow_fetch and self._spec.kind is JobKind.SERVICE and tier == OWN_FETCH_TIER:
            # The next replica on this machine would join the fetch that this replica begins.
            tier = JOINED_FETCH_TIER
        self._count_by_zone[zone] += 1
        self._sibling_count += 1
        self._siblings[candidate.machine] = self._siblings.get(candidate.machine, 0) + 1
        self._add_to_group(index, candidate, tier)
        return candidate

    def _add_to_group(self, index: int, candidate: Candidate, tier: int) -> None:
        """Add the machine to its group if it has resources for one more task."""
        if not candidate.fits(self._spec):
            return
        sibling_count = self._siblings.get(candidate.machine, 0) if self._has_traffic else 0
        key = _GroupKey(tier, candidate.kind.zone, sibling_count)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _MachineGroup(key)
        resources = resource_term(self._spec, candidate.free_cpus, candidate.free_memory_gb, self._weights)
        group.add(index, self._weights.gamma * resources)
