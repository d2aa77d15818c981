"""Collects the capacity that will be available soon without creating more machines.

Such capacity is requested, booting, just up, or used by tasks that are about to end.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple, Protocol

from meadowcross.autoscaling.boot_times import BootTimeEstimator
from meadowcross.autoscaling.messages import MachineType
from meadowcross.autoscaling.sizing import IncomingCapacity, ScaleOutRequest
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.types import Instant, MachineId, Seconds
from meadowcross.estimates.estimators import CAUTIOUS_QUANTILE, RunTimeEstimator
from meadowcross.estimates.samples import elapsed_run_s
from meadowcross.jobs.job_table import JobTable, PlacementPhase
from meadowcross.jobs.messages import JobSpec
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry

COMPLETION_HORIZON_BOOTS = 0.5
"""Tasks that end within half a boot time free their resources sooner than a new machine comes up."""
FORECAST_MAX_AGE_S: Seconds = 5.0
"""A machine's forecast is computed again after this time, as the expected run times change slowly."""


class MachineAvailability(Protocol):
    """Check for machines that are schedulable now or will be in a moment."""

    def usability_check(self) -> Callable[[Machine], bool]:
        """Return a predicate that is true for machines that are schedulable now or will be in a moment."""


class _Completion(NamedTuple):
    """The expected end of a task, and the spec of its job."""

    ends_at: Instant
    spec: JobSpec


class _Forecast(NamedTuple):
    """Expected completions on a machine, soonest first, valid for one `change_count` of the machine."""

    change_count: int
    computed_at: Instant
    completions: list[_Completion]


class TaskCompletionForecast:
    """Forecasts when the tasks on each machine end.

    A machine's forecast is cached until a task is placed, ends or begins to run there, or for `FORECAST_MAX_AGE_S`:
    computed from all tasks for every new job, the forecasts were the largest part of a busy leader's work (2.1 of
    17.7 s under a profiler, 640 machines).
    """

    def __init__(self, job_table: JobTable, run_time_estimator: RunTimeEstimator) -> None:
        self._job_table = job_table
        self._run_time_estimator = run_time_estimator
        self._cache: dict[MachineId, _Forecast] = {}

    def completions_before(self, machine: Machine, deadline: Instant, now: Instant) -> Iterator[JobSpec]:
        """Yield the job spec of each task that is expected to end on the machine before the deadline."""
        forecast = self._cache.get(machine.id)
        if (
            forecast is None
            or forecast.change_count != machine.change_count
            or now - forecast.computed_at > FORECAST_MAX_AGE_S
        ):
            completions = sorted(self._list_completions(machine, now), key=lambda completion: completion.ends_at)
            forecast = self._cache[machine.id] = _Forecast(machine.change_count, now, completions)
        for completion in forecast.completions:
            if completion.ends_at >= deadline:
                return
            yield completion.spec

    def _list_completions(self, machine: Machine, now: Instant) -> list[_Completion]:
        completions: list[_Completion] = []
        for placement in machine.placements.values():
            job = self._job_table.jobs.get(placement.task.job)
            if job is not None and placement.phase is PlacementPhase.RUNNING and placement.running_at is not None:
                with ErrorBoundary("forecasting the end of a task", job=job.id):
                    remaining_s = self._run_time_estimator.remaining_time(
                        job.spec, elapsed_run_s(job, placement, now), CAUTIOUS_QUANTILE
                    )
                    completions.append(_Completion(Instant(now + remaining_s), job.spec))
        return completions

    def forget(self, machine: MachineId) -> None:
        """Drop the forecast of a deleted machine."""
        self._cache.pop(machine, None)


class IncomingCapacityCollector:
    """Collects the incoming capacity at one instant.

    The `boot_s` of `machine_types` is the expected boot time of the type, not the stated one.
    """

    def __init__(
        self,
        machine_types: dict[str, MachineType],
        boot_times: BootTimeEstimator,
        completions: TaskCompletionForecast,
        now: Instant,
    ) -> None:
        self._machine_types = machine_types
        self._boot_times = boot_times
        self._completions = completions
        self._now = now

    def collect(
        self,
        open_requests: Iterable[ScaleOutRequest],
        worker_registry: WorkerRegistry,
        availability: MachineAvailability,
        horizon_boots: float = COMPLETION_HORIZON_BOOTS,
    ) -> list[IncomingCapacity]:
        """Return the incoming capacity of open requests and of machines that are not decommissioned.

        Resources of tasks that are expected to end within `horizon_boots` boot times are included.
        """
        incoming = [self._requested_capacity(request) for request in open_requests]
        machines = [machine for machine in worker_registry.machines.values() if machine.decommission_reason is None]
        overdue_after_s = self._overdue_after_s(machines)
        is_usable = availability.usability_check()
        for machine in machines:
            machine_type = machine.machine_type
            if machine_type is None:
                continue
            if machine.is_up:
                if not is_usable(machine):
                    continue
            elif self._now - machine.created_at > overdue_after_s[machine_type.name]:
                # The machine may still come up, but a machine created now is likely to come up sooner.
                continue
            capacity = IncomingCapacity(
                machine.kind,
                machine_type.cpus - machine.usage.cpus,
                machine_type.gpus - machine.usage.gpus,
                machine_type.memory_gb - machine.usage.memory_gb,
            )
            if machine.is_up:
                horizon_s = horizon_boots * self._machine_types[machine_type.name].boot_s
                self._add_completions(capacity, machine, Instant(self._now + horizon_s))
            incoming.append(capacity)
        return incoming

    def _requested_capacity(self, request: ScaleOutRequest) -> IncomingCapacity:
        machine_type, count = self._machine_types[request.kind.type], request.machine_count
        return IncomingCapacity(
            request.kind, machine_type.cpus * count, machine_type.gpus * count, machine_type.memory_gb * count
        )

    def _overdue_after_s(self, machines: Iterable[Machine]) -> dict[str, Seconds]:
        """Return by machine type the time after which a booting machine does not count as incoming capacity."""
        waiting_s: dict[str, list[Seconds]] = {name: [] for name in self._machine_types}
        for machine in machines:
            if not machine.is_up and machine.machine_type is not None:
                waiting_s[machine.machine_type.name].append(self._now - machine.created_at)
        return {
            name: self._boot_times.overdue_after_s(machine_type, waiting_s[name], self._now)
            for name, machine_type in self._machine_types.items()
        }

    def _add_completions(self, capacity: IncomingCapacity, machine: Machine, horizon_at: Instant) -> None:
        for spec in self._completions.completions_before(machine, horizon_at, self._now):
            capacity.cpus += spec.cpus
            capacity.gpus += spec.gpus
            capacity.memory_gb += spec.memory_gb
