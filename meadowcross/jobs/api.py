"""The user API, served by every node: submit, query, cancel, readiness."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec

from meadowcross.common.clock import Clock
from meadowcross.common.http import Router, ServerResponse, error_response
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, JobId, Seconds, WallTime
from meadowcross.jobs.admission import JobAdmission
from meadowcross.jobs.collaborators import JobEvents, LocalReplica, PeerQueries, RequestForwarder, StoreIntegrity
from meadowcross.jobs.job_reader import JobReader, OpenJob, absence_conditions
from meadowcross.jobs.messages import (
    EndedRecord,
    ForecastQuantiles,
    JobProgress,
    JobRecord,
    JobResponse,
    JobSpec,
    JobState,
    decode_record,
    decode_spec,
    encode,
    ended_key,
    open_key,
)
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.messages import Condition, Put, encode_raw
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("jobs")

RETRY_AFTER_S = 1
CANCEL_WAIT_S: Seconds = 2.5
"""How long a request to cancel waits for the end of its job; its user waits for twice as long."""
TRANSACTION_TIMEOUT_S: Seconds = 1.5
UNREADY_AFTER_S: Seconds = 1.0
"""A node that is cut off from the store for so long is no longer ready."""
MAX_OPEN_REQUESTS = 300
MAX_CANCEL_TRIES = 3
STORED_TASK_BYTES = 64
"""The most that one task takes in a stored chunk."""


def job_response(
    job: JobId,
    state: JobState,
    done: int,
    running: int,
    status: int = 200,
    forecast_s: ForecastQuantiles | None = None,
) -> ServerResponse:
    """Return the answer that describes a job."""
    rounded_s: ForecastQuantiles | None = None
    if forecast_s is not None:
        early_s, median_s, late_s = forecast_s
        rounded_s = (round(early_s, 1), round(median_s, 1), round(late_s, 1))
    return ServerResponse(status, encode(JobResponse(job, state, done, running, rounded_s)) + b"\n")


def is_job_id(text: str) -> bool:
    """Whether the text has the form of a job's id."""
    prefix, _, number = text.partition("-")
    return prefix == "wk" and number.isascii() and number.isdigit() and 6 <= len(number) <= 18


class JobApi:
    """Serves the users' requests from the store, or through a peer where only this node is cut off from it."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        admission: JobAdmission,
        peers: PeerQueries,
        integrity: StoreIntegrity,
        replica: LocalReplica,
        events: JobEvents,
    ) -> None:
        self._clock = clock
        self._store = store
        self._admission = admission
        self._peers = peers
        self._integrity = integrity
        self._replica = replica
        self._events = events
        self._reader = JobReader(clock, store, replica.get, events.on_missing)
        self.on_ended_stored = self._reader.on_ended_stored
        self._open_requests = Counter[str]()
        self._chunk_size = max(1, store.max_value_bytes // STORED_TASK_BYTES)

    def add_routes(self, router: Router) -> None:
        """Add the API's paths."""
        router.add("POST", r"/v1/jobs", self.build_handler("submit"))
        router.add("GET", r"/v1/jobs/([^/]+)", self.build_handler("query"))
        router.add("POST", r"/v1/jobs/([^/]+)/withdraw", self.build_handler("cancel"))
        router.add("GET", r"/ready", self.ready)

    # Where a request is served

    def build_handler(self, operation: str) -> Callable[..., Awaitable[ServerResponse]]:
        """Return the handler of an operation, which bounds its work and answers 503 at once without the store."""

        async def handle(body: bytes, job: str = "") -> ServerResponse:
            # The limit is by operation, so that many queries keep nobody from submitting.
            if self._open_requests[operation] >= MAX_OPEN_REQUESTS:
                return error_response(503, "too many requests are open", RETRY_AFTER_S)
            if (unavailable_reason := self._integrity.unavailable_reason()) is not None:
                return error_response(503, unavailable_reason, RETRY_AFTER_S)
            self._open_requests[operation] += 1
            try:
                return await self._serve_or_forward(operation, job, body)
            finally:
                self._open_requests[operation] -= 1

        return handle

    async def _serve_or_forward(self, operation: str, job: str, body: bytes) -> ServerResponse:
        if (forward := self._peers.leader_forwarder()) is not None:
            return await _forward_request(forward, operation, job, body)
        if self._is_isolated():
            return await _forward_request(self._peers.forward, operation, job, body)
        response = await self.serve(operation, job, body)
        if response.status == 503 and self._is_isolated():
            return await _forward_request(self._peers.forward, operation, job, body)
        return response

    def _is_isolated(self) -> bool:
        """Whether the state service does not answer this node and does answer others."""
        return self._store.failing_since is not None and (self._peers.has_store() or self._peers.has_unknown_leader())

    async def serve(self, operation: str, job: str, body: bytes) -> ServerResponse:
        """Serve a request by this node itself, for its own users or a peer's."""
        try:
            match operation:
                case "submit":
                    return await self.submit(body)
                case "query":
                    return await self.query(job)
                case "cancel":
                    return await self.cancel(job)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.debug("request failed operation=%s job=%s error=%s", operation, job, error)
            return error_response(503, "the state service gives no answer", RETRY_AFTER_S)
        return error_response(404, "no such operation")

    def ready(self, _body: bytes) -> ServerResponse:
        """Answer the load balancer: 200 if users may be sent here, else 503.

        In an outage of all nodes each stays ready and answers users at once when to come back; a node that alone is
        cut off from the store does not, since users do better elsewhere.
        """
        if not self._admission.is_ready():
            return error_response(503, "machine types are not known yet", RETRY_AFTER_S)
        if not self._integrity.is_known():
            return error_response(503, "the state service was not read yet", RETRY_AFTER_S)
        failing_since = self._store.failing_since
        if (
            failing_since is not None
            and self._clock.seconds() - failing_since > UNREADY_AFTER_S
            and self._is_isolated()
        ):
            return error_response(503, "the state service does not answer this node", RETRY_AFTER_S)
        return ServerResponse(200, b'{"ready":true,"standby":"%s"}\n' % self._replica.state().encode())

    # Submit

    async def submit(self, body: bytes) -> ServerResponse:
        """Accept a job: 201, or 200 for a repeat; 400 if it is malformed, 422 if it can never run."""
        try:
            spec = decode_spec(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return error_response(400, str(error))
        job = JobId(spec.id)
        if not self._admission.is_ready():
            return error_response(503, "machine types are not known yet", RETRY_AFTER_S)
        rejection = self._admission.rejection_reason(spec)
        if rejection is not None:
            # A repeated submission of an accepted job is never rejected.
            return await self._describe_job(job) or error_response(422, rejection)
        if (ended := self._reader.find_final(job)) is not None:
            return _ended_response(job, ended)
        value = encode_raw(JobRecord(spec, WallTime(self._clock.seconds()), self._chunk_size))
        if len(bytes(value)) > self._store.max_value_bytes:
            return error_response(400, "the job's description is too long")
        return await self._store_submission(spec, value)

    async def _store_submission(self, spec: JobSpec, value: msgspec.Raw) -> ServerResponse:
        job = JobId(spec.id)
        key = open_key(job)
        try:
            revision = await self._store.transact(
                absence_conditions(job), [Put(key, value)], RequestPriority.USER, TRANSACTION_TIMEOUT_S
            )
        except ConflictError:
            return await self._describe_job(job) or error_response(503, "the job just changed", RETRY_AFTER_S)
        except IndeterminateResultError:
            response = await self._describe_job(job)
            if response is None:
                raise
            return response
        self._reader.remember_open(job, revision, spec.tasks)
        self._events.on_accepted(key, value, revision)
        _log_accepted(spec)
        return job_response(job, JobState.PENDING, 0, 0, 201)

    # Query

    async def query(self, job_text: str) -> ServerResponse:
        """Describe a job: 200, or 404 if it was certainly never accepted."""
        if not is_job_id(job_text):
            return error_response(404, "no such job")
        job = JobId(job_text)
        response = await self._describe_job(job)
        if response is not None:
            return response
        peer_response = await self._peers.ask_peer_with_history(job)
        if peer_response is not None and peer_response.status == 200:
            return peer_response
        if self._integrity.is_job_proven(job):
            # Its submission is lost, its tasks are not: it is neither unknown nor, without proof, over.
            return job_response(job, JobState.RUNNING, 0, 0)
        return self._unknown_job()

    async def _describe_job(self, job: JobId) -> ServerResponse | None:
        """Return the answer for a job that the store knows, else None.

        The leader's counts are asked for first, for which it may take its time: the read decides the state, and
        nothing is awaited after it. Otherwise the answer could be older than what another node told the user.
        """
        progress = await self._peers.progress(job) if self._reader.find_final(job) is None else None
        found = await self._reader.find(job)
        if found is None:
            return None
        if isinstance(found, EndedRecord):
            return _ended_response(job, found)
        if found.is_unrecorded:
            # The present leader may have been elected since, and learns of it from nobody else.
            self._events.on_cancelled(job, found.mod_revision, True)
            return job_response(job, JobState.RUNNING, 0, 0)
        return _open_response(job, found, progress or JobProgress(0, 0))

    def _unknown_job(self) -> ServerResponse:
        """Return the answer for a job that the store does not know.

        After a loss, or before it is known that there was none, it may have been accepted all the same: then nobody
        is told that it was not.
        """
        if self._integrity.may_unknown_job_exist():
            return error_response(503, "the job is not known, and not all that was lost is", RETRY_AFTER_S)
        return error_response(404, "no such job")

    # Cancel

    async def cancel(self, job_text: str) -> ServerResponse:
        """Cancel a job: 200 with its final state once its tasks are proven gone, until then 503."""
        if not is_job_id(job_text):
            return error_response(404, "no such job")
        job = JobId(job_text)
        deadline_at = Instant(self._clock.seconds() + CANCEL_WAIT_S)
        for _ in range(MAX_CANCEL_TRIES):
            response = await self._try_cancel(job, deadline_at)
            if response is not None:
                return response
        return error_response(503, "the job is changing", RETRY_AFTER_S)

    async def _try_cancel(self, job: JobId, deadline_at: Instant) -> ServerResponse | None:
        """Cancel the job as it is read now; return None if that has to be tried again."""
        found = await self._reader.find(job)
        if found is None:
            if not self._integrity.is_job_proven(job):
                return self._unknown_job()
            try:
                return await self._cancel_unrecorded(job, deadline_at)
            except (ConflictError, IndeterminateResultError):
                return None
        if isinstance(found, EndedRecord):
            return job_response(job, found.state, 0, 0)
        if found.is_cancelled:
            return await self._await_cancellation(job, found, deadline_at)
        return await self._cancel_open(job, deadline_at)

    async def _cancel_open(self, job: JobId, deadline_at: Instant) -> ServerResponse | None:
        key = open_key(job)
        item = await self._store.get(key)
        if item is None:
            return None
        record = decode_record(item.value)
        if record.cancelled_at is not None:
            return await self._await_cancellation(job, self._reader.remember_open_item(job, item), deadline_at)
        record.cancelled_at = WallTime(self._clock.seconds())
        value = encode_raw(record)
        try:
            revision = await self._store.transact(
                [Condition(key, item.mod_revision)], [Put(key, value)], RequestPriority.USER, TRANSACTION_TIMEOUT_S
            )
        except (ConflictError, IndeterminateResultError):
            # A lost race, or no answer: only a fresh read tells what the job is now.
            return None
        log.info("job %s cancelled", job)
        self._events.on_accepted(key, value, revision)
        open_job = self._reader.remember_open(job, revision, record.spec.tasks, True)
        return await self._await_cancellation(job, open_job, deadline_at)

    async def _cancel_unrecorded(self, job: JobId, deadline_at: Instant) -> ServerResponse:
        """Cancel a job whose submission is lost while workers run its tasks.

        An end that is not proven is stored, so that the tasks are stopped as any ended job's are. The leader must
        be told of it, since its watch does not report ended keys; it proves the end later.
        """
        ended = EndedRecord(JobState.CANCELLED, 0, is_proven=False)
        revision = await self._store.transact(
            absence_conditions(job),
            [Put(ended_key(job), encode_raw(ended))],
            RequestPriority.USER,
            TRANSACTION_TIMEOUT_S,
        )
        log.info("job %s, known by its tasks only, cancelled", job)
        open_job = OpenJob(revision, 0, is_cancelled=True, is_unrecorded=True)
        return await self._await_cancellation(job, open_job, deadline_at)

    async def _await_cancellation(self, job: JobId, open_job: OpenJob, deadline_at: Instant) -> ServerResponse:
        """Answer once the end of a job is stored whose cancel is stored, or that it has to be asked again.

        A stored cancel is no end: tasks may run on on a machine that hangs, or under a leader that does not know of
        the cancel, and a start that was sent may still arrive. The end is stored once all tasks are proven gone.
        """
        self._events.on_cancelled(job, open_job.mod_revision, open_job.is_unrecorded)
        ended = await self._reader.wait_for_end(job, deadline_at - self._clock.seconds())
        if ended is None:
            log.info("job %s: its cancel is stored and not told yet, as its tasks are not proven gone", job)
            return error_response(503, "the cancel is stored, and its tasks are not proven gone", RETRY_AFTER_S)
        log.info("job %s: its user is told of the cancel", job)
        return job_response(job, ended.state, 0, 0)


async def _forward_request(forward: RequestForwarder, operation: str, job: str, body: bytes) -> ServerResponse:
    """Let a peer answer. What was begun here may be repeated there, as by a user's retry."""
    try:
        body.decode()
    except UnicodeDecodeError as error:
        return error_response(400, str(error))
    response = await forward(operation, job, body)
    return response or error_response(503, "nobody who can answer does", RETRY_AFTER_S)


def _ended_response(job: JobId, ended: EndedRecord) -> ServerResponse:
    done_count = ended.task_count if ended.state is JobState.DONE else 0
    return job_response(job, ended.state, done_count, 0)


def _open_response(job: JobId, open_job: OpenJob, progress: JobProgress) -> ServerResponse:
    done_count = progress.done_count
    if progress.running_count == 0:
        # If all tasks are done but the end is not stored, the job is not done for its user.
        done_count = min(done_count, open_job.task_count - 1)
    state = JobState.RUNNING if progress.running_count else JobState.PENDING
    return job_response(job, state, done_count, progress.running_count, forecast_s=progress.forecast_s)


def _log_accepted(spec: JobSpec) -> None:
    log.info(
        "job %s accepted: %s of %s, %s, %d tasks of %g CPUs and %g GB, about %.0f s, due after %.0f s",
        spec.id,
        spec.job_class,
        spec.team,
        spec.priority.value,
        spec.tasks,
        spec.cpus,
        spec.memory_gb,
        spec.estimate_s,
        spec.deadline_s or 0.0,
    )
