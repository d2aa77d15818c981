"""Chooses the run time estimators of a term."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from meadowcross.estimates.runs import MeanRuns, Runs
from meadowcross.estimates.samples import Samples
from meadowcross.leadership.term_context import TermContext
from meadowcross.store.client import StoreClient

if TYPE_CHECKING:
    from meadowcross.estimates.keeper import EstimateKeeper
    from meadowcross.estimates.learned import Learned

LEARN_ONLY = 1
"""From this value of `learned_estimates` on, run times are learned."""
LEARN_AND_USE = 2
"""From this value of `learned_estimates` on, placement decisions use learned run times."""


@dataclass(frozen=True, slots=True)
class RunTimeEstimators:
    """The estimators of a term."""

    runs: Runs
    """The estimator that decisions use."""
    samples: Samples
    """Passes observed runs to all estimators that learn."""
    learned: Learned | None = None
    keeper: EstimateKeeper | None = None
    """Stores the learned run times; None where none are learned."""

    @property
    def means(self) -> MeanRuns | None:
        """The mean-based estimator if decisions use it, else None."""
        return self.runs if isinstance(self.runs, MeanRuns) else None


def build_estimators(
    context: TermContext, store: StoreClient, reread_keys: Callable[[list[str]], Awaitable[None]]
) -> RunTimeEstimators:
    """Choose the estimators by the operators' settings. `reread_keys` is that of `GroupCommitter`."""
    level = context.operator_settings.learned_estimates
    if level < LEARN_ONLY:
        means = MeanRuns()
        return RunTimeEstimators(means, Samples([means]))
    # Imported only by a leader that learns run times: a killed controller restarts faster without these imports.
    from meadowcross.estimates.keeper import EstimateKeeper  # noqa: PLC0415 - start-up time
    from meadowcross.estimates.learned import Learned  # noqa: PLC0415 - start-up time

    learned = Learned(context.clock)
    keeper = EstimateKeeper(context.clock, store, context.leader_condition, learned, reread_keys)
    if level >= LEARN_AND_USE:
        return RunTimeEstimators(learned, Samples([learned]), learned, keeper)
    means = MeanRuns()
    return RunTimeEstimators(means, Samples([learned, means]), learned, keeper)
