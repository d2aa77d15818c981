"""Score of a machine for a task (docs/design.md; the paper's Algorithm 1).

The score is gamma times the resource term plus delta times the network term. The paper does not define the
denominator of its percentage gap; here the denominator is the machine's free amount.
"""

from __future__ import annotations

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import EPSILON, MachineId, Seconds
from meadowcross.jobs.messages import JobKind, JobSpec
from meadowcross.placement.model import Candidate, PendingJob, has_sibling_traffic

SLOW_FETCH_S: Seconds = 5.0
"""From this duration on an image fetch decides the choice of the machine; with a shorter one only the score does."""


def resource_term(spec: JobSpec, free_cpus: float, free_memory_gb: float, weights: OperatorSettings) -> float:
    """Return alpha times the CPU gap plus beta times the memory gap, both in percent of the free amount."""
    cpu_gap = (free_cpus - spec.cpus) / free_cpus * 100 if free_cpus > EPSILON else 0.0
    memory_gap = (free_memory_gb - spec.memory_gb) / free_memory_gb * 100 if free_memory_gb > EPSILON else 0.0
    return weights.alpha * cpu_gap + weights.beta * memory_gap


def network_term(
    machine: MachineId, zone: str, siblings: dict[MachineId, tuple[str, int]], weights: OperatorSettings
) -> float:
    """Return the negated sum of traffic times network cost to the siblings' machines."""
    cost = 0.0
    for sibling_machine, (sibling_zone, count) in siblings.items():
        if sibling_machine == machine:
            cost += count * weights.cost_same_machine
        elif sibling_zone == zone:
            cost += count * weights.cost_same_zone
        else:
            cost += count * weights.cost_across_zones
    return -cost


def grouped_network_term(machine_count: int, zone_count: int, total_count: int, weights: OperatorSettings) -> float:
    """Return the network term from the numbers of siblings on the machine, in its zone with the machine, and in all.

    It is the sum of `network_term`, except for the rounding of costs that have no exact binary form.
    """
    return -(
        machine_count * weights.cost_same_machine
        + (zone_count - machine_count) * weights.cost_same_zone
        + (total_count - zone_count) * weights.cost_across_zones
    )


def score(
    spec: JobSpec, candidate: Candidate, siblings: dict[MachineId, tuple[str, int]], weights: OperatorSettings
) -> float:
    """Return the score of the machine for one more task of the job; higher is better."""
    resources = resource_term(spec, candidate.free_cpus, candidate.free_memory_gb, weights)
    network = 0.0
    if has_sibling_traffic(spec):
        network = network_term(candidate.machine, candidate.kind.zone, siblings, weights)
    return weights.gamma * resources + weights.delta * network


def fetch_tier(pending_job: PendingJob, candidate: Candidate) -> int:
    """Return the tier of the machine by how soon it can have the task's image; lower tiers are preferred to the score.

    Fetches on one machine share its rate, so two images fetched there delay each other: a machine that fetches
    another image is in the last tier. The tasks of an array share one fetch, so they prefer a machine that fetches
    their image already. A service's replica prefers a machine where it begins a fetch of its own, so that the image is
    on another machine if the replica's machine is lost.
    """
    if pending_job.spec.image in candidate.cached_images:
        return 0
    if pending_job.image_fetch_s < SLOW_FETCH_S:
        return 1
    if not candidate.fetching_images:
        return 1 if pending_job.spec.kind is JobKind.SERVICE else 2
    if pending_job.spec.image in candidate.fetching_images:
        return 2 if pending_job.spec.kind is JobKind.SERVICE else 1
    return 3
