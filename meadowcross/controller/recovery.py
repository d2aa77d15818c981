"""What a controller does when the store has lost data: notice, step down, begin a new epoch, answer with care."""

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
"""Who has followed for so long has seen ended what users still ask about, or has had it compared."""


class SnapshotReader:
    """The directory of snapshots, if the operators name one."""

    def __init__(self, operator: OperatorSettings) -> None:
        self._directory = operator.snapshot_directory

    def read(self) -> list[RecoverySource]:
        """The newest snapshot that can be used; nothing where none is named or there."""
        if not self._directory:
            return []
        # Only where a directory is named, and then only when it is read: a start's time is counted.
        from meadowcross.snapshots import files  # noqa: PLC0415

        source, rejections = files.read_newest(self._directory)
        for text in rejections:
            logging.getLogger("snapshots").error("not used: %s", text)
        return [source] if source is not None else []

    def minimum_position(self) -> tuple[int, int]:
        """The store has been at least so far: epoch and revision."""
        return max(((source.epoch, int(source.revision)) for source in self.read()), default=(0, 0))


class DataLossHandler:
    """Holds still once data was lost: what was followed is kept, and nobody leads until somebody begins a new epoch."""

    def __init__(self, follower: ReplicaFollower | None) -> None:
        self._follower = follower
        self._store_epochs: StoreEpochs
        self._election: Election
        self._link: PeerLink

    def connect(self, store_epochs: StoreEpochs, election: Election, link: PeerLink) -> None:
        """Once, before anything starts: the store's epochs report to this handler, and so are built after it."""
        self._store_epochs, self._election, self._link = store_epochs, election, link

    def on_data_loss(self, reason: str) -> None:
        """There is proof that the store lost data."""
        record = self._store_epochs.record
        if self._follower is not None and record is not None:
            self._follower.freeze(record.number, self._store_epochs.is_loss_older)
        self._election.step_down(f"the state service has lost data: {reason}")
        self._election.wake()
        self._link.send_heartbeats()

    def on_job_missing(self, job: JobId) -> None:
        """The store knows nothing of a job that we saw stored."""
        self._store_epochs.report_loss(f"job {job} is gone")

    def on_recovered(self) -> None:
        """All that was known is back in the store."""
        if self._follower is not None:
            self._follower.unfreeze()


class EpochTokens:
    """Fencing tokens of the store's present epoch; see `election.TokenSource`."""

    def __init__(self, store: StoreClient, store_epochs: StoreEpochs, peers: PeerStatus) -> None:
        self._store = store
        self._store_epochs = store_epochs
        self._peers = peers

    def token_if_epoch_known(self, revision: Revision) -> FencingToken | None:
        """See `TokenSource`."""
        return self._store_epochs.token_for_key(revision)

    def token_for_key(self, revision: Revision) -> FencingToken:
        """See `TokenSource`."""
        record = self._store_epochs.record
        return compose_token(record.number if record is not None else 0, revision)

    def is_store_suspect(self) -> bool:
        """See `TokenSource`."""
        return self._store_epochs.is_lost()

    async def begin_store_epoch(self, revision: Revision) -> FencingToken | None:
        """See `TokenSource`."""
        epochs = self._store_epochs
        await epochs.refresh()
        token = epochs.token_for_key(revision)
        if token is not None:
            return token
        if not epochs.is_lost():
            # Somebody has seen a token from beyond this epoch. If the key is still ours, it is from before a loss.
            if await self._store.find_changed_keys([Condition(LEADER_KEY, revision)]):
                return None
            seen = f"token {epochs.highest_token} was seen, the store is at revision {self._store.highest_revision}"
            epochs.report_loss(seen, True)
        peer_epochs = (heartbeat.store_epoch or 0 for heartbeat in self._peers.fresh_heartbeats())
        return await epochs.begin_epoch(LEADER_KEY, revision, max(peer_epochs, default=0))


class ReplicaParts:
    """Tells a peer that recovers what this node followed before the loss."""

    def __init__(self, node: NodeName, store_epochs: StoreEpochs, follower: ReplicaFollower | None) -> None:
        self._node = node
        self._store_epochs = store_epochs
        self._follower = follower

    def replica_part(self, request: ReplicaPartRequest) -> ReplicaPart:
        """The part after the request's key; an empty one where nothing was followed."""
        record = self._store_epochs.record
        if self._follower is None:
            return ReplicaPart(request.number, self._node)
        if record is not None and self._follower.pre_loss_replica is None:
            # Who asks has proof of a loss.
            self._store_epochs.on_loss_reported(record.number, "a peer", False)
        return build_replica_part(self._follower, request, self._node)


class AuditTurn:
    """Which one of the followers compares its replica with the store."""

    def __init__(self, node: NodeName, peers: PeerStatus, terms: CurrentTerm) -> None:
        self._node = node
        self._peers = peers
        self._terms = terms

    def is_own_turn(self) -> bool:
        """Whether this node follows, and is the first by name of those that do."""
        followers = [
            heartbeat.node
            for heartbeat in self._peers.fresh_heartbeats()
            if heartbeat.is_in_sync and heartbeat.leading_token is None
        ]
        return self._terms.active() is None and min([self._node, *followers]) == self._node


class RequestPeers:
    """Which peers users' requests are passed to."""

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
        """What the user API asks, as it takes it."""
        return PeerQueries(
            progress=progress.progress_of,
            has_store=self._link.status.peer_has_store,
            forward=self._link.forward,
            leader_forwarder=self.leader_forwarder,
            ask_peer_with_history=self.ask_peer_with_history,
            has_unknown_leader=self.has_unknown_leader,
        )

    def has_unknown_leader(self) -> bool:
        """Whether a token was seen that is higher than that of the leader we know."""
        leader = self._leaders.known_leader()
        return self._store_epochs.highest_token > (leader[1] if leader is not None else FencingToken(0))

    async def ask_peer_with_history(self, job: JobId) -> ServerResponse | None:
        """What a peer says of a job that the store does not know, if it has followed for longer than we have."""
        follower = self._follower
        if self._election.has_history and follower is not None and follower.has_followed_for(LONG_HISTORY_S):
            return None
        peer = next(filter(_knows_more, self._link.status.fresh_heartbeats()), None)
        return await self._link.forward("query", job, b"", peer.node) if peer is not None else None

    def leader_forwarder(self) -> RequestForwarder | None:
        """How the leader is asked: while ended jobs come back only it knows them all."""
        if self._store_epochs.stage is not RecoveryStage.ENDED_JOBS or self._terms.active() is not None:
            return None
        leader = self._leaders.known_leader()

        async def ask(operation: str, job: str, body: bytes) -> ServerResponse | None:
            return await self._link.forward(operation, job, body, leader[0]) if leader is not None else None

        return ask


def _knows_more(heartbeat: PeerHeartbeat) -> bool:
    return heartbeat.has_history and heartbeat.is_in_sync
