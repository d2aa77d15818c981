"""Requests to peers that wait for their responses, under numbers of their own."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeout

from meadowcross.common.clock import Clock
from meadowcross.common.http import ConnectionFailedError, NoResponseError
from meadowcross.common.types import Seconds

Request = TypeVar("Request", contravariant=True)
Response = TypeVar("Response", bound="NumberedResponse")


class NumberedResponse(Protocol):
    """A response, with the number of its request."""

    @property
    def number(self) -> int:
        """As the request gave it."""


class PeerConnection(Protocol[Request]):
    """A connection that requests go out on."""

    def send(self, message: Request) -> None:
        """Write the message."""


class PendingRequests(Generic[Request, Response]):
    """Those of one kind, at most so many on a connection: what is more is refused, not buffered."""

    def __init__(self, clock: Clock, max_per_connection: int) -> None:
        self._clock = clock
        self._max_per_connection = max_per_connection
        self._last_number = 0
        self._pending: dict[Any, dict[int, Deferred[Response]]] = {}

    async def request(
        self,
        connection: PeerConnection[Request] | None,
        make_request: Callable[[int], Request],
        timeout_s: Seconds,
    ) -> Response:
        """The response to what `make_request` builds for a number.

        Raises ConnectionFailedError where the request certainly never left, else NoResponseError: also as soon as the
        connection is lost.
        """
        if connection is None:
            raise ConnectionFailedError("no connection to the peer")
        pending = self._pending.setdefault(connection, {})
        if len(pending) >= self._max_per_connection:
            raise ConnectionFailedError(f"{self._max_per_connection} requests are pending already")
        self._last_number += 1
        number = self._last_number
        response: Deferred[Response] = Deferred()
        pending[number] = response
        connection.send(make_request(number))
        response.addTimeout(timeout_s, self._clock)  # type: ignore[arg-type]
        try:
            return await response
        except DeferredTimeout as error:
            raise NoResponseError(f"no response in {timeout_s:g} s") from error
        finally:
            pending.pop(number, None)

    def on_response(self, connection: PeerConnection[Request], response: Response) -> None:
        """A response came; one that nobody waits for any more is dropped."""
        waiting = self._pending.get(connection, {}).pop(response.number, None)
        if waiting is not None:
            waiting.callback(response)

    def on_connection_lost(self, connection: PeerConnection[Request]) -> None:
        """The connection is lost, and with it all responses that were to come on it."""
        for waiting in list(self._pending.pop(connection, {}).values()):
            waiting.errback(NoResponseError("the connection is lost"))
