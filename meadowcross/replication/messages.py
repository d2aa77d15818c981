"""What a leader tells its peers of what only it knows; a part of the link's messages, names kept here."""

from __future__ import annotations

from msgspec import Struct, field

from meadowcross.common.types import FencingToken, JobId, LeaseId, MachineId, NodeName, Revision, Seconds


class Hints(Struct, tag="hints", tag_field="kind", omit_defaults=True):
    """What changed since the hints numbered one less; `whole`: everything. Times are ages, or what is left, in
    seconds at the sending: clocks of different machines differ."""

    node: NodeName
    token: FencingToken
    number: int
    settings_digest: str = field(name="settings")
    """Of the sender's settings and stored formats: what other settings led to means nothing here."""
    is_full: bool = field(name="whole", default=False)
    incarnations: dict[MachineId, int] = field(name="sessions", default_factory=dict)
    """Changed ones; the machines of `gone` are no more."""
    removed_machines: list[MachineId] = field(name="gone", default_factory=list)
    silence_s: dict[MachineId, Seconds] = field(name="silent", default_factory=dict)
    """All that the leader does not hear now, and for how long."""
    eviction_in_s: dict[MachineId, Seconds] = field(name="notices", default_factory=dict)
    """All that are to be taken back, and when."""
    failed_jobs: dict[MachineId, dict[JobId, Seconds]] = field(name="blamed", default_factory=dict)
    """Machines that failed a task: of which jobs, and how soon."""
    job_pauses: dict[JobId, tuple[int, Seconds]] = field(name="pauses", default_factory=dict)
    """Jobs that fail everywhere: how often they were paused, and what is left of the pause."""
    boot_times: dict[str, list[tuple[Seconds, Seconds]]] = field(name="boots", default_factory=dict)
    """By type, changed ones: how long ago machines came up, and how long they took."""
    unavailable_kinds: list[tuple[str, str, bool, Seconds]] = field(name="closed", default_factory=list)
    """Kinds that the cloud refused: type, zone, spot, and for how much longer they are not asked for."""
    last_shortage_age_s: Seconds | None = field(name="pressed", default=None)
    """How long ago work was last short of time."""
    runtime_ratios: dict[str, float] = field(name="ratios", default_factory=dict)
    """Run times learned: by class, actual over estimated."""
    preemption_requests: dict[JobId, tuple[Seconds, int]] = field(name="asked", default_factory=dict)
    """For which jobs others were asked to give way: how long ago, and how many of its tasks waited."""
    key_counts: tuple[Revision, int, int, int, int] | None = field(name="counts", default=None)
    """At a revision: open jobs, chunks, machines and ended jobs in the store."""


class FullHintsRequest(Struct, tag="hints?", tag_field="kind"):
    """A number was missed: everything again, please."""

    node: NodeName


class LeadershipOffer(Struct, tag="handover?", tag_field="kind"):
    """The leader makes way: will you, and with which hold?"""

    number: int


class LeadershipOfferResponse(Struct, tag="handover", tag_field="kind"):
    """The hold to attach the leader's key to, and the record to write; none: not me."""

    number: int
    lease: LeaseId | None = field(name="hold", default=None)
    incarnation: str = field(name="life", default="")


Message = Hints | FullHintsRequest | LeadershipOffer | LeadershipOfferResponse
