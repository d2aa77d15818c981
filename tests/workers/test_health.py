"""Failed tasks are attributed to faulty machines, to faulty jobs, or to both."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.types import Revision, WallTime
from meadowcross.jobs.job_table import JobTable, PlacementPhase
from meadowcross.jobs.messages import JobRecord, JobSpec, decode_spec
from meadowcross.workers.health import MAX_PAUSE_S, FailureTracker
from tests.support.world import job

# Each event: kind, job, machine. "start" places a task, which runs 0.1 s later; "fail" and "done" end a task of the job
# on the machine; "wait" passes ten seconds, in which running tasks continue; "end" ends the job.
CASES = [
    # name, events, machines to decommission, quarantined machines, probing jobs
    ("one failure proves nothing", "start a 1, fail a 1", "", "1", "a"),
    (
        "a job fails on one machine and is done on another",
        "start a 1, start a 2, done a 2, fail a 1",
        "1",
        "",
        "",
    ),
    ("a job fails on one machine and runs on another", "start a 1, start a 2, fail a 1, wait", "1", "", ""),
    (
        "two jobs fail on one machine and run on another",
        "start a 1, start b 1, start b 2, start a 2, fail a 1, fail b 1, wait",
        "1",
        "",
        "",
    ),
    ("a job fails on two machines", "start a 1, start a 2, fail a 1, fail a 2", "", "", "a"),
    ("two faulty jobs fail on one healthy machine", "start a 1, start b 1, fail a 1, fail b 1, wait", "", "1", "ab"),
    (
        "two faulty jobs fail on two machines",
        "start a 1, start b 1, fail a 1, fail b 1, start a 2, fail a 2, start b 2, fail b 2",
        "",
        "",
        "ab",
    ),
    (
        "a faulty and a healthy job fail on a faulty machine",
        "start a 1, start b 1, fail a 1, fail b 1, start a 2, fail a 2, start b 2, wait",
        "1",
        "",
        "a",
    ),
    (
        "one success does not make every later failure the machines' fault",
        "start a 1, done a 1, start a 2, start a 3, start a 4, fail a 2, fail a 3, fail a 4",
        "2",
        "",
        "a",
    ),
    (
        "after many successes, later failures are the machines' fault",
        "start a 1, start a 2, start a 3, done a 1, done a 2, done a 3, start a 4, start a 5, fail a 4, fail a 5",
        "45",
        "",
        "",
    ),
    (
        "a healthy job fails on two faulty machines and is then done on a third",
        "start a 1, start a 2, fail a 1, fail a 2, start a 3, done a 3, start a 1, fail a 1",
        "1",
        "",
        "",
    ),
    ("failures of an ended job are dropped", "start a 1, fail a 1, end a 0", "", "", "a"),
]


@pytest.mark.parametrize(
    ("events", "faulty", "quarantined", "probing"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
def test_failures_are_attributed_to_machines_or_jobs(events, faulty, quarantined, probing):
    job_table, tracker, now, decommissioned = JobTable(), FailureTracker(lambda _machine: True), 100.0, set()
    jobs = {}
    for name, number in (("a", 1), ("b", 2)):
        spec: JobSpec = decode_spec(msgspec.json.encode(job(id=f"wk-{number:06d}", heads=50)))
        jobs[name] = job_table.add(JobRecord(spec, WallTime(0.0)), Revision(1))
    for event in events.split(", "):
        kind, name, machine = [*event.split(), "", ""][:3]
        now += 0.2
        if kind == "start":
            placement = job_table.place(jobs[name], jobs[name].pop_waiting_task(), machine, now)
            placement.phase, placement.running_at = PlacementPhase.RUNNING, now + 0.1
        elif kind == "wait":
            now += 10.0
            decommissioned |= set(tracker.find_faulty_machines(now))
        elif kind == "end":
            tracker.forget_job(jobs[name])
        else:
            placement = next(placed for placed in jobs[name].placements.values() if placed.machine == machine)
            if kind == "fail":
                job_table.release(placement)
                decommissioned |= set(tracker.record_failure(jobs[name], placement, now))
            else:
                job_table.complete_task(placement)
                decommissioned |= set(tracker.record_success(jobs[name], placement))
        for deleted_machine in decommissioned:
            tracker.forget_machine(deleted_machine)
    assert "".join(sorted(decommissioned)) == faulty
    assert "".join(machine_id for machine_id in "12345" if tracker.is_quarantined(machine_id)) == quarantined
    assert "".join(job_name for job_name in "ab" if jobs[job_name].is_probing) == probing


def test_pause_of_a_large_failing_array_is_bounded():
    """Guards against a pause that doubles with each failed task, which overflowed a float after 1000 failures."""
    job_table, tracker = JobTable(), FailureTracker(lambda _machine: True)
    spec: JobSpec = decode_spec(msgspec.json.encode(job(heads=3000)))
    faulty_job = job_table.add(JobRecord(spec, WallTime(0.0)), Revision(1))
    placements = [job_table.place(faulty_job, faulty_job.pop_waiting_task(), f"i-{n % 300}", 0.0) for n in range(3000)]
    for n, placement in enumerate(placements):
        job_table.release(placement)
        now = n * 0.001
        assert tracker.record_failure(faulty_job, placement, now) == []
        assert faulty_job.paused_until <= now + MAX_PAUSE_S
    assert faulty_job.is_probing and not any(tracker.is_quarantined(f"i-{n}") for n in range(300))
    # Later failures lengthen the pause, but never beyond the longest pause.
    for n in range(2000):
        tracker.record_failure(faulty_job, placements[0], 100.0 * n)
        assert faulty_job.paused_until <= 100.0 * n + MAX_PAUSE_S
