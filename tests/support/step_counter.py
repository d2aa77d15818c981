"""Counts the lines of Python that a call executes, which is the same on every machine and under every load."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_steps(function: Callable[[], object]) -> int:
    """Return how many lines the call executes, in all functions that it calls; each turn of a loop counts anew."""
    steps = 0

    def trace(_frame: FrameType, event: str, _argument: object) -> Any:
        nonlocal steps
        if event == "line":
            steps += 1
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(previous)
    return steps
