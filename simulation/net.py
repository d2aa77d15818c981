"""Simulates processes on one fake clock and the network between them.

Each process gets a `Reactor` in place of Twisted's, with timers, listening and connecting, and runs unmodified. Bytes
arrive in order after a delay. A partition holds them until it ends, or resets connections. A frozen process gets its
timers and packets late while its clock runs on. A killed process resets its connections; a machine without power sends
nothing. All random numbers come from one seeded generator, so one seed gives one history.
"""

from __future__ import annotations

import gc
import heapq
import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random
from typing import Any

from twisted.internet import error
from twisted.internet.address import IPv4Address
from twisted.internet.base import BaseConnector, DelayedCall
from twisted.internet.interfaces import (
    IHostnameResolver,
    IReactorPluggableNameResolver,
    IReactorTCP,
    IReactorTime,
    ITCPTransport,
)
from twisted.python.failure import Failure
from zope.interface import implementer

START = 1_000.0
"""Seconds at which the clock begins. Beginning at 0 would hide code that treats a time of 0 as never."""
log = logging.getLogger("lab")


@dataclass(slots=True)
class Cut:
    """A network partition between `sources` and `targets`; `both`: in both directions.

    `mode` is `hold` (packets are held until the end), `reset` (they reset their connections) or `refuse` (only new
    connections are refused).
    """

    sources: Collection[str]
    targets: Collection[str]
    mode: str = "hold"
    both: bool = True
    held_packets: list[tuple[Transport, str, bytes]] = field(default_factory=list)

    def affects(self, source: str, target: str) -> bool:
        """Whether the partition affects packets from `source` to `target`."""
        return (source in self.sources and target in self.targets) or (
            self.both and source in self.targets and target in self.sources
        )


class Host:
    """An address on the network, on which a process may be started and killed.

    `listening` holds protocol factories by port; `reactor` is None while no process runs.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.is_powered = True
        self.listening: dict[int, Any] = {}
        self.reactor: Reactor | None = None


class Simulation:
    """The clock, the queue of events, the hosts and the network.

    `latency_s`: mean delay of a packet.
    """

    def __init__(self, seed: int, latency_s: float = 0.001) -> None:
        self.now = START
        self.random = Random(seed)
        self.hosts: dict[str, Host] = {}
        self.cuts: list[Cut] = []
        self.current_process = ""
        """Name of the process whose code runs, for log lines."""
        self._latency = latency_s
        self._events: list[tuple[float, int, Reactor | None, Any]] = []
        self._event_count = 0

    def host(self, name: str, zone: str) -> Host:
        """Return the host with this name; it is created if there is none."""
        return self.hosts.setdefault(name, Host(name, zone))

    def schedule(self, at: float, reactor: Reactor | None, event: Any) -> None:
        """Add an event (a delayed call or a function) of a process, or of the simulation itself without a reactor."""
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, reactor, event))

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Call `act` at `when` seconds from the start, whatever faults there are."""
        self.schedule(START + when, None, act)

    def later(self, delay: float, act: Callable[[], None]) -> None:
        """Call `act` after `delay` seconds, whatever faults there are."""
        self.schedule(self.now + delay, None, act)

    def run(self, until: float) -> None:
        """Process all events until `until` seconds after the start.

        The garbage collector is off meanwhile and runs only at set times: it closes the coroutines of killed processes,
        and when its moment depended on code that ran earlier, one seed had two histories.
        """
        was_enabled = gc.isenabled()
        gc.disable()
        try:
            self._process_events(until)
        finally:
            if was_enabled:
                gc.enable()

    def _process_events(self, until: float) -> None:
        end = START + until
        while self._events and self._events[0][0] <= end:
            at, _, reactor, event = heapq.heappop(self._events)
            if reactor is not None:
                if reactor.is_dead:
                    continue
                available_at = max(reactor.frozen_until, reactor.busy_until)
                if available_at > at:
                    self.schedule(available_at, reactor, event)
                    continue
            if isinstance(event, DelayedCall):
                if event.cancelled or event.called:
                    continue
                if event.delayed_time > 0:
                    event.activate_delay()
                    self.schedule(event.time, reactor, event)
                    continue
            self.now = max(self.now, at)
            self.current_process = reactor.host.name if reactor is not None else "lab"
            try:
                if isinstance(event, DelayedCall):
                    event.called = 1
                    event.func(*event.args, **event.kw)
                else:
                    event()
            except Exception:
                # As Twisted's reactor does: log exceptions of timers and protocols, and continue.
                log.exception("unhandled exception process=%s", self.current_process)
            if reactor is not None and reactor.event_cost_s:
                reactor.busy_until = self.now + reactor.event_cost_s
        self.now = max(self.now, end)

    def boot(self, host: Host) -> Reactor:
        """Start a new process on the host; nothing of an earlier process is left. Return its reactor."""
        host.is_powered = True
        host.reactor = Reactor(self, host)
        return host.reactor

    def kill(self, host: Host, silent: bool = False) -> None:
        """End the host's process; `silent`: the machine loses power too, so its connections are not reset."""
        reactor = host.reactor
        if reactor is None:
            return
        reactor.is_dead = True
        host.reactor = None
        host.listening.clear()
        host.is_powered = not silent
        for transport in list(reactor.open_transports):
            transport.is_closed = True
            if not silent:
                self.send(transport, "reset", b"")

    # The network

    def _find_cut(self, source: str, target: str) -> Cut | None:
        return next((cut for cut in self.cuts if cut.affects(source, target)), None)

    def add_cut(self, cut: Cut, for_s: float | None = None) -> None:
        """Begin a partition, which ends after `for_s` seconds or never."""
        self.cuts.append(cut)
        if cut.mode == "reset":
            for host in list(self.hosts.values()):
                for transport in list(host.reactor.open_transports) if host.reactor is not None else []:
                    if transport.peer is not None and cut.affects(host.name, transport.peer.reactor.host.name):
                        self._reset(transport)
        if for_s is not None:
            self.later(for_s, lambda: self.end_cut(cut))

    def end_cut(self, cut: Cut) -> None:
        """End a partition and send the packets that it held."""
        if cut in self.cuts:
            self.cuts.remove(cut)
            for transport, kind, data in cut.held_packets:
                self.send(transport, kind, data)

    def _reset(self, transport: Transport) -> None:
        for side in (transport, transport.peer):
            if side is not None:
                self.schedule(self.now, side.reactor, lambda side=side: side.close(error.ConnectionLost()))

    def send(self, transport: Transport, kind: str, data: bytes) -> None:
        """Send a packet (`data`, `end` or `reset`) to the other side, subject to partitions."""
        peer = transport.peer
        if peer is None:
            return
        cut = self._find_cut(transport.reactor.host.name, peer.reactor.host.name) if self.cuts else None
        if cut is not None and cut.mode == "reset":
            self._reset(transport)
        elif cut is not None and cut.mode == "hold":
            cut.held_packets.append((transport, kind, data))
        else:
            at = max(transport.next_arrival_at, self.now + self._latency * self.random.uniform(0.7, 1.3))
            transport.next_arrival_at = at
            self.schedule(at, peer.reactor, lambda: peer.receive(kind, data))

    def connect(self, connector: Connector, transport: Transport, name: str, port: int) -> None:
        """Connect a transport to a port of a host, or refuse it; through a partition there is no response at all."""
        source = transport.reactor.host
        target = self.hosts.get(name)
        cut = self._find_cut(source.name, name) or self._find_cut(name, source.name)
        target_reactor = target.reactor if target is not None else None
        delay = self._latency * self.random.uniform(0.7, 1.3)
        if (cut is not None and cut.mode == "hold") or (target is not None and not target.is_powered):
            return  # No response: the client's own time-out ends the attempt.
        factory = target.listening.get(port) if target is not None and target_reactor is not None else None
        if cut is not None or factory is None or target_reactor is None:
            self.schedule(
                self.now + 2 * delay,
                transport.reactor,
                lambda: transport.failIfNotConnected(error.ConnectionRefusedError()),
            )
            return
        accepting_reactor = target_reactor

        def accept() -> None:
            if transport.is_closed or transport.reactor.is_dead:
                return
            protocol = factory.buildProtocol(IPv4Address("TCP", source.name, 1))
            if protocol is None:
                return
            server_side = Transport(
                accepting_reactor, IPv4Address("TCP", name, port), IPv4Address("TCP", source.name, 1)
            )
            server_side.peer, transport.peer = transport, server_side
            server_side.open(protocol)
            self.schedule(self.now + delay, transport.reactor, lambda: connector.on_accepted(transport))

        self.schedule(self.now + delay, accepting_reactor, accept)


@implementer(ITCPTransport)
class Transport:
    """One side of a connection."""

    disconnecting = False
    connected = False

    def __init__(self, reactor: Reactor, local_address: IPv4Address, remote_address: IPv4Address) -> None:
        self.reactor = reactor
        self.peer: Transport | None = None
        self.protocol: Any = None
        self.connector: Connector | None = None
        self.next_arrival_at = 0.0
        self.is_closed = False
        self._local_address = local_address
        self._remote_address = remote_address
        self._paused = False
        self._inbox: list[tuple[str, bytes]] = []

    def open(self, protocol: Any) -> None:
        """Connect the protocol to this side of the connection."""
        self.connected = True
        self.protocol = protocol
        self.reactor.open_transports[self] = None
        protocol.makeConnection(self)

    def failIfNotConnected(self, reason: BaseException) -> None:
        """Report a failed attempt to connect."""
        if not self.connected and not self.is_closed and self.connector is not None:
            self.is_closed = True
            self.connector.connectionFailed(Failure(reason))

    def receive(self, kind: str, data: bytes) -> None:
        """Receive a packet; it waits while the protocol has paused this side."""
        if self.is_closed:
            return
        if self._paused or self._inbox:
            self._inbox.append((kind, data))
        elif kind == "data":
            self.protocol.dataReceived(data)
        else:
            self.close(error.ConnectionDone() if kind == "end" else error.ConnectionLost())

    def close(self, reason: BaseException) -> None:
        """Close this side and report the lost connection to its protocol."""
        if self.is_closed or not self.connected:
            return
        self.is_closed = True
        self.connected = False
        self.reactor.open_transports.pop(self, None)
        failure = Failure(reason)
        self.protocol.connectionLost(failure)
        if self.connector is not None:
            self.connector.connectionLost(failure)

    # Methods that protocols call

    def write(self, data: bytes) -> None:
        """Send bytes to the other side."""
        if self.connected and not self.disconnecting and data:
            self.reactor.simulation.send(self, "data", bytes(data))

    def writeSequence(self, data: Any) -> None:
        """Send a sequence of bytes to the other side."""
        self.write(b"".join(data))

    def loseConnection(self, connDone: Any = None) -> None:
        """Close the connection in order."""
        self._start_closing("end", error.ConnectionDone())

    def abortConnection(self) -> None:
        """Reset the connection."""
        self._start_closing("reset", error.ConnectionAborted())

    def _start_closing(self, kind: str, reason: BaseException) -> None:
        if self.connected and not self.disconnecting:
            self.disconnecting = True
            self.reactor.simulation.send(self, kind, b"")
            self.reactor.callLater(0, self.close, reason)

    def pauseProducing(self) -> None:
        """Keep received packets until `resumeProducing`."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Hand over the packets that arrived during the pause."""
        self._paused = False
        while self._inbox and not self._paused and not self.is_closed:
            kind, data = self._inbox.pop(0)
            waiting, self._inbox = self._inbox, []
            self.receive(kind, data)
            self._inbox += waiting

    stopProducing = loseConnection

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Do nothing: written bytes are sent at once, so no producer has to pause."""

    def unregisterProducer(self) -> None:
        """See `registerProducer`."""

    def getPeer(self) -> IPv4Address:
        """The remote address."""
        return self._remote_address

    def getHost(self) -> IPv4Address:
        """The local address."""
        return self._local_address

    def loseWriteConnection(self) -> None:
        """Not simulated."""
        raise NotImplementedError

    def getTcpNoDelay(self) -> bool:
        """Always True."""
        return True

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing: TCP_NODELAY is always on."""

    def getTcpKeepAlive(self) -> bool:
        """Always False."""
        return False

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Do nothing: TCP keep-alive is always off."""


class Connector(BaseConnector):
    """A client's attempt to connect to a port of a host."""

    def __init__(self, reactor: Reactor, host: str, port: int, factory: Any, timeout: float) -> None:
        super().__init__(factory, timeout, reactor)  # type: ignore[arg-type]
        self._reactor = reactor
        self._destination = (host, port)

    def _makeTransport(self) -> Any:
        host, port = self._destination
        transport = Transport(self._reactor, IPv4Address("TCP", self._reactor.host.name, 1), self.getDestination())
        transport.connector = self
        self._reactor.simulation.connect(self, transport, host, port)
        return transport

    def on_accepted(self, transport: Transport) -> None:
        """Connect the client's protocol, as the server has accepted the connection."""
        if transport.is_closed:
            return
        protocol = self.buildProtocol(self.getDestination())
        if protocol is None:
            transport.abortConnection()
        else:
            transport.open(protocol)

    def getDestination(self) -> Any:
        """The address of the server."""
        return IPv4Address("TCP", *self._destination)


@implementer(IReactorTime, IReactorTCP, IReactorPluggableNameResolver, IHostnameResolver)
class Reactor:
    """The reactor of one simulated process, in place of Twisted's."""

    def __init__(self, simulation: Simulation, host: Host) -> None:
        self.simulation = simulation
        self.host = host
        self.is_dead = False
        self.frozen_until = 0.0
        self.busy_until = 0.0
        self.clock_offset_s = 0.0
        """Seconds by which the process's clock is ahead of the simulated time."""
        self.event_cost_s = 0.0
        """Seconds for which each timer and packet keeps this process busy."""
        self.open_transports: dict[Transport, None] = {}

    @property
    def nameResolver(self) -> Reactor:
        """The reactor resolves names itself."""
        return self

    def resolveHostName(self, receiver: Any, hostName: str, portNumber: int = 0, *rest: Any, **more: Any) -> Any:
        """Resolve each host name to itself."""
        receiver.resolutionBegan(self)
        receiver.addressResolved(IPv4Address("TCP", hostName, portNumber))
        receiver.resolutionComplete()
        return receiver

    def installNameResolver(self, resolver: Any) -> Any:
        """Not simulated."""
        raise NotImplementedError

    def seconds(self) -> float:
        """The time of this process's clock."""
        return self.simulation.now + self.clock_offset_s

    def callLater(self, delay: float, callable: Callable[..., Any], *args: object, **kw: object) -> DelayedCall:
        """Call a function after `delay` seconds, unless the process has ended by then."""
        call = DelayedCall(
            self.simulation.now + max(0.0, delay),
            callable,
            args,
            kw,
            lambda call: None,
            self._reschedule,
            lambda: self.simulation.now,
        )
        self.simulation.schedule(call.time, self, call)
        return call

    def _reschedule(self, call: DelayedCall) -> None:
        self.simulation.schedule(call.time, self, call)

    def getDelayedCalls(self) -> list[DelayedCall]:
        """Always empty."""
        return []

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Accept connections to a port of the host."""
        factory.doStart()
        self.host.listening[port] = factory
        return None

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None) -> Connector:
        """Begin to connect to a port of another host."""
        connector = Connector(self, host, port, factory, timeout)
        connector.connect()
        return connector
