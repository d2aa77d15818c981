"""The leader's book of open jobs and their tasks, rebuilt from the store at takeover.

A job's tasks are stored in chunks, one key each: a list with an entry per task,
`[attempt, machine]` while it is placed, -1 when it is done, else its last attempt.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from enum import IntEnum
from threading import RLock
from typing import NamedTuple

from meadowcross.common.types import Attempt, Instant, JobId, MachineId, Revision, Seconds, TaskId
from meadowcross.jobs.messages import PRIORITY_RANKS, JobKind, JobRecord, JobSpec

DONE_ENTRY = -1


class PlacementPhase(IntEnum):
    """How far a placement is known to have come."""

    STORING = 0
    STORED = 1
    SENT = 2
    INHERITED = 3
    FETCHING = 4
    WAITING = 5
    RUNNING = 6
    CHECKPOINTING = 7


class Placement:
    """One attempt of a task on a machine; it counts until proven gone."""

    __slots__ = (
        "attempt",
        "grace_s",
        "is_inherited",
        "machine",
        "phase",
        "placed_at",
        "running_at",
        "stop_requested_at",
        "stop_sent_at",
        "task",
    )

    def __init__(
        self, task: TaskId, attempt: Attempt, machine: MachineId, phase: PlacementPhase, placed_at: Instant
    ) -> None:
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.phase = phase
        self.is_inherited = phase is PlacementPhase.INHERITED
        """Stored by an earlier leader: it may have run for long before we saw it run."""
        self.placed_at = placed_at
        self.running_at: Instant | None = None
        self.stop_requested_at: Instant | None = None
        self.grace_s: Seconds = 0.0
        self.stop_sent_at: Instant | None = None
        """When its machine was last told directly to stop it."""

    @property
    def may_have_started(self) -> bool:
        """Its start may have been sent, by us or by an earlier leader."""
        return self.phase >= PlacementPhase.SENT


class Job:
    """An open job. `waiting` holds the tasks that are neither placed nor done."""

    def __init__(self, record: JobRecord, mod_revision: Revision) -> None:
        self.spec: JobSpec = record.spec
        self.id = JobId(record.spec.id)
        self.submitted_at = record.submitted_at
        self.cancelled_at = record.cancelled_at
        self.is_cancel_stored = record.cancelled_at is not None
        """Its record, at the version that we know, holds the cancel. By a peer's word alone its tasks are stopped, and
        its end is not stored yet."""
        self.chunk_size = record.chunk_size
        self.mod_revision = mod_revision
        self.rank = PRIORITY_RANKS[record.spec.priority]
        self.attempts = [0] * record.spec.tasks
        self.done_flags = bytearray(record.spec.tasks)
        self.done_count = 0
        self.placements: dict[int, Placement] = {}
        self._waiting_tasks: list[tuple[int, int]] = [(1, index) for index in range(record.spec.tasks)]
        self.chunk_revisions: dict[int, Revision] = {}
        self.stored_done_tasks: set[int] = set()
        self.paused_until = Instant(0.0)
        self.failed_machines: set[MachineId] = set()
        self.healthy_machines: set[MachineId] = set()
        """Machines where a task of it was done, or lived longer than another needed to fail."""
        self.pause_count = 0
        self.gang_attempt: Attempt | None = None
        self.checkpointed_progress: dict[int, Seconds] = {}
        """Progress of earlier attempts that the next goes on from, where this leader saw it."""
        self.has_placed = False
        """Whether a task of it is or was placed, by any leader."""
        self.was_started_by_aging = False
        """It went on with a task at a time when its turn did not come."""
        self.last_loss_at: Instant | None = None
        """When a task of it was last seen gone by this leader."""
        self.is_ending = False
        self.deadlines: list[Seconds] | None = None
        """Its users' aims on its end, once asked for: see `Aims.dues`."""

    @property
    def is_gang(self) -> bool:
        return self.spec.kind is JobKind.GANG

    @property
    def is_complete(self) -> bool:
        return self.done_count == self.spec.tasks

    @property
    def waiting_count(self) -> int:
        return len(self._waiting_tasks)

    @property
    def is_retrying(self) -> bool:
        """Whether a task waits that was stopped, lost or failed."""
        return bool(self._waiting_tasks) and self._waiting_tasks[0][0] == 0

    @property
    def healthy_machine_count(self) -> int:
        """On how many machines it fared well; all that an earlier leader saw counts as one."""
        return max(len(self.healthy_machines), 1 if self.done_count else 0)

    @property
    def is_probing(self) -> bool:
        """It failed more widely than it succeeded: one task at a time tells whether it still
        does. Hundreds would only take starts, writes and fetches from others."""
        return bool(self.failed_machines) and len(self.failed_machines) > self.healthy_machine_count

    def pop_waiting_task(self) -> int:
        return heapq.heappop(self._waiting_tasks)[1]

    def requeue_task(self, index: int) -> None:
        heapq.heappush(self._waiting_tasks, (0, index))

    def load_chunk(self, first: int, entries: Iterable[int | tuple[int, str]]) -> Iterator[tuple[int, int, str]]:
        """Take over a stored chunk; yields the placements it holds."""
        for offset, entry in enumerate(entries):
            index = first + offset
            self.has_placed = self.has_placed or entry != 0
            if isinstance(entry, int):
                if entry == DONE_ENTRY:
                    self.done_flags[index] = 1
                    self.done_count += 1
                    self.stored_done_tasks.add(index)
                else:
                    self.attempts[index] = entry
            else:
                self.attempts[index] = entry[0]
                yield index, entry[0], entry[1]

    def rebuild_waiting(self) -> None:
        self._waiting_tasks = [
            (0 if self.attempts[index] else 1, index)
            for index in range(self.spec.tasks)
            if not self.done_flags[index] and index not in self.placements
        ]
        heapq.heapify(self._waiting_tasks)

    def chunk_of(self, index: int) -> int:
        return index // self.chunk_size

    def chunk_range(self, chunk: int) -> range:
        return range(chunk * self.chunk_size, min((chunk + 1) * self.chunk_size, self.spec.tasks))

    def chunk_entries(self, chunk: int) -> list[int | tuple[int, str]]:
        entries: list[int | tuple[int, str]] = []
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
        return sum(
            1 for p in self.placements.values() if p.phase in (PlacementPhase.RUNNING, PlacementPhase.CHECKPOINTING)
        )


class ResourceUsage(NamedTuple):
    cpus: float
    gpus: float


class JobTable:
    """All open jobs, what is dirty, and each team's use by what is placed."""

    def __init__(self) -> None:
        self._lock = RLock()
        self.jobs: dict[JobId, Job] = {}
        self.waiting: dict[JobId, Job] = {}
        """Of those, the ones with tasks to place: a pass looks at these, however many run."""
        self._usage: dict[str, list[float]] = {}
        self.placed_count_by_rank: Counter[int] = Counter()
        """How many tasks of each rank are placed and not proven gone; none without any."""
        self.dirty_chunks: dict[tuple[JobId, int], bool] = {}
        """Chunks to be stored, in the order in which they changed; True: urgent."""

    def add(self, record: JobRecord, mod_revision: Revision) -> Job:
        with self._lock:
            job = Job(record, mod_revision)
            self.jobs[job.id] = job
            self.waiting[job.id] = job
            return job

    def remove(self, job: JobId) -> None:
        with self._lock:
            removed = self.jobs.pop(job, None)
            self.waiting.pop(job, None)
            if removed is not None:
                for key in [key for key in self.dirty_chunks if key[0] == job]:
                    del self.dirty_chunks[key]

    def usage_of(self, team: str) -> ResourceUsage:
        usage = self._usage.get(team, (0.0, 0.0))
        return ResourceUsage(usage[0], usage[1])

    def _adjust_usage(self, job: Job, sign: int) -> None:
        usage = self._usage.setdefault(job.spec.team, [0.0, 0.0])
        usage[0] += sign * job.spec.cpus
        usage[1] += sign * job.spec.gpus
        self.placed_count_by_rank[job.rank] += sign
        if not self.placed_count_by_rank[job.rank]:
            del self.placed_count_by_rank[job.rank]

    def mark_dirty(self, job: Job, index: int, is_urgent: bool) -> None:
        with self._lock:
            key = (job.id, job.chunk_of(index))
            self.dirty_chunks[key] = self.dirty_chunks.get(key, False) or is_urgent

    def place(self, job: Job, index: int, machine: MachineId, now: Instant) -> Placement:
        """Record a placement, to be stored before its start is sent."""
        with self._lock:
            if job.is_gang and job.gang_attempt is not None:
                attempt = job.gang_attempt
            else:
                attempt = Attempt(job.attempts[index] + 1)
            job.attempts[index] = max(attempt, job.attempts[index])
            placement = Placement(TaskId(job.id, index), attempt, machine, PlacementPhase.STORING, now)
            job.placements[index] = placement
            job.has_placed = True
            if not job.waiting_count:
                self.waiting.pop(job.id, None)
            self._adjust_usage(job, 1)
            self.mark_dirty(job, index, True)
            return placement

    def adopt_placement(self, job: Job, index: int, attempt: int, machine: str, now: Instant) -> Placement:
        """Take over a placement that an earlier leader stored."""
        with self._lock:
            task = TaskId(job.id, index)
            placement = Placement(task, Attempt(attempt), MachineId(machine), PlacementPhase.INHERITED, now)
            job.placements[index] = placement
            job.has_placed = True
            self._adjust_usage(job, 1)
            return placement

    def rebuild_waiting(self, job: Job) -> None:
        """All that earlier leaders stored of the job has been taken over."""
        with self._lock:
            job.rebuild_waiting()
            if not job.waiting_count:
                self.waiting.pop(job.id, None)

    def release(self, placement: Placement) -> None:
        """The placement is proven gone, or its start was never sent: the task waits again."""
        with self._lock:
            job = self._remove_placement(placement)
            if job is not None:
                job.requeue_task(placement.task.number)
                self.waiting[job.id] = job

    def complete_task(self, placement: Placement) -> None:
        with self._lock:
            job = self._remove_placement(placement)
            if job is not None:
                job.done_flags[placement.task.number] = 1
                job.done_count += 1

    def _remove_placement(self, placement: Placement) -> Job | None:
        job = self.jobs.get(placement.task.job)
        if job is None or job.placements.get(placement.task.number) is not placement:
            return None
        del job.placements[placement.task.number]
        self._adjust_usage(job, -1)
        self.mark_dirty(job, placement.task.number, False)
        return job
