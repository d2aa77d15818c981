"""Measures how a cluster recovered from a failure: `python3 -m benchmarks.recovery LOG --at SECONDS [--json]`.

Reads a day's log (see `benchmarks.day`) and measures the time after the failure: the longest span in which no task
started although some waited, how many running tasks were lost, and the time until nine tenths of the CPUs that were in
use before the failure were in use again.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict, dataclass

from benchmarks.day import Day, read_day

STEP_S = 0.5
"""Time between two samples of the CPUs in use."""
RECOVERED_SHARE = 0.9
WINDOW_S = 120.0
"""Only this long after the failure is measured: at the end of a day, starts are far apart without a failure."""


@dataclass(slots=True)
class Recovery:
    """The measured figures; the field names are the keys of the JSON output."""

    at_s: float
    cpus_before: float
    least_cpus: float
    tasks_lost: int
    """Attempts that were lost within a minute after the failure; stopped attempts are not counted."""
    no_start_s: float
    """The longest span in the window in which no task started although some task waited."""
    again_s: float | None
    """Time until nine tenths of the CPUs were in use again; None if not in the window, or if work ran out."""


def cpus_in_use(day: Day, at: float) -> float:
    """The CPUs of all tasks that ran at this second of the day."""
    return sum(
        job.cpus
        for job in day.jobs.values()
        for attempt in job.attempts
        if attempt.started_at is not None and attempt.started_at <= at < attempt.ended_at
    )


def has_waiting_task(day: Day, at: float) -> bool:
    """Whether some open job had a task that neither ran nor was done."""
    for job in day.jobs.values():
        if job.submitted_at <= at and (job.ended_at is None or at < job.ended_at):
            started_count = sum(
                1
                for attempt in job.attempts
                if attempt.started_at is not None
                and attempt.started_at <= at
                and (attempt.outcome == "done" or at < attempt.ended_at)
            )
            if started_count < job.tasks:
                return True
    return False


def measure_recovery(day: Day, at: float) -> Recovery:
    """The figures of the time after a failure at this second of the day."""
    until = min(day.ends_at, at + WINDOW_S)
    starts = sorted(
        attempt.started_at
        for job in day.jobs.values()
        for attempt in job.attempts
        if attempt.started_at is not None and at <= attempt.started_at < until
    )
    longest_gap_s, previous_at = 0.0, at
    for started_at in [*starts, until]:
        if started_at - previous_at > longest_gap_s and has_waiting_task(day, previous_at + 0.01):
            longest_gap_s = started_at - previous_at
        previous_at = started_at
    cpus_before = cpus_in_use(day, at)
    lost_count = sum(
        1
        for job in day.jobs.values()
        for attempt in job.attempts
        if at <= attempt.ended_at <= at + 60.0 and attempt.outcome not in ("done", "stopped")
    )
    # The CPUs in use change with each log line; samples are exact enough for a limit of nine tenths.
    least_cpus, recovered_after_s = cpus_before, None
    has_dropped = False
    sample_at = at
    while sample_at < until:
        cpus = cpus_in_use(day, sample_at)
        least_cpus = min(least_cpus, cpus)
        has_dropped = has_dropped or cpus < RECOVERED_SHARE * cpus_before
        if has_dropped and cpus >= RECOVERED_SHARE * cpus_before:
            recovered_after_s = sample_at - at
            break
        if not has_dropped and sample_at > at + 60.0:
            recovered_after_s = 0.0
            break
        sample_at += STEP_S
    return Recovery(at, cpus_before, least_cpus, lost_count, longest_gap_s, recovered_after_s)


def build_parser() -> argparse.ArgumentParser:
    """The parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python3 -m benchmarks.recovery", description="How a cluster recovered from a failure."
    )
    parser.add_argument("log", metavar="LOG", help="the nodes' logs of the day, level debug, each line with its time")
    parser.add_argument("--at", type=float, required=True, metavar="SECONDS", help="when the failure began")
    parser.add_argument("--json", action="store_true", help="an object instead of a line")
    return parser


def main(arguments: list[str]) -> int:
    """Prints the figures; returns 0, or 2 if the log can't be used."""
    options = build_parser().parse_args(arguments)
    try:
        with open(options.log, encoding="utf-8", errors="replace") as file:
            day = read_day(file)
    except OSError as error:
        print(f"benchmarks.recovery: {error}", file=sys.stderr)
        return 2
    if not day.jobs or not 0 <= options.at <= day.ends_at:
        print(f"benchmarks.recovery: {options.log}: no job, or no second {options.at:g} in it", file=sys.stderr)
        return 2
    recovery = measure_recovery(day, options.at)
    if options.json:
        print(json.dumps(asdict(recovery)))
    else:
        again = "not again" if recovery.again_s is None else f"again after {recovery.again_s:.1f} s"
        print(
            f"{recovery.cpus_before:.0f} CPUs in use, {recovery.least_cpus:.0f} at the least, "
            f"{RECOVERED_SHARE:.0%} {again}; "
            f"{recovery.tasks_lost} tasks lost; no start for {recovery.no_start_s:.1f} s"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
