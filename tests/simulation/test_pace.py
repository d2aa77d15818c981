"""Finding nodes that send requests without end."""

from __future__ import annotations

import pytest

from simulation.pace import WINDOW, Pace

RUNAWAY = [
    # requests and writes each second, of 100 allowed, and whether that is a loop without end
    ("at its budget's rate, nothing written", 95, 0, True),
    ("at its budget's rate, and it writes", 95, 10, False),
    ("half of it", 50, 0, False),
]


@pytest.mark.parametrize(("asked", "writes", "found"), [row[1:] for row in RUNAWAY], ids=[row[0] for row in RUNAWAY])
def test_node_that_requests_without_end_is_found(asked, writes, found):
    pace, told = Pace(), []
    for _ in range(WINDOW):
        for number in range(asked):
            pace.asked("n0", number < writes)
        told += pace.look({"n0": 100.0})
    assert told == (["n0"] if found else [])
