"""Measures the costs of ticket gateways and their recovery, with simulated services on a fake clock.

`python3 -m benchmarks.tickets [--tickets 1000] [--json]` submits tickets, each with a chain of three steps, to three
gateways; once all are accepted, one gateway is killed. Processor time is measured on a core of this machine; seconds of
recovery are those of the fake clock.
"""

from __future__ import annotations

import argparse
import sys
import time

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct


class Cost(Struct):
    """The measured figures; the field names are the keys of the JSON output."""

    tickets: int
    accept_ms_median: float
    accept_ms_p99: float
    """Processor time of one acceptance: to parse, validate, map and store the ticket."""
    drive_ms_per_ticket: float
    store_requests_per_ticket: float
    store_changes_per_ticket: float
    controller_requests_per_ticket: float
    retried: int
    lost_tickets: int
    """Open tickets of the killed gateway."""
    first_moves_s: float
    """Time from the kill until another gateway changed the first of these tickets."""
    half_move_s: float
    """Time from the kill until half of these tickets were changed."""


def measure(count: int) -> Cost:
    """Drives `count` tickets to their end, and kills the first gateway meanwhile."""
    from meadowcross.openjd import records
    from tests.openjd.test_gateway import CHAIN, GatewayCluster

    cluster = GatewayCluster(3)
    for gateway in cluster.gateways.values():
        gateway.api._tickets_per_s = 1e6
        gateway.api._total_bucket._burst = gateway.api._total_bucket._available = 1e6
    accept = HdrHistogram(1, 60_000_000, 3)
    ticket_ids = []
    names = list(cluster.gateways)
    for number in range(count):
        began_ns = time.process_time_ns()
        status, response = cluster.submit(CHAIN, f"k{number}", names[number % 3])
        accept.record_value(max(1, (time.process_time_ns() - began_ns) // 1000))
        assert status == 201, response
        ticket_ids.append(records.TicketId(response["id"]))
    began_cpu_s = time.process_time()
    cluster.pass_time(5.0)
    victim = cluster.gateways["g0"]
    lost_tickets = set(victim.driver.open_tickets)
    revisions = {ticket: cluster.state.keys[records.open_key(ticket)]["mark"] for ticket in lost_tickets}
    controller_clients = [gateway.controllers for gateway in cluster.gateways.values()]
    cluster.kill_gateway("g0")
    killed_at = cluster.clock.seconds()
    first_s = half_s = 0.0
    while cluster.clock.seconds() - killed_at < 600 and any(
        key.startswith(records.OPEN_PREFIX) for key in cluster.state.keys
    ):
        cluster.controllers.finish_jobs()
        cluster.pass_time(0.5)
        if not half_s:
            moved_count = sum(
                records.open_key(ticket) not in cluster.state.keys
                or cluster.state.keys[records.open_key(ticket)]["mark"] != revision
                for ticket, revision in revisions.items()
            )
            elapsed_s = cluster.clock.seconds() - killed_at
            first_s = first_s or (elapsed_s if moved_count else 0.0)
            half_s = elapsed_s if 2 * moved_count >= len(lost_tickets) else 0.0
    assert len(set(cluster.controllers.submitted)) == len(cluster.controllers.submitted) == 3 * count, (
        "each step must be submitted as exactly one job"
    )
    changed_keys = [event.get("write") or event["drop"] for event in cluster.state.log]
    store_calls = [call for call in cluster.net.calls if call[1].startswith("s:1")]
    return Cost(
        count,
        accept.get_value_at_percentile(50) / 1000,
        accept.get_value_at_percentile(99) / 1000,
        round(1000 * (time.process_time() - began_cpu_s) / count, 2),
        round(len(store_calls) / count, 1),
        round(sum(key.startswith(records.KEY_PREFIX) for key in changed_keys) / count, 1),
        round(sum(client.requests for client in controller_clients) / count, 1),
        sum(client.retried for client in controller_clients),
        len(lost_tickets),
        round(first_s, 1),
        round(half_s, 1),
    )


def main(arguments: list[str]) -> int:
    """Measures and prints the costs; returns 0."""
    parser = argparse.ArgumentParser(prog="benchmarks.tickets", description="What ticket gateways cost.")
    parser.add_argument("--tickets", type=int, default=1000)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    cost = measure(options.tickets)
    if options.json:
        print(msgspec.json.encode(cost).decode())
    else:
        for name in Cost.__struct_fields__:
            print(f"{name.replace('_', ' '):32} {getattr(cost, name)}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
