"""Group commit: one leader transaction in flight, rebuilt until its outcome is known.

Units are rebuilt from memory at each try, so a retry stores what is true now. Each
carries the versions it rests on; a transaction that is applied late fails on them.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Hashable, Sequence
from dataclasses import dataclass
from threading import Lock

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Revision, Seconds
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.messages import Condition, Delete, Put
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("store")

MAX_TRANSACTION_BYTES = 56 * 1024
BACKGROUND_DELAY_S: Seconds = 0.25
CONFLICTS_BEFORE_PAUSE = 2


@dataclass(slots=True)
class Write:
    """One unit's part of a transaction."""

    conditions: list[Condition]
    changes: list[Put | Delete]
    on_stored: Callable[[Revision], None]

    def estimate_bytes(self) -> int:
        return sum(len(c.key) + 40 + (len(bytes(c.value)) if isinstance(c, Put) else 0) for c in self.changes)


WriteFactory = Callable[[], Write | None]


class GroupCommitter:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        leader_condition: Condition,
        reread_keys: Callable[[list[str]], Awaitable[None]],
        on_written: Callable[[Revision, Sequence[Put | Delete]], None] = lambda mark, changes: None,
    ) -> None:
        self._on_written = on_written
        self._clock = clock
        self._store = store
        self._leader_condition = leader_condition
        self._reread_keys = reread_keys
        self._lock = Lock()
        self._urgent: dict[Hashable, WriteFactory] = {}
        self._background: dict[Hashable, WriteFactory] = {}
        self._background_since: float | None = None
        self._wake: Deferred[None] | None = None
        self._is_stopped = False
        self._commits_singly = False
        self._is_busy = False

    def stop(self) -> None:
        self._is_stopped = True
        self._notify()

    def enqueue(self, write_id: Hashable, write_factory: WriteFactory, is_urgent: bool) -> None:
        with self._lock:
            if write_id in self._urgent:
                return
            if is_urgent:
                self._background.pop(write_id, None)
                self._urgent[write_id] = write_factory
            elif write_id not in self._background:
                self._background[write_id] = write_factory
                if self._background_since is None:
                    self._background_since = self._clock.seconds()
                    self._clock.callLater(BACKGROUND_DELAY_S, self._notify)
        if is_urgent:
            self._notify()

    def _notify(self) -> None:
        wake, self._wake = self._wake, None
        if wake is not None:
            wake.callback(None)

    def is_idle(self) -> bool:
        """Whether nothing is being written, so that all that was is known to be stored or not."""
        return not self._is_busy

    def _is_due(self) -> bool:
        is_background_due = (
            self._background_since is not None
            and self._clock.seconds() - self._background_since >= BACKGROUND_DELAY_S - 1e-3
        )
        return bool(self._urgent) or is_background_due

    async def run(self) -> None:
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
                    # Each conflict is followed by a re-read, so units of their own may conflict one after the other.
                    # One that conflicts for ever would ask the store as fast as the budget lets it.
                    await pause(self._clock, min(0.02 * 2 ** (conflicts - CONFLICTS_BEFORE_PAUSE), 0.5))
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                failures += 1
                log.debug("commit waits: %s", error)
                await pause(self._clock, min(0.05 * 2**failures, 0.5))
            except Exception:
                log.exception("commit failed")
                await pause(self._clock, 1.0)

    def _collect_batch(
        self,
    ) -> tuple[dict[Hashable, tuple[WriteFactory, Write, bool]], list[Condition], list[Put | Delete]]:
        """Urgent units first, then the others, up to a transaction's limits."""
        batch: dict[Hashable, tuple[WriteFactory, Write, bool]] = {}
        conditions: dict[str, Condition] = {self._leader_condition.key: self._leader_condition}
        changes: list[Put | Delete] = []
        size_bytes = 0
        with self._lock:
            for queue, is_urgent in ((self._urgent, True), (self._background, False)):
                for write_id in list(queue):
                    write = queue[write_id]()
                    if write is None or not write.changes:
                        del queue[write_id]
                        continue
                    if batch and (
                        self._commits_singly
                        or len(changes) + len(write.changes) > self._store.max_changes
                        or len(conditions) + len(write.conditions) > self._store.max_conditions
                        or size_bytes + write.estimate_bytes() > MAX_TRANSACTION_BYTES
                    ):
                        break
                    batch[write_id] = (queue.pop(write_id), write, is_urgent)
                    conditions.update((c.key, c) for c in write.conditions)
                    changes.extend(write.changes)
                    size_bytes += write.estimate_bytes()
            if not self._background:
                self._background_since = None
        return batch, list(conditions.values()), changes

    async def _commit_batch(self) -> bool:
        """Store what is due, if anything is; False: a condition did not hold."""
        batch, conditions, changes = self._collect_batch()
        if not batch:
            return True
        is_stored = False
        try:
            is_urgent = any(was_urgent for _, _, was_urgent in batch.values())
            revision = await self._store.transact(
                conditions, changes, RequestPriority.PLACEMENT if is_urgent else RequestPriority.BACKGROUND
            )
            is_stored = True
            self._commits_singly = False
            self._on_written(revision, changes)
        except ConflictError as conflict:
            await self._reread_keys(conflict.failed_keys)
        except IndeterminateResultError:
            # It may still be applied late; every unit's own version is a condition, so
            # after this re-read either it is seen, or our retry makes it fail. One comparison tells what to read: all
            # of it, key by key, kept a leader from placing for seconds while the state service was slow.
            changed_keys = await self._store.find_changed_keys(conditions, RequestPriority.PLACEMENT)
            await self._reread_keys([c.key for c in conditions if c.key in changed_keys])
            raise
        except RequestRejectedError:
            # One unit that the service refuses must not hold up the others.
            self._commits_singly = True
            raise
        finally:
            if not is_stored:
                with self._lock:
                    for write_id, (write_factory, _, was_urgent) in batch.items():
                        (self._urgent if was_urgent else self._background).setdefault(write_id, write_factory)
                    if self._background and self._background_since is None:
                        self._background_since = self._clock.seconds()
                        # Else a failed unit that nothing follows would wait for ever.
                        self._clock.callLater(BACKGROUND_DELAY_S, self._notify)
        if is_stored and not self._is_stopped:
            for _, write, _ in batch.values():
                write.on_stored(revision)
        return is_stored
