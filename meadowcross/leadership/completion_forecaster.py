"""Forecasts when open jobs will be done, for users' queries.

`estimates.completion_time` computes the median. The interval around it follows from the errors of recent medians in the
same stage: whether the job still waits for capacity, and its priority.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from meadowcross.autoscaling.autoscaler import Autoscaler
from meadowcross.autoscaling.machine_kinds import list_machine_kinds
from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.clock import Clock
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, JobId, MachineKind, Seconds
from meadowcross.estimates.completion_time import CompletionForecast, RemainingWork, median_completion_s
from meadowcross.estimates.run_time_model import RunTimeModel
from meadowcross.estimates.samples import elapsed_run_s
from meadowcross.jobs.job_table import Job, JobTable, PlacementPhase
from meadowcross.jobs.messages import JobKind
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.placement.model import count_slots, is_kind_allowed, queue_order
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("estimates")

CAPACITY_PERIOD_S: Seconds = 4.0
"""The capacity snapshot that all forecasts use is computed at most this often, and only for a query."""
FORECAST_VALID_S: Seconds = 15.0
"""How long a forecast is repeated, less the time that has passed: users query about every five seconds, and each query
without this cache took a tenth of the time that a task takes."""
WAITING, PLACED = "waiting", "placed"
MIN_RECORDING_AGE_S: Seconds = 2.0
"""A job's first forecast is recorded for evaluation once the job has been open for this time."""
MIN_FORECAST_S: Seconds = 1.0
MIN_FETCH_GB_PER_S = 0.01
MAX_CACHED_FORECASTS = 20_000
MAX_FORECASTS_PER_PERIOD = 100
"""Limit for each `CAPACITY_PERIOD_S`; a query beyond it gets the job's last forecast, or none."""


class _CachedForecast(NamedTuple):
    """The last forecast of a job."""

    forecast_at: Instant
    ends: CompletionForecast
    """In seconds from `forecast_at`."""
    stage: str


class _RecordedForecast(NamedTuple):
    """A forecast that is compared with the job's actual end."""

    forecast_at: Instant
    ends: CompletionForecast
    raw_median_s: Seconds


class _CapacitySnapshot:
    """The machines of each kind, and the work ahead of each waiting job, at one instant."""

    def __init__(
        self,
        taken_at: Instant,
        scheduling_view: SchedulingView,
        worker_registry: WorkerRegistry,
        machine_types: list[MachineType],
        expected_boot_s: Callable[[MachineType], Seconds],
        may_create: Callable[[MachineKind], bool],
    ) -> None:
        self.taken_at = taken_at
        self.headroom = scheduling_view.quota_headroom()
        self.machines_up: Counter[MachineKind] = Counter()
        self.remaining_boot_s: dict[MachineKind, Seconds] = {}
        """The time until the first booting machine of each kind is up."""
        self.machine_types = {t.name: t for t in machine_types}
        self.expected_boot_s = expected_boot_s
        self.creatable_kinds = [(kind, t) for kind, t in list_machine_kinds(machine_types) if may_create(kind)]
        """The machine kinds that would be created for tasks without capacity."""
        cpus = self._count_machines(worker_registry)
        self.queue_wait_s = self._compute_queue_waits(scheduling_view, cpus)

    def _count_machines(self, worker_registry: WorkerRegistry) -> float:
        """Set `machines_up` and `remaining_boot_s`; returns the CPUs of all machines in use."""
        cpus = 0.0
        for machine in worker_registry.machines.values():
            if machine.machine_type is None or machine.decommission_reason is not None:
                continue
            cpus += machine.machine_type.cpus
            if machine.is_up:
                self.machines_up[machine.kind] += 1
            else:
                boot_s = self.expected_boot_s(machine.machine_type)
                left_s = max(0.0, boot_s - (self.taken_at - machine.created_at))
                self.remaining_boot_s[machine.kind] = min(left_s, self.remaining_boot_s.get(machine.kind, left_s))
        return cpus

    @staticmethod
    def _compute_queue_waits(scheduling_view: SchedulingView, cpus: float) -> dict[JobId, Seconds]:
        """Returns how long the work ahead of each waiting job takes on this number of CPUs."""
        wait_s = {}
        cpu_seconds_ahead = 0.0
        for pending_job in sorted(scheduling_view.pending_jobs(), key=queue_order):
            wait_s[pending_job.job_id] = cpu_seconds_ahead / cpus if cpus > 0 else 0.0
            cpu_seconds_ahead += pending_job.task_count * pending_job.spec.cpus * pending_job.expected_run_s
        return wait_s

    def estimate_start(self, job: Job) -> tuple[int, Seconds]:
        """Returns how many of the job's tasks can run at once, and the seconds until its waiting tasks can start.

        Machines are created for tasks without capacity, so these start after a boot at the latest. If the cloud has
        just refused all machine kinds that the job may run on, they wait for the work ahead of the job."""
        spec = job.spec
        startable = sum(
            count * count_slots(spec, t.cpus, t.gpus, t.memory_gb)
            for kind, count in self.machines_up.items()
            if is_kind_allowed(spec, kind) and (t := self.machine_types.get(kind.type)) is not None
        )
        wait_s = self.queue_wait_s.get(job.id, 0.0)
        remaining_boots_s = [left_s for kind, left_s in self.remaining_boot_s.items() if is_kind_allowed(spec, kind)]
        new_boots_s = [
            self.expected_boot_s(t)
            for kind, t in self.creatable_kinds
            if is_kind_allowed(spec, kind) and count_slots(spec, t.cpus, t.gpus, t.memory_gb) > 0
        ]
        if new_boots_s:
            return max(startable, spec.tasks), min(wait_s if startable else inf, *remaining_boots_s, *new_boots_s)
        return startable, wait_s if startable or not remaining_boots_s else wait_s + min(remaining_boots_s)


class CompletionForecaster:
    """Forecasts the ends of jobs, and learns from their actual ends."""

    def __init__(
        self,
        clock: Clock,
        job_table: JobTable,
        worker_registry: WorkerRegistry,
        scheduling_view: SchedulingView,
        machine_types: Callable[[], list[MachineType]],
        autoscaler: Autoscaler,
        learned: RunTimeModel,
    ) -> None:
        self._clock = clock
        self._job_table = job_table
        self._worker_registry = worker_registry
        self._scheduling_view = scheduling_view
        self._machine_types = machine_types
        self._autoscaler = autoscaler
        self._learned = learned
        self._capacity: _CapacitySnapshot | None = None
        self._forecasts_this_period = 0
        self._cache: dict[JobId, _CachedForecast] = {}
        self._raw_medians_s: dict[JobId, Seconds] = {}
        """The last median of each job, before the correction that was learned from earlier forecasts."""
        self._pending_evaluations: dict[JobId, dict[str, _RecordedForecast]] = {}
        """The first forecast of each job in each stage."""

    @property
    def _now(self) -> Instant:
        return Instant(self._clock.seconds())

    def forecast(self, job_id: JobId) -> CompletionForecast | None:
        """Returns when the job will be done, in seconds from now.

        None for a job that has ended, is cancelled or is a service, and beyond `MAX_FORECASTS_PER_PERIOD` for a job
        without an earlier forecast."""
        job = self._job_table.jobs.get(job_id)
        if job is None or job.cancelled_at is not None or job.is_ending or job.spec.kind is JobKind.SERVICE:
            return None
        now = self._now
        cached = self._cache.get(job_id)
        stage = self._stage_of(job)
        if cached is None or now - cached.forecast_at >= FORECAST_VALID_S or cached.stage != stage:
            if self._is_capacity_outdated(now):
                self._forecasts_this_period = 0
            if self._forecasts_this_period >= MAX_FORECASTS_PER_PERIOD:
                return self._shift_to_now(cached, now) if cached is not None else None
            self._forecasts_this_period += 1
            if len(self._cache) > MAX_CACHED_FORECASTS:
                self._cache.clear()
            cached = self._cache[job_id] = _CachedForecast(now, self._compute_ends(job, stage, now), stage)
        return self._shift_to_now(cached, now)

    def _is_capacity_outdated(self, now: Instant) -> bool:
        return self._capacity is None or now - self._capacity.taken_at >= CAPACITY_PERIOD_S

    @staticmethod
    def _shift_to_now(cached: _CachedForecast, now: Instant) -> CompletionForecast:
        passed_s = now - cached.forecast_at
        return CompletionForecast(*(max(0.0, seconds - passed_s) for seconds in cached.ends))

    def _current_capacity(self, now: Instant) -> _CapacitySnapshot:
        capacity = self._capacity
        if capacity is None or self._is_capacity_outdated(now):
            capacity = self._capacity = _CapacitySnapshot(
                now,
                self._scheduling_view,
                self._worker_registry,
                self._machine_types(),
                lambda machine_type: self._autoscaler.boot_times.expected_boot_s(machine_type, now),
                self._autoscaler.is_kind_available,
            )
        return capacity

    def _compute_ends(self, job: Job, stage: str, now: Instant) -> CompletionForecast:
        capacity = self._current_capacity(now)
        spec = job.spec
        ran_s = [
            elapsed_run_s(job, p, now)
            for p in job.placements.values()
            if p.phase in (PlacementPhase.RUNNING, PlacementPhase.CHECKPOINTING)
        ]
        startable, start_wait_s = capacity.estimate_start(job)
        headroom = capacity.headroom.get(spec.team)
        allowed_tasks = headroom.max_tasks(spec) if headroom is not None else job.waiting_count
        fetches_s = [spec.image_gb / max(t.fetch_gb_per_s, MIN_FETCH_GB_PER_S) for t in capacity.machine_types.values()]
        remaining = RemainingWork(
            job.waiting_count,
            len(job.placements) - len(ran_s),
            ran_s,
            min(len(job.placements) + allowed_tasks, max(startable, len(job.placements))),
            start_wait_s if job.waiting_count else 0.0,
            min(fetches_s, default=0.0),
        )
        median_s = max(
            MIN_FORECAST_S, median_completion_s(remaining, self._learned.curve_of(spec), self._learned.job_spread(spec))
        )
        self._raw_medians_s[job.id] = median_s
        return CompletionForecast(*self._learned.correct_completion_forecast(stage, median_s))

    @staticmethod
    def _stage_of(job: Job) -> str:
        """Returns the stage of the job. It contains the priority, as preemption causes errors of its own."""
        return f"{WAITING if job.waiting_count else PLACED}/{job.spec.priority.value}"

    def record_forecasts(self) -> None:
        """Record the forecast of each job that has reached a new stage, for a comparison with its actual end. Few jobs
        reach one between two calls."""
        now = self._now
        for job in list(self._job_table.jobs.values()):
            stage = self._stage_of(job)
            recorded = self._pending_evaluations.get(job.id)
            if (recorded is None or stage not in recorded) and now - job.submitted_at >= MIN_RECORDING_AGE_S:
                with ErrorBoundary("recording a forecast", job=job.id):
                    self._record_forecast(job, stage, now)

    def _record_forecast(self, job: Job, stage: str, now: Instant) -> None:
        ends = self.forecast(job.id)
        if ends is not None:
            recorded_forecast = _RecordedForecast(now, ends, self._raw_medians_s[job.id])
            self._pending_evaluations.setdefault(job.id, {})[stage] = recorded_forecast

    def on_job_ended(self, job: Job) -> None:
        """Learn from the recorded forecasts of a job that has ended, if all of its tasks are done."""
        self._cache.pop(job.id, None)
        self._raw_medians_s.pop(job.id, None)
        recorded = self._pending_evaluations.pop(job.id, {})
        if job.cancelled_at is not None or not job.is_complete:
            return
        now = self._now
        for stage, (forecast_at, ends, raw_median_s) in recorded.items():
            actual_s = max(MIN_FORECAST_S, now - forecast_at)
            log.debug(
                "forecast evaluated job=%s stage=%s actual_s=%.1f low_s=%.1f high_s=%.1f median_s=%.1f",
                job.id,
                stage,
                actual_s,
                ends.low_s,
                ends.high_s,
                ends.median_s,
            )
            self._learned.record_completion(stage, raw_median_s, actual_s)
