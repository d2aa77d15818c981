"""Compares a replica with the store, in the background, by transactions that write nothing.

A term begins with the replica at once; every write is conditional anyway. This check finds what conditions would only
find one by one, and late: a key that the replica has and the store has not, or at another revision.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Revision, Seconds
from meadowcross.replication.store_replica import StoreReplica
from meadowcross.store.client import IndeterminateResultError, RequestRejectedError, StoreClient, StoreUnavailableError
from meadowcross.store.messages import Condition
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("replica")

COMPARISON_DURATION_S: Seconds = 8.0
"""All keys are compared within this time, as long as the store answers."""
RETRY_DELAY_S: Seconds = 1.0
MAX_ATTEMPTS = 3
"""Of a request without a result; keys that differ are compared so often again, since they may be being written."""
CHECKED_PREFIXES = ("j/", "t/", "w/")


async def find_differences(
    clock: Clock, store: StoreClient, replica: StoreReplica, is_still_wanted: Callable[[], bool]
) -> list[str] | None:
    """The keys that still differ after some retries, sorted.

    None: `is_still_wanted` returned False, or the store gave no answer for long.
    """
    keys = [item.key for prefix in CHECKED_PREFIXES for item in replica.items_under(prefix)]
    batch_size = store.max_conditions
    batches = [keys[first : first + batch_size] for first in range(0, len(keys), batch_size)]
    suspected: dict[str, Revision] = {}
    for batch in batches:
        differing = await _compare_batch(clock, store, replica, batch, is_still_wanted)
        if differing is None:
            return None
        suspected |= differing
        await pause(clock, COMPARISON_DURATION_S / len(batches))
    for _ in range(MAX_ATTEMPTS):
        if not suspected:
            break
        await pause(clock, RETRY_DELAY_S)
        differing = await _compare_batch(clock, store, replica, list(suspected)[:batch_size], is_still_wanted)
        if differing is None:
            return None
        # At another revision now in the replica: the key was being written when it was compared.
        suspected = {key: revision for key, revision in differing.items() if suspected.get(key) == revision}
    return sorted(suspected)


async def _compare_batch(
    clock: Clock, store: StoreClient, replica: StoreReplica, keys: list[str], is_still_wanted: Callable[[], bool]
) -> dict[str, Revision] | None:
    """Those of the keys that differ, with the replica's revisions; None as for `find_differences`."""
    for _ in range(MAX_ATTEMPTS):
        if not is_still_wanted():
            return None
        # The replica is read anew at each attempt: some keys were written or dropped since.
        revisions = {key: item.mod_revision for key in keys if (item := replica.get(key)) is not None}
        try:
            changed = await store.find_changed_keys(
                [Condition(key, revision) for key, revision in revisions.items()], RequestPriority.BACKGROUND
            )
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.debug("consistency_check_waits error=%s", error)
            await pause(clock, RETRY_DELAY_S)
            continue
        return {key: revisions[key] for key in changed if key in revisions}
    return None
