"""The message bus of a run: each process sends netstrings of JSON to a hub, which forwards them to all others."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet.protocol import ClientFactory, Factory, connectionDone
from twisted.protocols.basic import NetstringReceiver


class Ready(Struct, tag="ready"):
    """A process is ready to serve."""

    name: str


class MachineUp(Struct, tag="up"):
    """A machine has booted; the hollow process with this number simulates its worker."""

    machine: dict[str, Any]
    hollow: int


class MachineGone(Struct, tag="gone"):
    """The cloud has deleted a machine."""

    name: str


class JobUploaded(Struct, tag="job"):
    """A job was uploaded; workers need its specification and the mean run time of its tasks in seconds."""

    spec: dict[str, Any]
    run_s: float


class RackGone(Struct, tag="rack"):
    """The workers of a rack are disconnected from the network for `for_s` seconds."""

    rack: int
    for_s: float


class StoreTrouble(Struct, tag="store"):
    """From now on the state service is unavailable, or slower by a factor."""

    outage: bool = False
    slow: float = 1.0


class Leads(Struct, tag="leads"):
    """A controller was elected leader: the leader's key holds its name and fencing token."""

    node: str
    token: int


class Finish(Struct, tag="finish"):
    """The run is over: each process writes its remaining records and exits."""


Message = Ready | MachineUp | MachineGone | JobUploaded | RackGone | StoreTrouble | Leads | Finish
encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(Message).decode


class Connection(NetstringReceiver):
    """One side of a connection to the hub; messages are netstrings of at most 1 MiB."""

    MAX_LENGTH = 1024 * 1024

    def __init__(
        self,
        on_message: Callable[[Connection, Message], None],
        on_lost: Callable[[Connection], None] = lambda connection: None,
        on_connected: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__()
        self._on_message = on_message
        self._on_lost = on_lost
        self._on_connected = on_connected

    def connectionMade(self) -> None:
        """Report the new connection."""
        self._on_connected()

    def stringReceived(self, string: bytes) -> None:
        """Decode a message and report it."""
        self._on_message(self, decode(string))

    def connectionLost(self, reason: Any = connectionDone) -> None:
        """Report the lost connection."""
        self._on_lost(self)

    def send(self, message: Message) -> None:
        """Send a message to the other side."""
        self.sendString(encode(message))


class Hub(Factory):
    """The hub in the run's own process: forwards each message to all other processes and to its own handler."""

    noisy = False

    def __init__(self, on_message: Callable[[Message], None]) -> None:
        self._on_message = on_message
        self._connections: list[Connection] = []

    def buildProtocol(self, addr: Any) -> Connection:
        """Accept a process's connection."""
        connection = Connection(self._forward, self._connections.remove)
        self._connections.append(connection)
        return connection

    def _forward(self, source: Connection, message: Message) -> None:
        for connection in self._connections:
            if connection is not source:
                connection.send(message)
        self._on_message(message)

    def broadcast(self, message: Message) -> None:
        """Send a message of the run itself to all processes."""
        for connection in self._connections:
            connection.send(message)


class HubClient(ClientFactory):
    """A process's client of the hub.

    `on_connected` is called once it is connected, `on_lost` when the hub is unreachable or has closed the connection.
    """

    noisy = False

    def __init__(
        self, on_message: Callable[[Message], None], on_connected: Callable[[], None], on_lost: Callable[[], None]
    ) -> None:
        self._on_message = on_message
        self._on_connected = on_connected
        self._on_lost = on_lost
        self._connection: Connection | None = None

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Report that the hub is unreachable."""
        self._on_lost()

    def clientConnectionLost(self, connector: Any, unused_reason: Any) -> None:
        """Report that the connection was lost."""
        self._on_lost()

    def buildProtocol(self, addr: Any) -> Connection:
        """Open the connection to the hub."""
        self._connection = Connection(
            lambda connection, message: self._on_message(message), on_connected=self._on_connected
        )
        return self._connection

    def send(self, message: Message) -> None:
        """Send a message to all other processes; without a connection it is dropped."""
        if self._connection is not None:
            self._connection.send(message)
