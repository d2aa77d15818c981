"""Keeps the workers by name, and decides what their heartbeats prove of the placements on them.

A placement is proven gone only by a newest status that carries a token of this term and lacks the placement (or shows
it ended) while no start command for it is open, or by the cloud's response that its machine is deleted. No elapsed time
proves anything.
"""

from __future__ import annotations

from enum import Enum
from threading import RLock
from typing import NamedTuple

from meadowcross.common.types import EPSILON, FencingToken, HeartbeatVersion, Instant, MachineId, TaskId
from meadowcross.jobs.job_table import Placement, PlacementPhase
from meadowcross.jobs.messages import JobSpec
from meadowcross.workers.fencing import SentStart, TaskAttempt, TermTokens
from meadowcross.workers.machine import Machine
from meadowcross.workers.messages import EXIT_DONE, Heartbeat, TaskReport, TaskState

PHASE_BY_STATE = {
    TaskState.FETCHING: PlacementPhase.FETCHING,
    TaskState.WAITING: PlacementPhase.WAITING,
    TaskState.RUNNING: PlacementPhase.RUNNING,
    TaskState.CHECKPOINTING: PlacementPhase.CHECKPOINTING,
}
# Module-level names avoid an attribute lookup for each task of each heartbeat.
_EXITED, _RUNNING, _WAITING = TaskState.EXITED, TaskState.RUNNING, TaskState.WAITING
_PHASE_SENT, _PHASE_RUNNING, _PHASE_WAITING = PlacementPhase.SENT, PlacementPhase.RUNNING, PlacementPhase.WAITING

EXIT_LOST = "lost"
"""Exit reason of a placement whose task its machine does not report any more."""


class TaskChange(Enum):
    """The change of a placement that a status proved."""

    DONE = "done"
    GONE = "gone"
    RUNNING = "runs"
    WAITING = "waits"
    """The task waits for its gang and has its image; a replacement on another machine would have to fetch the image."""


class TaskOutcome(NamedTuple):
    """A change of one placement, with the worker's exit reason if the task ended."""

    change: TaskChange
    placement: Placement
    exit_reason: str | None = None
    has_saved_progress: bool = False


class StaleTokenError(Exception):
    """Raised when a worker has seen a higher token, so that another controller leads."""

    def __init__(self, machine: MachineId, seen: FencingToken, own: FencingToken) -> None:
        super().__init__(f"{machine} has seen token {seen}, which is higher than the leader's token {own}")
        self.seen = seen


class WorkerRegistry:
    """All machines that exist or may exist, with their placements. The methods may be called from any thread."""

    def __init__(self, token: FencingToken) -> None:
        """`token` is the token of the term; a status with a lower token proves nothing."""
        self._lock = RLock()
        self.token = token
        self.tokens = TermTokens(token)
        self.machines: dict[MachineId, Machine] = {}
        self.machines_with_free_cpu: dict[MachineId, Machine] = {}
        """Machines with a free CPU, which may be excluded from placement for other reasons. A placement pass reads only
        these, since few machines of a busy fleet have a free CPU."""

    def add(self, machine: Machine) -> Machine:
        """Add a machine and return it; return the machine that already has its name instead, if there is one."""
        with self._lock:
            registered = self.machines.setdefault(machine.id, machine)
            self._update_free_cpu(registered)
            return registered

    def on_type_known(self, machine: Machine) -> None:
        """Update the machines with a free CPU after the machine's type was set."""
        with self._lock:
            self._update_free_cpu(machine)

    def _update_free_cpu(self, machine: Machine) -> None:
        if machine.machine_type is not None and machine.machine_type.cpus - machine.usage.cpus > EPSILON:
            self.machines_with_free_cpu[machine.id] = machine
        else:
            self.machines_with_free_cpu.pop(machine.id, None)

    def assign(self, machine: Machine, placement: Placement, spec: JobSpec) -> None:
        """Add a placement to a machine."""
        with self._lock:
            machine.add_placement(placement, spec)
            self._update_free_cpu(machine)

    def unassign(self, placement: Placement, spec: JobSpec, now: Instant) -> None:
        """Remove a placement from its machine; a placement that is not on its machine is ignored."""
        with self._lock:
            machine = self.machines.get(placement.machine)
            if machine is None or machine.placements.get(placement.task) is not placement:
                return
            machine.remove_placement(placement, spec, now)
            self._update_free_cpu(machine)

    def remove(self, machine: MachineId) -> list[Placement]:
        """Remove a machine whose deletion the cloud answered with 200; return the placements that are gone with it."""
        with self._lock:
            removed = self.machines.pop(machine, None)
            self.machines_with_free_cpu.pop(machine, None)
            return list(removed.placements.values()) if removed else []

    def token_for(self, machine: Machine) -> FencingToken:
        """Return the token for the next message to the worker: the term's, or a higher one that it was given."""
        return machine.proof.fence.issued_token or self.token

    def token_to_reap(self, machine: Machine, attempts: list[TaskAttempt]) -> FencingToken:
        """Return the token for a response that reaps these attempts, raised if one of them could be started again.

        It is not raised while a request to the worker is in flight, which would be rejected; the attempts are then
        reaped in a later response.
        """
        with self._lock:
            proof, token = machine.proof, self.token_for(machine)
            if proof.has_request_in_flight or all(proof.fence.may_reap(start, token) for start in attempts):
                return token
            proof.fence.issued_token = max(token, self.tokens.issuable)
            return proof.fence.issued_token

    def record_starts_sent(self, machine: Machine, incarnation: int, starts: list[TaskAttempt]) -> None:
        """Record starts that are about to be sent; until they are closed, no status proves their attempts gone."""
        with self._lock:
            machine.proof.reconciled_tasks = None
            for start in starts:
                machine.proof.open_starts[start] = incarnation
            self.record_starts_executable(machine, incarnation, starts)

    def record_starts_executable(self, machine: Machine, incarnation: int, starts: list[TaskAttempt]) -> None:
        """Record starts that are about to be sent, for the first time or repeated, under the machine's token."""
        with self._lock:
            sent = SentStart(incarnation, self.token_for(machine))
            for start in starts:
                machine.proof.fence.record_start(start, sent)

    def close_starts(self, machine: Machine, starts: list[TaskAttempt]) -> None:
        """Close start commands that got a response or were certainly not sent."""
        with self._lock:
            machine.proof.reconciled_tasks = None
            for start in starts:
                machine.proof.open_starts.pop(start, None)

    def apply_renewal(
        self, machine: Machine, version: HeartbeatVersion, full_version: HeartbeatVersion, now: Instant
    ) -> bool:
        """Apply a heartbeat renewal: a relay answered heartbeat `version`, which repeats full heartbeat `full_version`.

        Returns False if the next heartbeat must be a full one, because the repeated one is not the newest that was
        applied or has to be compared again.
        """
        with self._lock:
            proof = machine.proof
            if version <= max(proof.heartbeat_version, proof.renewed_version):
                # The renewal is a late copy, or was applied before.
                return True
            if version.incarnation != proof.heartbeat_version.incarnation:
                return False
            proof.renewed_version = version
            machine.contact.record_heartbeat(now)
            return (
                proof.has_confirmed_token
                and full_version == proof.heartbeat_version
                and proof.reconciled_tasks is not None
            )

    def apply_heartbeat(self, machine: Machine, heartbeat: Heartbeat, now: Instant) -> list[TaskOutcome] | None:
        """Apply a full heartbeat, or the status in a response to direct commands.

        Returns the outcomes that it proved, or None if it is not the newest status or carries a lower token than the
        term's. Raises StaleTokenError if it carries a token that is higher than all of this term.
        """
        with self._lock:
            proof, version = machine.proof, heartbeat.version
            if heartbeat.token > self.tokens.newest:
                raise StaleTokenError(machine.id, heartbeat.token, self.tokens.newest)
            if version <= proof.heartbeat_version:
                return None
            proof.advance(version, heartbeat.token)
            machine.contact.record_status(now)
            machine.address = heartbeat.address
            machine.record_eviction_notice(heartbeat.notice_s, now)
            if heartbeat.token < self.token:
                # The worker may still execute commands of an earlier leader, so the status proves nothing.
                return None
            proof.has_confirmed_token = True
            if heartbeat.token > proof.fence.issued_token:
                proof.fence.issued_token = heartbeat.token
            if heartbeat.tasks == proof.reconciled_tasks:
                # Most heartbeats of a large fleet only renew the worker lease.
                return []
            outcomes = self._compare_tasks(machine, heartbeat, now)
            # The tasks have to be compared again if the caller has to act on an ended or lost task.
            is_reconciled = all(outcome.change in (TaskChange.RUNNING, TaskChange.WAITING) for outcome in outcomes)
            proof.reconciled_tasks = heartbeat.tasks if is_reconciled else None
            return outcomes

    def _compare_tasks(self, machine: Machine, heartbeat: Heartbeat, now: Instant) -> list[TaskOutcome]:
        """Compare the tasks of a status with the placements on its machine; set the reported exited and stale tasks."""
        outcomes: list[TaskOutcome] = []
        placements, reported, proof = machine.placements, machine.reported, machine.proof
        reported.exited, reported.stale = [], []
        matched_tasks: list[TaskId] = []
        for task in heartbeat.tasks:
            task_id = TaskId.parse(task.task)
            placement = placements.get(task_id)
            if placement is not None and placement.attempt == task.attempt:
                matched_tasks.append(task_id)
            else:
                placement = None
            if task.state is _EXITED:
                if not proof.has_open_start(task_id, task.attempt):
                    reported.exited.append(task)
                if placement is not None and placement.phase >= _PHASE_SENT:
                    outcomes.append(_ended_outcome(placement, task))
            elif placement is None:
                reported.stale.append(task)
            elif placement.phase >= _PHASE_SENT:
                outcome = _apply_state(machine, placement, task.state, now)
                if outcome is not None:
                    outcomes.append(outcome)
        if len(matched_tasks) < len(placements):
            outcomes += _lost_outcomes(machine, set(matched_tasks))
        return outcomes


def _ended_outcome(placement: Placement, task: TaskReport) -> TaskOutcome:
    change = TaskChange.DONE if task.exit_reason == EXIT_DONE else TaskChange.GONE
    return TaskOutcome(change, placement, task.exit_reason, task.has_saved_progress)


def _apply_state(machine: Machine, placement: Placement, state: TaskState, now: Instant) -> TaskOutcome | None:
    """Set the phase of a placement that its machine reports as not ended; return the change to report, if any."""
    outcome = None
    if state is _RUNNING:
        if placement.running_at is None:
            placement.running_at = now
            machine.change_count += 1
            outcome = TaskOutcome(TaskChange.RUNNING, placement)
        placement.phase = _PHASE_RUNNING
        return outcome
    if state is _WAITING and placement.phase is not _PHASE_WAITING:
        outcome = TaskOutcome(TaskChange.WAITING, placement)
    placement.phase = PHASE_BY_STATE[state]
    return outcome


def _lost_outcomes(machine: Machine, matched_tasks: set[TaskId]) -> list[TaskOutcome]:
    """Return outcomes for the placements that the status lacks while no start for them is open."""
    return [
        TaskOutcome(TaskChange.GONE, placement, EXIT_LOST)
        for placement in machine.placements.values()
        if placement.phase >= _PHASE_SENT
        and placement.task not in matched_tasks
        and not machine.proof.has_open_start(placement.task, placement.attempt)
    ]
