"""The link between controllers: netstrings of JSON over kept connections.

Every node calls every peer and also listens; questions go out on the caller's
connection and are answered on it. Nothing that a rule rests on depends on it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Factory, ReconnectingClientFactory
from twisted.internet.task import LoopingCall
from twisted.protocols.basic import NetstringReceiver

from meadowcross.common.clock import Clock
from meadowcross.common.http import ConnectionFailedError, NoResponseError, ServerResponse
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import Peer
from meadowcross.common.types import FencingToken, JobId, NodeName, Seconds
from meadowcross.jobs.messages import JobProgress
from meadowcross.leadership import messages as m
from meadowcross.leadership.pending_requests import PendingRequests
from meadowcross.recovery.messages import ReplicaPart, ReplicaPartRequest
from meadowcross.relay import messages as rm
from meadowcross.replication.messages import FullHintsRequest, Hints, LeadershipOffer, LeadershipOfferResponse

log = get_logger("leadership")

HEARTBEAT_INTERVAL_S: Seconds = 1.0
HEARTBEAT_FRESH_S: Seconds = 3.0
RESPONSE_TIMEOUT_S: Seconds = 0.4
FORWARD_TIMEOUT_S: Seconds = 1.5
REPLICA_PART_TIMEOUT_S: Seconds = 1.0
MAX_PENDING_REQUESTS = 256
MAX_PENDING_RELAYED = 1_000
"""Reports or commands that wait for one peer; more are refused, so that what a slow peer holds up stays bounded."""
MAX_JOBS_PER_REQUEST = 1_000
"""Of one question, so that its answer fits a netstring."""

PeerResponse = m.ProgressResponse | m.ForwardResponse | LeadershipOfferResponse | ReplicaPart | m.CancellationAck
ServeForwarded = Callable[[str, str, bytes], Awaitable[ServerResponse]]
"""Answers a peer's user: the operation, the job's id where it is not in the body, the body."""


class RelayHandler(Protocol):
    """What a node does with what leaders and relays say."""

    def accept_grant(self, grant: rm.RelayGrant) -> None: ...
    def request_full_heartbeats(self, request: rm.ResendRequest) -> None: ...
    def apply_renewals(self, renewals: rm.HeartbeatRenewals) -> None: ...
    def adopt_workers(self, relayed: rm.RelayedWorkers) -> None: ...
    def handle_forwarded_heartbeat(self, request: rm.ForwardedHeartbeat) -> rm.HeartbeatAnswer: ...
    async def send_commands(self, request: rm.ForwardedCommands) -> rm.CommandsAnswer: ...
    def on_peer_lost(self, peer: NodeName) -> None: ...


class PeerProtocol(NetstringReceiver):
    # A user's body of 64 KiB, escaped as text within JSON.
    MAX_LENGTH = 256 * 1024

    def __init__(self, link: PeerLink) -> None:
        super().__init__()
        self._link = link
        self.peer: NodeName | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)  # type: ignore[union-attr]
        if self.peer is not None:
            self._link.on_connected(self.peer, self)

    def connectionLost(self, reason: Any = None) -> None:
        if self.brokenPeer:
            log.info("peer sent no netstring of at most %d bytes: its line is closed", self.MAX_LENGTH)
        if self.peer is not None:
            self._link.on_disconnected(self.peer, self)

    def stringReceived(self, string: bytes) -> None:
        try:
            message = m.decode(string)
        except msgspec.DecodeError as error:
            log.info("peer sent what can't be read: %s", error)
            return
        self._link.on_message(self, message)

    def send(self, message: m.Message) -> None:
        self.sendString(m.encode(message))


class _PeerClientFactory(ReconnectingClientFactory):
    initialDelay = 0.3
    maxDelay = 2.0  # type: ignore[assignment]
    factor = 1.5
    noisy = False
    reconnect_delay = 0.01
    """A closed link is called again at once: a process that ended refuses, which is news for all."""

    def __init__(self, link: PeerLink, peer: NodeName, clock: Any) -> None:
        self._link = link
        self._peer = peer
        self.clock = clock

    def buildProtocol(self, addr: Any) -> PeerProtocol:
        self.resetDelay()
        line = PeerProtocol(self._link)
        line.peer = self._peer
        return line

    def clientConnectionLost(self, connector: Any, unused_reason: Any) -> None:
        self.delay = self.reconnect_delay
        self.retry(connector)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.delay = max(self.delay, self.initialDelay)
        self._link.on_connect_failed(self._peer, bool(reason.check(ConnectionRefusedError)))
        super().clientConnectionFailed(connector, reason)


class _PeerServerFactory(Factory):
    noisy = False

    def __init__(self, link: PeerLink) -> None:
        self._link = link

    def buildProtocol(self, addr: Any) -> PeerProtocol:
        return PeerProtocol(self._link)


class PeerLink:
    def __init__(
        self,
        clock: Clock,
        peers: list[Peer],
        own_heartbeat: Callable[[], m.PeerHeartbeat],
        progress_of: Callable[[JobId], JobProgress | None],
        on_heartbeat: Callable[[m.PeerHeartbeat], None],
        serve: ServeForwarded,
        on_replica_message: Callable[[Hints | FullHintsRequest], None] = lambda message: None,
        on_peer_lost: Callable[[NodeName], None] = lambda peer: None,
        accept_leadership: Callable[[int], Awaitable[LeadershipOfferResponse]] | None = None,
        replica_part: Callable[[ReplicaPartRequest], ReplicaPart] | None = None,
        apply_cancellations: Callable[[m.CancellationNotice], bool] = lambda told: False,
        relays: RelayHandler | None = None,
    ) -> None:
        self._relays = relays
        self._clock = clock
        self._peers = peers
        self._own_heartbeat = own_heartbeat
        self._progress_of = progress_of
        self._on_heartbeat = on_heartbeat
        self._serve = serve
        self._on_replica_message = on_replica_message
        self._on_peer_lost = on_peer_lost
        self._accept_leadership = accept_leadership
        self._replica_part = replica_part
        self._apply_cancellations = apply_cancellations
        self._lost_at: dict[NodeName, float] = {}
        """Peers whose link was closed and that refuse to be called, and when it was closed."""
        self._closed_at: dict[NodeName, float] = {}
        self._connections: dict[NodeName, PeerProtocol] = {}
        self._heartbeats: dict[NodeName, tuple[float, m.PeerHeartbeat]] = {}
        self._requests: PendingRequests[m.Message, PeerResponse] = PendingRequests(clock, MAX_PENDING_REQUESTS)
        self._relayed_heartbeats: PendingRequests[m.Message, rm.HeartbeatAnswer] = PendingRequests(
            clock, MAX_PENDING_RELAYED
        )
        self._relayed_commands: PendingRequests[m.Message, rm.CommandsAnswer] = PendingRequests(
            clock, MAX_PENDING_RELAYED
        )
        self._progress_waiting: dict[JobId, list[Deferred[JobProgress | None]]] = {}

    def start(self, reactor: Any, bind: str) -> None:
        host, _, port = bind.rpartition(":")
        reactor.listenTCP(int(port), _PeerServerFactory(self), interface=host)
        for peer in self._peers:
            peer_host, _, peer_port = peer.endpoint.rpartition(":")
            caller = _PeerClientFactory(self, NodeName(peer.host_name), self._clock)
            reactor.connectTCP(peer_host, int(peer_port), caller, timeout=2)
        loop = LoopingCall(self.send_heartbeats)
        loop.clock = self._clock  # type: ignore[assignment]
        loop.start(HEARTBEAT_INTERVAL_S)

    def on_connected(self, peer: NodeName, connection: PeerProtocol) -> None:
        self._connections[peer] = connection
        self._lost_at.pop(peer, None)
        connection.send(self._own_heartbeat())

    def on_disconnected(self, peer: NodeName, connection: PeerProtocol) -> None:
        if self._connections.get(peer) is connection:
            del self._connections[peer]
            self._closed_at[peer] = self._clock.seconds()
            if self._relays is not None:
                self._relays.on_peer_lost(peer)
        for requests in (self._requests, self._relayed_heartbeats, self._relayed_commands):
            requests.on_connection_lost(connection)

    def on_connect_failed(self, peer: NodeName, is_refused: bool) -> None:
        """A call to a peer failed. Refused soon after its link was closed, it is lost: others hear of it at
        once. A call without an answer says nothing."""
        closed_at = self._closed_at.pop(peer, None)
        if is_refused and closed_at is not None and peer not in self._lost_at:
            self._lost_at[peer] = closed_at
            self.send_heartbeats()
            self._on_peer_lost(peer)

    def is_lost(self, peer: NodeName) -> bool:
        """Whether the link to a peer was closed, its address refuses, and no beat of it came since."""
        closed_at = self._lost_at.get(peer)
        return closed_at is not None and self._heartbeats.get(peer, (0.0, None))[0] <= closed_at

    def lost_peers(self) -> list[NodeName]:
        return [peer for peer in self._lost_at if self.is_lost(peer)]

    def send_replica_message(self, message: Hints | FullHintsRequest, peer: NodeName | None = None) -> None:
        """To one peer, or to all that understand it: a node of an earlier version says no life."""
        for name, connection in list(self._connections.items()):
            heartbeat = self._heartbeats.get(name, (0.0, None))[1]
            if (peer is None or name == peer) and heartbeat is not None and heartbeat.incarnation:
                connection.send(message)

    def fresh_heartbeats(self) -> list[m.PeerHeartbeat]:
        """The last beats of all peers that were heard lately and are not lost since."""
        return [beat for beat in self._recent_heartbeats() if not self.is_lost(beat.node)]

    async def offer_leadership(self, peer: NodeName) -> LeadershipOfferResponse | None:
        connection = self._connections.get(peer)
        response = (
            await self._request(connection, LeadershipOffer, RESPONSE_TIMEOUT_S) if connection is not None else None
        )
        return response if isinstance(response, LeadershipOfferResponse) else None

    async def request_replica_part(self, peer: NodeName, after: str) -> ReplicaPart | None:
        """A piece of what a peer followed before the state service lost data."""
        connection = self._connections.get(peer)
        if connection is None:
            return None
        response = await self._request(
            connection, lambda number: ReplicaPartRequest(number, after), REPLICA_PART_TIMEOUT_S
        )
        return response if isinstance(response, ReplicaPart) else None

    async def announce_cancellations(self, leader: NodeName, notice: m.CancellationNotice) -> bool:
        """Tells of cancels that are stored: whether the leader has said in time that it took them in. The others hear
        of them too, as any of them may lead next."""
        for name, connection in list(self._connections.items()):
            if name != leader:
                connection.send(notice)
        leader_connection = self._connections.get(leader)
        if leader_connection is None:
            return False
        response = await self._request(
            leader_connection,
            lambda number: m.CancellationNotice(number, notice.token, notice.revisions, notice.unrecorded),
            RESPONSE_TIMEOUT_S,
        )
        return isinstance(response, m.CancellationAck)

    async def _answer_leadership_offer(self, connection: PeerProtocol, message: LeadershipOffer) -> None:
        connection.send(
            await self._accept_leadership(message.number)
            if self._accept_leadership is not None
            else LeadershipOfferResponse(message.number)
        )

    def send_heartbeats(self) -> None:
        """Each second, and at once where something happened that peers should hear."""
        heartbeat = self._own_heartbeat()
        for connection in list(self._connections.values()):
            connection.send(heartbeat)

    def on_message(self, connection: PeerProtocol, message: m.Message) -> None:
        if isinstance(message, m.PeerHeartbeat):
            self._heartbeats[message.node] = (self._clock.seconds(), message)
            self._on_heartbeat(message)
        elif isinstance(message, m.ProgressRequest):
            known = {job: one for job in message.jobs if (one := self._progress_of(job)) is not None}
            counts = {job: (one.done_count, one.running_count) for job, one in known.items()}
            ends = {job: one.forecast_s for job, one in known.items() if one.forecast_s is not None}
            connection.send(m.ProgressResponse(message.number, counts, ends))
        elif isinstance(message, m.ForwardRequest):
            Deferred.fromCoroutine(self._answer_forwarded(connection, message))
        elif isinstance(message, (Hints, FullHintsRequest)):
            self._on_replica_message(message)
        elif isinstance(message, ReplicaPartRequest):
            if self._replica_part is not None:
                connection.send(self._replica_part(message))
        elif isinstance(message, m.CancellationNotice):
            if self._apply_cancellations(message) and message.number:
                connection.send(m.CancellationAck(message.number))
        elif isinstance(message, LeadershipOffer):
            Deferred.fromCoroutine(self._answer_leadership_offer(connection, message))
        elif isinstance(message, rm.HeartbeatAnswer):
            self._relayed_heartbeats.on_response(connection, message)
        elif isinstance(message, rm.CommandsAnswer):
            self._relayed_commands.on_response(connection, message)
        elif isinstance(message, rm.RelayMessage):
            self._on_relay_message(connection, message)
        else:
            self._requests.on_response(connection, message)

    def _on_relay_message(self, connection: PeerProtocol, message: rm.RelayMessage) -> None:
        relays = self._relays
        if relays is None:
            return
        if isinstance(message, rm.ForwardedHeartbeat):
            connection.send(relays.handle_forwarded_heartbeat(message))
        elif isinstance(message, rm.ForwardedCommands):
            Deferred.fromCoroutine(self._answer_relayed_commands(connection, relays, message))
        elif isinstance(message, rm.HeartbeatRenewals):
            relays.apply_renewals(message)
        elif isinstance(message, rm.ResendRequest):
            relays.request_full_heartbeats(message)
        elif isinstance(message, rm.RelayedWorkers):
            relays.adopt_workers(message)
        elif isinstance(message, rm.RelayGrant):
            relays.accept_grant(message)

    async def _answer_relayed_commands(
        self, connection: PeerProtocol, relays: RelayHandler, message: rm.ForwardedCommands
    ) -> None:
        connection.send(await relays.send_commands(message))

    def send_relay(
        self, message: rm.RelayGrant | rm.HeartbeatRenewals | rm.ResendRequest | rm.RelayedWorkers, peer: NodeName
    ) -> bool:
        """To one peer, at once or not at all: whether there is a line to it."""
        connection = self._connections.get(peer)
        if connection is not None:
            connection.send(message)
        return connection is not None

    async def ask_leader(
        self, leader: NodeName, make_request: Callable[[int], rm.ForwardedHeartbeat], timeout_s: Seconds
    ) -> rm.HeartbeatAnswer:
        """The leader's answer to a worker's report. Raises NotSent and Unanswered."""
        return await self._relayed_heartbeats.request(self._connections.get(leader), make_request, timeout_s)

    async def ask_relay(
        self, peer: NodeName, make_request: Callable[[int], rm.ForwardedCommands], timeout_s: Seconds
    ) -> rm.CommandsAnswer:
        """What became of commands that a relay was to send. Raises NotSent and Unanswered."""
        return await self._relayed_commands.request(self._connections.get(peer), make_request, timeout_s)

    async def _answer_forwarded(self, connection: PeerProtocol, message: m.ForwardRequest) -> None:
        try:
            answer = await self._serve(message.operation, message.job, message.body.encode())
        except Exception:
            log.exception("a peer's request failed")
            return
        connection.send(m.ForwardResponse(message.number, answer.status, answer.body.decode(), answer.retry_after))

    async def _request(
        self, connection: PeerProtocol, make_request: Callable[[int], m.Message], timeout_s: Seconds
    ) -> PeerResponse | None:
        """Send a question under a number of its own and wait for its answer; None without one."""
        try:
            return await self._requests.request(connection, make_request, timeout_s)
        except (ConnectionFailedError, NoResponseError):
            return None

    async def forward(self, operation: str, job: str, body: bytes, to: NodeName | None = None) -> ServerResponse | None:
        """The answer of a peer that the state service answers, or of the one named; None without one in time."""
        heartbeats = [
            beat for beat in self._recent_heartbeats() if (beat.is_store_answering if to is None else beat.node == to)
        ]
        connection = next((self._connections[beat.node] for beat in heartbeats if beat.node in self._connections), None)
        if connection is None:
            return None
        text = body.decode()
        response = await self._request(
            connection, lambda number: m.ForwardRequest(number, operation, job, text), FORWARD_TIMEOUT_S
        )
        if not isinstance(response, m.ForwardResponse):
            return None
        return ServerResponse(response.status, response.body.encode(), response.retry_after)

    def _recent_heartbeats(self) -> list[m.PeerHeartbeat]:
        now = self._clock.seconds()
        return [beat for at, beat in self._heartbeats.values() if now - at < HEARTBEAT_FRESH_S]

    def peer_has_store(self) -> bool:
        """Whether some peer lately said that the state service answers it."""
        return any(beat.is_store_answering for beat in self._recent_heartbeats())

    def most_workers_heard(self) -> int | None:
        """The most workers that a peer heard lately; None where no peer was heard itself."""
        return max((beat.workers_heard for beat in self._recent_heartbeats()), default=None)

    def reported_leader(self) -> tuple[NodeName, FencingToken] | None:
        """The peer that lately said that it leads, by the highest token."""
        leads = [
            (beat.leading_token, beat.node) for beat in self._recent_heartbeats() if beat.leading_token is not None
        ]
        token, node = max(leads, default=(FencingToken(0), NodeName("")))
        return (node, token) if leads else None

    def request_progress(self, leader: NodeName, job: JobId) -> Deferred[JobProgress | None]:
        """The leader's counts, or None where it doesn't know or doesn't answer soon. What is
        asked in one turn of the loop goes as one question."""
        answer: Deferred[JobProgress | None] = Deferred()
        if not self._progress_waiting:
            self._clock.callLater(0, lambda: Deferred.fromCoroutine(self._request_progress(leader)))
        self._progress_waiting.setdefault(job, []).append(answer)
        return answer

    async def _request_progress(self, leader: NodeName) -> None:
        waiting, self._progress_waiting = self._progress_waiting, {}
        known: dict[JobId, JobProgress] = {}
        connection = self._connections.get(leader)
        if connection is not None:
            jobs = list(waiting)[:MAX_JOBS_PER_REQUEST]
            reply = await self._request(connection, lambda number: m.ProgressRequest(number, jobs), RESPONSE_TIMEOUT_S)
            if isinstance(reply, m.ProgressResponse):
                ends = reply.forecasts
                known = {one: JobProgress(*counts, ends.get(one)) for one, counts in reply.counts.items()}
        for job, answers in waiting.items():
            for answer in answers:
                answer.callback(known.get(job))
