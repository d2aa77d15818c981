"""Messages between a leader and its relays, on the controllers' link.

Workers' own messages are carried as raw JSON, so that their wire names stay in `workers.messages`. Durations are in
seconds; `number` pairs a request with its answer on one connection.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple

from msgspec import Meta, Raw, Struct, field

from meadowcross.common.types import Address, FencingToken, MachineId, NodeName, Seconds

MAX_MACHINES_PER_MESSAGE = 2_000
"""A message with this many names is well below the limit of a netstring."""


class RelayGrant(Struct, tag="grant", tag_field="kind"):
    """The leader lets a node answer heartbeats with its token, for `expires_s` from the arrival of this message."""

    node: NodeName
    token: FencingToken
    expires_s: Seconds


class HeartbeatRenewal(NamedTuple):
    """A heartbeat (`incarnation`, `seq`) that repeats the full one (`incarnation`, `full_seq`) of its worker."""

    machine: MachineId
    incarnation: int
    full_seq: int
    seq: int


class HeartbeatRenewals(Struct, tag="renewals", tag_field="kind"):
    """Heartbeats that a relay answered by itself since its last message."""

    node: NodeName
    token: FencingToken
    renewals: Annotated[list[HeartbeatRenewal], Meta(max_length=MAX_MACHINES_PER_MESSAGE)] = field(name="reports")


class ResendRequest(Struct, tag="resend", tag_field="kind"):
    """The leader asks for the next heartbeat of these machines in full."""

    token: FencingToken
    machines: Annotated[list[MachineId], Meta(max_length=MAX_MACHINES_PER_MESSAGE)]


class RelayedWorkers(Struct, tag="held", tag_field="kind"):
    """For a new leader: the machines that send their heartbeats to this relay."""

    node: NodeName
    token: FencingToken
    machines: Annotated[list[MachineId], Meta(max_length=MAX_MACHINES_PER_MESSAGE)]


class ForwardedHeartbeat(Struct, tag="report?", tag_field="kind"):
    """A worker's full heartbeat."""

    number: int
    node: NodeName
    token: FencingToken
    heartbeat: Raw = field(name="report")


class HeartbeatAnswer(Struct, tag="report", tag_field="kind"):
    """The leader's response, for the relay to return unchanged."""

    number: int
    status: int
    body: Raw
    is_repeatable: bool = field(name="settled", default=False)
    """The same heartbeat again would get the same response, without commands."""


class ForwardedCommands(Struct, tag="commands?", tag_field="kind"):
    """Commands to a worker of the relay."""

    number: int
    token: FencingToken
    address: Address
    body: Raw


class DeliveryOutcome(Enum):
    """How a request to a worker ended; only one that was certainly not sent may be taken back."""

    NOT_SENT = "not_sent"
    UNANSWERED = "unanswered"
    ANSWERED = "answered"


class CommandsAnswer(Struct, tag="commands", tag_field="kind"):
    """The outcome, with the worker's response if there was one."""

    number: int
    outcome: DeliveryOutcome
    status: int = 0
    body: Raw = Raw(b"null")


RelayMessage = (
    RelayGrant
    | HeartbeatRenewals
    | ResendRequest
    | RelayedWorkers
    | ForwardedHeartbeat
    | HeartbeatAnswer
    | ForwardedCommands
    | CommandsAnswer
)
