"""Budgets and group commit: order, limits, and transactions whose answer is lost."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from meadowcross.store.client import StoreUnavailableError
from meadowcross.store.group_commit import GroupCommitter, Write
from meadowcross.store.messages import Condition, Put, encode_raw
from meadowcross.store.rate_shares import LEADER_SHARE, follower_share, follower_share_with_borrowed
from meadowcross.store.request_counter import classify_request
from meadowcross.store.token_bucket import RequestPriority, TokenBucket
from simulation.pace import WINDOW, Pace
from simulation.standins import StateService


def test_urgent_callers_go_first_and_renewals_never_wait():
    clock = Clock()
    budget = TokenBucket(clock, 10.0, 1.0)
    assert budget.try_acquire(1.0)
    served: list[str] = []
    for name, urgency in (
        ("later", RequestPriority.BACKGROUND),
        ("placement", RequestPriority.PLACEMENT),
        ("user", RequestPriority.USER),
    ):
        budget.acquire(1.0, urgency).addCallback(lambda _, n=name: served.append(n))
    budget.acquire(1.0, RequestPriority.LEADERSHIP).addCallback(lambda _: served.append("renewal"))
    assert served == ["renewal"]
    clock.pump([0.1] * 6)
    assert served == ["renewal", "user", "placement", "later"]


def committer(world):
    async def reread(keys):
        for key in keys:
            item = world.state.keys.get(key)
            marks[key] = item["mark"] if item else 0

    marks: dict[str, int] = {}
    world.state.transact({"if": [], "writes": [{"write": "lead", "data": 1}]})
    commit = GroupCommitter(world.clock, world.store, Condition("lead", 1), reread)

    def unit(key, value):
        def build():
            known = Condition(key, marks.get(key, 0))
            return Write([known], [Put(key, encode_raw(value()))], lambda mark: marks.update({key: mark}))

        return build

    Deferred.fromCoroutine(commit.run())
    return commit, unit


@pytest.mark.parametrize("fault", ["lose", "late"])
def test_a_late_transaction_never_undoes_a_later_one(world, fault):
    commit, unit = committer(world)
    value = ["first"]
    world.net.faults.append(("state:1/multi", fault))
    commit.enqueue("k", unit("k", lambda: value[0]), True)
    value[0] = "second"
    world.pass_time(2.0)
    assert world.state.value("k") == "second"
    late = world.net.deliver_late()
    assert all(status == 409 for status, _ in late)
    assert world.state.value("k") == "second"


def test_a_new_leader_key_stops_the_old_leaders_transactions(world):
    commit, unit = committer(world)
    world.state.transact({"if": [], "writes": [{"write": "lead", "data": 2}]})
    commit.enqueue("k", unit("k", lambda: "old"), True)
    world.pass_time(1.0)
    assert world.state.value("k") is None


def test_transactions_stay_below_the_limits_and_urgent_units_go_first(world):
    commit, unit = committer(world)
    for i in range(100):
        commit.enqueue(f"later{i}", unit(f"later{i}", lambda: "x" * 3000), False)
    commit.enqueue("now", unit("now", lambda: 1), True)
    world.pass_time(5.0)
    written = [e["write"] for e in world.state.log]
    assert written[1] == "now" and len(written) == 102
    assert all(len(body) <= 64 * 1024 for _, target, body in world.net.calls if target.endswith("/multi"))


def test_an_outage_is_waited_out(world):
    commit, unit = committer(world)
    world.state.outage = True
    commit.enqueue("k", unit("k", lambda: 1), True)
    world.pass_time(30.0)
    world.state.outage = False
    world.pass_time(1.5)
    assert world.state.value("k") == 1


def test_stand_in_ends_holds_and_their_keys():
    now = [0.0]
    state = StateService(lambda: now[0])
    hold = state.handle("POST", "/holds", {}, b'{"ttlMs":1000}')[1]["tether"]
    state.transact({"if": [], "writes": [{"write": "lead", "data": 1, "tether": hold}]})
    now[0] = 1.5
    assert state.handle("GET", "/kv/lead", {}, b"")[0] == 404


@pytest.mark.parametrize("nodes", [2, 3, 5, 7])
def test_all_nodes_together_promise_the_limits_once(nodes):
    assert LEADER_SHARE + (nodes - 1) * follower_share(nodes) == pytest.approx(1.0)


LENT = [
    # nodes, what the leader uses, what each of the others may use
    (3, 0.0, 0.2),
    (3, 0.6, 0.2),
    (5, 0.0, 0.2),
    (5, 0.3, 0.15),
    (5, 0.5, 0.1),
    (5, 0.9, 0.1),
    (7, 0.0, 0.15),
]


@pytest.mark.parametrize(("nodes", "used", "share"), LENT)
def test_what_the_leader_leaves_is_lent_to_the_others(nodes, used, share):
    assert follower_share_with_borrowed(nodes, used) == pytest.approx(share)
    # All together promise no more than the limits, but for what the leader may still take up within a beat.
    assert used + (nodes - 1) * follower_share_with_borrowed(nodes, used) <= max(1.0, used + 0.4) + 1e-9


def test_a_budget_tells_what_was_used_and_takes_another_rate():
    clock = Clock()
    budget = TokenBucket(clock, 10.0, 20.0)
    for _ in range(8):
        budget.try_acquire()
    clock.advance(2.0)
    assert budget.used_rate() == pytest.approx(4.0)
    clock.advance(0.5)
    assert budget.used_rate() == pytest.approx(4.0), "not anew within a second"
    budget.back_off()
    budget.set_rate(20.0)
    assert budget.rate == pytest.approx(15.0), "what a refusal took stays taken"


def test_a_refusal_shrinks_a_budget_for_a_while():
    clock = Clock()
    budget = TokenBucket(clock, 10.0, 10.0)
    budget.back_off()
    assert budget.rate == pytest.approx(7.5) and not budget.try_acquire()
    for _ in range(20):
        budget.back_off()
    assert budget.rate == pytest.approx(2.5), "never less than a quarter"
    clock.advance(10.0)
    budget.try_acquire()
    assert 2.5 < budget.rate < 10.0
    clock.advance(40.0)
    budget.try_acquire()
    assert budget.rate == pytest.approx(10.0)


def test_a_refused_transaction_shrinks_both_budgets(world):
    world.net.hosts["state:1"] = lambda *request: (429, {})
    before = world.store._request_bucket.rate, world.store._write_bucket.rate
    outcome = world.run(world.store.transact([], [Put("k", encode_raw(1))], RequestPriority.PLACEMENT))
    assert outcome.check(StoreUnavailableError)
    assert world.store._request_bucket.rate < before[0] and world.store._write_bucket.rate < before[1]


def test_a_unit_that_conflicts_for_ever_does_not_spend_the_budget(world):
    commit, _ = committer(world)
    commit.enqueue("k", lambda: Write([Condition("other", 99)], [Put("k", encode_raw(1))], lambda mark: None), True)
    before = len(world.net.calls)
    world.pass_time(10.0)
    assert 5 < len(world.net.calls) - before < 60, "it goes on, at a pace of its own"


CAUSES = [
    ("GET", "/kv/j/wk-000001", "GET kv j user"),
    ("GET", "/kv?under=t/&limit=1000", "GET kv t user"),
    ("GET", "/watch?under=&since=4&waitMs=5000", "GET watch all user"),
    ("POST", "/multi", "POST multi - user"),
    ("POST", "/holds/7/renew", "POST holds - user"),
]


@pytest.mark.parametrize(("method", "path", "cause"), CAUSES)
def test_requests_are_counted_by_cause(method, path, cause):
    assert str(classify_request(method, path, RequestPriority.USER)) == cause


RUNAWAY = [
    # requests and writes each second, of 100 allowed, and whether that is a loop without end
    ("at its budget's rate, nothing written", 95, 0, True),
    ("at its budget's rate, and it writes", 95, 10, False),
    ("half of it", 50, 0, False),
]


@pytest.mark.parametrize(("asked", "writes", "found"), [row[1:] for row in RUNAWAY], ids=[row[0] for row in RUNAWAY])
def test_a_node_that_asks_without_end_is_found(asked, writes, found):
    pace, told = Pace(), []
    for _ in range(WINDOW):
        for number in range(asked):
            pace.asked("n0", number < writes)
        told += pace.look({"n0": 100.0})
    assert told == (["n0"] if found else [])
