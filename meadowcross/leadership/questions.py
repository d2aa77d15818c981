"""Questions to peers that wait for their answers, under numbers of their own."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeout

from meadowcross.common.clock import Clock
from meadowcross.common.http import NotSent, Unanswered
from meadowcross.common.types import Seconds

Asked = TypeVar("Asked", contravariant=True)
Answer = TypeVar("Answer", bound="Numbered")


class Numbered(Protocol):
    """An answer, with the number of its question."""

    @property
    def number(self) -> int: ...


class Line(Protocol[Asked]):
    """A connection that questions go out on."""

    def send(self, message: Asked) -> None: ...


class Questions(Generic[Asked, Answer]):
    """Those of one kind, so many at the most on a line: what is more is refused, not buffered."""

    def __init__(self, clock: Clock, most: int) -> None:
        self._clock = clock
        self._most = most
        self._number = 0
        self._open: dict[Any, dict[int, Deferred[Answer]]] = {}

    async def ask(self, line: Line[Asked] | None, make: Callable[[int], Asked], timeout: Seconds) -> Answer:
        """Raises NotSent where the question certainly never left, else Unanswered: also as soon as the line is lost."""
        if line is None:
            raise NotSent("no line to the peer")
        open_here = self._open.setdefault(line, {})
        if len(open_here) >= self._most:
            raise NotSent(f"{self._most} questions are open already")
        self._number += 1
        number = self._number
        answer: Deferred[Answer] = Deferred()
        open_here[number] = answer
        line.send(make(number))
        answer.addTimeout(timeout, self._clock)  # type: ignore[arg-type]
        try:
            return await answer
        except DeferredTimeout as error:
            raise Unanswered(f"no answer in {timeout:g} s") from error
        finally:
            open_here.pop(number, None)

    def answered(self, line: Line[Asked], answer: Answer) -> None:
        """An answer came; one to a question that nobody waits for any more is dropped."""
        waiting = self._open.get(line, {}).pop(answer.number, None)
        if waiting is not None:
            waiting.callback(answer)

    def closed(self, line: Line[Asked]) -> None:
        """The line is lost, and with it all answers that were to come on it."""
        for waiting in list(self._open.pop(line, {}).values()):
            waiting.errback(Unanswered("the line is lost"))
