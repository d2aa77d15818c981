"""What withholding costs: `python3 -m benchmarks.cancels LOG [--json]`. Of each cancel that was stored, how long its
user waited for the answer, from the log of `benchmarks.day` at `info`. Times of different nodes are compared as they
stand."""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections.abc import Iterable
from typing import Any

from benchmarks.day import LINE

STORED = re.compile(r"(?:cancellation stored job=|job (?=\S+ cancelled$))(\S+)")
TOLD = re.compile(r"(?:cancellation confirmed to user job=|job (?=\S+: its user is told of the cancel))([^\s:]+)")
WITHHELD = re.compile(r"(?:cancellation pending, .* job=|job (?=\S+: its cancel is stored and not told yet))([^\s:]+)")
ENDED = re.compile(r"job (?:ended job=)?(\S+) (?:ended: |state=)cancelled")
LATE_S = 1.0


def cancels(lines: Iterable[str]) -> dict[str, Any]:
    """A job that ended before its node had asked who leads has no line of being told: its end stands in."""
    stored: dict[str, float] = {}
    told: dict[str, float] = {}
    ended: dict[str, float] = {}
    withheld: dict[str, int] = {}
    for line in lines:
        if (read := LINE.match(line)) is None:
            continue
        at, text = float(read[1]), read[5]
        if (found := STORED.match(text)) is not None:
            stored.setdefault(found[1], at)
        elif (found := TOLD.match(text)) is not None:
            told.setdefault(found[1], at)
        elif (found := WITHHELD.match(text)) is not None:
            withheld[found[1]] = withheld.get(found[1], 0) + 1
        elif (found := ENDED.match(text)) is not None:
            ended.setdefault(found[1], at)
    told = ended | told
    waits = sorted(told[job] - at for job, at in stored.items() if job in told)

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
    options = argparse.ArgumentParser(prog="python3 -m benchmarks.cancels", description="How long users waited.")
    options.add_argument("log", metavar="LOG", help="the nodes' logs of the day, level info, each line with its time")
    options.add_argument("--json", action="store_true", help="an object instead of lines")
    given = options.parse_args(arguments)
    try:
        with open(given.log, encoding="utf-8", errors="replace") as file:
            found = cancels(file)
    except OSError as error:
        print(f"benchmarks.cancels: {given.log}: can't be read: {error.strerror}", file=sys.stderr)
        return 2
    print(json.dumps(found) if given.json else "\n".join(f"{name}: {value}" for name, value in found.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
