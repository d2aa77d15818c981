"""Looks for keys that the store lost without a word: compared with what a follower saw stored, a few at a time.

Versions only grow, and a key that is dropped is told as dropped. So one that the store has in an older version, or
not at all, while the feed, caught up after the question, still has it, was lost. One follower at a time asks.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Seconds
from meadowcross.recovery.store_epochs import StoreEpochs
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.store.client import IndeterminateResultError, RequestRejectedError, StoreClient, StoreUnavailableError
from meadowcross.store.messages import Condition
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("rebuild")

REQUEST_INTERVAL_S: Seconds = 1.0
"""One request a second at the most; open work first, so that all of it is asked for within some ten seconds."""
ROUND_PAUSE_S: Seconds = 5.0
AUDITED_PREFIXES = ("j/", "t/", "w/", "e/")


class StoreAuditor:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        store_epochs: StoreEpochs,
        follower: ReplicaFollower,
        is_own_turn: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._store = store
        self._store_epochs = store_epochs
        self._follower = follower
        self._is_own_turn = is_own_turn

    async def run(self) -> None:
        while True:
            try:
                for family in AUDITED_PREFIXES:
                    await self._audit_prefix(family)
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("audit waits: %s", error)
            except Exception:
                log.exception("audit failed")
            await pause(self._clock, ROUND_PAUSE_S)

    async def _audit_prefix(self, prefix: str) -> None:
        keys = [item.key for item in self._follower.replica.items_under(prefix)]
        for first in range(0, len(keys), self._store.max_conditions):
            await pause(self._clock, REQUEST_INTERVAL_S)
            if not self._follower.is_in_sync or not self._is_own_turn():
                return
            replica = self._follower.replica
            revisions = {
                key: item.mod_revision
                for key in keys[first : first + self._store.max_conditions]
                if (item := replica.get(key)) is not None
            }
            differing = await self._store.find_changed_keys(
                [Condition(key, revision) for key, revision in revisions.items()], RequestPriority.BACKGROUND
            )
            for key in differing:
                await self._check_key(key)

    async def _check_key(self, key: str) -> None:
        """Newer, being dropped, or lost? Judged by what the picture had before the store was asked: once a chunk that
        was written between the question and the next look at the feed was taken for one that had gone back, every
        ten seconds on a busy day."""
        replica = self._follower.replica
        expected = replica.get(key)
        if expected is None:
            return
        stored_item = await self._store.get(key, RequestPriority.BACKGROUND)
        if stored_item is not None:
            if stored_item.mod_revision < expected.mod_revision:
                self._store_epochs.report_loss(
                    f"{key} went back from {expected.mod_revision} to {stored_item.mod_revision}"
                )
            return
        await self._follower.poll_now(0.0)
        current = replica.get(key)
        if (
            self._follower.is_in_sync
            and self._follower.replica is replica
            and current is not None
            and current.mod_revision == expected.mod_revision
        ):
            # The feed, which reaches beyond the question, tells of no drop.
            self._store_epochs.report_loss(f"{key} is gone")
