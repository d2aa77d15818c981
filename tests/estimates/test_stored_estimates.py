"""Stored estimates: takeovers, store outages, lost responses and resets by operators."""

from __future__ import annotations

import json

import msgspec
import pytest

from meadowcross.common.settings import OperatorSettings
from meadowcross.common.types import FencingToken, JobId, NodeName
from meadowcross.estimates import messages as m
from meadowcross.jobs import messages as jm
from meadowcross.leadership.messages import PeerHeartbeat, decode
from meadowcross.leadership.peer_link import PeerLink
from tests.support.peers import connect_quiet_node
from tests.support.world import job

CLASS_KEY = "est/c/train"


def finish_all(world):
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)


def run_jobs(world, count, seconds=12.0, first=1, **changes):
    """Run jobs of one task each, one after another, for about `seconds` each."""
    for number in range(first, first + count):
        world.submit(id=f"wk-{number:06d}", heads=1, **changes)
        waited_s = 0.0
        while not world.running() and waited_s < 10:
            world.pass_time(0.5)
            waited_s += 0.5
        assert world.running(), "nothing was placed"
        world.pass_time(seconds)
        finish_all(world)
        world.pass_time(2.0)


def stored_sample_count(world, key=CLASS_KEY):
    record = world.state.value(key)
    return record["ends"] if record else None


def next_term(world):
    """End the term, and return the next leader's term with the same store."""
    before = world.term
    world.election.step_down("for the test")
    world.pass_time(4.0)
    assert world.term is not before and world.term.is_loaded
    return world.term


def stored_writes(world):
    return [event for event in world.state.log if event.get("write", "").startswith(m.PREFIX)]


def test_a_new_leader_continues_with_the_stored_estimates(world):
    world.lead()
    run_jobs(world, 4)
    world.pass_time(40.0)
    assert (
        stored_sample_count(world) == 4
        and stored_sample_count(world, "est/a") == 4
        and stored_sample_count(world, "est/t/b") == 4
    )
    curve = world.term.estimators.learned.curve_of(msgspec.convert(job(), jm.JobSpec))
    assert 8 < curve.quantile(0.5) < 20, "the guess is 30 s, runs take 12 s"
    second = next_term(world)
    world.pass_time(2.0)
    assert second.estimators.storage.is_loaded and second.estimators.decision_estimator.run_time(
        msgspec.convert(job(), jm.JobSpec)
    ) == pytest.approx(curve.quantile(0.5), rel=0.1)
    run_jobs(world, 2, first=5)
    world.pass_time(40.0)
    assert stored_sample_count(world) == 6


def test_a_new_leader_places_tasks_before_estimates_are_loaded(world):
    world.lead()
    run_jobs(world, 3)
    world.pass_time(40.0)
    world.net.faults = [(f"state:1/kv?under={m.PREFIX}", "refuse")] * 200
    second = next_term(world)
    run_jobs(world, 2, first=4)
    assert not second.estimators.storage.is_loaded and stored_sample_count(world) == 3, (
        "a record that was not loaded was overwritten"
    )
    world.net.faults = []
    world.pass_time(50.0)
    # The samples since the takeover and the stored samples are merged, and each counts once.
    assert second.estimators.storage.is_loaded and stored_sample_count(world) == 5


@pytest.mark.parametrize("fault", ["lose", "late", "refuse"])
def test_a_write_without_a_response_is_not_counted_twice(world, fault):
    world.lead()
    run_jobs(world, 3)
    original, faulted = world.net.fault_for, []

    def fault_for(target):
        if target == "state:1/multi" and len(faulted) < 3 and f'"{CLASS_KEY}"'.encode() in world.net.calls[-1][2]:
            faulted.append(target)
            return fault
        return original(target)

    world.net.fault_for = fault_for
    run_jobs(world, 1, first=4)
    world.pass_time(40.0)
    assert faulted, "no request had the fault"
    world.net.deliver_late()
    world.pass_time(40.0)
    assert stored_sample_count(world) == 4
    run_jobs(world, 1, first=5)
    world.pass_time(40.0)
    assert stored_sample_count(world) == 5 == world.term.estimators.learned._find_entry("c/train").sample_count


def test_an_old_leaders_late_write_is_rejected(world):
    world.lead()
    run_jobs(world, 3)
    world.pass_time(40.0)
    original = world.net.fault_for

    def fault_for(target):
        body = world.net.calls[-1][2]
        if target == "state:1/multi" and f'"{CLASS_KEY}"'.encode() in body and not world.net.late:
            return "late"
        return original(target)

    world.net.fault_for = fault_for
    run_jobs(world, 1, first=4)
    for _ in range(60):
        if world.net.late:
            break
        world.pass_time(0.5)
    assert world.net.late, "no write of the old leader is in flight"
    world.net.fault_for = original
    second = next_term(world)
    run_jobs(world, 3, first=5)
    world.pass_time(40.0)
    count_before = stored_sample_count(world)
    assert [response[0] for response in world.net.deliver_late()] == [409]
    assert stored_sample_count(world) == count_before and second.estimators.storage.is_loaded


def test_a_store_outage_loses_no_sample_and_delays_no_placement(world):
    world.lead()
    run_jobs(world, 2)
    world.pass_time(40.0)
    world.submit(id="wk-000003", heads=3)
    world.pass_time(4.0)
    assert len(world.running()) == 3
    world.state.outage = True
    world.pass_time(20.0)
    finish_all(world)
    world.pass_time(180.0)
    assert stored_sample_count(world) == 2
    world.state.outage = False
    world.pass_time(3.0)
    run_jobs(world, 1, first=4)
    world.pass_time(40.0)
    assert stored_sample_count(world) > 3, "samples of the outage were lost"


def test_at_most_one_entry_is_written_per_second(world):
    term = world.lead()
    for number in range(300):
        spec = msgspec.convert(job(id=f"wk-{number:06d}", herd=f"class {number}"), jm.JobSpec)
        term.estimators.learned.on_completed(spec, 10.0 + number, "i-1", "small")
    before = len(stored_writes(world))
    world.pass_time(30.0)
    assert 20 <= len(stored_writes(world)) - before <= 31
    # In the end all entries are stored, each in one write.
    world.pass_time(300.0, 0.25)
    assert len([key for key in world.state.keys if key.startswith("est/c/")]) == 300


def test_killed_controllers_lose_only_recent_samples_and_count_none_twice(world):
    term = world.lead()
    run_jobs(world, 5)
    # A kill revokes no lease and stores nothing more. The last sample may be in memory only.
    stored_before = stored_sample_count(world)
    in_memory_before = term.estimators.learned._find_entry("c/train").sample_count
    world.submit(id="wk-000006", heads=1)
    world.pass_time(4.0)
    world.net.hosts.pop("state:1")
    world.election._term = None
    term.stop()
    finish_all(world)
    world.pass_time(10.0)
    world.net.hosts["state:1"] = world.state.handle
    world.lead("two")
    world.pass_time(60.0)
    assert world.state.value("e/wk-000006") == {"s": "done", "n": 1}
    # The sixth run was placed by the killed leader, so the new one does not learn from its end.
    assert stored_before <= stored_sample_count(world) <= in_memory_before == 5


def test_a_reset_by_an_operator_is_detected_and_kept(world):
    term = world.lead()
    run_jobs(world, 4)
    world.pass_time(40.0)
    world.state.transact({"if": [], "writes": [{"drop": CLASS_KEY}]})
    world.pass_time(35.0)
    assert term.estimators.learned._find_entry("c/train") is None and stored_sample_count(world) is None
    run_jobs(world, 1, first=5)
    world.pass_time(40.0)
    assert stored_sample_count(world) == 1 and stored_sample_count(world, "est/t/b") == 5


def test_an_unreadable_stored_record_affects_only_its_entry(world):
    world.lead()
    run_jobs(world, 3)
    world.pass_time(40.0)
    for key, data in ((CLASS_KEY, {"v": 1, "ratio": 7}), ("est/c/other~zz", "odd"), ("est/t/b", {"v": 99})):
        world.state.transact({"if": [], "writes": [{"write": key, "data": data}]})
    next_term(world)
    run_jobs(world, 2, first=4)
    world.pass_time(60.0)
    assert stored_sample_count(world) == 2 and stored_sample_count(world, "est/a") == 5
    assert world.state.value("est/t/b") == {"v": 99}, "the record of a newer program was overwritten"


RESUMED_RUNS = [
    # name, changes of the job, first exit reason, is the progress saved, first run time (s), learned run time (s)
    ("saved", {"stookS": 30.0, "baleS": 1.0}, "stopped", True, 20.0, 32.0),
    ("periodic checkpoint", {"stookS": 5.0, "baleS": 1.0}, "error", False, 18.0, 27.0),
    ("no checkpoints", {}, "error", False, 18.0, 12.0),
]


@pytest.mark.parametrize(
    ("changes", "exit_reason", "is_saved", "first_run_s", "learned_run_s"),
    [c[1:] for c in RESUMED_RUNS],
    ids=[c[0] for c in RESUMED_RUNS],
)
def test_a_resumed_run_includes_its_checkpointed_progress(
    world, changes, exit_reason, is_saved, first_run_s, learned_run_s
):
    term = world.lead()
    learned_runs_s = []
    learned = term.estimators.learned
    original = learned.on_completed
    learned.on_completed = lambda spec, run_s, *more: (learned_runs_s.append(run_s), original(spec, run_s, *more))
    world.submit(heads=1, **changes)
    while not world.running():
        world.pass_time(0.5)
    world.pass_time(first_run_s)
    for worker in world.workers.values():
        for task in worker.tasks.values():
            task.update(standing="ended", cause=exit_reason, kept=is_saved)
    world.pass_time(0.5)
    while not world.running():
        world.pass_time(0.5)
    world.pass_time(12.0)
    finish_all(world)
    world.pass_time(3.0)
    assert learned_runs_s == [pytest.approx(learned_run_s, abs=2.5)]


def test_a_run_during_its_machines_silence_is_not_learned(world):
    term = world.lead()
    world.submit(heads=1)
    while not world.running():
        world.pass_time(0.5)
    world.pass_time(3.0)
    world.reporting = False
    world.pass_time(6.0)
    world.reporting = True
    finish_all(world)
    world.pass_time(3.0)
    assert world.state.value("e/wk-000001") == {"s": "done", "n": 1}
    assert term.estimators.learned._find_entry("c/train") is None


def test_an_open_job_has_a_completion_forecast_that_is_evaluated_at_its_end(world):
    term = world.lead()
    world.submit(heads=6, grazeS=40.0)
    world.pass_time(6.0)
    job_id = JobId("wk-000001")
    low, median, high = term.forecast(job_id)
    assert 0 < low < median < high < 400 and median > 20
    world.pass_time(5.0)
    later = term.forecast(job_id)
    assert later.median_s < median
    # A follower requests the forecast from the leader over the peer connection, and adds it to its response.
    assert jm.encode(jm.JobResponse(job_id, jm.JobState.RUNNING, 0, 6, (1.0, 2.0, 3.0))).endswith(
        b'"endsS":[1.0,2.0,3.0]}'
    )
    assert b"endsS" not in jm.encode(jm.JobResponse(job_id, jm.JobState.DONE, 6, 0))
    finish_all(world)
    world.pass_time(4.0)
    assert term.forecast(job_id) is None
    entry_names = {entry.name for entry in term.estimators.learned.entries()}
    assert entry_names & {"f/waiting/normal", "f/placed/normal"}, "the forecasts were not evaluated"


@pytest.mark.parametrize("level", [0.0, 1.0])
def test_estimates_are_learned_from_level_1_and_do_not_decide_below_level_2(world, level):
    world.operator = OperatorSettings(learned_estimates=level)
    term = world.lead()
    run_jobs(world, 3)
    world.pass_time(40.0)
    spec = msgspec.convert(job(), jm.JobSpec)
    # Decisions use the guess of 30 s, corrected by the mean of three runs of 12 s.
    assert 24 < term.estimators.decision_estimator.run_time(spec) < 30
    assert bool(stored_writes(world)) == (level == 1.0)
    world.submit(id="wk-000009")
    world.pass_time(5.0)
    assert (term.forecast(JobId("wk-000009")) is not None) == (level == 1.0)


def test_a_response_of_a_previous_version_peer_has_no_forecast(world):
    responses = []
    heartbeat = PeerHeartbeat(NodeName("n0"), True, FencingToken(7), 5)
    link = connect_quiet_node(PeerLink(world.clock, []), heartbeat)

    class PreviousVersionConnection:
        def send(self, message):
            if "jobs" in message.__struct_fields__:
                encoded = json.dumps({"kind": "progress", "number": message.number, "counts": {"wk-000001": [3, 2]}})
                world.clock.callLater(0.01, link.on_message, self, decode(encoded.encode()))

    link.on_connected(NodeName("n1"), PreviousVersionConnection())
    link.request_progress(NodeName("n1"), JobId("wk-000001")).addCallback(responses.append)
    world.pass_time(1.0)
    assert responses == [(3, 2, None)]


def test_an_overdue_run_is_not_predicted_to_end_at_once(world):
    term = world.lead()
    run_jobs(world, 4, 10.0)
    spec = msgspec.convert(job(id="wk-000099"), jm.JobSpec)
    assert term.estimators.decision_estimator.remaining_time(spec, 5.0) == pytest.approx(5.0, abs=3.0)
    assert term.estimators.decision_estimator.remaining_time(spec, 100.0) >= 5.0
