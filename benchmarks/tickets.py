"""What ticket gateways cost and how they recover, over the project's stand-ins on a fake clock.

`python3 -m benchmarks.tickets [--tickets 1000] [--json]`: three gateways, tickets of three steps each in a chain; once
all are accepted one gateway is killed. Processor time is of this machine's core; seconds of recovery are the fake
clock's.
"""

from __future__ import annotations

import argparse
import sys
import time

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct


class Cost(Struct):
    tickets: int
    accept_ms_median: float
    accept_ms_p99: float
    """Processor time of one acceptance: reading, checking, mapping, storing."""
    drive_ms_per_ticket: float
    store_requests_per_ticket: float
    store_changes_per_ticket: float
    controller_requests_per_ticket: float
    retried: int
    lost_tickets: int
    """Open tickets of the gateway that was killed."""
    first_moves_s: float
    """From its kill until the first of them moved on, and until half of them had."""
    half_move_s: float


def measure(count: int) -> Cost:
    from meadowcross.openjd import records
    from tests.openjd.test_gateway import CHAIN, GatewayCluster

    cluster = GatewayCluster(3)
    for gateway in cluster.gateways.values():
        gateway.api._tickets_per_s = 1e6
        gateway.api._total_bucket._burst = gateway.api._total_bucket._available = 1e6
    accept = HdrHistogram(1, 60_000_000, 3)
    ids = []
    names = list(cluster.gateways)
    for number in range(count):
        began = time.process_time_ns()
        status, said = cluster.submit(CHAIN, f"k{number}", names[number % 3])
        accept.record_value(max(1, (time.process_time_ns() - began) // 1000))
        assert status == 201, said
        ids.append(records.TicketId(said["id"]))
    began_cpu = time.process_time()
    cluster.pass_time(5.0)
    victim = cluster.gateways["g0"]
    lost = set(victim.driver.open_tickets)
    marks = {ticket: cluster.state.keys[records.open_key(ticket)]["mark"] for ticket in lost}
    driven = [gateway.controllers for gateway in cluster.gateways.values()]
    cluster.kill_gateway("g0")
    killed = cluster.clock.seconds()
    first = half = 0.0
    while cluster.clock.seconds() - killed < 600 and any(
        key.startswith(records.OPEN_PREFIX) for key in cluster.state.keys
    ):
        cluster.controllers.finish_jobs()
        cluster.pass_time(0.5)
        if not half:
            moved = sum(
                records.open_key(ticket) not in cluster.state.keys
                or cluster.state.keys[records.open_key(ticket)]["mark"] != mark
                for ticket, mark in marks.items()
            )
            took = cluster.clock.seconds() - killed
            first = first or (took if moved else 0.0)
            half = took if 2 * moved >= len(lost) else 0.0
    assert len(set(cluster.controllers.submitted)) == len(cluster.controllers.submitted) == 3 * count, (
        "a job twice, or none"
    )
    changed = [event.get("write") or event["drop"] for event in cluster.state.log]
    state = [call for call in cluster.net.calls if call[1].startswith("s:1")]
    return Cost(
        count,
        accept.get_value_at_percentile(50) / 1000,
        accept.get_value_at_percentile(99) / 1000,
        round(1000 * (time.process_time() - began_cpu) / count, 2),
        round(len(state) / count, 1),
        round(sum(key.startswith(records.KEY_PREFIX) for key in changed) / count, 1),
        round(sum(one.requests for one in driven) / count, 1),
        sum(one.retried for one in driven),
        len(lost),
        round(first, 1),
        round(half, 1),
    )


def main(arguments: list[str]) -> int:
    options = argparse.ArgumentParser(prog="benchmarks.tickets", description="What ticket gateways cost.")
    options.add_argument("--tickets", type=int, default=1000)
    options.add_argument("--json", action="store_true")
    given = options.parse_args(arguments)
    cost = measure(given.tickets)
    if given.json:
        print(msgspec.json.encode(cost).decode())
    else:
        for name in Cost.__struct_fields__:
            print(f"{name.replace('_', ' '):32} {getattr(cost, name)}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
