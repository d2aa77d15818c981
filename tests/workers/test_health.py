"""Who is to blame for failed tasks: machines that fail everything, jobs that fail everywhere, both."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.types import Revision, WallTime
from meadowcross.jobs.job_table import JobTable, PlacementPhase
from meadowcross.jobs.messages import JobRecord, JobSpec, decode_spec
from meadowcross.workers.health import MAX_PAUSE_S, FailureTracker
from tests.support.world import job

# Each event: what happens, job, machine. "start" places a task, which runs a second later; "fail"
# and "done" end one there; "wait" passes ten seconds, and what runs lives on.
CASES = [
    ("one failure says nothing yet", "start a 1, fail a 1", "", "1", "a"),
    (
        "a machine that fails what was done elsewhere",
        "start a 1, start a 2, done a 2, fail a 1",
        "1",
        "",
        "",
    ),
    ("a machine that fails what lives elsewhere", "start a 1, start a 2, fail a 1, wait", "1", "", ""),
    (
        "one that fails two jobs which live elsewhere",
        "start a 1, start b 1, start b 2, start a 2, fail a 1, fail b 1, wait",
        "1",
        "",
        "",
    ),
    ("a job that fails on two machines", "start a 1, start a 2, fail a 1, fail a 2", "", "", "a"),
    ("two faulty jobs that meet on a sound machine", "start a 1, start b 1, fail a 1, fail b 1, wait", "", "1", "ab"),
    (
        "and fail elsewhere too",
        "start a 1, start b 1, fail a 1, fail b 1, start a 2, fail a 2, start b 2, fail b 2",
        "",
        "",
        "ab",
    ),
    (
        "a faulty job and a sound one on a faulty machine",
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
        "many successes do: several machines turned faulty",
        "start a 1, start a 2, start a 3, done a 1, done a 2, done a 3, start a 4, start a 5, fail a 4, fail a 5",
        "45",
        "",
        "",
    ),
    (
        "two faulty machines met a sound job first, which is done elsewhere later",
        "start a 1, start a 2, fail a 1, fail a 2, start a 3, done a 3, start a 1, fail a 1",
        "1",
        "",
        "",
    ),
    ("a job that ended accuses nobody", "start a 1, fail a 1, end a 0", "", "", "a"),
]


@pytest.mark.parametrize(
    ("events", "condemned", "suspect", "faulty"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_verdicts(events, condemned, suspect, faulty):
    book, health, now, blamed = JobTable(), FailureTracker(lambda machine: True), 100.0, set()
    jobs = {}
    for name, number in (("a", 1), ("b", 2)):
        spec: JobSpec = decode_spec(msgspec.json.encode(job(id=f"wk-{number:06d}", heads=50)))
        jobs[name] = book.add(JobRecord(spec, WallTime(0.0)), Revision(1))
    for event in events.split(", "):
        what, name, machine = [*event.split(), "", ""][:3]
        now += 0.2
        if what == "start":
            placement = book.place(jobs[name], jobs[name].pop_waiting_task(), machine, now)
            placement.phase, placement.running_at = PlacementPhase.RUNNING, now + 0.1
        elif what == "wait":
            now += 10.0
            blamed |= set(health.find_faulty_machines(now))
        elif what == "end":
            health.forget_job(jobs[name])
        else:
            placement = next(p for p in jobs[name].placements.values() if p.machine == machine)
            if what == "fail":
                book.release(placement)
                blamed |= set(health.record_failure(jobs[name], placement, now))
            else:
                book.complete_task(placement)
                blamed |= set(health.record_success(jobs[name], machine))
        for machine_to_go in blamed:
            health.forget_machine(machine_to_go)
    assert "".join(sorted(blamed)) == condemned
    assert "".join(m for m in "12345" if health.is_quarantined(m)) == suspect
    assert "".join(n for n in "ab" if jobs[n].is_probing) == faulty


def test_a_large_array_that_fails_everywhere_pauses_no_longer_than_the_longest():
    """More than a thousand failures once made a pause that no float holds."""
    book, health = JobTable(), FailureTracker(lambda machine: True)
    spec: JobSpec = decode_spec(msgspec.json.encode(job(heads=3000)))
    faulty = book.add(JobRecord(spec, WallTime(0.0)), Revision(1))
    placements = [book.place(faulty, faulty.pop_waiting_task(), f"i-{n % 300}", 0.0) for n in range(3000)]
    for n, placement in enumerate(placements):
        book.release(placement)
        now = n * 0.001
        assert health.record_failure(faulty, placement, now) == []
        assert faulty.paused_until <= now + MAX_PAUSE_S
    assert faulty.is_probing and not any(health.is_quarantined(f"i-{n}") for n in range(300))
    # What fails much later pauses longer, but never for more than the longest pause.
    for n in range(2000):
        health.record_failure(faulty, placements[0], 100.0 * n)
        assert faulty.paused_until <= 100.0 * n + MAX_PAUSE_S
