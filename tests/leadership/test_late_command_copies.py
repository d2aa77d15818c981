"""Late copies of direct commands that a worker has executed and answered, under the same leader and its successor."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import Deferred

from simulation.standins import Worker

JOB = "wk-000001"
TASK = f"{JOB}/0"


def refuse_first_attempt(reason):
    """Let workers end the first attempt of each task as they execute its start."""

    def prepare(monkeypatch):
        obey = Worker.obey

        def obey_and_refuse(worker, calls):
            obey(worker, calls)
            for key in [key for key in worker.tasks if key[1] == 1]:
                worker.end(key, reason)

        monkeypatch.setattr(Worker, "obey", obey_and_refuse)

    return prepare


def start_normally(_monkeypatch):
    """Leave the workers as they are."""


def stop_all_tasks(world):
    """Stop each task as preemption, draining and the descheduler do; each is placed again."""
    for placement in list(world.term.job_table.jobs[JOB].placements.values()):
        world.term.placement_writer.stop_task(placement, 0.0)


def cancel_job(world):
    Deferred.fromCoroutine(world.api().cancel(JOB))


def complete_all_tasks(world):
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)


def wait_for_refusals(_world):
    """Do nothing: the first attempts were refused as they started."""


ENDS = [
    # how the first attempt starts, how it ends, changes of the submission
    ("moved", start_normally, stop_all_tasks, {}),
    ("cancelled", start_normally, cancel_job, {}),
    ("failed", refuse_first_attempt("error"), wait_for_refusals, {}),
    ("full", refuse_first_attempt("full"), wait_for_refusals, {}),
    ("busy", refuse_first_attempt("busy"), wait_for_refusals, {}),
    ("done", start_normally, complete_all_tasks, {}),
    ("gang member", start_normally, stop_all_tasks, {"breed": "group"}),
    ("service replica", start_normally, stop_all_tasks, {"breed": "daemon", "grazeS": 0.0, "sundownS": None}),
]


def find_start(world):
    """The worker that got the start of the task's first attempt, and the body of that request."""
    start = {"call": "start", "head": TASK, "round": 1}
    target, body = next(
        (target, body)
        for _, target, body in world.net.calls
        if target.endswith("/commands") and start in json.loads(body)["calls"]
    )
    return world.workers[target.partition(":")[0]], body


def deliver_copies(worker, body):
    """Deliver two copies of a request; returns the attempts that they started."""
    started = len(worker.started)
    for _ in range(2):
        worker.handle("POST", "/commands", {}, body)
    return worker.started[started:]


@pytest.mark.parametrize(("prepare", "end", "changes"), [row[1:] for row in ENDS], ids=[row[0] for row in ENDS])
def test_late_copy_of_an_answered_start_starts_nothing(world, monkeypatch, prepare, end, changes):
    prepare(monkeypatch)
    world.lead()
    world.submit(**changes)
    world.pass_time(6.0)
    worker, body = find_start(world)
    end(world)
    world.pass_time(8.0)
    assert (TASK, 1) not in worker.tasks, "the attempt was never reaped"
    assert deliver_copies(worker, body) == [], "under the same leader"
    world.election.step_down("test")
    assert deliver_copies(worker, body) == [], "before the worker has seen the next leader's token"
    world.pass_time(1.0)
    assert len(world.terms) == 2 and not world.term.is_stopped
    assert deliver_copies(worker, body) == [], "after this node was elected again"


def test_late_copy_of_an_answered_start_starts_nothing_on_a_restarted_worker_that_has_reported(world):
    world.lead()
    world.submit()
    world.pass_time(6.0)
    worker, body = find_start(world)
    stop_all_tasks(world)
    world.pass_time(8.0)
    worker.session, worker.seq, worker.token = 1, 0, 0
    worker.tasks.clear()
    world.report(worker)
    assert deliver_copies(worker, body) == []
