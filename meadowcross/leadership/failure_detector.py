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
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, Instant, NodeName, Revision, Seconds
from meadowcross.leadership.election import Election
from meadowcross.leadership.messages import LEADER_KEY, PeerHeartbeat, decode_leader
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.store.client import IndeterminateResultError, RequestRejectedError, StoreClient, StoreUnavailableError
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("leadership")

POLL_INTERVAL_S: Seconds = 0.05
ELECTION_STAGGER_S: Seconds = 0.15
"""Who stands second waits so long for the first, and so on."""
MIN_MISSED_WRITES = 5.0
"""As many of the leader's writes as should have come by: by chance that happens once in 150 times."""
MIN_QUIET_S: Seconds = 0.25
IN_FLIGHT_S: Seconds = 0.03
"""What a leader that died sent before may still be on its way to the store."""
MIN_WORKERS_ARRIVED = 3
MIN_SHARE_ARRIVED = 0.02
FALSE_ALARM_BACKOFF_S: Seconds = 60.0
"""After a false alarm no hold is ended for so long, twice as long after the next, and so on."""


class Evidence(NamedTuple):
    """What speaks for a leader's death, at one moment."""

    is_refused: bool
    """Our link to it was closed, and its address refuses connections."""
    peer_count: int
    """Other peers that we hear."""
    agreeing_peers: int
    """Those of them that say the same."""
    writes_per_s: float
    """Its transactions a second before."""
    quiet_s: Seconds
    """For how long since the link was lost the store, answering us, has taken nothing from a leader."""
    workers_arrived: int
    """Workers that came by here since the link was lost."""
    machine_count: int


def failure_reason(evidence: Evidence) -> str | None:
    """What proves enough that the leader is dead, or None."""
    if not evidence.is_refused or evidence.peer_count == 0 or evidence.agreeing_peers < evidence.peer_count:
        return None
    if evidence.quiet_s >= MIN_QUIET_S and evidence.writes_per_s * evidence.quiet_s >= MIN_MISSED_WRITES:
        return f"it stored nothing for {evidence.quiet_s:.2f} s, at {evidence.writes_per_s:.0f} writes a second before"
    if evidence.workers_arrived >= max(MIN_WORKERS_ARRIVED, MIN_SHARE_ARRIVED * evidence.machine_count):
        return f"{evidence.workers_arrived} of its workers came by"
    return None


def candidate_rank(own_heartbeat: PeerHeartbeat, peer_heartbeats: list[PeerHeartbeat]) -> int:
    """Our place among those that may stand: who is warm and heard by workers first, then by name."""
    most_workers_heard = max((beat.workers_heard for beat in (own_heartbeat, *peer_heartbeats)), default=0)

    def place(beat: PeerHeartbeat) -> tuple[bool, int, bool, bool, NodeName]:
        # After a loss who followed furthest has most to write back.
        followed = beat.followed_revision if own_heartbeat.is_epoch_lost else 0
        return (
            not beat.is_store_answering,
            -followed,
            not beat.is_in_sync,
            2 * beat.workers_heard < most_workers_heard,
            beat.node,
        )

    order = sorted((own_heartbeat, *peer_heartbeats), key=place)
    return order.index(own_heartbeat)


class LeaderFailureDetector:
    """Looks for the evidence while a lost leader's hold runs, and ends it."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        election: Election,
        follower: ReplicaFollower,
        is_lost: Callable[[NodeName], bool],
        peer_heartbeats: Callable[[], list[PeerHeartbeat]],
        own_heartbeat: Callable[[], PeerHeartbeat],
        workers_arrived_since: Callable[[Instant], int],
        lease_ttl_s: Seconds,
    ) -> None:
        self._clock = clock
        self._store = store
        self._election = election
        self._follower = follower
        self._is_lost = is_lost
        self._peer_heartbeats = peer_heartbeats
        self._own_heartbeat = own_heartbeat
        self._workers_arrived_since = workers_arrived_since
        self._lease_ttl_s = lease_ttl_s
        self._is_investigating = False
        self._revoked_incarnation: str | None = None
        """The life of the leader whose hold we ended last."""
        self._backoff_until = Instant(0.0)
        self.false_alarm_count = 0
        self.revoked_count = 0

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    def election_delay(self) -> Seconds:
        """How long others may stand before us."""
        return ELECTION_STAGGER_S * candidate_rank(self._own_heartbeat(), self._peer_heartbeats())

    def on_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Whoever beats is alive, also the one whose hold we ended."""
        if heartbeat.incarnation and heartbeat.incarnation == self._revoked_incarnation:
            self._revoked_incarnation = None
            self._backoff_until = Instant(self.now + FALSE_ALARM_BACKOFF_S * 2**self.false_alarm_count)
            self.false_alarm_count += 1
            log.info(
                "false alarm %d: %s was alive when its hold was ended; no other is ended for %.0f s",
                self.false_alarm_count,
                heartbeat.node,
                self._backoff_until - self.now,
            )

    def on_peer_lost(self, peer: NodeName) -> None:
        """The link to a peer was closed, and its address refuses."""
        leader = self._election.leader
        if self._is_investigating or leader is None or leader[0] != peer or self._election.token is not None:
            return
        if self.now < self._backoff_until or not self._follower.is_in_sync:
            return
        self._is_investigating = True
        Deferred.fromCoroutine(self._investigate(*leader))

    async def _investigate(self, leader: NodeName, token: FencingToken) -> None:
        lost_at, writes_per_s = self.now, self._follower.leader_writes_per_s()
        log.info("leader %s with token %d is lost to us: %.1f writes a second before", leader, token, writes_per_s)
        try:
            self._election.prepare_lease()
            while (
                self.now - lost_at < self._lease_ttl_s
                and self._election.leader == (leader, token)
                and self._is_lost(leader)
            ):
                await self._follower.poll_now(POLL_INTERVAL_S)
                reason = failure_reason(self._collect_evidence(leader, lost_at, writes_per_s))
                if reason is not None:
                    await pause(self._clock, self.election_delay())
                    if self._election.leader == (leader, token) and self._is_lost(leader):
                        await self._revoke_lease(leader, token, reason)
                    return
                await pause(self._clock, POLL_INTERVAL_S)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            # Without the store's answer nothing is proven; its hold decides, as ever.
            log.info("no evidence against %s: %s", leader, error)
        finally:
            self._is_investigating = False

    def _collect_evidence(self, leader: NodeName, lost_at: Instant, writes_per_s: float) -> Evidence:
        others = [beat for beat in self._peer_heartbeats() if beat.node != leader]
        return Evidence(
            self._is_lost(leader),
            len(others),
            sum(leader in beat.lost_peers for beat in others),
            writes_per_s,
            self._follower.leader_silence_s(Instant(lost_at + IN_FLIGHT_S)),
            self._workers_arrived_since(lost_at),
            self._follower.replica.counts().machines,
        )

    async def _revoke_lease(self, leader: NodeName, token: FencingToken, reason: str) -> None:
        item = await self._store.get(LEADER_KEY, RequestPriority.LEADERSHIP)
        if item is None or item.mod_revision != Revision(token) or item.lease_id is None:
            return
        log.info("ends the hold of leader %s, token %d: %s", leader, token, reason)
        self._revoked_incarnation = decode_leader(item.value).incarnation
        self.revoked_count += 1
        # Only this very hold: if the request is carried out late, there is nothing left to end.
        await self._store.revoke_lease(item.lease_id)
