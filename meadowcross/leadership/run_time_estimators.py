"""Chooses the run time estimators of a term."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from meadowcross.estimates.estimators import MeanRatioEstimator, RunTimeEstimator
from meadowcross.estimates.samples import SampleCollector
from meadowcross.leadership.term_context import TermContext
from meadowcross.store.client import StoreClient

if TYPE_CHECKING:
    from meadowcross.estimates.estimate_storage import EstimateStorage
    from meadowcross.estimates.run_time_model import RunTimeModel

LEARN_ONLY = 1
"""From this value of `learned_estimates` on, run times are learned."""
LEARN_AND_USE = 2
"""From this value of `learned_estimates` on, placement decisions use learned run times."""


@dataclass(frozen=True, slots=True)
class RunTimeEstimators:
    """The estimators of a term."""

    decision_estimator: RunTimeEstimator
    """The estimator that decisions use."""
    samples: SampleCollector
    """Passes observed runs to all estimators that learn."""
    learned: RunTimeModel | None = None
    storage: EstimateStorage | None = None
    """Stores the learned run times; None where none are learned."""

    @property
    def means(self) -> MeanRatioEstimator | None:
        """The mean-based estimator if decisions use it, else None."""
        return self.decision_estimator if isinstance(self.decision_estimator, MeanRatioEstimator) else None


def build_estimators(
    context: TermContext, store: StoreClient, reread_keys: Callable[[list[str]], Awaitable[None]]
) -> RunTimeEstimators:
    """Choose the estimators by the operators' settings. `reread_keys` is that of `GroupCommitter`."""
    level = context.operator_settings.learned_estimates
    if level < LEARN_ONLY:
        means = MeanRatioEstimator()
        return RunTimeEstimators(means, SampleCollector([means]))
    # Imported only by a leader that learns run times: a killed controller restarts faster without these imports.
    from meadowcross.estimates.estimate_storage import EstimateStorage  # noqa: PLC0415 - start-up time
    from meadowcross.estimates.run_time_model import RunTimeModel  # noqa: PLC0415 - start-up time

    learned = RunTimeModel(context.clock)
    storage = EstimateStorage(context.clock, store, context.leader_condition, learned, reread_keys)
    if level >= LEARN_AND_USE:
        return RunTimeEstimators(learned, SampleCollector([learned]), learned, storage)
    means = MeanRatioEstimator()
    return RunTimeEstimators(means, SampleCollector([learned, means]), learned, storage)
