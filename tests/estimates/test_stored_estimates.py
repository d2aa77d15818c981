"""What a leader learned, through takeovers, outages, lost answers and operators' resets."""

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

CLASS = "est/c/train"


def finish_all(world):
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)


def run_jobs(world, count, seconds=12.0, first=1, **changes):
    """Jobs of one task each, one after another, that run for about so long."""
    for number in range(first, first + count):
        world.submit(id=f"wk-{number:06d}", heads=1, **changes)
        waited = 0.0
        while not world.running() and waited < 10:
            world.pass_time(0.5)
            waited += 0.5
        assert world.running(), "nothing was placed"
        world.pass_time(seconds)
        finish_all(world)
        world.pass_time(2.0)


def ends(world, key=CLASS):
    value = world.state.value(key)
    return value["ends"] if value else None


def next_term(world):
    """The next leader, on the same stored state; the earlier term is over."""
    before = world.term
    world.election.step_down("for the test")
    world.pass_time(4.0)
    assert world.term is not before and world.term.loaded
    return world.term


def stored_writes(world):
    return [e for e in world.state.log if e.get("write", "").startswith(m.PREFIX)]


def test_a_takeover_goes_on_with_what_was_learned(world):
    world.lead()
    run_jobs(world, 4)
    world.pass_time(40.0)
    assert ends(world) == 4 and ends(world, "est/a") == 4 and ends(world, "est/t/b") == 4
    spec = world.term.estimators.learned.curve_of(msgspec.convert(job(), jm.JobSpec))
    assert 8 < spec.at(0.5) < 20, "30 s was guessed, runs take 12"
    second = next_term(world)
    world.pass_time(2.0)
    assert second.estimators.keeper.loaded and second.estimators.runs.run(
        msgspec.convert(job(), jm.JobSpec)
    ) == pytest.approx(spec.at(0.5), rel=0.1)
    run_jobs(world, 2, first=5)
    world.pass_time(40.0)
    assert ends(world) == 6


def test_a_new_leader_places_before_it_has_loaded_what_was_learned(world):
    world.lead()
    run_jobs(world, 3)
    world.pass_time(40.0)
    world.net.faults = [(f"state:1/kv?under={m.PREFIX}", "refuse")] * 200
    second = next_term(world)
    run_jobs(world, 2, first=4)
    assert not second.estimators.keeper.loaded and ends(world) == 3, "written over what was not read"
    world.net.faults = []
    world.pass_time(50.0)
    # What was learned meanwhile and what was stored count together, each once.
    assert second.estimators.keeper.loaded and ends(world) == 5


@pytest.mark.parametrize("fault", ["lose", "late", "refuse"])
def test_after_a_lost_answer_nothing_is_counted_twice(world, fault):
    world.lead()
    run_jobs(world, 3)
    original, hit = world.net.fault_for, []

    def fault_for(target):
        if target == "state:1/multi" and len(hit) < 3 and f'"{CLASS}"'.encode() in world.net.calls[-1][2]:
            hit.append(target)
            return fault
        return original(target)

    world.net.fault_for = fault_for
    run_jobs(world, 1, first=4)
    world.pass_time(40.0)
    assert hit, "the fault was not met"
    world.net.deliver_late()
    world.pass_time(40.0)
    assert ends(world) == 4
    run_jobs(world, 1, first=5)
    world.pass_time(40.0)
    assert ends(world) == 5 == world.term.estimators.learned._entry("c/train").ends


def test_an_old_leaders_late_write_does_not_replace_a_newer_ones(world):
    world.lead()
    run_jobs(world, 3)
    world.pass_time(40.0)
    original = world.net.fault_for

    def fault_for(target):
        body = world.net.calls[-1][2]
        if target == "state:1/multi" and f'"{CLASS}"'.encode() in body and not world.net.late:
            return "late"
        return original(target)

    world.net.fault_for = fault_for
    run_jobs(world, 1, first=4)
    for _ in range(60):
        if world.net.late:
            break
        world.pass_time(0.5)
    assert world.net.late, "no write of the old leader is under way"
    world.net.fault_for = original
    second = next_term(world)
    run_jobs(world, 3, first=5)
    world.pass_time(40.0)
    newer = ends(world)
    assert [answer[0] for answer in world.net.deliver_late()] == [409]
    assert ends(world) == newer and second.estimators.keeper.loaded


def test_an_outage_of_minutes_costs_no_end_and_holds_no_placement_up(world):
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
    assert ends(world) == 2
    world.state.outage = False
    world.pass_time(3.0)
    run_jobs(world, 1, first=4)
    world.pass_time(40.0)
    assert ends(world) > 3, "the ends during the outage were lost"


def test_writes_are_at_most_one_a_second_however_many_classes_learn(world):
    term = world.lead()
    for number in range(300):
        spec = msgspec.convert(job(id=f"wk-{number:06d}", herd=f"class {number}"), jm.JobSpec)
        term.estimators.learned.done(spec, 10.0 + number, "i-1", "small")
    before = len(stored_writes(world))
    world.pass_time(30.0)
    assert 20 <= len(stored_writes(world)) - before <= 31
    # All of them come to be stored in the end, the whole of each in one write.
    world.pass_time(300.0, 0.25)
    assert len([k for k in world.state.keys if k.startswith("est/c/")]) == 300


def test_all_controllers_killed_while_learning_lose_seconds_and_count_nothing_twice(world):
    term = world.lead()
    run_jobs(world, 5)
    # Killed: no hold is ended, nothing is stored any more; the last task was seen to end.
    known = ends(world)
    in_memory = term.estimators.learned._entry("c/train").ends
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
    # The sixth run was placed by the dead leader: its end teaches the new one nothing.
    assert known <= ends(world) <= in_memory == 5


def test_an_operators_reset_is_noticed_and_holds(world):
    term = world.lead()
    run_jobs(world, 4)
    world.pass_time(40.0)
    world.state.transact({"if": [], "writes": [{"drop": CLASS}]})
    world.pass_time(35.0)
    assert term.estimators.learned._entry("c/train") is None and ends(world) is None
    run_jobs(world, 1, first=5)
    world.pass_time(40.0)
    assert ends(world) == 1 and ends(world, "est/t/b") == 5


def test_an_unreadable_record_costs_only_itself(world):
    world.lead()
    run_jobs(world, 3)
    world.pass_time(40.0)
    for key, data in ((CLASS, {"v": 1, "ratio": 7}), ("est/c/other~zz", "odd"), ("est/t/b", {"v": 99})):
        world.state.transact({"if": [], "writes": [{"write": key, "data": data}]})
    next_term(world)
    run_jobs(world, 2, first=4)
    world.pass_time(60.0)
    assert ends(world) == 2 and ends(world, "est/a") == 5
    assert world.state.value("est/t/b") == {"v": 99}, "a newer program's record is left alone"


CARRIED = [
    # name, changes, why it ended first, saved, run before (s), what the end then teaches (s)
    ("saved", {"stookS": 30.0, "baleS": 1.0}, "stopped", True, 20.0, 32.0),
    ("back to its checkpoint", {"stookS": 5.0, "baleS": 1.0}, "error", False, 18.0, 27.0),
    ("never saves", {}, "error", False, 18.0, 12.0),
]


@pytest.mark.parametrize(
    ("changes", "why", "saved", "before", "taught"), [c[1:] for c in CARRIED], ids=[c[0] for c in CARRIED]
)
def test_a_resumed_run_counts_with_the_part_that_it_goes_on_from(world, changes, why, saved, before, taught):
    term = world.lead()
    seen = []
    learned = term.estimators.learned
    original = learned.done
    learned.done = lambda spec, ran, *more: (seen.append(ran), original(spec, ran, *more))
    world.submit(heads=1, **changes)
    while not world.running():
        world.pass_time(0.5)
    world.pass_time(before)
    for worker in world.workers.values():
        for task in worker.tasks.values():
            task.update(standing="ended", cause=why, kept=saved)
    world.pass_time(0.5)
    while not world.running():
        world.pass_time(0.5)
    world.pass_time(12.0)
    finish_all(world)
    world.pass_time(3.0)
    assert seen == [pytest.approx(taught, abs=2.5)]


def test_a_run_through_its_machines_silence_teaches_nothing(world):
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
    assert term.estimators.learned._entry("c/train") is None


def test_users_are_told_when_a_job_will_be_done_on_every_node(world):
    term = world.lead()
    world.submit(heads=6, grazeS=40.0)
    world.pass_time(6.0)
    name = JobId("wk-000001")
    low, middle, high = term.forecast(name)
    assert 0 < low < middle < high < 400 and middle > 20
    world.pass_time(5.0)
    later = term.forecast(name)
    assert later.middle < middle
    # A node that does not lead asks the leader over the peer link, and adds it to the answer.
    assert jm.encode(jm.JobResponse(name, jm.JobState.RUNNING, 0, 6, (1.0, 2.0, 3.0))).endswith(
        b'"endsS":[1.0,2.0,3.0]}'
    )
    assert b"endsS" not in jm.encode(jm.JobResponse(name, jm.JobState.DONE, 6, 0))
    finish_all(world)
    world.pass_time(4.0)
    assert term.forecast(name) is None
    entries = {e.name for e in term.estimators.learned.entries()}
    assert entries & {"f/waiting/normal", "f/placed/normal"}, "the times that were told are not judged"


@pytest.mark.parametrize("setting", [0.0, 1.0])
def test_switched_off_nothing_is_learned_and_only_told_nothing_decides(world, setting):
    world.operator = OperatorSettings(learned_estimates=setting)
    term = world.lead()
    run_jobs(world, 3)
    world.pass_time(40.0)
    spec = msgspec.convert(job(), jm.JobSpec)
    # Decisions go by the guess of 30 s, corrected by the mean of three runs of 12 s.
    assert 24 < term.estimators.runs.run(spec) < 30
    assert bool(stored_writes(world)) == (setting == 1.0)
    world.submit(id="wk-000009")
    world.pass_time(5.0)
    assert (term.forecast(JobId("wk-000009")) is not None) == (setting == 1.0)


def test_a_peer_of_an_earlier_version_says_nothing_of_ends(world):
    answers = []
    beat = PeerHeartbeat(NodeName("n0"), True, FencingToken(7), 5)
    link = connect_quiet_node(PeerLink(world.clock, []), beat)

    class Line:
        def send(self, message):
            if "jobs" in message.__struct_fields__:
                old = json.dumps({"kind": "progress", "number": message.number, "counts": {"wk-000001": [3, 2]}})
                world.clock.callLater(0.01, link.on_message, self, decode(old.encode()))

    link.on_connected(NodeName("n1"), Line())
    link.request_progress(NodeName("n1"), JobId("wk-000001")).addCallback(answers.append)
    world.pass_time(1.0)
    assert answers == [(3, 2, None)]


def test_a_job_that_ran_far_longer_than_expected_is_not_taken_to_end_at_once(world):
    term = world.lead()
    run_jobs(world, 4, 10.0)
    spec = msgspec.convert(job(id="wk-000099"), jm.JobSpec)
    assert term.estimators.runs.left(spec, 5.0) == pytest.approx(5.0, abs=3.0)
    assert term.estimators.runs.left(spec, 100.0) >= 5.0
