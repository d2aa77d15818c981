"""Runs the simulated services and workers on a real reactor: many hosts per process, each with its loopback address."""

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
"""Ports of the simulated services."""
NETWORKS = range(16, 255)
"""Each run uses one network 127.N: workers from 127.N.0.1 on, services and controllers near the end."""
WORKERS_PER_SUBNET = 250
CONTROLLER_SUBNET, SERVICE_SUBNET = 254, 253


def controller_address(network: int, number: int, port: int) -> str:
    """Host and port of a controller."""
    return f"127.{network}.{CONTROLLER_SUBNET}.{number + 1}:{port}"


def service_host(network: int) -> str:
    """The host of the state service and the cloud."""
    return f"127.{network}.{SERVICE_SUBNET}.1"


def service_address(network: int, port: int) -> str:
    """Host and port of the state service or the cloud."""
    return f"{service_host(network)}:{port}"


def worker_address(network: int, number: int) -> str:
    """Host and port of the machine with this number."""
    subnet, host = divmod(number, WORKERS_PER_SUBNET)
    return f"127.{network}.{subnet}.{host + 1}:{WORKER_PORT}"


def free_network() -> int:
    """Return a network that no other run uses; workers of two runs in one would receive each other's commands.

    Raises OSError if there is none.
    """
    for network in random.sample(NETWORKS, len(NETWORKS)):
        # Each run listens on this address until its end.
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"127.{network}.255.254", WORKER_PORT))
            return network
    raise OSError("no free network on loopback")


class RealTime:
    """Replaces the simulation for simulated services and workers: real time, and one seeded random generator."""

    def __init__(self, reactor: Any, seed: int) -> None:
        self._reactor = reactor
        self.random = Random(seed)

    @property
    def now(self) -> float:
        """The reactor's time in seconds."""
        return float(self._reactor.seconds())

    def later(self, delay: float, act: Callable[[], None]) -> None:
        """Call `act` after `delay` seconds."""
        self._reactor.callLater(delay, act)


@implementer(IReactorTime, IReactorTCP, IReactorPluggableNameResolver)
class Host:
    """The process's reactor from the view of one host: it listens on the host's address only."""

    def __init__(self, reactor: Any, simulation: RealTime, address: str = "127.0.0.1") -> None:
        self._reactor = reactor
        self._address = address
        self.simulation = simulation
        self.frozen_until = 0.0
        self.ports: list[Any] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Listen on a port of the host's address, whatever the interface."""
        self.ports.append(self._reactor.listenTCP(port, factory, backlog, self._address))
        return self.ports[-1]

    def close(self) -> None:
        """Stop listening, as the host is gone."""
        for port in self.ports:
            port.stopListening()
