"""The leader's side of relaying: grants, assignment of workers, heartbeat renewals, and commands sent through relays.

This module never changes the state of a task. The term handles a forwarded heartbeat as if its worker had sent it
directly; a renewal only shows that a worker was in contact and that its tasks are unchanged.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from msgspec import Raw, UnsetType

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
from meadowcross.workers.heartbeat_tracker import silence_window_s
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("relay")

GRANT_DURATION_S: Seconds = 3.0
"""Grants are renewed each second. A relay without a grant redirects its workers, which then have most of half a worker
lease left to reach another node."""
LINK_MARGIN_S: Seconds = 0.5
"""Time for a request between controllers, added to the time that the relay waits for the worker's response."""
WORKER_RESPONSE_TIMEOUT_S: Seconds = 4.0
WORKER_RETRY_DELAY_S: Seconds = 1.0
"""By the protocol a worker waits `WORKER_RESPONSE_TIMEOUT_S` for a response, then `WORKER_RETRY_DELAY_S` before it
tries the next node."""
CHECK_INTERVAL_S: Seconds = 1.0
"""Time between two calls of `RelayPool.renew_grants`."""
MAX_REDIRECTS_PER_S = 200.0
"""Limit of redirected workers: more new connections at once would delay the workers that the relays already serve."""
AVOIDANCE_RESET_S: Seconds = 30.0
"""Time between two resets of the relays that workers avoid."""
ENABLE_ABOVE_SHARE = 1.0
DISABLE_BELOW_SHARE = 0.75
"""Relays are enabled above `ENABLE_ABOVE_SHARE` of the workers that the leader's own sockets allow, and disabled at
`DISABLE_BELOW_SHARE` or less."""


class RelayPeer(Protocol):
    """The part of a peer heartbeat that states whether the peer can be a relay."""

    node: NodeName
    relay_capacity: int | None
    relays_raised_tokens: bool | UnsetType


class RelayLink(Protocol):
    """The part of the connections between controllers that a leader with relays needs.

    `forward_commands` raises ConnectionFailedError and NoResponseError.
    """

    def send_relay_message(self, message: RelayGrant | ResendRequest, peer: NodeName) -> bool:
        """Send the message without waiting for an answer; return False if the peer is not connected."""
        ...

    async def forward_commands(
        self, peer: NodeName, make_request: Callable[[int], ForwardedCommands], timeout_s: Seconds
    ) -> CommandsAnswer:
        """Send the request that `make_request` builds from its number, and return the answer."""
        ...


def direct_sender(http: HttpClient) -> SendCommands:
    """Return a function that sends commands from this controller directly to a worker's address."""

    async def send(machine: Machine, body: bytes) -> ClientResponse:
        assert machine.address is not None
        return await http.call("POST", machine.address, "/commands", body, COMMAND_TIMEOUT_S)

    return send


@dataclass(frozen=True, slots=True)
class RelayPoolSettings:
    """The settings that the relay pool needs."""

    mode: RelayMode
    own_capacity: int
    """Number of workers that the sockets of this node allow."""
    zones: dict[NodeName, str]
    """Zone of each peer."""
    report_s: Seconds
    """Interval of a worker's heartbeats."""
    silent_s: Seconds
    """Time without contact after which a worker's machine is decommissioned."""


@dataclass(frozen=True, slots=True)
class WorkerClients:
    """The HTTP clients that send commands directly to workers."""

    persistent: HttpClient
    """Keeps connections open; used while relays are disabled."""
    short_lived: HttpClient
    """Closes connections soon after use; used while relays are enabled, that is, while sockets are scarce."""


class RelayPool:
    """The relays of one term and their workers."""

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
        """`node` is this node, `token` is the term's token; `peers` returns the peers with a recent heartbeat."""
        self._clock = clock
        self._node = node
        self._token = token
        self._link = link
        self._send_by_persistent_client = direct_sender(clients.persistent)
        self._send_by_short_lived_client = direct_sender(clients.short_lived)
        self._settings = settings
        self._silence_window_s = silence_window_s(settings.report_s) + RENEWAL_INTERVAL_S
        self._failover_s = 1.25 * settings.report_s + WORKER_RESPONSE_TIMEOUT_S + WORKER_RETRY_DELAY_S
        """The longest time that a worker needs to reach another node."""
        self._min_grace_s = max(0.0, self._failover_s + CHECK_INTERVAL_S - settings.silent_s)
        """Grace from the last contact: no machine is decommissioned before its worker can reach another node."""
        self._peers = peers
        self._registry: WorkerRegistry | None = None
        self._is_enabled = settings.mode is RelayMode.ALWAYS
        self._avoidance_reset_at = Instant(clock.seconds())
        self._redirect_limit = TokenBucket(clock, MAX_REDIRECTS_PER_S, MAX_REDIRECTS_PER_S)
        self.assignment = RelayAssignment()

    @property
    def now(self) -> Instant:
        """The instant on the leader's clock."""
        return Instant(self._clock.seconds())

    @property
    def relay_count(self) -> int:
        """The number of relays that have a grant."""
        return len(self.assignment.relays)

    def set_registry(self, registry: WorkerRegistry) -> None:
        """Set the registry of the term's workers; renewals that arrive earlier are dropped."""
        self._registry = registry

    def renew_grants(self) -> None:
        """Renew the grants of all usable peers while relays are enabled. To be called every `CHECK_INTERVAL_S`."""
        self._is_enabled = self._should_be_enabled()
        newest_token = self._registry.tokens.announce(self._is_enabled) if self._registry is not None else self._token
        granted = self._send_grants(newest_token) if self._is_enabled else {}
        for node in [node for node in self.assignment.relays if node not in granted]:
            self._remove_relay(node)
        for node in granted.keys() - self.assignment.relays.keys():
            log.info("relay added node=%s max_workers=%d", node, granted[node].max_workers)
        self.assignment.relays = granted
        self._extend_grace()
        if self.now - self._avoidance_reset_at >= AVOIDANCE_RESET_S:
            self._avoidance_reset_at = self.now
            self.assignment.reset_avoidance()

    def _send_grants(self, newest_token: FencingToken) -> dict[NodeName, RelayCapacity]:
        """Send a grant to each peer that can be a relay; return the peers that the grant could be sent to.

        A peer of an earlier version would take a raised token for that of another leader.
        """
        message = RelayGrant(self._node, self._token, GRANT_DURATION_S, newest_token)
        granted: dict[NodeName, RelayCapacity] = {}
        for peer in self._peers():
            if peer.relay_capacity is None or peer.relays_raised_tokens is not True:
                continue
            if self._link.send_relay_message(message, peer.node):
                granted[peer.node] = RelayCapacity(self._settings.zones.get(peer.node, ""), peer.relay_capacity)
        return granted

    def _should_be_enabled(self) -> bool:
        if self._settings.mode is not RelayMode.AUTO:
            return self._settings.mode is RelayMode.ALWAYS
        machines = len(self._registry.machines) if self._registry is not None else 0
        return machines > self._settings.own_capacity * (
            DISABLE_BELOW_SHARE if self._is_enabled else ENABLE_ABOVE_SHARE
        )

    def on_peer_lost(self, peer: NodeName) -> None:
        """Remove the peer's relay, since the connection to the peer was closed."""
        if peer in self.assignment.relays:
            self._remove_relay(peer)

    def _remove_relay(self, node: NodeName) -> None:
        """Remove a failed relay.

        The silence of its workers is not counted against them until they can have reached another node.
        """
        former_workers = self.assignment.remove_relay(node)
        log.info("relay removed node=%s workers=%d", node, len(former_workers))
        for machine_id in former_workers:
            machine = self._registry.machines.get(machine_id) if self._registry is not None else None
            if machine is not None:
                machine.contact.grace_until = Instant(self.now + self._failover_s)

    def _extend_grace(self) -> None:
        """Give the silent workers of each relay time to reach another node, counted from their last contact.

        If most workers of a relay are silent at once, the cause is the relay or the connection to it. The first machine
        would be decommissioned before most workers are silent, so every silent worker gets at least the time that it
        takes to reach another node.
        """
        if self._registry is None:
            return
        silent_since = self.now - self._silence_window_s
        for node in self.assignment.relays:
            contacts = [
                machine.contact
                for machine_id in self.assignment.workers_of(node)
                if (machine := self._registry.machines.get(machine_id)) is not None and machine.is_up
            ]
            silent = [contact for contact in contacts if (contact.last_contact_at or 0.0) < silent_since]
            grace_s = self._failover_s if len(silent) * 2 > len(contacts) else self._min_grace_s
            for contact in silent:
                contact.grace_until = Instant((contact.last_contact_at or 0.0) + grace_s)

    def assign_relay(self, machine: Machine, via: NodeName | None) -> NodeName | None:
        """Update the assignment after a worker's newest heartbeat, which came through relay `via`, or directly (None).

        Returns the relay to redirect the worker to, or None if the worker stays where it is.
        """
        via = via or self._node
        if not self._is_enabled or not self.assignment.relays:
            return None
        if self.assignment.relay_of(machine.id) != via and not self._redirect_limit.try_acquire():
            # The redirect is tried again at the next heartbeat.
            return None
        return self.assignment.on_heartbeat(machine.id, machine.kind.zone, via)

    def apply_renewals(self, renewals: HeartbeatRenewals) -> None:
        """Apply the renewals that a relay reported.

        Requests a full heartbeat from each worker that is unknown here, and from each worker whose renewal does not
        repeat the newest heartbeat that was applied here.
        """
        if renewals.token != self._token or self._registry is None:
            return
        machines_to_resend: list[MachineId] = []
        for renewal in renewals.renewals:
            machine = self._registry.machines.get(renewal.machine)
            if machine is None:
                machines_to_resend.append(renewal.machine)
            elif not self._registry.apply_renewal(
                machine,
                HeartbeatVersion(renewal.incarnation, renewal.seq),
                HeartbeatVersion(renewal.incarnation, renewal.full_seq),
                self.now,
            ):
                machines_to_resend.append(machine.id)
        if machines_to_resend:
            self._link.send_relay_message(ResendRequest(self._token, machines_to_resend), renewals.node)

    def adopt_workers(self, relayed: RelayedWorkers) -> None:
        """Assign to a relay the workers that it had before this term began; commands to them go through the relay."""
        if relayed.token == self._token and relayed.node in self.assignment.relays:
            for machine in relayed.machines:
                if self.assignment.relay_of(machine) is None:
                    self.assignment.assign(machine, relayed.node)

    def remove_machine(self, machine: MachineId) -> None:
        """Remove a deleted machine from the assignment."""
        self.assignment.remove_worker(machine)

    async def send_commands(self, machine: Machine, body: bytes) -> ClientResponse:
        """Send commands to a worker, through its relay or directly.

        Raises ConnectionFailedError if the commands were certainly not sent. Raises NoResponseError if they may have
        been executed, as for all requests in flight on a connection between controllers that is lost.
        """
        assert machine.address is not None
        relay = self.assignment.relay_of(machine.id)
        if relay is None or relay not in self.assignment.relays:
            return await (self._send_by_short_lived_client if self._is_enabled else self._send_by_persistent_client)(
                machine, body
            )
        return await self._send_through(relay, machine.address, body)

    async def _send_through(self, relay: NodeName, address: Address, body: bytes) -> ClientResponse:
        answer = await self._link.forward_commands(
            relay,
            lambda number: ForwardedCommands(number, self._token, address, Raw(body)),
            COMMAND_TIMEOUT_S + LINK_MARGIN_S,
        )
        route = f"{address} via {relay}"
        if answer.outcome is DeliveryOutcome.NOT_SENT:
            raise ConnectionFailedError(route)
        if answer.outcome is DeliveryOutcome.UNANSWERED:
            raise NoResponseError(route)
        return ClientResponse(answer.status, bytes(answer.body))
