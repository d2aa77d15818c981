"""Measures what a leader's work costs by the number of machines.

`python3 -m benchmarks.cost [--sizes 50,500] [--json]` builds a leader's term for each size, in a process of its own,
with simulated services on a fake clock, all machines running and jobs waiting. It measures the processor time of single
operations, without that of the simulated services. The figures are for a whole core of this machine; for a
deployment that has a share of a core, divide them by the share. `--job-tasks` measures the steps for one job by its
tasks instead (`benchmarks/job_cost.py`).
"""

from __future__ import annotations

import argparse
import json
import logging
import subprocess
import sys

from benchmarks import job_cost
from benchmarks.fleet_cost import FleetMeasurement

SIZES = (50, 125, 250, 500, 1000, 2000)

HEADINGS = {
    "machines": "machines",
    "report_us": "report, nothing changed (µs)",
    "report_p99_us": "the same, 99th of 100",
    "changed_us": "report, one task ended (µs)",
    "pass_1_us": "pass that places 1 task (µs)",
    "pass_10_us": "pass that places 10 (µs)",
    "idle_pass_us": "pass that finds no room (µs)",
    "tick_us": "term's tick (µs)",
    "fleet_tick_us": "fleet's tick with sizing (µs)",
    "takeover_ms": "takeover to the first placement (ms)",
    "memory_mb": "memory over an empty term (MB)",
    "requests": "store requests a task",
    "changes": "store changes a task",
}


def build_parser() -> argparse.ArgumentParser:
    """The parser of the command line."""
    parser = argparse.ArgumentParser(prog="python3 -m benchmarks.cost", description="A leader's costs against size.")
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)), help="numbers of machines, at least 50 each")
    parser.add_argument("--job-tasks", help="numbers of tasks of one job: measures the steps for it instead")
    parser.add_argument("--machines", type=int, default=200, help="machines for --job-tasks")
    parser.add_argument("--json", action="store_true", help="one object a size instead of a table")
    parser.add_argument("--here", action="store_true", help="in this process: the first size only, for profiling")
    return parser


def main(arguments: list[str]) -> int:
    """Prints a row for each size; returns 0, or 2 if the sizes can't be used."""
    options = build_parser().parse_args(arguments)
    try:
        sizes = [int(size) for size in options.sizes.split(",")]
        job_tasks = [int(tasks) for tasks in options.job_tasks.split(",")] if options.job_tasks else []
    except ValueError:
        print("benchmarks.cost: --sizes and --job-tasks take whole numbers", file=sys.stderr)
        return 2
    if job_tasks:
        job_cost.print_table(job_tasks, options.machines)
        return 0
    if min(sizes) < 50:
        print("benchmarks.cost: --sizes are at least 50", file=sys.stderr)
        return 2
    if options.here:
        print(json.dumps(FleetMeasurement(sizes[0]).run()))
        # Coroutines that are closed when the interpreter exits would log errors of no interest.
        logging.disable()
        return 0
    rows = []
    for size in sizes:
        command = [sys.executable, "-m", "benchmarks.cost", "--here", "--sizes", str(size)]
        rows.append(json.loads(subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout))
        if options.json:
            print(json.dumps(rows[-1]), flush=True)
    if not options.json:
        print("| " + " | ".join(HEADINGS.values()) + " |")
        print("| " + " | ".join("---" for _ in HEADINGS) + " |")
        for row in rows:
            print("| " + " | ".join(f"{row[key]:.4g}" for key in HEADINGS) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
