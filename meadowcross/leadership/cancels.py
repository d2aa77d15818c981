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
from meadowcross.common.logging import logger
from meadowcross.common.types import JobId, Mark, NodeName, Seconds, Token, mark_of
from meadowcross.leadership.messages import MAX_CANCELS, CancelsTold

log = logger("leadership")

GATHER_S: Seconds = 0.02
"""Cancels are gathered for so long: hundreds a second cost a few messages, not hundreds."""
REPEAT_S: Seconds = 1.0
MAX_REMEMBERED = 5_000

Ask = Callable[[NodeName, CancelsTold], Awaitable[bool]]


class Leading(Protocol):
    """Of a term, what cancels ask of it."""

    def take_cancels(self, told: CancelsTold) -> bool: ...


class Cancels:
    def __init__(
        self,
        clock: Clock,
        term: Callable[[], Leading | None],
        leader: Callable[[], tuple[NodeName, Token] | None],
        ask: Ask,
    ) -> None:
        """`leader` is who leads as far as this node knows. `ask` tells it of cancels: whether it took them in."""
        self._clock = clock
        self._term = term
        self._leader = leader
        self._ask = ask
        self._lock = Lock()
        self._set = False
        self._heard: OrderedDict[JobId, None] = OrderedDict()
        self._untold: dict[JobId, tuple[Mark, bool]] = {}
        """Stored at this version, and whether on no record but the end's; no leader has taken it in yet."""

    # What others tell

    def heard(self, told: CancelsTold) -> bool:
        """A peer's word, or our own. Returns whether we lead and have taken it in."""
        with self._lock:
            for job in told.jobs:
                self._heard.pop(job, None)
                self._heard[job] = None
            while len(self._heard) > MAX_REMEMBERED:
                self._heard.popitem(last=False)
        term = self._term()
        return term is not None and term.take_cancels(told)

    def is_told(self, job: JobId) -> bool:
        """Whether a peer, or this node, has said that the job's cancel is stored; they are irrevocable."""
        return job in self._heard

    # What we tell

    def tell(self, job: JobId, mark: Mark, unrecorded: bool) -> None:
        """A cancel was stored, or read, at this version; `unrecorded`: on no record but the end's."""
        with self._lock:
            self._untold[job] = (mark, unrecorded)
            # A leader that never answers, as one of an early version, hears by its watch: the oldest are let go.
            for oldest in list(self._untold)[: max(0, len(self._untold) - MAX_CANCELS)]:
                del self._untold[oldest]
        self._arm(GATHER_S)

    def _arm(self, wait: Seconds) -> None:
        if self._untold and not self._set:
            self._set = True
            self._clock.callLater(wait, lambda: Deferred.fromCoroutine(self._tell()))

    async def _tell(self) -> None:
        leader = self._leader()
        if leader is not None:
            with self._lock:
                # Whoever was elected after a cancel was stored has read it before anything else, but for one on no
                # record. In a new era versions begin anew, and one that has read it hears of it once more.
                elected = mark_of(leader[1])
                self._untold = {job: one for job, one in self._untold.items() if one[1] or one[0] >= elected}
                telling = dict(self._untold)
            if telling:
                await self._tell_to(*leader, telling)
        self._set = False
        self._arm(REPEAT_S)

    async def _tell_to(self, node: NodeName, token: Token, telling: dict[JobId, tuple[Mark, bool]]) -> None:
        unrecorded = [job for job, (_, lost) in telling.items() if lost]
        told = CancelsTold(0, token, {job: mark for job, (mark, _) in telling.items()}, unrecorded)
        try:
            taken = self.heard(told) or await self._ask(node, told)
        except Exception:
            log.exception("telling of cancels failed")
            return
        log.info("%d stored cancels told to leader %s: %s", len(telling), node, "taken in" if taken else "no answer")
        if taken:
            with self._lock:
                for job, one in telling.items():
                    if self._untold.get(job) == one:
                        del self._untold[job]
