"""Tickets as they are stored, and under which keys.

A ticket's document and its steps' submissions never change: they are stored first, in pieces below the
store's value limit. The small record that makes the ticket accepted comes last; only it changes.
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

PREFIX = "tk/"
FORMAT = 1
PARTITIONS = 64
"""Tickets are spread over so many; gateways claim partitions, not tickets. Part of the format."""
OPEN, ENDED, PIECES, MEMBERS = PREFIX + "t/", PREFIX + "e/", PREFIX + "d/", PREFIX + "m/"
GATEWAYS, CLAIMS = MEMBERS + "g/", MEMBERS + "p/"

TicketId = NewType("TicketId", str)
Partition = NewType("Partition", int)


class StepState(Enum):
    WAITING = "waiting"
    """For other steps."""
    ALLOCATED = "allocated"
    """Its job's id is stored; whether the job was accepted is not."""
    ACCEPTED = "accepted"
    DONE = "done"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    SKIPPED = "skipped"
    """A step that it depends on will not be done."""


FINAL = {StepState.DONE, StepState.REFUSED, StepState.CANCELLED, StepState.SKIPPED}


class TicketState(Enum):
    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class StepRecord(Struct, omit_defaults=True):
    name: str = field(name="n")
    tasks: int = field(name="k")
    after: list[int] = field(name="a", default_factory=list)
    state: StepState = field(name="s", default=StepState.WAITING)
    job: str | None = field(name="j", default=None)
    why: str = field(name="w", default="")


class TicketRecord(Struct, omit_defaults=True):
    """A ticket, under its open key until all its steps are final, then under its ended key."""

    v: int
    name: str
    submitter: str
    digest: str
    """Of document and parameters: the same key with another ticket is noticed."""
    pieces: int
    submitted: WallTime
    steps: list[StepRecord]
    cancelled: WallTime | None = None

    @property
    def state(self) -> TicketState:
        states = {step.state for step in self.steps}
        if not states <= FINAL:
            return TicketState.OPEN
        if states == {StepState.DONE}:
            return TicketState.DONE
        return TicketState.CANCELLED if self.cancelled is not None else TicketState.FAILED


class Content(Struct):
    """What the pieces hold together: all that a worker needs to run a step, and its submission."""

    document: str
    parameters: dict[str, str]
    specs: list[JobSpec]
    """Under the id of a stand-in; the step's own takes its place."""


class Member(Struct):
    """A living gateway, or the claim of one on a partition; attached to its hold."""

    gateway: str
    life: str


encode = msgspec.json.Encoder().encode
decode_ticket = msgspec.json.Decoder(TicketRecord).decode
decode_content = msgspec.json.Decoder(Content).decode
decode_member = msgspec.json.Decoder(Member).decode
decode_piece = msgspec.json.Decoder(str).decode


def ticket_id(submitter: str, key: str) -> TicketId:
    """The same submitter's same key is the same ticket, whichever gateway it reaches, however often."""
    return TicketId("tk-" + blake2s(f"{submitter}\0{key}".encode(), digest_size=12).hexdigest())


def is_ticket_id(text: str) -> bool:
    return re.fullmatch(r"tk-[0-9a-f]{24}", text) is not None


def digest_of(document: str, parameters: dict[str, str]) -> str:
    return blake2s(msgspec.json.encode([document, sorted(parameters.items())]), digest_size=16).hexdigest()


def partition_of(ticket: TicketId) -> Partition:
    return Partition(int(blake2s(ticket.encode(), digest_size=4).hexdigest(), 16) % PARTITIONS)


def part_prefix(prefix: str, partition: Partition) -> str:
    return f"{prefix}{partition:02d}/"


def open_key(ticket: TicketId) -> str:
    return part_prefix(OPEN, partition_of(ticket)) + ticket


def ended_key(ticket: TicketId) -> str:
    return part_prefix(ENDED, partition_of(ticket)) + ticket


def ticket_of(key: str) -> TicketId:
    return TicketId(key.rpartition("/")[2])


def piece_key(ticket: TicketId, digest: str, number: int) -> str:
    return f"{part_prefix(PIECES, partition_of(ticket))}{ticket}/{digest[:12]}/{number:03d}"


def claim_key(partition: Partition) -> str:
    return f"{CLAIMS}{partition:02d}"


def split(content: Content, most: int) -> list[str]:
    """Pieces whose stored form, escaped as JSON text, has at most `most` bytes each."""
    text = encode(content).decode()
    pieces: list[str] = []
    while text:
        size = min(len(text), most - 2)
        while len(encode(text[:size])) > most:
            size = size * 3 // 4
        pieces.append(text[:size])
        text = text[size:]
    return pieces


def joined(pieces: list[str]) -> Content:
    return decode_content("".join(pieces).encode())


def plain(record: TicketRecord, ticket: TicketId) -> dict[str, Any]:
    """What a submitter is told of a ticket."""
    return {
        "id": ticket,
        "name": record.name,
        "state": "cancelled" if record.cancelled is not None else record.state.value,
        "steps": [
            {"name": step.name, "tasks": step.tasks, "state": step.state.value}
            | ({"job": step.job} if step.job is not None else {})
            | ({"why": step.why} if step.why else {})
            for step in record.steps
        ],
    }
