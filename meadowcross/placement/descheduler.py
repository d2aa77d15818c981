"""The periodic pass that moves service replicas off crowded machines (the paper's descheduler).

Pure functions over a snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import JobId, MachineId, Seconds
from meadowcross.placement.model import Candidate, PendingJob, is_kind_allowed
from meadowcross.placement.scoring import score


@dataclass(slots=True)
class ServiceReplica:
    """A running replica of a service."""

    key: object
    """The caller's handle of the replica."""
    pending_job: PendingJob
    """Its job, as if the replica were to be placed: `siblings` is without the replica itself."""
    machine: MachineId
    age_s: Seconds


def select_replicas_to_move(
    candidates: Iterable[Candidate],
    replicas: Iterable[ServiceReplica],
    usage: dict[MachineId, float],
    weights: OperatorSettings,
) -> list[ServiceReplica]:
    """Return the replicas to move, at most one a service.

    A replica moves if it is old enough, its machine is used above the threshold (`usage` is the share of each
    machine's CPUs), and another machine's score leads by enough points.
    """
    by_machine = {candidate.machine: candidate for candidate in candidates}
    chosen: dict[JobId, ServiceReplica] = {}
    for replica in replicas:
        current = by_machine.get(replica.machine)
        if (
            current is None
            or replica.pending_job.job_id in chosen
            or replica.age_s <= weights.move_age_s
            or usage.get(replica.machine, 0.0) * 100 <= weights.move_usage_percent
        ):
            continue
        if _has_better_machine(replica.pending_job, current, by_machine.values(), weights):
            chosen[replica.pending_job.job_id] = replica
    return list(chosen.values())


def _has_better_machine(
    job: PendingJob, current: Candidate, candidates: Iterable[Candidate], weights: OperatorSettings
) -> bool:
    """Return whether another machine that may run the replica leads its own by enough points.

    What the replica uses counts as free on its own machine.
    """
    spec = job.spec
    current.release(spec)
    current_score = score(spec, current, job.siblings, weights)
    current.allocate(spec)
    for other in candidates:
        if other is current or not is_kind_allowed(spec, other.kind) or not other.fits(spec):
            continue
        if spec.one_zone and other.kind.zone != current.kind.zone:
            continue
        if score(spec, other, job.siblings, weights) >= current_score + weights.move_lead_points:
            return True
    return False
