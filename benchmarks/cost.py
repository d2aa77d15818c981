"""Measures what a leader's work costs by the number of machines.

`python3 -m benchmarks.cost [--sizes 50,500] [--json]` builds a leader's term for each size, in a process of its own,
with simulated services on a fake clock, all machines running and jobs waiting. It measures the processor time of single
operations, without that of the simulated services. The figures are for a whole core of this machine; for a
deployment that has a share of a core, divide them by the share. `--job-tasks` measures the steps for one job by its
tasks instead (`benchmarks/job_cost.py`).
"""

from __future__ import annotations

import argparse
import gc
import json
import logging
import subprocess
import sys
from statistics import median_high
from typing import Any

from hdrh.histogram import HdrHistogram
from msgspec import to_builtins

from benchmarks import job_cost
from benchmarks.meter import Meter

SIZES = (50, 125, 250, 500, 1000, 2000)
TASKS_PER_MACHINE = 8
"""Tasks that run on each machine at the start."""
ROUNDS = 30
"""How often each operation is measured; the table shows the median."""
WAITING_JOBS = 40
"""Pending jobs for which there are no free resources; each placement pass considers them beside the new jobs."""

HEADINGS = {
    "machines": "machines",
    "report_us": "report, nothing changed (µs)",
    "report_p99_us": "the same, 99th of 100",
    "changed_us": "report, one task ended (µs)",
    "pass_1_us": "pass that places 1 task (µs)",
    "pass_10_us": "pass that places 10 (µs)",
    "idle_pass_us": "pass that finds no room (µs)",
    "tick_us": "term's tick (µs)",
    "fleet_tick_us": "fleet's tick with sizing (µs)",
    "takeover_ms": "takeover to the first placement (ms)",
    "memory_mb": "memory over an empty term (MB)",
    "requests": "store requests a task",
    "changes": "store changes a task",
}


def resident_mb() -> float:
    """Resident memory of this process in MB of 2**20 bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096 / 2**20


def _fill(world: Any, machines: int) -> None:
    """Stores the jobs, tasks and machines of a previous leader, and starts workers that run the tasks."""
    from meadowcross.autoscaling.messages import MachineRecord
    from meadowcross.common.types import Address, WallTime
    from tests.support.world import job

    state = world.state
    state.txn_ops = 10**9
    writes: list[dict[str, Any]] = []
    names = [f"i-{number:06d}" for number in range(machines)]
    for number, name in enumerate(names):
        machine = {
            "id": name,
            "build": "large",
            "field": "east",
            "stubble": True,
            "standing": "running",
            "ageS": 90.0,
            "addr": f"{name}:9000",
        }
        world.cloud.machines[name] = machine
        world.add_worker(machine)
        record = to_builtins(MachineRecord("large", "east", True, WallTime(900.0), Address(f"{name}:9000")))
        writes.append({"write": "w/" + name, "data": record})
        tasks = []
        job_id = f"wk-1{number:05d}"
        for task in range(TASKS_PER_MACHINE):
            key = (f"{job_id}/{task}", 1)
            world.workers[name].tasks[key] = {"head": key[0], "round": 1, "standing": "running"}
            tasks.append([1, name])
        # These tasks use all resources, and nothing here may preempt them.
        spec = job(id=job_id, heads=TASKS_PER_MACHINE, cpus=2.0, grazeS=600.0, sundownS=None, rank="urgent")
        writes.append({"write": "j/" + job_id, "data": {"spec": spec, "t": 900.0, "k": 256}})
        writes.append({"write": f"t/{job_id}/00000", "data": tasks})
    for number in range(WAITING_JOBS):
        spec = job(id=f"wk-2{number:05d}", heads=50, cpus=1.0 + number % 7, rank="idle", grazeS=600.0, sundownS=None)
        writes.append({"write": "j/" + spec["id"], "data": {"spec": spec, "t": 950.0, "k": 256}})
    state.transact({"if": [], "writes": writes})
    state.txn_ops = 24
    # Machines could be created for the waiting jobs; that is not measured here.
    world.cloud.full = True


def measure(machines: int) -> dict[str, float]:
    """One row of the table, in the units of HEADINGS."""
    from meadowcross.autoscaling.messages import encode
    from meadowcross.common.types import NodeName
    from meadowcross.workers.api import WorkerApi
    from meadowcross.workers.heartbeat_tracker import HeartbeatTracker
    from meadowcross.workers.messages import decode_heartbeat
    from tests.support.world import World, job

    world = World()
    world.reporting = False
    _fill(world, machines)
    meter = Meter(world)
    gc.collect()
    empty_mb = resident_mb()

    # A takeover, until the first task of a job that was submitted before it starts.
    world.submit(id="wk-000009", heads=1, cpus=0.5, memoryGb=0.5, rank="critical")
    for worker in list(world.workers.values())[:2]:
        worker.tasks.popitem()

    def take_over() -> None:
        world.lead()
        for _ in range(4000):
            if any(
                key[0].startswith("wk-000009")
                for running_worker in world.workers.values()
                for key in running_worker.started
            ):
                return
            world.clock.advance(0.01)
        raise AssertionError("nothing was placed")

    takeover_s = meter.measure(take_over)
    term = world.term
    assert term is not None
    for _ in range(100):
        world.clock.advance(0.05)
        if all(machine.proof.has_confirmed_token for machine in term.worker_registry.machines.values()):
            break
    gc.collect()
    term_mb = resident_mb() - empty_mb

    api = WorkerApi(lambda: term.handle_heartbeat, lambda: NodeName("n0"), HeartbeatTracker(world.clock, 4.75))
    workers = list(world.workers.values())

    def measure_heartbeat(worker: Any) -> float:
        body = encode(worker.report())
        return meter.measure(lambda: api.handle_heartbeat(body))

    for worker in workers:
        measure_heartbeat(worker)
    gc.collect()
    histogram = HdrHistogram(1, 10_000_000, 3)
    for number in range(3000):
        histogram.record_value(max(1, int(measure_heartbeat(workers[number % len(workers)]) * 1e9)))

    def settle() -> None:
        """Handle a heartbeat of each worker, and advance the clock so that pending responses and watches arrive."""
        for worker in workers:
            term.handle_heartbeat(decode_heartbeat(encode(worker.report())))
        for _ in range(10):
            world.clock.advance(0.05)

    # From here on, each pass is run explicitly: ticks would run additional passes.
    term.maintenance_loop.stop()
    term.autoscaler.stop()
    settle()
    idle_passes = [meter.measure(term.scheduling_loop.run_pass) for _ in range(ROUNDS)]
    ticks = [meter.measure(term.maintenance_loop.tick) for _ in range(ROUNDS)]
    changed: list[float] = []
    passes: dict[int, list[float]] = {1: [], 10: []}
    job_number = 300_000
    # One task of each machine in turn, so that resources become free on as many machines as possible.
    tasks_to_end = iter(
        [
            (running_worker, (f"wk-1{index:05d}/{task}", 1))
            for task in range(4, 0, -1)
            for index, running_worker in enumerate(workers)
        ]
    )
    for count in (1, 10):
        for _ in range(ROUNDS // 3):
            settle()
            # No pass until the new job is known: otherwise waiting jobs would use the free resources.
            was_scheduled, term.pass_trigger.is_scheduled = term.pass_trigger.is_scheduled, True
            for _ in range(count):
                worker, key = next(tasks_to_end)
                worker.end(key)
                changed.append(measure_heartbeat(worker))
            job_number += 1
            spec = job(id=f"wk-{job_number}", heads=count, cpus=2.0, rank="critical", grazeS=600.0, sundownS=None)
            world.state.transact(
                {"if": [], "writes": [{"write": "j/" + spec["id"], "data": {"spec": spec, "t": 1000.0, "k": 256}}]}
            )
            for _ in range(4):
                world.clock.advance(0.05)
            term.pass_trigger.is_scheduled = was_scheduled
            passes[count].append(meter.measure(term.scheduling_loop.run_pass))
            assert term.job_table.jobs[spec["id"]].waiting_count == 0, "not placed"
            settle()
    fleet_ticks = [meter.measure(term.autoscaler.tick) for _ in range(ROUNDS)]

    before = [_count_requests(world), _count_changes(world)]
    rounds, task_count = 5, 10
    for number in range(rounds):
        for _ in range(task_count):
            worker, key = next(tasks_to_end)
            worker.end(key)
            measure_heartbeat(worker)
        settle()
        world.submit(id=f"wk-5{number:05d}", heads=task_count, cpus=2.0, rank="critical", grazeS=600.0, sundownS=None)
        settle()
        for worker in workers:
            for key in [task_key for task_key in worker.tasks if task_key[0].startswith(f"wk-5{number:05d}")]:
                worker.end(key)
                measure_heartbeat(worker)
        settle()
    requests = _count_requests(world) - before[0]
    return {
        "machines": machines,
        "report_us": histogram.get_value_at_percentile(50) / 1e3,
        "report_p99_us": histogram.get_value_at_percentile(99) / 1e3,
        "changed_us": median_high(changed) * 1e6,
        "pass_1_us": median_high(passes[1]) * 1e6,
        "pass_10_us": median_high(passes[10]) * 1e6,
        "idle_pass_us": median_high(idle_passes) * 1e6,
        "tick_us": median_high(ticks) * 1e6,
        "fleet_tick_us": median_high(fleet_ticks) * 1e6,
        "takeover_ms": takeover_s * 1e3,
        "memory_mb": term_mb,
        "requests": requests / (rounds * task_count),
        "changes": (_count_changes(world) - before[1]) / (rounds * task_count),
    }


def _count_requests(world: Any) -> int:
    """Requests to the store so far, without renewals of leases."""
    return sum(1 for _, target, _ in world.net.calls if target.startswith("state:1") and "/renew" not in target)


def _count_changes(world: Any) -> int:
    """Keys written to the store in transactions so far."""
    return sum(
        len(json.loads(body).get("writes") or ())
        for method, target, body in world.net.calls
        if method == "POST" and target == "state:1/multi"
    )


def build_parser() -> argparse.ArgumentParser:
    """The parser of the command line."""
    parser = argparse.ArgumentParser(prog="python3 -m benchmarks.cost", description="A leader's costs against size.")
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)), help="numbers of machines, at least 50 each")
    parser.add_argument("--job-tasks", help="numbers of tasks of one job: measures the steps for it instead")
    parser.add_argument("--machines", type=int, default=200, help="machines for --job-tasks")
    parser.add_argument("--json", action="store_true", help="one object a size instead of a table")
    parser.add_argument("--here", action="store_true", help="in this process: the first size only, for profiling")
    return parser


def main(arguments: list[str]) -> int:
    """Prints a row for each size; returns 0, or 2 if the sizes can't be used."""
    options = build_parser().parse_args(arguments)
    try:
        sizes = [int(size) for size in options.sizes.split(",")]
        job_tasks = [int(tasks) for tasks in options.job_tasks.split(",")] if options.job_tasks else []
    except ValueError:
        print("benchmarks.cost: --sizes and --job-tasks take whole numbers", file=sys.stderr)
        return 2
    if job_tasks:
        job_cost.print_table(job_tasks, options.machines)
        return 0
    if min(sizes) < 50:
        print("benchmarks.cost: --sizes are at least 50", file=sys.stderr)
        return 2
    if options.here:
        print(json.dumps(measure(sizes[0])))
        # Coroutines that are closed when the interpreter exits would log errors of no interest.
        logging.disable()
        return 0
    rows = []
    for size in sizes:
        command = [sys.executable, "-m", "benchmarks.cost", "--here", "--sizes", str(size)]
        rows.append(json.loads(subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout))
        if options.json:
            print(json.dumps(rows[-1]), flush=True)
    if not options.json:
        print("| " + " | ".join(HEADINGS.values()) + " |")
        print("| " + " | ".join("---" for _ in HEADINGS) + " |")
        for row in rows:
            print("| " + " | ".join(f"{row[key]:.4g}" for key in HEADINGS) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
