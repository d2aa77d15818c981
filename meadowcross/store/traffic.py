"""Counts a node's requests to the state service by cause, for the log."""

from __future__ import annotations

from collections import Counter
from logging import DEBUG
from typing import NamedTuple

from meadowcross.common.clock import Clock
from meadowcross.common.logging import logger
from meadowcross.common.types import Instant, Seconds
from meadowcross.store.budget import Urgency

log = logger("store")

LOG_EVERY_S: Seconds = 10.0


class Cause(NamedTuple):
    """What a request is for: its method, the endpoint, the family of keys that it names, and its urgency."""

    method: str
    endpoint: str
    family: str
    urgency: Urgency

    def __str__(self) -> str:
        return f"{self.method} {self.endpoint} {self.family or '-'} {self.urgency.name.lower()}"


def cause_of(method: str, path: str, urgency: Urgency) -> Cause:
    """The cause of a request as its path tells it: `/kv/j/wk-1` and `/kv?under=j/` both concern `j`."""
    endpoint, _, query = path.partition("?")
    parts = endpoint.split("/")
    family = ""
    if len(parts) > 2 and parts[1] == "kv":
        family = parts[2]
    elif query.startswith("under="):
        family = query.removeprefix("under=").partition("&")[0].partition("/")[0] or "all"
    return Cause(method, parts[1], family, urgency)


class Traffic:
    """Requests by cause since the last log line, which is written at debug with the first request that is due."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: Counter[Cause] = Counter()
        self._since = Instant(clock.seconds())

    def count(self, method: str, path: str, urgency: Urgency) -> None:
        """Note one request; costs nothing but a comparison unless the log is at debug."""
        if not log.isEnabledFor(DEBUG):
            return
        self._counts[cause_of(method, path, urgency)] += 1
        now = Instant(self._clock.seconds())
        if now - self._since >= LOG_EVERY_S:
            log.debug("requests in %.1f s: %s", now - self._since, self)
            self._counts.clear()
            self._since = now

    def __str__(self) -> str:
        return ", ".join(f"{cause}: {count}" for cause, count in self._counts.most_common())
