"""Election: who leads after lost answers, late creations and ended holds."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred

from meadowcross.common.clock import pause
from meadowcross.store.client import StoreClient
from tests.support.election import make_election


class Record:
    def __init__(self):
        self.tokens = []
        self.stopped = 0

    def begin(self, token):
        self.tokens.append(token)
        return self

    def stop(self):
        self.stopped += 1


def node(world, name):
    record = Record()
    store = StoreClient(world.clock, world.net, "state:1", world.settings.facts.state)
    election = make_election(world.clock, store, name, name + "-life", record.begin)
    Deferred.fromCoroutine(election.run())
    return election, record


@pytest.mark.parametrize("fault", [None, "lose", "late", "refuse"])
def test_exactly_one_leads_whatever_happens_to_the_first_creation(world, fault):
    if fault:
        world.net.faults.append(("state:1/multi", fault))
    nodes = [node(world, f"n{i}") for i in range(3)]
    world.pass_time(1.0)
    world.net.deliver_late()
    world.pass_time(4.0)
    leading = [e for e, _ in nodes if e.token is not None]
    assert len(leading) == 1
    assert leading[0].token == world.state.keys["lead"]["mark"]
    assert {e.leader for e, _ in nodes} == {("n" + leading[0].leader[0][1], leading[0].token)}


def test_a_hold_that_ends_brings_a_higher_token(world):
    nodes = [node(world, f"n{i}") for i in range(2)]
    world.pass_time(1.0)
    old = next(e for e, _ in nodes if e.token is not None)
    token = old.token
    world.state.handle("DELETE", f"/holds/{world.state.keys['lead']['tether']}", {}, b"")
    world.pass_time(3.0)
    tokens = [e.token for e, _ in nodes if e.token is not None]
    assert len(tokens) == 1 and tokens[0] > token


def test_an_outage_alone_does_not_end_a_term(world):
    election, record = node(world, "n0")
    world.pass_time(1.0)
    world.state.outage = True
    world.pass_time(30.0, 0.25)
    assert election.token is not None and record.stopped == 0


def test_a_node_that_makes_way_lets_the_others_go_first(world):
    nodes = [node(world, f"n{i}") for i in range(3)]
    world.pass_time(1.0)
    old, record = next((e, r) for e, r in nodes if e.token is not None)
    assert old.has_valid_lease()
    old.begin_transfer("workers reach others")
    assert not old.has_valid_lease()
    world.pass_time(2.0)
    assert record.stopped > 0
    assert [e.token is not None for e, _ in nodes].count(True) == 1 and old.token is None


def test_what_a_leader_may_do_outside_ends_with_its_last_sure_renewal(world):
    election, _ = node(world, "n0")
    world.pass_time(1.0)
    world.state.outage = True
    world.pass_time(3.0)
    assert election.token is not None and not election.has_valid_lease()
    world.state.outage = False
    world.pass_time(1.0)
    assert election.has_valid_lease()


def test_renewals_go_on_time_whatever_becomes_of_their_answers(world):
    """A leader that reads its answers late keeps a hold that every renewal reaches."""
    election, record = node(world, "n0")
    node(world, "n1")
    world.pass_time(1.0)
    original = type(world.net).call

    async def late(method, address, path, body=None, timeout=2.0):
        reply = await original(world.net, method, address, path, body, timeout)
        if "/renew" in path:
            await pause(world.clock, 1.8)
        return reply

    world.net.call = late
    world.pass_time(20.0)
    assert election.token is not None and record.stopped == 0


def test_an_election_closed_with_its_process_stops_no_term(world):
    """What the term's own coroutines wait for must not be called any more: they may be closed already."""
    world.election = make_election(world.clock, world.store, "n0", "one", world.begin)
    run = world.election.run()
    Deferred.fromCoroutine(run)
    world.pass_time(0.5)
    assert world.term is not None and world.term.loaded
    run.close()
    assert not world.term.stopped
