"""The leader's side of relaying: grants to relays, the workers of each, their renewals, and commands through them.

Nothing here proves anything of tasks. A forwarded heartbeat goes to the term as if its worker had sent it directly; a
renewal only says that a worker was in contact and its tasks are unchanged.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from msgspec import Raw

from meadowcross.common.clock import Clock
from meadowcross.common.http import ClientResponse, ConnectionFailedError, HttpClient, NoResponseError
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import RelayMode
from meadowcross.common.types import Address, FencingToken, HeartbeatVersion, Instant, MachineId, NodeName, Seconds
from meadowcross.relay.assignment import RelayAssignment, RelayCapacity
from meadowcross.relay.messages import (
    CommandsAnswer,
    DeliveryOutcome,
    ForwardedCommands,
    HeartbeatRenewals,
    RelayedWorkers,
    RelayGrant,
    ResendRequest,
)
from meadowcross.relay.relay import RENEWAL_INTERVAL_S
from meadowcross.store.token_bucket import TokenBucket
from meadowcross.workers.dispatcher import COMMAND_TIMEOUT_S, SendCommands
from meadowcross.workers.heartbeat_tracker import silence_window
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("relay")

GRANT_DURATION_S: Seconds = 3.0
"""Renewed each second. Without one a relay redirects its workers, which leaves them most of half a worker lease."""
LINK_MARGIN_S: Seconds = 0.5
"""Time for a request on the link, beyond what the relay gives the worker to respond."""
WORKER_RESPONSE_TIMEOUT_S: Seconds = 4.0
WORKER_RETRY_DELAY_S: Seconds = 1.0
"""A worker waits this long for a response, and this long before it tries the next node (by the protocol)."""
CHECK_INTERVAL_S: Seconds = 1.0
"""Between two calls of `RelayPool.renew_grants`."""
MOVES_PER_S = 200.0
"""Workers redirected at most: more new connections at once would hold up those whom the relays serve already."""
AVOIDANCE_RESET_S: Seconds = 30.0
"""A relay that did not serve a worker may be assigned to it again after this time."""
ENABLE_ABOVE = 1.0
DISABLE_BELOW = 0.75
"""Relays are enabled above this share of the workers that the leader's own sockets allow, and disabled below that."""


class RelayPeer(Protocol):
    """The part of a peer's heartbeat that tells whether it can be a relay."""

    node: NodeName
    relay_room: int | None


class RelayLink(Protocol):
    """The part of the controllers' link that a leader with relays needs. `ask_relay` raises ConnectionFailedError and
    NoResponseError."""

    def send_relay(self, message: RelayGrant | ResendRequest, peer: NodeName) -> bool:
        """Send without waiting; False if the peer is not connected."""
        ...

    async def ask_relay(
        self, peer: NodeName, make_request: Callable[[int], ForwardedCommands], timeout_s: Seconds
    ) -> CommandsAnswer:
        """Send the request that `make_request` builds from its number, and wait for the answer."""
        ...


def direct_sender(http: HttpClient) -> SendCommands:
    """Returns a function that sends commands from here to a worker's own address."""

    async def send(machine: Machine, body: bytes) -> ClientResponse:
        assert machine.address is not None
        return await http.call("POST", machine.address, "/commands", body, COMMAND_TIMEOUT_S)

    return send


@dataclass(frozen=True, slots=True)
class RelayPoolSettings:
    """Of the settings, what the pool needs."""

    mode: RelayMode
    own_capacity: int
    """How many workers this node's own sockets allow."""
    zones: dict[NodeName, str]
    """Where the peers are."""
    report_s: Seconds
    """Interval of workers' heartbeats."""
    silent_s: Seconds
    """Time of silence after which a worker is given up."""


@dataclass(frozen=True, slots=True)
class WorkerClients:
    """The HTTP clients for workers' own addresses."""

    persistent: HttpClient
    """Keeps its connections: used while relays are disabled."""
    short_lived: HttpClient
    """Closes its connections soon: used while relays are enabled, that is, while sockets are short."""


class RelayPool:
    """The relays of one term."""

    def __init__(
        self,
        clock: Clock,
        node: NodeName,
        token: FencingToken,
        link: RelayLink,
        clients: WorkerClients,
        settings: RelayPoolSettings,
        peers: Callable[[], Iterable[RelayPeer]],
    ) -> None:
        """`node` is this node, `token` the term's; `peers` returns those whose heartbeats arrived lately."""
        self._clock = clock
        self._node = node
        self._token = token
        self._link = link
        self._send_persistently = direct_sender(clients.persistent)
        self._send_briefly = direct_sender(clients.short_lived)
        self._settings = settings
        self._window_s = silence_window(settings.report_s) + RENEWAL_INTERVAL_S
        self._move_s = 1.25 * settings.report_s + WORKER_RESPONSE_TIMEOUT_S + WORKER_RETRY_DELAY_S
        """What a worker may need to reach another node."""
        self._late_s = max(0.0, self._move_s + CHECK_INTERVAL_S - settings.silent_s)
        self._peers = peers
        self._registry: WorkerRegistry | None = None
        self._is_enabled = settings.mode is RelayMode.ALWAYS
        self._avoidance_reset_at = Instant(clock.seconds())
        self._move_rate = TokenBucket(clock, MOVES_PER_S, MOVES_PER_S)
        self.assignment = RelayAssignment()

    @property
    def now(self) -> Instant:
        """The instant on the leader's clock."""
        return Instant(self._clock.seconds())

    @property
    def relay_count(self) -> int:
        """How many relays have a grant now."""
        return len(self.assignment.relays)

    def set_registry(self, registry: WorkerRegistry) -> None:
        """Set the term's workers; until then renewals are dropped."""
        self._registry = registry

    def renew_grants(self) -> None:
        """Grant each usable peer to answer workers for us, while relays are enabled. To be called each second."""
        self._is_enabled = self._should_be_enabled()
        granted = self._send_grants() if self._is_enabled else {}
        for node in [node for node in self.assignment.relays if node not in granted]:
            self._remove_relay(node)
        for node in granted.keys() - self.assignment.relays.keys():
            log.info("relay %s serves, for %d workers at the most", node, granted[node].max_workers)
        self.assignment.relays = granted
        self._extend_grace()
        if self.now - self._avoidance_reset_at >= AVOIDANCE_RESET_S:
            self._avoidance_reset_at = self.now
            self.assignment.reset_avoidance()

    def _send_grants(self) -> dict[NodeName, RelayCapacity]:
        """Send a grant to each peer that can be a relay; returns those that the link took it for."""
        granted: dict[NodeName, RelayCapacity] = {}
        for peer in self._peers():
            message = RelayGrant(self._node, self._token, GRANT_DURATION_S)
            if peer.relay_room is not None and self._link.send_relay(message, peer.node):
                granted[peer.node] = RelayCapacity(self._settings.zones.get(peer.node, ""), peer.relay_room)
        return granted

    def _should_be_enabled(self) -> bool:
        if self._settings.mode is not RelayMode.AUTO:
            return self._settings.mode is RelayMode.ALWAYS
        machines = len(self._registry.machines) if self._registry is not None else 0
        return machines > self._settings.own_capacity * (DISABLE_BELOW if self._is_enabled else ENABLE_ABOVE)

    def on_peer_lost(self, peer: NodeName) -> None:
        """The link to a peer was closed."""
        if peer in self.assignment.relays:
            self._remove_relay(peer)

    def _remove_relay(self, node: NodeName) -> None:
        """A relay failed; that its workers are silent is no evidence against them until they can have reached another
        node."""
        lost = self.assignment.remove_relay(node)
        log.info("relay %s serves no more, %d workers come by another way", node, len(lost))
        for machine_id in lost:
            machine = self._registry.machines.get(machine_id) if self._registry is not None else None
            if machine is not None:
                machine.contact.grace_until = Instant(self.now + self._move_s)

    def _extend_grace(self) -> None:
        """Give the silent workers of each relay time to reach another node, counted from their last contact.

        If most workers of a relay are silent at once, the cause is the relay or the link to it. The first of them would
        be given up before that many are silent, so each gets at least the time that reaching another node takes.
        """
        if self._registry is None:
            return
        silent_since = self.now - self._window_s
        for node in self.assignment.relays:
            contacts = [
                machine.contact
                for name in self.assignment.workers_of(node)
                if (machine := self._registry.machines.get(name)) is not None and machine.is_up
            ]
            silent = [contact for contact in contacts if (contact.last_contact_at or 0.0) < silent_since]
            grace_s = self._move_s if len(silent) * 2 > len(contacts) else self._late_s
            for contact in silent:
                contact.grace_until = Instant((contact.last_contact_at or 0.0) + grace_s)

    def assign_relay(self, machine: Machine, via: NodeName | None) -> NodeName | None:
        """A newest heartbeat came through relay `via`, or directly (None). Returns the relay to redirect the worker to,
        or None if it is to stay."""
        via = via or self._node
        if not self._is_enabled or not self.assignment.relays:
            return None
        if self.assignment.relay_of(machine.id) != via and not self._move_rate.try_acquire():
            # Its next heartbeat is tried again.
            return None
        return self.assignment.on_heartbeat(machine.id, machine.kind.zone, via)

    def apply_renewals(self, renewals: HeartbeatRenewals) -> None:
        """Apply heartbeats that a relay answered by itself. A full one is requested of each worker whose heartbeat did
        not repeat the newest one that was applied here."""
        if renewals.token != self._token or self._registry is None:
            return
        resend: list[MachineId] = []
        for renewal in renewals.renewals:
            machine = self._registry.machines.get(renewal.machine)
            if machine is None:
                resend.append(renewal.machine)
            elif not self._registry.apply_renewal(
                machine,
                HeartbeatVersion(renewal.incarnation, renewal.seq),
                HeartbeatVersion(renewal.incarnation, renewal.full_seq),
                self.now,
            ):
                resend.append(machine.id)
        if resend:
            self._link.send_relay(ResendRequest(self._token, resend), renewals.node)

    def adopt_workers(self, relayed: RelayedWorkers) -> None:
        """Assign to a relay the workers that it had before our term began; commands to them go through it."""
        if relayed.token == self._token and relayed.node in self.assignment.relays:
            for machine in relayed.machines:
                if self.assignment.relay_of(machine) is None:
                    self.assignment.assign(machine, relayed.node)

    def forget(self, machine: MachineId) -> None:
        """The machine was deleted."""
        self.assignment.forget(machine)

    async def send_commands(self, machine: Machine, body: bytes) -> ClientResponse:
        """Send commands to a worker, through its relay or from here. Raises ConnectionFailedError if they were
        certainly not sent, else NoResponseError, also for all requests that are open on a link when it is lost."""
        assert machine.address is not None
        relay = self.assignment.relay_of(machine.id)
        if relay is None or relay not in self.assignment.relays:
            return await (self._send_briefly if self._is_enabled else self._send_persistently)(machine, body)
        return await self._send_through(relay, machine.address, body)

    async def _send_through(self, relay: NodeName, address: Address, body: bytes) -> ClientResponse:
        answer = await self._link.ask_relay(
            relay,
            lambda number: ForwardedCommands(number, self._token, address, Raw(body)),
            COMMAND_TIMEOUT_S + LINK_MARGIN_S,
        )
        route = f"{address} by {relay}"
        if answer.outcome is DeliveryOutcome.NOT_SENT:
            raise ConnectionFailedError(route)
        if answer.outcome is DeliveryOutcome.UNANSWERED:
            raise NoResponseError(route)
        return ClientResponse(answer.status, bytes(answer.body))
