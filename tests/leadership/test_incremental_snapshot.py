"""Incrementally updated indexes must agree with values that are computed from the whole state.

hypothesis draws the steps, with a fixed seed unless MEADOWCROSS_EXAMPLES asks for a longer search."""

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
from meadowcross.estimates.estimators import MeanRatioEstimator
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
    """A leader's tables of jobs and workers, while tasks are placed, end or are lost, machines arrive, leave, fall
    silent, drain or get an eviction notice, and jobs end or are loaded."""

    @initialize()
    def start(self) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.job_table = JobTable()
        self.worker_registry = WorkerRegistry(FencingToken(1))
        runs = MeanRatioEstimator()
        self.view = SchedulingView(
            self.clock,
            msgspec.convert(SETTINGS, Settings).facts,
            lambda: list(KINDS.values()),
            self.job_table,
            self.worker_registry,
            FailureTracker(lambda machine_id: machine_id in self.worker_registry.machines),
            runs,
        )
        self.completion_forecast = TaskCompletionForecast(self.job_table, runs)
        self.last_number = 0

    @property
    def now(self) -> Instant:
        return Instant(self.clock.seconds())

    @rule(kind=st.sampled_from(["small", "large", ""]))
    def machine_arrives(self, kind):
        self.last_number += 1
        machine = Machine(
            MachineId(f"i-{self.last_number:06d}"), MachineKind(kind, "east", True), KINDS.get(kind), self.now
        )
        machine.proof.has_confirmed_token = machine.is_stored = True
        machine.contact.last_contact_at = self.now
        self.worker_registry.add(machine)

    @rule(index=st.integers(0, 50))
    def type_becomes_known(self, index):
        untyped_machines = [m for m in self.worker_registry.machines.values() if m.machine_type is None]
        if untyped_machines:
            machine = untyped_machines[index % len(untyped_machines)]
            machine.kind = MachineKind("small", "east", True)
            machine.machine_type = KINDS["small"]
            self.worker_registry.on_type_known(machine)

    @rule(
        task_count=st.integers(1, 6),
        cpus=st.sampled_from([0.5, 1.0, 3.0, 4.0]),
        priority=st.sampled_from(["urgent", "idle"]),
    )
    def job_arrives(self, task_count, cpus, priority):
        self.last_number += 1
        spec = msgspec.convert(
            job(id=f"wk-{self.last_number:06d}", heads=task_count, cpus=cpus, rank=priority), JobSpec
        )
        self.job_table.add(JobRecord(spec, WallTime(self.now)), Revision(self.last_number))

    @rule()
    def pass_runs(self):
        """A pass over the indexed candidates decides the same as a pass over all machines."""
        pending_jobs, headroom_by_team = self.view.pending_jobs(), self.view.quota_headroom()
        decisions = place(self.view.candidates(), pending_jobs, headroom_by_team, OperatorSettings())
        assert decisions == place(
            self.view.all_candidates(), pending_jobs, self.view.quota_headroom(), OperatorSettings()
        )
        for decision in decisions:
            placed_job = self.job_table.jobs[decision.job_id]
            for machine_id in decision.machines:
                placement = self.job_table.place(placed_job, placed_job.pop_waiting_task(), machine_id, self.now)
                placement.phase, placement.running_at = PlacementPhase.RUNNING, self.now
                self.worker_registry.assign(self.worker_registry.machines[machine_id], placement, placed_job.spec)

    @rule(index=st.integers(0, 50), is_done=st.booleans())
    def task_ends(self, index, is_done):
        placements = [p for j in self.job_table.jobs.values() for p in j.placements.values()]
        if placements:
            placement = placements[index % len(placements)]
            spec = self.job_table.jobs[placement.task.job].spec
            self.worker_registry.unassign(placement, spec, self.now)
            (self.job_table.complete_task if is_done else self.job_table.release)(placement)

    @rule(
        index=st.integers(0, 50),
        change=st.sampled_from(["deleted", "silent", "draining", "decommissioned", "reclaimed"]),
    )
    def machine_leaves(self, index, change):
        if not self.worker_registry.machines:
            return
        machine = list(self.worker_registry.machines.values())[index % len(self.worker_registry.machines)]
        if change == "deleted":
            for placement in self.worker_registry.remove(machine.id):
                self.job_table.release(placement)
            self.completion_forecast.forget(machine.id)
        elif change == "silent":
            machine.contact.last_contact_at = Instant(0.0)
        elif change == "draining":
            machine.is_draining = not machine.is_draining
        elif change == "decommissioned":
            machine.decommission_reason = "for the test"
        else:
            machine.reclaim_at = Instant(self.now + 5.0)

    @rule(index=st.integers(0, 50))
    def job_ends(self, index):
        jobs_without_placements = [j for j in self.job_table.jobs.values() if not j.placements]
        if jobs_without_placements:
            self.job_table.remove(jobs_without_placements[index % len(jobs_without_placements)].id)

    @rule(done_count=st.integers(0, 5))
    def job_is_loaded(self, done_count):
        """A new leader loads a job of which some tasks are done, some are placed, and some are lost."""
        self.last_number += 1
        spec = msgspec.convert(job(id=f"wk-{self.last_number:06d}", heads=6), JobSpec)
        loaded_job = self.job_table.add(JobRecord(spec, WallTime(self.now)), Revision(self.last_number))
        entries = [-1] * done_count + [2] * (6 - done_count)
        for _ in loaded_job.load_chunk(0, entries):
            raise AssertionError("expected no placement in the chunk")
        if self.worker_registry.machines and done_count < 6:
            machine = next(iter(self.worker_registry.machines.values()))
            placement = self.job_table.adopt_placement(loaded_job, 5, Attempt(2), machine.id, self.now)
            self.worker_registry.assign(machine, placement, spec)
        self.job_table.rebuild_waiting(loaded_job)

    @rule(seconds=st.sampled_from([0.5, 3.0, 30.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)
        for machine in self.worker_registry.machines.values():
            if machine.contact.last_contact_at:
                machine.contact.last_contact_at = self.now

    @invariant()
    def indexes_agree_with_the_whole_state(self):
        if not hasattr(self, "job_table"):
            return
        assert set(self.job_table.waiting) == {
            job_id for job_id, open_job in self.job_table.jobs.items() if open_job.waiting_count
        }
        placed_counts = Counter(open_job.rank for open_job in self.job_table.jobs.values() for _ in open_job.placements)
        assert self.job_table.placed_count_by_rank == placed_counts
        ids_with_free_cpu = {
            m.id
            for m in self.worker_registry.machines.values()
            if m.machine_type is not None and m.machine_type.cpus - m.usage.cpus > EPSILON
        }
        assert set(self.worker_registry.machines_with_free_cpu) == ids_with_free_cpu
        candidates = {candidate.machine: candidate for candidate in self.view.candidates()}
        assert candidates == {
            candidate.machine: candidate for candidate in self.view.all_candidates() if candidate.free_cpus > EPSILON
        }

    @invariant()
    def forecast_completions_are_of_running_tasks(self):
        if not hasattr(self, "job_table"):
            return
        for machine in self.worker_registry.machines.values():
            deadline = Instant(self.now + 20.0)
            running_specs = [
                self.job_table.jobs[p.task.job].spec
                for p in machine.placements.values()
                if p.phase is PlacementPhase.RUNNING and p.running_at is not None
            ]
            completions = list(self.completion_forecast.completions_before(machine, deadline, self.now))
            assert all(spec in running_specs for spec in completions)
            if self.now - self.completion_forecast._cache[machine.id].computed_at < FORECAST_MAX_AGE_S:
                assert sum(completed_spec.cpus for completed_spec in completions) <= machine.usage.cpus + EPSILON


Fleet.TestCase.settings = settings(
    max_examples=EXAMPLES or 60, stateful_step_count=40, deadline=None, derandomize=not EXAMPLES, database=None
)
TestFleet = Fleet.TestCase
