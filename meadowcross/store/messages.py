"""Messages between the state service and a node; only this module uses the field names of the service."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Raw, Struct, field

from meadowcross.common.types import LeaseId, Revision


class Item(Struct):
    """A stored key with its value; `mod_revision` is the revision of the key's last change."""

    key: str
    value: Raw = field(name="data")
    mod_revision: Revision = field(name="mark")
    lease_id: LeaseId | None = field(name="tether", default=None)


class Page(Struct):
    """One page of a listing, in key order; `revision` is the revision of the store when the page was read."""

    items: list[Item]
    revision: Revision = field(name="ledger")
    has_more: bool = field(name="hasNext", default=False)


class RevisionResponse(Struct):
    """The answer to a transaction that was applied, with the revision of its changes."""

    revision: Revision = field(name="ledger")


class ConflictResponse(Struct):
    """The answer to a transaction that was not applied, with the keys whose conditions failed."""

    failed_keys: list[str] = field(name="failed", default_factory=list)
    revision: Revision | None = field(name="ledger", default=None)


class LeaseResponse(Struct):
    """The answer to a request for a lease."""

    lease_id: LeaseId = field(name="tether")


class Event(Struct):
    """A change reported by a watch: a key that was written, with its value, or one that was deleted."""

    written_key: str | None = field(name="write", default=None)
    deleted_key: str | None = field(name="drop", default=None)
    value: Raw = field(name="data", default=Raw(b"null"))
    mod_revision: Revision = field(name="mark", default=Revision(0))

    @property
    def key(self) -> str:
        """The key that changed."""
        return self.written_key or self.deleted_key or ""


class WatchResponse(Struct):
    """Changes since the watched revision, and the revision up to which they are complete."""

    revision: Revision = field(name="ledger")
    events: list[Event] = field(name="news", default_factory=list)


class Condition(Struct, frozen=True):
    """Requires that a key was last changed at this revision; 0: that it does not exist."""

    key: str
    mod_revision: Revision = field(name="mark")


class Put(Struct, omit_defaults=True, frozen=True):
    """Writes a key. A key with a lease is deleted when the lease ends."""

    key: str = field(name="write")
    value: Raw = field(name="data")
    lease_id: LeaseId | None = field(name="tether", default=None)


class Delete(Struct, frozen=True):
    """Deletes a key."""

    key: str = field(name="drop")


Change = Put | Delete


class Transaction(Struct):
    """Changes that the service applies together if all conditions hold, and otherwise not at all."""

    conditions: list[Condition] = field(name="if")
    changes: list[Put | Delete | dict[str, Any]] = field(name="writes")


class LeaseRequest(Struct):
    """Requests a lease that ends unless it is renewed within its time to live, in milliseconds."""

    ttl_ms: int = field(name="ttlMs")


encode = msgspec.json.Encoder().encode


def encode_raw(value: Any) -> Raw:
    """Encode a value as the raw JSON that a `Put` carries."""
    return Raw(encode(value))


decode_item = msgspec.json.Decoder(Item).decode
decode_page = msgspec.json.Decoder(Page).decode
decode_revision = msgspec.json.Decoder(RevisionResponse).decode
decode_conflict = msgspec.json.Decoder(ConflictResponse).decode
decode_lease = msgspec.json.Decoder(LeaseResponse).decode
decode_watch = msgspec.json.Decoder(WatchResponse).decode
