"""Handles messages from peers, and builds this node's own peer heartbeat."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec import UNSET

from meadowcross.common.http import ServerResponse
from meadowcross.common.types import FencingToken, Instant, JobId, NodeName, Revision
from meadowcross.controller.leadership import CurrentTerm, TermManager
from meadowcross.controller.recovery import ReplicaParts
from meadowcross.controller.services import Services
from meadowcross.jobs.api import JobApi
from meadowcross.jobs.messages import JobProgress
from meadowcross.leadership.election import Election
from meadowcross.leadership.failure_detector import LeaderFailureDetector
from meadowcross.leadership.messages import PeerHeartbeat
from meadowcross.leadership.peer_status import PeerStatus
from meadowcross.recovery.messages import ReplicaPart, ReplicaPartRequest
from meadowcross.recovery.store_epochs import StoreEpochs
from meadowcross.relay.relay import Relay
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.replication.hints import HintSubscriber
from meadowcross.replication.messages import Hints, LeadershipOfferResponse
from meadowcross.replication.store_replica import KeyCounts
from meadowcross.store.rate_shares import follower_share_with_borrowed
from meadowcross.workers.fencing import NO_TOKEN
from meadowcross.workers.heartbeat_tracker import HeartbeatTracker


@dataclass
class ClusterView:
    """This node's view of its peers and of the workers that send heartbeats here, and its own state for its peers."""

    services: Services
    election: Election
    peers: PeerStatus
    workers: HeartbeatTracker
    store_epochs: StoreEpochs
    follower: ReplicaFollower | None
    terms: CurrentTerm
    relay_capacity: int | None
    """Number of workers that this node can relay; None: this node is no relay."""

    def own_heartbeat(self) -> PeerHeartbeat:
        """Return the peer heartbeat of this node's present state."""
        epochs, follower, store = self.store_epochs, self.follower, self.services.store
        newest_token = self._newest_token()
        return PeerHeartbeat(
            node=self.services.node,
            is_store_answering=store.is_answering(),
            leading_token=self.election.token,
            reporting_workers=self.workers.count(),
            incarnation=self.services.incarnation,
            is_in_sync=follower is not None and follower.is_in_sync,
            lost_peers=self.peers.lost_peers(),
            store_epoch=epochs.record.number if epochs.record is not None else None,
            is_epoch_lost=epochs.is_lost(),
            is_loss_before_replica=epochs.is_loss_before_replica,
            has_history=self.election.has_history,
            highest_token=epochs.highest_token,
            followed_revision=follower.followed_revision() if follower is not None else Revision(0),
            store_utilization=store.used_share(),
            relay_capacity=self.relay_capacity,
            relays_raised_tokens=UNSET if self.relay_capacity is None else True,
            newest_token=UNSET if newest_token is None else newest_token,
        )

    def _newest_token(self) -> FencingToken | None:
        """Return the highest token that this node gives to workers; None while it does not lead."""
        term = self.terms.active()
        if term is None:
            return None
        newest_token = term.worker_registry.tokens.newest
        self.store_epochs.observe_leader_token(newest_token)
        return newest_token

    def peer_heartbeats(self) -> list[PeerHeartbeat]:
        """Return the recent heartbeats of all peers that are not lost."""
        return self.peers.live_peer_heartbeats()

    def is_lost(self, peer: NodeName) -> bool:
        """Return whether the peer is lost, which means that its process has probably ended."""
        return self.peers.is_lost(peer)

    def count_workers_since(self, instant: Instant) -> int:
        """Return the number of workers that sent heartbeats here since `instant`, except those that it relays."""
        return self.workers.count_since(instant)


class HeartbeatReactions:
    """Handles the heartbeats and the loss of peers; implements `peer_listeners.HeartbeatListener`."""

    def __init__(
        self,
        services: Services,
        view: ClusterView,
        election: Election,
        store_epochs: StoreEpochs,
        relay: Relay,
        detector: LeaderFailureDetector | None,
    ) -> None:
        self._services = services
        self._view = view
        self._election = election
        self._store_epochs = store_epochs
        self._relay = relay
        self._detector = detector

    def own_heartbeat(self) -> PeerHeartbeat:
        """Return this node's own peer heartbeat; see `HeartbeatListener`."""
        return self._view.own_heartbeat()

    def on_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Pass a peer's heartbeat to the parts that use it; step down for a newer leader. See `HeartbeatListener`."""
        if self._detector is not None:
            self._detector.on_heartbeat(heartbeat)
        leading_token = heartbeat.leading_token or NO_TOKEN
        self._store_epochs.observe_token(max(heartbeat.highest_token, leading_token))
        if heartbeat.newest_token is not UNSET:
            self._store_epochs.observe_leader_token(heartbeat.newest_token)
        self._relay.on_token_seen(leading_token)
        if heartbeat.is_epoch_lost and heartbeat.store_epoch is not None:
            self._store_epochs.on_loss_reported(heartbeat.store_epoch, heartbeat.node, heartbeat.is_loss_before_replica)
        if heartbeat.leading_token is not None:
            self._on_leader_heartbeat(heartbeat, heartbeat.leading_token)

    def _on_leader_heartbeat(self, heartbeat: PeerHeartbeat, token: FencingToken) -> None:
        own_token = self._election.token
        if own_token is None:
            if heartbeat.incarnation:
                share = follower_share_with_borrowed(self._services.node_count, heartbeat.store_utilization)
                self._services.store.adjust_share(share)
        elif token > own_token:
            self._election.step_down(f"{heartbeat.node} leads with token {token}")

    def on_peer_lost(self, peer: NodeName) -> None:
        """Report a lost peer to the failure detector; see `HeartbeatListener`."""
        if self._detector is not None:
            self._detector.on_peer_lost(peer)


class PeerRequests:
    """Responds to peers' requests; implements `peer_listeners.PeerRequestHandler`."""

    def __init__(
        self,
        services: Services,
        election: Election,
        follower: ReplicaFollower | None,
        terms: CurrentTerm,
        replica_parts: ReplicaParts,
        job_api: JobApi,
    ) -> None:
        self._services = services
        self._election = election
        self._follower = follower
        self._terms = terms
        self._replica_parts = replica_parts
        self._job_api = job_api

    def progress_of(self, job: JobId) -> JobProgress | None:
        """Return a job's progress in this node's own term; see `PeerRequestHandler`."""
        return self._terms.progress_of(job)

    def replica_part(self, request: ReplicaPartRequest) -> ReplicaPart:
        """Return a part of this node's pre-loss replica; see `PeerRequestHandler`."""
        return self._replica_parts.replica_part(request)

    async def serve_forwarded(self, operation: str, job: str, body: bytes) -> ServerResponse:
        """Serve a user's request that a peer forwarded; see `PeerRequestHandler`."""
        return await self._job_api.serve(operation, job, body)

    async def accept_leadership(self, number: int) -> LeadershipOfferResponse:
        """Accept a leadership offer if this node is in sync and gets a leader lease; see `PeerRequestHandler`."""
        if self._follower is None or not self._follower.is_in_sync:
            return LeadershipOfferResponse(number)
        successor = await self._election.accept_leadership()
        if successor is None:
            return LeadershipOfferResponse(number)
        return LeadershipOfferResponse(number, successor.lease, self._services.incarnation)


class HintExchange:
    """Handles hints and requests for them; implements `peer_listeners.HintListener`."""

    def __init__(self, subscriber: HintSubscriber, follower: ReplicaFollower | None, terms: TermManager) -> None:
        self._subscriber = subscriber
        self._follower = follower
        self._terms = terms

    def on_hints(self, hints: Hints) -> None:
        """Apply the leader's hints, and resync a replica that differs from the leader's; see `HintListener`."""
        self._subscriber.apply(hints)
        counts, follower = hints.key_counts, self._follower
        if follower is not None and counts and not follower.matches_counts(counts[0], KeyCounts(*counts[1:])):
            follower.resync(f"it differs from the leader's at revision {counts[0]}")

    def on_full_hints_request(self) -> None:
        """Send full hints with the next message, if this node leads; see `HintListener`."""
        self._terms.on_full_hints_request()
