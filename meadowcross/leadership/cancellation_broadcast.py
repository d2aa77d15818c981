"""Announces stored cancellations to the leader, so that it stops the tasks at once.

A leader reads cancellations from its watch. If the store refuses only the leader, the watch stalls, and if the store
then fails for all nodes, the leader still responds to its workers, so the cancelled tasks would run until the end of
the outage. Therefore the node that stored a cancellation announces it to the leader, and repeats the announcement until
a leader has acknowledged it or has certainly read it from the store.

Responses to users do not depend on announcements: a job is reported as `cancelled` only once its end is stored
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
"""Cancellations are collected for this long, so that hundreds per second need only a few messages."""
RETRY_INTERVAL_S: Seconds = 1.0
MAX_REMEMBERED_JOBS = 5_000
"""Limit of remembered announcements; the oldest are dropped."""

SendNotice = Callable[[NodeName, CancellationNotice], Awaitable[bool]]
"""Sends a notice to the leader and all other peers; returns whether the leader acknowledged the notice in time."""


class CancellationHandler(Protocol):
    """The part of a leader's term that applies announced cancellations."""

    def apply_announced_cancellations(self, notice: CancellationNotice) -> bool:
        """Stop the tasks of the jobs in the notice; return False if the term can't apply the notice now."""


class StoredCancellation(NamedTuple):
    """The revision at which a cancellation was stored, and whether it is unrecorded (stored by the end record only)."""

    revision: Revision
    is_unrecorded: bool


class CancellationBroadcast:
    """Announces cancellations that this node stored, and remembers cancellations that peers announced.

    Cancellations are irrevocable, so a remembered announcement never becomes wrong.
    """

    def __init__(
        self,
        clock: Clock,
        current_term: Callable[[], CancellationHandler | None],
        known_leader: Callable[[], tuple[NodeName, FencingToken] | None],
        send_notice: SendNotice,
    ) -> None:
        """`current_term` returns the term of this node, or None while it does not lead.

        `known_leader` returns the last known leader and its token, or None.
        """
        self._clock = clock
        self._current_term = current_term
        self._known_leader = known_leader
        self._send_notice = send_notice
        self._lock = Lock()
        self._is_scheduled = False
        self._announced: OrderedDict[JobId, None] = OrderedDict()
        self._unacknowledged: dict[JobId, StoredCancellation] = {}

    # Announcements of peers

    def on_notice(self, notice: CancellationNotice) -> bool:
        """Remember the announced cancellations, and apply them if this node leads; return whether they were applied."""
        with self._lock:
            for job in notice.revisions:
                self._announced.pop(job, None)
                self._announced[job] = None
            while len(self._announced) > MAX_REMEMBERED_JOBS:
                self._announced.popitem(last=False)
        term = self._current_term()
        return term is not None and term.apply_announced_cancellations(notice)

    def is_announced(self, job: JobId) -> bool:
        """Return whether a peer or this node has announced a stored cancellation of the job."""
        return job in self._announced

    @property
    def announced_count(self) -> int:
        """The number of jobs whose announced cancellation this node remembers, at most `MAX_REMEMBERED_JOBS`."""
        return len(self._announced)

    # Announcements of this node

    @property
    def unacknowledged_count(self) -> int:
        """The number of cancellations that no leader has acknowledged yet."""
        return len(self._unacknowledged)

    def announce(self, job: JobId, revision: Revision, unrecorded: bool) -> None:
        """Announce a cancellation that was stored, or read, at this revision.

        `unrecorded`: it is stored by the end record only, as the job record was lost.
        """
        with self._lock:
            self._unacknowledged[job] = StoredCancellation(revision, unrecorded)
            # A leader that never acknowledges, such as one of an early version, relies on its watch. The oldest
            # cancellations are dropped.
            for oldest_job in list(self._unacknowledged)[: max(0, len(self._unacknowledged) - MAX_CANCELLATIONS)]:
                del self._unacknowledged[oldest_job]
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
        """Return the cancellations that the leader with this token may not have read, and drop all others.

        A leader that was elected after a cancellation was stored reads that cancellation before anything else, unless
        the cancellation is unrecorded. In a new epoch revisions start again, so a leader may receive an announcement
        of a cancellation that it has read.
        """
        election_revision = revision_of(token)
        with self._lock:
            self._unacknowledged = {
                job: cancellation
                for job, cancellation in self._unacknowledged.items()
                if cancellation.is_unrecorded or cancellation.revision >= election_revision
            }
            return dict(self._unacknowledged)

    async def _send_to(self, node: NodeName, token: FencingToken, pending: dict[JobId, StoredCancellation]) -> None:
        revisions = {job: cancellation.revision for job, cancellation in pending.items()}
        unrecorded = [job for job, cancellation in pending.items() if cancellation.is_unrecorded]
        notice = CancellationNotice(0, token, revisions, unrecorded)
        try:
            is_acknowledged = self.on_notice(notice) or await self._send_notice(node, notice)
        except Exception:
            # The pending cancellations are sent again after the retry interval.
            log.exception("announcing cancellations failed")
            return
        outcome = "acknowledged" if is_acknowledged else "unacknowledged"
        log.info("stored cancellations announced count=%d node=%s outcome=%s", len(pending), node, outcome)
        if is_acknowledged:
            self._forget_acknowledged(pending)

    def _forget_acknowledged(self, acknowledged: dict[JobId, StoredCancellation]) -> None:
        with self._lock:
            for job, cancellation in acknowledged.items():
                if self._unacknowledged.get(job) == cancellation:
                    del self._unacknowledged[job]
