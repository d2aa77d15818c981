"""Simulated clusters whose network delivers answered direct commands again, up to minutes later."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.workers.fencing import WorkerFence
from simulation.scenario import Fault, load
from simulation.world import Lab
from tests.simulation.test_isolation_and_starvation import WHERE

MIN_COPIES = 100
"""Copies that a run must have delivered, so that it shows something."""


def copies(delay_s, count=2):
    return {"kind": "command_copies", "at_s": 1.0, "for_s": 80.0, "share": 1.0, "factor": delay_s, "count": count}


def node_kill(at_s, back_s):
    return {"kind": "node_kill", "at_s": at_s, "node": "leader", "back_s": back_s}


CASES = [
    # delay of the copies in seconds, faults beside the copies, operators' settings
    ("one leader", 8.0, [], {}),
    ("next leader", 8.0, [node_kill(30.0, 8.0), node_kill(50.0, 8.0)], {}),
    ("nodes back within a second", 8.0, [node_kill(30.0, 0.2), node_kill(50.0, 0.6)], {}),
    ("copies within a second", 0.5, [node_kill(30.0, 0.2)], {}),
    ("copies after most of the day", 45.0, [node_kill(30.0, 0.2)], {}),
    ("through relays", 8.0, [node_kill(30.0, 0.2)], {"relays": "always"}),
    ("hung machines", 8.0, [{"kind": "machine_hang", "at_s": 25.0, "count": 3, "for_s": 7.0}], {}),
    ("quarantined machines", 8.0, [{"kind": "machine_faulty", "at_s": 20.0, "count": 3, "for_s": 12.0}], {}),
    ("restarted workers", 8.0, [{"kind": "machine_back", "at_s": 30.0, "count": 2, "back_s": 0.2, "anew": False}], {}),
]


def play(delay_s, faults, operator):
    scenario = load(str(WHERE / "late-command-copies.toml"))
    scenario.operator = operator
    scenario.faults = [msgspec.convert(fault, Fault) for fault in (copies(delay_s), *faults)]
    cluster = Lab(scenario, 1)
    return cluster, cluster.play()


@pytest.mark.parametrize(("delay_s", "faults", "operator"), [row[1:] for row in CASES], ids=[row[0] for row in CASES])
def test_late_copies_of_answered_commands_start_nothing(delay_s, faults, operator):
    cluster, result = play(delay_s, faults, operator)
    assert result["broken"] == []
    assert cluster.world.late["attempts started by copies"] == 0
    assert cluster.world.late["copies executed"] + cluster.world.late["copies refused"] >= MIN_COPIES


def test_reap_under_the_token_of_the_start_is_detected(monkeypatch):
    monkeypatch.setattr(WorkerFence, "may_reap", lambda _self, _start, _token: True)
    cluster, result = play(8.0, [], {})
    assert "ran_twice" in {violation["rule"] for violation in result["broken"]}
    assert cluster.world.late["attempts started by copies"] > 0
