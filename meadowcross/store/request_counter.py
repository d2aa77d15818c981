"""Counts a node's requests to the state service by cause, for the debug log."""

from __future__ import annotations

from collections import Counter
from logging import DEBUG
from typing import NamedTuple

from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, Seconds
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("store")

LOG_INTERVAL_S: Seconds = 10.0


class RequestCause(NamedTuple):
    """A category of requests: method, endpoint, first part of the requested key or prefix, and priority."""

    method: str
    endpoint: str
    key_family: str
    priority: RequestPriority

    def __str__(self) -> str:
        return f"{self.method} {self.endpoint} {self.key_family or '-'} {self.priority.name.lower()}"


def classify_request(method: str, path: str, priority: RequestPriority) -> RequestCause:
    """Return the cause of a request by its path: `/kv/j/wk-1` and `/kv?under=j/` both have the key family `j`."""
    endpoint, _, query = path.partition("?")
    parts = endpoint.split("/")
    key_family = ""
    if len(parts) > 2 and parts[1] == "kv":
        key_family = parts[2]
    elif query.startswith("under="):
        prefix = query.removeprefix("under=").partition("&")[0]
        key_family = prefix.partition("/")[0] or "all"
    return RequestCause(method, parts[1], key_family, priority)


class RequestCounter:
    """Counts requests by cause, and logs the counts at debug level at most once in `LOG_INTERVAL_S`.

    The log line is written by the first request after that time, so there is none without requests.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: Counter[RequestCause] = Counter()
        self._logged_at = Instant(clock.seconds())

    def count(self, method: str, path: str, priority: RequestPriority) -> None:
        """Count one request; does nothing unless the log is at debug level."""
        if not log.isEnabledFor(DEBUG):
            return
        self._counts[classify_request(method, path, priority)] += 1
        now = Instant(self._clock.seconds())
        if now - self._logged_at >= LOG_INTERVAL_S:
            log.debug("store requests elapsed_s=%.1f counts=%s", now - self._logged_at, self)
            self._counts.clear()
            self._logged_at = now

    def __str__(self) -> str:
        return ", ".join(f"{cause}: {count}" for cause, count in self._counts.most_common())
