"""Cancels that are stored, told to who leads: a user hears `cancelled` only when nothing can keep the job's tasks.

A leader learns of cancels by its watch. Refused by the state service alone its watch stands still, and in an outage of
all nodes it goes on answering its workers: what it never heard of ran on for as long as that lasted. So whoever stored
a cancel tells the leader, and the user hears of it only when that leader has answered.

Which leader: the one whose key, at a revision at or after the cancel's, is in the store. Whoever leads later reads the
cancel before anything else; an older one's word counts for nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from threading import Lock
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import JobId, Mark, NodeName, Seconds, Token, mark_of
from meadowcross.leadership.messages import LEADER_KEY, MAX_CANCELS, CancelsTold
from meadowcross.store import messages as sm
from meadowcross.store.client import Refused, StoreClient, Unavailable, Unknown

log = logger("leadership")

GATHER_S: Seconds = 0.02
"""Cancels are gathered for so long: hundreds a second cost a comparison and a message, not hundreds of each."""
ROUNDS_AT_ONCE = 3
"""Some may hang on a lost answer; the others go on."""
AGAIN_S: tuple[Seconds, ...] = (0.1, 0.3)
"""After these pauses the leader is asked again for what may still be kept: mostly by a start just under way."""
REPEAT_S: Seconds = 1.0
MAX_REMEMBERED = 5_000

Ask = Callable[[NodeName, CancelsTold], Awaitable[list[JobId] | None]]


class Told(NamedTuple):
    """A stored cancel, and the token of the leader's key at or after its revision."""

    mark: Mark
    token: Token


class Leading(Protocol):
    """Of a term, what cancels ask of it."""

    token: Token

    def take_cancels(self, jobs: dict[JobId, Mark]) -> list[JobId] | None: ...

    def releases(self, name: JobId) -> bool: ...


class Cancels:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        term: Callable[[], Leading | None],
        leader: Callable[[], tuple[NodeName, Token] | None],
        ask: Ask,
    ) -> None:
        """`leader` is who leads as far as this node knows; the store has to agree. `ask` tells it of cancels."""
        self._clock = clock
        self._store = store
        self._term = term
        self._leader = leader
        self._ask = ask
        self._lock = Lock()
        self._waiting: dict[JobId, tuple[sm.Condition, list[Deferred[bool]]]] = {}
        self._rounds = 0
        self._round_set = self._repeat_set = False
        self._told: OrderedDict[JobId, Told] = OrderedDict()
        self._unheard: dict[JobId, Told] = {}
        """Told to the leader, which has not answered: it is told again as long as it leads."""
        self._released: OrderedDict[JobId, None] = OrderedDict()

    # What others tell

    def heard(self, told: CancelsTold) -> list[JobId] | None:
        """A peer's word. Returns the jobs whose tasks nothing can keep; None where we don't lead with that token."""
        with self._lock:
            for job, mark in told.jobs.items():
                known = self._told.pop(job, None)
                # Of two, the one of the later leader: copies come late, and in any order.
                self._told[job] = max(Told(mark, told.token), known or Told(Mark(0), Token(0)), key=lambda t: t.token)
            while len(self._told) > MAX_REMEMBERED:
                self._told.popitem(last=False)
        term = self._term()
        if term is None or term.token != told.token:
            return None
        return term.take_cancels(told.jobs)

    def is_told(self, job: JobId) -> bool:
        """Whether a peer, or this node, has said that the job's cancel is stored; they are irrevocable."""
        return job in self._told

    def released(self, job: JobId) -> bool:
        """Whether the job's cancel is stored and nothing can keep its tasks, as known here; needs no store."""
        if job in self._released:
            return True
        told, term = self._told.get(job), self._term()
        return told is not None and term is not None and told.token == term.token and term.releases(job)

    # What we tell

    def confirm(self, job: JobId, stored: sm.Condition) -> Deferred[bool]:
        """Of a cancel stored under this key, at this version: whether who leads has taken it in, and nothing can keep
        the tasks. False also without an answer in time. Raises what the store client raises."""
        answer: Deferred[bool] = Deferred()
        with self._lock:
            other, answers = self._waiting.get(job, (stored, []))
            newest = stored if stored.mark >= other.mark else other
            self._waiting[job] = (newest, [*answers, answer])
        self._arm()
        return answer

    def _arm(self) -> None:
        if not self._round_set and self._waiting and self._rounds < ROUNDS_AT_ONCE:
            self._round_set = True
            self._clock.callLater(GATHER_S, self._begin)

    def _begin(self) -> None:
        self._round_set = False
        most = min(MAX_CANCELS, self._store.max_conditions - 1)
        with self._lock:
            taken = {job: self._waiting.pop(job) for job in list(self._waiting)[:most]}
        self._rounds += 1
        Deferred.fromCoroutine(self._round(taken))
        self._arm()

    async def _round(self, taken: dict[JobId, tuple[sm.Condition, list[Deferred[bool]]]]) -> None:
        free: set[JobId] = set()
        failure: Exception | None = None
        try:
            free = await self._settle({job: stored for job, (stored, _) in taken.items()})
        except (Unavailable, Unknown, Refused) as error:
            failure = error
        except Exception as error:
            log.exception("telling of cancels failed")
            failure = Unavailable(str(error))
        finally:
            self._rounds -= 1
            self._arm()
        for job, (_, answers) in taken.items():
            for answer in answers:
                if failure is None:
                    answer.callback(job in free)
                else:
                    answer.errback(failure)

    async def _settle(self, jobs: dict[JobId, sm.Condition]) -> set[JobId]:
        leader = self._leader()
        if leader is None:
            return set()
        node, token = leader
        # At one revision: the leader's key is still this one, and the cancels are there.
        failed = await self._store.compare([sm.Condition(LEADER_KEY, mark_of(token)), *jobs.values()])
        if LEADER_KEY in failed:
            return set()
        left = {job: stored.mark for job, stored in jobs.items() if stored.key not in failed}
        free = await self._tell(node, token, left)
        for again in AGAIN_S:
            if free is None or len(free) == len(left):
                break
            await pause(self._clock, again)
            free = await self._tell(node, token, left)
        if left:
            found = "no answer" if free is None else f"nothing can keep the tasks of {len(free)}"
            log.info("%d stored cancels told to leader %s: %s", len(left), node, found)
        return free or set()

    async def _tell(self, node: NodeName, token: Token, jobs: dict[JobId, Mark]) -> set[JobId] | None:
        if not jobs:
            return set()
        told = CancelsTold(0, token, jobs)
        mine = self.heard(told)
        free = mine if mine is not None else await self._ask(node, told)
        if free is None:
            self._unheard.update((job, Told(mark, token)) for job, mark in jobs.items())
            # A leader of an earlier version never answers, and hears by its watch: the oldest are let go.
            for job in list(self._unheard)[: max(0, len(self._unheard) - MAX_CANCELS)]:
                del self._unheard[job]
            self._arm_repeat()
            return None
        with self._lock:
            for job in jobs:
                self._unheard.pop(job, None)
            self._released.update(dict.fromkeys(job for job in free if job in jobs))
            while len(self._released) > MAX_REMEMBERED:
                self._released.popitem(last=False)
        return {job for job in free if job in jobs}

    def _arm_repeat(self) -> None:
        if self._unheard and not self._repeat_set:
            self._repeat_set = True
            self._clock.callLater(REPEAT_S, lambda: Deferred.fromCoroutine(self._repeat()))

    async def _repeat(self) -> None:
        """Until it answers; a later leader has read them."""
        self._repeat_set = False
        leader = self._leader()
        self._unheard = {job: told for job, told in self._unheard.items() if leader and told.token == leader[1]}
        if leader is not None and self._unheard:
            try:
                await self._tell(*leader, {job: told.mark for job, told in self._unheard.items()})
            except Exception:
                log.exception("telling of cancels again failed")
        self._arm_repeat()
