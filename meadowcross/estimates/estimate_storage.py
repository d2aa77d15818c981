"""Stores learned run times, and loads those that an earlier leader stored.

Records have a group commit of their own, so that they can't delay a placement: its requests have the lowest priority,
and it writes at most one entry a second. Like every transaction of a leader, each has the leader key as a condition.
A record holds the entry's whole state, never an increment, so a record that is written again after a lost response
counts once.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from meadowcross.common.clock import Clock, pause
from meadowcross.common.error_boundary import contain_errors
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Revision, Seconds
from meadowcross.estimates import messages as m
from meadowcross.estimates.run_time_model import RunTimeModel
from meadowcross.store import messages as sm
from meadowcross.store.client import IndeterminateResultError, RequestRejectedError, StoreClient, StoreUnavailableError
from meadowcross.store.group_commit import GroupCommitter, Write
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("estimates")

WRITE_INTERVAL_S: Seconds = 1.0
"""At most one entry is written in this time."""
MIN_UNSAVED_SHARE = 0.05
"""An entry is stored again once this share of its samples is unsaved ..."""
MAX_UNSAVED_S: Seconds = 30.0
"""... or this long after its last write, whichever comes first."""
MIN_LOAD_RETRY_S, MAX_LOAD_RETRY_S = 0.5, 8.0
PAGE_ENTRIES = 32
"""Entries in one list request: a page then stays far below the store's limit of 512 KiB."""
CHECK_INTERVAL_S: Seconds = 30.0
"""How often the storage checks whether an operator has deleted stored entries."""


class EstimateStorage:
    """Loads a leader's learned run times at the start of a term, and stores them while it lasts."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        leader_condition: sm.Condition,
        learned: RunTimeModel,
        reread_leader: Callable[[list[str]], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._store = store
        self._leader_condition = leader_condition
        self._learned = learned
        self._reread_leader = reread_leader
        self._committer = GroupCommitter(clock, store, leader_condition, self._reread)
        self._revisions: dict[str, Revision] = {}
        """By key: the revision at which the record was read or written last."""
        self._written_at: dict[str, float] = {}
        """By entry name: when its last write began, or when it first had unsaved samples."""
        self._writing_key: str | None = None
        """The key of the write in progress."""
        self._checked_at = clock.seconds()
        self._is_checking = False
        self._is_stopped = False
        self.is_loaded = False
        self.writes = 0
        self._loop = LoopingCall(contain_errors("storing estimates", self._on_tick))
        self._loop.clock = clock  # type: ignore[assignment]

    def start(self) -> None:
        """Start loading and writing in the background; placement does not wait for it."""
        if self._is_stopped:
            return
        for task in (self._load(), self._committer.run()):
            Deferred.fromCoroutine(task).addErrback(self._on_failure)

    def _on_failure(self, failure: Any) -> None:
        # The leader continues to work without stored estimates.
        log.error("storing estimates failed error=%s", failure.getTraceback())

    def stop(self) -> None:
        """Stop loading and writing, at the end of the term."""
        self._is_stopped = True
        self._committer.stop()
        if self._loop.running:
            self._loop.stop()

    async def _load(self) -> None:
        retry_s = MIN_LOAD_RETRY_S
        while not self._is_stopped:
            try:
                items, _ = await self._store.list_items(m.PREFIX, RequestPriority.BACKGROUND, PAGE_ENTRIES)
            except (
                StoreUnavailableError,
                IndeterminateResultError,
                RequestRejectedError,
                msgspec.DecodeError,
            ) as error:
                log.debug("loading estimates failed, will retry error=%s", error)
                await pause(self._clock, retry_s)
                retry_s = min(MAX_LOAD_RETRY_S, 2 * retry_s)
                continue
            if self._is_stopped:
                return
            for item in items:
                self._revisions[item.key] = item.mod_revision
                self._learned.add_stored(item.key, item.value)
            self._learned.drop_excess_stored()
            self.is_loaded = True
            log.info("loaded stored estimates count=%d", len(items))
            self._loop.start(WRITE_INTERVAL_S, now=False)
            return

    # Writing

    def _on_tick(self) -> None:
        if self._writing_key is not None:
            return
        now = self._clock.seconds()
        if now - self._checked_at >= CHECK_INTERVAL_S and not self._is_checking:
            self._is_checking = True
            Deferred.fromCoroutine(self._check()).addErrback(self._on_failure)
        if self._learned.evicted_keys:
            self._delete(self._learned.evicted_keys.pop())
            return
        name = self._next_entry_to_write(now)
        if name is not None:
            self._write(name, now)

    def _next_entry_to_write(self, now: float) -> str | None:
        """Return the entry with the largest unsaved share of samples; None if no entry needs a write yet."""
        best: tuple[float, str] | None = None
        for entry in self._learned.entries():
            unsaved = self._learned.unsaved.get(entry.name, 0.0)
            if unsaved <= 0:
                continue
            share = unsaved / max(entry.sample_count, 1.0)
            if now - self._written_at.setdefault(entry.name, now) >= MAX_UNSAVED_S:
                share += MIN_UNSAVED_SHARE
            if share >= MIN_UNSAVED_SHARE and (best is None or share > best[0]):
                best = (share, entry.name)
        return best[1] if best is not None else None

    def _write(self, name: str, now: float) -> None:
        key = m.store_key(name)
        self._writing_key = key
        self._written_at[name] = now

        def build() -> Write | None:
            saved_samples = self._learned.unsaved.pop(name, 0.0)
            value = self._learned.encode_entry(name, self._store.max_value_bytes)
            if value is None:
                self._writing_key = None
                return None

            def on_written(revision: Revision) -> None:
                self._revisions[key] = revision
                self._writing_key = None
                self.writes += 1
                log.debug("stored estimates entry=%.60s samples=%.1f bytes=%d", name, saved_samples, len(value))

            return Write([self._condition(key)], [sm.Put(key, msgspec.Raw(value))], on_written)

        self._committer.enqueue(("estimate", key), build, False)

    def _delete(self, key: str) -> None:
        if key not in self._revisions:
            return
        self._writing_key = key

        def on_deleted(revision: Revision) -> None:
            self._revisions.pop(key, None)
            self._writing_key = None

        def build() -> Write | None:
            if key not in self._revisions:
                self._writing_key = None
                return None
            return Write([self._condition(key)], [sm.Delete(key)], on_deleted)

        self._committer.enqueue(("estimate", key), build, False)

    def _condition(self, key: str) -> sm.Condition:
        return sm.Condition(key, self._revisions.get(key, Revision(0)))

    async def _reread(self, keys: list[str]) -> None:
        """Read the present revisions of keys after a conflict or a lost response.

        A record may be this leader's own late write. A key without a record was deleted by an operator."""
        for key in keys:
            if key == self._leader_condition.key:
                await self._reread_leader([key])
                continue
            item = await self._store.get(key, RequestPriority.BACKGROUND)
            if self._is_stopped:
                return
            if item is not None:
                self._revisions[key] = item.mod_revision
            elif self._revisions.pop(key, None) is not None:
                self._learned.reset_entry(key)

    async def _check(self) -> None:
        """Check with one request, which changes nothing, whether all records are as this leader left them."""
        self._checked_at = self._clock.seconds()
        try:
            keys = list(self._revisions)[: self._store.max_conditions]
            changed_keys = await self._store.find_changed_keys(
                [sm.Condition(key, self._revisions[key]) for key in keys], RequestPriority.BACKGROUND
            )
            if changed_keys and self._writing_key is None and not self._is_stopped:
                await self._reread([key for key in changed_keys if key in self._revisions])
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.debug("checking stored estimates failed error=%s", error)
        finally:
            self._is_checking = False
