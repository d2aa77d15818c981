"""The user API, served by any node: submit, query, cancel, readiness."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from meadowcross.common.clock import Clock
from meadowcross.common.http import Answer, Router, reason
from meadowcross.common.logging import logger
from meadowcross.common.settings import Team
from meadowcross.common.types import EPSILON, JobId, Mark, Seconds, WallTime
from meadowcross.fleet.messages import MachineType
from meadowcross.jobs import messages as m
from meadowcross.jobs.lookup import Followed, Lookup, Open
from meadowcross.store import messages as sm
from meadowcross.store.budget import Urgency
from meadowcross.store.client import Conflicted, Refused, StoreClient, Unavailable, Unknown

log = logger("jobs")

RETRY_AFTER_S = 1
CANCEL_S: Seconds = 2.5
"""A cancel waits so long for the end of its job; its user, for twice as long."""
MAX_OPEN_REQUESTS = 300
TRIES = 3

Asked = Callable[[JobId], Awaitable[m.Progress | None]]
"""The leader's word on an open job; None where it is not known in time."""
Accepted = Callable[[str, msgspec.Raw, Mark], None]
Forward = Callable[[str, str, bytes], Awaitable[Answer | None]]
"""A peer's answer to an operation, given the job's id where it is not in the body."""


def answer_of(
    job: JobId,
    standing: m.Standing,
    done: int,
    running: int,
    status: int = 200,
    ends: tuple[float, float, float] | None = None,
) -> Answer:
    told = (round(ends[0], 1), round(ends[1], 1), round(ends[2], 1)) if ends is not None else None
    return Answer(status, m.encode(m.JobAnswer(job, standing, done, running, told)) + b"\n")


def refusal(spec: m.JobSpec, teams: dict[str, Team], types: list[MachineType], zones: list[str]) -> str | None:
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
    at_once = 1 if spec.kind is m.Kind.ARRAY else spec.tasks
    for name, need, most in (("cpus", spec.cpus, team.cpus_max), ("gpus", spec.gpus, team.gpus_max)):
        if most > 0 and need * at_once > most + EPSILON:
            return f"needs more {name} than the team's limit of {most:g}"
    zones_open = {spec.zone} if spec.zone is not None else set().union(*(t.zones for t in fitting))
    # Half the tasks, rounded up, may be in one zone, so the rest needs another.
    if spec.spread and spec.tasks > 1 and (spec.one_zone or len(zones_open) < 2):
        return "the job's zones can't be spread"
    return None


async def _nobody(job: JobId) -> Answer | None:
    return None


@dataclass(frozen=True, slots=True)
class Trust:
    """Whether the state service still holds what was stored in it, as far as requests need to know."""

    known: Callable[[], bool] = lambda: True
    """False only until it was read for the first time."""
    closed: Callable[[], str | None] = lambda: None
    """Why no request can be served now."""
    unknown_may_be_somebodys: Callable[[], bool] = lambda: False
    to_leader: Callable[[], Forward | None] = lambda: None
    """How the leader is asked, while only it knows what was gathered of ended jobs."""
    accepted: Accepted = lambda key, value, mark: None
    """Told of what was stored for users, ahead of the feed."""
    missing: Callable[[JobId], None] = lambda job: None
    """Told of a job that this node saw stored, and that the store does not know."""
    elder: Callable[[JobId], Awaitable[Answer | None]] = _nobody
    """What a node that has followed the store for longer says of a job that the store does not know."""
    led_without_us: Callable[[], bool] = lambda: False
    """Whether a worker has shown the token of a leader that we know nothing of: the state service elected it, so
    there is no outage of all, even where no peer can tell us."""
    shown_by_machines: Callable[[JobId], bool] = lambda job: False
    """Whether machines had tasks of a job whose submission is lost."""
    cancelled: Callable[[JobId, Mark, bool], None] = lambda job, mark, unrecorded: None
    """Told of a stored cancel whose tasks are not proven gone, for whoever leads: its version, and whether it is on no
    record but the end's."""


class JobApi:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        teams: list[Team],
        zones: list[str],
        types: Callable[[], list[MachineType]],
        progress: Asked,
        peer_has_store: Callable[[], bool],
        forward: Forward,
        followed: Followed = lambda key: None,
        standing: Callable[[], str] = lambda: "off",
        trust: Trust | None = None,
    ) -> None:
        self._trust = trust or Trust()
        self._clock = clock
        self._store = store
        self._teams = {team.name: team for team in teams}
        self._zones = zones
        self._types = types
        self._progress = progress
        self._peer_has_store = peer_has_store
        self._forward = forward
        self._lookup = Lookup(clock, store, followed, self._trust.missing)
        self.ended = self._lookup.stored
        self._standing = standing
        self._open = Counter[str]()
        self._chunk = max(1, store.max_value // 64)

    def routes(self, router: Router) -> None:
        router.add("POST", r"/v1/jobs", self._guarded("submit"))
        router.add("GET", r"/v1/jobs/([^/]+)", self._guarded("query"))
        router.add("POST", r"/v1/jobs/([^/]+)/withdraw", self._guarded("cancel"))
        router.add("GET", r"/ready", self.ready)

    def _guarded(self, operation: str) -> Callable[..., Awaitable[Answer]]:
        """Bounded work, and an immediate 503 where the store gives no answer."""

        async def run(body: bytes, job: str = "") -> Answer:
            # By operation, so that a storm of questions keeps nobody from submitting.
            if self._open[operation] >= MAX_OPEN_REQUESTS:
                return reason(503, "too many requests are open", RETRY_AFTER_S)
            if (why := self._trust.closed()) is not None:
                return reason(503, why, RETRY_AFTER_S)
            self._open[operation] += 1
            try:
                if (ask := self._trust.to_leader()) is not None:
                    return await self._elsewhere(operation, job, body, ask)
                answer = None if self._alone() else await self.serve(operation, job, body)
                if answer is None or (answer.status == 503 and self._alone()):
                    return await self._elsewhere(operation, job, body)
                return answer
            finally:
                self._open[operation] -= 1

        return run

    def _alone(self) -> bool:
        """Whether the state service gives no answer to this node only."""
        return self._store.failing_since is not None and (self._peer_has_store() or self._trust.led_without_us())

    async def serve(self, operation: str, job: str, body: bytes) -> Answer:
        """By this node itself, for its own users or a peer's."""
        try:
            match operation:
                case "submit":
                    return await self.submit(body)
                case "query":
                    return await self.query(job)
                case "cancel":
                    return await self.cancel(job)
        except (Unavailable, Unknown, Refused) as error:
            log.debug("request refused: %s", error)
            return reason(503, "the state service gives no answer", RETRY_AFTER_S)
        return reason(404, "no such operation")

    async def _elsewhere(self, operation: str, job: str, body: bytes, ask: Forward | None = None) -> Answer:
        """Only this node is without the store: a peer answers, until the load balancer has
        noticed. Whatever was begun here may be repeated there, as by a user's retry."""
        try:
            body.decode()
        except UnicodeDecodeError as error:
            return reason(400, str(error))
        answer = await (ask or self._forward)(operation, job, body)
        return answer or reason(503, "nobody who can answer does", RETRY_AFTER_S)

    def _unknown(self) -> Answer:
        """A job that the store does not know. After a loss, or before it is known that there was none, it may
        have been accepted all the same: then nobody is told that it was not."""
        if self._trust.unknown_may_be_somebodys():
            return reason(503, "the job is not known, and not all that was lost is", RETRY_AFTER_S)
        return reason(404, "no such job")

    def ready(self, body: bytes) -> Answer:
        if not self._types():
            return reason(503, "machine types are not known yet", RETRY_AFTER_S)
        if not self._trust.known():
            return reason(503, "the state service was not read yet", RETRY_AFTER_S)
        failing = self._store.failing_since
        if failing is not None and self._clock.seconds() - failing > 1.0 and self._alone():
            # Only this node is without the store: users do better elsewhere. In an outage
            # of all nodes it stays ready, and answers at once when to come back.
            return reason(503, "the state service does not answer this node", RETRY_AFTER_S)
        return Answer(200, b'{"ready":true,"standby":"%s"}\n' % self._standing().encode())

    async def submit(self, body: bytes) -> Answer:
        try:
            spec = m.decode_spec(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return reason(400, str(error))
        job = JobId(spec.id)
        types = self._types()
        if not types:
            return reason(503, "machine types are not known yet", RETRY_AFTER_S)
        why = refusal(spec, self._teams, types, self._zones)
        if why is not None:
            # A repeated submission of an accepted job is never refused.
            return await self._known(job) or reason(422, why)
        if (ended := self._lookup.final(job)) is not None:
            return answer_of(job, ended.standing, ended.tasks if ended.standing is m.Standing.DONE else 0, 0)
        record = m.JobRecord(spec, WallTime(self._clock.seconds()), self._chunk)
        value = sm.raw(record)
        if len(bytes(value)) > self._store.max_value:
            return reason(400, "the job's description is too long")
        try:
            mark = await self._store.transact(
                [sm.Condition(m.open_key(job), Mark(0)), sm.Condition(m.ended_key(job), Mark(0))],
                [sm.Put(m.open_key(job), value)],
                Urgency.USER,
                1.5,
            )
        except Conflicted:
            return await self._known(job) or reason(503, "the job just changed", RETRY_AFTER_S)
        except Unknown:
            known = await self._known(job)
            if known is None:
                raise
            return known
        self._lookup.opened(job, mark, spec.tasks)
        self._trust.accepted(m.open_key(job), value, mark)
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
        return answer_of(job, m.Standing.PENDING, 0, 0, 201)

    async def _known(self, job: JobId) -> Answer | None:
        # First the counts, for which the leader may take its time: the read decides, and nothing is waited for after
        # it. A question so once got `pending` though its user had heard `cancelled` from another node meanwhile.
        progress = await self._progress(job) if self._lookup.final(job) is None else None
        found = await self._lookup.find(job)
        if found is None:
            return None
        if isinstance(found, m.EndedRecord):
            done = found.tasks if found.standing is m.Standing.DONE else 0
            return answer_of(job, found.standing, done, 0)
        if found.unrecorded:
            # Who leads may have come since, and learns of it from nobody else.
            self._trust.cancelled(job, found.mark, True)
            return answer_of(job, m.Standing.RUNNING, 0, 0)
        done, running, ends = progress or m.Progress(0, 0)
        # All tasks done but not yet stored as such: not done for the user.
        done = min(done, found.tasks - 1) if running == 0 else done
        return answer_of(job, m.Standing.RUNNING if running else m.Standing.PENDING, done, running, ends=ends)

    async def query(self, job_text: str) -> Answer:
        if not is_job_id(job_text):
            return reason(404, "no such job")
        job = JobId(job_text)
        answer = await self._known(job)
        if answer is None and (elder := await self._trust.elder(job)) is not None and elder.status == 200:
            return elder
        if answer is None and self._trust.shown_by_machines(job):
            # Its submission is lost, its tasks are not: neither unknown nor, without proof, over.
            return answer_of(job, m.Standing.RUNNING, 0, 0)
        return answer or self._unknown()

    async def cancel(self, job_text: str) -> Answer:
        job = JobId(job_text)
        if not is_job_id(job_text):
            return reason(404, "no such job")
        until = self._clock.seconds() + CANCEL_S
        for _ in range(TRIES):
            found = await self._lookup.find(job)
            if found is None and self._trust.shown_by_machines(job):
                try:
                    return await self._cancel_unrecorded(job, until)
                except (Conflicted, Unknown):
                    continue
            if found is None:
                return self._unknown()
            if isinstance(found, m.EndedRecord):
                return answer_of(job, found.standing, 0, 0)
            if found.cancelled:
                return await self._cancelled(job, found, until)
            item = await self._store.get(m.open_key(job))
            if item is None:
                continue
            record = m.decode_record(item.value)
            if record.cancelled is not None:
                return await self._cancelled(job, self._lookup.seen(job, item), until)
            record.cancelled = WallTime(self._clock.seconds())
            value = sm.raw(record)
            try:
                mark = await self._store.transact(
                    [sm.Condition(m.open_key(job), item.mark)],
                    [sm.Put(m.open_key(job), value)],
                    Urgency.USER,
                    1.5,
                )
            except (Conflicted, Unknown):
                # Lost a race, or no answer: only a fresh read tells what the job is now.
                continue
            log.info("job %s cancelled", job)
            self._trust.accepted(m.open_key(job), value, mark)
            return await self._cancelled(job, self._lookup.opened(job, mark, record.spec.tasks, True), until)
        return reason(503, "the job is changing", RETRY_AFTER_S)

    async def _cancelled(self, job: JobId, found: Open, until: float) -> Answer:
        """Its cancel is stored at this version, which is no end of it: its tasks may run on on a machine that hangs, or
        that a leader keeps who knows nothing of it, and a start that was sent may still come about. Its user hears of
        it once its end is stored, as all its tasks are proven gone; until then, that it is to be asked again."""
        self._trust.cancelled(job, found.mark, found.unrecorded)
        ended = await self._lookup.end(job, until - self._clock.seconds())
        if ended is None:
            log.info("job %s: its cancel is stored and not told yet, as its tasks are not proven gone", job)
            return reason(503, "the cancel is stored, and its tasks are not proven gone", RETRY_AFTER_S)
        log.info("job %s: its user is told of the cancel", job)
        return answer_of(job, ended.standing, 0, 0)

    async def _cancel_unrecorded(self, job: JobId, until: float) -> Answer:
        """Its submission is lost and machines run its tasks: an end that is not proven, so that they are stopped as
        any job's that is over, once who leads knows, which then proves it. Its watch does not tell of ended keys: such
        tasks once ran on for ever."""
        ended = m.EndedRecord(m.Standing.CANCELLED, 0, False)
        mark = await self._store.transact(
            [sm.Condition(m.open_key(job), Mark(0)), sm.Condition(m.ended_key(job), Mark(0))],
            [sm.Put(m.ended_key(job), sm.raw(ended))],
            Urgency.USER,
            1.5,
        )
        log.info("job %s, known by its tasks only, cancelled", job)
        return await self._cancelled(job, Open(mark, 0, True, True), until)


def is_job_id(text: str) -> bool:
    prefix, _, number = text.partition("-")
    return prefix == "wk" and number.isascii() and number.isdigit() and 6 <= len(number) <= 18
