"""Connects a peer link to a node that ignores peers' messages, except those that a test handles."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from meadowcross.common.types import NodeName
from meadowcross.leadership.messages import PeerHeartbeat
from meadowcross.leadership.peer_link import PeerLink
from meadowcross.leadership.peer_listeners import PeerListeners
from meadowcross.replication.messages import LeadershipOfferResponse


class QuietNode:
    """Ignores heartbeats and passes requests and notices to the test's functions.

    It handles neither hints nor relay messages; tests that need them pass listeners of their own.
    """

    def __init__(
        self,
        heartbeat: PeerHeartbeat | None,
        progress_of: Callable[[Any], Any],
        serve_forwarded: Callable[..., Any] | None,
        on_notice: Callable[[Any], bool | None],
    ) -> None:
        self.heartbeat = heartbeat
        self.progress_of = progress_of
        self.serve_forwarded = serve_forwarded
        self.on_notice = on_notice

    def own_heartbeat(self) -> PeerHeartbeat | None:
        return self.heartbeat

    def on_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Nothing to do."""

    def on_peer_lost(self, peer: NodeName) -> None:
        """Nothing to do."""

    async def accept_leadership(self, number: int) -> LeadershipOfferResponse:
        return LeadershipOfferResponse(number)


def connect_quiet_node(
    link: PeerLink,
    heartbeat: PeerHeartbeat | None = None,
    progress_of: Callable[[Any], Any] = lambda job: None,
    serve_forwarded: Callable[..., Any] | None = None,
    on_notice: Callable[[Any], bool | None] = lambda notice: False,
) -> PeerLink:
    """Set a QuietNode as the listener of all the link's messages; returns the link."""
    node: Any = QuietNode(heartbeat, progress_of, serve_forwarded, on_notice)
    link.set_listeners(PeerListeners(heartbeats=node, requests=node, hints=node, cancellations=node, relays=node))
    return link
