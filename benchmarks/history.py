"""Writes the runs of a day as a history for `meadowcross estimates replay --history`.

`python3 -m benchmarks.history LOG > FILE`: LOG as for `benchmarks.bounds`. One JSON line for each run, in the order in
which they ended.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator

import msgspec

from benchmarks.day import Day, read_day
from meadowcross.estimates.history import Outcome, Run

OUTCOMES: dict[str, Outcome] = {"done": "done", "stopped": "stopped", "error": "error", "mates_gone": "mates_gone"}
MIN_RUN_TIME_S = 0.01
"""Shorter runs are written with this run time."""


def runs_of_day(day: Day) -> Iterator[Run]:
    """All attempts whose start was logged, in the order of their ends; an outcome not in OUTCOMES counts as lost."""
    ended = [
        (attempt.ended_at, job, attempt)
        for job in day.jobs.values()
        for attempt in job.attempts
        if attempt.started_at is not None
    ]
    for _, job, attempt in sorted(ended, key=lambda item: item[0]):
        machine = day.machines.get(attempt.machine)
        yield Run(
            job.job_class,
            max(MIN_RUN_TIME_S, round(attempt.run_time_s, 3)),
            job.estimate_s,
            OUTCOMES.get(attempt.outcome, "lost"),
            job.team,
            machine.kind[0] if machine else "",
            job.name,
            attempt.machine,
            job.cpus,
            0.0,
            job.memory_gb,
        )


def main(arguments: list[str]) -> int:
    """Writes the history to stdout; returns 0, or 2 if the log can't be read."""
    parser = argparse.ArgumentParser(prog="benchmarks.history", description="The runs of a day as a history.")
    parser.add_argument("log", metavar="LOG")
    options = parser.parse_args(arguments)
    try:
        with open(options.log, encoding="utf-8", errors="replace") as file:
            day = read_day(file)
    except OSError as error:
        print(f"{options.log}: can't be read: {error.strerror}", file=sys.stderr)
        return 2
    for run in runs_of_day(day):
        sys.stdout.write(msgspec.json.encode(run).decode() + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
