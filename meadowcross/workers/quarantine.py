"""Quarantine of machines on which tasks failed: a pause that time ends, then trials that show whether tasks run.

A quarantine must not depend on other machines alone. Where no other machine may run a job, or none is free, nothing
would ever happen there that could end it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from meadowcross.common.types import Instant, MachineId, Seconds
from meadowcross.jobs.job_table import Job, Placement, PlacementPhase

FIRST_MACHINE_PAUSE_S: Seconds = 15.0
"""Until then the failed job has mostly run on another machine, which shows who is at fault."""
MAX_PAUSE_DOUBLINGS = 1
"""The longest pause is a third of the time that a job may wait beside a machine with capacity, as the first trials may
be those of faulty jobs."""
MAX_TRIAL_S: Seconds = 30.0
"""A task that has run for this time shows that the machine works. If a trial's task does not run by then, another job
may have a trial."""
OUTLIVED_FACTOR = 2.0
OUTLIVED_MARGIN_S: Seconds = 1.0
"""A task shows that its job runs well on its machine once it has run for OUTLIVED_FACTOR times the time that another
task took to fail, plus OUTLIVED_MARGIN_S."""
NEVER = Instant(0.0)
"""Before any instant of a term."""


def outlived_after_s(failed_after_s: Seconds) -> Seconds:
    """Return how long a task must run to show that it outlives a failure that came after `failed_after_s`."""
    return OUTLIVED_FACTOR * failed_after_s + OUTLIVED_MARGIN_S


@dataclass(slots=True)
class Trial:
    """A placement of a job on a quarantined machine."""

    job: Job
    placement: Placement

    @property
    def is_open(self) -> bool:
        """Whether the placement is neither completed nor released."""
        return self.job.placements.get(self.placement.task.number) is self.placement


@dataclass(slots=True)
class Quarantine:
    """Why a machine is quarantined, and until when."""

    machine: MachineId
    failures: dict[Job, Seconds] = field(default_factory=dict)
    """The jobs that failed on the machine, and the time that each took to fail."""
    pause_count: int = 0
    """How often the next pause is doubled."""
    paused_until: Instant = NEVER
    last_failed_at: Instant = NEVER
    trial: Trial | None = None

    def begin_pause(self, now: Instant) -> None:
        """Begin a pause that is longer than the one before, which ends an open trial."""
        self.trial = None
        self.paused_until = Instant(now + FIRST_MACHINE_PAUSE_S * 2**self.pause_count)
        self.pause_count = min(self.pause_count + 1, MAX_PAUSE_DOUBLINGS)

    def record_failure(self, job: Job, failed_after_s: Seconds, now: Instant) -> bool:
        """Add a failure; return whether it began a pause, as the first one does and one that follows a pause.

        The tasks that were on the machine already may fail during the pause, and do not make it longer.
        """
        self.failures[job] = max(failed_after_s, self.failures.get(job, 0.0))
        self.last_failed_at = now
        if now < self.paused_until:
            return False
        self.begin_pause(now)
        return True

    def may_begin_trial(self, now: Instant) -> bool:
        """Whether one job may be placed on the machine: the pause is over, and no recent trial is still open."""
        if now < self.paused_until:
            return False
        trial = self.trial
        return trial is None or not trial.is_open or now - trial.placement.placed_at >= MAX_TRIAL_S

    def has_passed_trial(self, now: Instant) -> bool:
        """Whether the trial's task has run for long enough to show that tasks do not fail on the machine any more."""
        if self.trial is None or not self.trial.is_open:
            return False
        placement = self.trial.placement
        if placement.phase is not PlacementPhase.RUNNING or placement.running_at is None:
            return False
        min_run_s = min(MAX_TRIAL_S, outlived_after_s(max(self.failures.values(), default=inf)))
        return now - placement.running_at >= min_run_s

    def is_disproved_by(self, placement: Placement) -> bool:
        """Whether the success of this placement on the machine shows that the machine works: it ran after the failure.

        Tasks that ran there before the failure may well complete on a machine that fails all later ones.
        """
        has_run_since = placement.running_at is not None and placement.running_at > self.last_failed_at
        # When an inherited task began to run is not known.
        return has_run_since and not placement.is_inherited
