"""Messages between controllers about hints and the transfer of leadership; their wire names stay in this file."""

from __future__ import annotations

from msgspec import Struct, field

from meadowcross.common.types import FencingToken, JobId, LeaseId, MachineId, NodeName, Revision, Seconds


class Hints(Struct, tag="hints", tag_field="kind", omit_defaults=True):
    """What only the leader knows, sent to its peers for whoever leads next.

    A message holds what changed since the one numbered one less; with `is_full` it holds everything. Times are ages,
    or what is left, in seconds at the sending, since clocks of different machines differ.
    """

    node: NodeName
    token: FencingToken
    number: int
    settings_digest: str = field(name="settings")
    """Of the sender's settings and stored formats; hints of a leader with other settings are not used."""
    is_full: bool = field(name="whole", default=False)
    incarnations: dict[MachineId, int] = field(name="sessions", default_factory=dict)
    """Of workers, the changed ones."""
    removed_machines: list[MachineId] = field(name="gone", default_factory=list)
    """Machines that are no more."""
    silence_s: dict[MachineId, Seconds] = field(name="silent", default_factory=dict)
    """For how long the leader has not heard from machines that are silent now; all of them."""
    eviction_in_s: dict[MachineId, Seconds] = field(name="notices", default_factory=dict)
    """In how long the cloud takes machines back; all of them."""
    failed_jobs: dict[MachineId, dict[JobId, Seconds]] = field(name="blamed", default_factory=dict)
    """Of machines that failed a task: the jobs, and how long after the start."""
    job_pauses: dict[JobId, tuple[int, Seconds]] = field(name="pauses", default_factory=dict)
    """Of jobs that fail everywhere: how often they were paused, and what is left of the pause."""
    boot_times: dict[str, list[tuple[Seconds, Seconds]]] = field(name="boots", default_factory=dict)
    """Of machine types, the changed ones: how long ago machines came up, and how long they took."""
    unavailable_kinds: list[tuple[str, str, bool, Seconds]] = field(name="closed", default_factory=list)
    """Kinds that the cloud refused: type, zone, whether spot, and for how much longer they are not requested."""
    last_shortage_age_s: Seconds | None = field(name="pressed", default=None)
    """How long ago jobs were last at risk of missing their deadlines."""
    runtime_ratios: dict[str, float] = field(name="ratios", default_factory=dict)
    """Learned run times by class: actual over estimated."""
    preemption_requests: dict[JobId, tuple[Seconds, int]] = field(name="asked", default_factory=dict)
    """Of jobs for which others were preempted: how long ago, and how many of their tasks waited."""
    key_counts: tuple[Revision, int, int, int, int] | None = field(name="counts", default=None)
    """A revision, and how many open jobs, chunks, machines and ended jobs the store had then."""


class FullHintsRequest(Struct, tag="hints?", tag_field="kind"):
    """A peer missed a message: the next one should hold everything."""

    node: NodeName


class LeadershipOffer(Struct, tag="handover?", tag_field="kind"):
    """The leader steps down, and asks a peer whether it will lead."""

    number: int


class LeadershipOfferResponse(Struct, tag="handover", tag_field="kind"):
    """The lease and incarnation to write into the leader's key; without a lease the peer declines."""

    number: int
    lease: LeaseId | None = field(name="hold", default=None)
    incarnation: str = field(name="life", default="")


Message = Hints | FullHintsRequest | LeadershipOffer | LeadershipOfferResponse
