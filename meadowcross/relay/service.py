"""Dispatches relaying messages by this node's current role: relay of a leader, or leader of relays."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from msgspec import Raw

from meadowcross.common.types import FencingToken, NodeName
from meadowcross.relay.messages import (
    CommandsAnswer,
    ForwardedCommands,
    ForwardedHeartbeat,
    HeartbeatAnswer,
    HeartbeatRenewals,
    RelayedWorkers,
    RelayGrant,
    ResendRequest,
)
from meadowcross.relay.pool import RelayPool
from meadowcross.relay.relay import Relay
from meadowcross.workers.messages import Heartbeat, HeartbeatResponse, Redirect, decode_heartbeat, encode

HTTP_OK, HTTP_BAD_REQUEST, HTTP_MISDIRECTED_REQUEST = 200, 400, 421


class RelayingTerm(Protocol):
    """The part of a leader's term that handles relayed messages."""

    token: FencingToken
    relay_pool: RelayPool | None

    def handle_heartbeat(
        self, heartbeat: Heartbeat, relay: NodeName | None = None
    ) -> HeartbeatResponse | Redirect | None:
        """Handle a heartbeat that was sent directly or forwarded by `relay`; return None if the term has ended."""
        ...

    def is_repeatable(self, heartbeat: Heartbeat) -> bool:
        """Whether a repetition of the heartbeat would get no commands and contain nothing new."""
        ...


class RelayService:
    """Handles the relaying messages that other controllers send."""

    def __init__(self, relay: Relay, current_term: Callable[[], RelayingTerm | None]) -> None:
        self._relay = relay
        self._current_term = current_term

    def _pool(self) -> RelayPool | None:
        term = self._current_term()
        return term.relay_pool if term is not None else None

    def accept_grant(self, grant: RelayGrant) -> None:
        """See `Relay.accept_grant`; ignored while this node leads, since a leader is never a relay."""
        if self._current_term() is None:
            self._relay.accept_grant(grant)

    def request_full_heartbeats(self, request: ResendRequest) -> None:
        """See `Relay.request_full_heartbeats`."""
        self._relay.request_full_heartbeats(request)

    async def send_commands(self, request: ForwardedCommands) -> CommandsAnswer:
        """See `Relay.send_commands`."""
        return await self._relay.send_commands(request)

    def apply_renewals(self, renewals: HeartbeatRenewals) -> None:
        """See `RelayPool.apply_renewals`."""
        if (pool := self._pool()) is not None:
            pool.apply_renewals(renewals)

    def adopt_workers(self, relayed: RelayedWorkers) -> None:
        """See `RelayPool.adopt_workers`."""
        if (pool := self._pool()) is not None:
            pool.adopt_workers(relayed)

    def on_peer_lost(self, peer: NodeName) -> None:
        """See `RelayPool.on_peer_lost`."""
        if (pool := self._pool()) is not None:
            pool.on_peer_lost(peer)

    def handle_forwarded_heartbeat(self, request: ForwardedHeartbeat) -> HeartbeatAnswer:
        """Handle a heartbeat that a relay forwarded, and return the answer for the relay.

        The status is 400 if the heartbeat is malformed, and 421 if it was forwarded to a term that does not lead here.
        """
        term = self._current_term()
        try:
            heartbeat = decode_heartbeat(request.heartbeat)
        except msgspec.DecodeError as error:
            return HeartbeatAnswer(request.number, HTTP_BAD_REQUEST, Raw(msgspec.json.encode({"error": str(error)})))
        response = None
        if term is not None and term.token == request.token:
            response = term.handle_heartbeat(heartbeat, request.node)
        if term is None or not isinstance(response, HeartbeatResponse):
            redirect = response or Redirect()
            return HeartbeatAnswer(request.number, HTTP_MISDIRECTED_REQUEST, Raw(encode(redirect)))
        is_repeatable = not response.commands and term.is_repeatable(heartbeat)
        return HeartbeatAnswer(request.number, HTTP_OK, Raw(encode(response)), is_repeatable)
