"""Runs commands of command-line programs against the state service, limited to the rate share of a follower."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from typing import Any

from meadowcross.common.http import HttpClient
from meadowcross.common.reactor_runner import run_until_complete
from meadowcross.common.settings import Settings, SettingsError, load_settings
from meadowcross.common.types import Address
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)

EXIT_FAILURE = 2

StoreCommand = Callable[[StoreClient], Awaitable[None]]


def run_with_store(program: str, config_path: str, command: StoreCommand) -> int:
    """Run the command against the state service whose address is in a node's settings file.

    Returns the exit status: 0, or 2 after one line on standard error. To be called once in a process, since a stopped
    reactor cannot be started again.
    """
    try:
        settings = load_settings(config_path)
    except SettingsError as error:
        return _report_error(program, str(error))
    try:
        run_until_complete(_run_connected(settings, command))
    except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
        message = f"the state service at {settings.outside.state} gives no answer: {error}"
        return _report_error(program, message)
    except ConflictError as error:
        return _report_error(program, f"changed meanwhile, run it again: {error}")
    return 0


def _report_error(program: str, message: str) -> int:
    print(f"{program}: {message}", file=sys.stderr)
    return EXIT_FAILURE


async def _run_connected(settings: Settings, command: StoreCommand) -> None:
    from twisted.internet import reactor  # noqa: PLC0415 - the import installs the reactor, which only a running command needs

    clock: Any = reactor
    await command(StoreClient(clock, HttpClient(clock), Address(settings.outside.state), settings.facts.state))
