"""Run one coroutine on the reactor to its end, for commands that finish by themselves."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

T = TypeVar("T")


def run_until_complete(work: Coroutine[Any, Any, T]) -> T:
    """Return the coroutine's result or raise its error. At most once in a process: a reactor can't be restarted.

    Raises KeyboardInterrupt if the reactor is stopped first."""
    from twisted.internet import reactor

    loop: Any = reactor
    outcome: list[Any] = []

    def end(result: Any) -> None:
        outcome.append(result)
        loop.stop()

    loop.callWhenRunning(lambda: Deferred.fromCoroutine(work).addBoth(end))
    loop.run()
    if not outcome:
        raise KeyboardInterrupt
    if isinstance(outcome[0], Failure):
        outcome[0].raiseException()
    result: T = outcome[0]
    return result
