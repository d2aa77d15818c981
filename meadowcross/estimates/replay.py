"""Replays a history of runs, and compares the predictions of the learned estimates and two baselines with it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import log, sqrt
from typing import Protocol

from msgspec import Struct, field
from twisted.internet.task import Clock

from meadowcross.common.types import Seconds
from meadowcross.estimates.curve import INTERVAL_COVERAGES, normal_score
from meadowcross.estimates.estimators import MAX_RATIO, MEAN_SMOOTHING
from meadowcross.estimates.history import Run
from meadowcross.estimates.run_time_model import CLASS_CACHE_S, RunTimeModel

DEFAULT_WARM_UP_RUNS = 50
"""Runs of a class before its predictions are judged."""
MAX_RELATIVE_ERROR = 0.20
"""For a prediction to count in `within_20`."""
GUESS_SIGMA_RATIO = 0.5
"""Standard deviation of an owner's guess as a baseline, as a share of the guess: it is often wrong by half."""

Interval = tuple[Seconds, Seconds]


class Prediction(Struct):
    """The median of a predicted run time, and its stated intervals of 50, 80 and 95%."""

    median_s: Seconds
    intervals: tuple[Interval, Interval, Interval]


class Predictor(Protocol):
    """A method of prediction, which gets the runs of a history one by one."""

    def predict(self, run: Run) -> Prediction:
        """Predict the run before it is observed; `seconds` and `outcome` must not be used."""
        ...

    def observe(self, run: Run) -> None:
        """Learn from the run's outcome."""
        ...


def normal_prediction(mean: Seconds, sigma: Seconds) -> Prediction:
    """Return a prediction with the intervals of a normal distribution, cut off at 0."""
    spans = [sigma * normal_score((1 + coverage) / 2) for coverage in INTERVAL_COVERAGES]
    low, mid, high = ((max(0.0, mean - span), mean + span) for span in spans)
    return Prediction(mean, (low, mid, high))


class LearnedPredictor:
    """The learned estimates, as a leader uses them."""

    def __init__(self) -> None:
        self._clock = Clock()
        self.learned = RunTimeModel(self._clock)

    def predict(self, run: Run) -> Prediction:
        """Return the quantiles of the learned curve."""
        curve = self.learned.curve(run.features)
        low, mid, high = ((curve.quantile((1 - c) / 2), curve.quantile((1 + c) / 2)) for c in INTERVAL_COVERAGES)
        return Prediction(curve.quantile(0.5), (low, mid, high))

    def observe(self, run: Run) -> None:
        """Learn from the run, and let the cached curves expire."""
        if run.outcome == "done":
            self.learned.learn_completed(run.features, run.seconds, run.machine)
        else:
            self.learned.learn_interrupted(run.features, run.seconds)
        self._clock.advance(CLASS_CACHE_S)


class GuessPredictor:
    """Baseline: the owner's guess as it is."""

    def predict(self, run: Run) -> Prediction:
        """Return the guess with a fixed relative spread."""
        return normal_prediction(run.estimate, GUESS_SIGMA_RATIO * run.estimate)

    def observe(self, run: Run) -> None:
        """Do nothing: this baseline does not learn."""


class MeanPredictor:
    """Baseline: the owner's guess, corrected by the moving average and variance of its class's ratios."""

    def __init__(self) -> None:
        self._ratios: dict[str, tuple[float, float]] = {}
        """By class: mean and variance of actual run time over guess."""

    def predict(self, run: Run) -> Prediction:
        """Return the corrected guess."""
        mean, variance = self._ratios.get(run.job_class, (1.0, GUESS_SIGMA_RATIO**2))
        return normal_prediction(mean * run.estimate, sqrt(variance) * run.estimate)

    def observe(self, run: Run) -> None:
        """Update the class's ratio with a completed run that has a guess."""
        if run.outcome == "done" and run.estimate > 0:
            mean, variance = self._ratios.get(run.job_class, (1.0, GUESS_SIGMA_RATIO**2))
            error = min(MAX_RATIO, run.seconds / run.estimate) - mean
            variance += MEAN_SMOOTHING * (error * error - variance)
            self._ratios[run.job_class] = (mean + MEAN_SMOOTHING * error, variance)


class Score(Struct):
    """How often a predictor was right, as shares of the judged runs; null if no run was judged."""

    within_20: float | None = None
    """Predictions within 20% of the actual time."""
    covered_50: float | None = None
    """Actual times within the stated interval of 50%."""
    covered_80: float | None = None
    covered_95: float | None = None


class ClassScore(Struct):
    """The scores of one class. `within_20` and the coverages are those of the learned estimates."""

    job_class: str = field(name="class")
    runs: int = 0
    """Completed runs in the history."""
    judged: int = 0
    """Completed runs after the first `after`."""
    within_20: float | None = None
    covered_50: float | None = None
    covered_80: float | None = None
    covered_95: float | None = None
    one_number_20: float | None = None
    """The share within 20% of the best constant prediction (or constant ratio to the guess), chosen in hindsight: the
    limit that the class's own spread sets to a prediction that finds no pattern in time."""
    first_ten_95: float | None = None
    """The share of the first ten runs within the stated interval of 95%: the quality for a new class."""
    owner: Score = field(default_factory=Score)
    corrected_mean: Score = field(default_factory=Score)


class PredictionLog:
    """The predictions of one predictor for one class, each with the actual run time."""

    def __init__(self) -> None:
        self.points: list[tuple[Prediction, Seconds]] = []

    def score(self, after: int) -> Score:
        """Score the predictions after the first `after`."""
        judged = self.points[after:]
        if not judged:
            return Score()
        share = 1.0 / len(judged)
        near = (
            sum(abs(prediction.median_s - actual_s) <= MAX_RELATIVE_ERROR * actual_s for prediction, actual_s in judged)
            * share
        )
        covered = [
            sum(prediction.intervals[i][0] <= actual_s <= prediction.intervals[i][1] for prediction, actual_s in judged)
            * share
            for i in range(len(INTERVAL_COVERAGES))
        ]
        return Score(*(round(value, 4) for value in (near, *covered)))


def best_constant_share(values: Sequence[float]) -> float | None:
    """Return the largest share of the values that one number predicts within 20%; None without positive values."""
    logs = sorted(log(value) for value in values if value > 0)
    if not logs:
        return None
    # A prediction p is within 20% of all actual times from p/1.2 to p/0.8.
    span = log(1.2 / 0.8)
    best = first = 0
    for last, value in enumerate(logs):
        while value - logs[first] > span:
            first += 1
        best = max(best, last - first + 1)
    return best / len(logs)


class Replay:
    """A history that all predictors have processed, run by run. Classes are in the order of their first runs."""

    def __init__(self, history: Iterable[Run], after: int = DEFAULT_WARM_UP_RUNS) -> None:
        self.after = after
        self.learned = LearnedPredictor()
        self._predictors: dict[str, Predictor] = {
            "learned": self.learned,
            "owner": GuessPredictor(),
            "corrected_mean": MeanPredictor(),
        }
        self._logs: dict[str, dict[str, PredictionLog]] = {}
        """By class, then by predictor."""
        self._runs: dict[str, list[Run]] = {}
        """Completed runs by class."""
        for run in history:
            self._replay_run(run)

    def _replay_run(self, run: Run) -> None:
        if run.outcome == "done":
            logs = self._logs.setdefault(run.job_class, {name: PredictionLog() for name in self._predictors})
            self._runs.setdefault(run.job_class, []).append(run)
            for name, predictor in self._predictors.items():
                logs[name].points.append((predictor.predict(run), run.seconds))
        for predictor in self._predictors.values():
            predictor.observe(run)

    def points(self, job_class: str) -> list[tuple[Prediction, Seconds]]:
        """Return every prediction of the learned estimates for the class, with the actual run time."""
        return self._logs[job_class]["learned"].points

    def scores(self) -> list[ClassScore]:
        """Return the scores of all classes that have completed runs."""
        scores = []
        for name, logs in self._logs.items():
            learned_score = logs["learned"].score(self.after)
            runs = self._runs[name]
            judged = runs[self.after :]
            best_time = best_constant_share([run.seconds for run in judged])
            best_ratio = best_constant_share([run.seconds / run.estimate for run in judged if run.estimate > 0])
            best = max((share for share in (best_time, best_ratio) if share is not None), default=None)
            first_ten = logs["learned"].points[:10]
            covered = sum(
                prediction.intervals[2][0] <= actual_s <= prediction.intervals[2][1]
                for prediction, actual_s in first_ten
            )
            scores.append(
                ClassScore(
                    name,
                    len(runs),
                    len(judged),
                    learned_score.within_20,
                    learned_score.covered_50,
                    learned_score.covered_80,
                    learned_score.covered_95,
                    round(best, 4) if best is not None else None,
                    round(covered / len(first_ten), 4),
                    logs["owner"].score(self.after),
                    logs["corrected_mean"].score(self.after),
                )
            )
        return scores


def format_table(scores: Sequence[ClassScore]) -> str:
    """Return a text table with one line for each class."""

    def percent(share: float | None) -> str:
        return "    -" if share is None else f"{100 * share:5.1f}"

    lines = [
        "all figures in % of the judged runs; held: actual times within the stated interval",
        f"{'class':24} {'runs':>6} {'judged':>6} | within 20%: learned  owner   mean  one number |"
        " held at 50%   80%   95% | first ten at 95%",
    ]
    for score in scores:
        lines.append(
            f"{score.job_class[:24]:24} {score.runs:6} {score.judged:6} |               {percent(score.within_20)}  "
            f"{percent(score.owner.within_20)}  {percent(score.corrected_mean.within_20)}"
            f"       {percent(score.one_number_20)} |"
            f"       {percent(score.covered_50)} {percent(score.covered_80)} {percent(score.covered_95)} |"
            f"            {percent(score.first_ten_95)}"
        )
    return "\n".join(lines)
