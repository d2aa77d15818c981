"""HTTP/1.1 on twisted.web: a client that distinguishes unsent requests from those without a response, and a server."""

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

MAX_BODY_BYTES = 64 * 1024
"""Limit for the body of a request, in bytes."""
MAX_DISCARDED_BODY_BYTES = 1024 * 1024
"""Bytes of an oversized body that the server reads and discards before it closes the connection."""
IDLE_TIMEOUT_S = 90
"""Time after which an idle connection is closed, by the client and by the server."""
SHORT_IDLE_TIMEOUT_S = 1
"""Idle timeout of a client for many seldom-contacted hosts, where sockets are scarce."""
MAX_ENDPOINTS = 5_000
"""Limit for the client's cached endpoints; a full cache is emptied."""


class ConnectionFailedError(Exception):
    """No connection was established, so the request was not sent."""


class NoResponseError(Exception):
    """No response arrived: the request may have been executed, or may be executed later."""


class ClientResponse(NamedTuple):
    """Status and body of a response received by the client."""

    status: int
    body: bytes


class HttpClient:
    """HTTP client with a connection pool: one request at a time on each connection, and no automatic retries."""

    def __init__(self, reactor: Any, connections_per_host: int = 6, idle_timeout_s: int = IDLE_TIMEOUT_S) -> None:
        """Keep at most `connections_per_host` idle connections to a host, each for `idle_timeout_s` seconds."""
        self._clock: Any = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = connections_per_host
        self._pool.cachedConnectionTimeout = idle_timeout_s
        # A retried request could be executed twice, so only the caller may retry.
        self._pool.retryAutomatically = False
        self._reactor = reactor
        self._agents: dict[float, Agent] = {}

    async def call(
        self, method: str, address: Address, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> ClientResponse:
        """Send a request and return the response. `timeout` is in seconds, for the headers and again for the body.

        Raises ConnectionFailedError or NoResponseError.
        """
        # The connection times out before the request does, so that an unreachable host is reported as
        # ConnectionFailedError.
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
    """Collects a response body and closes the connection if the body is cancelled.

    Twisted's `readBody` emits a costly warning for each connection that it can't abort.
    """

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
    """Caches endpoints by address.

    Without the cache an agent builds one endpoint per request, even if it reuses a connection, and checks the host name
    each time.
    """

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
    """Cooperator that writes a small body in one step, without a delayed call between chunks."""

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
        """Do nothing: the task is already complete."""

    pause = resume = stop


class ServerResponse(NamedTuple):
    """Response of a handler."""

    status: int
    body: bytes
    retry_after: int | None = None
    """Value of the `retry-after` header in whole seconds; None: no such header."""


Handler = Callable[..., Awaitable[ServerResponse] | ServerResponse]


class Route(NamedTuple):
    """A method and a path pattern with their handler."""

    method: str
    pattern: re.Pattern[str]
    """Matches the whole path."""
    handler: Handler
    """Called with the request body and the pattern's groups."""


def error_response(status: int, message: str, retry_after: int | None = None) -> ServerResponse:
    """Return a response whose body is a one-line JSON object with the message under `error`.

    Backslashes, double quotes and newlines in the message are replaced by characters that JSON does not escape.
    """
    json_safe_message = message.replace("\\", "/").replace('"', "'").replace("\n", " ")
    return ServerResponse(status, b'{"error":"%s"}\n' % json_safe_message.encode("utf-8", "replace"), retry_after)


class Router:
    """Maps a method and a path to a handler."""

    def __init__(self) -> None:
        self._routes: list[Route] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Add a route. `pattern` is a regular expression for the whole path; earlier routes take precedence."""
        self._routes.append(Route(method, re.compile(pattern), handler))

    def resolve(self, method: str, path: str) -> tuple[Handler, tuple[str, ...]] | ServerResponse:
        """Return the handler and the groups of the path, or a response with status 405 or 404 if no route matches."""
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
    """A request that the handler of its route responds to. Bodies are limited to MAX_BODY_BYTES."""

    router: Router
    guard: RequestGuard | None = None
    is_body_too_large = False
    discarded_bytes = 0

    def __init__(self, channel: Any, queued: Any = False) -> None:
        # No API takes forms, and parsing the content type of each heartbeat took a seventh of a leader's processor time
        # (2.5 of 17.7 s under a profiler). The constructor would overwrite a class attribute.
        super().__init__(channel, queued, parsePOSTFormSubmission=False)

    def gotLength(self, length: int | None) -> None:
        """Reject a body whose announced length exceeds the limit."""
        if length is not None and length > MAX_BODY_BYTES:
            self._reject_body()
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        """Reject a body that exceeds the limit as it arrives, and discard the rest of a rejected one."""
        if self.is_body_too_large:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED_BODY_BYTES and self.channel is not None:
                self.channel.loseConnection()
            return
        if self.content is not None and self.content.tell() + len(data) > MAX_BODY_BYTES:
            self._reject_body()
            return
        super().handleContentChunk(data)

    def _reject_body(self) -> None:
        """Respond with status 413 before the rest of an oversized body has arrived.

        The rest is read and discarded: a connection that is closed with unread data is reset, and the response is lost.
        """
        self.is_body_too_large = True
        self.clientproto = b"HTTP/1.1"
        self.setHeader(b"connection", b"close")
        self._write_response(error_response(413, f"a body holds at most {MAX_BODY_BYTES} bytes"))

    def process(self) -> None:
        """Run the guard and the handler for a request that has arrived completely."""
        if self.is_body_too_large:
            self.finish()
            return
        path = self.path.decode("utf-8", "replace") if self.path else "/"
        resolution = self.router.resolve(self.method.decode("ascii", "replace"), path)
        if isinstance(resolution, ServerResponse):
            self._finish_with(resolution)
            return
        handler, groups = resolution
        assert self.content is not None
        body = self.content.read()
        try:
            rejection = self.guard(self, path, body) if self.guard is not None else None
            result = rejection or handler(body, *groups)
        except Exception:
            log.exception("request handler failed path=%s", path)
            result = error_response(500, "internal error", 1)
        if isinstance(result, ServerResponse):
            self._finish_with(result)
        else:
            pending_response: Deferred[ServerResponse] = Deferred.fromCoroutine(result)  # type: ignore[arg-type]
            pending_response.addCallbacks(self._finish_with, self._on_handler_failure)

    def _on_handler_failure(self, failure: Any) -> None:
        if not failure.check(CancelledError):
            log.error("request handler failed path=%s error=%s", self.path, failure.getTraceback())
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
    """Access check that runs before a handler."""

    def __call__(self, request: ApiRequest, path: str, body: bytes) -> ServerResponse | None:
        """Return the rejection, or None if the request may be handled."""
        ...


class BoundedHttpFactory(http.HTTPFactory):
    """Serves at most `max_connections` at a time and closes further ones as they are accepted.

    A node whose last sockets went to workers could no longer reach the state service and lost its leader lease.
    """

    max_connections: int | None = None
    """None: unlimited."""
    open_connections = 0
    """Number of connections that are open now."""

    def buildProtocol(self, addr: Any) -> Any:
        """Return a protocol for an accepted connection, or None, which closes the connection."""
        if self.max_connections is not None and self.open_connections >= self.max_connections:
            return None
        return super().buildProtocol(addr)


def build_api_factory(
    router: Router, reactor: Any, guard: RequestGuard | None = None, max_connections: int | None = None
) -> http.HTTPFactory:
    """Return a factory that serves the router's routes on at most `max_connections` connections (None: unlimited)."""

    class RoutedRequest(ApiRequest):
        pass

    RoutedRequest.router = router
    # staticmethod: the guard receives the request as its first argument and must not be bound to it.
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
