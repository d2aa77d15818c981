"""Measures how long the steps of a leader hold its reactor for one job, by the job's kind, constraint and tasks.

`python3 -m benchmarks.cost --job-tasks 1000,100000 [--machines 200]` builds a term with idle machines for each row,
in a process of its own, and measures the processor time of each step. A row that takes longer than `ROW_TIMEOUT_S` is
reported as such.
"""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

from benchmarks.meter import Meter
from benchmarks.simulated_fleet import await_tokens, open_job_write, report_all, start_machine, stop_loops, store
from meadowcross.common.types import Instant, JobId, MachineId, WallTime
from meadowcross.jobs.job_table import Job, PlacementPhase
from meadowcross.leadership.maintenance_loop import EvictionPlanner
from meadowcross.leadership.term import LeaderTerm
from tests.support.world import World, job

ROW_TIMEOUT_S = 120.0
JOB_FORMS: dict[str, dict[str, Any]] = {
    "array": {"breed": "batch"},
    "array, one zone": {"breed": "batch", "oneZone": True},
    "array, spread": {"breed": "batch", "scatter": True},
    "gang": {"breed": "group"},
    "gang, one zone": {"breed": "group", "oneZone": True},
    "gang, spread": {"breed": "group", "scatter": True},
    "service": {"breed": "daemon", "grazeS": 0.0},
    "service, spread": {"breed": "daemon", "grazeS": 0.0, "scatter": True},
}
STEPS = {
    "accept": "record applied",
    "rebuild": "waiting tasks rebuilt",
    "refused_pass": "pass, gang does not fit",
    "fleet_tick": "autoscaler's tick",
    "pass": "pass that places the job",
    "next_pass": "pass after it",
    "forecast": "forecast for a user",
    "deschedule": "descheduling",
    "reclaim": "eviction notice of one machine",
    "cancel": "stopping all tasks",
}
ZONES = ["east", "west"]
MACHINE_CPUS = 16.0
FILLED_SHARE = 0.9
"""Share of all machines' CPUs that the placed job takes."""
SIZED_CPUS = 4.0
"""CPUs of a task of the job that the autoscaler sizes machines for."""
RUNNING_FOR_S = 1000.0


def _store_idle_machines(world: World, count: int) -> None:
    """Store the records of idle machines in two zones, and start their workers."""
    # The stand-ins offer the large type in one zone only; a spread needs it in both.
    world.types[1].zones[:] = ZONES
    store(world, [start_machine(world, f"i-{number:06d}", ZONES[number % 2]) for number in range(count)])
    world.cloud.full = True


def _lead(world: World) -> LeaderTerm:
    """Begin a term whose machines have all confirmed its token; its loops are stopped, so that steps run alone."""
    world.reporting = False
    term = world.lead()
    await_tokens(world, term)
    stop_loops(term)
    # Passes run only where they are measured; one that was scheduled before ends here.
    world.clock.advance(1.0)
    term.pass_trigger.set_runner(lambda: None)
    report_all(term, list(world.workers.values()))
    return term


def _accept(world: World, term: LeaderTerm, meter: Meter, **changes: Any) -> tuple[Job, float]:
    """Store a job and let the term read it; returns the job and the processor time."""
    spec = job(**changes)
    world.state.transact({"if": [], "writes": [open_job_write(spec, world.clock.seconds())]})

    def read() -> None:
        for _ in range(4):
            world.clock.advance(0.05)

    elapsed_s = meter.measure(read)
    return term.job_table.jobs[JobId(spec["id"])], elapsed_s


def _set_running(world: World, placed_job: Job) -> None:
    for placement in placed_job.placements.values():
        placement.phase = PlacementPhase.RUNNING
        placement.running_at = Instant(world.clock.seconds() - RUNNING_FOR_S)


def measure(form: str, tasks: int, machines: int) -> dict[str, float]:
    """Return the processor time of each step of STEPS in seconds; 0 for a step that does not apply to the kind."""

    world = World()
    _store_idle_machines(world, machines)
    meter = Meter(world)
    term = _lead(world)
    changes = JOB_FORMS[form] | {"memoryGb": 0.0, "sundownS": None, "stookS": 10.0, "baleS": 1.0, "heads": tasks}
    seconds: dict[str, float] = {}

    for step, cpus in (("refused_pass", MACHINE_CPUS * machines / tasks / FILLED_SHARE), ("fleet_tick", SIZED_CPUS)):
        waiting_job, _ = _accept(world, term, meter, id="wk-000001", **changes, cpus=cpus)
        if step == "fleet_tick":
            seconds[step] = meter.measure(term.autoscaler.tick)
        else:
            # Jobs of other kinds are placed in part.
            seconds[step] = meter.measure(term.scheduling_loop.run_pass) if waiting_job.is_gang else 0.0
        term.job_table.remove(waiting_job.id)

    zones = 2 if changes.get("oneZone") else 1
    cpus = FILLED_SHARE * MACHINE_CPUS * machines / tasks / zones
    placed_job, seconds["accept"] = _accept(world, term, meter, id="wk-000002", **changes, cpus=cpus)
    seconds["rebuild"] = meter.measure(lambda: term.job_table.rebuild_waiting(placed_job))
    seconds["pass"] = meter.measure(term.scheduling_loop.run_pass)
    while placed_job.waiting_count and term.pass_trigger.is_scheduled:
        # A pass that placed a part of the job has scheduled the next one, which counts if it is longer.
        seconds["pass"] = max(seconds["pass"], meter.measure(term.scheduling_loop.run_pass))
    assert not placed_job.waiting_count, f"{placed_job.waiting_count} tasks were not placed"
    _set_running(world, placed_job)
    seconds["next_pass"] = meter.measure(term.scheduling_loop.run_pass)
    seconds["forecast"] = meter.measure(lambda: term.forecast(placed_job.id))
    seconds["deschedule"] = meter.measure(term.scheduling_loop.deschedule_replicas)
    term.worker_registry.machines[MachineId("i-000000")].reclaim_at = Instant(world.clock.seconds() + 30.0)
    evictions = EvictionPlanner(term.state, term.placement_writer, term.autoscaler, term.estimators)
    seconds["reclaim"] = meter.measure(evictions.evict_reclaimed)
    placed_job.cancelled_at = WallTime(world.clock.seconds())
    seconds["cancel"] = meter.measure(lambda: term.cancellation_tracker.stop_all_tasks(placed_job))
    return seconds


def _run_row(form: str, tasks: int, machines: int) -> dict[str, float] | None:
    """Measure one row in a process of its own; None if it takes longer than `ROW_TIMEOUT_S`."""
    command = [sys.executable, "-m", "benchmarks.job_cost", form, str(tasks), str(machines)]
    try:
        output = subprocess.run(command, check=True, stdout=subprocess.PIPE, timeout=ROW_TIMEOUT_S).stdout
    except subprocess.TimeoutExpired:
        return None
    row: dict[str, float] = json.loads(output)
    return row


def print_table(task_counts: list[int], machines: int) -> None:
    """Print a row for each form and number of tasks, with the milliseconds that each step takes."""
    print(f"| job | tasks | {' | '.join(f'{heading} (ms)' for heading in STEPS.values())} |")
    print("| " + " | ".join("---" for _ in range(len(STEPS) + 2)) + " |")
    for form in JOB_FORMS:
        for tasks in task_counts:
            row = _run_row(form, tasks, machines)
            cells = [f"over {ROW_TIMEOUT_S:.0f} s in all"] if row is None else [f"{row[s] * 1e3:.3g}" for s in STEPS]
            print(f"| {form} | {tasks:,} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    print(json.dumps(measure(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))))
