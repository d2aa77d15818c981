"""The leader's side: which nodes may answer workers for it, what they say, and commands that go through them.

Nothing here proves anything of tasks. Whole reports go to the term as if their workers had come by themselves; a
renewal only says that a worker is heard and has nothing new to tell.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from msgspec import Raw

from meadowcross.common.clock import Clock
from meadowcross.common.http import ClientResponse, ConnectionFailedError, HttpClient, NoResponseError
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import RelayMode
from meadowcross.common.types import Address, FencingToken, HeartbeatVersion, Instant, MachineId, NodeName, Seconds
from meadowcross.relay import messages as m
from meadowcross.relay.assignment import RelayAssignment, RelayCapacity
from meadowcross.relay.relay import RENEWAL_INTERVAL_S
from meadowcross.store.token_bucket import TokenBucket
from meadowcross.workers.dispatcher import COMMAND_TIMEOUT_S, SendCommands
from meadowcross.workers.heartbeat_tracker import silence_window
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("relay")

GRANT_DURATION_S: Seconds = 3.0
"""Renewed each second. Without one a relay turns its workers away, which leaves them most of half a lease."""
LINK_MARGIN_S: Seconds = 0.5
"""What a question may take on the link beyond the time that the relay gives the worker."""
WORKER_RESPONSE_TIMEOUT_S: Seconds = 4.0
WORKER_RETRY_DELAY_S: Seconds = 1.0
"""A worker waits so long for an answer, and then before it tries the next node (the protocol)."""
CHECK_INTERVAL_S: Seconds = 1.0
"""Between looks at the relays."""
MOVES_PER_S = 200.0
AVOIDANCE_RESET_S: Seconds = 30.0
"""A relay that did not serve a worker is tried for it again after so long."""
ENABLE_ABOVE = 1.0
DISABLE_BELOW = 0.75
"""Relays are used from as many workers on as the leader's sockets allow, until well below that."""


class RelayPeer(Protocol):
    """Of a peer's beat, what tells whether it can be a relay."""

    node: NodeName
    relay_room: int | None


class RelayLink(Protocol):
    """Of the controllers' link, what a leader with relays needs. `ask_relay` raises NotSent and Unanswered."""

    def send_relay(self, message: m.RelayGrant | m.ResendRequest, peer: NodeName) -> bool: ...
    async def ask_relay(
        self, peer: NodeName, make_request: Callable[[int], m.ForwardedCommands], timeout_s: Seconds
    ) -> m.CommandsAnswer: ...


def direct_sender(http: HttpClient) -> SendCommands:
    """Commands to a worker's own address, from here."""

    async def post(machine: Machine, body: bytes) -> ClientResponse:
        assert machine.address is not None
        return await http.call("POST", machine.address, "/commands", body, COMMAND_TIMEOUT_S)

    return post


class RelayPool:
    def __init__(
        self,
        clock: Clock,
        node: NodeName,
        token: FencingToken,
        link: RelayLink,
        http: HttpClient,
        brief: HttpClient,
        mode: RelayMode,
        own_room: int,
        zones: dict[NodeName, str],
        report_s: Seconds,
        silent_s: Seconds,
        peers: Callable[[], Iterable[RelayPeer]],
    ) -> None:
        """`http` keeps its connections to workers, `brief` does not: it is used once relays are. `own_room`: how many
        workers this node's own sockets allow; `zones`: where the peers are; `report_s`: how often workers report;
        `silent_s`: after how long a silent one is given up; `peers`: those heard lately."""
        self._clock = clock
        self._node = node
        self._token = token
        self._link = link
        self._send_from_here = direct_sender(http)
        self._send_without_keepalive = direct_sender(brief)
        self._mode = mode
        self._own_room = own_room
        self._zones = zones
        self._window_s = silence_window(report_s) + RENEWAL_INTERVAL_S
        self._move_s = 1.25 * report_s + WORKER_RESPONSE_TIMEOUT_S + WORKER_RETRY_DELAY_S
        self._late_s = max(0.0, self._move_s + CHECK_INTERVAL_S - silent_s)
        self._peers = peers
        self._registry: WorkerRegistry | None = None
        self._is_enabled = mode is RelayMode.ALWAYS
        self._avoidance_reset_at = Instant(clock.seconds())
        self._move_rate = TokenBucket(clock, MOVES_PER_S, MOVES_PER_S)
        self.assignment = RelayAssignment()

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    @property
    def relay_count(self) -> int:
        """Relays that live now."""
        return len(self.assignment.relays)

    def set_registry(self, registry: WorkerRegistry) -> None:
        """The term's machines are these."""
        self._registry = registry

    def renew_grants(self) -> None:
        """Each second: who may answer for us, as long as relays are of use."""
        self._is_enabled = self._should_be_enabled()
        living: dict[NodeName, RelayCapacity] = {}
        if self._is_enabled:
            for peer in self._peers():
                message = m.RelayGrant(self._node, self._token, GRANT_DURATION_S)
                if peer.relay_room is not None and self._link.send_relay(message, peer.node):
                    living[peer.node] = RelayCapacity(self._zones.get(peer.node, ""), peer.relay_room)
        for node in [node for node in self.assignment.relays if node not in living]:
            self._remove_relay(node)
        for node in living.keys() - self.assignment.relays.keys():
            log.info("relay %s serves, for %d workers at the most", node, living[node].max_workers)
        self.assignment.relays = living
        self._extend_grace()
        if self.now - self._avoidance_reset_at >= AVOIDANCE_RESET_S:
            self._avoidance_reset_at = self.now
            self.assignment.reset_avoidance()

    def _should_be_enabled(self) -> bool:
        if self._mode is not RelayMode.AUTO:
            return self._mode is RelayMode.ALWAYS
        machines = len(self._registry.machines) if self._registry is not None else 0
        return machines > self._own_room * (DISABLE_BELOW if self._is_enabled else ENABLE_ABOVE)

    def on_peer_lost(self, peer: NodeName) -> None:
        """The link to a peer was closed."""
        if peer in self.assignment.relays:
            self._remove_relay(peer)

    def _remove_relay(self, node: NodeName) -> None:
        """A relay's silence is not its workers': they get the time to come to another node."""
        lost = self.assignment.remove_relay(node)
        log.info("relay %s serves no more, %d workers come by another way", node, len(lost))
        for machine_id in lost:
            machine = self._registry.machines.get(machine_id) if self._registry is not None else None
            if machine is not None:
                machine.contact.grace_until = Instant(self.now + self._move_s)

    def _extend_grace(self) -> None:
        """Where most workers of a relay are silent at once, it is the relay that they can't reach, or that we don't
        hear through: they get the time to come by another way, counted from when they were heard last. Before that many
        are silent the first would be given up, so that none is before it can have come."""
        if self._registry is None:
            return
        silent_since = self.now - self._window_s
        for node in self.assignment.relays:
            machines = [
                machine
                for name in self.assignment.workers_of(node)
                if (machine := self._registry.machines.get(name)) is not None
                and machine.contact.last_contact_at is not None
            ]
            silent = [machine for machine in machines if (machine.contact.last_contact_at or 0.0) < silent_since]
            grace_s = self._move_s if len(silent) * 2 > len(machines) else self._late_s
            for machine in silent:
                machine.contact.grace_until = Instant((machine.contact.last_contact_at or 0.0) + grace_s)

    # What relays say

    def assign_relay(self, machine: Machine, via: NodeName | None) -> NodeName | None:
        """A newest report came through this relay, or to us: the relay to send the worker to, or None to let it
        stay."""
        via = via or self._node
        if not self._is_enabled or not self.assignment.relays:
            return None
        if self.assignment.relay_of(machine.id) != via and not self._move_rate.try_acquire():
            # Moved later: so many new connections at once would hold up whom the relays serve already.
            return None
        return self.assignment.on_heartbeat(machine.id, machine.kind.zone, via)

    def apply_renewals(self, renewals: m.HeartbeatRenewals) -> None:
        """Reports that a relay answered by itself. They renew what is heard and take nothing away; one that repeats
        another report than the newest that we know is asked for whole."""
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
            self._link.send_relay(m.ResendRequest(self._token, resend), renewals.node)

    def adopt_workers(self, relayed: m.RelayedWorkers) -> None:
        """The sessions that a relay has already as our term begins; commands for these machines go through it."""
        if relayed.token == self._token and relayed.node in self.assignment.relays:
            for machine in relayed.machines:
                if self.assignment.relay_of(machine) is None:
                    self.assignment.assign(machine, relayed.node)

    def forget(self, machine: MachineId) -> None:
        """The machine is gone."""
        self.assignment.forget(machine)

    # What goes through them

    async def send_commands(self, machine: Machine, body: bytes) -> ClientResponse:
        """Commands to a worker, through the relay that has its session, or from here. Raises NotSent where they were
        certainly not sent, else Unanswered; a link that is lost makes all that is open on it unanswered."""
        assert machine.address is not None
        relay = self.assignment.relay_of(machine.id)
        if relay is None or relay not in self.assignment.relays:
            return await (self._send_without_keepalive if self._is_enabled else self._send_from_here)(machine, body)
        return await self._send_through(relay, machine.address, body)

    async def _send_through(self, relay: NodeName, address: Address, body: bytes) -> ClientResponse:
        answer = await self._link.ask_relay(
            relay,
            lambda number: m.ForwardedCommands(number, self._token, address, Raw(body)),
            COMMAND_TIMEOUT_S + LINK_MARGIN_S,
        )
        if answer.outcome is m.DeliveryOutcome.NOT_SENT:
            raise ConnectionFailedError(f"{address} by {relay}")
        if answer.outcome is m.DeliveryOutcome.UNANSWERED:
            raise NoResponseError(f"{address} by {relay}")
        return ClientResponse(answer.status, bytes(answer.body))
