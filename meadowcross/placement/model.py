"""The data of one placement decision: candidate machines, pending jobs, quotas and reservations."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from meadowcross.common.types import EPSILON, JobId, MachineId, MachineKind, Seconds
from meadowcross.jobs.messages import JobKind, JobSpec

UNBOUNDED_TASKS = 10**9
"""Stands for no limit on a number of tasks."""
UNLIMITED_QUOTA = 1e12
"""A headroom of at least this much belongs to a team without a limit."""


@dataclass(slots=True)
class Candidate:
    """A machine that passed the filter on its state, and what is free on it.

    Machines that are draining, silent or being decommissioned are never candidates.
    """

    machine: MachineId
    kind: MachineKind
    free_cpus: float
    free_gpus: float
    free_memory_gb: float
    cached_images: set[str]
    fetching_images: set[str] = field(default_factory=set)
    """Images that are being fetched there; they share the machine's fetch rate."""

    def fits(self, spec: JobSpec) -> bool:
        """Return whether one more task of the job fits into what is free."""
        return (
            spec.cpus <= self.free_cpus + EPSILON
            and spec.gpus <= self.free_gpus + EPSILON
            and spec.memory_gb <= self.free_memory_gb + EPSILON
        )

    def allocate(self, spec: JobSpec) -> None:
        """Take the resources of one task of the job from what is free."""
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_memory_gb -= spec.memory_gb

    def release(self, spec: JobSpec) -> None:
        """Give back the resources of one task of the job."""
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_memory_gb += spec.memory_gb


@dataclass(slots=True)
class PendingJob:
    """A job with tasks to place, and where its other tasks run or may still run."""

    job_id: JobId
    spec: JobSpec
    task_count: int
    rank: int
    """The rank of its priority; lower goes first."""
    slack_s: Seconds
    """How long it may still wait and meet the deadline or objective that it goes by."""
    is_retrying: bool = False
    is_borrowing: bool = False
    """Its team has used up its guarantee."""
    guaranteed_tasks: int = 0
    """How many of its tasks are still within its team's guarantee."""
    requires_cached_image: bool = False
    """Only a machine that holds the image can start it in time, and that is still possible."""
    start_slack_s: Seconds = inf
    """How long it may still wait, its image fetched, and meet its class's objective on the start."""
    expected_run_s: Seconds = 0.0
    """How long one of its tasks is expected to run."""
    is_starved: bool = False
    """No task of it ever began, or none has run for long: it goes first, an array with one task."""
    image_fetch_s: Seconds = 0.0
    """How long its image takes to fetch, alone on the machine type with the fastest network."""
    siblings: dict[MachineId, tuple[str, int]] = field(default_factory=dict)
    """Per machine: its zone, and how many of the job's tasks count there."""

    def count_siblings_by_zone(self) -> Counter[str]:
        """Return how many of the job's tasks count in each zone."""
        counts: Counter[str] = Counter()
        for zone, count in self.siblings.values():
            counts[zone] += count
        return counts


@dataclass(slots=True)
class QuotaHeadroom:
    """What a team may still use; very large where it has no limit."""

    cpus: float
    gpus: float

    def max_tasks(self, spec: JobSpec) -> int:
        """Return how many more tasks of the job the quota allows."""
        limit = UNBOUNDED_TASKS
        if spec.cpus > 0 and self.cpus < UNLIMITED_QUOTA:
            limit = min(limit, int((self.cpus + EPSILON) / spec.cpus))
        if spec.gpus > 0 and self.gpus < UNLIMITED_QUOTA:
            limit = min(limit, int((self.gpus + EPSILON) / spec.gpus))
        return max(0, limit)

    def consume(self, spec: JobSpec, count: int) -> None:
        """Use up the quota of `count` tasks of the job."""
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count


class Decision(NamedTuple):
    """The machines chosen for a job, one entry a task."""

    job_id: JobId
    machines: list[MachineId]


class Reservation(NamedTuple):
    """A machine kept for a job while room is made there; only higher priority may use it meanwhile."""

    job_id: JobId
    rank: int


class TaskShape(NamedTuple):
    """All that decides where a task fits: if one task finds no room, none of the same shape does."""

    cpus: float
    gpus: float
    memory_gb: float
    spot: bool
    zone: str | None
    types: tuple[str, ...]


def task_shape(spec: JobSpec) -> TaskShape:
    """Return the shape of the job's tasks."""
    return TaskShape(spec.cpus, spec.gpus, spec.memory_gb, spec.spot, spec.zone, tuple(spec.types or ()))


def is_kind_allowed(spec: JobSpec, kind: MachineKind) -> bool:
    """Return whether the job may run on machines of this type, zone and market."""
    return (
        (spec.spot or not kind.spot)
        and (spec.types is None or kind.type in spec.types)
        and (spec.zone is None or kind.zone == spec.zone)
    )


def has_sibling_traffic(spec: JobSpec) -> bool:
    """Return whether the job's tasks talk to each other: only a gang's; for others no traffic is known."""
    return spec.kind is JobKind.GANG


def has_topology_constraints(spec: JobSpec) -> bool:
    """Return whether the place of one task depends on where the others are."""
    return spec.one_zone or spec.spread or has_sibling_traffic(spec)


def may_use_machine(pending_job: PendingJob, reservation: Reservation | None) -> bool:
    """Return whether a machine's reservation, if there is one, admits the job."""
    return reservation is None or reservation.job_id == pending_job.job_id or pending_job.rank < reservation.rank


def queue_order(pending_job: PendingJob) -> tuple[bool, int, bool, bool, Seconds, JobId]:
    """Return the sort key of the queue.

    Starved jobs go first; the others strictly by priority, then jobs within their team's guarantee, then
    retries, then least slack.
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
    """Return how many tasks of the job fit into the given resources."""
    limit = cpus / spec.cpus
    if spec.gpus > 0:
        limit = min(limit, gpus / spec.gpus)
    if spec.memory_gb > 0:
        limit = min(limit, memory_gb / spec.memory_gb)
    return int(limit + EPSILON)
