"""Cancels that are stored, told to who leads, so that it stops the tasks at once.

A leader learns of cancels by its watch. Refused by the state service alone its watch stands still, and in an outage of
all nodes it goes on answering its workers: what it never heard of ran on for as long as that lasted. So whoever stored
a cancel tells the leader, and repeats it until one has answered that took it in, or has read it.

Nothing that users hear rests on this word: they hear `cancelled` once the end of the job is stored (`jobs/api.py`).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from threading import Lock
from typing import Protocol

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, JobId, NodeName, Revision, Seconds, revision_of
from meadowcross.leadership.messages import MAX_CANCELLATIONS, CancellationNotice

log = get_logger("leadership")

BATCH_DELAY_S: Seconds = 0.02
"""Cancels are gathered for so long: hundreds a second cost a few messages, not hundreds."""
RETRY_INTERVAL_S: Seconds = 1.0
MAX_REMEMBERED_JOBS = 5_000

SendNotice = Callable[[NodeName, CancellationNotice], Awaitable[bool]]


class CancellationHandler(Protocol):
    """Of a term, what cancels ask of it."""

    def apply_announced_cancellations(self, notice: CancellationNotice) -> bool: ...


class CancellationBroadcast:
    def __init__(
        self,
        clock: Clock,
        current_term: Callable[[], CancellationHandler | None],
        known_leader: Callable[[], tuple[NodeName, FencingToken] | None],
        send_notice: SendNotice,
    ) -> None:
        """`leader` is who leads as far as this node knows. `ask` tells it of cancels: whether it took them in."""
        self._clock = clock
        self._current_term = current_term
        self._known_leader = known_leader
        self._send_notice = send_notice
        self._lock = Lock()
        self._is_scheduled = False
        self._announced: OrderedDict[JobId, None] = OrderedDict()
        self._unacknowledged: dict[JobId, tuple[Revision, bool]] = {}
        """Stored at this version, and whether on no record but the end's; no leader has taken it in yet."""

    # What others tell

    def on_notice(self, notice: CancellationNotice) -> bool:
        """A peer's word, or our own. Returns whether we lead and have taken it in."""
        with self._lock:
            for job in notice.revisions:
                self._announced.pop(job, None)
                self._announced[job] = None
            while len(self._announced) > MAX_REMEMBERED_JOBS:
                self._announced.popitem(last=False)
        term = self._current_term()
        return term is not None and term.apply_announced_cancellations(notice)

    def is_announced(self, job: JobId) -> bool:
        """Whether a peer, or this node, has said that the job's cancel is stored; they are irrevocable."""
        return job in self._announced

    # What we tell

    def announce(self, job: JobId, mark: Revision, unrecorded: bool) -> None:
        """A cancel was stored, or read, at this version; `unrecorded`: on no record but the end's."""
        with self._lock:
            self._unacknowledged[job] = (mark, unrecorded)
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
            with self._lock:
                # Whoever was elected after a cancel was stored has read it before anything else, but for one on no
                # record. In a new era versions begin anew, and one that has read it hears of it once more.
                elected = revision_of(leader[1])
                self._unacknowledged = {
                    job: one for job, one in self._unacknowledged.items() if one[1] or one[0] >= elected
                }
                pending = dict(self._unacknowledged)
            if pending:
                await self._send_to(*leader, pending)
        self._is_scheduled = False
        self._schedule(RETRY_INTERVAL_S)

    async def _send_to(self, node: NodeName, token: FencingToken, pending: dict[JobId, tuple[Revision, bool]]) -> None:
        unrecorded = [job for job, (_, lost) in pending.items() if lost]
        notice = CancellationNotice(0, token, {job: mark for job, (mark, _) in pending.items()}, unrecorded)
        try:
            is_acknowledged = self.on_notice(notice) or await self._send_notice(node, notice)
        except Exception:
            log.exception("telling of cancels failed")
            return
        log.info(
            "%d stored cancels told to leader %s: %s",
            len(pending),
            node,
            "taken in" if is_acknowledged else "no answer",
        )
        if is_acknowledged:
            with self._lock:
                for job, cancellation in pending.items():
                    if self._unacknowledged.get(job) == cancellation:
                        del self._unacknowledged[job]
