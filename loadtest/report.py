"""Compares runs in a table of figures and in plots against the number of workers."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import msgspec

from loadtest.run import Interval

_decode = msgspec.json.Decoder(Interval).decode
WARM_UP_SHARE = 0.25
"""Share of a run at its start, while machines boot, that is left out of all figures."""


def role_of(name: str, leader: str | None) -> str:
    """The role of a process in an interval with this leader."""
    if name == leader:
        return "leader"
    if name.startswith("n") and name[1:].isdigit():
        return "other controllers"
    return name.rstrip("0123456789")


def usage_by_role(intervals: list[Interval]) -> dict[str, dict[str, float]]:
    """Mean and peak processor use, and peaks of memory and sockets, of single processes by role."""
    measured = intervals[int(WARM_UP_SHARE * len(intervals)) :]
    by_role: dict[str, list[Any]] = {}
    for interval in measured:
        for usage in interval.processes:
            by_role.setdefault(role_of(usage.name, interval.leader), []).append(usage)
    return {
        role: {
            "processor_mean": round(sum(sample.processor for sample in usages) / len(usages), 3),
            "processor_peak": max(sample.processor for sample in usages),
            "memory_peak_mb": max(sample.memory_mb for sample in usages),
            "sockets_peak": max(sample.sockets for sample in usages),
        }
        for role, usages in sorted(by_role.items())
    }


def with_usage(summary: dict[str, Any], directory: Path) -> dict[str, Any]:
    """The summary with the usage of processes by role, read from the run's directory."""
    lines = (directory / "intervals.jsonl").read_bytes().splitlines()
    return {**summary, "usage": usage_by_role([_decode(line) for line in lines])}


COLUMNS = (
    "run",
    "workers",
    "stretch",
    "relays",
    "starts/s",
    "leader cpu",
    "peak",
    "others cpu",
    "leader MB",
    "leader sockets",
    "others sockets",
    "store req/start",
    "changes/start",
    "report p99 ms",
    "leases ended",
    "broken",
)


def summary_row(name: str, summary: dict[str, Any]) -> list[str]:
    """One run's figures, in the order of `COLUMNS`."""
    no_usage = {"processor_mean": 0.0, "processor_peak": 0.0, "memory_peak_mb": 0.0, "sockets_peak": 0}
    leader = summary["usage"].get("leader", no_usage)
    others = summary["usage"].get("other controllers", no_usage)
    starts = max(1, summary["starts"])
    return [
        str(figure)
        for figure in (
            name,
            summary["workers"],
            summary["stretch"],
            summary["relays"],
            summary["starts_a_second"]["mean"],
            leader["processor_mean"],
            leader["processor_peak"],
            others["processor_mean"],
            leader["memory_peak_mb"],
            leader["sockets_peak"],
            others["sockets_peak"],
            round(summary["store"]["requests"] / starts, 3),
            round(summary["store"]["changes"] / starts, 3),
            summary["reports"]["answer_ms"]["p99"],
            summary["leases_ended"],
            len(summary["broken"]),
        )
    ]


def report(directories: list[Path], plot: str | None) -> int:
    """Print the table, and draw the plots if `plot` names a file; return 2 if a run has no summary, else 0."""
    summaries = []
    for directory in directories:
        try:
            summaries.append((directory.name, json.loads((directory / "summary.json").read_text(encoding="utf-8"))))
        except (OSError, ValueError) as error:
            print(f"scale: {directory}: no summary: {error}", file=sys.stderr)
            return 2
    print("| " + " | ".join(COLUMNS) + " |")
    print("| " + " | ".join("---" for _ in COLUMNS) + " |")
    for name, summary in summaries:
        print("| " + " | ".join(summary_row(name, summary)) + " |")
    if plot is not None:
        draw(summaries, plot)
    return 0


CURVES = (
    ("leader", "processor_mean", "leader's processor, cores"),
    ("other controllers", "processor_mean", "other controllers' processor, cores"),
    ("leader", "sockets_peak", "leader's sockets"),
    ("leader", "memory_peak_mb", "leader's memory, MB"),
)


def draw(summaries: list[tuple[str, dict[str, Any]]], path: str) -> None:
    """Draw a plot for each figure of `CURVES`, with one curve per setting of relays."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7))
    for axis, (role, field, title) in zip(axes.flat, CURVES, strict=True):
        for mode in sorted({summary["relays"] for _, summary in summaries}):
            points = sorted(
                (summary["workers"], summary["usage"][role][field])
                for _, summary in summaries
                if summary["relays"] == mode and role in summary["usage"]
            )
            axis.plot([x for x, _ in points], [y for _, y in points], marker="o", label=f"relays {mode}")
        axis.set_title(title)
        axis.set_xlabel("workers")
        axis.set_ylim(bottom=0)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
