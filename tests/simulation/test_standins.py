"""Tests of the test double of the state service."""

from __future__ import annotations

from simulation.standins import StateService


def test_ended_lease_deletes_its_keys():
    now = [0.0]
    state = StateService(lambda: now[0])
    lease = state.handle("POST", "/holds", {}, b'{"ttlMs":1000}')[1]["tether"]
    state.transact({"if": [], "writes": [{"write": "lead", "data": 1, "tether": lease}]})
    now[0] = 1.5
    assert state.handle("GET", "/kv/lead", {}, b"")[0] == 404
