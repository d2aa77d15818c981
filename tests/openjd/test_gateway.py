"""Gateways over stand-ins: tickets driven to their end through kills, lost answers and full nodes."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from meadowcross.common.http import ClientResponse, ConnectionFailedError, NoResponseError
from meadowcross.common.settings import SettingsError
from meadowcross.jobs.messages import Priority, decode_spec
from meadowcross.openjd import records as r
from meadowcross.openjd.controllers import Busy, Controllers
from meadowcross.openjd.driver import ready, settled
from meadowcross.openjd.gateway import Gateway, GatewaySettings, load_gateway
from meadowcross.openjd.members import owner_of
from meadowcross.openjd.site import Site
from simulation.standins import FakeNet, StateService
from tests.openjd.test_job_templates import HEAD, RUN, SITE
from tests.support.paths import ROOT
from tests.support.world import World

CHAIN = (ROOT / "examples/tickets/06-chain.yaml").read_text()
ONE = (ROOT / "examples/tickets/01-one-step.yaml").read_text()
DIAMOND = (ROOT / "examples/tickets/07-diamond.yaml").read_text()


class Nodes:
    """Controllers that share their jobs; each may be in trouble of its own."""

    def __init__(self, net: FakeNet, count: int = 3) -> None:
        self.jobs: dict[str, dict[str, Any]] = {}
        self.submitted: list[str] = []
        self.trouble: dict[str, int] = {}
        self.asked: dict[str, int] = {}
        for number in range(count):
            net.hosts[f"n{number}:1"] = lambda *what, name=f"n{number}:1": self.handle(name, *what)

    def handle(self, name: str, method: str, path: str, query: Any, body: bytes) -> tuple[int, Any]:
        self.asked[name] = self.asked.get(name, 0) + 1
        if name in self.trouble:
            return self.trouble[name], {}
        if path == "/v1/jobs":
            spec = decode_spec(body)
            known = self.jobs.get(spec.id)
            if known is None:
                self.jobs[spec.id] = {"standing": "pending", "tasks": spec.tasks, "spec": spec}
                self.submitted.append(spec.id)
            return 200 if known else 201, {"id": spec.id, "standing": self.jobs[spec.id]["standing"]}
        job = path.split("/")[3]
        if job not in self.jobs:
            return 404, {}
        if path.endswith("/withdraw") and self.jobs[job]["standing"] != "done":
            self.jobs[job]["standing"] = "cancelled"
        return 200, {"id": job, "standing": self.jobs[job]["standing"]}

    def finish(self) -> int:
        """All that is open is done now."""
        going = [job for job in self.jobs.values() if job["standing"] == "pending"]
        for job in going:
            job["standing"] = "done"
        return len(going)


class Net:
    """One gateway's way to the others; cut, nothing of it comes back."""

    def __init__(self, net: FakeNet) -> None:
        self.net = net
        self.dead = False

    async def call(self, *what: Any, **how: Any) -> Any:
        if self.dead:
            await Deferred()
        reply = await self.net.call(*what, **how)
        if self.dead:
            await Deferred()
        return reply


class Farm:
    def __init__(self, gateways: int = 1) -> None:
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.net = FakeNet(self.clock)
        self.state = self.net.state = StateService(self.clock.seconds)
        self.net.hosts["s:1"] = self.state.handle
        self.nodes = Nodes(self.net)
        self.gateways: dict[str, Gateway] = {}
        self.nets: dict[str, Net] = {}
        for number in range(gateways):
            self.start(f"g{number}")
        self.pass_time(4.0)

    def start(self, name: str) -> Gateway:
        settings = GatewaySettings(
            name,
            "127.0.0.1:1",
            "s:1",
            ["n0:1", "n1:1", "n2:1"],
            "x",
            store_requests_per_s=500.0,
            store_writes_per_s=500.0,
            tickets_per_s=20.0,
        )
        net = self.nets[name] = Net(self.net)
        gateway = self.gateways[name] = Gateway(self.clock, net, settings, SITE, Random(name))
        gateway.start()
        return gateway

    def kill(self, name: str) -> None:
        self.nets[name].dead = True
        self.gateways.pop(name).driver.stop()

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def ask(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any, int | None]:
        handler, groups = self.gateways[name].router.resolve(method, path)
        box: list[Any] = []
        made = handler(json.dumps(body).encode() if body is not None else b"", *groups)
        Deferred.fromCoroutine(made).addBoth(box.append)
        for _ in range(200):
            if box:
                break
            self.clock.advance(0.05)
        answer = box[0]
        return answer.status, msgspec.json.decode(answer.body), answer.retry_after

    def submit(self, document: str = CHAIN, key: str = "k", name: str = "g0") -> tuple[int, Any]:
        return self.ask(name, "POST", "/v1/submitters/agency/tickets", {"key": key, "document": document})[:2]

    def states(self, ticket: str, name: str = "g0") -> tuple[str, list[str]]:
        _, said, _ = self.ask(name, "GET", f"/v1/submitters/agency/tickets/{ticket}")
        return said["state"], [step["state"] for step in said["steps"]]

    def finish_all(self, ticket: str, name: str = "g0", limit: float = 300.0) -> tuple[str, list[str]]:
        waited = 0.0
        while waited < limit:
            self.nodes.finish()
            self.pass_time(2.0)
            waited += 2.0
            if self.states(ticket, name)[0] != "open":
                break
        return self.states(ticket, name)


def test_a_chain_is_driven_step_by_step_and_its_pieces_go_with_it():
    farm = Farm()
    status, said = farm.submit()
    assert status == 201
    farm.pass_time(2.0)
    assert farm.states(said["id"]) == ("open", ["accepted", "waiting", "waiting"]) and len(farm.nodes.jobs) == 1
    spec = next(iter(farm.nodes.jobs.values()))["spec"]
    assert (spec.team, spec.job_class, spec.priority.value, spec.tasks) == ("b", "thumbnail", "normal", 1)
    assert farm.finish_all(said["id"]) == ("done", ["done"] * 3)
    assert [job["tasks"] for job in farm.nodes.jobs.values()] == [1, 8, 1]
    assert not [key for key in farm.state.keys if key.startswith((r.OPEN, r.PIECES))]
    # The same key again, also long after: the same ticket, in its state.
    assert farm.submit()[1]["state"] == "done" and len(farm.nodes.submitted) == 3


def test_a_retrying_client_gets_one_ticket_and_another_ticket_under_its_key_is_refused():
    farm = Farm(2)
    first, second = farm.submit(), farm.submit(name="g1")
    assert (first[0], second[0]) == (201, 200) and first[1]["id"] == second[1]["id"]
    farm.pass_time(3.0)
    assert len(farm.nodes.submitted) == 1
    status, said = farm.submit(DIAMOND)
    assert status == 422 and said["field"] == "key"


@pytest.mark.parametrize("fault", ["lose", "late", "refuse"])
@pytest.mark.parametrize("target", ["s:1/multi", "n0:1/v1/jobs", "n1:1/v1/jobs", "n2:1/v1/jobs"])
def test_a_lost_answer_submits_nothing_twice(fault, target):
    farm = Farm()
    ticket = farm.submit()[1]["id"]
    farm.net.faults = [(target, fault)] * 3
    farm.pass_time(6.0)
    farm.net.deliver_late()
    assert farm.finish_all(ticket) == ("done", ["done"] * 3)
    farm.net.deliver_late()
    farm.pass_time(5.0)
    assert len(farm.nodes.submitted) == len(set(farm.nodes.submitted)) == 3


@pytest.mark.parametrize("after", range(1, 12))
def test_a_gateway_killed_after_any_stored_step_is_taken_over(after):
    farm = Farm(3)
    ticket = farm.submit(DIAMOND)[1]["id"]
    owner = owner_of(r.partition_of(ticket), ["g0", "g1", "g2"])
    began = farm.state.revision
    while farm.state.revision - began < after and farm.states(ticket, owner)[0] == "open":
        farm.nodes.finish()
        farm.pass_time(0.3)
    farm.kill(owner)
    other = next(iter(farm.gateways))
    assert farm.finish_all(ticket, other) == ("done", ["done"] * 4)
    assert len(farm.nodes.submitted) == len(set(farm.nodes.submitted)) == 4


def test_all_gateways_killed_at_once_go_on_where_they_were():
    farm = Farm(2)
    tickets = [farm.submit(CHAIN, f"k{i}")[1]["id"] for i in range(6)]
    farm.pass_time(1.0)
    for name in ("g0", "g1"):
        farm.kill(name)
    farm.start("g0")
    farm.pass_time(12.0)
    assert [farm.finish_all(ticket)[0] for ticket in tickets] == ["done"] * 6
    assert len(farm.nodes.submitted) == len(set(farm.nodes.submitted)) == 18


def test_one_that_hung_and_goes_on_writes_nothing_over_its_successor():
    farm = Farm(2)
    ticket = farm.submit()[1]["id"]
    farm.pass_time(2.0)
    owner = owner_of(r.partition_of(ticket), ["g0", "g1"])
    other = "g1" if owner == "g0" else "g0"
    hung = farm.gateways[owner]
    stale = hung.driver.open[ticket]
    # Its hold ends while it hangs; then it goes on with what it believed.
    hung.driver.stop()
    hung.members._stopped = True
    farm.pass_time(12.0)
    assert ticket in farm.gateways[other].driver.open
    before = farm.state.value(r.open_key(ticket))
    wrote: list[Any] = []
    Deferred.fromCoroutine(hung.driver._note(stale, 0, r.StepState.REFUSED, "", stale.record.steps[0].job)).addBoth(
        wrote.append
    )
    farm.pass_time(2.0)
    assert wrote == [False] and farm.state.value(r.open_key(ticket)) == before


def test_partitions_move_only_by_their_share_when_a_gateway_comes():
    three = {p: owner_of(r.Partition(p), ["a", "b", "c"]) for p in range(r.PARTITIONS)}
    four = {p: owner_of(r.Partition(p), ["a", "b", "c", "d"]) for p in range(r.PARTITIONS)}
    moved = [p for p in three if three[p] != four[p]]
    assert all(four[p] == "d" for p in moved) and 5 <= len(moved) <= 28
    farm = Farm(1)
    assert len(farm.gateways["g0"].members.claims) == r.PARTITIONS
    farm.start("g1")
    farm.pass_time(5.0)
    held = [set(farm.gateways[name].members.claims) for name in ("g0", "g1")]
    assert not held[0] & held[1] and len(held[0] | held[1]) == r.PARTITIONS and min(map(len, held)) > 15


@pytest.mark.parametrize("when", ["before the first step", "while a step runs", "answer of the submission lost"])
def test_a_cancel_leaves_no_job_behind(when):
    farm = Farm(2)
    if when == "answer of the submission lost":
        farm.net.faults = [(f"n{i}:1/v1/jobs", "late") for i in range(3)]
    ticket = farm.submit()[1]["id"]
    if when != "before the first step":
        farm.pass_time(2.0)
    assert farm.ask("g1", "POST", f"/v1/submitters/agency/tickets/{ticket}/cancel", {})[0] == 200
    assert farm.states(ticket)[0] == "cancelled", "told at once, whoever drives it"
    farm.pass_time(30.0)
    farm.net.deliver_late()
    farm.pass_time(20.0)
    assert farm.states(ticket) == ("cancelled", ["cancelled"] * 3)
    assert all(job["standing"] == "cancelled" for job in farm.nodes.jobs.values())
    assert farm.ask("g0", "POST", f"/v1/submitters/agency/tickets/{ticket}/cancel", {})[1]["state"] == "cancelled"


def test_an_id_that_somebody_else_used_is_noticed_and_replaced():
    farm = Farm()
    driver = farm.gateways["g0"].driver
    ids = iter(["wk-100000000000000001", "wk-100000000000000002"])
    original = driver._new_id
    driver._new_id = lambda: next(ids, None) or original()
    farm.nodes.jobs["wk-100000000000000001"] = {"standing": "done", "tasks": 1, "spec": None}
    ticket = farm.submit(ONE)[1]["id"]
    farm.pass_time(3.0)
    assert farm.states(ticket) == ("open", ["accepted"]) and farm.nodes.submitted == ["wk-100000000000000002"]


def test_a_step_that_is_refused_or_withdrawn_settles_what_follows():
    farm = Farm()
    ticket = farm.submit(DIAMOND)[1]["id"]
    farm.pass_time(2.0)
    farm.nodes.finish()
    farm.pass_time(6.0)
    left = farm.nodes.submitted[1]
    farm.nodes.jobs[left]["standing"] = "cancelled"
    assert farm.finish_all(ticket) == ("failed", ["done", "cancelled", "done", "skipped"])
    farm.nodes.trouble = {f"n{i}:1": 422 for i in range(3)}
    other = farm.submit(CHAIN, "other")[1]["id"]
    farm.pass_time(4.0)
    assert farm.states(other) == ("failed", ["refused", "skipped", "skipped"])


def record(*steps, cancelled=None):
    made = [r.StepRecord(f"s{i}", 1, list(after), r.StepState(state)) for i, (state, after) in enumerate(steps)]
    return r.TicketRecord(1, "x", "agency", "d", 1, 0.0, made, cancelled)


SETTLED = [
    # name, steps, cancelled, states after, ready
    ("a chain", [("waiting", []), ("waiting", [0])], None, "waiting waiting", [0]),
    (
        "half of a diamond",
        [("done", []), ("done", [0]), ("accepted", [0]), ("waiting", [1, 2])],
        None,
        "done done accepted waiting",
        [],
    ),
    (
        "the other half",
        [("done", []), ("done", [0]), ("done", [0]), ("waiting", [1, 2])],
        None,
        "done done done waiting",
        [3],
    ),
    (
        "refused, and far behind it",
        [("refused", []), ("waiting", [0]), ("waiting", [1]), ("waiting", [])],
        None,
        "refused skipped skipped waiting",
        [3],
    ),
    ("cancelled", [("accepted", []), ("allocated", []), ("waiting", [0])], 1.0, "accepted allocated cancelled", []),
]


@pytest.mark.parametrize(("steps", "cancelled", "states", "due"), [s[1:] for s in SETTLED], ids=[s[0] for s in SETTLED])
def test_what_follows_from_a_tickets_steps(steps, cancelled, states, due):
    made = settled(record(*steps, cancelled=cancelled))
    assert " ".join(step.state.value for step in made.steps) == states and ready(made) == due


def test_a_flood_of_one_submitter_is_refused_at_once_and_another_gets_through():
    farm = Farm()
    intake = farm.gateways["g0"].intake
    intake._site = msgspec.structs.replace(
        SITE, submitters=[*SITE.submitters, msgspec.structs.replace(SITE.submitters[0], name="other")]
    )
    answers: list[Any] = []
    handler, groups = farm.gateways["g0"].router.resolve("POST", "/v1/submitters/agency/tickets")
    for number in range(1000):
        body = json.dumps({"key": f"k{number}", "document": ONE}).encode()
        Deferred.fromCoroutine(handler(body, *groups)).addCallback(answers.append)
    refused = [a for a in answers if a.status in (429, 503)]
    assert len(refused) >= 700 and all(a.retry_after for a in refused)
    body = {"key": "x", "document": ONE}
    assert farm.ask("g0", "POST", "/v1/submitters/other/tickets", body)[0] in (201, 503)
    farm.pass_time(3.0)
    assert farm.ask("g0", "POST", "/v1/submitters/other/tickets", body)[0] in (200, 201)


def test_questions_cost_a_bounded_number_of_requests():
    farm = Farm()
    ticket = farm.submit(ONE)[1]["id"]
    farm.pass_time(5.0)
    handler, groups = farm.gateways["g0"].router.resolve("GET", f"/v1/submitters/agency/tickets/{ticket}")
    before, answers = len(farm.net.calls), []
    for _ in range(500):
        Deferred.fromCoroutine(handler(b"", *groups)).addCallback(answers.append)
    farm.pass_time(0.1)
    asked = [c for c in farm.net.calls[before:] if c[1].endswith(ticket)]
    assert len(answers) == 500 and {a.status for a in answers} == {200} and len(asked) == 1
    for number in range(500):
        handler, groups = farm.gateways["g0"].router.resolve("GET", f"/v1/submitters/agency/tickets/tk-{number:024x}")
        Deferred.fromCoroutine(handler(b"", *groups)).addCallback(answers.append)
    farm.pass_time(0.2)
    assert sum(a.status == 503 and a.retry_after == 1 for a in answers) >= 470


def test_during_an_outage_answers_come_at_once_and_tickets_go_on_after_it():
    farm = Farm()
    ticket = farm.submit()[1]["id"]
    farm.pass_time(1.0)
    farm.state.outage = True
    status, _, after = farm.ask("g0", "POST", "/v1/submitters/agency/tickets", {"key": "n", "document": ONE})
    assert (status, after) == (503, 1)
    farm.nodes.finish()
    farm.pass_time(60.0)
    farm.state.outage = False
    assert farm.finish_all(ticket) == ("done", ["done"] * 3) and len(farm.nodes.submitted) == 3


def test_what_cannot_be_read_is_set_aside_alone(caplog):
    farm = Farm()
    bad = r.ticket_id("agency", "bad")
    for value in ({"v": 1}, {**msgspec.to_builtins(record(("waiting", []))), "v": 9}):
        farm.state.transact({"if": [], "writes": [{"write": r.open_key(bad), "data": value}]})
        farm.pass_time(1.0)
    assert farm.finish_all(farm.submit()[1]["id"])[0] == "done"
    assert len([line for line in caplog.records if "set aside" in line.message]) == 2


ASKED = [
    ("POST", "/v1/submitters/nobody/tickets", {"key": "k", "document": ONE}, 403),
    ("POST", "/v1/submitters/agency/tickets", {"key": "k"}, 400),
    ("POST", "/v1/submitters/agency/tickets", {"key": "k", "document": HEAD + "steps: []\n"}, 422),
    ("POST", "/v1/submitters/agency/check", {"key": "k", "document": ONE}, 200),
    ("POST", "/v1/submitters/agency/check", {"key": "k", "document": "a: *b"}, 422),
    ("GET", "/v1/submitters/agency/tickets/tk-000000000000000000000000", None, 404),
    ("GET", "/v1/submitters/agency/tickets/a b", None, 404),
    ("POST", "/v1/submitters/agency/tickets/tk-000000000000000000000000/cancel", {}, 404),
    ("GET", "/v1/submitters/agency/tickets", None, 200),
    ("GET", "/v1/submitters/nobody/tickets", None, 403),
]


@pytest.mark.parametrize(("method", "path", "body", "status"), ASKED, ids=[f"{a[0]} {a[1]}" for a in ASKED])
def test_what_a_gateway_answers(method, path, body, status):
    farm = Farm()
    farm.submit(ONE, "there")
    answer = farm.ask("g0", method, path, body)
    assert answer[0] == status and (status != 422 or answer[1]["field"])
    if path == "/v1/submitters/agency/tickets" and method == "GET":
        assert [t["name"] for t in answer[1]["tickets"]] == ["first"]


def test_a_ticket_of_many_pieces_comes_together_again():
    steps = "".join(f"- name: step-{i:02d}-{'x' * 40}\n{RUN}" for i in range(60))
    document = HEAD + "steps:\n" + steps
    farm = Farm()
    status, said = farm.submit(document)
    assert status == 201
    farm.pass_time(8.0)
    assert farm.states(said["id"])[1] == ["accepted"] * 60 and len(farm.nodes.submitted) == 60
    assert all(len(json.dumps(v["data"])) <= 16 * 1024 for k, v in farm.state.keys.items() if k.startswith(r.PREFIX))


class Answers:
    """A network of controllers that answer as told: a status, or an error to raise."""

    def __init__(self, clock, told):
        self.clock = clock
        self.told = told
        self.asked: list[str] = []

    async def call(self, method, address, path, body, timeout):
        self.asked.append(address)
        told = self.told[address]
        if isinstance(told, int):
            return ClientResponse(told, b"{}")
        if told is NoResponseError:
            wait: Deferred[None] = Deferred()
            self.clock.callLater(timeout, wait.callback, None)
            await wait
        raise told("x")


def asked(clock, controllers, count=1, within=6.0, every=0.1):
    got: list[Any] = []
    for _ in range(count):
        Deferred.fromCoroutine(controllers.call("GET", "/x", None, within)).addBoth(got.append)
        for _ in range(4):
            clock.advance(every / 4)
    for _ in range(200):
        clock.advance(0.05)
    return got


@pytest.mark.parametrize("trouble", [503, 429, ConnectionFailedError, NoResponseError, 500])
def test_one_node_in_trouble_costs_a_tenth_more_requests_at_most(trouble):
    clock = Clock()
    net = Answers(clock, {"a": 200, "b": trouble, "c": 200})
    controllers = Controllers(clock, net, ["a", "b", "c"])
    got = asked(clock, controllers, 400)
    answered = [one for one in got if not hasattr(one, "value")]
    assert len(answered) >= 385 and controllers.retried <= 0.1 * 400
    assert net.asked.count("b") <= 24
    net.told["b"] = 200
    clock.advance(60.0)
    before = net.asked.count("b")
    asked(clock, controllers, 60)
    assert net.asked.count("b") - before >= 15, "it is asked again once it answers"


def test_with_no_node_left_the_caller_is_told_when_to_come_back():
    clock = Clock()
    controllers = Controllers(
        clock, Answers(clock, {"a": ConnectionFailedError, "b": ConnectionFailedError}), ["a", "b"]
    )
    got = asked(clock, controllers, 5)
    assert all(isinstance(one.value, Busy) and one.value.after > 0 for one in got)
    assert controllers.requests <= 10
    assert not got[0].value.maybe_done
    hung = Controllers(clock, Answers(clock, {"a": NoResponseError}), ["a"])
    assert asked(clock, hung)[0].value.maybe_done


GATEWAY = (ROOT / "deploy/gateway.xml").read_text()
WRONG = [
    ("<name>gateway-1</name>", "", "name"),
    ("<name>gateway-1</name>", "<name>a b</name>", "name"),
    ("127.0.0.1:8200", "0.0.0.0:8200", "loopback"),
    ("<site>", "<tls-key>x</tls-key><site>", "together"),
    ("<tickets-per-s>2", "<tickets-per-s>-2", "tickets_per_s"),
    ("<site>", "<sight>x</sight><site>", "sight"),
]


@pytest.mark.parametrize(("old", "new", "word"), WRONG, ids=[w[2] for w in WRONG])
def test_a_wrong_gateway_file_is_refused_by_its_element(old, new, word, tmp_path):
    assert load_gateway(str(ROOT / "deploy/gateway.xml")).name == "gateway-1"
    file = tmp_path / "gateway.xml"
    file.write_text(GATEWAY.replace(old, new))
    with pytest.raises(SettingsError, match=word):
        load_gateway(str(file))


class Direct:
    """A gateway's way to one controller and its state service, in the world of the term's tests."""

    def __init__(self, world):
        self.world = world
        self.api = world.api()

    async def call(self, method, address, path, body=None, timeout=2.0):
        if address != "n0:1":
            return await self.world.net.call(method, address, path, body, timeout)
        parts = path.split("/")
        operation = "submit" if path == "/v1/jobs" else "cancel" if path.endswith("/withdraw") else "query"
        answer = await self.api.serve(operation, parts[3] if len(parts) > 3 else "", body or b"")
        return ClientResponse(answer.status, answer.body)


def order_of_starts(seed, by_ticket):
    """Twelve jobs of mixed priorities, all waiting before the only machine comes, which takes one task at
    a time; some brought as tickets, under the ids that they have natively."""
    chance = Random(seed)
    ranks = [chance.choice(["critical", "urgent", "normal", "idle"]) for _ in range(12)]
    names = [f"wk-{chance.randrange(10**17, 10**18)}" for _ in ranks]
    tasks = [chance.choice([1, 1, 3]) for _ in ranks]
    world = World()
    world.cloud.full = True
    world.cloud.at_once = 1
    up = world.cloud.on_rent
    world.cloud.on_rent = lambda machine: (up(machine), setattr(world.cloud, "full", True))
    world.lead()
    site = Site(
        [
            msgspec.structs.replace(
                SITE.submitters[0], name=rank, priority=Priority(rank), cpus=4.0, estimate_s=30.0, types=["small"]
            )
            for rank in set(ranks)
        ]
    )
    settings = GatewaySettings("g", "127.0.0.1:1", "state:1", ["n0:1"], "x", 500.0, 500.0, tickets_per_s=50.0)
    gateway = Gateway(world.clock, Direct(world), settings, site, Random(seed))
    gateway.start()
    world.pass_time(3.0)
    for i, (rank, name, count) in enumerate(zip(ranks, names, tasks, strict=True)):
        if i in by_ticket:
            document = (
                HEAD
                + "steps:\n- name: a\n  parameterSpace:\n    taskParameterDefinitions:\n"
                + (
                    f'    - {{name: F, type: INT, range: "1-{count}"}}\n  hostRequirements: {{attributes: '
                    "[{name: attr.meadowcross.type, anyOf: [small]}]}\n" + RUN
                )
            )
            gateway.driver._new_id = lambda name=name: name
            body = json.dumps({"key": name, "document": document}).encode()
            assert world.run(gateway.intake.submit(body, rank)).status == 201
            world.pass_time(1.0)
        else:
            world.submit(
                id=name,
                rank=rank,
                heads=count,
                cpus=4.0,
                herd="thumbnail",
                feedstock="thumbnails",
                builds=["small"],
                sundownS=None,
            )
    world.pass_time(2.0)
    assert set(world.term.job_table.jobs) == set(names)
    world.cloud.full = False
    for _ in range(300):
        world.pass_time(0.5)
        for worker in world.workers.values():
            for key in list(worker.tasks):
                worker.end(key)
        if not world.term.job_table.jobs:
            break
    assert len(world.workers) == 1
    started = [task for worker in world.workers.values() for task, _ in worker.started]
    rank_of = dict(zip(names, ranks, strict=True))
    return started, [rank_of[task.partition("/")[0]] for task in started], sum(tasks)


@pytest.mark.parametrize("seed", range(4))
def test_tickets_start_in_the_very_order_of_the_same_jobs_submitted_natively(seed):
    native_order, ranks, count = order_of_starts(seed, set())
    mixed_order, _, _ = order_of_starts(seed, set(Random(seed + 100).sample(range(12), 6)))
    assert len(native_order) == count and mixed_order == native_order
    places = [["critical", "urgent", "normal", "idle"].index(rank) for rank in ranks]
    assert places == sorted(places), "lower priority went ahead"
