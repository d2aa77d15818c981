"""Passes over large jobs: each places a limited number of tasks, and all together place them as one pass would."""

from __future__ import annotations

import os
from collections import Counter
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import JobId, MachineId, MachineKind
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.engine import place, place_at_most
from meadowcross.placement.model import Candidate, PendingJob, QuotaHeadroom
from tests.support.world import job

EXAMPLES = int(os.environ.get("MEADOWCROSS_EXAMPLES", "0"))
WEIGHTS = OperatorSettings()
ZONES = ("east", "west")
UNLIMITED = 1e15
MAX_ARRAY_TASKS = 100_000
LARGE_JOB_TASKS = 12_000


def make_pending(number, tasks, **changes):
    spec = msgspec.convert(job(id=f"wk-{number:06d}", heads=tasks, **changes), JobSpec)
    return PendingJob(JobId(spec.id), spec, tasks, 2, float(number))


def make_machine(number, cpus):
    kind = MachineKind("large", ZONES[number % 2], True)
    return Candidate(MachineId(f"i-{number:03d}"), kind, cpus, 0.0, 64.0, set())


def continue_pass(pending_jobs, decisions, machines):
    """The pending jobs after the decisions were recorded, as the next pass sees them."""
    zones = {machine.machine: machine.kind.zone for machine in machines}
    placed = {decision.job_id: decision.machines for decision in decisions}
    waiting = []
    for pending_job in pending_jobs:
        machine_ids = placed.get(pending_job.job_id, [])
        siblings = dict(pending_job.siblings)
        for machine_id, count in Counter(machine_ids).items():
            siblings[machine_id] = (zones[machine_id], siblings.get(machine_id, ("", 0))[1] + count)
        if pending_job.task_count > len(machine_ids):
            rest = pending_job.task_count - len(machine_ids)
            waiting.append(replace(pending_job, task_count=rest, siblings=siblings))
    return waiting


@settings(max_examples=EXAMPLES or 300, deadline=None, derandomize=not EXAMPLES, database=None)
@given(data=st.data())
def test_passes_with_a_limit_choose_the_same_machines_as_one_pass_over_all_tasks(data):
    """Guards against large jobs that are placed elsewhere because a pass ends before it has placed all their tasks."""
    amounts = st.sampled_from([0.0, 1.0, 4.0, 7.0, 16.0])
    machines = [make_machine(number, data.draw(amounts)) for number in range(data.draw(st.integers(0, 6)))]
    pending_jobs = [
        make_pending(
            number,
            data.draw(st.integers(1, 12)),
            breed=data.draw(st.sampled_from(["batch", "group", "daemon"])),
            scatter=data.draw(st.booleans()),
            oneZone=data.draw(st.booleans()),
            cpus=data.draw(st.sampled_from([0.5, 1.0, 3.0])),
            memoryGb=0.5,
        )
        for number in range(data.draw(st.integers(0, 4)))
    ]
    quota_cpus = data.draw(st.sampled_from([5.0, 20.0, UNLIMITED]))
    expected = place(
        [replace(machine) for machine in machines], pending_jobs, {"b": QuotaHeadroom(quota_cpus, UNLIMITED)}, WEIGHTS
    )
    limit, headroom, chosen = data.draw(st.integers(1, 8)), {"b": QuotaHeadroom(quota_cpus, UNLIMITED)}, {}
    waiting, deferred = pending_jobs, {pending_job.job_id for pending_job in pending_jobs}
    while deferred:
        # The jobs that an earlier pass has considered in full get nothing more, as in one pass.
        considered = [pending_job for pending_job in waiting if pending_job.job_id in deferred]
        decisions, deferred = place_at_most(limit, machines, considered, headroom, WEIGHTS)
        waiting = continue_pass(considered, decisions, machines)
        for decision in decisions:
            chosen.setdefault(decision.job_id, []).extend(decision.machines)
    assert chosen == {decision.job_id: decision.machines for decision in expected}


@pytest.mark.parametrize("changes", [{}, {"breed": "daemon", "grazeS": 0.0}], ids=["array", "service"])
def test_one_pass_does_not_place_all_tasks_of_a_large_job(world, changes):
    """Guards against a leader that loses its lease by placing 100,000 tasks in one turn of the reactor."""
    term = world.lead()
    placed_counts = []
    run_pass = term.scheduling_loop.run_pass

    def count_placed():
        before = sum(len(job.placements) for job in term.job_table.jobs.values())
        run_pass()
        placed_counts.append(sum(len(job.placements) for job in term.job_table.jobs.values()) - before)

    term.pass_trigger.set_runner(count_placed)
    world.submit(heads=LARGE_JOB_TASKS, cpus=1e-5, memoryGb=0.0, sundownS=None, **changes)
    world.reporting = False
    for _ in range(100):
        world.clock.advance(0.05)
        if sum(placed_counts) >= LARGE_JOB_TASKS:
            break
        for worker in world.workers.values():
            if not sum(placed_counts):
                world.report(worker)
    assert sum(placed_counts) == LARGE_JOB_TASKS
    assert max(placed_counts) <= MAX_ARRAY_TASKS // 10
