"""Golden samples of stored keys, enumeration values, tokens, settings files and a snapshot, which are not messages.

`python -m tests.support.wire_constants` wrote them once, with the code of the reference commit e82f744.
"""

from __future__ import annotations

import json
import pathlib
from enum import Enum
from typing import Any

import msgspec
from msgspec import Raw

from meadowcross.autoscaling.messages import MACHINE_KEY_PREFIX, MACHINE_TYPES_KEY, machine_key
from meadowcross.common.settings import (
    OperatorSettings,
    RelayMode,
    load_operator_settings,
    load_settings,
    settings_digest,
)
from meadowcross.common.types import (
    JobId,
    MachineId,
    NodeName,
    Revision,
    TaskId,
    compose_token,
    revision_of,
    store_epoch_of,
)
from meadowcross.estimates.messages import class_entry_name, completion_entry_name, store_key, team_entry_name
from meadowcross.jobs.messages import (
    CHUNK_PREFIX,
    ENDED_PREFIX,
    OPEN_PREFIX,
    JobKind,
    JobState,
    Priority,
    chunk_key,
    chunk_prefix,
    parse_chunk_key,
)
from meadowcross.jobs.messages import ended_key as ended_job_key
from meadowcross.jobs.messages import open_key as open_job_key
from meadowcross.openjd.gateway import load_gateway_settings
from meadowcross.openjd.records import (
    Partition,
    StepState,
    TicketState,
    claim_key,
    digest_of,
    partition_of,
    piece_key,
    ticket_id,
)
from meadowcross.openjd.records import ended_key as ended_ticket_key
from meadowcross.openjd.records import open_key as open_ticket_key
from meadowcross.openjd.site import load_site as load_submitters
from meadowcross.recovery.messages import EPOCH_KEY, LEADER_KEY, RECOVERY_PROGRESS_KEY, RecoveryStage
from meadowcross.relay.messages import DeliveryOutcome
from meadowcross.snapshots.files import SnapshotEntry, SnapshotHeader, write_snapshot
from meadowcross.workers.messages import (
    EXIT_DONE,
    EXIT_ERROR,
    EXIT_GANG_INCOMPLETE,
    EXIT_GANG_LOST,
    EXIT_NO_ROOM,
    EXIT_STOPPED,
    EXIT_UNKNOWN_JOB,
    TaskState,
)

WIRE = pathlib.Path(__file__).parent.parent / "data" / "wire"
SNAPSHOT = WIRE / "snapshot"
SNAPSHOT_LIMIT_BYTES = 1_000_000

_ENUMERATIONS: dict[str, type[Enum]] = {
    "job.kind": JobKind,
    "job.priority": Priority,
    "job.standing": JobState,
    "worker.task_state": TaskState,
    "relay.outcome": DeliveryOutcome,
    "rebuild.stage": RecoveryStage,
    "ticket.step_state": StepState,
    "ticket.state": TicketState,
    "settings.relays": RelayMode,
}


def build_stored_keys() -> dict[str, Any]:
    """One key of each kind in the store, under a fixed name that does not follow the names in the code."""
    job = JobId("wk-123456")
    ticket = ticket_id("studio", "key-1")
    return {
        "leader": LEADER_KEY,
        "era": EPOCH_KEY,
        "rebuild": RECOVERY_PROGRESS_KEY,
        "types": MACHINE_TYPES_KEY,
        "job.prefixes": [OPEN_PREFIX, ENDED_PREFIX, CHUNK_PREFIX],
        "job.open": open_job_key(job),
        "job.ended": ended_job_key(job),
        "job.chunk": chunk_key(job, 17),
        "job.chunks": chunk_prefix(job),
        "job.chunk_parsed": parse_chunk_key(chunk_key(job, 17)),
        "machine.prefix": MACHINE_KEY_PREFIX,
        "machine": machine_key(MachineId("m-1")),
        "estimates.class": store_key(class_entry_name("render")),
        "estimates.class_hashed": store_key(class_entry_name("render ü" * 20)),
        "estimates.team": store_key(team_entry_name("blue")),
        "estimates.finish": store_key(completion_entry_name("half")),
        "ticket.id": ticket,
        "ticket.partition": partition_of(ticket),
        "ticket.open": open_ticket_key(ticket),
        "ticket.ended": ended_ticket_key(ticket),
        "ticket.piece": piece_key(ticket, digest_of("document", {"b": "2", "a": "1"}), 3),
        "ticket.claim": claim_key(Partition(7)),
    }


def collect_constants() -> dict[str, Any]:
    """All constants that are sent or stored, as plain JSON values."""
    token = compose_token(3, Revision(77))
    values = {
        "keys": build_stored_keys(),
        "values": {key: [member.value for member in kind] for key, kind in _ENUMERATIONS.items()},
        "reasons": [
            EXIT_DONE,
            EXIT_ERROR,
            EXIT_NO_ROOM,
            EXIT_UNKNOWN_JOB,
            EXIT_GANG_LOST,
            EXIT_GANG_INCOMPLETE,
            EXIT_STOPPED,
        ],
        "tokens": [token, store_epoch_of(token), revision_of(token), compose_token(0, Revision(5))],
        "task": str(TaskId(JobId("wk-123456"), 12)),
    }
    plain: dict[str, Any] = json.loads(json.dumps(values))
    return plain


def collect_settings() -> dict[str, Any]:
    """The values read from each settings file, under the encoded names of the fields."""
    platform, operator = load_settings(str(WIRE / "settings.toml")), load_operator_settings(str(WIRE / "operator.xml"))
    values = {
        "settings.toml": platform,
        "operator.xml": operator,
        "tickets.xml": load_submitters(str(WIRE / "tickets.xml")),
        "gateway.xml": load_gateway_settings(str(WIRE / "gateway.xml")),
        "operator defaults": OperatorSettings(),
        "digest": settings_digest(platform, operator),
        "digest of defaults": settings_digest(platform, OperatorSettings()),
    }
    plain: dict[str, Any] = json.loads(msgspec.json.encode(values))
    return plain


def write_sample_snapshot(directory: pathlib.Path) -> None:
    """Writes a full snapshot and the incremental snapshot that follows it."""
    full = [
        SnapshotEntry("j/wk-123456", Revision(5), Raw(b'{"a":1}')),
        SnapshotEntry("w/m-1", Revision(7), Raw(b"[2]")),
    ]
    changes = [
        SnapshotEntry("e/wk-123456", Revision(12), Raw(b'{"s":"done","n":1}')),
        SnapshotEntry("j/wk-123456", Revision(12), Raw(b"null"), True),
    ]
    node = NodeName("controller-0")
    first = SnapshotHeader(2, Revision(9), Revision(0), node, 1000.5)
    second = SnapshotHeader(2, Revision(14), Revision(9), node, 1060.5)
    write_snapshot(str(directory), first, full, SNAPSHOT_LIMIT_BYTES)
    write_snapshot(str(directory), second, changes, SNAPSHOT_LIMIT_BYTES)


def _write(name: str, content: Any) -> None:
    (WIRE / name).write_text(json.dumps(content, indent=1, ensure_ascii=False) + "\n", encoding="utf-8")


if __name__ == "__main__":
    _write("constants.json", collect_constants())
    _write("settings.json", collect_settings())
    SNAPSHOT.mkdir(exist_ok=True)
    write_sample_snapshot(SNAPSHOT)
