"""The runs of a day as a history, for `meadowcross estimates replay --history`.

`python3 -m benchmarks.history LOG > FILE`: LOG as for `benchmarks.bounds`. One JSON line a run, in the
order of their ends.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator

import msgspec

from benchmarks.day import Day, read
from meadowcross.estimates.history import Outcome, Run

OUTCOMES: dict[str, Outcome] = {"done": "done", "stopped": "stopped", "error": "error", "mates_gone": "mates_gone"}
LEAST_S = 0.01


def runs(day: Day) -> Iterator[Run]:
    """What ran and was seen to begin; whatever else ended a run lost it."""
    ended = [(run.ended, job, run) for job in day.jobs.values() for run in job.runs if run.began is not None]
    for _, job, run in sorted(ended, key=lambda one: one[0]):
        machine = day.machines.get(run.machine)
        yield Run(
            job.job_class,
            max(LEAST_S, round(run.seconds, 3)),
            job.estimate_s,
            OUTCOMES.get(run.why, "lost"),
            job.team,
            machine.kind[0] if machine else "",
            job.name,
            run.machine,
            job.cpus,
            0.0,
            job.memory_gb,
        )


def main(arguments: list[str]) -> int:
    options = argparse.ArgumentParser(prog="benchmarks.history", description="The runs of a day as a history.")
    options.add_argument("log", metavar="LOG")
    given = options.parse_args(arguments)
    try:
        with open(given.log, encoding="utf-8", errors="replace") as file:
            day = read(file)
    except OSError as error:
        print(f"{given.log}: can't be read: {error.strerror}", file=sys.stderr)
        return 2
    for run in runs(day):
        sys.stdout.write(msgspec.json.encode(run).decode() + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
