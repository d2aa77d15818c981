"""Collects the errors that error boundaries contained."""

from __future__ import annotations

import logging


class ContainedErrors(logging.Handler):
    """A handler of `error_boundary.log` that keeps each record."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []
        self.are_expected = False
        """Set by a test that injects errors; without it the test fails after any contained error."""

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the record."""
        self.records.append(record)

    def activities(self) -> set[str]:
        """The activities in which errors were contained."""
        return {str(record.args[0]) for record in self.records if isinstance(record.args, tuple)}

    def describe_first(self) -> str:
        """The first record with its traceback, as it would be logged."""
        return logging.Formatter().format(self.records[0]) if self.records else "no contained error"
