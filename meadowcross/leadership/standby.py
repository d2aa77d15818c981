"""Whether a leader that peers lost is dead, by evidence, and who stands first after it.

A hold alone tells only when it runs out. Sooner than that its end is brought about where all of this holds:
the link to it was closed and its address refuses connections; every other peer that we hear says the same; and
either the store, which answers us, has taken nothing from it for much longer than between two of its writes, or the
workers that reported to it come by here. So a leader that store and workers still hear keeps its place, whatever
becomes of the links between nodes. The key alone decides who leads, and the token protects what is done.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import Instant, Mark, NodeName, Seconds, Token
from meadowcross.leadership.election import Election
from meadowcross.leadership.messages import LEADER_KEY, Beat, decode_leader
from meadowcross.replica.follower import Follower
from meadowcross.store.budget import Urgency
from meadowcross.store.client import Refused, StoreClient, Unavailable, Unknown

log = logger("leadership")

LOOK_S: Seconds = 0.05
STEP_S: Seconds = 0.15
"""Who stands second waits so long for the first, and so on."""
WRITES_MISSED = 5.0
"""As many of the leader's writes as should have come by: by chance that happens once in 150 times."""
QUIET_S: Seconds = 0.25
SETTLED_S: Seconds = 0.03
"""What a leader that died sent before may still be on its way to the store."""
CAME_LEAST = 3
CAME_SHARE = 0.02
WRONG_S: Seconds = 60.0
"""After a false alarm no hold is ended for so long, twice as long after the next, and so on."""


class Seen(NamedTuple):
    """What speaks for a leader's death, at one moment."""

    refused: bool
    """Our link to it was closed, and its address refuses connections."""
    peers: int
    """Other peers that we hear."""
    agree: int
    """Those of them that say the same."""
    write_rate: float
    """Its transactions a second before."""
    quiet_s: Seconds
    """For how long since the link was lost the store, answering us, has taken nothing from a leader."""
    came: int
    """Workers that came by here since the link was lost."""
    machines: int


def dead(seen: Seen) -> str | None:
    """What proves enough that the leader is dead, or None."""
    if not seen.refused or seen.peers == 0 or seen.agree < seen.peers:
        return None
    if seen.quiet_s >= QUIET_S and seen.write_rate * seen.quiet_s >= WRITES_MISSED:
        return f"it stored nothing for {seen.quiet_s:.2f} s, at {seen.write_rate:.0f} writes a second before"
    if seen.came >= max(CAME_LEAST, CAME_SHARE * seen.machines):
        return f"{seen.came} of its workers came by"
    return None


def rank(own: Beat, peers: list[Beat]) -> int:
    """Our place among those that may stand: who is warm and heard by workers first, then by name."""
    most = max((beat.hears for beat in (own, *peers)), default=0)

    def place(beat: Beat) -> tuple[bool, int, bool, bool, NodeName]:
        # After a loss who followed furthest has most to write back.
        followed = beat.followed if own.era_lost else 0
        return not beat.store_ok, -followed, not beat.warm, 2 * beat.hears < most, beat.node

    order = sorted((own, *peers), key=place)
    return order.index(own)


class Standby:
    """Looks for the evidence while a lost leader's hold runs, and ends it."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        election: Election,
        follower: Follower,
        lost: Callable[[NodeName], bool],
        peers: Callable[[], list[Beat]],
        own_beat: Callable[[], Beat],
        came_since: Callable[[Instant], int],
        hold_s: Seconds,
    ) -> None:
        self._clock = clock
        self._store = store
        self._election = election
        self._follower = follower
        self._lost = lost
        self._peers = peers
        self._own_beat = own_beat
        self._came_since = came_since
        self._hold_s = hold_s
        self._looking = False
        self._ended: str | None = None
        """The life of the leader whose hold we ended last."""
        self._quiet_until = Instant(0.0)
        self.false_alarms = 0
        self.ended = 0

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    def turn(self) -> Seconds:
        """How long others may stand before us."""
        return STEP_S * rank(self._own_beat(), self._peers())

    def heard(self, beat: Beat) -> None:
        """Whoever beats is alive, also the one whose hold we ended."""
        if beat.life and beat.life == self._ended:
            self._ended = None
            self._quiet_until = Instant(self.now + WRONG_S * 2**self.false_alarms)
            self.false_alarms += 1
            log.info(
                "false alarm %d: %s was alive when its hold was ended; no other is ended for %.0f s",
                self.false_alarms,
                beat.node,
                self._quiet_until - self.now,
            )

    def peer_lost(self, peer: NodeName) -> None:
        """The link to a peer was closed, and its address refuses."""
        leader = self._election.leader
        if self._looking or leader is None or leader[0] != peer or self._election.token is not None:
            return
        if self.now < self._quiet_until or not self._follower.warm:
            return
        self._looking = True
        Deferred.fromCoroutine(self._look(*leader))

    async def _look(self, leader: NodeName, token: Token) -> None:
        began, rate = self.now, self._follower.write_rate()
        log.info("leader %s with token %d is lost to us: %.1f writes a second before", leader, token, rate)
        try:
            self._election.prepare()
            while self.now - began < self._hold_s and self._election.leader == (leader, token) and self._lost(leader):
                await self._follower.glance(LOOK_S)
                why = dead(self._seen(leader, began, rate))
                if why is not None:
                    await pause(self._clock, self.turn())
                    if self._election.leader == (leader, token) and self._lost(leader):
                        await self._end(leader, token, why)
                    return
                await pause(self._clock, LOOK_S)
        except (Unavailable, Unknown, Refused) as error:
            # Without the store's answer nothing is proven; its hold decides, as ever.
            log.info("no evidence against %s: %s", leader, error)
        finally:
            self._looking = False

    def _seen(self, leader: NodeName, began: Instant, rate: float) -> Seen:
        others = [beat for beat in self._peers() if beat.node != leader]
        return Seen(
            self._lost(leader),
            len(others),
            sum(leader in beat.lost for beat in others),
            rate,
            self._follower.quiet_since(Instant(began + SETTLED_S)),
            self._came_since(began),
            self._follower.picture.counts().machines,
        )

    async def _end(self, leader: NodeName, token: Token, why: str) -> None:
        item = await self._store.get(LEADER_KEY, Urgency.LEADERSHIP)
        if item is None or item.mark != Mark(token) or item.hold is None:
            return
        log.info("ends the hold of leader %s, token %d: %s", leader, token, why)
        self._ended = decode_leader(item.value).life
        self.ended += 1
        # Only this very hold: if the request is carried out late, there is nothing left to end.
        await self._store.end_hold(item.hold)
