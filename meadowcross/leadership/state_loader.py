"""Loads the stored machines, open jobs and placements at the beginning of a term."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple, TypeVar

from meadowcross.autoscaling.messages import MACHINE_KEY_PREFIX, decode_machine_record
from meadowcross.common.clock import pause
from meadowcross.common.types import Instant, JobId, MachineId, MachineKind, Revision, revision_of
from meadowcross.jobs.job_table import Job
from meadowcross.jobs.messages import CHUNK_PREFIX, OPEN_PREFIX, decode_chunk, parse_chunk_key
from meadowcross.leadership.cancellation_tracker import CancellationTracker
from meadowcross.leadership.job_records import JobRecords
from meadowcross.leadership.machine_records import MachineRecords
from meadowcross.leadership.placement_writer import PlacementWriter
from meadowcross.leadership.term_context import TermState
from meadowcross.leadership.term_recovery import TermRecovery
from meadowcross.recovery.collect import StateRecovery, build_expected_replica
from meadowcross.recovery.merge import MergedState
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.replication.store_replica import StoreReplica
from meadowcross.store.client import StoreClient
from meadowcross.store.messages import Item

MACHINES_PER_SLICE = 500
JOBS_PER_SLICE = 50
CHUNKS_PER_SLICE = 5
"""A slice of machines, of jobs or of chunks takes some ten milliseconds to load."""
T = TypeVar("T")


class StoredState(NamedTuple):
    """Stored items, complete up to `revision`."""

    machines: Sequence[Item]
    jobs: Sequence[Item]
    chunks: Sequence[Item]
    revision: Revision


class StateReader:
    """Reads the stored state from this controller's replica, from a recovery, or from the store."""

    def __init__(
        self, state: TermState, store: StoreClient, follower: ReplicaFollower | None, recovery: TermRecovery
    ) -> None:
        self._context = state.context
        self._store = store
        self._follower = follower
        self._recovery = recovery
        self.was_replica_followed = False
        """Whether the state came from a replica that was kept up to date by the store's changes: it may differ from the
        store."""
        self.merged_state: MergedState | None = None
        """The state that a recovery collected; None without a recovery."""

    async def read(self) -> StoredState:
        """Returns the stored state. Raises `StoreError`."""
        collector = self._recovery.collector
        if collector is not None and collector.is_needed():
            return await self._recover(collector)
        if self._follower is None:
            return await self._read_from_store()
        replica = await self._follower.catch_up_to(revision_of(self._context.token))
        if replica is not None:
            self._follower.begin_leading(replica, True)
            self.was_replica_followed = True
            return StoredState(
                replica.items_under(MACHINE_KEY_PREFIX),
                replica.items_under(OPEN_PREFIX),
                replica.items_under(CHUNK_PREFIX),
                replica.revision,
            )
        stored = await self._read_from_store()
        replica = StoreReplica()
        replica.load([*stored.machines, *stored.jobs, *stored.chunks], stored.revision)
        self._follower.begin_leading(replica, False)
        return stored

    async def _read_from_store(self) -> StoredState:
        # Jobs are listed between machines and chunks, and their revision holds for all: only this leader changes the
        # other two.
        machines, _ = await self._store.list_items(MACHINE_KEY_PREFIX)
        jobs, revision = await self._store.list_items(OPEN_PREFIX)
        chunks, _ = await self._store.list_items(CHUNK_PREFIX)
        return StoredState(machines, jobs, chunks, revision)

    async def _recover(self, collector: StateRecovery) -> StoredState:
        """After a data loss, returns the state that controllers still hold, with its present revisions in the store."""
        merged, revision = await collector.collect()
        self.merged_state = merged
        if self._follower is not None:
            self._follower.begin_leading(build_expected_replica(merged, revision), True)
        return StoredState(
            merged.items_under(MACHINE_KEY_PREFIX),
            merged.items_under(OPEN_PREFIX),
            merged.items_under(CHUNK_PREFIX),
            revision,
        )


class StateLoader:
    """Fills the tables of jobs and machines from the stored state."""

    def __init__(
        self,
        state: TermState,
        reader: StateReader,
        machine_records: MachineRecords,
        job_records: JobRecords,
        placement_writer: PlacementWriter,
        cancellation_tracker: CancellationTracker,
    ) -> None:
        self._context = state.context
        self._lifecycle = state.lifecycle
        self._job_table = state.job_table
        self._worker_registry = state.worker_registry
        self._reader = reader
        self._machine_records = machine_records
        self._job_records = job_records
        self._placement_writer = placement_writer
        self._cancellation_tracker = cancellation_tracker
        self._unreadable_jobs: set[JobId] = set()
        """Open jobs whose records could not be applied."""

    async def load(self) -> Revision:
        """Load the stored state in slices; ends early if the term ends.

        Returns the revision to watch from. Raises `StoreError`."""
        stored = await self._reader.read()
        now = self._context.now
        async for item in self._in_slices(stored.machines, MACHINES_PER_SLICE):
            self._load_machine(item, now)
        async for item in self._in_slices(stored.jobs, JOBS_PER_SLICE):
            self._load_job(item)
        async for item in self._in_slices(stored.chunks, CHUNKS_PER_SLICE):
            self._load_chunk(item, now)
        async for job in self._in_slices(list(self._job_table.jobs.values()), JOBS_PER_SLICE):
            self._finish_loading(job)
        return stored.revision

    def _load_machine(self, item: Item, now: Instant) -> None:
        record = decode_machine_record(item.value)
        kind = MachineKind(record.type, record.zone, record.spot)
        machine = self._machine_records.add_machine(MachineId(item.key.removeprefix(MACHINE_KEY_PREFIX)), kind)
        machine.address = record.addr
        machine.created_at = Instant(min(now, record.created_at))
        machine.is_creation_time_known = True
        machine.is_stored = True

    def _load_job(self, item: Item) -> None:
        if not self._job_records.apply_contained(item.key, item.value, item.mod_revision):
            self._unreadable_jobs.add(JobId(item.key.removeprefix(OPEN_PREFIX)))

    def _load_chunk(self, item: Item, now: Instant) -> None:
        job_id, chunk = parse_chunk_key(item.key)
        if job_id in self._unreadable_jobs:
            # A program that can read the job's record needs the chunk.
            return
        job = self._job_table.jobs.get(job_id)
        if job is None:
            self._placement_writer.job_writer.enqueue_delete(item.key)
            return
        job.chunk_revisions[chunk] = item.mod_revision
        first_index = job.chunk_range(chunk).start
        for index, attempt, machine_id in job.load_chunk(first_index, decode_chunk(item.value)):
            placement = self._job_table.adopt_placement(job, index, attempt, machine_id, now)
            machine = self._machine_records.add_machine(MachineId(machine_id), MachineKind("", "", False))
            self._worker_registry.assign(machine, placement, job.spec)

    def _finish_loading(self, job: Job) -> None:
        """Derive the job's state from its chunks, which are all loaded, and continue its end or its cancellation."""
        self._job_table.rebuild_waiting(job)
        if job.is_gang and job.placements:
            job.gang_attempt = max(p.attempt for p in job.placements.values())
        self._placement_writer.job_writer.enqueue_end_if_due(job)
        if job.cancelled_at is not None:
            self._cancellation_tracker.stop_all_tasks(job)

    async def _in_slices(self, items: Sequence[T], size: int) -> AsyncIterator[T]:
        """Yield the items, and let the reactor run after every `size` of them.

        Loading 50,000 placements at once took more than a second, in which no renewal was sent, so that the lease of a
        new leader expired before its term was loaded."""
        for number, item in enumerate(items, 1):
            if self._lifecycle.is_stopped:
                return
            yield item
            if number % size == 0:
                await pause(self._context.clock, 0.0)
