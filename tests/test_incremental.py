"""What is kept up to date piece by piece must say what working it out anew says.

Drawn by hypothesis, with a fixed seed unless MEADOWCROSS_EXAMPLES asks for a longer search."""

from __future__ import annotations

import os
from collections import Counter

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from twisted.internet.task import Clock

from lab.standins import TYPES
from meadowcross.common.settings import Operator, Settings
from meadowcross.common.types import EPSILON, Attempt, Instant, MachineId, MachineKind, Mark, Token, WallTime
from meadowcross.estimates.runs import MeanRuns
from meadowcross.fleet.arrivals import ENDS_KEPT_S, Ends
from meadowcross.fleet.messages import decode_types, encode
from meadowcross.jobs.book import Book, Phase
from meadowcross.jobs.messages import JobRecord, JobSpec
from meadowcross.leadership.view import View
from meadowcross.placement.engine import place
from meadowcross.workers.health import Health
from meadowcross.workers.roster import Machine, Roster
from tests.conftest import SETTINGS, job

KINDS = {t.name: t for t in decode_types(encode({"builds": TYPES})).types}
EXAMPLES = int(os.environ.get("MEADOWCROSS_EXAMPLES", "0"))


class Fleet(RuleBasedStateMachine):
    """A leader's book and roster, through placements, ends, losses, machines that come, go, fall
    silent, drain, are taken back, and jobs that end or are cancelled."""

    @initialize()
    def begin(self) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.book = Book()
        self.roster = Roster(Token(1))
        runs = MeanRuns()
        self.view = View(
            self.clock,
            msgspec.convert(SETTINGS, Settings).facts,
            lambda: list(KINDS.values()),
            self.book,
            self.roster,
            Health(lambda name: name in self.roster.machines),
            runs,
        )
        self.ends = Ends(self.book, runs)
        self.number = 0

    @property
    def now(self) -> Instant:
        return Instant(self.clock.seconds())

    @rule(kind=st.sampled_from(["small", "large", ""]))
    def a_machine_comes(self, kind):
        self.number += 1
        machine = Machine(MachineId(f"i-{self.number:06d}"), MachineKind(kind, "east", True), KINDS.get(kind), self.now)
        machine.confirmed = machine.stored = True
        machine.heard_at = self.now
        self.roster.add(machine)

    @rule(which=st.integers(0, 50))
    def a_type_becomes_known(self, which):
        unknown = [m for m in self.roster.machines.values() if m.type is None]
        if unknown:
            machine = unknown[which % len(unknown)]
            machine.kind = MachineKind("small", "east", True)
            machine.type = KINDS["small"]
            self.roster.typed(machine)

    @rule(heads=st.integers(1, 6), cpus=st.sampled_from([0.5, 1.0, 3.0, 4.0]), rank=st.sampled_from(["urgent", "idle"]))
    def a_job_comes(self, heads, cpus, rank):
        self.number += 1
        spec = msgspec.convert(job(id=f"wk-{self.number:06d}", heads=heads, cpus=cpus, rank=rank), JobSpec)
        self.book.add(JobRecord(spec, WallTime(self.now)), Mark(self.number))

    @rule()
    def a_pass(self):
        """Through the pieces kept, and over everything: the same choices."""
        wants, rooms = self.view.wants(), self.view.rooms()
        chosen = place(self.view.offers(), wants, rooms, Operator())
        assert chosen == place(self.view.all_offers(), wants, self.view.rooms(), Operator())
        for choice in chosen:
            one = self.book.jobs[choice.job]
            for name in choice.machines:
                placement = self.book.place(one, one.take_waiting(), name, self.now)
                placement.phase, placement.running_at = Phase.RUNNING, self.now
                self.roster.attach(self.roster.machines[name], placement, one.spec)

    @rule(which=st.integers(0, 50), done=st.booleans())
    def a_task_ends(self, which, done):
        placed = [p for j in self.book.jobs.values() for p in j.placed.values()]
        if placed:
            placement = placed[which % len(placed)]
            spec = self.book.jobs[placement.task.job].spec
            self.roster.detach(placement, spec, self.now)
            (self.book.task_done if done else self.book.gone)(placement)

    @rule(which=st.integers(0, 50), what=st.sampled_from(["deleted", "silent", "draining", "condemned", "taken"]))
    def a_machine_leaves(self, which, what):
        if not self.roster.machines:
            return
        machine = list(self.roster.machines.values())[which % len(self.roster.machines)]
        if what == "deleted":
            for placement in self.roster.deleted(machine.id):
                self.book.gone(placement)
            self.ends.forget(machine.id)
        elif what == "silent":
            machine.heard_at = Instant(0.0)
        elif what == "draining":
            machine.draining = not machine.draining
        elif what == "condemned":
            machine.condemned = "for the test"
        else:
            machine.taken_at = Instant(self.now + 5.0)

    @rule(which=st.integers(0, 50))
    def a_job_is_over(self, which):
        over = [j for j in self.book.jobs.values() if not j.placed]
        if over:
            self.book.remove(over[which % len(over)].id)

    @rule(first=st.integers(0, 5))
    def a_job_is_taken_over(self, first):
        """As a new leader loads it: some tasks done, some placed, some lost."""
        self.number += 1
        spec = msgspec.convert(job(id=f"wk-{self.number:06d}", heads=6), JobSpec)
        one = self.book.add(JobRecord(spec, WallTime(self.now)), Mark(self.number))
        entries = [-1] * first + [2] * (6 - first)
        for _ in one.load_chunk(0, entries):
            raise AssertionError("nothing was placed")
        if self.roster.machines and first < 6:
            machine = next(iter(self.roster.machines.values()))
            placement = self.book.inherit(one, 5, Attempt(2), machine.id, self.now)
            self.roster.attach(machine, placement, spec)
        self.book.rebuild_waiting(one)

    @rule(seconds=st.sampled_from([0.5, 3.0, 30.0]))
    def time_passes(self, seconds):
        self.clock.advance(seconds)
        for machine in self.roster.machines.values():
            if machine.heard_at:
                machine.heard_at = self.now

    @invariant()
    def the_pieces_agree_with_the_whole(self):
        if not hasattr(self, "book"):
            return
        assert set(self.book.waiting) == {name for name, one in self.book.jobs.items() if one.waiting_count}
        placed = Counter(one.rank for one in self.book.jobs.values() for _ in one.placed)
        assert self.book.placed_ranks == placed
        free = {m.id for m in self.roster.machines.values() if m.type is not None and m.type.cpus - m.cpus > EPSILON}
        assert set(self.roster.roomy) == free
        offered = {o.machine: o for o in self.view.offers()}
        assert offered == {o.machine: o for o in self.view.all_offers() if o.free_cpus > EPSILON}

    @invariant()
    def ends_are_those_of_the_tasks_that_run(self):
        if not hasattr(self, "book"):
            return
        for machine in self.roster.machines.values():
            before = Instant(self.now + 20.0)
            running = [
                self.book.jobs[p.task.job].spec
                for p in machine.placements.values()
                if p.phase is Phase.RUNNING and p.running_at is not None
            ]
            told = list(self.ends.of(machine, before, self.now))
            assert all(spec in running for spec in told)
            if self.now - self.ends._known[machine.id][1] < ENDS_KEPT_S:
                assert sum(s.cpus for s in told) <= machine.cpus + EPSILON


Fleet.TestCase.settings = settings(
    max_examples=EXAMPLES or 60, stateful_step_count=40, deadline=None, derandomize=not EXAMPLES, database=None
)
TestFleet = Fleet.TestCase
