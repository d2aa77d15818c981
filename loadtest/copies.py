"""Writes a copy of an operators' site file with higher counts, to run benchmarks of a larger deployment.

The copy contains the operators' own text, so it is written outside the repository and never committed.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import NamedTuple

NUMBER = r"(\d+(?:\.\d+)?)"
CAPACITY_FIELD = re.compile(rf"^(count|spot) = {NUMBER}$")
ARRIVAL_RATE = re.compile(rf"\brate = {NUMBER}")
INITIAL_JOBS = re.compile(rf"^initial = {NUMBER}$")


class Growth(NamedTuple):
    """How a copy differs from its site file."""

    name: str
    machines: float
    """Factor of each number of machines that the cloud has."""
    jobs: float
    """Factor of each arrival rate and of the number of jobs that wait at the start."""
    nodes: int


def enlarge(text: str, growth: Growth) -> str:
    """Return the site file's text with higher counts and no other change."""
    section = ""
    lines = []
    for line in text.splitlines():
        if line.startswith("["):
            section = line.strip("[]")
        lines.append(_enlarge_line(section, line, growth))
    return "\n".join(lines) + "\n"


def _enlarge_line(section: str, line: str, growth: Growth) -> str:
    if section == "" and line.startswith("name = "):
        return f'name = "{growth.name}"'
    if section == "nodes" and line.startswith("count = "):
        return f"count = {growth.nodes}"
    if section == "capacity" and (match := CAPACITY_FIELD.match(line)):
        return f"{match[1]} = {round(float(match[2]) * growth.machines)}"
    if section == "jobs" and line.startswith("arrivals = "):
        return ARRIVAL_RATE.sub(lambda match: f"rate = {float(match[1]) * growth.jobs:.4f}", line)
    if section == "jobs" and (match := INITIAL_JOBS.match(line)):
        return f"initial = {round(float(match[1]) * growth.jobs)}"
    return line


def write_copy(site: Path, directory: Path, growth: Growth) -> Path:
    """Write the copy and the files that the site file names into a directory; return the path of the copy.

    Raises OSError if the site can't be read or the copy can't be written.
    """
    directory.mkdir(parents=True, exist_ok=True)
    copy = directory / f"{growth.name}.toml"
    copy.write_text(enlarge(site.read_text(encoding="utf-8"), growth), encoding="utf-8")
    for companion in (site.parent / "wire.json", site.with_suffix(".days")):
        if companion.exists():
            name = copy.with_suffix(".days").name if companion.suffix == ".days" else companion.name
            (directory / name).write_bytes(companion.read_bytes())
    return copy
