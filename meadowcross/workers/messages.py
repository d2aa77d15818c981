"""Defines the messages between workers and controllers, as PROTOCOL-meadowcross.md describes them.

Only this module contains the names on the wire; all other modules use the names of the fields. Durations are in
seconds.
"""

from __future__ import annotations

from enum import Enum
from typing import Literal

import msgspec
from msgspec import Struct, field

from meadowcross.common.types import Address, FencingToken, HeartbeatVersion, MachineId, NodeName, Seconds


class TaskState(Enum):
    """State of a task on a worker."""

    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    CHECKPOINTING = "flushing"
    EXITED = "ended"


class TaskReport(Struct):
    """A task on a worker, reported until it is reaped; once it ended, `exit_reason` is one of the `EXIT_` constants."""

    task: str = field(name="head")
    attempt: int = field(name="round")
    state: TaskState = field(name="standing")
    exit_reason: str | None = field(name="cause", default=None)
    has_saved_progress: bool = field(name="kept", default=False)


class Heartbeat(Struct):
    """A worker's heartbeat, or its status as the response to direct commands.

    `token` is the highest fencing token that the worker has seen. `notice_s` is the time until the cloud reclaims the
    machine, if there is an eviction notice.
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
        """Version that orders the statuses of one worker."""
        return HeartbeatVersion(self.incarnation, self.seq)


class HeartbeatHeader(Struct):
    """The fields of a heartbeat that a controller reads if it does not lead; the rest of the body is skipped."""

    machine: MachineId = field(name="stall")
    token: FencingToken = field(name="crook", default=FencingToken(0))
    incarnation: int = field(name="tenure", default=0)
    seq: int = field(name="tally", default=0)

    @property
    def version(self) -> HeartbeatVersion:
        """Version that orders the statuses of one worker."""
        return HeartbeatVersion(self.incarnation, self.seq)


EXIT_DONE = "done"
EXIT_ERROR = "error"
EXIT_NO_ROOM = "full"
EXIT_UNKNOWN_JOB = "no_such"
EXIT_GANG_LOST = "mates_gone"
EXIT_GANG_INCOMPLETE = "incomplete"
EXIT_STOPPED = "stopped"


class Command(Struct, omit_defaults=True):
    """One command to a worker; only a stop has `grace_s`, the time to save a checkpoint."""

    op: Literal["start", "stop", "reap"] = field(name="call")
    task: str = field(name="head")
    attempt: int = field(name="round")
    grace_s: Seconds | None = field(name="gatherS", default=None)


class HeartbeatResponse(Struct):
    """The leader's response to a heartbeat."""

    token: FencingToken = field(name="crook")
    commands: list[Command] = field(name="calls")


class DirectCommands(Struct):
    """Direct commands, sent to a worker's own address; any other incarnation of the worker rejects them."""

    token: FencingToken = field(name="crook")
    incarnation: int = field(name="tenure")
    commands: list[Command] = field(name="calls")


class Redirect(Struct, omit_defaults=True):
    """The body of a 421 response: the node that heartbeats are to be sent to, or None if it is unknown."""

    report_to: NodeName | None = field(name="drover", default=None)


encode = msgspec.json.Encoder().encode
decode_heartbeat = msgspec.json.Decoder(Heartbeat).decode
decode_heartbeat_header = msgspec.json.Decoder(HeartbeatHeader).decode
