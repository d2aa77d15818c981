"""A leader that workers can't reach, or that was silent itself, does no harm and makes way."""

from __future__ import annotations

import json

import pytest

from meadowcross.common.types import HeartbeatVersion, MachineId
from meadowcross.leadership.reachability import Reachability
from meadowcross.workers.api import WorkerApi
from meadowcross.workers.heartbeat_tracker import HeartbeatTracker

REACH = [
    ("all report", Reachability(10, 10, 0), False),
    ("half report", Reachability(10, 5, 9), False),
    ("most are silent, and a peer hears them", Reachability(10, 4, 5), True),
    ("most are silent for the peers too", Reachability(10, 4, 4), False),
    ("neither workers nor peers reach us", Reachability(10, 0, None), True),
    ("workers reach us, peers don't", Reachability(10, 10, None), False),
    ("no machine is in use", Reachability(0, 0, 0), False),
    ("the only machine is lost", Reachability(1, 0, 0), False),
]


@pytest.mark.parametrize(("reach", "yields"), [c[1:] for c in REACH], ids=[c[0] for c in REACH])
def test_who_makes_way(reach, yields):
    assert reach.is_better_elsewhere is yields


def test_a_follower_counts_the_workers_that_come_by(world):
    visitors = HeartbeatTracker(world.clock, 4.0)
    api = WorkerApi(lambda: None, lambda: None, visitors)
    for name, tally in (("i-1", 1), ("i-2", 1), ("i-1", 2)):
        assert api.handle_heartbeat(json.dumps({"stall": name, "tenure": 1, "tally": tally}).encode()).status == 421
    assert api.handle_heartbeat(b"{}").status == 400
    assert visitors.count() == 2
    world.clock.advance(3.0)
    visitors.record(MachineId("i-1"), HeartbeatVersion(1, 3))
    world.clock.advance(2.0)
    assert visitors.count() == 1


COPIES = [
    # versions in the order in which they arrive, whether the last one counts as a visit
    ("the next report", [(1, 4), (1, 5)], True),
    ("a copy of the last", [(1, 4), (1, 4)], False),
    ("a copy of an earlier one", [(1, 4), (1, 5), (1, 3)], False),
    ("a copy from an earlier session", [(1, 9), (2, 1), (1, 8)], False),
    ("a new session", [(1, 9), (2, 1)], True),
]


@pytest.mark.parametrize(("versions", "counts"), [c[1:] for c in COPIES], ids=[c[0] for c in COPIES])
def test_a_late_copy_of_a_report_speaks_for_nobody(world, versions, counts):
    """Neither here nor at the leader: copies would call for a leader's place, or speak for its death."""
    visitors = HeartbeatTracker(world.clock, 2.0)
    term = busy(world)
    (name, worker), *_ = world.workers.items()
    world.reporting = False
    heard = []
    for session, seq in versions:
        world.pass_time(3.0)
        visitors.record(MachineId(name), HeartbeatVersion(session, seq))
        worker.session, worker.seq = session, 1000 + seq - 1
        world.report(worker)
        heard.append(
            term.worker_registry.machines[name].contact.last_heartbeat_at
            if name in term.worker_registry.machines
            else None
        )
    assert (visitors.count() == 1) is counts
    assert (heard[-1] == term.context.now) is counts


def busy(world, heads=8):
    """A leader with tasks running on a few machines."""
    term = world.lead()
    world.submit(heads=heads, cpus=4.0)
    world.pass_time(10.0, 0.25)
    assert len(world.running()) == heads
    return term


CUTS = [
    ("a peer hears them", 8, True),
    ("peers hear no more than we do", 0, False),
    ("cut off from peers as well", None, True),
]


@pytest.mark.parametrize(("peers", "yields"), [c[1:] for c in CUTS], ids=[c[0] for c in CUTS])
def test_a_leader_that_most_workers_can_not_reach_makes_way_before_leases_end(world, peers, yields):
    term = busy(world)
    world.pass_time(5.0, 0.25)
    world.reporting = False
    world.peers_hear = peers
    world.pass_time(7.0, 0.25)
    assert term.stopped is yields
    assert world.cloud.deleted == []
    # The others go first: nobody else stands here, so the key stays free for a while.
    assert (world.state.value("lead") is None) is yields
    world.pass_time(10.0, 0.25)
    assert world.state.value("lead") is not None


def test_a_leader_makes_way_only_once_where_nobody_takes_the_place(world):
    """Cut off with a zone's machines, it was gone for three holds again and again, and they had no leader."""
    busy(world)
    world.pass_time(5.0, 0.25)
    world.reporting = False
    world.peers_hear = None
    world.pass_time(30.0, 0.25)
    second = world.term
    assert len(world.terms) == 2 and not second.stopped
    world.pass_time(30.0, 0.25)
    assert world.term is second and not second.stopped


def test_after_a_silence_of_its_own_a_leader_gives_up_no_machine(world):
    term = busy(world)
    # The process did not run for 70 s; then all its timers fire late, in one step. Its hold
    # lived on, as after an outage of the store at the same time.
    world.state.holds = {hold: (until + 80.0, ttl) for hold, (until, ttl) in world.state.holds.items()}
    world.clock.advance(70.0)
    world.pass_time(4.0)
    assert not term.stopped and world.cloud.deleted == []
    assert len(world.running()) == 8


def test_a_leader_that_may_have_been_followed_rents_and_returns_nothing(world):
    term = busy(world)
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)
    world.pass_time(1.0)
    world.state.outage = True
    world.pass_time(4.0, 0.25)
    rented = len(world.cloud.requests)
    world.pass_time(60.0, 0.5)
    assert not term.stopped
    assert world.cloud.deleted == [] and len(world.cloud.requests) == rented
    world.state.outage = False
    world.pass_time(30.0, 0.5)
    assert world.cloud.deleted


@pytest.mark.parametrize(("silent_for", "given_up"), [(30.0, False), (45.0, True)])
def test_most_machines_silent_at_once_are_given_up_only_after_the_list_must_have_told(world, silent_for, given_up):
    """A zone that is cut off comes back with its machines; they take longer to boot anew."""
    term = busy(world)
    world.pass_time(5.0, 0.25)
    for worker in world.workers.values():
        del world.net.hosts[worker.machine["addr"]]
    world.reporting = False
    world.pass_time(silent_for, 0.5)
    assert bool(world.cloud.deleted) is given_up and not term.stopped
