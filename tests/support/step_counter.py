"""Counts the lines of Python that a call executes, which is the same on every machine and under every load."""

from __future__ import annotations

import sys
from collections.abc import Callable
from math import inf
from types import FrameType
from typing import Any


class StepLimitError(BaseException):
    """Ends a call that executes more lines than it may; no error boundary contains it."""


def count_steps(function: Callable[[], object], limit: float = inf) -> int:
    """Return how many lines the call executes, in all functions that it calls; each turn of a loop counts anew.

    Raises StepLimitError once there are more than `limit`.
    """
    steps = 0

    def trace(_frame: FrameType, event: str, _argument: object) -> Any:
        nonlocal steps
        if event == "line":
            steps += 1
            if steps > limit:
                raise StepLimitError(limit)
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(previous)
    return steps
