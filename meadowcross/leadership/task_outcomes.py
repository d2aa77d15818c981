"""Acts on the changes of placements that a heartbeat or a command response proves."""

from __future__ import annotations

from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, Seconds
from meadowcross.estimates.samples import SampleCollector, SampleMachine
from meadowcross.jobs.job_table import Job, Placement
from meadowcross.leadership.machine_records import MachineDecommissioner
from meadowcross.leadership.placement_writer import PlacementWriter
from meadowcross.leadership.term_context import TermState
from meadowcross.workers.health import FailureTracker
from meadowcross.workers.machine import Machine
from meadowcross.workers.messages import EXIT_ERROR, EXIT_NO_ROOM, EXIT_UNKNOWN_JOB
from meadowcross.workers.registry import EXIT_LOST, TaskChange, TaskOutcome

log = get_logger("leadership")

UNHEALTHY_REASON = "it fails tasks that succeed on other machines"
NO_ROOM_PAUSE_S: Seconds = 0.5
"""How long no task of a job is placed after a machine had no free capacity for one."""


class TaskOutcomeHandler:
    """Completes and releases placements, and records their run times and failures."""

    def __init__(
        self,
        state: TermState,
        placement_writer: PlacementWriter,
        health: FailureTracker,
        samples: SampleCollector,
        decommissioner: MachineDecommissioner,
    ) -> None:
        self._context = state.context
        self._job_table = state.job_table
        self._worker_registry = state.worker_registry
        self._command_log = state.command_log
        self._placement_writer = placement_writer
        self._health = health
        self._samples = samples
        self._decommissioner = decommissioner

    def apply(self, machine: Machine, outcome: TaskOutcome) -> None:
        """Apply the change of one placement that the machine's newest status proves."""
        placement = outcome.placement
        job = self._job_table.jobs.get(placement.task.job)
        if job is None:
            self._worker_registry.machines[machine.id].placements.pop(placement.task, None)
            return
        if outcome.change is TaskChange.RUNNING:
            machine.images.record(job.spec.image)
            log.debug(
                "task running task=%s machine=%s elapsed_s=%.2f",
                placement.task,
                machine.id,
                self._context.now - placement.placed_at,
            )
        elif outcome.change is TaskChange.WAITING:
            machine.images.record(job.spec.image)
        else:
            self._worker_registry.unassign(placement, job.spec, self._context.now)
            if outcome.exit_reason == EXIT_LOST:
                self._command_log.on_released(machine.id, str(placement.task), placement.attempt)
            if outcome.change is TaskChange.DONE:
                self._complete(machine, job, placement)
            else:
                self._release(machine, job, outcome)
            self._placement_writer.after_release(job)

    def _complete(self, machine: Machine, job: Job, placement: Placement) -> None:
        now = self._context.now
        if placement.running_at is not None:
            log.debug(
                "task done task=%s machine=%s elapsed_s=%.2f", placement.task, machine.id, now - placement.running_at
            )
        is_healthy = not self._health.is_quarantined(machine.id)
        sample_machine = SampleMachine(machine.id, machine.kind.type, is_healthy, machine.contact.silence_ended_at)
        self._samples.on_task_completed(job, placement, sample_machine, now)
        machine.images.record(job.spec.image)
        self._job_table.complete_task(placement)
        self._decommissioner.decommission(self._health.record_success(job, placement), UNHEALTHY_REASON)

    def _release(self, machine: Machine, job: Job, outcome: TaskOutcome) -> None:
        placement, now = outcome.placement, self._context.now
        log.info(
            "task released task=%s attempt=%d machine=%s reason=%s",
            placement.task,
            placement.attempt,
            machine.id,
            outcome.exit_reason,
        )
        self._samples.on_task_interrupted(job, placement, outcome.has_saved_progress, None, now)
        self._job_table.release(placement)
        job.last_loss_at = now
        if outcome.exit_reason in (EXIT_ERROR, EXIT_UNKNOWN_JOB) and job.cancelled_at is None:
            self._decommissioner.decommission(self._health.record_failure(job, placement, now), UNHEALTHY_REASON)
        elif outcome.exit_reason == EXIT_NO_ROOM:
            job.paused_until = Instant(now + NO_ROOM_PAUSE_S)
