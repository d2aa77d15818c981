"""What workers and a node exchange; wire names stay here."""

from __future__ import annotations

from enum import Enum
from typing import Literal

import msgspec
from msgspec import Struct, field

from meadowcross.common.types import Address, FencingToken, HeartbeatVersion, MachineId, NodeName, Seconds


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
    exit_reason: str | None = field(name="cause", default=None)
    has_saved_progress: bool = field(name="kept", default=False)


class Heartbeat(Struct):
    machine: MachineId = field(name="stall")
    address: Address = field(name="addr")
    machine_type: str = field(name="build")
    zone: str = field(name="field")
    spot: bool = field(name="stubble")
    incarnation: int = field(name="tenure")
    seq: int = field(name="tally")
    token: FencingToken = field(name="crook")
    notice_s: Seconds | None = field(name="recallS", default=None)
    tasks: list[TaskReport] = field(name="heads", default_factory=list)

    @property
    def version(self) -> HeartbeatVersion:
        return HeartbeatVersion(self.incarnation, self.seq)


class HeartbeatHeader(Struct):
    """Of a report, whose and which it is and the highest token seen: all that a node that does not lead reads."""

    machine: MachineId = field(name="stall")
    token: FencingToken = field(name="crook", default=FencingToken(0))
    incarnation: int = field(name="tenure", default=0)
    seq: int = field(name="tally", default=0)

    @property
    def version(self) -> HeartbeatVersion:
        return HeartbeatVersion(self.incarnation, self.seq)


EXIT_DONE = "done"
EXIT_ERROR = "error"
EXIT_NO_ROOM = "full"
EXIT_UNKNOWN_JOB = "no_such"
EXIT_GANG_LOST = "mates_gone"
EXIT_GANG_INCOMPLETE = "incomplete"
EXIT_STOPPED = "stopped"


class Command(Struct, omit_defaults=True):
    op: Literal["start", "stop", "reap"] = field(name="call")
    task: str = field(name="head")
    attempt: int = field(name="round")
    grace_s: Seconds | None = field(name="gatherS", default=None)


class HeartbeatResponse(Struct):
    """The answer to a report."""

    token: FencingToken = field(name="crook")
    commands: list[Command] = field(name="calls")


class DirectCommands(Struct):
    """Commands sent to a worker's own address."""

    token: FencingToken = field(name="crook")
    incarnation: int = field(name="tenure")
    commands: list[Command] = field(name="calls")


class Redirect(Struct, omit_defaults=True):
    """With a 421: the node to report to, where it is known."""

    report_to: NodeName | None = field(name="drover", default=None)


encode = msgspec.json.Encoder().encode
decode_heartbeat = msgspec.json.Decoder(Heartbeat).decode
decode_heartbeat_header = msgspec.json.Decoder(HeartbeatHeader).decode
