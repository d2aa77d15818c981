"""When open jobs will be done, from the leader's picture; asked by users' questions.

The time is worked out by `estimates.finish`; how far such times have been off lately gives
the interval around it, told apart by whether the job still waited for room.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import inf

from meadowcross.common.clock import Clock
from meadowcross.common.logging import logger
from meadowcross.common.types import Instant, JobId, MachineKind, Seconds
from meadowcross.estimates.finish import Ends, Left, middle_of
from meadowcross.estimates.learned import Learned
from meadowcross.estimates.samples import ran
from meadowcross.fleet.manager import FleetManager
from meadowcross.fleet.messages import MachineType
from meadowcross.fleet.sizing import kinds_of
from meadowcross.jobs.book import Book, Job, Phase
from meadowcross.jobs.messages import Kind
from meadowcross.leadership.view import View
from meadowcross.placement.engine import allowed, order, slots
from meadowcross.workers.roster import Roster

log = logger("estimates")

PICTURE_S: Seconds = 4.0
"""What all jobs' times rest on is worked out so often, and only if somebody asks."""
TOLD_S: Seconds = 15.0
"""A job's time is told for so long, less what has passed: users ask every five seconds or so, and each
question once cost a tenth of what a task costs."""
WAITING, PLACED = "waiting", "placed"
SETTLED_S: Seconds = 2.0
"""A job's first time is kept for judging once it has been open for so long."""
LEAST_S: Seconds = 1.0
MAX_KEPT = 20_000
MAX_WORKED_OUT = 100
"""In each such period; who asks beyond that gets what was said last, or nothing."""


class _Picture:
    """What stands before each waiting job, and which machines there are."""

    def __init__(
        self,
        at: Instant,
        view: View,
        roster: Roster,
        types: list[MachineType],
        boot: Callable[[MachineType], Seconds],
        open_kinds: Callable[[MachineKind], bool],
    ) -> None:
        self.at = at
        self.rooms = view.rooms()
        self.up: Counter[MachineKind] = Counter()
        self.boots: dict[MachineKind, Seconds] = {}
        """Until the first machine of a kind that is under way is up."""
        cpus = 0.0
        for machine in roster.machines.values():
            if machine.type is None or machine.condemned is not None:
                continue
            cpus += machine.type.cpus
            if machine.up:
                self.up[machine.kind] += 1
            else:
                left = max(0.0, boot(machine.type) - (at - machine.rented_at))
                self.boots[machine.kind] = min(left, self.boots.get(machine.kind, left))
        self.types = {t.name: t for t in types}
        self.boot = boot
        self.rentable = [(kind, t) for kind, t in kinds_of(types) if open_kinds(kind)]
        """What would be rented for work that finds no room."""
        self.ahead: dict[JobId, Seconds] = {}
        ahead = 0.0
        for want in sorted(view.wants(), key=order):
            self.ahead[want.job] = ahead / cpus if cpus > 0 else 0.0
            ahead += want.count * want.spec.cpus * want.run_s

    def room_for(self, job: Job) -> tuple[int, Seconds]:
        """How many of its tasks have room at once, and when its waiting tasks' turn comes.

        What finds no room is rented for, so its turn comes after a boot at the latest, unless
        the cloud has just refused all that it may run on; then it waits for what is ahead."""
        spec = job.spec
        there = sum(
            count * slots(spec, t.cpus, t.gpus, t.memory_gb)
            for kind, count in self.up.items()
            if allowed(spec, kind) and (t := self.types.get(kind.type)) is not None
        )
        turn = self.ahead.get(job.id, 0.0)
        boots = [left for kind, left in self.boots.items() if allowed(spec, kind)]
        rentable = [
            self.boot(t)
            for kind, t in self.rentable
            if allowed(spec, kind) and slots(spec, t.cpus, t.gpus, t.memory_gb) > 0
        ]
        if rentable:
            return max(there, spec.tasks), min(turn if there else inf, *boots, *rentable)
        return there, turn if there or not boots else turn + min(boots)


class Outlooks:
    def __init__(
        self,
        clock: Clock,
        book: Book,
        roster: Roster,
        view: View,
        types: Callable[[], list[MachineType]],
        fleet: FleetManager,
        learned: Learned,
    ) -> None:
        self._clock = clock
        self._book = book
        self._roster = roster
        self._view = view
        self._types = types
        self._fleet = fleet
        self._learned = learned
        self._picture: _Picture | None = None
        self._worked_out = 0
        self._told: dict[JobId, tuple[Instant, Ends, str]] = {}
        self._middles: dict[JobId, Seconds] = {}
        """As worked out last, before what was learned of such times moved them."""
        self._kept: dict[JobId, dict[str, tuple[Instant, Ends, Seconds]]] = {}
        """What was said of a job while it waited, and once all of it was placed."""

    @property
    def _now(self) -> Instant:
        return Instant(self._clock.seconds())

    def ends(self, name: JobId) -> Ends | None:
        """When the job will be done; None for one that is over, cancelled or a service."""
        job = self._book.jobs.get(name)
        if job is None or job.cancelled is not None or job.ending or job.spec.kind is Kind.SERVICE:
            return None
        now = self._now
        told = self._told.get(name)
        stage = self._stage(job)
        if told is None or now - told[0] >= TOLD_S or told[2] != stage:
            if self._picture is None or now - self._picture.at >= PICTURE_S:
                self._worked_out = 0
            if self._worked_out >= MAX_WORKED_OUT:
                return self._aged(told, now) if told is not None else None
            self._worked_out += 1
            if len(self._told) > MAX_KEPT:
                self._told.clear()
            told = self._told[name] = (now, self._work_out(job, stage, now), stage)
        return self._aged(told, now)

    @staticmethod
    def _aged(told: tuple[Instant, Ends, str], now: Instant) -> Ends:
        return Ends(*(max(0.0, one - (now - told[0])) for one in told[1]))

    def _work_out(self, job: Job, stage: str, now: Instant) -> Ends:
        if self._picture is None or now - self._picture.at >= PICTURE_S:
            types = self._types()
            self._picture = _Picture(
                now, self._view, self._roster, types, lambda t: self._fleet.boots.expected(t, now), self._fleet.may_rent
            )
        picture = self._picture
        spec = job.spec
        lasted = [ran(job, p, now) for p in job.placed.values() if p.phase in (Phase.RUNNING, Phase.SAVING)]
        there, turn = picture.room_for(job)
        room = picture.rooms.get(spec.team)
        free = room.tasks(spec) if room is not None else job.waiting_count
        fetches = [spec.image_gb / max(t.fetch_gb_per_s, 0.01) for t in picture.types.values()]
        left = Left(
            job.waiting_count,
            len(job.placed) - len(lasted),
            lasted,
            min(len(job.placed) + free, max(there, len(job.placed))),
            turn if job.waiting_count else 0.0,
            min(fetches, default=0.0),
        )
        middle = max(LEAST_S, middle_of(left, self._learned.curve_of(spec), self._learned.alike(spec)))
        self._middles[job.id] = middle
        return Ends(*self._learned.foresee(stage, middle))

    @staticmethod
    def _stage(job: Job) -> str:
        """Told apart by priority too: what is stopped for others is off in its own way."""
        return f"{WAITING if job.waiting_count else PLACED}/{job.spec.priority.value}"

    def look(self) -> None:
        """Keep what is said of each job at the first moment of each stage, to be judged by when
        it was done. Few jobs come to a new stage between two looks."""
        now = self._now
        for job in list(self._book.jobs.values()):
            stage = self._stage(job)
            kept = self._kept.get(job.id)
            if (kept is None or stage not in kept) and now - job.submitted >= SETTLED_S:
                said = self.ends(job.id)
                if said is not None:
                    self._kept.setdefault(job.id, {})[stage] = (now, said, self._middles[job.id])

    def ended(self, job: Job) -> None:
        """The job is over: learn from what was said of it."""
        self._told.pop(job.id, None)
        self._middles.pop(job.id, None)
        now = self._now
        for stage, (at, said, middle) in self._kept.pop(job.id, {}).items():
            if job.cancelled is None and job.complete:
                took = max(LEAST_S, now - at)
                log.debug(
                    "job %s (%s) took %.1f s, said %.1f to %.1f, about %.1f",
                    job.id,
                    stage,
                    took,
                    said.low,
                    said.high,
                    said.middle,
                )
                self._learned.came(stage, middle, took)
