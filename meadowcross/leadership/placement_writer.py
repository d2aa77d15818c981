"""Stores placements and ends of jobs, sends starts of stored placements, and stops and releases tasks."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from meadowcross.common.types import Seconds
from meadowcross.jobs.job_table import Job, Placement, PlacementPhase
from meadowcross.jobs.job_writer import JobWriter
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.term_context import TermState
from meadowcross.store.group_commit import GroupCommitter
from meadowcross.workers.dispatcher import CommandDispatcher, DispatchHandlers, SendCommands
from meadowcross.workers.messages import Heartbeat


@dataclass(frozen=True, slots=True)
class CommandTransport:
    """Sends commands to workers."""

    send: SendCommands
    count_probing_nodes: Callable[[], int]
    """Returns how many controllers send probes; the number of concurrent probes is multiplied by it."""


class PlacementWriter:
    """Handles placements from their decision to their release.

    A placement is stored before its start is sent. It is released once its task is proven to be on no machine, or its
    start was certainly not sent."""

    def __init__(
        self,
        state: TermState,
        committer: GroupCommitter,
        max_changes: int,
        transport: CommandTransport,
        pass_trigger: PassTrigger,
    ) -> None:
        """`max_changes`: maximum number of keys that one transaction changes."""
        self._state = state
        self._context = state.context
        self._lifecycle = state.lifecycle
        self._job_table = state.job_table
        self._worker_registry = state.worker_registry
        self._pass_trigger = pass_trigger
        self._on_job_ended: Sequence[Callable[[Job], None]] = ()
        self._on_status: Callable[[Heartbeat], None] = lambda _heartbeat: None
        self.dispatcher = CommandDispatcher(
            state.context.clock,
            transport.send,
            state.worker_registry,
            DispatchHandlers(
                self._forward_status, self.on_start_not_sent, self.may_start, transport.count_probing_nodes
            ),
            state.command_log,
        )
        self.job_writer = JobWriter(
            state.context.clock,
            state.job_table,
            committer,
            max_changes,
            self.on_placement_stored,
            self._forward_job_end,
        )

    def set_listeners(
        self, on_status: Callable[[Heartbeat], None], on_job_ended: Sequence[Callable[[Job], None]]
    ) -> None:
        """Set the callback for statuses in command responses, and the callbacks that run, in this order, for each job
        whose end is stored."""
        self._on_status = on_status
        self._on_job_ended = on_job_ended

    def _forward_status(self, heartbeat: Heartbeat) -> None:
        self._on_status(heartbeat)

    def _forward_job_end(self, job: Job) -> None:
        for on_job_ended in self._on_job_ended:
            on_job_ended(job)

    def on_placement_stored(self, placement: Placement) -> None:
        """Send the start, unless the placement was completed or released meanwhile."""
        if self._state.is_current_placement(placement):
            self._lifecycle.log_milestone("first placement stored")
            placement.phase = PlacementPhase.STORED
            self.dispatcher.enqueue_start(placement)

    def may_start(self, placement: Placement) -> bool:
        """Whether the start of this placement may be sent now."""
        job = self._job_table.jobs.get(placement.task.job)
        may_start = (
            not self._lifecycle.is_stopped
            and job is not None
            and job.cancelled_at is None
            and self._state.is_current_placement(placement)
            and placement.phase is PlacementPhase.STORED
        )
        if may_start:
            self._lifecycle.log_milestone("first start sent")
        return may_start

    def on_start_not_sent(self, placement: Placement) -> None:
        """Release a placement whose start was certainly not sent, so that its task is on no machine."""
        job = self._job_table.jobs.get(placement.task.job)
        if job is None or placement.may_have_started or not self._state.is_current_placement(placement):
            return
        self._worker_registry.unassign(placement, job.spec, self._context.now)
        self._job_table.release(placement)
        self.after_release(job)
        self._pass_trigger.schedule_pass()

    def after_release(self, job: Job) -> None:
        """After tasks of the job were released or completed, store its end if it is due, else its changed chunks."""
        if job.is_gang and not job.placements:
            job.gang_attempt = None
        if not self.job_writer.enqueue_end_if_due(job):
            self.job_writer.enqueue_dirty_chunks()

    def stop_task(self, placement: Placement, grace_s: Seconds) -> None:
        """Have the worker stop the task within `grace_s`; a shorter grace time replaces a longer one."""
        if placement.stop_requested_at is None or grace_s < placement.grace_s:
            placement.stop_requested_at = self._context.now
            placement.grace_s = grace_s
            # Each heartbeat response repeats the stop, so a relay must not answer the next heartbeat itself.
            self._worker_registry.machines[placement.machine].proof.reconciled_tasks = None
            self.dispatcher.enqueue_stop(placement)

    def stop(self) -> None:
        """Stop sending commands."""
        self.dispatcher.stop()
