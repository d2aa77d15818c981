"""What the state service and a node exchange; its wire names stay in this file."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Raw, Struct, field

from meadowcross.common.types import HoldId, Mark


class Item(Struct):
    key: str
    value: Raw = field(name="data")
    mark: Mark
    hold: HoldId | None = field(name="tether", default=None)


class Page(Struct):
    items: list[Item]
    revision: Mark = field(name="ledger")
    more: bool = field(name="hasNext", default=False)


class Revision(Struct):
    revision: Mark = field(name="ledger")


class Conflict(Struct):
    failed: list[str] = []
    revision: Mark | None = field(name="ledger", default=None)


class HoldAnswer(Struct):
    hold: HoldId = field(name="tether")


class Event(Struct):
    """A change seen by a watch: a write with its value, or a drop."""

    written: str | None = field(name="write", default=None)
    dropped: str | None = field(name="drop", default=None)
    value: Raw = field(name="data", default=Raw(b"null"))
    mark: Mark = Mark(0)

    @property
    def key(self) -> str:
        return self.written or self.dropped or ""


class Events(Struct):
    revision: Mark = field(name="ledger")
    events: list[Event] = field(name="news", default_factory=list)


class Condition(Struct, frozen=True):
    """The key must have this version; 0: it must not exist."""

    key: str
    mark: Mark


class Put(Struct, omit_defaults=True, frozen=True):
    key: str = field(name="write")
    value: Raw = field(name="data")
    hold: HoldId | None = field(name="tether", default=None)


class Drop(Struct, frozen=True):
    key: str = field(name="drop")


class Transaction(Struct):
    conditions: list[Condition] = field(name="if")
    changes: list[Put | Drop | dict[str, Any]] = field(name="writes")


class HoldRequest(Struct):
    ttl_ms: int = field(name="ttlMs")


encode = msgspec.json.Encoder().encode


def raw(value: Any) -> Raw:
    return Raw(encode(value))


decode_item = msgspec.json.Decoder(Item).decode
decode_page = msgspec.json.Decoder(Page).decode
decode_revision = msgspec.json.Decoder(Revision).decode
decode_conflict = msgspec.json.Decoder(Conflict).decode
decode_hold = msgspec.json.Decoder(HoldAnswer).decode
decode_events = msgspec.json.Decoder(Events).decode
