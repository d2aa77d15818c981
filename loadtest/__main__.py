"""The commands `python3 -m loadtest run PLAN.toml`, `report RUN...` and `copy SITE DIRECTORY`."""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path
from typing import TextIO

from msgspec.structs import replace

from loadtest.copies import Growth, write_copy
from loadtest.plan import PlanError, load, stretched

BAR_WIDTH = 30


def parser() -> argparse.ArgumentParser:
    """The options of all commands."""
    options = argparse.ArgumentParser(prog="python3 -m loadtest", description="Scale runs with hollow workers.")
    verbs = options.add_subparsers(dest="verb", required=True)
    run = verbs.add_parser("run", help="play a plan and judge it; exit 1 if a rule broke or it was given up")
    run.add_argument("plan", metavar="PLAN", help="a plan (TOML), as under examples/loadtest")
    run.add_argument("--out", metavar="DIRECTORY", help="where histories and figures go (scale-runs/NAME-TIME)")
    run.add_argument("--relays", choices=("auto", "always", "never"), help="instead of the plan's")
    run.add_argument("--seed", type=int, metavar="N", help="instead of the plan's")
    run.add_argument("--stretch", type=float, metavar="FACTOR", help="instead of the plan's")
    run.add_argument("--profile", action="store_true", help="controllers under the profiler, written beside their logs")
    report = verbs.add_parser("report", help="compare runs")
    report.add_argument("runs", nargs="+", metavar="RUN", help="directories of runs")
    report.add_argument("--plot", metavar="FILE", help="curves against the number of workers (PNG)")
    copy = verbs.add_parser("copy", help="a site file with higher counts, for the bench")
    copy.add_argument("site", metavar="SITE", type=Path)
    copy.add_argument("directory", metavar="DIRECTORY", type=Path, help="outside the repository")
    copy.add_argument("--name", required=True)
    copy.add_argument("--machines", type=float, default=1.0, metavar="FACTOR")
    copy.add_argument("--jobs", type=float, default=1.0, metavar="FACTOR")
    copy.add_argument("--nodes", type=int, default=3, metavar="N")
    return options


class ProgressBar:
    """Shows the progress of a run on a terminal, and nothing on other streams.

    `duration_s`: the duration of the run.
    """

    def __init__(self, duration_s: float, stream: TextIO) -> None:
        self._duration_s = duration_s
        self._stream = stream

    def show(self, at_s: float, text: str) -> None:
        """Redraw the bar `at_s` seconds after the start of the run."""
        if self._stream.isatty():
            filled = min(BAR_WIDTH, int(BAR_WIDTH * at_s / self._duration_s))
            bar = "#" * filled + "." * (BAR_WIDTH - filled)
            self._stream.write(f"\r[{bar}] {at_s:5.0f} of {self._duration_s:.0f} s, {text} ")
            self._stream.flush()

    def end(self) -> None:
        """End the line of the bar."""
        if self._stream.isatty():
            self._stream.write("\n")


def run(options: argparse.Namespace) -> int:
    """Run a plan and return the exit status: 0, 1 if a rule broke or the run failed, 2 if the plan can't be used."""
    try:
        plan = load(options.plan)
    except PlanError as error:
        print(f"scale: {error}", file=sys.stderr)
        return 2
    overrides = {name: value for name in ("relays", "seed", "stretch") if (value := getattr(options, name)) is not None}
    plan = stretched(replace(plan, **overrides))
    directory = Path(options.out or f"scale-runs/{plan.name}-{time.strftime('%Y%m%dT%H%M%S')}").resolve()
    directory.mkdir(parents=True)
    # Imported here, so that a rejected plan starts nothing, not even a reactor.
    from loadtest.report import with_usage
    from loadtest.run import Run, RunError

    bar = ProgressBar(plan.duration_s, sys.stderr)
    try:
        summary = Run(plan, directory, bar.show, options.profile).play()
    except RunError as error:
        bar.end()
        print(f"scale: given up: {error}", file=sys.stderr)
        return 1
    bar.end()
    summary = with_usage(summary, directory)
    (directory / "summary.json").write_text(json.dumps(summary, indent=1) + "\n", encoding="utf-8")
    print(json.dumps(summary))
    return 1 if summary["broken"] else 0


def main(arguments: list[str]) -> int:
    """Run a command and return its exit status."""
    options = parser().parse_args(arguments)
    if options.verb == "run":
        return run(options)
    if options.verb == "copy":
        growth = Growth(options.name, options.machines, options.jobs, options.nodes)
        print(write_copy(options.site, options.directory, growth))
        return 0
    from loadtest.report import report

    return report([Path(directory) for directory in options.runs], options.plot)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
