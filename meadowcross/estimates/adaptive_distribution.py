"""A distribution of run times that follows changes: a slow and a fast sketch, and a drift test between them.

The slow sketch holds the shape of the distribution. The test averages the quantile ranks that the latest samples have
in the slow sketch; without a change this average stays near the median. When it leaves the median, the slow sketch is
frozen, the median is taken from the fast sketch, and a fresh sketch collects the samples since the change. If the slow
sketch fits again (a temporary change has ended), it is used again with its full history; otherwise the fresh sketch
replaces it.
"""

from __future__ import annotations

from math import log, sqrt

from meadowcross.estimates.curve import MEDIAN_INDEX, LogQuantiles, shift, widen
from meadowcross.estimates.messages import DistributionRecord
from meadowcross.estimates.sketch import DecayingSketch

SLOW_HALF_LIFE, FAST_HALF_LIFE = 64.0, 3.0
"""In samples."""
DRIFT_DECAY = 0.84
"""Decay of the test's average for each sample: a sixth is lost, so that about a dozen samples count."""
DRIFT_TEST_MIN_WEIGHT = 8.0
"""Samples that the slow sketch must hold before the test starts."""
CHANGE_BEGINS_SIGMAS, CHANGE_ENDS_SIGMAS = 3.2, 1.5
"""In standard deviations of the test's average under the hypothesis of no change."""
FRESH_MEDIAN_MIN_WEIGHT, FRESH_REPLACES_SLOW_WEIGHT = 3.0, 24.0
"""Samples from which on the median is taken from the fresh sketch; from which on it replaces the slow sketch."""
CHANGE_WIDENING = (1.15, 1.15, 1.15)
"""Factors of the stated intervals while a change lasts."""


class AdaptiveDistribution:
    """A distribution of positive values that adapts to sudden changes within a few samples."""

    __slots__ = ("changes", "drift", "fast", "fresh", "slow", "variance")

    def __init__(self) -> None:
        self.slow = DecayingSketch(SLOW_HALF_LIFE)
        self.fast = DecayingSketch(FAST_HALF_LIFE)
        self.fresh: DecayingSketch | None = None
        """Samples since the change; None while no change lasts."""
        self.drift = 0.0
        """The test's average: the latest samples' mean quantile rank in the slow sketch, less 0.5."""
        self.variance = 0.0
        """The variance of `drift` if nothing has changed."""
        self.changes = 0
        """How many changes were detected."""

    @property
    def weight(self) -> float:
        """The number of samples that the present quantiles rest on."""
        if self.fresh is None:
            return self.slow.weight
        return max(self.fresh.weight, min(self.fast.weight, FAST_HALF_LIFE))

    @property
    def is_changed(self) -> bool:
        """Whether a change lasts, so that the slow sketch is frozen."""
        return self.fresh is not None

    def add(self, value: float, weight: float = 1.0) -> None:
        """Add a sample, and detect the beginning and the end of a change."""
        self.fast.add(value, weight)
        if self.slow.weight < DRIFT_TEST_MIN_WEIGHT:
            self.slow.add(value, weight)
            return
        keep = DRIFT_DECAY**weight
        self.drift = keep * self.drift + (1 - keep) * (self.slow.share_below(value) - 0.5)
        # Without a change the ranks are uniformly distributed, each with a variance of 1/12.
        self.variance = keep * keep * self.variance + (1 - keep) ** 2 / 12
        deviation_sigmas = abs(self.drift) / sqrt(self.variance)
        if self.fresh is None:
            self.slow.add(value, weight)
            if deviation_sigmas > CHANGE_BEGINS_SIGMAS:
                self.fresh = DecayingSketch(SLOW_HALF_LIFE)
                self.changes += 1
            return
        self.fresh.add(value, weight)
        if deviation_sigmas < CHANGE_ENDS_SIGMAS:
            self.fresh = None
        elif self.fresh.weight >= FRESH_REPLACES_SLOW_WEIGHT:
            self.slow, self.fresh = self.fresh, None
            self.drift = self.variance = 0.0

    def log_quantiles(self) -> LogQuantiles:
        """Return the present log quantiles. The weight must be above 0."""
        offset = self._log_offset()
        slow = self.slow.log_quantiles()
        return slow if offset == 0.0 else widen(shift(slow, offset), CHANGE_WIDENING)

    def log_mean(self) -> float:
        """Return the present mean of the logarithms. The weight must be above 0."""
        return self.slow.log_mean() + self._log_offset()

    def _log_offset(self) -> float:
        """How far the present median lies from the slow sketch's, in logarithms; 0 while no change lasts."""
        if self.fresh is None:
            return 0.0
        recent = self.fresh if self.fresh.weight >= FRESH_MEDIAN_MIN_WEIGHT else self.fast
        return log(recent.median) - self.slow.log_quantiles()[MEDIAN_INDEX]

    def merge(self, other: AdaptiveDistribution) -> None:
        """Add the samples of another leader as if all of them were older than this distribution's."""
        self.slow.merge(other.slow)
        self.fast.merge(other.fast)
        if other.fresh is not None:
            if self.fresh is None:
                self.fresh = other.fresh
            else:
                self.fresh.merge(other.fresh)
        if self.variance == 0.0:
            self.drift, self.variance = other.drift, other.variance
        self.changes += other.changes

    def to_record(self) -> DistributionRecord:
        """Return the stored form, with rounded values."""
        return DistributionRecord(
            self.slow.rounded_bins(),
            self.fast.rounded_bins(),
            self.fresh.rounded_bins() if self.fresh is not None else None,
            round(self.drift, 6),
            round(self.variance, 8),
            self.changes,
        )

    @classmethod
    def from_record(cls, record: DistributionRecord) -> AdaptiveDistribution:
        """Create a distribution from its stored form."""
        distribution = cls()
        distribution.slow = DecayingSketch.from_bins(SLOW_HALF_LIFE, record.slow)
        distribution.fast = DecayingSketch.from_bins(FAST_HALF_LIFE, record.fast)
        distribution.fresh = (
            DecayingSketch.from_bins(SLOW_HALF_LIFE, record.fresh) if record.fresh is not None else None
        )
        distribution.drift, distribution.variance, distribution.changes = record.drift, record.variance, record.changes
        return distribution
