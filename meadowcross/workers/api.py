"""Workers' reports at any node: the leader takes them, others name the leader."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from meadowcross.common.http import Answer, Router, reason
from meadowcross.common.types import NodeName, Token
from meadowcross.workers import messages as m
from meadowcross.workers.visitors import Visitors

TakeReport = Callable[[m.Report], m.Response | None]


class WorkerApi:
    def __init__(
        self,
        take: Callable[[], TakeReport | None],
        leader: Callable[[], NodeName | None],
        visitors: Visitors,
        token_seen: Callable[[Token], None] = lambda token: None,
    ) -> None:
        self._token_seen = token_seen
        self._take = take
        self._leader = leader
        self._visitors = visitors

    def routes(self, router: Router) -> None:
        router.add("POST", r"/checkin", self.report)

    def report(self, body: bytes) -> Answer:
        take = self._take()
        try:
            if take is None:
                reporter = m.decode_reporter(body)
                self._visitors.came(reporter.machine, reporter.version)
                self._token_seen(reporter.token)
            else:
                report = m.decode_report(body)
                self._visitors.came(report.machine, report.version)
                self._token_seen(report.token)
                response = take(report)
                if response is not None:
                    return Answer(200, m.encode(response) + b"\n")
        except msgspec.DecodeError as error:
            return reason(400, str(error))
        return Answer(421, m.encode(m.Elsewhere(self._leader())) + b"\n")
