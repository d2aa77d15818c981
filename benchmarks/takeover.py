"""Measures every change of leader in a day's log: `python3 -m benchmarks.takeover LOG [--json]`.

Times are seconds from the end of the previous leader: its last line in the log, or the line that logs that it stopped
leading. A leader that still logged when the next was elected (after a network partition, for example) counts as ended
by the election. The log is as for `benchmarks.day`; a figure without a line in the log is left empty.
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

from benchmarks.day import LOG_LINE, read_day

LEADING = re.compile(r"(?:started leading token=|leads with token )(\d+)")
STOPPED_LEADING = re.compile(r"(?:stopped leading token=|no longer leads with token )(\d+)")
STATE_LOADED = re.compile(
    r"(?:state loaded )?term[ =](\d+):? (?:jobs=)?(\d+) "
    r"(?:open jobs, |machines=)(\d+) (?:machines, |placements=)(\d+)"
)
MILESTONE = re.compile(
    r"(?:milestone reached )?term[ =](\d+):? (?:milestone=\")?"
    r"(first placement stored|first start sent|nine of ten machines answered)"
)
BEFORE_S = 10.0
"""The rate of starts is measured over this time before the end of the previous leader."""
RATE_WINDOW_S = 2.0
"""The rate of starts after the end is measured over this time, or since the end."""
RECOVERED_SHARE = 0.9
MIN_RATE_PER_S = 0.5
"""A lower rate of starts before the end is too low to compare with."""

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
    """One change of leader; the field names are the keys of the JSON output and of HEADINGS."""

    end_s: float
    """The end of the previous leader, in seconds of the day; all other times are seconds after it."""
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


FIELD_OF_MILESTONE = {
    "first placement stored": "placement_s",
    "first start sent": "start_s",
    "nine of ten machines answered": "answered_s",
}


def read_takeovers(lines: Sequence[str]) -> list[Takeover]:
    """All changes of leader in these log lines, in their order; the first leader of the day is not one."""
    takeovers: dict[int, Takeover] = {}
    last_line_at: dict[str, float] = {}
    stopped_at: dict[int, float] = {}
    leader: tuple[str, int] | None = None
    for line in lines:
        log_line = LOG_LINE.match(line)
        if log_line is None:
            continue
        at, node, text = float(log_line[1]), log_line[3], log_line[5]
        if match := LEADING.match(text):
            token = int(match[1])
            if leader is not None:
                end_at = min(at, stopped_at.get(leader[1], last_line_at.get(leader[0], at)))
                takeovers[token] = Takeover(end_at, node, token, at - end_at)
            leader = (node, token)
        elif match := STOPPED_LEADING.match(text):
            stopped_at[int(match[1])] = at
        elif (match := STATE_LOADED.match(text)) and int(match[1]) in takeovers:
            takeover = takeovers[int(match[1])]
            takeover.picture_s, takeover.machines, takeover.placements = (
                at - takeover.end_s,
                int(match[3]),
                int(match[4]),
            )
        elif (match := MILESTONE.match(text)) and int(match[1]) in takeovers:
            takeover = takeovers[int(match[1])]
            setattr(takeover, FIELD_OF_MILESTONE[match[2]], at - takeover.end_s)
        last_line_at[node] = at
    # A new leader logs again which tasks it finds running; only tasks that started then count as starts.
    day = read_day(lines)
    starts = sorted(
        attempt.started_at for job in day.jobs.values() for attempt in job.attempts if attempt.started_at is not None
    )
    for takeover in takeovers.values():
        takeover.again_s = _recovery_time_s(starts, takeover.end_s)
    return list(takeovers.values())


def _recovery_time_s(starts: list[float], end_at: float) -> float | None:
    """Seconds from the end until tasks start about as often as before it.

    None if they never do, or if the rate before the end was below MIN_RATE_PER_S.
    """
    rate = (bisect_left(starts, end_at) - bisect_left(starts, end_at - BEFORE_S)) / BEFORE_S
    if rate < MIN_RATE_PER_S:
        return None
    for index in range(bisect_left(starts, end_at), len(starts)):
        start_at = starts[index]
        if (
            index + 1 - bisect_left(starts, max(end_at, start_at - RATE_WINDOW_S))
            >= RECOVERED_SHARE * rate * RATE_WINDOW_S
        ):
            return start_at - end_at
    return None


def _format_cell(value: object) -> str:
    if value is None:
        return ""
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def format_table(takeovers: list[Takeover]) -> str:
    """A table in Markdown, with a row of medians if there are several takeovers."""
    names = [field.name for field in fields(Takeover)]
    rows = [[_format_cell(getattr(takeover, name)) for name in names] for takeover in takeovers]
    if len(takeovers) > 1:
        medians = []
        for name in names:
            values = [value for takeover in takeovers if isinstance(value := getattr(takeover, name), float)]
            medians.append(f"{median(values):.2f}" if values and name != "end_s" else "")
        rows.append(["median", *medians[1:]])
    lines = [" | ".join(HEADINGS[name] for name in names), " | ".join("---" for _ in names)]
    return "\n".join(f"| {line} |" for line in [*lines, *(" | ".join(row) for row in rows)])


def main(arguments: list[str]) -> int:
    """Prints the takeovers; returns 0, or 2 if the log can't be read."""
    parser = argparse.ArgumentParser(prog="python3 -m benchmarks.takeover", description="Every change of leader.")
    parser.add_argument("log", metavar="LOG", help="the nodes' logs of the day, level debug, each line with its time")
    parser.add_argument("--json", action="store_true", help="a list of objects instead of a table")
    options = parser.parse_args(arguments)
    try:
        with open(options.log, encoding="utf-8", errors="replace") as file:
            takeovers = read_takeovers(file.readlines())
    except OSError as error:
        print(f"benchmarks.takeover: {options.log}: can't be read: {error.strerror}", file=sys.stderr)
        return 2
    print(json.dumps([asdict(takeover) for takeover in takeovers]) if options.json else format_table(takeovers))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
