"""What this node knows of each of its peers: its last heartbeat, and whether its process seems to have ended."""

from __future__ import annotations

from typing import NamedTuple

from meadowcross.common.clock import Clock
from meadowcross.common.types import FencingToken, NodeName, Seconds
from meadowcross.leadership.messages import PeerHeartbeat

HEARTBEAT_FRESH_S: Seconds = 3.0


class ReceivedHeartbeat(NamedTuple):
    """A peer's last heartbeat, and the instant at which it came."""

    received_at: float
    heartbeat: PeerHeartbeat


class PeerStatus:
    """A peer is lost once its connection was closed and its address refuses, until a heartbeat comes from it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received: dict[NodeName, ReceivedHeartbeat] = {}
        self._closed_at: dict[NodeName, float] = {}
        """When the connection to a peer was closed, until the next call to it ends."""
        self._lost_at: dict[NodeName, float] = {}
        """When the connection to a peer was closed that has refused to be called since."""

    def record_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """A heartbeat came, on whichever connection."""
        self._received[heartbeat.node] = ReceivedHeartbeat(self._clock.seconds(), heartbeat)

    def record_connected(self, peer: NodeName) -> None:
        """The peer answered a call."""
        self._lost_at.pop(peer, None)

    def record_disconnected(self, peer: NodeName) -> None:
        """The connection to the peer was closed."""
        self._closed_at[peer] = self._clock.seconds()

    def record_connect_failed(self, peer: NodeName, is_refused: bool) -> bool:
        """A call to the peer failed; returns whether that shows the peer to be lost, and nothing had before.

        Only a refusal soon after its connection was closed does. A call without an answer says nothing.
        """
        closed_at = self._closed_at.pop(peer, None)
        if not is_refused or closed_at is None or peer in self._lost_at:
            return False
        self._lost_at[peer] = closed_at
        return True

    def is_lost(self, peer: NodeName) -> bool:
        """Whether the peer's process seems to have ended."""
        closed_at = self._lost_at.get(peer)
        if closed_at is None:
            return False
        received = self._received.get(peer)
        return received is None or received.received_at <= closed_at

    def lost_peers(self) -> list[NodeName]:
        """All peers whose process seems to have ended."""
        return [peer for peer in self._lost_at if self.is_lost(peer)]

    def understands_replication(self, peer: NodeName) -> bool:
        """Whether the peer takes hints: a node of an earlier version names no incarnation."""
        received = self._received.get(peer)
        return received is not None and bool(received.heartbeat.incarnation)

    def recent_heartbeats(self) -> list[PeerHeartbeat]:
        """The last heartbeats of all peers that were heard lately."""
        now = self._clock.seconds()
        return [
            received.heartbeat for received in self._received.values() if now - received.received_at < HEARTBEAT_FRESH_S
        ]

    def fresh_heartbeats(self) -> list[PeerHeartbeat]:
        """The last heartbeats of all peers that were heard lately and are not lost since."""
        return [heartbeat for heartbeat in self.recent_heartbeats() if not self.is_lost(heartbeat.node)]

    def peer_has_store(self) -> bool:
        """Whether some peer lately said that the store answers it."""
        return any(heartbeat.is_store_answering for heartbeat in self.recent_heartbeats())

    def most_workers_heard(self) -> int | None:
        """The most workers that a peer heard lately; None where no peer was heard itself."""
        return max((heartbeat.workers_heard for heartbeat in self.recent_heartbeats()), default=None)

    def reported_leader(self) -> tuple[NodeName, FencingToken] | None:
        """The peer that lately said that it leads, by the highest token."""
        leaders = [
            (heartbeat.leading_token, heartbeat.node)
            for heartbeat in self.recent_heartbeats()
            if heartbeat.leading_token is not None
        ]
        if not leaders:
            return None
        token, node = max(leaders)
        return node, token
