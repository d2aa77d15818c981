"""Commands `meadowcross snapshot list`, `verify` and `restore`, for operators whose nodes lost their data as well.

`meadowcross` imports this module at every start, so each command imports the modules that it needs only when it runs.
"""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from meadowcross.snapshots.files import ReadResult, SnapshotInfo
    from meadowcross.store.client import StoreClient

PROGRAM = "meadowcross snapshot"
FAILURE_STATUS = 2


def add_subcommands(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands `list`, `verify` and `restore`; each sets `act` to the function that runs it."""
    subcommands = parser.add_subparsers(metavar="VERB", required=True)
    list_parser = subcommands.add_parser(
        "list", help="the snapshots in a directory, newest first, and what is wrong with each"
    )
    list_parser.set_defaults(act=_list)
    verify_parser = subcommands.add_parser(
        "verify", help="read all of the newest chain; exit status 2 if anything is wrong"
    )
    verify_parser.set_defaults(act=_verify)
    restore_parser = subcommands.add_parser(
        "restore", help="write it into a state service that lost its data, all nodes stopped"
    )
    restore_parser.add_argument(
        "--config", metavar="FILE", required=True, help="the platform's settings of a node (TOML)"
    )
    restore_parser.set_defaults(act=_restore)
    for subcommand in (list_parser, verify_parser, restore_parser):
        subcommand.add_argument("--directory", metavar="DIR", required=True, help="where the snapshots are")


def _fail(message: str) -> int:
    """Print one line on standard error and return the exit status for failures."""
    print(f"{PROGRAM}: {message}", file=sys.stderr)
    return FAILURE_STATUS


def _list(options: argparse.Namespace) -> int:
    from meadowcross.snapshots.files import list_snapshots

    try:
        snapshots = list_snapshots(options.directory)
    except OSError as error:
        return _fail(f"{options.directory}: can't be read: {error.strerror}")
    for snapshot in snapshots:
        print(_describe(snapshot))
    if not snapshots:
        print("no snapshot there")
    return 0


def _describe(snapshot: SnapshotInfo) -> str:
    manifest = snapshot.manifest
    if manifest is None:
        return f"{snapshot.name}  {snapshot.defect}"
    extent = "full" if manifest.is_full else f"changes since {manifest.base_revision}"
    return (
        f"{snapshot.name}  era {manifest.epoch}, revision {manifest.revision}, {extent}, "
        f"{manifest.key_count} keys, {manifest.size_bytes} bytes, by {manifest.node}: {snapshot.defect or 'good'}"
    )


def _read_newest(options: argparse.Namespace) -> ReadResult:
    """Read the newest usable state in the directory and report unusable snapshots on standard error."""
    from meadowcross.snapshots.files import read_newest

    result = read_newest(options.directory)
    for rejection in result.rejections:
        _fail(rejection)
    return result


def _verify(options: argparse.Namespace) -> int:
    source, rejections = _read_newest(options)
    if source is None:
        return _fail(f"{options.directory}: no snapshot that can be used")
    print(f"{source.name}: era {source.epoch}, good up to revision {source.revision}, {len(source.items)} keys")
    return FAILURE_STATUS if rejections else 0


def _restore(options: argparse.Namespace) -> int:
    from meadowcross.snapshots.restore import restore
    from meadowcross.store.command_line import run_with_store

    source, _ = _read_newest(options)
    if source is None:
        return _fail(f"{options.directory}: no snapshot that can be used")

    async def run_restore(store: StoreClient) -> None:
        await restore(store, source)

    return run_with_store(PROGRAM, options.config, run_restore)
