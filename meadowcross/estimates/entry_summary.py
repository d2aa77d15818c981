"""Summarizes stored records of learned run times for operators (`meadowcross estimates show`)."""

from __future__ import annotations

from collections.abc import Sequence
from math import exp

import msgspec
from msgspec import Struct

from meadowcross.common.types import Seconds
from meadowcross.estimates import messages as m
from meadowcross.estimates.adaptive_distribution import AdaptiveDistribution
from meadowcross.estimates.curve import MEDIAN_INDEX

ENTRY_TYPES = {"a": "all work", "c": "class", "t": "team", "f": "finish"}


class EntrySummary(Struct, omit_defaults=True):
    """One entry, as `show --json` prints it: its run times, and how they compare with the owners' guesses."""

    key: str
    kind: str
    """One of `ENTRY_TYPES`, or "unknown"."""
    name: str = ""
    ends: float = 0.0
    """The number of samples; those of one job count less and less."""
    run_s: tuple[Seconds, Seconds, Seconds] | None = None
    """The 10, 50 and 90% quantiles of run times; None without samples."""
    over_guess: tuple[float, float, float] | None = None
    """The same quantiles of actual over guessed run times, or of a completion's actual over forecast times."""
    parts: list[str] = []
    """The subgroups of a class that have samples."""
    changes: int = 0
    """How many changes were detected."""
    changed: bool = False
    """Whether a change lasts."""
    bytes: int = 0
    """The size of the record."""
    unreadable: str = ""
    """Why the record can't be decoded; empty if it was."""


def _outer_quantiles(distribution: AdaptiveDistribution) -> tuple[float, float, float] | None:
    if distribution.weight <= 0:
        return None
    log_quantiles = distribution.log_quantiles()
    return round(exp(log_quantiles[1]), 3), round(exp(log_quantiles[MEDIAN_INDEX]), 3), round(exp(log_quantiles[5]), 3)


def summarize_record(key: str, value: msgspec.Raw) -> EntrySummary:
    """Summarize a stored record; one that can't be decoded yields a summary with `unreadable` set."""
    entry_type = ENTRY_TYPES.get(key.removeprefix(m.PREFIX).partition("/")[0], "unknown")
    size = len(bytes(value))
    try:
        if m.decode_version(value).v != m.FORMAT_VERSION:
            return EntrySummary(key, entry_type, bytes=size, unreadable="another format")
        record = m.decode_entry(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return EntrySummary(key, entry_type, bytes=size, unreadable=str(error))
    ratio, time = AdaptiveDistribution.from_record(record.ratio), AdaptiveDistribution.from_record(record.time)
    return EntrySummary(
        key,
        entry_type,
        record.name.partition("/")[2],
        record.ends,
        _outer_quantiles(time),
        _outer_quantiles(ratio),
        list(record.parts),
        max(ratio.changes, time.changes),
        ratio.is_changed or time.is_changed,
        size,
    )


def format_table(summaries: Sequence[EntrySummary]) -> str:
    """Return a text table with one line for each entry."""

    def format_quantiles(quantiles: tuple[float, float, float] | None) -> str:
        return "-" if quantiles is None else " ".join(f"{value:.4g}" for value in quantiles)

    lines = [f"{'what':9} {'name':28} {'ends':>8}  {'run time, s (10 50 90%)':26} {'over the guess':22} changes  bytes"]
    for summary in summaries:
        if summary.unreadable:
            lines.append(f"{summary.kind:9} {summary.key:28} can't be read: {summary.unreadable}")
            continue
        changes = f"{summary.changes}{' now' if summary.changed else ''}"
        # Users choose class names: terminal control characters are printed escaped.
        name = summary.name if summary.name.isprintable() else ascii(summary.name)
        lines.append(
            f"{summary.kind:9} {name[:28]:28} {summary.ends:8.1f}  {format_quantiles(summary.run_s):26}"
            f" {format_quantiles(summary.over_guess):22} {changes:7} {summary.bytes:6}"
        )
    return "\n".join(lines)
