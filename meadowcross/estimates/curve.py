"""A distribution of run times as a few quantiles: logarithms of seconds at fixed shares.

A prediction is put together from several levels (all work, team, class, part, job); on a
fixed grid that is arithmetic on seven numbers, and it stays monotone. Between and beyond the
grid's points a curve is linear in the normal score, so that a lognormal is exact.
"""

from __future__ import annotations

from bisect import bisect_right
from functools import lru_cache
from math import exp, log
from typing import TYPE_CHECKING, NamedTuple

from meadowcross.common.types import Seconds

if TYPE_CHECKING:
    from statistics import NormalDist

GRID = (0.025, 0.1, 0.25, 0.5, 0.75, 0.9, 0.975)
MIDDLE = 3
PAIRS = ((2, 4), (1, 5), (0, 6))
"""Where the stated intervals of 50, 80 and 95% end."""
STATED = (0.50, 0.80, 0.95)
LEAST_S: Seconds = 0.01
LINDY = 0.1
"""What ran longer than nearly all others goes on for at least this share of its age."""

SCORES = (-1.959963985, -1.281551566, -0.67448975, 0.0, 0.67448975, 1.281551566, 1.959963985)
"""The normal scores of the grid, written out: `statistics` is loaded by who predicts, not by a node's start."""

Logs = tuple[float, ...]
"""Natural logarithms at the grid's shares, ascending."""


@lru_cache(maxsize=1)
def _normal() -> NormalDist:
    from statistics import NormalDist

    return NormalDist()


@lru_cache(maxsize=256)
def score_of(q: float) -> float:
    return _normal().inv_cdf(min(0.999, max(0.001, q)))


def spread(middle: float, sigma: float) -> Logs:
    """A lognormal's logs."""
    return tuple(middle + sigma * score for score in SCORES)


def blend(own: Logs, weight: float, other: Logs) -> Logs:
    return tuple(weight * a + (1 - weight) * b for a, b in zip(own, other, strict=True))


def shifted(logs: Logs, by: float) -> Logs:
    return tuple(value + by for value in logs)


def ascending(logs: Logs) -> Logs:
    rising = list(logs)
    for i in range(MIDDLE + 1, len(rising)):
        rising[i] = max(rising[i], rising[i - 1])
    for i in range(MIDDLE - 1, -1, -1):
        rising[i] = min(rising[i], rising[i + 1])
    return tuple(rising)


def widened(logs: Logs, factors: tuple[float, float, float]) -> Logs:
    """The same middle; each stated interval stretched by its factor."""
    out = list(logs)
    middle = logs[MIDDLE]
    for (low, high), factor in zip(PAIRS, factors, strict=True):
        out[low] = middle + factor * (logs[low] - middle)
        out[high] = middle + factor * (logs[high] - middle)
    return ascending(tuple(out))


class Curve(NamedTuple):
    """The predicted distribution of one task's run time."""

    logs: Logs

    def log_at(self, q: float) -> float:
        score = score_of(q)
        right = min(max(bisect_right(SCORES, score), 1), len(SCORES) - 1)
        x0, x1 = SCORES[right - 1], SCORES[right]
        y0, y1 = self.logs[right - 1], self.logs[right]
        return y0 + (y1 - y0) * (score - x0) / (x1 - x0)

    def at(self, q: float) -> Seconds:
        """The run time that a share `q` of runs stays below."""
        return max(LEAST_S, exp(min(30.0, self.log_at(q))))

    def share(self, ran: Seconds) -> float:
        """The share of runs that end before `ran`, from 0.001 to 0.999."""
        if ran <= LEAST_S:
            return 0.001
        value = log(ran)
        right = min(max(bisect_right(self.logs, value), 1), len(SCORES) - 1)
        y0, y1 = self.logs[right - 1], self.logs[right]
        if y1 - y0 < 1e-9:
            return min(0.999, max(0.001, GRID[right] if value >= y1 else GRID[right - 1]))
        score = SCORES[right - 1] + (SCORES[right] - SCORES[right - 1]) * (value - y0) / (y1 - y0)
        return min(0.999, max(0.001, _normal().cdf(score)))

    def left(self, ran: Seconds, q: float) -> Seconds:
        """What is left of a run that has lasted `ran`: the share `q` of such runs takes less.
        One that outlasted all that was seen is not taken to end at once."""
        if ran <= 0:
            return self.at(q)
        passed = self.share(ran)
        return max(self.at(passed + (1 - passed) * q) - ran, LINDY * ran if passed > GRID[-1] else LEAST_S)
