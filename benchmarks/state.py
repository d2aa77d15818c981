"""What each role holds and sends, in bytes for each worker, task, job and team: `python3 -m benchmarks.state`.

Memory is what the interpreter allocates for many of a kind, divided by their number; messages are encoded by the nodes'
own types. Both are for batch jobs of some hundred tasks and machines with eleven tasks.
"""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Raw

from meadowcross.autoscaling.messages import MachineRecord, machine_key
from meadowcross.common.settings import Team
from meadowcross.common.types import (
    Address,
    Attempt,
    FencingToken,
    Instant,
    JobId,
    MachineId,
    MachineKind,
    NodeName,
    Revision,
    TaskId,
    WallTime,
)
from meadowcross.jobs import messages as jm
from meadowcross.jobs.job_table import JobTable
from meadowcross.relay import messages as rm
from meadowcross.relay.assignment import RelayAssignment, RelayCapacity
from meadowcross.relay.relay import RelayedWorker
from meadowcross.replication.store_replica import StoreReplica
from meadowcross.workers import messages as wm
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

TASKS_A_WORKER = 11
TASKS_A_JOB = 200
MANY = 2_000
TOKEN = FencingToken(1_234)


def spec(number: int, tasks: int = TASKS_A_JOB) -> jm.JobSpec:
    """A batch job as users submit it."""
    return msgspec.convert(
        {
            "id": f"wk-{number:06d}",
            "herd": "caption-index",
            "steward": f"team-{number % 47}",
            "breed": "batch",
            "rank": "normal",
            "heads": tasks,
            "cpus": 1.2,
            "gpus": 0.0,
            "memoryGb": 2.0,
            "feedstock": "img-07",
            "pullGb": 1.5,
            "builds": None,
            "field": None,
            "oneZone": False,
            "scatter": False,
            "stubble": True,
            "grazeS": 120.0,
            "stookS": 0.0,
            "baleS": 0.0,
            "sundownS": 600.0,
        },
        jm.JobSpec,
    )


def record(number: int, tasks: int = TASKS_A_JOB) -> jm.JobRecord:
    """Its record in the state service."""
    return jm.JobRecord(spec(number, tasks), WallTime(1.0), 256)


def report(machine: int, seq: int, state: wm.TaskState = wm.TaskState.RUNNING) -> wm.Heartbeat:
    """Of a worker with its usual tasks."""
    tasks = [wm.TaskReport(f"wk-{machine:06d}/{number}", 1, state) for number in range(TASKS_A_WORKER)]
    name, address = MachineId(f"i-{machine:06d}"), Address(f"10.1.{machine % 250}.7:9000")
    return wm.Heartbeat(name, address, "lightbox", "saskatoon", True, 1, seq, TOKEN, None, tasks)


def bytes_each(make: Callable[[int], Any], count: int = MANY) -> float:
    """Memory that one of many takes."""
    make(count)
    gc.collect()
    tracemalloc.start()
    held = [make(number) for number in range(count)]
    gc.collect()
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (taken - 8 * len(held)) / count


def memory() -> dict[str, float]:
    """Bytes of one of each kind."""
    roster, book, picture, assignment = WorkerRegistry(TOKEN), JobTable(), StoreReplica(), RelayAssignment()
    assignment.relays = {NodeName("n1"): RelayCapacity("east", 10**6)}
    kind = MachineKind("lightbox", "saskatoon", True)

    def worker(number: int) -> Machine:
        return roster.add(Machine(MachineId(f"i-{number:06d}"), kind, None, Instant(0.0)))

    def placed(number: int) -> None:
        job = jobs[0]
        placement = book.place(job, number + 1, MachineId("i-000000"), Instant(0.0))
        machine.placements[placement.task] = placement

    def ended(number: int) -> None:
        value = jm.encode(jm.EndedRecord(jm.JobState.DONE, TASKS_A_JOB))
        picture.put(jm.ended_key(JobId(f"wk-{number:06d}")), Raw(value), Revision(number + 2))

    def session(number: int) -> RelayedWorker:
        whole = wm.decode_heartbeat(wm.encode(report(number, 1)))
        return RelayedWorker(whole, True, 1, Instant(0.0))

    def decoded(number: int) -> jm.JobRecord:
        return jm.decode_record(jm.encode(record(number)))

    found = {
        "a worker in the leader's roster": bytes_each(worker),
        "an open job of 200 tasks in the leader's book": bytes_each(
            lambda number: book.add(decoded(number), Revision(1))
        ),
    }
    jobs = [book.add(record(10**6, 10 * MANY), Revision(1))]
    machine = worker(10**6)
    return found | {
        "a placed task in the leader's book": bytes_each(placed),
        "an ended job in a follower's picture": bytes_each(ended, 10 * MANY),
        "a worker's session in a relay (11 tasks)": bytes_each(session),
        "a worker's assignment in the leader": bytes_each(
            lambda number: assignment.assign(MachineId(f"i-{number:06d}"), NodeName("n1"))
        ),
        "a team's settings": bytes_each(lambda number: Team(f"team-{number}", 1.0, 2.0, 0.0, 0.0)),
    }


def messages() -> dict[str, int]:
    """Bytes of one of each kind, without HTTP's or netstrings' own."""
    whole = wm.encode(report(1, 5))
    command = wm.encode(wm.DirectCommands(TOKEN, 1, [wm.Command("start", "wk-000001/7", 1)]))
    chunk = msgspec.json.encode([(Attempt(1), MachineId(f"i-{n:06d}")) for n in range(TASKS_A_JOB)])
    machine = MachineRecord("lightbox", "saskatoon", True, WallTime(1.0), Address("10.1.1.7:9000"))
    name = NodeName("paddock-1")
    return {
        "a report with 11 tasks": len(whole),
        "the answer to a report, no command": len(wm.encode(wm.HeartbeatResponse(TOKEN, []))),
        "commands with one start": len(command),
        "a renewal, in a batch of 500": len(
            msgspec.json.encode(
                rm.HeartbeatRenewals(
                    name, TOKEN, [rm.HeartbeatRenewal(MachineId(f"i-{n:06d}"), 1, 80, 90) for n in range(500)]
                )
            )
        )
        // 500,
        "a whole report passed on": len(msgspec.json.encode(rm.ForwardedHeartbeat(7, name, TOKEN, Raw(whole)))),
        "commands passed on": len(
            msgspec.json.encode(rm.ForwardedCommands(7, TOKEN, Address("10.1.1.7:9000"), Raw(command)))
        ),
        "a worker's answer passed back": len(
            msgspec.json.encode(rm.CommandsAnswer(7, rm.DeliveryOutcome.ANSWERED, 200, Raw(whole)))
        ),
        "a job's record": len(jm.encode(record(1))),
        "a chunk of 200 placed tasks": len(chunk),
        "a machine's record": len(msgspec.json.encode(machine)) + len(machine_key(MachineId("i-000001"))),
        "an ended job's record": len(jm.encode(jm.EndedRecord(jm.JobState.DONE, TASKS_A_JOB))),
    }


def main() -> None:
    """Print both tables."""
    TaskId.parse.cache_clear()
    for title, figures in (("bytes held", memory()), ("bytes sent", messages())):
        print(f"| {title} | each |\n| --- | --- |")
        for name, value in figures.items():
            print(f"| {name} | {value:.0f} |")
        print()


if __name__ == "__main__":
    main()
