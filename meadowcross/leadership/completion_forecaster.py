"""When open jobs will be done, from the leader's picture; asked by users' questions.

The time is worked out by `estimates.finish`; how far such times have been off lately gives
the interval around it, told apart by whether the job still waited for room.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import inf

from meadowcross.autoscaling.autoscaler import Autoscaler
from meadowcross.autoscaling.machine_kinds import list_machine_kinds
from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, JobId, MachineKind, Seconds
from meadowcross.estimates.finish import Ends, Left, middle_of
from meadowcross.estimates.learned import Learned
from meadowcross.estimates.samples import ran
from meadowcross.jobs.job_table import Job, JobTable, PlacementPhase
from meadowcross.jobs.messages import JobKind
from meadowcross.leadership.scheduling_view import SchedulingView
from meadowcross.placement.model import count_slots, is_kind_allowed, queue_order
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("estimates")

CAPACITY_PERIOD_S: Seconds = 4.0
"""What all jobs' times rest on is worked out so often, and only if somebody asks."""
FORECAST_VALID_S: Seconds = 15.0
"""A job's time is told for so long, less what has passed: users ask every five seconds or so, and each
question once cost a tenth of what a task costs."""
WAITING, PLACED = "waiting", "placed"
FIRST_SAMPLE_S: Seconds = 2.0
"""A job's first time is kept for judging once it has been open for so long."""
MIN_FORECAST_S: Seconds = 1.0
MAX_CACHED = 20_000
MAX_FORECASTS_PER_PERIOD = 100
"""In each such period; who asks beyond that gets what was said last, or nothing."""


class _CapacitySnapshot:
    """What stands before each waiting job, and which machines there are."""

    def __init__(
        self,
        taken_at: Instant,
        scheduling_view: SchedulingView,
        worker_registry: WorkerRegistry,
        machine_types: list[MachineType],
        expected_boot: Callable[[MachineType], Seconds],
        may_rent: Callable[[MachineKind], bool],
    ) -> None:
        self.taken_at = taken_at
        self.headroom = scheduling_view.quota_headroom()
        self.machines_up: Counter[MachineKind] = Counter()
        self.boots_left_s: dict[MachineKind, Seconds] = {}
        """Until the first machine of a kind that is under way is up."""
        cpus = 0.0
        for machine in worker_registry.machines.values():
            if machine.machine_type is None or machine.decommission_reason is not None:
                continue
            cpus += machine.machine_type.cpus
            if machine.is_up:
                self.machines_up[machine.kind] += 1
            else:
                boot_left_s = max(0.0, expected_boot(machine.machine_type) - (taken_at - machine.rented_at))
                self.boots_left_s[machine.kind] = min(boot_left_s, self.boots_left_s.get(machine.kind, boot_left_s))
        self.machine_types = {t.name: t for t in machine_types}
        self.expected_boot = expected_boot
        self.rentable = [(kind, t) for kind, t in list_machine_kinds(machine_types) if may_rent(kind)]
        """What would be rented for work that finds no room."""
        self.wait_s: dict[JobId, Seconds] = {}
        cpu_seconds_ahead = 0.0
        for pending_job in sorted(scheduling_view.pending_jobs(), key=queue_order):
            self.wait_s[pending_job.job_id] = cpu_seconds_ahead / cpus if cpus > 0 else 0.0
            cpu_seconds_ahead += pending_job.task_count * pending_job.spec.cpus * pending_job.expected_run_s

    def room_for(self, job: Job) -> tuple[int, Seconds]:
        """How many of its tasks have room at once, and when its waiting tasks' turn comes.

        What finds no room is rented for, so its turn comes after a boot at the latest, unless
        the cloud has just refused all that it may run on; then it waits for what is ahead."""
        spec = job.spec
        startable = sum(
            count * count_slots(spec, t.cpus, t.gpus, t.memory_gb)
            for kind, count in self.machines_up.items()
            if is_kind_allowed(spec, kind) and (t := self.machine_types.get(kind.type)) is not None
        )
        turn_s = self.wait_s.get(job.id, 0.0)
        boots_left_s = [left for kind, left in self.boots_left_s.items() if is_kind_allowed(spec, kind)]
        rentable_boots_s = [
            self.expected_boot(t)
            for kind, t in self.rentable
            if is_kind_allowed(spec, kind) and count_slots(spec, t.cpus, t.gpus, t.memory_gb) > 0
        ]
        if rentable_boots_s:
            return max(startable, spec.tasks), min(turn_s if startable else inf, *boots_left_s, *rentable_boots_s)
        return startable, turn_s if startable or not boots_left_s else turn_s + min(boots_left_s)


class CompletionForecaster:
    def __init__(
        self,
        clock: Clock,
        job_table: JobTable,
        worker_registry: WorkerRegistry,
        scheduling_view: SchedulingView,
        machine_types: Callable[[], list[MachineType]],
        autoscaler: Autoscaler,
        learned: Learned,
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
        self._cache: dict[JobId, tuple[Instant, Ends, str]] = {}
        self._raw_medians_s: dict[JobId, Seconds] = {}
        """As worked out last, before what was learned of such times moved them."""
        self._pending_evaluations: dict[JobId, dict[str, tuple[Instant, Ends, Seconds]]] = {}
        """What was said of a job while it waited, and once all of it was placed."""

    @property
    def _now(self) -> Instant:
        return Instant(self._clock.seconds())

    def forecast(self, job_id: JobId) -> Ends | None:
        """When the job will be done; None for one that is over, cancelled or a service."""
        job = self._job_table.jobs.get(job_id)
        if job is None or job.cancelled_at is not None or job.is_ending or job.spec.kind is JobKind.SERVICE:
            return None
        now = self._now
        cached = self._cache.get(job_id)
        stage = self._stage(job)
        if cached is None or now - cached[0] >= FORECAST_VALID_S or cached[2] != stage:
            if self._capacity is None or now - self._capacity.taken_at >= CAPACITY_PERIOD_S:
                self._forecasts_this_period = 0
            if self._forecasts_this_period >= MAX_FORECASTS_PER_PERIOD:
                return self._shifted(cached, now) if cached is not None else None
            self._forecasts_this_period += 1
            if len(self._cache) > MAX_CACHED:
                self._cache.clear()
            cached = self._cache[job_id] = (now, self._compute(job, stage, now), stage)
        return self._shifted(cached, now)

    @staticmethod
    def _shifted(cached: tuple[Instant, Ends, str], now: Instant) -> Ends:
        return Ends(*(max(0.0, one - (now - cached[0])) for one in cached[1]))

    def _compute(self, job: Job, stage: str, now: Instant) -> Ends:
        if self._capacity is None or now - self._capacity.taken_at >= CAPACITY_PERIOD_S:
            machine_types = self._machine_types()
            self._capacity = _CapacitySnapshot(
                now,
                self._scheduling_view,
                self._worker_registry,
                machine_types,
                lambda t: self._autoscaler.boot_times.expected_boot_s(t, now),
                self._autoscaler.is_kind_available,
            )
        capacity = self._capacity
        spec = job.spec
        ran_s = [
            ran(job, p, now)
            for p in job.placements.values()
            if p.phase in (PlacementPhase.RUNNING, PlacementPhase.CHECKPOINTING)
        ]
        startable, turn_s = capacity.room_for(job)
        headroom = capacity.headroom.get(spec.team)
        allowed_tasks = headroom.max_tasks(spec) if headroom is not None else job.waiting_count
        fetches_s = [spec.image_gb / max(t.fetch_gb_per_s, 0.01) for t in capacity.machine_types.values()]
        remaining = Left(
            job.waiting_count,
            len(job.placements) - len(ran_s),
            ran_s,
            min(len(job.placements) + allowed_tasks, max(startable, len(job.placements))),
            turn_s if job.waiting_count else 0.0,
            min(fetches_s, default=0.0),
        )
        median_s = max(MIN_FORECAST_S, middle_of(remaining, self._learned.curve_of(spec), self._learned.alike(spec)))
        self._raw_medians_s[job.id] = median_s
        return Ends(*self._learned.foresee(stage, median_s))

    @staticmethod
    def _stage(job: Job) -> str:
        """Told apart by priority too: what is stopped for others is off in its own way."""
        return f"{WAITING if job.waiting_count else PLACED}/{job.spec.priority.value}"

    def record_forecasts(self) -> None:
        """Keep what is said of each job at the first moment of each stage, to be judged by when
        it was done. Few jobs come to a new stage between two looks."""
        now = self._now
        for job in list(self._job_table.jobs.values()):
            stage = self._stage(job)
            recorded = self._pending_evaluations.get(job.id)
            if (recorded is None or stage not in recorded) and now - job.submitted_at >= FIRST_SAMPLE_S:
                forecast = self.forecast(job.id)
                if forecast is not None:
                    self._pending_evaluations.setdefault(job.id, {})[stage] = (
                        now,
                        forecast,
                        self._raw_medians_s[job.id],
                    )

    def on_job_ended(self, job: Job) -> None:
        """The job is over: learn from what was said of it."""
        self._cache.pop(job.id, None)
        self._raw_medians_s.pop(job.id, None)
        now = self._now
        for stage, (forecast_at, forecast, median_s) in self._pending_evaluations.pop(job.id, {}).items():
            if job.cancelled_at is None and job.is_complete:
                took_s = max(MIN_FORECAST_S, now - forecast_at)
                log.debug(
                    "job %s (%s) took %.1f s, said %.1f to %.1f, about %.1f",
                    job.id,
                    stage,
                    took_s,
                    forecast.low,
                    forecast.high,
                    forecast.middle,
                )
                self._learned.came(stage, median_s, took_s)
