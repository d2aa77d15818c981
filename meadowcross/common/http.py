"""HTTP on twisted.web: a small server front and a client that knows what was sent."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from io import BytesIO
from typing import Any, NamedTuple, Protocol

from twisted.internet import error as net_error
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.protocol import Protocol as Receiver
from twisted.internet.protocol import connectionDone
from twisted.web import http
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from meadowcross.common.logging import get_logger
from meadowcross.common.types import Address

log = get_logger("common")

MAX_BODY = 64 * 1024
MAX_DISCARDED_BODY = 1024 * 1024
IDLE_TIMEOUT_S = 90
SHORT_IDLE_TIMEOUT_S = 1
"""For many peers that are seldom asked, where sockets are short: a connection serves a burst, and is closed."""
MAX_ENDPOINTS = 5_000


class ConnectionFailedError(Exception):
    """No connection came about, so the request was certainly not sent."""


class NoResponseError(Exception):
    """The request may have been carried out, or may still be."""


class ClientResponse(NamedTuple):
    status: int
    body: bytes


class HttpClient:
    """Kept-open connections, one request at a time on each, never retried here."""

    def __init__(self, reactor: Any, connections_per_host: int = 6, idle_timeout_s: int = IDLE_TIMEOUT_S) -> None:
        """A connection that is idle for `keep_open_s` seconds is closed."""
        self._clock: Any = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = connections_per_host
        self._pool.cachedConnectionTimeout = idle_timeout_s
        # A repeated request could be carried out twice: whoever asks decides.
        self._pool.retryAutomatically = False
        self._reactor = reactor
        self._agents: dict[float, Agent] = {}

    async def call(
        self, method: str, address: Address, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> ClientResponse:
        # The connect limit ends before the whole, so that a dead host shows as NotSent.
        connect_timeout_s = min(1.0, timeout / 2)
        agent = self._agents.get(connect_timeout_s)
        if agent is None:
            agent = self._agents[connect_timeout_s] = Agent.usingEndpointFactory(
                self._reactor, _EndpointCache(self._reactor, connect_timeout_s), self._pool
            )
        producer: Any = None if body is None else FileBodyProducer(BytesIO(body), cooperator=_ImmediateCooperator())
        url = f"http://{address}{path}".encode()
        pending_response = agent.request(method.encode(), url, Headers({}), producer)
        pending_response.addTimeout(timeout, self._clock)
        try:
            response = await pending_response
        except (net_error.ConnectError, net_error.ConnectingCancelledError) as error:
            raise ConnectionFailedError(f"{address}: {error}") from error
        except Exception as error:
            raise NoResponseError(f"{address}: {type(error).__name__}") from error
        collector = _BodyCollector()
        response.deliverBody(collector)  # type: ignore[call-arg]
        collector.body.addTimeout(timeout, self._clock)
        try:
            return ClientResponse(response.code, await collector.body)
        except Exception as error:
            raise NoResponseError(f"{address}: {type(error).__name__}") from error


class _BodyCollector(Receiver):
    """Gathers an answer's body. Twisted's own `readBody` warns, at some cost, of each connection that it could
    not abort; what is given up here is closed by the pool."""

    def __init__(self) -> None:
        self.body: Deferred[bytes] = Deferred(lambda _: self._abort())
        self._parts: list[bytes] = []

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()  # type: ignore[misc]

    def dataReceived(self, data: bytes) -> None:
        self._parts.append(data)

    def connectionLost(self, reason: Any = None) -> None:
        if self.body.called:
            return
        if reason.check(ResponseDone):
            self.body.callback(b"".join(self._parts))
        else:
            self.body.errback(reason)


@implementer(IAgentEndpointFactory)
class _EndpointCache:
    """Endpoints kept by address. An agent makes one for every request, whether or not a new
    connection is needed, and checks the host's name each time."""

    def __init__(self, reactor: Any, timeout: float) -> None:
        self._reactor = reactor
        self._timeout = timeout
        self._endpoints: dict[tuple[bytes, int], HostnameEndpoint] = {}

    def endpointForURI(self, uri: Any) -> HostnameEndpoint:
        key = (uri.host, uri.port)
        endpoint = self._endpoints.get(key)
        if endpoint is None:
            if len(self._endpoints) >= MAX_ENDPOINTS:
                self._endpoints.clear()
            endpoint = self._endpoints[key] = HostnameEndpoint(self._reactor, uri.host, uri.port, self._timeout)
        return endpoint


class _ImmediateCooperator:
    """A cooperator that runs small bodies at once, with no timer steps between."""

    def cooperate(self, iterator: Any) -> Any:
        for _ in iterator:
            pass
        return _CompletedTask()


class _CompletedTask:
    def whenDone(self) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def stop(self) -> None:
        """Nothing is left to stop."""

    pause = resume = stop


class ServerResponse(NamedTuple):
    """What a handler returns; `retry_after` in whole seconds where it applies."""

    status: int
    body: bytes
    retry_after: int | None = None


Handler = Callable[..., Awaitable[ServerResponse] | ServerResponse]


class Route(NamedTuple):
    method: str
    pattern: re.Pattern[str]
    handler: Handler
    """Called with the request body and the pattern's groups."""


def error_response(status: int, message: str, retry_after: int | None = None) -> ServerResponse:
    """A refusal with its one-line JSON reason."""
    safe = message.replace("\\", "/").replace('"', "'").replace("\n", " ")
    return ServerResponse(status, b'{"error":"%s"}\n' % safe.encode("utf-8", "replace"), retry_after)


class Router:
    def __init__(self) -> None:
        self._routes: list[Route] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        self._routes.append(Route(method, re.compile(pattern), handler))

    def resolve(self, method: str, path: str) -> tuple[Handler, tuple[str, ...]] | ServerResponse:
        is_known_path = False
        for route in self._routes:
            match = route.pattern.fullmatch(path)
            if match is None:
                continue
            is_known_path = True
            if route.method == method:
                return route.handler, match.groups()
        if is_known_path:
            return error_response(405, f"method {method} is not served here")
        return error_response(404, "no such path")


class ApiRequest(http.Request):
    """One request: looked up in the router, answered by its handler."""

    router: Router
    guard: RequestGuard | None = None
    is_body_too_large = False
    discarded_bytes = 0

    def __init__(self, channel: Any, queued: Any = False) -> None:
        # No form is ever posted here, and looking for one in the content type of each report
        # took a seventh of a leader's time (2.5 of 17.7 s under a profiler). Said to the
        # constructor: as an attribute of the class it was overwritten there, without effect.
        super().__init__(channel, queued, parsePOSTFormSubmission=False)

    def gotLength(self, length: int | None) -> None:
        if length is not None and length > MAX_BODY:
            self._reject_body()
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        if self.is_body_too_large:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED_BODY and self.channel is not None:
                self.channel.loseConnection()
            return
        if self.content is not None and self.content.tell() + len(data) > MAX_BODY:
            self._reject_body()
            return
        super().handleContentChunk(data)

    def _reject_body(self) -> None:
        """Answer before the rest of an oversized body has come. What still comes is read
        and dropped: closing on unread data would reset the connection and lose the answer."""
        self.is_body_too_large = True
        self.clientproto = b"HTTP/1.1"
        self.setHeader(b"connection", b"close")
        self._write_response(error_response(413, f"a body holds at most {MAX_BODY} bytes"))

    def process(self) -> None:
        if self.is_body_too_large:
            self.finish()
            return
        path = self.path.decode("utf-8", "replace") if self.path else "/"
        found = self.router.resolve(self.method.decode("ascii", "replace"), path)
        if isinstance(found, ServerResponse):
            self._finish_with(found)
            return
        handler, groups = found
        assert self.content is not None
        body = self.content.read()
        try:
            rejection = self.guard(self, path, body) if self.guard is not None else None
            result = rejection or handler(body, *groups)
        except Exception:
            log.exception("handler of %s failed", path)
            result = error_response(500, "internal error", 1)
        if isinstance(result, ServerResponse):
            self._finish_with(result)
        else:
            work: Deferred[ServerResponse] = Deferred.fromCoroutine(result)  # type: ignore[arg-type]
            work.addCallbacks(self._finish_with, self._failed)

    def _failed(self, failure: Any) -> None:
        if not failure.check(CancelledError):
            log.error("handler of %s failed: %s", self.path, failure.getTraceback())
        self._finish_with(error_response(500, "internal error", 1))

    def _finish_with(self, response: ServerResponse) -> None:
        if not self.finished and not self._disconnected:
            self._write_response(response)
            self.finish()

    def _write_response(self, response: ServerResponse) -> None:
        self.setResponseCode(response.status)
        self.setHeader(b"content-type", b"application/json")
        self.setHeader(b"content-length", b"%d" % len(response.body))
        if response.retry_after is not None:
            self.setHeader(b"retry-after", b"%d" % response.retry_after)
        self.write(response.body)


class RequestGuard(Protocol):
    """Decides whether a request may be handled; its answer, if it may not."""

    def __call__(self, request: ApiRequest, path: str, body: bytes) -> ServerResponse | None: ...


class BoundedHttpFactory(http.HTTPFactory):
    """Serves so many connections at a time, and closes what is more as it comes. A node whose last sockets went to
    workers could not reach the state service any more, and lost its hold."""

    max_connections: int | None = None
    open_connections = 0

    def buildProtocol(self, addr: Any) -> Any:
        if self.max_connections is not None and self.open_connections >= self.max_connections:
            return None
        return super().buildProtocol(addr)


def build_api_factory(
    router: Router, reactor: Any, guard: RequestGuard | None = None, max_connections: int | None = None
) -> http.HTTPFactory:
    """`most` connections at a time; None: as many as the process may hold."""

    class RoutedRequest(ApiRequest):
        pass

    RoutedRequest.router = router
    # Not a method of the request: what it is called on is passed to it.
    RoutedRequest.guard = staticmethod(guard) if guard is not None else None

    class Channel(http.HTTPChannel):
        requestFactory = RoutedRequest  # type: ignore[assignment]

        def connectionMade(self) -> None:
            factory.open_connections += 1
            super().connectionMade()

        def connectionLost(self, reason: Any = connectionDone) -> None:
            factory.open_connections -= 1
            super().connectionLost(reason)

    factory = BoundedHttpFactory(timeout=IDLE_TIMEOUT_S, reactor=reactor)
    factory.max_connections = max_connections
    factory.protocol = Channel  # type: ignore[assignment]
    factory.log = lambda request: None  # type: ignore[method-assign]
    return factory
