"""Budgets and group commit: order, limits, and transactions whose answer is lost."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from lab.standins import StateService
from meadowcross.store.budget import Budget, Urgency
from meadowcross.store.commit import Built, Committer
from meadowcross.store.messages import Condition, Put, raw


def test_urgent_callers_go_first_and_renewals_never_wait():
    clock = Clock()
    budget = Budget(clock, 10.0, 1.0)
    assert budget.try_take(1.0)
    served: list[str] = []
    for name, urgency in (("later", Urgency.LATER), ("placement", Urgency.PLACEMENT), ("user", Urgency.USER)):
        budget.take(1.0, urgency).addCallback(lambda _, n=name: served.append(n))
    budget.take(1.0, Urgency.LEADERSHIP).addCallback(lambda _: served.append("renewal"))
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
    commit = Committer(world.clock, world.store, Condition("lead", 1), reread)

    def unit(key, value):
        def build():
            known = Condition(key, marks.get(key, 0))
            return Built([known], [Put(key, raw(value()))], lambda mark: marks.update({key: mark}))

        return build

    Deferred.fromCoroutine(commit.run())
    return commit, unit


@pytest.mark.parametrize("fault", ["lose", "late"])
def test_a_late_transaction_never_undoes_a_later_one(world, fault):
    commit, unit = committer(world)
    value = ["first"]
    world.net.faults.append(("state:1/multi", fault))
    commit.add("k", unit("k", lambda: value[0]), True)
    value[0] = "second"
    world.pass_time(2.0)
    assert world.state.value("k") == "second"
    late = world.net.deliver_late()
    assert all(status == 409 for status, _ in late)
    assert world.state.value("k") == "second"


def test_a_new_leader_key_stops_the_old_leaders_transactions(world):
    commit, unit = committer(world)
    world.state.transact({"if": [], "writes": [{"write": "lead", "data": 2}]})
    commit.add("k", unit("k", lambda: "old"), True)
    world.pass_time(1.0)
    assert world.state.value("k") is None


def test_transactions_stay_below_the_limits_and_urgent_units_go_first(world):
    commit, unit = committer(world)
    for i in range(100):
        commit.add(f"later{i}", unit(f"later{i}", lambda: "x" * 3000), False)
    commit.add("now", unit("now", lambda: 1), True)
    world.pass_time(5.0)
    written = [e["write"] for e in world.state.log]
    assert written[1] == "now" and len(written) == 102
    assert all(len(body) <= 64 * 1024 for _, target, body in world.net.calls if target.endswith("/multi"))


def test_an_outage_is_waited_out(world):
    commit, unit = committer(world)
    world.state.outage = True
    commit.add("k", unit("k", lambda: 1), True)
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
