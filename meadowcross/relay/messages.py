"""Messages between a leader and its relays, on the connections between controllers.

Messages of workers are embedded as raw JSON, so that `workers.messages` alone defines their wire names. Durations are
in seconds; `number` matches a response with its request on one connection.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple

from msgspec import UNSET, Meta, Raw, Struct, UnsetType, field

from meadowcross.common.types import Address, FencingToken, MachineId, NodeName, Seconds

MAX_MACHINES_PER_MESSAGE = 2_000
"""A message with this many machine names is well below the size limit of a netstring."""


class RelayGrant(Struct, tag="grant", tag_field="kind"):
    """Permits a node to answer heartbeats for the leader, for `expires_s` from the arrival of this message."""

    node: NodeName
    token: FencingToken
    """The token of the leader's term."""
    expires_s: Seconds
    newest_token: FencingToken | UnsetType = field(name="newest", default=UNSET)
    """The highest token that workers may show without having heard another leader; leaders of earlier versions leave it
    out, and give workers no other token than the term's."""

    @property
    def highest_token(self) -> FencingToken:
        """The highest token that belongs to the leader's term, as far as this grant tells."""
        return self.token if self.newest_token is UNSET else max(self.token, self.newest_token)


class HeartbeatRenewal(NamedTuple):
    """A heartbeat (`incarnation`, `seq`) that repeats the full one (`incarnation`, `full_seq`) of its worker."""

    machine: MachineId
    incarnation: int
    full_seq: int
    seq: int


class HeartbeatRenewals(Struct, tag="renewals", tag_field="kind"):
    """The heartbeats that a relay answered for the leader since its previous message of this kind."""

    node: NodeName
    token: FencingToken
    renewals: Annotated[list[HeartbeatRenewal], Meta(max_length=MAX_MACHINES_PER_MESSAGE)] = field(name="reports")


class ResendRequest(Struct, tag="resend", tag_field="kind"):
    """Asks a relay to forward the next heartbeat of each of these machines in full."""

    token: FencingToken
    machines: Annotated[list[MachineId], Meta(max_length=MAX_MACHINES_PER_MESSAGE)]


class RelayedWorkers(Struct, tag="held", tag_field="kind"):
    """Reports to a new leader the machines that send their heartbeats to this relay."""

    node: NodeName
    token: FencingToken
    machines: Annotated[list[MachineId], Meta(max_length=MAX_MACHINES_PER_MESSAGE)]


class ForwardedHeartbeat(Struct, tag="report?", tag_field="kind"):
    """A worker's full heartbeat, forwarded to the leader."""

    number: int
    node: NodeName
    token: FencingToken
    heartbeat: Raw = field(name="report")


class HeartbeatAnswer(Struct, tag="report", tag_field="kind"):
    """The leader's response to a forwarded heartbeat; the relay returns it to the worker unchanged."""

    number: int
    status: int
    body: Raw
    is_repeatable: bool = field(name="settled", default=False)
    """Whether a repetition of the heartbeat would get the same response, without commands."""


class ForwardedCommands(Struct, tag="commands?", tag_field="kind"):
    """Commands from the leader that the relay sends to one of its workers."""

    number: int
    token: FencingToken
    address: Address
    body: Raw


class DeliveryOutcome(Enum):
    """How a request to a worker ended. Only the commands of a request that was certainly not sent may be withdrawn."""

    NOT_SENT = "not_sent"
    UNANSWERED = "unanswered"
    ANSWERED = "answered"


class CommandsAnswer(Struct, tag="commands", tag_field="kind"):
    """The outcome of forwarded commands, with the worker's response if one arrived."""

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
