"""Quantiles of what was seen lately: DDSketch's bins, whose weights fade.

The mapping to bins and the bounded store are the library's (Masson et al., VLDB 2019). Fading
is by forward decay (Cormode et al., ICDE 2009): instead of all bins shrinking at each end, the
newest end weighs more than the one before, and all are scaled back from time to time.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, log

from ddsketch.mapping import LogarithmicMapping
from ddsketch.store import CollapsingLowestDenseStore

from meadowcross.estimates.curve import GRID, Logs

ACCURACY = 0.02
MAX_BINS = 256
"""From the largest value down to a twenty-thousandth of it; what is smaller shares the last bin."""
LEAST, MOST = 1e-3, 1e9
SCALE_AT = 1e9
STALE = 0.03
"""Quantiles are worked out anew once so much of the weight is new."""
FADED = 1e-3
"""Bins that weigh less than this share of one end are left out when stored."""

_MAPPING = LogarithmicMapping(ACCURACY)
_STEP = log(_MAPPING.gamma)
LOWEST_KEY, HIGHEST_KEY = _MAPPING.key(LEAST), _MAPPING.key(MOST)

Bins = list[tuple[int, float]]


class Decayed:
    """Values of ends, each of which weighs half after `half_life` more of them."""

    __slots__ = ("_growth", "_half_life", "_logs", "_store", "_unit", "_unseen")

    def __init__(self, half_life: float) -> None:
        self._half_life = half_life
        self._growth = 2.0 ** (1.0 / half_life)
        self._store = CollapsingLowestDenseStore(MAX_BINS)
        self._unit = 1.0
        """What one end of now weighs in the store."""
        self._logs: Logs | None = None
        self._unseen = 0.0
        """Weight that came since the quantiles were worked out."""

    @property
    def weight(self) -> float:
        """How many ends of now all that is remembered is worth."""
        return float(self._store.count) / self._unit

    def add(self, value: float, weight: float = 1.0) -> None:
        """An end that counts for less also makes the others fade less."""
        self._unit *= self._growth**weight
        self._store.add(_MAPPING.key(min(MOST, max(LEAST, value))), weight * self._unit)
        self._unseen += weight
        if self._unseen > STALE * self.weight:
            # A scan of all bins at each end was the largest part of what learning cost.
            self._logs = None
        if self._unit > SCALE_AT:
            self._restore(self.bins())

    def _put(self, key: int, weight: float) -> None:
        self._store.add(key, weight)
        self._logs = None

    def _restore(self, bins: Iterable[tuple[int, float]]) -> None:
        self._store = CollapsingLowestDenseStore(MAX_BINS)
        self._unit = 1.0
        for key, weight in bins:
            self._put(key, weight)

    def bins(self) -> Bins:
        """Keys and weights in ends of now, ascending."""
        return [
            (index + self._store.offset, weight / self._unit)
            for index, weight in enumerate(self._store.bins)
            if weight > FADED * self._unit
        ]

    def rounded(self) -> Bins:
        """The bins as they are stored."""
        return [(key, max(FADED, round(weight, 3))) for key, weight in self.bins()]

    @classmethod
    def of(cls, half_life: float, bins: Bins) -> Decayed:
        made = cls(half_life)
        made._restore(bins)
        return made

    def merge(self, other: Decayed) -> None:
        """Take in what another sketch has seen, as if it had been before all of ours: it fades
        by about as much as our own ends have aged it."""
        faded = 2.0 ** (-self.weight / self._half_life)
        for key, weight in other.bins():
            self._put(key, weight * faded * self._unit)

    def logs(self) -> Logs:
        """The quantiles at the grid; only asked of a sketch that holds something."""
        if self._logs is None:
            self._logs = self._work_out()
            self._unseen = 0.0
        return self._logs

    def _work_out(self) -> Logs:
        wanted = iter(GRID)
        found: list[float] = []
        total = float(self._store.count)
        target = next(wanted) * total
        seen = 0.0
        edge = 0.0
        for index, weight in enumerate(self._store.bins):
            if weight <= 0.0:
                continue
            edge = log(_MAPPING.value(index + self._store.offset)) + _STEP / 2
            while seen + weight >= target:
                found.append(edge - _STEP * (1 - (target - seen) / weight))
                following = next(wanted, None)
                if following is None:
                    return tuple(found)
                target = following * total
            seen += weight
        # Sums of fading weights may miss the total by a rounding.
        return tuple(found + [edge] * (len(GRID) - len(found)))

    def centre(self) -> float:
        """The mean of the logarithms: unlike the middle it does not jump between two humps."""
        total = sum(
            weight * log(_MAPPING.value(index + self._store.offset))
            for index, weight in enumerate(self._store.bins)
            if weight > 0.0
        )
        return float(total / self._store.count)

    def share_below(self, value: float) -> float:
        """The share of what is remembered that is smaller; its own bin counts by half."""
        key = _MAPPING.key(min(MOST, max(LEAST, value)))
        at = key - self._store.offset
        bins = self._store.bins
        if at < 0:
            return 0.0
        if at >= len(bins):
            return 1.0
        return float(sum(bins[:at]) + bins[at] / 2) / float(self._store.count)

    @property
    def middle(self) -> float:
        return exp(self.logs()[len(GRID) // 2])
