"""A quantile sketch whose older samples weigh less: the bins of DDSketch with exponential decay.

The mapping to bins and the bounded store of bins are the library's (Masson et al., VLDB 2019). The decay is forward
decay (Cormode et al., ICDE 2009): instead of shrinking all bins at each sample, each sample weighs more than the one
before it, and all weights are scaled back from time to time.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, log

from ddsketch.mapping import LogarithmicMapping
from ddsketch.store import CollapsingLowestDenseStore

from meadowcross.estimates.curve import QUANTILES, LogQuantiles

RELATIVE_ACCURACY = 0.02
MAX_BINS = 256
"""The bins reach from the largest value down to a twenty-thousandth of it; smaller values share the lowest bin."""
MIN_VALUE, MAX_VALUE = 1e-3, 1e9
MAX_SAMPLE_WEIGHT = 1e9
"""All weights are scaled back once a new sample weighs more than this."""
MAX_STALE_SHARE = 0.03
"""Cached quantiles are computed again once more than this share of the weight is new."""
MIN_STORED_WEIGHT = 1e-3
"""Bins that weigh less than this share of one sample are not stored."""

_MAPPING = LogarithmicMapping(RELATIVE_ACCURACY)
_LOG_BIN_WIDTH = log(_MAPPING.gamma)
LOWEST_KEY, HIGHEST_KEY = _MAPPING.key(MIN_VALUE), _MAPPING.key(MAX_VALUE)

Bins = list[tuple[int, float]]


class DecayingSketch:
    """A sketch of positive values in which a sample's weight halves with every `half_life` further samples."""

    __slots__ = ("_growth", "_half_life", "_log_quantiles", "_new_weight", "_sample_weight", "_store")

    def __init__(self, half_life: float) -> None:
        self._half_life = half_life
        self._growth = 2.0 ** (1.0 / half_life)
        self._store = CollapsingLowestDenseStore(MAX_BINS)
        self._sample_weight = 1.0
        """The weight in the store of one sample that is added now."""
        self._log_quantiles: LogQuantiles | None = None
        self._new_weight = 0.0
        """The weight that was added since the quantiles were computed."""

    @property
    def weight(self) -> float:
        """The total weight, in samples that are added now."""
        return float(self._store.count) / self._sample_weight

    def add(self, value: float, weight: float = 1.0) -> None:
        """Add a sample. One with a weight below 1 also lets the earlier samples decay less."""
        self._sample_weight *= self._growth**weight
        self._store.add(_MAPPING.key(min(MAX_VALUE, max(MIN_VALUE, value))), weight * self._sample_weight)
        self._new_weight += weight
        if self._new_weight > MAX_STALE_SHARE * self.weight:
            # Scanning all bins at each sample was the largest part of the cost of learning.
            self._log_quantiles = None
        if self._sample_weight > MAX_SAMPLE_WEIGHT:
            self._replace_bins(self.bins())

    def _add_to_bin(self, key: int, weight: float) -> None:
        self._store.add(key, weight)
        self._log_quantiles = None

    def _replace_bins(self, bins: Iterable[tuple[int, float]]) -> None:
        self._store = CollapsingLowestDenseStore(MAX_BINS)
        self._sample_weight = 1.0
        for key, weight in bins:
            self._add_to_bin(key, weight)

    def bins(self) -> Bins:
        """Return the keys, ascending, and their weights in samples that are added now."""
        return [
            (index + self._store.offset, weight / self._sample_weight)
            for index, weight in enumerate(self._store.bins)
            if weight > MIN_STORED_WEIGHT * self._sample_weight
        ]

    def rounded_bins(self) -> Bins:
        """Return the bins with rounded weights, for storing."""
        return [(key, max(MIN_STORED_WEIGHT, round(weight, 3))) for key, weight in self.bins()]

    @classmethod
    def from_bins(cls, half_life: float, bins: Bins) -> DecayingSketch:
        """Create a sketch from stored bins."""
        sketch = cls(half_life)
        sketch._replace_bins(bins)
        return sketch

    def merge(self, other: DecayingSketch) -> None:
        """Add the other sketch's samples as if all of them were older than this sketch's.

        They decay by about as much as this sketch's own samples have aged them."""
        decay = 2.0 ** (-self.weight / self._half_life)
        for key, weight in other.bins():
            self._add_to_bin(key, weight * decay * self._sample_weight)

    def log_quantiles(self) -> LogQuantiles:
        """Return the log quantiles, up to `MAX_STALE_SHARE` out of date. The sketch must not be empty."""
        if self._log_quantiles is None:
            self._log_quantiles = self._compute_log_quantiles()
            self._new_weight = 0.0
        return self._log_quantiles

    def _compute_log_quantiles(self) -> LogQuantiles:
        quantiles = iter(QUANTILES)
        log_quantiles: list[float] = []
        total = float(self._store.count)
        target = next(quantiles) * total
        weight_below = 0.0
        upper_edge = 0.0
        for index, weight in enumerate(self._store.bins):
            if weight <= 0.0:
                continue
            upper_edge = log(_MAPPING.value(index + self._store.offset)) + _LOG_BIN_WIDTH / 2
            while weight_below + weight >= target:
                log_quantiles.append(upper_edge - _LOG_BIN_WIDTH * (1 - (target - weight_below) / weight))
                next_quantile = next(quantiles, None)
                if next_quantile is None:
                    return tuple(log_quantiles)
                target = next_quantile * total
            weight_below += weight
        # Rounding errors may keep the sum of the weights below the total.
        return tuple(log_quantiles + [upper_edge] * (len(QUANTILES) - len(log_quantiles)))

    def log_mean(self) -> float:
        """Return the mean of the logarithms. Unlike the median it does not jump between the modes of a bimodal
        distribution."""
        total = sum(
            weight * log(_MAPPING.value(index + self._store.offset))
            for index, weight in enumerate(self._store.bins)
            if weight > 0.0
        )
        return float(total / self._store.count)

    def share_below(self, value: float) -> float:
        """Return the share of the weight below a value, with half the weight of the value's own bin."""
        key = _MAPPING.key(min(MAX_VALUE, max(MIN_VALUE, value)))
        index = key - self._store.offset
        bins = self._store.bins
        if index < 0:
            return 0.0
        if index >= len(bins):
            return 1.0
        return float(sum(bins[:index]) + bins[index] / 2) / float(self._store.count)

    @property
    def median(self) -> float:
        """The median, as a value. The sketch must not be empty."""
        return exp(self.log_quantiles()[len(QUANTILES) // 2])
