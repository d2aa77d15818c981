"""The leader's record in the store and the messages between controllers."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from meadowcross.common.types import FencingToken, JobId, NodeName, Revision, Seconds
from meadowcross.recovery.messages import LEADER_KEY, ReplicaPart, ReplicaPartRequest
from meadowcross.relay.messages import RelayMessage
from meadowcross.replication.messages import FullHintsRequest, Hints, LeadershipOffer, LeadershipOfferResponse


class LeaderRecord(Struct):
    """Who leads. The incarnation tells this process from its predecessors of the same name."""

    node: NodeName
    incarnation: str = field(name="life")


class PeerHeartbeat(Struct, tag="beat", tag_field="kind"):
    """Sent to every peer about once a second."""

    node: NodeName
    is_store_answering: bool = field(name="store_ok")
    leading_token: FencingToken | None = field(name="leads", default=None)
    """The node's own token while it leads."""
    workers_heard: int = field(name="hears", default=0)
    """How many workers reported to it lately, whoever leads."""
    incarnation: str = field(name="life", default="")
    """Tells this process from its predecessors; empty from a node of an earlier version."""
    is_in_sync: bool = field(name="warm", default=False)
    """Whether it follows the store and could lead at once."""
    lost_peers: list[NodeName] = field(name="lost", default_factory=list)
    """Peers whose connection to it was closed, and that refuse to be called."""
    store_epoch: int | None = field(name="era", default=None)
    """The epoch it is in."""
    is_epoch_lost: bool = field(name="era_lost", default=False)
    """Whether it has proof that the store lost data in this epoch."""
    is_loss_older: bool = field(name="era_lost_before", default=False)
    """The loss is older than what it followed."""
    has_history: bool = field(name="seasoned", default=False)
    """It has seen somebody lead since its process began, so what it knows goes back to before now."""
    highest_token: FencingToken = field(name="highest", default=FencingToken(0))
    """The highest token it has seen anywhere."""
    followed_revision: Revision = field(name="followed", default=Revision(0))
    """Up to which revision it followed the store, a leader's own replica counted as one more."""
    store_utilization: float = field(name="store_used", default=0.0)
    """The part of the store's limits that it used lately; what a leader leaves is lent to the others."""
    relay_room: int | None = None
    """How many workers it can serve for a leader; None: it can't, as any node of an earlier version."""


class ProgressRequest(Struct, tag="progress?", tag_field="kind"):
    """Asks the leader for jobs' counts, for display."""

    number: int
    jobs: list[JobId]


class ProgressResponse(Struct, tag="progress", tag_field="kind"):
    """Done and running tasks of those jobs that the leader knows."""

    number: int
    counts: dict[JobId, tuple[int, int]]
    forecasts: dict[JobId, tuple[Seconds, Seconds, Seconds]] = field(name="ends", default_factory=dict)
    """When they will be done, as `JobProgress` says it; a peer of an earlier version says nothing of it."""


class ForwardRequest(Struct, tag="forward", tag_field="kind"):
    """A user's request that its node can't answer, as the store refuses it alone."""

    number: int
    operation: str
    job: str
    """Empty where the job's id is in the body."""
    body: str


class ForwardResponse(Struct, tag="forwarded", tag_field="kind"):
    """The answer, to be passed on as it is."""

    number: int
    status: int
    body: str
    retry_after: int | None = None


MAX_CANCELLATIONS = 1_000
"""Of one message; it fits a netstring with room to spare."""


class CancellationNotice(Struct, tag="cancels?", tag_field="kind"):
    """Cancellations that are stored, with their records' revisions.

    Who leads stops the tasks and starts nothing more of those jobs, with or without the store.
    """

    number: int
    """Of the request; 0: no response is waited for."""
    token: FencingToken
    """Of the leader as the sender knows it. A node of the version before takes no notice meant for another."""
    revisions: Annotated[dict[JobId, Revision], Meta(max_length=MAX_CANCELLATIONS)] = field(name="jobs")
    unrecorded: list[JobId] = []
    """Those that are stored by an end only, not proven yet, as their records were lost."""


class CancellationAck(Struct, tag="cancels", tag_field="kind"):
    """The leader has taken the cancellations in."""

    number: int
    free: list[JobId] = []
    """What a node of the version before told users on. We name none: it then reads what is stored, as we do."""


Message = (
    PeerHeartbeat
    | ProgressRequest
    | ProgressResponse
    | ForwardRequest
    | ForwardResponse
    | CancellationNotice
    | CancellationAck
    | Hints
    | FullHintsRequest
    | LeadershipOffer
    | LeadershipOfferResponse
    | ReplicaPartRequest
    | ReplicaPart
    | RelayMessage
)

__all__ = [
    "LEADER_KEY",
    "MAX_CANCELLATIONS",
    "CancellationAck",
    "CancellationNotice",
    "ForwardRequest",
    "ForwardResponse",
    "LeaderRecord",
    "Message",
    "PeerHeartbeat",
    "ProgressRequest",
    "ProgressResponse",
    "decode",
    "decode_leader",
    "encode",
]

encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(Message).decode
decode_leader = msgspec.json.Decoder(LeaderRecord).decode
