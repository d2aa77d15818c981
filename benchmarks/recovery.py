"""How a day came back from a blow: `python3 -m benchmarks.recovery LOG --at SECONDS [--json]`.

Reads a day's log (see `benchmarks.day`) and tells of the time after the blow: the longest span in which no
task began to run although some waited, how much of what ran before was lost, and how long until nine
tenths of as many CPUs were in use again.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict, dataclass

from benchmarks.day import Day, read

STEP_S = 0.5
AGAIN = 0.9
WINDOW_S = 120.0
"""What comes later is another matter: at a day's end starts are far apart by themselves."""


@dataclass(slots=True)
class Recovery:
    at_s: float
    cpus_before: float
    least_cpus: float
    tasks_lost: int
    """Attempts that ended without being done within a minute of the blow, stops left out."""
    no_start_s: float
    """The longest span in the window in which nothing began to run and something waited."""
    again_s: float | None
    """Until nine tenths of the CPUs were in use again; None: not within the window, or work ran out."""


def cpus_in_use(day: Day, at: float) -> float:
    return sum(
        job.cpus
        for job in day.jobs.values()
        for run in job.runs
        if run.began is not None and run.began <= at < run.ended
    )


def waits(day: Day, at: float) -> bool:
    """Whether some job had a task that neither ran nor was done."""
    for job in day.jobs.values():
        if job.submitted <= at and (job.ended is None or at < job.ended):
            ran = sum(
                1
                for run in job.runs
                if run.began is not None and run.began <= at and (run.why == "done" or at < run.ended)
            )
            if ran < job.tasks:
                return True
    return False


def recovery(day: Day, at: float) -> Recovery:
    until = min(day.ends, at + WINDOW_S)
    starts = sorted(
        run.began for job in day.jobs.values() for run in job.runs if run.began is not None and at <= run.began < until
    )
    longest, before = 0.0, at
    for began in [*starts, until]:
        if began - before > longest and waits(day, before + 0.01):
            longest = began - before
        before = began
    cpus = cpus_in_use(day, at)
    lost = sum(
        1
        for job in day.jobs.values()
        for run in job.runs
        if at <= run.ended <= at + 60.0 and run.why not in ("done", "stopped")
    )
    # In use as each log line changes it; sampled, since only nine tenths of it are asked for.
    least, again = cpus, None
    fell = False
    moment = at
    while moment < until:
        now = cpus_in_use(day, moment)
        least = min(least, now)
        fell = fell or now < AGAIN * cpus
        if fell and now >= AGAIN * cpus:
            again = moment - at
            break
        if not fell and moment > at + 60.0:
            again = 0.0
            break
        moment += STEP_S
    return Recovery(at, cpus, least, lost, longest, again)


def parser() -> argparse.ArgumentParser:
    options = argparse.ArgumentParser(prog="python3 -m benchmarks.recovery", description="How a day came back.")
    options.add_argument("log", metavar="LOG", help="the nodes' logs of the day, level debug, each line with its time")
    options.add_argument("--at", type=float, required=True, metavar="SECONDS", help="when the blow fell")
    options.add_argument("--json", action="store_true", help="an object instead of a line")
    return options


def main(arguments: list[str]) -> int:
    options = parser().parse_args(arguments)
    try:
        with open(options.log, encoding="utf-8", errors="replace") as file:
            day = read(file)
    except OSError as error:
        print(f"benchmarks.recovery: {error}", file=sys.stderr)
        return 2
    if not day.jobs or not 0 <= options.at <= day.ends:
        print(f"benchmarks.recovery: {options.log}: no job, or no second {options.at:g} in it", file=sys.stderr)
        return 2
    found = recovery(day, options.at)
    if options.json:
        print(json.dumps(asdict(found)))
    else:
        again = "not again" if found.again_s is None else f"again after {found.again_s:.1f} s"
        print(
            f"{found.cpus_before:.0f} CPUs in use, {found.least_cpus:.0f} at the least, {AGAIN:.0%} {again}; "
            f"{found.tasks_lost} tasks lost; no start for {found.no_start_s:.1f} s"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
