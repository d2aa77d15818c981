"""Silence timeouts, and decommissioning of silent and unreachable machines."""

from __future__ import annotations

import pytest

from meadowcross.autoscaling.silence_timeouts import silence_timeout_by_zone

TIMEOUT_CASES = [
    # name, silent and all machines by zone, timeout by zone (8 s usually, 45 s until the list shows dead machines)
    ("few silent", {"east": (2, 3)}, {"east": 8.0}),
    ("fewer than half silent", {"east": (40, 100), "west": (0, 10)}, {"east": 8.0, "west": 8.0}),
    ("small zone partitioned", {"east": (20, 20), "west": (0, 100)}, {"east": 8.0, "west": 8.0}),
    ("largest zone partitioned", {"east": (95, 100), "west": (0, 20)}, {"east": 45.0, "west": 16.0}),
    ("leader partitioned", {"east": (100, 100), "west": (20, 20)}, {"east": 45.0, "west": 45.0}),
    ("most silent, others of their zones report", {"east": (60, 100), "west": (15, 20)}, {"east": 16.0, "west": 16.0}),
    ("no machine known", {}, {}),
]


@pytest.mark.parametrize(
    ("zones", "expected"), [case[1:] for case in TIMEOUT_CASES], ids=[case[0] for case in TIMEOUT_CASES]
)
def test_silence_timeout_by_zone(zones, expected):
    known_by_zone = {zone: count for zone, (_, count) in zones.items()}
    silent_by_zone = {zone: silent_count for zone, (silent_count, _) in zones.items()}
    assert silence_timeout_by_zone(known_by_zone, silent_by_zone, 8.0, 45.0) == expected


def test_deletion_of_a_failed_machine_makes_its_kind_available_again(world):
    """A kind without capacity is not requested for 12 s; deleting a failed machine frees capacity for it."""
    term = world.lead()
    world.submit(heads=8, cpus=2.0, builds=["small"], grazeS=600.0, sundownS=None)
    world.pass_time(6.0)
    assert world.running()
    (failed_machine,) = {
        placement.machine
        for placement in term.job_table.jobs["wk-000001"].placements.values()
        if placement.task.number == 0
    }
    kind = term.worker_registry.machines[failed_machine].kind
    term.autoscaler.kind_availability.mark_unavailable(kind, 1000.0)
    world.net.hosts.pop(world.workers.pop(failed_machine).machine["addr"])
    world.cloud.on_delete = lambda name: None
    ids_before = set(world.cloud.machines)
    world.pass_time(8.0)
    assert not [machine for machine_id, machine in world.cloud.machines.items() if machine_id not in ids_before], (
        "requested while it was unavailable"
    )
    world.pass_time(5.0)
    assert failed_machine in world.cloud.deleted
    assert any(
        (machine["build"], machine["field"], machine["stubble"]) == kind
        for machine_id, machine in world.cloud.machines.items()
        if machine_id not in ids_before
    )


REINSTATE_CASES = [
    # name, fault of the deletion, whether the machine is reinstated
    ("cloud outage", "trouble", True),
    ("request not sent", "refuse", True),
    ("no response: may still be executed", "late", False),
]


@pytest.mark.parametrize(
    ("fault", "is_reinstated"), [case[1:] for case in REINSTATE_CASES], ids=[case[0] for case in REINSTATE_CASES]
)
def test_machine_that_reports_again_before_its_deletion_is_reinstated(world, fault, is_reinstated):
    """Guards against deleting machines that are well again.

    Ten machines were partitioned during an outage of the cloud, reported again, and were deleted after the outage.
    """
    term = world.lead()
    world.submit(heads=1, builds=["small"], grazeS=600.0, sundownS=None)
    world.pass_time(6.0)
    ((name, worker),) = world.workers.items()
    world.workers = {}
    worker_handler = world.net.hosts.pop(worker.machine["addr"])
    world.cloud.trouble = fault == "trouble"
    world.net.faults = [("cloud:1/rentals/delete", fault)] * 99 if fault != "trouble" else []
    world.pass_time(12.0)
    machine = term.worker_registry.machines[name]
    assert machine.decommission_reason is not None
    world.workers, world.net.hosts[worker.machine["addr"]] = {name: worker}, worker_handler
    world.pass_time(3.0)
    world.cloud.trouble, world.net.faults = False, []
    world.pass_time(6.0)
    assert (name not in world.cloud.deleted) is is_reinstated
    assert world.running() == ["wk-000001/0"]


def test_unreachable_machine_that_reports_gets_no_tasks_and_is_decommissioned(world):
    term = world.lead()
    world.submit(heads=1, builds=["small"], cpus=4.0, grazeS=600.0, sundownS=None)
    world.pass_time(6.0)
    ((name, worker),) = world.workers.items()
    worker_handler = world.net.hosts.pop(worker.machine["addr"])
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
    world.net.hosts[worker.machine["addr"]] = worker_handler
    world.pass_time(1.0)
    assert term.scheduling_view.is_schedulable(machine), "schedulable again when its responses arrive"
    world.net.hosts.pop(worker.machine["addr"])
    term.placement_writer.dispatcher.probe(name)
    machine.contact.unresponsive_since = term.context.now
    world.pass_time(30.0, 0.25)
    assert name in world.cloud.deleted


def test_start_without_response_is_sent_again_once_the_machine_responds(world):
    """Guards against a start that is not sent again to a recovered machine until the next leader takes over."""
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
    assert worker.tasks, "the ended task is not reaped, so a late request can't start it again"
    world.net.deliver_late()
    assert world.running() == [] and len(worker.started) == 1
