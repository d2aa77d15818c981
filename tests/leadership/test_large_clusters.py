"""Large clusters: huge arrays, thousands of waiting jobs, heartbeats of all workers at once."""

from __future__ import annotations

import json

import msgspec
import pytest

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import JobId, MachineId, MachineKind, NodeName
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.engine import place
from meadowcross.placement.model import Candidate, PendingJob, QuotaHeadroom
from meadowcross.workers.api import WorkerApi
from meadowcross.workers.heartbeat_tracker import HeartbeatTracker
from meadowcross.workers.messages import encode
from simulation.standins import Worker
from tests.support.world import job

MAX_ARRAY_TASKS = 100_000


@pytest.mark.parametrize(("task_count", "status"), [(MAX_ARRAY_TASKS, 201), (MAX_ARRAY_TASKS + 1, 400)])
def test_largest_array_takes_one_write_and_a_larger_one_is_rejected(world, task_count, status):
    revision_before = world.state.revision
    assert world.submit(heads=task_count).status == status
    assert world.state.revision - revision_before == (status == 201)


def test_pass_over_the_largest_array_stores_only_changed_chunks(world):
    term = world.lead()
    world.submit(heads=MAX_ARRAY_TASKS, grazeS=600.0, sundownS=None)
    world.pass_time(8.0)
    largest_job = term.job_table.jobs["wk-000001"]
    assert largest_job.placements and len(largest_job.placements) + largest_job.waiting_count == MAX_ARRAY_TASKS
    chunks = [key for key in world.state.keys if key.startswith("t/wk-000001/")]
    assert len(chunks) == len({largest_job.chunk_of(index) for index in largest_job.placements}), (
        "unchanged chunk stored"
    )


def test_full_machines_are_checked_once_for_each_shape_of_thousands_of_jobs(monkeypatch):
    check_count = 0
    fits = Candidate.fits

    def count_and_check(candidate, spec):
        nonlocal check_count
        check_count += 1
        return fits(candidate, spec)

    monkeypatch.setattr(Candidate, "fits", count_and_check)
    kind = MachineKind("small", "east", True)
    candidates = [Candidate(MachineId(f"i-{n}"), kind, 4.0, 0.0, 16.0, set()) for n in range(500)]
    pending_jobs = []
    for number in range(4000):
        spec = msgspec.convert(job(id=f"wk-{number:06d}", heads=1, cpus=1.0 + number % 3), JobSpec)
        pending_jobs.append(PendingJob(JobId(spec.id), spec, 1, 2, float(number)))
    decisions = place(candidates, pending_jobs, {"b": QuotaHeadroom(1e15, 1e15)}, OperatorSettings())
    placed_count = sum(len(decision.machines) for decision in decisions)
    assert placed_count >= 500
    # Each job that was placed checked the remaining machines; of the other jobs, only one of each shape did.
    assert check_count < (placed_count + 3) * 502


@pytest.mark.parametrize("is_leading", [False, True])
def test_heartbeats_of_all_workers_at_once_are_handled_or_redirected(world, is_leading):
    term = world.lead() if is_leading else None
    api = WorkerApi(
        lambda: term.handle_heartbeat if term else None, lambda: NodeName("n1"), HeartbeatTracker(world.clock, 5.0)
    )
    world.net.calls.clear()
    responses = []
    for number in range(600):
        machine_id = f"i-{number:06d}"
        machine = {"id": machine_id, "addr": f"{machine_id}:9000", "build": "small", "field": "east", "stubble": True}
        responses.append(api.handle_heartbeat(encode(Worker(machine).report())))
    if is_leading:
        assert {response.status for response in responses} == {200}
        assert len(term.worker_registry.machines) == 600
        world.pass_time(6.0)
        write_counts = [
            len(json.loads(body)["writes"]) for _, target, body in world.net.calls if target.endswith("/multi")
        ]
        assert max(write_counts) <= world.store.max_changes and sum(write_counts) >= 600
        assert all(machine.is_stored for machine in term.worker_registry.machines.values())
    else:
        assert {(redirect.status, redirect.body) for redirect in responses} == {(421, b'{"drover":"n1"}\n')}
