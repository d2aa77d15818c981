"""Serves HTTP for simulated services and workers with the project's own server; handlers also receive the caller."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from meadowcross.common import http
from simulation.net import Reactor

Answer = tuple[int, Any]
Handler = Callable[[str, str, str, dict[str, str], bytes], "Answer | Deferred[Answer]"]
"""Called with the caller's host name, method, path, query and body."""


class _Router(http.Router):
    """Passes every request to one handler."""

    def __init__(self, handler: Handler) -> None:
        super().__init__()
        self._handler = handler
        self._current_request: Any = None

    def guard(self, request: Any, path: str, body: bytes) -> None:
        self._current_request = request

    def resolve(self, method: str, path: str) -> Any:
        return self._serve, ()

    async def _serve(self, body: bytes) -> http.ServerResponse:
        request = self._current_request
        query = {name.decode(): values[0].decode() for name, values in request.args.items()}
        answer = self._handler(
            request.getClientAddress().host, request.method.decode(), request.path.decode(), query, body
        )
        status, value = await answer if isinstance(answer, Deferred) else answer
        return http.ServerResponse(status, json.dumps(value).encode())


def serve(reactor: Reactor, port: int, handler: Handler) -> None:
    """Listen on a port and answer each request with the handler's status and JSON value."""
    router = _Router(handler)
    reactor.listenTCP(port, http.build_api_factory(router, reactor, router.guard))
