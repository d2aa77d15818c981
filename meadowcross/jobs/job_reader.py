"""Looks up the present state of jobs by fresh reads of the store that several requests share.

A response with a state that is not final, or that a job is unknown, must rest on a read that began after the request
arrived. The lookups that wait share one transaction without changes, which compares the cached revisions of their
jobs. Only jobs whose revision has changed are read one by one, and many unknown jobs by one range read. When each
request made a read of its own, polling users alone used up a controller's request rate, and submissions timed out.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Coroutine, Iterable
from threading import Lock
from typing import Any, NamedTuple, TypeVar

import msgspec
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.defer import TimeoutError as DeferredTimeout

from meadowcross.common.clock import Clock
from meadowcross.common.types import JobId, Revision, Seconds
from meadowcross.jobs.messages import (
    ENDED_PREFIX,
    OPEN_PREFIX,
    EndedRecord,
    decode_ended,
    decode_record,
    ended_key,
    open_key,
)
from meadowcross.store.client import StoreClient, StoreUnavailableError
from meadowcross.store.messages import Condition, Item
from meadowcross.store.token_bucket import RequestPriority

BATCH_DELAY_S: Seconds = 0.02
"""Time for which lookups are collected into a batch. A batch takes at least one request, so this bounds their rate."""
MAX_CONCURRENT_BATCHES = 2
"""One batch may wait for a response that is lost while the other batch goes on."""
RANGE_READ_MIN_JOBS = 8
"""From this number on, one range read of all open jobs is cheaper than single reads of the unknown jobs."""
MAX_READ_ATTEMPTS = 2
MAX_CACHED_JOBS = 5_000
MAX_END_WAITERS = 500
"""Requests that may wait for the ends of jobs at the same time; further requests are answered without waiting."""


class OpenJob(NamedTuple):
    """An open job as last read."""

    mod_revision: Revision
    task_count: int
    is_cancelled: bool = False
    """The job's cancellation is stored, but its tasks are not proven gone."""
    is_unrecorded: bool = False
    """The job's submission record was lost; its cancellation is stored under the ended key."""


ABSENT_JOB = OpenJob(Revision(0), 0)
"""Cache entry of a job that was not submitted as of the last read."""

JobLookupResult = EndedRecord | OpenJob | None

ReplicaLookup = Callable[[str], Item | None]
"""Returns the item that this controller's replica of the store holds under a key; the replica may lag behind."""

_Batch = dict[JobId, list[Deferred[JobLookupResult]]]
_Results = dict[JobId, JobLookupResult]


def absence_conditions(job: JobId) -> list[Condition]:
    """Return the store conditions under which the job is neither open nor ended."""
    return [Condition(open_key(job), Revision(0)), Condition(ended_key(job), Revision(0))]


class JobReader:
    """Looks up jobs in batches, and caches final states and the revisions of open jobs.

    `on_missing` is called with a job that this controller's replica holds and that has no record in the store.
    """

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        read_replica: ReplicaLookup = lambda _key: None,
        on_missing: Callable[[JobId], None] = lambda _job: None,
    ) -> None:
        self._clock = clock
        self._store = store
        self._read_replica = read_replica
        self._on_missing = on_missing
        self._lock = Lock()
        self._ended_cache: OrderedDict[JobId, EndedRecord] = OrderedDict()
        self._open_cache: OrderedDict[JobId, OpenJob] = OrderedDict()
        self._pending_lookups: _Batch = {}
        self._end_waiters: dict[JobId, list[Deferred[EndedRecord]]] = {}
        self._running_batches = 0
        self._is_batch_scheduled = False

    # Caches

    def find_final(self, job: JobId) -> EndedRecord | None:
        """Return the job's final state if it is cached or replicated, else None; final states never change."""
        with self._lock:
            ended_record = self._ended_cache.get(job)
        if ended_record is None and (item := self._read_replica(ended_key(job))) is not None:
            record = decode_ended(item.value)
            ended_record = self.cache_ended(job, record) if record.is_proven else None
        return ended_record

    def cache_ended(self, job: JobId, record: EndedRecord) -> EndedRecord:
        """Cache a final state, which may be returned without a read, and fire the waiters for the job's end."""
        with self._lock:
            self._open_cache.pop(job, None)
            _add_to_cache(self._ended_cache, job, record)
            waiters = self._end_waiters.pop(job, [])
        for waiter in waiters:
            waiter.callback(record)
        return record

    def cache_open(self, job: JobId, mod_revision: Revision, task_count: int, is_cancelled: bool = False) -> OpenJob:
        """Cache the revision of an open job for comparison with the store; it is never returned without that."""
        open_job = OpenJob(mod_revision, task_count, is_cancelled)
        with self._lock:
            _add_to_cache(self._open_cache, job, open_job)
        return open_job

    def cache_open_item(self, job: JobId, item: Item) -> OpenJob:
        """Cache an open job as it was just read from the store or the replica."""
        record = decode_record(item.value)
        return self.cache_open(job, item.mod_revision, record.spec.tasks, record.cancelled_at is not None)

    def on_ended_stored(self, key: str, value: msgspec.Raw) -> None:
        """Fire the waiters of a proven end that the replica's watch reported or this controller wrote under `key`."""
        job, record = JobId(key.removeprefix(ENDED_PREFIX)), decode_ended(value)
        if record.is_proven and job in self._end_waiters:
            self.cache_ended(job, record)

    def _cached_open_job(self, job: JobId) -> OpenJob | None:
        """Return the open job to compare with the store, as last read or as replicated, or None."""
        with self._lock:
            open_job = self._open_cache.get(job)
        if (open_job is None or open_job is ABSENT_JOB) and (item := self._read_replica(open_key(job))) is not None:
            return self.cache_open_item(job, item)
        return open_job

    # Lookups

    async def wait_for_end(self, job: JobId, timeout_s: Seconds) -> EndedRecord | None:
        """Return the job's end if it is stored within `timeout_s`, else None.

        The replica's watch reports the end, if there is a replica; one read at the end of the time covers the other
        cases. Raises the store client's errors.
        """
        if (ended_record := self.find_final(job)) is not None:
            return ended_record
        if timeout_s > 0 and sum(map(len, self._end_waiters.values())) < MAX_END_WAITERS:
            try:
                return await self._add_end_waiter(job, timeout_s)
            except DeferredTimeout:
                pass
        lookup_result = await self.find(job)
        return lookup_result if isinstance(lookup_result, EndedRecord) else None

    async def _add_end_waiter(self, job: JobId, timeout_s: Seconds) -> EndedRecord:
        waiter: Deferred[EndedRecord] = Deferred()
        with self._lock:
            self._end_waiters.setdefault(job, []).append(waiter)
        waiter.addTimeout(timeout_s, self._clock)  # type: ignore[arg-type]
        try:
            return await waiter
        except DeferredTimeout:
            with self._lock:
                remaining_waiters = [other for other in self._end_waiters.pop(job, []) if other is not waiter]
                if remaining_waiters:
                    self._end_waiters[job] = remaining_waiters
            raise

    def find(self, job: JobId) -> Deferred[JobLookupResult]:
        """Return the job's state by a read that begins after this call, or None for a job that was never accepted."""
        lookup: Deferred[JobLookupResult] = Deferred()
        ended_record = self.find_final(job)
        if ended_record is not None:
            lookup.callback(ended_record)
        else:
            with self._lock:
                self._pending_lookups.setdefault(job, []).append(lookup)
            self._schedule_batch()
        return lookup

    def _schedule_batch(self) -> None:
        if not self._is_batch_scheduled and self._pending_lookups and self._running_batches < MAX_CONCURRENT_BATCHES:
            self._is_batch_scheduled = True
            self._clock.callLater(BATCH_DELAY_S, self._begin_batch)

    def _begin_batch(self) -> None:
        self._is_batch_scheduled = False
        batch: _Batch = {}
        with self._lock:
            # An absent job takes two conditions, any other job one.
            while self._pending_lookups and len(batch) < self._store.max_conditions // 2:
                job = next(iter(self._pending_lookups))
                batch[job] = self._pending_lookups.pop(job)
        self._running_batches += 1
        Deferred.fromCoroutine(self._run_batch(batch))
        self._schedule_batch()

    async def _run_batch(self, batch: _Batch) -> None:
        results: _Results = {}
        failure: Exception = StoreUnavailableError("the lookup returned no result")
        try:
            await self._read_jobs(list(batch), results, lambda: _deliver_results(batch, results))
        except Exception as error:  # noqa: BLE001 - any error is the result of all lookups without a result
            failure = error
        finally:
            self._running_batches -= 1
            self._schedule_batch()
        _deliver_results(batch, results)
        for lookups in batch.values():
            for lookup in lookups:
                lookup.errback(failure)

    async def _read_jobs(self, jobs: list[JobId], results: _Results, on_some_results: Callable[[], None]) -> None:
        """Add the jobs' states to `results`; a read that fails leaves some jobs out.

        `on_some_results` is called before further reads, so that the first results are not outdated when delivered.
        """
        cached_jobs = {job: open_job for job in jobs if (open_job := self._cached_open_job(job)) is not None}
        jobs_to_read = await self._read_unchanged(jobs, cached_jobs, results)
        on_some_results()
        unknown_jobs = [job for job in jobs_to_read if cached_jobs.get(job, ABSENT_JOB) is ABSENT_JOB]
        if len(unknown_jobs) >= RANGE_READ_MIN_JOBS:
            await self._read_range(unknown_jobs, results)
        await _await_all(self._read_job(job, results) for job in jobs_to_read if job not in results)

    async def _read_unchanged(
        self, jobs: list[JobId], cached_jobs: dict[JobId, OpenJob], results: _Results
    ) -> list[JobId]:
        """Add the jobs that are as cached to `results`, by one comparison with the store; return all other jobs."""
        conditions: list[Condition] = []
        for job, open_job in cached_jobs.items():
            if open_job is ABSENT_JOB:
                conditions.extend(absence_conditions(job))
            else:
                conditions.append(Condition(open_key(job), open_job.mod_revision))
        changed_keys = await self._store.find_changed_keys(conditions) if conditions else set()
        jobs_to_read: list[JobId] = []
        for job in jobs:
            cached_job = cached_jobs.get(job)
            if (ended_record := self.find_final(job)) is not None:
                results[job] = ended_record
            elif cached_job is None or open_key(job) in changed_keys or ended_key(job) in changed_keys:
                jobs_to_read.append(job)
            else:
                results[job] = None if cached_job is ABSENT_JOB else cached_job
        return jobs_to_read

    async def _read_range(self, jobs: list[JobId], results: _Results) -> None:
        """Add the given jobs that are open to `results`, by listing all open jobs."""
        listing = await self._store.list_items(OPEN_PREFIX, RequestPriority.USER)
        items_by_key = {item.key: item for item in listing.items}
        for job in jobs:
            item = items_by_key.get(open_key(job))
            if item is not None:
                results[job] = self.cache_open_item(job, item)

    async def _read_job(self, job: JobId, results: _Results) -> None:
        """Read the job's own keys and add its state to `results`.

        A job moves from the open key to the ended key in one transaction, so a job found under neither, read in this
        order, was never accepted. The result is compared once more, under the store epoch's condition and with the
        store's revision, because a store that came back empty or in an older state would give a wrong result.

        Raises StoreUnavailableError if the job changed during each attempt, or if the store has lost it.
        """
        was_replicated = self._read_replica(open_key(job)) is not None
        for _ in range(MAX_READ_ATTEMPTS):
            item = await self._store.get(open_key(job))
            if item is not None:
                if await self._is_unchanged([Condition(open_key(job), item.mod_revision)]):
                    results[job] = self.cache_open_item(job, item)
                    return
                continue
            item = await self._store.get(ended_key(job))
            if item is not None:
                results[job] = self._ended_result(job, item)
                return
            if await self._is_unchanged(absence_conditions(job)):
                self._check_not_lost(job, was_replicated)
                with self._lock:
                    _add_to_cache(self._open_cache, job, ABSENT_JOB)
                results[job] = None
                return
        message = f"job {job} changed while it was read"
        raise StoreUnavailableError(message)

    def _ended_result(self, job: JobId, item: Item) -> EndedRecord | OpenJob:
        record = decode_ended(item.value)
        if record.is_proven:
            return self.cache_ended(job, record)
        return OpenJob(item.mod_revision, record.task_count, is_cancelled=True, is_unrecorded=True)

    def _check_not_lost(self, job: JobId, was_replicated: bool) -> None:
        """Raise StoreUnavailableError if the absent job was replicated as open before the read, and report it as lost.

        An open job only ever moves to the ended key, so its absence from both keys is a data loss.
        """
        if was_replicated:
            self._on_missing(job)
            message = f"job {job} was replicated but is missing in the store"
            raise StoreUnavailableError(message)

    async def _is_unchanged(self, conditions: list[Condition]) -> bool:
        """Whether the conditions hold in the known store epoch. True without a request if the store has no epochs."""
        return self._store.guard is None or not await self._store.find_changed_keys(conditions)


async def _await_all(coroutines: Iterable[Coroutine[Any, Any, None]]) -> None:
    """Wait for all coroutines, then raise the first failure, if any."""
    deferreds = [Deferred.fromCoroutine(coroutine) for coroutine in coroutines]
    outcomes: list[tuple[bool, Any]] = await DeferredList(deferreds, consumeErrors=True)
    for has_succeeded, outcome in outcomes:
        if not has_succeeded:
            outcome.raiseException()


def _deliver_results(batch: _Batch, results: _Results) -> None:
    for job in [job for job in batch if job in results]:
        for lookup in batch.pop(job):
            lookup.callback(results[job])


V = TypeVar("V")


def _add_to_cache(cache: OrderedDict[JobId, V], job: JobId, value: V) -> None:
    """Add an entry to the cache as its newest, and evict the oldest entries beyond MAX_CACHED_JOBS."""
    cache.pop(job, None)
    cache[job] = value
    while len(cache) > MAX_CACHED_JOBS:
        cache.popitem(last=False)
