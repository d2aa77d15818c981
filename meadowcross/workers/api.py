"""Workers' reports at any node: the leader takes them, relays take them for it, others name the leader."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from meadowcross.common.http import Answer, Router, reason
from meadowcross.common.types import NodeName, Token
from meadowcross.workers import messages as m
from meadowcross.workers.visitors import Visitors

TakeReport = Callable[[m.Report], m.Response | m.Elsewhere | None]


class Relaying(Protocol):
    """Of a relay, what workers' reports need."""

    def granted(self) -> object | None: ...
    def answer(self, report: m.Report) -> Answer | None: ...
    async def pass_on(self, report: m.Report, body: bytes) -> Answer | None: ...


class WorkerApi:
    def __init__(
        self,
        take: Callable[[], TakeReport | None],
        leader: Callable[[], NodeName | None],
        visitors: Visitors,
        token_seen: Callable[[Token], None] = lambda token: None,
        relay: Relaying | None = None,
    ) -> None:
        self._relay = relay
        self._token_seen = token_seen
        self._take = take
        self._leader = leader
        self._visitors = visitors

    def routes(self, router: Router) -> None:
        router.add("POST", r"/checkin", self.report)

    def report(self, body: bytes) -> Answer | Awaitable[Answer]:
        take = self._take()
        relay = self._relay if self._relay is not None and self._relay.granted() is not None else None
        try:
            if take is None and relay is not None:
                return self._relayed(relay, m.decode_report(body), body)
            if take is None:
                reporter = m.decode_reporter(body)
                self._visitors.came(reporter.machine, reporter.version)
                self._token_seen(reporter.token)
            else:
                report = m.decode_report(body)
                self._visitors.came(report.machine, report.version)
                self._token_seen(report.token)
                response = take(report)
                if isinstance(response, m.Elsewhere):
                    return Answer(421, m.encode(response) + b"\n")
                if response is not None:
                    return Answer(200, m.encode(response) + b"\n")
        except msgspec.DecodeError as error:
            return reason(400, str(error))
        return self._elsewhere()

    def _elsewhere(self) -> Answer:
        return Answer(421, m.encode(m.Elsewhere(self._leader())) + b"\n")

    def _relayed(self, relay: Relaying, report: m.Report, body: bytes) -> Answer | Awaitable[Answer]:
        self._visitors.came(report.machine, report.version, True)
        self._token_seen(report.token)
        return relay.answer(report) or self._passed_on(relay, report, body)

    async def _passed_on(self, relay: Relaying, report: m.Report, body: bytes) -> Answer:
        return await relay.pass_on(report, body) or self._elsewhere()
