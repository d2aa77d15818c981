"""The command `meadowcross`: one command line for the controller, the ticket gateway and the operators' tools."""

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
"""Runs a command with its parsed options and returns the exit status."""

EXIT_OK, EXIT_USAGE = 0, 2


class OneLineErrorParser(argparse.ArgumentParser):
    """Reports wrong arguments in one line, without the usage text."""

    def error(self, message: str) -> NoReturn:
        """Print the message and exit with status 2."""
        print(f"{self.prog}: {message}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)


def build_parser() -> OneLineErrorParser:
    """Return the parser of all commands, each with its own options."""
    parser = OneLineErrorParser(prog="meadowcross", description="A cluster scheduler.")
    parser.add_argument("--version", action="version", version=f"meadowcross {meadowcross.__version__}")
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    run = commands.add_parser("run", help="run a controller node; the options of run.py", add_help=False)
    run.set_defaults(act=_run)
    estimates.add_arguments(commands.add_parser("estimates", help="learned run times: replay, show, reset"))
    snapshots.add_subcommands(
        commands.add_parser("snapshot", help="snapshots of the state service: list, verify, restore")
    )
    tickets.add_ticket_commands(
        commands.add_parser("ticket", help="render-farm job tickets: check, explain, submit, status, cancel")
    )
    tickets.add_key_commands(commands.add_parser("keys", help="a site's own authority: init, issue, list, revoke"))
    tickets.add_gateway_commands(commands.add_parser("tickets", help="the ticket gateway: serve"))
    return parser


def _run(options: argparse.Namespace) -> int:
    # Imported here so that the other commands start without loading the controller.
    from meadowcross.controller import main as controller_main  # noqa: PLC0415

    return controller_main.main(options.controller_arguments, "meadowcross run")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command in `arguments` (default: those of the process) and return the exit status.

    The status is 0, or 2 with one line on standard error that describes the failure.
    """
    argv = list(sys.argv[1:] if arguments is None else arguments)
    options, unknown_arguments = build_parser().parse_known_args(argv)
    command: Command = options.act
    if command is _run:
        options.controller_arguments = argv[argv.index("run") + 1 :]
    elif unknown_arguments:
        print(f"meadowcross: unknown arguments: {' '.join(unknown_arguments)}", file=sys.stderr)
        return EXIT_USAGE
    try:
        return command(options)
    except BrokenPipeError:
        # The reader closed the pipe. Redirecting standard output also keeps the flush at exit from failing.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_OK
