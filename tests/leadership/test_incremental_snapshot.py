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

from meadowcross.autoscaling.incoming_capacity import FORECAST_MAX_AGE_S, TaskCompletionForecast
from meadowcross.autoscaling.messages import decode_machine_types, encode
from meadowcross.common.settings import OperatorSettings, Settings
from meadowcross.common.types import EPSILON, Attempt, FencingToken, Instant, MachineId, MachineKind, Revision, WallTime
from meadowcross.estimates.runs import MeanRuns
from meadowcross.jobs.job_table import JobTable, PlacementPhase
from meadowcross.jobs.messages import JobRecord, JobSpec
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.placement.engine import place
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry
from simulation.standins import TYPES
from tests.support.world import SETTINGS, job

KINDS = {t.name: t for t in decode_machine_types(encode({"builds": TYPES})).types}
EXAMPLES = int(os.environ.get("MEADOWCROSS_EXAMPLES", "0"))


class Fleet(RuleBasedStateMachine):
    """A leader's book and roster, through placements, ends, losses, machines that come, go, fall
    silent, drain, are taken back, and jobs that end or are cancelled."""

    @initialize()
    def begin(self) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.book = JobTable()
        self.roster = WorkerRegistry(FencingToken(1))
        runs = MeanRuns()
        self.view = SchedulingView(
            self.clock,
            msgspec.convert(SETTINGS, Settings).facts,
            lambda: list(KINDS.values()),
            self.book,
            self.roster,
            FailureTracker(lambda name: name in self.roster.machines),
            runs,
        )
        self.ends = TaskCompletionForecast(self.book, runs)
        self.number = 0

    @property
    def now(self) -> Instant:
        return Instant(self.clock.seconds())

    @rule(kind=st.sampled_from(["small", "large", ""]))
    def a_machine_comes(self, kind):
        self.number += 1
        machine = Machine(MachineId(f"i-{self.number:06d}"), MachineKind(kind, "east", True), KINDS.get(kind), self.now)
        machine.proof.has_confirmed_token = machine.is_stored = True
        machine.contact.last_contact_at = self.now
        self.roster.add(machine)

    @rule(which=st.integers(0, 50))
    def a_type_becomes_known(self, which):
        unknown = [m for m in self.roster.machines.values() if m.machine_type is None]
        if unknown:
            machine = unknown[which % len(unknown)]
            machine.kind = MachineKind("small", "east", True)
            machine.machine_type = KINDS["small"]
            self.roster.on_type_known(machine)

    @rule(heads=st.integers(1, 6), cpus=st.sampled_from([0.5, 1.0, 3.0, 4.0]), rank=st.sampled_from(["urgent", "idle"]))
    def a_job_comes(self, heads, cpus, rank):
        self.number += 1
        spec = msgspec.convert(job(id=f"wk-{self.number:06d}", heads=heads, cpus=cpus, rank=rank), JobSpec)
        self.book.add(JobRecord(spec, WallTime(self.now)), Revision(self.number))

    @rule()
    def a_pass(self):
        """Through the pieces kept, and over everything: the same choices."""
        wants, rooms = self.view.pending_jobs(), self.view.quota_headroom()
        chosen = place(self.view.candidates(), wants, rooms, OperatorSettings())
        assert chosen == place(self.view.all_candidates(), wants, self.view.quota_headroom(), OperatorSettings())
        for choice in chosen:
            one = self.book.jobs[choice.job_id]
            for name in choice.machines:
                placement = self.book.place(one, one.pop_waiting_task(), name, self.now)
                placement.phase, placement.running_at = PlacementPhase.RUNNING, self.now
                self.roster.assign(self.roster.machines[name], placement, one.spec)

    @rule(which=st.integers(0, 50), done=st.booleans())
    def a_task_ends(self, which, done):
        placed = [p for j in self.book.jobs.values() for p in j.placements.values()]
        if placed:
            placement = placed[which % len(placed)]
            spec = self.book.jobs[placement.task.job].spec
            self.roster.unassign(placement, spec, self.now)
            (self.book.complete_task if done else self.book.release)(placement)

    @rule(which=st.integers(0, 50), what=st.sampled_from(["deleted", "silent", "draining", "condemned", "taken"]))
    def a_machine_leaves(self, which, what):
        if not self.roster.machines:
            return
        machine = list(self.roster.machines.values())[which % len(self.roster.machines)]
        if what == "deleted":
            for placement in self.roster.remove(machine.id):
                self.book.release(placement)
            self.ends.forget(machine.id)
        elif what == "silent":
            machine.contact.last_contact_at = Instant(0.0)
        elif what == "draining":
            machine.is_draining = not machine.is_draining
        elif what == "condemned":
            machine.decommission_reason = "for the test"
        else:
            machine.reclaim_at = Instant(self.now + 5.0)

    @rule(which=st.integers(0, 50))
    def a_job_is_over(self, which):
        over = [j for j in self.book.jobs.values() if not j.placements]
        if over:
            self.book.remove(over[which % len(over)].id)

    @rule(first=st.integers(0, 5))
    def a_job_is_taken_over(self, first):
        """As a new leader loads it: some tasks done, some placed, some lost."""
        self.number += 1
        spec = msgspec.convert(job(id=f"wk-{self.number:06d}", heads=6), JobSpec)
        one = self.book.add(JobRecord(spec, WallTime(self.now)), Revision(self.number))
        entries = [-1] * first + [2] * (6 - first)
        for _ in one.load_chunk(0, entries):
            raise AssertionError("nothing was placed")
        if self.roster.machines and first < 6:
            machine = next(iter(self.roster.machines.values()))
            placement = self.book.adopt_placement(one, 5, Attempt(2), machine.id, self.now)
            self.roster.assign(machine, placement, spec)
        self.book.rebuild_waiting(one)

    @rule(seconds=st.sampled_from([0.5, 3.0, 30.0]))
    def time_passes(self, seconds):
        self.clock.advance(seconds)
        for machine in self.roster.machines.values():
            if machine.contact.last_contact_at:
                machine.contact.last_contact_at = self.now

    @invariant()
    def the_pieces_agree_with_the_whole(self):
        if not hasattr(self, "book"):
            return
        assert set(self.book.waiting) == {name for name, one in self.book.jobs.items() if one.waiting_count}
        placed = Counter(one.rank for one in self.book.jobs.values() for _ in one.placements)
        assert self.book.placed_count_by_rank == placed
        free = {
            m.id
            for m in self.roster.machines.values()
            if m.machine_type is not None and m.machine_type.cpus - m.usage.cpus > EPSILON
        }
        assert set(self.roster.machines_with_free_cpu) == free
        offered = {o.machine: o for o in self.view.candidates()}
        assert offered == {o.machine: o for o in self.view.all_candidates() if o.free_cpus > EPSILON}

    @invariant()
    def ends_are_those_of_the_tasks_that_run(self):
        if not hasattr(self, "book"):
            return
        for machine in self.roster.machines.values():
            before = Instant(self.now + 20.0)
            running = [
                self.book.jobs[p.task.job].spec
                for p in machine.placements.values()
                if p.phase is PlacementPhase.RUNNING and p.running_at is not None
            ]
            told = list(self.ends.completions_before(machine, before, self.now))
            assert all(spec in running for spec in told)
            if self.now - self.ends._cache[machine.id].computed_at < FORECAST_MAX_AGE_S:
                assert sum(s.cpus for s in told) <= machine.usage.cpus + EPSILON


Fleet.TestCase.settings = settings(
    max_examples=EXAMPLES or 60, stateful_step_count=40, deadline=None, derandomize=not EXAMPLES, database=None
)
TestFleet = Fleet.TestCase
