"""The leader's record in the store and the messages between controllers."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from meadowcross.common.types import JobId, Mark, NodeName, Seconds, Token
from meadowcross.rebuild.messages import LEADER_KEY, PicturePart, PictureWanted
from meadowcross.relay import messages as relay
from meadowcross.replica.messages import Handed, Handover, Hints, HintsWanted


class LeaderRecord(Struct):
    """Who leads. `life` tells this process from its predecessors of the same name."""

    node: NodeName
    life: str


class Beat(Struct, tag="beat", tag_field="kind"):
    """Sent to every peer about once a second."""

    node: NodeName
    store_ok: bool
    leads: Token | None = None
    hears: int = 0
    """How many workers reported to it lately, whoever leads."""
    life: str = ""
    """Tells this process from its predecessors; empty from a node of an earlier version."""
    warm: bool = False
    """Whether it follows the store and could lead at once."""
    lost: list[NodeName] = []
    """Peers whose link to it was closed, and that refuse to be called."""
    era: int | None = None
    """The era it is in, and whether it has proof that the state service lost data in it."""
    era_lost: bool = False
    era_lost_before: bool = False
    """The loss is older than what it followed."""
    seasoned: bool = False
    """It has seen somebody lead since its process began, so what it knows goes back to before now."""
    highest: Token = Token(0)
    """The highest token it has seen anywhere."""
    followed: Mark = Mark(0)
    """Up to which revision it followed the store, a leader's own picture counted as one more."""
    store_used: float = 0.0
    """The part of the state service's limits that it used lately; what a leader leaves is lent to the others."""
    relay_room: int | None = None
    """How many workers it can serve for a leader; None: it can't, as any node of an earlier version."""


class ProgressQuestion(Struct, tag="progress?", tag_field="kind"):
    """Asks the leader for jobs' counts, for display."""

    number: int
    jobs: list[JobId]


class ProgressAnswer(Struct, tag="progress", tag_field="kind"):
    """Done and running tasks of those jobs that the leader knows."""

    number: int
    counts: dict[JobId, tuple[int, int]]
    ends: dict[JobId, tuple[Seconds, Seconds, Seconds]] = {}
    """Until when they will be done; a peer of an earlier version says nothing of it."""


class Forward(Struct, tag="forward", tag_field="kind"):
    """A user's request that its node can't answer, as the state service refuses it alone."""

    number: int
    operation: str
    job: str
    body: str


class Forwarded(Struct, tag="forwarded", tag_field="kind"):
    """The answer, to be passed on as it is."""

    number: int
    status: int
    body: str
    retry_after: int | None = None


MAX_CANCELS = 1_000
"""Of one message; it fits a netstring with room to spare."""


class CancelsTold(Struct, tag="cancels?", tag_field="kind"):
    """Cancels that are stored, with their records' versions: who leads stops the tasks and starts nothing more of those
    jobs, with or without the state service."""

    number: int
    """Of the question; 0: no answer is waited for."""
    token: Token
    """Of the leader as the teller knows it. A node of the version before takes no word meant for another."""
    jobs: Annotated[dict[JobId, Mark], Meta(max_length=MAX_CANCELS)]
    unrecorded: list[JobId] = []
    """Those that are stored by an end only, not proven yet, as their records were lost."""


class CancelsTaken(Struct, tag="cancels", tag_field="kind"):
    """The leader has taken them in."""

    number: int
    free: list[JobId] = []
    """What a node of the version before told users on. We name none: it then reads what is stored, as we do."""


Message = (
    Beat
    | ProgressQuestion
    | ProgressAnswer
    | Forward
    | Forwarded
    | CancelsTold
    | CancelsTaken
    | Hints
    | HintsWanted
    | Handover
    | Handed
    | PictureWanted
    | PicturePart
    | relay.Message
)

__all__ = [
    "LEADER_KEY",
    "MAX_CANCELS",
    "Beat",
    "CancelsTaken",
    "CancelsTold",
    "Forward",
    "Forwarded",
    "LeaderRecord",
    "Message",
    "ProgressAnswer",
    "ProgressQuestion",
    "decode",
    "decode_leader",
    "encode",
]

encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(Message).decode
decode_leader = msgspec.json.Decoder(LeaderRecord).decode
