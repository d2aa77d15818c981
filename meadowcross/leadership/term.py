"""A leader's term: rebuild the picture, take reports, place, commit, command.

Everything here is thrown away when the term ends; only the store is kept.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from meadowcross.common.clock import Clock, pause
from meadowcross.common.http import HttpClient
from meadowcross.common.logging import logger
from meadowcross.common.settings import Operator, Settings
from meadowcross.common.types import (
    EPSILON,
    Attempt,
    Instant,
    JobId,
    MachineId,
    MachineKind,
    Mark,
    Seconds,
    Token,
    WallTime,
)
from meadowcross.fleet import messages as fm
from meadowcross.fleet.cloud import Cloud
from meadowcross.fleet.manager import FleetManager
from meadowcross.jobs import messages as jm
from meadowcross.jobs.book import Book, Job, Phase, Placement
from meadowcross.leadership.messages import LEADER_KEY
from meadowcross.placement.engine import (
    Choice,
    Hold,
    Offer,
    Replica,
    Room,
    Victim,
    Want,
    constrained,
    moves,
    order,
    place,
    preempt,
    preempt_constrained,
    talks,
)
from meadowcross.store import messages as sm
from meadowcross.store.budget import Urgency
from meadowcross.store.client import Refused, StoreClient, Unavailable, Unknown, WatchTooOld
from meadowcross.store.commit import Built, Committer
from meadowcross.workers import messages as wm
from meadowcross.workers.commands import Sender
from meadowcross.workers.health import Health
from meadowcross.workers.roster import Change, HigherToken, Machine, Outcome, Roster

log = logger("leadership")

PASS_DELAY_S: Seconds = 0.02
PASS_PAUSE = 3.0
TICK_S: Seconds = 0.5
WATCH_S: Seconds = 20.0
NO_LIMIT = 1e15
CANCEL_SHARE = 0.5
LATE_FACTOR = 1.5
GIVE_WAY_S: Seconds = 4.0
HURRY_RUNS = 0.5
HURRY_S: Seconds = 5.0
ALMOST_DONE_S: Seconds = 3.0
LOWEST_RANK = max(jm.RANK.values())


class Term:
    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        operator: Operator,
        store: StoreClient,
        http: HttpClient,
        cloud: Cloud,
        types: Callable[[], list[fm.MachineType]],
        token: Token,
        stand_down: Callable[[str], None],
    ) -> None:
        self._clock: Clock = reactor
        self._settings = settings
        self._operator = operator
        self._store = store
        self._types = types
        self._stand_down = stand_down
        self.token = token
        self.book = Book()
        self.roster = Roster(token)
        self.health = Health()
        self._leader_condition = sm.Condition(LEADER_KEY, Mark(token))
        self.committer = Committer(reactor, store, self._leader_condition, self._reread)
        self.sender = Sender(
            reactor, http, self.roster, token, self._on_direct_report, self._on_unsent, self._may_start
        )
        self.fleet = FleetManager(reactor, settings, operator, cloud, types, self)
        self.loaded = False
        self._stopped = False
        self._pass_set = False
        self._pass_took: Seconds = 0.0
        self._moved_at = self.now
        self._prompt = {o.job_class for o in settings.facts.objectives if o.kind == "wait"}
        self._holds: dict[MachineId, Hold] = {}
        self._asked: dict[JobId, tuple[Instant, int]] = {}
        self._giving_way: dict[JobId, list[Placement]] = {}
        self._within = {
            o.job_class: o.within_s
            for o in settings.facts.objectives
            if o.kind == "finished" and o.within_s is not None
        }
        self._teams = {team.name: team for team in settings.facts.teams}
        self._tick = LoopingCall(self._on_tick)
        self._tick.clock = reactor

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    def start(self) -> None:
        for work in (self._load_and_watch(), self.committer.run()):
            Deferred.fromCoroutine(work).addErrback(self._crashed)

    def _crashed(self, failure: Any) -> None:
        log.error("term %d failed: %s", self.token, failure.getTraceback())
        self._stand_down("internal error")

    def stop(self) -> None:
        if self._stopped:
            return
        self._stopped = True
        self.committer.stop()
        self.sender.stop()
        self.fleet.stop()
        if self._tick.running:
            self._tick.stop()

    @property
    def stopped(self) -> bool:
        return self._stopped

    # Loading and watching

    async def _load_and_watch(self) -> None:
        revision: Mark | None = None
        while not self._stopped and revision is None:
            try:
                revision = await self._load()
            except (Unavailable, Unknown, Refused) as error:
                log.info("loading waits: %s", error)
                await pause(self._clock, 0.3)
        if self._stopped or revision is None:
            return
        self.loaded = True
        log.info(
            "term %d: %d open jobs, %d machines, %d placements",
            self.token,
            len(self.book.jobs),
            len(self.roster.machines),
            sum(len(m.placements) for m in self.roster.machines.values()),
        )
        for machine in self.roster.machines.values():
            if machine.addr is not None:
                self.sender.greet(machine.id)
        self.fleet.start()
        self._tick.start(TICK_S)
        await self._watch(revision)

    async def _load(self) -> Mark:
        machines, _ = await self._store.list(fm.MACHINES)
        jobs, revision = await self._store.list(jm.OPEN)
        chunks, _ = await self._store.list(jm.CHUNKS)
        now = self.now
        for item in machines:
            record = fm.decode_record(item.value)
            kind = MachineKind(record.type, record.zone, record.spot)
            machine = self.add_machine(MachineId(item.key.removeprefix(fm.MACHINES)), kind)
            machine.addr = record.addr
            machine.rented_at = Instant(min(now, record.rented))
            machine.stored = True
        for item in jobs:
            self._job_seen(item.key, item.value, item.mark)
        for item in chunks:
            job_id, chunk = jm.parse_chunk_key(item.key)
            job = self.book.jobs.get(job_id)
            if job is None:
                self._drop_later(item.key)
                continue
            job.chunk_marks[chunk] = item.mark
            first = job.chunk_range(chunk).start
            for index, attempt, name in job.load_chunk(first, jm.decode_chunk(item.value)):
                placement = self.book.inherit(job, index, attempt, name, now)
                machine = self.add_machine(MachineId(name), MachineKind("", "", False))
                self.roster.attach(machine, placement, job.spec)
        for job in list(self.book.jobs.values()):
            job.rebuild_waiting()
            if job.is_gang and job.placed:
                job.gang_attempt = max(p.attempt for p in job.placed.values())
            self._check_end(job)
            if job.cancelled is not None:
                self._clear(job)
        return revision

    async def _watch(self, revision: Mark) -> None:
        while not self._stopped:
            try:
                seen = await self._store.watch(jm.OPEN, revision, WATCH_S)
            except WatchTooOld:
                try:
                    revision = await self._read_again()
                except (Unavailable, Unknown, Refused):
                    await pause(self._clock, 0.3)
                continue
            except (Unavailable, Unknown, Refused) as error:
                log.debug("watch of jobs: %s", error)
                await pause(self._clock, 0.2)
                continue
            if self._stopped:
                return
            revision = seen.revision
            for event in seen.events:
                if event.written is not None:
                    self._job_seen(event.written, event.value, event.mark)

    async def _read_again(self) -> Mark:
        items, revision = await self._store.list(jm.OPEN)
        for item in items:
            self._job_seen(item.key, item.value, item.mark)
        return revision

    def _job_seen(self, key: str, value: msgspec.Raw, mark: Mark) -> None:
        """A job's record as read or watched: new, or cancelled since."""
        job = self.book.jobs.get(JobId(key.removeprefix(jm.OPEN)))
        if job is not None and mark <= job.mark:
            return
        record = jm.decode_record(value)
        if job is None:
            job = self.book.add(record, mark)
            log.debug("job %s joins the queue", job.id)
        job.mark = mark
        if record.cancelled is not None and job.cancelled is None:
            job.cancelled = record.cancelled
            log.info("job %s is cancelled, %d tasks placed", job.id, len(job.placed))
        if self.loaded:
            if job.cancelled is not None:
                self._clear(job)
            else:
                self.fleet.new_work()
            self.kick()

    # Reports and outcomes

    def add_machine(self, machine: MachineId, kind: MachineKind) -> Machine:
        known = self.roster.machines.get(machine)
        if known is None:
            known = self.roster.add(Machine(machine, kind, self.type_named(kind.type), self.now))
        elif kind.type and not known.kind.type:
            known.kind = kind
        if known.type is None:
            known.type = self.type_named(known.kind.type)
        return known

    def type_named(self, name: str) -> fm.MachineType | None:
        return next((t for t in self._types() if t.name == name), None)

    def on_report(self, report: wm.Report) -> wm.Response | None:
        """A worker's report; None: we don't lead any more."""
        if not self.loaded:
            # Renews leases while the picture is being read; proves nothing yet.
            return wm.Response(self.token, []) if report.token <= self.token else None
        if self.fleet.is_deleted(report.machine):
            return wm.Response(self.token, [])
        try:
            newest = self._take(report)
        except HigherToken as error:
            self._stand_down(str(error))
            return None
        if not newest:
            return wm.Response(self.token, [])
        return wm.Response(self.token, self._commands_for(self.roster.machines[report.machine]))

    def _on_direct_report(self, report: wm.Report) -> None:
        if self._stopped or report.machine not in self.roster.machines:
            return
        try:
            self._take(report)
        except HigherToken as error:
            self._stand_down(str(error))

    def _take(self, report: wm.Report) -> bool:
        machine = self.add_machine(report.machine, MachineKind(report.type, report.zone, report.spot))
        first = not machine.up
        had_addr = machine.addr
        was_confirmed = machine.confirmed
        notice = machine.taken_at
        session = machine.version.session
        outcomes = self.roster.apply(machine, report, self.now)
        if machine.addr != had_addr or not machine.stored:
            self.store_machine(machine)
        if first and machine.up:
            log.info("machine %s (%s) reports first", machine.id, machine.kind.type)
        if machine.version.session > session > 0:
            log.info("machine %s began session %d", machine.id, machine.version.session)
        if machine.taken_at is not None and notice is None:
            log.info("machine %s is taken back in %.0f s", machine.id, machine.taken_at - self.now)
        for outcome in outcomes or ():
            self._settle(machine, outcome)
        if outcomes or (machine.confirmed and not was_confirmed):
            self.kick()
        return outcomes is not None

    def _settle(self, machine: Machine, outcome: Outcome) -> None:
        placement = outcome.placement
        job = self.book.jobs.get(placement.task.job)
        if job is None:
            self.roster.machines[machine.id].placements.pop(placement.task, None)
            return
        now = self.now
        if outcome.change is Change.RUNS:
            machine.images.add(job.spec.image)
            log.debug("task %s runs on %s after %.2f s", placement.task, machine.id, now - placement.since)
            return
        self.roster.detach(placement, job.spec, now)
        if outcome.change is Change.DONE:
            if placement.running_at is not None:
                self.book.learn_run(job, now - placement.running_at)
            machine.images.add(job.spec.image)
            self.book.task_done(placement)
            self._condemn(self.health.succeeded(job, machine.id), "it failed what succeeds elsewhere")
        else:
            log.info("task %s attempt %d gone from %s: %s", placement.task, placement.attempt, machine.id, outcome.why)
            self.book.gone(placement)
            if outcome.why in (wm.ERROR, wm.UNKNOWN_JOB) and job.cancelled is None:
                self._condemn(self.health.failed(job, machine.id, now), "it fails tasks")
            elif outcome.why == wm.NO_ROOM:
                job.paused_until = Instant(now + 0.5)
        self._after_change(job)

    def _after_change(self, job: Job) -> None:
        if job.is_gang and not job.placed:
            job.gang_attempt = None
        if not self._check_end(job):
            self._flush_dirty()

    def _condemn(self, machines: list[MachineId], why: str) -> None:
        for name in machines:
            machine = self.roster.machines.get(name)
            if machine is not None:
                self.fleet.condemn(machine, why)

    def _commands_for(self, machine: Machine) -> list[wm.Command]:
        """What the response to a newest report tells the worker."""
        commands: list[wm.Command] = []
        for placement in machine.placements.values():
            if placement.stop_at is not None and placement.started:
                commands.append(wm.Command("stop", str(placement.task), placement.attempt, placement.grace))
        for stray in machine.strays:
            log.info("task %s attempt %d on %s has no record: stopped", stray.task, stray.attempt, machine.id)
            commands.append(wm.Command("stop", stray.task, stray.attempt, 0.0))
        for task in machine.exited:
            if self._may_reap(task):
                commands.append(wm.Command("reap", task.task, task.attempt))
        return commands

    def _may_reap(self, task: wm.TaskReport) -> bool:
        """An exited task may leave the worker once what it proves is stored."""
        job_text, _, index = task.task.rpartition("/")
        job = self.book.jobs.get(JobId(job_text))
        if job is None or task.why != wm.DONE:
            return True
        return int(index) in job.stored_done or job.cancelled is not None or not job.done[int(index)]

    # Ending jobs

    def _check_end(self, job: Job) -> bool:
        """Queue the move to the ended key once nothing of the job is left to do."""
        if job.ending or not (job.complete or (job.cancelled is not None and not job.placed)):
            return job.ending
        job.ending = True
        self.committer.add(("end", job.id), lambda: self._build_end(job), True)
        return True

    def _build_end(self, job: Job) -> Built | None:
        if job.id not in self.book.jobs:
            return None
        standing = jm.Standing.CANCELLED if job.cancelled is not None else jm.Standing.DONE
        key = jm.open_key(job.id)
        ended = jm.EndedRecord(standing, job.spec.tasks)
        changes: list[sm.Put | sm.Drop] = [sm.Put(jm.ended_key(job.id), sm.raw(ended)), sm.Drop(key)]
        chunks = [jm.chunk_key(job.id, chunk) for chunk in job.chunk_marks]
        with_it = chunks[: self._store.max_changes - len(changes)]
        changes.extend(sm.Drop(chunk) for chunk in with_it)

        def done(mark: Mark) -> None:
            log.info("job %s ended: %s%s", job.id, standing.value, self._lateness(job))
            for chunk in chunks[len(with_it) :]:
                self._drop_later(chunk)
            self.book.remove(job.id)
            self.health.forget_job(job.id)
            self._asked.pop(job.id, None)

        return Built([sm.Condition(key, job.mark)], changes, done)

    def _lateness(self, job: Job) -> str:
        took = self.now - job.submitted
        due = job.spec.deadline_s
        return f", {took:.0f} s after its submission" + (f", due after {due:.0f} s" if due is not None else "")

    def _drop_later(self, key: str) -> None:
        self.committer.add(("drop", key), lambda: Built([], [sm.Drop(key)], lambda mark: None), False)

    def _clear(self, job: Job) -> None:
        """A cancelled job: stop what runs, forget what was never sent."""
        now = self.now
        for placement in list(job.placed.values()):
            if not placement.started:
                self.roster.detach(placement, job.spec, now)
                self.book.gone(placement)
            elif placement.stop_at is None:
                self.stop_task(placement, 0.0)
        self._after_change(job)

    def stop_task(self, placement: Placement, grace: Seconds) -> None:
        if placement.stop_at is None or grace < placement.grace:
            placement.stop_at = self.now
            placement.grace = grace
            self.sender.end(placement)

    # Storing

    def _flush_dirty(self) -> None:
        for (job_id, chunk), urgent in list(self.book.dirty.items()):
            job = self.book.jobs.get(job_id)
            if job is not None:
                self.committer.add(("chunk", job_id, chunk), self._chunk_builder(job, chunk), urgent)
        self.book.dirty.clear()

    def _chunk_builder(self, job: Job, chunk: int) -> Callable[[], Built | None]:
        def build() -> Built | None:
            if job.ending or job.id not in self.book.jobs:
                return None
            key = jm.chunk_key(job.id, chunk)
            indexes = job.chunk_range(chunk)
            storing = [p for i in indexes if (p := job.placed.get(i)) is not None and p.phase is Phase.STORING]
            done_now = [i for i in indexes if job.done[i] and i not in job.stored_done]
            conditions = [sm.Condition(key, job.chunk_marks.get(chunk, Mark(0)))]
            if storing:
                # Not stored, and so never started, if the job was cancelled meanwhile.
                conditions.append(sm.Condition(jm.open_key(job.id), job.mark))

            def done(mark: Mark) -> None:
                job.chunk_marks[chunk] = mark
                job.stored_done.update(done_now)
                for placement in storing:
                    self._stored(placement)

            return Built(conditions, [sm.Put(key, sm.raw(job.chunk_entries(chunk)))], done)

        return build

    def _stored(self, placement: Placement) -> None:
        if self._still_placed(placement):
            placement.phase = Phase.STORED
            self.sender.start(placement)

    def _may_start(self, placement: Placement) -> bool:
        job = self.book.jobs.get(placement.task.job)
        return (
            not self._stopped
            and job is not None
            and job.cancelled is None
            and self._still_placed(placement)
            and placement.phase is Phase.STORED
        )

    def _on_unsent(self, placement: Placement) -> None:
        """The start was certainly not sent: the task is nowhere."""
        job = self.book.jobs.get(placement.task.job)
        if job is None or placement.started or not self._still_placed(placement):
            return
        self.roster.detach(placement, job.spec, self.now)
        self.book.gone(placement)
        self._after_change(job)
        self.kick()

    def store_machine(self, machine: Machine) -> None:
        def build() -> Built | None:
            if machine.id not in self.roster.machines or not machine.kind.type:
                return None
            record = fm.MachineRecord(
                machine.kind.type, machine.kind.zone, machine.kind.spot, WallTime(machine.rented_at), machine.addr
            )

            def done(mark: Mark) -> None:
                machine.stored = True
                self.kick()

            return Built([], [sm.Put(fm.machine_key(machine.id), sm.raw(record))], done)

        self.committer.add(("machine", machine.id), build, not machine.stored and machine.up)

    def machine_gone(self, name: MachineId) -> None:
        """The cloud's delete of the machine answered 200."""
        for placement in self.roster.deleted(name):
            job = self.book.jobs.get(placement.task.job)
            if job is not None:
                log.info("task %s attempt %d gone with %s", placement.task, placement.attempt, name)
                self.book.gone(placement)
                self._after_change(job)
        self.health.forget_machine(name)
        self._drop_later(fm.machine_key(name))
        self.kick()

    async def _reread(self, keys: list[str]) -> None:
        """After a conflict or a lost answer: what do the keys hold now?"""
        for key in keys:
            item = await self._store.get(key, Urgency.PLACEMENT)
            if self._stopped:
                return
            if key == LEADER_KEY:
                if item is None or item.mark != self._leader_condition.mark:
                    self._stand_down("the leader key is no longer ours")
                    return
            elif key.startswith(jm.CHUNKS):
                job_id, chunk = jm.parse_chunk_key(key)
                job = self.book.jobs.get(job_id)
                if job is not None:
                    job.chunk_marks[chunk] = item.mark if item is not None else Mark(0)
            elif key.startswith(jm.OPEN):
                if item is not None:
                    self._job_seen(item.key, item.value, item.mark)
                else:
                    # Only a leader moves a job away, so our own lost transaction did.
                    self.book.remove(JobId(key.removeprefix(jm.OPEN)))

    # Placing

    def kick(self) -> None:
        if not self._pass_set and not self._stopped and self.loaded:
            self._pass_set = True
            # A pause in proportion: reports and users are served between long passes.
            self._clock.callLater(max(PASS_DELAY_S, PASS_PAUSE * self._pass_took), self._pass)

    def _on_tick(self) -> None:
        try:
            self._clear_late_cancels()
            self._leave_taken()
            if self.now - self._moved_at >= self._operator.move_period_s:
                self._moved_at = self.now
                self._move_replicas()
            self.kick()
        except Exception:
            log.exception("tick failed")

    def _clear_late_cancels(self) -> None:
        """A cancelled job's task that stops don't clear goes with its machine, in time."""
        patience = CANCEL_SHARE * self._settings.facts.workers.cancel_s
        for job in self.book.jobs.values():
            if job.cancelled is None or self.now - job.cancelled < patience:
                continue
            names = [p.machine for p in job.placed.values()]
            self._condemn(names, f"holds tasks of job {job.id}, cancelled {self.now - job.cancelled:.0f} s ago")

    def _leave_taken(self) -> None:
        """Machines with a notice: save what can be saved in time, and start again elsewhere
        what can't end in time; what may end in time goes on."""
        now = self.now
        for machine in self.roster.machines.values():
            if machine.taken_at is None or machine.condemned is not None or not machine.confirmed:
                continue
            left = machine.taken_at - now
            if not machine.placements:
                self.fleet.condemn(machine, "to be taken back, and empty")
                continue
            for placement in list(machine.placements.values()):
                job = self.book.jobs.get(placement.task.job)
                if job is None or placement.stop_at is not None or placement.phase is not Phase.RUNNING:
                    continue
                ran = now - (placement.running_at if placement.running_at is not None else now)
                if job.spec.checkpoint_s > 0:
                    if left > job.spec.save_s:
                        self._save(job, placement, left)
                elif not job.is_gang and self.book.expected_run(job.spec) - ran > LATE_FACTOR * max(left, 0.0):
                    self.stop_task(placement, 0.0)

    def _save(self, job: Job, placement: Placement, grace: Seconds) -> None:
        """Stop with time to save; a gang's tasks all together, or their save would fail."""
        for other in list(job.placed.values()) if job.is_gang else [placement]:
            if other.started and other.stop_at is None:
                self.stop_task(other, max(grace, job.spec.save_s))

    def _move_replicas(self) -> None:
        now = self.now
        replicas = []
        for job in self.book.jobs.values():
            if job.spec.kind is not jm.Kind.SERVICE or job.cancelled is not None or job.waiting_count:
                # One that waits for its new place is moving already.
                continue
            for placement in job.placed.values():
                if placement.phase is Phase.RUNNING and placement.running_at is not None and placement.stop_at is None:
                    age = now - placement.running_at
                    replicas.append(Replica(placement, self._want(job), placement.machine, age))
        if not replicas:
            return
        usage = {m.id: m.cpus / m.type.cpus for m in self.roster.machines.values() if m.type is not None}
        for replica in moves(self.offers(), replicas, usage, self._operator):
            moving = replica.key
            if isinstance(moving, Placement):
                # It waits again, and the score places it, once this copy is proven gone.
                log.info("task %s moves off %s", moving.task, moving.machine)
                self.stop_task(moving, self.book.jobs[moving.task.job].spec.save_s)

    def offerable(self, machine: Machine) -> bool:
        return self._offerable(machine, self.fleet.heard_since())

    def _offerable(self, machine: Machine, heard_since: Instant) -> bool:
        return (
            machine.confirmed
            and machine.stored
            and machine.condemned is None
            and not machine.draining
            and machine.type is not None
            and machine.taken_at is None
            and machine.heard_at is not None
            and machine.heard_at >= heard_since
            and not self.health.suspect(machine.id)
        )

    def offers(self) -> list[Offer]:
        heard_since = self.fleet.heard_since()
        return [
            Offer(
                machine.id,
                machine.kind,
                machine.type.cpus - machine.cpus,
                machine.type.gpus - machine.gpus,
                machine.type.memory_gb - machine.memory_gb,
                machine.images,
            )
            for machine in self.roster.machines.values()
            if machine.type is not None and self._offerable(machine, heard_since)
        ]

    def rooms(self) -> dict[str, Room]:
        rooms = {}
        for team in self._teams.values():
            use = self.book.use_of(team.name)
            rooms[team.name] = Room(
                team.cpus_max - use.cpus if team.cpus_max > 0 else NO_LIMIT,
                team.gpus_max - use.gpus if team.gpus_max > 0 else NO_LIMIT,
            )
        return rooms

    def wants(self) -> list[Want]:
        now = self.now
        wants = []
        for job in self.book.jobs.values():
            if job.cancelled is not None or job.ending or not job.waiting_count or job.paused_until > now:
                continue
            if job.spec.team not in self._teams or not self._gang_ready(job):
                continue
            wants.append(self._want(job))
        return wants

    def _want(self, job: Job) -> Want:
        spec = job.spec
        deadline = spec.deadline_s if spec.deadline_s is not None else self._within.get(spec.job_class)
        slack = 1e9
        if deadline is not None:
            slack = job.submitted + deadline - self.now - self.book.expected_run(spec)
        team = self._teams[spec.team]
        within = max(0, int((team.cpus - self.book.use_of(spec.team).cpus + EPSILON) / spec.cpus))
        borrowing = within == 0
        want = Want(job.id, spec, job.waiting_count, job.rank, slack, job.retrying, borrowing, within)
        if constrained(spec):
            for placement in job.placed.values():
                machine = self.roster.machines.get(placement.machine)
                zone = machine.kind.zone if machine else ""
                known, count = want.siblings.get(placement.machine, (zone, 0))
                want.siblings[placement.machine] = (known, count + 1)
        return want

    def _gang_ready(self, job: Job) -> bool:
        """A gang starts anew once all of its old attempt is gone; before it has started,
        a missing member is replaced with the same attempt."""
        if not job.is_gang or not job.placed:
            return True
        return all(
            p.phase in (Phase.STORING, Phase.STORED, Phase.SENT, Phase.FETCHING, Phase.WAITING) and p.stop_at is None
            for p in job.placed.values()
        )

    def _pass(self) -> None:
        self._pass_set = False
        if self._stopped or not self._types():
            return
        if self._store.failing_since is not None and self.now - self._store.failing_since > 1.0:
            return
        began = self.now
        wants = self.wants()
        if wants:
            offers, rooms = self.offers(), self.rooms()
            choices = place(offers, wants, rooms, self._operator, self._holds)
            self._take_places(choices)
            self._preempt(wants, choices, offers, rooms)
        self._flush_dirty()
        self._pass_took = self.now - began

    def _take_places(self, choices: list[Choice]) -> None:
        now = self.now
        for choice in choices:
            job = self.book.jobs[choice.job]
            if job.is_gang and job.gang_attempt is None:
                job.gang_attempt = Attempt(max(job.attempts) + 1)
            for name in choice.machines:
                placement = self.book.place(job, job.take_waiting(), name, now)
                self.roster.attach(self.roster.machines[name], placement, job.spec)

    def _preempt(self, wants: list[Want], choices: list[Choice], offers: list[Offer], rooms: dict[str, Room]) -> None:
        """Stop lower priority for what found no room. Victims under way count as room."""
        placed = {choice.job: len(choice.machines) for choice in choices}
        now = self.now
        for job_id, pending in list(self._giving_way.items()):
            left = [p for p in pending if self._still_placed(p) and now - (p.stop_at or now) < GIVE_WAY_S]
            if left:
                self._giving_way[job_id] = left
            else:
                del self._giving_way[job_id]
        for name, hold in list(self._holds.items()):
            if hold.job not in self._giving_way:
                del self._holds[name]
        victims: list[Victim] | None = None
        for want in sorted(wants, key=order):
            short = min(want.count - placed.get(want.job, 0), rooms[want.spec.team].tasks(want.spec))
            if short <= 0 or want.job in self._giving_way:
                continue
            if want.rank >= LOWEST_RANK and want.guaranteed == 0:
                continue
            asked_at, asked_for = self._asked.get(want.job, (Instant(0.0), 0))
            if want.count >= asked_for and now - asked_at < GIVE_WAY_S:
                # What gave way last time did not help this job, so nothing more does yet.
                continue
            if victims is None:
                victims = self._victims()
            if not self._in_hurry(want, victims):
                # What waits without harm lets the others keep what they have done.
                continue
            if constrained(want.spec):
                if talks(want.spec) and short < want.count:
                    continue
                chosen, machines = preempt_constrained(want, short, offers, victims, self._operator)
                if chosen:
                    self._holds.update((name, Hold(want.job, want.rank)) for name in machines)
            else:
                chosen = preempt(want, short, offers, victims)
                if any(v.rank == want.rank for v in chosen):
                    self._holds.update((v.machine, Hold(want.job, want.rank)) for v in chosen)
            if not chosen:
                continue
            taken = {id(victim) for victim in chosen}
            victims = [v for v in victims if id(v) not in taken]
            placements = [v.key for v in chosen if isinstance(v.key, Placement)]
            log.info("job %s: %d tasks give way", want.job, len(placements))
            self._giving_way[want.job] = placements
            self._asked[want.job] = (now, want.count)
            for placement in placements:
                self.stop_task(placement, 0.0)

    def _in_hurry(self, want: Want, victims: list[Victim]) -> bool:
        """Whether waiting for room harms: the class is to start promptly, or the slack is
        within the estimates' error, or smaller tasks of lower priority would take each
        piece of room that comes free before it is large enough."""
        spec = want.spec
        return (
            spec.job_class in self._prompt
            or want.slack < HURRY_RUNS * self.book.expected_run(spec) + HURRY_S
            or talks(spec)
            or any(v.rank > want.rank and v.cpus < spec.cpus for v in victims)
            or (
                want.guaranteed > 0
                and spec.deadline_s is None
                and any(v.borrowed and v.rank == want.rank and v.team != spec.team for v in victims)
            )
        )

    def _still_placed(self, placement: Placement) -> bool:
        job = self.book.jobs.get(placement.task.job)
        return job is not None and job.placed.get(placement.task.number) is placement

    def _victims(self) -> list[Victim]:
        """Tasks that may be stopped at once: not a gang's, whose whole attempt would be lost."""
        now = self.now
        victims = []
        over = {t.name: self.book.use_of(t.name).cpus - t.cpus for t in self._teams.values()}
        heard_since = self.fleet.heard_since()
        for machine in self.roster.machines.values():
            if not self._offerable(machine, heard_since):
                continue
            for placement in machine.placements.values():
                job = self.book.jobs.get(placement.task.job)
                if job is None or job.is_gang or placement.stop_at is not None:
                    continue
                if placement.phase not in (Phase.RUNNING, Phase.FETCHING):
                    continue
                ran = now - placement.running_at if placement.running_at is not None else 0.0
                if ran > ALMOST_DONE_S and self.book.expected_run(job.spec) - ran < ALMOST_DONE_S:
                    continue
                saved = job.spec.checkpoint_s
                lost = ran % saved if saved > 0 else ran
                spec = job.spec
                victims.append(
                    Victim(
                        placement,
                        machine.id,
                        job.rank,
                        spec.cpus,
                        spec.gpus,
                        spec.memory_gb,
                        lost * spec.cpus,
                        spec.team,
                    )
                )
        # Of what a team borrows, its least important and least costly tasks are to go.
        for victim in sorted(victims, key=lambda v: (-v.rank, v.loss)):
            if over.get(victim.team, 0.0) >= victim.cpus:
                victim.borrowed = True
                over[victim.team] -= victim.cpus
        return victims
