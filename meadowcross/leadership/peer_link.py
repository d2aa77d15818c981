"""The link between controllers: heartbeats, requests with responses, and messages without a response.

Every node connects to every peer and accepts connections of all peers. A request is sent on an outgoing connection, and
its response returns on the same connection. Correctness never depends on the link: messages may be lost or late.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from meadowcross.common.clock import Clock
from meadowcross.common.error_boundary import contain_errors
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
"""Limit of forwarded heartbeats, and of forwarded commands, that wait for one peer. Requests beyond it are refused, so
that a slow peer can't accumulate them."""

PeerResponse = ProgressResponse | ForwardResponse | LeadershipOfferResponse | ReplicaPart | CancellationAck


class PeerLink:
    """Holds the connections to all peers, their last heartbeats and the pending requests."""

    def __init__(self, clock: Clock, peers: list[Peer]) -> None:
        """`set_listeners` must be called before `start`."""
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
        """Set the listeners, once and before `start`. They are no constructor argument, as they depend on the link."""
        self._listeners = listeners

    def start(self, reactor: Any, bind: str) -> None:
        """Listen at `bind` (host:port), connect to all peers, and send heartbeats periodically."""
        host, _, port = bind.rpartition(":")
        reactor.listenTCP(int(port), PeerServerFactory(self), interface=host)
        for peer in self._peers:
            peer_host, _, peer_port = peer.endpoint.rpartition(":")
            factory = PeerClientFactory(self, NodeName(peer.host_name), self._clock)
            reactor.connectTCP(peer_host, int(peer_port), factory, timeout=CONNECT_TIMEOUT_S)
        loop = LoopingCall(contain_errors("sending peer heartbeats", self.send_heartbeats))
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
        """See `ConnectionListener`. Report a lost peer to all other peers at once."""
        if self.status.record_connect_failed(peer, is_refused):
            self.send_heartbeats()
            self._listeners.heartbeats.on_peer_lost(peer)

    # Messages without a response

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all peers: every second, and at once after a change that peers must react to."""
        heartbeat = self._listeners.heartbeats.own_heartbeat()
        for connection in list(self._connections.values()):
            connection.send(heartbeat)

    def send_hints(self, hints: Hints) -> None:
        """Send hints to all peers that support replication."""
        for peer, connection in list(self._connections.items()):
            if self.status.supports_replication(peer):
                connection.send(hints)

    def request_full_hints(self, request: FullHintsRequest, leader: NodeName) -> None:
        """Request all hints from the leader, if it is connected and supports replication."""
        connection = self._connections.get(leader)
        if connection is not None and self.status.supports_replication(leader):
            connection.send(request)

    def send_relay_message(
        self, message: RelayGrant | HeartbeatRenewals | ResendRequest | RelayedWorkers, peer: NodeName
    ) -> bool:
        """Send a relay message to one peer; return False without sending if there is no connection to the peer."""
        connection = self._connections.get(peer)
        if connection is not None:
            connection.send(message)
        return connection is not None

    # Requests

    async def forward_heartbeat(
        self, leader: NodeName, make_request: Callable[[int], ForwardedHeartbeat], timeout_s: Seconds
    ) -> HeartbeatAnswer:
        """Forward a worker's heartbeat and return the leader's response.

        Raise ConnectionFailedError if the request was certainly not sent, else NoResponseError.
        """
        return await self._relayed_heartbeats.request(self._connections.get(leader), make_request, timeout_s)

    async def forward_commands(
        self, peer: NodeName, make_request: Callable[[int], ForwardedCommands], timeout_s: Seconds
    ) -> CommandsAnswer:
        """Let a relay send commands to a worker, and return their outcome.

        Raise ConnectionFailedError if the request was certainly not sent, else NoResponseError.
        """
        return await self._relayed_commands.request(self._connections.get(peer), make_request, timeout_s)

    async def offer_leadership(self, peer: NodeName) -> LeadershipOfferResponse | None:
        """Offer leadership to the peer; return its response, or None without a response.

        The response has a lease for the leader key if the peer accepts.
        """
        response = await self._request(self._connections.get(peer), LeadershipOffer, RESPONSE_TIMEOUT_S)
        return response if isinstance(response, LeadershipOfferResponse) else None

    async def request_replica_part(self, peer: NodeName, after_key: str) -> ReplicaPart | None:
        """Return a part of the replica that the peer followed before a data loss, or None without a response."""
        response = await self._request(
            self._connections.get(peer),
            lambda number: ReplicaPartRequest(number, after_key),
            REPLICA_PART_TIMEOUT_S,
        )
        return response if isinstance(response, ReplicaPart) else None

    async def announce_cancellations(self, leader: NodeName, notice: CancellationNotice) -> bool:
        """Send a cancellation notice to all peers; return whether the leader acknowledged the notice in time.

        All other peers receive the notice too, as any of them may be elected next.
        """
        for peer, connection in list(self._connections.items()):
            if peer != leader:
                connection.send(notice)
        response = await self._request(
            self._connections.get(leader),
            lambda number: CancellationNotice(number, notice.token, notice.revisions, notice.unrecorded),
            RESPONSE_TIMEOUT_S,
        )
        return isinstance(response, CancellationAck)

    async def forward(
        self, operation: str, job: str, body: bytes, target: NodeName | None = None
    ) -> ServerResponse | None:
        """Forward a user request to the peer `target`, by default to any peer that reaches the store.

        Return the response of the peer, or None without a connected peer or a response in time.
        """
        peers = (
            heartbeat.node
            for heartbeat in self.status.recent_heartbeats()
            if (heartbeat.is_store_answering if target is None else heartbeat.node == target)
        )
        connection = next((self._connections[peer] for peer in peers if peer in self._connections), None)
        if connection is None:
            return None
        body_text = body.decode()
        response = await self._request(
            connection, lambda number: ForwardRequest(number, operation, job, body_text), FORWARD_TIMEOUT_S
        )
        if not isinstance(response, ForwardResponse):
            return None
        return ServerResponse(response.status, response.body.encode(), response.retry_after)

    def request_progress(self, leader: NodeName, job: JobId) -> Deferred[JobProgress | None]:
        """Return the progress of the job, or None if the leader does not know the job or does not respond in time."""
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
        """Send a request with a new number and return its response, or None without a connection or response."""
        try:
            return await self._requests.request(connection, make_request, timeout_s)
        except (ConnectionFailedError, NoResponseError):
            return None

    # Messages from peers

    @property
    def handled_types(self) -> set[type]:
        """The message types that have a handler."""
        return set(self._handlers)

    def on_message(self, connection: PeerProtocol, message: Message) -> None:
        """See `ConnectionListener`."""
        self._handlers[type(message)](connection, message)

    def _build_handlers(self) -> dict[type, Callable[[PeerProtocol, Any], None]]:
        """Return the handler for each message type in `Message`."""
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
        known_progress = {
            job: progress for job in request.jobs if (progress := self._listeners.requests.progress_of(job)) is not None
        }
        counts = {job: (progress.done_count, progress.running_count) for job, progress in known_progress.items()}
        forecasts = {
            job: progress.forecast_s for job, progress in known_progress.items() if progress.forecast_s is not None
        }
        connection.send(ProgressResponse(request.number, counts, forecasts))

    def _on_forward_request(self, connection: PeerProtocol, request: ForwardRequest) -> None:
        Deferred.fromCoroutine(self._answer_forward_request(connection, request))

    async def _answer_forward_request(self, connection: PeerProtocol, request: ForwardRequest) -> None:
        try:
            response = await self._listeners.requests.serve_forwarded(
                request.operation, request.job, request.body.encode()
            )
        except Exception:
            # The peer gets no response to this request; later requests are served.
            log.exception("forwarded request of a peer failed")
            return
        connection.send(ForwardResponse(request.number, response.status, response.body.decode(), response.retry_after))

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

    # Messages between leaders and relays

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
