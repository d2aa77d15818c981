"""What a day served, by class and by team: `python3 -m benchmarks.served REPORT [LOG] [--json]`.

REPORT is the JSON that the bench writes of a run: under `classes`, by name, `jobs`, `done` and `cancelled`; under
`teams`, `jobs` and `started`. A share is of the jobs that their users did not cancel; services count once started. With
LOG (see `benchmarks.day`) it also tells how each class's largest jobs fared, and counts starts thrown away: stopped or
lost within 30 s, or before they ran, by class and by why. Exit status 1 if any share is less than half.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter

import msgspec
from msgspec import Struct

from benchmarks.day import Day, DayJob, read

HALF = 0.5
SOON_S = 30.0
BEGIN_S = 240.0
LARGEST = 0.1
"""The share of a class's jobs, those with most tasks and then most CPUs, at least one, that count as its largest."""


class ClassReport(Struct):
    jobs: int
    done: int
    cancelled: int = 0
    tasks: int = 0
    started: int = 0
    up: float | None = None
    """Of a service only: the share of replica time."""


class TeamReport(Struct):
    jobs: int
    started: int


class Report(Struct):
    classes: dict[str, ClassReport]
    teams: dict[str, TeamReport]


def shares(report: Report) -> dict[str, float]:
    """By class the share done, by team the share of which some task started."""
    found = {
        f"class {name}": min(1.0, one.done / max(1, one.jobs - one.cancelled))
        if one.up is None
        else one.started / max(1, one.jobs)
        for name, one in report.classes.items()
    }
    found.update((f"team {name}", one.started / max(1, one.jobs)) for name, one in report.teams.items())
    return found


def largest(day: Day) -> dict[str, float]:
    """By class, of its largest jobs that were not cancelled: the share done (of services, whose tasks all ran), and the
    share of which a task ran within four minutes of the submission."""
    classes: dict[str, list[DayJob]] = {}
    for job in day.jobs.values():
        if job.standing != "cancelled" or job.endless:
            classes.setdefault(job.job_class, []).append(job)
    found = {}
    for name, jobs in sorted(classes.items()):
        jobs.sort(key=lambda job: (-job.tasks, -job.cpus, job.name))
        some = jobs[: max(1, round(LARGEST * len(jobs)))]
        done = sum(1 for job in some if job.standing == "done" or (job.endless and len(job.began) == job.tasks))
        begun = sum(1 for job in some if job.began and min(job.began.values()) - job.submitted <= BEGIN_S)
        found[f"largest of {name}, done"] = done / len(some)
        found[f"largest of {name}, begun within {BEGIN_S:.0f} s"] = begun / len(some)
    return found


def thrown_away(day: Day) -> dict[str, int]:
    """Starts that came to nothing within a short time, and what their machine or their stop said."""
    counts: Counter[str] = Counter()
    for job in day.jobs.values():
        for run in job.runs:
            if run.why != "done" and run.seconds < SOON_S:
                counts[f"{job.job_class}: {run.why}{'' if run.began is not None else ', before it ran'}"] += 1
    return dict(counts.most_common())


def main(arguments: list[str]) -> int:
    options = argparse.ArgumentParser(prog="python3 -m benchmarks.served", description="What a day served.")
    options.add_argument("report", metavar="REPORT", help="the report of a run (JSON)")
    options.add_argument("log", metavar="LOG", nargs="?", help="the nodes' logs of the day, level debug")
    options.add_argument("--json", action="store_true", help="an object instead of tables")
    given = options.parse_args(arguments)
    try:
        with open(given.report, "rb") as file:
            found = shares(msgspec.json.decode(file.read(), type=Report))
        lost = {}
        if given.log is not None:
            with open(given.log, encoding="utf-8", errors="replace") as log:
                day = read(log)
            lost = thrown_away(day)
            found.update(largest(day))
    except OSError as error:
        print(f"benchmarks.served: {error.filename}: can't be read: {error.strerror}", file=sys.stderr)
        return 2
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        print(f"benchmarks.served: {given.report}: {error}", file=sys.stderr)
        return 2
    if given.json:
        print(json.dumps({"served": found, "thrown_away": lost}))
    else:
        print("| served | share |\n| --- | --- |")
        print("\n".join(f"| {name} | {share:.3f} |" for name, share in found.items()))
        if lost:
            print("\n| starts thrown away within 30 s | count |\n| --- | --- |")
            print("\n".join(f"| {name} | {count} |" for name, count in lost.items()))
    return int(any(share < HALF for share in found.values()))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
