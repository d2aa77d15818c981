"""Relays: heartbeats answered or forwarded, validity of grants, assignment of workers, and the leader's relay pool."""

from __future__ import annotations

from collections import Counter

import pytest
from msgspec import UNSET, Raw
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from meadowcross.common.http import ClientResponse, ConnectionFailedError, NoResponseError
from meadowcross.common.settings import RelayMode
from meadowcross.common.types import FencingToken, HeartbeatVersion, Instant, MachineId, MachineKind, NodeName, Revision
from meadowcross.leadership.pending_requests import PendingRequests
from meadowcross.relay import messages as relay_messages
from meadowcross.relay.assignment import RelayAssignment, RelayCapacity
from meadowcross.relay.pool import GRANT_DURATION_S, RelayPool, RelayPoolSettings, WorkerClients
from meadowcross.relay.relay import FORWARD_TIMEOUT_S, Relay
from meadowcross.workers import messages as worker_messages
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

LEADER, TOKEN = NodeName("n0"), FencingToken(7)
FETCHING = worker_messages.TaskReport("wk-000001/0", 1, worker_messages.TaskState.FETCHING)
RUNNING = worker_messages.TaskReport("wk-000001/0", 1, worker_messages.TaskState.RUNNING)


def make_heartbeat(seq, tasks=(RUNNING,), token=TOKEN, incarnation=1, machine="i-000001", notice_s=None):
    return worker_messages.Heartbeat(
        machine, "10.0.0.1:9000", "small", "east", True, incarnation, seq, token, notice_s, list(tasks)
    )


class FakeLeaderLink:
    """A connection to a leader that answers each request at once, or fails with `failure` if that is set."""

    def __init__(self):
        self.requests: list[relay_messages.ForwardedHeartbeat] = []
        self.sent: list = []
        self.is_repeatable = True
        self.status = 200
        self.failure: Exception | None = None

    def send_relay_message(self, message, peer):
        self.sent.append(message)
        return True

    async def forward_heartbeat(self, leader, make_request, timeout_s):
        assert timeout_s == FORWARD_TIMEOUT_S < 4.0, "a worker waits 4 s"
        self.requests.append(make_request(len(self.requests)))
        if self.failure is not None:
            raise self.failure
        return relay_messages.HeartbeatAnswer(0, self.status, Raw(b'{"crook":7,"calls":[]}'), self.is_repeatable)


class FakeWorkers:
    """HTTP client whose calls all end with `outcome`, a response to return or an exception to raise."""

    def __init__(self):
        self.outcome: ClientResponse | Exception = ClientResponse(200, b'{"stall":"i-000001"}')
        self.call_count = 0

    async def call(self, method, address, path, body=None, timeout=2.0):
        self.call_count += 1
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


class RelayNode:
    """A relay with fake connections to its leader and its workers."""

    def __init__(self):
        self.clock, self.link, self.workers = Clock(), FakeLeaderLink(), FakeWorkers()
        self.clock.advance(1000.0)
        self.relay = Relay(self.clock, NodeName("n1"), lambda: self.link, self.workers)

    def grant(self, token=TOKEN):
        """Give the relay a grant with this token; returns the node itself."""
        self.relay.accept_grant(relay_messages.RelayGrant(LEADER, token, GRANT_DURATION_S))
        return self

    def handle(self, heartbeat):
        """Return the status of the response, or None if the worker must be redirected."""
        response = self.relay.answer_unchanged(heartbeat)
        if response is None:
            results = []
            Deferred.fromCoroutine(
                self.relay.forward_heartbeat(heartbeat, worker_messages.encode(heartbeat))
            ).addCallback(results.append)
            response = results[0]
        return response.status if response is not None else None


FORWARDING_CASES = [
    # name, second heartbeat after a full one with a running task, is the first repeatable, is the second forwarded
    ("unchanged", make_heartbeat(2), True, False),
    ("one task more", make_heartbeat(2, [RUNNING, FETCHING]), True, True),
    ("one task fewer", make_heartbeat(2, []), True, True),
    ("eviction notice", make_heartbeat(2, notice_s=20.0), True, True),
    ("another incarnation", make_heartbeat(2, incarnation=2), True, True),
    ("late copy of the first heartbeat", make_heartbeat(1), True, True),
    ("unchanged, but the first is not repeatable", make_heartbeat(2), False, True),
]


@pytest.mark.parametrize(
    ("second", "is_repeatable", "is_forwarded"),
    [row[1:] for row in FORWARDING_CASES],
    ids=[row[0] for row in FORWARDING_CASES],
)
def test_only_a_heartbeat_that_repeats_the_full_one_is_answered_by_the_relay(second, is_repeatable, is_forwarded):
    node = RelayNode().grant()
    node.link.is_repeatable = is_repeatable
    assert node.handle(make_heartbeat(1)) == 200 and len(node.link.requests) == 1
    assert node.handle(second) == 200
    assert (len(node.link.requests) == 2) is is_forwarded
    node.clock.advance(1.0)
    renewals = [
        renewal
        for message in node.link.sent
        if isinstance(message, relay_messages.HeartbeatRenewals)
        for renewal in message.renewals
    ]
    assert renewals == ([] if is_forwarded else [relay_messages.HeartbeatRenewal(MachineId("i-000001"), 1, 1, 2)])


def test_heartbeats_are_forwarded_while_the_leader_marks_them_as_not_repeatable():
    """The leader marks heartbeats with an exited task as not repeatable until the task is reaped."""
    node = RelayNode().grant()
    node.link.is_repeatable = False
    exited_task = worker_messages.TaskReport(
        "wk-000001/0", 1, worker_messages.TaskState.EXITED, worker_messages.EXIT_DONE
    )
    for seq in (1, 2, 3):
        assert node.handle(make_heartbeat(seq, [exited_task])) == 200
    assert len(node.link.requests) == 3


VOID_GRANT_CASES = [
    # name, how the grant becomes void
    ("grant expired", lambda node: node.clock.advance(GRANT_DURATION_S + 0.1)),
    (
        "heartbeat with a higher token",
        lambda node: node.handle(make_heartbeat(9, token=FencingToken(8), machine="i-000002")),
    ),
    ("peer leads with a higher token", lambda node: node.relay.on_token_seen(FencingToken(8))),
]


@pytest.mark.parametrize("void_grant", [row[1] for row in VOID_GRANT_CASES], ids=[row[0] for row in VOID_GRANT_CASES])
def test_relay_stops_at_once_when_its_grant_is_void(void_grant):
    node = RelayNode().grant()
    assert node.handle(make_heartbeat(1)) == 200
    void_grant(node)
    request_count = len(node.link.requests)
    assert node.handle(make_heartbeat(2)) is None and node.handle(make_heartbeat(3, [])) is None
    results = []
    request = relay_messages.ForwardedCommands(1, TOKEN, "10.0.0.1:9000", Raw(b"{}"))
    Deferred.fromCoroutine(node.relay.send_commands(request)).addCallback(results.append)
    assert results[0].outcome is relay_messages.DeliveryOutcome.NOT_SENT and node.workers.call_count == 0
    assert len(node.link.requests) == request_count, "no heartbeat is forwarded"


def grant_with_raised_tokens(node, newest):
    node.relay.accept_grant(relay_messages.RelayGrant(LEADER, TOKEN, GRANT_DURATION_S, FencingToken(newest)))
    return node


def test_heartbeat_with_a_raised_token_of_the_same_leader_gets_that_token():
    node = grant_with_raised_tokens(RelayNode(), 9)
    assert node.handle(make_heartbeat(1, token=FencingToken(8))) == 200
    response = node.relay.answer_unchanged(make_heartbeat(2, token=FencingToken(8)))
    assert response.status == 200 and b'"crook":8' in response.body
    assert node.relay.answer_unchanged(make_heartbeat(3, token=FencingToken(9))) is None, "the leader must see it"
    assert node.relay.active_grant() is not None


def test_token_above_those_of_the_leader_makes_its_grant_void_until_the_leader_announces_it():
    node = grant_with_raised_tokens(RelayNode(), 9)
    node.relay.on_token_seen(FencingToken(10))
    assert node.relay.active_grant() is None
    assert grant_with_raised_tokens(node, 9).relay.active_grant() is None
    assert grant_with_raised_tokens(node, 10).relay.active_grant() is not None


def test_grant_of_an_earlier_term_is_ignored():
    node = RelayNode().grant(FencingToken(8))
    node.relay.accept_grant(relay_messages.RelayGrant(LEADER, TOKEN, GRANT_DURATION_S))
    assert node.relay.active_grant().token == 8


def test_new_term_receives_the_relayed_workers_and_their_next_full_heartbeats():
    node = RelayNode().grant()
    node.handle(make_heartbeat(1))
    node.grant(FencingToken(9))
    assert node.link.sent[-1] == relay_messages.RelayedWorkers(NodeName("n1"), FencingToken(9), [MachineId("i-000001")])
    node.handle(make_heartbeat(2, token=TOKEN))
    assert len(node.link.requests) == 2 and node.link.requests[-1].token == 9


def test_requested_full_heartbeat_is_forwarded():
    node = RelayNode().grant()
    node.handle(make_heartbeat(1))
    node.relay.request_full_heartbeats(relay_messages.ResendRequest(TOKEN, [MachineId("i-000001")]))
    node.handle(make_heartbeat(2))
    assert len(node.link.requests) == 2


@pytest.mark.parametrize("failure", [ConnectionFailedError("not connected"), NoResponseError("lost")])
def test_worker_gets_503_if_the_leader_does_not_answer(failure):
    node = RelayNode().grant()
    node.link.failure = failure
    assert node.handle(make_heartbeat(1)) == 503


OUTCOMES = [
    # result of the call to the worker, outcome and body reported to the leader
    (ClientResponse(200, b'{"stall":"i-000001"}'), relay_messages.DeliveryOutcome.ANSWERED, b'{"stall":"i-000001"}'),
    (ClientResponse(409, b"no json"), relay_messages.DeliveryOutcome.ANSWERED, b"null"),
    (ConnectionFailedError("refused"), relay_messages.DeliveryOutcome.NOT_SENT, b"null"),
    (NoResponseError("lost"), relay_messages.DeliveryOutcome.UNANSWERED, b"null"),
]


@pytest.mark.parametrize(("outcome", "reported_outcome", "body"), OUTCOMES)
def test_each_outcome_of_commands_is_reported_to_the_leader(outcome, reported_outcome, body):
    node = RelayNode().grant()
    node.workers.outcome = outcome
    results = []
    request = relay_messages.ForwardedCommands(4, TOKEN, "10.0.0.1:9000", Raw(b"{}"))
    Deferred.fromCoroutine(node.relay.send_commands(request)).addCallback(results.append)
    assert (results[0].number, results[0].outcome, bytes(results[0].body)) == (4, reported_outcome, body)


# The leader's side


class FakeRelayLink:
    """Connections to relays; each request ends with `answer`, which is returned, or raised if it is an exception."""

    def __init__(self):
        self.sent = []
        self.unreachable: set[str] = set()
        self.answer: relay_messages.CommandsAnswer | Exception = relay_messages.CommandsAnswer(
            0, relay_messages.DeliveryOutcome.ANSWERED, 200, Raw(b"{}")
        )

    def send_relay_message(self, message, peer):
        if peer in self.unreachable:
            return False
        self.sent.append((peer, message))
        return True

    async def forward_commands(self, peer, make_request, timeout_s):
        make_request(1)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class FakePeer:
    """A peer with the number of workers that it can take as a relay; None for a node of an earlier version."""

    def __init__(self, node, relay_capacity):
        self.node, self.relay_capacity = node, relay_capacity
        self.relays_raised_tokens = True


class LeaderWithRelays:
    """A leader's relay pool; `relay_capacities` holds one value for each peer."""

    def __init__(self, mode=RelayMode.ALWAYS, own_capacity=10, relay_capacities=(100, 100)):
        self.clock, self.link, self.persistent_client, self.short_lived_client = (
            Clock(),
            FakeRelayLink(),
            FakeWorkers(),
            FakeWorkers(),
        )
        self.clock.advance(1000.0)
        self.peers = [FakePeer(NodeName(f"n{index + 1}"), capacity) for index, capacity in enumerate(relay_capacities)]
        zones = {NodeName("n1"): "east", NodeName("n2"): "west"}
        self.registry = WorkerRegistry(TOKEN)
        self.pool = RelayPool(
            self.clock,
            LEADER,
            TOKEN,
            self.link,
            WorkerClients(self.persistent_client, self.short_lived_client),
            RelayPoolSettings(mode, own_capacity, zones, report_s=4.0, silent_s=8.0),
            lambda: self.peers,
        )
        self.pool.set_registry(self.registry)
        self.pool.renew_grants()

    def add_machine(self, name="i-000001", zone="east", seq=5):
        machine = Machine(MachineId(name), MachineKind("small", zone, True), None, Instant(0.0))
        machine.address = "10.0.0.1:9000"
        self.registry.add(machine)
        self.registry.apply_heartbeat(machine, make_heartbeat(seq, [], machine=name), Instant(self.clock.seconds()))
        return machine


RENEWALS = [
    # name, token, incarnation, sequence number of the repeated full heartbeat and of the renewal itself,
    # is the last contact updated, is a full heartbeat requested
    ("of the newest full heartbeat", TOKEN, 1, 5, 6, True, False),
    ("received already", TOKEN, 1, 5, 5, False, False),
    ("late, older than the newest heartbeat", TOKEN, 1, 3, 4, False, False),
    ("of an earlier incarnation", TOKEN, 0, 5, 9, False, False),
    ("of a later, unknown incarnation", TOKEN, 2, 1, 2, False, True),
    ("of an outdated full heartbeat", TOKEN, 1, 4, 6, True, True),
    ("by a relay of an earlier term", FencingToken(6), 1, 5, 6, False, False),
]


@pytest.mark.parametrize(
    ("token", "incarnation", "full_seq", "seq", "is_contact", "is_full_requested"),
    [row[1:] for row in RENEWALS],
    ids=[case[0] for case in RENEWALS],
)
def test_renewal_updates_the_last_contact_and_nothing_else(
    token, incarnation, full_seq, seq, is_contact, is_full_requested
):
    leader = LeaderWithRelays()
    machine = leader.add_machine()
    version, contact_at_before = machine.proof.heartbeat_version, machine.contact.last_contact_at
    leader.clock.advance(3.0)
    leader.link.sent.clear()
    renewal = relay_messages.HeartbeatRenewal(machine.id, incarnation, full_seq, seq)
    for _ in range(2):
        leader.pool.apply_renewals(relay_messages.HeartbeatRenewals(NodeName("n1"), token, [renewal]))
    assert (machine.contact.last_contact_at > contact_at_before) is is_contact and (
        machine.contact.last_status_at == contact_at_before
    ), "only full heartbeats update the status"
    assert machine.proof.heartbeat_version == version
    requests = [message for _, message in leader.link.sent if isinstance(message, relay_messages.ResendRequest)]
    assert bool(requests) is is_full_requested


def test_full_heartbeat_is_requested_from_an_unreconciled_machine():
    leader = LeaderWithRelays()
    machine = leader.add_machine()
    machine.proof.reconciled_tasks = None
    leader.link.sent.clear()
    leader.pool.apply_renewals(
        relay_messages.HeartbeatRenewals(NodeName("n1"), TOKEN, [relay_messages.HeartbeatRenewal(machine.id, 1, 5, 6)])
    )
    assert leader.link.sent == [(NodeName("n1"), relay_messages.ResendRequest(TOKEN, [machine.id]))]


def test_workers_of_a_lost_relay_get_a_grace_period():
    leader = LeaderWithRelays()
    machine = leader.add_machine()
    relay = leader.pool.assign_relay(machine, None)
    assert relay == "n1", "a relay in the worker's zone is preferred"
    leader.pool.on_peer_lost(relay)
    assert machine.contact.grace_until == leader.clock.seconds() + 1.25 * 4.0 + 4.0 + 1.0
    assert leader.pool.assignment.relay_of(machine.id) is None


COMMAND_RESULTS = [
    # name, the relay's answer or the failed request to it, the exception raised or response returned to the sender
    ("not sent", relay_messages.CommandsAnswer(0, relay_messages.DeliveryOutcome.NOT_SENT), ConnectionFailedError),
    ("unanswered", relay_messages.CommandsAnswer(0, relay_messages.DeliveryOutcome.UNANSWERED), NoResponseError),
    ("connection lost", NoResponseError("connection lost"), NoResponseError),
    ("too many requests in flight", ConnectionFailedError("1000 requests are in flight"), ConnectionFailedError),
    (
        "answered",
        relay_messages.CommandsAnswer(0, relay_messages.DeliveryOutcome.ANSWERED, 409, Raw(b"{}")),
        ClientResponse(409, b"{}"),
    ),
]


@pytest.mark.parametrize(
    ("answer", "expected"), [row[1:] for row in COMMAND_RESULTS], ids=[row[0] for row in COMMAND_RESULTS]
)
def test_commands_are_sent_through_the_workers_relay(answer, expected):
    leader = LeaderWithRelays()
    machine = leader.add_machine()
    leader.pool.assign_relay(machine, NodeName("n1"))
    leader.link.answer = answer
    results = []
    Deferred.fromCoroutine(leader.pool.send_commands(machine, b"{}")).addBoth(results.append)
    assert results == [expected] if isinstance(expected, ClientResponse) else results[0].check(expected)
    assert leader.persistent_client.call_count == leader.short_lived_client.call_count == 0


def test_commands_are_sent_directly_after_the_relay_is_lost():
    leader = LeaderWithRelays()
    machine = leader.add_machine()
    leader.pool.assign_relay(machine, NodeName("n1"))
    leader.link.unreachable.add("n1")
    leader.pool.renew_grants()
    Deferred.fromCoroutine(leader.pool.send_commands(machine, b"{}"))
    assert (leader.persistent_client.call_count, leader.short_lived_client.call_count) == (0, 1), (
        "no connection is kept open while sockets are scarce"
    )


def test_leader_without_relays_keeps_its_connections():
    leader = LeaderWithRelays(RelayMode.AUTO)
    Deferred.fromCoroutine(leader.pool.send_commands(leader.add_machine(), b"{}"))
    assert (leader.persistent_client.call_count, leader.short_lived_client.call_count) == (1, 0)


MODES = [
    # relay mode, number of machines, are grants sent
    (RelayMode.AUTO, 10, False),
    (RelayMode.AUTO, 11, True),
    (RelayMode.ALWAYS, 1, True),
]


@pytest.mark.parametrize(("mode", "machine_count", "is_granted"), MODES)
def test_relays_are_enabled_above_the_leaders_own_capacity(mode, machine_count, is_granted):
    leader = LeaderWithRelays(mode)
    for number in range(machine_count):
        leader.add_machine(f"i-{number:06d}")
    leader.link.sent.clear()
    leader.pool.renew_grants()
    assert bool(leader.link.sent) is is_granted
    leader.registry.machines.clear()
    leader.pool.renew_grants()
    assert (leader.pool.relay_count > 0) is (mode is RelayMode.ALWAYS), "relays are disabled again below the capacity"


def test_node_of_an_earlier_version_is_never_a_relay():
    leader = LeaderWithRelays(relay_capacities=(None, 100))
    assert {peer for peer, _ in leader.link.sent} == {"n2"}


# Assignment of workers to relays


def make_assignment(capacities, worker_count):
    """Return an assignment with one relay for each capacity, after a first heartbeat of each worker at the leader."""
    assignment = RelayAssignment()
    assignment.relays = {NodeName(f"n{i}"): RelayCapacity("east", capacity) for i, capacity in enumerate(capacities, 1)}
    for number in range(worker_count):
        assignment.on_heartbeat(MachineId(f"i-{number:06d}"), "east", LEADER)
    return assignment


@pytest.mark.parametrize(
    ("capacities", "worker_count"), [((100, 100, 100, 100), 200), ((30, 100), 100), ((10, 10), 20)]
)
def test_load_of_each_relay_stays_within_its_capacity_and_the_load_bound(capacities, worker_count):
    assignment = make_assignment(capacities, worker_count)
    loads = [assignment.load(node) for node in assignment.relays]
    assert sum(loads) == worker_count and all(
        load <= capacity for load, capacity in zip(loads, capacities, strict=True)
    )
    assert max(loads) <= max(1.1 * worker_count / len(capacities) + 1, worker_count - min(capacities))


def test_removing_a_relay_moves_only_its_own_workers():
    assignment = make_assignment((200, 200, 200), 150)
    machines = [MachineId(f"i-{number:06d}") for number in range(150)]
    relays_before = {machine: assignment.relay_of(machine) for machine in machines}
    former_workers = assignment.remove_relay(NodeName("n1"))
    assert set(former_workers) == {machine for machine in machines if relays_before[machine] == "n1"} and (
        len(former_workers) > 20
    )
    for machine in machines:
        assignment.on_heartbeat(machine, "east", relays_before[machine] if relays_before[machine] != "n1" else LEADER)
    moved = Counter(
        relays_before[machine] for machine in machines if assignment.relay_of(machine) != relays_before[machine]
    )
    assert set(moved) == {"n1"}


def test_workers_stay_with_the_leader_while_all_relays_are_full():
    assignment = make_assignment((5, 5), 10)
    assert assignment.on_heartbeat(MachineId("i-000099"), "east", LEADER) is None
    assert assignment.relay_of(MachineId("i-000099")) is None


def test_relay_that_does_not_serve_a_worker_is_avoided_for_that_worker():
    assignment = make_assignment((100, 100), 0)
    machine = MachineId("i-000001")
    first = assignment.on_heartbeat(machine, "east", LEADER)
    second = assignment.on_heartbeat(machine, "east", LEADER)
    assert {first, second} == {"n1", "n2"}
    assert assignment.on_heartbeat(machine, "east", LEADER) is None, "with both relays avoided it stays at the leader"
    assignment.reset_avoidance()
    assert assignment.on_heartbeat(machine, "east", LEADER) is not None


def test_worker_that_reaches_another_relay_is_assigned_to_it():
    assignment = make_assignment((100, 100), 0)
    machine = MachineId("i-000001")
    first = assignment.on_heartbeat(machine, "east", LEADER)
    other = NodeName("n1" if first == "n2" else "n2")
    assert assignment.on_heartbeat(machine, "east", other) is None and assignment.relay_of(machine) == other


# Requests on connections between controllers


class FakeConnection:
    """A connection that records the messages sent on it."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def test_lost_connection_fails_all_requests_in_flight():
    pending, connection, failures = PendingRequests(Clock(), 3), FakeConnection(), []
    for _ in range(3):
        Deferred.fromCoroutine(pending.request(connection, lambda number: number, 5.0)).addErrback(failures.append)
    refused = []
    Deferred.fromCoroutine(pending.request(connection, lambda number: number, 5.0)).addErrback(refused.append)
    assert refused[0].check(ConnectionFailedError) and connection.sent == [1, 2, 3], (
        "a request above the limit is refused, not buffered"
    )
    pending.on_connection_lost(connection)
    assert len(failures) == 3 and all(failure.check(NoResponseError) for failure in failures)


def test_response_that_arrives_after_the_timeout_is_dropped():
    clock, connection, failures = Clock(), FakeConnection(), []
    pending = PendingRequests(clock, 3)
    Deferred.fromCoroutine(pending.request(connection, lambda number: number, 1.0)).addErrback(failures.append)
    clock.advance(1.1)
    assert failures[0].check(NoResponseError)
    pending.on_response(connection, relay_messages.CommandsAnswer(1, relay_messages.DeliveryOutcome.ANSWERED))


def test_heartbeat_versions_are_ordered_by_incarnation_first():
    assert HeartbeatVersion(2, 1) > HeartbeatVersion(1, 99)


def test_silent_worker_of_a_relay_gets_time_to_reach_another_node():
    """The worker gets it even while the relay's other workers are in contact: after the relay has failed, its workers
    become silent one after the other.
    """
    leader = LeaderWithRelays()
    first, *others = (leader.add_machine(f"i-{number:06d}") for number in range(4))
    for machine in (first, *others):
        leader.pool.assignment.assign(machine.id, NodeName("n1"))
    last_contact_at = first.contact.last_contact_at
    leader.clock.advance(7.0)
    for machine in others:
        machine.contact.last_contact_at = leader.clock.seconds()
    leader.pool.renew_grants()
    assert first.contact.grace_until == pytest.approx(last_contact_at + 1.25 * 4.0 + 4.0 + 1.0 + 1.0 - 8.0)
    assert all(machine.contact.grace_until == 0.0 for machine in others)


def test_peer_that_takes_raised_tokens_for_those_of_another_leader_is_no_relay():
    leader = LeaderWithRelays()
    leader.peers[0].relays_raised_tokens = UNSET
    leader.pool.renew_grants()
    assert set(leader.pool.assignment.relays) == {"n2"}


def test_grants_announce_the_newest_token_of_the_term():
    leader = LeaderWithRelays()
    leader.registry.tokens.record_commit(Revision(TOKEN + 5))
    leader.pool.renew_grants()
    (_, grant) = leader.link.sent[-1]
    assert (grant.token, grant.newest_token) == (TOKEN, TOKEN + 5)
