"""Requests the progress of jobs from the leader, many jobs in one message."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock
from meadowcross.common.types import JobId, NodeName
from meadowcross.jobs.messages import JobProgress

MAX_JOBS_PER_REQUEST = 1_000
"""Limit with which the response fits into a netstring of the peer connection."""

SendProgressRequest = Callable[[NodeName, list[JobId]], Awaitable[dict[JobId, JobProgress]]]
"""Requests the progress of jobs from a node; the result lacks unknown jobs, and is empty without a response."""


class ProgressRequests:
    """Combines all requests of one reactor turn into one message."""

    def __init__(self, clock: Clock, send: SendProgressRequest) -> None:
        self._clock = clock
        self._send = send
        self._waiting: dict[JobId, list[Deferred[JobProgress | None]]] = {}

    def request(self, leader: NodeName, job: JobId) -> Deferred[JobProgress | None]:
        """Return the progress of the job, or None if the leader does not know the job or does not respond in time."""
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
