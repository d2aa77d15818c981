"""`meadowcross snapshot list`, `verify`, `restore`: what an operator needs when all nodes are gone too."""

from __future__ import annotations

import argparse
import sys
import uuid
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from meadowcross.recovery.merge import RecoverySource
    from meadowcross.store.client import StoreClient

PROGRAM = "meadowcross snapshot"


def add_subcommands(options: argparse.ArgumentParser) -> None:
    subcommands = options.add_subparsers(metavar="VERB", required=True)
    listing = subcommands.add_parser(
        "list", help="the snapshots in a directory, newest first, and what is wrong with each"
    )
    listing.set_defaults(act=_list)
    verify = subcommands.add_parser("verify", help="read all of the newest chain; exit status 2 if anything is wrong")
    verify.set_defaults(act=_verify)
    restore = subcommands.add_parser(
        "restore", help="write it into a state service that lost its data, all nodes stopped"
    )
    restore.add_argument("--config", metavar="FILE", required=True, help="the platform's settings of a node (TOML)")
    restore.set_defaults(act=_restore)
    for subcommand in (listing, verify, restore):
        subcommand.add_argument("--directory", metavar="DIR", required=True, help="where the snapshots are")


def _fail(message: str) -> int:
    print(f"{PROGRAM}: {message}", file=sys.stderr)
    return 2


def _list(options: argparse.Namespace) -> int:
    from meadowcross.snapshots import files

    try:
        snapshots = files.list_snapshots(options.directory)
    except OSError as error:
        return _fail(f"{options.directory}: can't be read: {error.strerror}")
    for snapshot in snapshots:
        if snapshot.manifest is None:
            print(f"{snapshot.name}  {snapshot.defect}")
        else:
            kind = (
                "full" if snapshot.manifest.base_revision == 0 else f"changes since {snapshot.manifest.base_revision}"
            )
            print(
                f"{snapshot.name}  era {snapshot.manifest.epoch}, revision {snapshot.manifest.revision}, {kind}, "
                f"{snapshot.manifest.key_count} keys, {snapshot.manifest.size_bytes} bytes, "
                f"by {snapshot.manifest.node}: {snapshot.defect or 'good'}"
            )
    if not snapshots:
        print("no snapshot there")
    return 0


def _read_newest(options: argparse.Namespace) -> tuple[RecoverySource | None, list[str]]:
    from meadowcross.snapshots import files

    source, rejections = files.read_newest(options.directory)
    for rejection in rejections:
        _fail(rejection)
    return source, rejections


def _verify(options: argparse.Namespace) -> int:
    source, rejections = _read_newest(options)
    if source is None:
        return _fail(f"{options.directory}: no snapshot that can be used")
    print(f"{source.name}: era {source.epoch}, good up to revision {source.revision}, {len(source.items)} keys")
    return 2 if rejections else 0


def _restore(options: argparse.Namespace) -> int:
    from meadowcross.store.command_line import run_with_store

    source, _ = _read_newest(options)
    if source is None:
        return _fail(f"{options.directory}: no snapshot that can be used")

    async def run_restore(store: StoreClient) -> None:
        await restore(store, source)

    return run_with_store(PROGRAM, options.config, run_restore)


async def restore(store: StoreClient, source: RecoverySource) -> None:
    """A new era, and under it all that the snapshot has and the store lacks or has older. Raises Conflicted where
    a node leads, or something else writes; run again, it goes on where it stopped."""
    from meadowcross.common.types import Revision
    from meadowcross.recovery.merge import merge
    from meadowcross.recovery.messages import (
        EPOCH_KEY,
        LEADER_KEY,
        RECOVERY_PROGRESS_KEY,
        RecoveryProgress,
        RecoveryStage,
        StoreEpochRecord,
    )
    from meadowcross.recovery.store_epochs import decode_epoch_record
    from meadowcross.store import messages as sm
    from meadowcross.store.token_bucket import RequestPriority

    stored_items, _ = await store.list_items("")
    epoch_item = next((item for item in stored_items if item.key == EPOCH_KEY), None)
    known_epoch = decode_epoch_record(epoch_item.value).number if epoch_item is not None else 0
    record = StoreEpochRecord(max(known_epoch, source.epoch) + 1, uuid.uuid4().hex)
    progress = RecoveryProgress(record.number, RecoveryStage.OPEN_JOBS)
    no_leader = sm.Condition(LEADER_KEY, Revision(0))
    epoch_revision = await store.transact_unguarded(
        [no_leader, sm.Condition(EPOCH_KEY, epoch_item.mod_revision if epoch_item is not None else Revision(0))],
        [sm.Put(EPOCH_KEY, sm.encode_raw(record)), sm.Put(RECOVERY_PROGRESS_KEY, sm.encode_raw(progress))],
        RequestPriority.USER,
    )
    merged = merge([source], stored_items, epoch_revision)
    base_conditions = [no_leader, sm.Condition(EPOCH_KEY, epoch_revision)]
    missing = merged.missing_under("")
    batch_bytes = 0
    batch: list[sm.Item] = []

    async def write() -> None:
        conditions = [sm.Condition(item.key, item.mod_revision) for item in batch]
        await store.transact_unguarded(
            [*base_conditions, *conditions], [sm.Put(i.key, i.value) for i in batch], RequestPriority.USER
        )

    for item in missing:
        batch_bytes += len(bytes(item.value)) + len(item.key) + 60
        if batch and (len(batch) >= store.max_changes or batch_bytes > 48 * 1024):
            await write()
            batch, batch_bytes = [], len(bytes(item.value)) + len(item.key) + 60
        batch.append(item)
    if batch:
        await write()
    # What is newer than the snapshot only machines and users know: the nodes ask them before they place.
    print(f"era {record.number}: {len(missing)} keys of {source.name} written; start the nodes now")
