"""Logs and counts the commands that a leader sends to workers, and detects attempts that return after their release.

A line names the token and the worker's incarnation, by which the worker accepts or rejects a command, so that the log
shows for each start whether a worker may still execute it.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from enum import Enum
from logging import DEBUG
from typing import NamedTuple

from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, Instant, MachineId, Seconds
from meadowcross.workers.messages import Command, Heartbeat, TaskReport

log = get_logger("workers")

COUNTS_INTERVAL_S: Seconds = 60.0
"""Shortest time between two lines of counts."""
MAX_RELEASED_ATTEMPTS = 8_192
"""Attempts that are remembered after their release, about a minute of a large cluster."""


class CommandEvent(Enum):
    """What is counted; the values are the keys of the log line."""

    REQUEST = "requests"
    START = "starts"
    REPEATED_START = "repeated_starts"
    STOP = "stops"
    REAP = "reaps"
    REJECTED = "rejected"
    """Requests that a worker answered with 409."""
    UNANSWERED = "unanswered"
    REAPPEARED = "reappeared"
    """Attempts that a worker reported again after their release."""


class ReleasedAttempt(NamedTuple):
    """An attempt that was reaped, or released since its machine did not report it any more."""

    machine: MachineId
    task: str
    attempt: int


class SentCommands(NamedTuple):
    """One request with direct commands."""

    machine: MachineId
    token: FencingToken
    incarnation: int
    starts: Sequence[Command]
    repeated_starts: Sequence[Command]
    """Starts of an earlier request that was not answered."""
    stops: Sequence[Command]


class CommandLog:
    """The commands of one term."""

    def __init__(self) -> None:
        self.counts: Counter[CommandEvent] = Counter()
        """Events since the last line of counts."""
        self._counted_since: Instant | None = None
        self._released: OrderedDict[ReleasedAttempt, None] = OrderedDict()

    def on_sent(self, sent: SentCommands) -> None:
        """Record a request that is about to be sent."""
        self.counts[CommandEvent.REQUEST] += 1
        self.counts[CommandEvent.START] += len(sent.starts)
        self.counts[CommandEvent.REPEATED_START] += len(sent.repeated_starts)
        self.counts[CommandEvent.STOP] += len(sent.stops)
        if log.isEnabledFor(DEBUG):
            log.debug(
                "commands sent machine=%s token=%d incarnation=%d starts=%s repeated_starts=%s stops=%s",
                sent.machine,
                sent.token,
                sent.incarnation,
                _attempts(sent.starts),
                _attempts(sent.repeated_starts),
                _attempts(sent.stops),
            )

    def on_answered(self, token: FencingToken, is_rejected: bool, status: Heartbeat) -> None:
        """Record the answer to a request with this token; the worker has executed it unless `is_rejected`."""
        self.counts[CommandEvent.REJECTED] += is_rejected
        log.debug(
            "commands answered machine=%s token=%d rejected=%s incarnation=%d sequence=%d seen_token=%d",
            status.machine,
            token,
            is_rejected,
            status.incarnation,
            status.seq,
            status.token,
        )

    def on_unanswered(self, machine: MachineId, token: FencingToken, starts: int, error: Exception) -> None:
        """Record a request without an answer: the worker may execute it at any later time."""
        self.counts[CommandEvent.UNANSWERED] += 1
        log.info("no response to start commands machine=%s count=%d error=%s", machine, starts, error)
        log.debug("commands unanswered machine=%s token=%d", machine, token)

    def on_heartbeat_response(self, heartbeat: Heartbeat, token: FencingToken, commands: Sequence[Command]) -> None:
        """Record the commands in the response to a heartbeat."""
        reaps = [command for command in commands if command.op == "reap"]
        self.counts[CommandEvent.STOP] += len(commands) - len(reaps)
        self.counts[CommandEvent.REAP] += len(reaps)
        for command in reaps:
            self.on_released(heartbeat.machine, command.task, command.attempt)
        if log.isEnabledFor(DEBUG):
            log.debug(
                "heartbeat answered machine=%s token=%d incarnation=%d sequence=%d seen_token=%d stops=%s reaps=%s",
                heartbeat.machine,
                token,
                heartbeat.incarnation,
                heartbeat.seq,
                heartbeat.token,
                _attempts(command for command in commands if command.op == "stop"),
                _attempts(reaps),
            )

    def on_released(self, machine: MachineId, task: str, attempt: int) -> None:
        """Remember an attempt that its machine should not run again."""
        self._released[ReleasedAttempt(machine, task, attempt)] = None
        if len(self._released) > MAX_RELEASED_ATTEMPTS:
            self._released.popitem(last=False)

    def check_stale_tasks(self, heartbeat: Heartbeat, stale_tasks: Iterable[TaskReport]) -> None:
        """Log each task without a placement that was released before: a command that started it was executed late."""
        for task in stale_tasks:
            released = ReleasedAttempt(heartbeat.machine, task.task, task.attempt)
            if released not in self._released:
                continue
            del self._released[released]
            self.counts[CommandEvent.REAPPEARED] += 1
            log.error(
                "released attempt reported again task=%s attempt=%d machine=%s state=%s incarnation=%d sequence=%d "
                "seen_token=%d",
                task.task,
                task.attempt,
                heartbeat.machine,
                task.state.value,
                heartbeat.incarnation,
                heartbeat.seq,
                heartbeat.token,
            )

    def log_counts_if_due(self, term: FencingToken, now: Instant) -> None:
        """Log the counts at most once every `COUNTS_INTERVAL_S`, and not without an event."""
        if self._counted_since is None:
            self._counted_since = now
        elapsed_s = now - self._counted_since
        if elapsed_s < COUNTS_INTERVAL_S or not self.counts:
            return
        counts = " ".join(f"{event.value}={self.counts[event]}" for event in CommandEvent)
        log.info("worker commands term=%d elapsed_s=%.0f %s", term, elapsed_s, counts)
        self.counts.clear()
        self._counted_since = now


def _attempts(commands: Iterable[Command]) -> str:
    """Return `task@attempt` of each command, separated by commas, or `-` for none."""
    return ",".join(f"{command.task}@{command.attempt}" for command in commands) or "-"
