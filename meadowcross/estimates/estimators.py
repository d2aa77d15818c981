"""The interface of run time estimators, and the estimator that corrects owners' guesses by a mean."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import Protocol

from meadowcross.common.types import JobId, MachineId, Seconds
from meadowcross.jobs.messages import JobKind, JobSpec

MEDIAN_QUANTILE = 0.5
"""The median, as often too long as too short: for the order of jobs and the expected cost of machines."""
CAUTIOUS_QUANTILE = 0.75
"""For capacity that is about to become free: three of four runs have ended by this quantile."""
MEAN_SMOOTHING = 0.05
"""The weight of the newest ratio in the moving average."""
MAX_RATIO = 4.0


class RunTimeEstimator(Protocol):
    """Predicts the run time of one task, in seconds, without image fetches, waiting and saving of checkpoints."""

    def run_time(self, spec: JobSpec, q: float = MEDIAN_QUANTILE) -> Seconds:
        """Return the time that a share `q` of such runs stays below."""

    def remaining_time(
        self, spec: JobSpec, elapsed_s: Seconds, q: float = MEDIAN_QUANTILE, machine_type: str = ""
    ) -> Seconds:
        """Return the quantile `q` of the remaining time of a run that has lasted `elapsed_s`.

        0 or less means that the run is overdue and its end can't be predicted. The result is infinite for a service,
        which runs until it is cancelled. Its owner's guess is 0, so all services once counted as capacity about to
        become free, and no machines were created beside them."""

    def on_completed(self, spec: JobSpec, run_s: Seconds, machine_id: MachineId, machine_type: str) -> None:
        """Learn from a task that completed after running for `run_s`."""

    def on_interrupted(self, spec: JobSpec, elapsed_s: Seconds) -> None:
        """Learn from a run that was stopped, failed or lost: it would have lasted longer than `elapsed_s`."""

    def update_running(self, running: Iterable[tuple[JobSpec, list[Seconds]]]) -> None:
        """Take into account how long the running tasks of each job have lasted so far."""

    def drop_job(self, job_id: JobId) -> None:
        """Drop the state of a job that has ended."""


class MeanRatioEstimator:
    """Multiplies the owner's guess by the moving average of its class's ratios."""

    def __init__(self) -> None:
        self.ratios: dict[str, float] = {}
        """By class: actual run time over the owner's guess."""

    def run_time(self, spec: JobSpec, q: float = MEDIAN_QUANTILE) -> Seconds:
        """Return the corrected guess, which is the same for every `q`."""
        return spec.estimate_s * self.ratios.get(spec.job_class, 1.0)

    def remaining_time(
        self, spec: JobSpec, elapsed_s: Seconds, q: float = MEDIAN_QUANTILE, machine_type: str = ""
    ) -> Seconds:
        """Return the corrected guess less `elapsed_s`, which is negative for an overdue run; infinite for a service."""
        return inf if spec.kind is JobKind.SERVICE else self.run_time(spec) - elapsed_s

    def on_completed(self, spec: JobSpec, run_s: Seconds, machine_id: MachineId, machine_type: str) -> None:
        """Update the class's ratio, if the owner gave a guess."""
        if spec.estimate_s > 0:
            ratio = min(MAX_RATIO, run_s / spec.estimate_s)
            old_ratio = self.ratios.get(spec.job_class, 1.0)
            self.ratios[spec.job_class] = old_ratio + MEAN_SMOOTHING * (ratio - old_ratio)

    def on_interrupted(self, spec: JobSpec, elapsed_s: Seconds) -> None:
        """Do nothing: an interrupted run does not change the mean."""

    def update_running(self, running: Iterable[tuple[JobSpec, list[Seconds]]]) -> None:
        """Do nothing: running tasks do not change the mean."""

    def drop_job(self, job_id: JobId) -> None:
        """Do nothing: no state is kept of single jobs."""
