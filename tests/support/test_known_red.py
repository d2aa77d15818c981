"""The list of tests that are known to fail: strict, short, and true."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from tests.support.paths import ROOT

TESTS = "def test_a():\n    assert False\n\ndef test_b():\n    pass\n\ndef test_c():\n    assert False\n"
LISTS = [
    # the list, the status of the check, of the tests, what is said
    ("none", "", 0, 1, "2 failed, 1 passed"),
    ("all that fail", "test_x.py::test_a | why | 1\n# so\ntest_x.py::test_c | why | 2\n", 0, 0, "1 passed, 2 xfailed"),
    ("one passes again", "test_x.py::test_a | why | 1\ntest_x.py::test_b | why | 1\n", 0, 1, "test_b"),
    ("another fails", "test_x.py::test_a | why | 1\n", 0, 1, "1 failed, 1 passed, 1 xfailed"),
    ("no such test", "test_x.py::test_a | why | 1\ntest_x.py::test_d | why | 1\n", 2, 1, "test_c"),
    ("no cause", "test_x.py::test_a |  | 1\n", 2, 4, "KNOWN-RED.txt:1"),
    ("no issue", "test_x.py::test_a | why | soon\n", 2, 4, "KNOWN-RED.txt:1"),
    ("no test's name", "test_a | why | 1\n", 2, 4, "KNOWN-RED.txt:1"),
    ("twice", "test_x.py::test_a | why | 1\ntest_x.py::test_a | why | 1\n", 2, 4, "KNOWN-RED.txt:2"),
    ("a fourth", "".join(f"test_x.py::test_{c} | why | 1\n" for c in "abcd"), 2, 4, "3 at most"),
]


@pytest.mark.parametrize(("text", "check", "status", "said"), [one[1:] for one in LISTS], ids=[one[0] for one in LISTS])
def test_the_list_is_strict(tmp_path, text, check, status, said):
    (tmp_path / "KNOWN-RED.txt").write_text(text)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "test_x.py").write_text(TESTS)
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    environment.pop("PYTEST_ADDOPTS", None)

    def run(*arguments):
        command = [sys.executable, "-m", *arguments]
        return subprocess.run(command, cwd=tmp_path, env=environment, capture_output=True, text=True, check=False)

    assert run("tests.support.known_red", ".").returncode == check
    told = run("pytest", "-q", "-n", "0", "-p", "tests.support.known_red")
    assert told.returncode == status and said in told.stdout + told.stderr
