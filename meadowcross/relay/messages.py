"""What a leader and its relays exchange over the controllers' link.

Workers' own messages travel inside as they are, so that their wire names stay with the workers' slice.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple

from msgspec import Meta, Raw, Struct

from meadowcross.common.types import Address, MachineId, NodeName, Seconds, Token

MAX_LISTED = 2_000
"""Machines named in one message; it fits a netstring with room to spare."""


class Grant(Struct, tag="grant", tag_field="kind"):
    """The leader lets a node answer reports with its token, until so long after this came."""

    node: NodeName
    token: Token
    expires_s: Seconds


class Renewal(NamedTuple):
    """A report that said nothing new: whose it is, which one, and the whole one that it repeats."""

    machine: MachineId
    session: int
    whole_seq: int
    seq: int


class Renewals(Struct, tag="renewals", tag_field="kind"):
    """Reports that a relay answered by itself since its last message."""

    node: NodeName
    token: Token
    reports: Annotated[list[Renewal], Meta(max_length=MAX_LISTED)]


class ResendWanted(Struct, tag="resend", tag_field="kind"):
    """The leader wants the next report of these machines whole."""

    token: Token
    machines: Annotated[list[MachineId], Meta(max_length=MAX_LISTED)]


class SessionsHeld(Struct, tag="held", tag_field="kind"):
    """Told to a new leader: the machines that report to this relay."""

    node: NodeName
    token: Token
    machines: Annotated[list[MachineId], Meta(max_length=MAX_LISTED)]


class ReportPassed(Struct, tag="report?", tag_field="kind"):
    """A worker's report that says something new."""

    number: int
    node: NodeName
    token: Token
    report: Raw


class ReportAnswered(Struct, tag="report", tag_field="kind"):
    """The leader's answer, to be passed on as it is."""

    number: int
    status: int
    body: Raw
    settled: bool = False
    """The same report again would be answered in the same way, with no command."""


class CommandsPassed(Struct, tag="commands?", tag_field="kind"):
    """Commands for a worker whose session the relay holds."""

    number: int
    token: Token
    address: Address
    body: Raw


class Outcome(Enum):
    """What became of commands; only a request that was certainly not sent may be taken back."""

    NOT_SENT = "not_sent"
    UNANSWERED = "unanswered"
    ANSWERED = "answered"


class CommandsAnswered(Struct, tag="commands", tag_field="kind"):
    """The outcome, with the worker's answer where there was one."""

    number: int
    outcome: Outcome
    status: int = 0
    body: Raw = Raw(b"null")


Message = (
    Grant | Renewals | ResendWanted | SessionsHeld | ReportPassed | ReportAnswered | CommandsPassed | CommandsAnswered
)
