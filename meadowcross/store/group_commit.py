"""Group commit: stores the leader's writes in one transaction at a time, retried until its outcome is known.

Each attempt builds its writes from the current state in memory, so that a retry stores current values. Each write
carries the revisions that it depends on as conditions, so that a transaction applied late by the service fails.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Hashable, Sequence
from dataclasses import dataclass
from threading import Lock
from typing import NamedTuple

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, Revision, Seconds
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.messages import Change, Condition, Put
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("store")

MAX_TRANSACTION_BYTES = 56 * 1024
CHANGE_OVERHEAD_BYTES = 40
"""Upper bound of the bytes that a change takes in a request in addition to its key and value."""
BACKGROUND_DELAY_S: Seconds = 0.25
CLOCK_TOLERANCE_S: Seconds = 1e-3
CONFLICTS_BEFORE_PAUSE = 2
CONFLICT_PAUSE_S: Seconds = 0.02
FAILURE_PAUSE_S: Seconds = 0.05
MAX_PAUSE_S: Seconds = 0.5
ERROR_PAUSE_S: Seconds = 1.0


@dataclass(slots=True)
class Write:
    """Changes that are stored together, the conditions for storing them, and a callback for their revision."""

    conditions: list[Condition]
    changes: list[Change]
    on_stored: Callable[[Revision], None]

    def estimate_bytes(self) -> int:
        """Return an upper bound of the size of the changes in a transaction, in bytes."""
        return sum(
            len(change.key) + CHANGE_OVERHEAD_BYTES + (len(bytes(change.value)) if isinstance(change, Put) else 0)
            for change in self.changes
        )


WriteFactory = Callable[[], Write | None]
"""Builds a write from the current state; returns None if there is nothing left to store."""


class _BatchedWrite(NamedTuple):
    write_id: Hashable
    factory: WriteFactory
    write: Write
    is_urgent: bool


class _Batch:
    """The writes of one transaction, within the limits of the state service."""

    def __init__(self, leader_condition: Condition, max_changes: int, max_conditions: int) -> None:
        self.writes: list[_BatchedWrite] = []
        self.changes: list[Change] = []
        self._conditions: dict[str, Condition] = {leader_condition.key: leader_condition}
        self._size_bytes = 0
        self._is_full = False
        self._max_changes = max_changes
        self._max_conditions = max_conditions

    def conditions(self) -> list[Condition]:
        """Return the conditions of all writes, one for each key."""
        return list(self._conditions.values())

    def has_room_for(self, write: Write) -> bool:
        """Whether the write fits into the transaction; a first write always does, since it must be attempted anyway."""
        return not self.writes or (
            not self._is_full
            and len(self.changes) + len(write.changes) <= self._max_changes
            and len(self._conditions) + len(write.conditions) <= self._max_conditions
            and self._size_bytes + write.estimate_bytes() <= MAX_TRANSACTION_BYTES
        )

    def add(self, batched: _BatchedWrite, is_alone: bool) -> None:
        """Add a write with its changes and conditions to the transaction; `is_alone` keeps further writes out."""
        write = batched.write
        self._is_full = is_alone
        self.writes.append(batched)
        self.changes.extend(write.changes)
        self._conditions.update((condition.key, condition) for condition in write.conditions)
        self._size_bytes += write.estimate_bytes()

    def priority(self) -> RequestPriority:
        """Return the priority of the transaction: that of its most urgent write."""
        is_urgent = any(batched.is_urgent for batched in self.writes)
        return RequestPriority.PLACEMENT if is_urgent else RequestPriority.BACKGROUND


class GroupCommitter:
    """Stores the leader's writes: urgent writes at once, background writes after a short delay.

    Every transaction carries `leader_condition`, so that no transaction succeeds after the election of another leader.
    `reread_keys` must update the caller's known revisions of the given keys. `on_written` is called with all
    changes of a transaction, before the callbacks of its writes.
    """

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        leader_condition: Condition,
        reread_keys: Callable[[list[str]], Awaitable[None]],
        on_written: Callable[[Revision, Sequence[Change]], None] = lambda _revision, _changes: None,
    ) -> None:
        self._clock = clock
        self._store = store
        self._leader_condition = leader_condition
        self._reread_keys = reread_keys
        self._on_written = on_written
        self._lock = Lock()
        self._urgent: dict[Hashable, WriteFactory] = {}
        self._background: dict[Hashable, WriteFactory] = {}
        self._background_since: Instant | None = None
        self._wake: Deferred[None] | None = None
        self._is_stopped = False
        self._is_busy = False
        self._isolated: set[Hashable] = set()
        """Writes that may have made a transaction fail; each is stored in a transaction of its own."""

    def stop(self) -> None:
        """Stop `run` after the transaction in flight; queued writes are not stored."""
        self._is_stopped = True
        self._notify()

    def is_idle(self) -> bool:
        """Whether no transaction is in flight or being retried, so that the outcome of every transaction is known."""
        return not self._is_busy and not self._isolated

    def enqueue(self, write_id: Hashable, write_factory: WriteFactory, is_urgent: bool) -> None:
        """Queue a write unless one with the same id is queued; an urgent write replaces a background write."""
        with self._lock:
            if write_id in self._urgent:
                return
            if is_urgent:
                self._background.pop(write_id, None)
                self._urgent[write_id] = write_factory
            elif write_id not in self._background:
                self._background[write_id] = write_factory
                self._schedule_background()
        if is_urgent:
            self._notify()

    async def run(self) -> None:
        """Store queued writes until `stop` is called."""
        failures = conflicts = 0
        while not self._is_stopped:
            if not self._is_due():
                self._wake = Deferred()
                await self._wake
                continue
            self._is_busy = True
            try:
                conflicts = 0 if await self._commit_batch() else conflicts + 1
                failures = 0
                self._is_busy = False
                if conflicts > CONFLICTS_BEFORE_PAUSE:
                    # The keys of each conflict are read again, so successive conflicts may be due to different writes.
                    # A write that conflicts permanently must not use up the rate share.
                    await pause(self._clock, _backoff_s(CONFLICT_PAUSE_S, conflicts - CONFLICTS_BEFORE_PAUSE))
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                failures += 1
                log.debug("commit delayed failures=%d error=%s", failures, error)
                await pause(self._clock, _backoff_s(FAILURE_PAUSE_S, failures))
            except Exception:
                log.exception("commit failed")
                await pause(self._clock, ERROR_PAUSE_S)

    def _notify(self) -> None:
        wake, self._wake = self._wake, None
        if wake is not None:
            wake.callback(None)

    def _schedule_background(self) -> None:
        """Schedule a wake-up of `run` for when background writes are due. The caller must hold the lock."""
        if self._background and self._background_since is None:
            self._background_since = Instant(self._clock.seconds())
            self._clock.callLater(BACKGROUND_DELAY_S, self._notify)

    def _is_due(self) -> bool:
        if self._urgent:
            return True
        if self._background_since is None:
            return False
        return self._clock.seconds() - self._background_since >= BACKGROUND_DELAY_S - CLOCK_TOLERANCE_S

    def _collect_batch(self) -> _Batch:
        """Take writes from the queues, urgent writes first, up to the limits of a transaction."""
        batch = _Batch(self._leader_condition, self._store.max_changes, self._store.max_conditions)
        with self._lock:
            self._fill_batch(batch, self._urgent, is_urgent=True)
            self._fill_batch(batch, self._background, is_urgent=False)
            if not self._background:
                self._background_since = None
        return batch

    def _fill_batch(self, batch: _Batch, queue: dict[Hashable, WriteFactory], is_urgent: bool) -> None:
        for write_id, factory in list(queue.items()):
            is_alone = write_id in self._isolated
            if is_alone and batch.writes:
                continue
            boundary = ErrorBoundary(f"building write {write_id}")
            write: Write | None = None
            with boundary:
                write = factory()
            if boundary.has_failed:
                del queue[write_id]
                self._retry_later(write_id, factory, is_urgent)
                continue
            if write is None or not write.changes:
                del queue[write_id]
                self._isolated.discard(write_id)
                continue
            if not batch.has_room_for(write):
                return
            del queue[write_id]
            batch.add(_BatchedWrite(write_id, factory, write, is_urgent), is_alone)

    def _retry_later(self, write_id: Hashable, factory: WriteFactory, is_urgent: bool) -> None:
        """Queue a faulty write again after `ERROR_PAUSE_S`; the other writes do not wait for it."""
        self._clock.callLater(ERROR_PAUSE_S, self.enqueue, write_id, factory, is_urgent)

    async def _commit_batch(self) -> bool:
        """Store one batch of queued writes, if there are any; return False if a condition did not hold."""
        batch = self._collect_batch()
        if not batch.writes:
            return True
        revision: Revision | None = None
        is_isolated = False
        try:
            revision = await self._transact(batch)
        except (StoreUnavailableError, IndeterminateResultError):
            raise
        except Exception:
            # Rejected by the store, or an error of this program: one write must not block the other writes.
            is_isolated = len(batch.writes) == 1
            self._isolate(batch)
            if not is_isolated:
                raise
            log.exception("commit of one write failed write=%s", batch.writes[0].write_id)
        finally:
            if revision is None and not is_isolated:
                self._requeue(batch)
        if revision is None:
            return is_isolated
        self._report_stored(batch, revision)
        return True

    async def _transact(self, batch: _Batch) -> Revision | None:
        """Store the batch and return its revision; return None, with the failed keys read again, after a conflict.

        Raises the errors of `StoreClient.transact` other than ConflictError, and those of reading the keys again.
        """
        conditions = batch.conditions()
        try:
            return await self._store.transact(conditions, batch.changes, batch.priority())
        except ConflictError as conflict:
            await self._reread_keys(conflict.failed_keys)
            return None
        except IndeterminateResultError:
            await self._reread_changed(conditions)
            raise

    def _isolate(self, batch: _Batch) -> None:
        """Store the writes of a failed transaction one by one from now on; a single one is tried again later."""
        self._isolated.update(batched.write_id for batched in batch.writes)
        if len(batch.writes) == 1:
            batched = batch.writes[0]
            self._retry_later(batched.write_id, batched.factory, batched.is_urgent)

    def _report_stored(self, batch: _Batch, revision: Revision) -> None:
        """Call the callbacks of a stored transaction; an error of one does not keep the others from being called."""
        with ErrorBoundary("applying a stored transaction"):
            self._on_written(revision, batch.changes)
        for batched in batch.writes:
            self._isolated.discard(batched.write_id)
            if not self._is_stopped:
                with ErrorBoundary(f"applying stored write {batched.write_id}"):
                    batched.write.on_stored(revision)

    async def _reread_changed(self, conditions: Sequence[Condition]) -> None:
        """Read the keys again that changed since a transaction without an answer was built.

        The service may still apply the transaction late. Each write has the revision of its own key as a condition, so
        afterwards either the transaction is visible or the retry makes it fail. One comparison determines which keys to
        read: reading all keys kept a leader from placing tasks for seconds while the state service was slow.
        """
        changed_keys = await self._store.find_changed_keys(conditions, RequestPriority.PLACEMENT)
        await self._reread_keys([condition.key for condition in conditions if condition.key in changed_keys])

    def _requeue(self, batch: _Batch) -> None:
        """Queue the writes of a failed transaction again, unless newer writes with the same ids are queued."""
        with self._lock:
            for batched in batch.writes:
                queue = self._urgent if batched.is_urgent else self._background
                queue.setdefault(batched.write_id, batched.factory)
            # Otherwise a failed write would wait forever if no other write is queued later.
            self._schedule_background()


def _backoff_s(first_s: Seconds, exponent: int) -> Seconds:
    return min(first_s * 2.0**exponent, MAX_PAUSE_S)
