"""Checks that each test of the reference commit e82f744 still exists under its old id or its new one.

`tests/data/test_ids_before.txt` holds the ids that `pytest --collect-only -q` printed at that commit.
`tests/data/renamed_tests.tsv` holds the renames, `OLD<TAB>NEW` a line; `#` begins a comment. OLD and NEW are two files,
two tests (with all their cases) or two single cases; the most specific line applies.
`python -m tests.support.kept_tests [ROOT]` collects the present ids and compares them: exit status 1 with a line for
each lost test, 2 if the files can't be used or the tests can't be collected.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys
from collections.abc import Iterable, Iterator

IDS = pathlib.Path("tests", "data", "test_ids_before.txt")
RENAMES = pathlib.Path("tests", "data", "renamed_tests.tsv")
EXIT_LOST, EXIT_UNUSABLE = 1, 2


def read_renames(text: str) -> dict[str, str]:
    """Old names and their new names. Raises ValueError with the line and what was expected."""
    renames: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = line.split("\t")
        if len(parts) != 2 or not all(parts) or any(_level(parts[0]) != _level(part) for part in parts):
            raise ValueError(f"{RENAMES}:{number}: expected `OLD<TAB>NEW`, two files, two tests or two cases")
        if parts[0] in renames:
            raise ValueError(f"{RENAMES}:{number}: {parts[0]} is renamed already")
        renames[parts[0]] = parts[1]
    return renames


def new_name(test_id: str, renames: dict[str, str]) -> str:
    """The present id of a test of the reference commit; its own id if no line renames it."""
    for old in _enclosing(test_id):
        if old in renames:
            return renames[old] + test_id[len(old) :]
    return test_id


def find_problems(before: Iterable[str], present: Iterable[str], renames: dict[str, str]) -> list[str]:
    """A line for each test that is lost, for two tests with the same new id, and for a rename of an unknown test."""
    reference_ids = list(before)
    present_ids = set(present)
    problems: list[str] = []
    old_ids: dict[str, str] = {}
    for test_id in reference_ids:
        new_id = new_name(test_id, renames)
        if new_id not in present_ids:
            problems.append(f"lost: {test_id}" + (f" (now {new_id}?)" if new_id != test_id else ""))
        elif new_id in old_ids:
            problems.append(f"two became one: {old_ids[new_id]} and {test_id} are {new_id}")
        old_ids[new_id] = test_id
    names = {name for test_id in reference_ids for name in _enclosing(test_id)}
    return problems + [f"{RENAMES}: no such test at the reference commit: {old}" for old in renames if old not in names]


def _enclosing(test_id: str) -> Iterator[str]:
    """The case, its test and its file, the most specific first."""
    yield test_id
    file, _, test = test_id.partition("::")
    function, bracket, _ = test.partition("[")
    if bracket:
        yield f"{file}::{function}"
    yield file


def _level(name: str) -> int:
    """0 for a file, 1 for a test, 2 for a case."""
    _, is_test, test = name.partition("::")
    return 0 if not is_test else 1 if "[" not in test else 2


def main(root: pathlib.Path) -> int:
    """Prints the problems; returns the exit status that the module's docstring states."""
    try:
        before = (root / IDS).read_text(encoding="utf-8").splitlines()
        renames = read_renames((root / RENAMES).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        print(error, file=sys.stderr)
        return EXIT_UNUSABLE
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", "-n", "0"]
    collected = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
    if collected.returncode:
        print(f"the tests can't be collected:\n{collected.stdout}{collected.stderr}", file=sys.stderr)
        return EXIT_UNUSABLE
    problems = find_problems(before, collected.stdout.splitlines(), renames)
    for problem in problems:
        print(problem, file=sys.stderr)
    print(f"kept tests: {len(before)} of before, {len(problems)} problems")
    return EXIT_LOST if problems else 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(*sys.argv[1:2])))
