"""Writes a snapshot into a store that has lost its data, while no node runs."""

from __future__ import annotations

import uuid
from collections.abc import Iterable, Iterator, Sequence

from meadowcross.common.types import Revision
from meadowcross.recovery.merge import RecoverySource, merge
from meadowcross.recovery.messages import (
    EPOCH_KEY,
    LEADER_KEY,
    RECOVERY_PROGRESS_KEY,
    RecoveryProgress,
    RecoveryStage,
    StoreEpochRecord,
)
from meadowcross.recovery.store_epochs import decode_epoch_record
from meadowcross.store.client import StoreClient
from meadowcross.store.messages import Condition, Item, Put, encode_raw
from meadowcross.store.token_bucket import RequestPriority

MAX_BATCH_BYTES = 48 * 1024
"""Limit for the items of one transaction, well below what the store accepts."""
ITEM_OVERHEAD_BYTES = 60
"""Approximate encoded size of an item in a transaction, without its key and value."""
NO_LEADER = Condition(LEADER_KEY, Revision(0))
"""Holds while no node leads: the leader key does not exist."""


async def restore(store: StoreClient, source: RecoverySource) -> None:
    """Begin a new epoch and write each item of the snapshot that the store lacks or holds in an older revision.

    Raises ConflictError if a node leads or another client writes. A repeated call continues where this one stopped.
    """
    stored_items, _ = await store.list_items("")
    record, epoch_revision = await _begin_epoch(store, stored_items, source.epoch)
    missing = merge([source], stored_items, epoch_revision).missing_under("")
    epoch_conditions = [NO_LEADER, Condition(EPOCH_KEY, epoch_revision)]
    for batch in _batches(missing, store.max_changes):
        conditions = [Condition(item.key, item.mod_revision) for item in batch]
        changes = [Put(item.key, item.value) for item in batch]
        await store.transact_unguarded([*epoch_conditions, *conditions], changes, RequestPriority.USER)
    # Changes newer than the snapshot are known only to machines and users. The nodes collect them before placement.
    print(f"era {record.number}: {len(missing)} keys of {source.name} written; start the nodes now")


async def _begin_epoch(
    store: StoreClient, stored_items: Sequence[Item], source_epoch: int
) -> tuple[StoreEpochRecord, Revision]:
    """Store the record of an epoch above all known ones, and return the record and its revision."""
    epoch_item = next((item for item in stored_items if item.key == EPOCH_KEY), None)
    known_epoch = decode_epoch_record(epoch_item.value).number if epoch_item is not None else 0
    known_revision = epoch_item.mod_revision if epoch_item is not None else Revision(0)
    record = StoreEpochRecord(max(known_epoch, source_epoch) + 1, uuid.uuid4().hex)
    progress = RecoveryProgress(record.number, RecoveryStage.OPEN_JOBS)
    revision = await store.transact_unguarded(
        [NO_LEADER, Condition(EPOCH_KEY, known_revision)],
        [Put(EPOCH_KEY, encode_raw(record)), Put(RECOVERY_PROGRESS_KEY, encode_raw(progress))],
        RequestPriority.USER,
    )
    return record, revision


def _batches(items: Iterable[Item], max_items: int) -> Iterator[list[Item]]:
    """Yield the items in batches that fit into one transaction each."""
    batch: list[Item] = []
    batch_bytes = 0
    for item in items:
        size_bytes = len(bytes(item.value)) + len(item.key) + ITEM_OVERHEAD_BYTES
        if batch and (len(batch) >= max_items or batch_bytes + size_bytes > MAX_BATCH_BYTES):
            yield batch
            batch, batch_bytes = [], 0
        batch.append(item)
        batch_bytes += size_bytes
    if batch:
        yield batch
