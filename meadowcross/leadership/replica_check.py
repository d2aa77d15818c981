"""Compares a replica that a term began with to the store."""

from __future__ import annotations

from meadowcross.common.logging import get_logger
from meadowcross.leadership.term_context import TermState
from meadowcross.replication.consistency_check import find_differences
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.store.client import StoreClient

log = get_logger("leadership")

MAX_LOGGED_KEYS = 5


async def verify_replica(state: TermState, store: StoreClient, follower: ReplicaFollower) -> None:
    """Compare what was followed with the store, behind everything else. Each write is conditional, so a difference
    broke no rule yet; but nobody knows what else is wrong, so a new term reads everything anew."""
    replica = follower.replica
    differing_keys = await find_differences(
        state.context.clock,
        store,
        replica,
        lambda: not state.lifecycle.is_stopped and replica is follower.replica,
    )
    if differing_keys:
        log.error(
            "the picture differs from the store in %d keys: %s",
            len(differing_keys),
            ", ".join(differing_keys[:MAX_LOGGED_KEYS]),
        )
        follower.resync("it differs from the store")
        state.context.leadership.step_down("its picture differed from the store")
