"""Compares a replica with the store in the background, by transactions that write nothing.

A term starts from the replica without waiting for this check, since every write is conditional. The check finds keys
that the store lacks or has at another revision; conditions of writes would find them one at a time, and late.
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
"""Time over which the comparison of all keys is spread, if the store answers every request."""
RETRY_DELAY_S: Seconds = 1.0
MAX_ATTEMPTS = 3
"""Attempts of a request without a result. Also the number of repeated comparisons of keys that differ, since a key may
have been compared during a write."""
CHECKED_PREFIXES = ("j/", "t/", "w/")


async def find_differences(
    clock: Clock, store: StoreClient, replica: StoreReplica, is_still_wanted: Callable[[], bool]
) -> list[str] | None:
    """Return the keys that still differ after `MAX_ATTEMPTS` repeated comparisons, sorted.

    Returns None if `is_still_wanted` returned False, or if a request got no result in `MAX_ATTEMPTS` attempts.
    """
    keys = [item.key for prefix in CHECKED_PREFIXES for item in replica.items_under(prefix)]
    batch_size = store.max_conditions
    batches = [keys[start : start + batch_size] for start in range(0, len(keys), batch_size)]
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
        # A key whose revision in the replica has changed was compared during a write.
        suspected = {key: revision for key, revision in differing.items() if suspected.get(key) == revision}
    return sorted(suspected)


async def _compare_batch(
    clock: Clock, store: StoreClient, replica: StoreReplica, keys: list[str], is_still_wanted: Callable[[], bool]
) -> dict[str, Revision] | None:
    """Return the keys that differ, with their revisions in the replica; None as for `find_differences`."""
    for _ in range(MAX_ATTEMPTS):
        if not is_still_wanted():
            return None
        # Each attempt reads the replica again, because keys may have been written or deleted since.
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
