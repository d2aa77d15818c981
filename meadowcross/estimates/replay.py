"""Predicted against actual: a history played through the learned estimates and two baselines."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import log, sqrt
from typing import Protocol

from msgspec import Struct, field
from twisted.internet.task import Clock

from meadowcross.common.types import Seconds
from meadowcross.estimates.curve import STATED, score_of
from meadowcross.estimates.history import Run
from meadowcross.estimates.learned import KEPT_S, Learned
from meadowcross.estimates.runs import MEAN_KEEP, MOST_OFF

AFTER = 50
"""Runs of a class before its predictions are judged."""
NEAR = 0.20
OWNERS_ERROR = 0.5
"""The spread that an owner's guess is given as a baseline: it is often wrong by half."""

Interval = tuple[Seconds, Seconds]


class Said(Struct):
    """A prediction: the middle and the stated intervals."""

    middle: Seconds
    intervals: tuple[Interval, Interval, Interval]


class Predictor(Protocol):
    def say(self, run: Run) -> Said: ...
    def see(self, run: Run) -> None: ...


def normal(mean: Seconds, sigma: Seconds) -> Said:
    """With the intervals of a normal distribution, cut off at 0."""
    spans = [sigma * score_of((1 + stated) / 2) for stated in STATED]
    low, mid, high = ((max(0.0, mean - span), mean + span) for span in spans)
    return Said(mean, (low, mid, high))


class ByLearning:
    def __init__(self) -> None:
        self._clock = Clock()
        self.learned = Learned(self._clock)

    def say(self, run: Run) -> Said:
        curve = self.learned.curve(run.kind)
        low, mid, high = ((curve.at((1 - s) / 2), curve.at((1 + s) / 2)) for s in STATED)
        return Said(curve.at(0.5), (low, mid, high))

    def see(self, run: Run) -> None:
        if run.outcome == "done":
            self.learned.learn(run.kind, run.seconds, run.machine)
        else:
            self.learned.learn_cut(run.kind, run.seconds)
        # What is kept for a second is worked out anew for the next run.
        self._clock.advance(KEPT_S)


class ByOwner:
    """The owner's guess as it is."""

    def say(self, run: Run) -> Said:
        return normal(run.estimate, OWNERS_ERROR * run.estimate)

    def see(self, run: Run) -> None:
        """An owner learns nothing."""


class ByMean:
    """The guess, corrected by the smoothed mean of its class, with the variance seen so far."""

    def __init__(self) -> None:
        self._ratios: dict[str, tuple[float, float]] = {}

    def say(self, run: Run) -> Said:
        mean, variance = self._ratios.get(run.job_class, (1.0, OWNERS_ERROR**2))
        return normal(mean * run.estimate, sqrt(variance) * run.estimate)

    def see(self, run: Run) -> None:
        if run.outcome == "done" and run.estimate > 0:
            mean, variance = self._ratios.get(run.job_class, (1.0, OWNERS_ERROR**2))
            off = min(MOST_OFF, run.seconds / run.estimate) - mean
            variance += MEAN_KEEP * (off * off - variance)
            self._ratios[run.job_class] = (mean + MEAN_KEEP * off, variance)


class Score(Struct):
    """How often a predictor was right, of the judged runs; null where none was judged."""

    within_20: float | None = None
    covered_50: float | None = None
    covered_80: float | None = None
    covered_95: float | None = None


class ClassScore(Struct):
    """One class. `within_20` and the coverages are of the learned estimates."""

    job_class: str = field(name="class")
    runs: int = 0
    """Completed runs in the history."""
    judged: int = 0
    """Of those, the ones after the first `after`."""
    within_20: float | None = None
    covered_50: float | None = None
    covered_80: float | None = None
    covered_95: float | None = None
    one_number_20: float | None = None
    """What one number (or one ratio to the guess), chosen in hindsight, would have had within
    20%: what the class's own spread allows to a prediction that sees no pattern in time."""
    first_ten_95: float | None = None
    """Of its first ten runs, those within the stated 95%: what a new class gets."""
    owner: Score = field(default_factory=Score)
    corrected_mean: Score = field(default_factory=Score)


class Tally:
    def __init__(self) -> None:
        self.said: list[tuple[Said, Seconds]] = []

    def score(self, after: int) -> Score:
        judged = self.said[after:]
        if not judged:
            return Score()
        share = 1.0 / len(judged)
        near = sum(abs(said.middle - actual) <= NEAR * actual for said, actual in judged) * share
        covered = [
            sum(said.intervals[i][0] <= actual <= said.intervals[i][1] for said, actual in judged) * share
            for i in range(len(STATED))
        ]
        return Score(*(round(value, 4) for value in (near, *covered)))


def one_number(values: Sequence[float]) -> float | None:
    """The largest share of the values that lie within 20% of one number."""
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
    """A history played through; `scores` are by class, in the order of their first runs."""

    def __init__(self, history: Iterable[Run], after: int = AFTER) -> None:
        self.after = after
        self.learned = ByLearning()
        self._predictors: dict[str, Predictor] = {
            "learned": self.learned,
            "owner": ByOwner(),
            "corrected_mean": ByMean(),
        }
        self._tallies: dict[str, dict[str, Tally]] = {}
        self._runs: dict[str, list[Run]] = {}
        for run in history:
            self._play(run)

    def _play(self, run: Run) -> None:
        if run.outcome == "done":
            tallies = self._tallies.setdefault(run.job_class, {name: Tally() for name in self._predictors})
            self._runs.setdefault(run.job_class, []).append(run)
            for name, predictor in self._predictors.items():
                tallies[name].said.append((predictor.say(run), run.seconds))
        for predictor in self._predictors.values():
            predictor.see(run)

    def points(self, job_class: str) -> list[tuple[Said, Seconds]]:
        """Every prediction of the learned estimates for the class, and what came."""
        return self._tallies[job_class]["learned"].said

    def scores(self) -> list[ClassScore]:
        scores = []
        for name, tallies in self._tallies.items():
            own = tallies["learned"].score(self.after)
            runs = self._runs[name]
            judged = runs[self.after :]
            times = one_number([run.seconds for run in judged])
            ratios = one_number([run.seconds / run.estimate for run in judged if run.estimate > 0])
            best = max((share for share in (times, ratios) if share is not None), default=None)
            first = tallies["learned"].said[:10]
            held = sum(said.intervals[2][0] <= actual <= said.intervals[2][1] for said, actual in first)
            scores.append(
                ClassScore(
                    name,
                    len(runs),
                    len(judged),
                    own.within_20,
                    own.covered_50,
                    own.covered_80,
                    own.covered_95,
                    round(best, 4) if best is not None else None,
                    round(held / len(first), 4),
                    tallies["owner"].score(self.after),
                    tallies["corrected_mean"].score(self.after),
                )
            )
        return scores


def table(scores: Sequence[ClassScore]) -> str:
    """For reading: a line a class."""

    def share(value: float | None) -> str:
        return "    -" if value is None else f"{100 * value:5.1f}"

    lines = [
        "all figures in % of the judged runs; held: actual times within the stated interval",
        f"{'class':24} {'runs':>6} {'judged':>6} | within 20%: learned  owner   mean  one number |"
        " held at 50%   80%   95% | first ten at 95%",
    ]
    for one in scores:
        lines.append(
            f"{one.job_class[:24]:24} {one.runs:6} {one.judged:6} |               {share(one.within_20)}  "
            f"{share(one.owner.within_20)}  {share(one.corrected_mean.within_20)}       {share(one.one_number_20)} |"
            f"       {share(one.covered_50)} {share(one.covered_80)} {share(one.covered_95)} |"
            f"            {share(one.first_ten_95)}"
        )
    return "\n".join(lines)
