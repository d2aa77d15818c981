"""Processes on one fake clock, and the network between them in memory.

A `Reactor` is what a node, unmodified, takes for Twisted's: timers, listening and connecting. Bytes written arrive
in order after a delay; cuts hold them until they end, or reset connections; a frozen process gets its timers and
packets late while its clock runs on; a killed one leaves resets behind, a machine without power leaves silence.
Everything comes from one seeded generator, so one seed gives one history.
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
"""A clock that begins at 0 would hide what treats 0 as never."""
log = logging.getLogger("lab")


@dataclass(slots=True)
class Cut:
    """Packets from one of `sources` to one of `targets` (both ways, if so said) are held, or reset connections,
    or only new connections are refused."""

    sources: Collection[str]
    targets: Collection[str]
    mode: str = "hold"
    both: bool = True
    held: list[tuple[Transport, str, bytes]] = field(default_factory=list)

    def stops(self, source: str, target: str) -> bool:
        return (source in self.sources and target in self.targets) or (
            self.both and source in self.targets and target in self.sources
        )


class Host:
    """An address on the network; its process may come and go."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.powered = True
        self.listening: dict[int, Any] = {}
        self.reactor: Reactor | None = None


class Simulation:
    def __init__(self, seed: int, latency_s: float = 0.001) -> None:
        self.now = START
        self.random = Random(seed)
        self.hosts: dict[str, Host] = {}
        self.cuts: list[Cut] = []
        self.current = ""
        """The process whose code runs, for its log lines."""
        self._latency = latency_s
        self._heap: list[tuple[float, int, Reactor | None, Any]] = []
        self._count = 0

    def host(self, name: str, zone: str) -> Host:
        return self.hosts.setdefault(name, Host(name, zone))

    def push(self, at: float, reactor: Reactor | None, what: Any) -> None:
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, reactor, what))

    def at(self, when: float, act: Callable[[], None]) -> None:
        """By the world itself, which no fault touches; `when` counts from the start."""
        self.push(START + when, None, act)

    def later(self, delay: float, act: Callable[[], None]) -> None:
        self.push(self.now + delay, None, act)

    def run(self, until: float) -> None:
        """Play until `until` seconds after the start. Garbage is collected when the world says so: a killed process's
        coroutines, closed by the collector at a moment that depended on whatever ran before, gave one seed two
        histories."""
        was = gc.isenabled()
        gc.disable()
        try:
            self._run(until)
        finally:
            if was:
                gc.enable()

    def _run(self, until: float) -> None:
        end = START + until
        while self._heap and self._heap[0][0] <= end:
            at, _, reactor, what = heapq.heappop(self._heap)
            if reactor is not None:
                if reactor.dead:
                    continue
                free = max(reactor.frozen_until, reactor.busy_until)
                if free > at:
                    self.push(free, reactor, what)
                    continue
            if isinstance(what, DelayedCall):
                if what.cancelled or what.called:
                    continue
                if what.delayed_time > 0:
                    what.activate_delay()
                    self.push(what.time, reactor, what)
                    continue
            self.now = max(self.now, at)
            self.current = reactor.host.name if reactor is not None else "lab"
            try:
                if isinstance(what, DelayedCall):
                    what.called = 1
                    what.func(*what.args, **what.kw)
                else:
                    what()
            except Exception:
                # A reactor logs what a timer or a protocol raises, and goes on.
                log.exception("raised in %s", self.current)
            if reactor is not None and reactor.cost_s:
                reactor.busy_until = self.now + reactor.cost_s
        self.now = max(self.now, end)

    def boot(self, host: Host) -> Reactor:
        """A new process on the host, with nothing of the one before."""
        host.powered = True
        host.reactor = Reactor(self, host)
        return host.reactor

    def kill(self, host: Host, silent: bool = False) -> None:
        """End the process; `silent`: the machine stops with it, and nobody is told."""
        reactor = host.reactor
        if reactor is None:
            return
        reactor.dead = True
        host.reactor = None
        host.listening.clear()
        host.powered = not silent
        for transport in list(reactor.open):
            transport.gone = True
            if not silent:
                self.send(transport, "reset", b"")

    # The wire

    def _cut(self, source: str, target: str) -> Cut | None:
        return next((cut for cut in self.cuts if cut.stops(source, target)), None)

    def add_cut(self, cut: Cut, for_s: float | None = None) -> None:
        self.cuts.append(cut)
        if cut.mode == "reset":
            for host in list(self.hosts.values()):
                for transport in list(host.reactor.open) if host.reactor is not None else []:
                    if transport.other is not None and cut.stops(host.name, transport.other.reactor.host.name):
                        self._reset(transport)
        if for_s is not None:
            self.later(for_s, lambda: self.end_cut(cut))

    def end_cut(self, cut: Cut) -> None:
        if cut in self.cuts:
            self.cuts.remove(cut)
            for transport, kind, data in cut.held:
                self.send(transport, kind, data)

    def _reset(self, transport: Transport) -> None:
        for side in (transport, transport.other):
            if side is not None:
                self.push(self.now, side.reactor, lambda side=side: side.lost(error.ConnectionLost()))

    def send(self, transport: Transport, kind: str, data: bytes) -> None:
        other = transport.other
        if other is None:
            return
        cut = self._cut(transport.reactor.host.name, other.reactor.host.name) if self.cuts else None
        if cut is not None and cut.mode == "reset":
            self._reset(transport)
        elif cut is not None and cut.mode == "hold":
            cut.held.append((transport, kind, data))
        else:
            at = max(transport.arrives, self.now + self._latency * self.random.uniform(0.7, 1.3))
            transport.arrives = at
            self.push(at, other.reactor, lambda: other.arrive(kind, data))

    def connect(self, connector: Connector, transport: Transport, name: str, port: int) -> None:
        source = transport.reactor.host
        target = self.hosts.get(name)
        cut = self._cut(source.name, name) or self._cut(name, source.name)
        there = target.reactor if target is not None else None
        delay = self._latency * self.random.uniform(0.7, 1.3)
        if (cut is not None and cut.mode == "hold") or (target is not None and not target.powered):
            return  # Silence: whoever asks gives up by its own time-out.
        factory = target.listening.get(port) if target is not None and there is not None else None
        if cut is not None or factory is None or there is None:
            self.push(
                self.now + 2 * delay,
                transport.reactor,
                lambda: transport.failIfNotConnected(error.ConnectionRefusedError()),
            )
            return
        asked = there

        def accept() -> None:
            if transport.gone or transport.reactor.dead:
                return
            protocol = factory.buildProtocol(IPv4Address("TCP", source.name, 1))
            if protocol is None:
                return
            far = Transport(asked, IPv4Address("TCP", name, port), IPv4Address("TCP", source.name, 1))
            far.other, transport.other = transport, far
            far.begin(protocol)
            self.push(self.now + delay, transport.reactor, lambda: connector.came_about(transport))

        self.push(self.now + delay, asked, accept)


@implementer(ITCPTransport)
class Transport:
    """One side of a connection."""

    disconnecting = False
    connected = False

    def __init__(self, reactor: Reactor, here: IPv4Address, there: IPv4Address) -> None:
        self.reactor = reactor
        self.other: Transport | None = None
        self.protocol: Any = None
        self.connector: Connector | None = None
        self.arrives = 0.0
        self.gone = False
        self._here = here
        self._there = there
        self._paused = False
        self._inbox: list[tuple[str, bytes]] = []

    def begin(self, protocol: Any) -> None:
        self.connected = True
        self.protocol = protocol
        self.reactor.open[self] = None
        protocol.makeConnection(self)

    def failIfNotConnected(self, why: BaseException) -> None:
        if not self.connected and not self.gone and self.connector is not None:
            self.gone = True
            self.connector.connectionFailed(Failure(why))

    def arrive(self, kind: str, data: bytes) -> None:
        if self.gone:
            return
        if self._paused or self._inbox:
            self._inbox.append((kind, data))
        elif kind == "data":
            self.protocol.dataReceived(data)
        else:
            self.lost(error.ConnectionDone() if kind == "end" else error.ConnectionLost())

    def lost(self, why: BaseException) -> None:
        if self.gone or not self.connected:
            return
        self.gone = True
        self.connected = False
        self.reactor.open.pop(self, None)
        failure = Failure(why)
        self.protocol.connectionLost(failure)
        if self.connector is not None:
            self.connector.connectionLost(failure)

    # What protocols call

    def write(self, data: bytes) -> None:
        if self.connected and not self.disconnecting and data:
            self.reactor.simulation.send(self, "data", bytes(data))

    def writeSequence(self, data: Any) -> None:
        self.write(b"".join(data))

    def loseConnection(self, connDone: Any = None) -> None:
        self._leave("end", error.ConnectionDone())

    def abortConnection(self) -> None:
        self._leave("reset", error.ConnectionAborted())

    def _leave(self, kind: str, why: BaseException) -> None:
        if self.connected and not self.disconnecting:
            self.disconnecting = True
            self.reactor.simulation.send(self, kind, b"")
            self.reactor.callLater(0, self.lost, why)

    def pauseProducing(self) -> None:
        self._paused = True

    def resumeProducing(self) -> None:
        self._paused = False
        while self._inbox and not self._paused and not self.gone:
            kind, data = self._inbox.pop(0)
            waiting, self._inbox = self._inbox, []
            self.arrive(kind, data)
            self._inbox += waiting

    stopProducing = loseConnection

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """What is written goes out at once; nobody needs to be paused."""

    def unregisterProducer(self) -> None:
        """See `registerProducer`."""

    def getPeer(self) -> IPv4Address:
        return self._there

    def getHost(self) -> IPv4Address:
        return self._here

    def loseWriteConnection(self) -> None:
        raise NotImplementedError

    def getTcpNoDelay(self) -> bool:
        return True

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Always so."""

    def getTcpKeepAlive(self) -> bool:
        return False

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Never so."""


class Connector(BaseConnector):
    def __init__(self, reactor: Reactor, host: str, port: int, factory: Any, timeout: float) -> None:
        super().__init__(factory, timeout, reactor)  # type: ignore[arg-type]
        self._reactor = reactor
        self._to = (host, port)

    def _makeTransport(self) -> Any:
        host, port = self._to
        transport = Transport(self._reactor, IPv4Address("TCP", self._reactor.host.name, 1), self.getDestination())
        transport.connector = self
        self._reactor.simulation.connect(self, transport, host, port)
        return transport

    def came_about(self, transport: Transport) -> None:
        if transport.gone:
            return
        protocol = self.buildProtocol(self.getDestination())
        if protocol is None:
            transport.abortConnection()
        else:
            transport.begin(protocol)

    def getDestination(self) -> Any:
        return IPv4Address("TCP", *self._to)


@implementer(IReactorTime, IReactorTCP, IReactorPluggableNameResolver, IHostnameResolver)
class Reactor:
    """What one process takes for Twisted's reactor."""

    def __init__(self, simulation: Simulation, host: Host) -> None:
        self.simulation = simulation
        self.host = host
        self.dead = False
        self.frozen_until = 0.0
        self.busy_until = 0.0
        self.ahead_s = 0.0
        """Of true time, its clock."""
        self.cost_s = 0.0
        """What each timer and packet takes of this process's time."""
        self.open: dict[Transport, None] = {}

    @property
    def nameResolver(self) -> Reactor:
        return self

    def resolveHostName(self, receiver: Any, hostName: str, portNumber: int = 0, *rest: Any, **more: Any) -> Any:
        receiver.resolutionBegan(self)
        receiver.addressResolved(IPv4Address("TCP", hostName, portNumber))
        receiver.resolutionComplete()
        return receiver

    def installNameResolver(self, resolver: Any) -> Any:
        raise NotImplementedError

    def seconds(self) -> float:
        return self.simulation.now + self.ahead_s

    def callLater(self, delay: float, callable: Callable[..., Any], *args: object, **kw: object) -> DelayedCall:
        call = DelayedCall(
            self.simulation.now + max(0.0, delay),
            callable,
            args,
            kw,
            lambda call: None,
            self._again,
            lambda: self.simulation.now,
        )
        self.simulation.push(call.time, self, call)
        return call

    def _again(self, call: DelayedCall) -> None:
        self.simulation.push(call.time, self, call)

    def getDelayedCalls(self) -> list[DelayedCall]:
        return []

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        factory.doStart()
        self.host.listening[port] = factory
        return None

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None) -> Connector:
        connector = Connector(self, host, port, factory, timeout)
        connector.connect()
        return connector
