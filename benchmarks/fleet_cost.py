"""Measures the processor time of a leader's operations for one number of machines, all running tasks."""

from __future__ import annotations

import gc
import json
from collections.abc import Callable, Iterator
from statistics import median_high
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.meter import Meter, resident_mb
from benchmarks.simulated_fleet import await_tokens, open_job_write, report_all, start_machine, stop_loops, store
from meadowcross.autoscaling.messages import encode
from meadowcross.common.types import NodeName
from meadowcross.leadership.term import LeaderTerm
from meadowcross.workers.api import WorkerApi
from meadowcross.workers.heartbeat_tracker import HeartbeatTracker
from simulation.standins import Worker
from tests.support.world import World, job

TASKS_PER_MACHINE = 8
"""Tasks that run on each machine at the start."""
ROUNDS = 30
"""How often each operation is measured; the result is the median."""
WAITING_JOBS = 40
"""Pending jobs for which there are no free resources; each placement pass considers them beside the new jobs."""
HEARTBEATS = 3000
REQUEST_ROUNDS, TASKS_PER_ROUND = 5, 10
"""Rounds, and tasks in each, for which requests to the store are counted."""
TAKEOVER_JOB = "wk-000009"

TaskKey = tuple[str, int]


def _fill(world: World, machines: int) -> None:
    """Store the jobs, tasks and machines of a previous leader, and start workers that run the tasks."""
    names = [f"i-{number:06d}" for number in range(machines)]
    writes: list[dict[str, Any]] = []
    for number, name in enumerate(names):
        writes.append(start_machine(world, name, "east"))
        job_id = f"wk-1{number:05d}"
        for task in range(TASKS_PER_MACHINE):
            key = (f"{job_id}/{task}", 1)
            world.workers[name].tasks[key] = {"head": key[0], "round": 1, "standing": "running"}
        # These tasks use all resources, and nothing here may preempt them.
        spec = job(id=job_id, heads=TASKS_PER_MACHINE, cpus=2.0, grazeS=600.0, sundownS=None, rank="urgent")
        writes.append(open_job_write(spec, 900.0))
        writes.append({"write": f"t/{job_id}/00000", "data": [[1, name]] * TASKS_PER_MACHINE})
    for number in range(WAITING_JOBS):
        spec = job(id=f"wk-2{number:05d}", heads=50, cpus=1.0 + number % 7, rank="idle", grazeS=600.0, sundownS=None)
        writes.append(open_job_write(spec, 950.0))
    store(world, writes)
    # Machines could be created for the waiting jobs; that is not measured here.
    world.cloud.full = True


class FleetMeasurement:
    """A term with so many machines, and the operations measured on it."""

    def __init__(self, machines: int) -> None:
        self._world = world = World()
        world.reporting = False
        _fill(world, machines)
        self._meter = Meter(world)
        gc.collect()
        empty_mb = resident_mb()
        self._takeover_s = self._measure_takeover()
        assert world.term is not None
        self._term: LeaderTerm = world.term
        await_tokens(world, self._term)
        gc.collect()
        self._memory_mb = resident_mb() - empty_mb
        self._workers = list(world.workers.values())
        self._api = WorkerApi(
            lambda: self._term.handle_heartbeat, lambda: NodeName("n0"), HeartbeatTracker(world.clock, 4.75)
        )
        # One task of each machine in turn, so that resources become free on as many machines as possible.
        self._tasks_to_end: Iterator[tuple[Worker, TaskKey]] = iter(
            [
                (worker, (f"wk-1{index:05d}/{task}", 1))
                for task in range(4, 0, -1)
                for index, worker in enumerate(self._workers)
            ]
        )
        self._job_number = 300_000

    def run(self) -> dict[str, float]:
        """Return the measured values, in the units of `benchmarks.cost.HEADINGS`."""
        heartbeats = self._measure_heartbeats()
        stop_loops(self._term)
        self._settle()
        idle_passes = self._repeat(self._term.scheduling_loop.run_pass)
        ticks = self._repeat(self._term.maintenance_loop.tick)
        changed_heartbeats: list[float] = []
        passes = {count: self._measure_passes(count, changed_heartbeats) for count in (1, 10)}
        fleet_ticks = self._repeat(self._term.autoscaler.tick)
        requests, changes = self._count_per_task()
        return {
            "machines": len(self._workers),
            "report_us": heartbeats.get_value_at_percentile(50) / 1e3,
            "report_p99_us": heartbeats.get_value_at_percentile(99) / 1e3,
            "changed_us": median_high(changed_heartbeats) * 1e6,
            "pass_1_us": median_high(passes[1]) * 1e6,
            "pass_10_us": median_high(passes[10]) * 1e6,
            "idle_pass_us": median_high(idle_passes) * 1e6,
            "tick_us": median_high(ticks) * 1e6,
            "fleet_tick_us": median_high(fleet_ticks) * 1e6,
            "takeover_ms": self._takeover_s * 1e3,
            "memory_mb": self._memory_mb,
            "requests": requests,
            "changes": changes,
        }

    def _repeat(self, work: Callable[[], Any]) -> list[float]:
        return [self._meter.measure(work) for _ in range(ROUNDS)]

    def _measure_takeover(self) -> float:
        """Measure a takeover, until the first task of a job that was submitted before it starts."""
        world = self._world
        world.submit(id=TAKEOVER_JOB, heads=1, cpus=0.5, memoryGb=0.5, rank="critical")
        for worker in list(world.workers.values())[:2]:
            worker.tasks.popitem()
        return self._meter.measure(self._take_over)

    def _take_over(self) -> None:
        self._world.lead()
        for _ in range(4000):
            if any(
                key[0].startswith(TAKEOVER_JOB) for worker in self._world.workers.values() for key in worker.started
            ):
                return
            self._world.clock.advance(0.01)
        raise AssertionError

    def _measure_heartbeat(self, worker: Worker) -> float:
        body = encode(worker.report())
        return self._meter.measure(lambda: self._api.handle_heartbeat(body))

    def _measure_heartbeats(self) -> HdrHistogram:
        """Measure heartbeats in which nothing changed, in nanoseconds."""
        for worker in self._workers:
            self._measure_heartbeat(worker)
        gc.collect()
        histogram = HdrHistogram(1, 10_000_000, 3)
        for number in range(HEARTBEATS):
            elapsed_s = self._measure_heartbeat(self._workers[number % len(self._workers)])
            histogram.record_value(max(1, int(elapsed_s * 1e9)))
        return histogram

    def _settle(self) -> None:
        """Handle a heartbeat of each worker, and advance the clock so that pending responses and watches arrive."""
        report_all(self._term, self._workers)
        for _ in range(10):
            self._world.clock.advance(0.05)

    def _measure_passes(self, count: int, changed_heartbeats: list[float]) -> list[float]:
        """Measure passes that place `count` tasks, and before each the heartbeats that free resources for them."""
        return [self._measure_pass(count, changed_heartbeats) for _ in range(ROUNDS // 3)]

    def _measure_pass(self, count: int, changed_heartbeats: list[float]) -> float:
        world, trigger = self._world, self._term.pass_trigger
        self._settle()
        # No pass until the new job is known: otherwise waiting jobs would use the free resources.
        was_scheduled, trigger.is_scheduled = trigger.is_scheduled, True
        changed_heartbeats += [self._end_next_task() for _ in range(count)]
        self._job_number += 1
        spec = job(id=f"wk-{self._job_number}", heads=count, cpus=2.0, rank="critical", grazeS=600.0, sundownS=None)
        world.state.transact({"if": [], "writes": [open_job_write(spec, 1000.0)]})
        for _ in range(4):
            world.clock.advance(0.05)
        trigger.is_scheduled = was_scheduled
        elapsed_s = self._meter.measure(self._term.scheduling_loop.run_pass)
        assert self._term.job_table.jobs[spec["id"]].waiting_count == 0, "not placed"
        self._settle()
        return elapsed_s

    def _end_next_task(self) -> float:
        """End a task; returns the processor time of the heartbeat that reports it."""
        worker, key = next(self._tasks_to_end)
        worker.end(key)
        return self._measure_heartbeat(worker)

    def _count_per_task(self) -> tuple[float, float]:
        """Return the requests to the store and the changes in it for each task of short jobs."""
        requests_before, changes_before = self._count_requests(), self._count_changes()
        for number in range(REQUEST_ROUNDS):
            self._run_short_job(f"wk-5{number:05d}")
        task_count = REQUEST_ROUNDS * TASKS_PER_ROUND
        return (
            (self._count_requests() - requests_before) / task_count,
            (self._count_changes() - changes_before) / task_count,
        )

    def _run_short_job(self, job_id: str) -> None:
        for _ in range(TASKS_PER_ROUND):
            self._end_next_task()
        self._settle()
        self._world.submit(id=job_id, heads=TASKS_PER_ROUND, cpus=2.0, rank="critical", grazeS=600.0, sundownS=None)
        self._settle()
        for worker in self._workers:
            for key in [task_key for task_key in worker.tasks if task_key[0].startswith(job_id)]:
                worker.end(key)
                self._measure_heartbeat(worker)
        self._settle()

    def _count_requests(self) -> int:
        """Requests to the store so far, without renewals of leases."""
        calls = self._world.net.calls
        return sum(1 for _, target, _ in calls if target.startswith("state:1") and "/renew" not in target)

    def _count_changes(self) -> int:
        """Keys written to the store in transactions so far."""
        return sum(
            len(json.loads(body).get("writes") or ())
            for method, target, body in self._world.net.calls
            if method == "POST" and target == "state:1/multi"
        )
