"""Lets the lab's stand-ins run on a real reactor: many hosts in a process, each with a loopback address of its own."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.interfaces import IReactorPluggableNameResolver, IReactorTCP, IReactorTime
from zope.interface import implementer

WORKER_PORT = 9000
FIRST_NETWORK = 16
"""Workers are at 127.16.0.1 and on; services and controllers at 127.0.0.1."""
HOSTS_A_NETWORK = 250


def worker_address(number: int) -> str:
    """Host and port of the machine with this number, on loopback."""
    network, host = divmod(number, HOSTS_A_NETWORK)
    upper, lower = divmod(network, 256)
    return f"127.{FIRST_NETWORK + upper}.{lower}.{host + 1}:{WORKER_PORT}"


class RealTime:
    """What stand-ins know as the simulation: luck from one seeded generator, and time that passes by itself."""

    def __init__(self, reactor: Any, seed: int) -> None:
        self._reactor = reactor
        self.random = Random(seed)

    @property
    def now(self) -> float:
        return float(self._reactor.seconds())

    def later(self, delay: float, act: Callable[[], None]) -> None:
        self._reactor.callLater(delay, act)


@implementer(IReactorTime, IReactorTCP, IReactorPluggableNameResolver)
class Host:
    """The process's reactor as one host has it: it listens on the host's address only."""

    def __init__(self, reactor: Any, simulation: RealTime, address: str = "127.0.0.1") -> None:
        self._reactor = reactor
        self._address = address
        self.simulation = simulation
        self.frozen_until = 0.0
        self.ports: list[Any] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        self.ports.append(self._reactor.listenTCP(port, factory, backlog, self._address))
        return self.ports[-1]

    def close(self) -> None:
        """The host is gone: nobody connects to it any more."""
        for port in self.ports:
            port.stopListening()
