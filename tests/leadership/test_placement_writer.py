"""Placements from their decision to their release."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from meadowcross.common.types import WallTime
from meadowcross.jobs.job_table import PlacementPhase
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.placement_writer import CommandTransport, PlacementWriter
from tests.support.terms import add_job, add_machine, build_state, place_task


class RecordingCommitter:
    """Keeps what was to be written, by its identity."""

    def __init__(self):
        self.writes = {}

    def enqueue(self, write_id, build, urgent):
        self.writes[write_id] = build


class World:
    def __init__(self):
        self.state = build_state(Clock())
        self.committer = RecordingCommitter()
        self.trigger = PassTrigger(self.state.context, self.state.lifecycle)
        transport = CommandTransport(lambda machine, body: None, lambda: 1)
        self.writer = PlacementWriter(self.state, self.committer, 24, transport, self.trigger)
        self.job = add_job(self.state)
        self.machine = add_machine(self.state)
        self.placement = place_task(self.state, self.job, self.machine)


def test_a_placement_may_start_once_it_is_stored():
    world = World()
    assert not world.writer.may_start(world.placement)
    world.writer.on_placement_stored(world.placement)
    assert world.placement.phase is PlacementPhase.STORED and world.writer.may_start(world.placement)


@pytest.mark.parametrize("change", ["cancelled", "over", "released"])
def test_a_stored_placement_that_does_not_count_any_more_never_starts(change):
    world = World()
    world.writer.on_placement_stored(world.placement)
    if change == "cancelled":
        world.job.cancelled_at = WallTime(1.0)
    elif change == "over":
        world.state.lifecycle.is_stopped = True
    else:
        world.state.job_table.release(world.placement)
    assert not world.writer.may_start(world.placement)


def test_a_start_that_was_not_sent_puts_its_task_back():
    world = World()
    waiting = world.job.waiting_count
    world.writer.on_start_not_sent(world.placement)
    assert world.job.waiting_count == waiting + 1 and world.machine.placements == {}
    assert world.trigger.is_scheduled and any(write_id[0] == "chunk" for write_id in world.committer.writes)


def test_a_start_that_may_have_been_sent_is_not_put_back():
    world = World()
    world.placement.phase = PlacementPhase.SENT
    world.writer.on_start_not_sent(world.placement)
    assert world.machine.placements == {world.placement.task: world.placement}


def test_a_shorter_grace_replaces_a_longer_one():
    world = World()
    world.writer.stop_task(world.placement, 10.0)
    world.writer.stop_task(world.placement, 20.0)
    assert world.placement.grace_s == 10.0
    world.writer.stop_task(world.placement, 0.0)
    assert world.placement.grace_s == 0.0


def test_a_complete_job_is_moved_to_its_end_and_its_listeners_are_told_in_order():
    world = World()
    told = []
    world.writer.set_listeners(
        lambda heartbeat: None, [lambda job: told.append(("first", job.id)), lambda job: told.append(("next", job.id))]
    )
    while world.job.waiting_count:
        place_task(world.state, world.job, world.machine)
    for placement in list(world.job.placements.values()):
        world.state.job_table.complete_task(placement)
    world.writer.after_release(world.job)
    write = world.committer.writes["end", world.job.id]()
    write.on_stored(9)
    assert told == [("first", world.job.id), ("next", world.job.id)]
    assert world.job.id not in world.state.job_table.jobs
