"""The HTTP interface for workers' heartbeats, at each node.

The leader handles them, a relay answers or forwards them for the leader, any other node names the leader.
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
"""The leader's handler; None: it does not lead any more."""


class HeartbeatRelay(Protocol):
    """The part of a relay that the interface needs; see `meadowcross.relay.relay.Relay`."""

    def active_grant(self) -> object | None:
        """The grant by which this node may answer workers, or None."""
        ...

    def answer_unchanged(self, heartbeat: Heartbeat) -> ServerResponse | None:
        """The response, if the heartbeat repeats the last full one."""
        ...

    async def forward_heartbeat(self, heartbeat: Heartbeat, body: bytes) -> ServerResponse | None:
        """The leader\'s response; None: redirect the worker."""
        ...


class WorkerApi:
    """Handles `POST /checkin`."""

    def __init__(
        self,
        leader_handler: Callable[[], HandleHeartbeat | None],
        leader_name: Callable[[], NodeName | None],
        tracker: HeartbeatTracker,
        on_token_seen: Callable[[FencingToken], None] = lambda _token: None,
        relay: HeartbeatRelay | None = None,
    ) -> None:
        """`leader_handler` returns the handler while this node leads; `leader_name` the leader that this node knows;
        `on_token_seen` is called with the token of each heartbeat."""
        self._relay = relay
        self._on_token_seen = on_token_seen
        self._leader_handler = leader_handler
        self._leader_name = leader_name
        self._tracker = tracker

    def add_routes(self, router: Router) -> None:
        """Add the path of heartbeats."""
        router.add("POST", r"/checkin", self.handle_heartbeat)

    def handle_heartbeat(self, body: bytes) -> ServerResponse | Awaitable[ServerResponse]:
        """Answer one heartbeat: 200, 400 if malformed, 421 elsewhere, or what the leader answered through the relay."""
        handle = self._leader_handler()
        relay = self._relay if self._relay is not None and self._relay.active_grant() is not None else None
        try:
            if handle is not None:
                return self._answer_as_leader(handle, decode_heartbeat(body))
            if relay is not None:
                return self._answer_as_relay(relay, decode_heartbeat(body), body)
            return self._answer_elsewhere(body)
        except msgspec.DecodeError as error:
            return error_response(HTTP_BAD_REQUEST, str(error))

    def _answer_as_leader(self, handle: HandleHeartbeat, heartbeat: Heartbeat) -> ServerResponse:
        self._tracker.record(heartbeat.machine, heartbeat.version)
        self._on_token_seen(heartbeat.token)
        response = handle(heartbeat)
        if isinstance(response, HeartbeatResponse):
            return ServerResponse(HTTP_OK, encode(response) + b"\n")
        return self._redirect() if response is None else _misdirected(response)

    def _answer_elsewhere(self, body: bytes) -> ServerResponse:
        """As a node that neither leads nor relays: only the header is decoded."""
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
