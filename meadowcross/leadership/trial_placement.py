"""Places trials: tasks that show whether a quarantined machine still fails every task."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import Instant, JobId, MachineId
from meadowcross.jobs.job_table import JobTable
from meadowcross.placement.engine import place
from meadowcross.placement.model import (
    Candidate,
    Decision,
    PendingJob,
    QuotaHeadroom,
    Reservation,
    has_sibling_traffic,
    has_topology_constraints,
    is_kind_allowed,
    queue_order,
)


@dataclass(frozen=True, slots=True)
class TrialInputs:
    """What is left after a placement pass."""

    pending_jobs: list[PendingJob]
    placed_counts: Mapping[JobId, int]
    """By job: the number of tasks that the pass placed."""
    headroom_by_team: dict[str, QuotaHeadroom]
    candidates: list[Candidate]
    """The machines that the pass could choose from, with the resources that are still free there."""
    reservations: Mapping[MachineId, Reservation]


def choose_trials(
    machines: Iterable[Candidate], inputs: TrialInputs, job_table: JobTable, weights: OperatorSettings
) -> dict[MachineId, Decision]:
    """Choose for each of the quarantined `machines` a job that the pass found no other capacity for.

    One task is placed there, for a gang all of them on this and other machines: a machine that fails every task then
    costs one attempt of one job in each trial. Jobs that have not failed go first, since those that have may be at
    fault themselves.
    """
    trials: dict[MachineId, Decision] = {}
    waiting = [pending_job for pending_job in inputs.pending_jobs if _may_have_trial(pending_job, inputs)]
    for candidate in machines:
        fitting = [pending_job for pending_job in waiting if _fits(pending_job, candidate)]
        fitting.sort(key=lambda pending_job: _trial_order(pending_job, candidate.machine, job_table))
        for pending_job in fitting:
            with ErrorBoundary("choosing a trial", job=pending_job.job_id, machine=candidate.machine):
                decision = _place_trial(pending_job, candidate, inputs, weights)
                if decision is not None:
                    trials[candidate.machine] = decision
                    waiting.remove(pending_job)
                    break
    return trials


def _may_have_trial(pending_job: PendingJob, inputs: TrialInputs) -> bool:
    """Return whether tasks of the job are left, within its team's quota, and its siblings are known.

    The siblings of a job do not include the tasks that this pass placed.
    """
    placed_count = inputs.placed_counts.get(pending_job.job_id, 0)
    if placed_count >= pending_job.task_count or (placed_count and has_topology_constraints(pending_job.spec)):
        return False
    return inputs.headroom_by_team[pending_job.spec.team].max_tasks(pending_job.spec) > 0


def _fits(pending_job: PendingJob, candidate: Candidate) -> bool:
    return is_kind_allowed(pending_job.spec, candidate.kind) and candidate.fits(pending_job.spec)


class _TrialOrder(NamedTuple):
    """Key by which jobs are chosen for a trial: the least one is tried first."""

    has_failed_here: bool
    has_failed: bool
    last_failed_at: Instant
    """Jobs that failed take turns: a faulty one must not have every trial."""
    queue_order: tuple[object, ...]


def _trial_order(pending_job: PendingJob, machine: MachineId, job_table: JobTable) -> _TrialOrder:
    job = job_table.jobs[pending_job.job_id]
    has_failed = bool(job.failed_machines)
    last_failed_at = job.last_loss_at if has_failed and job.last_loss_at is not None else Instant(0.0)
    return _TrialOrder(machine in job.failed_machines, has_failed, last_failed_at, queue_order(pending_job))


def _place_trial(
    pending_job: PendingJob, candidate: Candidate, inputs: TrialInputs, weights: OperatorSettings
) -> Decision | None:
    """Return the decision that uses the candidate, or None if the job does not fit."""
    if has_sibling_traffic(pending_job.spec):
        trial_job, candidates = pending_job, [candidate, *inputs.candidates]
    else:
        trial_job, candidates = replace(pending_job, task_count=1), [candidate]
    decisions = place(candidates, [trial_job], inputs.headroom_by_team, weights, inputs.reservations)
    return decisions[0] if decisions else None
