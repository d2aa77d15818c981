"""Room that will be there soon without renting more: asked for, booting, just up, or held by
tasks that are about to end."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

from meadowcross.autoscaling import messages as m
from meadowcross.autoscaling.boot_times import BootTimeEstimator
from meadowcross.autoscaling.sizing import IncomingCapacity, ScaleOutRequest
from meadowcross.common.types import Instant, MachineId, Seconds
from meadowcross.estimates.runs import CAUTIOUS, Runs
from meadowcross.estimates.samples import ran
from meadowcross.jobs.job_table import JobTable, PlacementPhase
from meadowcross.jobs.messages import JobSpec
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

COMPLETION_HORIZON_BOOTS = 0.5
"""What ends within half a boot is there sooner than what is rented for it."""
FORECAST_MAX_AGE_S: Seconds = 5.0


class MachineAvailability(Protocol):
    """Which machines are offered, or will be in a moment."""

    def usability_check(self) -> Callable[[Machine], bool]: ...


class TaskCompletionForecast:
    """When tasks on each machine are expected to end, soonest first. Worked out again only
    where something came, went or began to run, or after some seconds, since what is expected
    of a class moves slowly: asked of all tasks for every job that came, it was the largest
    piece of a busy leader's work (2.1 of 17.7 s under a profiler, 640 machines)."""

    def __init__(self, job_table: JobTable, runs: Runs) -> None:
        self._job_table = job_table
        self._runs = runs
        self._cache: dict[MachineId, tuple[int, Instant, list[tuple[Instant, JobSpec]]]] = {}

    def completions_before(self, machine: Machine, deadline: Instant, now: Instant) -> Iterator[JobSpec]:
        """What is expected to end there before the given time."""
        changes, forecast_at, completions = self._cache.get(machine.id, (-1, now, []))
        if changes != machine.change_count or now - forecast_at > FORECAST_MAX_AGE_S:
            completions = sorted(self._forecast(machine, now), key=lambda end: end[0])
            self._cache[machine.id] = (machine.change_count, now, completions)
        for completion_at, spec in completions:
            if completion_at >= deadline:
                return
            yield spec

    def _forecast(self, machine: Machine, now: Instant) -> Iterator[tuple[Instant, JobSpec]]:
        for placement in machine.placements.values():
            job = self._job_table.jobs.get(placement.task.job)
            if job is not None and placement.phase is PlacementPhase.RUNNING and placement.running_at is not None:
                yield Instant(now + self._runs.left(job.spec, ran(job, placement, now), CAUTIOUS)), job.spec

    def forget(self, machine: MachineId) -> None:
        self._cache.pop(machine, None)


def collect_incoming_capacity(
    open_requests: Iterable[ScaleOutRequest],
    worker_registry: WorkerRegistry,
    completions: TaskCompletionForecast,
    availability: MachineAvailability,
    boot_times: BootTimeEstimator,
    machine_types: dict[str, m.MachineType],
    now: Instant,
    horizon_boots: float = COMPLETION_HORIZON_BOOTS,
) -> list[IncomingCapacity]:
    """`freed_boots`: what ends within so many boots counts as room."""
    incoming = []
    for request in open_requests:
        requested_type, count = machine_types[request.kind.type], request.machine_count
        incoming.append(
            IncomingCapacity(
                request.kind, requested_type.cpus * count, requested_type.gpus * count, requested_type.memory_gb * count
            )
        )
    machines = [x for x in worker_registry.machines.values() if x.decommission_reason is None]
    waiting_s_by_type: dict[str, list[Seconds]] = {name: [] for name in machine_types}
    for machine in machines:
        if not machine.is_up and machine.machine_type is not None:
            waiting_s_by_type[machine.machine_type.name].append(now - machine.rented_at)
    overdue_after_s = {
        name: boot_times.overdue_after_s(requested_type, waiting_s_by_type[name], now)
        for name, requested_type in machine_types.items()
    }
    is_usable = availability.usability_check()
    for machine in machines:
        machine_type = machine.machine_type
        if machine_type is None:
            continue
        if not machine.is_up and now - machine.rented_at > overdue_after_s[machine_type.name]:
            # It may still come, but what is rented now is likely to be there sooner.
            continue
        if not machine.is_up or is_usable(machine):
            capacity = IncomingCapacity(
                machine.kind,
                machine_type.cpus - machine.usage.cpus,
                machine_type.gpus - machine.usage.gpus,
                machine_type.memory_gb - machine.usage.memory_gb,
            )
            incoming.append(capacity)
            if machine.is_up:
                horizon_at = Instant(now + horizon_boots * machine_types[machine_type.name].boot_s)
                for spec in completions.completions_before(machine, horizon_at, now):
                    capacity.cpus += spec.cpus
                    capacity.gpus += spec.gpus
                    capacity.memory_gb += spec.memory_gb
    return incoming
