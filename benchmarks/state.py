"""Measures the memory and message sizes in bytes per worker, task, job and team: `python3 -m benchmarks.state`.

Memory is what the interpreter allocates for many objects of a kind, divided by their number; messages are encoded by
the production types. Both are for batch jobs of some hundred tasks and machines with eleven tasks.
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
from meadowcross.jobs import messages as job_messages
from meadowcross.jobs.job_table import JobTable
from meadowcross.relay import messages as relay_messages
from meadowcross.relay.assignment import RelayAssignment, RelayCapacity
from meadowcross.relay.relay import RelayedWorker
from meadowcross.replication.store_replica import StoreReplica
from meadowcross.workers import messages as worker_messages
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

TASKS_PER_WORKER = 11
TASKS_PER_JOB = 200
OBJECT_COUNT = 2_000
TOKEN = FencingToken(1_234)


def build_spec(number: int, tasks: int = TASKS_PER_JOB) -> job_messages.JobSpec:
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
        job_messages.JobSpec,
    )


def build_record(number: int, tasks: int = TASKS_PER_JOB) -> job_messages.JobRecord:
    """The job's record in the state service."""
    return job_messages.JobRecord(build_spec(number, tasks), WallTime(1.0), 256)


def build_heartbeat(
    machine: int, seq: int, state: worker_messages.TaskState = worker_messages.TaskState.RUNNING
) -> worker_messages.Heartbeat:
    """A heartbeat of a worker with TASKS_PER_WORKER tasks."""
    tasks = [worker_messages.TaskReport(f"wk-{machine:06d}/{number}", 1, state) for number in range(TASKS_PER_WORKER)]
    name, address = MachineId(f"i-{machine:06d}"), Address(f"10.1.{machine % 250}.7:9000")
    return worker_messages.Heartbeat(name, address, "lightbox", "saskatoon", True, 1, seq, TOKEN, None, tasks)


def bytes_each(make: Callable[[int], Any], count: int = OBJECT_COUNT) -> float:
    """Bytes of memory per object; `make` builds the object with the given number."""
    make(count)
    gc.collect()
    tracemalloc.start()
    objects = [make(number) for number in range(count)]
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (allocated - 8 * len(objects)) / count


def measure_memory() -> dict[str, float]:
    """Bytes of memory per object, by the name that is printed."""
    registry, job_table, replica, assignment = WorkerRegistry(TOKEN), JobTable(), StoreReplica(), RelayAssignment()
    assignment.relays = {NodeName("n1"): RelayCapacity("east", 10**6)}
    kind = MachineKind("lightbox", "saskatoon", True)

    def add_worker(number: int) -> Machine:
        return registry.add(Machine(MachineId(f"i-{number:06d}"), kind, None, Instant(0.0)))

    def place_task(number: int) -> None:
        job = jobs[0]
        placement = job_table.place(job, number + 1, MachineId("i-000000"), Instant(0.0))
        machine.placements[placement.task] = placement

    def put_ended_job(number: int) -> None:
        value = job_messages.encode(job_messages.EndedRecord(job_messages.JobState.DONE, TASKS_PER_JOB))
        replica.put(job_messages.ended_key(JobId(f"wk-{number:06d}")), Raw(value), Revision(number + 2))

    def build_relayed_worker(number: int) -> RelayedWorker:
        heartbeat = worker_messages.decode_heartbeat(worker_messages.encode(build_heartbeat(number, 1)))
        return RelayedWorker(heartbeat, True, 1, Instant(0.0))

    def decode_record(number: int) -> job_messages.JobRecord:
        return job_messages.decode_record(job_messages.encode(build_record(number)))

    sizes = {
        "a worker in the leader's roster": bytes_each(add_worker),
        "an open job of 200 tasks in the leader's book": bytes_each(
            lambda number: job_table.add(decode_record(number), Revision(1))
        ),
    }
    jobs = [job_table.add(build_record(10**6, 10 * OBJECT_COUNT), Revision(1))]
    machine = add_worker(10**6)
    return sizes | {
        "a placed task in the leader's book": bytes_each(place_task),
        "an ended job in a follower's picture": bytes_each(put_ended_job, 10 * OBJECT_COUNT),
        "a worker's session in a relay (11 tasks)": bytes_each(build_relayed_worker),
        "a worker's assignment in the leader": bytes_each(
            lambda number: assignment.assign(MachineId(f"i-{number:06d}"), NodeName("n1"))
        ),
        "a team's settings": bytes_each(lambda number: Team(f"team-{number}", 1.0, 2.0, 0.0, 0.0)),
    }


def measure_messages() -> dict[str, int]:
    """Encoded bytes per message or record, by the name that is printed; without HTTP headers or netstring framing."""
    heartbeat = worker_messages.encode(build_heartbeat(1, 5))
    command = worker_messages.encode(
        worker_messages.DirectCommands(TOKEN, 1, [worker_messages.Command("start", "wk-000001/7", 1)])
    )
    chunk = msgspec.json.encode([(Attempt(1), MachineId(f"i-{n:06d}")) for n in range(TASKS_PER_JOB)])
    machine = MachineRecord("lightbox", "saskatoon", True, WallTime(1.0), Address("10.1.1.7:9000"))
    name = NodeName("paddock-1")
    return {
        "a report with 11 tasks": len(heartbeat),
        "the answer to a report, no command": len(worker_messages.encode(worker_messages.HeartbeatResponse(TOKEN, []))),
        "commands with one start": len(command),
        "a renewal, in a batch of 500": len(
            msgspec.json.encode(
                relay_messages.HeartbeatRenewals(
                    name,
                    TOKEN,
                    [relay_messages.HeartbeatRenewal(MachineId(f"i-{n:06d}"), 1, 80, 90) for n in range(500)],
                )
            )
        )
        // 500,
        "a whole report passed on": len(
            msgspec.json.encode(relay_messages.ForwardedHeartbeat(7, name, TOKEN, Raw(heartbeat)))
        ),
        "commands passed on": len(
            msgspec.json.encode(relay_messages.ForwardedCommands(7, TOKEN, Address("10.1.1.7:9000"), Raw(command)))
        ),
        "a worker's answer passed back": len(
            msgspec.json.encode(
                relay_messages.CommandsAnswer(7, relay_messages.DeliveryOutcome.ANSWERED, 200, Raw(heartbeat))
            )
        ),
        "a job's record": len(job_messages.encode(build_record(1))),
        "a chunk of 200 placed tasks": len(chunk),
        "a machine's record": len(msgspec.json.encode(machine)) + len(machine_key(MachineId("i-000001"))),
        "an ended job's record": len(
            job_messages.encode(job_messages.EndedRecord(job_messages.JobState.DONE, TASKS_PER_JOB))
        ),
    }


def main() -> None:
    """Print both tables."""
    TaskId.parse.cache_clear()
    for title, figures in (("bytes held", measure_memory()), ("bytes sent", measure_messages())):
        print(f"| {title} | each |\n| --- | --- |")
        for name, value in figures.items():
            print(f"| {name} | {value:.0f} |")
        print()


if __name__ == "__main__":
    main()
