"""The link between controllers: netstrings of JSON over kept connections.

Every node calls every peer and also listens; questions go out on the caller's
connection and are answered on it. Nothing that a rule rests on depends on it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Factory, ReconnectingClientFactory
from twisted.internet.task import LoopingCall
from twisted.protocols.basic import NetstringReceiver

from meadowcross.common.clock import Clock
from meadowcross.common.http import Answer, NotSent, Unanswered
from meadowcross.common.logging import logger
from meadowcross.common.settings import Peer
from meadowcross.common.types import JobId, NodeName, Seconds, Token
from meadowcross.jobs.messages import Progress
from meadowcross.leadership import messages as m
from meadowcross.leadership.questions import Questions
from meadowcross.rebuild.messages import PicturePart, PictureWanted
from meadowcross.relay import messages as rm
from meadowcross.replica.messages import Handed, Handover, Hints, HintsWanted

log = logger("leadership")

BEAT_S: Seconds = 1.0
FRESH_S: Seconds = 3.0
ANSWER_S: Seconds = 0.4
FORWARD_S: Seconds = 1.5
PICTURE_S: Seconds = 1.0
MAX_QUESTIONS = 256
MAX_RELAYED = 1_000
"""Reports or commands that wait for one peer; more are refused, so that what a slow peer holds up stays bounded."""
MAX_JOBS = 1_000
"""Of one question, so that its answer fits a netstring."""

Reply = m.ProgressAnswer | m.Forwarded | Handed | PicturePart | m.CancelsTaken
Serve = Callable[[str, str, bytes], Awaitable[Answer]]
"""Answers a peer's user: the operation, the job's id where it is not in the body, the body."""


class RelayHandler(Protocol):
    """What a node does with what leaders and relays say."""

    def take_grant(self, grant: rm.Grant) -> None: ...
    def resend(self, wanted: rm.ResendWanted) -> None: ...
    def renewed(self, renewals: rm.Renewals) -> None: ...
    def held(self, sessions: rm.SessionsHeld) -> None: ...
    def report_passed(self, passed: rm.ReportPassed) -> rm.ReportAnswered: ...
    async def commands(self, passed: rm.CommandsPassed) -> rm.CommandsAnswered: ...
    def peer_lost(self, peer: NodeName) -> None: ...


class _Line(NetstringReceiver):
    # A user's body of 64 KiB, escaped as text within JSON.
    MAX_LENGTH = 256 * 1024

    def __init__(self, link: PeerLink) -> None:
        super().__init__()
        self._link = link
        self.peer: NodeName | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)  # type: ignore[union-attr]
        if self.peer is not None:
            self._link.opened(self.peer, self)

    def connectionLost(self, reason: Any = None) -> None:
        if self.brokenPeer:
            log.info("peer sent no netstring of at most %d bytes: its line is closed", self.MAX_LENGTH)
        if self.peer is not None:
            self._link.closed(self.peer, self)

    def stringReceived(self, string: bytes) -> None:
        try:
            message = m.decode(string)
        except msgspec.DecodeError as error:
            log.info("peer sent what can't be read: %s", error)
            return
        self._link.received(self, message)

    def send(self, message: m.Message) -> None:
        self.sendString(m.encode(message))


class _Caller(ReconnectingClientFactory):
    initialDelay = 0.3
    maxDelay = 2.0  # type: ignore[assignment]
    factor = 1.5
    noisy = False
    at_once = 0.01
    """A closed link is called again at once: a process that ended refuses, which is news for all."""

    def __init__(self, link: PeerLink, peer: NodeName, clock: Any) -> None:
        self._link = link
        self._peer = peer
        self.clock = clock

    def buildProtocol(self, addr: Any) -> _Line:
        self.resetDelay()
        line = _Line(self._link)
        line.peer = self._peer
        return line

    def clientConnectionLost(self, connector: Any, unused_reason: Any) -> None:
        self.delay = self.at_once
        self.retry(connector)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.delay = max(self.delay, self.initialDelay)
        self._link.unreached(self._peer, bool(reason.check(ConnectionRefusedError)))
        super().clientConnectionFailed(connector, reason)


class _Listener(Factory):
    noisy = False

    def __init__(self, link: PeerLink) -> None:
        self._link = link

    def buildProtocol(self, addr: Any) -> _Line:
        return _Line(self._link)


class PeerLink:
    def __init__(
        self,
        clock: Clock,
        peers: list[Peer],
        own_beat: Callable[[], m.Beat],
        progress_of: Callable[[JobId], Progress | None],
        on_beat: Callable[[m.Beat], None],
        serve: Serve,
        on_replica: Callable[[Hints | HintsWanted], None] = lambda message: None,
        on_lost: Callable[[NodeName], None] = lambda peer: None,
        hand_over: Callable[[int], Awaitable[Handed]] | None = None,
        picture_part: Callable[[PictureWanted], PicturePart] | None = None,
        take_cancels: Callable[[m.CancelsTold], bool] = lambda told: False,
        relays: RelayHandler | None = None,
    ) -> None:
        self._relays = relays
        self._clock = clock
        self._peers = peers
        self._own_beat = own_beat
        self._progress_of = progress_of
        self._on_beat = on_beat
        self._serve = serve
        self._on_replica = on_replica
        self._on_lost = on_lost
        self._hand_over = hand_over
        self._picture_part = picture_part
        self._take_cancels = take_cancels
        self._lost: dict[NodeName, float] = {}
        """Peers whose link was closed and that refuse to be called, and when it was closed."""
        self._closed_at: dict[NodeName, float] = {}
        self._lines: dict[NodeName, _Line] = {}
        self._beats: dict[NodeName, tuple[float, m.Beat]] = {}
        self._questions: Questions[m.Message, Reply] = Questions(clock, MAX_QUESTIONS)
        self._reports: Questions[m.Message, rm.ReportAnswered] = Questions(clock, MAX_RELAYED)
        self._commands: Questions[m.Message, rm.CommandsAnswered] = Questions(clock, MAX_RELAYED)
        self._asking: dict[JobId, list[Deferred[Progress | None]]] = {}

    def start(self, reactor: Any, bind: str) -> None:
        host, _, port = bind.rpartition(":")
        reactor.listenTCP(int(port), _Listener(self), interface=host)
        for peer in self._peers:
            peer_host, _, peer_port = peer.endpoint.rpartition(":")
            caller = _Caller(self, NodeName(peer.host_name), self._clock)
            reactor.connectTCP(peer_host, int(peer_port), caller, timeout=2)
        loop = LoopingCall(self.send_beats)
        loop.clock = self._clock  # type: ignore[assignment]
        loop.start(BEAT_S)

    def opened(self, peer: NodeName, line: _Line) -> None:
        self._lines[peer] = line
        self._lost.pop(peer, None)
        line.send(self._own_beat())

    def closed(self, peer: NodeName, line: _Line) -> None:
        if self._lines.get(peer) is line:
            del self._lines[peer]
            self._closed_at[peer] = self._clock.seconds()
            if self._relays is not None:
                self._relays.peer_lost(peer)
        for questions in (self._questions, self._reports, self._commands):
            questions.closed(line)

    def unreached(self, peer: NodeName, refused: bool) -> None:
        """A call to a peer failed. Refused soon after its link was closed, it is lost: others hear of it at
        once. A call without an answer says nothing."""
        closed = self._closed_at.pop(peer, None)
        if refused and closed is not None and peer not in self._lost:
            self._lost[peer] = closed
            self.send_beats()
            self._on_lost(peer)

    def lost(self, peer: NodeName) -> bool:
        """Whether the link to a peer was closed, its address refuses, and no beat of it came since."""
        closed = self._lost.get(peer)
        return closed is not None and self._beats.get(peer, (0.0, None))[0] <= closed

    def all_lost(self) -> list[NodeName]:
        return [peer for peer in self._lost if self.lost(peer)]

    def tell(self, message: Hints | HintsWanted, peer: NodeName | None = None) -> None:
        """To one peer, or to all that understand it: a node of an earlier version says no life."""
        for name, line in list(self._lines.items()):
            beat = self._beats.get(name, (0.0, None))[1]
            if (peer is None or name == peer) and beat is not None and beat.life:
                line.send(message)

    def fresh_beats(self) -> list[m.Beat]:
        """The last beats of all peers that were heard lately and are not lost since."""
        return [beat for beat in self._fresh() if not self.lost(beat.node)]

    async def ask_to_lead(self, peer: NodeName) -> Handed | None:
        line = self._lines.get(peer)
        answer = await self._question(line, Handover, ANSWER_S) if line is not None else None
        return answer if isinstance(answer, Handed) else None

    async def ask_picture(self, peer: NodeName, after: str) -> PicturePart | None:
        """A piece of what a peer followed before the state service lost data."""
        line = self._lines.get(peer)
        if line is None:
            return None
        answer = await self._question(line, lambda number: PictureWanted(number, after), PICTURE_S)
        return answer if isinstance(answer, PicturePart) else None

    async def ask_cancels(self, leader: NodeName, told: m.CancelsTold) -> bool:
        """Tells of cancels that are stored: whether the leader has said in time that it took them in. The others hear
        of them too, as any of them may lead next."""
        for name, other in list(self._lines.items()):
            if name != leader:
                other.send(told)
        line = self._lines.get(leader)
        if line is None:
            return False
        answer = await self._question(
            line, lambda number: m.CancelsTold(number, told.token, told.jobs, told.unrecorded), ANSWER_S
        )
        return isinstance(answer, m.CancelsTaken)

    async def _answer_handover(self, line: _Line, message: Handover) -> None:
        line.send(await self._hand_over(message.number) if self._hand_over is not None else Handed(message.number))

    def send_beats(self) -> None:
        """Each second, and at once where something happened that peers should hear."""
        beat = self._own_beat()
        for line in list(self._lines.values()):
            line.send(beat)

    def received(self, line: _Line, message: m.Message) -> None:
        if isinstance(message, m.Beat):
            self._beats[message.node] = (self._clock.seconds(), message)
            self._on_beat(message)
        elif isinstance(message, m.ProgressQuestion):
            known = {job: one for job in message.jobs if (one := self._progress_of(job)) is not None}
            counts = {job: (one.done, one.running) for job, one in known.items()}
            ends = {job: one.ends for job, one in known.items() if one.ends is not None}
            line.send(m.ProgressAnswer(message.number, counts, ends))
        elif isinstance(message, m.Forward):
            Deferred.fromCoroutine(self._serve_peer(line, message))
        elif isinstance(message, (Hints, HintsWanted)):
            self._on_replica(message)
        elif isinstance(message, PictureWanted):
            if self._picture_part is not None:
                line.send(self._picture_part(message))
        elif isinstance(message, m.CancelsTold):
            if self._take_cancels(message) and message.number:
                line.send(m.CancelsTaken(message.number))
        elif isinstance(message, Handover):
            Deferred.fromCoroutine(self._answer_handover(line, message))
        elif isinstance(message, rm.ReportAnswered):
            self._reports.answered(line, message)
        elif isinstance(message, rm.CommandsAnswered):
            self._commands.answered(line, message)
        elif isinstance(message, rm.Message):
            self._relay_said(line, message)
        else:
            self._questions.answered(line, message)

    def _relay_said(self, line: _Line, message: rm.Message) -> None:
        relays = self._relays
        if relays is None:
            return
        if isinstance(message, rm.ReportPassed):
            line.send(relays.report_passed(message))
        elif isinstance(message, rm.CommandsPassed):
            Deferred.fromCoroutine(self._send_commands(line, relays, message))
        elif isinstance(message, rm.Renewals):
            relays.renewed(message)
        elif isinstance(message, rm.ResendWanted):
            relays.resend(message)
        elif isinstance(message, rm.SessionsHeld):
            relays.held(message)
        elif isinstance(message, rm.Grant):
            relays.take_grant(message)

    async def _send_commands(self, line: _Line, relays: RelayHandler, message: rm.CommandsPassed) -> None:
        line.send(await relays.commands(message))

    def send_relay(self, message: rm.Grant | rm.Renewals | rm.ResendWanted | rm.SessionsHeld, peer: NodeName) -> bool:
        """To one peer, at once or not at all: whether there is a line to it."""
        line = self._lines.get(peer)
        if line is not None:
            line.send(message)
        return line is not None

    async def ask_leader(
        self, leader: NodeName, make: Callable[[int], rm.ReportPassed], timeout: Seconds
    ) -> rm.ReportAnswered:
        """The leader's answer to a worker's report. Raises NotSent and Unanswered."""
        return await self._reports.ask(self._lines.get(leader), make, timeout)

    async def ask_relay(
        self, peer: NodeName, make: Callable[[int], rm.CommandsPassed], timeout: Seconds
    ) -> rm.CommandsAnswered:
        """What became of commands that a relay was to send. Raises NotSent and Unanswered."""
        return await self._commands.ask(self._lines.get(peer), make, timeout)

    async def _serve_peer(self, line: _Line, message: m.Forward) -> None:
        try:
            answer = await self._serve(message.operation, message.job, message.body.encode())
        except Exception:
            log.exception("a peer's request failed")
            return
        line.send(m.Forwarded(message.number, answer.status, answer.body.decode(), answer.retry_after))

    async def _question(self, line: _Line, make: Callable[[int], m.Message], timeout: Seconds) -> Reply | None:
        """Send a question under a number of its own and wait for its answer; None without one."""
        try:
            return await self._questions.ask(line, make, timeout)
        except (NotSent, Unanswered):
            return None

    async def forward(self, operation: str, job: str, body: bytes, to: NodeName | None = None) -> Answer | None:
        """The answer of a peer that the state service answers, or of the one named; None without one in time."""
        beats = [beat for beat in self._fresh() if (beat.store_ok if to is None else beat.node == to)]
        line = next((self._lines[beat.node] for beat in beats if beat.node in self._lines), None)
        if line is None:
            return None
        text = body.decode()
        answer = await self._question(line, lambda number: m.Forward(number, operation, job, text), FORWARD_S)
        if not isinstance(answer, m.Forwarded):
            return None
        return Answer(answer.status, answer.body.encode(), answer.retry_after)

    def _fresh(self) -> list[m.Beat]:
        now = self._clock.seconds()
        return [beat for at, beat in self._beats.values() if now - at < FRESH_S]

    def peer_has_store(self) -> bool:
        """Whether some peer lately said that the state service answers it."""
        return any(beat.store_ok for beat in self._fresh())

    def most_heard(self) -> int | None:
        """The most workers that a peer heard lately; None where no peer was heard itself."""
        return max((beat.hears for beat in self._fresh()), default=None)

    def leading(self) -> tuple[NodeName, Token] | None:
        """The peer that lately said that it leads, by the highest token."""
        leads = [(beat.leads, beat.node) for beat in self._fresh() if beat.leads is not None]
        token, node = max(leads, default=(Token(0), NodeName("")))
        return (node, token) if leads else None

    def ask_progress(self, leader: NodeName, job: JobId) -> Deferred[Progress | None]:
        """The leader's counts, or None where it doesn't know or doesn't answer soon. What is
        asked in one turn of the loop goes as one question."""
        answer: Deferred[Progress | None] = Deferred()
        if not self._asking:
            self._clock.callLater(0, lambda: Deferred.fromCoroutine(self._ask(leader)))
        self._asking.setdefault(job, []).append(answer)
        return answer

    async def _ask(self, leader: NodeName) -> None:
        asking, self._asking = self._asking, {}
        known: dict[JobId, Progress] = {}
        line = self._lines.get(leader)
        if line is not None:
            jobs = list(asking)[:MAX_JOBS]
            reply = await self._question(line, lambda number: m.ProgressQuestion(number, jobs), ANSWER_S)
            if isinstance(reply, m.ProgressAnswer):
                ends = reply.ends
                known = {one: Progress(*counts, ends.get(one)) for one, counts in reply.counts.items()}
        for job, answers in asking.items():
            for answer in answers:
                answer.callback(known.get(job))
