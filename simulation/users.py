"""Simulated users, who submit jobs, retry, poll, cancel, and record all responses with the judge.

Each request goes to a random node, as behind a load balancer that has not yet detected unhealthy nodes; if no
connection is made, the next node is tried.
"""

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
SUBMIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 5.0
CLOSE_QUERY_DELAYS_S = (0.0, 0.004, 0.02, 0.1)


class Users:
    """All users of a simulated cluster, with one HTTP client.

    `nodes` holds the API address of each controller by its name.
    """

    def __init__(self, reactor: Reactor, judge: Judge, nodes: dict[str, Address]) -> None:
        self._reactor = reactor
        self._judge = judge
        self._nodes = list(nodes.values())
        self._client = HttpClient(reactor)
        self.submit_s: list[float] = []
        """How long each accepted submission took, in seconds, including retries."""
        self.abandoned_submissions = 0
        self.has_close_queries = False
        """Whether users query all nodes several times within milliseconds whenever a response names a new state."""
        self.close_query_count = 0
        self._submission_bodies: dict[str, bytes] = {}
        self.unusual_responses: Counter[tuple[str, int]] = Counter()
        """Number of responses by kind of request and HTTP status."""

    @property
    def now(self) -> float:
        """The simulated time in seconds."""
        return self._reactor.seconds()

    async def _send_request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, Any]:
        """Return the HTTP status and the decoded body; status 0: three nodes refused the connection, or no response."""
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

    def _on_state(self, job: str, standing: str, sent_at: float) -> None:
        """Record the state that a response named; a new state may start queries at all nodes."""
        record = self._judge.jobs[job]
        is_new = standing != record.told
        self._judge.record_state(job, standing, sent_at if self.has_close_queries else None)
        if is_new and self.has_close_queries:
            for delay_s in CLOSE_QUERY_DELAYS_S:
                for address in self._nodes:
                    self._reactor.callLater(
                        delay_s, lambda at=address: Deferred.fromCoroutine(self._query_node(job, at))
                    )

    async def _query_node(self, job: str, address: Address) -> None:
        """Query the job at one node, and repeat its submission there."""
        sent_at = self.now - START
        for method, path, body in (("GET", f"/v1/jobs/{job}", b""), ("POST", "/v1/jobs", self._submission_bodies[job])):
            try:
                status, content = await self._client.call(method, address, path, body, 2.0)
            except (ConnectionFailedError, NoResponseError):
                continue
            self.close_query_count += 1
            if status in (400, 404, 422):
                self._judge.record_violation("forgotten", f"{job}: a close look got {status}")
            elif status in (200, 201):
                self._judge.record_state(job, json.loads(content)["standing"], sent_at)

    async def send_unusual_requests(self, address: Address, spec: dict[str, Any]) -> None:
        """Send unusual requests to one node, and check each response against the statuses that are allowed for it."""
        job = spec["id"]
        record = self._judge.jobs[job]
        is_accepted = record.accepted_at is not None
        last_state = record.told
        fits_nowhere = spec | {"id": f"wk-8{job[3:]}", "cpus": 9000.0}
        lacks = {key: value for key, value in spec.items() if key != "cpus"} | {"id": f"wk-7{job[3:]}"}
        requests: list[tuple[str, str, dict[str, Any] | None, tuple[int, ...]]] = [
            ("fits nowhere", "/v1/jobs", fits_nowhere, (422, 503)),
            ("lacks a field", "/v1/jobs", lacks, (400, 503)),
        ]
        if is_accepted:
            requests.append(("again", "/v1/jobs", spec, (200, 503)))
        if last_state == "done":
            requests.append(("cancel of what is done", f"/v1/jobs/{job}/withdraw", None, (200, 503)))
        for request, path, value, allowed in requests:
            sent_at = self.now - START
            body = json.dumps(value).encode() if value is not None else b""
            try:
                status, content = await self._client.call("POST", address, path, body, 5.0)
            except (ConnectionFailedError, NoResponseError):
                continue
            self.unusual_responses[request, status] += 1
            if status not in allowed:
                self._judge.record_violation(
                    "forgotten" if request == "again" else "odd", f"{job}, {request}: got {status}"
                )
            elif status == 200:
                self._judge.record_state(job, json.loads(content)["standing"], sent_at)

    async def _retry_until_final(self, path: str, body: bytes, final: tuple[int, ...]) -> tuple[int, Any]:
        """Repeat a submission or cancellation until its status is in `final` or `SUBMIT_TIMEOUT_S` have passed."""
        started_at = self.now
        while True:
            status, value = await self._send_request("POST", path, body, 5.0)
            if status in final or self.now - started_at > SUBMIT_TIMEOUT_S:
                return status, value
            await pause(self._reactor, RETRY_S)

    async def follow_job(self, spec: dict[str, Any], cancel_after_s: float | None, resubmits: bool) -> None:
        """Act as the user of one job: submit it, poll it until after its end, and cancel or resubmit it if asked to."""
        job = spec["id"]
        body = self._submission_bodies[job] = json.dumps(spec).encode()
        started_at = self.now
        status, value = await self._retry_until_final("/v1/jobs", body, (200, 201, 400, 422))
        if status not in (200, 201):
            if status in (400, 422):
                self._judge.record_rejection(job, status)
            self.abandoned_submissions += 1
            return
        self.submit_s.append(self.now - started_at)
        self._on_state(job, value["standing"], started_at - START)
        if cancel_after_s is not None:
            self.cancel(job, cancel_after_s)
        if resubmits:
            self._reactor.callLater(12.0, lambda: Deferred.fromCoroutine(self._resubmit(job, body)))
        polls_after_end = 0
        while polls_after_end < 4:
            await pause(self._reactor, POLL_INTERVAL_S)
            await self._poll(job)
            # Polls go on after the end, because a final state must never change.
            polls_after_end += self._judge.jobs[job].told in ("done", "cancelled")

    def cancel(self, job: str, after_s: float) -> None:
        """Request the job's cancellation after a delay, unless it was requested before."""

        def request_once() -> None:
            if self._judge.jobs[job].cancel_asked is None:
                Deferred.fromCoroutine(self._cancel(job))

        self._reactor.callLater(after_s, request_once)

    async def _poll(self, job: str) -> None:
        sent_at = self.now - START
        status, value = await self._send_request("GET", f"/v1/jobs/{job}", b"", 2.0)
        self._judge.record_poll(job, status or None)
        if status == 200:
            self._on_state(job, value["standing"], sent_at)

    async def _resubmit(self, job: str, body: bytes) -> None:
        sent_at = self.now - START
        status, value = await self._retry_until_final("/v1/jobs", body, (200, 201, 400, 422))
        if status in (200, 201):
            self._on_state(job, value["standing"], sent_at)
        elif status in (400, 422):
            self._judge.record_rejection(job, status)

    async def _cancel(self, job: str) -> None:
        self._judge.record_cancel_request(job)
        sent_at = self.now - START
        status, value = await self._retry_until_final(f"/v1/jobs/{job}/withdraw", b"", (200, 404))
        if status == 404:
            self._judge.record_poll(job, 404)
        elif status == 200:
            self._on_state(job, value["standing"], sent_at)

    async def query_unknown_job(self, job: str) -> None:
        """Query a job that no user submitted."""
        status, _ = await self._send_request("GET", f"/v1/jobs/{job}", b"", 2.0)
        self._judge.unknown(job, status)
