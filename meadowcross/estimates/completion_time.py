"""Predicts when a job will be done, from its remaining tasks and the capacity that it may use."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from meadowcross.common.types import Seconds
from meadowcross.estimates.curve import Curve

MAX_SAMPLED_TASKS = 16
"""The remaining time of thousands of running tasks is extrapolated from about this many."""


class CompletionForecast(NamedTuple):
    """Seconds from now until a job is done, as the 10, 50 and 90% quantiles."""

    low_s: Seconds
    median_s: Seconds
    high_s: Seconds


class RemainingWork(NamedTuple):
    """The remaining work of a job."""

    waiting_tasks: int
    """Tasks without a machine."""
    starting_tasks: int
    """Tasks that have a machine and don't run yet."""
    running_for_s: Sequence[Seconds]
    """How long each running task has run."""
    slots: int
    """How many of its tasks can run at once, by the team's quota and the machines that fit."""
    start_wait_s: Seconds
    """Time until the first waiting task can start, because of work ahead of it in the queue or a machine's boot."""
    fetch_s: Seconds
    """Duration of the image fetch before a task runs."""


def median_completion_s(work: RemainingWork, curve: Curve, job_spread: float) -> Seconds:
    """Return the median time until the last task is done.

    The last of n tasks takes longer than the median task, by more if the tasks of a job differ more. `job_spread` is
    how far they differ: 0, all take the same time; 1, they differ as much as all runs of the class.
    """
    count = work.waiting_tasks + work.starting_tasks + len(work.running_for_s)
    if count == 0:
        return 0.0
    concurrency = max(1, min(work.slots, count))

    def quantile_of_last(tasks: int) -> float:
        return float(0.5 ** (1.0 / max(1, tasks) ** job_spread))

    median_s = curve.quantile(0.5)
    if work.waiting_tasks == 0:
        ends_s = (
            [curve.remaining(min(work.running_for_s), quantile_of_last(len(work.running_for_s)))]
            if work.running_for_s
            else []
        )
        if work.starting_tasks:
            ends_s.append(work.fetch_s + curve.quantile(quantile_of_last(work.starting_tasks)))
        return max(ends_s)
    stride = max(1, len(work.running_for_s) // MAX_SAMPLED_TASKS)
    sampled = work.running_for_s[::stride]
    running_work_s = sum(curve.remaining(elapsed_s, 0.5) for elapsed_s in sampled) * (
        len(work.running_for_s) / max(1, len(sampled))
    )
    work_s = running_work_s + work.starting_tasks * (work.fetch_s + median_s) + (work.waiting_tasks - 1) * median_s
    # The last task starts on the first slot that becomes free, half a run before the mean time at which slots do.
    last_start_s = max(work.start_wait_s, work_s / concurrency - median_s * (concurrency - 1) / (2 * concurrency))
    return last_start_s + work.fetch_s + curve.quantile(quantile_of_last(min(concurrency, work.waiting_tasks)))
