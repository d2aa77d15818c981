"""Interfaces of the components that handle the messages of peers; see `peer_link.PeerLink`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from meadowcross.common.http import ServerResponse
from meadowcross.common.types import JobId, NodeName
from meadowcross.jobs.messages import JobProgress
from meadowcross.leadership.messages import CancellationNotice, PeerHeartbeat
from meadowcross.recovery.messages import ReplicaPart, ReplicaPartRequest
from meadowcross.relay.messages import (
    CommandsAnswer,
    ForwardedCommands,
    ForwardedHeartbeat,
    HeartbeatAnswer,
    HeartbeatRenewals,
    RelayedWorkers,
    RelayGrant,
    ResendRequest,
)
from meadowcross.replication.messages import Hints, LeadershipOfferResponse


class HeartbeatListener(Protocol):
    """Builds the heartbeats of this node and handles the heartbeats of peers."""

    def own_heartbeat(self) -> PeerHeartbeat:
        """Return the heartbeat that this node sends to its peers now."""

    def on_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Handle a heartbeat of a peer."""

    def on_peer_lost(self, peer: NodeName) -> None:
        """Handle a lost peer: its connection was closed and its address refuses connections."""


class PeerRequestHandler(Protocol):
    """Responds to requests of peers."""

    def progress_of(self, job: JobId) -> JobProgress | None:
        """Return the progress of the job, or None if this node does not lead or does not know the job."""

    def replica_part(self, request: ReplicaPartRequest) -> ReplicaPart:
        """Return a part of the replica that this node followed before the store lost data."""

    async def accept_leadership(self, number: int) -> LeadershipOfferResponse:
        """Accept or decline leadership; an acceptance carries the lease for the leader key.

        `number` is the number of the request.
        """

    async def serve_forwarded(self, operation: str, job: str, body: bytes) -> ServerResponse:
        """Serve a user request that a peer forwarded. `job` is empty if the job id is in the body."""


class HintListener(Protocol):
    """Handles hints on followers, and requests for hints on the leader."""

    def on_hints(self, hints: Hints) -> None:
        """Handle hints of the leader."""

    def on_full_hints_request(self) -> None:
        """Handle the request of a peer that missed some hints of this node."""


class CancellationListener(Protocol):
    """Handles notices of stored cancellations."""

    def on_notice(self, notice: CancellationNotice) -> bool:
        """Handle the notice; return whether this node leads and has applied the cancellations."""


class RelayHandler(Protocol):
    """Handles the messages between a leader and its relays, on both sides."""

    def accept_grant(self, grant: RelayGrant) -> None:
        """Accept the permission of a leader to answer heartbeats of workers for it."""

    def request_full_heartbeats(self, request: ResendRequest) -> None:
        """Forward the next heartbeat of each named worker in full, as the leader requests."""

    def apply_renewals(self, renewals: HeartbeatRenewals) -> None:
        """Renew the heartbeats of workers whose relay received heartbeats without changes."""

    def adopt_workers(self, relayed: RelayedWorkers) -> None:
        """Assign workers that already send their heartbeats to a relay to that relay."""

    def handle_forwarded_heartbeat(self, request: ForwardedHeartbeat) -> HeartbeatAnswer:
        """Handle the full heartbeat of a worker that a relay forwarded."""

    async def send_commands(self, request: ForwardedCommands) -> CommandsAnswer:
        """Send commands of the leader to a worker that reports to this node."""

    def on_peer_lost(self, peer: NodeName) -> None:
        """Handle the loss of the connection to a peer, which can no longer relay."""


@dataclass(frozen=True)
class PeerListeners:
    """The components that handle the messages of peers."""

    heartbeats: HeartbeatListener
    requests: PeerRequestHandler
    hints: HintListener
    cancellations: CancellationListener
    relays: RelayHandler
