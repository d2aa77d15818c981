"""The decisions of placement and scale-out taken one task after the other, for comparison with the faster product code.

These are the algorithms of commit 5770824, whose time grows with the tasks of a job times its machines or zones.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import MachineId
from meadowcross.jobs.messages import JobKind
from meadowcross.placement.model import UNBOUNDED_TASKS, Candidate, PendingJob
from meadowcross.placement.scoring import SLOW_FETCH_S, fetch_tier, score


def spread_one_by_one(
    job_tasks: int, task_count: int, placed_by_zone: Mapping[str, int], slots_by_zone: Mapping[str, int]
) -> dict[str, int]:
    """Assign each task to a zone with incoming capacity left, then to the zone with the fewest of the job's tasks."""
    counts_by_zone = dict.fromkeys(slots_by_zone, 0)
    max_per_zone = (job_tasks + 1) // 2
    for _ in range(min(task_count, 2 * max_per_zone)):
        total_by_zone = {zone: placed_by_zone.get(zone, 0) + assigned for zone, assigned in counts_by_zone.items()}
        zones_below_maximum = [zone for zone in counts_by_zone if total_by_zone[zone] < max_per_zone]
        if not zones_below_maximum:
            break
        best_option = min(
            (slots_by_zone[zone] <= counts_by_zone[zone], total_by_zone[zone], zone) for zone in zones_below_maximum
        )
        counts_by_zone[best_option[-1]] += 1
    return counts_by_zone


def select_one_by_one(
    pending_job: PendingJob, candidates: list[Candidate], count: int, weights: OperatorSettings
) -> list[MachineId]:
    """Score all candidates for each task: the lowest fetch tier wins, then the highest score, then the first one.

    The resources of the chosen candidates stay allocated.
    """
    spec = pending_job.spec
    is_slow_fetch = pending_job.image_fetch_s >= SLOW_FETCH_S
    tiers = {candidate.machine: -fetch_tier(pending_job, candidate) if is_slow_fetch else 0 for candidate in candidates}
    siblings = dict(pending_job.siblings)
    count_by_zone: Counter[str] = pending_job.count_siblings_by_zone()
    max_per_zone = (spec.tasks + 1) // 2 if spec.spread else UNBOUNDED_TASKS
    machines: list[MachineId] = []
    while len(machines) < count:
        best: Candidate | None = None
        best_key = (0, 0.0)
        for candidate in candidates:
            if count_by_zone[candidate.kind.zone] >= max_per_zone or not candidate.fits(spec):
                continue
            key = (tiers[candidate.machine], score(spec, candidate, siblings, weights))
            if best is None or key > best_key:
                best, best_key = candidate, key
        if best is None:
            break
        best.allocate(spec)
        if is_slow_fetch and spec.kind is JobKind.SERVICE and tiers[best.machine] == -1:
            tiers[best.machine] = -2
        count_by_zone[best.kind.zone] += 1
        zone, sibling_count = siblings.get(best.machine, (best.kind.zone, 0))
        siblings[best.machine] = (zone, sibling_count + 1)
        machines.append(best.machine)
    return machines
