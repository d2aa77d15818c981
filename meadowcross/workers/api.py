"""Workers' reports at any node: the leader takes them, others name the leader."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from meadowcross.common.http import Answer, Router, reason
from meadowcross.common.types import NodeName
from meadowcross.workers import messages as m
from meadowcross.workers.visitors import Visitors

TakeReport = Callable[[m.Report], m.Response | None]


class WorkerApi:
    def __init__(
        self, take: Callable[[], TakeReport | None], leader: Callable[[], NodeName | None], visitors: Visitors
    ) -> None:
        self._take = take
        self._leader = leader
        self._visitors = visitors

    def routes(self, router: Router) -> None:
        router.add("POST", r"/checkin", self.report)

    def report(self, body: bytes) -> Answer:
        take = self._take()
        try:
            if take is None:
                self._visitors.came(m.decode_reporter(body).machine)
            else:
                report = m.decode_report(body)
                self._visitors.came(report.machine)
                response = take(report)
                if response is not None:
                    return Answer(200, m.encode(response) + b"\n")
        except msgspec.DecodeError as error:
            return reason(400, str(error))
        return Answer(421, m.encode(m.Elsewhere(self._leader())) + b"\n")
