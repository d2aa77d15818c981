"""The check that each test of the reference commit still exists."""

from __future__ import annotations

import pytest

from tests.support.kept_tests import find_problems, read_renames

BEFORE = ["tests/test_a.py::test_x", "tests/test_a.py::test_y[1]", "tests/test_a.py::test_y[a::b[c]]"]


@pytest.mark.parametrize(
    ("renames", "present", "problems"),
    [
        ("", [*BEFORE, "tests/test_new.py::test_z"], []),
        ("", BEFORE[1:], ["lost: tests/test_a.py::test_x"]),
        ("", [BEFORE[0], BEFORE[2]], ["lost: tests/test_a.py::test_y[1]"]),
        (
            "# moved\n\ntests/test_a.py\ttests/b/test_c.py\n",
            ["tests/b/test_c.py::test_x", "tests/b/test_c.py::test_y[1]", "tests/b/test_c.py::test_y[a::b[c]]"],
            [],
        ),
        (
            "tests/test_a.py\ttests/b/test_c.py\ntests/test_a.py::test_y\ttests/d/test_e.py::test_w\n"
            "tests/test_a.py::test_y[1]\ttests/d/test_e.py::test_w[one]\n",
            ["tests/b/test_c.py::test_x", "tests/d/test_e.py::test_w[one]", "tests/d/test_e.py::test_w[a::b[c]]"],
            [],
        ),
        (
            "tests/test_a.py::test_x\ttests/test_a.py::test_z\n",
            BEFORE[1:],
            ["lost: tests/test_a.py::test_x (now tests/test_a.py::test_z?)"],
        ),
        (
            "tests/test_a.py::test_y[1]\ttests/test_a.py::test_y[a::b[c]]\n",
            BEFORE,
            [
                "two became one: tests/test_a.py::test_y[1] and tests/test_a.py::test_y[a::b[c]] are "
                "tests/test_a.py::test_y[a::b[c]]"
            ],
        ),
        (
            "tests/test_o.py\ttests/test_p.py\n",
            BEFORE,
            ["tests/data/renamed_tests.tsv: no such test at the reference commit: tests/test_o.py"],
        ),
    ],
    ids=["kept", "gone", "a case gone", "file moved", "most specific", "new name absent", "merged", "unknown old name"],
)
def test_problems_of_kept_tests_are_found(renames, present, problems):
    assert find_problems(BEFORE, present, read_renames(renames)) == problems


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("tests/test_a.py tests/test_b.py\n", 1),
        ("# comment\ntests/test_a.py\t\n", 2),
        ("tests/test_a.py\ttests/test_b.py::test_x\n", 1),
        ("tests/test_a.py::test_x\ttests/test_b.py::test_x[1]\n", 1),
        ("tests/test_a.py\ttests/test_b.py\ntests/test_a.py\ttests/test_c.py\n", 2),
    ],
    ids=["no tab", "no new name", "file to test", "test to case", "twice"],
)
def test_invalid_line_of_renames_is_rejected(text, line):
    with pytest.raises(ValueError, match=rf"^tests/data/renamed_tests\.tsv:{line}: "):
        read_renames(text)
