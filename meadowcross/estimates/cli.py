"""The command `meadowcross estimates`: replays a history, shows and resets a cluster's learned run times."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from meadowcross.store.client import StoreClient
    from meadowcross.store.messages import Item

DEFAULT_SEED = 1


def add_arguments(options: argparse.ArgumentParser) -> None:
    """Add the actions and their options to the command's parser."""
    commands = options.add_subparsers(metavar="ACTION", required=True)
    replay = commands.add_parser("replay", help="play a history; compare predicted with actual run times")
    source = replay.add_mutually_exclusive_group()
    source.add_argument("--history", metavar="FILE", help="one run a line, as JSON (docs/estimates.md)")
    source.add_argument("--seed", metavar="N", type=int, default=DEFAULT_SEED, help="make a history (default: 1)")
    replay.add_argument("--after", metavar="N", type=_count, default=50, help="judge from a class's N+1st run on")
    replay.add_argument("--json", action="store_true", help="print a list of objects, one a class")
    replay.add_argument("--plot", metavar="FILE", help="write a plot (.svg, .png or .pdf)")
    replay.set_defaults(act=_replay)
    show = commands.add_parser("show", help="what the cluster has learned, from its state service")
    show.add_argument("--json", action="store_true", help="print a list of objects, one an entry")
    show.set_defaults(act=_show)
    reset = commands.add_parser("reset", help="make the cluster forget what it has learned")
    scope = reset.add_mutually_exclusive_group(required=True)
    scope.add_argument("--class", metavar="NAME", dest="job_class", help="of one class")
    scope.add_argument("--team", metavar="NAME", help="of one team")
    scope.add_argument("--all", action="store_true", help="of everything")
    reset.set_defaults(act=_reset)
    for command in (show, reset):
        command.add_argument("--config", metavar="FILE", required=True, help="a node's settings file (TOML)")


def _count(text: str) -> int:
    # argparse prints the name of this function for a value that is not a number.
    value = int(text)
    if value < 0:
        raise argparse.ArgumentTypeError("expected 0 or more")
    return value


def _print_error(text: str) -> None:
    print(f"meadowcross estimates: {text}", file=sys.stderr)


def _replay(options: argparse.Namespace) -> int:
    import msgspec

    from meadowcross.estimates import history
    from meadowcross.estimates.replay import Replay, format_table

    if options.history is None:
        runs = history.generate_history(options.seed)
    else:
        try:
            runs = history.read_history(options.history, lambda text: _print_error(f"{options.history}: {text}"))
        except OSError as error:
            _print_error(f"{options.history}: can't be read: {error.strerror}")
            return 2
        if not runs:
            _print_error(f"{options.history}: no run in it can be read")
            return 2
    replay = Replay(runs, options.after)
    if options.plot is not None:
        try:
            from meadowcross.estimates.plot import draw

            draw(replay, options.plot)
        except ImportError:
            _print_error("--plot needs matplotlib: install meadowcross[plot]")
            return 2
        except (OSError, ValueError) as error:
            _print_error(f"{options.plot}: can't be written: {error}")
            return 2
    scores = replay.scores()
    if options.json:
        print(msgspec.json.format(msgspec.json.encode(scores)).decode())
    else:
        print(format_table(scores))
    return 0


def _show(options: argparse.Namespace) -> int:
    from meadowcross.estimates.entry_summary import format_table, summarize_record

    async def run_action(store: StoreClient) -> None:
        import msgspec

        summaries = [summarize_record(item.key, item.value) for item in await _list_items(store)]
        if options.json:
            print(msgspec.json.format(msgspec.json.encode(summaries)).decode())
        else:
            print(format_table(summaries))

    return _run_with_store(options.config, run_action)


def _reset(options: argparse.Namespace) -> int:
    from meadowcross.estimates import messages as m
    from meadowcross.store import messages as sm
    from meadowcross.store.token_bucket import RequestPriority

    key = None
    if not options.all:
        name = (
            m.class_entry_name(options.job_class) if options.job_class is not None else m.team_entry_name(options.team)
        )
        key = m.store_key(name)

    async def run_action(store: StoreClient) -> None:
        matching_items = [item for item in await _list_items(store) if key in (None, item.key)]
        for item in matching_items:
            # The condition keeps a record that a leader has written since it was read.
            await store.transact(
                [sm.Condition(item.key, item.mod_revision)], [sm.Delete(item.key)], RequestPriority.BACKGROUND
            )
            print(f"dropped {item.key}")
        if not matching_items:
            print("nothing is stored of it")

    return _run_with_store(options.config, run_action)


async def _list_items(store: StoreClient) -> list[Item]:
    from meadowcross.estimates import messages as m
    from meadowcross.estimates.estimate_storage import PAGE_ENTRIES
    from meadowcross.store.token_bucket import RequestPriority

    items, _ = await store.list_items(m.PREFIX, RequestPriority.BACKGROUND, PAGE_ENTRIES)
    return items


def _run_with_store(config: str, action: Any) -> int:
    from meadowcross.store.command_line import run_with_store

    return run_with_store("meadowcross estimates", config, action)
