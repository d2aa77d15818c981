"""What a leader tells its peers of what only it knows; a part of the link's messages, names kept here."""

from __future__ import annotations

from msgspec import Struct

from meadowcross.common.types import HoldId, JobId, MachineId, Mark, NodeName, Seconds, Token


class Hints(Struct, tag="hints", tag_field="kind", omit_defaults=True):
    """What changed since the hints numbered one less; `whole`: everything. Times are ages, or what is left, in
    seconds at the sending: clocks of different machines differ."""

    node: NodeName
    token: Token
    number: int
    settings: str
    """Of the sender's settings and stored formats: what other settings led to means nothing here."""
    whole: bool = False
    sessions: dict[MachineId, int] = {}
    """Changed ones; the machines of `gone` are no more."""
    gone: list[MachineId] = []
    silent: dict[MachineId, Seconds] = {}
    """All that the leader does not hear now, and for how long."""
    notices: dict[MachineId, Seconds] = {}
    """All that are to be taken back, and when."""
    blamed: dict[MachineId, dict[JobId, Seconds]] = {}
    """Machines that failed a task: of which jobs, and how soon."""
    pauses: dict[JobId, tuple[int, Seconds]] = {}
    """Jobs that fail everywhere: how often they were paused, and what is left of the pause."""
    boots: dict[str, list[tuple[Seconds, Seconds]]] = {}
    """By type, changed ones: how long ago machines came up, and how long they took."""
    closed: list[tuple[str, str, bool, Seconds]] = []
    """Kinds that the cloud refused: type, zone, spot, and for how much longer they are not asked for."""
    pressed: Seconds | None = None
    """How long ago work was last short of time."""
    ratios: dict[str, float] = {}
    """Run times learned: by class, actual over estimated."""
    asked: dict[JobId, tuple[Seconds, int]] = {}
    """For which jobs others were asked to give way: how long ago, and how many of its tasks waited."""
    counts: tuple[Mark, int, int, int, int] | None = None
    """At a revision: open jobs, chunks, machines and ended jobs in the store."""


class HintsWanted(Struct, tag="hints?", tag_field="kind"):
    """A number was missed: everything again, please."""

    node: NodeName


class Handover(Struct, tag="handover?", tag_field="kind"):
    """The leader makes way: will you, and with which hold?"""

    number: int


class Handed(Struct, tag="handover", tag_field="kind"):
    """The hold to attach the leader's key to, and the record to write; none: not me."""

    number: int
    hold: HoldId | None = None
    life: str = ""


Message = Hints | HintsWanted | Handover | Handed
