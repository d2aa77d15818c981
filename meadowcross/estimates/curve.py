"""A distribution of run times, held as natural logarithms of seconds at seven fixed quantiles.

A prediction combines several levels (all work, team, class, subgroup, job). On fixed quantiles that is arithmetic on
seven numbers, and the result stays monotone. Between and beyond these quantiles a curve is linear in the normal
score, so that a lognormal distribution is represented exactly.
"""

from __future__ import annotations

from bisect import bisect_right
from functools import lru_cache
from math import exp, log
from typing import TYPE_CHECKING, NamedTuple

from meadowcross.common.types import Seconds

if TYPE_CHECKING:
    from statistics import NormalDist

QUANTILES = (0.025, 0.1, 0.25, 0.5, 0.75, 0.9, 0.975)
MEDIAN_INDEX = 3
INTERVAL_INDEXES = ((2, 4), (1, 5), (0, 6))
"""Indexes of the ends of the stated intervals of 50, 80 and 95%."""
INTERVAL_COVERAGES = (0.50, 0.80, 0.95)
MIN_RUN_S: Seconds = 0.01
MIN_REMAINING_SHARE = 0.1
"""A run that has outlasted nearly all others is predicted to last for at least this share of its age longer."""

NORMAL_SCORES = (-1.959963985, -1.281551566, -0.67448975, 0.0, 0.67448975, 1.281551566, 1.959963985)
"""The standard normal quantiles of `QUANTILES`, as literals so that starting a node doesn't import `statistics`; only
predicting does."""

LogQuantiles = tuple[float, ...]
"""Natural logarithms of seconds, or of ratios, at `QUANTILES`, ascending."""


@lru_cache(maxsize=1)
def _standard_normal() -> NormalDist:
    from statistics import NormalDist

    return NormalDist()


@lru_cache(maxsize=256)
def normal_score(q: float) -> float:
    """Return the standard normal quantile of `q`, which is limited to 0.001 to 0.999."""
    return _standard_normal().inv_cdf(min(0.999, max(0.001, q)))


def lognormal(log_median: float, sigma: float) -> LogQuantiles:
    """Return the log quantiles of a lognormal distribution."""
    return tuple(log_median + sigma * score for score in NORMAL_SCORES)


def blend(first: LogQuantiles, weight: float, second: LogQuantiles) -> LogQuantiles:
    """Return the weighted mean of two curves: `weight` (0 to 1) for the first, the rest for the second."""
    return tuple(weight * a + (1 - weight) * b for a, b in zip(first, second, strict=True))


def shift(log_quantiles: LogQuantiles, offset: float) -> LogQuantiles:
    """Return the curve with all run times multiplied by e^offset."""
    return tuple(value + offset for value in log_quantiles)


def make_ascending(log_quantiles: LogQuantiles) -> LogQuantiles:
    """Return the values in ascending order, with the median unchanged: a value out of order is set to its neighbour
    on the median's side."""
    ascending = list(log_quantiles)
    for i in range(MEDIAN_INDEX + 1, len(ascending)):
        ascending[i] = max(ascending[i], ascending[i - 1])
    for i in range(MEDIAN_INDEX - 1, -1, -1):
        ascending[i] = min(ascending[i], ascending[i + 1])
    return tuple(ascending)


def widen(log_quantiles: LogQuantiles, factors: tuple[float, float, float]) -> LogQuantiles:
    """Return the curve with the same median and each stated interval stretched by its factor."""
    widened = list(log_quantiles)
    median = log_quantiles[MEDIAN_INDEX]
    for (low, high), factor in zip(INTERVAL_INDEXES, factors, strict=True):
        widened[low] = median + factor * (log_quantiles[low] - median)
        widened[high] = median + factor * (log_quantiles[high] - median)
    return make_ascending(tuple(widened))


class Curve(NamedTuple):
    """The predicted distribution of one task's run time."""

    log_quantiles: LogQuantiles

    def log_quantile(self, q: float) -> float:
        """Return the natural logarithm of the quantile `q` in seconds, interpolated in the normal score."""
        score = normal_score(q)
        right = min(max(bisect_right(NORMAL_SCORES, score), 1), len(NORMAL_SCORES) - 1)
        x0, x1 = NORMAL_SCORES[right - 1], NORMAL_SCORES[right]
        y0, y1 = self.log_quantiles[right - 1], self.log_quantiles[right]
        return y0 + (y1 - y0) * (score - x0) / (x1 - x0)

    def quantile(self, q: float) -> Seconds:
        """Return the run time that a share `q` of runs stays below, at least `MIN_RUN_S`."""
        return max(MIN_RUN_S, exp(min(30.0, self.log_quantile(q))))

    def share_below(self, run_s: Seconds) -> float:
        """Return the share of runs that take less than `run_s`, from 0.001 to 0.999."""
        if run_s <= MIN_RUN_S:
            return 0.001
        value = log(run_s)
        right = min(max(bisect_right(self.log_quantiles, value), 1), len(NORMAL_SCORES) - 1)
        y0, y1 = self.log_quantiles[right - 1], self.log_quantiles[right]
        if y1 - y0 < 1e-9:
            return min(0.999, max(0.001, QUANTILES[right] if value >= y1 else QUANTILES[right - 1]))
        score = NORMAL_SCORES[right - 1] + (NORMAL_SCORES[right] - NORMAL_SCORES[right - 1]) * (value - y0) / (y1 - y0)
        return min(0.999, max(0.001, _standard_normal().cdf(score)))

    def remaining(self, elapsed_s: Seconds, q: float) -> Seconds:
        """Return the remaining time that a share `q` of the runs stays below which have lasted `elapsed_s`.

        A run that has outlasted all samples isn't predicted to end at once: see `MIN_REMAINING_SHARE`."""
        if elapsed_s <= 0:
            return self.quantile(q)
        ended_share = self.share_below(elapsed_s)
        return max(
            self.quantile(ended_share + (1 - ended_share) * q) - elapsed_s,
            MIN_REMAINING_SHARE * elapsed_s if ended_share > QUANTILES[-1] else MIN_RUN_S,
        )
