"""Runs one coroutine to its end on the reactor, for commands that are not servers."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

T = TypeVar("T")


def run_until_complete(work: Coroutine[Any, Any, T]) -> T:
    """Run the coroutine on the reactor and return its result or raise its error.

    May be called once in a process, as a reactor can't be restarted. Raises KeyboardInterrupt if the reactor is stopped
    before the coroutine has ended.
    """
    from twisted.internet import reactor

    loop: Any = reactor
    outcome: list[Any] = []

    def on_completed(result: Any) -> None:
        outcome.append(result)
        loop.stop()

    loop.callWhenRunning(lambda: Deferred.fromCoroutine(work).addBoth(on_completed))
    loop.run()
    if not outcome:
        raise KeyboardInterrupt
    if isinstance(outcome[0], Failure):
        outcome[0].raiseException()
    result: T = outcome[0]
    return result
