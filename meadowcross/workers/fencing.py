"""The fencing tokens that one leader gives to workers, and which start commands a worker still executes.

A worker executes a start again if it has forgotten the attempt, however old the command is, as long as the command's
token is not lower than the highest one that the worker has seen, and its incarnation is the worker's. So an attempt is
reaped only under a token higher than that of each command that started it: the worker that executes such a reap rejects
every copy of those commands from then on.

Within a term the token rises to revisions of the term's own transactions. These carry the leader key as a condition, so
the key of any later leader has a higher revision, and a token needs no bits beside the revision.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from meadowcross.common.types import Attempt, FencingToken, Revision, TaskId, compose_token, store_epoch_of

NO_TOKEN = FencingToken(0)
"""Lower than the token of any leader."""


class TaskAttempt(NamedTuple):
    """One attempt of a task, as a start command names it."""

    task: TaskId
    attempt: Attempt


class TermTokens:
    """The range of tokens that belong to one term: from its leader key's revision to that of its last transaction."""

    def __init__(self, term: FencingToken) -> None:
        """`term` is the token of the leader key, which identifies the term."""
        self.term = term
        self.newest = term
        """The highest token that the term may give to a worker. A worker with a higher one has heard a later leader."""
        self._announced = term
        self._previously_announced = term
        self._is_announcement_required = False

    def record_commit(self, revision: Revision) -> None:
        """Record the revision of a stored transaction that had the leader key as a condition."""
        self.newest = max(self.newest, compose_token(store_epoch_of(self.term), revision))

    def announce(self, has_relays: bool) -> FencingToken:
        """Return the newest token, to be announced to the relays now.

        While there are relays, a token is given to workers only after the next announcement, so that a relay knows it
        before a worker shows it. To be called at regular intervals.
        """
        self._previously_announced, self._announced = self._announced, self.newest
        self._is_announcement_required = has_relays
        return self.newest

    @property
    def issuable(self) -> FencingToken:
        """The highest token that may be given to a worker now."""
        return self._previously_announced if self._is_announcement_required else self.newest


class SentStart(NamedTuple):
    """How a start command was sent; only a worker of this incarnation that has seen no higher token executes it."""

    incarnation: int
    token: FencingToken


@dataclass(slots=True)
class WorkerFence:
    """What a worker has been given and has shown, and the starts that it would still execute."""

    issued_token: FencingToken = NO_TOKEN
    """The highest token of this term that the worker was given for a reap, or has shown; `NO_TOKEN` before either."""
    shown_token: FencingToken = NO_TOKEN
    """The highest token that a status of the worker has carried."""
    executable_starts: dict[TaskAttempt, SentStart] = field(default_factory=dict)
    """The last start command of each attempt, answered or not, unless the worker has shown that it rejects it."""

    def record_start(self, start: TaskAttempt, sent: SentStart) -> None:
        """Record a start command that is about to be sent."""
        self.executable_starts[start] = sent

    def on_status(self, incarnation: int, token: FencingToken) -> bool:
        """Drop the starts that a worker with this incarnation and token rejects; returns whether there were any."""
        self.shown_token = max(self.shown_token, token)
        count = len(self.executable_starts)
        self.executable_starts = {
            start: sent
            for start, sent in self.executable_starts.items()
            if sent.incarnation >= incarnation and sent.token >= token
        }
        return len(self.executable_starts) < count

    def may_reap(self, start: TaskAttempt, token: FencingToken) -> bool:
        """Whether a worker that reaps the attempt under this token rejects all commands that started it."""
        sent = self.executable_starts.get(start)
        return sent is None or sent.token < token
