"""Detects nodes that query the state service in an endless loop: at their full rate, almost without writes."""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

WINDOW_SAMPLES = 10
"""Number of samples, one per second. Reading a snapshot or rebuilding the state takes less time."""
BUSY_SHARE = 0.8
"""A node is busy in a second in which it uses this share of its allowed requests."""
WRITES_SHARE = 0.02
"""A busy node that makes progress has a higher share of writes among its requests."""


class Sample(NamedTuple):
    """Requests and writes of a node within one second."""

    requests: int
    writes: int
    allowed: float
    """Number of requests that the node's rate share allows."""


def is_request_loop(samples: deque[Sample]) -> bool:
    """Whether a node was busy in each second of the whole window, and nearly all its requests were reads."""
    if len(samples) < WINDOW_SAMPLES:
        return False
    requests = sum(sample.requests for sample in samples)
    writes = sum(sample.writes for sample in samples)
    return (
        all(sample.requests >= BUSY_SHARE * sample.allowed for sample in samples) and writes < WRITES_SHARE * requests
    )


class RequestLoopDetector:
    """Counts requests and writes by caller; `end_second` has to be called once a second."""

    def __init__(self) -> None:
        self._requests: Counter[str] = Counter()
        self._writes: Counter[str] = Counter()
        self._samples: dict[str, deque[Sample]] = {}

    def count_request(self, caller: str, writes: bool) -> None:
        """Count one request, which is a write or a read."""
        self._requests[caller] += 1
        self._writes[caller] += writes

    def end_second(self, allowed: dict[str, float]) -> list[str]:
        """Return the callers in an endless loop; each is reported once per window.

        `allowed`: by caller, the number of requests that its rate share allowed within this second.
        """
        looping = []
        for caller, limit in allowed.items():
            samples = self._samples.setdefault(caller, deque(maxlen=WINDOW_SAMPLES))
            samples.append(Sample(self._requests[caller], self._writes[caller], limit))
            if is_request_loop(samples):
                looping.append(caller)
                samples.clear()
        self._requests.clear()
        self._writes.clear()
        return looping
