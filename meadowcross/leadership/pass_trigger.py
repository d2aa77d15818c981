"""Delays requests for placement passes and merges them into one pass."""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.common.types import Seconds
from meadowcross.leadership.term_context import TermContext, TermLifecycle

MIN_PASS_DELAY_S: Seconds = 0.02
PASS_PAUSE_RATIO = 5.0
"""The pause before a pass, as a multiple of the last pass's duration: heartbeats and users are served in between."""


class PassTrigger:
    """Runs a pass soon after a request. Components send requests here, so that none depends on the scheduling loop."""

    def __init__(self, context: TermContext, lifecycle: TermLifecycle) -> None:
        self._clock = context.clock
        self._lifecycle = lifecycle
        self._run_pass: Callable[[], None] = lambda: None
        self.is_scheduled = False
        """Whether a pass is due; further requests are ignored until it has begun."""
        self.last_pass_s: Seconds = 0.0
        """Duration of the last pass."""

    def set_runner(self, run_pass: Callable[[], None]) -> None:
        """Set the function that runs a pass; it resets `is_scheduled` and sets `last_pass_s`."""
        self._run_pass = run_pass

    def schedule_pass(self) -> None:
        """Run a pass after a short delay, unless one is due already or the term is not active."""
        if not self.is_scheduled and not self._lifecycle.is_stopped and self._lifecycle.is_loaded:
            self.is_scheduled = True
            self._clock.callLater(max(MIN_PASS_DELAY_S, PASS_PAUSE_RATIO * self.last_pass_s), self._run_pass)
