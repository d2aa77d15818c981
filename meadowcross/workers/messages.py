"""What workers and a node exchange; wire names stay here."""

from __future__ import annotations

from enum import Enum
from typing import Literal

import msgspec
from msgspec import Struct, field

from meadowcross.common.types import Address, MachineId, NodeName, ReportVersion, Seconds, Token


class TaskState(Enum):
    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "flushing"
    EXITED = "ended"


class TaskReport(Struct):
    task: str = field(name="head")
    attempt: int = field(name="round")
    state: TaskState = field(name="standing")
    why: str | None = field(name="cause", default=None)
    saved: bool = field(name="kept", default=False)


class Report(Struct):
    machine: MachineId = field(name="stall")
    addr: Address
    type: str = field(name="build")
    zone: str = field(name="field")
    spot: bool = field(name="stubble")
    session: int = field(name="tenure")
    seq: int = field(name="tally")
    token: Token = field(name="crook")
    notice_s: Seconds | None = field(name="recallS", default=None)
    tasks: list[TaskReport] = field(name="heads", default_factory=list)

    @property
    def version(self) -> ReportVersion:
        return ReportVersion(self.session, self.seq)


class Reporter(Struct):
    """Of a report, whose and which it is and the highest token seen: all that a node that does not lead reads."""

    machine: MachineId = field(name="stall")
    token: Token = field(name="crook", default=Token(0))
    session: int = field(name="tenure", default=0)
    seq: int = field(name="tally", default=0)

    @property
    def version(self) -> ReportVersion:
        return ReportVersion(self.session, self.seq)


DONE = "done"
ERROR = "error"
NO_ROOM = "full"
UNKNOWN_JOB = "no_such"
GANG_LOST = "mates_gone"
GANG_INCOMPLETE = "incomplete"
STOPPED = "stopped"


class Command(Struct, omit_defaults=True):
    op: Literal["start", "stop", "reap"] = field(name="call")
    task: str = field(name="head")
    attempt: int = field(name="round")
    grace_s: Seconds | None = field(name="gatherS", default=None)


class Response(Struct):
    """The answer to a report."""

    token: Token = field(name="crook")
    commands: list[Command] = field(name="calls")


class Direct(Struct):
    """Commands sent to a worker's own address."""

    token: Token = field(name="crook")
    session: int = field(name="tenure")
    commands: list[Command] = field(name="calls")


class Elsewhere(Struct, omit_defaults=True):
    """With a 421: the node to report to, where it is known."""

    report_to: NodeName | None = field(name="drover", default=None)


encode = msgspec.json.Encoder().encode
decode_report = msgspec.json.Decoder(Report).decode
decode_reporter = msgspec.json.Decoder(Reporter).decode
