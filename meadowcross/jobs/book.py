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

from meadowcross.common.types import Attempt, Instant, JobId, MachineId, Mark, Seconds, TaskId
from meadowcross.jobs.messages import RANK, JobRecord, JobSpec, Kind

DONE = -1


class Phase(IntEnum):
    """How far a placement is known to have come."""

    STORING = 0
    STORED = 1
    SENT = 2
    INHERITED = 3
    FETCHING = 4
    WAITING = 5
    RUNNING = 6
    SAVING = 7


class Placement:
    """One attempt of a task on a machine; it counts until proven gone."""

    __slots__ = (
        "attempt",
        "grace",
        "inherited",
        "machine",
        "phase",
        "running_at",
        "since",
        "stop_at",
        "task",
        "told_at",
    )

    def __init__(self, task: TaskId, attempt: Attempt, machine: MachineId, phase: Phase, since: Instant) -> None:
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.phase = phase
        self.inherited = phase is Phase.INHERITED
        """Stored by an earlier leader: it may have run for long before we saw it run."""
        self.since = since
        self.running_at: Instant | None = None
        self.stop_at: Instant | None = None
        self.grace: Seconds = 0.0
        self.told_at: Instant | None = None
        """When its machine was last told directly to stop it."""

    @property
    def started(self) -> bool:
        """Its start may have been sent, by us or by an earlier leader."""
        return self.phase >= Phase.SENT


class Job:
    """An open job. `waiting` holds the tasks that are neither placed nor done."""

    def __init__(self, record: JobRecord, mark: Mark) -> None:
        self.spec: JobSpec = record.spec
        self.id = JobId(record.spec.id)
        self.submitted = record.submitted
        self.cancelled = record.cancelled
        self.cancel_read = record.cancelled is not None
        """Its record, at the version that we know, holds the cancel. By a peer's word alone its tasks are stopped, and
        its end is not stored yet."""
        self.chunk_size = record.chunk
        self.mark = mark
        self.rank = RANK[record.spec.priority]
        self.attempts = [0] * record.spec.tasks
        self.done = bytearray(record.spec.tasks)
        self.done_count = 0
        self.placed: dict[int, Placement] = {}
        self._waiting: list[tuple[int, int]] = [(1, index) for index in range(record.spec.tasks)]
        self.chunk_marks: dict[int, Mark] = {}
        self.stored_done: set[int] = set()
        self.paused_until = Instant(0.0)
        self.failed_on: set[MachineId] = set()
        self.sound_on: set[MachineId] = set()
        """Machines where a task of it was done, or lived longer than another needed to fail."""
        self.pauses = 0
        self.gang_attempt: Attempt | None = None
        self.carried: dict[int, Seconds] = {}
        """Progress of earlier attempts that the next goes on from, where this leader saw it."""
        self.begun = False
        """Whether a task of it is or was placed, by any leader."""
        self.by_age = False
        """It went on with a task at a time when its turn did not come."""
        self.lost_at: Instant | None = None
        """When a task of it was last seen gone by this leader."""
        self.ending = False
        self.dues: list[Seconds] | None = None
        """Its users' aims on its end, once asked for: see `Aims.dues`."""

    @property
    def is_gang(self) -> bool:
        return self.spec.kind is Kind.GANG

    @property
    def complete(self) -> bool:
        return self.done_count == self.spec.tasks

    @property
    def waiting_count(self) -> int:
        return len(self._waiting)

    @property
    def retrying(self) -> bool:
        """Whether a task waits that was stopped, lost or failed."""
        return bool(self._waiting) and self._waiting[0][0] == 0

    @property
    def times_sound(self) -> int:
        """On how many machines it fared well; all that an earlier leader saw counts as one."""
        return max(len(self.sound_on), 1 if self.done_count else 0)

    @property
    def probing(self) -> bool:
        """It failed more widely than it succeeded: one task at a time tells whether it still
        does. Hundreds would only take starts, writes and fetches from others."""
        return bool(self.failed_on) and len(self.failed_on) > self.times_sound

    def take_waiting(self) -> int:
        return heapq.heappop(self._waiting)[1]

    def give_back(self, index: int) -> None:
        heapq.heappush(self._waiting, (0, index))

    def load_chunk(self, first: int, entries: Iterable[int | tuple[int, str]]) -> Iterator[tuple[int, int, str]]:
        """Take over a stored chunk; yields the placements it holds."""
        for offset, entry in enumerate(entries):
            index = first + offset
            self.begun = self.begun or entry != 0
            if isinstance(entry, int):
                if entry == DONE:
                    self.done[index] = 1
                    self.done_count += 1
                    self.stored_done.add(index)
                else:
                    self.attempts[index] = entry
            else:
                self.attempts[index] = entry[0]
                yield index, entry[0], entry[1]

    def rebuild_waiting(self) -> None:
        self._waiting = [
            (0 if self.attempts[index] else 1, index)
            for index in range(self.spec.tasks)
            if not self.done[index] and index not in self.placed
        ]
        heapq.heapify(self._waiting)

    def chunk_of(self, index: int) -> int:
        return index // self.chunk_size

    def chunk_range(self, chunk: int) -> range:
        return range(chunk * self.chunk_size, min((chunk + 1) * self.chunk_size, self.spec.tasks))

    def chunk_entries(self, chunk: int) -> list[int | tuple[int, str]]:
        entries: list[int | tuple[int, str]] = []
        for index in self.chunk_range(chunk):
            placement = self.placed.get(index)
            if self.done[index]:
                entries.append(DONE)
            elif placement is not None:
                entries.append((placement.attempt, placement.machine))
            else:
                entries.append(self.attempts[index])
        return entries

    def running_count(self) -> int:
        return sum(1 for p in self.placed.values() if p.phase in (Phase.RUNNING, Phase.SAVING))


class Use(NamedTuple):
    cpus: float
    gpus: float


class Book:
    """All open jobs, what is dirty, and each team's use by what is placed."""

    def __init__(self) -> None:
        self._lock = RLock()
        self.jobs: dict[JobId, Job] = {}
        self.waiting: dict[JobId, Job] = {}
        """Of those, the ones with tasks to place: a pass looks at these, however many run."""
        self._use: dict[str, list[float]] = {}
        self.placed_ranks: Counter[int] = Counter()
        """How many tasks of each rank are placed and not proven gone; none without any."""
        self.dirty: dict[tuple[JobId, int], bool] = {}
        """Chunks to be stored, in the order in which they changed; True: urgent."""

    def add(self, record: JobRecord, mark: Mark) -> Job:
        with self._lock:
            job = Job(record, mark)
            self.jobs[job.id] = job
            self.waiting[job.id] = job
            return job

    def remove(self, job: JobId) -> None:
        with self._lock:
            gone = self.jobs.pop(job, None)
            self.waiting.pop(job, None)
            if gone is not None:
                for key in [key for key in self.dirty if key[0] == job]:
                    del self.dirty[key]

    def use_of(self, team: str) -> Use:
        used = self._use.get(team, (0.0, 0.0))
        return Use(used[0], used[1])

    def _count(self, job: Job, sign: int) -> None:
        used = self._use.setdefault(job.spec.team, [0.0, 0.0])
        used[0] += sign * job.spec.cpus
        used[1] += sign * job.spec.gpus
        self.placed_ranks[job.rank] += sign
        if not self.placed_ranks[job.rank]:
            del self.placed_ranks[job.rank]

    def mark_dirty(self, job: Job, index: int, urgent: bool) -> None:
        with self._lock:
            key = (job.id, job.chunk_of(index))
            self.dirty[key] = self.dirty.get(key, False) or urgent

    def place(self, job: Job, index: int, machine: MachineId, now: Instant) -> Placement:
        """Record a placement, to be stored before its start is sent."""
        with self._lock:
            if job.is_gang and job.gang_attempt is not None:
                attempt = job.gang_attempt
            else:
                attempt = Attempt(job.attempts[index] + 1)
            job.attempts[index] = max(attempt, job.attempts[index])
            placement = Placement(TaskId(job.id, index), attempt, machine, Phase.STORING, now)
            job.placed[index] = placement
            job.begun = True
            if not job.waiting_count:
                self.waiting.pop(job.id, None)
            self._count(job, 1)
            self.mark_dirty(job, index, True)
            return placement

    def inherit(self, job: Job, index: int, attempt: int, machine: str, now: Instant) -> Placement:
        """Take over a placement that an earlier leader stored."""
        with self._lock:
            task = TaskId(job.id, index)
            placement = Placement(task, Attempt(attempt), MachineId(machine), Phase.INHERITED, now)
            job.placed[index] = placement
            job.begun = True
            self._count(job, 1)
            return placement

    def rebuild_waiting(self, job: Job) -> None:
        """All that earlier leaders stored of the job has been taken over."""
        with self._lock:
            job.rebuild_waiting()
            if not job.waiting_count:
                self.waiting.pop(job.id, None)

    def gone(self, placement: Placement) -> None:
        """The placement is proven gone, or its start was never sent: the task waits again."""
        with self._lock:
            job = self._take_off(placement)
            if job is not None:
                job.give_back(placement.task.number)
                self.waiting[job.id] = job

    def task_done(self, placement: Placement) -> None:
        with self._lock:
            job = self._take_off(placement)
            if job is not None:
                job.done[placement.task.number] = 1
                job.done_count += 1

    def _take_off(self, placement: Placement) -> Job | None:
        job = self.jobs.get(placement.task.job)
        if job is None or job.placed.get(placement.task.number) is not placement:
            return None
        del job.placed[placement.task.number]
        self._count(job, -1)
        self.mark_dirty(job, placement.task.number, False)
        return job
