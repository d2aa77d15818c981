"""Looks for keys that the store lost silently, by comparing it with a follower's replica, a few keys at a time.

Revisions only grow, and the feed shows each key that is deleted. So a key that the store has at an older revision, or
not at all, while the replica, caught up after the read, still has it, was lost. One follower at a time audits.
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
"""One request a second at the most; open work first, so that all of it is compared within some ten seconds."""
ROUND_PAUSE_S: Seconds = 5.0
AUDITED_PREFIXES = ("j/", "t/", "w/", "e/")


class StoreAuditor:
    """Reports a loss of data to the store epochs as soon as the replica proves it."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        store_epochs: StoreEpochs,
        follower: ReplicaFollower,
        is_own_turn: Callable[[], bool],
    ) -> None:
        """`is_own_turn` says whether this node, of all followers, is the one to audit now."""
        self._clock = clock
        self._store = store
        self._store_epochs = store_epochs
        self._follower = follower
        self._is_own_turn = is_own_turn

    async def run(self) -> None:
        """Audit all keys, round by round, for ever."""
        while True:
            try:
                for prefix in AUDITED_PREFIXES:
                    await self._audit_prefix(prefix)
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("audit_waits error=%s", error)
            except Exception:
                # The loop goes on with the next round.
                log.exception("audit_error")
            await pause(self._clock, ROUND_PAUSE_S)

    async def _audit_prefix(self, prefix: str) -> None:
        keys = [item.key for item in self._follower.replica.items_under(prefix)]
        for first in range(0, len(keys), self._store.max_conditions):
            await pause(self._clock, REQUEST_INTERVAL_S)
            if not self._follower.is_in_sync or not self._is_own_turn():
                return
            conditions = self._conditions_for(keys[first : first + self._store.max_conditions])
            for key in await self._store.find_changed_keys(conditions, RequestPriority.BACKGROUND):
                await self.check_key(key)

    def _conditions_for(self, keys: list[str]) -> list[Condition]:
        """That the keys have the replica's revisions, for those that it still has."""
        items = map(self._follower.replica.get, keys)
        return [Condition(item.key, item.mod_revision) for item in items if item is not None]

    async def check_key(self, key: str) -> None:
        """Find out whether a key that differs from the replica is newer, being deleted, or lost.

        It is compared with what the replica had before the store was read: once a chunk that was written between the
        read and the next poll of the feed was taken for one that had gone back, every ten seconds on a busy day.
        Raises what the store client raises.
        """
        replica = self._follower.replica
        expected = replica.get(key)
        if expected is None:
            return
        stored = await self._store.get(key, RequestPriority.BACKGROUND)
        if stored is not None:
            if stored.mod_revision < expected.mod_revision:
                reason = f"{key} went back from {expected.mod_revision} to {stored.mod_revision}"
                self._store_epochs.report_loss(reason)
            return
        await self._follower.poll_now(0.0)
        if not self._follower.is_in_sync or self._follower.replica is not replica:
            return
        current = replica.get(key)
        if current is not None and current.mod_revision == expected.mod_revision:
            # The feed, which reaches beyond the read, shows no deletion.
            self._store_epochs.report_loss(f"{key} is gone")
