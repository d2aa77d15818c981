"""The part of a reactor that tells and waits; tests put a fake one in its place."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from meadowcross.common.types import Seconds


class Clock(Protocol):
    def seconds(self) -> float: ...

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any) -> Any: ...


def pause(clock: Clock, seconds: Seconds) -> Deferred[None]:
    done: Deferred[None] = Deferred()
    clock.callLater(seconds, done.callback, None)
    return done
