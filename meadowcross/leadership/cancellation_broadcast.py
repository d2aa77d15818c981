"""Stored cancellations, announced to the leader, so that it stops the tasks at once.

A leader learns of cancellations by its watch. Refused by the store alone its watch stands still, and in an outage of
all nodes it goes on answering its workers: what it never heard of ran on for as long as that lasted. So whoever stored
a cancellation announces it to the leader, and repeats that until a leader has acknowledged it, or has read it.

Nothing that users hear rests on the announcement: they hear `cancelled` once the end of the job is stored
(`jobs/api.py`).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from threading import Lock
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, JobId, NodeName, Revision, Seconds, revision_of
from meadowcross.leadership.messages import MAX_CANCELLATIONS, CancellationNotice

log = get_logger("leadership")

BATCH_DELAY_S: Seconds = 0.02
"""Cancellations are collected for so long: hundreds a second cost a few messages, not hundreds."""
RETRY_INTERVAL_S: Seconds = 1.0
MAX_REMEMBERED_JOBS = 5_000

SendNotice = Callable[[NodeName, CancellationNotice], Awaitable[bool]]
"""Sends a notice to the leader, and to all other peers; whether the leader acknowledged it in time."""


class CancellationHandler(Protocol):
    """A leader's term, as far as cancellations go."""

    def apply_announced_cancellations(self, notice: CancellationNotice) -> bool:
        """Stop the tasks of these jobs; False where the term can't take them in now."""


class StoredCancellation(NamedTuple):
    """The revision at which a job's cancellation was stored, and whether on no record but the end's."""

    revision: Revision
    is_unrecorded: bool


class CancellationBroadcast:
    """Announces what was stored here, and remembers what peers announced.

    Of a job whose cancellation was announced to it a node knows that for good: cancellations are irrevocable.
    """

    def __init__(
        self,
        clock: Clock,
        current_term: Callable[[], CancellationHandler | None],
        known_leader: Callable[[], tuple[NodeName, FencingToken] | None],
        send_notice: SendNotice,
    ) -> None:
        """`current_term` is this node's own, while it leads; `known_leader` who leads as far as it knows."""
        self._clock = clock
        self._current_term = current_term
        self._known_leader = known_leader
        self._send_notice = send_notice
        self._lock = Lock()
        self._is_scheduled = False
        self._announced: OrderedDict[JobId, None] = OrderedDict()
        self._unacknowledged: dict[JobId, StoredCancellation] = {}

    # What others announce

    def on_notice(self, notice: CancellationNotice) -> bool:
        """A peer's announcement, or our own. Returns whether we lead and have taken it in."""
        with self._lock:
            for job in notice.revisions:
                self._announced.pop(job, None)
                self._announced[job] = None
            while len(self._announced) > MAX_REMEMBERED_JOBS:
                self._announced.popitem(last=False)
        term = self._current_term()
        return term is not None and term.apply_announced_cancellations(notice)

    def is_announced(self, job: JobId) -> bool:
        """Whether a peer, or this node, has said that the job's cancellation is stored."""
        return job in self._announced

    @property
    def announced_count(self) -> int:
        """Of how many jobs this node remembers that their cancellation was announced."""
        return len(self._announced)

    # What this node announces

    @property
    def unacknowledged_count(self) -> int:
        """How many cancellations no leader has taken in yet."""
        return len(self._unacknowledged)

    def announce(self, job: JobId, revision: Revision, unrecorded: bool) -> None:
        """A cancellation was stored, or read, at this revision; `unrecorded`: on no record but the end's."""
        with self._lock:
            self._unacknowledged[job] = StoredCancellation(revision, unrecorded)
            # A leader that never answers, as one of an early version, hears by its watch: the oldest are let go.
            for oldest in list(self._unacknowledged)[: max(0, len(self._unacknowledged) - MAX_CANCELLATIONS)]:
                del self._unacknowledged[oldest]
        self._schedule(BATCH_DELAY_S)

    def _schedule(self, delay_s: Seconds) -> None:
        if self._unacknowledged and not self._is_scheduled:
            self._is_scheduled = True
            self._clock.callLater(delay_s, lambda: Deferred.fromCoroutine(self._send_pending()))

    async def _send_pending(self) -> None:
        leader = self._known_leader()
        if leader is not None:
            node, token = leader
            pending = self._take_pending(token)
            if pending:
                await self._send_to(node, token, pending)
        self._is_scheduled = False
        self._schedule(RETRY_INTERVAL_S)

    def _take_pending(self, token: FencingToken) -> dict[JobId, StoredCancellation]:
        """What the leader with this token may not have read; the rest is let go.

        Whoever was elected after a cancellation was stored has read it before anything else, but for one on no record.
        In a new epoch revisions begin anew, and a leader that has read it hears of it once more.
        """
        elected_at = revision_of(token)
        with self._lock:
            self._unacknowledged = {
                job: cancellation
                for job, cancellation in self._unacknowledged.items()
                if cancellation.is_unrecorded or cancellation.revision >= elected_at
            }
            return dict(self._unacknowledged)

    async def _send_to(self, node: NodeName, token: FencingToken, pending: dict[JobId, StoredCancellation]) -> None:
        revisions = {job: cancellation.revision for job, cancellation in pending.items()}
        unrecorded = [job for job, cancellation in pending.items() if cancellation.is_unrecorded]
        notice = CancellationNotice(0, token, revisions, unrecorded)
        try:
            is_acknowledged = self.on_notice(notice) or await self._send_notice(node, notice)
        except Exception:
            # What is pending is sent again.
            log.exception("announcing cancellations failed")
            return
        outcome = "acknowledged" if is_acknowledged else "no answer"
        log.info("%d stored cancellations announced to leader %s: %s", len(pending), node, outcome)
        if is_acknowledged:
            self._forget_acknowledged(pending)

    def _forget_acknowledged(self, acknowledged: dict[JobId, StoredCancellation]) -> None:
        with self._lock:
            for job, cancellation in acknowledged.items():
                if self._unacknowledged.get(job) == cancellation:
                    del self._unacknowledged[job]
