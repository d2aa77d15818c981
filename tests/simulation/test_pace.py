"""Detection of nodes that send requests in an endless loop."""

from __future__ import annotations

import pytest

from simulation.pace import WINDOW_SAMPLES, RequestLoopDetector

REQUEST_RATES = [
    # case, requests and writes per second of 100 allowed requests, whether that is an endless loop
    ("full rate, no writes", 95, 0, True),
    ("full rate, some writes", 95, 10, False),
    ("half the rate, no writes", 50, 0, False),
]


@pytest.mark.parametrize(
    ("requests", "writes", "is_loop"), [row[1:] for row in REQUEST_RATES], ids=[row[0] for row in REQUEST_RATES]
)
def test_node_in_endless_request_loop_is_detected(requests, writes, is_loop):
    detector, detected = RequestLoopDetector(), []
    for _ in range(WINDOW_SAMPLES):
        for number in range(requests):
            detector.count_request("n0", number < writes)
        detected += detector.end_second({"n0": 100.0})
    assert detected == (["n0"] if is_loop else [])
