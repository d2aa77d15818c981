"""The leader's side: which nodes may answer workers for it, what they say, and commands that go through them.

Nothing here proves anything of tasks. Whole reports go to the term as if their workers had come by themselves; a
renewal only says that a worker is heard and has nothing new to tell.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from msgspec import Raw

from meadowcross.common.clock import Clock
from meadowcross.common.http import HttpClient, NotSent, Reply, Unanswered
from meadowcross.common.logging import logger
from meadowcross.common.settings import RelayMode
from meadowcross.common.types import Address, Instant, MachineId, NodeName, ReportVersion, Seconds, Token
from meadowcross.relay import messages as m
from meadowcross.relay.assignment import Assignment, RelayRoom
from meadowcross.relay.relay import RENEW_EVERY_S
from meadowcross.store.budget import Budget
from meadowcross.workers.commands import DIRECT_S, Post
from meadowcross.workers.roster import Machine, Roster
from meadowcross.workers.visitors import heard_window

log = logger("relay")

GRANT_S: Seconds = 3.0
"""Renewed each second. Without one a relay turns its workers away, which leaves them most of half a lease."""
LINK_S: Seconds = 0.5
"""What a question may take on the link beyond the time that the relay gives the worker."""
ANSWER_S: Seconds = 4.0
NEXT_NODE_S: Seconds = 1.0
"""A worker waits so long for an answer, and then before it tries the next node (the protocol)."""
MARGIN_S: Seconds = 1.0
"""Between looks at the relays."""
MOVES_PER_S = 200.0
FORGIVE_S: Seconds = 30.0
"""A relay that did not serve a worker is tried for it again after so long."""
ON_ABOVE = 1.0
OFF_BELOW = 0.75
"""Relays are used from as many workers on as the leader's sockets allow, until well below that."""


class RelayPeer(Protocol):
    """Of a peer's beat, what tells whether it can be a relay."""

    node: NodeName
    relay_room: int | None


class Link(Protocol):
    """Of the controllers' link, what a leader with relays needs. `ask_relay` raises NotSent and Unanswered."""

    def send_relay(self, message: m.Grant | m.ResendWanted, peer: NodeName) -> bool: ...
    async def ask_relay(
        self, peer: NodeName, make: Callable[[int], m.CommandsPassed], timeout: Seconds
    ) -> m.CommandsAnswered: ...


def direct_post(http: HttpClient) -> Post:
    """Commands to a worker's own address, from here."""

    async def post(machine: Machine, body: bytes) -> Reply:
        assert machine.addr is not None
        return await http.call("POST", machine.addr, "/commands", body, DIRECT_S)

    return post


class RelayPool:
    def __init__(
        self,
        clock: Clock,
        node: NodeName,
        token: Token,
        link: Link,
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
        self._post_here = direct_post(http)
        self._post_briefly = direct_post(brief)
        self._mode = mode
        self._own_room = own_room
        self._zones = zones
        self._window_s = heard_window(report_s) + RENEW_EVERY_S
        self._move_s = 1.25 * report_s + ANSWER_S + NEXT_NODE_S
        self._late_s = max(0.0, self._move_s + MARGIN_S - silent_s)
        self._peers = peers
        self._roster: Roster | None = None
        self._wanted = mode is RelayMode.ALWAYS
        self._forgave_at = Instant(clock.seconds())
        self._moves = Budget(clock, MOVES_PER_S, MOVES_PER_S)
        self.assignment = Assignment()

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    @property
    def count(self) -> int:
        """Relays that live now."""
        return len(self.assignment.relays)

    def serves(self, roster: Roster) -> None:
        """The term's machines are these."""
        self._roster = roster

    def grant(self) -> None:
        """Each second: who may answer for us, as long as relays are of use."""
        self._wanted = self._is_wanted()
        living: dict[NodeName, RelayRoom] = {}
        if self._wanted:
            for peer in self._peers():
                message = m.Grant(self._node, self._token, GRANT_S)
                if peer.relay_room is not None and self._link.send_relay(message, peer.node):
                    living[peer.node] = RelayRoom(self._zones.get(peer.node, ""), peer.relay_room)
        for node in [node for node in self.assignment.relays if node not in living]:
            self._lost(node)
        for node in living.keys() - self.assignment.relays.keys():
            log.info("relay %s serves, for %d workers at the most", node, living[node].workers)
        self.assignment.relays = living
        self._excuse_silent()
        if self.now - self._forgave_at >= FORGIVE_S:
            self._forgave_at = self.now
            self.assignment.forgive()

    def _is_wanted(self) -> bool:
        if self._mode is not RelayMode.AUTO:
            return self._mode is RelayMode.ALWAYS
        machines = len(self._roster.machines) if self._roster is not None else 0
        return machines > self._own_room * (OFF_BELOW if self._wanted else ON_ABOVE)

    def peer_lost(self, peer: NodeName) -> None:
        """The link to a peer was closed."""
        if peer in self.assignment.relays:
            self._lost(peer)

    def _lost(self, node: NodeName) -> None:
        """A relay's silence is not its workers': they get the time to come to another node."""
        lost = self.assignment.lose(node)
        log.info("relay %s serves no more, %d workers come by another way", node, len(lost))
        for name in lost:
            machine = self._roster.machines.get(name) if self._roster is not None else None
            if machine is not None:
                machine.excused_until = Instant(self.now + self._move_s)

    def _excuse_silent(self) -> None:
        """Where most workers of a relay are silent at once, it is the relay that they can't reach, or that we don't
        hear through: they get the time to come by another way, counted from when they were heard last. Before that many
        are silent the first would be given up, so that none is before it can have come."""
        if self._roster is None:
            return
        since = self.now - self._window_s
        for node in self.assignment.relays:
            machines = [
                machine
                for name in self.assignment.workers_of(node)
                if (machine := self._roster.machines.get(name)) is not None and machine.heard_at is not None
            ]
            silent = [machine for machine in machines if (machine.heard_at or 0.0) < since]
            excused_s = self._move_s if len(silent) * 2 > len(machines) else self._late_s
            for machine in silent:
                machine.excused_until = Instant((machine.heard_at or 0.0) + excused_s)

    # What relays say

    def arrived(self, machine: Machine, via: NodeName | None) -> NodeName | None:
        """A newest report came through this relay, or to us: the relay to send the worker to, or None to let it
        stay."""
        via = via or self._node
        if not self._wanted or not self.assignment.relays:
            return None
        if self.assignment.relay_of(machine.id) != via and not self._moves.try_take():
            # Moved later: so many new connections at once would hold up whom the relays serve already.
            return None
        return self.assignment.arrived(machine.id, machine.kind.zone, via)

    def renewed(self, renewals: m.Renewals) -> None:
        """Reports that a relay answered by itself. They renew what is heard and take nothing away; one that repeats
        another report than the newest that we know is asked for whole."""
        if renewals.token != self._token or self._roster is None:
            return
        wanted: list[MachineId] = []
        for report in renewals.reports:
            machine = self._roster.machines.get(report.machine)
            if machine is None:
                wanted.append(report.machine)
            elif not self._roster.renew(
                machine,
                ReportVersion(report.session, report.seq),
                ReportVersion(report.session, report.whole_seq),
                self.now,
            ):
                wanted.append(machine.id)
        if wanted:
            self._link.send_relay(m.ResendWanted(self._token, wanted), renewals.node)

    def held(self, sessions: m.SessionsHeld) -> None:
        """The sessions that a relay has already as our term begins; commands for these machines go through it."""
        if sessions.token == self._token and sessions.node in self.assignment.relays:
            for machine in sessions.machines:
                if self.assignment.relay_of(machine) is None:
                    self.assignment.settle(machine, sessions.node)

    def forget(self, machine: MachineId) -> None:
        """The machine is gone."""
        self.assignment.forget(machine)

    # What goes through them

    async def post(self, machine: Machine, body: bytes) -> Reply:
        """Commands to a worker, through the relay that has its session, or from here. Raises NotSent where they were
        certainly not sent, else Unanswered; a link that is lost makes all that is open on it unanswered."""
        assert machine.addr is not None
        relay = self.assignment.relay_of(machine.id)
        if relay is None or relay not in self.assignment.relays:
            return await (self._post_briefly if self._wanted else self._post_here)(machine, body)
        return await self._post_through(relay, machine.addr, body)

    async def _post_through(self, relay: NodeName, address: Address, body: bytes) -> Reply:
        answer = await self._link.ask_relay(
            relay, lambda number: m.CommandsPassed(number, self._token, address, Raw(body)), DIRECT_S + LINK_S
        )
        if answer.outcome is m.Outcome.NOT_SENT:
            raise NotSent(f"{address} by {relay}")
        if answer.outcome is m.Outcome.UNANSWERED:
            raise Unanswered(f"{address} by {relay}")
        return Reply(answer.status, bytes(answer.body))
