"""What is proven to be on which machine.

A placement counts as gone only by a newest report that carries our own token and
lacks it (or shows it ended) while no start for it is open, or by the cloud's answer
that its machine is deleted. No clock proves anything here.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from threading import RLock
from typing import NamedTuple

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.logging import get_logger
from meadowcross.common.types import (
    EPSILON,
    Address,
    Attempt,
    FencingToken,
    HeartbeatVersion,
    Instant,
    MachineId,
    MachineKind,
    TaskId,
)
from meadowcross.jobs.job_table import Placement, PlacementPhase
from meadowcross.jobs.messages import JobSpec
from meadowcross.workers import messages as m

log = get_logger("workers")

PHASE_BY_STATE = {
    m.TaskState.FETCHING: PlacementPhase.FETCHING,
    m.TaskState.WAITING: PlacementPhase.WAITING,
    m.TaskState.RUNNING: PlacementPhase.RUNNING,
    m.TaskState.SAVING: PlacementPhase.CHECKPOINTING,
}
EXITED, RUNNING, WAITING = m.TaskState.EXITED, m.TaskState.RUNNING, m.TaskState.WAITING
SENT, RUNS, WAITS = PlacementPhase.SENT, PlacementPhase.RUNNING, PlacementPhase.WAITING


class TaskChange(Enum):
    DONE = "done"
    GONE = "gone"
    RUNNING = "runs"
    WAITING = "waits"
    """For its gang, with its image. Once that was not seen, and what came to be replaced before the gang was
    complete went to another machine, to fetch it anew."""


class TaskOutcome(NamedTuple):
    """What a report proved of one placement."""

    change: TaskChange
    placement: Placement
    exit_reason: str | None = None
    has_saved_progress: bool = False


TaskAttempt = tuple[TaskId, Attempt]


class Machine:
    """A rented machine and the placements that count on it."""

    def __init__(self, machine: MachineId, kind: MachineKind, machine_type: MachineType | None, now: Instant) -> None:
        self.id = machine
        self.kind = kind
        self.machine_type = machine_type
        self.address: Address | None = None
        self.rented_at = now
        self.is_rental_time_known = False
        """By its record, not by when it was first heard of."""
        self.first_seen_at = now
        self.heartbeat_version = HeartbeatVersion(0, 0)
        self.has_confirmed_token = False
        self.last_contact_at: Instant | None = None
        """By a whole report, an answer, or a relay's word that it reported."""
        self.last_status_at: Instant | None = None
        """When it last told what it has, by a whole report or an answer: what is proven rests on these alone."""
        self.last_heartbeat_at: Instant | None = None
        """When it last reported by itself, to us or to a relay of ours, which is what renews its lease."""
        self.renewed_version = HeartbeatVersion(0, 0)
        """The newest report that a relay answered by itself."""
        self.grace_until = Instant(0.0)
        """Its relay is gone: it is given until then to come to another node before its silence counts."""
        self.silence_ended_at: Instant | None = None
        """When it was last heard again after a silence: what ran meanwhile can't be timed."""
        self.hinted_contact_at: Instant | None = None
        """When the leader before heard it last, by its hints; whom it is waited for rests on it, nothing else."""
        self.hinted_incarnation = 0
        """The session to address first, by the same; a wrong one is answered with the right one."""
        self.reclaim_at: Instant | None = None
        self.placements: dict[TaskId, Placement] = {}
        self.open_starts: dict[TaskAttempt, int] = {}
        """Direct starts in flight or unanswered, with their session."""
        self.change_count = 0
        """Counts what came, went or began to run here: what is derived from that stays true
        while this number stays the same."""
        self.reconciled_tasks: list[m.TaskReport] | None = None
        """What the last report showed, while nothing that it is compared with has changed."""
        self.exited_tasks: list[m.TaskReport] = []
        self.stale_tasks: list[m.TaskReport] = []
        self.orphaned_tasks: list[m.TaskReport] = []
        """Tasks of jobs that nobody knows, after a loss: neither stopped nor forgotten."""
        self.cached_images: set[str] = set()
        """Those that tasks ran with here, as far as this leader saw."""
        self.pending_fetches: Counter[str] = Counter()
        """Images that placed tasks wait for here, and how many of them."""
        self.used_cpus = 0.0
        self.used_gpus = 0.0
        self.used_memory_gb = 0.0
        self.idle_since = now
        self.decommission_reason: str | None = None
        self.unresponsive_since: Instant | None = None
        """Since when what we send it gets no answer, though it may report: nothing new is placed there."""
        self.is_decommissioned_for_silence = False
        """Condemned for nothing but its silence, and no deletion of it may still be under way."""
        self.is_draining = False
        self.is_stored = False

    @property
    def is_up(self) -> bool:
        return self.last_contact_at is not None

    def adjust_usage(self, spec: JobSpec, sign: int) -> None:
        self.reconciled_tasks = None
        self.change_count += 1
        self.used_cpus += sign * spec.cpus
        self.used_gpus += sign * spec.gpus
        self.used_memory_gb += sign * spec.memory_gb

    def record_cached_image(self, image: str) -> None:
        """A task ran with it."""
        self.cached_images.add(image)
        self.pending_fetches.pop(image, None)

    def fits(self, spec: JobSpec) -> bool:
        capacity = self.machine_type
        return (
            capacity is not None
            and self.used_cpus + spec.cpus <= capacity.cpus + EPSILON
            and self.used_gpus + spec.gpus <= capacity.gpus + EPSILON
            and self.used_memory_gb + spec.memory_gb <= capacity.memory_gb + EPSILON
        )


class StaleTokenError(Exception):
    """A worker has seen a higher token: another node leads."""


class WorkerRegistry:
    def __init__(self, token: FencingToken) -> None:
        self._lock = RLock()
        self.token = token
        self.machines: dict[MachineId, Machine] = {}
        self.machines_with_free_cpu: dict[MachineId, Machine] = {}
        """Machines with a free CPU, whatever else keeps them from being offered. In a busy
        fleet few have one, and a pass looks at these only."""

    def add(self, machine: Machine) -> Machine:
        with self._lock:
            known = self.machines.setdefault(machine.id, machine)
            self._update_free_cpu(known)
            return known

    def on_type_known(self, machine: Machine) -> None:
        """Its type became known."""
        with self._lock:
            self._update_free_cpu(machine)

    def _update_free_cpu(self, machine: Machine) -> None:
        if machine.machine_type is not None and machine.machine_type.cpus - machine.used_cpus > EPSILON:
            self.machines_with_free_cpu[machine.id] = machine
        else:
            self.machines_with_free_cpu.pop(machine.id, None)

    def assign(self, machine: Machine, placement: Placement, spec: JobSpec) -> None:
        with self._lock:
            machine.placements[placement.task] = placement
            machine.adjust_usage(spec, 1)
            if spec.image not in machine.cached_images:
                machine.pending_fetches[spec.image] += 1
            self._update_free_cpu(machine)

    def unassign(self, placement: Placement, spec: JobSpec, now: Instant) -> None:
        with self._lock:
            machine = self.machines.get(placement.machine)
            if machine is None or machine.placements.get(placement.task) is not placement:
                return
            del machine.placements[placement.task]
            machine.adjust_usage(spec, -1)
            if machine.pending_fetches.get(spec.image, 0) > 1:
                machine.pending_fetches[spec.image] -= 1
            else:
                machine.pending_fetches.pop(spec.image, None)
            if not machine.placements:
                machine.used_cpus = machine.used_gpus = machine.used_memory_gb = 0.0
                machine.idle_since = now
            self._update_free_cpu(machine)

    def remove(self, machine: MachineId) -> list[Placement]:
        """The cloud's delete answered 200: all that was there is gone."""
        with self._lock:
            removed = self.machines.pop(machine, None)
            self.machines_with_free_cpu.pop(machine, None)
            return list(removed.placements.values()) if removed else []

    def record_starts_sent(self, machine: Machine, incarnation: int, starts: list[TaskAttempt]) -> None:
        with self._lock:
            machine.reconciled_tasks = None
            for start in starts:
                machine.open_starts[start] = incarnation

    def close_starts(self, machine: Machine, starts: list[TaskAttempt]) -> None:
        """Answered, or certainly never sent."""
        with self._lock:
            machine.reconciled_tasks = None
            for start in starts:
                machine.open_starts.pop(start, None)

    def apply_renewal(
        self, machine: Machine, version: HeartbeatVersion, full_version: HeartbeatVersion, now: Instant
    ) -> bool:
        """A relay answered a report that repeats the whole one. False: the next one is wanted whole, as that is not
        the newest that we know, or as it must be looked at again."""
        with self._lock:
            if version <= max(machine.heartbeat_version, machine.renewed_version):
                # Late, or told twice.
                return True
            if version.incarnation != machine.heartbeat_version.incarnation:
                return False
            machine.renewed_version = version
            machine.last_contact_at = machine.last_heartbeat_at = now
            return (
                machine.has_confirmed_token
                and full_version == machine.heartbeat_version
                and machine.reconciled_tasks is not None
            )

    def apply_heartbeat(self, machine: Machine, heartbeat: m.Heartbeat, now: Instant) -> list[TaskOutcome] | None:
        """Take in a report; None where it is not the newest or proves nothing to us."""
        with self._lock:
            if heartbeat.token > self.token:
                raise StaleTokenError(f"{machine.id} has seen token {heartbeat.token}, ours is {self.token}")
            if heartbeat.version <= machine.heartbeat_version:
                return None
            if heartbeat.version.incarnation > machine.heartbeat_version.incarnation:
                # The worker accepts no command for an earlier session any more.
                machine.open_starts = {s: at for s, at in machine.open_starts.items() if at >= heartbeat.incarnation}
                machine.reconciled_tasks = None
            machine.heartbeat_version = heartbeat.version
            machine.last_contact_at = machine.last_status_at = now
            machine.address = heartbeat.address
            if heartbeat.notice_s is None:
                machine.reclaim_at = None
            elif machine.reclaim_at is None or now + heartbeat.notice_s < machine.reclaim_at:
                machine.reclaim_at = Instant(now + heartbeat.notice_s)
            if heartbeat.token < self.token:
                # Commands of an earlier leader may still reach it: proves nothing.
                return None
            machine.has_confirmed_token = True
            if heartbeat.tasks == machine.reconciled_tasks:
                # Most reports of a large fleet only renew the lease.
                return []
            outcomes = self._compare_tasks(machine, heartbeat, now)
            # What began to run or waits is noted; only what ended has still to be settled.
            is_reconciled = all(outcome.change in (TaskChange.RUNNING, TaskChange.WAITING) for outcome in outcomes)
            machine.reconciled_tasks = heartbeat.tasks if is_reconciled else None
            return outcomes

    def _compare_tasks(self, machine: Machine, heartbeat: m.Heartbeat, now: Instant) -> list[TaskOutcome]:
        # Asked for each task of each report that is not like the last one: names are looked up once.
        outcomes: list[TaskOutcome] = []
        open_starts, placements = machine.open_starts, machine.placements
        machine.exited_tasks = []
        machine.stale_tasks = []
        present: list[TaskId] = []
        for task in heartbeat.tasks:
            task_id = TaskId.parse(task.task)
            placement = placements.get(task_id)
            is_current = placement is not None and placement.attempt == task.attempt
            if is_current:
                present.append(task_id)
            if task.state is EXITED:
                # With its start open, that could run it again once it is reaped.
                if not open_starts or (task_id, task.attempt) not in open_starts:
                    machine.exited_tasks.append(task)
                if placement is not None and is_current and placement.phase >= SENT:
                    change = TaskChange.DONE if task.exit_reason == m.EXIT_DONE else TaskChange.GONE
                    outcomes.append(TaskOutcome(change, placement, task.exit_reason, task.has_saved_progress))
            elif placement is None or not is_current:
                machine.stale_tasks.append(task)
            elif placement.phase >= SENT:
                if task.state is RUNNING:
                    if placement.running_at is None:
                        placement.running_at = now
                        machine.change_count += 1
                        outcomes.append(TaskOutcome(TaskChange.RUNNING, placement))
                    placement.phase = RUNS
                else:
                    if task.state is WAITING and placement.phase is not WAITS:
                        outcomes.append(TaskOutcome(TaskChange.WAITING, placement))
                    placement.phase = PHASE_BY_STATE[task.state]
        if len(present) < len(placements):
            present_ids = set(present)
            for placement in placements.values():
                if (
                    placement.phase >= SENT
                    and placement.task not in present_ids
                    and (placement.task, placement.attempt) not in open_starts
                ):
                    outcomes.append(TaskOutcome(TaskChange.GONE, placement, "lost"))
        return outcomes
