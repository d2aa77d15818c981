"""Golden samples of every message and stored record as the reference commit e82f744 encoded it, and their codecs.

`python -m tests.support.wire_samples [KEY]` rewrites all samples, or the sample of one key. It ran once, with the code
of that commit. It is run again only to add the sample of a new message: see `tests/data/wire/README.md`.
"""

from __future__ import annotations

import json
import pathlib
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct, inspect

from meadowcross.autoscaling.messages import (
    CreateMachinesRequest,
    ListedMachine,
    MachineIds,
    MachineListPage,
    MachineRecord,
    MachineType,
    MachineTypeList,
    decode_machine_ids,
    decode_machine_list,
    decode_machine_types,
)
from meadowcross.autoscaling.messages import decode_machine_record as decode_machine_record
from meadowcross.autoscaling.messages import encode as encode_cloud
from meadowcross.estimates.entry_summary import EntrySummary
from meadowcross.estimates.history import Run
from meadowcross.estimates.messages import DistributionRecord, EntryRecord, Version, decode_entry, decode_version
from meadowcross.estimates.messages import encode as encode_estimate
from meadowcross.estimates.replay import ClassScore, Score
from meadowcross.jobs.messages import (
    EndedRecord,
    JobRecord,
    JobResponse,
    JobSpec,
    decode_chunk,
    decode_ended,
    decode_spec,
)
from meadowcross.jobs.messages import decode_record as decode_job_record
from meadowcross.jobs.messages import encode as encode_job
from meadowcross.leadership.messages import (
    CancellationAck,
    CancellationNotice,
    ForwardRequest,
    ForwardResponse,
    LeaderRecord,
    PeerHeartbeat,
    ProgressRequest,
    ProgressResponse,
    decode_leader,
)
from meadowcross.leadership.messages import decode as decode_peer
from meadowcross.leadership.messages import encode as encode_peer
from meadowcross.openjd.api import Submission
from meadowcross.openjd.keys import IssuedCertificate
from meadowcross.openjd.plan import Plan, Step
from meadowcross.openjd.records import (
    Content,
    Member,
    StepRecord,
    TicketRecord,
    decode_content,
    decode_member,
    decode_ticket,
)
from meadowcross.openjd.records import encode as encode_ticket
from meadowcross.recovery.messages import RecoveryProgress, ReplicaPart, ReplicaPartRequest, StoreEpochRecord
from meadowcross.recovery.store_epochs import decode_epoch_record, decode_progress
from meadowcross.relay.messages import (
    CommandsAnswer,
    ForwardedCommands,
    ForwardedHeartbeat,
    HeartbeatAnswer,
    HeartbeatRenewals,
    RelayedWorkers,
    RelayGrant,
    ResendRequest,
)
from meadowcross.replication.messages import FullHintsRequest, Hints, LeadershipOffer, LeadershipOfferResponse
from meadowcross.snapshots.files import Manifest, SnapshotEntry
from meadowcross.store.messages import (
    Condition,
    ConflictResponse,
    Delete,
    Event,
    Item,
    LeaseRequest,
    LeaseResponse,
    Page,
    Put,
    RevisionResponse,
    Transaction,
    WatchResponse,
    decode_conflict,
    decode_item,
    decode_lease,
    decode_page,
    decode_revision,
    decode_watch,
)
from meadowcross.store.messages import encode as encode_store
from meadowcross.workers.messages import (
    Command,
    DirectCommands,
    Heartbeat,
    HeartbeatHeader,
    HeartbeatResponse,
    Redirect,
    TaskReport,
    decode_heartbeat,
    decode_heartbeat_header,
)
from meadowcross.workers.messages import encode as encode_worker

SAMPLES_FILE = pathlib.Path(__file__).parent.parent / "data" / "wire" / "messages.json"
REFERENCE_COMMIT = "e82f744"

EXAMPLE_OF_PATTERN = {
    r"^wk-[0-9]{6,18}$": "wk-123456",
    r"^[^:\s]+:\d{1,5}$": "host:1234",
}


class Codec(NamedTuple):
    """A message type with the functions that production code uses to decode and encode it."""

    message_type: Any
    decode: Callable[[bytes], Any]
    encode: Callable[[Any], bytes]


def _make_decoder(message_type: Any) -> Callable[[bytes], Any]:
    """A decoder for a message that production code only encodes."""
    return msgspec.json.Decoder(message_type).decode


CODECS: dict[str, Codec] = {
    "job.spec": Codec(JobSpec, decode_spec, encode_job),
    "job.record": Codec(JobRecord, decode_job_record, encode_job),
    "job.ended": Codec(EndedRecord, decode_ended, encode_job),
    "job.answer": Codec(JobResponse, _make_decoder(JobResponse), encode_job),
    "job.chunk": Codec(list[int | tuple[int, str]], decode_chunk, encode_job),
    "estimates.track": Codec(DistributionRecord, _make_decoder(DistributionRecord), encode_estimate),
    "estimates.entry": Codec(EntryRecord, decode_entry, encode_estimate),
    "estimates.version": Codec(Version, decode_version, encode_estimate),
    "estimates.run": Codec(Run, _make_decoder(Run), encode_estimate),
    "estimates.shown": Codec(EntrySummary, _make_decoder(EntrySummary), msgspec.json.encode),
    "estimates.score": Codec(Score, _make_decoder(Score), msgspec.json.encode),
    "estimates.class_score": Codec(ClassScore, _make_decoder(ClassScore), msgspec.json.encode),
    "relay.grant": Codec(RelayGrant, decode_peer, encode_peer),
    "relay.renewals": Codec(HeartbeatRenewals, decode_peer, encode_peer),
    "relay.resend": Codec(ResendRequest, decode_peer, encode_peer),
    "relay.held": Codec(RelayedWorkers, decode_peer, encode_peer),
    "relay.report_question": Codec(ForwardedHeartbeat, decode_peer, encode_peer),
    "relay.report_answer": Codec(HeartbeatAnswer, decode_peer, encode_peer),
    "relay.commands_question": Codec(ForwardedCommands, decode_peer, encode_peer),
    "relay.commands_answer": Codec(CommandsAnswer, decode_peer, encode_peer),
    "leadership.leader_record": Codec(LeaderRecord, decode_leader, encode_peer),
    "leadership.beat": Codec(PeerHeartbeat, decode_peer, encode_peer),
    "leadership.progress_question": Codec(ProgressRequest, decode_peer, encode_peer),
    "leadership.progress_answer": Codec(ProgressResponse, decode_peer, encode_peer),
    "leadership.forward": Codec(ForwardRequest, decode_peer, encode_peer),
    "leadership.forwarded": Codec(ForwardResponse, decode_peer, encode_peer),
    "leadership.cancels_question": Codec(CancellationNotice, decode_peer, encode_peer),
    "leadership.cancels_answer": Codec(CancellationAck, decode_peer, encode_peer),
    "replica.hints": Codec(Hints, decode_peer, encode_peer),
    "replica.hints_wanted": Codec(FullHintsRequest, decode_peer, encode_peer),
    "replica.handover_question": Codec(LeadershipOffer, decode_peer, encode_peer),
    "replica.handover_answer": Codec(LeadershipOfferResponse, decode_peer, encode_peer),
    "rebuild.era_record": Codec(StoreEpochRecord, decode_epoch_record, encode_peer),
    "rebuild.progress": Codec(RecoveryProgress, decode_progress, encode_peer),
    "rebuild.picture_wanted": Codec(ReplicaPartRequest, decode_peer, encode_peer),
    "rebuild.picture_part": Codec(ReplicaPart, decode_peer, encode_peer),
    "store.item": Codec(Item, decode_item, encode_store),
    "store.page": Codec(Page, decode_page, encode_store),
    "store.revision": Codec(RevisionResponse, decode_revision, encode_store),
    "store.conflict": Codec(ConflictResponse, decode_conflict, encode_store),
    "store.hold_answer": Codec(LeaseResponse, decode_lease, encode_store),
    "store.hold_request": Codec(LeaseRequest, _make_decoder(LeaseRequest), encode_store),
    "store.event": Codec(Event, _make_decoder(Event), encode_store),
    "store.events": Codec(WatchResponse, decode_watch, encode_store),
    "store.condition": Codec(Condition, _make_decoder(Condition), encode_store),
    "store.put": Codec(Put, _make_decoder(Put), encode_store),
    "store.drop": Codec(Delete, _make_decoder(Delete), encode_store),
    "worker.task_report": Codec(TaskReport, _make_decoder(TaskReport), encode_worker),
    "worker.report": Codec(Heartbeat, decode_heartbeat, encode_worker),
    "worker.reporter": Codec(HeartbeatHeader, decode_heartbeat_header, encode_worker),
    "worker.command": Codec(Command, _make_decoder(Command), encode_worker),
    "worker.response": Codec(HeartbeatResponse, _make_decoder(HeartbeatResponse), encode_worker),
    "worker.direct": Codec(DirectCommands, _make_decoder(DirectCommands), encode_worker),
    "worker.elsewhere": Codec(Redirect, _make_decoder(Redirect), encode_worker),
    "cloud.machine_type": Codec(MachineType, _make_decoder(MachineType), encode_cloud),
    "cloud.type_list": Codec(MachineTypeList, decode_machine_types, encode_cloud),
    "cloud.rental_request": Codec(CreateMachinesRequest, _make_decoder(CreateMachinesRequest), encode_cloud),
    "cloud.machine_names": Codec(MachineIds, decode_machine_ids, encode_cloud),
    "cloud.listed_machine": Codec(ListedMachine, _make_decoder(ListedMachine), encode_cloud),
    "cloud.machine_list": Codec(MachineListPage, decode_machine_list, encode_cloud),
    "cloud.machine_record": Codec(MachineRecord, decode_machine_record, encode_cloud),
    "snapshot.manifest": Codec(Manifest, _make_decoder(Manifest), msgspec.json.encode),
    "snapshot.line": Codec(SnapshotEntry, _make_decoder(SnapshotEntry), msgspec.json.Encoder().encode),
    "ticket.step_record": Codec(StepRecord, _make_decoder(StepRecord), encode_ticket),
    "ticket.record": Codec(TicketRecord, decode_ticket, encode_ticket),
    "ticket.content": Codec(Content, decode_content, encode_ticket),
    "ticket.member": Codec(Member, decode_member, encode_ticket),
    "ticket.submission": Codec(Submission, _make_decoder(Submission), encode_ticket),
    "ticket.issued": Codec(IssuedCertificate, _make_decoder(IssuedCertificate), encode_ticket),
    "ticket.plan_step": Codec(Step, _make_decoder(Step), encode_ticket),
    "ticket.plan": Codec(Plan, _make_decoder(Plan), encode_ticket),
}
"""Keyed by the fixed key of the message's sample, which does not follow the names in the code."""

ENCODED_ONLY: dict[str, type[Struct]] = {"store.transaction": Transaction}
"""Messages that can't be decoded: production code only encodes a Transaction, and it contains an untagged union. The
test builds it from the samples of its parts."""


def wire_names(message_type: Any) -> list[str]:
    """The encoded field names, in their order; empty if the type is not a Struct."""
    if not (isinstance(message_type, type) and issubclass(message_type, Struct)):
        return []
    return [member.encode_name for member in msgspec.structs.fields(message_type)]


class SampleMaker:
    """Builds a value of a given type; each number and text is unique in its sample and differs from the default."""

    def __init__(self) -> None:
        self._last_number = 0

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def build_full(self, kind: inspect.Type, default: Any = msgspec.NODEFAULT, name: str = "x") -> Any:
        """A value of the type with all optional fields set. Raises TypeError for a type that no message uses."""
        match kind:
            case inspect.Metadata():
                return self.build_full(kind.type, default, name)
            case inspect.BoolType():
                return default is not True
            case inspect.IntType():
                return (kind.ge or 0) + 1000 + self._next_number() if kind.le is None else self._next_number()
            case inspect.FloatType():
                return self._next_number() + 0.5 if kind.le is None or kind.le > 10 else 0.001 * self._next_number()
            case inspect.StrType():
                return EXAMPLE_OF_PATTERN[kind.pattern] if kind.pattern else f"{name} ü/{self._next_number()}"
            case inspect.NoneType():
                return None
            case inspect.EnumType():
                return [member.value for member in kind.cls if member != default][-1]
            case inspect.LiteralType():
                return [value for value in kind.values if value != default][-1]
            case inspect.RawType() | inspect.AnyType():
                return {name: [self._next_number(), None, "ü"]}
            case inspect.ListType():
                return [self.build_full(kind.item_type, name=name) for _ in range(2)]
            case inspect.TupleType():
                return [self.build_full(item, name=name) for item in kind.item_types]
            case inspect.NamedTupleType():
                return [self.build_full(field.type, name=field.encode_name) for field in kind.fields]
            case inspect.DictType():
                keys = [str(self.build_full(kind.key_type, name=name)) for _ in range(2)]
                return {key: self.build_full(kind.value_type, name=name) for key in keys}
            case inspect.UnionType():
                options = [option for option in kind.types if not isinstance(option, inspect.NoneType)]
                return self.build_full(options[0], default, name)
            case inspect.StructType():
                return self._record(kind, include_optional=True)
        raise TypeError(f"no sample for the type {kind}")

    def build_required(self, kind: inspect.StructType) -> Any:
        """A record with only the fields that have no default."""
        return self._record(kind, include_optional=False)

    def _record(self, kind: inspect.StructType, include_optional: bool) -> Any:
        fields = [field for field in kind.fields if include_optional or field.required]
        values = {field.encode_name: self.build_full(field.type, field.default, field.encode_name) for field in fields}
        if kind.array_like:
            return list(values.values())
        return ({kind.tag_field: kind.tag} if kind.tag_field is not None else {}) | values


def make_sample(codec: Codec) -> dict[str, Any]:
    """The sample of one message: its encoded texts and its encoded field names."""
    wire_type = inspect.type_info(codec.message_type)
    if not isinstance(wire_type, inspect.StructType):
        full = [3, [4, "w/ü"], 0, [7, "machine"]]
        return {"full": reencode(codec, json.dumps(full)), "names": []}
    required = json.dumps(SampleMaker().build_required(wire_type))
    return {
        "full": reencode(codec, json.dumps(SampleMaker().build_full(wire_type))),
        "required": required,
        "required_encoded": reencode(codec, required),
        "names": wire_names(codec.message_type),
    }


def reencode(codec: Codec, text: str) -> str:
    """The text that production code writes after it has decoded `text`."""
    return codec.encode(codec.decode(text.encode())).decode()


def make_transaction(samples: dict[str, Any]) -> Transaction:
    """A transaction with a condition, a put with a lease, a put without one, and a delete."""
    condition = CODECS["store.condition"].decode(samples["store.condition"]["full"].encode())
    puts = [CODECS["store.put"].decode(samples["store.put"][text].encode()) for text in ("full", "required")]
    drop = CODECS["store.drop"].decode(samples["store.drop"]["full"].encode())
    return Transaction([condition], [*puts, drop])


def read_samples() -> dict[str, Any]:
    """The stored samples by key."""
    samples: dict[str, Any] = json.loads(SAMPLES_FILE.read_text(encoding="utf-8"))["samples"]
    return samples


def main(keys: list[str]) -> None:
    """Writes the samples of these keys; without keys, all samples."""
    samples = read_samples() if keys else {}
    for key in keys or CODECS:
        samples[key] = make_sample(CODECS[key])
    if not keys:
        transaction = encode_store(make_transaction(samples)).decode()
        samples["store.transaction"] = {"full": transaction, "names": wire_names(Transaction)}
    content = {"made_by": f"the code of commit {REFERENCE_COMMIT}", "samples": samples}
    SAMPLES_FILE.write_text(json.dumps(content, indent=1, ensure_ascii=False) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main(sys.argv[1:])
