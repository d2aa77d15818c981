"""Collects errors of Deferreds that nobody handled: Twisted logs one event that says so, then one with the failure."""

from __future__ import annotations

from typing import Any

SAID = "Unhandled error in Deferred:"


class UnhandledErrors:
    """An observer of Twisted's log."""

    def __init__(self) -> None:
        self.found: list[str] = []
        self._next = False

    def __call__(self, event: dict[str, Any]) -> None:
        if event.get("log_format") == SAID:
            self._next = True
        elif self._next and "log_failure" in event:
            self._next = False
            self.found.append(str(event["log_failure"].getTraceback()))
