"""The leader record in the store and the messages between controllers; their wire names stay in this file."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

from meadowcross.common.types import FencingToken, JobId, NodeName, Revision, Seconds
from meadowcross.recovery.messages import LEADER_KEY, ReplicaPart, ReplicaPartRequest
from meadowcross.relay.messages import RelayMessage
from meadowcross.replication.messages import FullHintsRequest, Hints, LeadershipOffer, LeadershipOfferResponse


class LeaderRecord(Struct):
    """The value of the leader key: the leading node, and the incarnation that identifies its process."""

    node: NodeName
    incarnation: str = field(name="life")


class PeerHeartbeat(Struct, tag="beat", tag_field="kind"):
    """State of a node, sent to every peer about once a second."""

    node: NodeName
    is_store_answering: bool = field(name="store_ok")
    """Whether the store responds to the node."""
    leading_token: FencingToken | None = field(name="leads", default=None)
    """The token of the node while it leads, else None."""
    reporting_workers: int = field(name="hears", default=0)
    """Number of workers that sent heartbeats to the node recently, whether it leads or not."""
    incarnation: str = field(name="life", default="")
    """Identifies the process among all processes of the node; empty in messages from nodes of an earlier version."""
    is_in_sync: bool = field(name="warm", default=False)
    """Whether the replica of the node is in sync, so that the node could lead at once."""
    lost_peers: list[NodeName] = field(name="lost", default_factory=list)
    """Peers whose connection to the node was closed and whose addresses refuse connections since."""
    store_epoch: int | None = field(name="era", default=None)
    """The store epoch that the node has read, or None before it has read one."""
    is_epoch_lost: bool = field(name="era_lost", default=False)
    """Whether the node has proof that the store lost data in `store_epoch`."""
    is_loss_before_replica: bool = field(name="era_lost_before", default=False)
    """Whether the data loss is older than everything that the node followed, so that its replica lacks the data too."""
    has_history: bool = field(name="seasoned", default=False)
    """Whether the node has observed a leader since its process started; see `Election.has_history`."""
    highest_token: FencingToken = field(name="highest", default=FencingToken(0))
    """The highest fencing token that the node has received from any source."""
    followed_revision: Revision = field(name="followed", default=Revision(0))
    """The newest revision that the node has followed. After a data loss, the previous leader adds one, as it has
    processed all writes."""
    store_utilization: float = field(name="store_used", default=0.0)
    """Recently used share of the rate limits of the store; followers may borrow what the leader leaves unused."""
    relay_capacity: int | None = field(name="relay_room", default=None)
    """Number of workers that the node can serve as a relay; None if it can't relay, as nodes of an earlier version."""
    relays_raised_tokens: bool | UnsetType = field(name="raised", default=UNSET)
    """Whether the node, as a relay, tells a raised token of its leader from that of another leader; left out by a node
    that can't relay, or of an earlier version."""
    newest_token: FencingToken | UnsetType = field(name="newest", default=UNSET)
    """The highest token that the node gives to workers while it leads, else left out; see `RelayGrant.newest_token`."""


class ProgressRequest(Struct, tag="progress?", tag_field="kind"):
    """Requests the task counts of jobs from the leader, for display."""

    number: int
    jobs: list[JobId]


class ProgressResponse(Struct, tag="progress", tag_field="kind"):
    """Numbers of done and running tasks of the requested jobs that the leader knows."""

    number: int
    counts: dict[JobId, tuple[int, int]]
    forecasts: dict[JobId, tuple[Seconds, Seconds, Seconds]] = field(name="ends", default_factory=dict)
    """Forecast ends of jobs, as in `JobProgress`; empty in messages from nodes of an earlier version."""


class ForwardRequest(Struct, tag="forward", tag_field="kind"):
    """Forwards a user's request from a node that the store refuses to a peer that reaches the store."""

    number: int
    operation: str
    job: str
    """The job id, or empty if the id is in the body."""
    body: str


class ForwardResponse(Struct, tag="forwarded", tag_field="kind"):
    """The HTTP response to a forwarded request, to be returned to the user unchanged."""

    number: int
    status: int
    body: str
    retry_after: int | None = None


MAX_CANCELLATIONS = 1_000
"""Maximum number of cancellations in one message, well below the size limit of a netstring."""


class CancellationNotice(Struct, tag="cancels?", tag_field="kind"):
    """Announces stored cancellations, with the revisions of their records.

    The leader stops the tasks of these jobs and starts no further ones, even if the store does not respond to it.
    """

    number: int
    """Number of the request; 0 if the sender does not wait for a response."""
    token: FencingToken
    """Token of the leader as known to the sender. Nodes of the previous version ignore notices with another token."""
    revisions: Annotated[dict[JobId, Revision], Meta(max_length=MAX_CANCELLATIONS)] = field(name="jobs")
    unrecorded: list[JobId] = []
    """Jobs whose cancellation is stored by an unproven end record only, as their job records were lost."""


class CancellationAck(Struct, tag="cancels", tag_field="kind"):
    """Confirms that the leader has applied the cancellations of a notice."""

    number: int
    free: list[JobId] = []
    """Jobs that nodes of the previous version report to users as cancelled. This version sends no jobs, so that those
    nodes read the stored ends instead."""


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
