"""Users: they submit, retry, ask, cancel, and remember what they were told. Each request goes to a node drawn anew, as
behind a load balancer that has not noticed yet which are unwell; where no connection comes about, to the next."""

from __future__ import annotations

import json
from typing import Any

from twisted.internet.defer import Deferred

from lab.judge import Judge
from lab.net import Reactor
from meadowcross.common.clock import pause
from meadowcross.common.http import HttpClient, NotSent, Unanswered
from meadowcross.common.types import Address

RETRY_S = 1.0
SUBMIT_S = 60.0
POLL_S = 5.0


class Users:
    def __init__(self, reactor: Reactor, judge: Judge, nodes: dict[str, Address]) -> None:
        self._reactor = reactor
        self._judge = judge
        self._nodes = list(nodes.values())
        self._client = HttpClient(reactor)
        self.submit_s: list[float] = []
        """How long each accepted submission took, retries included."""
        self.gave_up = 0

    @property
    def now(self) -> float:
        return self._reactor.seconds()

    async def _ask(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, Any]:
        nodes = list(self._nodes)
        self._reactor.simulation.random.shuffle(nodes)
        for address in nodes[:3]:
            try:
                status, content = await self._client.call(method, address, path, body, timeout)
            except NotSent:
                continue
            except Unanswered:
                return 0, None
            return status, json.loads(content) if content else None
        return 0, None

    async def _insist(self, path: str, body: bytes, good: tuple[int, ...]) -> tuple[int, Any]:
        """A submission or a cancel, repeated as the protocol has it."""
        began = self.now
        while True:
            status, value = await self._ask("POST", path, body, 5.0)
            if status in good or self.now - began > SUBMIT_S:
                return status, value
            await pause(self._reactor, RETRY_S)

    async def live(self, spec: dict[str, Any], cancel_after_s: float | None, again: bool) -> None:
        """One job's user."""
        job = spec["id"]
        body = json.dumps(spec).encode()
        began = self.now
        status, value = await self._insist("/v1/jobs", body, (200, 201, 400, 422))
        if status not in (200, 201):
            if status in (400, 422):
                self._judge.refused(job, status)
            self.gave_up += 1
            return
        self.submit_s.append(self.now - began)
        self._judge.told(job, value["standing"])
        if cancel_after_s is not None:
            self.cancel(job, cancel_after_s)
        if again:
            self._reactor.callLater(12.0, lambda: Deferred.fromCoroutine(self._again(job, body)))
        ended = 0
        while ended < 4:
            await pause(self._reactor, POLL_S)
            await self._poll(job)
            # Also after the end: what was said then must not be taken back.
            ended += self._judge.jobs[job].told in ("done", "cancelled")

    def cancel(self, job: str, after_s: float) -> None:
        """Its user calls it off, if nobody has done so by then."""

        def begin() -> None:
            if self._judge.jobs[job].cancel_asked is None:
                Deferred.fromCoroutine(self._cancel(job))

        self._reactor.callLater(after_s, begin)

    async def _poll(self, job: str) -> None:
        status, value = await self._ask("GET", f"/v1/jobs/{job}", b"", 2.0)
        self._judge.polled(job, status or None)
        if status == 200:
            self._judge.told(job, value["standing"])

    async def _again(self, job: str, body: bytes) -> None:
        status, value = await self._insist("/v1/jobs", body, (200, 201, 400, 422))
        if status in (200, 201):
            self._judge.told(job, value["standing"])
        elif status in (400, 422):
            self._judge.refused(job, status)

    async def _cancel(self, job: str) -> None:
        self._judge.cancelling(job)
        status, value = await self._insist(f"/v1/jobs/{job}/withdraw", b"", (200, 404))
        if status == 404:
            self._judge.polled(job, 404)
        elif status == 200:
            self._judge.told(job, value["standing"])

    async def stray(self, job: str) -> None:
        """Asks for a job that nobody submitted."""
        status, _ = await self._ask("GET", f"/v1/jobs/{job}", b"", 2.0)
        self._judge.unknown(job, status)
