"""Questions share reads, and every answer that is not final rests on a read begun after it."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from meadowcross.jobs.collaborators import PeerQueries
from meadowcross.jobs.job_reader import ABSENT_JOB, JobReader


def put(world, *numbers, cancelled=False):
    for number in numbers:
        spec = {"id": f"wk-{number:06d}", "herd": "h", "steward": "b", "breed": "batch", "rank": "normal", "heads": 3}
        spec |= {"cpus": 1.0, "gpus": 0.0, "memoryGb": 1.0, "feedstock": "i", "pullGb": 0.0, "oneZone": False}
        spec |= {"scatter": False, "stubble": True, "grazeS": 1.0, "stookS": 0.0, "baleS": 0.0}
        data = {"spec": spec, "t": 1.0, "k": 256, "c": 2.0 if cancelled else None}
        world.state.transact({"if": [], "writes": [{"write": f"j/wk-{number:06d}", "data": data}]})


def end(world, number, standing="done"):
    writes = [{"drop": f"j/wk-{number:06d}"}, {"write": f"e/wk-{number:06d}", "data": {"s": standing, "n": 3}}]
    world.state.transact({"if": [], "writes": writes})


def ask(world, lookup, numbers, seconds=1.0):
    """What all the questions, asked at one moment, are answered, and the requests it took."""
    answers = {}
    before = len(world.net.calls)

    def keep(found, number):
        # Nothing is returned: an error that is kept is handled.
        answers.setdefault(number, found)

    for number in numbers:
        lookup.find(f"wk-{number:06d}").addBoth(keep, number)
    world.pass_time(seconds)
    return answers, [path for _, path, _ in world.net.calls[before:]]


REQUESTS = [
    # name, jobs there, jobs asked for, the most requests at first, and once they are known
    ("one job", [1], [1], 1, 1),
    ("a few", [1, 2, 3], [1, 2, 3], 3, 1),
    ("many unknown ones read as a range", range(1, 40), range(1, 40), 1, 1),
    ("hundreds", range(1, 301), range(1, 301), 7, 7),
    ("one that nobody submitted", [], [1], 2, 1),
]


@pytest.mark.parametrize(("there", "asked", "first", "then"), [c[1:] for c in REQUESTS], ids=[c[0] for c in REQUESTS])
def test_questions_share_reads(world, there, asked, first, then):
    put(world, *there)
    lookup = JobReader(world.clock, world.store)
    for most in (first, then, then):
        answers, requests = ask(world, lookup, [*asked, *asked])
        assert [n for n in asked if answers[n] is None] == [n for n in asked if n not in there]
        assert len(requests) <= most, requests


def test_who_is_found_is_answered_before_others_are_read(world):
    """What a round found out is not kept back while it reads on for other jobs: with a slow store such an answer, older
    by then than what another node had told, once came seconds late."""
    put(world, 1, 2)
    lookup = JobReader(world.clock, world.store)
    ask(world, lookup, [1])
    answers = {}
    world.store.get = lambda *arguments: Deferred()
    for number in (1, 2):
        lookup.find(f"wk-{number:06d}").addBoth(lambda found, n=number: answers.setdefault(n, found))
    world.pass_time(0.2)
    assert answers[1].task_count == 3 and 2 not in answers


def test_a_question_that_waits_for_counts_is_not_answered_from_before(world):
    """The counts come from the leader, who may take its time; the read comes after them."""
    put(world, 1)
    counts, answers = Deferred(), []
    api = world.api(PeerQueries(progress=lambda job: counts))
    Deferred.fromCoroutine(api.query("wk-000001")).addCallback(answers.append)
    world.pass_time(0.3)
    end(world, 1)
    assert json.loads(world.run(world.api().cancel("wk-000001")).body)["standing"] == "done"
    counts.callback(None)
    world.pass_time(0.3)
    assert json.loads(answers[0].body)["standing"] == "done"


def test_what_changed_since_is_seen_by_the_next_question(world):
    put(world, 1, 2, 3)
    lookup = JobReader(world.clock, world.store)
    assert {n: a.task_count for n, a in ask(world, lookup, [1, 2, 3])[0].items()} == {1: 3, 2: 3, 3: 3}
    assert ask(world, lookup, [9])[0] == {9: None}
    end(world, 1)
    put(world, 2, cancelled=True)
    put(world, 9)
    answers, _ = ask(world, lookup, [1, 2, 3, 9])
    assert answers[1].state.value == "done"
    # A stored cancel is no final state yet: its tasks may be anywhere. Nor is it remembered as one.
    assert answers[2].is_cancelled and not answers[3].is_cancelled and lookup.find_final("wk-000002") is None
    assert answers[3].task_count == 3 and answers[9].task_count == 3 and answers[9] is not ABSENT_JOB
    # Final states need no read any more, not even in an outage.
    world.state.outage = True
    answers, requests = ask(world, lookup, [1])
    assert answers[1].state.value == "done" and requests == []
    assert isinstance(ask(world, lookup, [2])[0][2], Failure), "a cancel that has not ended is not told from memory"
    world.state.outage = False
    end(world, 2, "cancelled")
    assert ask(world, lookup, [2])[0][2].state.value == "cancelled"
    world.state.outage = True
    answers, requests = ask(world, lookup, [1, 2])
    assert [answers[n].state.value for n in (1, 2)] == ["done", "cancelled"] and requests == []


def test_a_question_that_came_during_a_read_is_not_answered_by_it(world):
    put(world, 1)
    lookup = JobReader(world.clock, world.store)
    ask(world, lookup, [1])
    held = []

    async def call(method, address, path, body=None, timeout=2.0):
        # The store has answered, but its answer is still under way.
        reply = await type(world.net).call(world.net, method, address, path, body, timeout)
        waits = Deferred()
        held.append(waits)
        await waits
        return reply

    world.store._http = type("Slow", (), {"call": staticmethod(call)})()
    first, second = [], []
    lookup.find("wk-000001").addBoth(first.append)
    world.pass_time(0.1)
    end(world, 1)
    lookup.find("wk-000001").addBoth(second.append)
    while held:
        held.pop(0).callback(None)
        world.pass_time(0.1)
    assert first[0].task_count == 3 and second[0].state.value == "done"


def test_without_an_answer_every_question_is_refused_at_once_with_a_time_to_come_back(world):
    api = world.api()
    put(world, *range(1, 20))
    world.state.outage = True
    answers = []
    for number in range(1, 20):
        work = api.build_handler("query")(b"", f"wk-{number:06d}")
        Deferred.fromCoroutine(work).addBoth(answers.append)
    world.pass_time(0.3)
    assert {(a.status, a.retry_after) for a in answers} == {(503, 1)} and len(answers) == 19
    assert all(json.loads(a.body) for a in answers)
