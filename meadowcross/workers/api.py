"""The HTTP interface for workers' heartbeats, served by every controller.

The leader handles heartbeats, a relay answers them for the leader or forwards them, any other controller redirects the
worker to the leader.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from meadowcross.common.http import Router, ServerResponse, error_response
from meadowcross.common.types import FencingToken, NodeName
from meadowcross.workers.heartbeat_tracker import HeartbeatTracker
from meadowcross.workers.messages import (
    Heartbeat,
    HeartbeatResponse,
    Redirect,
    decode_heartbeat,
    decode_heartbeat_header,
    encode,
)

HTTP_OK, HTTP_BAD_REQUEST, HTTP_MISDIRECTED_REQUEST = 200, 400, 421

HandleHeartbeat = Callable[[Heartbeat], HeartbeatResponse | Redirect | None]
"""The leader's handler of heartbeats; it returns None if this controller does not lead any more."""


class HeartbeatRelay(Protocol):
    """The part of a relay that the heartbeat interface uses; see `meadowcross.relay.relay.Relay`."""

    def active_grant(self) -> object | None:
        """Return the leader's grant under which this controller may answer workers, or None."""
        ...

    def answer_unchanged(self, heartbeat: Heartbeat) -> ServerResponse | None:
        """Return the response to a heartbeat that repeats the worker's last full heartbeat, else None."""
        ...

    async def forward_heartbeat(self, heartbeat: Heartbeat, body: bytes) -> ServerResponse | None:
        """Return the leader's response, or None if the worker is to be redirected."""
        ...


class WorkerApi:
    """Handles the workers' heartbeats, `POST /checkin`."""

    def __init__(
        self,
        leader_handler: Callable[[], HandleHeartbeat | None],
        leader_name: Callable[[], NodeName | None],
        tracker: HeartbeatTracker,
        on_token_seen: Callable[[FencingToken], None] = lambda _token: None,
        relay: HeartbeatRelay | None = None,
    ) -> None:
        """`leader_handler` returns the leader's handler while this controller leads, else None. `leader_name` returns
        the leader's name, or None if it is unknown. `on_token_seen` is called with the token of each heartbeat."""
        self._relay = relay
        self._on_token_seen = on_token_seen
        self._leader_handler = leader_handler
        self._leader_name = leader_name
        self._tracker = tracker

    def add_routes(self, router: Router) -> None:
        """Register the path of heartbeats with the router."""
        router.add("POST", r"/checkin", self.handle_heartbeat)

    def handle_heartbeat(self, body: bytes) -> ServerResponse | Awaitable[ServerResponse]:
        """Answer a heartbeat: 200 by the leader or a relay, 400 if it is malformed, 421 to redirect the worker."""
        handler = self._leader_handler()
        relay = self._relay if self._relay is not None and self._relay.active_grant() is not None else None
        try:
            if handler is not None:
                return self._answer_as_leader(handler, decode_heartbeat(body))
            if relay is not None:
                return self._answer_as_relay(relay, decode_heartbeat(body), body)
            return self._answer_as_follower(body)
        except msgspec.DecodeError as error:
            return error_response(HTTP_BAD_REQUEST, str(error))

    def _answer_as_leader(self, handler: HandleHeartbeat, heartbeat: Heartbeat) -> ServerResponse:
        self._tracker.record(heartbeat.machine, heartbeat.version)
        self._on_token_seen(heartbeat.token)
        response = handler(heartbeat)
        if isinstance(response, HeartbeatResponse):
            return ServerResponse(HTTP_OK, encode(response) + b"\n")
        return self._redirect() if response is None else _misdirected(response)

    def _answer_as_follower(self, body: bytes) -> ServerResponse:
        """Redirect the worker, as a controller that neither leads nor relays; decode only the heartbeat's header."""
        header = decode_heartbeat_header(body)
        self._tracker.record(header.machine, header.version)
        self._on_token_seen(header.token)
        return self._redirect()

    def _redirect(self) -> ServerResponse:
        return _misdirected(Redirect(self._leader_name()))

    def _answer_as_relay(
        self, relay: HeartbeatRelay, heartbeat: Heartbeat, body: bytes
    ) -> ServerResponse | Awaitable[ServerResponse]:
        self._tracker.record(heartbeat.machine, heartbeat.version, is_relayed=True)
        self._on_token_seen(heartbeat.token)
        return relay.answer_unchanged(heartbeat) or self._forward(relay, heartbeat, body)

    async def _forward(self, relay: HeartbeatRelay, heartbeat: Heartbeat, body: bytes) -> ServerResponse:
        return await relay.forward_heartbeat(heartbeat, body) or self._redirect()


def _misdirected(redirect: Redirect) -> ServerResponse:
    return ServerResponse(HTTP_MISDIRECTED_REQUEST, encode(redirect) + b"\n")
