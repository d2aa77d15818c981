"""The relay's side: holds workers' sessions while the leader grants it, and decides nothing.

A report like the last whole one is answered here, with the leader's token and no commands; any other goes whole to the
leader. Without a renewed grant, or once a higher token is seen anywhere, workers are turned away as by any node that
does not lead.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec
from msgspec import Raw

from meadowcross.common.clock import Clock
from meadowcross.common.http import Answer, HttpClient, NotSent, Unanswered, reason
from meadowcross.common.logging import logger
from meadowcross.common.types import Instant, MachineId, NodeName, Seconds, Token
from meadowcross.relay import messages as m
from meadowcross.workers import messages as wm
from meadowcross.workers.commands import DIRECT_S

log = logger("relay")

PASS_S: Seconds = 3.0
"""A worker waits 4 s for its answer (the protocol)."""
RENEW_EVERY_S: Seconds = 0.5
SESSION_KEPT_S: Seconds = 60.0
"""A worker that has not come for so long is at another node, or gone."""


class Link(Protocol):
    """Of the controllers' link, what a relay needs. `ask_leader` raises NotSent and Unanswered."""

    def send_relay(self, message: m.Renewals | m.SessionsHeld, peer: NodeName) -> bool: ...
    async def ask_leader(
        self, leader: NodeName, make: Callable[[int], m.ReportPassed], timeout: Seconds
    ) -> m.ReportAnswered: ...


@dataclass(slots=True)
class Session:
    """A worker that reports here: its last whole report, and the newest one that was answered."""

    whole: wm.Report
    settled: bool
    """The leader has nothing to say to that report."""
    seq: int
    came_at: Instant

    def repeats(self, report: wm.Report) -> bool:
        """Whether a newer report says what the last whole one said, to which the leader has nothing to say."""
        return (
            self.settled
            and report.seq > self.seq
            and report.session == self.whole.session
            and report.token == self.whole.token
            and report.addr == self.whole.addr
            and report.notice_s is None
            and report.tasks == self.whole.tasks
        )


class Relay:
    def __init__(
        self,
        clock: Clock,
        node: NodeName,
        link: Callable[[], Link],
        http: HttpClient,
    ) -> None:
        self._clock = clock
        self._node = node
        self._link = link
        self._http = http
        self._grant: m.Grant | None = None
        self._until = Instant(0.0)
        self._highest = Token(0)
        self._sessions: dict[MachineId, Session] = {}
        self._renewed: dict[MachineId, m.Renewal] = {}
        self._flush_set = False

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    def granted(self) -> m.Grant | None:
        """The grant by which this node answers workers now; None where it must not."""
        if self._grant is not None and self.now < self._until and self._grant.token >= self._highest:
            return self._grant
        return None

    def take_grant(self, grant: m.Grant) -> None:
        """A leader's word. One of an earlier term than was seen anywhere counts for nothing."""
        if grant.token < self._highest:
            return
        new = self._grant is None or self._grant.token != grant.token
        if new:
            log.info("relays for %s, token %d, %d sessions held", grant.node, grant.token, len(self._sessions))
            # Whole reports were judged by another term: the next one of each worker is passed on.
            for session in self._sessions.values():
                session.settled = False
            self._renewed.clear()
        self._grant, self._until = grant, Instant(self.now + grant.expires_s)
        self._highest = grant.token
        if new:
            self._tell_held(grant)

    def _tell_held(self, grant: m.Grant) -> None:
        held = list(self._sessions)
        for first in range(0, len(held), m.MAX_LISTED):
            part = held[first : first + m.MAX_LISTED]
            self._link().send_relay(m.SessionsHeld(self._node, grant.token, part), grant.node)

    def token_seen(self, token: Token) -> None:
        """A token was seen, by whatever way: an earlier leader's grant is worth nothing from now on."""
        if token > self._highest:
            self._highest = token
            if self._grant is not None:
                log.info("relays for %s no more: token %d was seen", self._grant.node, token)

    def resend(self, wanted: m.ResendWanted) -> None:
        """The leader wants the next reports of these machines whole."""
        if self._grant is not None and wanted.token == self._grant.token:
            for machine in wanted.machines:
                if (session := self._sessions.get(machine)) is not None:
                    session.settled = False

    # Reports

    def answer(self, report: wm.Report) -> Answer | None:
        """The answer to a report that says nothing new; None: it must be passed on, or nothing is granted."""
        self.token_seen(report.token)
        grant = self.granted()
        session = self._sessions.get(report.machine)
        if grant is None or session is None or not session.repeats(report):
            return None
        # Put last, so that whoever came least lately stays first.
        del self._sessions[report.machine]
        self._sessions[report.machine] = session
        session.seq, session.came_at = report.seq, self.now
        self._renew(report, session)
        return Answer(200, wm.encode(wm.Response(grant.token, [])) + b"\n")

    def _renew(self, report: wm.Report, session: Session) -> None:
        self._renewed[report.machine] = m.Renewal(report.machine, report.session, session.whole.seq, report.seq)
        if not self._flush_set:
            self._flush_set = True
            self._clock.callLater(RENEW_EVERY_S, self._flush)

    def _flush(self) -> None:
        self._flush_set = False
        renewed, self._renewed = list(self._renewed.values()), {}
        grant = self.granted()
        if grant is not None:
            for first in range(0, len(renewed), m.MAX_LISTED):
                part = renewed[first : first + m.MAX_LISTED]
                self._link().send_relay(m.Renewals(self._node, grant.token, part), grant.node)
        self._forget_old()

    def _forget_old(self) -> None:
        oldest = self.now - SESSION_KEPT_S
        while self._sessions:
            machine, session = next(iter(self._sessions.items()))
            if session.came_at >= oldest:
                break
            del self._sessions[machine]

    async def pass_on(self, report: wm.Report, body: bytes) -> Answer | None:
        """A report that says something new goes to the leader, and its answer comes back; None: turn the worker away
        as a node that does not lead."""
        grant = self.granted()
        if grant is None:
            return None
        try:
            answered = await self._link().ask_leader(
                grant.node, lambda number: m.ReportPassed(number, self._node, grant.token, Raw(body)), PASS_S
            )
        except (NotSent, Unanswered) as error:
            log.debug("report of %s not answered: %s", report.machine, error)
            return reason(503, "the leader gives no answer", 1)
        now = self.granted()
        if now is None or now.token != grant.token:
            return None
        if answered.status == 200:
            self._keep(report, answered.settled)
        else:
            self._sessions.pop(report.machine, None)
        return Answer(answered.status, bytes(answered.body) + b"\n")

    def _keep(self, report: wm.Report, settled: bool) -> None:
        before = self._sessions.pop(report.machine, None)
        if before is not None and before.whole.version > report.version:
            # A copy, come late.
            self._sessions[report.machine] = before
            return
        self._sessions[report.machine] = Session(report, settled, report.seq, self.now)

    # Commands

    async def commands(self, passed: m.CommandsPassed) -> m.CommandsAnswered:
        """Commands of the leader for a worker, and what became of them."""
        grant = self.granted()
        if grant is None or passed.token != grant.token:
            return m.CommandsAnswered(passed.number, m.Outcome.NOT_SENT)
        try:
            reply = await self._http.call("POST", passed.address, "/commands", bytes(passed.body), DIRECT_S)
        except NotSent:
            return m.CommandsAnswered(passed.number, m.Outcome.NOT_SENT)
        except Unanswered:
            return m.CommandsAnswered(passed.number, m.Outcome.UNANSWERED)
        return m.CommandsAnswered(passed.number, m.Outcome.ANSWERED, reply.status, _json(reply.body))


def _json(body: bytes) -> Raw:
    """A worker's answer, to be passed on inside a message; what is no JSON is passed on as null."""
    try:
        msgspec.json.decode(body, type=Raw)
    except msgspec.DecodeError:
        return Raw(b"null")
    return Raw(body)
