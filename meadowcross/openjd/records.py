"""The stored records of tickets and gateways, and their keys in the store.

The document and the job specs of a ticket never change. They are stored first, in pieces below the store's value limit;
the small record that makes the ticket accepted is stored last, and only this record changes afterwards.
"""

from __future__ import annotations

import re
from enum import Enum
from hashlib import blake2s
from typing import Any, NewType

import msgspec
from msgspec import Struct, field

from meadowcross.common.types import WallTime
from meadowcross.jobs.messages import JobSpec

KEY_PREFIX = "tk/"
FORMAT_VERSION = 1
PARTITION_COUNT = 64
"""Tickets are divided into this many partitions; gateways claim partitions, not tickets. Part of the stored format."""
OPEN_PREFIX, ENDED_PREFIX, PIECE_PREFIX, MEMBER_PREFIX = (
    KEY_PREFIX + "t/",
    KEY_PREFIX + "e/",
    KEY_PREFIX + "d/",
    KEY_PREFIX + "m/",
)
GATEWAY_PREFIX, CLAIM_PREFIX = MEMBER_PREFIX + "g/", MEMBER_PREFIX + "p/"

TicketId = NewType("TicketId", str)
Partition = NewType("Partition", int)


class StepState(Enum):
    """Progress of a step of a ticket."""

    WAITING = "waiting"
    """The steps that this step depends on are not done yet, or no job id is stored yet."""
    ALLOCATED = "allocated"
    """The id of the step's job is stored; it is not yet known whether a controller accepted the job."""
    ACCEPTED = "accepted"
    DONE = "done"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    SKIPPED = "skipped"
    """A step that this step depends on has ended without being done."""


FINAL_STATES = {StepState.DONE, StepState.REFUSED, StepState.CANCELLED, StepState.SKIPPED}


class TicketState(Enum):
    """State of a whole ticket; all except OPEN are final."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class StepRecord(Struct, omit_defaults=True):
    """One step of a stored ticket."""

    name: str = field(name="n")
    tasks: int = field(name="k")
    dependencies: list[int] = field(name="a", default_factory=list)
    """Indexes of the steps that must be done first."""
    state: StepState = field(name="s", default=StepState.WAITING)
    job: str | None = field(name="j", default=None)
    """Id of the step's native job; None until one is allocated."""
    reason: str = field(name="w", default="")
    """Why the step was refused or cancelled, as submitters read it; empty if there is nothing to explain."""


class TicketRecord(Struct, omit_defaults=True):
    """A ticket; stored under its open key until all its steps are final, then under its ended key."""

    format_version: int = field(name="v")
    name: str
    submitter: str
    digest: str
    """Of the document and the parameters; detects another ticket that is submitted with the same key."""
    piece_count: int = field(name="pieces")
    submitted_at: WallTime = field(name="submitted")
    steps: list[StepRecord]
    cancelled_at: WallTime | None = field(name="cancelled", default=None)
    """None unless the submitter cancelled the ticket."""

    @property
    def state(self) -> TicketState:
        """The ticket's state, derived from the states of its steps."""
        states = {step.state for step in self.steps}
        if not states <= FINAL_STATES:
            return TicketState.OPEN
        if states == {StepState.DONE}:
            return TicketState.DONE
        return TicketState.CANCELLED if self.cancelled_at is not None else TicketState.FAILED


class Content(Struct):
    """The joined pieces of a ticket: the specs of its jobs, and all that a worker needs to run its steps."""

    document: str
    parameters: dict[str, str]
    specs: list[JobSpec]
    """One for each step, under a placeholder id; the step's own job id replaces it at submission."""


class Member(Struct):
    """A live gateway, or a gateway's claim on a partition; its key is attached to the gateway's lease."""

    gateway: str
    incarnation: str = field(name="life")


encode = msgspec.json.Encoder().encode
decode_ticket = msgspec.json.Decoder(TicketRecord).decode
decode_content = msgspec.json.Decoder(Content).decode
decode_member = msgspec.json.Decoder(Member).decode
decode_piece = msgspec.json.Decoder(str).decode


def ticket_id(submitter: str, key: str) -> TicketId:
    """Derive the ticket's id, so that repeated submissions give the same ticket on every gateway."""
    return TicketId("tk-" + blake2s(f"{submitter}\0{key}".encode(), digest_size=12).hexdigest())


def is_ticket_id(text: str) -> bool:
    """Whether the text has the form of a ticket id."""
    return re.fullmatch(r"tk-[0-9a-f]{24}", text) is not None


def digest_of(document: str, parameters: dict[str, str]) -> str:
    """Hash a document and its parameters; the order of the parameters has no influence."""
    return blake2s(msgspec.json.encode([document, sorted(parameters.items())]), digest_size=16).hexdigest()


def partition_of(ticket: TicketId) -> Partition:
    """The partition of a ticket, from 0 to PARTITION_COUNT - 1."""
    return Partition(int(blake2s(ticket.encode(), digest_size=4).hexdigest(), 16) % PARTITION_COUNT)


def partition_prefix(prefix: str, partition: Partition) -> str:
    """The prefix of a partition's keys below `prefix`."""
    return f"{prefix}{partition:02d}/"


def open_key(ticket: TicketId) -> str:
    """The key of an open ticket's record."""
    return partition_prefix(OPEN_PREFIX, partition_of(ticket)) + ticket


def ended_key(ticket: TicketId) -> str:
    """The key of an ended ticket's record."""
    return partition_prefix(ENDED_PREFIX, partition_of(ticket)) + ticket


def ticket_id_of_key(key: str) -> TicketId:
    """The id of the ticket whose record has this open or ended key."""
    return TicketId(key.rpartition("/")[2])


def piece_key(ticket: TicketId, digest: str, number: int) -> str:
    """The key of a piece; it contains the digest, so that submissions with the same key don't overwrite each other."""
    return f"{partition_prefix(PIECE_PREFIX, partition_of(ticket))}{ticket}/{digest[:12]}/{number:03d}"


def claim_key(partition: Partition) -> str:
    """The key that names the owner of a partition."""
    return f"{CLAIM_PREFIX}{partition:02d}"


def split_content(content: Content, max_bytes: int) -> list[str]:
    """Split the encoded content into pieces of at most `max_bytes` each, measured as stored (escaped JSON text)."""
    text = encode(content).decode()
    pieces: list[str] = []
    while text:
        size = min(len(text), max_bytes - 2)
        while len(encode(text[:size])) > max_bytes:
            size = size * 3 // 4
        pieces.append(text[:size])
        text = text[size:]
    return pieces


def join_pieces(pieces: list[str]) -> Content:
    """Decode the content from all its pieces, in order."""
    return decode_content("".join(pieces).encode())


def public_view(record: TicketRecord, ticket: TicketId) -> dict[str, Any]:
    """The JSON object that describes a ticket to its submitter."""
    return {
        "id": ticket,
        "name": record.name,
        "state": "cancelled" if record.cancelled_at is not None else record.state.value,
        "steps": [
            {"name": step.name, "tasks": step.tasks, "state": step.state.value}
            | ({"job": step.job} if step.job is not None else {})
            | ({"why": step.reason} if step.reason else {})
            for step in record.steps
        ],
    }
