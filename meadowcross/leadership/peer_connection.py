"""A connection between two controllers that carries JSON messages as netstrings and reconnects when it closes."""

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
"""Large enough for a user's request body of 64 KiB that is escaped as a JSON string."""


class ConnectionListener(Protocol):
    """Receives connection events and messages. Connection events are reported for outgoing connections only."""

    def on_connected(self, peer: NodeName, connection: PeerProtocol) -> None:
        """Handle an established outgoing connection to the peer."""

    def on_disconnected(self, peer: NodeName, connection: PeerProtocol) -> None:
        """Handle the loss of the outgoing connection to the peer; pending responses on it are lost."""

    def on_connect_failed(self, peer: NodeName, is_refused: bool) -> None:
        """Handle a failed connection attempt; `is_refused`: the address of the peer refused the connection."""

    def on_message(self, connection: PeerProtocol, message: Message) -> None:
        """Handle a message on an outgoing or incoming connection."""


class PeerProtocol(NetstringReceiver):
    """Sends and receives messages. An unreadable message is dropped and logged once."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, listener: ConnectionListener, peer: NodeName | None = None) -> None:
        """`peer` is the peer of an outgoing connection; None for an incoming connection."""
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
            log.info("peer connection closed after invalid netstring max_bytes=%d", self.MAX_LENGTH)
        if self._peer is not None:
            self._listener.on_disconnected(self._peer, self)

    def stringReceived(self, string: bytes) -> None:
        """See `twisted.protocols.basic.NetstringReceiver`."""
        try:
            message = decode(string)
        except msgspec.DecodeError as error:
            log.info("unreadable message from peer dropped error=%s", error)
            return
        self._listener.on_message(self, message)

    def send(self, message: Message) -> None:
        """Write the message. It is lost if the connection is lost."""
        self.sendString(encode(message))


class PeerClientFactory(ReconnectingClientFactory):
    """Connects to one peer, and reconnects until the process ends."""

    initialDelay = 0.3
    maxDelay = 2.0  # type: ignore[assignment]
    factor = 1.5
    noisy = False
    reconnect_delay = 0.01
    """Seconds until the first reconnect after a lost connection. The delay is short because a refused reconnect shows
    that the process of the peer has ended."""

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
    """Accepts incoming connections of peers."""

    noisy = False

    def __init__(self, listener: ConnectionListener) -> None:
        self._listener = listener

    def buildProtocol(self, _addr: Any) -> PeerProtocol:
        """See `twisted.internet.protocol.Factory`."""
        return PeerProtocol(self._listener)
