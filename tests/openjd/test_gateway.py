"""Gateways over a simulated state service and controllers: tickets survive kills, lost responses and failing nodes."""

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
from meadowcross.openjd import records
from meadowcross.openjd.controller_client import ControllerClient, ControllersUnavailableError
from meadowcross.openjd.driver import apply_consequences, find_ready_steps
from meadowcross.openjd.gateway import Gateway, GatewaySettings, load_gateway_settings
from meadowcross.openjd.membership import find_owner
from meadowcross.openjd.site import Site
from simulation.standins import FakeNet, StateService
from tests.openjd.test_job_templates import HEADER, SCRIPT, SITE
from tests.support.paths import ROOT
from tests.support.world import World

CHAIN = (ROOT / "examples/tickets/06-chain.yaml").read_text()
ONE_STEP = (ROOT / "examples/tickets/01-one-step.yaml").read_text()
DIAMOND = (ROOT / "examples/tickets/07-diamond.yaml").read_text()


class FakeControllers:
    """Controllers that share their jobs; a node in `failing_status` responds to every request with that status."""

    def __init__(self, net: FakeNet, count: int = 3) -> None:
        self.jobs: dict[str, dict[str, Any]] = {}
        self.submitted: list[str] = []
        self.failing_status: dict[str, int] = {}
        self.request_counts: dict[str, int] = {}
        for number in range(count):
            net.hosts[f"n{number}:1"] = lambda *args, name=f"n{number}:1": self.handle(name, *args)

    def handle(self, name: str, method: str, path: str, query: Any, body: bytes) -> tuple[int, Any]:
        self.request_counts[name] = self.request_counts.get(name, 0) + 1
        if name in self.failing_status:
            return self.failing_status[name], {}
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

    def finish_jobs(self) -> int:
        """Mark all pending jobs as done, and return their number."""
        open_jobs = [job for job in self.jobs.values() if job["standing"] == "pending"]
        for job in open_jobs:
            job["standing"] = "done"
        return len(open_jobs)


class GatewayNetwork:
    """The network of one gateway; once it is cut, no request of the gateway returns."""

    def __init__(self, net: FakeNet) -> None:
        self.net = net
        self.is_cut = False

    async def call(self, *args: Any, **kwargs: Any) -> Any:
        if self.is_cut:
            await Deferred()
        response = await self.net.call(*args, **kwargs)
        if self.is_cut:
            await Deferred()
        return response


class GatewayCluster:
    """Gateways with a simulated clock, state service and controllers."""

    def __init__(self, gateways: int = 1) -> None:
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.net = FakeNet(self.clock)
        self.state = self.net.state = StateService(self.clock.seconds)
        self.net.hosts["s:1"] = self.state.handle
        self.controllers = FakeControllers(self.net)
        self.gateways: dict[str, Gateway] = {}
        self.networks: dict[str, GatewayNetwork] = {}
        for number in range(gateways):
            self.start_gateway(f"g{number}")
        self.pass_time(4.0)

    def start_gateway(self, name: str) -> Gateway:
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
        net = self.networks[name] = GatewayNetwork(self.net)
        gateway = self.gateways[name] = Gateway(self.clock, net, settings, SITE, Random(name))
        gateway.start()
        return gateway

    def kill_gateway(self, name: str) -> None:
        self.networks[name].is_cut = True
        self.gateways.pop(name).driver.stop()

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def send(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any, int | None]:
        handler, groups = self.gateways[name].router.resolve(method, path)
        results: list[Any] = []
        operation = handler(json.dumps(body).encode() if body is not None else b"", *groups)
        Deferred.fromCoroutine(operation).addBoth(results.append)
        for _ in range(200):
            if results:
                break
            self.clock.advance(0.05)
        response = results[0]
        return response.status, msgspec.json.decode(response.body), response.retry_after

    def submit(self, document: str = CHAIN, key: str = "k", name: str = "g0") -> tuple[int, Any]:
        return self.send(name, "POST", "/v1/submitters/agency/tickets", {"key": key, "document": document})[:2]

    def ticket_states(self, ticket: str, name: str = "g0") -> tuple[str, list[str]]:
        _, ticket_view, _ = self.send(name, "GET", f"/v1/submitters/agency/tickets/{ticket}")
        return ticket_view["state"], [step["state"] for step in ticket_view["steps"]]

    def finish_ticket(self, ticket: str, name: str = "g0", timeout_s: float = 300.0) -> tuple[str, list[str]]:
        waited_s = 0.0
        while waited_s < timeout_s:
            self.controllers.finish_jobs()
            self.pass_time(2.0)
            waited_s += 2.0
            if self.ticket_states(ticket, name)[0] != "open":
                break
        return self.ticket_states(ticket, name)


def test_chain_runs_step_by_step_and_its_pieces_are_deleted_at_the_end():
    cluster = GatewayCluster()
    status, ticket_view = cluster.submit()
    assert status == 201
    cluster.pass_time(2.0)
    assert (
        cluster.ticket_states(ticket_view["id"]) == ("open", ["accepted", "waiting", "waiting"])
        and len(cluster.controllers.jobs) == 1
    )
    spec = next(iter(cluster.controllers.jobs.values()))["spec"]
    assert (spec.team, spec.job_class, spec.priority.value, spec.tasks) == ("b", "thumbnail", "normal", 1)
    assert cluster.finish_ticket(ticket_view["id"]) == ("done", ["done"] * 3)
    assert [job["tasks"] for job in cluster.controllers.jobs.values()] == [1, 8, 1]
    assert not [key for key in cluster.state.keys if key.startswith((records.OPEN_PREFIX, records.PIECE_PREFIX))]
    # A submission with the same key after the end returns the ended ticket.
    assert cluster.submit()[1]["state"] == "done" and len(cluster.controllers.submitted) == 3


def test_resubmission_returns_the_same_ticket_and_another_document_under_its_key_is_rejected():
    cluster = GatewayCluster(2)
    first, second = cluster.submit(), cluster.submit(name="g1")
    assert (first[0], second[0]) == (201, 200) and first[1]["id"] == second[1]["id"]
    cluster.pass_time(3.0)
    assert len(cluster.controllers.submitted) == 1
    status, ticket_view = cluster.submit(DIAMOND)
    assert status == 422 and ticket_view["field"] == "key"


@pytest.mark.parametrize("fault", ["lose", "late", "refuse"])
@pytest.mark.parametrize("target", ["s:1/multi", "n0:1/v1/jobs", "n1:1/v1/jobs", "n2:1/v1/jobs"])
def test_lost_response_causes_no_duplicate_job(fault, target):
    cluster = GatewayCluster()
    ticket = cluster.submit()[1]["id"]
    cluster.net.faults = [(target, fault)] * 3
    cluster.pass_time(6.0)
    cluster.net.deliver_late()
    assert cluster.finish_ticket(ticket) == ("done", ["done"] * 3)
    cluster.net.deliver_late()
    cluster.pass_time(5.0)
    assert len(cluster.controllers.submitted) == len(set(cluster.controllers.submitted)) == 3


@pytest.mark.parametrize("after", range(1, 12))
def test_ticket_of_a_killed_gateway_is_finished_by_another_gateway(after):
    cluster = GatewayCluster(3)
    ticket = cluster.submit(DIAMOND)[1]["id"]
    owner = find_owner(records.partition_of(ticket), ["g0", "g1", "g2"])
    start_revision = cluster.state.revision
    while cluster.state.revision - start_revision < after and cluster.ticket_states(ticket, owner)[0] == "open":
        cluster.controllers.finish_jobs()
        cluster.pass_time(0.3)
    cluster.kill_gateway(owner)
    other = next(iter(cluster.gateways))
    assert cluster.finish_ticket(ticket, other) == ("done", ["done"] * 4)
    assert len(cluster.controllers.submitted) == len(set(cluster.controllers.submitted)) == 4


def test_restarted_gateway_resumes_tickets_after_all_gateways_were_killed():
    cluster = GatewayCluster(2)
    tickets = [cluster.submit(CHAIN, f"k{i}")[1]["id"] for i in range(6)]
    cluster.pass_time(1.0)
    for name in ("g0", "g1"):
        cluster.kill_gateway(name)
    cluster.start_gateway("g0")
    cluster.pass_time(12.0)
    assert [cluster.finish_ticket(ticket)[0] for ticket in tickets] == ["done"] * 6
    assert len(cluster.controllers.submitted) == len(set(cluster.controllers.submitted)) == 18


def test_gateway_that_resumes_after_a_hang_cannot_overwrite_the_new_owners_record():
    cluster = GatewayCluster(2)
    ticket = cluster.submit()[1]["id"]
    cluster.pass_time(2.0)
    owner = find_owner(records.partition_of(ticket), ["g0", "g1"])
    other = "g1" if owner == "g0" else "g0"
    hung = cluster.gateways[owner]
    stale = hung.driver.open_tickets[ticket]
    # The gateway's lease expires while it hangs; then it resumes with its old claims and records.
    hung.driver.stop()
    hung.membership._stopped = True
    cluster.pass_time(12.0)
    assert ticket in cluster.gateways[other].driver.open_tickets
    before = cluster.state.value(records.open_key(ticket))
    write_results: list[Any] = []
    Deferred.fromCoroutine(
        hung.driver._store_step(stale, 0, records.StepState.REFUSED, "", stale.record.steps[0].job)
    ).addBoth(write_results.append)
    cluster.pass_time(2.0)
    assert write_results == [False] and cluster.state.value(records.open_key(ticket)) == before


def test_joining_gateway_takes_over_only_its_share_of_partitions():
    owners_of_three = {p: find_owner(records.Partition(p), ["a", "b", "c"]) for p in range(records.PARTITION_COUNT)}
    owners_of_four = {p: find_owner(records.Partition(p), ["a", "b", "c", "d"]) for p in range(records.PARTITION_COUNT)}
    moved = [p for p in owners_of_three if owners_of_three[p] != owners_of_four[p]]
    assert all(owners_of_four[p] == "d" for p in moved) and 5 <= len(moved) <= 28
    cluster = GatewayCluster(1)
    assert len(cluster.gateways["g0"].membership.claims) == records.PARTITION_COUNT
    cluster.start_gateway("g1")
    cluster.pass_time(5.0)
    owned_partitions = [set(cluster.gateways[name].membership.claims) for name in ("g0", "g1")]
    assert (
        not owned_partitions[0] & owned_partitions[1]
        and len(owned_partitions[0] | owned_partitions[1]) == records.PARTITION_COUNT
        and min(map(len, owned_partitions)) > 15
    )


@pytest.mark.parametrize("when", ["before the first step", "while a step runs", "answer of the submission lost"])
def test_cancelled_ticket_leaves_no_open_job(when):
    cluster = GatewayCluster(2)
    if when == "answer of the submission lost":
        cluster.net.faults = [(f"n{i}:1/v1/jobs", "late") for i in range(3)]
    ticket = cluster.submit()[1]["id"]
    if when != "before the first step":
        cluster.pass_time(2.0)
    assert cluster.send("g1", "POST", f"/v1/submitters/agency/tickets/{ticket}/cancel", {})[0] == 200
    assert cluster.ticket_states(ticket)[0] == "cancelled", (
        "the cancellation is reported at once, whichever gateway drives the ticket"
    )
    cluster.pass_time(30.0)
    cluster.net.deliver_late()
    cluster.pass_time(20.0)
    assert cluster.ticket_states(ticket) == ("cancelled", ["cancelled"] * 3)
    assert all(job["standing"] == "cancelled" for job in cluster.controllers.jobs.values())
    assert cluster.send("g0", "POST", f"/v1/submitters/agency/tickets/{ticket}/cancel", {})[1]["state"] == "cancelled"


def test_job_id_taken_by_another_job_is_replaced():
    cluster = GatewayCluster()
    driver = cluster.gateways["g0"].driver
    ids = iter(["wk-100000000000000001", "wk-100000000000000002"])
    original = driver._new_job_id
    driver._new_job_id = lambda: next(ids, None) or original()
    cluster.controllers.jobs["wk-100000000000000001"] = {"standing": "done", "tasks": 1, "spec": None}
    ticket = cluster.submit(ONE_STEP)[1]["id"]
    cluster.pass_time(3.0)
    assert cluster.ticket_states(ticket) == ("open", ["accepted"]) and cluster.controllers.submitted == [
        "wk-100000000000000002"
    ]


def test_dependents_of_a_refused_or_withdrawn_step_are_skipped():
    cluster = GatewayCluster()
    ticket = cluster.submit(DIAMOND)[1]["id"]
    cluster.pass_time(2.0)
    cluster.controllers.finish_jobs()
    cluster.pass_time(6.0)
    left_job = cluster.controllers.submitted[1]
    cluster.controllers.jobs[left_job]["standing"] = "cancelled"
    assert cluster.finish_ticket(ticket) == ("failed", ["done", "cancelled", "done", "skipped"])
    cluster.controllers.failing_status = {f"n{i}:1": 422 for i in range(3)}
    other = cluster.submit(CHAIN, "other")[1]["id"]
    cluster.pass_time(4.0)
    assert cluster.ticket_states(other) == ("failed", ["refused", "skipped", "skipped"])


def record(*steps, cancelled=None):
    step_records = [
        records.StepRecord(f"s{i}", 1, list(after), records.StepState(state)) for i, (state, after) in enumerate(steps)
    ]
    return records.TicketRecord(1, "x", "agency", "d", 1, 0.0, step_records, cancelled)


CONSEQUENCE_CASES = [
    # name, steps, time of cancellation, expected states, indexes of ready steps
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


@pytest.mark.parametrize(
    ("steps", "cancelled", "states", "ready"), [s[1:] for s in CONSEQUENCE_CASES], ids=[s[0] for s in CONSEQUENCE_CASES]
)
def test_consequences_and_ready_steps_of_a_record(steps, cancelled, states, ready):
    result = apply_consequences(record(*steps, cancelled=cancelled))
    assert " ".join(step.state.value for step in result.steps) == states and find_ready_steps(result) == ready


def test_flood_from_one_submitter_is_refused_at_once_and_others_are_served():
    cluster = GatewayCluster()
    api = cluster.gateways["g0"].api
    api._site = msgspec.structs.replace(
        SITE, submitters=[*SITE.submitters, msgspec.structs.replace(SITE.submitters[0], name="other")]
    )
    answers: list[Any] = []
    handler, groups = cluster.gateways["g0"].router.resolve("POST", "/v1/submitters/agency/tickets")
    for number in range(1000):
        body = json.dumps({"key": f"k{number}", "document": ONE_STEP}).encode()
        Deferred.fromCoroutine(handler(body, *groups)).addCallback(answers.append)
    refused = [a for a in answers if a.status in (429, 503)]
    assert len(refused) >= 700 and all(a.retry_after for a in refused)
    body = {"key": "x", "document": ONE_STEP}
    assert cluster.send("g0", "POST", "/v1/submitters/other/tickets", body)[0] in (201, 503)
    cluster.pass_time(3.0)
    assert cluster.send("g0", "POST", "/v1/submitters/other/tickets", body)[0] in (200, 201)


def test_status_reads_cost_a_bounded_number_of_store_requests():
    cluster = GatewayCluster()
    ticket = cluster.submit(ONE_STEP)[1]["id"]
    cluster.pass_time(5.0)
    handler, groups = cluster.gateways["g0"].router.resolve("GET", f"/v1/submitters/agency/tickets/{ticket}")
    before, answers = len(cluster.net.calls), []
    for _ in range(500):
        Deferred.fromCoroutine(handler(b"", *groups)).addCallback(answers.append)
    cluster.pass_time(0.1)
    ticket_reads = [c for c in cluster.net.calls[before:] if c[1].endswith(ticket)]
    assert len(answers) == 500 and {a.status for a in answers} == {200} and len(ticket_reads) == 1
    for number in range(500):
        handler, groups = cluster.gateways["g0"].router.resolve(
            "GET", f"/v1/submitters/agency/tickets/tk-{number:024x}"
        )
        Deferred.fromCoroutine(handler(b"", *groups)).addCallback(answers.append)
    cluster.pass_time(0.2)
    assert sum(a.status == 503 and a.retry_after == 1 for a in answers) >= 470


def test_store_outage_is_reported_at_once_and_tickets_continue_afterwards():
    cluster = GatewayCluster()
    ticket = cluster.submit()[1]["id"]
    cluster.pass_time(1.0)
    cluster.state.outage = True
    status, _, after = cluster.send("g0", "POST", "/v1/submitters/agency/tickets", {"key": "n", "document": ONE_STEP})
    assert (status, after) == (503, 1)
    cluster.controllers.finish_jobs()
    cluster.pass_time(60.0)
    cluster.state.outage = False
    assert cluster.finish_ticket(ticket) == ("done", ["done"] * 3) and len(cluster.controllers.submitted) == 3


def test_unreadable_record_is_set_aside_without_affecting_other_tickets(caplog):
    cluster = GatewayCluster()
    bad = records.ticket_id("agency", "bad")
    for value in ({"v": 1}, {**msgspec.to_builtins(record(("waiting", []))), "v": 9}):
        cluster.state.transact({"if": [], "writes": [{"write": records.open_key(bad), "data": value}]})
        cluster.pass_time(1.0)
    assert cluster.finish_ticket(cluster.submit()[1]["id"])[0] == "done"
    assert len([line for line in caplog.records if "set aside" in line.message]) == 2


REQUESTS = [
    ("POST", "/v1/submitters/nobody/tickets", {"key": "k", "document": ONE_STEP}, 403),
    ("POST", "/v1/submitters/agency/tickets", {"key": "k"}, 400),
    ("POST", "/v1/submitters/agency/tickets", {"key": "k", "document": HEADER + "steps: []\n"}, 422),
    ("POST", "/v1/submitters/agency/check", {"key": "k", "document": ONE_STEP}, 200),
    ("POST", "/v1/submitters/agency/check", {"key": "k", "document": "a: *b"}, 422),
    ("GET", "/v1/submitters/agency/tickets/tk-000000000000000000000000", None, 404),
    ("GET", "/v1/submitters/agency/tickets/a b", None, 404),
    ("POST", "/v1/submitters/agency/tickets/tk-000000000000000000000000/cancel", {}, 404),
    ("GET", "/v1/submitters/agency/tickets", None, 200),
    ("GET", "/v1/submitters/nobody/tickets", None, 403),
]


@pytest.mark.parametrize(("method", "path", "body", "status"), REQUESTS, ids=[f"{a[0]} {a[1]}" for a in REQUESTS])
def test_response_status_of_each_request(method, path, body, status):
    cluster = GatewayCluster()
    cluster.submit(ONE_STEP, "there")
    response = cluster.send("g0", method, path, body)
    assert response[0] == status and (status != 422 or response[1]["field"])
    if path == "/v1/submitters/agency/tickets" and method == "GET":
        assert [t["name"] for t in response[1]["tickets"]] == ["first"]


def test_content_of_many_pieces_is_joined_again():
    steps = "".join(f"- name: step-{i:02d}-{'x' * 40}\n{SCRIPT}" for i in range(60))
    document = HEADER + "steps:\n" + steps
    cluster = GatewayCluster()
    status, ticket_view = cluster.submit(document)
    assert status == 201
    cluster.pass_time(8.0)
    assert cluster.ticket_states(ticket_view["id"])[1] == ["accepted"] * 60 and len(cluster.controllers.submitted) == 60
    assert all(
        len(json.dumps(v["data"])) <= 16 * 1024
        for k, v in cluster.state.keys.items()
        if k.startswith(records.KEY_PREFIX)
    )


class ScriptedNetwork:
    """A network in which each controller has a set outcome: a status, or the type of an error to raise."""

    def __init__(self, clock, outcomes):
        self.clock = clock
        self.outcomes = outcomes
        self.requested_addresses: list[str] = []

    async def call(self, method, address, path, body, timeout):
        self.requested_addresses.append(address)
        outcome = self.outcomes[address]
        if isinstance(outcome, int):
            return ClientResponse(outcome, b"{}")
        if outcome is NoResponseError:
            wait: Deferred[None] = Deferred()
            self.clock.callLater(timeout, wait.callback, None)
            await wait
        raise outcome("x")


def call_repeatedly(clock, controllers, count=1, timeout_s=6.0, interval_s=0.1):
    results: list[Any] = []
    for _ in range(count):
        Deferred.fromCoroutine(controllers.call("GET", "/x", None, timeout_s)).addBoth(results.append)
        for _ in range(4):
            clock.advance(interval_s / 4)
    for _ in range(200):
        clock.advance(0.05)
    return results


@pytest.mark.parametrize("failing_status", [503, 429, ConnectionFailedError, NoResponseError, 500])
def test_one_failing_node_adds_at_most_a_tenth_to_the_requests(failing_status):
    clock = Clock()
    net = ScriptedNetwork(clock, {"a": 200, "b": failing_status, "c": 200})
    controllers = ControllerClient(clock, net, ["a", "b", "c"])
    results = call_repeatedly(clock, controllers, 400)
    answered = [result for result in results if not hasattr(result, "value")]
    assert len(answered) >= 385 and controllers.retried <= 0.1 * 400
    assert net.requested_addresses.count("b") <= 24
    net.outcomes["b"] = 200
    clock.advance(60.0)
    before = net.requested_addresses.count("b")
    call_repeatedly(clock, controllers, 60)
    assert net.requested_addresses.count("b") - before >= 15, "a recovered node gets requests again"


def test_error_without_available_nodes_contains_a_retry_delay():
    clock = Clock()
    controllers = ControllerClient(
        clock, ScriptedNetwork(clock, {"a": ConnectionFailedError, "b": ConnectionFailedError}), ["a", "b"]
    )
    results = call_repeatedly(clock, controllers, 5)
    assert all(
        isinstance(result.value, ControllersUnavailableError) and result.value.retry_after_s > 0 for result in results
    )
    assert controllers.requests <= 10
    assert not results[0].value.may_be_executed
    hung = ControllerClient(clock, ScriptedNetwork(clock, {"a": NoResponseError}), ["a"])
    assert call_repeatedly(clock, hung)[0].value.may_be_executed


GATEWAY_XML = (ROOT / "deploy/gateway.xml").read_text()
INVALID_SETTINGS = [
    ("<name>gateway-1</name>", "", "name"),
    ("<name>gateway-1</name>", "<name>a b</name>", "name"),
    ("127.0.0.1:8200", "0.0.0.0:8200", "loopback"),
    ("<site>", "<tls-key>x</tls-key><site>", "together"),
    ("<tickets-per-s>2", "<tickets-per-s>-2", "tickets_per_s"),
    ("<site>", "<sight>x</sight><site>", "sight"),
]


@pytest.mark.parametrize(("old", "new", "word"), INVALID_SETTINGS, ids=[w[2] for w in INVALID_SETTINGS])
def test_invalid_gateway_settings_are_rejected_naming_the_element(old, new, word, tmp_path):
    assert load_gateway_settings(str(ROOT / "deploy/gateway.xml")).name == "gateway-1"
    file = tmp_path / "gateway.xml"
    file.write_text(GATEWAY_XML.replace(old, new))
    with pytest.raises(SettingsError, match=word):
        load_gateway_settings(str(file))


class SingleControllerNetwork:
    """Connects a gateway with one controller and its state service, in the simulated world of the term's tests."""

    def __init__(self, world):
        self.world = world
        self.api = world.api()

    async def call(self, method, address, path, body=None, timeout=2.0):
        if address != "n0:1":
            return await self.world.net.call(method, address, path, body, timeout)
        parts = path.split("/")
        operation = "submit" if path == "/v1/jobs" else "cancel" if path.endswith("/withdraw") else "query"
        response = await self.api.serve(operation, parts[3] if len(parts) > 3 else "", body or b"")
        return ClientResponse(response.status, response.body)


def start_order(seed, ticket_indexes):
    """Run twelve jobs of mixed priorities, all submitted before the only machine, which runs one task at a time.

    The jobs of `ticket_indexes` are submitted as tickets, with the job ids that they have as native jobs. Returns the
    tasks in their order of start, their priorities, and the expected number of tasks.
    """
    random_source = Random(seed)
    priorities = [random_source.choice(["critical", "urgent", "normal", "idle"]) for _ in range(12)]
    names = [f"wk-{random_source.randrange(10**17, 10**18)}" for _ in priorities]
    tasks = [random_source.choice([1, 1, 3]) for _ in priorities]
    world = World()
    world.cloud.full = True
    world.cloud.at_once = 1
    original_on_rent = world.cloud.on_rent
    world.cloud.on_rent = lambda machine: (original_on_rent(machine), setattr(world.cloud, "full", True))
    world.lead()
    site = Site(
        [
            msgspec.structs.replace(
                SITE.submitters[0],
                name=priority,
                priority=Priority(priority),
                cpus=4.0,
                estimate_s=30.0,
                types=["small"],
            )
            for priority in set(priorities)
        ]
    )
    settings = GatewaySettings("g", "127.0.0.1:1", "state:1", ["n0:1"], "x", 500.0, 500.0, tickets_per_s=50.0)
    gateway = Gateway(world.clock, SingleControllerNetwork(world), settings, site, Random(seed))
    gateway.start()
    world.pass_time(3.0)
    for i, (priority, name, count) in enumerate(zip(priorities, names, tasks, strict=True)):
        if i in ticket_indexes:
            document = (
                HEADER
                + "steps:\n- name: a\n  parameterSpace:\n    taskParameterDefinitions:\n"
                + (
                    f'    - {{name: F, type: INT, range: "1-{count}"}}\n  hostRequirements: {{attributes: '
                    "[{name: attr.meadowcross.type, anyOf: [small]}]}\n" + SCRIPT
                )
            )
            gateway.driver._new_job_id = lambda name=name: name
            body = json.dumps({"key": name, "document": document}).encode()
            assert world.run(gateway.api.submit(body, priority)).status == 201
            world.pass_time(1.0)
        else:
            world.submit(
                id=name,
                rank=priority,
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
    priority_of_job = dict(zip(names, priorities, strict=True))
    return started, [priority_of_job[task.partition("/")[0]] for task in started], sum(tasks)


@pytest.mark.parametrize("seed", range(4))
def test_tickets_start_in_the_same_order_as_native_jobs(seed):
    native_order, priorities, count = start_order(seed, set())
    mixed_order, _, _ = start_order(seed, set(Random(seed + 100).sample(range(12), 6)))
    assert len(native_order) == count and mixed_order == native_order
    priority_indexes = [["critical", "urgent", "normal", "idle"].index(priority) for priority in priorities]
    assert priority_indexes == sorted(priority_indexes), "a task of lower priority started first"
