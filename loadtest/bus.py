"""How the processes of a run talk: each sends netstrings of JSON to the run, which passes them on to all others."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet.protocol import ClientFactory, Factory, connectionDone
from twisted.protocols.basic import NetstringReceiver


class Ready(Struct, tag="ready"):
    """A process serves."""

    name: str


class MachineUp(Struct, tag="up"):
    """A rented machine has booted, and this hollow process plays its worker."""

    machine: dict[str, Any]
    hollow: int


class MachineGone(Struct, tag="gone"):
    """The cloud has deleted it."""

    name: str


class JobUploaded(Struct, tag="job"):
    """What workers fetch of a job."""

    spec: dict[str, Any]
    run_s: float


class RackGone(Struct, tag="rack"):
    """The workers of a rack reach nobody, and are reached by nobody, for a while."""

    rack: int
    for_s: float


class StoreTrouble(Struct, tag="store"):
    """The state service is away, or so many times as slow, from now on."""

    outage: bool = False
    slow: float = 1.0


class Leads(Struct, tag="leads"):
    """The leader's key names this controller, with this token."""

    node: str
    token: int


class Finish(Struct, tag="finish"):
    """The run is over: write what is left to be written, and end."""


Message = Ready | MachineUp | MachineGone | JobUploaded | RackGone | StoreTrouble | Leads | Finish
encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(Message).decode


class Line(NetstringReceiver):
    """One end of a connection on the bus."""

    MAX_LENGTH = 1024 * 1024

    def __init__(
        self,
        heard: Callable[[Line, Message], None],
        lost: Callable[[Line], None] = lambda line: None,
        made: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__()
        self._heard = heard
        self._lost = lost
        self._made = made

    def connectionMade(self) -> None:
        self._made()

    def stringReceived(self, string: bytes) -> None:
        self._heard(self, decode(string))

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self._lost(self)

    def send(self, message: Message) -> None:
        self.sendString(encode(message))


class Hub(Factory):
    """The run's end: passes on what each says to all others, and listens in."""

    noisy = False

    def __init__(self, heard: Callable[[Message], None]) -> None:
        self._heard = heard
        self._lines: list[Line] = []

    def buildProtocol(self, addr: Any) -> Line:
        line = Line(self._said, self._lines.remove)
        self._lines.append(line)
        return line

    def _said(self, source: Line, message: Message) -> None:
        for line in self._lines:
            if line is not source:
                line.send(message)
        self._heard(message)

    def tell(self, message: Message) -> None:
        """Something that the run itself says to all."""
        for line in self._lines:
            line.send(message)


class Member(ClientFactory):
    """A process's end; `on_open` is called once it is connected, `on_lost` when the run is gone."""

    noisy = False

    def __init__(
        self, heard: Callable[[Message], None], on_open: Callable[[], None], on_lost: Callable[[], None]
    ) -> None:
        self._on_heard = heard
        self._on_open = on_open
        self._on_lost = on_lost
        self._line: Line | None = None

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._on_lost()

    def clientConnectionLost(self, connector: Any, unused_reason: Any) -> None:
        self._on_lost()

    def buildProtocol(self, addr: Any) -> Line:
        self._line = Line(lambda line, message: self._on_heard(message), made=self._on_open)
        return self._line

    def send(self, message: Message) -> None:
        """To all others; dropped before there is a connection."""
        if self._line is not None:
            self._line.send(message)
