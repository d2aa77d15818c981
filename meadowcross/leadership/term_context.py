"""State that all components of a leader term share: its constants, its lifecycle, and the tables of jobs and workers.

All of it is used on the reactor thread only.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.settings import OperatorSettings, Settings
from meadowcross.common.types import FencingToken, Instant
from meadowcross.jobs.job_table import JobTable, Placement
from meadowcross.store.messages import Condition
from meadowcross.workers.command_log import CommandLog
from meadowcross.workers.registry import WorkerRegistry

log = get_logger("leadership")


class Leadership(Protocol):
    """The operations of the election that its term uses."""

    def has_valid_lease(self) -> bool:
        """Whether the leader lease is valid, so that no other controller can lead now."""

    def step_down(self, reason: str) -> None:
        """Give up the leadership, which ends this term."""

    def begin_transfer(self, reason: str) -> None:
        """Transfer the leadership to a peer, if a peer is ready."""


@dataclass(frozen=True, slots=True)
class TermContext:
    """The constants of a term."""

    clock: Clock
    token: FencingToken
    settings: Settings
    operator_settings: OperatorSettings
    leadership: Leadership
    list_machine_types: Callable[[], list[MachineType]]
    leader_condition: Condition
    """A condition of each transaction: the leader key has not changed since this term's election."""
    started_at: Instant

    @property
    def now(self) -> Instant:
        """The current time, in seconds."""
        return Instant(self.clock.seconds())


class TermLifecycle:
    """Whether a term has loaded the stored state, and whether it has ended."""

    def __init__(self, context: TermContext) -> None:
        self._context = context
        self._logged_milestones: set[str] = set()
        self.is_loaded = False
        self.is_stopped = False

    @property
    def is_active(self) -> bool:
        """Whether the state is loaded and the term has not ended."""
        return self.is_loaded and not self.is_stopped

    def log_milestone(self, milestone: str) -> None:
        """Log the time from the election to this milestone, the first time that it is reached. `benchmarks.takeover`
        reads these lines."""
        if milestone not in self._logged_milestones:
            self._logged_milestones.add(milestone)
            context = self._context
            log.info(
                'milestone reached term=%d milestone="%s" elapsed_s=%.3f',
                context.token,
                milestone,
                context.now - context.started_at,
            )


@dataclass(frozen=True, slots=True)
class TermState:
    """The objects that most components of a term read or change."""

    context: TermContext
    lifecycle: TermLifecycle
    job_table: JobTable
    worker_registry: WorkerRegistry
    command_log: CommandLog = field(default_factory=CommandLog)

    def is_current_placement(self, key: object) -> bool:
        """Whether `key` is a placement that is neither completed nor released."""
        if not isinstance(key, Placement):
            return False
        job = self.job_table.jobs.get(key.task.job)
        return job is not None and job.placements.get(key.task.number) is key
