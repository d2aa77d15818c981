"""The list of tests that are known to fail: each line is complete and names an existing test that does fail."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from tests.support.paths import ROOT

TESTS = "def test_a():\n    assert False\n\ndef test_b():\n    pass\n\ndef test_c():\n    assert False\n"
FOUR_FAILING_TESTS = "".join(f"def test_{name}():\n    assert False\n\n" for name in "abcd")
A, B = "test_x.py::test_a | run 1 | why | 1\n", "test_x.py::test_b | run 1 | why | 1\n"
C, D = "test_x.py::test_c | run 2 | why | 2\n", "test_x.py::test_d | run 1 | why | 1\n"
CASES = [
    # case id, tests, content of the list, exit status of the check, exit status of the tests, expected output
    ("empty list", TESTS, "", 0, 1, "2 failed, 1 passed"),
    ("all failing tests listed", TESTS, f"{A}# comment\n{C}", 0, 0, "1 passed, 2 xfailed"),
    ("four tests listed", FOUR_FAILING_TESTS, A + B + C + D, 0, 0, "4 xfailed"),
    ("listed test passes", TESTS, A + B, 0, 1, "test_b"),
    ("unlisted test fails", TESTS, A, 0, 1, "1 failed, 1 passed, 1 xfailed"),
    ("unknown test", TESTS, A + D, 2, 1, "test_c"),
    ("empty observation", TESTS, "test_x.py::test_a | run 1 |  | 1\n", 2, 4, "KNOWN-RED.txt:1"),
    ("empty command", TESTS, "test_x.py::test_a |  | why | 1\n", 2, 4, "KNOWN-RED.txt:1"),
    ("missing command", TESTS, "test_x.py::test_a | why | 1\n", 2, 4, "KNOWN-RED.txt:1"),
    ("issue not a number", TESTS, "test_x.py::test_a | run 1 | why | soon\n", 2, 4, "KNOWN-RED.txt:1"),
    ("test without a file", TESTS, "test_a | run 1 | why | 1\n", 2, 4, "KNOWN-RED.txt:1"),
    ("test listed twice", TESTS, A + A, 2, 4, "KNOWN-RED.txt:2"),
]


@pytest.mark.parametrize(
    ("tests", "text", "check_status", "test_status", "output"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_list_is_checked_strictly(tmp_path, tests, text, check_status, test_status, output):
    (tmp_path / "KNOWN-RED.txt").write_text(text)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "test_x.py").write_text(tests)
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    environment.pop("PYTEST_ADDOPTS", None)

    def run(*arguments):
        command = [sys.executable, "-m", *arguments]
        return subprocess.run(command, cwd=tmp_path, env=environment, capture_output=True, text=True, check=False)

    assert run("tests.support.known_red", ".").returncode == check_status
    result = run("pytest", "-q", "-n", "0", "-p", "tests.support.known_red")
    assert result.returncode == test_status and output in result.stdout + result.stderr
