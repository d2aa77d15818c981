"""Relays: what they answer by themselves, what they pass on, when they stop, and what the leader takes from them."""

from __future__ import annotations

from collections import Counter

import pytest
from msgspec import Raw
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from meadowcross.common.http import ClientResponse, ConnectionFailedError, NoResponseError
from meadowcross.common.settings import RelayMode
from meadowcross.common.types import FencingToken, HeartbeatVersion, Instant, MachineId, MachineKind, NodeName
from meadowcross.leadership.pending_requests import PendingRequests
from meadowcross.relay import messages as m
from meadowcross.relay.assignment import RelayAssignment, RelayCapacity
from meadowcross.relay.pool import GRANT_DURATION_S, RelayPool, RelayPoolSettings, WorkerClients
from meadowcross.relay.relay import FORWARD_TIMEOUT_S, Relay
from meadowcross.workers import messages as wm
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

LEADER, TOKEN = NodeName("n0"), FencingToken(7)
FETCHING = wm.TaskReport("wk-000001/0", 1, wm.TaskState.FETCHING)
RUNNING = wm.TaskReport("wk-000001/0", 1, wm.TaskState.RUNNING)


def make_heartbeat(seq, tasks=(RUNNING,), token=TOKEN, session=1, machine="i-000001", notice_s=None):
    return wm.Heartbeat(machine, "10.0.0.1:9000", "small", "east", True, session, seq, token, notice_s, list(tasks))


class FakeLeaderLink:
    """The link to a leader that answers at once, or not."""

    def __init__(self):
        self.requests: list[m.ForwardedHeartbeat] = []
        self.sent: list = []
        self.is_repeatable = True
        self.status = 200
        self.failure: Exception | None = None

    def send_relay(self, message, peer):
        self.sent.append(message)
        return True

    async def ask_leader(self, leader, make, timeout):
        assert timeout == FORWARD_TIMEOUT_S < 4.0, "a worker waits 4 s"
        self.requests.append(make(len(self.requests)))
        if self.failure is not None:
            raise self.failure
        return m.HeartbeatAnswer(0, self.status, Raw(b'{"crook":7,"calls":[]}'), self.is_repeatable)


class FakeWorkers:
    """Stands for workers' addresses; `outcome` is what becomes of commands."""

    def __init__(self):
        self.outcome: ClientResponse | Exception = ClientResponse(200, b'{"stall":"i-000001"}')
        self.call_count = 0

    async def call(self, method, address, path, body=None, timeout=2.0):
        self.call_count += 1
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


class RelayNode:
    def __init__(self):
        self.clock, self.link, self.workers = Clock(), FakeLeaderLink(), FakeWorkers()
        self.clock.advance(1000.0)
        self.relay = Relay(self.clock, NodeName("n1"), lambda: self.link, self.workers)

    def grant(self, token=TOKEN):
        self.relay.accept_grant(m.RelayGrant(LEADER, token, GRANT_DURATION_S))
        return self

    def handle(self, heartbeat):
        """The answer's status, or None where the worker is turned away."""
        answer = self.relay.answer_unchanged(heartbeat)
        if answer is None:
            box = []
            Deferred.fromCoroutine(self.relay.forward_heartbeat(heartbeat, wm.encode(heartbeat))).addCallback(
                box.append
            )
            answer = box[0]
        return answer.status if answer is not None else None


PASSED = [
    # after one whole report with a running task, is this one passed to the leader?
    ("the same again", make_heartbeat(2), True, False),
    ("a task more", make_heartbeat(2, [RUNNING, FETCHING]), True, True),
    ("a task gone", make_heartbeat(2, []), True, True),
    ("a notice", make_heartbeat(2, notice_s=20.0), True, True),
    ("another session", make_heartbeat(2, session=2), True, True),
    ("a copy of the first, come late", make_heartbeat(1), True, True),
    ("the same, but the leader has more to say", make_heartbeat(2), False, True),
]


@pytest.mark.parametrize(("second", "settled", "passed"), [row[1:] for row in PASSED], ids=[row[0] for row in PASSED])
def test_only_a_report_that_says_nothing_new_is_answered_here(second, settled, passed):
    node = RelayNode().grant()
    node.link.is_repeatable = settled
    assert node.handle(make_heartbeat(1)) == 200 and len(node.link.requests) == 1
    assert node.handle(second) == 200
    assert (len(node.link.requests) == 2) is passed
    node.clock.advance(1.0)
    renewed = [
        one for message in node.link.sent if isinstance(message, m.HeartbeatRenewals) for one in message.renewals
    ]
    assert renewed == ([] if passed else [m.HeartbeatRenewal(MachineId("i-000001"), 1, 1, 2)])


def test_a_relay_never_answers_by_itself_what_has_ended():
    """The leader says so with each answer; until the task is reaped its report is passed on."""
    node = RelayNode().grant()
    node.link.is_repeatable = False
    ended = wm.TaskReport("wk-000001/0", 1, wm.TaskState.EXITED, wm.EXIT_DONE)
    for seq in (1, 2, 3):
        assert node.handle(make_heartbeat(seq, [ended])) == 200
    assert len(node.link.requests) == 3


STOPS = [
    ("the grant has run out", lambda node: node.clock.advance(GRANT_DURATION_S + 0.1)),
    (
        "a report shows a higher token",
        lambda node: node.handle(make_heartbeat(9, token=FencingToken(8), machine="i-000002")),
    ),
    ("a peer leads with a higher token", lambda node: node.relay.on_token_seen(FencingToken(8))),
]


@pytest.mark.parametrize("stop", [row[1] for row in STOPS], ids=[row[0] for row in STOPS])
def test_a_relay_stops_at_once(stop):
    node = RelayNode().grant()
    assert node.handle(make_heartbeat(1)) == 200
    stop(node)
    asked = len(node.link.requests)
    assert node.handle(make_heartbeat(2)) is None and node.handle(make_heartbeat(3, [])) is None
    box = []
    command = m.ForwardedCommands(1, TOKEN, "10.0.0.1:9000", Raw(b"{}"))
    Deferred.fromCoroutine(node.relay.send_commands(command)).addCallback(box.append)
    assert box[0].outcome is m.DeliveryOutcome.NOT_SENT and node.workers.call_count == 0
    assert len(node.link.requests) == asked, "nothing is passed on"


def test_a_grant_of_an_earlier_term_counts_for_nothing():
    node = RelayNode().grant(FencingToken(8))
    node.relay.accept_grant(m.RelayGrant(LEADER, TOKEN, GRANT_DURATION_S))
    assert node.relay.active_grant().token == 8


def test_a_new_term_hears_of_the_sessions_and_gets_the_next_reports_whole():
    node = RelayNode().grant()
    node.handle(make_heartbeat(1))
    node.grant(FencingToken(9))
    assert node.link.sent[-1] == m.RelayedWorkers(NodeName("n1"), FencingToken(9), [MachineId("i-000001")])
    node.handle(make_heartbeat(2, token=TOKEN))
    assert len(node.link.requests) == 2 and node.link.requests[-1].token == 9


def test_what_the_leader_wants_whole_is_passed_on():
    node = RelayNode().grant()
    node.handle(make_heartbeat(1))
    node.relay.request_full_heartbeats(m.ResendRequest(TOKEN, [MachineId("i-000001")]))
    node.handle(make_heartbeat(2))
    assert len(node.link.requests) == 2


@pytest.mark.parametrize("failure", [ConnectionFailedError("no line"), NoResponseError("lost")])
def test_without_the_leaders_answer_a_worker_is_sent_on(failure):
    node = RelayNode().grant()
    node.link.failure = failure
    assert node.handle(make_heartbeat(1)) == 503


OUTCOMES = [
    (ClientResponse(200, b'{"stall":"i-000001"}'), m.DeliveryOutcome.ANSWERED, b'{"stall":"i-000001"}'),
    (ClientResponse(409, b"no json"), m.DeliveryOutcome.ANSWERED, b"null"),
    (ConnectionFailedError("refused"), m.DeliveryOutcome.NOT_SENT, b"null"),
    (NoResponseError("lost"), m.DeliveryOutcome.UNANSWERED, b"null"),
]


@pytest.mark.parametrize(("outcome", "told", "body"), OUTCOMES)
def test_each_outcome_of_commands_is_told_apart(outcome, told, body):
    node = RelayNode().grant()
    node.workers.outcome = outcome
    box = []
    command = m.ForwardedCommands(4, TOKEN, "10.0.0.1:9000", Raw(b"{}"))
    Deferred.fromCoroutine(node.relay.send_commands(command)).addCallback(box.append)
    assert (box[0].number, box[0].outcome, bytes(box[0].body)) == (4, told, body)


# The leader's side


class FakeRelayLink:
    def __init__(self):
        self.sent = []
        self.unreachable: set[str] = set()
        self.answer: m.CommandsAnswer | Exception = m.CommandsAnswer(0, m.DeliveryOutcome.ANSWERED, 200, Raw(b"{}"))

    def send_relay(self, message, peer):
        if peer in self.unreachable:
            return False
        self.sent.append((peer, message))
        return True

    async def ask_relay(self, peer, make, timeout):
        make(1)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class FakePeer:
    def __init__(self, node, room):
        self.node, self.relay_room = node, room


class LeaderWithRelays:
    def __init__(self, mode=RelayMode.ALWAYS, own_room=10, rooms=(100, 100)):
        self.clock, self.link, self.here, self.brief = Clock(), FakeRelayLink(), FakeWorkers(), FakeWorkers()
        self.clock.advance(1000.0)
        self.peers = [FakePeer(NodeName(f"n{number + 1}"), room) for number, room in enumerate(rooms)]
        zones = {NodeName("n1"): "east", NodeName("n2"): "west"}
        self.roster = WorkerRegistry(TOKEN)
        self.pool = RelayPool(
            self.clock,
            LEADER,
            TOKEN,
            self.link,
            WorkerClients(self.here, self.brief),
            RelayPoolSettings(mode, own_room, zones, report_s=4.0, silent_s=8.0),
            lambda: self.peers,
        )
        self.pool.set_registry(self.roster)
        self.pool.renew_grants()

    def add_machine(self, name="i-000001", zone="east", seq=5):
        machine = Machine(MachineId(name), MachineKind("small", zone, True), None, Instant(0.0))
        machine.address = "10.0.0.1:9000"
        self.roster.add(machine)
        self.roster.apply_heartbeat(machine, make_heartbeat(seq, [], machine=name), Instant(self.clock.seconds()))
        return machine


RENEWALS = [
    # token, session, the whole report that is repeated, the report: is it heard, and is the next one wanted whole?
    ("of the newest whole report", TOKEN, 1, 5, 6, True, False),
    ("told twice", TOKEN, 1, 5, 5, False, False),
    ("late, older than what is known", TOKEN, 1, 3, 4, False, False),
    ("of an earlier session", TOKEN, 0, 5, 9, False, False),
    ("of a later session, not known yet", TOKEN, 2, 1, 2, False, True),
    ("a whole report has been overtaken", TOKEN, 1, 4, 6, True, True),
    ("by a relay of an earlier term", FencingToken(6), 1, 5, 6, False, False),
]


@pytest.mark.parametrize(
    ("token", "session", "whole", "seq", "heard", "wanted"), [row[1:] for row in RENEWALS], ids=[r[0] for r in RENEWALS]
)
def test_a_renewal_renews_what_is_heard_and_takes_nothing_away(token, session, whole, seq, heard, wanted):
    leader = LeaderWithRelays()
    machine = leader.add_machine()
    version, before = machine.proof.heartbeat_version, machine.contact.last_contact_at
    leader.clock.advance(3.0)
    leader.link.sent.clear()
    renewal = m.HeartbeatRenewal(machine.id, session, whole, seq)
    for _ in range(2):
        leader.pool.apply_renewals(m.HeartbeatRenewals(NodeName("n1"), token, [renewal]))
    assert (machine.contact.last_contact_at > before) is heard and machine.contact.last_status_at == before, (
        "whole reports alone tell"
    )
    assert machine.proof.heartbeat_version == version
    asked = [message for _, message in leader.link.sent if isinstance(message, m.ResendRequest)]
    assert bool(asked) is wanted


def test_machines_that_must_be_looked_at_again_are_asked_for_whole():
    leader = LeaderWithRelays()
    machine = leader.add_machine()
    machine.proof.reconciled_tasks = None
    leader.link.sent.clear()
    leader.pool.apply_renewals(m.HeartbeatRenewals(NodeName("n1"), TOKEN, [m.HeartbeatRenewal(machine.id, 1, 5, 6)]))
    assert leader.link.sent == [(NodeName("n1"), m.ResendRequest(TOKEN, [machine.id]))]


def test_a_relays_silence_is_not_its_workers():
    leader = LeaderWithRelays()
    machine = leader.add_machine()
    relay = leader.pool.assign_relay(machine, None)
    assert relay == "n1", "the worker's zone first"
    leader.pool.on_peer_lost(relay)
    assert machine.contact.grace_until == leader.clock.seconds() + 1.25 * 4.0 + 4.0 + 1.0
    assert leader.pool.assignment.relay_of(machine.id) is None


SENT = [
    # what became of commands through a relay, and what the sender is told
    ("not sent", m.CommandsAnswer(0, m.DeliveryOutcome.NOT_SENT), ConnectionFailedError),
    ("unanswered", m.CommandsAnswer(0, m.DeliveryOutcome.UNANSWERED), NoResponseError),
    ("the link was lost", NoResponseError("the line is lost"), NoResponseError),
    ("too many are open", ConnectionFailedError("1000 questions are open already"), ConnectionFailedError),
    ("answered", m.CommandsAnswer(0, m.DeliveryOutcome.ANSWERED, 409, Raw(b"{}")), ClientResponse(409, b"{}")),
]


@pytest.mark.parametrize(("answer", "told"), [row[1:] for row in SENT], ids=[row[0] for row in SENT])
def test_commands_go_through_the_relay_that_has_the_session(answer, told):
    leader = LeaderWithRelays()
    machine = leader.add_machine()
    leader.pool.assign_relay(machine, NodeName("n1"))
    leader.link.answer = answer
    box = []
    Deferred.fromCoroutine(leader.pool.send_commands(machine, b"{}")).addBoth(box.append)
    assert box == [told] if isinstance(told, ClientResponse) else box[0].check(told)
    assert leader.here.call_count == leader.brief.call_count == 0


def test_without_its_relay_commands_go_from_here():
    leader = LeaderWithRelays()
    machine = leader.add_machine()
    leader.pool.assign_relay(machine, NodeName("n1"))
    leader.link.unreachable.add("n1")
    leader.pool.renew_grants()
    Deferred.fromCoroutine(leader.pool.send_commands(machine, b"{}"))
    assert (leader.here.call_count, leader.brief.call_count) == (0, 1), "no connection is kept where sockets are short"


def test_without_relays_a_leader_keeps_its_connections():
    leader = LeaderWithRelays(RelayMode.AUTO)
    Deferred.fromCoroutine(leader.pool.send_commands(leader.add_machine(), b"{}"))
    assert (leader.here.call_count, leader.brief.call_count) == (1, 0)


MODES = [
    # machines known, and whether nodes are granted to answer
    (RelayMode.AUTO, 10, False),
    (RelayMode.AUTO, 11, True),
    (RelayMode.ALWAYS, 1, True),
]


@pytest.mark.parametrize(("mode", "machines", "granted"), MODES)
def test_relays_are_used_once_the_leaders_sockets_are_short(mode, machines, granted):
    leader = LeaderWithRelays(mode)
    for number in range(machines):
        leader.add_machine(f"i-{number:06d}")
    leader.link.sent.clear()
    leader.pool.renew_grants()
    assert bool(leader.link.sent) is granted
    leader.roster.machines.clear()
    leader.pool.renew_grants()
    assert (leader.pool.relay_count > 0) is (mode is RelayMode.ALWAYS), "and no more once there are few"


def test_a_node_of_an_earlier_version_is_never_a_relay():
    leader = LeaderWithRelays(rooms=(None, 100))
    assert {peer for peer, _ in leader.link.sent} == {"n2"}


# Who reports where


def make_assignment(rooms, count):
    assignment = RelayAssignment()
    assignment.relays = {NodeName(f"n{i}"): RelayCapacity("east", room) for i, room in enumerate(rooms, 1)}
    for number in range(count):
        assignment.on_heartbeat(MachineId(f"i-{number:06d}"), "east", LEADER)
    return assignment


@pytest.mark.parametrize(("rooms", "count"), [((100, 100, 100, 100), 200), ((30, 100), 100), ((10, 10), 20)])
def test_no_relay_gets_more_than_its_room_nor_much_more_than_its_part(rooms, count):
    assignment = make_assignment(rooms, count)
    loads = [assignment.load(node) for node in assignment.relays]
    assert sum(loads) == count and all(load <= room for load, room in zip(loads, rooms, strict=True))
    assert max(loads) <= max(1.1 * count / len(rooms) + 1, count - min(rooms))


def test_a_relay_that_goes_moves_only_its_own_workers():
    assignment = make_assignment((200, 200, 200), 150)
    names = [MachineId(f"i-{number:06d}") for number in range(150)]
    before = {name: assignment.relay_of(name) for name in names}
    lost = assignment.remove_relay(NodeName("n1"))
    assert set(lost) == {name for name in names if before[name] == "n1"} and len(lost) > 20
    for name in names:
        assignment.on_heartbeat(name, "east", before[name] if before[name] != "n1" else LEADER)
    moved = Counter(before[name] for name in names if assignment.relay_of(name) != before[name])
    assert set(moved) == {"n1"}


def test_with_all_relays_full_workers_stay_with_the_leader():
    assignment = make_assignment((5, 5), 10)
    assert assignment.on_heartbeat(MachineId("i-000099"), "east", LEADER) is None
    assert assignment.relay_of(MachineId("i-000099")) is None


def test_a_relay_that_does_not_serve_a_worker_is_avoided_for_it():
    assignment = make_assignment((100, 100), 0)
    name = MachineId("i-000001")
    first = assignment.on_heartbeat(name, "east", LEADER)
    second = assignment.on_heartbeat(name, "east", LEADER)
    assert {first, second} == {"n1", "n2"}
    assert assignment.on_heartbeat(name, "east", LEADER) is None, "then it stays where it gets answers"
    assignment.reset_avoidance()
    assert assignment.on_heartbeat(name, "east", LEADER) is not None


def test_a_worker_that_comes_by_another_relay_stays_there():
    assignment = make_assignment((100, 100), 0)
    name = MachineId("i-000001")
    first = assignment.on_heartbeat(name, "east", LEADER)
    other = NodeName("n1" if first == "n2" else "n2")
    assert assignment.on_heartbeat(name, "east", other) is None and assignment.relay_of(name) == other


# Questions on the link


class FakeLine:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def test_a_line_that_is_lost_leaves_all_that_is_open_unanswered():
    questions, line, box = PendingRequests(Clock(), 3), FakeLine(), []
    for _ in range(3):
        Deferred.fromCoroutine(questions.request(line, lambda number: number, 5.0)).addErrback(box.append)
    refused = []
    Deferred.fromCoroutine(questions.request(line, lambda number: number, 5.0)).addErrback(refused.append)
    assert refused[0].check(ConnectionFailedError) and line.sent == [1, 2, 3], (
        "what is more than fits is refused, not buffered"
    )
    questions.on_connection_lost(line)
    assert len(box) == 3 and all(failure.check(NoResponseError) for failure in box)


def test_an_answer_that_comes_after_its_time_is_dropped():
    clock, line, box = Clock(), FakeLine(), []
    questions = PendingRequests(clock, 3)
    Deferred.fromCoroutine(questions.request(line, lambda number: number, 1.0)).addErrback(box.append)
    clock.advance(1.1)
    assert box[0].check(NoResponseError)
    questions.on_response(line, m.CommandsAnswer(1, m.DeliveryOutcome.ANSWERED))


def test_versions_of_renewals_go_by_session_first():
    assert HeartbeatVersion(2, 1) > HeartbeatVersion(1, 99)


def test_a_silent_worker_of_a_relay_is_given_the_time_to_come_by_another_way():
    """Though the relay's others were heard: at its end they fall silent one after the other."""
    leader = LeaderWithRelays()
    first, *others = (leader.add_machine(f"i-{number:06d}") for number in range(4))
    for machine in (first, *others):
        leader.pool.assignment.assign(machine.id, NodeName("n1"))
    heard = first.contact.last_contact_at
    leader.clock.advance(7.0)
    for machine in others:
        machine.contact.last_contact_at = leader.clock.seconds()
    leader.pool.renew_grants()
    assert first.contact.grace_until == pytest.approx(heard + 1.25 * 4.0 + 4.0 + 1.0 + 1.0 - 8.0)
    assert all(machine.contact.grace_until == 0.0 for machine in others)
