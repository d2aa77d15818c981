"""Golden samples: every message and stored record as commit e82f744 wrote it, with its production encoder and decoder.

`python -m tests.support.wire_samples [KEY]` writes the samples anew, or that of one key. It was run once, on the code
of that commit. It is only run again for a message that is added on purpose: see `tests/data/wire/README.md`.
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
LAST_COMMIT_BEFORE = "e82f744"

TEXT_OF_PATTERN = {
    r"^wk-[0-9]{6,18}$": "wk-123456",
    r"^[^:\s]+:\d{1,5}$": "host:1234",
}


class Codec(NamedTuple):
    """A message with the functions by which production reads and writes it."""

    message_type: Any
    decode: Callable[[bytes], Any]
    encode: Callable[[Any], bytes]


def _decoder(message_type: Any) -> Callable[[bytes], Any]:
    """For what production only writes."""
    return msgspec.json.Decoder(message_type).decode


CODECS: dict[str, Codec] = {
    "job.spec": Codec(JobSpec, decode_spec, encode_job),
    "job.record": Codec(JobRecord, decode_job_record, encode_job),
    "job.ended": Codec(EndedRecord, decode_ended, encode_job),
    "job.answer": Codec(JobResponse, _decoder(JobResponse), encode_job),
    "job.chunk": Codec(list[int | tuple[int, str]], decode_chunk, encode_job),
    "estimates.track": Codec(DistributionRecord, _decoder(DistributionRecord), encode_estimate),
    "estimates.entry": Codec(EntryRecord, decode_entry, encode_estimate),
    "estimates.version": Codec(Version, decode_version, encode_estimate),
    "estimates.run": Codec(Run, _decoder(Run), encode_estimate),
    "estimates.shown": Codec(EntrySummary, _decoder(EntrySummary), msgspec.json.encode),
    "estimates.score": Codec(Score, _decoder(Score), msgspec.json.encode),
    "estimates.class_score": Codec(ClassScore, _decoder(ClassScore), msgspec.json.encode),
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
    "store.hold_request": Codec(LeaseRequest, _decoder(LeaseRequest), encode_store),
    "store.event": Codec(Event, _decoder(Event), encode_store),
    "store.events": Codec(WatchResponse, decode_watch, encode_store),
    "store.condition": Codec(Condition, _decoder(Condition), encode_store),
    "store.put": Codec(Put, _decoder(Put), encode_store),
    "store.drop": Codec(Delete, _decoder(Delete), encode_store),
    "worker.task_report": Codec(TaskReport, _decoder(TaskReport), encode_worker),
    "worker.report": Codec(Heartbeat, decode_heartbeat, encode_worker),
    "worker.reporter": Codec(HeartbeatHeader, decode_heartbeat_header, encode_worker),
    "worker.command": Codec(Command, _decoder(Command), encode_worker),
    "worker.response": Codec(HeartbeatResponse, _decoder(HeartbeatResponse), encode_worker),
    "worker.direct": Codec(DirectCommands, _decoder(DirectCommands), encode_worker),
    "worker.elsewhere": Codec(Redirect, _decoder(Redirect), encode_worker),
    "cloud.machine_type": Codec(MachineType, _decoder(MachineType), encode_cloud),
    "cloud.type_list": Codec(MachineTypeList, decode_machine_types, encode_cloud),
    "cloud.rental_request": Codec(CreateMachinesRequest, _decoder(CreateMachinesRequest), encode_cloud),
    "cloud.machine_names": Codec(MachineIds, decode_machine_ids, encode_cloud),
    "cloud.listed_machine": Codec(ListedMachine, _decoder(ListedMachine), encode_cloud),
    "cloud.machine_list": Codec(MachineListPage, decode_machine_list, encode_cloud),
    "cloud.machine_record": Codec(MachineRecord, decode_machine_record, encode_cloud),
    "snapshot.manifest": Codec(Manifest, _decoder(Manifest), msgspec.json.encode),
    "snapshot.line": Codec(SnapshotEntry, _decoder(SnapshotEntry), msgspec.json.Encoder().encode),
    "ticket.step_record": Codec(StepRecord, _decoder(StepRecord), encode_ticket),
    "ticket.record": Codec(TicketRecord, decode_ticket, encode_ticket),
    "ticket.content": Codec(Content, decode_content, encode_ticket),
    "ticket.member": Codec(Member, decode_member, encode_ticket),
    "ticket.submission": Codec(Submission, _decoder(Submission), encode_ticket),
    "ticket.issued": Codec(IssuedCertificate, _decoder(IssuedCertificate), encode_ticket),
    "ticket.plan_step": Codec(Step, _decoder(Step), encode_ticket),
    "ticket.plan": Codec(Plan, _decoder(Plan), encode_ticket),
}
"""By the fixed key of its samples, which does not follow the names in the code."""

ENCODED_ONLY: dict[str, type[Struct]] = {"store.transaction": Transaction}
"""Production only writes it, and its untagged union can't be read: the test builds it from samples of its parts."""


def wire_names(message_type: Any) -> list[str]:
    """The names on the wire, in their order; none for what is no record."""
    if not (isinstance(message_type, type) and issubclass(message_type, Struct)):
        return []
    return [member.encode_name for member in msgspec.structs.fields(message_type)]


class SampleMaker:
    """Builds wire values by type; each number and text differs from all others of its sample and from the defaults."""

    def __init__(self) -> None:
        self._last = 0

    def _next(self) -> int:
        self._last += 1
        return self._last

    def full(self, kind: inspect.Type, default: Any = msgspec.NODEFAULT, name: str = "x") -> Any:
        """A value with everything in it that the type may hold."""
        match kind:
            case inspect.Metadata():
                return self.full(kind.type, default, name)
            case inspect.BoolType():
                return default is not True
            case inspect.IntType():
                return (kind.ge or 0) + 1000 + self._next() if kind.le is None else self._next()
            case inspect.FloatType():
                return self._next() + 0.5 if kind.le is None or kind.le > 10 else 0.001 * self._next()
            case inspect.StrType():
                return TEXT_OF_PATTERN[kind.pattern] if kind.pattern else f"{name} ü/{self._next()}"
            case inspect.NoneType():
                return None
            case inspect.EnumType():
                return [member.value for member in kind.cls if member != default][-1]
            case inspect.LiteralType():
                return [value for value in kind.values if value != default][-1]
            case inspect.RawType() | inspect.AnyType():
                return {name: [self._next(), None, "ü"]}
            case inspect.ListType():
                return [self.full(kind.item_type, name=name) for _ in range(2)]
            case inspect.TupleType():
                return [self.full(item, name=name) for item in kind.item_types]
            case inspect.NamedTupleType():
                return [self.full(member.type, name=member.encode_name) for member in kind.fields]
            case inspect.DictType():
                keys = [str(self.full(kind.key_type, name=name)) for _ in range(2)]
                return {key: self.full(kind.value_type, name=name) for key in keys}
            case inspect.UnionType():
                options = [option for option in kind.types if not isinstance(option, inspect.NoneType)]
                return self.full(options[0], default, name)
            case inspect.StructType():
                return self._record(kind, whole=True)
        raise TypeError(f"no sample of {kind}")

    def required(self, kind: inspect.StructType) -> Any:
        """Only the fields that have no default."""
        return self._record(kind, whole=False)

    def _record(self, kind: inspect.StructType, whole: bool) -> Any:
        members = [member for member in kind.fields if whole or member.required]
        values = {member.encode_name: self.full(member.type, member.default, member.encode_name) for member in members}
        if kind.array_like:
            return list(values.values())
        return ({kind.tag_field: kind.tag} if kind.tag_field is not None else {}) | values


def make_sample(codec: Codec) -> dict[str, Any]:
    """The sample of one message: the exact texts, and its names on the wire."""
    kind = inspect.type_info(codec.message_type)
    if not isinstance(kind, inspect.StructType):
        full = [3, [4, "w/ü"], 0, [7, "machine"]]
        return {"full": encode_again(codec, json.dumps(full)), "names": []}
    required = json.dumps(SampleMaker().required(kind))
    return {
        "full": encode_again(codec, json.dumps(SampleMaker().full(kind))),
        "required": required,
        "required_encoded": encode_again(codec, required),
        "names": wire_names(codec.message_type),
    }


def encode_again(codec: Codec, text: str) -> str:
    """What production writes after it has read this."""
    return codec.encode(codec.decode(text.encode())).decode()


def make_transaction(samples: dict[str, Any]) -> Transaction:
    """A transaction with a condition, a write with and one without a time-bound attachment, and a drop."""
    condition = CODECS["store.condition"].decode(samples["store.condition"]["full"].encode())
    puts = [CODECS["store.put"].decode(samples["store.put"][which].encode()) for which in ("full", "required")]
    drop = CODECS["store.drop"].decode(samples["store.drop"]["full"].encode())
    return Transaction([condition], [*puts, drop])


def read_samples() -> dict[str, Any]:
    samples: dict[str, Any] = json.loads(SAMPLES_FILE.read_text(encoding="utf-8"))["samples"]
    return samples


def main(keys: list[str]) -> None:
    samples = read_samples() if keys else {}
    for key in keys or CODECS:
        samples[key] = make_sample(CODECS[key])
    if not keys:
        transaction = encode_store(make_transaction(samples)).decode()
        samples["store.transaction"] = {"full": transaction, "names": wire_names(Transaction)}
    content = {"made_by": f"the code of commit {LAST_COMMIT_BEFORE}", "samples": samples}
    SAMPLES_FILE.write_text(json.dumps(content, indent=1, ensure_ascii=False) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main(sys.argv[1:])
