"""DESIGN's periodic move pass, a pure function over a snapshot."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import JobId, MachineId, Seconds
from meadowcross.placement.engine import Candidate, PendingJob, is_kind_allowed, score


@dataclass(slots=True)
class ServiceReplica:
    """A running service replica, for the periodic move pass."""

    key: object
    pending_job: PendingJob
    """Its job; `siblings` without the replica itself."""
    machine: MachineId
    age_s: Seconds


def select_replicas_to_move(
    candidates: Iterable[Candidate],
    replicas: Iterable[ServiceReplica],
    usage: dict[MachineId, float],
    weights: OperatorSettings,
) -> list[ServiceReplica]:
    """DESIGN's periodic pass: at most one replica per service, off a machine that is used
    above the threshold, when another machine leads by enough points and the replica is old
    enough. Its own use counts as free on its own machine."""
    by_machine = {o.machine: o for o in candidates}
    chosen: dict[JobId, ServiceReplica] = {}
    for replica in replicas:
        current = by_machine.get(replica.machine)
        pending_job = replica.pending_job
        if (
            current is None
            or pending_job.job_id in chosen
            or replica.age_s <= weights.move_age_s
            or usage.get(replica.machine, 0.0) * 100 <= weights.move_usage_percent
        ):
            continue
        current.allocate(pending_job.spec, -1)
        current_score = score(pending_job.spec, current, pending_job.siblings, weights)
        current.allocate(pending_job.spec)
        for other in by_machine.values():
            if (
                other is current
                or not is_kind_allowed(pending_job.spec, other.kind)
                or not other.fits(pending_job.spec)
            ):
                continue
            if pending_job.spec.one_zone and other.kind.zone != current.kind.zone:
                continue
            if (
                score(pending_job.spec, other, pending_job.siblings, weights)
                >= current_score + weights.move_lead_points
            ):
                chosen[pending_job.job_id] = replica
                break
    return list(chosen.values())
