"""Election: exactly one node leads after lost responses, late writes and ended leases."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred

from meadowcross.common.clock import pause
from meadowcross.store.client import StoreClient
from tests.support.election import make_election


class FakeTerm:
    """Counts how often the election stops it."""

    def __init__(self):
        self.tokens = []
        self.stop_count = 0

    def begin(self, token):
        self.tokens.append(token)
        return self

    def stop(self):
        self.stop_count += 1


def start_node(world, name):
    """Start the election of a node; return the election and its fake term."""
    term = FakeTerm()
    store = StoreClient(world.clock, world.net, "state:1", world.settings.facts.state)
    election = make_election(world.clock, store, name, name + "-life", term.begin)
    Deferred.fromCoroutine(election.run())
    return election, term


@pytest.mark.parametrize("fault", [None, "lose", "late", "refuse"])
def test_exactly_one_node_leads_after_a_fault_of_the_first_campaign(world, fault):
    if fault:
        world.net.faults.append(("state:1/multi", fault))
    nodes = [start_node(world, f"n{i}") for i in range(3)]
    world.pass_time(1.0)
    world.net.deliver_late()
    world.pass_time(4.0)
    leading = [election for election, _ in nodes if election.token is not None]
    assert len(leading) == 1
    assert leading[0].token == world.state.keys["lead"]["mark"]
    assert {election.leader for election, _ in nodes} == {("n" + leading[0].leader[0][1], leading[0].token)}


def test_election_after_an_ended_lease_gives_a_higher_token(world):
    nodes = [start_node(world, f"n{i}") for i in range(2)]
    world.pass_time(1.0)
    old_leader = next(election for election, _ in nodes if election.token is not None)
    old_token = old_leader.token
    world.state.handle("DELETE", f"/holds/{world.state.keys['lead']['tether']}", {}, b"")
    world.pass_time(3.0)
    tokens = [election.token for election, _ in nodes if election.token is not None]
    assert len(tokens) == 1 and tokens[0] > old_token


def test_store_outage_does_not_end_a_term(world):
    election, term = start_node(world, "n0")
    world.pass_time(1.0)
    world.state.outage = True
    world.pass_time(30.0, 0.25)
    assert election.token is not None and term.stop_count == 0


def test_another_node_is_elected_after_a_leadership_transfer(world):
    nodes = [start_node(world, f"n{i}") for i in range(3)]
    world.pass_time(1.0)
    old_leader, old_term = next((election, term) for election, term in nodes if election.token is not None)
    assert old_leader.has_valid_lease()
    old_leader.begin_transfer("workers reach others")
    assert not old_leader.has_valid_lease()
    world.pass_time(2.0)
    assert old_term.stop_count > 0
    assert [election.token is not None for election, _ in nodes].count(True) == 1 and old_leader.token is None


def test_leader_lease_is_not_certain_without_a_confirmed_renewal(world):
    election, _ = start_node(world, "n0")
    world.pass_time(1.0)
    world.state.outage = True
    world.pass_time(3.0)
    assert election.token is not None and not election.has_valid_lease()
    world.state.outage = False
    world.pass_time(1.0)
    assert election.has_valid_lease()


def test_renewals_are_sent_on_time_without_waiting_for_responses(world):
    """A leader that waited for each response lost a lease that all its renewals had reached in time."""
    election, term = start_node(world, "n0")
    start_node(world, "n1")
    world.pass_time(1.0)
    send_call = type(world.net).call

    async def delay_renewal_responses(method, address, path, body=None, timeout=2.0):
        response = await send_call(world.net, method, address, path, body, timeout)
        if "/renew" in path:
            await pause(world.clock, 1.8)
        return response

    world.net.call = delay_renewal_responses
    world.pass_time(20.0)
    assert election.token is not None and term.stop_count == 0


def test_closing_the_election_at_process_end_does_not_stop_the_term(world):
    """Stopping the term would resume its coroutines, which may be closed already."""
    world.election = make_election(world.clock, world.store, "n0", "one", world.begin_term)
    run = world.election.run()
    Deferred.fromCoroutine(run)
    world.pass_time(0.5)
    assert world.term is not None and world.term.is_loaded
    run.close()
    assert not world.term.is_stopped
