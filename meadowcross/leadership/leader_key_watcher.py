"""Waits for a change of the leader's key."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from meadowcross.common.types import Revision, Seconds
from meadowcross.leadership.messages import LEADER_KEY
from meadowcross.store.client import StoreClient, WatchCompactedError
from meadowcross.store.messages import WatchResponse

WATCH_TIMEOUT_S: Seconds = 20.0
SUSPECT_WATCH_TIMEOUT_S: Seconds = 1.0
"""While the store may have lost data, which it tells no watcher of."""


class LeaderKeyWatcher:
    """Watches the key at the store, and can be woken before the store tells of a change."""

    def __init__(self, store: StoreClient, is_store_suspect: Callable[[], bool]) -> None:
        """`is_store_suspect`: whether the store has lost data and no new epoch has begun."""
        self._store = store
        self._is_store_suspect = is_store_suspect
        self._woken: Deferred[WatchResponse | None] | None = None

    async def await_change(self, since: Revision) -> None:
        """Return when the key has to be read again: it changed after this revision, or nobody can say whether it did.

        Raises what the store client raises, but for a watch that is too old.
        """
        revision = since
        while True:
            timeout_s = SUSPECT_WATCH_TIMEOUT_S if self._is_store_suspect() else WATCH_TIMEOUT_S
            try:
                response = await self._until_woken(self._store.watch(LEADER_KEY, revision, timeout_s))
            except WatchCompactedError:
                return
            if response is None or self._is_store_suspect():
                # A store that has lost data tells of no change.
                return
            if any(event.key == LEADER_KEY for event in response.events):
                return
            revision = response.revision

    def wake(self) -> None:
        """Let whoever waits read the key anew: a store that has lost data may tell of no change for long."""
        woken, self._woken = self._woken, None
        if woken is not None:
            woken.callback(None)

    def _until_woken(self, watch: Coroutine[Any, Any, WatchResponse]) -> Deferred[WatchResponse | None]:
        first: Deferred[WatchResponse | None] = Deferred()
        self._woken = first

        def settle(result: Any) -> None:
            if not first.called:
                self._woken = None
                first.callback(result)

        Deferred.fromCoroutine(watch).addBoth(settle)
        return first
