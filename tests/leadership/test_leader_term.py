"""A leader's term with simulated services and workers: stored placements, takeover, cancellation, outages, quotas."""

from __future__ import annotations

import json

import msgspec
import pytest

from meadowcross.autoscaling import messages as autoscaling_messages
from meadowcross.common.clock import pause
from meadowcross.common.types import Address, WallTime
from simulation.standins import Worker


def list_stored_placements(world, chunk="t/wk-000001/00000"):
    return [entry for entry in world.state.value(chunk) or [] if isinstance(entry, list)]


def test_completed_tasks_are_reaped_only_after_their_end_is_stored(world):
    world.lead()
    world.submit()
    world.pass_time(6.0)
    assert world.running() == ["wk-000001/0", "wk-000001/1"]
    world.state.outage = True
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)
    world.pass_time(5.0)
    assert any(w.tasks for w in world.workers.values()), "reaped before the end was stored"
    world.state.outage = False
    world.pass_time(4.0)
    assert world.state.value("e/wk-000001") == {"s": "done", "n": 2}
    assert not any(w.tasks for w in world.workers.values())
    assert world.state.value("j/wk-000001") is None and world.state.value("t/wk-000001/00000") is None


def test_placement_is_stored_before_its_start_is_sent(world):
    world.lead()
    world.submit()
    original = Worker.obey

    def obey(worker, calls):
        for call in calls:
            if call["call"] == "start":
                assert [call["round"], worker.machine["id"]] in list_stored_placements(world)
        original(worker, calls)

    Worker.obey = obey
    try:
        world.pass_time(6.0)
    finally:
        Worker.obey = original
    assert len(world.running()) == 2


@pytest.mark.parametrize("fault", ["lose", "late", "refuse"])
def test_direct_start_without_a_response_never_runs_a_task_twice(world, fault):
    world.lead()
    world.submit(id="wk-000002", heads=1)
    world.pass_time(5.0)
    faults = [(f"{name}:9000/commands", fault) for name in world.workers]
    world.net.faults = list(faults)
    world.submit(heads=1)
    world.pass_time(4.0)
    assert len(world.net.faults) < len(faults), "expected the fault to occur"
    world.net.faults = []
    world.net.deliver_late()
    world.pass_time(6.0)
    assert world.running().count("wk-000001/0") == 1


def test_start_without_a_response_keeps_its_placement_until_the_worker_restarts(world):
    term = world.lead()
    world.submit(heads=1)
    world.pass_time(2.0, 0.05)
    job = term.job_table.jobs["wk-000001"]
    if not job.placements:
        world.pass_time(2.0)
    machine = term.worker_registry.machines[job.placements[0].machine]
    worker = world.workers[machine.id]
    key = next(iter(worker.tasks))
    # The state after a lost response to a start that the worker has not executed yet.
    worker.tasks.clear()
    term.worker_registry.record_starts_sent(machine, 1, [(job.placements[0].task, job.placements[0].attempt)])
    world.pass_time(4.0)
    assert job.placements[0].machine == machine.id and job.placements[0].attempt == key[1]
    worker.session = 2
    world.pass_time(3.0)
    assert job.placements[0].attempt == key[1] + 1
    assert len(world.running()) == 1


def test_cancellation_before_the_placement_is_stored_prevents_the_start(world):
    term = world.lead()
    world.submit(id="wk-000002")
    world.pass_time(4.0)
    world.reporting = False
    # The placement's transaction conflicts with a cancellation that the leader has not received yet.
    world.submit()
    job_key = "j/wk-000001"
    record = dict(world.state.value(job_key), c=1.0)
    world.state.transact({"if": [], "writes": [{"write": job_key, "data": record}]})
    world.pass_time(1.0)
    assert term.job_table.jobs.get("wk-000001") is None
    assert not any(key[0].startswith("wk-000001") for w in world.workers.values() for key in w.started)
    assert world.state.value("e/wk-000001") == {"s": "cancelled", "n": 2}


def test_cancelled_job_ends_once_its_running_tasks_have_stopped(world):
    world.lead()
    world.submit()
    world.pass_time(5.0)
    assert len(world.running()) == 2
    world.run(world.api().cancel("wk-000001"))
    world.pass_time(2.0)
    assert world.running() == [] and world.state.value("e/wk-000001")["s"] == "cancelled"


def test_unreachable_machine_with_a_cancelled_task_is_deleted(world):
    world.lead()
    world.submit(heads=1)
    world.pass_time(5.0)
    (worker,) = [w for w in world.workers.values() if w.tasks]
    address = worker.machine["addr"]
    del world.net.hosts[address]
    world.run(world.api().cancel("wk-000001"))
    world.reporting = False
    world.pass_time(30.0, 0.25)
    assert worker.machine["id"] in world.cloud.deleted
    assert world.state.value("e/wk-000001")["s"] == "cancelled"


def test_cancellation_stored_before_the_reported_end_of_the_tasks_wins(world):
    world.lead()
    world.submit()
    world.pass_time(5.0)
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)
    # The leader has not received the reports yet, so the cancellation comes first and stays.
    response = world.run(world.api().cancel("wk-000001"))
    assert json.loads(response.body)["standing"] == "cancelled"
    world.pass_time(3.0)
    assert world.state.value("e/wk-000001")["s"] == "cancelled"


def test_new_leader_starts_no_task_twice(world):
    first_term = world.lead()
    world.submit(heads=3)
    world.pass_time(5.0)
    started_before = {key for w in world.workers.values() for key in w.started}
    world.election.step_down("test")
    world.pass_time(1.0)
    second_term = world.term
    assert second_term is not first_term and second_term.token > first_term.token and second_term.is_loaded
    world.pass_time(5.0)
    assert {key for w in world.workers.values() for key in w.started} == started_before
    assert all(w.token == second_term.token for w in world.workers.values())
    # A task whose worker restarted runs again, with a higher attempt.
    worker = next(w for w in world.workers.values() if w.tasks)
    worker.session, worker.tasks = 2, {}
    world.pass_time(4.0)
    assert len(world.running()) == 3


def test_quota_counts_tasks_on_unreachable_machines(world):
    term = world.lead()
    world.submit(steward="a", heads=20, cpus=2.0)
    world.pass_time(5.0)
    assert len(world.running()) == 4
    world.cloud.trouble = True
    for worker in world.workers.values():
        world.net.hosts.pop(worker.machine["addr"])
    world.reporting = False
    world.pass_time(60.0, 0.25)
    job = term.job_table.jobs["wk-000001"]
    assert len(job.placements) == 4 and term.job_table.usage_of("a").cpus == 8.0
    world.cloud.trouble = False
    world.pass_time(5.0, 0.25)
    assert term.job_table.usage_of("a").cpus <= 8.0 and len(world.cloud.deleted) > 0


def test_leader_responds_to_heartbeats_in_a_store_outage_until_a_higher_token(world):
    term = world.lead()
    world.submit(heads=2)
    world.pass_time(5.0)
    world.state.outage = True
    world.pass_time(20.0, 0.25)
    worker = next(iter(world.workers.values()))
    assert world.report(worker).token == term.token
    assert not term.is_stopped
    # A higher token in a heartbeat ends the term.
    worker.token = term.worker_registry.tokens.newest + 1
    assert world.report(worker) is None and term.is_stopped


def test_job_that_fails_on_every_machine_is_paused_and_no_machine_is_decommissioned(world):
    term = world.lead()
    world.submit(heads=1)
    world.pass_time(5.0)
    for _ in range(4):
        for worker in list(world.workers.values()):
            for key, task in worker.tasks.items():
                if task["standing"] == "running":
                    worker.end(key, "error")
        world.pass_time(10.0, 0.1)
    assert term.job_table.jobs["wk-000001"].pause_count >= 1
    assert not any(
        m.decommission_reason and "fails" in m.decommission_reason for m in term.worker_registry.machines.values()
    )


def test_machine_whose_tasks_fail_while_others_succeed_is_deleted(world):
    world.lead()
    world.submit(heads=8, memoryGb=8.0, builds=["small"])
    world.pass_time(6.0)
    faulty_worker = next(w for w in world.workers.values() if w.tasks)
    for key in list(faulty_worker.tasks):
        faulty_worker.end(key, "error")
    world.pass_time(2.0)
    for worker in list(world.workers.values()):
        if worker is not faulty_worker:
            for key in list(worker.tasks):
                worker.end(key)
    world.pass_time(4.0)
    assert faulty_worker.machine["id"] in world.cloud.deleted


def test_large_job_is_stored_in_chunks_below_the_value_limit(world):
    world.lead()
    world.cloud.full = True
    world.submit(heads=2000, cpus=0.01, memoryGb=0.01)
    world.cloud.full = False
    world.pass_time(20.0, 0.25)
    chunks = [k for k in world.state.keys if k.startswith("t/wk-000001/")]
    assert len(chunks) == 8
    assert all(len(json.dumps(world.state.value(k))) < 16 * 1024 for k in chunks)
    assert len(world.running()) == 2000


def test_task_leaves_a_machine_with_an_eviction_notice_which_is_then_deleted(world):
    term = world.lead()
    world.submit(heads=1, id="wk-000001", stookS=10.0, baleS=2.0, grazeS=300.0)
    world.pass_time(5.0)
    (reclaimed_worker,) = [w for w in world.workers.values() if w.tasks]
    reclaimed_worker.notice = 20.0
    world.pass_time(5.0)
    job = term.job_table.jobs["wk-000001"]
    assert job.placements[0].machine != reclaimed_worker.machine["id"] and job.placements[0].attempt == 2
    assert reclaimed_worker.machine["id"] in world.cloud.deleted
    assert world.running() == ["wk-000001/0"]


def test_machine_that_ignores_the_stop_of_a_cancelled_task_is_deleted(world, monkeypatch):
    world.lead()
    world.submit(heads=1)
    world.pass_time(5.0)
    monkeypatch.setattr(Worker, "obey", lambda worker, calls: None)
    world.run(world.api().cancel("wk-000001"))
    world.pass_time(25.0, 0.25)
    assert world.running() == [] and len(world.cloud.deleted) >= 1
    assert world.state.value("e/wk-000001")["s"] == "cancelled"


def test_higher_priority_task_preempts_lower_priority(world):
    world.lead()
    world.submit(heads=500, id="wk-000002", rank="idle")
    world.pass_time(6.0)
    world.cloud.full = True
    world.pass_time(3.0)
    low_priority_count = len(world.running())
    world.submit(heads=1, rank="urgent", cpus=4.0, memoryGb=4.0, sundownS=40.0)
    world.pass_time(3.0)
    assert "wk-000001/0" in world.running()
    assert low_priority_count > len([t for t in world.running() if t.startswith("wk-000002")])
    assert len(world.running()) == len(set(world.running()))


def test_gang_restarts_as_a_whole_with_one_new_attempt(world):
    world.lead()
    world.submit(heads=3, breed="group", stookS=10.0, baleS=1.0)
    world.pass_time(6.0)
    assert len(world.running()) == 3
    # One member fails, the other two exit because of that, and all three start again together.
    members = [(w, key) for w in world.workers.values() for key in w.tasks]
    members[0][0].end(members[0][1], "error")
    world.pass_time(2.0)
    assert len(world.running()) == 2, "expected no new member while old ones run"
    for worker, key in members[1:]:
        worker.end(key, "mates_gone")
    world.pass_time(6.0)
    attempts = {task["round"] for w in world.workers.values() for task in w.tasks.values()}
    assert len(world.running()) == 3 and attempts == {2}


def test_machines_for_a_burst_are_created_at_once_in_several_requests(world):
    """With one request of at most 50 machines per second, the last of 300 machines was created 6 s late."""
    world.lead()
    world.cloud.at_once = 50
    world.submit(heads=600, cpus=4.0, memoryGb=16.0, builds=["small"])
    world.pass_time(0.5)
    assert len(world.cloud.machines) == 600
    assert len(world.cloud.requests) == 12


def test_queued_requests_for_a_refused_machine_kind_are_dropped(world):
    world.lead()
    world.cloud.full = True
    creation_requests = []
    original = world.cloud.handle

    def handle(method, path, query, body):
        if path == "/rentals" and method == "POST":
            creation_requests.append(json.loads(body))
        return original(method, path, query, body)

    world.net.hosts["cloud:1"] = handle
    # The job needs more requests than the cloud accepts in a burst; the requests that had to wait are dropped.
    world.submit(heads=5000, cpus=4.0, memoryGb=16.0, builds=["small"], field="east")
    world.pass_time(0.9)
    assert 0 < len(creation_requests) <= 55


SIZES = [
    ("a job of 1,200 tasks", [{"heads": 1200}], False, 1200),
    ("larger than its team's quota", [{"heads": 1200, "steward": "a"}], False, 8),
    ("thousands of waiting tasks without capacity", [{"heads": 3000}, {"heads": 3000, "steward": "a"}], True, 0),
]


@pytest.mark.parametrize(
    ("jobs", "is_cloud_full", "running_count"), [row[1:] for row in SIZES], ids=[row[0] for row in SIZES]
)
def test_large_jobs_run_as_far_as_quota_and_capacity_allow(world, jobs, is_cloud_full, running_count):
    world.lead()
    world.cloud.at_once, world.cloud.full = 50, is_cloud_full
    for number, changes in enumerate(jobs):
        assert world.submit(id=f"wk-00000{number}", **changes).status == 201
    world.pass_time(20.0, 0.25)
    assert len(world.running()) == running_count
    # A submission gets its final response at once, however many tasks wait.
    assert world.submit(id="wk-000008", heads=1).status == 201
    assert world.submit(id="wk-000009", steward="nobody").status == 422
    assert world.submit(id="wk-9").status == 400
    # As many tasks start again once the running ones have ended.
    if running_count < 1200 and not is_cloud_full:
        for worker in world.workers.values():
            for key in list(worker.tasks):
                worker.end(key)
        world.pass_time(5.0, 0.25)
        assert len([task for task in world.running() if task.startswith("wk-000000")]) == running_count


def test_new_leader_probes_its_machines_a_few_at_a_time(world):
    world.lead()
    world.cloud.at_once = 50
    world.submit(heads=100, cpus=4.0, memoryGb=16.0, builds=["small"])
    world.pass_time(8.0, 0.25)
    assert len(world.running()) == 100
    world.reporting = False
    first_term = world.term
    world.election.step_down("test")
    probe_counts = []
    for _ in range(60):
        calls_before = len(world.net.calls)
        world.clock.advance(0.05)
        probe_counts.append(sum("/commands" in path for _, path, _ in world.net.calls[calls_before:]))
    assert world.term is not first_term and sum(probe_counts) >= 100 and max(probe_counts) <= 32
    # The machines send no heartbeats; their responses to the probes alone confirm the token.
    assert all(machine.proof.has_confirmed_token for machine in world.term.worker_registry.machines.values())


@pytest.mark.parametrize("breed", ["batch", "group", "daemon"])
def test_job_that_excludes_spot_machines_starts_on_others_and_is_not_moved(world, breed):
    """Machines that are not spot machines cost four times as much here, and no deadline is close."""
    world.lead()
    world.submit(id="wk-000002", heads=40, sundownS=None)
    world.pass_time(20.0, 0.1)
    world.submit(breed=breed, stubble=False, sundownS=None, grazeS=600.0, stookS=10.0, baleS=1.0)
    world.pass_time(8.0)

    def started_attempts():
        return {key for w in world.workers.values() for key in w.started if key[0].startswith("wk-000001")}

    started_before = started_attempts()
    assert len(started_before) == 2
    # A draining machine would only have been a candidate until the next pass of the autoscaler.
    on_demand_machines = [m for m in world.term.worker_registry.machines.values() if not m.kind.spot]
    assert on_demand_machines and not any(m.is_draining for m in on_demand_machines)
    world.pass_time(90.0, 0.25)
    assert (
        started_attempts() == started_before
        and len([task for task in world.running() if task.startswith("wk-000001")]) == 2
    )


def test_runs_observed_only_at_their_end_are_not_learned(world):
    first_term = world.lead()
    world.submit()
    world.pass_time(6.0)
    assert len(world.running()) == 2
    world.election.step_down("for the test")
    world.pass_time(4.0)
    second_term = world.term
    assert second_term is not first_term and second_term.is_loaded
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)
    world.pass_time(3.0)
    assert world.state.value("e/wk-000001") == {"s": "done", "n": 2}
    learned = [
        entry.name
        for term in (first_term, second_term)
        for entry in term.estimators.learned.entries()
        if entry.name[0] != "f"
    ]
    assert learned == [], "a run of 30 s was learned as one of 2 s"


LOST_RESPONSES = [
    # what happens to the transaction without a response
    ("executed", "lose"),
    ("delayed", "late"),
]


@pytest.mark.parametrize("fault", [row[1] for row in LOST_RESPONSES], ids=[row[0] for row in LOST_RESPONSES])
def test_lost_response_leads_to_reads_of_changed_keys_only(world, fault):
    """Guards against reading all keys of the transaction one by one: with a slow state service, a leader stored nothing
    for seconds after a lost response, and machines that were up got no tasks."""
    term = world.lead()
    for number in range(1, 11):
        world.submit(id=f"wk-{number:06d}", heads=1, cpus=0.1, grazeS=900.0)
    world.pass_time(8.0)
    assert len(world.running()) == 10
    for number in range(11, 21):
        world.submit(id=f"wk-{number:06d}", heads=1, cpus=0.1, grazeS=900.0)
    calls_before = len(world.net.calls)
    world.net.faults.append(("state:1/multi", fault))
    world.pass_time(4.0)
    assert len(world.running()) == 20
    reads = [path for _, path, _ in world.net.calls[calls_before:] if path.startswith("state:1/kv/")]
    assert len(reads) <= (10 if fault == "lose" else 0), reads
    assert all(status == 409 for status, _ in world.net.deliver_late())
    assert term is world.term and not term.is_stopped


def test_watch_event_that_is_newer_than_a_read_is_no_data_loss(world):
    """The response to the read is delayed, and the watch delivers a later cancellation first."""
    term = world.lead()
    world.submit(grazeS=900.0)
    world.pass_time(8.0)
    loss_reasons = []
    term.recovery.report_data_loss = lambda reason, is_loss_before_replica=False: loss_reasons.append(reason)
    old_record = dict(world.state.keys["j/wk-000001"])
    for worker in world.workers.values():
        worker.obey = lambda calls: None
    get = world.store.get

    async def get_slowly(key, priority):
        item = await get(key, priority)
        if key == "j/wk-000001" and item.mod_revision == old_record["mark"]:
            world.state.transact({"if": [], "writes": [{"write": key, "data": old_record["data"] | {"c": 1.0}}]})
            await pause(world.clock, 1.0)
        return item

    world.store.get = get_slowly
    world.run(term.commit_outcome.reread_keys(["j/wk-000001"]))
    assert loss_reasons == [] and term.job_table.jobs["wk-000001"].cancelled_at is not None


def test_large_state_is_loaded_in_slices(world):
    """Renewals must be sent between slices: while 50,000 placements were loaded at once, the lease of a new leader
    expired."""
    record = msgspec.to_builtins(
        autoscaling_messages.MachineRecord("small", "east", True, WallTime(1.0), Address("10.0.0.1:9000"))
    )
    writes = [{"write": f"w/i-{number:06d}", "data": record} for number in range(2_000)]
    for first in range(0, len(writes), 20):
        world.state.transact({"if": [], "writes": writes[first : first + 20]})
    machine_counts: list[int] = []

    def record_machine_count() -> None:
        if world.term is None or not world.term.is_loaded:
            machine_counts.append(len(world.term.worker_registry.machines) if world.term is not None else 0)
            world.clock.callLater(0.0, record_machine_count)

    record_machine_count()
    world.lead()
    assert len({count for count in machine_counts if 0 < count < 2_000}) >= 3
