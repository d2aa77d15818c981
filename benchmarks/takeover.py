"""Every change of leader in a day, from its log: `python3 -m benchmarks.takeover LOG [--json]`.

Times are seconds from the end of the leader before: its last line in the log, or the line that says that it leads no
more. A leader that still worked when another was elected (cut off, say) counts as ended by the election. The log is
that of `benchmarks.day`; what a line does not tell is left empty.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import asdict, dataclass, fields
from statistics import median

from benchmarks.day import LINE, read

LEADS = re.compile(r"(?:started leading token=|leads with token )(\d+)")
OVER = re.compile(r"(?:stopped leading token=|no longer leads with token )(\d+)")
PICTURE = re.compile(
    r"(?:state loaded )?term[ =](\d+):? (?:jobs=)?(\d+) "
    r"(?:open jobs, |machines=)(\d+) (?:machines, |placements=)(\d+)"
)
MILESTONE = re.compile(
    r"(?:milestone reached )?term[ =](\d+):? (?:milestone=\")?"
    r"(first placement stored|first start sent|nine of ten machines answered)"
)
BEFORE_S = 10.0
"""Starts of so long before the end are what is to be reached again."""
LATELY_S = 2.0
AGAIN = 0.9
LEAST_RATE = 0.5

HEADINGS = {
    "end_s": "end of the leader",
    "node": "next",
    "token": "token",
    "token_s": "token after (s)",
    "picture_s": "picture",
    "placement_s": "first placement stored",
    "start_s": "first start sent",
    "answered_s": "9 of 10 machines answered",
    "again_s": "starts as before",
    "machines": "machines",
    "placements": "placements",
}


@dataclass(slots=True)
class Takeover:
    end_s: float
    node: str
    token: int
    token_s: float
    picture_s: float | None = None
    placement_s: float | None = None
    start_s: float | None = None
    answered_s: float | None = None
    again_s: float | None = None
    machines: int = 0
    placements: int = 0


NAMES = {
    "first placement stored": "placement_s",
    "first start sent": "start_s",
    "nine of ten machines answered": "answered_s",
}


def takeovers(lines: Sequence[str]) -> list[Takeover]:
    found: dict[int, Takeover] = {}
    last: dict[str, float] = {}
    over: dict[int, float] = {}
    leader: tuple[str, int] | None = None
    for line in lines:
        match = LINE.match(line)
        if match is None:
            continue
        at, node, text = float(match[1]), match[3], match[5]
        if told := LEADS.match(text):
            token = int(told[1])
            if leader is not None:
                end = min(at, over.get(leader[1], last.get(leader[0], at)))
                found[token] = Takeover(end, node, token, at - end)
            leader = (node, token)
        elif told := OVER.match(text):
            over[int(told[1])] = at
        elif (told := PICTURE.match(text)) and int(told[1]) in found:
            one = found[int(told[1])]
            one.picture_s, one.machines, one.placements = at - one.end_s, int(told[3]), int(told[4])
        elif (told := MILESTONE.match(text)) and int(told[1]) in found:
            one = found[int(told[1])]
            setattr(one, NAMES[told[2]], at - one.end_s)
        last[node] = at
    # A new leader tells anew of what it finds running: only what began then counts as a start.
    day = read(lines)
    starts = sorted(run.began for job in day.jobs.values() for run in job.runs if run.began is not None)
    for one in found.values():
        one.again_s = _again(starts, one.end_s)
    return list(found.values())


def _again(starts: list[float], end: float) -> float | None:
    """When starts came as often again as before the end; None: not in the day, or none to speak of before."""
    rate = (bisect_left(starts, end) - bisect_left(starts, end - BEFORE_S)) / BEFORE_S
    if rate < LEAST_RATE:
        return None
    for index in range(bisect_left(starts, end), len(starts)):
        since = starts[index]
        if index + 1 - bisect_left(starts, max(end, since - LATELY_S)) >= AGAIN * rate * LATELY_S:
            return since - end
    return None


def _cell(value: object) -> str:
    if value is None:
        return ""
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def table(found: list[Takeover]) -> str:
    names = [one.name for one in fields(Takeover)]
    rows = [[_cell(getattr(one, name)) for name in names] for one in found]
    if len(found) > 1:
        middle = []
        for name in names:
            values = [value for one in found if isinstance(value := getattr(one, name), float)]
            middle.append(f"{median(values):.2f}" if values and name != "end_s" else "")
        rows.append(["median", *middle[1:]])
    lines = [" | ".join(HEADINGS[name] for name in names), " | ".join("---" for _ in names)]
    return "\n".join(f"| {line} |" for line in [*lines, *(" | ".join(row) for row in rows)])


def main(arguments: list[str]) -> int:
    options = argparse.ArgumentParser(prog="python3 -m benchmarks.takeover", description="Every change of leader.")
    options.add_argument("log", metavar="LOG", help="the nodes' logs of the day, level debug, each line with its time")
    options.add_argument("--json", action="store_true", help="a list of objects instead of a table")
    given = options.parse_args(arguments)
    try:
        with open(given.log, encoding="utf-8", errors="replace") as file:
            found = takeovers(file.readlines())
    except OSError as error:
        print(f"benchmarks.takeover: {given.log}: can't be read: {error.strerror}", file=sys.stderr)
        return 2
    print(json.dumps([asdict(one) for one in found]) if given.json else table(found))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
