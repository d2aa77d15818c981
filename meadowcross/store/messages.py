"""What the state service and a node exchange; its wire names stay in this file."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Raw, Struct, field

from meadowcross.common.types import LeaseId, Revision


class Item(Struct):
    key: str
    value: Raw = field(name="data")
    mod_revision: Revision = field(name="mark")
    lease_id: LeaseId | None = field(name="tether", default=None)


class Page(Struct):
    items: list[Item]
    revision: Revision = field(name="ledger")
    has_more: bool = field(name="hasNext", default=False)


class RevisionResponse(Struct):
    revision: Revision = field(name="ledger")


class ConflictResponse(Struct):
    failed_keys: list[str] = field(name="failed", default_factory=list)
    revision: Revision | None = field(name="ledger", default=None)


class LeaseResponse(Struct):
    lease_id: LeaseId = field(name="tether")


class Event(Struct):
    """A change seen by a watch: a write with its value, or a drop."""

    written_key: str | None = field(name="write", default=None)
    deleted_key: str | None = field(name="drop", default=None)
    value: Raw = field(name="data", default=Raw(b"null"))
    mod_revision: Revision = field(name="mark", default=Revision(0))

    @property
    def key(self) -> str:
        return self.written_key or self.deleted_key or ""


class WatchResponse(Struct):
    revision: Revision = field(name="ledger")
    events: list[Event] = field(name="news", default_factory=list)


class Condition(Struct, frozen=True):
    """The key must have this version; 0: it must not exist."""

    key: str
    mod_revision: Revision = field(name="mark")


class Put(Struct, omit_defaults=True, frozen=True):
    key: str = field(name="write")
    value: Raw = field(name="data")
    lease_id: LeaseId | None = field(name="tether", default=None)


class Delete(Struct, frozen=True):
    key: str = field(name="drop")


class Transaction(Struct):
    conditions: list[Condition] = field(name="if")
    changes: list[Put | Delete | dict[str, Any]] = field(name="writes")


class LeaseRequest(Struct):
    ttl_ms: int = field(name="ttlMs")


encode = msgspec.json.Encoder().encode


def encode_raw(value: Any) -> Raw:
    return Raw(encode(value))


decode_item = msgspec.json.Decoder(Item).decode
decode_page = msgspec.json.Decoder(Page).decode
decode_revision = msgspec.json.Decoder(RevisionResponse).decode
decode_conflict = msgspec.json.Decoder(ConflictResponse).decode
decode_lease = msgspec.json.Decoder(LeaseResponse).decode
decode_watch = msgspec.json.Decoder(WatchResponse).decode
