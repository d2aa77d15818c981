"""The workers by name, and what their heartbeats prove of the placements on them.

A placement counts as gone only by a newest status that carries our own token and lacks it (or shows it ended) while
no start for it is open, or by the cloud's answer that its machine is deleted. No clock proves anything here.
"""

from __future__ import annotations

from enum import Enum
from threading import RLock
from typing import NamedTuple

from meadowcross.common.types import EPSILON, FencingToken, HeartbeatVersion, Instant, MachineId, TaskId
from meadowcross.jobs.job_table import Placement, PlacementPhase
from meadowcross.jobs.messages import JobSpec
from meadowcross.workers.machine import Machine, TaskAttempt
from meadowcross.workers.messages import EXIT_DONE, Heartbeat, TaskReport, TaskState

PHASE_BY_STATE = {
    TaskState.FETCHING: PlacementPhase.FETCHING,
    TaskState.WAITING: PlacementPhase.WAITING,
    TaskState.RUNNING: PlacementPhase.RUNNING,
    TaskState.SAVING: PlacementPhase.CHECKPOINTING,
}
# Looked up once, not for each task of each heartbeat.
_EXITED, _RUNNING, _WAITING = TaskState.EXITED, TaskState.RUNNING, TaskState.WAITING
_PHASE_SENT, _PHASE_RUNNING, _PHASE_WAITING = PlacementPhase.SENT, PlacementPhase.RUNNING, PlacementPhase.WAITING

LOST = "lost"
"""Exit reason of a placement that its machine does not report any more."""


class TaskChange(Enum):
    """What a status proved of a placement."""

    DONE = "done"
    GONE = "gone"
    RUNNING = "runs"
    WAITING = "waits"
    """For its gang, with its image: a replacement on another machine would have to fetch the image again."""


class TaskOutcome(NamedTuple):
    """A change of one placement, with the worker's exit reason where the task ended."""

    change: TaskChange
    placement: Placement
    exit_reason: str | None = None
    has_saved_progress: bool = False


class StaleTokenError(Exception):
    """A worker has seen a higher token: another node leads."""

    def __init__(self, machine: MachineId, seen: FencingToken, own: FencingToken) -> None:
        super().__init__(f"{machine} has seen token {seen}, ours is {own}")


class WorkerRegistry:
    """All machines that are rented or may be, with their placements. Its methods may be called from any thread."""

    def __init__(self, token: FencingToken) -> None:
        """`token` is the term's: statuses that carry a lower one prove nothing."""
        self._lock = RLock()
        self.token = token
        self.machines: dict[MachineId, Machine] = {}
        self.machines_with_free_cpu: dict[MachineId, Machine] = {}
        """Machines with a free CPU, whatever else may exclude them. A placement pass looks at these only, as few
        machines of a busy fleet have one."""

    def add(self, machine: Machine) -> Machine:
        """Add a machine; returns the one of this name that is known already, if there is one."""
        with self._lock:
            known = self.machines.setdefault(machine.id, machine)
            self._update_free_cpu(known)
            return known

    def on_type_known(self, machine: Machine) -> None:
        """The machine's type was set."""
        with self._lock:
            self._update_free_cpu(machine)

    def _update_free_cpu(self, machine: Machine) -> None:
        if machine.machine_type is not None and machine.machine_type.cpus - machine.usage.cpus > EPSILON:
            self.machines_with_free_cpu[machine.id] = machine
        else:
            self.machines_with_free_cpu.pop(machine.id, None)

    def assign(self, machine: Machine, placement: Placement, spec: JobSpec) -> None:
        """Count a placement on a machine."""
        with self._lock:
            machine.add_placement(placement, spec)
            self._update_free_cpu(machine)

    def unassign(self, placement: Placement, spec: JobSpec, now: Instant) -> None:
        """Count a placement on its machine no more; nothing happens if it was not counted there."""
        with self._lock:
            machine = self.machines.get(placement.machine)
            if machine is None or machine.placements.get(placement.task) is not placement:
                return
            machine.remove_placement(placement, spec, now)
            self._update_free_cpu(machine)

    def remove(self, machine: MachineId) -> list[Placement]:
        """The cloud's delete answered 200: returns the placements that are gone with the machine."""
        with self._lock:
            removed = self.machines.pop(machine, None)
            self.machines_with_free_cpu.pop(machine, None)
            return list(removed.placements.values()) if removed else []

    def record_starts_sent(self, machine: Machine, incarnation: int, starts: list[TaskAttempt]) -> None:
        """Start commands are about to be sent: until they are closed, a status proves nothing of these attempts."""
        with self._lock:
            machine.proof.reconciled_tasks = None
            for start in starts:
                machine.proof.open_starts[start] = incarnation

    def close_starts(self, machine: Machine, starts: list[TaskAttempt]) -> None:
        """Start commands got a response, or were certainly not sent."""
        with self._lock:
            machine.proof.reconciled_tasks = None
            for start in starts:
                machine.proof.open_starts.pop(start, None)

    def apply_renewal(
        self, machine: Machine, version: HeartbeatVersion, full_version: HeartbeatVersion, now: Instant
    ) -> bool:
        """A relay answered heartbeat `version`, which repeats the full one `full_version`. Returns False if the next
        one must come in full: the repeated one is not the newest that was applied, or must be compared again."""
        with self._lock:
            proof = machine.proof
            if version <= max(proof.heartbeat_version, proof.renewed_version):
                # A late copy, or the same renewal a second time.
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
        """Apply a full heartbeat or the status of a direct response. Returns what it proved, or None if it is not the
        newest or carries a lower token than ours. Raises StaleTokenError."""
        with self._lock:
            proof, version = machine.proof, heartbeat.version
            if heartbeat.token > self.token:
                raise StaleTokenError(machine.id, heartbeat.token, self.token)
            if version <= proof.heartbeat_version:
                return None
            proof.advance(version)
            machine.contact.record_status(now)
            machine.address = heartbeat.address
            machine.record_notice(heartbeat.notice_s, now)
            if heartbeat.token < self.token:
                # Commands of an earlier leader may still be executed there: nothing is proven.
                return None
            proof.has_confirmed_token = True
            if heartbeat.tasks == proof.reconciled_tasks:
                # Most heartbeats of a large fleet only renew the lease.
                return []
            outcomes = self._compare_tasks(machine, heartbeat, now)
            # Only ended tasks are left for the caller to reconcile.
            is_reconciled = all(outcome.change in (TaskChange.RUNNING, TaskChange.WAITING) for outcome in outcomes)
            proof.reconciled_tasks = heartbeat.tasks if is_reconciled else None
            return outcomes

    def _compare_tasks(self, machine: Machine, heartbeat: Heartbeat, now: Instant) -> list[TaskOutcome]:
        """Compare the tasks of a status with the placements on its machine."""
        outcomes: list[TaskOutcome] = []
        placements, reported, proof = machine.placements, machine.reported, machine.proof
        reported.exited, reported.stale = [], []
        present: list[TaskId] = []
        for task in heartbeat.tasks:
            task_id = TaskId.parse(task.task)
            placement = placements.get(task_id)
            if placement is not None and placement.attempt == task.attempt:
                present.append(task_id)
            else:
                placement = None
            if task.state is _EXITED:
                # A task with its start open could be started again by it once it is reaped.
                if not proof.has_open_start(task_id, task.attempt):
                    reported.exited.append(task)
                if placement is not None and placement.phase >= _PHASE_SENT:
                    outcomes.append(_ended(placement, task))
            elif placement is None:
                reported.stale.append(task)
            elif placement.phase >= _PHASE_SENT:
                outcome = _apply_state(machine, placement, task.state, now)
                if outcome is not None:
                    outcomes.append(outcome)
        if len(present) < len(placements):
            outcomes += _find_lost(machine, set(present))
        return outcomes


def _ended(placement: Placement, task: TaskReport) -> TaskOutcome:
    change = TaskChange.DONE if task.exit_reason == EXIT_DONE else TaskChange.GONE
    return TaskOutcome(change, placement, task.exit_reason, task.has_saved_progress)


def _apply_state(machine: Machine, placement: Placement, state: TaskState, now: Instant) -> TaskOutcome | None:
    """Set the phase of a placement that its machine reports as not ended; returns the change worth telling."""
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


def _find_lost(machine: Machine, present: set[TaskId]) -> list[TaskOutcome]:
    """Placements that the status lacks while no start for them is open."""
    return [
        TaskOutcome(TaskChange.GONE, placement, LOST)
        for placement in machine.placements.values()
        if placement.phase >= _PHASE_SENT
        and placement.task not in present
        and not machine.proof.has_open_start(placement.task, placement.attempt)
    ]
