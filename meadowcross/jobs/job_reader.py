"""The present state of a job, by fresh reads that several requests share.

An answer that is not final, or that a job is unknown, must rest on a read that began after the request came. One read
answers many requests: those that wait become one transaction without changes, which compares the revisions that this
node remembers. Only jobs whose revision has changed are read one by one, and many unknown ones by one range read. When
each request made a read of its own, polling users alone used up a node's request rate, and submissions timed out.
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
"""Lookups are collected for so long. A batch is one request at least, so this also limits the rate of requests."""
MAX_CONCURRENT_BATCHES = 2
"""One may wait for an answer that is lost while the other goes on."""
RANGE_READ_MIN_JOBS = 8
"""So many unknown jobs are cheaper to read as a range than one by one."""
MAX_READ_TRIES = 2
MAX_CACHED_JOBS = 5_000
MAX_END_WAITERS = 500
"""So many requests may wait for ends at once; further ones are answered without waiting."""


class OpenJob(NamedTuple):
    """An open job as last read."""

    mod_revision: Revision
    task_count: int
    is_cancelled: bool = False
    """Its cancel is stored; its tasks are not proven gone."""
    is_unrecorded: bool = False
    """It is stored under the ended key, as the job's record was lost."""


ABSENT_JOB = OpenJob(Revision(0), 0)
"""Cached for an id that was never submitted, as of the last read."""

JobLookupResult = EndedRecord | OpenJob | None

ReplicaLookup = Callable[[str], Item | None]
"""Returns what this node's replica of the store holds under a key; it may lag behind the store."""

_Batch = dict[JobId, list[Deferred[JobLookupResult]]]
_Results = dict[JobId, JobLookupResult]


def absence_conditions(job: JobId) -> list[Condition]:
    """Return the conditions that the job is neither open nor ended."""
    return [Condition(open_key(job), Revision(0)), Condition(ended_key(job), Revision(0))]


class JobReader:
    """Looks up jobs in batches, and remembers final states and the revisions of open jobs.

    `on_missing` is called with a job that this node's replica holds and the store does not know.
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

    # What is remembered

    def find_final(self, job: JobId) -> EndedRecord | None:
        """Return the job's final state if it is known here. Final states never change, so no read is needed."""
        with self._lock:
            ended = self._ended_cache.get(job)
        if ended is None and (item := self._read_replica(ended_key(job))) is not None:
            record = decode_ended(item.value)
            ended = self.remember_ended(job, record) if record.is_proven else None
        return ended

    def remember_ended(self, job: JobId, record: EndedRecord) -> EndedRecord:
        """Cache a final state, which may be answered from memory, and answer who waits for it."""
        with self._lock:
            self._open_cache.pop(job, None)
            _remember(self._ended_cache, job, record)
            waiters = self._end_waiters.pop(job, [])
        for waiter in waiters:
            waiter.callback(record)
        return record

    def remember_open(self, job: JobId, mod_revision: Revision, task_count: int, is_cancelled: bool = False) -> OpenJob:
        """Cache the revision of an open job, to be compared with the store's and never answered from."""
        open_job = OpenJob(mod_revision, task_count, is_cancelled)
        with self._lock:
            _remember(self._open_cache, job, open_job)
        return open_job

    def remember_open_item(self, job: JobId, item: Item) -> OpenJob:
        """Cache an open job as just read."""
        record = decode_record(item.value)
        return self.remember_open(job, item.mod_revision, record.spec.tasks, record.cancelled_at is not None)

    def on_ended_stored(self, key: str, value: msgspec.Raw) -> None:
        """Called when an ended key was followed, or written by this node."""
        job, record = JobId(key.removeprefix(ENDED_PREFIX)), decode_ended(value)
        if record.is_proven and job in self._end_waiters:
            self.remember_ended(job, record)

    def _cached_open_job(self, job: JobId) -> OpenJob | None:
        """Return the revision to compare: as last read, or as the replica holds it."""
        with self._lock:
            open_job = self._open_cache.get(job)
        if (open_job is None or open_job is ABSENT_JOB) and (item := self._read_replica(open_key(job))) is not None:
            return self.remember_open_item(job, item)
        return open_job

    # Lookups

    async def wait_for_end(self, job: JobId, timeout_s: Seconds) -> EndedRecord | None:
        """Return the job's end if it is stored within this time, else None.

        The end is learned from the replica's feed where there is one, and by one read at the end of the time. Raises
        what the store client raises.
        """
        if (ended := self.find_final(job)) is not None:
            return ended
        if timeout_s > 0 and sum(map(len, self._end_waiters.values())) < MAX_END_WAITERS:
            try:
                return await self._add_end_waiter(job, timeout_s)
            except DeferredTimeout:
                pass
        found = await self.find(job)
        return found if isinstance(found, EndedRecord) else None

    async def _add_end_waiter(self, job: JobId, timeout_s: Seconds) -> EndedRecord:
        waiter: Deferred[EndedRecord] = Deferred()
        with self._lock:
            self._end_waiters.setdefault(job, []).append(waiter)
        waiter.addTimeout(timeout_s, self._clock)  # type: ignore[arg-type]
        try:
            return await waiter
        except DeferredTimeout:
            with self._lock:
                remaining = [other for other in self._end_waiters.pop(job, []) if other is not waiter]
                if remaining:
                    self._end_waiters[job] = remaining
            raise

    def find(self, job: JobId) -> Deferred[JobLookupResult]:
        """Return the job's state by a read that begins after this call; None for one that was never accepted."""
        answer: Deferred[JobLookupResult] = Deferred()
        ended = self.find_final(job)
        if ended is not None:
            answer.callback(ended)
        else:
            with self._lock:
                self._pending_lookups.setdefault(job, []).append(answer)
            self._schedule_batch()
        return answer

    def _schedule_batch(self) -> None:
        if not self._is_batch_scheduled and self._pending_lookups and self._running_batches < MAX_CONCURRENT_BATCHES:
            self._is_batch_scheduled = True
            self._clock.callLater(BATCH_DELAY_S, self._begin_batch)

    def _begin_batch(self) -> None:
        self._is_batch_scheduled = False
        batch: _Batch = {}
        with self._lock:
            # An absent job takes two conditions.
            while self._pending_lookups and len(batch) < self._store.max_conditions // 2:
                job = next(iter(self._pending_lookups))
                batch[job] = self._pending_lookups.pop(job)
        self._running_batches += 1
        Deferred.fromCoroutine(self._run_batch(batch))
        self._schedule_batch()

    async def _run_batch(self, batch: _Batch) -> None:
        results: _Results = {}
        failure: Exception = StoreUnavailableError("not read")
        try:
            await self._read_jobs(list(batch), results, lambda: _deliver_results(batch, results))
        except Exception as error:  # noqa: BLE001 - whatever went wrong is the answer of all lookups without a result
            failure = error
        finally:
            self._running_batches -= 1
            self._schedule_batch()
        _deliver_results(batch, results)
        for answers in batch.values():
            for answer in answers:
                answer.errback(failure)

    async def _read_jobs(self, jobs: list[JobId], results: _Results, on_some_results: Callable[[], None]) -> None:
        """Put the jobs' states into `results`; a failing read leaves some out.

        `on_some_results` is called before more is read, so that answers do not grow old while others are awaited.
        """
        cached = {job: open_job for job in jobs if (open_job := self._cached_open_job(job)) is not None}
        unread = await self._read_unchanged(jobs, cached, results)
        on_some_results()
        unknown = [job for job in unread if cached.get(job, ABSENT_JOB) is ABSENT_JOB]
        if len(unknown) >= RANGE_READ_MIN_JOBS:
            await self._read_range(unknown, results)
        await _await_all(self._read_job(job, results) for job in unread if job not in results)

    async def _read_unchanged(self, jobs: list[JobId], cached: dict[JobId, OpenJob], results: _Results) -> list[JobId]:
        """Put the jobs that are as cached into `results`, by one comparison; return the others."""
        conditions: list[Condition] = []
        for job, open_job in cached.items():
            if open_job is ABSENT_JOB:
                conditions.extend(absence_conditions(job))
            else:
                conditions.append(Condition(open_key(job), open_job.mod_revision))
        changed_keys = await self._store.find_changed_keys(conditions) if conditions else set()
        unread: list[JobId] = []
        for job in jobs:
            cached_job = cached.get(job)
            if (ended := self.find_final(job)) is not None:
                results[job] = ended
            elif cached_job is None or open_key(job) in changed_keys or ended_key(job) in changed_keys:
                unread.append(job)
            else:
                results[job] = None if cached_job is ABSENT_JOB else cached_job
        return unread

    async def _read_range(self, jobs: list[JobId], results: _Results) -> None:
        """Put those of the jobs that are open into `results`, by listing all open jobs."""
        listing = await self._store.list_items(OPEN_PREFIX, RequestPriority.USER)
        items_by_key = {item.key: item for item in listing.items}
        for job in jobs:
            item = items_by_key.get(open_key(job))
            if item is not None:
                results[job] = self.remember_open_item(job, item)

    async def _read_job(self, job: JobId, results: _Results) -> None:
        """Put the job's state into `results`, read under its own keys.

        Jobs move from the open to the ended key in one transaction, so a job found under neither, read in this order,
        was never accepted. What was read is compared once more, under the store epoch's condition and with the
        service's revision: a service that came back empty, or as it was before, must not be believed.
        """
        was_replicated = self._read_replica(open_key(job)) is not None
        for _ in range(MAX_READ_TRIES):
            item = await self._store.get(open_key(job))
            if item is not None:
                if await self._is_unchanged([Condition(open_key(job), item.mod_revision)]):
                    results[job] = self.remember_open_item(job, item)
                    return
                continue
            item = await self._store.get(ended_key(job))
            if item is not None:
                results[job] = self._ended_result(job, item)
                return
            if await self._is_unchanged(absence_conditions(job)):
                self._check_not_lost(job, was_replicated)
                with self._lock:
                    _remember(self._open_cache, job, ABSENT_JOB)
                results[job] = None
                return
        message = f"job {job} is just changing"
        raise StoreUnavailableError(message)

    def _ended_result(self, job: JobId, item: Item) -> EndedRecord | OpenJob:
        record = decode_ended(item.value)
        if record.is_proven:
            return self.remember_ended(job, record)
        return OpenJob(item.mod_revision, record.task_count, is_cancelled=True, is_unrecorded=True)

    def _check_not_lost(self, job: JobId, was_replicated: bool) -> None:
        """Report a job that the replica held before the store was asked: an open job only moves to the ended key."""
        if was_replicated:
            self._on_missing(job)
            message = f"job {job} is missing"
            raise StoreUnavailableError(message)

    async def _is_unchanged(self, conditions: list[Condition]) -> bool:
        """Whether what was read holds in the known store epoch; nothing is asked without epochs."""
        return self._store.guard is None or not await self._store.find_changed_keys(conditions)


async def _await_all(coroutines: Iterable[Coroutine[Any, Any, None]]) -> None:
    """Wait for all; then raise the first failure, if any."""
    running = [Deferred.fromCoroutine(coroutine) for coroutine in coroutines]
    outcomes: list[tuple[bool, Any]] = await DeferredList(running, consumeErrors=True)
    for has_succeeded, outcome in outcomes:
        if not has_succeeded:
            outcome.raiseException()


def _deliver_results(batch: _Batch, results: _Results) -> None:
    for job in [job for job in batch if job in results]:
        for answer in batch.pop(job):
            answer.callback(results[job])


V = TypeVar("V")


def _remember(cache: OrderedDict[JobId, V], job: JobId, value: V) -> None:
    """Add the newest entry to the cache, which drops its oldest ones beyond MAX_CACHED_JOBS."""
    cache.pop(job, None)
    cache[job] = value
    while len(cache) > MAX_CACHED_JOBS:
        cache.popitem(last=False)
