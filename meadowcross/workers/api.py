"""Workers' reports at any node: the leader takes them, relays take them for it, others name the leader."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from meadowcross.common.http import Router, ServerResponse, error_response
from meadowcross.common.types import FencingToken, NodeName
from meadowcross.workers import messages as m
from meadowcross.workers.heartbeat_tracker import HeartbeatTracker

HandleHeartbeat = Callable[[m.Heartbeat], m.HeartbeatResponse | m.Redirect | None]


class HeartbeatRelay(Protocol):
    """Of a relay, what workers' reports need."""

    def active_grant(self) -> object | None: ...
    def answer_unchanged(self, heartbeat: m.Heartbeat) -> ServerResponse | None: ...
    async def forward_heartbeat(self, heartbeat: m.Heartbeat, body: bytes) -> ServerResponse | None: ...


class WorkerApi:
    def __init__(
        self,
        leader_handler: Callable[[], HandleHeartbeat | None],
        leader_name: Callable[[], NodeName | None],
        tracker: HeartbeatTracker,
        on_token_seen: Callable[[FencingToken], None] = lambda token: None,
        relay: HeartbeatRelay | None = None,
    ) -> None:
        self._relay = relay
        self._on_token_seen = on_token_seen
        self._leader_handler = leader_handler
        self._leader_name = leader_name
        self._tracker = tracker

    def add_routes(self, router: Router) -> None:
        router.add("POST", r"/checkin", self.handle_heartbeat)

    def handle_heartbeat(self, body: bytes) -> ServerResponse | Awaitable[ServerResponse]:
        handle = self._leader_handler()
        relay = self._relay if self._relay is not None and self._relay.active_grant() is not None else None
        try:
            if handle is None and relay is not None:
                return self._answer_as_relay(relay, m.decode_heartbeat(body), body)
            if handle is None:
                header = m.decode_heartbeat_header(body)
                self._tracker.record(header.machine, header.version)
                self._on_token_seen(header.token)
            else:
                heartbeat = m.decode_heartbeat(body)
                self._tracker.record(heartbeat.machine, heartbeat.version)
                self._on_token_seen(heartbeat.token)
                response = handle(heartbeat)
                if isinstance(response, m.Redirect):
                    return ServerResponse(421, m.encode(response) + b"\n")
                if response is not None:
                    return ServerResponse(200, m.encode(response) + b"\n")
        except msgspec.DecodeError as error:
            return error_response(400, str(error))
        return self._redirect()

    def _redirect(self) -> ServerResponse:
        return ServerResponse(421, m.encode(m.Redirect(self._leader_name())) + b"\n")

    def _answer_as_relay(
        self, relay: HeartbeatRelay, heartbeat: m.Heartbeat, body: bytes
    ) -> ServerResponse | Awaitable[ServerResponse]:
        self._tracker.record(heartbeat.machine, heartbeat.version, True)
        self._on_token_seen(heartbeat.token)
        return relay.answer_unchanged(heartbeat) or self._forward(relay, heartbeat, body)

    async def _forward(self, relay: HeartbeatRelay, heartbeat: m.Heartbeat, body: bytes) -> ServerResponse:
        return await relay.forward_heartbeat(heartbeat, body) or self._redirect()
