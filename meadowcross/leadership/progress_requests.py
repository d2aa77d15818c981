"""Asks the leader for jobs' progress, many jobs in one request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.types import JobId, NodeName
from meadowcross.jobs.messages import JobProgress

MAX_JOBS_PER_REQUEST = 1_000
"""So that the response fits a netstring."""

SendProgressRequest = Callable[[NodeName, list[JobId]], Awaitable[dict[JobId, JobProgress]]]
"""Asks a node for the progress of jobs; the result lacks those that it doesn't know or doesn't answer for."""


class ProgressRequests:
    """What is asked in one turn of the reactor goes as one request."""

    def __init__(self, clock: Clock, send: SendProgressRequest) -> None:
        self._clock = clock
        self._send = send
        self._waiting: dict[JobId, list[Deferred[JobProgress | None]]] = {}

    def request(self, leader: NodeName, job: JobId) -> Deferred[JobProgress | None]:
        """The leader's counts, or None where it doesn't know the job or doesn't answer soon."""
        result: Deferred[JobProgress | None] = Deferred()
        if not self._waiting:
            self._clock.callLater(0, lambda: Deferred.fromCoroutine(self._send_waiting(leader)))
        self._waiting.setdefault(job, []).append(result)
        return result

    async def _send_waiting(self, leader: NodeName) -> None:
        waiting, self._waiting = self._waiting, {}
        progress = await self._send(leader, list(waiting)[:MAX_JOBS_PER_REQUEST])
        for job, results in waiting.items():
            for result in results:
                result.callback(progress.get(job))
