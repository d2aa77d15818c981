"""The command `meadowcross`: every part of the project that is run by hand."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Callable, Sequence
from typing import NoReturn

import meadowcross
from meadowcross.estimates import cli as estimates
from meadowcross.openjd import cli as tickets
from meadowcross.snapshots import cli as snapshots

Command = Callable[[argparse.Namespace], int]
"""Carries a command out; returns the exit status."""

EXIT_OK, EXIT_USAGE = 0, 2


class OneLineErrorParser(argparse.ArgumentParser):
    """Says what is wrong in one line; the usage is there on request."""

    def error(self, message: str) -> NoReturn:
        """Print the message and exit with status 2."""
        print(f"{self.prog}: {message}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)


def build_parser() -> OneLineErrorParser:
    """All commands, each with its own options; what a command needs is imported when it is carried out."""
    options = OneLineErrorParser(prog="meadowcross", description="A cluster scheduler.")
    options.add_argument("--version", action="version", version=f"meadowcross {meadowcross.__version__}")
    commands = options.add_subparsers(metavar="COMMAND", required=True)
    run = commands.add_parser("run", help="run a controller node; the options of run.py", add_help=False)
    run.set_defaults(act=_run)
    estimates.add(commands.add_parser("estimates", help="learned run times: replay, show, reset"))
    snapshots.add_subcommands(
        commands.add_parser("snapshot", help="snapshots of the state service: list, verify, restore")
    )
    tickets.add_ticket_commands(
        commands.add_parser("ticket", help="render-farm job tickets: check, explain, submit, status, cancel")
    )
    tickets.add_key_commands(commands.add_parser("keys", help="a site's own authority: init, issue, list, revoke"))
    tickets.add_gateway_commands(commands.add_parser("tickets", help="the ticket gateway: serve"))
    return options


def _run(options: argparse.Namespace) -> int:
    # What a command needs is imported when it is carried out.
    from meadowcross.controller import main as controller_main  # noqa: PLC0415

    return controller_main.main(options.rest, "meadowcross run")


def main(arguments: Sequence[str] | None = None) -> int:
    """Exit status: 0, or 2 with one line on standard error that says what is wrong."""
    argv = list(sys.argv[1:] if arguments is None else arguments)
    options, rest = build_parser().parse_known_args(argv)
    command: Command = options.act
    if command is _run:
        options.rest = argv[argv.index("run") + 1 :]
    elif rest:
        print(f"meadowcross: unknown arguments: {' '.join(rest)}", file=sys.stderr)
        return EXIT_USAGE
    try:
        return command(options)
    except BrokenPipeError:
        # Whoever read our output has seen enough; nothing more is written, at exit neither.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_OK
