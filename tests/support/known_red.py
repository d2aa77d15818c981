"""Tests that fail for a real fault which is not mended yet: `KNOWN-RED.txt` at the root, read here only.

A line is `TEST | CAUSE | ISSUE`, three lines at most; `#` begins a comment. Such tests are expected to fail, strictly:
one that passes again must leave the list. `python -m tests.support.known_red [ROOT]` prints the list and checks that
each line names a test; exit 2 with one line that says what is wrong.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


class Red(NamedTuple):
    test: str
    cause: str
    issue: int


def read(root: pathlib.Path) -> list[Red]:
    """Raises ValueError with file, line and what was expected."""
    path = root / FILE
    found: list[Red] = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines() if path.exists() else [], 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or not parts[2].isdigit():
            raise ValueError(f"{FILE}:{number}: expected `TEST | CAUSE | ISSUE`, the test as FILE::NAME")
        if any(red.test == parts[0] for red in found):
            raise ValueError(f"{FILE}:{number}: {parts[0]} is listed already")
        found.append(Red(parts[0], parts[1], int(parts[2])))
    if len(found) > MOST:
        raise ValueError(f"{FILE}: {len(found)} tests, expected {MOST} at most")
    return found


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    try:
        reds = {red.test: red for red in read(config.rootpath)}
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    for item in items:
        if (red := reds.get(item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(reason=f"issue {red.issue}: {red.cause}", strict=True))


def main(root: pathlib.Path) -> int:
    try:
        reds = read(root)
    except ValueError as error:
        print(error, file=sys.stderr)
        return 2
    for red in reds:
        print(f"known red: {red.test}: {red.cause} (issue {red.issue})")
    if reds:
        command = [sys.executable, "-m", "pytest", "--collect-only", "-q", "-n", "0"]
        told = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
        missing = [red.test for red in reds if red.test not in told.stdout.splitlines()]
        if missing:
            print(f"{FILE}: no such test: {', '.join(missing)}", file=sys.stderr)
            return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(*sys.argv[1:2])))
