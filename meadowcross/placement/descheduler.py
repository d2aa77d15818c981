"""The descheduler: selects service replicas to move off crowded machines (as in the paper).

Pure functions over a snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import JobId, MachineId, Seconds
from meadowcross.placement.model import Candidate, PendingJob, is_kind_allowed
from meadowcross.placement.scoring import score


@dataclass(slots=True)
class ServiceReplica:
    """A running replica of a service that may be moved."""

    key: object
    """Opaque handle by which the caller identifies the replica."""
    pending_job: PendingJob
    """The job as if the replica were still to be placed: `siblings` does not include the replica."""
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
        with ErrorBoundary("looking for a better machine", job=replica.pending_job.job_id):
            if _has_better_machine(replica.pending_job, current_candidate, by_machine.values(), weights):
                selected[replica.pending_job.job_id] = replica
    return list(selected.values())


def _has_better_machine(
    pending_job: PendingJob, current_candidate: Candidate, candidates: Iterable[Candidate], weights: OperatorSettings
) -> bool:
    """Return whether another machine that may run the replica scores higher by at least `move_lead_points`.

    The resources of the replica count as free on its current machine.
    """
    spec = pending_job.spec
    current_candidate.release(spec)
    current_score = score(spec, current_candidate, pending_job.siblings, weights)
    current_candidate.allocate(spec)
    for candidate in candidates:
        if candidate is current_candidate or not is_kind_allowed(spec, candidate.kind) or not candidate.fits(spec):
            continue
        if spec.one_zone and candidate.kind.zone != current_candidate.kind.zone:
            continue
        if score(spec, candidate, pending_job.siblings, weights) >= current_score + weights.move_lead_points:
            return True
    return False
