"""A node's part in relaying, by what it is now: relay for a leader, or the leader that its relays speak to."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from msgspec import Raw

from meadowcross.common.types import FencingToken, NodeName
from meadowcross.relay import messages as m
from meadowcross.relay.pool import RelayPool
from meadowcross.relay.relay import Relay
from meadowcross.workers import messages as wm

HTTP_OK, HTTP_BAD_REQUEST, HTTP_MISDIRECTED_REQUEST = 200, 400, 421


class RelayingTerm(Protocol):
    """Of a term, what relays need."""

    token: FencingToken
    relay_pool: RelayPool | None

    def handle_heartbeat(
        self, heartbeat: wm.Heartbeat, relay: NodeName | None = None
    ) -> wm.HeartbeatResponse | wm.Redirect | None: ...
    def is_settled(self, heartbeat: wm.Heartbeat) -> bool: ...


class RelayService:
    """Takes what leaders and relays say on the controllers' link to whom it concerns."""

    def __init__(self, relay: Relay, current_term: Callable[[], RelayingTerm | None]) -> None:
        self._relay = relay
        self._current_term = current_term

    def _pool(self) -> RelayPool | None:
        term = self._current_term()
        return term.relay_pool if term is not None else None

    # As a relay

    def accept_grant(self, grant: m.RelayGrant) -> None:
        """See `Relay.take_grant`; a node that leads is nobody's relay."""
        if self._current_term() is None:
            self._relay.accept_grant(grant)

    def request_full_heartbeats(self, wanted: m.ResendRequest) -> None:
        """See `Relay.resend`."""
        self._relay.request_full_heartbeats(wanted)

    async def send_commands(self, request: m.ForwardedCommands) -> m.CommandsAnswer:
        """See `Relay.commands`."""
        return await self._relay.send_commands(request)

    # As the leader

    def apply_renewals(self, renewals: m.HeartbeatRenewals) -> None:
        """See `RelayPool.renewed`."""
        if (pool := self._pool()) is not None:
            pool.apply_renewals(renewals)

    def adopt_workers(self, relayed: m.RelayedWorkers) -> None:
        """See `RelayPool.held`."""
        if (pool := self._pool()) is not None:
            pool.adopt_workers(relayed)

    def on_peer_lost(self, peer: NodeName) -> None:
        """See `RelayPool.peer_lost`."""
        if (pool := self._pool()) is not None:
            pool.on_peer_lost(peer)

    def handle_forwarded_heartbeat(self, request: m.ForwardedHeartbeat) -> m.HeartbeatAnswer:
        """The answer to a worker's report that came whole through a relay; 421 where it was passed to another term
        than the one that leads here."""
        term = self._current_term()
        try:
            heartbeat = wm.decode_heartbeat(request.heartbeat)
        except msgspec.DecodeError as error:
            return m.HeartbeatAnswer(request.number, HTTP_BAD_REQUEST, Raw(msgspec.json.encode({"error": str(error)})))
        response = None
        if term is not None and term.token == request.token:
            response = term.handle_heartbeat(heartbeat, request.node)
        if term is None or not isinstance(response, wm.HeartbeatResponse):
            redirect = response or wm.Redirect()
            return m.HeartbeatAnswer(request.number, HTTP_MISDIRECTED_REQUEST, Raw(wm.encode(redirect)))
        is_repeatable = not response.commands and term.is_settled(heartbeat)
        return m.HeartbeatAnswer(request.number, HTTP_OK, Raw(wm.encode(response)), is_repeatable)
