"""Orphaned tasks of large jobs: adopting them takes the tasks of a job once, not for each adopted task."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.types import MachineId, MachineKind, WallTime
from meadowcross.jobs.messages import JobRecord, JobSpec
from meadowcross.workers.machine import Machine
from meadowcross.workers.messages import TaskReport, TaskState
from tests.support.step_counter import count_steps
from tests.support.world import job

TASK_COUNT = 5_000
ADOPTED_COUNT = 400
STEPS_PER_TASK = 10
STEPS_PER_ADOPTION = 200


@pytest.mark.parametrize("breed", ["batch", "group"])
def test_adopting_tasks_of_a_large_job_does_not_take_all_its_tasks_for_each(world, breed):
    """Guards against a leader that loses its lease after lost data, as each adopted task rebuilt the whole job."""
    term = world.lead()
    record = JobRecord(msgspec.convert(job(breed=breed, heads=TASK_COUNT), JobSpec), WallTime(1.0))
    large_job = term.job_table.add(record, 1)
    machine = Machine(MachineId("i-0"), MachineKind("small", "east", True), None, world.clock.seconds())
    term.worker_registry.add(machine)
    reports = [TaskReport(f"{large_job.id}/{number}", 3, TaskState.RUNNING) for number in range(ADOPTED_COUNT)]
    machine.reported.stale = list(reports)
    limit = STEPS_PER_TASK * TASK_COUNT + STEPS_PER_ADOPTION * ADOPTED_COUNT
    count_steps(lambda: term.reconciler.adopt_orphans(machine), limit)
    assert sorted(large_job.placements) == list(range(ADOPTED_COUNT))
    assert large_job.waiting_count == TASK_COUNT - ADOPTED_COUNT
    assert large_job.gang_attempt == (3 if breed == "group" else None)
