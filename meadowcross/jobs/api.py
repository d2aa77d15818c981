"""The user API, served by any node: submit, query, cancel, readiness."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.clock import Clock
from meadowcross.common.http import Router, ServerResponse, error_response
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import Team
from meadowcross.common.types import EPSILON, JobId, Revision, Seconds, WallTime
from meadowcross.jobs import messages as m
from meadowcross.jobs.job_reader import JobReader, OpenJob, ReplicaLookup
from meadowcross.store import messages as sm
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("jobs")

RETRY_AFTER_S = 1
CANCEL_WAIT_S: Seconds = 2.5
"""A cancel waits so long for the end of its job; its user, for twice as long."""
MAX_OPEN_REQUESTS = 300
MAX_CANCEL_TRIES = 3

ProgressSource = Callable[[JobId], Awaitable[m.JobProgress | None]]
"""The leader's word on an open job; None where it is not known in time."""
AcceptedListener = Callable[[str, msgspec.Raw, Revision], None]
RequestForwarder = Callable[[str, str, bytes], Awaitable[ServerResponse | None]]
"""A peer's answer to an operation, given the job's id where it is not in the body."""


def job_response(
    job: JobId,
    state: m.JobState,
    done: int,
    running: int,
    status: int = 200,
    forecast_s: tuple[float, float, float] | None = None,
) -> ServerResponse:
    rounded_s = (
        (round(forecast_s[0], 1), round(forecast_s[1], 1), round(forecast_s[2], 1)) if forecast_s is not None else None
    )
    return ServerResponse(status, m.encode(m.JobResponse(job, state, done, running, rounded_s)) + b"\n")


def rejection_reason(spec: m.JobSpec, teams: dict[str, Team], types: list[MachineType], zones: list[str]) -> str | None:
    """Why a well-formed job can never run (422), or None."""
    team = teams.get(spec.team)
    if team is None:
        return f"unknown team {spec.team}"
    known_zones = set(zones).union(*(t.zones for t in types))
    if spec.zone is not None and spec.zone not in known_zones:
        return f"unknown zone {spec.zone}"
    fitting = [
        t
        for t in types
        if (spec.types is None or t.name in spec.types)
        and (spec.zone is None or spec.zone in t.zones)
        and spec.cpus <= t.cpus + EPSILON
        and spec.gpus <= t.gpus + EPSILON
        and spec.memory_gb <= t.memory_gb + EPSILON
    ]
    if not fitting:
        return "a task fits no allowed machine type"
    at_once = 1 if spec.kind is m.JobKind.ARRAY else spec.tasks
    for resource, needed, limit in (("cpus", spec.cpus, team.cpus_max), ("gpus", spec.gpus, team.gpus_max)):
        if limit > 0 and needed * at_once > limit + EPSILON:
            return f"needs more {resource} than the team's limit of {limit:g}"
    zones_open = {spec.zone} if spec.zone is not None else set().union(*(t.zones for t in fitting))
    # Half the tasks, rounded up, may be in one zone, so the rest needs another.
    if spec.spread and spec.tasks > 1 and (spec.one_zone or len(zones_open) < 2):
        return "the job's zones can't be spread"
    return None


async def _no_answer(job: JobId) -> ServerResponse | None:
    return None


@dataclass(frozen=True, slots=True)
class StoreTrust:
    """Whether the state service still holds what was stored in it, as far as requests need to know."""

    is_epoch_known: Callable[[], bool] = lambda: True
    """False only until it was read for the first time."""
    closed_reason: Callable[[], str | None] = lambda: None
    """Why no request can be served now."""
    may_lack_jobs: Callable[[], bool] = lambda: False
    leader_forwarder: Callable[[], RequestForwarder | None] = lambda: None
    """How the leader is asked, while only it knows what was gathered of ended jobs."""
    on_accepted: AcceptedListener = lambda key, value, mark: None
    """Told of what was stored for users, ahead of the feed."""
    on_missing: Callable[[JobId], None] = lambda job: None
    """Told of a job that this node saw stored, and that the store does not know."""
    ask_peer_with_history: Callable[[JobId], Awaitable[ServerResponse | None]] = _no_answer
    """What a node that has followed the store for longer says of a job that the store does not know."""
    has_unknown_leader: Callable[[], bool] = lambda: False
    """Whether a worker has shown the token of a leader that we know nothing of: the state service elected it, so
    there is no outage of all, even where no peer can tell us."""
    is_known_by_workers: Callable[[JobId], bool] = lambda job: False
    """Whether machines had tasks of a job whose submission is lost."""
    on_cancelled: Callable[[JobId, Revision, bool], None] = lambda job, mark, unrecorded: None
    """Told of a stored cancel whose tasks are not proven gone, for whoever leads: its version, and whether it is on no
    record but the end's."""


class JobApi:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        teams: list[Team],
        zones: list[str],
        machine_types: Callable[[], list[MachineType]],
        progress: ProgressSource,
        peer_has_store: Callable[[], bool],
        forward: RequestForwarder,
        read_replica: ReplicaLookup = lambda key: None,
        standby_state: Callable[[], str] = lambda: "off",
        trust: StoreTrust | None = None,
    ) -> None:
        self._trust = trust or StoreTrust()
        self._clock = clock
        self._store = store
        self._teams = {team.name: team for team in teams}
        self._zones = zones
        self._machine_types = machine_types
        self._progress = progress
        self._peer_has_store = peer_has_store
        self._forward = forward
        self._reader = JobReader(clock, store, read_replica, self._trust.on_missing)
        self.on_ended_stored = self._reader.on_ended_stored
        self._standby_state = standby_state
        self._open_requests = Counter[str]()
        self._chunk_size = max(1, store.max_value_bytes // 64)

    def add_routes(self, router: Router) -> None:
        router.add("POST", r"/v1/jobs", self._guarded("submit"))
        router.add("GET", r"/v1/jobs/([^/]+)", self._guarded("query"))
        router.add("POST", r"/v1/jobs/([^/]+)/withdraw", self._guarded("cancel"))
        router.add("GET", r"/ready", self.ready)

    def _guarded(self, operation: str) -> Callable[..., Awaitable[ServerResponse]]:
        """Bounded work, and an immediate 503 where the store gives no answer."""

        async def run(body: bytes, job: str = "") -> ServerResponse:
            # By operation, so that a storm of questions keeps nobody from submitting.
            if self._open_requests[operation] >= MAX_OPEN_REQUESTS:
                return error_response(503, "too many requests are open", RETRY_AFTER_S)
            if (closed_reason := self._trust.closed_reason()) is not None:
                return error_response(503, closed_reason, RETRY_AFTER_S)
            self._open_requests[operation] += 1
            try:
                if (forward := self._trust.leader_forwarder()) is not None:
                    return await self._forward_request(operation, job, body, forward)
                answer = None if self._is_isolated() else await self.serve(operation, job, body)
                if answer is None or (answer.status == 503 and self._is_isolated()):
                    return await self._forward_request(operation, job, body)
                return answer
            finally:
                self._open_requests[operation] -= 1

        return run

    def _is_isolated(self) -> bool:
        """Whether the state service gives no answer to this node only."""
        return self._store.failing_since is not None and (self._peer_has_store() or self._trust.has_unknown_leader())

    async def serve(self, operation: str, job: str, body: bytes) -> ServerResponse:
        """By this node itself, for its own users or a peer's."""
        try:
            match operation:
                case "submit":
                    return await self.submit(body)
                case "query":
                    return await self.query(job)
                case "cancel":
                    return await self.cancel(job)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
            log.debug("request refused: %s", error)
            return error_response(503, "the state service gives no answer", RETRY_AFTER_S)
        return error_response(404, "no such operation")

    async def _forward_request(
        self, operation: str, job: str, body: bytes, forward: RequestForwarder | None = None
    ) -> ServerResponse:
        """Only this node is without the store: a peer answers, until the load balancer has
        noticed. Whatever was begun here may be repeated there, as by a user's retry."""
        try:
            body.decode()
        except UnicodeDecodeError as error:
            return error_response(400, str(error))
        answer = await (forward or self._forward)(operation, job, body)
        return answer or error_response(503, "nobody who can answer does", RETRY_AFTER_S)

    def _unknown_job(self) -> ServerResponse:
        """A job that the store does not know. After a loss, or before it is known that there was none, it may
        have been accepted all the same: then nobody is told that it was not."""
        if self._trust.may_lack_jobs():
            return error_response(503, "the job is not known, and not all that was lost is", RETRY_AFTER_S)
        return error_response(404, "no such job")

    def ready(self, body: bytes) -> ServerResponse:
        if not self._machine_types():
            return error_response(503, "machine types are not known yet", RETRY_AFTER_S)
        if not self._trust.is_epoch_known():
            return error_response(503, "the state service was not read yet", RETRY_AFTER_S)
        failing_since = self._store.failing_since
        if failing_since is not None and self._clock.seconds() - failing_since > 1.0 and self._is_isolated():
            # Only this node is without the store: users do better elsewhere. In an outage
            # of all nodes it stays ready, and answers at once when to come back.
            return error_response(503, "the state service does not answer this node", RETRY_AFTER_S)
        return ServerResponse(200, b'{"ready":true,"standby":"%s"}\n' % self._standby_state().encode())

    async def submit(self, body: bytes) -> ServerResponse:
        try:
            spec = m.decode_spec(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return error_response(400, str(error))
        job = JobId(spec.id)
        machine_types = self._machine_types()
        if not machine_types:
            return error_response(503, "machine types are not known yet", RETRY_AFTER_S)
        rejection = rejection_reason(spec, self._teams, machine_types, self._zones)
        if rejection is not None:
            # A repeated submission of an accepted job is never refused.
            return await self._describe_job(job) or error_response(422, rejection)
        if (ended := self._reader.find_final(job)) is not None:
            return job_response(job, ended.state, ended.task_count if ended.state is m.JobState.DONE else 0, 0)
        record = m.JobRecord(spec, WallTime(self._clock.seconds()), self._chunk_size)
        value = sm.encode_raw(record)
        if len(bytes(value)) > self._store.max_value_bytes:
            return error_response(400, "the job's description is too long")
        try:
            revision = await self._store.transact(
                [sm.Condition(m.open_key(job), Revision(0)), sm.Condition(m.ended_key(job), Revision(0))],
                [sm.Put(m.open_key(job), value)],
                RequestPriority.USER,
                1.5,
            )
        except ConflictError:
            return await self._describe_job(job) or error_response(503, "the job just changed", RETRY_AFTER_S)
        except IndeterminateResultError:
            answer = await self._describe_job(job)
            if answer is None:
                raise
            return answer
        self._reader.remember_open(job, revision, spec.tasks)
        self._trust.on_accepted(m.open_key(job), value, revision)
        log.info(
            "job %s accepted: %s of %s, %s, %d tasks of %g CPUs and %g GB, about %.0f s, due after %.0f s",
            job,
            spec.job_class,
            spec.team,
            spec.priority.value,
            spec.tasks,
            spec.cpus,
            spec.memory_gb,
            spec.estimate_s,
            spec.deadline_s or 0.0,
        )
        return job_response(job, m.JobState.PENDING, 0, 0, 201)

    async def _describe_job(self, job: JobId) -> ServerResponse | None:
        # First the counts, for which the leader may take its time: the read decides, and nothing is waited for after
        # it. A question so once got `pending` though its user had heard `cancelled` from another node meanwhile.
        progress = await self._progress(job) if self._reader.find_final(job) is None else None
        found = await self._reader.find(job)
        if found is None:
            return None
        if isinstance(found, m.EndedRecord):
            done = found.task_count if found.state is m.JobState.DONE else 0
            return job_response(job, found.state, done, 0)
        if found.is_unrecorded:
            # Who leads may have come since, and learns of it from nobody else.
            self._trust.on_cancelled(job, found.mod_revision, True)
            return job_response(job, m.JobState.RUNNING, 0, 0)
        done, running, forecast_s = progress or m.JobProgress(0, 0)
        # All tasks done but not yet stored as such: not done for the user.
        done = min(done, found.task_count - 1) if running == 0 else done
        return job_response(
            job, m.JobState.RUNNING if running else m.JobState.PENDING, done, running, forecast_s=forecast_s
        )

    async def query(self, job_text: str) -> ServerResponse:
        if not is_job_id(job_text):
            return error_response(404, "no such job")
        job = JobId(job_text)
        answer = await self._describe_job(job)
        if (
            answer is None
            and (peer_answer := await self._trust.ask_peer_with_history(job)) is not None
            and peer_answer.status == 200
        ):
            return peer_answer
        if answer is None and self._trust.is_known_by_workers(job):
            # Its submission is lost, its tasks are not: neither unknown nor, without proof, over.
            return job_response(job, m.JobState.RUNNING, 0, 0)
        return answer or self._unknown_job()

    async def cancel(self, job_text: str) -> ServerResponse:
        job = JobId(job_text)
        if not is_job_id(job_text):
            return error_response(404, "no such job")
        deadline_at = self._clock.seconds() + CANCEL_WAIT_S
        for _ in range(MAX_CANCEL_TRIES):
            found = await self._reader.find(job)
            if found is None and self._trust.is_known_by_workers(job):
                try:
                    return await self._cancel_unrecorded(job, deadline_at)
                except (ConflictError, IndeterminateResultError):
                    continue
            if found is None:
                return self._unknown_job()
            if isinstance(found, m.EndedRecord):
                return job_response(job, found.state, 0, 0)
            if found.is_cancelled:
                return await self._await_cancellation(job, found, deadline_at)
            item = await self._store.get(m.open_key(job))
            if item is None:
                continue
            record = m.decode_record(item.value)
            if record.cancelled_at is not None:
                return await self._await_cancellation(job, self._reader.remember_open_item(job, item), deadline_at)
            record.cancelled_at = WallTime(self._clock.seconds())
            value = sm.encode_raw(record)
            try:
                revision = await self._store.transact(
                    [sm.Condition(m.open_key(job), item.mod_revision)],
                    [sm.Put(m.open_key(job), value)],
                    RequestPriority.USER,
                    1.5,
                )
            except (ConflictError, IndeterminateResultError):
                # Lost a race, or no answer: only a fresh read tells what the job is now.
                continue
            log.info("job %s cancelled", job)
            self._trust.on_accepted(m.open_key(job), value, revision)
            return await self._await_cancellation(
                job, self._reader.remember_open(job, revision, record.spec.tasks, True), deadline_at
            )
        return error_response(503, "the job is changing", RETRY_AFTER_S)

    async def _await_cancellation(self, job: JobId, open_job: OpenJob, deadline_at: float) -> ServerResponse:
        """Its cancel is stored at this version, which is no end of it: its tasks may run on on a machine that hangs, or
        that a leader keeps who knows nothing of it, and a start that was sent may still come about. Its user hears of
        it once its end is stored, as all its tasks are proven gone; until then, that it is to be asked again."""
        self._trust.on_cancelled(job, open_job.mod_revision, open_job.is_unrecorded)
        ended = await self._reader.wait_for_end(job, deadline_at - self._clock.seconds())
        if ended is None:
            log.info("job %s: its cancel is stored and not told yet, as its tasks are not proven gone", job)
            return error_response(503, "the cancel is stored, and its tasks are not proven gone", RETRY_AFTER_S)
        log.info("job %s: its user is told of the cancel", job)
        return job_response(job, ended.state, 0, 0)

    async def _cancel_unrecorded(self, job: JobId, deadline_at: float) -> ServerResponse:
        """Its submission is lost and machines run its tasks: an end that is not proven, so that they are stopped as
        any job's that is over, once who leads knows, which then proves it. Its watch does not tell of ended keys: such
        tasks once ran on for ever."""
        ended = m.EndedRecord(m.JobState.CANCELLED, 0, False)
        revision = await self._store.transact(
            [sm.Condition(m.open_key(job), Revision(0)), sm.Condition(m.ended_key(job), Revision(0))],
            [sm.Put(m.ended_key(job), sm.encode_raw(ended))],
            RequestPriority.USER,
            1.5,
        )
        log.info("job %s, known by its tasks only, cancelled", job)
        return await self._await_cancellation(job, OpenJob(revision, 0, True, True), deadline_at)


def is_job_id(text: str) -> bool:
    prefix, _, number = text.partition("-")
    return prefix == "wk" and number.isascii() and number.isdigit() and 6 <= len(number) <= 18
