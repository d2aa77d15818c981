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
from meadowcross.common.types import JobId, Mark, Seconds
from meadowcross.jobs import messages as m
from meadowcross.store import messages as sm
from meadowcross.store.budget import Urgency
from meadowcross.store.client import StoreClient, Unavailable

ROUND_S: Seconds = 0.02
"""Questions are gathered for so long; a round is a request, so this also spaces requests."""
ROUNDS_AT_ONCE = 2
"""One may hang on a lost answer; the other goes on."""
RANGE_FROM = 8
"""So many unknown open jobs are cheaper to read as a range than one by one."""
MAX_REMEMBERED = 5_000
MAX_AWAITED = 500
"""So many requests may wait for ends at once; the others are answered without."""


class Open(NamedTuple):
    """An open job as last read: its record's version and its number of tasks."""

    mark: Mark
    tasks: int
    cancelled: bool = False
    """Its cancel is stored; its tasks are not proven gone."""
    unrecorded: bool = False
    """It is stored under the ended key, as the job's record was lost."""


ABSENT = Open(Mark(0), 0)
"""Remembered of an id that was never submitted, as of the last read."""

Found = m.EndedRecord | Open | None


Followed = Callable[[str], sm.Item | None]
"""What this node's picture of the store holds under a key; it may lag."""


class Lookup:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        followed: Followed = lambda key: None,
        missing: Callable[[JobId], None] = lambda job: None,
    ) -> None:
        self._missing = missing
        self._followed = followed
        self._clock = clock
        self._store = store
        self._lock = Lock()
        self._ended: OrderedDict[JobId, m.EndedRecord] = OrderedDict()
        self._open: OrderedDict[JobId, Open] = OrderedDict()
        self._waiting: dict[JobId, list[Deferred[Found]]] = {}
        self._awaited: dict[JobId, list[Deferred[m.EndedRecord]]] = {}
        """Who waits for the end of a job to be stored."""
        self._rounds = 0
        self._round_set = False

    def final(self, job: JobId) -> m.EndedRecord | None:
        with self._lock:
            ended = self._ended.get(job)
        if ended is None and (item := self._followed(m.ended_key(job))) is not None:
            # A picture that lags may lack an end, but ends never change: no request is needed.
            record = m.decode_ended(item.value)
            ended = self.ended(job, record) if record.proven else None
        return ended

    def _remembered(self, job: JobId) -> Open | None:
        """The version to compare: as last read, or as followed."""
        with self._lock:
            seen = self._open.get(job)
        if (seen is None or seen is ABSENT) and (item := self._followed(m.open_key(job))) is not None:
            return self.seen(job, item)
        return seen

    def ended(self, job: JobId, record: m.EndedRecord) -> m.EndedRecord:
        """Only final states may be answered from memory: they never change."""
        with self._lock:
            self._open.pop(job, None)
            _remember(self._ended, job, record)
            awaited = self._awaited.pop(job, [])
        for answer in awaited:
            answer.callback(record)
        return record

    def stored(self, key: str, value: msgspec.Raw) -> None:
        """An ended key was followed, or written by this node."""
        job, record = JobId(key.removeprefix(m.ENDED)), m.decode_ended(value)
        if record.proven and job in self._awaited:
            self.ended(job, record)

    async def end(self, job: JobId, most: Seconds) -> m.EndedRecord | None:
        """The job's end, if it is stored within this time. It is waited for where this node follows the store, and
        read once at the last. Raises what the store client raises."""
        if (ended := self.final(job)) is not None:
            return ended
        if most > 0 and sum(map(len, self._awaited.values())) < MAX_AWAITED:
            answer: Deferred[m.EndedRecord] = Deferred()
            with self._lock:
                self._awaited.setdefault(job, []).append(answer)
            answer.addTimeout(most, self._clock)  # type: ignore[arg-type]
            try:
                return await answer
            except DeferredTimeout:
                with self._lock:
                    left = [one for one in self._awaited.pop(job, []) if one is not answer]
                    if left:
                        self._awaited[job] = left
        found = await self.find(job)
        return found if isinstance(found, m.EndedRecord) else None

    def opened(self, job: JobId, mark: Mark, tasks: int, cancelled: bool = False) -> Open:
        """Remembered to be compared, never to be answered from."""
        seen = Open(mark, tasks, cancelled)
        with self._lock:
            _remember(self._open, job, seen)
        return seen

    def seen(self, job: JobId, item: sm.Item) -> Open:
        """An open key as just read."""
        record = m.decode_record(item.value)
        return self.opened(job, item.mark, record.spec.tasks, record.cancelled is not None)

    def find(self, job: JobId) -> Deferred[Found]:
        """The job's state by a read that begins after this call."""
        answer: Deferred[Found] = Deferred()
        ended = self.final(job)
        if ended is not None:
            answer.callback(ended)
        else:
            with self._lock:
                self._waiting.setdefault(job, []).append(answer)
            self._arm()
        return answer

    def _arm(self) -> None:
        if not self._round_set and self._waiting and self._rounds < ROUNDS_AT_ONCE:
            self._round_set = True
            self._clock.callLater(ROUND_S, self._begin)

    def _begin(self) -> None:
        self._round_set = False
        with self._lock:
            taken: dict[JobId, list[Deferred[Found]]] = {}
            # An absent job takes two conditions.
            while self._waiting and len(taken) < self._store.max_conditions // 2:
                job = next(iter(self._waiting))
                taken[job] = self._waiting.pop(job)
        self._rounds += 1
        Deferred.fromCoroutine(self._round(taken))
        self._arm()

    async def _round(self, taken: dict[JobId, list[Deferred[Found]]]) -> None:
        found: dict[JobId, Found] = {}
        failure: Exception = Unavailable("not read")
        try:
            await self._read(list(taken), found, lambda: _deliver(taken, found))
        except Exception as error:
            failure = error
        finally:
            self._rounds -= 1
            self._arm()
        _deliver(taken, found)
        for answers in taken.values():
            for answer in answers:
                answer.errback(failure)

    async def _read(self, jobs: Iterable[JobId], found: dict[JobId, Found], some_found: Callable[[], None]) -> None:
        """Put into `found` what is found out; what a failing read leaves is unanswered. `some_found` is told before
        more is read: an answer that waits for others' grows old."""
        known = {job: seen for job in jobs if (seen := self._remembered(job)) is not None}
        conditions = []
        for job, seen in known.items():
            conditions.append(sm.Condition(m.open_key(job), seen.mark))
            if seen is ABSENT:
                conditions.append(sm.Condition(m.ended_key(job), Mark(0)))
        changed = await self._store.compare(conditions) if conditions else set()
        unread = []
        for job in jobs:
            if (ended := self.final(job)) is not None:
                found[job] = ended
                continue
            remembered = known.get(job)
            if remembered is None or m.open_key(job) in changed or m.ended_key(job) in changed:
                unread.append(job)
            else:
                found[job] = None if remembered is ABSENT else remembered
        some_found()
        unknown = [job for job in unread if known.get(job, ABSENT) is ABSENT]
        if len(unknown) >= RANGE_FROM:
            items, _ = await self._store.list(m.OPEN, Urgency.USER)
            by_key = {item.key: item for item in items}
            for job in unknown:
                item = by_key.get(m.open_key(job))
                if item is not None:
                    found[job] = self.seen(job, item)
        await _all(self._read_one(job, found) for job in unread if job not in found)

    async def _read_one(self, job: JobId, found: dict[JobId, Found]) -> None:
        """Jobs move from the open to the ended key in one transaction, so a job found under
        neither, in this order, was never accepted. What was read is compared once more, under the era's condition and
        with the store's count: a store that came back empty, or as it was before, knows no better."""
        followed = self._followed(m.open_key(job)) is not None
        for _ in range(2):
            item = await self._store.get(m.open_key(job))
            if item is not None:
                if await self._still([sm.Condition(m.open_key(job), item.mark)]):
                    found[job] = self.seen(job, item)
                    return
                continue
            item = await self._store.get(m.ended_key(job))
            if item is not None:
                record = m.decode_ended(item.value)
                found[job] = self.ended(job, record) if record.proven else Open(item.mark, record.tasks, True, True)
                return
            if await self._still([sm.Condition(m.open_key(job), Mark(0)), sm.Condition(m.ended_key(job), Mark(0))]):
                if followed:
                    # Known before we asked, and an open job only ever moves to the ended key.
                    self._missing(job)
                    raise Unavailable(f"job {job} is missing")
                with self._lock:
                    _remember(self._open, job, ABSENT)
                found[job] = None
                return
        raise Unavailable(f"job {job} is just changing")

    async def _still(self, conditions: list[sm.Condition]) -> bool:
        """Whether what was read holds in our era; without eras there is nothing to ask."""
        return self._store.guard is None or not await self._store.compare(conditions)


async def _all(work: Iterable[Coroutine[Any, Any, None]]) -> None:
    """Wait for all; then raise the first failure, if any."""
    begun = [Deferred.fromCoroutine(one) for one in work]
    outcomes: list[tuple[bool, Any]] = await DeferredList(begun, consumeErrors=True)
    for good, outcome in outcomes:
        if not good:
            outcome.raiseException()


def _deliver(taken: dict[JobId, list[Deferred[Found]]], found: dict[JobId, Found]) -> None:
    for job in [job for job in taken if job in found]:
        for answer in taken.pop(job):
            answer.callback(found[job])


V = TypeVar("V")


def _remember(memory: OrderedDict[JobId, V], job: JobId, value: V) -> None:
    memory.pop(job, None)
    memory[job] = value
    while len(memory) > MAX_REMEMBERED:
        memory.popitem(last=False)
