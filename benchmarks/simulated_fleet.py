"""Terms over simulated services with many machines, for measurements of a leader's steps."""

from __future__ import annotations

from typing import Any

from msgspec import to_builtins

from meadowcross.autoscaling.messages import MachineRecord
from meadowcross.common.types import Address, WallTime
from meadowcross.leadership.term import LeaderTerm
from meadowcross.workers.messages import decode_heartbeat, encode
from simulation.standins import Worker
from tests.support.world import World

TRANSACTION_CHANGES = 24
"""Changes in one transaction of the simulated store, once it is filled."""
RUNNING_FOR_S = 90.0


def start_machine(world: World, name: str, zone: str) -> dict[str, Any]:
    """Start the worker of a large machine that an earlier leader created; returns the write of its stored record."""
    machine = {
        "id": name,
        "build": "large",
        "field": zone,
        "stubble": True,
        "standing": "running",
        "ageS": RUNNING_FOR_S,
        "addr": f"{name}:9000",
    }
    world.cloud.machines[name] = machine
    world.add_worker(machine)
    created_at = WallTime(world.clock.seconds() - RUNNING_FOR_S)
    record = MachineRecord("large", zone, True, created_at, Address(f"{name}:9000"))
    return {"write": "w/" + name, "data": to_builtins(record)}


def open_job_write(spec: dict[str, Any], submitted_at: float) -> dict[str, Any]:
    """Return the write of an open job's record."""
    return {"write": "j/" + spec["id"], "data": {"spec": spec, "t": submitted_at, "k": 256}}


def store(world: World, writes: list[dict[str, Any]]) -> None:
    """Store the writes of an earlier leader in one transaction of any size."""
    world.state.txn_ops = 10**9
    world.state.transact({"if": [], "writes": writes})
    world.state.txn_ops = TRANSACTION_CHANGES


def await_tokens(world: World, term: LeaderTerm) -> None:
    """Advance the clock until all machines have confirmed the term's token."""
    for _ in range(400):
        if all(machine.proof.has_confirmed_token for machine in term.worker_registry.machines.values()):
            break
        world.clock.advance(0.05)


def stop_loops(term: LeaderTerm) -> None:
    """Stop the term's periodic work, so that each step runs only where it is measured."""
    term.maintenance_loop.stop()
    term.autoscaler.stop()


def report_all(term: LeaderTerm, workers: list[Worker]) -> None:
    """Handle a heartbeat of each worker."""
    for worker in workers:
        term.handle_heartbeat(decode_heartbeat(encode(worker.report())))
