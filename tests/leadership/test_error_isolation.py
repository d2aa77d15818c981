"""An unexpected error in the work for one job or machine, or in one step, does not stop the work for all others."""

from __future__ import annotations

import importlib
import json
from typing import Any

import pytest

from meadowcross.jobs.messages import JobRecord, decode_spec, encode
from tests.support.world import job

FAULTY_JOB = "wk-000001"


def job_id_of(argument: Any) -> str | None:
    """The id of the job that an argument is, or belongs to."""
    task = getattr(getattr(argument, "placement", None), "task", None)
    for owner in (argument, getattr(argument, "spec", None), task):
        for name in ("job_id", "id", "job"):
            if str(getattr(owner, name, "")).startswith("wk-"):
                return str(getattr(owner, name))
    return None


def fail_for(monkeypatch: pytest.MonkeyPatch, target: str, subject: str | None) -> None:
    """Make the function `module:name` or `module:Class.name` raise for this job or machine; for None, always."""
    module_name, _, path = target.partition(":")
    owner: Any = importlib.import_module(module_name)
    *class_names, name = path.split(".")
    for class_name in class_names:
        owner = getattr(owner, class_name)
    original = getattr(owner, name)

    def fail_or_call(*args: Any, **options: Any) -> Any:
        ids = [job_id_of(argument) or getattr(argument, "id", None) for argument in args]
        if subject is None or subject in ids:
            raise OverflowError("injected")
        return original(*args, **options)

    monkeypatch.setattr(owner, name, fail_or_call)


JOB_FAULTS = [
    # what fails for the faulty job, and the activity in which the error is contained
    ("meadowcross.leadership.scheduling_view:SchedulingView._pending_job", "listing pending jobs"),
    ("meadowcross.placement.engine:_count_placeable", "choosing machines"),
    ("meadowcross.leadership.scheduling_loop:SchedulingLoop._apply_decision", "recording placements"),
    ("meadowcross.placement.preemption:PreemptionPlanner._may_preempt_now", "planning preemption"),
    ("meadowcross.autoscaling.demand:_demand_of", "computing demand"),
    ("meadowcross.autoscaling.sizing:split_by_zone", "dividing demand by zone"),
    ("meadowcross.autoscaling.sizing:estimate_cost", "planning machines"),
    ("meadowcross.estimates.run_time_model:RunTimeModel._update_overdue", "finding overdue runs"),
    ("meadowcross.leadership.completion_forecaster:CompletionForecaster._compute_ends", "recording a forecast"),
    ("meadowcross.leadership.task_outcomes:TaskOutcomeHandler.apply", "applying a task's state"),
    ("meadowcross.jobs.job_writer:JobWriter._build_chunk", "building write ('chunk', 'wk-000001', 0)"),
    ("meadowcross.jobs.job_writer:JobWriter._on_chunk_stored", "applying stored write ('chunk', 'wk-000001', 0)"),
    ("meadowcross.leadership.job_records:JobRecords._on_new_version", "applying a job's record"),
]


@pytest.mark.parametrize(
    ("target", "activity"), JOB_FAULTS, ids=[target.rpartition(":")[2] for target, _ in JOB_FAULTS]
)
def test_error_in_the_work_for_one_job_stops_no_other_job(world, monkeypatch, contained_errors, target, activity):
    """Guards against a loop over all jobs that one job's exception ends, in each round anew."""
    contained_errors.are_expected = True
    world.operator = world.operator.__class__(learned_estimates=2.0)
    world.lead()
    fail_for(monkeypatch, target, FAULTY_JOB)
    # With the faulty job in front of the others: its priority and its place in the queue.
    world.submit(rank="critical", steward="a", heads=1)
    world.submit(id="wk-000002", steward="a", heads=2)
    world.submit(id="wk-000003", heads=12)
    world.pass_time(8.0)
    started = {task for task in world.running() if not task.startswith(FAULTY_JOB)}
    assert len(started) == 14
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)
    world.pass_time(5.0)
    assert all(world.state.value(f"e/wk-{number:06d}")["s"] == "done" for number in (2, 3))
    assert activity in contained_errors.activities()


def test_large_job_that_cannot_be_recorded_does_not_use_up_every_pass(world, monkeypatch, contained_errors):
    """Guards against a limit of tasks in a pass that one job's exception fills, so that no other job is considered."""
    contained_errors.are_expected = True
    monkeypatch.setattr("meadowcross.leadership.scheduling_loop.MAX_TASKS_PER_PASS", 3)
    world.lead()
    fail_for(monkeypatch, "meadowcross.leadership.scheduling_loop:SchedulingLoop._apply_decision", FAULTY_JOB)
    world.submit(rank="critical", heads=20)
    world.submit(id="wk-000002", heads=8)
    world.pass_time(8.0)
    assert len([task for task in world.running() if not task.startswith(FAULTY_JOB)]) == 8


STEP_FAULTS = [
    # a step that fails each time, and the activity in which the error is contained
    ("meadowcross.leadership.maintenance_loop:LeadershipTransfer.transfer_if_better_reached", "transferring the leade"),
    ("meadowcross.workers.health:FailureTracker.find_faulty_machines", "finding faulty machines"),
    ("meadowcross.leadership.cancellation_tracker:CancellationTracker.retry", "following cancellations"),
    ("meadowcross.leadership.maintenance_loop:EvictionPlanner.evict_reclaimed", "evicting tasks before reclaims"),
    ("meadowcross.leadership.reconciler:Reconciler.settle_orphaned_jobs", "settling orphaned jobs"),
    ("meadowcross.leadership.maintenance_loop:RunSampler.sample_if_due", "sampling running tasks"),
    ("meadowcross.leadership.scheduling_loop:SchedulingLoop.deschedule_replicas", "descheduling service replicas"),
    ("meadowcross.autoscaling.machine_checks:MachineChecker.check", "checking machines"),
    ("meadowcross.autoscaling.scale_in:ScaleIn.run", "scaling in"),
    ("meadowcross.autoscaling.decommissioning:Decommissioner.delete_decommissioned", "deleting machines"),
    ("meadowcross.autoscaling.machine_list:MachineListReconciler.refresh_if_due", "reading the machine list"),
]


@pytest.mark.parametrize(
    ("target", "activity"), STEP_FAULTS, ids=[target.rpartition(".")[2] for target, _ in STEP_FAULTS]
)
def test_step_that_fails_each_time_stops_no_other_step(world, monkeypatch, contained_errors, target, activity):
    """Guards against a tick whose first error ends all steps after it: later steps place tasks and create machines."""
    contained_errors.are_expected = True
    world.operator = world.operator.__class__(move_period_s=1.0)
    world.lead()
    fail_for(monkeypatch, target, None)
    world.submit(heads=6)
    world.pass_time(8.0)
    assert len(world.running()) == 6
    assert any(contained.startswith(activity) for contained in contained_errors.activities())


def test_machines_are_kept_while_the_demand_is_unknown(world, monkeypatch, contained_errors):
    """Guards the other side of a tick that goes on after an error: without demands, all machines would seem idle."""
    contained_errors.are_expected = True
    term = world.lead()
    world.submit(heads=6)
    world.pass_time(8.0)
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)
    fail_for(monkeypatch, "meadowcross.autoscaling.demand:DemandTracker.update", None)
    world.pass_time(200.0, 0.2)
    assert not world.cloud.deleted and term.worker_registry.machines


def test_error_in_the_check_of_one_machine_leaves_the_others_checked(world, monkeypatch, contained_errors):
    contained_errors.are_expected = True
    world.lead()
    world.submit(heads=8, builds=["small"])
    world.pass_time(6.0)
    first, second = sorted(world.workers)[:2]
    fail_for(monkeypatch, "meadowcross.autoscaling.machine_checks:MachineChecker._check_machine", first)
    world.cloud.on_delete = lambda _name: None
    for name in (first, second):
        world.net.hosts.pop(world.workers.pop(name).machine["addr"])
    world.pass_time(30.0, 0.2)
    assert second in world.cloud.deleted and first not in world.cloud.deleted


def test_record_that_cannot_be_read_stops_neither_the_leader_nor_the_next_one(world, contained_errors):
    """Guards against a term that one unreadable record ends: every later leader would end by it as well."""
    contained_errors.are_expected = True
    unreadable = encode(JobRecord(decode_spec(encode(job(id=FAULTY_JOB))), 0.0)).replace(b'"cpus":1.0', b'"cpus":0.0')
    chunk_key = f"t/{FAULTY_JOB}/00000"
    first_term = world.lead()
    writes = [{"write": f"j/{FAULTY_JOB}", "data": json.loads(unreadable)}]
    world.state.transact({"if": [], "writes": [*writes, {"write": chunk_key, "data": [1, 0]}]})
    world.submit(id="wk-000002")
    world.pass_time(5.0)
    assert not first_term.is_stopped and len(world.running()) == 2
    world.election.step_down("test")
    world.pass_time(1.0)
    world.submit(id="wk-000003")
    world.pass_time(5.0)
    assert world.term is not first_term and not world.term.is_stopped and len(world.running()) == 4
    # A program that can read the record finds the job as it was.
    assert world.state.value(f"j/{FAULTY_JOB}") is not None and world.state.value(chunk_key) == [1, 0]
    assert contained_errors.activities() == {"applying a job's record"}
