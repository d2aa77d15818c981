"""Work with the state service for a command that a person runs, within the share of a node that does not lead."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from typing import Any

from meadowcross.common.settings import Settings, SettingsError, load_settings
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)


def run_with_store(program: str, config_path: str, work: Callable[[StoreClient], Awaitable[None]]) -> int:
    """Do it with the state service that a node's settings name. Exit status: 0, or 2 and one line on standard
    error. Once in a process: a reactor does not start again."""
    from meadowcross.common.reactor_runner import run_until_complete

    def report_error(message: str) -> int:
        print(f"{program}: {message}", file=sys.stderr)
        return 2

    try:
        settings = load_settings(config_path)
    except SettingsError as error:
        return report_error(str(error))
    try:
        run_until_complete(_run_connected(settings, work))
    except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
        return report_error(f"the state service at {settings.outside.state} gives no answer: {error}")
    except ConflictError as error:
        return report_error(f"changed meanwhile, run it again: {error}")
    return 0


async def _run_connected(settings: Settings, work: Callable[[StoreClient], Awaitable[None]]) -> None:
    from twisted.internet import reactor

    from meadowcross.common.http import HttpClient
    from meadowcross.common.types import Address

    clock: Any = reactor
    await work(StoreClient(clock, HttpClient(clock), Address(settings.outside.state), settings.facts.state))
