"""What all components of a leader's term share: its constants, its life cycle, and the tables of jobs and workers.

All of it is used on the reactor's thread only.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import OperatorSettings, Settings
from meadowcross.common.types import FencingToken, Instant
from meadowcross.jobs.job_table import JobTable, Placement
from meadowcross.store.messages import Condition
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("leadership")


class Leadership(Protocol):
    """What a term asks of the election that it was begun by."""

    def has_valid_lease(self) -> bool:
        """Whether no other node can lead now."""

    def step_down(self, reason: str) -> None:
        """End this term."""

    def begin_transfer(self, reason: str) -> None:
        """Hand the leadership to a peer, if one is ready."""


@dataclass(frozen=True, slots=True)
class TermContext:
    """The constants of a term."""

    clock: Clock
    token: FencingToken
    settings: Settings
    operator: OperatorSettings
    leadership: Leadership
    list_machine_types: Callable[[], list[MachineType]]
    leader_condition: Condition
    """Carried by each transaction: the leader's key is still the one that this term was elected with."""
    started_at: Instant

    @property
    def now(self) -> Instant:
        """The current time, in seconds."""
        return Instant(self.clock.seconds())


class TermLifecycle:
    """Whether a term has loaded the stored state, and whether it is over."""

    def __init__(self, context: TermContext) -> None:
        self._context = context
        self._logged_milestones: set[str] = set()
        self.is_loaded = False
        self.is_stopped = False

    @property
    def is_active(self) -> bool:
        """Whether the state is loaded and the term is not over."""
        return self.is_loaded and not self.is_stopped

    def log_milestone(self, milestone: str) -> None:
        """Log, once, how long after the election this step was reached. `benchmarks.takeover` reads these lines."""
        if milestone not in self._logged_milestones:
            self._logged_milestones.add(milestone)
            context = self._context
            log.info("term %d: %s after %.3f s", context.token, milestone, context.now - context.started_at)


@dataclass(frozen=True, slots=True)
class TermState:
    """The objects that nearly every component of a term reads or changes."""

    context: TermContext
    lifecycle: TermLifecycle
    job_table: JobTable
    worker_registry: WorkerRegistry

    def is_current_placement(self, key: object) -> bool:
        """Whether this is a placement that still counts: not completed, not released."""
        if not isinstance(key, Placement):
            return False
        job = self.job_table.jobs.get(key.task.job)
        return job is not None and job.placements.get(key.task.number) is key
