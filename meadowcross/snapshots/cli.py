"""`meadowcross snapshot list`, `verify`, `restore`: what an operator needs when all nodes are gone too."""

from __future__ import annotations

import argparse
import sys
import uuid
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from meadowcross.rebuild.merge import Source
    from meadowcross.store.client import StoreClient

PROGRAM = "meadowcross snapshot"


def add(options: argparse.ArgumentParser) -> None:
    verbs = options.add_subparsers(metavar="VERB", required=True)
    listing = verbs.add_parser("list", help="the snapshots in a directory, newest first, and what is wrong with each")
    listing.set_defaults(act=_list)
    verify = verbs.add_parser("verify", help="read all of the newest chain; exit status 2 if anything is wrong")
    verify.set_defaults(act=_verify)
    restore = verbs.add_parser("restore", help="write it into a state service that lost its data, all nodes stopped")
    restore.add_argument("--config", metavar="FILE", required=True, help="the platform's settings of a node (TOML)")
    restore.set_defaults(act=_restore)
    for one in (listing, verify, restore):
        one.add_argument("--directory", metavar="DIR", required=True, help="where the snapshots are")


def _say(text: str) -> int:
    print(f"{PROGRAM}: {text}", file=sys.stderr)
    return 2


def _list(options: argparse.Namespace) -> int:
    from meadowcross.snapshots import files

    try:
        there = files.found(options.directory)
    except OSError as error:
        return _say(f"{options.directory}: can't be read: {error.strerror}")
    for one in there:
        if one.manifest is None:
            print(f"{one.name}  {one.wrong}")
        else:
            kind = "full" if one.manifest.after == 0 else f"changes since {one.manifest.after}"
            print(
                f"{one.name}  era {one.manifest.era}, revision {one.manifest.revision}, {kind}, "
                f"{one.manifest.keys} keys, {one.manifest.size} bytes, by {one.manifest.node}: {one.wrong or 'good'}"
            )
    if not there:
        print("no snapshot there")
    return 0


def _read(options: argparse.Namespace) -> tuple[Source | None, list[str]]:
    from meadowcross.snapshots import files

    source, refused = files.read(options.directory)
    for text in refused:
        _say(text)
    return source, refused


def _verify(options: argparse.Namespace) -> int:
    source, refused = _read(options)
    if source is None:
        return _say(f"{options.directory}: no snapshot that can be used")
    print(f"{source.name}: era {source.era}, good up to revision {source.revision}, {len(source.items)} keys")
    return 2 if refused else 0


def _restore(options: argparse.Namespace) -> int:
    from meadowcross.store.by_hand import with_store

    source, _ = _read(options)
    if source is None:
        return _say(f"{options.directory}: no snapshot that can be used")

    async def work(store: StoreClient) -> None:
        await restore(store, source)

    return with_store(PROGRAM, options.config, work)


async def restore(store: StoreClient, source: Source) -> None:
    """A new era, and under it all that the snapshot has and the store lacks or has older. Raises Conflicted where
    a node leads, or something else writes; run again, it goes on where it stopped."""
    from meadowcross.common.types import Mark
    from meadowcross.rebuild.era import decode_era
    from meadowcross.rebuild.merge import merge
    from meadowcross.rebuild.messages import ERA_KEY, LEADER_KEY, PROGRESS_KEY, EraRecord, Progress, Stage
    from meadowcross.store import messages as sm
    from meadowcross.store.budget import Urgency

    left, _ = await store.list("")
    before = next((item for item in left if item.key == ERA_KEY), None)
    known = decode_era(before.value).number if before is not None else 0
    record = EraRecord(max(known, source.era) + 1, uuid.uuid4().hex)
    progress = Progress(record.number, Stage.OPEN)
    nobody = sm.Condition(LEADER_KEY, Mark(0))
    mark = await store.transact_bare(
        [nobody, sm.Condition(ERA_KEY, before.mark if before is not None else Mark(0))],
        [sm.Put(ERA_KEY, sm.raw(record)), sm.Put(PROGRESS_KEY, sm.raw(progress))],
        Urgency.USER,
    )
    merged = merge([source], left, mark)
    ours = [nobody, sm.Condition(ERA_KEY, mark)]
    missing = merged.missing("")
    size = 0
    batch: list[sm.Item] = []

    async def write() -> None:
        conditions = [sm.Condition(item.key, item.mark) for item in batch]
        await store.transact_bare([*ours, *conditions], [sm.Put(i.key, i.value) for i in batch], Urgency.USER)

    for item in missing:
        size += len(bytes(item.value)) + len(item.key) + 60
        if batch and (len(batch) >= store.max_changes or size > 48 * 1024):
            await write()
            batch, size = [], len(bytes(item.value)) + len(item.key) + 60
        batch.append(item)
    if batch:
        await write()
    # What is newer than the snapshot only machines and users know: the nodes ask them before they place.
    print(f"era {record.number}: {len(missing)} keys of {source.name} written; start the nodes now")
