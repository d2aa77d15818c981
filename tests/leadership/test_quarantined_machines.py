"""Jobs beside machines that fail tasks: a leader's term with simulated services and workers."""

from __future__ import annotations

from collections import Counter

import pytest

LONGEST_WAIT_S = 90.0
"""Users' limit for a job that waits beside a machine with capacity."""
BOUND = {"builds": ["large"], "field": "east", "cpus": 4.0, "memoryGb": 4.0}
"""Fields of a job that only one type and zone may run."""


def fail_running(worker, job_id=None):
    """End the worker's running tasks with an error: all of them, or those of one job."""
    for key, task in list(worker.tasks.items()):
        if task["standing"] == "running" and (job_id is None or key[0].startswith(job_id)):
            worker.end(key, "error")


def start_with_one_machine(world):
    """Begin a term with one large machine, which ran a job; the cloud has no other."""
    term = world.lead()
    world.submit(heads=1, **BOUND)
    world.pass_time(6.0)
    (worker,) = world.workers.values()
    for key in list(worker.tasks):
        worker.end(key)
    world.pass_time(2.0)
    world.cloud.full = True
    assert world.state.value("e/wk-000001") is not None
    return term, worker


def wait_until_running(world, job_id, tasks=1):
    """The seconds until that many tasks of the job run; fails after the users' limit."""
    for waited_s in range(int(LONGEST_WAIT_S)):
        if sum(task.startswith(job_id) for task in world.running()) >= tasks:
            return waited_s
        world.pass_time(1.0)
    raise AssertionError(job_id)


KINDS = [
    ("array", {"heads": 2}),
    ("array in one zone", {"heads": 2, "oneZone": True}),
    ("gang", {"heads": 2, "breed": "group"}),
    ("service", {"heads": 2, "breed": "daemon"}),
]


@pytest.mark.parametrize("changes", [case[1] for case in KINDS], ids=[case[0] for case in KINDS])
@pytest.mark.parametrize("is_led_on", [False, True], ids=["same leader", "next leader"])
def test_job_runs_on_the_only_machine_that_failed_it_once(world, changes, is_led_on):
    """Guards against a quarantine that only another machine can end: review/3, a job waited for ever."""
    _, worker = start_with_one_machine(world)
    world.submit(id="wk-000002", **BOUND | changes)
    world.pass_time(2.0)
    fail_running(worker)
    world.pass_time(4.0)
    if is_led_on:
        world.election.step_down("test")
        world.pass_time(1.0)
    wait_until_running(world, "wk-000002", tasks=2)
    assert world.cloud.deleted == []


def test_machine_that_fails_every_task_costs_few_attempts_of_each_job(world):
    """Guards the other side: a faulty machine must not take the head of the queue again and again."""
    _, worker = start_with_one_machine(world)
    for number in range(2, 7):
        world.submit(id=f"wk-{number:06d}", heads=1, **BOUND)
    started_before = len(worker.started)
    for _ in range(300):
        world.pass_time(1.0)
        fail_running(worker)
    attempts = Counter(task.partition("/")[0] for task, _ in worker.started[started_before:])
    # All five fit at once before the first failure is known; then one job has a trial every half minute.
    assert sum(attempts.values()) <= 5 + 2 + 300 / 30
    assert max(attempts.values()) - min(attempts.values()) <= 2


def test_no_task_goes_to_a_quarantined_machine_while_another_one_has_capacity(world):
    world.lead()
    world.submit(heads=8, cpus=4.0, memoryGb=4.0, builds=["small"])
    world.pass_time(6.0)
    faulty_worker = next(iter(world.workers.values()))
    # The faulty job shows nothing about the machine: it fails everywhere.
    for worker in world.workers.values():
        fail_running(worker)
    started_before = len(faulty_worker.started)
    world.submit(id="wk-000002", heads=2, cpus=1.0, memoryGb=1.0, builds=["small"], rank="critical")
    world.pass_time(10.0)
    assert len([task for task in world.running() if task.startswith("wk-000002")]) == 2
    assert len(faulty_worker.started) - started_before <= 3


def test_faulty_job_does_not_take_the_only_machine_from_other_jobs(world):
    """Guards the other side: the jobs after a faulty one run, and the machine is neither kept from them nor deleted."""
    term, worker = start_with_one_machine(world)
    world.submit(id="wk-000002", heads=1, rank="critical", **BOUND)
    world.pass_time(2.0)
    fail_running(worker, "wk-000002")
    for number in range(3, 6):
        world.submit(id=f"wk-{number:06d}", heads=2, **BOUND)
        waited_s = 0
        while sum(task.startswith(f"wk-{number:06d}") for task in world.running()) < 2:
            world.pass_time(1.0)
            fail_running(worker, "wk-000002")
            waited_s += 1
            assert waited_s < LONGEST_WAIT_S
        for key in list(worker.tasks):
            if not key[0].startswith("wk-000002"):
                worker.end(key)
        world.pass_time(2.0)
        fail_running(worker, "wk-000002")
    assert world.cloud.deleted == [] and term.job_table.jobs["wk-000002"].pause_count >= 1


def test_job_within_its_wait_takes_capacity_elsewhere_rather_than_a_trial(world):
    """A trial is for jobs that find no other capacity: here the cloud creates a machine before the pause is over."""
    _, worker = start_with_one_machine(world)
    world.submit(id="wk-000002", heads=1, **BOUND)
    world.pass_time(2.0)
    fail_running(worker)
    started_before = len(worker.started)
    world.cloud.full = False
    world.pass_time(30.0)
    assert [task for task in world.running() if task.startswith("wk-000002")]
    assert len(worker.started) == started_before and world.cloud.deleted == [worker.machine["id"]]


def test_job_that_failed_beside_a_faulty_one_gets_its_turn(world):
    """Guards against a faulty job at the head of the queue that has every trial."""
    _, worker = start_with_one_machine(world)
    world.submit(id="wk-000002", heads=1, rank="critical", **BOUND)
    world.submit(id="wk-000003", heads=1, **BOUND)
    world.pass_time(2.0)
    # The machine fails both, and works again; the first job is submitted with a mistake and always fails.
    fail_running(worker)
    waited_s = 0
    while not [task for task in world.running() if task.startswith("wk-000003")]:
        world.pass_time(1.0)
        fail_running(worker, "wk-000002")
        waited_s += 1
        assert waited_s < LONGEST_WAIT_S
