"""The user API on any node: bad input of each kind, repeats, cancels, races."""

from __future__ import annotations

import json

import pytest

from tests.conftest import job

BAD = [
    ("not JSON", b"{", 400),
    ("not an object", b"[1]", 400),
    ("not UTF-8", b'{"id":"\xff"}', 400),
    ("missing field", job(cpus=...), 400),
    ("mistyped", job(heads="three"), 400),
    ("boolean as text", job(stubble="yes"), 400),
    ("no tasks", job(heads=0), 400),
    ("too many tasks", job(heads=100_001), 400),
    ("no CPUs", job(cpus=0.0), 400),
    ("negative", job(memoryGb=-1.0), 400),
    ("unknown kind", job(breed="flock"), 400),
    ("unknown priority", job(rank="soon"), 400),
    ("id of another form", job(id="job-1"), 400),
    ("unknown team", job(steward="nobody"), 422),
    ("fits no type", job(cpus=64.0), 422),
    ("fits no allowed type", job(cpus=8.0, builds=["small"]), 422),
    ("type not in the zone", job(cpus=8.0, field="west"), 422),
    ("array task above the limit", job(steward="a", cpus=9.0), 422),
    ("gang above the limit", job(steward="a", breed="group", heads=9), 422),
    ("service above the limit", job(steward="a", breed="daemon", heads=9), 422),
    ("spread in one zone", job(scatter=True, oneZone=True), 422),
    ("array above the limit in all", job(steward="a", heads=9), 201),
    ("nulls left out", job(builds=..., field=..., sundownS=...), 201),
]


@pytest.mark.parametrize(("body", "status"), [b[1:] for b in BAD], ids=[b[0] for b in BAD])
def test_submissions(world, body, status):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    answer = world.run(world.api().submit(raw))
    assert answer.status == status
    assert json.loads(answer.body) and answer.body.count(b"\n") == 1


def test_a_repeat_gets_200_on_any_node_also_when_it_would_be_refused_now(world):
    assert world.submit().status == 201
    assert world.submit().status == 200
    world.types = [t for t in world.types if t.name == "none"] or world.types[:1]
    assert world.submit(cpus=8.0).status == 200


def test_unknown_jobs_get_404_from_a_fresh_read_and_503_without_one(world):
    assert world.run(world.api().query(b"", "wk-999999")).status == 404
    assert world.run(world.api().query(b"", "what")).status == 404
    world.state.outage = True
    api = world.api()
    for path, arguments in (("query", (b"", "wk-999999")), ("submit", (json.dumps(job()).encode(),))):
        answer = world.run(api._guarded(getattr(api, path))(*arguments))
        assert (answer.status, answer.retry_after) == (503, 1)


def test_a_node_that_does_not_know_the_types_decides_nothing(world):
    world.types = []
    answer = world.submit()
    assert (answer.status, answer.retry_after) == (503, 1)
    assert world.state.keys == {}
    assert world.api().ready(b"").status == 503


@pytest.mark.parametrize("fault", ["lose", "late"])
def test_an_acceptance_without_an_answer_is_read_again(world, fault):
    world.net.faults.append(("state:1/multi", fault))
    api = world.api()
    answer = world.run(api._guarded(api.submit)(json.dumps(job()).encode()))
    assert answer.status == (200 if fault == "lose" else 503)
    world.net.deliver_late()
    # The late one applied: the retry is told so, and nothing is accepted twice.
    assert world.submit().status == 200


@pytest.mark.parametrize("fault", [None, "lose", "late"])
def test_cancel(world, fault):
    world.submit()
    if fault:
        world.net.faults.append(("state:1/multi", fault))
    answer = world.run(world.api().cancel(b"", "wk-000001"))
    assert json.loads(answer.body)["standing"] == "cancelled"
    assert all(status == 409 for status, _ in world.net.deliver_late())
    assert json.loads(world.submit().body)["standing"] == "cancelled"
    assert json.loads(world.run(world.api().query(b"", "wk-000001")).body)["standing"] == "cancelled"


def test_cancel_of_a_job_that_is_done_says_done(world):
    world.submit()
    world.state.transact(
        {"if": [], "writes": [{"drop": "j/wk-000001"}, {"write": "e/wk-000001", "data": {"s": "done", "n": 2}}]}
    )
    assert json.loads(world.run(world.api().cancel(b"", "wk-000001")).body)["standing"] == "done"
    assert world.run(world.api().cancel(b"", "wk-000002")).status == 404
