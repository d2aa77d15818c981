"""A quarantine ends by time and trials, also where no other machine can show who is at fault."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.types import Attempt, Instant, Revision, TaskId, WallTime
from meadowcross.jobs.job_table import JobTable, Placement, PlacementPhase
from meadowcross.jobs.messages import JobRecord, decode_spec
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.quarantine import FIRST_MACHINE_PAUSE_S, MAX_TRIAL_S, Quarantine
from tests.support.world import job

MACHINE = "i-1"
LONGEST_WAIT_S = 90.0
"""Users' limit for a job that waits beside a machine with capacity."""


class Tracked:
    """A failure tracker with jobs whose tasks run on one machine."""

    def __init__(self) -> None:
        self.job_table, self.tracker, self.now = JobTable(), FailureTracker(lambda _machine: True), 100.0

    def add_job(self, number):
        spec = decode_spec(msgspec.json.encode(job(id=f"wk-{number:06d}", heads=50)))
        return self.job_table.add(JobRecord(spec, WallTime(0.0)), Revision(1))

    def start(self, tracked_job, machine=MACHINE, is_trial=False):
        placement = self.job_table.place(tracked_job, tracked_job.pop_waiting_task(), machine, self.now)
        if is_trial:
            assert self.tracker.list_machines_for_trial(self.now) == [machine]
            self.tracker.begin_trial(tracked_job, placement)
        placement.phase, placement.running_at = PlacementPhase.RUNNING, self.now
        return placement

    def fail(self, tracked_job, placement, after_s=0.5):
        self.now += after_s
        self.job_table.release(placement)
        return self.tracker.record_failure(tracked_job, placement, self.now)

    def complete(self, tracked_job, placement, after_s=0.5):
        self.now += after_s
        self.job_table.complete_task(placement)
        return self.tracker.record_success(tracked_job, placement)

    def wait_for_trial(self):
        """The seconds until a job may be placed on the machine; fails after the users' limit."""
        began_at = self.now
        while not self.tracker.list_machines_for_trial(self.now):
            self.now += 0.5
            assert self.now - began_at < LONGEST_WAIT_S
        return self.now - began_at


def test_job_of_the_only_machine_is_tried_again_there_and_ends_the_quarantine():
    """Guards against a quarantine that only another machine can end: review/3, a job waited for ever."""
    tracked = Tracked()
    failed_job = tracked.add_job(1)
    tracked.fail(failed_job, tracked.start(failed_job))
    assert tracked.tracker.is_quarantined(MACHINE) and not tracked.tracker.list_machines_for_trial(tracked.now)
    tracked.wait_for_trial()
    assert tracked.complete(failed_job, tracked.start(failed_job, is_trial=True)) == []
    assert not tracked.tracker.is_quarantined(MACHINE) and not failed_job.is_probing


def test_machine_that_fails_every_trial_costs_few_attempts():
    tracked = Tracked()
    jobs = [tracked.add_job(number) for number in range(1, 40)]
    tracked.fail(jobs[0], tracked.start(jobs[0]))
    attempts, began_at = 0, tracked.now
    for tried_job in jobs[1:]:
        if tracked.now - began_at > 600.0:
            break
        tracked.wait_for_trial()
        assert tracked.fail(tried_job, tracked.start(tried_job, is_trial=True)) == []
        attempts += 1
    assert attempts <= 2 + 600 / 30, "at most one attempt in half a minute, after the first pauses"


def test_open_trial_excludes_a_second_one():
    tracked = Tracked()
    failed_job, other_job = tracked.add_job(1), tracked.add_job(2)
    tracked.fail(failed_job, tracked.start(failed_job))
    tracked.wait_for_trial()
    placement = tracked.start(other_job, is_trial=True)
    assert not tracked.tracker.list_machines_for_trial(tracked.now)
    # A trial that was stopped or lost shows nothing, and makes place for another one.
    tracked.job_table.release(placement)
    assert tracked.tracker.list_machines_for_trial(tracked.now) == [MACHINE]


TRIAL_ENDS = [
    # name, seconds that the failed task ran, seconds after which the running trial must have ended the quarantine
    ("soon after a quick failure", 0.5, 2.5),
    ("at the limit after a slow failure", 500.0, MAX_TRIAL_S + 0.5),
]


@pytest.mark.parametrize(
    ("failed_after_s", "within_s"), [case[1:] for case in TRIAL_ENDS], ids=[case[0] for case in TRIAL_ENDS]
)
def test_trial_that_outlives_the_failure_ends_the_quarantine(failed_after_s, within_s):
    tracked = Tracked()
    failed_job, other_job = tracked.add_job(1), tracked.add_job(2)
    tracked.fail(failed_job, tracked.start(failed_job), failed_after_s)
    tracked.wait_for_trial()
    tracked.start(other_job, is_trial=True)
    assert tracked.tracker.find_faulty_machines(tracked.now + 0.5) == []
    assert tracked.tracker.is_quarantined(MACHINE)
    assert tracked.tracker.find_faulty_machines(tracked.now + within_s) == []
    assert not tracked.tracker.is_quarantined(MACHINE)


def test_trial_that_does_not_run_lets_another_job_have_a_trial():
    """Guards against a machine that waits for a slow image, or for a gang, while other jobs could run there."""
    tracked = Tracked()
    failed_job, other_job = tracked.add_job(1), tracked.add_job(2)
    tracked.fail(failed_job, tracked.start(failed_job))
    tracked.wait_for_trial()
    placement = tracked.start(other_job, is_trial=True)
    placement.phase, placement.running_at = PlacementPhase.FETCHING, None
    assert tracked.wait_for_trial() <= MAX_TRIAL_S


def test_task_that_ran_before_the_failure_proves_nothing():
    tracked = Tracked()
    old_job, failed_job = tracked.add_job(1), tracked.add_job(2)
    old_placement = tracked.start(old_job)
    tracked.now += 10.0
    tracked.fail(failed_job, tracked.start(failed_job))
    tracked.complete(old_job, old_placement)
    assert tracked.tracker.is_quarantined(MACHINE)


def test_task_that_an_earlier_leader_started_proves_nothing():
    quarantine = Quarantine(MACHINE, last_failed_at=Instant(50.0))
    inherited = Placement(TaskId("wk-000001", 0), Attempt(1), MACHINE, PlacementPhase.INHERITED, Instant(40.0))
    inherited.running_at = Instant(60.0)
    assert not quarantine.is_disproved_by(inherited)


def test_tasks_that_fail_during_the_pause_do_not_make_it_longer():
    tracked = Tracked()
    failed_job = tracked.add_job(1)
    placements = [tracked.start(failed_job) for _ in range(20)]
    for placement in placements:
        tracked.fail(failed_job, placement, 0.1)
    assert tracked.wait_for_trial() <= FIRST_MACHINE_PAUSE_S


def test_job_that_fails_where_another_one_runs_is_paused_and_takes_the_machine_no_more():
    """Guards the other side: a faulty job must not keep the only machine from the jobs that run well there."""
    tracked = Tracked()
    faulty_job, healthy_job = tracked.add_job(1), tracked.add_job(2)
    tracked.fail(faulty_job, tracked.start(faulty_job))
    tracked.wait_for_trial()
    assert tracked.complete(healthy_job, tracked.start(healthy_job, is_trial=True)) == []
    assert not tracked.tracker.is_quarantined(MACHINE)
    for _ in range(5):
        assert tracked.fail(faulty_job, tracked.start(faulty_job)) == []
        assert not tracked.tracker.is_quarantined(MACHINE) and faulty_job.paused_until > tracked.now
        tracked.now = faulty_job.paused_until
    # Once it runs, it counts as any other job.
    tracked.complete(faulty_job, tracked.start(faulty_job))
    tracked.fail(faulty_job, tracked.start(faulty_job))
    assert faulty_job.paused_until <= tracked.now


def test_job_that_failed_before_another_one_ran_is_cleared_by_its_own_running_task():
    """Guards against an array that is held at one task at a time until that task completes, however long it runs."""
    tracked = Tracked()
    failed_job, other_job = tracked.add_job(1), tracked.add_job(2)
    tracked.fail(failed_job, tracked.start(failed_job))
    tracked.wait_for_trial()
    tracked.complete(other_job, tracked.start(other_job, is_trial=True))
    tracked.start(failed_job)
    assert failed_job.is_probing
    assert tracked.tracker.find_faulty_machines(tracked.now + 5.0) == []
    assert not failed_job.is_probing


def test_job_that_runs_elsewhere_still_shows_its_machine_to_be_faulty():
    tracked = Tracked()
    failed_job = tracked.add_job(1)
    tracked.fail(failed_job, tracked.start(failed_job))
    assert tracked.complete(failed_job, tracked.start(failed_job, "i-2")) == [MACHINE]


def test_quarantine_ends_by_time_under_the_next_leader_too():
    """Guards against hints that pass on a quarantine which nothing ends."""
    tracked = Tracked()
    failed_job = tracked.add_job(1)
    tracked.fail(failed_job, tracked.start(failed_job))
    hints = tracked.tracker.export_hints(Instant(tracked.now))
    tracked.tracker = FailureTracker(lambda _machine: True)
    tracked.tracker.apply_hints(hints.failed_jobs, hints.job_pauses, tracked.job_table.jobs, Instant(tracked.now))
    assert tracked.tracker.is_quarantined(MACHINE)
    assert tracked.wait_for_trial() <= FIRST_MACHINE_PAUSE_S
    tracked.complete(failed_job, tracked.start(failed_job, is_trial=True))
    assert not tracked.tracker.is_quarantined(MACHINE)
