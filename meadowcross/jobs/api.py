"""The user API, served by every controller: submit, query and cancel jobs, and the readiness check."""

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
"""How long a cancel request waits for its job's end; the user's client waits for twice as long."""
TRANSACTION_TIMEOUT_S: Seconds = 1.5
UNREADY_AFTER_S: Seconds = 1.0
"""A controller that has been cut off from the store for this time is no longer ready."""
MAX_OPEN_REQUESTS = 300
MAX_CANCEL_ATTEMPTS = 3
STORED_TASK_BYTES = 64
"""Upper bound of the size of one task's entry in a stored chunk."""


def job_response(
    job: JobId,
    state: JobState,
    done_count: int,
    running_count: int,
    status: int = 200,
    forecast_s: ForecastQuantiles | None = None,
) -> ServerResponse:
    """Return the response that describes a job, with the forecast rounded to 0.1 s."""
    rounded_s: ForecastQuantiles | None = None
    if forecast_s is not None:
        early_s, median_s, late_s = forecast_s
        rounded_s = (round(early_s, 1), round(median_s, 1), round(late_s, 1))
    return ServerResponse(status, encode(JobResponse(job, state, done_count, running_count, rounded_s)) + b"\n")


def is_job_id(text: str) -> bool:
    """Whether the text has the form of a job's id: `wk-` and 6 to 18 decimal digits."""
    prefix, _, number = text.partition("-")
    return prefix == "wk" and number.isascii() and number.isdigit() and 6 <= len(number) <= 18


class JobApi:
    """Serves users' requests from the store, or through a peer if only this controller is cut off from the store."""

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
        """Register the API's paths with the router."""
        router.add("POST", r"/v1/jobs", self.build_handler("submit"))
        router.add("GET", r"/v1/jobs/([^/]+)", self.build_handler("query"))
        router.add("POST", r"/v1/jobs/([^/]+)/withdraw", self.build_handler("cancel"))
        router.add("GET", r"/ready", self.ready)

    # Serve locally or forward

    def build_handler(self, operation: str) -> Callable[..., Awaitable[ServerResponse]]:
        """Return an operation's handler, which responds 503 at once if too many requests are open or it can't serve."""

        async def handle(body: bytes, job: str = "") -> ServerResponse:
            # Each operation has a limit of its own, so that a flood of queries does not block submissions.
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
        """Whether the store fails to respond to this controller while it responds to others."""
        return self._store.failing_since is not None and (self._peers.has_store() or self._peers.has_unknown_leader())

    async def serve(self, operation: str, job: str, body: bytes) -> ServerResponse:
        """Serve a request on this controller, for its own users or for a peer.

        Returns 503 if the store is unavailable, 404 for an unknown operation.
        """
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
        """Respond to the load balancer's health check: 200 if this controller can serve users, else 503.

        If the store is unavailable to all controllers, all stay ready and respond 503 with a retry time at once. A
        controller that alone is cut off from the store is not ready, because other controllers can serve its users.
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
        """Accept a job: 201, or 200 for a resubmission; 400 if it is malformed, 422 if it can never run."""
        try:
            spec = decode_spec(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return error_response(400, str(error))
        job = JobId(spec.id)
        if not self._admission.is_ready():
            return error_response(503, "machine types are not known yet", RETRY_AFTER_S)
        rejection = self._admission.rejection_reason(spec)
        if rejection is not None:
            # A resubmission of an accepted job is never rejected, even if the job would be rejected now.
            return await self._describe_job(job) or error_response(422, rejection)
        if (ended_record := self._reader.find_final(job)) is not None:
            return _ended_response(job, ended_record)
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
        self._reader.cache_open(job, revision, spec.tasks)
        self._events.on_accepted(key, value, revision)
        _log_accepted(spec)
        return job_response(job, JobState.PENDING, 0, 0, 201)

    # Query

    async def query(self, job_text: str) -> ServerResponse:
        """Describe a job: 200, or 404 if it was certainly never accepted; 503 if that can't be decided."""
        if not is_job_id(job_text):
            return error_response(404, "no such job")
        job = JobId(job_text)
        response = await self._describe_job(job)
        if response is not None:
            return response
        peer_response = await self._peers.query_peer_with_history(job)
        if peer_response is not None and peer_response.status == 200:
            return peer_response
        if self._integrity.has_reported_tasks(job):
            # The submission record is lost, but workers had tasks of the job: it exists, and its end is not proven.
            return job_response(job, JobState.RUNNING, 0, 0)
        return self._unknown_job_response()

    async def _describe_job(self, job: JobId) -> ServerResponse | None:
        """Return the response for a job that has a record in the store, or None for any other job.

        The leader's task counts are requested before the store is read, as the leader may respond late. The store
        read decides the state, and nothing is awaited after it; otherwise this response could be older than a
        response that the user already has from another controller.
        """
        progress = await self._peers.progress(job) if self._reader.find_final(job) is None else None
        lookup_result = await self._reader.find(job)
        if lookup_result is None:
            return None
        if isinstance(lookup_result, EndedRecord):
            return _ended_response(job, lookup_result)
        if lookup_result.is_unrecorded:
            # A leader that was elected after the cancellation receives it from no other source.
            self._events.on_cancelled(job, lookup_result.mod_revision, True)
            return job_response(job, JobState.RUNNING, 0, 0)
        return _open_response(job, lookup_result, progress or JobProgress(0, 0))

    def _unknown_job_response(self) -> ServerResponse:
        """Return the response for a job without a record in the store.

        After a data loss, or while a data loss is not ruled out, the job may have been accepted. The response is then
        503 instead of 404.
        """
        if self._integrity.may_unknown_job_exist():
            return error_response(503, "the job is not known, and not all that was lost is", RETRY_AFTER_S)
        return error_response(404, "no such job")

    # Cancel

    async def cancel(self, job_text: str) -> ServerResponse:
        """Cancel a job: 200 with its final state once its tasks are proven gone, 503 before, 404 if it is unknown."""
        if not is_job_id(job_text):
            return error_response(404, "no such job")
        job = JobId(job_text)
        deadline_at = Instant(self._clock.seconds() + CANCEL_WAIT_S)
        for _ in range(MAX_CANCEL_ATTEMPTS):
            response = await self._try_cancel(job, deadline_at)
            if response is not None:
                return response
        return error_response(503, "the job is changing", RETRY_AFTER_S)

    async def _try_cancel(self, job: JobId, deadline_at: Instant) -> ServerResponse | None:
        """Cancel the job in its present state; return None if the job changed meanwhile, to be tried again."""
        lookup_result = await self._reader.find(job)
        if lookup_result is None:
            if not self._integrity.has_reported_tasks(job):
                return self._unknown_job_response()
            try:
                return await self._cancel_unrecorded(job, deadline_at)
            except (ConflictError, IndeterminateResultError):
                return None
        if isinstance(lookup_result, EndedRecord):
            return job_response(job, lookup_result.state, 0, 0)
        if lookup_result.is_cancelled:
            return await self._await_cancellation(job, lookup_result, deadline_at)
        return await self._cancel_open(job, deadline_at)

    async def _cancel_open(self, job: JobId, deadline_at: Instant) -> ServerResponse | None:
        key = open_key(job)
        item = await self._store.get(key)
        if item is None:
            return None
        record = decode_record(item.value)
        if record.cancelled_at is not None:
            return await self._await_cancellation(job, self._reader.cache_open_item(job, item), deadline_at)
        record.cancelled_at = WallTime(self._clock.seconds())
        value = encode_raw(record)
        try:
            revision = await self._store.transact(
                [Condition(key, item.mod_revision)], [Put(key, value)], RequestPriority.USER, TRANSACTION_TIMEOUT_S
            )
        except (ConflictError, IndeterminateResultError):
            # The job changed, or the store did not respond: only another read shows the job's present state.
            return None
        log.info("cancellation stored job=%s", job)
        self._events.on_accepted(key, value, revision)
        open_job = self._reader.cache_open(job, revision, record.spec.tasks, True)
        return await self._await_cancellation(job, open_job, deadline_at)

    async def _cancel_unrecorded(self, job: JobId, deadline_at: Instant) -> ServerResponse:
        """Cancel an unrecorded job: its submission record is lost while workers run its tasks.

        An unproven end is stored, so that the tasks are stopped like those of any ended job. The leader must be
        notified, since its watch does not cover ended keys; the leader proves the end later.
        """
        ended_record = EndedRecord(JobState.CANCELLED, 0, is_proven=False)
        revision = await self._store.transact(
            absence_conditions(job),
            [Put(ended_key(job), encode_raw(ended_record))],
            RequestPriority.USER,
            TRANSACTION_TIMEOUT_S,
        )
        log.info("cancellation stored for unrecorded job job=%s", job)
        open_job = OpenJob(revision, 0, is_cancelled=True, is_unrecorded=True)
        return await self._await_cancellation(job, open_job, deadline_at)

    async def _await_cancellation(self, job: JobId, open_job: OpenJob, deadline_at: Instant) -> ServerResponse:
        """Wait until the end of a cancelled job is stored; respond 503 if it is not stored by `deadline_at`.

        A stored cancellation does not end the job: its tasks may still run on a machine that hangs, or under a leader
        without the cancellation, and a start command that was sent may still arrive. The end is stored once all tasks
        are proven gone.
        """
        self._events.on_cancelled(job, open_job.mod_revision, open_job.is_unrecorded)
        ended_record = await self._reader.wait_for_end(job, deadline_at - self._clock.seconds())
        if ended_record is None:
            log.info("cancellation pending, tasks not proven gone job=%s", job)
            return error_response(503, "the cancel is stored, and its tasks are not proven gone", RETRY_AFTER_S)
        log.info("cancellation confirmed to user job=%s", job)
        return job_response(job, ended_record.state, 0, 0)


async def _forward_request(forward: RequestForwarder, operation: str, job: str, body: bytes) -> ServerResponse:
    """Return a peer's response, or 503 without one.

    The peer may repeat steps that this controller has begun; that has the same effect as a retry by the user.
    """
    try:
        body.decode()
    except UnicodeDecodeError as error:
        return error_response(400, str(error))
    response = await forward(operation, job, body)
    return response or error_response(503, "nobody who can answer does", RETRY_AFTER_S)


def _ended_response(job: JobId, ended_record: EndedRecord) -> ServerResponse:
    done_count = ended_record.task_count if ended_record.state is JobState.DONE else 0
    return job_response(job, ended_record.state, done_count, 0)


def _open_response(job: JobId, open_job: OpenJob, progress: JobProgress) -> ServerResponse:
    done_count = progress.done_count
    if progress.running_count == 0:
        # A job whose end is not stored is not done for its user, even if all its tasks are.
        done_count = min(done_count, open_job.task_count - 1)
    state = JobState.RUNNING if progress.running_count else JobState.PENDING
    return job_response(job, state, done_count, progress.running_count, forecast_s=progress.forecast_s)


def _log_accepted(spec: JobSpec) -> None:
    log.info(
        "job accepted job=%s class=%s team=%s priority=%s tasks=%d cpus=%g memory_gb=%g "
        "estimate_s=%.0f deadline_s=%.0f",
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
