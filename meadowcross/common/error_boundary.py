"""Keeps an unexpected error of the work for one job or one machine from ending the work for all others.

Loops of the leader serve all jobs and machines. Without a boundary for each of them, one exception ends the whole
round, and every later round as well, since the state that raised it is still there.

A boundary contains errors, not time: a block that runs for long keeps the reactor from everything else, renewals of the
leader lease included. It logs such a block with the job and the machine that it ran for.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from time import perf_counter
from types import TracebackType

from meadowcross.common.logging import get_logger
from meadowcross.common.types import JobId, MachineId, Seconds

REPEAT_INTERVAL_S: Seconds = 60.0
"""A contained error of the same activity, job and machine is logged again after this time."""
MAX_REMEMBERED_ERRORS = 1_000
SLOW_STEP_S: Seconds = 0.25
"""A block that takes at least this time is logged: an eighth of the default leader lease."""


class RepeatFilter(logging.Filter):
    """Drops a record whose message and arguments were logged less than `REPEAT_INTERVAL_S` ago.

    A fault in a placement pass recurs many times a second, and each traceback costs time and space.
    """

    def __init__(self) -> None:
        super().__init__()
        self._logged_at: dict[tuple[str, object], float] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is to be logged."""
        key = (record.msg, record.args)
        logged_at = self._logged_at.get(key)
        if logged_at is not None and record.created - logged_at < REPEAT_INTERVAL_S:
            return False
        if len(self._logged_at) >= MAX_REMEMBERED_ERRORS:
            self._logged_at.clear()
        self._logged_at[key] = record.created
        return True

    def reset(self) -> None:
        """Forget the records logged so far."""
        self._logged_at.clear()


log = get_logger("common.errors")
repeat_filter = RepeatFilter()
log.addFilter(repeat_filter)
step_log = get_logger("common.steps")


class ErrorBoundary:
    """A context manager that logs an exception of its block and lets the program continue after the block.

    Exceptions that are not errors, such as `KeyboardInterrupt`, are not contained. A block that takes `SLOW_STEP_S` or
    longer is logged too, so the block must not await anything.
    """

    __slots__ = ("_activity", "_entered_at", "_job", "_machine", "has_failed")

    def __init__(self, activity: str, *, job: JobId | None = None, machine: MachineId | None = None) -> None:
        """`activity`: what the block does; `job` and `machine`: whom it does it for, if it is for one of them."""
        self._activity = activity
        self._job = job
        self._machine = machine
        self.has_failed = False
        """Whether an exception was contained."""
        self._entered_at = 0.0

    def __enter__(self) -> ErrorBoundary:
        self._entered_at = perf_counter()
        return self

    def __exit__(
        self, exception_type: type[BaseException] | None, exception: BaseException | None, trace: TracebackType | None
    ) -> bool:
        elapsed_s = perf_counter() - self._entered_at
        if elapsed_s >= SLOW_STEP_S:
            step_log.info(
                'slow step activity="%s" job=%s machine=%s elapsed_s=%.2f',
                self._activity,
                self._job,
                self._machine,
                elapsed_s,
            )
        if not isinstance(exception, Exception):
            return False
        self.has_failed = True
        log.error(
            'unexpected error contained activity="%s" job=%s machine=%s',
            self._activity,
            self._job,
            self._machine,
            exc_info=exception,
        )
        return True


def contain_errors(activity: str, function: Callable[[], None]) -> Callable[[], None]:
    """Return a function that calls `function` within a boundary; for a `LoopingCall`, which an exception would end."""

    def run() -> None:
        with ErrorBoundary(activity):
            function()

    return run
