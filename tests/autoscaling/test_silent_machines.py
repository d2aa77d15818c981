"""For how long silent machines are kept."""

from __future__ import annotations

import pytest

from meadowcross.autoscaling.silence_timeouts import silence_timeout_by_zone

CASES = [
    # name, silent and all machines by zone, patience by zone (8 s usually, 45 s until the list must have told)
    ("a few", {"east": (2, 3)}, {"east": 8.0}),
    ("fewer than half", {"east": (40, 100), "west": (0, 10)}, {"east": 8.0, "west": 8.0}),
    ("a small zone is cut off", {"east": (20, 20), "west": (0, 100)}, {"east": 8.0, "west": 8.0}),
    ("the zone with most machines is cut off", {"east": (95, 100), "west": (0, 20)}, {"east": 45.0, "west": 16.0}),
    ("we are cut off", {"east": (100, 100), "west": (20, 20)}, {"east": 45.0, "west": 45.0}),
    ("most died, others beside them report", {"east": (60, 100), "west": (15, 20)}, {"east": 16.0, "west": 16.0}),
    ("nobody was ever heard", {}, {}),
]


@pytest.mark.parametrize(("zones", "kept"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_patience(zones, kept):
    known = {zone: count for zone, (_, count) in zones.items()}
    silent = {zone: quiet for zone, (quiet, _) in zones.items()}
    assert silence_timeout_by_zone(known, silent, 8.0, 45.0) == kept


def test_the_room_of_deleted_machines_is_asked_for_at_once(world):
    """A kind that was refused is left alone for 12 s; the death of its machines makes room for it."""
    term = world.lead()
    world.submit(heads=8, cpus=2.0, builds=["small"], grazeS=600.0, sundownS=None)
    world.pass_time(6.0)
    assert world.running()
    (dead,) = {p.machine for p in term.job_table.jobs["wk-000001"].placements.values() if p.task.number == 0}
    kind = term.worker_registry.machines[dead].kind
    term.autoscaler.kind_availability.mark_unavailable(kind, 1000.0)
    world.net.hosts.pop(world.workers.pop(dead).machine["addr"])
    world.cloud.on_delete = lambda name: None
    known = set(world.cloud.machines)
    world.pass_time(8.0)
    assert not [m for n, m in world.cloud.machines.items() if n not in known], "asked for while it was refused"
    world.pass_time(5.0)
    assert dead in world.cloud.deleted
    assert any(
        (m["build"], m["field"], m["stubble"]) == kind for n, m in world.cloud.machines.items() if n not in known
    )


BACK = [
    # what becomes of the deletion, whether a machine that speaks again is kept
    ("the cloud is down", "trouble", True),
    ("never sent", "refuse", True),
    ("no answer: it may still be executed", "late", False),
]


@pytest.mark.parametrize(("fault", "kept"), [b[1:] for b in BACK], ids=[b[0] for b in BACK])
def test_a_machine_that_speaks_again_before_it_was_deleted_is_taken_back(world, fault, kept):
    """Ten machines were cut off in an outage of the cloud, came back, and were deleted when the cloud did."""
    term = world.lead()
    world.submit(heads=1, builds=["small"], grazeS=600.0, sundownS=None)
    world.pass_time(6.0)
    ((name, worker),) = world.workers.items()
    world.workers = {}
    away = world.net.hosts.pop(worker.machine["addr"])
    world.cloud.trouble = fault == "trouble"
    world.net.faults = [("cloud:1/rentals/delete", fault)] * 99 if fault != "trouble" else []
    world.pass_time(12.0)
    machine = term.worker_registry.machines[name]
    assert machine.decommission_reason is not None
    world.workers, world.net.hosts[worker.machine["addr"]] = {name: worker}, away
    world.pass_time(3.0)
    world.cloud.trouble, world.net.faults = False, []
    world.pass_time(6.0)
    assert (name not in world.cloud.deleted) is kept
    assert world.running() == ["wk-000001/0"]


def test_a_machine_that_reports_and_that_nothing_reaches_gets_no_work_and_is_given_up_when_it_is_of_no_use(world):
    term = world.lead()
    world.submit(heads=1, builds=["small"], cpus=4.0, grazeS=600.0, sundownS=None)
    world.pass_time(6.0)
    ((name, worker),) = world.workers.items()
    away = world.net.hosts.pop(worker.machine["addr"])
    worker.obey = lambda calls: None
    world.run(world.api().cancel("wk-000001"))
    world.pass_time(1.0)
    worker.tasks, worker.session = {}, 2
    world.pass_time(2.0)
    machine = term.worker_registry.machines[name]
    assert (
        machine.contact.unresponsive_since is not None
        and not term.scheduling_view.is_schedulable(machine)
        and machine.decommission_reason is None
    )
    world.net.hosts[worker.machine["addr"]] = away
    world.pass_time(1.0)
    assert term.scheduling_view.is_schedulable(machine), "taken back when answers arrive"
    world.net.hosts.pop(worker.machine["addr"])
    term.placement_writer.dispatcher.probe(name)
    machine.contact.unresponsive_since = term.context.now
    world.pass_time(30.0, 0.25)
    assert name in world.cloud.deleted


def test_a_start_without_an_answer_is_told_again_once_its_machine_answers(world):
    """It waited on a machine that was well again until the next leader came."""
    term = world.lead()
    world.net.faults = [("i-000000:9000/commands", "late")] * 3
    world.submit(heads=1, builds=["small"], grazeS=600.0)
    world.pass_time(8.0)
    assert world.running() == ["wk-000001/0"]
    (worker,) = (w for w in world.workers.values() if w.tasks)
    machine = term.worker_registry.machines[worker.machine["id"]]
    assert machine.proof.open_starts, "the first request may still arrive"
    for key in list(worker.tasks):
        worker.end(key)
    world.pass_time(3.0)
    assert worker.tasks, "so it is never reaped"
    world.net.deliver_late()
    assert world.running() == [] and len(worker.started) == 1
