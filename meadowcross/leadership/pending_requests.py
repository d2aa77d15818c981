"""Questions to peers that wait for their answers, under numbers of their own."""

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
    """An answer, with the number of its question."""

    @property
    def number(self) -> int: ...


class PeerConnection(Protocol[Request]):
    """A connection that questions go out on."""

    def send(self, message: Request) -> None: ...


class PendingRequests(Generic[Request, Response]):
    """Those of one kind, so many at the most on a line: what is more is refused, not buffered."""

    def __init__(self, clock: Clock, max_per_connection: int) -> None:
        self._clock = clock
        self._max_per_connection = max_per_connection
        self._last_number = 0
        self._pending: dict[Any, dict[int, Deferred[Response]]] = {}

    async def request(
        self, connection: PeerConnection[Request] | None, make_request: Callable[[int], Request], timeout_s: Seconds
    ) -> Response:
        """Raises NotSent where the question certainly never left, else Unanswered: also as soon as the line is lost."""
        if connection is None:
            raise ConnectionFailedError("no line to the peer")
        pending = self._pending.setdefault(connection, {})
        if len(pending) >= self._max_per_connection:
            raise ConnectionFailedError(f"{self._max_per_connection} questions are open already")
        self._last_number += 1
        number = self._last_number
        response: Deferred[Response] = Deferred()
        pending[number] = response
        connection.send(make_request(number))
        response.addTimeout(timeout_s, self._clock)  # type: ignore[arg-type]
        try:
            return await response
        except DeferredTimeout as error:
            raise NoResponseError(f"no answer in {timeout_s:g} s") from error
        finally:
            pending.pop(number, None)

    def on_response(self, connection: PeerConnection[Request], response: Response) -> None:
        """An answer came; one to a question that nobody waits for any more is dropped."""
        waiting = self._pending.get(connection, {}).pop(response.number, None)
        if waiting is not None:
            waiting.callback(response)

    def on_connection_lost(self, connection: PeerConnection[Request]) -> None:
        """The line is lost, and with it all answers that were to come on it."""
        for waiting in list(self._pending.pop(connection, {}).values()):
            waiting.errback(NoResponseError("the line is lost"))
