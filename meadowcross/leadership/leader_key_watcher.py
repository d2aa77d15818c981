"""Waits for changes of the leader key in the store."""

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
"""Timeout while the store may have lost data: such a store does not report lost changes to its watches."""


class LeaderKeyWatcher:
    """Watches the leader key; `wake` ends the wait before the store reports a change."""

    def __init__(self, store: StoreClient, is_store_suspect: Callable[[], bool]) -> None:
        """`is_store_suspect` returns whether the store has lost data and no new epoch has begun."""
        self._store = store
        self._is_store_suspect = is_store_suspect
        self._woken: Deferred[WatchResponse | None] | None = None

    async def await_change(self, since: Revision) -> None:
        """Return when the key must be read again: it changed after revision `since`, or may have changed.

        Raise the errors of the store client, except WatchCompactedError, after which the key must be read again.
        """
        revision = since
        while True:
            timeout_s = SUSPECT_WATCH_TIMEOUT_S if self._is_store_suspect() else WATCH_TIMEOUT_S
            try:
                response = await self._await_response_or_wake(self._store.watch(LEADER_KEY, revision, timeout_s))
            except WatchCompactedError:
                return
            if response is None or self._is_store_suspect():
                # A store that has lost data does not report the changes that it lost.
                return
            if any(event.key == LEADER_KEY for event in response.events):
                return
            revision = response.revision

    def wake(self) -> None:
        """End the wait of `await_change`, so that the key is read again.

        Needed after a data loss: such a store may not report a change of the key for a long time.
        """
        woken, self._woken = self._woken, None
        if woken is not None:
            woken.callback(None)

    def _await_response_or_wake(self, watch: Coroutine[Any, Any, WatchResponse]) -> Deferred[WatchResponse | None]:
        response_or_wake: Deferred[WatchResponse | None] = Deferred()
        self._woken = response_or_wake

        def settle(result: Any) -> None:
            if not response_or_wake.called:
                self._woken = None
                response_or_wake.callback(result)

        Deferred.fromCoroutine(watch).addBoth(settle)
        return response_or_wake
