"""Messages between controllers for hints and leadership transfer; only this module uses their wire names."""

from __future__ import annotations

from msgspec import Struct, field

from meadowcross.common.types import FencingToken, JobId, LeaseId, MachineId, NodeName, Revision, Seconds


class Hints(Struct, tag="hints", tag_field="kind", omit_defaults=True):
    """State of the leader that is not in the store, sent to its peers for the next leader.

    A message contains the changes since the message with the preceding number; with `is_full` it contains everything.
    Times are ages or remaining times in seconds at the time of sending, since clocks of different machines differ.
    """

    node: NodeName
    token: FencingToken
    number: int
    settings_digest: str = field(name="settings")
    """Digest of the sender's settings and stored formats; hints of a leader with a different digest are not used."""
    is_full: bool = field(name="whole", default=False)
    incarnations: dict[MachineId, int] = field(name="sessions", default_factory=dict)
    """Incarnations of workers; only the changed ones."""
    removed_machines: list[MachineId] = field(name="gone", default_factory=list)
    """Machines that were deleted since the preceding message."""
    silence_s: dict[MachineId, Seconds] = field(name="silent", default_factory=dict)
    """For all machines that are silent: time since the leader's last contact."""
    eviction_in_s: dict[MachineId, Seconds] = field(name="notices", default_factory=dict)
    """For all machines with an eviction notice: time until the cloud reclaims them."""
    failed_jobs: dict[MachineId, dict[JobId, Seconds]] = field(name="blamed", default_factory=dict)
    """For machines on which a task failed: the jobs, and the time from the task's start to its failure."""
    job_pauses: dict[JobId, tuple[int, Seconds]] = field(name="pauses", default_factory=dict)
    """For jobs that fail on every machine: number of pauses, and remaining time of the current pause."""
    boot_times: dict[str, list[tuple[Seconds, Seconds]]] = field(name="boots", default_factory=dict)
    """For changed machine types: how long ago each machine came up, and how long its boot took."""
    unavailable_kinds: list[tuple[str, str, bool, Seconds]] = field(name="closed", default_factory=list)
    """Kinds that the cloud refused: type, zone, whether spot, and remaining time until they may be requested again."""
    last_shortage_age_s: Seconds | None = field(name="pressed", default=None)
    """Time since jobs were last at risk of missing their deadlines."""
    runtime_ratios: dict[str, float] = field(name="ratios", default_factory=dict)
    """Learned ratio of actual to estimated run time, by class."""
    preemption_requests: dict[JobId, tuple[Seconds, int]] = field(name="asked", default_factory=dict)
    """For jobs with a recent preemption in their favor: its age, and the number of the job's tasks that waited."""
    key_counts: tuple[Revision, int, int, int, int] | None = field(name="counts", default=None)
    """A revision, and the numbers of open jobs, chunks, machines and ended jobs in the store at that revision."""


class FullHintsRequest(Struct, tag="hints?", tag_field="kind"):
    """Requests that the next hints are full, because the peer missed a message."""

    node: NodeName


class LeadershipOffer(Struct, tag="handover?", tag_field="kind"):
    """Offers leadership to a peer, because the leader is stepping down."""

    number: int


class LeadershipOfferResponse(Struct, tag="handover", tag_field="kind"):
    """The peer's lease and incarnation for the leader's key; a response without a lease declines the offer."""

    number: int
    lease: LeaseId | None = field(name="hold", default=None)
    incarnation: str = field(name="life", default="")


Message = Hints | FullHintsRequest | LeadershipOffer | LeadershipOfferResponse
