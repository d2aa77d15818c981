"""Finds a node that asks the state service as fast as its budget lets it, though nothing comes of it."""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

WINDOW = 10
"""Samples, one a second: a picture or a rebuild is read in less."""
BUSY_SHARE = 0.8
"""Of the node's budget for requests."""
WRITES_SHARE = 0.02
"""A busy node that works writes more often than that."""


class Sample(NamedTuple):
    """What a node did within a second."""

    requests: int
    writes: int
    allowed: float
    """Requests that its budget gave out."""


def runs_away(samples: deque[Sample]) -> bool:
    """Whether a node used up its budget for the whole window, nearly without writing."""
    if len(samples) < WINDOW:
        return False
    requests = sum(one.requests for one in samples)
    writes = sum(one.writes for one in samples)
    return all(one.requests >= BUSY_SHARE * one.allowed for one in samples) and writes < WRITES_SHARE * requests


class Pace:
    """Counts requests and writes by caller; `look` closes a second."""

    def __init__(self) -> None:
        self._requests: Counter[str] = Counter()
        self._writes: Counter[str] = Counter()
        self._samples: dict[str, deque[Sample]] = {}

    def asked(self, caller: str, writes: bool) -> None:
        self._requests[caller] += 1
        self._writes[caller] += writes

    def look(self, allowed: dict[str, float]) -> list[str]:
        """The callers that run away, of those whose allowance is given; each is told once for a window."""
        found = []
        for caller, most in allowed.items():
            samples = self._samples.setdefault(caller, deque(maxlen=WINDOW))
            samples.append(Sample(self._requests[caller], self._writes[caller], most))
            if runs_away(samples):
                found.append(caller)
                samples.clear()
        self._requests.clear()
        self._writes.clear()
        return found
