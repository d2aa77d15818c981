"""Requests to peers that wait for their responses; a number pairs each request with its response."""

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
    """A response that carries the number of its request."""

    @property
    def number(self) -> int:
        """The number of the request that this message responds to."""


class PeerConnection(Protocol[Request]):
    """A connection on which requests are sent."""

    def send(self, message: Request) -> None:
        """Write the message."""


class PendingRequests(Generic[Request, Response]):
    """Pending requests of one kind. Requests beyond the limit per connection are refused, not buffered."""

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
        """Send the request that `make_request` builds for a new number, and return its response.

        Raise ConnectionFailedError if the request was certainly not sent, and NoResponseError if no response came
        within `timeout_s` or the connection was lost.
        """
        if connection is None:
            raise ConnectionFailedError("no connection to the peer")
        pending = self._pending.setdefault(connection, {})
        if len(pending) >= self._max_per_connection:
            raise ConnectionFailedError(f"{self._max_per_connection} requests to the peer are pending already")
        self._last_number += 1
        number = self._last_number
        response: Deferred[Response] = Deferred()
        pending[number] = response
        connection.send(make_request(number))
        response.addTimeout(timeout_s, self._clock)  # type: ignore[arg-type]
        try:
            return await response
        except DeferredTimeout as error:
            raise NoResponseError(f"no response from the peer within {timeout_s:g} s") from error
        finally:
            pending.pop(number, None)

    def on_response(self, connection: PeerConnection[Request], response: Response) -> None:
        """Complete the pending request of the response; drop a response without a pending request."""
        pending_response = self._pending.get(connection, {}).pop(response.number, None)
        if pending_response is not None:
            pending_response.callback(response)

    def on_connection_lost(self, connection: PeerConnection[Request]) -> None:
        """Fail all pending requests on the connection with NoResponseError."""
        for pending_response in list(self._pending.pop(connection, {}).values()):
            pending_response.errback(NoResponseError("connection to the peer lost"))
