"""The link between controllers: heartbeats, requests with responses, and messages that nobody answers.

Every node calls every peer and also listens; a request goes out on the caller's connection and is answered on it.
Nothing that a rule rests on depends on the link.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from meadowcross.common.clock import Clock
from meadowcross.common.http import ConnectionFailedError, NoResponseError, ServerResponse
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import Peer
from meadowcross.common.types import JobId, NodeName, Seconds
from meadowcross.jobs.messages import JobProgress
from meadowcross.leadership.messages import (
    CancellationAck,
    CancellationNotice,
    ForwardRequest,
    ForwardResponse,
    Message,
    PeerHeartbeat,
    ProgressRequest,
    ProgressResponse,
)
from meadowcross.leadership.peer_connection import PeerClientFactory, PeerProtocol, PeerServerFactory
from meadowcross.leadership.peer_listeners import PeerListeners
from meadowcross.leadership.peer_status import PeerStatus
from meadowcross.leadership.pending_requests import PendingRequests
from meadowcross.leadership.progress_requests import ProgressRequests
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
from meadowcross.replication.messages import (
    FullHintsRequest,
    Hints,
    LeadershipOffer,
    LeadershipOfferResponse,
)

log = get_logger("leadership")

HEARTBEAT_INTERVAL_S: Seconds = 1.0
CONNECT_TIMEOUT_S: Seconds = 2
RESPONSE_TIMEOUT_S: Seconds = 0.4
FORWARD_TIMEOUT_S: Seconds = 1.5
REPLICA_PART_TIMEOUT_S: Seconds = 1.0
MAX_PENDING_REQUESTS = 256
MAX_PENDING_RELAYED = 1_000
"""Heartbeats or commands that wait for one peer; more are refused, so that what a slow peer holds up stays bounded."""

PeerResponse = ProgressResponse | ForwardResponse | LeadershipOfferResponse | ReplicaPart | CancellationAck


class PeerLink:
    """Connections to all peers, what they last said, and the requests that are open between us."""

    def __init__(self, clock: Clock, peers: list[Peer]) -> None:
        """The listeners must be set before `start`."""
        self._clock = clock
        self._peers = peers
        self._listeners: PeerListeners
        self._connections: dict[NodeName, PeerProtocol] = {}
        self.status = PeerStatus(clock)
        self._requests: PendingRequests[Message, PeerResponse] = PendingRequests(clock, MAX_PENDING_REQUESTS)
        self._relayed_heartbeats: PendingRequests[Message, HeartbeatAnswer] = PendingRequests(
            clock, MAX_PENDING_RELAYED
        )
        self._relayed_commands: PendingRequests[Message, CommandsAnswer] = PendingRequests(clock, MAX_PENDING_RELAYED)
        self._progress = ProgressRequests(clock, self._send_progress_request)
        self._handlers = self._build_handlers()

    def set_listeners(self, listeners: PeerListeners) -> None:
        """Once, before `start`: they need the link, too."""
        self._listeners = listeners

    def start(self, reactor: Any, bind: str) -> None:
        """Listen at `bind` (host:port), call all peers, and send heartbeats."""
        host, _, port = bind.rpartition(":")
        reactor.listenTCP(int(port), PeerServerFactory(self), interface=host)
        for peer in self._peers:
            peer_host, _, peer_port = peer.endpoint.rpartition(":")
            factory = PeerClientFactory(self, NodeName(peer.host_name), self._clock)
            reactor.connectTCP(peer_host, int(peer_port), factory, timeout=CONNECT_TIMEOUT_S)
        loop = LoopingCall(self.send_heartbeats)
        loop.clock = self._clock  # type: ignore[assignment]
        loop.start(HEARTBEAT_INTERVAL_S)

    # Connections

    def on_connected(self, peer: NodeName, connection: PeerProtocol) -> None:
        """See `ConnectionListener`."""
        self._connections[peer] = connection
        self.status.record_connected(peer)
        connection.send(self._listeners.heartbeats.own_heartbeat())

    def on_disconnected(self, peer: NodeName, connection: PeerProtocol) -> None:
        """See `ConnectionListener`."""
        if self._connections.get(peer) is connection:
            del self._connections[peer]
            self.status.record_disconnected(peer)
            self._listeners.relays.on_peer_lost(peer)
        for requests in (self._requests, self._relayed_heartbeats, self._relayed_commands):
            requests.on_connection_lost(connection)

    def on_connect_failed(self, peer: NodeName, is_refused: bool) -> None:
        """See `ConnectionListener`. Of a lost peer the others hear at once."""
        if self.status.record_connect_failed(peer, is_refused):
            self.send_heartbeats()
            self._listeners.heartbeats.on_peer_lost(peer)

    # What this node sends

    def send_heartbeats(self) -> None:
        """To all peers: each second, and at once where something happened that they should hear."""
        heartbeat = self._listeners.heartbeats.own_heartbeat()
        for connection in list(self._connections.values()):
            connection.send(heartbeat)

    def send_hints(self, hints: Hints) -> None:
        """To all peers that understand them."""
        for peer, connection in list(self._connections.items()):
            if self.status.understands_replication(peer):
                connection.send(hints)

    def request_full_hints(self, request: FullHintsRequest, leader: NodeName) -> None:
        """Ask the leader, if it is connected and understands it, for all hints anew."""
        connection = self._connections.get(leader)
        if connection is not None and self.status.understands_replication(leader):
            connection.send(request)

    def send_relay(
        self, message: RelayGrant | HeartbeatRenewals | ResendRequest | RelayedWorkers, peer: NodeName
    ) -> bool:
        """To one peer, at once or not at all: whether there is a connection to it."""
        connection = self._connections.get(peer)
        if connection is not None:
            connection.send(message)
        return connection is not None

    # Requests

    async def ask_leader(
        self, leader: NodeName, make_request: Callable[[int], ForwardedHeartbeat], timeout_s: Seconds
    ) -> HeartbeatAnswer:
        """The leader's answer to a worker's heartbeat. Raises ConnectionFailedError and NoResponseError."""
        return await self._relayed_heartbeats.request(self._connections.get(leader), make_request, timeout_s)

    async def ask_relay(
        self, peer: NodeName, make_request: Callable[[int], ForwardedCommands], timeout_s: Seconds
    ) -> CommandsAnswer:
        """What became of commands that a relay was to send. Raises ConnectionFailedError and NoResponseError."""
        return await self._relayed_commands.request(self._connections.get(peer), make_request, timeout_s)

    async def offer_leadership(self, peer: NodeName) -> LeadershipOfferResponse | None:
        """Whether the peer would lead next, and by which lease; None without an answer."""
        response = await self._request(self._connections.get(peer), LeadershipOffer, RESPONSE_TIMEOUT_S)
        return response if isinstance(response, LeadershipOfferResponse) else None

    async def request_replica_part(self, peer: NodeName, after_key: str) -> ReplicaPart | None:
        """A part of what a peer followed before the store lost data."""
        response = await self._request(
            self._connections.get(peer),
            lambda number: ReplicaPartRequest(number, after_key),
            REPLICA_PART_TIMEOUT_S,
        )
        return response if isinstance(response, ReplicaPart) else None

    async def announce_cancellations(self, leader: NodeName, notice: CancellationNotice) -> bool:
        """Tell of cancellations that are stored: whether the leader has said in time that it took them in. The others
        hear of them too, as any of them may lead next."""
        for name, connection in list(self._connections.items()):
            if name != leader:
                connection.send(notice)
        response = await self._request(
            self._connections.get(leader),
            lambda number: CancellationNotice(number, notice.token, notice.revisions, notice.unrecorded),
            RESPONSE_TIMEOUT_S,
        )
        return isinstance(response, CancellationAck)

    async def forward(self, operation: str, job: str, body: bytes, to: NodeName | None = None) -> ServerResponse | None:
        """The answer of a peer that the store answers, or of the one named; None without one in time."""
        peers = (
            heartbeat.node
            for heartbeat in self.status.recent_heartbeats()
            if (heartbeat.is_store_answering if to is None else heartbeat.node == to)
        )
        connection = next((self._connections[peer] for peer in peers if peer in self._connections), None)
        if connection is None:
            return None
        text = body.decode()
        response = await self._request(
            connection, lambda number: ForwardRequest(number, operation, job, text), FORWARD_TIMEOUT_S
        )
        if not isinstance(response, ForwardResponse):
            return None
        return ServerResponse(response.status, response.body.encode(), response.retry_after)

    def request_progress(self, leader: NodeName, job: JobId) -> Deferred[JobProgress | None]:
        """The leader's counts, or None where it doesn't know the job or doesn't answer soon."""
        return self._progress.request(leader, job)

    async def _send_progress_request(self, leader: NodeName, jobs: list[JobId]) -> dict[JobId, JobProgress]:
        response = await self._request(
            self._connections.get(leader), lambda number: ProgressRequest(number, jobs), RESPONSE_TIMEOUT_S
        )
        if not isinstance(response, ProgressResponse):
            return {}
        forecasts = response.forecasts
        return {job: JobProgress(*counts, forecasts.get(job)) for job, counts in response.counts.items()}

    async def _request(
        self, connection: PeerProtocol | None, make_request: Callable[[int], Message], timeout_s: Seconds
    ) -> PeerResponse | None:
        """Send a request under a number of its own and wait for the response; None without one."""
        try:
            return await self._requests.request(connection, make_request, timeout_s)
        except (ConnectionFailedError, NoResponseError):
            return None

    # What peers say

    @property
    def handled_types(self) -> set[type]:
        """The types of messages that are taken in."""
        return set(self._handlers)

    def on_message(self, connection: PeerProtocol, message: Message) -> None:
        """See `ConnectionListener`."""
        self._handlers[type(message)](connection, message)

    def _build_handlers(self) -> dict[type, Callable[[PeerProtocol, Any], None]]:
        """By the type of the message: one for each that `Message` names."""
        handlers: dict[type, Callable[[PeerProtocol, Any], None]] = {
            PeerHeartbeat: self._on_heartbeat,
            ProgressRequest: self._on_progress_request,
            ForwardRequest: self._on_forward_request,
            Hints: self._on_hints,
            FullHintsRequest: self._on_full_hints_request,
            ReplicaPartRequest: self._on_replica_part_request,
            CancellationNotice: self._on_cancellation_notice,
            LeadershipOffer: self._on_leadership_offer,
            HeartbeatAnswer: self._relayed_heartbeats.on_response,
            CommandsAnswer: self._relayed_commands.on_response,
            ForwardedHeartbeat: self._on_forwarded_heartbeat,
            ForwardedCommands: self._on_forwarded_commands,
            HeartbeatRenewals: self._on_renewals,
            ResendRequest: self._on_resend_request,
            RelayedWorkers: self._on_relayed_workers,
            RelayGrant: self._on_grant,
        }
        for response in (ProgressResponse, ForwardResponse, LeadershipOfferResponse, ReplicaPart, CancellationAck):
            handlers[response] = self._requests.on_response
        return handlers

    def _on_heartbeat(self, _connection: PeerProtocol, heartbeat: PeerHeartbeat) -> None:
        self.status.record_heartbeat(heartbeat)
        self._listeners.heartbeats.on_heartbeat(heartbeat)

    def _on_progress_request(self, connection: PeerProtocol, request: ProgressRequest) -> None:
        known = {
            job: progress for job in request.jobs if (progress := self._listeners.requests.progress_of(job)) is not None
        }
        counts = {job: (progress.done_count, progress.running_count) for job, progress in known.items()}
        forecasts = {job: progress.forecast_s for job, progress in known.items() if progress.forecast_s is not None}
        connection.send(ProgressResponse(request.number, counts, forecasts))

    def _on_forward_request(self, connection: PeerProtocol, request: ForwardRequest) -> None:
        Deferred.fromCoroutine(self._answer_forwarded(connection, request))

    async def _answer_forwarded(self, connection: PeerProtocol, request: ForwardRequest) -> None:
        try:
            answer = await self._listeners.requests.serve_forwarded(
                request.operation, request.job, request.body.encode()
            )
        except Exception:
            # The peer's request gets no response, and the next ones are served.
            log.exception("a peer's request failed")
            return
        connection.send(ForwardResponse(request.number, answer.status, answer.body.decode(), answer.retry_after))

    def _on_hints(self, _connection: PeerProtocol, hints: Hints) -> None:
        self._listeners.hints.on_hints(hints)

    def _on_full_hints_request(self, _connection: PeerProtocol, _request: FullHintsRequest) -> None:
        self._listeners.hints.on_full_hints_request()

    def _on_replica_part_request(self, connection: PeerProtocol, request: ReplicaPartRequest) -> None:
        connection.send(self._listeners.requests.replica_part(request))

    def _on_cancellation_notice(self, connection: PeerProtocol, notice: CancellationNotice) -> None:
        if self._listeners.cancellations.on_notice(notice) and notice.number:
            connection.send(CancellationAck(notice.number))

    def _on_leadership_offer(self, connection: PeerProtocol, offer: LeadershipOffer) -> None:
        Deferred.fromCoroutine(self._answer_leadership_offer(connection, offer))

    async def _answer_leadership_offer(self, connection: PeerProtocol, offer: LeadershipOffer) -> None:
        connection.send(await self._listeners.requests.accept_leadership(offer.number))

    # What leaders and relays say

    def _on_forwarded_heartbeat(self, connection: PeerProtocol, request: ForwardedHeartbeat) -> None:
        connection.send(self._listeners.relays.handle_forwarded_heartbeat(request))

    def _on_forwarded_commands(self, connection: PeerProtocol, request: ForwardedCommands) -> None:
        Deferred.fromCoroutine(self._answer_forwarded_commands(connection, request))

    async def _answer_forwarded_commands(self, connection: PeerProtocol, request: ForwardedCommands) -> None:
        connection.send(await self._listeners.relays.send_commands(request))

    def _on_renewals(self, _connection: PeerProtocol, renewals: HeartbeatRenewals) -> None:
        self._listeners.relays.apply_renewals(renewals)

    def _on_resend_request(self, _connection: PeerProtocol, request: ResendRequest) -> None:
        self._listeners.relays.request_full_heartbeats(request)

    def _on_relayed_workers(self, _connection: PeerProtocol, relayed: RelayedWorkers) -> None:
        self._listeners.relays.adopt_workers(relayed)

    def _on_grant(self, _connection: PeerProtocol, grant: RelayGrant) -> None:
        self._listeners.relays.accept_grant(grant)
