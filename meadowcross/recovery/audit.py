"""Detects keys that the store lost silently, by comparing the store with a follower's replica, a few keys at a time.

Revisions only grow, and the feed reports each deletion. A key was therefore lost if the store has an older revision of
it, or lacks it, while the replica still has it after a poll that followed the read. One follower at a time audits.
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
"""Pause before each comparison, which limits the audit to about one request per second."""
ROUND_PAUSE_S: Seconds = 5.0
"""Pause after all keys were compared."""
AUDITED_PREFIXES = ("j/", "t/", "w/", "e/")
"""Key prefixes in the order of the audit: open work comes first and is compared within about ten seconds."""


class StoreAuditor:
    """Compares the store with the follower's replica and reports a proven data loss to the store epochs."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        store_epochs: StoreEpochs,
        follower: ReplicaFollower,
        is_own_turn: Callable[[], bool],
    ) -> None:
        """`is_own_turn` returns whether this node is the one follower that audits now."""
        self._clock = clock
        self._store = store
        self._store_epochs = store_epochs
        self._follower = follower
        self._is_own_turn = is_own_turn

    async def run(self) -> None:
        """Audit all keys in rounds, without end. Errors are logged and end only the current round."""
        while True:
            try:
                for prefix in AUDITED_PREFIXES:
                    await self._audit_prefix(prefix)
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("audit_waits error=%s", error)
            except Exception:
                # An unexpected error must not end the loop: the next round begins after the pause.
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
        """Return one condition per key: the store has the replica's revision. Keys the replica lacks are left out."""
        items = map(self._follower.replica.get, keys)
        return [Condition(item.key, item.mod_revision) for item in items if item is not None]

    async def check_key(self, key: str) -> None:
        """Find out whether a key that differs from the replica is newer, deleted, or lost, and report a loss.

        The key is compared with the replica's item from before the read. A comparison with a later item reported a
        chunk that was written between the read and the next poll as a loss, every ten seconds under high load.
        Raises the errors of the store client.
        """
        replica = self._follower.replica
        expected = replica.get(key)
        if expected is None:
            return
        stored = await self._store.get(key, RequestPriority.BACKGROUND)
        if stored is not None:
            if stored.mod_revision < expected.mod_revision:
                reason = f"{key} is outdated: expected revision {expected.mod_revision}, found {stored.mod_revision}"
                self._store_epochs.report_loss(reason)
            return
        await self._follower.poll_now(0.0)
        if not self._follower.is_in_sync or self._follower.replica is not replica:
            return
        current = replica.get(key)
        if current is not None and current.mod_revision == expected.mod_revision:
            # The poll covers all changes up to the read and reported no deletion of the key.
            self._store_epochs.report_loss(f"{key} is missing without a deletion")
