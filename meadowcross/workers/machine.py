"""A rented machine as the leader knows it, divided by concern.

Heartbeats and placement passes read these fields for each machine of the fleet, so every part is a class with
slots and no part computes anything when it is read.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.types import (
    Address,
    Attempt,
    HeartbeatVersion,
    Instant,
    MachineId,
    MachineKind,
    Seconds,
    TaskId,
)
from meadowcross.jobs.job_table import Placement
from meadowcross.jobs.messages import JobSpec
from meadowcross.workers.messages import TaskReport

NEVER = Instant(0.0)
NO_VERSION = HeartbeatVersion(0, 0)
"""Older than each version that a worker sends."""


class TaskAttempt(NamedTuple):
    """One attempt of a task: what a start command names."""

    task: TaskId
    attempt: Attempt


@dataclass(slots=True)
class ContactTimes:
    """When a machine was heard, by each kind of message; all instants are of the leader's own clock."""

    first_seen_at: Instant
    last_contact_at: Instant | None = None
    """By a full heartbeat, a direct response, or a renewal that a relay reported."""
    last_status_at: Instant | None = None
    """By a full heartbeat or a direct response: only these two show the machine's tasks."""
    last_heartbeat_at: Instant | None = None
    """By a heartbeat, received here or at a relay: only these renew the worker lease."""
    grace_until: Instant = NEVER
    """Its relay failed: its silence does not count before this instant, so that it can reach another node."""
    silence_ended_at: Instant | None = None
    """End of its last silence: the run time of what ran meanwhile is not known."""
    hinted_contact_at: Instant | None = None
    """The previous leader's last contact, from its hints. It decides only whose first heartbeat is awaited."""
    unresponsive_since: Instant | None = None
    """Since when commands sent to it get no response, though its heartbeats may arrive; nothing is placed on it."""

    def record_status(self, now: Instant) -> None:
        """A full heartbeat or a direct response arrived."""
        self.last_contact_at = self.last_status_at = now

    def record_heartbeat(self, now: Instant) -> None:
        """A heartbeat was answered by a relay."""
        self.last_contact_at = self.last_heartbeat_at = now


@dataclass(slots=True)
class ProofState:
    """What the newest status proves, and what it can't prove because a start is still open."""

    heartbeat_version: HeartbeatVersion = NO_VERSION
    """Of the newest status that was applied."""
    renewed_version: HeartbeatVersion = NO_VERSION
    """Of the newest heartbeat that a relay answered by itself."""
    has_confirmed_token: bool = False
    """A status carried our token: commands of earlier leaders are rejected there from then on."""
    hinted_incarnation: int = 0
    """The previous leader's, from its hints, to address the first commands to; the worker's 409 corrects it."""
    open_starts: dict[TaskAttempt, int] = field(default_factory=dict)
    """Direct starts in flight or without a response, with the incarnation that they were sent to."""
    reconciled_tasks: list[TaskReport] | None = None
    """The tasks of the last status, as long as nothing that they are compared with has changed."""

    def advance(self, version: HeartbeatVersion) -> None:
        """Take `version` as the newest; a worker rejects commands for an earlier incarnation from then on."""
        if version.incarnation > self.heartbeat_version.incarnation:
            self.open_starts = {
                start: incarnation
                for start, incarnation in self.open_starts.items()
                if incarnation >= version.incarnation
            }
            self.reconciled_tasks = None
        self.heartbeat_version = version

    def has_open_start(self, task: TaskId, attempt: int) -> bool:
        """Whether a start command for this attempt may still be executed."""
        return bool(self.open_starts) and (task, attempt) in self.open_starts


@dataclass(slots=True)
class ReportedTasks:
    """Tasks of the last status that no placement accounts for."""

    exited: list[TaskReport] = field(default_factory=list)
    """Ended, and not reaped yet."""
    stale: list[TaskReport] = field(default_factory=list)
    """Without a placement: to be stopped."""
    orphaned: list[TaskReport] = field(default_factory=list)
    """Of jobs that nobody knows, after a loss of the store's data: neither stopped nor forgotten."""


@dataclass(slots=True)
class ImageCache:
    """Images on a machine, as far as this leader saw tasks run with them."""

    cached: set[str] = field(default_factory=set)
    pending_fetches: Counter[str] = field(default_factory=Counter)
    """Images that placed tasks wait for, and how many tasks."""

    def expect(self, image: str) -> None:
        """A task that needs the image was placed."""
        if image not in self.cached:
            self.pending_fetches[image] += 1

    def release(self, image: str) -> None:
        """A task that needs the image is gone."""
        if self.pending_fetches.get(image, 0) > 1:
            self.pending_fetches[image] -= 1
        else:
            self.pending_fetches.pop(image, None)

    def record(self, image: str) -> None:
        """A task ran with the image, so it is there."""
        self.cached.add(image)
        self.pending_fetches.pop(image, None)


@dataclass(slots=True)
class ResourceUsage:
    """What the placements of a machine take of it."""

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0

    def add(self, spec: JobSpec) -> None:
        """One more task of this job."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb

    def subtract(self, spec: JobSpec) -> None:
        """One task of this job less."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb

    def reset(self) -> None:
        """No task is left; this ends the rounding errors of the sums, too."""
        self.cpus = self.gpus = self.memory_gb = 0.0


class Machine:
    """A rented machine and the placements that count on it."""

    __slots__ = (
        "address",
        "change_count",
        "contact",
        "decommission_reason",
        "id",
        "idle_since",
        "images",
        "is_decommissioned_for_silence",
        "is_draining",
        "is_rental_time_known",
        "is_stored",
        "kind",
        "machine_type",
        "placements",
        "proof",
        "reclaim_at",
        "rented_at",
        "reported",
        "usage",
    )

    def __init__(self, machine: MachineId, kind: MachineKind, machine_type: MachineType | None, now: Instant) -> None:
        self.id = machine
        self.kind = kind
        self.machine_type = machine_type
        """None until the catalog is read."""
        self.address: Address | None = None
        self.contact = ContactTimes(first_seen_at=now)
        self.proof = ProofState()
        self.reported = ReportedTasks()
        self.images = ImageCache()
        self.usage = ResourceUsage()
        self.placements: dict[TaskId, Placement] = {}
        self.change_count = 0
        """Counts placements that came, went or began to run: what is derived from them stays valid while this
        number stays the same."""
        self.rented_at = now
        self.is_rental_time_known = False
        """`rented_at` is from the stored record; else it is when the machine was first seen."""
        self.idle_since = now
        self.reclaim_at: Instant | None = None
        """When the cloud takes it back, by its spot notice."""
        self.decommission_reason: str | None = None
        self.is_decommissioned_for_silence = False
        """Silence is the only reason, and no deletion of the machine may be under way."""
        self.is_draining = False
        self.is_stored = False
        """The store has its record."""

    @property
    def is_up(self) -> bool:
        """Whether this leader has heard of it at all."""
        return self.contact.last_contact_at is not None

    def add_placement(self, placement: Placement, spec: JobSpec) -> None:
        """Count a placement of the job on this machine."""
        self.placements[placement.task] = placement
        self._on_placements_changed()
        self.usage.add(spec)
        self.images.expect(spec.image)

    def remove_placement(self, placement: Placement, spec: JobSpec, now: Instant) -> None:
        """Count the placement no more; it must be one of this machine's."""
        del self.placements[placement.task]
        self._on_placements_changed()
        self.usage.subtract(spec)
        self.images.release(spec.image)
        if not self.placements:
            self.usage.reset()
            self.idle_since = now

    def _on_placements_changed(self) -> None:
        self.proof.reconciled_tasks = None
        self.change_count += 1

    def record_notice(self, notice_s: Seconds | None, now: Instant) -> None:
        """Take in the spot notice of a status: the earliest end counts, until a status has no notice."""
        if notice_s is None:
            self.reclaim_at = None
        elif self.reclaim_at is None or now + notice_s < self.reclaim_at:
            self.reclaim_at = Instant(now + notice_s)
