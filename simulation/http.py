"""HTTP for stand-ins, by the nodes' own server and client: a handler that is told who asks."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from meadowcross.common import http
from simulation.net import Reactor

Answer = tuple[int, Any]
Handler = Callable[[str, str, str, dict[str, str], bytes], "Answer | Deferred[Answer]"]
"""Given who asks, method, path, query and body."""


class _Router(http.Router):
    def __init__(self, handler: Handler) -> None:
        super().__init__()
        self._handler = handler
        self._asked: Any = None

    def guard(self, request: Any, path: str, body: bytes) -> None:
        self._asked = request

    def resolve(self, method: str, path: str) -> Any:
        return self._serve, ()

    async def _serve(self, body: bytes) -> http.ServerResponse:
        asked = self._asked
        query = {name.decode(): values[0].decode() for name, values in asked.args.items()}
        answer = self._handler(asked.getClientAddress().host, asked.method.decode(), asked.path.decode(), query, body)
        status, value = await answer if isinstance(answer, Deferred) else answer
        return http.ServerResponse(status, json.dumps(value).encode())


def serve(reactor: Reactor, port: int, handler: Handler) -> None:
    router = _Router(handler)
    reactor.listenTCP(port, http.build_api_factory(router, reactor, router.guard))
