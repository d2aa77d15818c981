"""What a leader and its relays exchange over the controllers' link.

Workers' own messages travel inside as they are, so that their wire names stay with the workers' slice.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple

from msgspec import Meta, Raw, Struct, field

from meadowcross.common.types import Address, FencingToken, MachineId, NodeName, Seconds

MAX_MACHINES_PER_MESSAGE = 2_000
"""Machines named in one message; it fits a netstring with room to spare."""


class RelayGrant(Struct, tag="grant", tag_field="kind"):
    """The leader lets a node answer reports with its token, until so long after this came."""

    node: NodeName
    token: FencingToken
    expires_s: Seconds


class HeartbeatRenewal(NamedTuple):
    """A report that said nothing new: whose it is, which one, and the whole one that it repeats."""

    machine: MachineId
    incarnation: int
    full_seq: int
    seq: int


class HeartbeatRenewals(Struct, tag="renewals", tag_field="kind"):
    """Reports that a relay answered by itself since its last message."""

    node: NodeName
    token: FencingToken
    renewals: Annotated[list[HeartbeatRenewal], Meta(max_length=MAX_MACHINES_PER_MESSAGE)] = field(name="reports")


class ResendRequest(Struct, tag="resend", tag_field="kind"):
    """The leader wants the next report of these machines whole."""

    token: FencingToken
    machines: Annotated[list[MachineId], Meta(max_length=MAX_MACHINES_PER_MESSAGE)]


class RelayedWorkers(Struct, tag="held", tag_field="kind"):
    """Told to a new leader: the machines that report to this relay."""

    node: NodeName
    token: FencingToken
    machines: Annotated[list[MachineId], Meta(max_length=MAX_MACHINES_PER_MESSAGE)]


class ForwardedHeartbeat(Struct, tag="report?", tag_field="kind"):
    """A worker's report that says something new."""

    number: int
    node: NodeName
    token: FencingToken
    heartbeat: Raw = field(name="report")


class HeartbeatAnswer(Struct, tag="report", tag_field="kind"):
    """The leader's answer, to be passed on as it is."""

    number: int
    status: int
    body: Raw
    is_repeatable: bool = field(name="settled", default=False)
    """The same report again would be answered in the same way, with no command."""


class ForwardedCommands(Struct, tag="commands?", tag_field="kind"):
    """Commands for a worker whose session the relay holds."""

    number: int
    token: FencingToken
    address: Address
    body: Raw


class DeliveryOutcome(Enum):
    """What became of commands; only a request that was certainly not sent may be taken back."""

    NOT_SENT = "not_sent"
    UNANSWERED = "unanswered"
    ANSWERED = "answered"


class CommandsAnswer(Struct, tag="commands", tag_field="kind"):
    """The outcome, with the worker's answer where there was one."""

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
