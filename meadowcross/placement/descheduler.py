"""The descheduler: selects service replicas to move off crowded machines (as in the paper).

Pure functions over a snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import NamedTuple

from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import JobId, MachineId, Seconds
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.model import Candidate, PendingJob, TaskShape, is_kind_allowed, task_shape
from meadowcross.placement.scoring import score


@dataclass(slots=True)
class ServiceReplica:
    """A running replica of a service that may be moved."""

    key: object
    """Opaque handle by which the caller identifies the replica."""
    pending_job: PendingJob
    """The replica's job; all replicas of a job may share it."""
    machine: MachineId
    age_s: Seconds


def select_replicas_to_move(
    candidates: Iterable[Candidate],
    replicas: Iterable[ServiceReplica],
    usage: dict[MachineId, float],
    weights: OperatorSettings,
) -> list[ServiceReplica]:
    """Return the replicas to move, at most one for each service.

    A replica is moved if it is older than `move_age_s`, if more than `move_usage_percent` of its machine's CPUs are
    in use (`usage` is the share in use, from 0 to 1), and if another machine's score is higher by at least
    `move_lead_points`.
    """
    by_machine = {candidate.machine: candidate for candidate in candidates}
    best_machines = _BestMachines(by_machine.values(), weights)
    compared: set[tuple[JobId, MachineId]] = set()
    selected: dict[JobId, ServiceReplica] = {}
    for replica in replicas:
        current_candidate = by_machine.get(replica.machine)
        if (
            current_candidate is None
            or replica.pending_job.job_id in selected
            or replica.age_s <= weights.move_age_s
            or usage.get(replica.machine, 0.0) * 100 <= weights.move_usage_percent
        ):
            continue
        # What holds for one replica holds for all of its job on the same machine.
        pair = (replica.pending_job.job_id, replica.machine)
        if pair in compared:
            continue
        compared.add(pair)
        with ErrorBoundary("looking for a better machine", job=replica.pending_job.job_id):
            if _has_better_machine(replica.pending_job.spec, current_candidate, best_machines, weights):
                selected[replica.pending_job.job_id] = replica
    return list(selected.values())


class _ScoredMachine(NamedTuple):
    """A machine and its score for one more replica."""

    score: float
    candidate: Candidate


class _BestMachines:
    """The two best machines of each zone for a replica, computed once for all replicas of the same shape.

    Two are enough to know the best one besides a replica's own. Replicas exchange no known traffic, so the score
    depends on a machine's free resources only.
    """

    def __init__(self, candidates: Iterable[Candidate], weights: OperatorSettings) -> None:
        self._candidates = candidates
        self._weights = weights
        self._by_shape: dict[TaskShape, dict[str, list[_ScoredMachine]]] = {}

    def by_zone(self, spec: JobSpec) -> dict[str, list[_ScoredMachine]]:
        """Return for each zone up to two machines that may run a replica of the job, the best one first."""
        shape = task_shape(spec)
        best_by_zone = self._by_shape.get(shape)
        if best_by_zone is None:
            best_by_zone = self._by_shape[shape] = self._find_best(spec)
        return best_by_zone

    def _find_best(self, spec: JobSpec) -> dict[str, list[_ScoredMachine]]:
        best_by_zone: dict[str, list[_ScoredMachine]] = {}
        for candidate in self._candidates:
            if is_kind_allowed(spec, candidate.kind) and candidate.fits(spec):
                best = best_by_zone.setdefault(candidate.kind.zone, [])
                best.append(_ScoredMachine(score(spec, candidate, {}, self._weights), candidate))
                best.sort(key=lambda scored: -scored.score)
                del best[2:]
        return best_by_zone


def _has_better_machine(
    spec: JobSpec, current_candidate: Candidate, best_machines: _BestMachines, weights: OperatorSettings
) -> bool:
    """Return whether another machine that may run the replica scores higher by at least `move_lead_points`.

    The resources of the replica count as free on its current machine.
    """
    without_replica = replace(current_candidate)
    without_replica.release(spec)
    least_score = score(spec, without_replica, {}, weights) + weights.move_lead_points
    best_by_zone = best_machines.by_zone(spec)
    zones = [current_candidate.kind.zone] if spec.one_zone else list(best_by_zone)
    return any(
        scored.candidate is not current_candidate and scored.score >= least_score
        for zone in zones
        for scored in best_by_zone.get(zone, [])
    )
