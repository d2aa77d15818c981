"""The user API of a controller: malformed input, resubmissions, cancellations, forwarding to peers, and load limits."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from meadowcross.common.http import MAX_BODY_BYTES, Router, ServerResponse, build_api_factory
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

SUBMISSIONS = [
    ("not JSON", b"{", 400),
    ("not an object", b"[1]", 400),
    ("not UTF-8", b'{"id":"\xff"}', 400),
    ("missing field", job(cpus=...), 400),
    ("mistyped", job(heads="three"), 400),
    ("boolean as text", job(stubble="yes"), 400),
    ("no tasks", job(heads=0), 400),
    ("too many tasks", job(heads=100_001), 400),
    ("no CPUs", job(cpus=0.0), 400),
    ("negative memory", job(memoryGb=-1.0), 400),
    ("unknown kind", job(breed="flock"), 400),
    ("unknown priority", job(rank="soon"), 400),
    ("malformed id", job(id="job-1"), 400),
    ("id with a line break at its end", job(id="wk-000001\n"), 400),
    ("id with an escaped line break at its end", json.dumps(job(id="wk-000001\r\n")).encode(), 400),
    ("smallest CPUs", job(cpus=5e-324), 201),
    ("CPUs below any float", json.dumps(job(cpus=0.5)).replace("0.5", "1e-400").encode(), 400),
    ("CPUs above any float", json.dumps(job(cpus=0.5)).replace("0.5", "1e400").encode(), 400),
    ("unknown team", job(steward="nobody"), 422),
    ("fits no type", job(cpus=64.0), 422),
    ("fits no allowed type", job(cpus=8.0, builds=["small"]), 422),
    ("type not in the zone", job(cpus=8.0, field="west"), 422),
    ("array task above the limit", job(steward="a", cpus=9.0), 422),
    ("gang above the limit", job(steward="a", breed="group", heads=9), 422),
    ("service above the limit", job(steward="a", breed="daemon", heads=9), 422),
    ("spread in one zone", job(scatter=True, oneZone=True), 422),
    ("array above the limit in total", job(steward="a", heads=9), 201),
    ("nulls left out", job(builds=..., field=..., sundownS=...), 201),
]


@pytest.mark.parametrize(("body", "status"), [case[1:] for case in SUBMISSIONS], ids=[case[0] for case in SUBMISSIONS])
def test_submission_status(world, body, status):
    raw_body = body if isinstance(body, bytes) else json.dumps(body).encode()
    response = world.run(world.api().submit(raw_body))
    assert response.status == status
    assert json.loads(response.body) and response.body.count(b"\n") == 1


def test_resubmission_returns_200_even_if_the_job_would_be_rejected_now(world):
    assert world.submit().status == 201
    assert world.submit().status == 200
    world.types = [machine_type for machine_type in world.types if machine_type.name == "none"] or world.types[:1]
    assert world.submit(cpus=8.0).status == 200


def test_unknown_job_returns_404_after_a_store_read_and_503_in_a_store_outage(world):
    assert world.run(world.api().query("wk-999999")).status == 404
    assert world.run(world.api().query("what")).status == 404
    world.state.outage = True
    api = world.api()
    for operation, arguments in (("query", (b"", "wk-999999")), ("submit", (json.dumps(job()).encode(),))):
        response = world.run(api.build_handler(operation)(*arguments))
        assert (response.status, response.retry_after) == (503, 1)


def test_submission_returns_503_until_machine_types_are_known(world):
    world.types = []
    response = world.submit()
    assert (response.status, response.retry_after) == (503, 1)
    assert world.state.keys == {}
    assert world.api().ready(b"").status == 503


@pytest.mark.parametrize("fault", ["lose", "late"])
def test_submission_whose_transaction_gets_no_response_is_looked_up(world, fault):
    """Guards against a wrong response if the store's response is lost ("lose"), or the transaction applies late."""
    world.net.faults.append(("state:1/multi", fault))
    api = world.api()
    response = world.run(api.build_handler("submit")(json.dumps(job()).encode()))
    assert response.status == (200 if fault == "lose" else 503)
    world.net.deliver_late()
    # The late transaction has applied: the resubmission finds the job, and nothing is accepted twice.
    assert world.submit().status == 200


@pytest.mark.parametrize("fault", [None, "lose", "late"])
def test_cancel_returns_cancelled_once_all_tasks_are_gone(world, fault):
    world.lead()
    world.submit(grazeS=900.0)
    world.pass_time(8.0)
    assert len(world.running()) == 2
    if fault:
        world.net.faults.append(("state:1/multi", fault))
    response = world.run(world.api().cancel("wk-000001"))
    assert json.loads(response.body)["standing"] == "cancelled"
    assert world.running() == []
    assert all(status == 409 for status, _ in world.net.deliver_late())
    assert json.loads(world.submit(grazeS=900.0).body)["standing"] == "cancelled"
    assert json.loads(world.run(world.api().query("wk-000001")).body)["standing"] == "cancelled"


def test_unproven_cancellation_returns_503_after_a_bounded_wait(world):
    """Without a leader no end is proven, so the cancellation is only stored and the job stays pending.

    The first request and its retries wait for a short time, share store requests, and are bounded in number.
    """
    world.submit()
    cancellations = []
    api = world.api(events=JobEvents(on_cancelled=lambda *cancellation: cancellations.append(cancellation)))
    started_at = world.clock.seconds()
    first = world.run(api.cancel("wk-000001"), 4.0)
    assert (first.status, first.retry_after) == (503, 1) and 2.0 < world.clock.seconds() - started_at < 3.0
    revision = world.state.keys["j/wk-000001"]["mark"]
    assert cancellations == [("wk-000001", revision, False)] and world.state.value("j/wk-000001")["c"] is not None
    for pending_response in (world.submit(), world.run(api.query("wk-000001"))):
        assert pending_response.status == 200 and json.loads(pending_response.body)["standing"] == "pending"
    responses, call_count = [], len(world.net.calls)
    for _ in range(MAX_END_WAITERS + 5):
        Deferred.fromCoroutine(api.cancel("wk-000001")).addCallback(responses.append)
    world.pass_time(1.0)
    assert [response.status for response in responses] == [503] * 5 and len(world.net.calls) - call_count < 10
    # The replica's watch reports the end: the waiting requests are answered at once, but not for an unproven end.
    for is_proven in (False, True):
        assert len(responses) == 5
        api.on_ended_stored("e/wk-000001", encode_raw(EndedRecord(JobState.CANCELLED, 2, is_proven)))
    assert len(responses) == MAX_END_WAITERS + 5 and api._reader._end_waiters == {}
    assert {json.loads(response.body)["standing"] for response in responses[5:]} == {"cancelled"}


MALFORMED_IDS = ["what", "wk-", "wk-12", "wk-00000x", "wk-0000001\u0661", "wk-9999999999999999999", "%2e%2e"]


@pytest.mark.parametrize("job_text", MALFORMED_IDS)
def test_malformed_job_id_returns_404(world, job_text):
    api = world.api()
    for operation in ("query", "cancel"):
        assert world.run(api.build_handler(operation)(b"\xff{", job_text)).status == 404


def test_cancel_of_a_done_job_returns_done(world):
    world.submit()
    world.state.transact(
        {"if": [], "writes": [{"drop": "j/wk-000001"}, {"write": "e/wk-000001", "data": {"s": "done", "n": 2}}]}
    )
    assert json.loads(world.run(world.api().cancel("wk-000001")).body)["standing"] == "done"
    assert world.run(world.api().cancel("wk-000002")).status == 404


FORWARDED_SUBMISSIONS = [
    # name, whether this controller is cut off, whether a peer has the store, the peer's response, expected status
    ("the store responds", False, True, None, 201),
    ("only this controller is cut off", True, True, ServerResponse(201, b"{}\n"), 201),
    ("the peer responds 503 with a retry time", True, True, ServerResponse(503, b"{}\n", 1), 503),
    ("the peer does not respond in time", True, True, None, 503),
    ("no controller has the store", True, False, ServerResponse(201, b"{}\n"), 503),
]


@pytest.mark.parametrize(
    ("is_cut_off", "peer_has_store", "peer_response", "status"),
    [case[1:] for case in FORWARDED_SUBMISSIONS],
    ids=[case[0] for case in FORWARDED_SUBMISSIONS],
)
def test_submission_is_forwarded_if_only_this_controller_is_cut_off(
    world, is_cut_off, peer_has_store, peer_response, status
):
    forwarded = []

    async def forward(operation, _job_text, body):
        forwarded.append((operation, json.loads(body)["id"]))
        return peer_response

    api = world.api(PeerQueries(has_store=lambda: peer_has_store, forward=forward))
    world.state.outage = is_cut_off
    for is_resubmission in (False, True):
        response = world.run(api.build_handler("submit")(json.dumps(job()).encode()))
        assert response.status == (200 if is_resubmission and not is_cut_off else status)
        assert response.retry_after == (1 if status == 503 else None)
    assert forwarded == ([("submit", "wk-000001")] * 2 if is_cut_off and peer_has_store else [])
    # A body that is not UTF-8 can't be forwarded, and is malformed anyway.
    if is_cut_off and peer_has_store:
        assert world.run(api.build_handler("submit")(b"\xff")).status == 400


class DirectTransport:
    """A transport that delivers data to the protocol at the other end at once."""

    def __init__(self):
        self.other_end = None

    def write(self, data):
        self.other_end.dataReceived(data)

    def writeSequence(self, parts):
        self.write(b"".join(parts))

    def setTcpNoDelay(self, on):
        """Ignore the option."""


class CountingLink(PeerLink):
    """Counts the requests that it receives."""

    requests_received = 0

    def on_message(self, connection, message):
        self.requests_received += isinstance(message, ForwardRequest | ProgressRequest)
        super().on_message(connection, message)


def connect_links(world, serve, progress_by_job):
    """Return two connected peer links: the first sends requests, the second serves them."""

    def build_link(name, has_store):
        heartbeat = PeerHeartbeat(NodeName(name), has_store, FencingToken(7) if has_store else None, 5)
        return connect_quiet_node(CountingLink(world.clock, []), heartbeat, progress_by_job.get, serve), heartbeat

    (client, _), (server, server_heartbeat) = build_link("n0", False), build_link("n1", True)
    ends = PeerProtocol(client, NodeName("n1")), PeerProtocol(server)
    # The server's end is connected first, because the client's end sends as soon as it is connected.
    for end, other_end in (ends[::-1], ends):
        transport = DirectTransport()
        transport.other_end = other_end
        end.makeConnection(transport)
    ends[1].send(server_heartbeat)
    return client, server


def test_peer_link_forwards_requests_and_batches_progress_requests(world):
    served = []

    async def serve(operation, job_text, body):
        served.append((operation, job_text, len(body)))
        return ServerResponse(
            503 if operation == "cancel" else 200, b'{"x":"\\u00e9"}\n', 1 if operation == "cancel" else None
        )

    link, server = connect_links(world, serve, {"wk-000001": JobProgress(3, 2, (1.0, 2.0, 3.0))})
    status = link.status
    # The largest accepted body, of characters that JSON escapes.
    body = b'"' * MAX_BODY_BYTES
    assert world.run(link.forward("submit", "", body)) == ServerResponse(200, b'{"x":"\\u00e9"}\n')
    assert world.run(link.forward("cancel", "wk-000001", b"")).retry_after == 1
    assert served == [("submit", "", MAX_BODY_BYTES), ("cancel", "wk-000001", 0)]
    assert (status.has_peer_with_store(), status.max_reporting_workers(), status.reported_leader()) == (
        True,
        5,
        ("n1", 7),
    )
    progress = []
    for job_id in ("wk-000001", "wk-000002", "wk-000001"):
        link.request_progress(NodeName("n1"), job_id).addCallback(progress.append)
    world.pass_time(0.1)
    assert progress == [(3, 2, (1.0, 2.0, 3.0)), (3, 2, (1.0, 2.0, 3.0)), None] and server.requests_received == 3
    # A silent peer receives no more requests.
    world.clock.advance(10.0)
    assert world.run(link.forward("query", "wk-000001", b"")) is None
    assert (status.has_peer_with_store(), status.max_reporting_workers(), status.reported_leader()) == (
        False,
        None,
        None,
    )


def test_query_flood_gets_503_at_once_and_does_not_block_submissions(world):
    api = world.api()
    responses = []
    for number in range(MAX_OPEN_REQUESTS + 50):
        Deferred.fromCoroutine(api.build_handler("query")(b"", f"wk-{number:06d}")).addCallback(responses.append)
    assert [(response.status, response.retry_after) for response in responses] == [(503, 1)] * 50
    submit_responses = []
    submission = api.build_handler("submit")(json.dumps(job()).encode())
    Deferred.fromCoroutine(submission).addCallback(submit_responses.append)
    world.pass_time(5.0)
    assert submit_responses[0].status == 201
    assert [response.status for response in responses].count(404) >= MAX_OPEN_REQUESTS - 1
    # All open requests are closed again.
    assert world.run(api.build_handler("query")(b"", "wk-000001")).status == 200 and not +api._open_requests


def test_api_server_rejects_connections_above_its_limit():
    """The limit keeps sockets free for the controller's own requests to the store, the workers and the cloud."""
    factory = build_api_factory(Router(), Clock(), max_connections=2)
    first, second = (factory.buildProtocol(None) for _ in range(2))
    for channel in (first, second):
        channel.makeConnection(StringTransport())
    assert factory.buildProtocol(None) is None, "a connection above the limit is closed at once"
    first.connectionLost(Failure(ConnectionDone()))
    assert factory.buildProtocol(None) is not None
