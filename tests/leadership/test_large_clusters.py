"""At size: huge arrays, thousands of waiting jobs, all workers at once."""

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

MOST = 100_000


@pytest.mark.parametrize(("heads", "status"), [(MOST, 201), (MOST + 1, 400)])
def test_the_largest_array_is_one_write_and_a_larger_one_is_malformed(world, heads, status):
    before = world.state.revision
    assert world.submit(heads=heads).status == status
    assert world.state.revision - before == (status == 201)


def test_a_pass_over_the_largest_array_stores_only_what_it_placed(world):
    term = world.lead()
    world.submit(heads=MOST, grazeS=600.0, sundownS=None)
    world.pass_time(8.0)
    big = term.job_table.jobs["wk-000001"]
    assert big.placements and len(big.placements) + big.waiting_count == MOST
    chunks = [key for key in world.state.keys if key.startswith("t/wk-000001/")]
    assert len(chunks) == len({big.chunk_of(index) for index in big.placements}), "a chunk written without need"


def test_thousands_of_waiting_jobs_ask_full_rooms_once(monkeypatch):
    asked = 0
    fits = Candidate.fits

    def counting(offer, spec):
        nonlocal asked
        asked += 1
        return fits(offer, spec)

    monkeypatch.setattr(Candidate, "fits", counting)
    kind = MachineKind("small", "east", True)
    offers = [Candidate(MachineId(f"i-{n}"), kind, 4.0, 0.0, 16.0, set()) for n in range(500)]
    wants = []
    for number in range(4000):
        spec = msgspec.convert(job(id=f"wk-{number:06d}", heads=1, cpus=1.0 + number % 3), JobSpec)
        wants.append(PendingJob(JobId(spec.id), spec, 1, 2, float(number)))
    choices = place(offers, wants, {"b": QuotaHeadroom(1e15, 1e15)}, OperatorSettings())
    placed = sum(len(choice.machines) for choice in choices)
    assert placed >= 500
    # Each that found room looked at what was left; of the others, one of each shape did.
    assert asked < (placed + 3) * 502


@pytest.mark.parametrize("leads", [False, True])
def test_all_workers_at_once_are_told_where_to_go_or_answered(world, leads):
    term = world.lead() if leads else None
    api = WorkerApi(
        lambda: term.handle_heartbeat if term else None, lambda: NodeName("n1"), HeartbeatTracker(world.clock, 5.0)
    )
    world.net.calls.clear()
    answers = []
    for number in range(600):
        name = f"i-{number:06d}"
        machine = {"id": name, "addr": f"{name}:9000", "build": "small", "field": "east", "stubble": True}
        answers.append(api.handle_heartbeat(encode(Worker(machine).report())))
    if leads:
        assert {answer.status for answer in answers} == {200}
        assert len(term.worker_registry.machines) == 600
        world.pass_time(6.0)
        writes = [len(json.loads(body)["writes"]) for _, target, body in world.net.calls if target.endswith("/multi")]
        assert max(writes) <= world.store.max_changes and sum(writes) >= 600
        assert all(machine.is_stored for machine in term.worker_registry.machines.values())
    else:
        assert {(a.status, a.body) for a in answers} == {(421, b'{"drover":"n1"}\n')}
