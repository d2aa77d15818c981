"""What the rest of the leader asks about run times, and today's plain answer to it."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import Protocol

from meadowcross.common.types import JobId, MachineId, Seconds
from meadowcross.jobs.messages import JobKind, JobSpec

TYPICAL = 0.5
"""For the order and for what a machine is paid for: as often too long as too short."""
CAUTIOUS = 0.75
"""For room that ends are to bring: three in four are there by then."""
MEAN_KEEP = 0.05
MOST_OFF = 4.0


class Runs(Protocol):
    """Run times of one task, in seconds, without fetches, waits and saves."""

    def run(self, spec: JobSpec, q: float = TYPICAL) -> Seconds:
        """The time that a share `q` of such runs stays below."""

    def left(self, spec: JobSpec, ran: Seconds, q: float = TYPICAL, machine_type: str = "") -> Seconds:
        """The same of what is left of a run that has lasted `ran`; 0 or less: it is overdue, and
        nothing is known of when it ends. Infinite for a service, which runs until it is cancelled: as its owner
        estimates 0, all services once counted as room about to come free, and nothing was rented beside them."""

    def done(self, spec: JobSpec, ran: Seconds, machine: MachineId, machine_type: str) -> None:
        """A task completed after running for so long."""

    def cut(self, spec: JobSpec, ran: Seconds) -> None:
        """A run was stopped, failed or lost: it would have lasted longer than `ran`."""

    def watch(self, running: Iterable[tuple[JobSpec, list[Seconds]]]) -> None:
        """How long the running tasks of each job have lasted by now."""

    def forget(self, job: JobId) -> None:
        """The job has ended."""


class MeanRuns:
    """The owner's estimate, corrected by the mean of what its class has shown."""

    def __init__(self) -> None:
        self.ratios: dict[str, float] = {}

    def run(self, spec: JobSpec, q: float = TYPICAL) -> Seconds:
        return spec.estimate_s * self.ratios.get(spec.job_class, 1.0)

    def left(self, spec: JobSpec, ran: Seconds, q: float = TYPICAL, machine_type: str = "") -> Seconds:
        return inf if spec.kind is JobKind.SERVICE else self.run(spec) - ran

    def done(self, spec: JobSpec, ran: Seconds, machine: MachineId, machine_type: str) -> None:
        if spec.estimate_s > 0:
            ratio = min(MOST_OFF, ran / spec.estimate_s)
            old = self.ratios.get(spec.job_class, 1.0)
            self.ratios[spec.job_class] = old + MEAN_KEEP * (ratio - old)

    def cut(self, spec: JobSpec, ran: Seconds) -> None:
        """Teaches a mean nothing."""

    def watch(self, running: Iterable[tuple[JobSpec, list[Seconds]]]) -> None:
        """Likewise."""

    def forget(self, job: JobId) -> None:
        """Nothing is kept of one job."""
