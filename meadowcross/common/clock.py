"""The clock interface of a Twisted reactor; tests use `twisted.internet.task.Clock` in its place."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from meadowcross.common.types import Seconds


class Clock(Protocol):
    """Monotonic time in seconds and delayed calls."""

    def seconds(self) -> float: ...

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any) -> Any: ...


def pause(clock: Clock, seconds: Seconds) -> Deferred[None]:
    """A Deferred that fires after that many seconds of the clock."""
    done: Deferred[None] = Deferred()
    clock.callLater(seconds, done.callback, None)
    return done
