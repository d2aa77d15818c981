"""Whether a leader that peers lost has failed, by evidence, and who campaigns first after it.

A lease alone tells only when it expires. Sooner than that it is revoked where all of this holds: the connection to the
leader was closed and its address refuses connections; every other peer that we hear says the same; and either the
store, which answers us, has taken nothing from it for much longer than between two of its writes, or the workers that
reported to it come here. So a leader that store and workers still hear keeps its place, whatever becomes of the
connections between nodes. The key alone decides who leads, and the token protects what is done.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, Instant, NodeName, Revision, Seconds
from meadowcross.leadership.election import Election
from meadowcross.leadership.messages import LEADER_KEY, PeerHeartbeat, decode_leader
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.store.client import (
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("leadership")

POLL_INTERVAL_S: Seconds = 0.05
ELECTION_STAGGER_S: Seconds = 0.15
"""The second candidate waits so long for the first, and so on."""
MIN_MISSED_WRITES = 5.0
"""As many of the leader's writes as should have come: by chance that happens once in 150 times."""
MIN_QUIET_S: Seconds = 0.25
IN_FLIGHT_S: Seconds = 0.03
"""What a leader that failed sent before may still be on its way to the store."""
MIN_WORKERS_ARRIVED = 3
MIN_SHARE_ARRIVED = 0.02
FALSE_ALARM_BACKOFF_S: Seconds = 60.0
"""After a false alarm no lease is revoked for so long, twice as long after the next, and so on."""


class Evidence(NamedTuple):
    """What speaks for a leader's failure, at one moment."""

    is_refused: bool
    """Our connection to it was closed, and its address refuses connections."""
    peer_count: int
    """Other peers that we hear."""
    agreeing_peers: int
    """Those of them that say the same."""
    writes_per_s: float
    """Its transactions a second before."""
    quiet_s: Seconds
    """For how long since the connection was lost the store, answering us, has taken nothing from a leader."""
    workers_arrived: int
    """Workers that came here since the connection was lost."""
    machine_count: int


def failure_reason(evidence: Evidence) -> str | None:
    """What proves enough that the leader has failed, or None."""
    if not evidence.is_refused or evidence.peer_count == 0 or evidence.agreeing_peers < evidence.peer_count:
        return None
    missed_writes = evidence.writes_per_s * evidence.quiet_s
    if evidence.quiet_s >= MIN_QUIET_S and missed_writes >= MIN_MISSED_WRITES:
        return f"it stored nothing for {evidence.quiet_s:.2f} s, at {evidence.writes_per_s:.0f} writes a second before"
    if evidence.workers_arrived >= max(MIN_WORKERS_ARRIVED, MIN_SHARE_ARRIVED * evidence.machine_count):
        return f"{evidence.workers_arrived} of its workers came by"
    return None


def candidate_rank(own_heartbeat: PeerHeartbeat, peer_heartbeats: list[PeerHeartbeat]) -> int:
    """This node's place among the candidates, from 0: who is in sync and heard by workers first, then by name."""
    candidates = (own_heartbeat, *peer_heartbeats)
    most_workers_heard = max((heartbeat.workers_heard for heartbeat in candidates), default=0)

    def sort_key(heartbeat: PeerHeartbeat) -> tuple[bool, int, bool, bool, NodeName]:
        # After a loss who followed furthest has most to write back.
        followed = heartbeat.followed_revision if own_heartbeat.is_epoch_lost else 0
        return (
            not heartbeat.is_store_answering,
            -followed,
            not heartbeat.is_in_sync,
            2 * heartbeat.workers_heard < most_workers_heard,
            heartbeat.node,
        )

    return sorted(candidates, key=sort_key).index(own_heartbeat)


class ClusterView(Protocol):
    """What this node hears of its peers and of workers, and says of itself."""

    def own_heartbeat(self) -> PeerHeartbeat:
        """What peers are told of this node now."""

    def peer_heartbeats(self) -> list[PeerHeartbeat]:
        """Of all peers that were heard lately and are not lost since."""

    def is_lost(self, peer: NodeName) -> bool:
        """Whether the connection to the peer was closed, and its address refuses."""

    def workers_arrived_since(self, instant: Instant) -> int:
        """How many workers came here since then that no relaying explains."""


class LeaderFailureDetector:
    """Looks for the evidence while a lost leader's lease runs, and revokes it."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        election: Election,
        follower: ReplicaFollower,
        cluster: ClusterView,
        lease_ttl_s: Seconds,
    ) -> None:
        self._clock = clock
        self._store = store
        self._election = election
        self._follower = follower
        self._cluster = cluster
        self._lease_ttl_s = lease_ttl_s
        self._revoked_incarnation: str | None = None
        """Of the leader whose lease we revoked last."""
        self._backoff_until = Instant(0.0)
        self.is_investigating = False
        self.false_alarm_count = 0
        self.revoked_count = 0

    @property
    def now(self) -> Instant:
        """On this process's clock."""
        return Instant(self._clock.seconds())

    def election_delay(self) -> Seconds:
        """How long better candidates may campaign before us."""
        return ELECTION_STAGGER_S * candidate_rank(self._cluster.own_heartbeat(), self._cluster.peer_heartbeats())

    def on_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """A heartbeat shows that a node lives, also the one whose lease we revoked."""
        if not heartbeat.incarnation or heartbeat.incarnation != self._revoked_incarnation:
            return
        self._revoked_incarnation = None
        backoff_s = FALSE_ALARM_BACKOFF_S * 2**self.false_alarm_count
        self._backoff_until = Instant(self.now + backoff_s)
        self.false_alarm_count += 1
        log.info(
            "false alarm %d: %s was alive when its lease was revoked; no other is revoked for %.0f s",
            self.false_alarm_count,
            heartbeat.node,
            backoff_s,
        )

    def on_peer_lost(self, peer: NodeName) -> None:
        """The connection to a peer was closed, and its address refuses."""
        leader = self._election.leader
        if self.is_investigating or leader is None or leader[0] != peer or self._election.token is not None:
            return
        if self.now < self._backoff_until or not self._follower.is_in_sync:
            return
        self.is_investigating = True
        Deferred.fromCoroutine(self._investigate(*leader))

    async def _investigate(self, leader: NodeName, token: FencingToken) -> None:
        lost_at, writes_per_s = self.now, self._follower.leader_writes_per_s()
        log.info("leader %s with token %d is lost to us: %.1f writes a second before", leader, token, writes_per_s)
        try:
            self._election.prepare_lease()
            reason = await self._await_evidence(leader, token, lost_at, writes_per_s)
            if reason is not None:
                await pause(self._clock, self.election_delay())
                if self._is_still_lost(leader, token):
                    await self._revoke_lease(leader, token, reason)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            # Without the store's answer nothing is proven; the lease decides, as it does without this detector.
            log.info("no evidence against %s: %s", leader, error)
        finally:
            self.is_investigating = False

    async def _await_evidence(
        self, leader: NodeName, token: FencingToken, lost_at: Instant, writes_per_s: float
    ) -> str | None:
        """What proves that the leader has failed; None once its lease has run out, or it is back. Raises what the store
        client raises."""
        while self.now - lost_at < self._lease_ttl_s and self._is_still_lost(leader, token):
            await self._follower.poll_now(POLL_INTERVAL_S)
            reason = failure_reason(self.evidence_against(leader, lost_at, writes_per_s))
            if reason is not None:
                return reason
            await pause(self._clock, POLL_INTERVAL_S)
        return None

    def _is_still_lost(self, leader: NodeName, token: FencingToken) -> bool:
        return self._election.leader == (leader, token) and self._cluster.is_lost(leader)

    def evidence_against(self, leader: NodeName, lost_at: Instant, writes_per_s: float) -> Evidence:
        """What speaks now for the failure of a leader that was lost at this instant."""
        others = [heartbeat for heartbeat in self._cluster.peer_heartbeats() if heartbeat.node != leader]
        return Evidence(
            is_refused=self._cluster.is_lost(leader),
            peer_count=len(others),
            agreeing_peers=sum(leader in heartbeat.lost_peers for heartbeat in others),
            writes_per_s=writes_per_s,
            quiet_s=self._follower.leader_silence_s(Instant(lost_at + IN_FLIGHT_S)),
            workers_arrived=self._cluster.workers_arrived_since(lost_at),
            machine_count=self._follower.replica.counts().machines,
        )

    async def _revoke_lease(self, leader: NodeName, token: FencingToken, reason: str) -> None:
        item = await self._store.get(LEADER_KEY, RequestPriority.LEADERSHIP)
        if item is None or item.mod_revision != Revision(token) or item.lease_id is None:
            return
        log.info("revokes the lease of leader %s, token %d: %s", leader, token, reason)
        self._revoked_incarnation = decode_leader(item.value).incarnation
        self.revoked_count += 1
        # Only this very lease: if the request is carried out late, there is nothing left to revoke.
        await self._store.revoke_lease(item.lease_id)
