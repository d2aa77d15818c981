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

from meadowcross.common.logging import logger
from meadowcross.common.types import Address

log = logger("common")

MAX_BODY = 64 * 1024
MAX_DROPPED = 1024 * 1024
KEEP_OPEN_S = 90
BRIEFLY_OPEN_S = 1
"""For many peers that are seldom asked, where sockets are short: a connection serves a burst, and is closed."""
MAX_ENDPOINTS = 5_000


class NotSent(Exception):
    """No connection came about, so the request was certainly not sent."""


class Unanswered(Exception):
    """The request may have been carried out, or may still be."""


class Reply(NamedTuple):
    status: int
    body: bytes


class HttpClient:
    """Kept-open connections, one request at a time on each, never retried here."""

    def __init__(self, reactor: Any, per_host: int = 6, keep_open_s: int = KEEP_OPEN_S) -> None:
        """A connection that is idle for `keep_open_s` seconds is closed."""
        self._clock: Any = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = per_host
        self._pool.cachedConnectionTimeout = keep_open_s
        # A repeated request could be carried out twice: whoever asks decides.
        self._pool.retryAutomatically = False
        self._reactor = reactor
        self._agents: dict[float, Agent] = {}

    async def call(
        self, method: str, address: Address, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Reply:
        # The connect limit ends before the whole, so that a dead host shows as NotSent.
        connect = min(1.0, timeout / 2)
        agent = self._agents.get(connect)
        if agent is None:
            agent = self._agents[connect] = Agent.usingEndpointFactory(
                self._reactor, _Endpoints(self._reactor, connect), self._pool
            )
        producer: Any = None if body is None else FileBodyProducer(BytesIO(body), cooperator=_Immediate())
        url = f"http://{address}{path}".encode()
        request = agent.request(method.encode(), url, Headers({}), producer)
        request.addTimeout(timeout, self._clock)
        try:
            response = await request
        except (net_error.ConnectError, net_error.ConnectingCancelledError) as error:
            raise NotSent(f"{address}: {error}") from error
        except Exception as error:
            raise Unanswered(f"{address}: {type(error).__name__}") from error
        body_of = _Body()
        response.deliverBody(body_of)  # type: ignore[call-arg]
        body_of.whole.addTimeout(timeout, self._clock)
        try:
            return Reply(response.code, await body_of.whole)
        except Exception as error:
            raise Unanswered(f"{address}: {type(error).__name__}") from error


class _Body(Receiver):
    """Gathers an answer's body. Twisted's own `readBody` warns, at some cost, of each connection that it could
    not abort; what is given up here is closed by the pool."""

    def __init__(self) -> None:
        self.whole: Deferred[bytes] = Deferred(lambda _: self._leave())
        self._parts: list[bytes] = []

    def _leave(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()  # type: ignore[misc]

    def dataReceived(self, data: bytes) -> None:
        self._parts.append(data)

    def connectionLost(self, reason: Any = None) -> None:
        if self.whole.called:
            return
        if reason.check(ResponseDone):
            self.whole.callback(b"".join(self._parts))
        else:
            self.whole.errback(reason)


@implementer(IAgentEndpointFactory)
class _Endpoints:
    """Endpoints kept by address. An agent makes one for every request, whether or not a new
    connection is needed, and checks the host's name each time."""

    def __init__(self, reactor: Any, timeout: float) -> None:
        self._reactor = reactor
        self._timeout = timeout
        self._known: dict[tuple[bytes, int], HostnameEndpoint] = {}

    def endpointForURI(self, uri: Any) -> HostnameEndpoint:
        key = (uri.host, uri.port)
        endpoint = self._known.get(key)
        if endpoint is None:
            if len(self._known) >= MAX_ENDPOINTS:
                self._known.clear()
            endpoint = self._known[key] = HostnameEndpoint(self._reactor, uri.host, uri.port, self._timeout)
        return endpoint


class _Immediate:
    """A cooperator that runs small bodies at once, with no timer steps between."""

    def cooperate(self, iterator: Any) -> Any:
        for _ in iterator:
            pass
        return _Done()


class _Done:
    def whenDone(self) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def stop(self) -> None:
        """Nothing is left to stop."""

    pause = resume = stop


class Answer(NamedTuple):
    """What a handler returns; `retry_after` in whole seconds where it applies."""

    status: int
    body: bytes
    retry_after: int | None = None


Handler = Callable[..., Awaitable[Answer] | Answer]


class Route(NamedTuple):
    method: str
    pattern: re.Pattern[str]
    handler: Handler
    """Called with the request body and the pattern's groups."""


def reason(status: int, text: str, retry_after: int | None = None) -> Answer:
    """A refusal with its one-line JSON reason."""
    safe = text.replace("\\", "/").replace('"', "'").replace("\n", " ")
    return Answer(status, b'{"error":"%s"}\n' % safe.encode("utf-8", "replace"), retry_after)


class Router:
    def __init__(self) -> None:
        self._routes: list[Route] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        self._routes.append(Route(method, re.compile(pattern), handler))

    def find(self, method: str, path: str) -> tuple[Handler, tuple[str, ...]] | Answer:
        known = False
        for route in self._routes:
            match = route.pattern.fullmatch(path)
            if match is None:
                continue
            known = True
            if route.method == method:
                return route.handler, match.groups()
        if known:
            return reason(405, f"method {method} is not served here")
        return reason(404, "no such path")


class ApiRequest(http.Request):
    """One request: looked up in the router, answered by its handler."""

    router: Router
    guard: Guard | None = None
    too_large = False
    dropped = 0

    def __init__(self, channel: Any, queued: Any = False) -> None:
        # No form is ever posted here, and looking for one in the content type of each report
        # took a seventh of a leader's time (2.5 of 17.7 s under a profiler). Said to the
        # constructor: as an attribute of the class it was overwritten there, without effect.
        super().__init__(channel, queued, parsePOSTFormSubmission=False)

    def gotLength(self, length: int | None) -> None:
        if length is not None and length > MAX_BODY:
            self._refuse_body()
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        if self.too_large:
            self.dropped += len(data)
            if self.dropped > MAX_DROPPED and self.channel is not None:
                self.channel.loseConnection()
            return
        if self.content is not None and self.content.tell() + len(data) > MAX_BODY:
            self._refuse_body()
            return
        super().handleContentChunk(data)

    def _refuse_body(self) -> None:
        """Answer before the rest of an oversized body has come. What still comes is read
        and dropped: closing on unread data would reset the connection and lose the answer."""
        self.too_large = True
        self.clientproto = b"HTTP/1.1"
        self.setHeader(b"connection", b"close")
        self._put(reason(413, f"a body holds at most {MAX_BODY} bytes"))

    def process(self) -> None:
        if self.too_large:
            self.finish()
            return
        path = self.path.decode("utf-8", "replace") if self.path else "/"
        found = self.router.find(self.method.decode("ascii", "replace"), path)
        if isinstance(found, Answer):
            self._write(found)
            return
        handler, groups = found
        assert self.content is not None
        body = self.content.read()
        try:
            refused = self.guard(self, path, body) if self.guard is not None else None
            result = refused or handler(body, *groups)
        except Exception:
            log.exception("handler of %s failed", path)
            result = reason(500, "internal error", 1)
        if isinstance(result, Answer):
            self._write(result)
        else:
            work: Deferred[Answer] = Deferred.fromCoroutine(result)  # type: ignore[arg-type]
            work.addCallbacks(self._write, self._failed)

    def _failed(self, failure: Any) -> None:
        if not failure.check(CancelledError):
            log.error("handler of %s failed: %s", self.path, failure.getTraceback())
        self._write(reason(500, "internal error", 1))

    def _write(self, answer: Answer) -> None:
        if not self.finished and not self._disconnected:
            self._put(answer)
            self.finish()

    def _put(self, answer: Answer) -> None:
        self.setResponseCode(answer.status)
        self.setHeader(b"content-type", b"application/json")
        self.setHeader(b"content-length", b"%d" % len(answer.body))
        if answer.retry_after is not None:
            self.setHeader(b"retry-after", b"%d" % answer.retry_after)
        self.write(answer.body)


class Guard(Protocol):
    """Decides whether a request may be handled; its answer, if it may not."""

    def __call__(self, request: ApiRequest, path: str, body: bytes) -> Answer | None: ...


class BoundedFactory(http.HTTPFactory):
    """Serves so many connections at a time, and closes what is more as it comes. A node whose last sockets went to
    workers could not reach the state service any more, and lost its hold."""

    most: int | None = None
    open_now = 0

    def buildProtocol(self, addr: Any) -> Any:
        if self.most is not None and self.open_now >= self.most:
            return None
        return super().buildProtocol(addr)


def api_factory(router: Router, reactor: Any, guard: Guard | None = None, most: int | None = None) -> http.HTTPFactory:
    """`most` connections at a time; None: as many as the process may hold."""

    class RoutedRequest(ApiRequest):
        pass

    RoutedRequest.router = router
    # Not a method of the request: what it is called on is passed to it.
    RoutedRequest.guard = staticmethod(guard) if guard is not None else None

    class Channel(http.HTTPChannel):
        requestFactory = RoutedRequest  # type: ignore[assignment]

        def connectionMade(self) -> None:
            factory.open_now += 1
            super().connectionMade()

        def connectionLost(self, reason: Any = connectionDone) -> None:
            factory.open_now -= 1
            super().connectionLost(reason)

    factory = BoundedFactory(timeout=KEEP_OPEN_S, reactor=reactor)
    factory.most = most
    factory.protocol = Channel  # type: ignore[assignment]
    factory.log = lambda request: None  # type: ignore[method-assign]
    return factory
