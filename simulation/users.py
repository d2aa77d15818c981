"""Users: they submit, retry, ask, cancel, and remember what they were told. Each request goes to a node drawn anew, as
behind a load balancer that has not noticed yet which are unwell; where no connection comes about, to the next."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from twisted.internet.defer import Deferred

from meadowcross.common.clock import pause
from meadowcross.common.http import ConnectionFailedError, HttpClient, NoResponseError
from meadowcross.common.types import Address
from simulation.judge import Judge
from simulation.net import START, Reactor

RETRY_S = 1.0
SUBMIT_S = 60.0
POLL_S = 5.0
LOOK_AFTER_S = (0.0, 0.004, 0.02, 0.1)


class Users:
    def __init__(self, reactor: Reactor, judge: Judge, nodes: dict[str, Address]) -> None:
        self._reactor = reactor
        self._judge = judge
        self._nodes = list(nodes.values())
        self._client = HttpClient(reactor)
        self.submit_s: list[float] = []
        """How long each accepted submission took, retries included."""
        self.gave_up = 0
        self.close_looks = False
        """Users look at all nodes, again and again within milliseconds, whenever they hear something new."""
        self.looked = 0
        self._bodies: dict[str, bytes] = {}
        self.odd_answers: Counter[tuple[str, int]] = Counter()
        """By what was asked, and the status of the answer."""

    @property
    def now(self) -> float:
        return self._reactor.seconds()

    async def _ask(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, Any]:
        nodes = list(self._nodes)
        self._reactor.simulation.random.shuffle(nodes)
        for address in nodes[:3]:
            try:
                status, content = await self._client.call(method, address, path, body, timeout)
            except ConnectionFailedError:
                continue
            except NoResponseError:
                return 0, None
            return status, json.loads(content) if content else None
        return 0, None

    def _told(self, job: str, standing: str, asked: float) -> None:
        """What a user heard; if it is news, they may look closely."""
        seen = self._judge.jobs[job]
        news = standing != seen.told
        self._judge.told(job, standing, asked if self.close_looks else None)
        if news and self.close_looks:
            for after in LOOK_AFTER_S:
                for address in self._nodes:
                    self._reactor.callLater(after, lambda at=address: Deferred.fromCoroutine(self._look(job, at)))

    async def _look(self, job: str, address: Address) -> None:
        """One node is asked, and the submission repeated there."""
        asked = self.now - START
        for method, path, body in (("GET", f"/v1/jobs/{job}", b""), ("POST", "/v1/jobs", self._bodies[job])):
            try:
                status, content = await self._client.call(method, address, path, body, 2.0)
            except (ConnectionFailedError, NoResponseError):
                continue
            self.looked += 1
            if status in (400, 404, 422):
                self._judge.breaks("forgotten", f"{job}: a close look got {status}")
            elif status in (200, 201):
                self._judge.told(job, json.loads(content)["standing"], asked)

    async def odd(self, address: Address, spec: dict[str, Any]) -> None:
        """Requests that are not of the ordinary kind, to one node, each with the answers that it may get."""
        job = spec["id"]
        seen = self._judge.jobs[job]
        known = seen.accepted is not None
        over = seen.told
        fits_nowhere = spec | {"id": f"wk-8{job[3:]}", "cpus": 9000.0}
        lacks = {key: value for key, value in spec.items() if key != "cpus"} | {"id": f"wk-7{job[3:]}"}
        odd: list[tuple[str, str, dict[str, Any] | None, tuple[int, ...]]] = [
            ("fits nowhere", "/v1/jobs", fits_nowhere, (422, 503)),
            ("lacks a field", "/v1/jobs", lacks, (400, 503)),
        ]
        if known:
            odd.append(("again", "/v1/jobs", spec, (200, 503)))
        if over == "done":
            odd.append(("cancel of what is done", f"/v1/jobs/{job}/withdraw", None, (200, 503)))
        for what, path, value, good in odd:
            asked = self.now - START
            body = json.dumps(value).encode() if value is not None else b""
            try:
                status, content = await self._client.call("POST", address, path, body, 5.0)
            except (ConnectionFailedError, NoResponseError):
                continue
            self.odd_answers[what, status] += 1
            if status not in good:
                self._judge.breaks("forgotten" if what == "again" else "odd", f"{job}, {what}: got {status}")
            elif status == 200:
                self._judge.told(job, json.loads(content)["standing"], asked)

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
        body = self._bodies[job] = json.dumps(spec).encode()
        began = self.now
        status, value = await self._insist("/v1/jobs", body, (200, 201, 400, 422))
        if status not in (200, 201):
            if status in (400, 422):
                self._judge.refused(job, status)
            self.gave_up += 1
            return
        self.submit_s.append(self.now - began)
        self._told(job, value["standing"], began - START)
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
        asked = self.now - START
        status, value = await self._ask("GET", f"/v1/jobs/{job}", b"", 2.0)
        self._judge.polled(job, status or None)
        if status == 200:
            self._told(job, value["standing"], asked)

    async def _again(self, job: str, body: bytes) -> None:
        asked = self.now - START
        status, value = await self._insist("/v1/jobs", body, (200, 201, 400, 422))
        if status in (200, 201):
            self._told(job, value["standing"], asked)
        elif status in (400, 422):
            self._judge.refused(job, status)

    async def _cancel(self, job: str) -> None:
        self._judge.cancelling(job)
        asked = self.now - START
        status, value = await self._insist(f"/v1/jobs/{job}/withdraw", b"", (200, 404))
        if status == 404:
            self._judge.polled(job, 404)
        elif status == 200:
            self._told(job, value["standing"], asked)

    async def stray(self, job: str) -> None:
        """Asks for a job that nobody submitted."""
        status, _ = await self._ask("GET", f"/v1/jobs/{job}", b"", 2.0)
        self._judge.unknown(job, status)
