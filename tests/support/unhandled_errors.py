"""Collects unhandled errors of Deferreds from Twisted's log: one event announces it, the next has the failure."""

from __future__ import annotations

from typing import Any

UNHANDLED_ERROR_FORMAT = "Unhandled error in Deferred:"


class UnhandledErrors:
    """An observer of Twisted's log that keeps the traceback of each unhandled error."""

    def __init__(self) -> None:
        self.tracebacks: list[str] = []
        self._next = False

    def __call__(self, event: dict[str, Any]) -> None:
        if event.get("log_format") == UNHANDLED_ERROR_FORMAT:
            self._next = True
        elif self._next and "log_failure" in event:
            self._next = False
            self.tracebacks.append(str(event["log_failure"].getTraceback()))
