"""Job lookups share store reads, and every result that is not final rests on a read that began after the lookup."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from meadowcross.jobs.collaborators import PeerQueries
from meadowcross.jobs.job_reader import ABSENT_JOB, JobReader


def store_open_jobs(world, *numbers, cancelled=False):
    for number in numbers:
        spec = {"id": f"wk-{number:06d}", "herd": "h", "steward": "b", "breed": "batch", "rank": "normal", "heads": 3}
        spec |= {"cpus": 1.0, "gpus": 0.0, "memoryGb": 1.0, "feedstock": "i", "pullGb": 0.0, "oneZone": False}
        spec |= {"scatter": False, "stubble": True, "grazeS": 1.0, "stookS": 0.0, "baleS": 0.0}
        data = {"spec": spec, "t": 1.0, "k": 256, "c": 2.0 if cancelled else None}
        world.state.transact({"if": [], "writes": [{"write": f"j/wk-{number:06d}", "data": data}]})


def store_end(world, number, standing="done"):
    writes = [{"drop": f"j/wk-{number:06d}"}, {"write": f"e/wk-{number:06d}", "data": {"s": standing, "n": 3}}]
    world.state.transact({"if": [], "writes": writes})


def look_up(world, reader, numbers, seconds=1.0):
    """Look up the jobs at the same time; return the results by number, and the paths of the store requests."""
    results = {}
    first_call = len(world.net.calls)

    def keep_result(result, number):
        # Returns None, so that a failure that is kept counts as handled.
        results.setdefault(number, result)

    for number in numbers:
        reader.find(f"wk-{number:06d}").addBoth(keep_result, number)
    world.pass_time(seconds)
    return results, [path for _, path, _ in world.net.calls[first_call:]]


REQUEST_LIMITS = [
    # name, stored jobs, jobs to look up, the most requests of the first lookup, and of later lookups
    ("one job", [1], [1], 1, 1),
    ("a few jobs", [1, 2, 3], [1, 2, 3], 3, 1),
    ("many unknown jobs read as a range", range(1, 40), range(1, 40), 1, 1),
    ("hundreds of jobs", range(1, 301), range(1, 301), 7, 7),
    ("an absent job", [], [1], 2, 1),
]


@pytest.mark.parametrize(
    ("stored", "numbers", "first_limit", "later_limit"),
    [case[1:] for case in REQUEST_LIMITS],
    ids=[case[0] for case in REQUEST_LIMITS],
)
def test_lookups_share_store_requests(world, stored, numbers, first_limit, later_limit):
    store_open_jobs(world, *stored)
    reader = JobReader(world.clock, world.store)
    for limit in (first_limit, later_limit, later_limit):
        results, requests = look_up(world, reader, [*numbers, *numbers])
        assert [n for n in numbers if results[n] is None] == [n for n in numbers if n not in stored]
        assert len(requests) <= limit, requests


def test_results_are_delivered_before_other_jobs_are_read(world):
    """Guards against results that wait until a batch has read its other jobs.

    With a slow store such a result was delivered seconds late, after another controller had reported a newer one.
    """
    store_open_jobs(world, 1, 2)
    reader = JobReader(world.clock, world.store)
    look_up(world, reader, [1])
    results = {}
    world.store.get = lambda *_arguments: Deferred()
    for number in (1, 2):
        reader.find(f"wk-{number:06d}").addBoth(lambda result, n=number: results.setdefault(n, result))
    world.pass_time(0.2)
    assert results[1].task_count == 3 and 2 not in results


def test_query_reads_the_store_after_the_progress_request(world):
    """The leader may respond late with the task counts; a store read before the response could be outdated."""
    store_open_jobs(world, 1)
    progress, responses = Deferred(), []
    api = world.api(PeerQueries(progress=lambda _job: progress))
    Deferred.fromCoroutine(api.query("wk-000001")).addCallback(responses.append)
    world.pass_time(0.3)
    store_end(world, 1)
    assert json.loads(world.run(world.api().cancel("wk-000001")).body)["standing"] == "done"
    progress.callback(None)
    world.pass_time(0.3)
    assert json.loads(responses[0].body)["standing"] == "done"


def test_lookup_returns_changes_since_the_last_lookup(world):
    store_open_jobs(world, 1, 2, 3)
    reader = JobReader(world.clock, world.store)
    assert {n: found.task_count for n, found in look_up(world, reader, [1, 2, 3])[0].items()} == {1: 3, 2: 3, 3: 3}
    assert look_up(world, reader, [9])[0] == {9: None}
    store_end(world, 1)
    store_open_jobs(world, 2, cancelled=True)
    store_open_jobs(world, 9)
    results, _ = look_up(world, reader, [1, 2, 3, 9])
    assert results[1].state.value == "done"
    # A stored cancellation is not a final state, because its tasks may still run; it is not cached as one either.
    assert results[2].is_cancelled and not results[3].is_cancelled and reader.find_final("wk-000002") is None
    assert results[3].task_count == 3 and results[9].task_count == 3 and results[9] is not ABSENT_JOB
    # Final states need no more reads, even in a store outage.
    world.state.outage = True
    results, requests = look_up(world, reader, [1])
    assert results[1].state.value == "done" and requests == []
    assert isinstance(look_up(world, reader, [2])[0][2], Failure), "a cancelled job without an end needs a read"
    world.state.outage = False
    store_end(world, 2, "cancelled")
    assert look_up(world, reader, [2])[0][2].state.value == "cancelled"
    world.state.outage = True
    results, requests = look_up(world, reader, [1, 2])
    assert [results[n].state.value for n in (1, 2)] == ["done", "cancelled"] and requests == []


def test_lookup_during_a_read_does_not_share_that_read(world):
    store_open_jobs(world, 1)
    reader = JobReader(world.clock, world.store)
    look_up(world, reader, [1])
    pending_deliveries = []

    async def call(method, address, path, body=None, timeout=2.0):
        # The store has responded, but the response is still in flight.
        response = await type(world.net).call(world.net, method, address, path, body, timeout)
        delivery = Deferred()
        pending_deliveries.append(delivery)
        await delivery
        return response

    world.store._http = type("Slow", (), {"call": staticmethod(call)})()
    first_results, second_results = [], []
    reader.find("wk-000001").addBoth(first_results.append)
    world.pass_time(0.1)
    store_end(world, 1)
    reader.find("wk-000001").addBoth(second_results.append)
    while pending_deliveries:
        pending_deliveries.pop(0).callback(None)
        world.pass_time(0.1)
    assert first_results[0].task_count == 3 and second_results[0].state.value == "done"


def test_queries_return_503_with_a_retry_time_in_a_store_outage(world):
    api = world.api()
    store_open_jobs(world, *range(1, 20))
    world.state.outage = True
    responses = []
    for number in range(1, 20):
        query = api.build_handler("query")(b"", f"wk-{number:06d}")
        Deferred.fromCoroutine(query).addBoth(responses.append)
    world.pass_time(0.3)
    assert {(response.status, response.retry_after) for response in responses} == {(503, 1)} and len(responses) == 19
    assert all(json.loads(response.body) for response in responses)
