"""Computes the share of jobs served, by class and by team: `python3 -m benchmarks.served REPORT [LOG] [--json]`.

REPORT is the JSON report of a load test: under `classes`, by name, `jobs`, `done` and `cancelled`; under `teams`,
`jobs` and `started`. A share is of the jobs that their users did not cancel; a service counts once it has started. With
LOG (see `benchmarks.day`), the shares of each class's largest jobs are added, and discarded starts are counted by class
and reason: attempts that were stopped or lost within 30 s, or before they ran. Exit status 1 if any share is less than
half.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter

import msgspec
from msgspec import Struct

from benchmarks.day import Day, DayJob, read_day

MIN_SHARE = 0.5
DISCARDED_WITHIN_S = 30.0
START_WITHIN_S = 240.0
LARGEST_SHARE = 0.1
"""The share of a class's jobs that count as its largest, by tasks and then by CPUs; at least one job."""


class ClassReport(Struct):
    """Counts of one class's jobs, as in the report."""

    jobs: int
    done: int
    cancelled: int = 0
    tasks: int = 0
    started: int = 0
    up: float | None = None
    """The share of replica time in which a service ran; None for other kinds of jobs."""


class TeamReport(Struct):
    """Counts of one team's jobs, as in the report."""

    jobs: int
    started: int


class Report(Struct):
    """The part of a load test's report that is read here."""

    classes: dict[str, ClassReport]
    teams: dict[str, TeamReport]


def served_shares(report: Report) -> dict[str, float]:
    """For each class the share of its jobs that were done, for each team the share of its jobs that started."""
    shares = {
        f"class {name}": min(1.0, counts.done / max(1, counts.jobs - counts.cancelled))
        if counts.up is None
        else counts.started / max(1, counts.jobs)
        for name, counts in report.classes.items()
    }
    shares.update((f"team {name}", counts.started / max(1, counts.jobs)) for name, counts in report.teams.items())
    return shares


def largest_job_shares(day: Day) -> dict[str, float]:
    """For each class, two shares of its largest jobs that were not cancelled.

    The share that was done (for a service: all tasks ran), and the share of which a task ran within four minutes of the
    submission.
    """
    classes: dict[str, list[DayJob]] = {}
    for job in day.jobs.values():
        if job.state != "cancelled" or job.is_service:
            classes.setdefault(job.job_class, []).append(job)
    shares = {}
    for name, jobs in sorted(classes.items()):
        jobs.sort(key=lambda job: (-job.tasks, -job.cpus, job.name))
        largest = jobs[: max(1, round(LARGEST_SHARE * len(jobs)))]
        done_count = sum(
            1 for job in largest if job.state == "done" or (job.is_service and len(job.first_started_at) == job.tasks)
        )
        started_count = sum(
            1
            for job in largest
            if job.first_started_at and min(job.first_started_at.values()) - job.submitted_at <= START_WITHIN_S
        )
        shares[f"largest of {name}, done"] = done_count / len(largest)
        shares[f"largest of {name}, begun within {START_WITHIN_S:.0f} s"] = started_count / len(largest)
    return shares


def count_discarded_starts(day: Day) -> dict[str, int]:
    """Counts of attempts that were stopped or lost within DISCARDED_WITHIN_S, by class and reason, highest first."""
    counts: Counter[str] = Counter()
    for job in day.jobs.values():
        for attempt in job.attempts:
            if attempt.outcome != "done" and attempt.run_time_s < DISCARDED_WITHIN_S:
                counts[
                    f"{job.job_class}: {attempt.outcome}{'' if attempt.started_at is not None else ', before it ran'}"
                ] += 1
    return dict(counts.most_common())


def main(arguments: list[str]) -> int:
    """Prints the shares; returns 0, 1 if a share is less than MIN_SHARE, or 2 if an input can't be used."""
    parser = argparse.ArgumentParser(prog="python3 -m benchmarks.served", description="What a day served.")
    parser.add_argument("report", metavar="REPORT", help="the report of a run (JSON)")
    parser.add_argument("log", metavar="LOG", nargs="?", help="the nodes' logs of the day, level debug")
    parser.add_argument("--json", action="store_true", help="an object instead of tables")
    options = parser.parse_args(arguments)
    try:
        with open(options.report, "rb") as file:
            shares = served_shares(msgspec.json.decode(file.read(), type=Report))
        discarded = {}
        if options.log is not None:
            with open(options.log, encoding="utf-8", errors="replace") as log:
                day = read_day(log)
            discarded = count_discarded_starts(day)
            shares.update(largest_job_shares(day))
    except OSError as error:
        print(f"benchmarks.served: {error.filename}: can't be read: {error.strerror}", file=sys.stderr)
        return 2
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        print(f"benchmarks.served: {options.report}: {error}", file=sys.stderr)
        return 2
    if options.json:
        print(json.dumps({"served": shares, "thrown_away": discarded}))
    else:
        print("| served | share |\n| --- | --- |")
        print("\n".join(f"| {name} | {share:.3f} |" for name, share in shares.items()))
        if discarded:
            print("\n| starts thrown away within 30 s | count |\n| --- | --- |")
            print("\n".join(f"| {name} | {count} |" for name, count in discarded.items()))
    return int(any(share < MIN_SHARE for share in shares.values()))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
