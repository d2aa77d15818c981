"""Who takes what peers say on the link between controllers; see `peer_link.PeerLink`."""

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
    """What this node says of itself, and does with what peers say of themselves."""

    def own_heartbeat(self) -> PeerHeartbeat:
        """What peers are told of this node now."""

    def on_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """A peer's heartbeat came."""

    def on_peer_lost(self, peer: NodeName) -> None:
        """The connection to a peer was closed, and its address refuses."""


class PeerRequestHandler(Protocol):
    """Answers peers' requests."""

    def progress_of(self, job: JobId) -> JobProgress | None:
        """A job's counts, where this node leads and knows the job."""

    def replica_part(self, request: ReplicaPartRequest) -> ReplicaPart:
        """A part of what this node followed before the store lost data."""

    async def accept_leadership(self, number: int) -> LeadershipOfferResponse:
        """Whether this node would lead next, and by which lease; `number` is the request's."""

    async def serve_forwarded(self, operation: str, job: str, body: bytes) -> ServerResponse:
        """Answer a peer's user: the operation, the job's id where it is not in the body, the body."""


class HintListener(Protocol):
    """Takes the leader's hints, or, at the leader, requests for them."""

    def on_hints(self, hints: Hints) -> None:
        """The leader's hints came."""

    def on_full_hints_request(self) -> None:
        """A peer missed some of our hints."""


class CancellationListener(Protocol):
    """Takes peers' notices of stored cancellations."""

    def on_notice(self, notice: CancellationNotice) -> bool:
        """Whether this node leads and has taken them in."""


class RelayHandler(Protocol):
    """What a node does with what leaders and relays say."""

    def accept_grant(self, grant: RelayGrant) -> None:
        """A leader lets this node answer workers for it."""

    def request_full_heartbeats(self, request: ResendRequest) -> None:
        """The leader wants whole heartbeats of these workers."""

    def apply_renewals(self, renewals: HeartbeatRenewals) -> None:
        """A relay's workers are heard, and have nothing new to tell."""

    def adopt_workers(self, relayed: RelayedWorkers) -> None:
        """A relay tells which workers it answers."""

    def handle_forwarded_heartbeat(self, request: ForwardedHeartbeat) -> HeartbeatAnswer:
        """A worker's whole heartbeat came through a relay."""

    async def send_commands(self, request: ForwardedCommands) -> CommandsAnswer:
        """Send the leader's commands to a worker that reports here."""

    def on_peer_lost(self, peer: NodeName) -> None:
        """The connection to the peer is lost: it relays no more."""


@dataclass(frozen=True)
class PeerListeners:
    """Who takes what peers say."""

    heartbeats: HeartbeatListener
    requests: PeerRequestHandler
    hints: HintListener
    cancellations: CancellationListener
    relays: RelayHandler
