"""Detects by evidence that a leader has failed, revokes its lease, and ranks the candidates for the next election.

Without the detector a failure shows only when the leader lease expires. The detector revokes the lease earlier if all
of these conditions hold: the connection to the leader was closed and its address refuses connections; every other peer
with fresh heartbeats reports the same; and either the store responds to this node and has received no writes of the
leader for much longer than the usual time between two writes, or workers of the leader have sent their heartbeats to
this node instead. So a leader that still reaches the store and its workers stays leader, even if all connections
between controllers fail. A false alarm is safe: only the leader key decides who leads, and the fencing token rejects
the commands and writes of a deposed leader.
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
DELAY_PER_RANK_S: Seconds = 0.15
"""Election delay per rank: each candidate campaigns this much later than the candidate ranked before it."""
MIN_MISSED_WRITES = 5.0
"""Number of expected writes of the leader that must be missing; a working leader misses this many by chance once in
150 cases."""
MIN_WRITE_SILENCE_S: Seconds = 0.25
"""Shortest time without writes that counts as evidence, however many writes are missing."""
IN_FLIGHT_WRITES_S: Seconds = 0.03
"""Writes that a leader sent before its failure may reach the store for this long afterwards."""
MIN_NEW_WORKERS = 3
MIN_NEW_WORKER_SHARE = 0.02
"""Share of all machines whose workers must have started to report to this node, at least `MIN_NEW_WORKERS`."""
FALSE_ALARM_BACKOFF_S: Seconds = 60.0
"""After a false alarm no lease is revoked for this long; the time doubles with each further false alarm."""


class Evidence(NamedTuple):
    """Observations about a possible failure of the leader, at one instant."""

    is_refused: bool
    """The connection of this node to the leader was closed, and the leader's address refuses connections."""
    peer_count: int
    """Number of other peers with fresh heartbeats."""
    agreeing_peers: int
    """Number of other peers that report the leader as lost."""
    writes_per_s: float
    """Transactions per second of the leader before its connection was lost."""
    write_silence_s: Seconds
    """How long, since the connection was lost, the store is known to have received no writes of a leader."""
    new_worker_count: int
    """Number of workers that started to send heartbeats to this node since the connection was lost."""
    machine_count: int
    """Number of machines in the replica of this node."""


def failure_reason(evidence: Evidence) -> str | None:
    """Return why the evidence suffices to treat the leader as failed, or None if it does not."""
    if not evidence.is_refused or evidence.peer_count == 0 or evidence.agreeing_peers < evidence.peer_count:
        return None
    missed_writes = evidence.writes_per_s * evidence.write_silence_s
    if evidence.write_silence_s >= MIN_WRITE_SILENCE_S and missed_writes >= MIN_MISSED_WRITES:
        return f"no writes for {evidence.write_silence_s:.2f} s after {evidence.writes_per_s:.0f} writes per second"
    if evidence.new_worker_count >= max(MIN_NEW_WORKERS, MIN_NEW_WORKER_SHARE * evidence.machine_count):
        return f"{evidence.new_worker_count} workers of the leader report to this node"
    return None


def candidate_rank(own_heartbeat: PeerHeartbeat, peer_heartbeats: list[PeerHeartbeat]) -> int:
    """Return the rank of this node among the candidates, from 0.

    Candidates that reach the store, are in sync and receive heartbeats from many workers come first; the node name
    breaks ties.
    """
    candidates = (own_heartbeat, *peer_heartbeats)
    max_reporting_workers = max((heartbeat.reporting_workers for heartbeat in candidates), default=0)

    def sort_key(heartbeat: PeerHeartbeat) -> tuple[bool, int, bool, bool, NodeName]:
        # After a data loss, the candidate with the newest followed revision has the most to write back.
        followed_revision = heartbeat.followed_revision if own_heartbeat.is_epoch_lost else 0
        return (
            not heartbeat.is_store_answering,
            -followed_revision,
            not heartbeat.is_in_sync,
            2 * heartbeat.reporting_workers < max_reporting_workers,
            heartbeat.node,
        )

    return sorted(candidates, key=sort_key).index(own_heartbeat)


class ClusterView(Protocol):
    """The heartbeats of peers, the workers that report to this node, and its own heartbeat."""

    def own_heartbeat(self) -> PeerHeartbeat:
        """Return the heartbeat that this node would send to its peers now."""

    def peer_heartbeats(self) -> list[PeerHeartbeat]:
        """Return the last heartbeats of all peers that sent one recently and are not lost since."""

    def is_lost(self, peer: NodeName) -> bool:
        """Return whether the connection to the peer was closed and its address refuses connections."""

    def count_workers_since(self, instant: Instant) -> int:
        """Return how many workers started to report to this node since `instant`, except workers that it relays."""


class LeaderFailureDetector:
    """Collects evidence after the connection to the leader was lost, until its lease expires, and revokes the lease."""

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
        """Incarnation of the leader whose lease this node revoked last, until a heartbeat of it arrives."""
        self._backoff_until = Instant(0.0)
        self.is_investigating = False
        self.false_alarm_count = 0
        self.revoked_count = 0

    @property
    def now(self) -> Instant:
        """The present instant of the clock of this process."""
        return Instant(self._clock.seconds())

    def election_delay(self) -> Seconds:
        """Return how long this node waits before it campaigns, by its rank among the candidates."""
        return DELAY_PER_RANK_S * candidate_rank(self._cluster.own_heartbeat(), self._cluster.peer_heartbeats())

    def on_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Count a false alarm if the heartbeat comes from the leader whose lease this node revoked last."""
        if not heartbeat.incarnation or heartbeat.incarnation != self._revoked_incarnation:
            return
        self._revoked_incarnation = None
        backoff_s = FALSE_ALARM_BACKOFF_S * 2**self.false_alarm_count
        self._backoff_until = Instant(self.now + backoff_s)
        self.false_alarm_count += 1
        log.info(
            "false alarm, revoked the lease of a live leader count=%d node=%s backoff_s=%.0f",
            self.false_alarm_count,
            heartbeat.node,
            backoff_s,
        )

    def on_peer_lost(self, peer: NodeName) -> None:
        """Start to collect evidence if the lost peer is the leader.

        Do nothing while this node leads, is not in sync, is already investigating or backs off after a false alarm.
        """
        leader = self._election.leader
        if self.is_investigating or leader is None or leader[0] != peer or self._election.token is not None:
            return
        if self.now < self._backoff_until or not self._follower.is_in_sync:
            return
        self.is_investigating = True
        Deferred.fromCoroutine(self._investigate(*leader))

    async def _investigate(self, leader: NodeName, token: FencingToken) -> None:
        lost_at, writes_per_s = self.now, self._follower.leader_writes_per_s()
        log.info("connection to leader lost node=%s token=%d writes_per_s=%.1f", leader, token, writes_per_s)
        try:
            self._election.prepare_lease()
            reason = await self._await_evidence(leader, token, lost_at, writes_per_s)
            if reason is not None:
                await pause(self._clock, self.election_delay())
                if self._is_still_lost(leader, token):
                    await self._revoke_lease(leader, token, reason)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            # Without responses of the store there is no proof. The leader lease expires as it would without the
            # detector.
            log.info("leader failure check aborted node=%s error=%s", leader, error)
        finally:
            self.is_investigating = False

    async def _await_evidence(
        self, leader: NodeName, token: FencingToken, lost_at: Instant, writes_per_s: float
    ) -> str | None:
        """Return why the leader counts as failed, or None once its lease time has passed or it is no longer lost.

        Raise the errors of the store client.
        """
        while self.now - lost_at < self._lease_ttl_s and self._is_still_lost(leader, token):
            await self._follower.poll_now(POLL_INTERVAL_S)
            reason = failure_reason(self.collect_evidence(leader, lost_at, writes_per_s))
            if reason is not None:
                return reason
            await pause(self._clock, POLL_INTERVAL_S)
        return None

    def _is_still_lost(self, leader: NodeName, token: FencingToken) -> bool:
        return self._election.leader == (leader, token) and self._cluster.is_lost(leader)

    def collect_evidence(self, leader: NodeName, lost_at: Instant, writes_per_s: float) -> Evidence:
        """Return the present evidence about a leader whose connection was lost at `lost_at`."""
        other_heartbeats = [heartbeat for heartbeat in self._cluster.peer_heartbeats() if heartbeat.node != leader]
        return Evidence(
            is_refused=self._cluster.is_lost(leader),
            peer_count=len(other_heartbeats),
            agreeing_peers=sum(leader in heartbeat.lost_peers for heartbeat in other_heartbeats),
            writes_per_s=writes_per_s,
            write_silence_s=self._follower.leader_silence_s(Instant(lost_at + IN_FLIGHT_WRITES_S)),
            new_worker_count=self._cluster.count_workers_since(lost_at),
            machine_count=self._follower.replica.counts().machines,
        )

    async def _revoke_lease(self, leader: NodeName, token: FencingToken, reason: str) -> None:
        item = await self._store.get(LEADER_KEY, RequestPriority.LEADERSHIP)
        if item is None or item.mod_revision != Revision(token) or item.lease_id is None:
            return
        log.info("revoking leader lease node=%s token=%d reason=%s", leader, token, reason)
        self._revoked_incarnation = decode_leader(item.value).incarnation
        self.revoked_count += 1
        # The request names this lease only: if it is executed late, the lease has ended and the next leader is safe.
        await self._store.revoke_lease(item.lease_id)
