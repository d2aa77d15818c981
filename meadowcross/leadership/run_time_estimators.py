"""Which estimators of run times a term uses."""

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
"""From this value on, what is learned decides placement."""


@dataclass(frozen=True, slots=True)
class RunTimeEstimators:
    """The estimators of a term."""

    runs: Runs
    """The one that decisions rest on."""
    samples: Samples
    """Hands what is seen of runs to all that learn."""
    learned: Learned | None = None
    keeper: EstimateKeeper | None = None
    """Stores what is learned."""

    @property
    def means(self) -> MeanRuns | None:
        """The mean-based estimator, where decisions rest on it."""
        return self.runs if isinstance(self.runs, MeanRuns) else None


def build_estimators(
    context: TermContext, store: StoreClient, reread_keys: Callable[[list[str]], Awaitable[None]]
) -> RunTimeEstimators:
    """Choose the estimators by the operators' settings. `reread_keys` as in `GroupCommitter`."""
    level = context.operator.learned_estimates
    if level < LEARN_ONLY:
        means = MeanRuns()
        return RunTimeEstimators(means, Samples([means]))
    # Imported by a leader only: a node that was killed is back sooner without them.
    from meadowcross.estimates.keeper import EstimateKeeper  # noqa: PLC0415 - start-up time
    from meadowcross.estimates.learned import Learned  # noqa: PLC0415 - start-up time

    learned = Learned(context.clock)
    keeper = EstimateKeeper(context.clock, store, context.leader_condition, learned, reread_keys)
    if level >= LEARN_AND_USE:
        return RunTimeEstimators(learned, Samples([learned]), learned, keeper)
    means = MeanRuns()
    return RunTimeEstimators(means, Samples([learned, means]), learned, keeper)
