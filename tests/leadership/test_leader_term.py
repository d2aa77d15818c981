"""A leader's term against stand-ins: write ahead, takeover, cancels, outages, limits."""

from __future__ import annotations

import json

import msgspec
import pytest

from meadowcross.autoscaling import messages as fm
from meadowcross.common.clock import pause
from meadowcross.common.types import Address, WallTime
from simulation.standins import Worker


def placed(world, chunk="t/wk-000001/00000"):
    return [e for e in world.state.value(chunk) or [] if isinstance(e, list)]


def test_a_job_runs_to_done_and_is_reaped_only_after_it_is_stored(world):
    world.lead()
    world.submit()
    world.pass_time(6.0)
    assert world.running() == ["wk-000001/0", "wk-000001/1"]
    world.state.outage = True
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)
    world.pass_time(5.0)
    assert any(w.tasks for w in world.workers.values()), "reaped before it was stored"
    world.state.outage = False
    world.pass_time(4.0)
    assert world.state.value("e/wk-000001") == {"s": "done", "n": 2}
    assert not any(w.tasks for w in world.workers.values())
    assert world.state.value("j/wk-000001") is None and world.state.value("t/wk-000001/00000") is None


def test_the_placement_is_stored_before_its_start_is_sent(world):
    world.lead()
    world.submit()
    original = Worker.obey

    def obey(worker, calls):
        for call in calls:
            if call["call"] == "start":
                assert [call["round"], worker.machine["id"]] in placed(world)
        original(worker, calls)

    Worker.obey = obey
    try:
        world.pass_time(6.0)
    finally:
        Worker.obey = original
    assert len(world.running()) == 2


@pytest.mark.parametrize("fault", ["lose", "late", "refuse"])
def test_a_direct_start_without_an_answer_never_runs_a_task_twice(world, fault):
    world.lead()
    world.submit(id="wk-000002", heads=1)
    world.pass_time(5.0)
    faults = [(f"{name}:9000/commands", fault) for name in world.workers]
    world.net.faults = list(faults)
    world.submit(heads=1)
    world.pass_time(4.0)
    assert len(world.net.faults) < len(faults), "the fault was not met"
    world.net.faults = []
    world.net.deliver_late()
    world.pass_time(6.0)
    assert world.running().count("wk-000001/0") == 1


def test_an_unanswered_start_pins_its_task_until_the_session_ends(world):
    term = world.lead()
    world.submit(heads=1)
    world.pass_time(2.0, 0.05)
    job = term.job_table.jobs["wk-000001"]
    if not job.placements:
        world.pass_time(2.0)
    machine = term.worker_registry.machines[job.placements[0].machine]
    worker = world.workers[machine.id]
    key = next(iter(worker.tasks))
    # As if the answer had been lost and the start not yet carried out.
    worker.tasks.clear()
    term.worker_registry.record_starts_sent(machine, 1, [(job.placements[0].task, job.placements[0].attempt)])
    world.pass_time(4.0)
    assert job.placements[0].machine == machine.id and job.placements[0].attempt == key[1]
    worker.session = 2
    world.pass_time(3.0)
    assert job.placements[0].attempt == key[1] + 1
    assert len(world.running()) == 1


def test_a_cancel_that_comes_before_the_placement_is_stored_prevents_the_start(world):
    term = world.lead()
    world.submit(id="wk-000002")
    world.pass_time(4.0)
    world.reporting = False
    # The placement's transaction meets a job that was cancelled without our knowledge.
    world.submit()
    job_key = "j/wk-000001"
    record = dict(world.state.value(job_key), c=1.0)
    world.state.transact({"if": [], "writes": [{"write": job_key, "data": record}]})
    world.pass_time(1.0)
    assert term.job_table.jobs.get("wk-000001") is None
    assert not any(key[0].startswith("wk-000001") for w in world.workers.values() for key in w.started)
    assert world.state.value("e/wk-000001") == {"s": "cancelled", "n": 2}


def test_a_cancel_stops_running_tasks_and_ends_only_when_they_are_gone(world):
    world.lead()
    world.submit()
    world.pass_time(5.0)
    assert len(world.running()) == 2
    world.run(world.api().cancel("wk-000001"))
    world.pass_time(2.0)
    assert world.running() == [] and world.state.value("e/wk-000001")["s"] == "cancelled"


def test_a_cancelled_task_on_a_machine_out_of_reach_is_cleared_by_deleting_it(world):
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


def test_done_before_the_cancel_wins_and_a_cancel_before_done_wins(world):
    world.lead()
    world.submit()
    world.pass_time(5.0)
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)
    # The leader has not heard yet: the cancel is first, and stays.
    answer = world.run(world.api().cancel("wk-000001"))
    assert json.loads(answer.body)["standing"] == "cancelled"
    world.pass_time(3.0)
    assert world.state.value("e/wk-000001")["s"] == "cancelled"


def test_a_new_leader_starts_nothing_twice(world):
    first = world.lead()
    world.submit(heads=3)
    world.pass_time(5.0)
    before = {key for w in world.workers.values() for key in w.started}
    world.election.step_down("test")
    world.pass_time(1.0)
    second = world.term
    assert second is not first and second.token > first.token and second.loaded
    world.pass_time(5.0)
    assert {key for w in world.workers.values() for key in w.started} == before
    assert all(w.token == second.token for w in world.workers.values())
    # A task lost while nobody led runs again, with a higher attempt.
    worker = next(w for w in world.workers.values() if w.tasks)
    worker.session, worker.tasks = 2, {}
    world.pass_time(4.0)
    assert len(world.running()) == 3


def test_limits_count_tasks_on_machines_out_of_reach(world):
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


def test_in_an_outage_reports_are_answered_and_nothing_new_starts(world):
    term = world.lead()
    world.submit(heads=2)
    world.pass_time(5.0)
    world.state.outage = True
    world.pass_time(20.0, 0.25)
    worker = next(iter(world.workers.values()))
    assert world.report(worker).token == term.token
    assert not term.stopped
    # A higher token seen on a worker ends it.
    worker.token = term.token + 1
    assert world.report(worker) is None and term.stopped


def test_an_error_elsewhere_condemns_the_job_not_the_machines(world):
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


def test_a_machine_that_fails_what_succeeds_elsewhere_is_deleted(world):
    world.lead()
    world.submit(heads=8, memoryGb=8.0, builds=["small"])
    world.pass_time(6.0)
    bad = next(w for w in world.workers.values() if w.tasks)
    for key in list(bad.tasks):
        bad.end(key, "error")
    world.pass_time(2.0)
    for worker in list(world.workers.values()):
        if worker is not bad:
            for key in list(worker.tasks):
                worker.end(key)
    world.pass_time(4.0)
    assert bad.machine["id"] in world.cloud.deleted


def test_a_large_job_is_stored_in_chunks_below_the_value_limit(world):
    world.lead()
    world.cloud.full = True
    world.submit(heads=2000, cpus=0.01, memoryGb=0.01)
    world.cloud.full = False
    world.pass_time(20.0, 0.25)
    chunks = [k for k in world.state.keys if k.startswith("t/wk-000001/")]
    assert len(chunks) == 8
    assert all(len(json.dumps(world.state.value(k))) < 16 * 1024 for k in chunks)
    assert len(world.running()) == 2000


def test_a_machine_with_a_notice_gets_no_new_work_saves_what_it_can_and_is_returned(world):
    term = world.lead()
    world.submit(heads=1, id="wk-000001", stookS=10.0, baleS=2.0, grazeS=300.0)
    world.pass_time(5.0)
    (old,) = [w for w in world.workers.values() if w.tasks]
    old.notice = 20.0
    world.pass_time(5.0)
    job = term.job_table.jobs["wk-000001"]
    assert job.placements[0].machine != old.machine["id"] and job.placements[0].attempt == 2
    assert old.machine["id"] in world.cloud.deleted
    assert world.running() == ["wk-000001/0"]


def test_a_cancelled_task_that_stops_do_not_clear_goes_with_its_machine(world, monkeypatch):
    world.lead()
    world.submit(heads=1)
    world.pass_time(5.0)
    monkeypatch.setattr(Worker, "obey", lambda worker, calls: None)
    world.run(world.api().cancel("wk-000001"))
    world.pass_time(25.0, 0.25)
    assert world.running() == [] and len(world.cloud.deleted) >= 1
    assert world.state.value("e/wk-000001")["s"] == "cancelled"


def test_a_higher_priority_task_takes_the_room_of_a_lower_one(world):
    world.lead()
    world.submit(heads=500, id="wk-000002", rank="idle")
    world.pass_time(6.0)
    world.cloud.full = True
    world.pass_time(3.0)
    low = len(world.running())
    world.submit(heads=1, rank="urgent", cpus=4.0, memoryGb=4.0, sundownS=40.0)
    world.pass_time(3.0)
    assert "wk-000001/0" in world.running()
    assert low > len([t for t in world.running() if t.startswith("wk-000002")])
    assert len(world.running()) == len(set(world.running()))


def test_a_gang_starts_all_or_none_and_again_with_one_new_attempt(world):
    world.lead()
    world.submit(heads=3, breed="group", stookS=10.0, baleS=1.0)
    world.pass_time(6.0)
    assert len(world.running()) == 3
    # One member fails; the others notice and leave; all start again together.
    members = [(w, key) for w in world.workers.values() for key in w.tasks]
    members[0][0].end(members[0][1], "error")
    world.pass_time(2.0)
    assert len(world.running()) == 2, "no new member while old ones run"
    for worker, key in members[1:]:
        worker.end(key, "mates_gone")
    world.pass_time(6.0)
    attempts = {task["round"] for w in world.workers.values() for task in w.tasks.values()}
    assert len(world.running()) == 3 and attempts == {2}


def test_a_burst_is_rented_at_once_in_as_many_requests_as_it_takes(world):
    """One request of at most 50 machines a second made the last of 300 machines 6 s late."""
    world.lead()
    world.cloud.at_once = 50
    world.submit(heads=600, cpus=4.0, memoryGb=16.0, builds=["small"])
    world.pass_time(0.5)
    assert len(world.cloud.machines) == 600
    assert len(world.cloud.requests) == 12


def test_a_refused_kind_is_not_asked_for_again_by_the_requests_behind(world):
    world.lead()
    world.cloud.full = True
    asked = []
    original = world.cloud.handle

    def handle(method, path, query, body):
        if path == "/rentals" and method == "POST":
            asked.append(json.loads(body))
        return original(method, path, query, body)

    world.net.hosts["cloud:1"] = handle
    # More requests than the cloud's burst: those that had to wait are dropped.
    world.submit(heads=5000, cpus=4.0, memoryGb=16.0, builds=["small"], field="east")
    world.pass_time(0.9)
    assert 0 < len(asked) <= 55


SIZES = [
    ("a job of 1,200 tasks", [{"heads": 1200}], False, 1200),
    ("larger than its team's limit", [{"heads": 1200, "steward": "a"}], False, 8),
    ("thousands wait, and there is no capacity", [{"heads": 3000}, {"heads": 3000, "steward": "a"}], True, 0),
]


@pytest.mark.parametrize(("jobs", "full", "running"), [s[1:] for s in SIZES], ids=[s[0] for s in SIZES])
def test_large_jobs(world, jobs, full, running):
    world.lead()
    world.cloud.at_once, world.cloud.full = 50, full
    for number, changes in enumerate(jobs):
        assert world.submit(id=f"wk-00000{number}", **changes).status == 201
    world.pass_time(20.0, 0.25)
    assert len(world.running()) == running
    # However much waits, a submission gets its final answer at once.
    assert world.submit(id="wk-000008", heads=1).status == 201
    assert world.submit(id="wk-000009", steward="nobody").status == 422
    assert world.submit(id="wk-9").status == 400
    # What ended makes room for as many again.
    if running < 1200 and not full:
        for worker in world.workers.values():
            for key in list(worker.tasks):
                worker.end(key)
        world.pass_time(5.0, 0.25)
        assert len([task for task in world.running() if task.startswith("wk-000000")]) == running


def test_a_new_leader_greets_its_machines_a_few_at_a_time(world):
    world.lead()
    world.cloud.at_once = 50
    world.submit(heads=100, cpus=4.0, memoryGb=16.0, builds=["small"])
    world.pass_time(8.0, 0.25)
    assert len(world.running()) == 100
    world.reporting = False
    first = world.term
    world.election.step_down("test")
    greets = []
    for _ in range(60):
        before = len(world.net.calls)
        world.clock.advance(0.05)
        greets.append(sum("/commands" in path for _, path, _ in world.net.calls[before:]))
    assert world.term is not first and sum(greets) >= 100 and max(greets) <= 32
    # The machines are silent but for their answers, which confirm them all.
    assert all(machine.proof.has_confirmed_token for machine in world.term.worker_registry.machines.values())


@pytest.mark.parametrize("breed", ["batch", "group", "daemon"])
def test_work_that_may_use_ordinary_machines_only_runs_there_and_stays(world, breed):
    """Ordinary machines cost four times as much here, and nothing presses."""
    world.lead()
    world.submit(id="wk-000002", heads=40, sundownS=None)
    world.pass_time(20.0, 0.1)
    world.submit(breed=breed, stubble=False, sundownS=None, grazeS=600.0, stookS=10.0, baleS=1.0)
    world.pass_time(8.0)

    def mine():
        return {key for w in world.workers.values() for key in w.started if key[0].startswith("wk-000001")}

    before = mine()
    assert len(before) == 2
    # Drained, it would not have been offered had the fleet looked at it a moment sooner.
    ordinary = [m for m in world.term.worker_registry.machines.values() if not m.kind.spot]
    assert ordinary and not any(m.is_draining for m in ordinary)
    world.pass_time(90.0, 0.25)
    assert mine() == before and len([task for task in world.running() if task.startswith("wk-000001")]) == 2


def test_runs_of_which_only_the_end_was_seen_teach_nothing(world):
    first = world.lead()
    world.submit()
    world.pass_time(6.0)
    assert len(world.running()) == 2
    world.election.step_down("for the test")
    world.pass_time(4.0)
    second = world.term
    assert second is not first and second.loaded
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)
    world.pass_time(3.0)
    assert world.state.value("e/wk-000001") == {"s": "done", "n": 2}
    learned = [
        entry.name for term in (first, second) for entry in term.estimators.learned.entries() if entry.name[0] != "f"
    ]
    assert learned == [], "a run of 30 s was taken for one of 2 s"


LOST_ANSWERS = [
    # what becomes of a transaction without an answer
    ("carried out", "lose"),
    ("not yet", "late"),
]


@pytest.mark.parametrize("fault", [one[1] for one in LOST_ANSWERS], ids=[one[0] for one in LOST_ANSWERS])
def test_a_lost_answer_costs_a_comparison_and_only_what_changed_is_read(world, fault):
    """All keys of the transaction were read one by one. Where the state service was slow a leader that lost an answer
    stored nothing for seconds, and machines that were up got no work."""
    term = world.lead()
    for number in range(1, 11):
        world.submit(id=f"wk-{number:06d}", heads=1, cpus=0.1, grazeS=900.0)
    world.pass_time(8.0)
    assert len(world.running()) == 10
    for number in range(11, 21):
        world.submit(id=f"wk-{number:06d}", heads=1, cpus=0.1, grazeS=900.0)
    before = len(world.net.calls)
    world.net.faults.append(("state:1/multi", fault))
    world.pass_time(4.0)
    assert len(world.running()) == 20
    reads = [path for _, path, _ in world.net.calls[before:] if path.startswith("state:1/kv/")]
    assert len(reads) <= (10 if fault == "lose" else 0), reads
    assert all(status == 409 for status, _ in world.net.deliver_late())
    assert term is world.term and not term.stopped


def test_a_watch_that_is_faster_than_a_read_proves_no_loss(world):
    """The read's answer was on its way for long; meanwhile the watch told of a cancel."""
    term = world.lead()
    world.submit(grazeS=900.0)
    world.pass_time(8.0)
    lost = []
    term.recovery.report_data_loss = lambda reason, is_loss_older=False: lost.append(reason)
    old = dict(world.state.keys["j/wk-000001"])
    for worker in world.workers.values():
        worker.obey = lambda calls: None
    get = world.store.get

    async def slow(key, urgency):
        item = await get(key, urgency)
        if key == "j/wk-000001" and item.mod_revision == old["mark"]:
            world.state.transact({"if": [], "writes": [{"write": key, "data": old["data"] | {"c": 1.0}}]})
            await pause(world.clock, 1.0)
        return item

    world.store.get = slow
    world.run(term.commit_outcome.reread_keys(["j/wk-000001"]))
    assert lost == [] and term.job_table.jobs["wk-000001"].cancelled_at is not None


def test_a_large_picture_is_loaded_in_slices(world):
    """Renewals go out in between; loaded at once, 50,000 placements kept a new leader from them for a whole hold."""
    record = msgspec.to_builtins(fm.MachineRecord("small", "east", True, WallTime(1.0), Address("10.0.0.1:9000")))
    writes = [{"write": f"w/i-{number:06d}", "data": record} for number in range(2_000)]
    for first in range(0, len(writes), 20):
        world.state.transact({"if": [], "writes": writes[first : first + 20]})
    turns: list[int] = []

    def turn() -> None:
        if world.term is None or not world.term.loaded:
            turns.append(len(world.term.worker_registry.machines) if world.term is not None else 0)
            world.clock.callLater(0.0, turn)

    turn()
    world.lead()
    assert len({count for count in turns if 0 < count < 2_000}) >= 3
