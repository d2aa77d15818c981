"""Placement: filters, scores and chooses machines for pending jobs. Pure functions over a snapshot."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import EPSILON, JobId, MachineId
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.constrained import place_constrained
from meadowcross.placement.model import (
    UNBOUNDED_TASKS,
    Candidate,
    Decision,
    PendingJob,
    QuotaHeadroom,
    Reservation,
    TaskShape,
    has_sibling_traffic,
    has_topology_constraints,
    is_kind_allowed,
    may_use_machine,
    queue_order,
    task_shape,
)
from meadowcross.placement.scoring import fetch_tier, score

NO_RESERVATIONS: Mapping[MachineId, Reservation] = {}
MAX_TASKS_PER_PASS = 5_000
"""A pass ends once it has placed this many tasks, so that the reactor serves others before the next pass."""


class PassResult(NamedTuple):
    """The decisions of a pass."""

    decisions: list[Decision]
    deferred_jobs: set[JobId]
    """Jobs that the next pass has to consider, wholly or for the rest of their tasks."""


def place(
    candidates: Iterable[Candidate],
    pending_jobs: Iterable[PendingJob],
    headroom_by_team: dict[str, QuotaHeadroom],
    weights: OperatorSettings,
    reservations: Mapping[MachineId, Reservation] = NO_RESERVATIONS,
) -> list[Decision]:
    """Choose machines for as many tasks as fit, in queue order.

    Resources and quota of the placed tasks are subtracted from `candidates` and `headroom_by_team`.
    """
    return place_at_most(
        UNBOUNDED_TASKS, candidates, pending_jobs, headroom_by_team, weights, reservations=reservations
    ).decisions


def place_at_most(
    max_tasks: int,
    candidates: Iterable[Candidate],
    pending_jobs: Iterable[PendingJob],
    headroom_by_team: dict[str, QuotaHeadroom],
    weights: OperatorSettings,
    *,
    reservations: Mapping[MachineId, Reservation] = NO_RESERVATIONS,
) -> PassResult:
    """Choose machines as `place` does, but begin no further task once `max_tasks` are placed.

    Gangs and jobs that need one zone are placed as a whole, since the choice for their first tasks depends on the other
    ones; they may exceed the number. The next pass continues in queue order with the jobs that were deferred.
    """
    placing = _PlacementPass(max_tasks, list(candidates), headroom_by_team, weights, reservations)
    for pending_job in sorted(pending_jobs, key=queue_order):
        if placing.remaining_tasks <= 0:
            placing.deferred_jobs.add(pending_job.job_id)
            continue
        with ErrorBoundary("choosing machines", job=pending_job.job_id):
            placing.place_job(pending_job)
    return PassResult(placing.decisions, placing.deferred_jobs)


class _PlacementPass:
    """The free resources and the decisions of one pass."""

    def __init__(
        self,
        max_tasks: int,
        candidates: list[Candidate],
        headroom_by_team: dict[str, QuotaHeadroom],
        weights: OperatorSettings,
        reservations: Mapping[MachineId, Reservation],
    ) -> None:
        self.remaining_tasks = max_tasks
        """How many more tasks the pass may place."""
        self._candidates = candidates
        self._headroom_by_team = headroom_by_team
        self._weights = weights
        self._reservations = reservations
        self._unplaceable_shapes: set[TaskShape] = set()
        self.decisions: list[Decision] = []
        self.deferred_jobs: set[JobId] = set()

    def place_job(self, pending_job: PendingJob) -> None:
        """Choose machines for as many of the job's tasks as fit."""
        spec = pending_job.spec
        shape = task_shape(spec)
        is_constrained = has_topology_constraints(spec)
        if not is_constrained and shape in self._unplaceable_shapes:
            return
        headroom = self._headroom_by_team[spec.team]
        placeable_count = _count_placeable(pending_job, headroom)
        if placeable_count == 0:
            return
        count = placeable_count if _is_chosen_together(spec) else min(placeable_count, self.remaining_tasks)
        fitting_candidates = _filter_candidates(self._candidates, pending_job, self._reservations)
        if is_constrained:
            machines = place_constrained(pending_job, fitting_candidates, count, self._weights)
        else:
            machines = _place_unconstrained(pending_job, fitting_candidates, count, self._weights)
            if len(machines) < count and not pending_job.requires_cached_image:
                self._unplaceable_shapes.add(shape)
        if machines:
            headroom.consume(spec, len(machines))
            self.decisions.append(Decision(pending_job.job_id, machines))
            # Full machines are dropped here instead of being filtered again for each later job.
            self._candidates = [candidate for candidate in self._candidates if candidate.free_cpus > EPSILON]
            self.remaining_tasks -= len(machines)
            if len(machines) == count < placeable_count:
                self.deferred_jobs.add(pending_job.job_id)


def _is_chosen_together(spec: JobSpec) -> bool:
    """Return whether the machines of the job's first tasks depend on whether there are machines for the other ones."""
    return spec.one_zone or has_sibling_traffic(spec)


def _count_placeable(pending_job: PendingJob, headroom: QuotaHeadroom) -> int:
    """Return how many of the waiting tasks the team's quota allows; 0 for a gang if it does not allow all of them."""
    count = min(pending_job.task_count, headroom.max_tasks(pending_job.spec))
    if has_sibling_traffic(pending_job.spec) and count < pending_job.task_count:
        return 0
    return count


def _filter_candidates(
    available_candidates: list[Candidate], pending_job: PendingJob, reservations: Mapping[MachineId, Reservation]
) -> list[Candidate]:
    """Return the candidates that may run a task of the job and have the resources for one."""
    spec = pending_job.spec
    return [
        candidate
        for candidate in available_candidates
        if is_kind_allowed(spec, candidate.kind)
        and candidate.fits(spec)
        and may_use_machine(pending_job, reservations.get(candidate.machine))
    ]


def _place_unconstrained(
    pending_job: PendingJob, fitting_candidates: list[Candidate], count: int, weights: OperatorSettings
) -> list[MachineId]:
    """Place each task on the machine with the lowest fetch tier, then the highest score (docs/design.md).

    The heap holds one entry for each machine; only the machine that received a task is scored again.
    """
    spec = pending_job.spec
    machines: list[MachineId] = []

    def make_heap_entry(candidate: Candidate) -> tuple[int, float, MachineId, Candidate]:
        return fetch_tier(pending_job, candidate), -score(spec, candidate, {}, weights), candidate.machine, candidate

    heap = [
        make_heap_entry(candidate)
        for candidate in fitting_candidates
        if not pending_job.requires_cached_image or spec.image in candidate.cached_images
    ]
    heapq.heapify(heap)
    while heap and len(machines) < count:
        tier, _, machine, candidate = heap[0]
        candidate.allocate(spec)
        if tier > 0:
            candidate.fetching_images.add(spec.image)
        machines.append(machine)
        if candidate.fits(spec):
            heapq.heapreplace(heap, make_heap_entry(candidate))
        else:
            heapq.heappop(heap)
    return machines
