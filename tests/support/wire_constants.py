"""Golden samples of what is no message: stored keys, values of enumerations, tokens, settings files and a snapshot.

`python -m tests.support.wire_constants` wrote them, once, on the code of commit e82f744.
"""

from __future__ import annotations

import json
import pathlib
from enum import Enum
from typing import Any

import msgspec
from msgspec import Raw

from meadowcross.common.settings import Operator, RelayMode, digest, load_operator, load_settings
from meadowcross.common.types import JobId, MachineId, Mark, NodeName, TaskId, era_of, mark_of, token_of
from meadowcross.estimates.messages import class_name, finish_name, key_of, team_name
from meadowcross.fleet.messages import MACHINES, TYPES_KEY, machine_key
from meadowcross.jobs.messages import (
    CHUNKS,
    ENDED,
    OPEN,
    Kind,
    Priority,
    Standing,
    chunk_key,
    chunks_of,
    parse_chunk_key,
)
from meadowcross.jobs.messages import ended_key as ended_job_key
from meadowcross.jobs.messages import open_key as open_job_key
from meadowcross.rebuild.messages import ERA_KEY, LEADER_KEY, PROGRESS_KEY, Stage
from meadowcross.relay.messages import Outcome
from meadowcross.snapshots.files import Line, Manifest, write
from meadowcross.tickets.gateway import load_gateway
from meadowcross.tickets.records import (
    Partition,
    StepState,
    TicketState,
    claim_key,
    digest_of,
    partition_of,
    piece_key,
    ticket_id,
)
from meadowcross.tickets.records import ended_key as ended_ticket_key
from meadowcross.tickets.records import open_key as open_ticket_key
from meadowcross.tickets.site import load as load_submitters
from meadowcross.workers.messages import (
    DONE,
    ERROR,
    GANG_INCOMPLETE,
    GANG_LOST,
    NO_ROOM,
    STOPPED,
    UNKNOWN_JOB,
    TaskState,
)

WIRE = pathlib.Path(__file__).parent.parent / "data" / "wire"
SNAPSHOT = WIRE / "snapshot"
SNAPSHOT_LIMIT_BYTES = 1_000_000

_ENUMERATIONS: dict[str, type[Enum]] = {
    "job.kind": Kind,
    "job.priority": Priority,
    "job.standing": Standing,
    "worker.task_state": TaskState,
    "relay.outcome": Outcome,
    "rebuild.stage": Stage,
    "ticket.step_state": StepState,
    "ticket.state": TicketState,
    "settings.relays": RelayMode,
}


def stored_keys() -> dict[str, Any]:
    job = JobId("wk-123456")
    ticket = ticket_id("studio", "key-1")
    return {
        "leader": LEADER_KEY,
        "era": ERA_KEY,
        "rebuild": PROGRESS_KEY,
        "types": TYPES_KEY,
        "job.prefixes": [OPEN, ENDED, CHUNKS],
        "job.open": open_job_key(job),
        "job.ended": ended_job_key(job),
        "job.chunk": chunk_key(job, 17),
        "job.chunks": chunks_of(job),
        "job.chunk_parsed": parse_chunk_key(chunk_key(job, 17)),
        "machine.prefix": MACHINES,
        "machine": machine_key(MachineId("m-1")),
        "estimates.class": key_of(class_name("render")),
        "estimates.class_hashed": key_of(class_name("render ü" * 20)),
        "estimates.team": key_of(team_name("blue")),
        "estimates.finish": key_of(finish_name("half")),
        "ticket.id": ticket,
        "ticket.partition": partition_of(ticket),
        "ticket.open": open_ticket_key(ticket),
        "ticket.ended": ended_ticket_key(ticket),
        "ticket.piece": piece_key(ticket, digest_of("document", {"b": "2", "a": "1"}), 3),
        "ticket.claim": claim_key(Partition(7)),
    }


def constants() -> dict[str, Any]:
    token = token_of(3, Mark(77))
    made = {
        "keys": stored_keys(),
        "values": {key: [member.value for member in kind] for key, kind in _ENUMERATIONS.items()},
        "reasons": [DONE, ERROR, NO_ROOM, UNKNOWN_JOB, GANG_LOST, GANG_INCOMPLETE, STOPPED],
        "tokens": [token, era_of(token), mark_of(token), token_of(0, Mark(5))],
        "task": str(TaskId(JobId("wk-123456"), 12)),
    }
    plain: dict[str, Any] = json.loads(json.dumps(made))
    return plain


def settings() -> dict[str, Any]:
    """Each settings file as it is read, under the names of its fields on the wire."""
    platform, operator = load_settings(str(WIRE / "settings.toml")), load_operator(str(WIRE / "operator.xml"))
    made = {
        "settings.toml": platform,
        "operator.xml": operator,
        "tickets.xml": load_submitters(str(WIRE / "tickets.xml")),
        "gateway.xml": load_gateway(str(WIRE / "gateway.xml")),
        "operator defaults": Operator(),
        "digest": digest(platform, operator),
        "digest of defaults": digest(platform, Operator()),
    }
    plain: dict[str, Any] = json.loads(msgspec.json.encode(made))
    return plain


def write_snapshot(directory: pathlib.Path) -> None:
    """A full snapshot and one of the changes after it."""
    full = [Line("j/wk-123456", Mark(5), Raw(b'{"a":1}')), Line("w/m-1", Mark(7), Raw(b"[2]"))]
    changes = [
        Line("e/wk-123456", Mark(12), Raw(b'{"s":"done","n":1}')),
        Line("j/wk-123456", Mark(12), Raw(b"null"), True),
    ]
    node, kind, size, checksum = NodeName("controller-0"), "meadowcross snapshot", 0, ""
    first = Manifest(kind, 1, 2, Mark(9), Mark(0), 2, size, checksum, node, 1000.5)
    second = Manifest(kind, 1, 2, Mark(14), Mark(9), 2, size, checksum, node, 1060.5)
    write(str(directory), first, full, SNAPSHOT_LIMIT_BYTES)
    write(str(directory), second, changes, SNAPSHOT_LIMIT_BYTES)


def _write(name: str, content: Any) -> None:
    (WIRE / name).write_text(json.dumps(content, indent=1, ensure_ascii=False) + "\n", encoding="utf-8")


if __name__ == "__main__":
    _write("constants.json", constants())
    _write("settings.json", settings())
    SNAPSHOT.mkdir(exist_ok=True)
    write_snapshot(SNAPSHOT)
