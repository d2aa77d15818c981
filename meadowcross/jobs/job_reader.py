"""What a job is now, by a fresh read that questions share.

A non-final answer, or that a job is unknown, must rest on a read that began after the
question came. One read may answer many: the questions that wait become one transaction
without changes, which compares the versions that this node remembers; only jobs whose
version has changed are read one by one, and many unknown ones by one range read.
Asked one by one, a swarm's questions alone once spent a node's whole request budget, and
submissions timed out behind them.
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
from meadowcross.jobs import messages as m
from meadowcross.store import messages as sm
from meadowcross.store.client import StoreClient, StoreUnavailableError
from meadowcross.store.token_bucket import RequestPriority

BATCH_DELAY_S: Seconds = 0.02
"""Questions are gathered for so long; a round is a request, so this also spaces requests."""
MAX_CONCURRENT_BATCHES = 2
"""One may hang on a lost answer; the other goes on."""
RANGE_READ_MIN_JOBS = 8
"""So many unknown open jobs are cheaper to read as a range than one by one."""
MAX_CACHED_JOBS = 5_000
MAX_END_WAITERS = 500
"""So many requests may wait for ends at once; the others are answered without."""


class OpenJob(NamedTuple):
    """An open job as last read: its record's version and its number of tasks."""

    mod_revision: Revision
    task_count: int
    is_cancelled: bool = False
    """Its cancel is stored; its tasks are not proven gone."""
    is_unrecorded: bool = False
    """It is stored under the ended key, as the job's record was lost."""


ABSENT_JOB = OpenJob(Revision(0), 0)
"""Remembered of an id that was never submitted, as of the last read."""

JobLookupResult = m.EndedRecord | OpenJob | None


ReplicaLookup = Callable[[str], sm.Item | None]
"""What this node's picture of the store holds under a key; it may lag."""


class JobReader:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        read_replica: ReplicaLookup = lambda key: None,
        on_missing: Callable[[JobId], None] = lambda job: None,
    ) -> None:
        self._on_missing = on_missing
        self._read_replica = read_replica
        self._clock = clock
        self._store = store
        self._lock = Lock()
        self._ended_cache: OrderedDict[JobId, m.EndedRecord] = OrderedDict()
        self._open_cache: OrderedDict[JobId, OpenJob] = OrderedDict()
        self._pending_lookups: dict[JobId, list[Deferred[JobLookupResult]]] = {}
        self._end_waiters: dict[JobId, list[Deferred[m.EndedRecord]]] = {}
        """Who waits for the end of a job to be stored."""
        self._running_batches = 0
        self._is_batch_scheduled = False

    def find_final(self, job: JobId) -> m.EndedRecord | None:
        with self._lock:
            ended = self._ended_cache.get(job)
        if ended is None and (item := self._read_replica(m.ended_key(job))) is not None:
            # A picture that lags may lack an end, but ends never change: no request is needed.
            record = m.decode_ended(item.value)
            ended = self.remember_ended(job, record) if record.is_proven else None
        return ended

    def _cached_open_job(self, job: JobId) -> OpenJob | None:
        """The version to compare: as last read, or as followed."""
        with self._lock:
            open_job = self._open_cache.get(job)
        if (open_job is None or open_job is ABSENT_JOB) and (item := self._read_replica(m.open_key(job))) is not None:
            return self.remember_open_item(job, item)
        return open_job

    def remember_ended(self, job: JobId, record: m.EndedRecord) -> m.EndedRecord:
        """Only final states may be answered from memory: they never change."""
        with self._lock:
            self._open_cache.pop(job, None)
            _remember(self._ended_cache, job, record)
            waiters = self._end_waiters.pop(job, [])
        for waiter in waiters:
            waiter.callback(record)
        return record

    def on_ended_stored(self, key: str, value: msgspec.Raw) -> None:
        """An ended key was followed, or written by this node."""
        job, record = JobId(key.removeprefix(m.ENDED_PREFIX)), m.decode_ended(value)
        if record.is_proven and job in self._end_waiters:
            self.remember_ended(job, record)

    async def wait_for_end(self, job: JobId, timeout_s: Seconds) -> m.EndedRecord | None:
        """The job's end, if it is stored within this time. It is waited for where this node follows the store, and
        read once at the last. Raises what the store client raises."""
        if (ended := self.find_final(job)) is not None:
            return ended
        if timeout_s > 0 and sum(map(len, self._end_waiters.values())) < MAX_END_WAITERS:
            waiter: Deferred[m.EndedRecord] = Deferred()
            with self._lock:
                self._end_waiters.setdefault(job, []).append(waiter)
            waiter.addTimeout(timeout_s, self._clock)  # type: ignore[arg-type]
            try:
                return await waiter
            except DeferredTimeout:
                with self._lock:
                    remaining = [one for one in self._end_waiters.pop(job, []) if one is not waiter]
                    if remaining:
                        self._end_waiters[job] = remaining
        found = await self.find(job)
        return found if isinstance(found, m.EndedRecord) else None

    def remember_open(self, job: JobId, mod_revision: Revision, task_count: int, is_cancelled: bool = False) -> OpenJob:
        """Remembered to be compared, never to be answered from."""
        open_job = OpenJob(mod_revision, task_count, is_cancelled)
        with self._lock:
            _remember(self._open_cache, job, open_job)
        return open_job

    def remember_open_item(self, job: JobId, item: sm.Item) -> OpenJob:
        """An open key as just read."""
        record = m.decode_record(item.value)
        return self.remember_open(job, item.mod_revision, record.spec.tasks, record.cancelled_at is not None)

    def find(self, job: JobId) -> Deferred[JobLookupResult]:
        """The job's state by a read that begins after this call."""
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
        with self._lock:
            batch: dict[JobId, list[Deferred[JobLookupResult]]] = {}
            # An absent job takes two conditions.
            while self._pending_lookups and len(batch) < self._store.max_conditions // 2:
                job = next(iter(self._pending_lookups))
                batch[job] = self._pending_lookups.pop(job)
        self._running_batches += 1
        Deferred.fromCoroutine(self._run_batch(batch))
        self._schedule_batch()

    async def _run_batch(self, batch: dict[JobId, list[Deferred[JobLookupResult]]]) -> None:
        results: dict[JobId, JobLookupResult] = {}
        failure: Exception = StoreUnavailableError("not read")
        try:
            await self._read_jobs(list(batch), results, lambda: _deliver_results(batch, results))
        except Exception as error:
            failure = error
        finally:
            self._running_batches -= 1
            self._schedule_batch()
        _deliver_results(batch, results)
        for answers in batch.values():
            for answer in answers:
                answer.errback(failure)

    async def _read_jobs(
        self, jobs: Iterable[JobId], results: dict[JobId, JobLookupResult], on_some_results: Callable[[], None]
    ) -> None:
        """Put into `found` what is found out; what a failing read leaves is unanswered. `some_found` is told before
        more is read: an answer that waits for others' grows old."""
        known = {job: open_job for job in jobs if (open_job := self._cached_open_job(job)) is not None}
        conditions = []
        for job, open_job in known.items():
            conditions.append(sm.Condition(m.open_key(job), open_job.mod_revision))
            if open_job is ABSENT_JOB:
                conditions.append(sm.Condition(m.ended_key(job), Revision(0)))
        changed_keys = await self._store.find_changed_keys(conditions) if conditions else set()
        unread = []
        for job in jobs:
            if (ended := self.find_final(job)) is not None:
                results[job] = ended
                continue
            cached_job = known.get(job)
            if cached_job is None or m.open_key(job) in changed_keys or m.ended_key(job) in changed_keys:
                unread.append(job)
            else:
                results[job] = None if cached_job is ABSENT_JOB else cached_job
        on_some_results()
        unknown = [job for job in unread if known.get(job, ABSENT_JOB) is ABSENT_JOB]
        if len(unknown) >= RANGE_READ_MIN_JOBS:
            items, _ = await self._store.list_items(m.OPEN_PREFIX, RequestPriority.USER)
            by_key = {item.key: item for item in items}
            for job in unknown:
                item = by_key.get(m.open_key(job))
                if item is not None:
                    results[job] = self.remember_open_item(job, item)
        await _await_all(self._read_job(job, results) for job in unread if job not in results)

    async def _read_job(self, job: JobId, results: dict[JobId, JobLookupResult]) -> None:
        """Jobs move from the open to the ended key in one transaction, so a job found under
        neither, in this order, was never accepted. What was read is compared once more, under the era's condition and
        with the store's count: a store that came back empty, or as it was before, knows no better."""
        was_replicated = self._read_replica(m.open_key(job)) is not None
        for _ in range(2):
            item = await self._store.get(m.open_key(job))
            if item is not None:
                if await self._is_unchanged([sm.Condition(m.open_key(job), item.mod_revision)]):
                    results[job] = self.remember_open_item(job, item)
                    return
                continue
            item = await self._store.get(m.ended_key(job))
            if item is not None:
                record = m.decode_ended(item.value)
                results[job] = (
                    self.remember_ended(job, record)
                    if record.is_proven
                    else OpenJob(item.mod_revision, record.task_count, True, True)
                )
                return
            if await self._is_unchanged(
                [sm.Condition(m.open_key(job), Revision(0)), sm.Condition(m.ended_key(job), Revision(0))]
            ):
                if was_replicated:
                    # Known before we asked, and an open job only ever moves to the ended key.
                    self._on_missing(job)
                    raise StoreUnavailableError(f"job {job} is missing")
                with self._lock:
                    _remember(self._open_cache, job, ABSENT_JOB)
                results[job] = None
                return
        raise StoreUnavailableError(f"job {job} is just changing")

    async def _is_unchanged(self, conditions: list[sm.Condition]) -> bool:
        """Whether what was read holds in our era; without eras there is nothing to ask."""
        return self._store.guard is None or not await self._store.find_changed_keys(conditions)


async def _await_all(coroutines: Iterable[Coroutine[Any, Any, None]]) -> None:
    """Wait for all; then raise the first failure, if any."""
    running = [Deferred.fromCoroutine(one) for one in coroutines]
    outcomes: list[tuple[bool, Any]] = await DeferredList(running, consumeErrors=True)
    for has_succeeded, outcome in outcomes:
        if not has_succeeded:
            outcome.raiseException()


def _deliver_results(
    batch: dict[JobId, list[Deferred[JobLookupResult]]], results: dict[JobId, JobLookupResult]
) -> None:
    for job in [job for job in batch if job in results]:
        for answer in batch.pop(job):
            answer.callback(results[job])


V = TypeVar("V")


def _remember(memory: OrderedDict[JobId, V], job: JobId, value: V) -> None:
    memory.pop(job, None)
    memory[job] = value
    while len(memory) > MAX_CACHED_JOBS:
        memory.popitem(last=False)
