"""Connects the controller's parts for a data loss of the store: step down, begin a new epoch, and serve requests."""

from __future__ import annotations

import logging

from meadowcross.common.http import ServerResponse
from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import FencingToken, JobId, NodeName, Revision, Seconds, compose_token
from meadowcross.controller.leadership import CurrentTerm, LeaderDirectory, ProgressQuery
from meadowcross.jobs.collaborators import PeerQueries, RequestForwarder
from meadowcross.leadership.election import Election
from meadowcross.leadership.messages import PeerHeartbeat
from meadowcross.leadership.peer_link import PeerLink
from meadowcross.leadership.peer_status import PeerStatus
from meadowcross.recovery.merge import RecoverySource
from meadowcross.recovery.messages import LEADER_KEY, RecoveryStage, ReplicaPart, ReplicaPartRequest
from meadowcross.recovery.peer_replicas import build_replica_part
from meadowcross.recovery.store_epochs import StoreEpochs
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.store.client import StoreClient
from meadowcross.store.messages import Condition

LONG_HISTORY_S: Seconds = 300.0
"""A node that has followed the store for this long received the end of each job that users still ask about, or the
audit has compared the job's record with the store."""


class SnapshotReader:
    """Reads the snapshot directory, if the operators have set one."""

    def __init__(self, operator: OperatorSettings) -> None:
        self._directory = operator.snapshot_directory

    def read(self) -> list[RecoverySource]:
        """Return the newest usable snapshot; empty if no directory is set or it has no usable snapshot."""
        if not self._directory:
            return []
        # Imported only when a directory is read, to keep the start-up time short.
        from meadowcross.snapshots import files  # noqa: PLC0415

        source, rejections = files.read_newest(self._directory)
        for rejection in rejections:
            logging.getLogger("snapshots").error("snapshot not used reason=%r", rejection)
        return [source] if source is not None else []

    def minimum_position(self) -> tuple[int, int]:
        """Return an epoch and revision that the store is known to have reached; (0, 0) without a snapshot."""
        return max(((source.epoch, int(source.revision)) for source in self.read()), default=(0, 0))


class DataLossHandler:
    """Reacts to a data loss: freezes the replica and steps down, so that no node leads until a new epoch begins."""

    def __init__(self, follower: ReplicaFollower | None) -> None:
        self._follower = follower
        self._store_epochs: StoreEpochs
        self._election: Election
        self._link: PeerLink

    def connect(self, store_epochs: StoreEpochs, election: Election, link: PeerLink) -> None:
        """Set the parts that are built after this handler. Called once, before any part starts."""
        self._store_epochs, self._election, self._link = store_epochs, election, link

    def on_data_loss(self, reason: str) -> None:
        """Freeze the replica, step down, and report a proven data loss to the peers."""
        record = self._store_epochs.record
        if self._follower is not None and record is not None:
            self._follower.freeze(record.number, self._store_epochs.is_loss_before_replica)
        self._election.step_down(f"the state service has lost data: {reason}")
        self._election.wake()
        self._link.send_heartbeats()

    def on_job_missing(self, job: JobId) -> None:
        """Report a data loss: the store no longer has the record of a job that was stored before."""
        self._store_epochs.report_loss(f"job {job} is missing")

    def on_recovered(self) -> None:
        """Resume following the store, once all collected data is written back."""
        if self._follower is not None:
            self._follower.unfreeze()


class EpochTokens:
    """Composes fencing tokens of the store's present epoch; implements `election.TokenSource`."""

    def __init__(self, store: StoreClient, store_epochs: StoreEpochs, peers: PeerStatus) -> None:
        self._store = store
        self._store_epochs = store_epochs
        self._peers = peers

    def token_if_epoch_known(self, revision: Revision) -> FencingToken | None:
        """Return the token for this node's own key; None: a new epoch must begin first. See `TokenSource`."""
        return self._store_epochs.token_for_key(revision)

    def token_for_key(self, revision: Revision) -> FencingToken:
        """Return the token for another node's key; epoch 0 is assumed while none is known. See `TokenSource`."""
        record = self._store_epochs.record
        return compose_token(record.number if record is not None else 0, revision)

    def is_store_suspect(self) -> bool:
        """Return whether the store has lost data and no new epoch has begun; see `TokenSource`."""
        return self._store_epochs.is_lost()

    async def begin_store_epoch(self, revision: Revision) -> FencingToken | None:
        """Begin a new epoch under this node's key and return the token in it; see `TokenSource`.

        Returns None if the key is no longer this node's, or another node has begun an epoch without a token for this
        node. Raises the errors of the store client.
        """
        epochs = self._store_epochs
        await epochs.refresh()
        token = epochs.token_for_key(revision)
        if token is not None:
            return token
        if not epochs.is_lost():
            # A token that is not below this key's exists. If the key is still this node's own, the store has lost the
            # data from which that token was issued.
            if await self._store.find_changed_keys([Condition(LEADER_KEY, revision)]):
                return None
            reason = (
                f"token {epochs.highest_token} was received, the store is at revision {self._store.highest_revision}"
            )
            epochs.report_loss(reason, True)
        peer_epochs = (heartbeat.store_epoch or 0 for heartbeat in self._peers.live_peer_heartbeats())
        return await epochs.begin_epoch(LEADER_KEY, revision, max(peer_epochs, default=0))


class ReplicaParts:
    """Serves this node's pre-loss replica to a peer that runs a recovery."""

    def __init__(self, node: NodeName, store_epochs: StoreEpochs, follower: ReplicaFollower | None) -> None:
        self._node = node
        self._store_epochs = store_epochs
        self._follower = follower

    def replica_part(self, request: ReplicaPartRequest) -> ReplicaPart:
        """Return the part after the request's key; an empty one if this node has no replica."""
        record = self._store_epochs.record
        if self._follower is None:
            return ReplicaPart(request.number, self._node)
        if record is not None and self._follower.pre_loss_replica is None:
            # The peer sends this request only after a proven loss, which this node has not detected yet.
            self._store_epochs.on_loss_reported(record.number, "a peer", False)
        return build_replica_part(self._follower, request, self._node)


class AuditTurn:
    """Selects the one follower that audits the store."""

    def __init__(self, node: NodeName, peers: PeerStatus, terms: CurrentTerm) -> None:
        self._node = node
        self._peers = peers
        self._terms = terms

    def is_own_turn(self) -> bool:
        """Return whether this node does not lead and no follower in sync has a name that sorts before its own."""
        followers = [
            heartbeat.node
            for heartbeat in self._peers.live_peer_heartbeats()
            if heartbeat.is_in_sync and heartbeat.leading_token is None
        ]
        return self._terms.active() is None and min([self._node, *followers]) == self._node


class RequestPeers:
    """Selects the peers to which users' requests are forwarded."""

    def __init__(
        self,
        store_epochs: StoreEpochs,
        follower: ReplicaFollower | None,
        election: Election,
        link: PeerLink,
        terms: CurrentTerm,
        leaders: LeaderDirectory,
    ) -> None:
        self._store_epochs = store_epochs
        self._follower = follower
        self._election = election
        self._link = link
        self._terms = terms
        self._leaders = leaders

    def as_peer_queries(self, progress: ProgressQuery) -> PeerQueries:
        """Return the queries to peers in the form that the API for users takes."""
        return PeerQueries(
            progress=progress.progress_of,
            has_store=self._link.status.has_peer_with_store,
            forward=self._link.forward,
            leader_forwarder=self.leader_forwarder,
            query_peer_with_history=self.query_peer_with_history,
            has_unknown_leader=self.has_unknown_leader,
        )

    def has_unknown_leader(self) -> bool:
        """Return whether a worker or peer has sent a token above all those of the known leaders."""
        leader = self._leaders.known_leader()
        known_token = leader[1] if leader is not None else FencingToken(0)
        return self._store_epochs.highest_token > max(known_token, self._store_epochs.highest_leader_token)

    async def query_peer_with_history(self, job: JobId) -> ServerResponse | None:
        """Forward a query for a job without a record to a peer with a longer history.

        Returns None if this node has followed the store for long enough itself, if there is no such peer, or if the
        peer does not respond.
        """
        follower = self._follower
        if self._election.has_history and follower is not None and follower.has_followed_for(LONG_HISTORY_S):
            return None
        peer = next(filter(_is_in_sync_with_history, self._link.status.live_peer_heartbeats()), None)
        return await self._link.forward("query", job, b"", peer.node) if peer is not None else None

    def leader_forwarder(self) -> RequestForwarder | None:
        """Return a function that forwards a request to the leader; None if requests are served by this node.

        Requests are forwarded while ended jobs are written back, because only the leader has all of them then.
        """
        if self._store_epochs.stage is not RecoveryStage.ENDED_JOBS or self._terms.active() is not None:
            return None
        leader = self._leaders.known_leader()

        async def forward_to_leader(operation: str, job: str, body: bytes) -> ServerResponse | None:
            return await self._link.forward(operation, job, body, leader[0]) if leader is not None else None

        return forward_to_leader


def _is_in_sync_with_history(heartbeat: PeerHeartbeat) -> bool:
    return heartbeat.has_history and heartbeat.is_in_sync
