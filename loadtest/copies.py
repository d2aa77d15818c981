"""Writes a copy of an operators' site file with higher counts, so that the bench plays a larger deployment.

The copy holds the operators' own text, so it is written outside the repository and never committed.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import NamedTuple

NUMBER = r"(\d+(?:\.\d+)?)"
CAPACITY_FIELD = re.compile(rf"^(count|spot) = {NUMBER}$")
RATE = re.compile(rf"\brate = {NUMBER}")
INITIAL = re.compile(rf"^initial = {NUMBER}$")


class Growth(NamedTuple):
    """How a copy differs from its site file."""

    name: str
    machines: float
    """Factor on each count of machines that the cloud has."""
    jobs: float
    """Factor on each rate of arrivals, and on what waits at the start."""
    nodes: int


def enlarge(text: str, growth: Growth) -> str:
    """The site file's text with higher counts; all else stays as it was."""
    section = ""
    lines = []
    for line in text.splitlines():
        if line.startswith("["):
            section = line.strip("[]")
        lines.append(_line(section, line, growth))
    return "\n".join(lines) + "\n"


def _line(section: str, line: str, growth: Growth) -> str:
    if section == "" and line.startswith("name = "):
        return f'name = "{growth.name}"'
    if section == "nodes" and line.startswith("count = "):
        return f"count = {growth.nodes}"
    if section == "capacity" and (found := CAPACITY_FIELD.match(line)):
        return f"{found[1]} = {round(float(found[2]) * growth.machines)}"
    if section == "jobs" and line.startswith("arrivals = "):
        return RATE.sub(lambda found: f"rate = {float(found[1]) * growth.jobs:.4f}", line)
    if section == "jobs" and (found := INITIAL.match(line)):
        return f"initial = {round(float(found[1]) * growth.jobs)}"
    return line


def write_copy(site: Path, directory: Path, growth: Growth) -> Path:
    """Write the copy, and beside it the files that a site file names, into a directory; returns the copy's path.

    Raises OSError where the site can't be read or the copy not be written.
    """
    directory.mkdir(parents=True, exist_ok=True)
    copy = directory / f"{growth.name}.toml"
    copy.write_text(enlarge(site.read_text(encoding="utf-8"), growth), encoding="utf-8")
    for beside in (site.parent / "wire.json", site.with_suffix(".days")):
        if beside.exists():
            name = copy.with_suffix(".days").name if beside.suffix == ".days" else beside.name
            (directory / name).write_bytes(beside.read_bytes())
    return copy
