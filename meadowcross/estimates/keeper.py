"""Storing what was learned, and taking over what an earlier leader stored.

Records go through a group commit of their own, so that nothing here can hold up a placement: it
asks for its share of the limits after everybody else, writes at most one entry a second, and has
the leader's key as a condition like every transaction of a leader. A record holds all that is
known of its entry, never an increment: written twice after a lost answer it counts once.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Revision, Seconds
from meadowcross.estimates import messages as m
from meadowcross.estimates.learned import Learned
from meadowcross.store import messages as sm
from meadowcross.store.client import IndeterminateResultError, RequestRejectedError, StoreClient, StoreUnavailableError
from meadowcross.store.group_commit import GroupCommitter, Write
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("estimates")

WRITE_S: Seconds = 1.0
"""One entry in so long, at most."""
WORTH = 0.05
"""An entry is stored again once its ends have grown by this share ..."""
WAIT_S: Seconds = 30.0
"""... or this long after its last change was stored, whichever comes first."""
LOAD_WAIT_S, LOAD_WAIT_MOST_S = 0.5, 8.0
PAGE = 32
"""Entries read at once: a page then stays far below the store's 512 KiB."""
CHECK_S: Seconds = 30.0
"""How often it is asked whether an operator dropped what we have stored."""


class EstimateKeeper:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        leader: sm.Condition,
        learned: Learned,
        reread_leader: Callable[[list[str]], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._store = store
        self._leader = leader
        self._learned = learned
        self._reread_leader = reread_leader
        self._committer = GroupCommitter(clock, store, leader, self._reread)
        self._marks: dict[str, Revision] = {}
        self._written_at: dict[str, float] = {}
        self._writing: str | None = None
        self._checked_at = clock.seconds()
        self._checking = False
        self._stopped = False
        self.loaded = False
        self.writes = 0
        self._tick = LoopingCall(self._on_tick)
        self._tick.clock = clock  # type: ignore[assignment]

    def start(self) -> None:
        """Begin to load; placing goes on meanwhile."""
        if self._stopped:
            return
        for work in (self._load(), self._committer.run()):
            Deferred.fromCoroutine(work).addErrback(self._failed)

    def _failed(self, failure: Any) -> None:
        # Estimates may be lost; the leader's work goes on without them.
        log.error("keeping estimates failed: %s", failure.getTraceback())

    def stop(self) -> None:
        self._stopped = True
        self._committer.stop()
        if self._tick.running:
            self._tick.stop()

    async def _load(self) -> None:
        wait = LOAD_WAIT_S
        while not self._stopped:
            try:
                items, _ = await self._store.list_items(m.PREFIX, RequestPriority.BACKGROUND, PAGE)
            except (
                StoreUnavailableError,
                IndeterminateResultError,
                RequestRejectedError,
                msgspec.DecodeError,
            ) as error:
                log.debug("loading estimates waits: %s", error)
                await pause(self._clock, wait)
                wait = min(LOAD_WAIT_MOST_S, 2 * wait)
                continue
            if self._stopped:
                return
            for item in items:
                self._marks[item.key] = item.mod_revision
                self._learned.offer(item.key, item.value)
            self._learned.bound()
            self.loaded = True
            log.info("%d entries of estimates taken over", len(items))
            self._tick.start(WRITE_S, now=False)
            return

    # Writing

    def _on_tick(self) -> None:
        if self._writing is not None:
            return
        now = self._clock.seconds()
        if now - self._checked_at >= CHECK_S and not self._checking:
            self._checking = True
            Deferred.fromCoroutine(self._check()).addErrback(self._failed)
        if self._learned.dropped:
            self._drop(self._learned.dropped.pop())
            return
        name = self._due(now)
        if name is not None:
            self._write(name, now)

    def _due(self, now: float) -> str | None:
        """The entry of which the largest share is unsaved, if that is worth a write."""
        best: tuple[float, str] | None = None
        for entry in self._learned.entries():
            unsaved = self._learned.unsaved.get(entry.name, 0.0)
            if unsaved <= 0:
                continue
            share = unsaved / max(entry.ends, 1.0)
            if now - self._written_at.setdefault(entry.name, now) >= WAIT_S:
                share += WORTH
            if share >= WORTH and (best is None or share > best[0]):
                best = (share, entry.name)
        return best[1] if best is not None else None

    def _write(self, name: str, now: float) -> None:
        key = m.key_of(name)
        self._writing = key
        self._written_at[name] = now

        def build() -> Write | None:
            counted = self._learned.unsaved.pop(name, 0.0)
            value = self._learned.record(name, self._store.max_value_bytes)
            if value is None:
                self._writing = None
                return None

            def done(mark: Revision) -> None:
                self._marks[key] = mark
                self._writing = None
                self.writes += 1
                log.debug("estimates of %.60s stored, %.1f ends, %d bytes", name, counted, len(value))

            return Write([self._condition(key)], [sm.Put(key, msgspec.Raw(value))], done)

        self._committer.enqueue(("estimate", key), build, False)

    def _drop(self, key: str) -> None:
        if key not in self._marks:
            return
        self._writing = key

        def done(mark: Revision) -> None:
            self._marks.pop(key, None)
            self._writing = None

        def build() -> Write | None:
            if key not in self._marks:
                self._writing = None
                return None
            return Write([self._condition(key)], [sm.Delete(key)], done)

        self._committer.enqueue(("estimate", key), build, False)

    def _condition(self, key: str) -> sm.Condition:
        return sm.Condition(key, self._marks.get(key, Revision(0)))

    async def _reread(self, keys: list[str]) -> None:
        """After a conflict or a lost answer: what do the keys hold now? What is there may be our
        own late write; what is gone was dropped by an operator."""
        for key in keys:
            if key == self._leader.key:
                await self._reread_leader([key])
                continue
            item = await self._store.get(key, RequestPriority.BACKGROUND)
            if self._stopped:
                return
            if item is not None:
                self._marks[key] = item.mod_revision
            elif self._marks.pop(key, None) is not None:
                self._learned.reset(key)

    async def _check(self) -> None:
        """One request that changes nothing: are all records as we left them?"""
        self._checked_at = self._clock.seconds()
        try:
            keys = list(self._marks)[: self._store.max_conditions]
            changed = await self._store.find_changed_keys(
                [sm.Condition(key, self._marks[key]) for key in keys], RequestPriority.BACKGROUND
            )
            if changed and self._writing is None and not self._stopped:
                await self._reread([key for key in changed if key in self._marks])
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.debug("checking estimates: %s", error)
        finally:
            self._checking = False
