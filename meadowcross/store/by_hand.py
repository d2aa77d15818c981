"""Work with the state service for a command that a person runs, within the share of a node that does not lead."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from typing import Any

from meadowcross.common.settings import Settings, SettingsError, load_settings
from meadowcross.store.client import Conflicted, Refused, StoreClient, Unavailable, Unknown


def with_store(program: str, config: str, work: Callable[[StoreClient], Awaitable[None]]) -> int:
    """Do it with the state service that a node's settings name. Exit status: 0, or 2 and one line on standard
    error. Once in a process: a reactor does not start again."""
    from meadowcross.common.once import run_now

    def say(text: str) -> int:
        print(f"{program}: {text}", file=sys.stderr)
        return 2

    try:
        settings = load_settings(config)
    except SettingsError as error:
        return say(str(error))
    try:
        run_now(_connected(settings, work))
    except (Unavailable, Unknown, Refused) as error:
        return say(f"the state service at {settings.outside.state} gives no answer: {error}")
    except Conflicted as error:
        return say(f"changed meanwhile, run it again: {error}")
    return 0


async def _connected(settings: Settings, work: Callable[[StoreClient], Awaitable[None]]) -> None:
    from twisted.internet import reactor

    from meadowcross.common.http import HttpClient
    from meadowcross.common.types import Address

    clock: Any = reactor
    await work(StoreClient(clock, HttpClient(clock), Address(settings.outside.state), settings.facts.state))
