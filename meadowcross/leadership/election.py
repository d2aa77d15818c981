"""Election: a key attached to a short hold, created only if absent.

The revision that creates the key is the token, so tokens only grow. Nothing here
relies on clocks: a node that wrongly believes that it leads can't commit, since
every leader transaction has the key's version as a condition, and workers drop
what carries a lower token.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from math import inf
from typing import Any, NamedTuple, Protocol

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import HoldId, Mark, NodeName, Seconds, Token, mark_of
from meadowcross.leadership.messages import LEADER_KEY, LeaderRecord, decode_leader
from meadowcross.store import messages as sm
from meadowcross.store.budget import Urgency
from meadowcross.store.client import Conflicted, Refused, StoreClient, Unavailable, Unknown, WatchTooOld
from meadowcross.store.messages import Events

log = logger("leadership")

RETRY_S: Seconds = 0.25
END_PAUSE_S: Seconds = 0.05
YIELD_HOLDS = 3.0
"""A node that made way stands again only after so many holds: the others go first."""
WATCH_S: Seconds = 20.0
DOUBT_S: Seconds = 1.0
SEASON_S: Seconds = 10.0
"""A leader's own word goes back to before now once it has led for so long."""


class Term(Protocol):
    """What a node does while it leads."""

    def stop(self) -> None: ...


class Successor(NamedTuple):
    """Who takes over in one step: the record to write, and the hold to attach it to."""

    record: LeaderRecord
    hold: HoldId


class Election:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        node: NodeName,
        life: str,
        hold_s: Seconds,
        begin_term: Callable[[Token], Term],
        end_term: Callable[[], None],
        turn: Callable[[], Seconds] = lambda: 0.0,
        successor: Callable[[], Awaitable[Successor | None]] | None = None,
        entitle: Callable[[Mark], Token | None] = lambda mark: Token(mark),
        new_era: Callable[[Mark], Awaitable[Token | None]] | None = None,
        compose: Callable[[Mark], Token] = lambda mark: Token(mark),
        in_doubt: Callable[[], bool] = lambda: False,
    ) -> None:
        """`entitle` gives the token for a leader's key of ours, or None where `new_era` must begin one first;
        `compose` that of another's, as far as its era is known."""
        self._entitle = entitle
        self._new_era = new_era
        self._compose = compose
        self._in_doubt = in_doubt
        self.seasoned = False
        """Somebody has led since this process began."""
        self._leading = False
        self._end_wait: Callable[[], None] = lambda: None
        self._nudged: Deferred[Events | None] | None = None
        self._turn = turn
        self._successor = successor
        self._waited = False
        self._standing = False
        self._prepared_at = -inf
        self._clock = clock
        self._store = store
        self._record = LeaderRecord(node, life)
        self._hold_s = hold_s
        self._begin_term = begin_term
        self._end_term = end_term
        self._hold: HoldId | None = None
        self._term: Term | None = None
        self._seen: tuple[NodeName, Token] | None = None
        self._stood_down = False
        self._sure_until = 0.0
        self._yields_until = 0.0
        self._made_way_in_vain = False
        self.token: Token | None = None
        """Our own token while we lead."""

    @property
    def leader(self) -> tuple[NodeName, Token] | None:
        """The last leader seen; kept through an outage, when nobody else can be elected."""
        return self._seen

    def sure(self) -> bool:
        """Whether our hold can't have ended, by when its last answered renewal was sent.
        Workers drop an old leader's commands by their token, but the cloud can't tell who
        asks: a leader that was silent or cut off would return the next one's machines."""
        return self.token is not None and self._clock.seconds() < self._sure_until

    async def run(self) -> None:
        while True:
            try:
                await self._round()
            except (Unavailable, Unknown, Refused) as error:
                log.debug("election waits: %s", error)
                await pause(self._clock, RETRY_S)
            except Exception:
                log.exception("election round failed")
                await pause(self._clock, 1.0)

    async def _round(self) -> None:
        item = await self._store.get(LEADER_KEY, Urgency.LEADERSHIP)
        if item is None:
            self._seen = None
            if self._clock.seconds() < self._yields_until:
                await pause(self._clock, RETRY_S)
                return
            wait = 0.0 if self._waited else self._turn()
            self._waited = wait > 0
            if wait > 0:
                # One after the other, by who is placed best, instead of all at once.
                await pause(self._clock, wait)
                return
            self._standing = True
            try:
                await self._stand()
            finally:
                self._standing = False
            return
        self._waited = False
        record = decode_leader(item.value)
        self._seen = (record.node, self._compose(item.mark))
        if record.life == self._record.life:
            # Ours: also where a lost answer hid that the key was created, at once or late.
            if self._hold is not None and item.hold == self._hold:
                # Handed over, the hold may be older than what we last asked for.
                self._sure_until = max(self._sure_until, self._prepared_at + self._hold_s)
                await self._lead(item.mark)
                return
            if item.hold is not None:
                await self._store.end_hold(item.hold)
                # The key goes with its hold; should it not, the next look at it must not follow at once.
                await pause(self._clock, END_PAUSE_S)
                return
        self._made_way_in_vain = False
        self.seasoned = True
        await self._await_vacancy(Mark(item.mark))

    def prepare(self) -> None:
        """The place may be free in a moment: open the hold that it takes now."""
        Deferred.fromCoroutine(self._prepare())

    async def _prepare(self) -> HoldId | None:
        """A hold with most of its time left, and not the one of a term; None without an answer."""
        if self._leading:
            return None
        asked = self._clock.seconds()
        try:
            if asked - self._prepared_at > self._hold_s / 2 or self._hold is None:
                hold = await self._store.open_hold(self._hold_s)
                if self._leading or self._standing:
                    return None
                self._hold, self._prepared_at = hold, asked
        except (Unavailable, Unknown, Refused) as error:
            log.debug("no hold yet: %s", error)
            return None
        return self._hold

    async def be_handed(self) -> Successor | None:
        """Asked by a leader that makes way: what it shall write for us to lead."""
        hold = await self._prepare()
        return Successor(self._record, hold) if hold is not None else None

    async def _stand(self) -> None:
        asked = self._clock.seconds()
        if self._hold is not None and asked - self._prepared_at <= self._hold_s / 2:
            asked = self._prepared_at
        elif self._hold is None or not await self._store.renew_hold(self._hold, self._hold_s):
            self._hold = await self._store.open_hold(self._hold_s)
        self._sure_until = asked + self._hold_s
        try:
            # In no era: on a store that has lost data somebody must lead, too.
            await self._store.transact_bare(
                [sm.Condition(LEADER_KEY, Mark(0))],
                [sm.Put(LEADER_KEY, sm.raw(self._record), self._hold)],
                Urgency.LEADERSHIP,
            )
        except Conflicted:
            log.debug("another node was elected first")
        except Refused:
            self._hold = None
            raise
        # Won, lost or unknown: the next round reads the key, which alone decides.

    async def _await_vacancy(self, since: Mark) -> None:
        revision = since
        while True:
            try:
                wait = DOUBT_S if self._in_doubt() else WATCH_S
                seen = await self._or_nudged(self._store.watch(LEADER_KEY, revision, wait))
            except WatchTooOld:
                return
            if seen is None or self._in_doubt():
                # A store that has lost data tells of no change: the key is read again.
                return
            if any(event.key == LEADER_KEY for event in seen.events):
                return
            revision = seen.revision

    def nudge(self) -> None:
        """Look at the leader's key anew: a store that has lost data may tell of no change for long."""
        nudged, self._nudged = self._nudged, None
        if nudged is not None:
            nudged.callback(None)

    def _or_nudged(self, watch: Coroutine[Any, Any, Events]) -> Deferred[Events | None]:
        first: Deferred[Events | None] = Deferred()
        self._nudged = first

        def settle(result: Any) -> None:
            if not first.called:
                self._nudged = None
                first.callback(result)

        Deferred.fromCoroutine(watch).addBoth(settle)
        return first

    async def _lead(self, mark: Mark) -> None:
        assert self._hold is not None
        self._leading, self._stood_down = True, False
        token = self._entitle(mark)
        if token is not None:
            self._take_office(mark, token)
        else:
            Deferred.fromCoroutine(self._begin_era(mark))
        try:
            await self._renew_until_stood_down(self._hold)
        except Exception:
            # The next round ends the hold.
            self._end_lead(mark)
            raise
        # No clause for whatever happens: closed with the process, this coroutine would stop a term whose own ones
        # are closed already, and those can't be resumed.
        hold = self._hold
        self._end_lead(mark)
        try:
            await self._store.end_hold(hold)
        except (Unavailable, Unknown, Refused):
            log.debug("hold %d left to end by itself", hold)

    async def _renew_until_stood_down(self, hold: HoldId) -> None:
        while not self._stood_down:
            await self._until_stood_down(self._hold_s / 4)
            if not self._stood_down:
                # Not awaited: a busy leader that read answers late once sent its next
                # renewal too late, and lost a hold that every renewal had reached.
                Deferred.fromCoroutine(self._renew(hold))

    def _end_lead(self, mark: Mark) -> None:
        self._hold = None
        token, self.token = self.token, None
        term, self._term = self._term, None
        self._leading = False
        if term is not None:
            term.stop()
            self._end_term()
        log.info("no longer leads with token %d", token or mark)

    def _until_stood_down(self, at_most: Seconds) -> Deferred[None]:
        over: Deferred[None] = Deferred()

        def end() -> None:
            if not over.called:
                over.callback(None)

        self._end_wait = end
        self._clock.callLater(at_most, end)
        return over

    def _take_office(self, mark: Mark, token: Token) -> None:
        log.info("leads with token %d", token)
        self._clock.callLater(SEASON_S, self._season, token)
        self.token = token
        self._seen = (self._record.node, token)
        self._term = self._begin_term(token)

    def _season(self, token: Token) -> None:
        self.seasoned = self.seasoned or self.token == token

    async def _begin_era(self, mark: Mark) -> None:
        """Elected on a store that has lost data: under our key a new era begins, or we make room."""
        try:
            token = await self._new_era(mark) if self._new_era is not None else None
            if token is None:
                self.stand_down("no new era could begin")
            elif self._leading and not self._stood_down:
                self._take_office(mark, token)
        except (Conflicted, Unavailable, Unknown, Refused) as error:
            self.stand_down(f"no new era could begin: {error}")

    async def _renew(self, hold: HoldId) -> None:
        asked = self._clock.seconds()
        try:
            alive = await self._store.renew_hold(hold, self._hold_s)
        except (Unavailable, Unknown, Refused) as error:
            # Not a reason to stand down: in an outage nobody else can be elected,
            # and workers whose reports go unanswered would lose their leases.
            log.debug("renewal fails: %s", error)
            return
        if hold != self._hold:
            return
        if alive:
            self._sure_until = max(self._sure_until, asked + self._hold_s)
        else:
            self.stand_down(f"hold {hold} ended")

    def hand_over(self, why: str) -> None:
        """Another node is better placed: end our hold, and let the others go first. Not twice in a row: where
        nobody took the place, as when a zone with all other nodes was cut off, the machines that do reach us
        were without a leader for three holds, again and again."""
        if self._made_way_in_vain:
            return
        self._made_way_in_vain = True
        Deferred.fromCoroutine(self.leave(why))

    async def leave(self, why: str) -> None:
        """Stop leading, in one step with the next leader's beginning where a peer is ready for it."""
        token, term = self.token, self._term
        if token is None or term is None:
            return
        self._yields_until = self._clock.seconds() + YIELD_HOLDS * self._hold_s
        successor = await self._successor() if self._successor is not None else None
        if successor is not None and self.token == token:
            try:
                await self._store.transact_bare(
                    [sm.Condition(LEADER_KEY, mark_of(token))],
                    [sm.Put(LEADER_KEY, sm.raw(successor.record), successor.hold)],
                    Urgency.LEADERSHIP,
                )
                why = f"{why}; handed over to {successor.record.node}"
            except (Conflicted, Unavailable, Unknown, Refused) as error:
                # Applied late or not at all: with our hold ended, either way the others may stand.
                log.info("not handed over: %s", error)
        if self._term is term:
            self.stand_down(why)

    def stand_down(self, why: str) -> None:
        """A higher token was seen, or a commit showed that the key is no longer ours."""
        if self._leading and not self._stood_down:
            log.info("stands down: %s", why)
            self._stood_down = True
            if self._term is not None:
                self._term.stop()
            self.token = None
            # The hold is ended at once: until then nobody can follow.
            self._clock.callLater(0, self._end_wait)
