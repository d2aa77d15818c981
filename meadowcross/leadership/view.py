"""What placement sees: offers, wants, rooms, victims and replicas, as snapshots taken
from the book, the roster and the machines' health."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from meadowcross.common.clock import Clock
from meadowcross.common.settings import Facts
from meadowcross.common.types import EPSILON, Instant, MachineId, Seconds
from meadowcross.estimates.runs import Runs
from meadowcross.estimates.samples import ran
from meadowcross.fleet.messages import MachineType
from meadowcross.jobs import messages as jm
from meadowcross.jobs.aims import Aims, slack
from meadowcross.jobs.book import Book, Job, Phase
from meadowcross.jobs.messages import JobSpec
from meadowcross.leadership.reach import Reach
from meadowcross.placement.engine import SLOW_FETCH_S, Offer, Room, Want, constrained
from meadowcross.placement.moves import Replica
from meadowcross.placement.preemption import Victim, mark_borrowed
from meadowcross.workers.health import Health
from meadowcross.workers.roster import Machine, Roster
from meadowcross.workers.visitors import heard_window

NO_LIMIT = 1e15
ALMOST_DONE_S: Seconds = 3.0
AGED_S: Seconds = 120.0
"""A job of which no task ever began goes first for its start: half of the four minutes within which users count on the
largest jobs to begin, so that the rest is left for its room to come free."""
GO_ON_SHARE = 0.05
"""Of so many jobs to a machine, at the most, a task is kept going although their turn does not come."""
WARM_WAIT_S: Seconds = 2.0
"""A task that gives way is gone within a second; then its room may be taken."""


class View:
    def __init__(
        self,
        clock: Clock,
        facts: Facts,
        types: Callable[[], list[MachineType]],
        book: Book,
        roster: Roster,
        health: Health,
        runs: Runs,
    ) -> None:
        self._clock = clock
        self._types = types
        self._book = book
        self._roster = roster
        self._health = health
        self._runs = runs
        self._teams = {team.name: team for team in facts.teams}
        self._aims = Aims(facts.objectives)
        self._window = heard_window(facts.workers.report_s)
        self._woke_at = Instant(0.0)

    @property
    def _now(self) -> Instant:
        return Instant(self._clock.seconds())

    def woke(self) -> None:
        """This process was silent for a while, so nothing was heard whoever spoke."""
        self._woke_at = self._now

    def silence(self, machine: Machine) -> Seconds:
        """For how long a machine has said nothing while we listened."""
        heard = machine.heard_at or machine.presumed_at or self._woke_at
        return self._now - max(heard, self._woke_at, min(machine.excused_until, self._now))

    def _heard_since(self) -> Instant:
        """Earlier than this is silence."""
        since = self._now - self._window
        return Instant(since if self._woke_at <= since else 0.0)

    @property
    def window(self) -> Seconds:
        """Whoever is well and reports to us was heard within this time."""
        return self._window

    def silent(self, machine: Machine) -> bool:
        return machine.heard_at is None or machine.heard_at < self._heard_since()

    def heard_lately(self) -> Callable[[Machine], bool]:
        """Tells of each machine asked for whether it is not silent; for whoever asks of the whole fleet."""
        since = self._heard_since()
        return lambda machine: machine.heard_at is not None and machine.heard_at >= since

    def reach(self, peers: int | None) -> Reach:
        """How many of the machines in use reported to us lately; `peers` as in Reach."""
        in_use = [m for m in self._roster.machines.values() if m.condemned is None and (m.up or m.placements)]
        since = self._heard_since()
        return Reach(len(in_use), sum(1 for m in in_use if (m.reported_at or -1.0) >= since), peers)

    def offerable(self, machine: Machine) -> bool:
        return self._offerable(machine, self._heard_since())

    def _offerable(self, machine: Machine, heard_since: Instant) -> bool:
        return (
            machine.confirmed
            and machine.stored
            and machine.condemned is None
            and not machine.draining
            and machine.type is not None
            and machine.taken_at is None
            and machine.deaf_since is None
            and machine.heard_at is not None
            and machine.heard_at >= heard_since
            # What only answers renews no lease, as no report of it arrives: once tasks were begun over and over on such
            # machines. Who leads anew waits for a report as long as for any other.
            and (machine.reported_at or machine.known_at) >= heard_since
            and not self._health.suspect(machine.id)
        )

    def usable(self) -> Callable[[Machine], bool]:
        """Tells of each machine asked for whether it is offered, or will be in a moment."""
        heard_since = self._heard_since()
        return lambda machine: self._offerable(machine, heard_since) or self._arriving(machine, heard_since)

    def _arriving(self, machine: Machine, heard_since: Instant) -> bool:
        """It reports, but our token has not come back yet, or its record is not stored: it will
        be offered in a moment. Left out of what is coming, each new machine had another
        rented beside it."""
        return (
            not (machine.confirmed and machine.stored)
            and machine.taken_at is None
            and not machine.draining
            and machine.heard_at is not None
            and machine.heard_at >= heard_since
        )

    def offers(self) -> list[Offer]:
        """The machines that have room and may be given work."""
        return self._offers(self._roster.roomy.values())

    def all_offers(self) -> list[Offer]:
        """Those without room too."""
        return self._offers(self._roster.machines.values())

    def offers_where(self, victims: Iterable[Victim]) -> list[Offer]:
        """The machines where something may give way."""
        names = {victim.machine for victim in victims}
        return self._offers(self._roster.machines[name] for name in names)

    def _offers(self, machines: Iterable[Machine]) -> list[Offer]:
        heard_since = self._heard_since()
        return [
            Offer(
                machine.id,
                machine.kind,
                machine.type.cpus - machine.cpus,
                machine.type.gpus - machine.gpus,
                machine.type.memory_gb - machine.memory_gb,
                machine.images,
                set(machine.fetches),
            )
            for machine in machines
            if machine.type is not None and self._offerable(machine, heard_since)
        ]

    def rooms(self) -> dict[str, Room]:
        rooms = {}
        for team in self._teams.values():
            use = self._book.use_of(team.name)
            rooms[team.name] = Room(
                team.cpus_max - use.cpus if team.cpus_max > 0 else NO_LIMIT,
                team.gpus_max - use.gpus if team.gpus_max > 0 else NO_LIMIT,
            )
        return rooms

    def wants(self) -> list[Want]:
        now = self._now
        spare = self._guarantees_left()
        fastest = self._fastest_fetch()
        wants = []
        for job in self._book.waiting.values():
            if job.cancelled is not None or job.ending or job.paused_until > now or not job.mark:
                # Without a version its record is still to be written back after a loss.
                continue
            if job.spec.team not in spare or not self._gang_ready(job):
                continue
            if job.probing and job.placed:
                continue
            wants.append(self._want(job, now, spare, fastest))
        self._keep_going(wants, now)
        return wants

    def _keep_going(self, wants: list[Want], now: Instant) -> None:
        """What began and has nothing placed for long goes on with a task at a time, the oldest first, a few jobs at
        once: strict priority alone would never finish it while higher classes fill all there is."""
        jobs = self._book.jobs
        stalled = [want for want in wants if not want.aged and self._stalled(jobs[want.job], now)]
        if not stalled:
            return
        going = sum(1 for job in jobs.values() if job.by_age and job.placed)
        most = max(1, int(GO_ON_SHARE * len(self._roster.machines)))
        for want in sorted(stalled, key=lambda want: jobs[want.job].submitted)[: max(0, most - going)]:
            want.aged = jobs[want.job].by_age = True
            if want.spec.kind is jm.Kind.ARRAY:
                want.count = 1

    @staticmethod
    def _stalled(job: Job, now: Instant) -> bool:
        waited = now - max(job.submitted, job.lost_at or 0.0)
        return job.begun and not job.placed and not job.probing and waited > AGED_S

    def _guarantees_left(self) -> dict[str, float]:
        """What of each team's guarantee its placed tasks leave, in CPUs."""
        return {name: team.cpus - self._book.use_of(name).cpus + EPSILON for name, team in self._teams.items()}

    def _fastest_fetch(self) -> float:
        """In GB a second, by the best type."""
        return max(max((t.fetch_gb_per_s for t in self._types()), default=0.0), 0.01)

    def _want(self, job: Job, now: Instant, spare: dict[str, float], fastest: float) -> Want:
        spec = job.spec
        run = self._runs.run(spec)
        elapsed = now - job.submitted
        if job.dues is None:
            job.dues = self._aims.dues(spec)
        within = max(0, int(spare[spec.team] / spec.cpus))
        probing = job.probing
        aged = elapsed > AGED_S and not job.begun
        count = 1 if (probing or (aged and spec.kind is jm.Kind.ARRAY)) and not job.is_gang else job.waiting_count
        want = Want(
            job.id,
            spec,
            count,
            job.rank,
            slack(job.dues, elapsed, run),
            job.retrying and not probing,
            within == 0,
            within,
        )
        want.run_s, want.aged = run, aged
        want.fetch_s = fetch = spec.image_gb / fastest
        up_slack = self._aims.up_slack(spec, elapsed, want.retrying)
        want.start_slack = min(self._aims.start_slack(spec, elapsed), up_slack) - fetch
        if not constrained(spec):
            want.warm_only = self._warm_only(spec, elapsed, fetch)
        else:
            want.warm_only = up_slack <= 0 and self._lost_lately(job, now, fetch)
            for placement in job.placed.values():
                machine = self._roster.machines.get(placement.machine)
                zone = machine.kind.zone if machine else ""
                known, number = want.siblings.get(placement.machine, (zone, 0))
                want.siblings[placement.machine] = (known, number + 1)
        return want

    def _warm_only(self, spec: JobSpec, elapsed: Seconds, fetch: Seconds) -> bool:
        """Whether a task of the job can still start as soon as its class should, but not
        where its image has to be fetched first. Then it takes room from lower priority where
        the image is rather than free room elsewhere; half the time is left for that."""
        within = self._aims.start_within(spec.job_class)
        return within is not None and elapsed < within / 2 and elapsed + fetch > within

    def _lost_lately(self, job: Job, now: Instant, fetch: Seconds) -> bool:
        """Whether a replica that is missed waits a moment for room where its image is, made by lower priority, as a
        slow fetch would keep it down for longer than that."""
        return fetch >= SLOW_FETCH_S and job.lost_at is not None and now - job.lost_at < WARM_WAIT_S

    def _gang_ready(self, job: Job) -> bool:
        """A gang starts anew once all of its old attempt is gone; before it has started,
        a missing member is replaced with the same attempt."""
        if not job.is_gang or not job.placed:
            return True
        return all(
            p.phase in (Phase.STORING, Phase.STORED, Phase.SENT, Phase.FETCHING, Phase.WAITING) and p.stop_at is None
            for p in job.placed.values()
        )

    def replicas(self) -> list[Replica]:
        """Running service replicas that the move pass may consider."""
        now = self._now
        spare, fastest = self._guarantees_left(), self._fastest_fetch()
        return [
            Replica(placement, self._want(job, now, spare, fastest), placement.machine, now - placement.running_at)
            for job in self._book.jobs.values()
            # A service with a replica that waits for its new place is moving already.
            if job.spec.kind is jm.Kind.SERVICE and job.cancelled is None and not job.waiting_count
            for placement in job.placed.values()
            if placement.phase is Phase.RUNNING and placement.running_at is not None and placement.stop_at is None
        ]

    def usage(self) -> dict[MachineId, float]:
        return {m.id: m.cpus / m.type.cpus for m in self._roster.machines.values() if m.type is not None}

    def may_yield(self, want: Want) -> bool:
        """Whether anything runs that could give way to it: asked of counts, before the tasks
        themselves are looked at."""
        if any(rank > want.rank for rank in self._book.placed_ranks):
            return True
        return want.guaranteed > 0 and any(
            self._book.use_of(team.name).cpus > team.cpus + EPSILON
            for team in self._teams.values()
            if team.name != want.spec.team
        )

    def victims(self, rank: int, guaranteed: bool) -> list[Victim]:
        """Tasks that may be stopped at once for work of this rank, of the same rank only where
        some of that work is `guaranteed`: not a gang's, whose whole attempt would be lost."""
        now = self._now
        victims = []
        over = {t.name: self._book.use_of(t.name).cpus - t.cpus for t in self._teams.values()}
        heard_since = self._heard_since()
        offered: dict[MachineId, bool] = {}
        for job in self._book.jobs.values():
            spec = job.spec
            if not job.placed or job.rank < rank or job.is_gang:
                continue
            if job.rank == rank and (not guaranteed or over.get(spec.team, 0.0) <= 0):
                continue
            saved = spec.checkpoint_s
            save_s = spec.save_s if saved > 0 else None
            almost = max(ALMOST_DONE_S, self._runs.run(spec) - ALMOST_DONE_S)
            for placement in job.placed.values():
                if placement.stop_at is not None or placement.phase not in (Phase.RUNNING, Phase.FETCHING):
                    continue
                there = offered.get(placement.machine)
                if there is None:
                    machine = self._roster.machines.get(placement.machine)
                    there = offered[placement.machine] = machine is not None and self._offerable(machine, heard_since)
                if not there:
                    continue
                lasted = ran(job, placement, now)
                # Half of what has lasted this long takes more than half of all: only past that is
                # it worth asking what is left.
                if lasted > almost and self._runs.left(spec, lasted) < ALMOST_DONE_S:
                    continue
                lost = lasted % saved if saved > 0 else lasted
                victims.append(
                    Victim(
                        placement,
                        placement.machine,
                        job.rank,
                        spec.cpus,
                        spec.gpus,
                        spec.memory_gb,
                        lost * spec.cpus,
                        spec.team,
                        save_s=save_s,
                    )
                )
        mark_borrowed(victims, over)
        return victims
