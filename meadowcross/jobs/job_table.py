"""Holds the leader's table of open jobs and their tasks, which is rebuilt from the store when a term begins.

A job's tasks are stored in chunks, one key for each chunk. A chunk is a list with one entry for each task:
`[attempt, machine]` while the task is placed, -1 when it is done, and the number of its last attempt otherwise.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from threading import RLock
from typing import NamedTuple

from meadowcross.common.types import Attempt, Instant, JobId, MachineId, Revision, Seconds, TaskId
from meadowcross.jobs.messages import PRIORITY_RANKS, JobKind, JobRecord, JobSpec, StoredTask

DONE_ENTRY = -1
REQUEUED = 0
NEVER_PLACED = 1
"""Waiting tasks that were stopped, lost or failed are placed before tasks that were never placed."""


class PlacementPhase(IntEnum):
    """The last known phase of a placement. INHERITED: an earlier leader stored it and may have sent its start."""

    STORING = 0
    STORED = 1
    SENT = 2
    INHERITED = 3
    FETCHING = 4
    WAITING = 5
    RUNNING = 6
    CHECKPOINTING = 7


@dataclass(slots=True, eq=False)
class Placement:
    """One attempt of a task on a machine; it counts towards its team's quota until it is proven gone."""

    task: TaskId
    attempt: Attempt
    machine: MachineId
    phase: PlacementPhase
    placed_at: Instant
    is_inherited: bool = field(init=False)
    """An earlier leader stored the placement: its task may have run for long before this leader saw it run."""
    running_at: Instant | None = None
    stop_requested_at: Instant | None = None
    grace_s: Seconds = 0.0
    stop_sent_at: Instant | None = None
    """When a stop command for the placement was last sent to its machine."""

    def __post_init__(self) -> None:
        self.is_inherited = self.phase is PlacementPhase.INHERITED

    @property
    def may_have_started(self) -> bool:
        """Whether this leader or an earlier one may have sent the placement's start command."""
        return self.phase >= PlacementPhase.SENT


class StoredPlacement(NamedTuple):
    """A placement as an earlier leader stored it."""

    task_index: int
    attempt: int
    machine: str


class Job:
    """An open job with the state of its tasks, which are numbered from 0."""

    def __init__(self, record: JobRecord, mod_revision: Revision) -> None:
        self.spec: JobSpec = record.spec
        self.id = JobId(record.spec.id)
        self.submitted_at = record.submitted_at
        self.cancelled_at = record.cancelled_at
        self.is_cancel_stored = record.cancelled_at is not None
        """Whether the job's record at the known revision holds the cancellation. While the leader only has a peer's
        announcement of the cancellation, the job's tasks are stopped but its end is not stored."""
        self.chunk_size = record.chunk_size
        self.mod_revision = mod_revision
        self.rank = PRIORITY_RANKS[record.spec.priority]
        self.attempts = [0] * record.spec.tasks
        self.done_flags = bytearray(record.spec.tasks)
        self.done_count = 0
        self.placements: dict[int, Placement] = {}
        self._waiting_tasks: list[tuple[int, int]] = [(NEVER_PLACED, index) for index in range(record.spec.tasks)]
        self.chunk_revisions: dict[int, Revision] = {}
        self.stored_done_tasks: set[int] = set()
        self.paused_until = Instant(0.0)
        self.failed_machines: set[MachineId] = set()
        self.healthy_machines: set[MachineId] = set()
        """Machines where a task of the job was done, or ran for longer than another task took to fail."""
        self.has_failed_on_healthy_machine = False
        """Whether the job failed on a machine where another job has run well since."""
        self.pause_count = 0
        self.gang_attempt: Attempt | None = None
        self.checkpointed_progress: dict[int, Seconds] = {}
        """By task index: run time saved by earlier attempts, as seen by this leader; the next attempt continues it."""
        self.has_placed = False
        """Whether any leader has placed a task of the job."""
        self.was_started_by_aging = False
        """Whether a task of the job was placed ahead of its priority because the job was starved."""
        self.last_loss_at: Instant | None = None
        """When this leader last saw a task of the job gone; None if it has not."""
        self.is_ending = False
        self.deadlines: list[Seconds] | None = None
        """Cached result of `ServiceLevelObjectives.deadlines`; None until it is computed."""

    @property
    def is_gang(self) -> bool:
        """Whether the job's tasks run only all together."""
        return self.spec.kind is JobKind.GANG

    @property
    def is_complete(self) -> bool:
        """Whether all tasks of the job are done."""
        return self.done_count == self.spec.tasks

    @property
    def waiting_count(self) -> int:
        """The number of tasks that are neither placed nor done."""
        return len(self._waiting_tasks)

    @property
    def is_retrying(self) -> bool:
        """Whether a task of the job waits again after it was stopped, lost or failed."""
        return bool(self._waiting_tasks) and self._waiting_tasks[0][0] == REQUEUED

    @property
    def healthy_machine_count(self) -> int:
        """The number of machines where the job ran well; all machines that only earlier leaders saw count as one."""
        return max(len(self.healthy_machines), 1 if self.done_count else 0)

    @property
    def is_probing(self) -> bool:
        """Whether the job failed on more machines than it ran well on, so that only one task at a time is placed.

        One task is enough to show whether the job still fails; hundreds of tasks would delay the starts of other jobs.
        """
        return bool(self.failed_machines) and len(self.failed_machines) > self.healthy_machine_count

    def pop_waiting_task(self) -> int:
        """Remove the next waiting task and return its index. Raises IndexError if no task waits."""
        return heapq.heappop(self._waiting_tasks)[1]

    def requeue_task(self, index: int) -> None:
        """Make a task that was placed wait again."""
        heapq.heappush(self._waiting_tasks, (REQUEUED, index))

    def load_chunk(self, first: int, entries: Iterable[StoredTask]) -> Iterator[StoredPlacement]:
        """Load a stored chunk whose first task has index `first`; yield the placements in the chunk."""
        for index, entry in enumerate(entries, first):
            self.has_placed = self.has_placed or entry != 0
            if not isinstance(entry, int):
                attempt, machine = entry
                self.attempts[index] = attempt
                yield StoredPlacement(index, attempt, machine)
            elif entry == DONE_ENTRY:
                self.done_flags[index] = 1
                self.done_count += 1
                self.stored_done_tasks.add(index)
            else:
                self.attempts[index] = entry

    def rebuild_waiting(self) -> None:
        """Recompute the waiting tasks from the loaded chunks and the placements."""
        self._waiting_tasks = [
            (REQUEUED if self.attempts[index] else NEVER_PLACED, index)
            for index in range(self.spec.tasks)
            if not self.done_flags[index] and index not in self.placements
        ]
        heapq.heapify(self._waiting_tasks)

    def chunk_of(self, index: int) -> int:
        """Return the number of the chunk that holds the task."""
        return index // self.chunk_size

    def chunk_range(self, chunk: int) -> range:
        """Return the indexes of the chunk's tasks; the last chunk may be shorter."""
        return range(chunk * self.chunk_size, min((chunk + 1) * self.chunk_size, self.spec.tasks))

    def chunk_entries(self, chunk: int) -> list[StoredTask]:
        """Return the chunk's present entries, in the stored form."""
        entries: list[StoredTask] = []
        for index in self.chunk_range(chunk):
            placement = self.placements.get(index)
            if self.done_flags[index]:
                entries.append(DONE_ENTRY)
            elif placement is not None:
                entries.append((placement.attempt, placement.machine))
            else:
                entries.append(self.attempts[index])
        return entries

    def running_count(self) -> int:
        """Return the number of tasks known to run."""
        phases = (PlacementPhase.RUNNING, PlacementPhase.CHECKPOINTING)
        return sum(1 for placement in self.placements.values() if placement.phase in phases)


class ResourceUsage(NamedTuple):
    """The resources that a team's placed tasks take."""

    cpus: float
    gpus: float


NO_USAGE = ResourceUsage(0.0, 0.0)


class ChunkId(NamedTuple):
    """One chunk of a job's stored tasks."""

    job: JobId
    chunk: int


class JobTable:
    """All open jobs, the chunks that have to be stored, and the resource usage of each team."""

    def __init__(self) -> None:
        self._lock = RLock()
        self.jobs: dict[JobId, Job] = {}
        self.waiting: dict[JobId, Job] = {}
        """The jobs with waiting tasks; a scheduling pass reads only these, however many jobs run."""
        self._usage: dict[str, ResourceUsage] = {}
        self.placed_count_by_rank: Counter[int] = Counter()
        """Number of tasks of each rank that are placed and not proven gone; a rank without such tasks has no entry."""
        self.dirty_chunks: dict[ChunkId, bool] = {}
        """Chunks to be stored, in the order of their first change since the last write, and whether each is urgent."""

    def add(self, record: JobRecord, mod_revision: Revision) -> Job:
        """Add an open job as stored at this revision, with all its tasks waiting."""
        with self._lock:
            job = Job(record, mod_revision)
            self.jobs[job.id] = job
            self.waiting[job.id] = job
            return job

    def remove(self, job: JobId) -> None:
        """Remove an ended job and its dirty chunks; a job that is not in the table is ignored."""
        with self._lock:
            removed = self.jobs.pop(job, None)
            self.waiting.pop(job, None)
            if removed is not None:
                for chunk_id in [chunk_id for chunk_id in self.dirty_chunks if chunk_id.job == job]:
                    del self.dirty_chunks[chunk_id]

    def usage_of(self, team: str) -> ResourceUsage:
        """Return the resources that the team's placed tasks take."""
        return self._usage.get(team, NO_USAGE)

    def mark_dirty(self, job: Job, index: int, is_urgent: bool) -> None:
        """Record that the task's chunk has to be stored; an urgent chunk stays urgent."""
        with self._lock:
            chunk_id = ChunkId(job.id, job.chunk_of(index))
            self.dirty_chunks[chunk_id] = self.dirty_chunks.get(chunk_id, False) or is_urgent

    def place(self, job: Job, index: int, machine: MachineId, now: Instant) -> Placement:
        """Add a placement of a task, which must be stored before its start command is sent."""
        with self._lock:
            if job.is_gang and job.gang_attempt is not None:
                attempt = job.gang_attempt
            else:
                attempt = Attempt(job.attempts[index] + 1)
            job.attempts[index] = max(attempt, job.attempts[index])
            placement = Placement(TaskId(job.id, index), attempt, machine, PlacementPhase.STORING, now)
            self._add_placement(job, placement)
            self._remove_if_not_waiting(job)
            self.mark_dirty(job, index, True)
            return placement

    def adopt_placement(self, job: Job, index: int, attempt: int, machine: str, now: Instant) -> Placement:
        """Add a placement that an earlier leader stored."""
        with self._lock:
            task = TaskId(job.id, index)
            placement = Placement(task, Attempt(attempt), MachineId(machine), PlacementPhase.INHERITED, now)
            self._add_placement(job, placement)
            return placement

    def rebuild_waiting(self, job: Job) -> None:
        """Recompute the job's waiting tasks, once all its chunks are loaded and their placements adopted."""
        with self._lock:
            job.rebuild_waiting()
            self._remove_if_not_waiting(job)

    def release(self, placement: Placement) -> None:
        """Remove a placement that is proven gone or whose start command was never sent; its task waits again."""
        with self._lock:
            job = self._remove_placement(placement)
            if job is not None:
                job.requeue_task(placement.task.number)
                self.waiting[job.id] = job

    def complete_task(self, placement: Placement) -> None:
        """Remove the placement and mark its task as done."""
        with self._lock:
            job = self._remove_placement(placement)
            if job is not None:
                job.done_flags[placement.task.number] = 1
                job.done_count += 1

    def _add_placement(self, job: Job, placement: Placement) -> None:
        job.placements[placement.task.number] = placement
        job.has_placed = True
        self._adjust_usage(job, 1)

    def _remove_placement(self, placement: Placement) -> Job | None:
        """Remove the placement and return its job; None if the job is not open or its task has another placement."""
        job = self.jobs.get(placement.task.job)
        if job is None or job.placements.get(placement.task.number) is not placement:
            return None
        del job.placements[placement.task.number]
        self._adjust_usage(job, -1)
        self.mark_dirty(job, placement.task.number, False)
        return job

    def _remove_if_not_waiting(self, job: Job) -> None:
        if not job.waiting_count:
            self.waiting.pop(job.id, None)

    def _adjust_usage(self, job: Job, sign: int) -> None:
        usage = self.usage_of(job.spec.team)
        self._usage[job.spec.team] = ResourceUsage(usage.cpus + sign * job.spec.cpus, usage.gpus + sign * job.spec.gpus)
        self.placed_count_by_rank[job.rank] += sign
        if not self.placed_count_by_rank[job.rank]:
            del self.placed_count_by_rank[job.rank]
