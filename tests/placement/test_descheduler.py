"""The descheduler: it moves the same replicas as before, at a cost that services with many replicas can have."""

from __future__ import annotations

import os

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import JobId, MachineId, MachineKind, WallTime
from meadowcross.jobs.job_table import PlacementPhase
from meadowcross.jobs.messages import JobRecord, JobSpec
from meadowcross.placement.descheduler import ServiceReplica, select_replicas_to_move
from meadowcross.placement.model import Candidate, PendingJob, is_kind_allowed
from meadowcross.placement.scoring import score
from tests.support.step_counter import count_steps
from tests.support.world import job

EXAMPLES = int(os.environ.get("MEADOWCROSS_EXAMPLES", "0"))
ZONES = ("east", "west", "north")
WEIGHTS = OperatorSettings()
STEPS_PER_REPLICA = 250
STEPS_PER_MACHINE = 250


def make_service(number, **changes):
    spec = msgspec.convert(job(id=f"wk-{number:06d}", breed="daemon", grazeS=0.0, **changes), JobSpec)
    return PendingJob(JobId(spec.id), spec, 0, 2, 0.0)


def test_descheduling_a_large_service_does_not_take_its_replicas_times_the_machines():
    """Guards against a leader that loses its lease by looking at 2,000 machines for each of 5,000 replicas."""
    machine_count, replica_count = 2_000, 5_000
    candidates = [
        Candidate(MachineId(f"i-{n}"), MachineKind("large", ZONES[n % 3], True), 1.0, 0.0, 1.0, set())
        for n in range(machine_count)
    ]
    service = make_service(1, heads=replica_count, cpus=0.5, memoryGb=0.0)
    replicas = [ServiceReplica(n, service, candidates[n % machine_count].machine, 1000.0) for n in range(replica_count)]
    usage = dict.fromkeys((candidate.machine for candidate in candidates), 0.95)
    limit = STEPS_PER_REPLICA * replica_count + STEPS_PER_MACHINE * machine_count
    count_steps(lambda: select_replicas_to_move(candidates, replicas, usage, WEIGHTS), limit)


def test_listing_the_replicas_of_a_large_service_does_not_take_their_number_squared(world):
    """Guards against a leader that loses its lease by collecting all siblings anew for each of 2,000 replicas."""
    term = world.lead()
    replica_count = 2_000
    spec = msgspec.convert(job(breed="daemon", grazeS=0.0, scatter=True, heads=replica_count), JobSpec)
    service = term.job_table.add(JobRecord(spec, WallTime(1.0)), 1)
    for number in range(replica_count):
        placement = term.job_table.place(service, service.pop_waiting_task(), MachineId(f"i-{number % 50}"), 1000.0)
        placement.phase, placement.running_at = PlacementPhase.RUNNING, 1000.0
    count_steps(term.scheduling_view.movable_replicas, STEPS_PER_REPLICA * replica_count)
    assert len(term.scheduling_view.movable_replicas()) == replica_count


def has_better_machine_among_all(replica, candidates, weights):
    """The decision for one replica by looking at all machines, as it was taken in commit 5770824."""
    spec = replica.pending_job.spec
    current = next(candidate for candidate in candidates if candidate.machine == replica.machine)
    current.release(spec)
    current_score = score(spec, current, {}, weights)
    current.allocate(spec)
    return any(
        is_kind_allowed(spec, candidate.kind)
        and candidate.fits(spec)
        and (not spec.one_zone or candidate.kind.zone == current.kind.zone)
        and score(spec, candidate, {}, weights) >= current_score + weights.move_lead_points
        for candidate in candidates
        if candidate is not current
    )


# Exact in binary, so that releasing and allocating a task leaves no rounding error.
AMOUNTS = st.sampled_from([0.0, 0.25, 0.5, 1.0, 4.0, 16.0])


@settings(max_examples=EXAMPLES or 300, deadline=None, derandomize=not EXAMPLES, database=None)
@given(data=st.data())
def test_same_replicas_are_moved_as_with_a_look_at_all_machines_for_each(data):
    """Guards against a faster descheduler that moves other replicas."""
    candidates = [
        Candidate(
            MachineId(f"i-{number}"),
            MachineKind(data.draw(st.sampled_from(["small", "large"])), data.draw(st.sampled_from(ZONES)), True),
            data.draw(AMOUNTS),
            0.0,
            data.draw(AMOUNTS),
            set(),
        )
        for number in range(data.draw(st.integers(1, 6)))
    ]
    services = [
        make_service(
            number,
            cpus=data.draw(st.sampled_from([0.25, 1.0])),
            memoryGb=data.draw(st.sampled_from([0.0, 0.5])),
            oneZone=data.draw(st.booleans()),
            builds=data.draw(st.sampled_from([None, ["small"]])),
        )
        for number in range(3)
    ]
    weights = OperatorSettings(move_lead_points=data.draw(st.sampled_from([0.0, 5.0, 25.0])))
    replicas = [
        ServiceReplica(
            number, data.draw(st.sampled_from(services)), data.draw(st.sampled_from(candidates)).machine, 1000.0
        )
        for number in range(data.draw(st.integers(0, 8)))
    ]
    usage = dict.fromkeys((candidate.machine for candidate in candidates), 1.0)
    expected, moved_jobs = [], set()
    for replica in replicas:
        job_id = replica.pending_job.job_id
        if job_id not in moved_jobs and has_better_machine_among_all(replica, candidates, weights):
            expected.append(replica.key)
            moved_jobs.add(job_id)
    assert [replica.key for replica in select_replicas_to_move(candidates, replicas, usage, weights)] == expected


@pytest.mark.parametrize("replica_count", [1, 7])
def test_machines_of_the_replicas_are_left_as_they_were(replica_count):
    candidates = [Candidate(MachineId("i-0"), MachineKind("small", "east", True), 0.1, 0.0, 0.3, set())]
    replicas = [ServiceReplica(n, make_service(n, cpus=0.7), MachineId("i-0"), 1000.0) for n in range(replica_count)]
    select_replicas_to_move(candidates, replicas, {MachineId("i-0"): 1.0}, WEIGHTS)
    assert (candidates[0].free_cpus, candidates[0].free_memory_gb) == (0.1, 0.3)
