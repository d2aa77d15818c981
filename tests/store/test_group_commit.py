"""Group commit: order, limits, and transactions whose answer is lost."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred

from meadowcross.store.group_commit import GroupCommitter, Write
from meadowcross.store.messages import Condition, Put, encode_raw


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
def test_late_transaction_never_undoes_a_later_one(world, fault):
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


def test_new_leader_key_rejects_the_old_leaders_transactions(world):
    commit, unit = committer(world)
    world.state.transact({"if": [], "writes": [{"write": "lead", "data": 2}]})
    commit.enqueue("k", unit("k", lambda: "old"), True)
    world.pass_time(1.0)
    assert world.state.value("k") is None


def test_transactions_stay_within_limits_and_urgent_writes_go_first(world):
    commit, unit = committer(world)
    for i in range(100):
        commit.enqueue(f"later{i}", unit(f"later{i}", lambda: "x" * 3000), False)
    commit.enqueue("now", unit("now", lambda: 1), True)
    world.pass_time(5.0)
    written = [e["write"] for e in world.state.log]
    assert written[1] == "now" and len(written) == 102
    assert all(len(body) <= 64 * 1024 for _, target, body in world.net.calls if target.endswith("/multi"))


def test_write_is_stored_after_an_outage(world):
    commit, unit = committer(world)
    world.state.outage = True
    commit.enqueue("k", unit("k", lambda: 1), True)
    world.pass_time(30.0)
    world.state.outage = False
    world.pass_time(1.5)
    assert world.state.value("k") == 1


def test_endless_conflict_does_not_exhaust_the_rate_share(world):
    commit, _ = committer(world)
    commit.enqueue("k", lambda: Write([Condition("other", 99)], [Put("k", encode_raw(1))], lambda mark: None), True)
    before = len(world.net.calls)
    world.pass_time(10.0)
    assert 5 < len(world.net.calls) - before < 60, "it goes on, at a pace of its own"
