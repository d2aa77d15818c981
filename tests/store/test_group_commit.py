"""Group commit: order, limits, conflicts, and transactions whose answer is lost or late."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred

from meadowcross.store.group_commit import GroupCommitter, Write
from meadowcross.store.messages import Condition, Put, encode_raw


def start_committer(world):
    """Return a running committer, and a function that makes a write factory for a key and its value."""

    async def reread_keys(keys):
        for key in keys:
            item = world.state.keys.get(key)
            revisions[key] = item["mark"] if item else 0

    revisions: dict[str, int] = {}
    world.state.transact({"if": [], "writes": [{"write": "lead", "data": 1}]})
    committer = GroupCommitter(world.clock, world.store, Condition("lead", 1), reread_keys)

    def make_factory(key, get_value):
        def build():
            condition = Condition(key, revisions.get(key, 0))
            return Write(
                [condition], [Put(key, encode_raw(get_value()))], lambda revision: revisions.update({key: revision})
            )

        return build

    Deferred.fromCoroutine(committer.run())
    return committer, make_factory


@pytest.mark.parametrize("fault", ["lose", "late"])
def test_late_transaction_never_undoes_a_later_one(world, fault):
    committer, make_factory = start_committer(world)
    value = ["first"]
    world.net.faults.append(("state:1/multi", fault))
    committer.enqueue("k", make_factory("k", lambda: value[0]), True)
    value[0] = "second"
    world.pass_time(2.0)
    assert world.state.value("k") == "second"
    late_responses = world.net.deliver_late()
    assert all(status == 409 for status, _ in late_responses)
    assert world.state.value("k") == "second"


def test_new_leader_key_rejects_the_old_leaders_transactions(world):
    committer, make_factory = start_committer(world)
    world.state.transact({"if": [], "writes": [{"write": "lead", "data": 2}]})
    committer.enqueue("k", make_factory("k", lambda: "old"), True)
    world.pass_time(1.0)
    assert world.state.value("k") is None


def test_transactions_stay_within_limits_and_urgent_writes_go_first(world):
    committer, make_factory = start_committer(world)
    for i in range(100):
        committer.enqueue(f"later{i}", make_factory(f"later{i}", lambda: "x" * 3000), False)
    committer.enqueue("now", make_factory("now", lambda: 1), True)
    world.pass_time(5.0)
    written_keys = [event["write"] for event in world.state.log]
    assert written_keys[1] == "now" and len(written_keys) == 102
    assert all(len(body) <= 64 * 1024 for _, target, body in world.net.calls if target.endswith("/multi"))


def test_write_is_stored_after_an_outage(world):
    committer, make_factory = start_committer(world)
    world.state.outage = True
    committer.enqueue("k", make_factory("k", lambda: 1), True)
    world.pass_time(30.0)
    world.state.outage = False
    world.pass_time(1.5)
    assert world.state.value("k") == 1


def test_permanent_conflict_does_not_exhaust_the_rate_share(world):
    committer, _ = start_committer(world)
    committer.enqueue(
        "k", lambda: Write([Condition("other", 99)], [Put("k", encode_raw(1))], lambda revision: None), True
    )
    call_count_before = len(world.net.calls)
    world.pass_time(10.0)
    assert 5 < len(world.net.calls) - call_count_before < 60, "the write is retried at a limited rate"


def put(key, on_stored=lambda _revision: None):
    return lambda: Write([], [Put(key, encode_raw(1))], on_stored)


def fail(*_args):
    raise OverflowError("injected")


FAULTY_WRITES = [
    ("it can't be built", fail),
    ("its callback fails", put("faulty", fail)),
    ("its request can't be encoded", lambda: Write([], [Put("faulty", object())], lambda _revision: None)),
]


@pytest.mark.parametrize("factory", [case[1] for case in FAULTY_WRITES], ids=[case[0] for case in FAULTY_WRITES])
@pytest.mark.parametrize("is_urgent", [True, False], ids=["urgent", "background"])
def test_faulty_write_delays_no_other_write(world, contained_errors, factory, is_urgent):
    """Guards against a queue that one write blocks: it is in front of the others again in each round."""
    contained_errors.are_expected = True
    committer, _ = start_committer(world)
    stored = []
    committer.enqueue("faulty", factory, is_urgent)
    for number in range(40):
        committer.enqueue(f"k{number}", put(f"k{number}", stored.append), is_urgent)
    world.pass_time(5.0)
    assert len(stored) == 40
    # Later writes are stored together again, also while the faulty one is still retried.
    for number in range(40, 80):
        committer.enqueue(f"k{number}", put(f"k{number}", stored.append), is_urgent)
    world.pass_time(2.0)
    assert len(stored) == 80


def test_rejected_write_delays_no_other_write_and_is_stored_once_it_is_accepted(world):
    """Guards against a write that is too large or malformed for the store and blocks the queue."""
    committer, _ = start_committer(world)
    handle, rejected, stored = world.net.hosts["state:1"], ["bad"], []

    def reject_bad(method, path, query, body):
        if any(key.encode() in body for key in rejected):
            return 400, {"error": "malformed"}
        return handle(method, path, query, body)

    world.net.hosts["state:1"] = reject_bad
    committer.enqueue("bad", put("bad", stored.append), True)
    for number in range(40):
        committer.enqueue(f"k{number}", put(f"k{number}", stored.append), True)
    world.pass_time(5.0)
    assert len(stored) == 40 and not committer.is_idle()
    rejected.clear()
    world.pass_time(2.0)
    assert world.state.value("bad") == 1 and len(stored) == 41 and committer.is_idle()


def test_error_after_a_stored_transaction_skips_no_callback(world, contained_errors):
    """Guards against placements that are stored and never started: their callbacks were skipped."""
    contained_errors.are_expected = True
    committer = GroupCommitter(world.clock, world.store, Condition("lead", 0), fail, fail)
    Deferred.fromCoroutine(committer.run())
    stored = []
    committer.enqueue("k", put("k", stored.append), True)
    world.pass_time(1.0)
    assert len(stored) == 1
