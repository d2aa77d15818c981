"""The leader's state of a machine, divided by concern.

Heartbeats and placement passes read these fields for each machine of the fleet. For speed, every part is a class with
slots, and no part computes anything when it is read.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.types import (
    Address,
    FencingToken,
    HeartbeatVersion,
    Instant,
    MachineId,
    MachineKind,
    Seconds,
    TaskId,
)
from meadowcross.jobs.job_table import Placement
from meadowcross.jobs.messages import JobSpec
from meadowcross.workers.fencing import TaskAttempt, WorkerFence
from meadowcross.workers.messages import TaskReport

NEVER = Instant(0.0)
NO_VERSION = HeartbeatVersion(0, 0)
"""Older than any version that a worker sends."""


@dataclass(slots=True)
class ContactTimes:
    """Instants of the last messages from a machine, by kind of message, on the leader's own clock."""

    first_seen_at: Instant
    last_contact_at: Instant | None = None
    """Last full heartbeat, response to direct commands, or heartbeat renewal that a relay reported."""
    last_status_at: Instant | None = None
    """Last full heartbeat or response to direct commands; only these two show the machine's tasks."""
    last_heartbeat_at: Instant | None = None
    """Last heartbeat, received by the leader or a relay; only heartbeats renew the worker lease."""
    grace_until: Instant = NEVER
    """After its relay failed, the machine counts as silent only from this instant on, so that it can reach another
    controller meanwhile."""
    silence_ended_at: Instant | None = None
    """End of the machine's last silence; the run time of tasks that ran during the silence is not known."""
    hinted_contact_at: Instant | None = None
    """The previous leader's last contact, from its hints; used only to select the machines whose first heartbeat this
    leader waits for."""
    unresponsive_since: Instant | None = None
    """Since when commands to the machine get no response, although its heartbeats may arrive; None if it responds. No
    task is placed on the machine meanwhile."""

    def record_status(self, now: Instant) -> None:
        """Record that a full heartbeat or a response to direct commands arrived."""
        self.last_contact_at = self.last_status_at = now

    def record_heartbeat(self, now: Instant) -> None:
        """Record that a relay answered a heartbeat."""
        self.last_contact_at = self.last_heartbeat_at = now


@dataclass(slots=True)
class ProofState:
    """The versions that decide what a status proves, and the open starts that limit what it proves."""

    heartbeat_version: HeartbeatVersion = NO_VERSION
    """Version of the newest status that was applied."""
    renewed_version: HeartbeatVersion = NO_VERSION
    """Version of the newest heartbeat that a relay answered for the leader."""
    has_confirmed_token: bool = False
    """Whether a status carried this term's token; since then the worker rejects commands of earlier leaders."""
    hinted_incarnation: int = 0
    """The worker's incarnation from the previous leader's hints, or 0. The first commands are addressed to it; the
    worker's 409 response corrects it."""
    open_starts: dict[TaskAttempt, int] = field(default_factory=dict)
    """Direct start commands in flight or without a response, with the incarnation that they were sent to."""
    fence: WorkerFence = field(default_factory=WorkerFence)
    has_request_in_flight: bool = False
    """Whether a request with direct commands waits for its response. A higher token would make the worker reject it."""
    reconciled_tasks: list[TaskReport] | None = None
    """The tasks of the last status if neither the placements nor the open starts have changed since, else None."""

    def advance(self, version: HeartbeatVersion, token: FencingToken) -> None:
        """Set the newest version and the token that it showed; drop the open starts that the worker now rejects."""
        has_new_incarnation = version.incarnation > self.heartbeat_version.incarnation
        self.heartbeat_version = version
        if not has_new_incarnation and token <= self.fence.shown_token:
            return
        if self.fence.on_status(version.incarnation, token):
            self.open_starts = {
                start: incarnation
                for start, incarnation in self.open_starts.items()
                if start in self.fence.executable_starts
            }
            self.reconciled_tasks = None
        if has_new_incarnation:
            self.reconciled_tasks = None

    def has_open_start(self, task: TaskId, attempt: int) -> bool:
        """Whether a start command for this attempt may still be executed."""
        return bool(self.open_starts) and (task, attempt) in self.open_starts


@dataclass(slots=True)
class ReportedTasks:
    """Tasks of the last status that need a command, or that have no placement."""

    exited: list[TaskReport] = field(default_factory=list)
    """Tasks that ended and are not reaped yet."""
    stale: list[TaskReport] = field(default_factory=list)
    """Tasks without a placement, which are to be stopped."""
    orphaned: list[TaskReport] = field(default_factory=list)
    """Tasks of jobs without any record, after a data loss of the store; they are neither stopped nor dropped."""


@dataclass(slots=True)
class ImageCache:
    """Images on a machine, as far as this leader has seen tasks run with them."""

    cached: set[str] = field(default_factory=set)
    pending_fetches: Counter[str] = field(default_factory=Counter)
    """By image that is not cached: the number of placed tasks that need it."""

    def add_waiting_task(self, image: str) -> None:
        """Record that a task with the image was placed."""
        if image not in self.cached:
            self.pending_fetches[image] += 1

    def remove_waiting_task(self, image: str) -> None:
        """Record that a task with the image is gone."""
        if self.pending_fetches.get(image, 0) > 1:
            self.pending_fetches[image] -= 1
        else:
            self.pending_fetches.pop(image, None)

    def record(self, image: str) -> None:
        """Record that a task ran with the image, which proves that the image is cached."""
        self.cached.add(image)
        self.pending_fetches.pop(image, None)


@dataclass(slots=True)
class ResourceUsage:
    """The resources that the placements on a machine take."""

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0

    def add(self, spec: JobSpec) -> None:
        """Add the resources of one task of the job."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb

    def subtract(self, spec: JobSpec) -> None:
        """Subtract the resources of one task of the job."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb

    def reset(self) -> None:
        """Set all sums to zero once no task is left, which also removes their rounding errors."""
        self.cpus = self.gpus = self.memory_gb = 0.0


class Machine:
    """A machine and the placements on it that are not proven gone."""

    __slots__ = (
        "address",
        "change_count",
        "contact",
        "created_at",
        "decommission_reason",
        "id",
        "idle_since",
        "images",
        "is_creation_time_known",
        "is_decommissioned_for_silence",
        "is_draining",
        "is_stored",
        "kind",
        "machine_type",
        "placements",
        "proof",
        "reclaim_at",
        "reported",
        "usage",
    )

    def __init__(self, machine: MachineId, kind: MachineKind, machine_type: MachineType | None, now: Instant) -> None:
        self.id = machine
        self.kind = kind
        self.machine_type = machine_type
        """None until the catalog of machine types is read."""
        self.address: Address | None = None
        self.contact = ContactTimes(first_seen_at=now)
        self.proof = ProofState()
        self.reported = ReportedTasks()
        self.images = ImageCache()
        self.usage = ResourceUsage()
        self.placements: dict[TaskId, Placement] = {}
        self.change_count = 0
        """Number of placements that were added, removed or began to run so far. Values derived from the placements
        stay valid while it is the same."""
        self.created_at = now
        self.is_creation_time_known = False
        """Whether `created_at` is from the stored record; otherwise it is when the leader first saw the machine."""
        self.idle_since = now
        self.reclaim_at: Instant | None = None
        """When the cloud reclaims the machine, according to its eviction notice; None without a notice."""
        self.decommission_reason: str | None = None
        self.is_decommissioned_for_silence = False
        """Whether silence is the only reason for the decommission, and no deletion of the machine can be in flight."""
        self.is_draining = False
        self.is_stored = False
        """Whether the store has a record of the machine."""

    @property
    def is_up(self) -> bool:
        """Whether this leader has received any message from the machine, directly or through a relay."""
        return self.contact.last_contact_at is not None

    def add_placement(self, placement: Placement, spec: JobSpec) -> None:
        """Add a placement of the job to this machine."""
        self.placements[placement.task] = placement
        self._on_placements_changed()
        self.usage.add(spec)
        self.images.add_waiting_task(spec.image)

    def remove_placement(self, placement: Placement, spec: JobSpec, now: Instant) -> None:
        """Remove a placement from this machine. Raises KeyError if it is not on the machine."""
        del self.placements[placement.task]
        self._on_placements_changed()
        self.usage.subtract(spec)
        self.images.remove_waiting_task(spec.image)
        if not self.placements:
            self.usage.reset()
            self.idle_since = now

    def _on_placements_changed(self) -> None:
        self.proof.reconciled_tasks = None
        self.change_count += 1

    def record_eviction_notice(self, notice_s: Seconds | None, now: Instant) -> None:
        """Apply a status's time until the reclaim, or None; the earliest time holds until a status has none."""
        if notice_s is None:
            self.reclaim_at = None
        elif self.reclaim_at is None or now + notice_s < self.reclaim_at:
            self.reclaim_at = Instant(now + notice_s)
