"""Compares the replica that a term started from with the store."""

from __future__ import annotations

from meadowcross.common.logging import get_logger
from meadowcross.leadership.term_context import TermState
from meadowcross.replication.consistency_check import find_differences
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.store.client import StoreClient

log = get_logger("leadership")

MAX_LOGGED_KEYS = 5


async def verify_replica(state: TermState, store: StoreClient, follower: ReplicaFollower) -> None:
    """Compare the replica with the store at low priority, and step down if they differ.

    Every write is conditional, so a difference has not yet caused a wrong write. But the extent of the fault is
    unknown, so the replica is read again and a new term starts.
    """
    replica = follower.replica
    differing_keys = await find_differences(
        state.context.clock,
        store,
        replica,
        lambda: not state.lifecycle.is_stopped and replica is follower.replica,
    )
    if differing_keys:
        log.error(
            "replica differs from the store count=%d keys=%s",
            len(differing_keys),
            ", ".join(differing_keys[:MAX_LOGGED_KEYS]),
        )
        follower.resync("replica differs from the store")
        state.context.leadership.step_down("replica differs from the store")
