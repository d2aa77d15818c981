"""Tracks the last heartbeat of each peer, and whether the process of the peer seems to have ended."""

from __future__ import annotations

from typing import NamedTuple

from meadowcross.common.clock import Clock
from meadowcross.common.types import FencingToken, NodeName, Seconds
from meadowcross.leadership.messages import PeerHeartbeat

HEARTBEAT_FRESH_S: Seconds = 3.0
"""Age from which a peer heartbeat is ignored."""


class ReceivedHeartbeat(NamedTuple):
    """The last heartbeat of a peer, and the instant at which it arrived."""

    received_at: float
    heartbeat: PeerHeartbeat


class PeerStatus:
    """Records heartbeats and connection events of all peers.

    A peer is lost once its connection was closed and its address refused the next connection attempt, until a heartbeat
    from it arrives or a connection to it succeeds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received: dict[NodeName, ReceivedHeartbeat] = {}
        self._closed_at: dict[NodeName, float] = {}
        """When the connection to a peer was closed, until the next connection attempt fails."""
        self._lost_at: dict[NodeName, float] = {}
        """When the connection to a peer was closed whose address has refused connections since."""

    def record_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Record a heartbeat, which may arrive on any connection."""
        self._received[heartbeat.node] = ReceivedHeartbeat(self._clock.seconds(), heartbeat)

    def record_connected(self, peer: NodeName) -> None:
        """Record that a connection to the peer was established."""
        self._lost_at.pop(peer, None)

    def record_disconnected(self, peer: NodeName) -> None:
        """Record that the connection to the peer was closed."""
        self._closed_at[peer] = self._clock.seconds()

    def record_connect_failed(self, peer: NodeName, is_refused: bool) -> bool:
        """Record a failed connection attempt; return whether the peer is lost from now on.

        Only a refusal in the first attempt after the connection was closed counts. A timeout is no evidence.
        """
        closed_at = self._closed_at.pop(peer, None)
        if not is_refused or closed_at is None or peer in self._lost_at:
            return False
        self._lost_at[peer] = closed_at
        return True

    def is_lost(self, peer: NodeName) -> bool:
        """Return whether the process of the peer seems to have ended."""
        closed_at = self._lost_at.get(peer)
        if closed_at is None:
            return False
        received = self._received.get(peer)
        return received is None or received.received_at <= closed_at

    def lost_peers(self) -> list[NodeName]:
        """Return all peers whose processes seem to have ended."""
        return [peer for peer in self._lost_at if self.is_lost(peer)]

    def supports_replication(self, peer: NodeName) -> bool:
        """Return whether the peer processes hints; heartbeats from nodes of an earlier version lack the incarnation."""
        received = self._received.get(peer)
        return received is not None and bool(received.heartbeat.incarnation)

    def recent_heartbeats(self) -> list[PeerHeartbeat]:
        """Return the last heartbeats of all peers that sent one within `HEARTBEAT_FRESH_S`."""
        now = self._clock.seconds()
        return [
            received.heartbeat for received in self._received.values() if now - received.received_at < HEARTBEAT_FRESH_S
        ]

    def live_peer_heartbeats(self) -> list[PeerHeartbeat]:
        """Return the heartbeats of `recent_heartbeats` except those of lost peers."""
        return [heartbeat for heartbeat in self.recent_heartbeats() if not self.is_lost(heartbeat.node)]

    def has_peer_with_store(self) -> bool:
        """Return whether a recent heartbeat of any peer reports that the store responds to that peer."""
        return any(heartbeat.is_store_answering for heartbeat in self.recent_heartbeats())

    def max_reporting_workers(self) -> int | None:
        """Return the highest worker count that a peer reported recently, or None without recent heartbeats."""
        return max((heartbeat.reporting_workers for heartbeat in self.recent_heartbeats()), default=None)

    def reported_leader(self) -> tuple[NodeName, FencingToken] | None:
        """Return the peer that recently reported the highest leading token, and that token; None if no peer did."""
        leaders = [
            (heartbeat.leading_token, heartbeat.node)
            for heartbeat in self.recent_heartbeats()
            if heartbeat.leading_token is not None
        ]
        if not leaders:
            return None
        token, node = max(leaders)
        return node, token
