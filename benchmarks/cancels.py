"""Measures how long users waited for the response to a cancellation: `python3 -m benchmarks.cancels LOG [--json]`.

A response is withheld until the tasks of the job are proven gone. The wait of each stored cancellation is read from a
log as for `benchmarks.day`, at level `info`. The clocks of different controllers are not corrected.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections.abc import Iterable
from typing import Any

from benchmarks.day import LOG_LINE

STORED = re.compile(r"(?:cancellation stored job=|job (?=\S+ cancelled$))(\S+)")
TOLD = re.compile(r"(?:cancellation confirmed to user job=|job (?=\S+: its user is told of the cancel))([^\s:]+)")
WITHHELD = re.compile(r"(?:cancellation pending, .* job=|job (?=\S+: its cancel is stored and not told yet))([^\s:]+)")
ENDED = re.compile(r"job (?:ended job=)?(\S+) (?:ended: |state=)cancelled")
LATE_S = 1.0
"""A longer wait counts as late."""


def measure_waits(lines: Iterable[str]) -> dict[str, Any]:
    """Counts of cancellations and quantiles of the waits in seconds, keyed as they are printed.

    A job that ended before its controller had found the leader has no line for the response: its end counts instead.
    """
    stored: dict[str, float] = {}
    responded: dict[str, float] = {}
    ended: dict[str, float] = {}
    withheld: dict[str, int] = {}
    for line in lines:
        if (log_line := LOG_LINE.match(line)) is None:
            continue
        at, text = float(log_line[1]), log_line[5]
        if (match := STORED.match(text)) is not None:
            stored.setdefault(match[1], at)
        elif (match := TOLD.match(text)) is not None:
            responded.setdefault(match[1], at)
        elif (match := WITHHELD.match(text)) is not None:
            withheld[match[1]] = withheld.get(match[1], 0) + 1
        elif (match := ENDED.match(text)) is not None:
            ended.setdefault(match[1], at)
    responded = ended | responded
    waits = sorted(responded[job] - at for job, at in stored.items() if job in responded)

    def quantile(share: float) -> float | None:
        return round(waits[min(len(waits) - 1, int(share * len(waits)))], 3) if waits else None

    return {
        "stored": len(stored),
        "told": len(waits),
        "withheld_at_first": len(withheld.keys() & stored.keys()),
        "later_than_1_s": sum(wait > LATE_S for wait in waits),
        "p50_s": quantile(0.5),
        "p95_s": quantile(0.95),
        "longest_s": round(waits[-1], 3) if waits else None,
    }


def main(arguments: list[str]) -> int:
    """Prints the waits; returns 0, or 2 if the log can't be read."""
    parser = argparse.ArgumentParser(prog="python3 -m benchmarks.cancels", description="How long users waited.")
    parser.add_argument("log", metavar="LOG", help="the nodes' logs of the day, level info, each line with its time")
    parser.add_argument("--json", action="store_true", help="an object instead of lines")
    options = parser.parse_args(arguments)
    try:
        with open(options.log, encoding="utf-8", errors="replace") as file:
            waits = measure_waits(file)
    except OSError as error:
        print(f"benchmarks.cancels: {options.log}: can't be read: {error.strerror}", file=sys.stderr)
        return 2
    print(json.dumps(waits) if options.json else "\n".join(f"{name}: {value}" for name, value in waits.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
