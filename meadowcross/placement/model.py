"""The data of one placement decision: candidate machines, pending jobs, quotas and reservations."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from meadowcross.common.types import EPSILON, JobId, MachineId, MachineKind, Seconds
from meadowcross.jobs.messages import JobKind, JobSpec

UNBOUNDED_TASKS = 10**9
"""A task count that means no limit."""
UNLIMITED_QUOTA = 1e12
"""A headroom of at least this amount (CPUs or GPUs) means that the team has no limit."""


def bounded_count(quotient: float) -> int:
    """Return the quotient of two amounts rounded down to a number of tasks, from 0 to `UNBOUNDED_TASKS`.

    Jobs may state any positive amount, so the quotient may be infinite, or too large to be converted back to a float.
    """
    return int(min(max(quotient, 0.0), UNBOUNDED_TASKS))


@dataclass(slots=True)
class Candidate:
    """A schedulable machine and its free resources.

    Machines that are draining, silent or being decommissioned are never candidates.
    """

    machine: MachineId
    kind: MachineKind
    free_cpus: float
    free_gpus: float
    free_memory_gb: float
    cached_images: set[str]
    fetching_images: set[str] = field(default_factory=set)
    """Images that the machine is fetching; the fetches share its fetch rate."""

    def fits(self, spec: JobSpec) -> bool:
        """Return whether one more task of the job fits into the free resources."""
        return (
            spec.cpus <= self.free_cpus + EPSILON
            and spec.gpus <= self.free_gpus + EPSILON
            and spec.memory_gb <= self.free_memory_gb + EPSILON
        )

    def allocate(self, spec: JobSpec) -> None:
        """Subtract the resources of one task of the job from the free resources."""
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_memory_gb -= spec.memory_gb

    def release(self, spec: JobSpec) -> None:
        """Add the resources of one task of the job to the free resources."""
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_memory_gb += spec.memory_gb


@dataclass(slots=True)
class PendingJob:
    """A job with tasks to place, and the machines where its other tasks run or may still run."""

    job_id: JobId
    spec: JobSpec
    task_count: int
    rank: int
    """Rank of the job's priority; the lowest rank is placed first."""
    slack_s: Seconds
    """How long the job may still wait and meet its deadline or objective."""
    is_retrying: bool = False
    is_borrowing: bool = False
    """Whether the job's team has used up its guarantee."""
    guaranteed_tasks: int = 0
    """How many of the job's tasks still fit into its team's guarantee."""
    requires_cached_image: bool = False
    """Whether the job can still start in time, but only on a machine that has its image cached."""
    start_slack_s: Seconds = inf
    """How long the job may still wait before the image fetch and meet the start objective of its class."""
    expected_run_s: Seconds = 0.0
    """Expected run time of one task."""
    is_starved: bool = False
    """Whether no task of the job ever began, or none has run for a long time.

    A starved job is placed first; if it is an array, with one task only.
    """
    image_fetch_s: Seconds = 0.0
    """Duration of the image fetch if it is the only one on a machine of the type with the fastest network."""
    siblings: dict[MachineId, tuple[str, int]] = field(default_factory=dict)
    """By machine: its zone, and the number of the job's tasks that count there."""

    def count_siblings_by_zone(self) -> Counter[str]:
        """Return the number of the job's tasks that count in each zone."""
        counts: Counter[str] = Counter()
        for zone, count in self.siblings.values():
            counts[zone] += count
        return counts


@dataclass(slots=True)
class QuotaHeadroom:
    """The CPUs and GPUs that a team may still use; at least `UNLIMITED_QUOTA` where the team has no limit."""

    cpus: float
    gpus: float

    def max_tasks(self, spec: JobSpec) -> int:
        """Return how many more tasks of the job the quota allows; `UNBOUNDED_TASKS` without a limit."""
        limit = UNBOUNDED_TASKS
        if spec.cpus > 0 and self.cpus < UNLIMITED_QUOTA:
            limit = min(limit, bounded_count((self.cpus + EPSILON) / spec.cpus))
        if spec.gpus > 0 and self.gpus < UNLIMITED_QUOTA:
            limit = min(limit, bounded_count((self.gpus + EPSILON) / spec.gpus))
        return limit

    def consume(self, spec: JobSpec, count: int) -> None:
        """Subtract the quota of `count` tasks of the job."""
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count


class Decision(NamedTuple):
    """The machines chosen for a job, one entry for each task."""

    job_id: JobId
    machines: list[MachineId]


class Reservation(NamedTuple):
    """A machine that is reserved for a job until enough resources are free there.

    Only the job itself and jobs of a lower rank, which is a higher priority, may use it meanwhile.
    """

    job_id: JobId
    rank: int


class TaskShape(NamedTuple):
    """All properties of a task that decide where it fits: if one task fits nowhere, no task of its shape does."""

    cpus: float
    gpus: float
    memory_gb: float
    spot: bool
    zone: str | None
    types: tuple[str, ...]


def task_shape(spec: JobSpec) -> TaskShape:
    """Return the shape that all tasks of the job share."""
    return TaskShape(spec.cpus, spec.gpus, spec.memory_gb, spec.spot, spec.zone, tuple(spec.types or ()))


def is_kind_allowed(spec: JobSpec, kind: MachineKind) -> bool:
    """Return whether the job may run on machines of this kind: its type, its zone, and spot or on demand."""
    return (
        (spec.spot or not kind.spot)
        and (spec.types is None or kind.type in spec.types)
        and (spec.zone is None or kind.zone == spec.zone)
    )


def has_sibling_traffic(spec: JobSpec) -> bool:
    """Return whether the job's tasks exchange network traffic: true for gangs; for other jobs no traffic is known."""
    return spec.kind is JobKind.GANG


def has_topology_constraints(spec: JobSpec) -> bool:
    """Return whether the machine of one task depends on the machines of the job's other tasks."""
    return spec.one_zone or spec.spread or has_sibling_traffic(spec)


def max_tasks_per_zone(spec: JobSpec) -> int:
    """Return how many tasks of a job that must be spread may be in one zone: half of all its tasks, rounded up.

    It does not depend on how many of them are placed.
    """
    return (spec.tasks + 1) // 2


def may_use_machine(pending_job: PendingJob, reservation: Reservation | None) -> bool:
    """Return whether the job may use a machine with this reservation; None means no reservation."""
    return reservation is None or reservation.job_id == pending_job.job_id or pending_job.rank < reservation.rank


def queue_order(pending_job: PendingJob) -> tuple[bool, int, bool, bool, Seconds, JobId]:
    """Return the key by which the queue is sorted.

    Starved jobs come first. Then jobs are sorted strictly by priority; within a priority, jobs within their team's
    guarantee come before borrowing ones, then retries before first attempts, then the least slack.
    """
    return (
        not pending_job.is_starved,
        pending_job.rank,
        pending_job.is_borrowing,
        not pending_job.is_retrying,
        pending_job.slack_s,
        pending_job.job_id,
    )


def count_slots(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """Return how many tasks of the job fit into the given amounts of resources."""
    limit = cpus / spec.cpus
    if spec.gpus > 0:
        limit = min(limit, gpus / spec.gpus)
    if spec.memory_gb > 0:
        limit = min(limit, memory_gb / spec.memory_gb)
    return bounded_count(limit + EPSILON)
