"""One connection between two controllers: netstrings of JSON, called again whenever it closes."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Factory, ReconnectingClientFactory
from twisted.protocols.basic import NetstringReceiver

from meadowcross.common.logging import get_logger
from meadowcross.common.types import NodeName
from meadowcross.leadership.messages import Message, decode, encode

log = get_logger("leadership")

MAX_MESSAGE_BYTES = 256 * 1024
"""A user's body of 64 KiB, escaped as text within JSON."""


class ConnectionListener(Protocol):
    """Told of connections and of what comes in on them. Only connections that this node called have a peer's name."""

    def on_connected(self, peer: NodeName, connection: PeerProtocol) -> None:
        """The peer answered our call."""

    def on_disconnected(self, peer: NodeName, connection: PeerProtocol) -> None:
        """The connection to the peer is lost, and all that was to come on it."""

    def on_connect_failed(self, peer: NodeName, is_refused: bool) -> None:
        """A call to the peer failed; `is_refused`: its address refuses connections."""

    def on_message(self, connection: PeerProtocol, message: Message) -> None:
        """A message came in, on a connection that either side may have called."""


class PeerProtocol(NetstringReceiver):
    """Sends and receives messages. What can't be read is dropped with one line in the log."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, listener: ConnectionListener, peer: NodeName | None = None) -> None:
        """`peer` is whom this node called; None where the peer called."""
        super().__init__()
        self._listener = listener
        self._peer = peer

    def connectionMade(self) -> None:
        """See `twisted.internet.protocol.BaseProtocol`."""
        self.transport.setTcpNoDelay(True)  # type: ignore[union-attr]
        if self._peer is not None:
            self._listener.on_connected(self._peer, self)

    def connectionLost(self, _reason: Any = None) -> None:
        """See `twisted.internet.protocol.Protocol`."""
        if self.brokenPeer:
            log.info("peer sent no netstring of at most %d bytes: its connection is closed", self.MAX_LENGTH)
        if self._peer is not None:
            self._listener.on_disconnected(self._peer, self)

    def stringReceived(self, string: bytes) -> None:
        """See `twisted.protocols.basic.NetstringReceiver`."""
        try:
            message = decode(string)
        except msgspec.DecodeError as error:
            log.info("peer sent what can't be read: %s", error)
            return
        self._listener.on_message(self, message)

    def send(self, message: Message) -> None:
        """Write the message; it is lost where the connection is."""
        self.sendString(encode(message))


class PeerClientFactory(ReconnectingClientFactory):
    """Calls one peer for as long as the process lives."""

    initialDelay = 0.3
    maxDelay = 2.0  # type: ignore[assignment]
    factor = 1.5
    noisy = False
    reconnect_delay = 0.01
    """A closed connection is called again at once: a process that ended refuses, which is news for all."""

    def __init__(self, listener: ConnectionListener, peer: NodeName, clock: Any) -> None:
        self._listener = listener
        self._peer = peer
        self.clock = clock

    def buildProtocol(self, _addr: Any) -> PeerProtocol:
        """See `twisted.internet.protocol.Factory`."""
        self.resetDelay()
        return PeerProtocol(self._listener, self._peer)

    def clientConnectionLost(self, connector: Any, _reason: Any) -> None:
        """See `twisted.internet.protocol.ClientFactory`."""
        self.delay = self.reconnect_delay
        self.retry(connector)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """See `twisted.internet.protocol.ClientFactory`."""
        self.delay = max(self.delay, self.initialDelay)
        self._listener.on_connect_failed(self._peer, bool(reason.check(ConnectionRefusedError)))
        super().clientConnectionFailed(connector, reason)


class PeerServerFactory(Factory):
    """Takes the peers' calls."""

    noisy = False

    def __init__(self, listener: ConnectionListener) -> None:
        self._listener = listener

    def buildProtocol(self, _addr: Any) -> PeerProtocol:
        """See `twisted.internet.protocol.Factory`."""
        return PeerProtocol(self._listener)
