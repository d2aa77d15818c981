"""Messages between workers and controllers, as PROTOCOL-meadowcross.md describes them.

The wire names appear in this module only; everywhere else the names of the fields are used. Durations are in seconds.
"""

from __future__ import annotations

from enum import Enum
from typing import Literal

import msgspec
from msgspec import Struct, field

from meadowcross.common.types import Address, FencingToken, HeartbeatVersion, MachineId, NodeName, Seconds


class TaskState(Enum):
    """How far a task on a worker has come."""

    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "flushing"
    EXITED = "ended"


class TaskReport(Struct):
    """A task on a worker, until it is reaped; `exit_reason` is one of the `EXIT_` constants once it ended."""

    task: str = field(name="head")
    attempt: int = field(name="round")
    state: TaskState = field(name="standing")
    exit_reason: str | None = field(name="cause", default=None)
    has_saved_progress: bool = field(name="kept", default=False)


class Heartbeat(Struct):
    """A worker's heartbeat, or its status as the response to direct commands.

    `token` is the highest that the worker has seen; `notice_s` the time until the cloud reclaims its machine.
    """

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
        """Orders the statuses of one worker."""
        return HeartbeatVersion(self.incarnation, self.seq)


class HeartbeatHeader(Struct):
    """The fields of a heartbeat that a node which does not lead reads; the rest of the body is skipped."""

    machine: MachineId = field(name="stall")
    token: FencingToken = field(name="crook", default=FencingToken(0))
    incarnation: int = field(name="tenure", default=0)
    seq: int = field(name="tally", default=0)

    @property
    def version(self) -> HeartbeatVersion:
        """Orders the statuses of one worker."""
        return HeartbeatVersion(self.incarnation, self.seq)


EXIT_DONE = "done"
EXIT_ERROR = "error"
EXIT_NO_ROOM = "full"
EXIT_UNKNOWN_JOB = "no_such"
EXIT_GANG_LOST = "mates_gone"
EXIT_GANG_INCOMPLETE = "incomplete"
EXIT_STOPPED = "stopped"


class Command(Struct, omit_defaults=True):
    """One command to a worker; `grace_s` belongs to a stop."""

    op: Literal["start", "stop", "reap"] = field(name="call")
    task: str = field(name="head")
    attempt: int = field(name="round")
    grace_s: Seconds | None = field(name="gatherS", default=None)


class HeartbeatResponse(Struct):
    """The response to a heartbeat."""

    token: FencingToken = field(name="crook")
    commands: list[Command] = field(name="calls")


class DirectCommands(Struct):
    """Commands sent to a worker's own address; rejected by any other incarnation of it."""

    token: FencingToken = field(name="crook")
    incarnation: int = field(name="tenure")
    commands: list[Command] = field(name="calls")


class Redirect(Struct, omit_defaults=True):
    """The body of a 421: the node to send heartbeats to, if it is known."""

    report_to: NodeName | None = field(name="drover", default=None)


encode = msgspec.json.Encoder().encode
decode_heartbeat = msgspec.json.Decoder(Heartbeat).decode
decode_heartbeat_header = msgspec.json.Decoder(HeartbeatHeader).decode
