"""Selections of machines for jobs with constraints: the same machines as before, at a cost that large jobs can have."""

from __future__ import annotations

import os
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import JobId, MachineId, MachineKind
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.constrained import place_constrained
from meadowcross.placement.greedy_selection import GreedySelection
from meadowcross.placement.model import Candidate, PendingJob
from tests.support.reference_decisions import select_one_by_one
from tests.support.step_counter import count_steps
from tests.support.world import job

EXAMPLES = int(os.environ.get("MEADOWCROSS_EXAMPLES", "0"))
ZONES = ("east", "north", "south", "west")
WEIGHTS = OperatorSettings()


def make_pending(tasks, **changes):
    spec = msgspec.convert(job(heads=tasks, **changes), JobSpec)
    return PendingJob(JobId(spec.id), spec, tasks, 2, 0.0)


def make_machines(count, free_cpus):
    # Machines in use differ a little in what is free, as their tasks do.
    return [
        Candidate(
            MachineId(f"i-{n:06d}"), MachineKind("large", ZONES[n % 4], True), free_cpus - n % 5, 0.0, 512.0, set()
        )
        for n in range(count)
    ]


CONSTRAINTS = [
    ("gang", {"breed": "group"}),
    ("gang in one zone", {"breed": "group", "oneZone": True}),
    ("gang over zones", {"breed": "group", "scatter": True}),
    ("service over zones", {"breed": "daemon", "scatter": True}),
    ("array in one zone", {"oneZone": True}),
]
STEPS_PER_TASK_AND_ZONE = 100
STEPS_PER_MACHINE = 100


@pytest.mark.parametrize("changes", [case[1] for case in CONSTRAINTS], ids=[case[0] for case in CONSTRAINTS])
@pytest.mark.parametrize(
    ("task_count", "machine_count"), [(10_000, 200), (256, 4_000)], ids=["many tasks", "many machines"]
)
def test_one_large_job_does_not_hold_the_reactor_for_its_tasks_times_the_machines(task_count, machine_count, changes):
    """Guards against a leader that loses its lease in one placement of a gang of 10,000 tasks, or on 4,000 machines."""
    pending_job = make_pending(task_count, cpus=0.5, memoryGb=0.0, **changes)
    machines = make_machines(machine_count, 64.0)
    limit = STEPS_PER_TASK_AND_ZONE * len(ZONES) * task_count + STEPS_PER_MACHINE * machine_count
    count_steps(lambda: place_constrained(pending_job, machines, task_count, WEIGHTS), limit)


@pytest.mark.parametrize("changes", [case[1] for case in CONSTRAINTS[:3]], ids=[case[0] for case in CONSTRAINTS[:3]])
def test_gang_that_does_not_fit_is_refused_without_choosing_machines_for_its_tasks(changes):
    """Guards against leaders that lose their leases as every pass tries gangs of thousands of tasks that don't fit."""
    task_count, machine_count = 9_000, 240
    pending_job = make_pending(task_count, cpus=1.9, memoryGb=0.0, **changes)
    machines = make_machines(machine_count, 64.0)
    count_steps(
        lambda: place_constrained(pending_job, machines, task_count, WEIGHTS), STEPS_PER_MACHINE * machine_count
    )


AMOUNTS = st.sampled_from([0.1, 0.3, 0.5, 1.0, 2.0, 3.7])
FREE_AMOUNTS = st.sampled_from([0.0, 0.1, 1.0, 2.0, 4.0, 4.0 - 4e-16, 4.0 + 9e-16, 7.3, 16.0])
COSTS = st.sampled_from([0.0, 0.5, 1.0, 4.0, 1000.0])
WEIGHT_VALUES = st.sampled_from([0.0, 0.1, 0.5, 1.0, 1000.0])


def draw_candidate(data, number):
    zone = data.draw(st.sampled_from(ZONES))
    images = data.draw(st.sampled_from([set(), {"img"}, {"other"}]))
    fetching = data.draw(st.sampled_from([set(), {"img"}, {"other"}]))
    free_cpus, free_memory_gb = data.draw(FREE_AMOUNTS), data.draw(FREE_AMOUNTS)
    kind = MachineKind("large", zone, True)
    return Candidate(MachineId(f"i-{number}"), kind, free_cpus, 1.0, free_memory_gb, images, fetching)


def draw_pending(data, candidates, breeds=("batch", "group", "daemon")):
    pending_job = make_pending(
        data.draw(st.integers(1, 24)),
        breed=data.draw(st.sampled_from(breeds)),
        scatter=data.draw(st.booleans()),
        cpus=data.draw(AMOUNTS),
        memoryGb=data.draw(st.sampled_from([0.0, 0.1, 1.0])),
    )
    pending_job.image_fetch_s = data.draw(st.sampled_from([1.0, 10.0]))
    for candidate in candidates:
        count = data.draw(st.integers(0, 2))
        if count:
            pending_job.siblings[candidate.machine] = (candidate.kind.zone, count)
    pending_job.siblings[MachineId("i-full")] = (data.draw(st.sampled_from([*ZONES, ""])), 1)
    return pending_job


@settings(max_examples=EXAMPLES or 400, deadline=None, derandomize=not EXAMPLES, database=None)
@given(data=st.data())
def test_selection_by_groups_chooses_the_same_machines_as_scoring_all_for_each_task(data):
    """Guards against a faster selection that places a job elsewhere than the one that scored all machines each time."""
    candidates = [draw_candidate(data, number) for number in range(data.draw(st.integers(0, 12)))]
    pending_job = draw_pending(data, candidates)
    alpha = data.draw(st.sampled_from([0.0, 0.3, 0.5, 1.0]))
    weights = OperatorSettings(
        alpha=alpha,
        beta=1.0 - alpha,
        gamma=data.draw(WEIGHT_VALUES),
        delta=data.draw(WEIGHT_VALUES),
        cost_same_machine=data.draw(COSTS),
        cost_same_zone=data.draw(COSTS),
        cost_across_zones=data.draw(COSTS),
    )
    count = pending_job.task_count
    expected = select_one_by_one(pending_job, [replace(candidate) for candidate in candidates], count, weights)
    selection = GreedySelection(pending_job, [replace(candidate) for candidate in candidates], weights)
    chosen = []
    while len(chosen) < count and (choice := selection.assign_next()) is not None:
        chosen.append(choice.candidate.machine)
    assert chosen == expected


@settings(max_examples=EXAMPLES or 300, deadline=None, derandomize=not EXAMPLES, database=None)
@given(data=st.data())
def test_gang_is_placed_whenever_choosing_task_by_task_places_all_of_it(data):
    """Guards against a gang that is refused by counting although all its tasks fit."""
    candidates = [draw_candidate(data, number) for number in range(data.draw(st.integers(0, 12)))]
    pending_job = draw_pending(data, candidates, ["group"])
    count = pending_job.task_count
    expected = select_one_by_one(pending_job, [replace(candidate) for candidate in candidates], count, WEIGHTS)
    chosen = place_constrained(pending_job, candidates, count, WEIGHTS)
    assert chosen == (expected if len(expected) == count else [])
