"""A leader that workers can't reach transfers the leadership, and deletes no machine because of its own silence."""

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
    ("most are silent here, more report to a peer", Reachability(10, 4, 5), True),
    ("most are silent here and at all peers", Reachability(10, 4, 4), False),
    ("no contact with workers and peers", Reachability(10, 0, None), True),
    ("contact with workers, none with peers", Reachability(10, 10, None), False),
    ("no machine is in use", Reachability(0, 0, 0), False),
    ("the only machine is silent", Reachability(1, 0, 0), False),
]


@pytest.mark.parametrize(("reach", "is_better_elsewhere"), [row[1:] for row in REACH], ids=[row[0] for row in REACH])
def test_leadership_is_better_elsewhere_only_if_another_leader_may_be_reached_better(reach, is_better_elsewhere):
    assert reach.is_better_elsewhere is is_better_elsewhere


def test_follower_counts_the_workers_that_send_it_heartbeats(world):
    heartbeat_tracker = HeartbeatTracker(world.clock, 4.0)
    api = WorkerApi(lambda: None, lambda: None, heartbeat_tracker)
    for machine_id, sequence in (("i-1", 1), ("i-2", 1), ("i-1", 2)):
        assert (
            api.handle_heartbeat(json.dumps({"stall": machine_id, "tenure": 1, "tally": sequence}).encode()).status
            == 421
        )
    assert api.handle_heartbeat(b"{}").status == 400
    assert heartbeat_tracker.count() == 2
    world.clock.advance(3.0)
    heartbeat_tracker.record(MachineId("i-1"), HeartbeatVersion(1, 3))
    world.clock.advance(2.0)
    assert heartbeat_tracker.count() == 1


COPIES = [
    # versions in the order in which they arrive, whether the last one counts as a contact
    ("next heartbeat", [(1, 4), (1, 5)], True),
    ("copy of the last one", [(1, 4), (1, 4)], False),
    ("copy of an earlier one", [(1, 4), (1, 5), (1, 3)], False),
    ("copy from an earlier incarnation", [(1, 9), (2, 1), (1, 8)], False),
    ("new incarnation", [(1, 9), (2, 1)], True),
]


@pytest.mark.parametrize(("versions", "is_contact"), [row[1:] for row in COPIES], ids=[row[0] for row in COPIES])
def test_late_copy_of_a_heartbeat_is_no_contact(world, versions, is_contact):
    """A copy counts neither at a follower nor at the leader: it would be evidence for a transfer of the leadership, or
    for a failure of the leader."""
    heartbeat_tracker = HeartbeatTracker(world.clock, 2.0)
    term = start_busy_leader(world)
    (machine_id, worker), *_ = world.workers.items()
    world.reporting = False
    heartbeat_times = []
    for incarnation, sequence in versions:
        world.pass_time(3.0)
        heartbeat_tracker.record(MachineId(machine_id), HeartbeatVersion(incarnation, sequence))
        worker.session, worker.seq = incarnation, 1000 + sequence - 1
        world.report(worker)
        heartbeat_times.append(
            term.worker_registry.machines[machine_id].contact.last_heartbeat_at
            if machine_id in term.worker_registry.machines
            else None
        )
    assert (heartbeat_tracker.count() == 1) is is_contact
    assert (heartbeat_times[-1] == term.context.now) is is_contact


def start_busy_leader(world, task_count=8):
    """Start a leader, and wait until its tasks run on a few machines."""
    term = world.lead()
    world.submit(heads=task_count, cpus=4.0)
    world.pass_time(10.0, 0.25)
    assert len(world.running()) == task_count
    return term


CUTS = [
    ("workers report to a peer", 8, True),
    ("workers report to no controller", 0, False),
    ("no contact with peers either", None, True),
]


@pytest.mark.parametrize(
    ("best_peer_reach", "has_stepped_down"), [row[1:] for row in CUTS], ids=[row[0] for row in CUTS]
)
def test_leader_that_most_workers_cannot_reach_steps_down_before_worker_leases_expire(
    world, best_peer_reach, has_stepped_down
):
    term = start_busy_leader(world)
    world.pass_time(5.0, 0.25)
    world.reporting = False
    world.best_peer_reach = best_peer_reach
    world.pass_time(7.0, 0.25)
    assert term.is_stopped is has_stepped_down
    assert world.cloud.deleted == []
    # Other candidates may go first. There are none here, so the leader key stays free for a while.
    assert (world.state.value("lead") is None) is has_stepped_down
    world.pass_time(10.0, 0.25)
    assert world.state.value("lead") is not None


def test_leader_steps_down_only_once_if_no_peer_takes_over(world):
    """Guards against a leader, cut off with the machines of its zone, that steps down again and again: each time these
    machines had no leader for three lease durations."""
    start_busy_leader(world)
    world.pass_time(5.0, 0.25)
    world.reporting = False
    world.best_peer_reach = None
    world.pass_time(30.0, 0.25)
    second_term = world.term
    assert len(world.terms) == 2 and not second_term.is_stopped
    world.pass_time(30.0, 0.25)
    assert world.term is second_term and not second_term.is_stopped


def test_leader_deletes_no_machine_after_its_process_was_suspended(world):
    term = start_busy_leader(world)
    # The process is suspended for 70 s, after which all its timers fire late, in one step. Its leader lease has not
    # expired, as after an outage of the store at the same time.
    world.state.holds = {lease: (expires_at + 80.0, ttl) for lease, (expires_at, ttl) in world.state.holds.items()}
    world.clock.advance(70.0)
    world.pass_time(4.0)
    assert not term.is_stopped and world.cloud.deleted == []
    assert len(world.running()) == 8


def test_leader_without_a_valid_lease_creates_and_deletes_no_machine(world):
    term = start_busy_leader(world)
    for worker in world.workers.values():
        for key in list(worker.tasks):
            worker.end(key)
    world.pass_time(1.0)
    world.state.outage = True
    world.pass_time(4.0, 0.25)
    request_count = len(world.cloud.requests)
    world.pass_time(60.0, 0.5)
    assert not term.is_stopped
    assert world.cloud.deleted == [] and len(world.cloud.requests) == request_count
    world.state.outage = False
    world.pass_time(30.0, 0.5)
    assert world.cloud.deleted


@pytest.mark.parametrize(("silent_s", "is_deleted"), [(30.0, False), (45.0, True)])
def test_machines_silent_at_once_are_deleted_only_after_the_maximum_lag_of_the_cloud_list(world, silent_s, is_deleted):
    """A zone that was cut off returns with its machines sooner than new machines would boot."""
    term = start_busy_leader(world)
    world.pass_time(5.0, 0.25)
    for worker in world.workers.values():
        del world.net.hosts[worker.machine["addr"]]
    world.reporting = False
    world.pass_time(silent_s, 0.5)
    assert bool(world.cloud.deleted) is is_deleted and not term.is_stopped
