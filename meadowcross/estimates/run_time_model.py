"""Learns run times from completed runs, on levels from all work down to one job.

A prediction starts from the owner's guess with a wide spread, and each level shrinks it towards its own samples: all
work, the team, the class, the subgroup of the class that differs most (by team, shape or machine type), and the job's
own tasks. A level counts by how many samples it has. docs/estimates.md gives the reasons.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from functools import lru_cache
from math import ceil, exp, inf, isfinite, log, log2, sqrt
from threading import RLock
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from meadowcross.common.clock import Clock
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.logging import get_logger
from meadowcross.common.types import JobId, MachineId, Seconds
from meadowcross.estimates import messages as m
from meadowcross.estimates.curve import (
    INTERVAL_COVERAGES,
    INTERVAL_INDEXES,
    MEDIAN_INDEX,
    MIN_RUN_S,
    QUANTILES,
    Curve,
    LogQuantiles,
    blend,
    lognormal,
    make_ascending,
    shift,
    widen,
)
from meadowcross.estimates.estimators import MEDIAN_QUANTILE
from meadowcross.jobs import messages as jm
from meadowcross.jobs.messages import JobSpec

if TYPE_CHECKING:
    # The sketch library is imported with the first sample, not at a node's start.
    from meadowcross.estimates.adaptive_distribution import AdaptiveDistribution
    from meadowcross.estimates.sketch import DecayingSketch

logger = get_logger("estimates")

GUESS_SIGMA = 0.8
"""Spread around an owner's guess alone: four of five runs take between a third and nearly three times of it."""
DEFAULT_RUN_S, DEFAULT_SIGMA = 60.0, 1.6
"""For a run without a guess and without any history; it only has to be plausible and wide."""
PRIOR_WEIGHT, MIN_PRIOR_SCALE = 2.0, 0.02
"""Weight of the level above, in samples of the level itself, and the lowest factor that `_shrink` scales it by."""
QUANTILE_PRIOR_WEIGHTS = tuple(PRIOR_WEIGHT / sqrt(2 * min(q, 1 - q)) for q in QUANTILES)
"""The weight of the level above at each quantile. It is larger at the tails, which few samples show."""
MIN_SUBGROUP_WEIGHT = 6.0
MIN_SUBGROUP_Z_SCORE = 2.0
"""A subgroup is used if its median differs from its class's by more than this number of standard errors ..."""
MIN_SUBGROUP_LOG_OFFSET = 0.05
"""... and by more than this, in logarithms."""
SUBGROUP_HALF_LIFE = 32.0
MAX_SUBGROUPS = 8
ERROR_DECAY = 0.97
"""Errors of the two predictors (ratio and time) are averaged over some thirty samples: a change raises both errors
alike, and must not make the worse predictor look better."""
MAX_TIME_ERROR_RATIO = 0.9
"""A class's run times are used instead of its ratios to the guess if their error is below this share of the ratios'."""
DEVIATION_DECAY = 0.9
WIDTH_STEP, MIN_WIDTH_STEP_WEIGHT = 0.06, 0.2
"""How fast the stated intervals are stretched or narrowed until their coverage is the stated one."""
MIN_LOG_WIDTH, MAX_LOG_WIDTH = -1.5, 1.5
MACHINE_DECAY = 0.7
MIN_MACHINE_SAMPLES = 3
SLOW_MACHINE_LOG_RATIO = 0.35
"""A machine is slow if its runs take e^0.35, 1.4 times, as long as the fleet's: machines of one type differ by a
tenth."""
MIN_SAMPLE_WEIGHT, LIGHT_SAMPLE_STRIDE = 0.02, 4
"""A job's samples with less weight are left out of its class, and only one of `LIGHT_SAMPLE_STRIDE` of them is used for
the interval widths and deviations. Most samples of a large array then cost next to nothing."""
FLEET_DECAY = 0.95
MAX_LOG_ERROR = 7.0
"""Errors are limited to this logarithm, a factor of about a thousand."""
OVERDUE_QUANTILE = 0.9
MAX_WEIGHT_AGAINST_OVERDUE = 10.0
"""Overdue runs are weighed against at most this number of samples."""
MAX_OVERDUE_TASKS = 32
OVERDUE_LOG_MARGIN = 0.2
"""An overdue run is expected to last about a fifth longer than it has, in logarithms."""
CLASS_CACHE_S: Seconds = 1.0
JOB_CACHE_S: Seconds = 4.0
"""How long the results computed for a class, and for one job, are reused."""
MAX_CACHED_REMAINING_TIMES = 2_000
MAX_ENTRIES = 1_000
MAX_MACHINES = 5_000
MAX_JOBS = 20_000


class RunFeatures(NamedTuple):
    """Everything that a run time is predicted from."""

    job_class: str
    team: str
    shape: str
    """See `shape_name`."""
    machine_type: str
    """Empty if it is not known yet."""
    guess_s: Seconds
    """The owner's guess; 0 if there is none."""
    job_id: str
    """Empty if it is not known."""

    @property
    def ratio_base_s(self) -> Seconds:
        """The guess, at least `MIN_RUN_S`, to which run times are compared; 0 if there is no guess."""
        return max(self.guess_s, MIN_RUN_S) if self.guess_s > 0 else 0.0


@lru_cache(maxsize=4096)
def shape_name(cpus: float, gpus: float, memory_gb: float) -> str:
    """Return the name of a task's shape: each resource rounded up to a power of two."""

    def size(amount: float) -> int:
        return ceil(log2(amount) - 1e-9) if amount > 0 else -99

    return f"{size(cpus)},{size(gpus)},{size(memory_gb)}"


def features_of(spec: JobSpec, machine_type: str = "") -> RunFeatures:
    """Return the features of a run of the job, on a machine of the type if it is known."""
    shape = shape_name(spec.cpus, spec.gpus, spec.memory_gb)
    return RunFeatures(spec.job_class, spec.team, shape, machine_type, spec.estimate_s, spec.id)


Overdue = list[tuple[float, float]]
"""Overdue runs, ascending: the logarithm of the elapsed time over the predicted median, and a weight."""


class Entry:
    """What was learned of a class, a team, all work, or the errors of completion forecasts."""

    __slots__ = (
        "job_deviation",
        "log_widths",
        "name",
        "overall_deviation",
        "overdue",
        "ratio",
        "ratio_error",
        "sample_count",
        "subgroups",
        "time",
        "time_error",
    )

    def __init__(self, name: str, ratio: AdaptiveDistribution, time: AdaptiveDistribution) -> None:
        self.name = name
        self.ratio = ratio
        self.time = time
        self.sample_count = 0.0
        """The sum of the samples' weights."""
        self.ratio_error = 0.5
        self.time_error = 0.6
        """Mean absolute errors, in logarithms, of the medians of `ratio` and of `time` as predictions."""
        self.overall_deviation = 0.3
        self.job_deviation = 0.1
        """Mean distances, in logarithms, of a sample from its class's median, and from its job's earlier samples."""
        self.log_widths = [[0.0, 0.0, 0.0], [0.0, 0.0, 0.0]]
        """Logarithms of the factors that stretch the stated intervals: for a job's first sample; for later ones."""
        self.subgroups: OrderedDict[str, DecayingSketch] = OrderedDict()
        """Ratios of run times to the class's predictions, by subgroup; the most recently used last."""
        self.overdue: Overdue = []
        """Overdue jobs without samples of their own."""

    @property
    def job_spread(self) -> float:
        """How far the tasks of one job differ, as a share of how far the class's runs differ; at most 1."""
        return min(1.0, self.job_deviation / max(self.overall_deviation, 1e-3))

    @property
    def is_time_better(self) -> bool:
        """Whether run times predict better than ratios to the owner's guess."""
        return self.time_error < MAX_TIME_ERROR_RATIO * self.ratio_error


class _JobSamples:
    """How a job's own samples compare with its class's predictions at the time."""

    __slots__ = ("count", "mean_log_error", "overdue")

    def __init__(self) -> None:
        self.count = 0
        self.mean_log_error = 0.0
        self.overdue: Overdue = []
        """The job's tasks that run longer than the others took. Short tasks end first, so without these the rest of
        an array always took longer than predicted."""


class _CachedCurve:
    """A job's curve for a few seconds, with results computed from it: in every pass the leader makes the same queries
    for thousands of tasks."""

    __slots__ = ("_remaining_s", "computed_at", "curve", "median_s")

    def __init__(self, computed_at: float, curve: Curve) -> None:
        self.computed_at = computed_at
        self.curve = curve
        self.median_s = curve.quantile(MEDIAN_QUANTILE)
        self._remaining_s: dict[tuple[int, float], Seconds] = {}

    def remaining(self, elapsed_s: Seconds, q: float) -> Seconds:
        """Return `Curve.remaining`, with `elapsed_s` rounded down to half a second."""
        key = (int(2 * elapsed_s), q)
        remaining_s = self._remaining_s.get(key)
        if remaining_s is None:
            if len(self._remaining_s) >= MAX_CACHED_REMAINING_TIMES:
                self._remaining_s.clear()
            remaining_s = self._remaining_s[key] = self.curve.remaining(key[0] / 2, q)
        return remaining_s


class _Level(NamedTuple):
    """The prediction of one level. `guess_share` times the logarithm of the owner's guess is still to be added."""

    log_quantiles: LogQuantiles
    log_mean: float
    guess_share: float


class RunTimeModel:
    """Learns from samples and predicts run times. The numbers of classes, subgroups, jobs and machines are bounded."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = RLock()
        self._entries: OrderedDict[str, Entry] = OrderedDict()
        """By name; the most recently used last."""
        self._stored_records: dict[str, msgspec.Raw] = {}
        """By key: records as they were read, decoded when their entry is first needed."""
        self._newer_keys: set[str] = set()
        """Keys of records in a format of a newer program."""
        self._jobs: OrderedDict[str, _JobSamples] = OrderedDict()
        self._machines: OrderedDict[str, tuple[int, float]] = OrderedDict()
        """By machine: the number of samples and the moving average of their log errors."""
        self._fleet_log_error = 0.0
        """The moving average over all machines that are not slow."""
        self._class_cache: dict[tuple[str, str, str, str, bool], tuple[float, _Level, _Level]] = {}
        """By features without the guess: the time, the class's level, and its level with a subgroup."""
        self._curve_cache: dict[tuple[str, str], _CachedCurve] = {}
        """By job and machine type."""
        self.unsaved: dict[str, float] = {}
        """By name: the weight of the samples since the entry was stored."""
        self.evicted_keys: set[str] = set()
        """Keys of entries that were evicted, whose records are to be deleted."""

    # Predicting

    def run_time(self, spec: JobSpec, q: float = MEDIAN_QUANTILE) -> Seconds:
        """Return the quantile `q` of the run time of the job's tasks."""
        cached = self._cached_curve(spec, "")
        return cached.median_s if q == MEDIAN_QUANTILE else cached.curve.quantile(q)

    def remaining_time(
        self, spec: JobSpec, elapsed_s: Seconds, q: float = MEDIAN_QUANTILE, machine_type: str = ""
    ) -> Seconds:
        """Return the quantile `q` of the remaining time of a run that has lasted `elapsed_s`.

        It is infinite for a service, which runs until it is cancelled."""
        return (
            inf if spec.kind is jm.JobKind.SERVICE else self._cached_curve(spec, machine_type).remaining(elapsed_s, q)
        )

    def curve_of(self, spec: JobSpec) -> Curve:
        """Return the job's curve, at most `JOB_CACHE_S` old."""
        return self._cached_curve(spec, "").curve

    def _cached_curve(self, spec: JobSpec, machine_type: str) -> _CachedCurve:
        now = self._clock.seconds()
        with self._lock:
            cached = self._curve_cache.get((spec.id, machine_type))
            if cached is None or now - cached.computed_at >= JOB_CACHE_S:
                if len(self._curve_cache) >= MAX_JOBS:
                    self._curve_cache.clear()
                cached = _CachedCurve(now, self.curve(features_of(spec, machine_type)))
                self._curve_cache[spec.id, machine_type] = cached
            return cached

    def curve(self, features: RunFeatures) -> Curve:
        """Return the predicted distribution, its intervals stretched to their stated coverage."""
        with self._lock:
            entry = self._find_entry(m.class_entry_name(features.job_class))
            log_quantiles = self._expected(features)[1]
            job = self._jobs.get(features.job_id) if features.job_id else None
            if entry is None:
                return Curve(self._apply_job_samples(log_quantiles, job, None))
            log_widths = entry.log_widths[1 if job is not None else 0]
            log_quantiles = widen(
                self._apply_job_samples(log_quantiles, job, entry),
                (exp(log_widths[0]), exp(log_widths[1]), exp(log_widths[2])),
            )
            return Curve(self._apply_overdue(log_quantiles, entry, job))

    @staticmethod
    def _apply_overdue(log_quantiles: LogQuantiles, entry: Entry, job: _JobSamples | None) -> LogQuantiles:
        if job is not None:
            return add_overdue(log_quantiles, job.overdue, job.count) if job.overdue else log_quantiles
        return add_overdue(log_quantiles, entry.overdue, entry.time.weight) if entry.overdue else log_quantiles

    def _apply_job_samples(
        self, log_quantiles: LogQuantiles, job: _JobSamples | None, entry: Entry | None
    ) -> LogQuantiles:
        """Shift the curve to the job's own samples, and narrow it by how similar the tasks of one job are in the
        class."""
        if job is None:
            return log_quantiles
        job_spread = 0.5 if entry is None else max(0.1, entry.job_spread)
        # The posterior of a normal model: jobs vary around their class, and tasks around their job.
        weight = job.count / (job.count + job_spread * job_spread)
        factor = 1 - weight * (1 - job_spread)
        return shift(widen(log_quantiles, (factor, factor, factor)), weight * job.mean_log_error)

    def _expected(self, features: RunFeatures) -> tuple[float, LogQuantiles]:
        """Return the class's mean of logarithms, and the log quantiles with the subgroup that differs most.

        Neither includes the job's own samples."""
        has_guess = features.guess_s > 0
        key = (features.job_class, features.team, features.shape, features.machine_type, has_guess)
        now = self._clock.seconds()
        cached = self._class_cache.get(key)
        if cached is None or now - cached[0] >= CLASS_CACHE_S:
            if len(self._class_cache) >= MAX_JOBS:
                self._class_cache.clear()
            cached = self._class_cache[key] = (now, *self._compute_levels(features, has_guess))
        log_guess = log(features.ratio_base_s) if has_guess else 0.0
        _, level, subgroup_level = cached
        return (
            level.log_mean + level.guess_share * log_guess,
            shift(subgroup_level.log_quantiles, subgroup_level.guess_share * log_guess),
        )

    def _compute_levels(self, features: RunFeatures, has_guess: bool) -> tuple[_Level, _Level]:
        """Return the class's level, and its level with the subgroup that differs most."""
        if has_guess:
            level = _Level(lognormal(0.0, GUESS_SIGMA), 0.0, 1.0)
        else:
            level = _Level(lognormal(log(DEFAULT_RUN_S), DEFAULT_SIGMA), log(DEFAULT_RUN_S), 0.0)
        for name in (m.ALL_WORK, m.team_entry_name(features.team), m.class_entry_name(features.job_class)):
            entry = self._find_entry(name)
            if entry is None:
                continue
            uses_time = not has_guess or (entry.is_time_better and name.startswith("c/"))
            distribution = entry.time if uses_time else entry.ratio
            if distribution.weight > 0:
                level = _shrink(
                    level,
                    distribution.log_quantiles(),
                    distribution.log_mean(),
                    distribution.weight,
                    distribution.slow.weight,
                    0.0 if uses_time else 1.0,
                )
        entry = self._find_entry(m.class_entry_name(features.job_class))
        return level, level if entry is None else self._apply_subgroup(level, entry, features)

    def _apply_subgroup(self, level: _Level, entry: Entry, features: RunFeatures) -> _Level:
        """Shrink the level towards the subgroup that differs most from its class, if one differs significantly.

        Only one is used because subgroups are correlated (a team that always uses one shape), so that their
        differences would be counted twice."""
        best: tuple[float, DecayingSketch] | None = None
        for name in _subgroup_names(features):
            subgroup = entry.subgroups.get(name)
            if subgroup is None or subgroup.weight < MIN_SUBGROUP_WEIGHT:
                continue
            log_quantiles = subgroup.log_quantiles()
            sigma = max(0.02, (log_quantiles[5] - log_quantiles[1]) / 2.56)
            z_score = abs(log_quantiles[MEDIAN_INDEX]) * sqrt(subgroup.weight) / sigma
            if (
                z_score > MIN_SUBGROUP_Z_SCORE
                and abs(log_quantiles[MEDIAN_INDEX]) > MIN_SUBGROUP_LOG_OFFSET
                and (best is None or z_score > best[0])
            ):
                best = (z_score, subgroup)
        if best is None:
            return level
        subgroup = best[1]
        own = shift(subgroup.log_quantiles(), level.log_mean)
        return _shrink(level, own, level.log_mean, subgroup.weight, subgroup.weight, level.guess_share)

    def job_spread(self, spec: JobSpec) -> float:
        """Return how far the tasks of one job of the class differ, as a share of how far the class's runs differ."""
        with self._lock:
            entry = self._find_entry(m.class_entry_name(spec.job_class))
            return 0.5 if entry is None else entry.job_spread

    def correct_completion_forecast(self, stage: str, median_s: Seconds) -> tuple[Seconds, Seconds, Seconds]:
        """Return the 10, 50 and 90% quantiles of a completion time, by how far earlier forecasts were off.

        `median_s` is the median that was computed without these errors; `stage` is the job's stage at the time."""
        with self._lock:
            entry = self._find_entry(m.completion_entry_name(stage))
            level = _Level(lognormal(0.0, GUESS_SIGMA), 0.0, 0.0)
            if entry is not None and entry.ratio.weight > 0:
                level = _shrink(
                    level, entry.ratio.log_quantiles(), 0.0, entry.ratio.weight, entry.ratio.slow.weight, 0.0
                )
            curve = Curve(shift(level.log_quantiles, log(max(MIN_RUN_S, median_s))))
            return curve.quantile(0.1), curve.quantile(0.5), curve.quantile(0.9)

    def record_completion(self, stage: str, median_s: Seconds, actual_s: Seconds) -> None:
        """Learn from a job that was done `actual_s` after a forecast with the median `median_s`."""
        if not (isfinite(actual_s) and actual_s > 0 and median_s > 0):
            return
        with self._lock:
            name = m.completion_entry_name(stage)
            entry = self._get_or_create_entry(name)
            entry.sample_count += 1
            entry.ratio.add(actual_s / median_s)
            self.unsaved[name] = self.unsaved.get(name, 0.0) + 1

    # Learning

    def on_completed(self, spec: JobSpec, run_s: Seconds, machine_id: MachineId, machine_type: str) -> None:
        """Learn from a task that completed after running for `run_s`."""
        self.learn_completed(features_of(spec, machine_type), run_s, machine_id)

    def on_interrupted(self, spec: JobSpec, elapsed_s: Seconds) -> None:
        """Learn from a run that was interrupted after `elapsed_s`."""
        self.learn_interrupted(features_of(spec), elapsed_s)

    def learn_completed(self, features: RunFeatures, run_s: Seconds, machine_id: str = "") -> None:
        """Learn from a completed run. Run times that are not finite and positive, and runs on slow machines, are
        ignored."""
        if not (isfinite(run_s) and run_s > 0):
            return
        run_s = max(run_s, MIN_RUN_S)
        with self._lock:
            log_mean, log_quantiles = self._expected(features)
            log_error = max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, log(run_s) - log_quantiles[MEDIAN_INDEX]))
            if machine_id and self._update_machine(machine_id, log_error):
                return
            job = self._jobs.get(features.job_id) if features.job_id else None
            entry = self._get_or_create_entry(m.class_entry_name(features.job_class))
            weight = _next_sample_weight(entry, job)
            if weight >= MIN_SAMPLE_WEIGHT or job is None or job.count % LIGHT_SAMPLE_STRIDE == 0:
                self._update_widths(entry, features, run_s, job, weight, log_error)
            if weight >= MIN_SAMPLE_WEIGHT:
                residual = max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, log(run_s) - log_mean))
                for name in _subgroup_names(features):
                    self._add_to_subgroup(entry, name, exp(residual), weight)
                self._add_sample(features, run_s, weight)
            if features.job_id:
                self._add_to_job(features.job_id, job, log_error)

    def learn_interrupted(self, features: RunFeatures, elapsed_s: Seconds) -> None:
        """Learn from an interrupted run, a right-censored sample.

        One that was shorter than the median is ignored. A longer one counts as a run of the length that such runs are
        predicted to have, weighted by the share of runs that it outlasted."""
        if not (isfinite(elapsed_s) and elapsed_s > 0):
            return
        with self._lock:
            curve = self.curve(features)
            outlasted_share = curve.share_below(elapsed_s)
            if outlasted_share > 0.5:
                predicted_s = max(elapsed_s, curve.quantile(outlasted_share + (1 - outlasted_share) / 2))
                job = self._jobs.get(features.job_id) if features.job_id else None
                self._add_sample(
                    features,
                    predicted_s,
                    outlasted_share
                    * _next_sample_weight(self._get_or_create_entry(m.class_entry_name(features.job_class)), job),
                )

    def _add_sample(self, features: RunFeatures, run_s: Seconds, weight: float) -> None:
        """Add a run time to the entries of all work, the team and the class."""
        for name in (m.ALL_WORK, m.team_entry_name(features.team), m.class_entry_name(features.job_class)):
            entry = self._get_or_create_entry(name)
            entry.sample_count += weight
            if features.ratio_base_s > 0:
                if name.startswith("c/") and entry.ratio.weight >= 3 and entry.time.weight >= 3:
                    keep = min(ERROR_DECAY, 1 - 1 / (entry.sample_count + 1)) ** weight
                    ratio_error = min(
                        MAX_LOG_ERROR,
                        abs(log(run_s / features.ratio_base_s) - entry.ratio.log_quantiles()[MEDIAN_INDEX]),
                    )
                    time_error = min(MAX_LOG_ERROR, abs(log(run_s) - entry.time.log_quantiles()[MEDIAN_INDEX]))
                    entry.ratio_error += (1 - keep) * (ratio_error - entry.ratio_error)
                    entry.time_error += (1 - keep) * (time_error - entry.time_error)
                entry.ratio.add(run_s / features.ratio_base_s, weight)
            entry.time.add(run_s, weight)
            self.unsaved[name] = self.unsaved.get(name, 0.0) + weight

    def _update_widths(
        self,
        entry: Entry,
        features: RunFeatures,
        run_s: Seconds,
        job: _JobSamples | None,
        weight: float,
        log_error: float,
    ) -> None:
        """Stretch or narrow the stated intervals by whether they covered the run (adaptive conformal inference, Gibbs
        and Candès, 2021): over time each covers its stated share, whatever the distribution. Updates the deviations
        too."""
        if entry.sample_count >= 1:
            curve = self.curve(features)
            log_widths = entry.log_widths[1 if job is not None else 0]
            log_run = log(run_s)
            for i, ((low, high), coverage) in enumerate(zip(INTERVAL_INDEXES, INTERVAL_COVERAGES, strict=True)):
                is_outside = not curve.log_quantiles[low] <= log_run <= curve.log_quantiles[high]
                # A light sample also represents the light samples that are skipped.
                step_weight = max(weight, MIN_WIDTH_STEP_WEIGHT) if weight >= MIN_SAMPLE_WEIGHT else 1.0
                step = WIDTH_STEP * step_weight * (coverage if is_outside else coverage - 1)
                log_widths[i] = max(MIN_LOG_WIDTH, min(MAX_LOG_WIDTH, log_widths[i] + step))
        keep = DEVIATION_DECAY**weight
        entry.overall_deviation += (1 - keep) * (abs(log_error) - entry.overall_deviation)
        if job is not None:
            entry.job_deviation += (1 - DEVIATION_DECAY**0.5) * (
                abs(log_error - job.mean_log_error) - entry.job_deviation
            )

    def _add_to_subgroup(self, entry: Entry, name: str, ratio: float, weight: float) -> None:
        from meadowcross.estimates.sketch import DecayingSketch

        subgroup = entry.subgroups.get(name)
        if subgroup is None:
            subgroup = entry.subgroups[name] = DecayingSketch(SUBGROUP_HALF_LIFE)
            if len(entry.subgroups) > MAX_SUBGROUPS:
                entry.subgroups.popitem(last=False)
        entry.subgroups.move_to_end(name)
        subgroup.add(ratio, weight)

    def _add_to_job(self, job_id: str, job: _JobSamples | None, log_error: float) -> None:
        if job is None:
            job = self._jobs[job_id] = _JobSamples()
            if len(self._jobs) > MAX_JOBS:
                self._jobs.popitem(last=False)
        job.count += 1
        job.mean_log_error += (log_error - job.mean_log_error) / min(job.count, 16)

    def _update_machine(self, machine_id: str, log_error: float) -> bool:
        """Update the machine's mean error, and return whether the machine is slow: its runs take longer than the
        fleet's by more than machines usually differ. Its samples must then not count for their classes."""
        count, mean = self._machines.pop(machine_id, (0, self._fleet_log_error))
        mean = MACHINE_DECAY * mean + (1 - MACHINE_DECAY) * log_error
        self._machines[machine_id] = (count + 1, mean)
        if len(self._machines) > MAX_MACHINES:
            self._machines.popitem(last=False)
        is_slow = count >= MIN_MACHINE_SAMPLES and mean - self._fleet_log_error > SLOW_MACHINE_LOG_RATIO
        if not is_slow:
            self._fleet_log_error += (1 - FLEET_DECAY) * (log_error - self._fleet_log_error)
        return is_slow

    def update_running(self, running: Iterable[tuple[JobSpec, list[Seconds]]]) -> None:
        """Take overdue runs into account before they end.

        `running` lists the elapsed times of all running tasks, by job. Each call replaces the state of the previous
        one, so a run that has ended counts no longer."""
        class_overdue: dict[str, list[tuple[float, float]]] = {}
        with self._lock:
            for spec, elapsed_s in running:
                with ErrorBoundary("finding overdue runs", job=JobId(spec.id)):
                    self._update_overdue(spec, elapsed_s, class_overdue)
            for name, entry in self._entries.items():
                entry.overdue = sorted(class_overdue.get(name, []))

    def _update_overdue(
        self, spec: JobSpec, elapsed_s: list[Seconds], class_overdue: dict[str, list[tuple[float, float]]]
    ) -> None:
        """Set the job's overdue runs; those of a job without samples are added to its class in `class_overdue`."""
        job = self._jobs.get(spec.id)
        entry_name = m.class_entry_name(spec.job_class)
        log_quantiles = self._apply_job_samples(self._expected(features_of(spec))[1], job, self._find_entry(entry_name))
        threshold_s = max(MIN_RUN_S, exp(log_quantiles[QUANTILES.index(OVERDUE_QUANTILE)]))
        overdue_s = sorted(run_s for run_s in elapsed_s if run_s > threshold_s)
        if job is not None:
            log_median = log_quantiles[MEDIAN_INDEX]
            job.overdue = [(log(run_s) - log_median, 1.0) for run_s in overdue_s[:MAX_OVERDUE_TASKS]]
        elif overdue_s:
            # As with samples, similar tasks of one job count for little more than one task.
            weight = sum(1.0 / (i + 1) for i in range(min(len(overdue_s), 100)))
            log_excess = log(overdue_s[len(overdue_s) // 2]) - log_quantiles[MEDIAN_INDEX]
            class_overdue.setdefault(entry_name, []).append((log_excess, weight))

    def drop_job(self, job_id: JobId) -> None:
        """Drop the samples of a job that has ended."""
        with self._lock:
            self._jobs.pop(job_id, None)
            # Curves for a machine type stay in the cache, unused, until it is cleared at `MAX_JOBS`.
            self._curve_cache.pop((job_id, ""), None)

    # Entries and their records

    def _find_entry(self, name: str) -> Entry | None:
        entry = self._entries.get(name)
        if entry is None and self._stored_records:
            entry = self._load_stored(name)
        return entry

    def _get_or_create_entry(self, name: str) -> Entry:
        """Return the entry and mark it as the most recently used; evict the least recently used beyond the limit."""
        entry = self._find_entry(name)
        if entry is None:
            from meadowcross.estimates.adaptive_distribution import AdaptiveDistribution

            entry = self._entries[name] = Entry(name, AdaptiveDistribution(), AdaptiveDistribution())
        self._entries.move_to_end(name)
        while len(self._entries) > MAX_ENTRIES:
            evicted_name, _ = self._entries.popitem(last=False)
            self.unsaved.pop(evicted_name, None)
            self.evicted_keys.add(m.store_key(evicted_name))
        return entry

    def add_stored(self, key: str, value: msgspec.Raw) -> None:
        """Add a record that an earlier leader stored; it is decoded when its entry is needed."""
        with self._lock:
            self._stored_records[key] = msgspec.Raw(bytes(value))
            self._class_cache.clear()
            self._curve_cache.clear()
            for name in [name for name in self._entries if m.store_key(name) == key]:
                # The entry has samples of this term already, which are merged with the stored ones.
                self._load_stored(name)

    def drop_excess_stored(self) -> None:
        """Drop stored records beyond the limit of entries, among those that were not needed yet."""
        with self._lock:
            for key in sorted(self._stored_records)[max(0, MAX_ENTRIES - len(self._entries)) :]:
                del self._stored_records[key]
                self.evicted_keys.add(key)

    def _load_stored(self, name: str) -> Entry | None:
        """Decode the stored record of an entry, if there is one, and merge it with the samples of this term."""
        key = m.store_key(name)
        value = self._stored_records.pop(key, None)
        current = self._entries.get(name)
        if value is None:
            return current
        entry = self._decode_entry(key, name, value)
        if entry is None:
            return current
        if current is not None:
            entry.ratio, current.ratio = current.ratio, entry.ratio
            entry.time, current.time = current.time, entry.time
            entry.ratio.merge(current.ratio)
            entry.time.merge(current.time)
            for subgroup_name, subgroup in current.subgroups.items():
                if subgroup_name in entry.subgroups:
                    subgroup.merge(entry.subgroups[subgroup_name])
                entry.subgroups[subgroup_name] = subgroup
            entry.sample_count += current.sample_count
        self._entries[name] = entry
        return entry

    def _decode_entry(self, key: str, name: str, value: msgspec.Raw) -> Entry | None:
        """Return the entry of a record; None, with a log line, for a record that can't be decoded."""
        from meadowcross.estimates.adaptive_distribution import AdaptiveDistribution
        from meadowcross.estimates.sketch import DecayingSketch

        try:
            version = m.decode_version(value).v
            if version > m.FORMAT_VERSION:
                self._newer_keys.add(key)
                raise ValueError(f"format {version} is newer than {m.FORMAT_VERSION}; the record is not overwritten")
            record = m.decode_entry(value)
            if version < 1 or record.name != name:
                raise ValueError("the record's format version or entry name is not the expected one")
        except (msgspec.DecodeError, ValueError, UnicodeDecodeError) as error:
            logger.info("ignoring unreadable estimates record key=%s error=%s", key, error)
            return None
        entry = Entry(
            name, AdaptiveDistribution.from_record(record.ratio), AdaptiveDistribution.from_record(record.time)
        )
        entry.sample_count = record.ends
        entry.ratio_error, entry.time_error = record.errors
        entry.overall_deviation, entry.job_deviation = record.spreads
        entry.log_widths = [list(record.widths[0]), list(record.widths[1])]
        for subgroup_name, bins in list(record.parts.items())[:MAX_SUBGROUPS]:
            entry.subgroups[subgroup_name] = DecayingSketch.from_bins(SUBGROUP_HALF_LIFE, bins)
        return entry

    def encode_entry(self, name: str, max_bytes: int) -> bytes | None:
        """Return the entry's record in at most `max_bytes`, without its least recently used subgroups if necessary.

        Returns None if there is no such entry, if its record was written by a newer program, or if it is too large
        even without subgroups."""
        with self._lock:
            entry = self._entries.get(name)
            if entry is None or m.store_key(name) in self._newer_keys:
                return None
            subgroups = {subgroup_name: subgroup.rounded_bins() for subgroup_name, subgroup in entry.subgroups.items()}
            while True:
                first_widths, later_widths = entry.log_widths
                encoded = m.encode(
                    m.EntryRecord(
                        m.FORMAT_VERSION,
                        name,
                        round(entry.sample_count, 3),
                        entry.ratio.to_record(),
                        entry.time.to_record(),
                        (round(entry.ratio_error, 4), round(entry.time_error, 4)),
                        (round(entry.overall_deviation, 4), round(entry.job_deviation, 4)),
                        (_round_widths(first_widths), _round_widths(later_widths)),
                        subgroups,
                    )
                )
                if len(encoded) <= max_bytes:
                    return encoded
                if not subgroups:
                    logger.info("estimates record is too large to store entry=%.60s bytes=%d", name, len(encoded))
                    return None
                del subgroups[next(iter(subgroups))]

    def reset_entry(self, key: str) -> None:
        """Drop all samples of an entry whose record an operator has deleted."""
        with self._lock:
            self._stored_records.pop(key, None)
            self._newer_keys.discard(key)
            for name in [name for name in self._entries if m.store_key(name) == key]:
                del self._entries[name]
                self.unsaved.pop(name, None)
                logger.info("reset estimates, record was deleted entry=%.60s", name)
            self._class_cache.clear()
            self._curve_cache.clear()

    def entries(self) -> list[Entry]:
        """Return the entries in memory, without stored records that were not needed yet."""
        with self._lock:
            return list(self._entries.values())


def _next_sample_weight(entry: Entry, job: _JobSamples | None) -> float:
    """Return the weight of a job's next sample.

    n correlated samples are worth n / (1 + (n - 1) r) independent ones, where r is the share of the class's variance
    that lies between its jobs. With full weights, hundreds of similar tasks of one job would be detected as a change
    of their class."""
    if job is None:
        return 1.0
    correlation = 1 - entry.job_spread**2
    before, after = (n / (1 + (n - 1) * correlation) for n in (job.count, job.count + 1))
    return after - before


def _shrink(
    above: _Level, own: LogQuantiles, own_log_mean: float, weight: float, spread_weight: float, own_guess_share: float
) -> _Level:
    """Return the level above, shrunk towards the log quantiles `own` by the number of samples, `weight`.

    The narrower `own` is, the fewer samples outweigh the level above, as if both were normal distributions. This
    scaling is limited by `spread_weight`, the samples behind the spread of `own`: few samples do not show a spread."""
    above_width = max(1e-3, above.log_quantiles[5] - above.log_quantiles[1])
    variance_ratio = ((own[5] - own[1]) / above_width) ** 2
    prior_scale = min(1.0, max(variance_ratio, 1.0 / max(spread_weight, 1.0), MIN_PRIOR_SCALE))
    median_share = weight / (weight + PRIOR_WEIGHT * prior_scale)
    shares = [weight / (weight + prior_weight * prior_scale) for prior_weight in QUANTILE_PRIOR_WEIGHTS]
    log_mean = median_share * own_log_mean + (1 - median_share) * above.log_mean
    if own_guess_share != above.guess_share:
        # Times and ratios can only be blended with one share for the whole curve.
        return _Level(
            blend(own, median_share, above.log_quantiles),
            log_mean,
            median_share * own_guess_share + (1 - median_share) * above.guess_share,
        )
    log_quantiles = tuple(s * a + (1 - s) * b for s, a, b in zip(shares, own, above.log_quantiles, strict=True))
    return _Level(make_ascending(log_quantiles), log_mean, above.guess_share)


def add_overdue(log_quantiles: LogQuantiles, overdue: Overdue, sample_count: float) -> LogQuantiles:
    """Return the curve as if the overdue runs ended a little later than now, in addition to `sample_count` samples."""
    count = max(1.0, min(MAX_WEIGHT_AGAINST_OVERDUE, sample_count))
    overdue_weight = sum(weight for _, weight in overdue)
    curve = Curve(log_quantiles)
    raised = []
    for q in QUANTILES:
        rank = q * (count + overdue_weight) / count
        value = curve.log_quantile(min(rank, QUANTILES[-1]))
        if rank > OVERDUE_QUANTILE:
            log_excess = overdue[min(len(overdue) - 1, int(len(overdue) * (rank - OVERDUE_QUANTILE)))][0]
            value = max(value, log_quantiles[MEDIAN_INDEX] + log_excess + OVERDUE_LOG_MARGIN)
        raised.append(value)
    return make_ascending(tuple(raised))


def _subgroup_names(features: RunFeatures) -> list[str]:
    names = ["t/" + features.team[:60], "s/" + features.shape]
    if features.machine_type:
        names.append("m/" + features.machine_type[:60])
    return names


def _round_widths(log_widths: list[float]) -> tuple[float, float, float]:
    return round(log_widths[0], 4), round(log_widths[1], 4), round(log_widths[2], 4)
