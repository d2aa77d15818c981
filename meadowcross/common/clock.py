"""The clock interface of a Twisted reactor, which `twisted.internet.task.Clock` implements for tests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from meadowcross.common.types import Seconds


class Clock(Protocol):
    """A reactor's time in seconds, and delayed calls."""

    def seconds(self) -> float:
        """Return the current time in seconds."""
        ...

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any) -> Any:
        """Call `callable` after `delay` seconds. Returns a handle that can cancel the call."""
        ...


def pause(clock: Clock, seconds: Seconds) -> Deferred[None]:
    """Return a Deferred that fires with None after `seconds` seconds of the clock."""
    elapsed: Deferred[None] = Deferred()
    clock.callLater(seconds, elapsed.callback, None)
    return elapsed
