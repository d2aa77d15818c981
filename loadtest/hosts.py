"""Lets the lab's stand-ins run on a real reactor: many hosts in a process, each with a loopback address of its own."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.interfaces import IReactorPluggableNameResolver, IReactorTCP, IReactorTime
from zope.interface import implementer

WORKER_PORT = 9000
API_PORT, PEER_PORT = 8080, 8081
STATE_PORT, CLOUD_PORT = 2379, 8443
"""Where the stand-ins listen."""
NETWORKS = range(16, 255)
"""Of which a run has one, 127.N: workers are at 127.N.0.1 and on, controllers and services near the end."""
HOSTS_A_NETWORK = 250
CONTROLLERS, SERVICES = 254, 253


def controller_address(network: int, number: int, port: int) -> str:
    """Host and port of a controller of a run."""
    return f"127.{network}.{CONTROLLERS}.{number + 1}:{port}"


def service_host(network: int) -> str:
    """Where the state service and the cloud of a run are."""
    return f"127.{network}.{SERVICES}.1"


def service_address(network: int, port: int) -> str:
    """Host and port of one of them."""
    return f"{service_host(network)}:{port}"


def worker_address(network: int, number: int) -> str:
    """Host and port of the machine with this number, on loopback, in the network of a run."""
    lower, host = divmod(number, HOSTS_A_NETWORK)
    return f"127.{network}.{lower}.{host + 1}:{WORKER_PORT}"


def free_network() -> int:
    """A network in which no other run plays now: workers of two runs would take each other's commands.

    Raises OSError where there is none.
    """
    for network in random.sample(NETWORKS, len(NETWORKS)):
        # Each run holds this address for as long as it plays.
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"127.{network}.255.254", WORKER_PORT))
            return network
    raise OSError("no free network on loopback")


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
