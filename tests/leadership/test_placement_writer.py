"""Placements from their decision to their release, with a committer that only records writes."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from meadowcross.common.types import WallTime
from meadowcross.jobs.job_table import PlacementPhase
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.placement_writer import CommandTransport, PlacementWriter
from tests.support.terms import add_job, add_machine, build_state, place_task


class RecordingCommitter:
    """Keeps the queued write factories by write id."""

    def __init__(self):
        self.writes = {}

    def enqueue(self, write_id, build, urgent):
        self.writes[write_id] = build


class WriterFixture:
    """A placement writer, and one job with one placement that is not stored yet."""

    def __init__(self):
        self.state = build_state(Clock())
        self.committer = RecordingCommitter()
        self.trigger = PassTrigger(self.state.context, self.state.lifecycle)
        transport = CommandTransport(lambda machine, body: None, lambda: 1)
        self.writer = PlacementWriter(self.state, self.committer, 24, transport, self.trigger)
        self.job = add_job(self.state)
        self.machine = add_machine(self.state)
        self.placement = place_task(self.state, self.job, self.machine)


def test_placement_may_start_once_it_is_stored():
    fixture = WriterFixture()
    assert not fixture.writer.may_start(fixture.placement)
    fixture.writer.on_placement_stored(fixture.placement)
    assert fixture.placement.phase is PlacementPhase.STORED and fixture.writer.may_start(fixture.placement)


@pytest.mark.parametrize("change", ["cancelled", "term ended", "released"])
def test_stored_placement_never_starts_after_a_change(change):
    fixture = WriterFixture()
    fixture.writer.on_placement_stored(fixture.placement)
    if change == "cancelled":
        fixture.job.cancelled_at = WallTime(1.0)
    elif change == "term ended":
        fixture.state.lifecycle.is_stopped = True
    else:
        fixture.state.job_table.release(fixture.placement)
    assert not fixture.writer.may_start(fixture.placement)


def test_start_that_was_not_sent_requeues_its_task():
    fixture = WriterFixture()
    waiting_count = fixture.job.waiting_count
    fixture.writer.on_start_not_sent(fixture.placement)
    assert fixture.job.waiting_count == waiting_count + 1 and fixture.machine.placements == {}
    assert fixture.trigger.is_scheduled and any(write_id[0] == "chunk" for write_id in fixture.committer.writes)


def test_start_that_may_have_been_sent_keeps_its_placement():
    fixture = WriterFixture()
    fixture.placement.phase = PlacementPhase.SENT
    fixture.writer.on_start_not_sent(fixture.placement)
    assert fixture.machine.placements == {fixture.placement.task: fixture.placement}


def test_shorter_grace_time_replaces_a_longer_one():
    fixture = WriterFixture()
    fixture.writer.stop_task(fixture.placement, 10.0)
    fixture.writer.stop_task(fixture.placement, 20.0)
    assert fixture.placement.grace_s == 10.0
    fixture.writer.stop_task(fixture.placement, 0.0)
    assert fixture.placement.grace_s == 0.0


def test_completed_job_is_stored_as_ended_and_its_listeners_are_called_in_order():
    fixture = WriterFixture()
    notified = []
    fixture.writer.set_listeners(
        lambda heartbeat: None,
        [lambda job: notified.append(("first", job.id)), lambda job: notified.append(("next", job.id))],
    )
    while fixture.job.waiting_count:
        place_task(fixture.state, fixture.job, fixture.machine)
    for placement in list(fixture.job.placements.values()):
        fixture.state.job_table.complete_task(placement)
    fixture.writer.after_release(fixture.job)
    write = fixture.committer.writes["end", fixture.job.id]()
    write.on_stored(9)
    assert notified == [("first", fixture.job.id), ("next", fixture.job.id)]
    assert fixture.job.id not in fixture.state.job_table.jobs
