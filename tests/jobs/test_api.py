"""The user API on any node: bad input of each kind, repeats, cancels, races."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from meadowcross.common.http import MAX_BODY, Router, ServerResponse, build_api_factory
from meadowcross.common.types import FencingToken, NodeName
from meadowcross.jobs.api import MAX_OPEN_REQUESTS
from meadowcross.jobs.collaborators import JobEvents, PeerQueries
from meadowcross.jobs.job_reader import MAX_END_WAITERS
from meadowcross.jobs.messages import EndedRecord, JobProgress, JobState
from meadowcross.leadership.messages import ForwardRequest, PeerHeartbeat, ProgressRequest
from meadowcross.leadership.peer_connection import PeerProtocol
from meadowcross.leadership.peer_link import PeerLink
from meadowcross.store.messages import encode_raw
from tests.support.peers import connect_quiet_node
from tests.support.world import job

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
    assert world.run(world.api().query("wk-999999")).status == 404
    assert world.run(world.api().query("what")).status == 404
    world.state.outage = True
    api = world.api()
    for operation, arguments in (("query", (b"", "wk-999999")), ("submit", (json.dumps(job()).encode(),))):
        answer = world.run(api.build_handler(operation)(*arguments))
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
    answer = world.run(api.build_handler("submit")(json.dumps(job()).encode()))
    assert answer.status == (200 if fault == "lose" else 503)
    world.net.deliver_late()
    # The late one applied: the retry is told so, and nothing is accepted twice.
    assert world.submit().status == 200


@pytest.mark.parametrize("fault", [None, "lose", "late"])
def test_cancel(world, fault):
    world.lead()
    world.submit(grazeS=900.0)
    world.pass_time(8.0)
    assert len(world.running()) == 2
    if fault:
        world.net.faults.append(("state:1/multi", fault))
    answer = world.run(world.api().cancel("wk-000001"))
    assert json.loads(answer.body)["standing"] == "cancelled"
    assert world.running() == []
    assert all(status == 409 for status, _ in world.net.deliver_late())
    assert json.loads(world.submit(grazeS=900.0).body)["standing"] == "cancelled"
    assert json.loads(world.run(world.api().query("wk-000001")).body)["standing"] == "cancelled"


def test_a_cancel_without_its_end_is_told_as_pending_and_waits_in_bounds(world):
    """Nobody leads, so nothing is proven: the cancel is stored, whoever asks gets what is true, and the first request
    and its repeats wait, but not for long, for no store request each, and not beyond a bound."""
    world.submit()
    words = []
    api = world.api(events=JobEvents(on_cancelled=lambda *word: words.append(word)))
    before = world.clock.seconds()
    answer = world.run(api.cancel("wk-000001"), 4.0)
    assert (answer.status, answer.retry_after) == (503, 1) and 2.0 < world.clock.seconds() - before < 3.0
    mark = world.state.keys["j/wk-000001"]["mark"]
    assert words == [("wk-000001", mark, False)] and world.state.value("j/wk-000001")["c"] is not None
    for again in (world.submit(), world.run(api.query("wk-000001"))):
        assert again.status == 200 and json.loads(again.body)["standing"] == "pending"
    answers, calls = [], len(world.net.calls)
    for _ in range(MAX_END_WAITERS + 5):
        Deferred.fromCoroutine(api.cancel("wk-000001")).addCallback(answers.append)
    world.pass_time(1.0)
    assert [one.status for one in answers] == [503] * 5 and len(world.net.calls) - calls < 10
    # Followed: whoever waits hears of it at once, but not of an end that is not proven.
    for proven in (False, True):
        assert len(answers) == 5
        api.on_ended_stored("e/wk-000001", encode_raw(EndedRecord(JobState.CANCELLED, 2, proven)))
    assert len(answers) == MAX_END_WAITERS + 5 and api._reader._end_waiters == {}
    assert {json.loads(one.body)["standing"] for one in answers[5:]} == {"cancelled"}


MALFORMED = ["what", "wk-", "wk-12", "wk-00000x", "wk-0000001\u0661", "wk-9999999999999999999", "%2e%2e"]


@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_id_is_unknown_and_never_an_error(world, name):
    api = world.api()
    for operation in ("query", "cancel"):
        assert world.run(api.build_handler(operation)(b"\xff{", name)).status == 404


def test_cancel_of_a_job_that_is_done_says_done(world):
    world.submit()
    world.state.transact(
        {"if": [], "writes": [{"drop": "j/wk-000001"}, {"write": "e/wk-000001", "data": {"s": "done", "n": 2}}]}
    )
    assert json.loads(world.run(world.api().cancel("wk-000001")).body)["standing"] == "done"
    assert world.run(world.api().cancel("wk-000002")).status == 404


ELSEWHERE = [
    # name, whether the store refuses this node, whether a peer has it, what a peer answers, status here
    ("the store answers", False, True, None, 201),
    ("only this node is refused", True, True, ServerResponse(201, b"{}\n"), 201),
    ("the peer refuses too, with a time to come back", True, True, ServerResponse(503, b"{}\n", 1), 503),
    ("the peer does not answer in time", True, True, None, 503),
    ("no node has the store", True, False, ServerResponse(201, b"{}\n"), 503),
]


@pytest.mark.parametrize(
    ("refused", "peer", "theirs", "status"), [e[1:] for e in ELSEWHERE], ids=[e[0] for e in ELSEWHERE]
)
def test_a_node_that_the_store_refuses_alone_asks_a_peer(world, refused, peer, theirs, status):
    asked = []

    async def forward(operation, job_text, body):
        asked.append((operation, json.loads(body)["id"]))
        return theirs

    api = world.api(PeerQueries(has_store=lambda: peer, forward=forward))
    world.state.outage = refused
    for again in (False, True):
        answer = world.run(api.build_handler("submit")(json.dumps(job()).encode()))
        assert answer.status == (200 if again and not refused else status)
        assert answer.retry_after == (1 if status == 503 else None)
    assert asked == ([("submit", "wk-000001")] * 2 if refused and peer else [])
    # What is no text can't be passed on, and is malformed anyway.
    if refused and peer:
        assert world.run(api.build_handler("submit")(b"\xff")).status == 400


class Wire:
    """The transport between two nodes' ends of the peer link."""

    def __init__(self):
        self.other = None

    def write(self, data):
        self.other.dataReceived(data)

    def writeSequence(self, parts):
        self.write(b"".join(parts))

    def setTcpNoDelay(self, on):
        """Nothing to set."""


class CountingLink(PeerLink):
    """Counts the requests that it is asked."""

    requests_received = 0

    def on_message(self, connection, message):
        self.requests_received += isinstance(message, ForwardRequest | ProgressRequest)
        super().on_message(connection, message)


def linked(world, serve, counts):
    """Two peer links joined by a connection: the asking one and the asked one."""

    def link(name, store_ok):
        beat = PeerHeartbeat(NodeName(name), store_ok, FencingToken(7) if store_ok else None, 5)
        return connect_quiet_node(CountingLink(world.clock, []), beat, counts.get, serve), beat

    (asking, _), (asked, asked_beat) = link("n0", False), link("n1", True)
    ends = PeerProtocol(asking, NodeName("n1")), PeerProtocol(asked)
    # The one that only answers first: the other speaks as soon as it is connected.
    for end, other in (ends[::-1], ends):
        wire = Wire()
        wire.other = other
        end.makeConnection(wire)
    ends[1].send(asked_beat)
    return asking, asked


def test_the_peer_link_passes_requests_on_and_gathers_questions_for_counts(world):
    served = []

    async def serve(operation, job_text, body):
        served.append((operation, job_text, len(body)))
        return ServerResponse(
            503 if operation == "cancel" else 200, b'{"x":"\\u00e9"}\n', 1 if operation == "cancel" else None
        )

    link, asked = linked(world, serve, {"wk-000001": JobProgress(3, 2, (1.0, 2.0, 3.0))})
    status = link.status
    # The largest body that is taken, of characters that JSON escapes.
    body = b'"' * MAX_BODY
    assert world.run(link.forward("submit", "", body)) == ServerResponse(200, b'{"x":"\\u00e9"}\n')
    assert world.run(link.forward("cancel", "wk-000001", b"")).retry_after == 1
    assert served == [("submit", "", MAX_BODY), ("cancel", "wk-000001", 0)]
    assert (status.peer_has_store(), status.most_workers_heard(), status.reported_leader()) == (True, 5, ("n1", 7))
    answers = []
    for name in ("wk-000001", "wk-000002", "wk-000001"):
        link.request_progress(NodeName("n1"), name).addCallback(answers.append)
    world.pass_time(0.1)
    assert answers == [(3, 2, (1.0, 2.0, 3.0)), (3, 2, (1.0, 2.0, 3.0)), None] and asked.requests_received == 3
    # A peer that has fallen silent is asked no more.
    world.clock.advance(10.0)
    assert world.run(link.forward("query", "wk-000001", b"")) is None
    assert (status.peer_has_store(), status.most_workers_heard(), status.reported_leader()) == (False, None, None)


def test_a_storm_of_questions_is_refused_at_once_and_keeps_nobody_from_submitting(world):
    api = world.api()
    answers = []
    for number in range(MAX_OPEN_REQUESTS + 50):
        Deferred.fromCoroutine(api.build_handler("query")(b"", f"wk-{number:06d}")).addCallback(answers.append)
    assert [(a.status, a.retry_after) for a in answers] == [(503, 1)] * 50
    submitted = []
    work = api.build_handler("submit")(json.dumps(job()).encode())
    Deferred.fromCoroutine(work).addCallback(submitted.append)
    world.pass_time(5.0)
    assert submitted[0].status == 201
    assert [a.status for a in answers].count(404) >= MAX_OPEN_REQUESTS - 1
    # All that was open is closed again.
    assert world.run(api.build_handler("query")(b"", "wk-000001")).status == 200 and not +api._open_requests


def test_a_node_keeps_sockets_back_for_what_it_asks_itself():
    factory = build_api_factory(Router(), Clock(), max_connections=2)
    first, second = (factory.buildProtocol(None) for _ in range(2))
    for channel in (first, second):
        channel.makeConnection(StringTransport())
    assert factory.buildProtocol(None) is None, "closed as it comes"
    first.connectionLost(Failure(ConnectionDone()))
    assert factory.buildProtocol(None) is not None
