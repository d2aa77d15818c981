"""A picture of the store: each key with its version and value, complete up to a revision.

Versions only grow, so what is older than the picture never undoes what is newer. The picture is for reading
faster; whatever is decided from it is written under conditions that the store checks.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from msgspec import Raw

from meadowcross.common.types import Revision
from meadowcross.store.messages import Event, Item

KEY_PREFIXES = ("j/", "t/", "w/", "e/")
OTHER_KEYS = ""
MAX_REMEMBERED_COUNTS = 500
"""Of so many revisions the counts are kept, to be compared with what another node says of one of them."""
ENTRY_OVERHEAD_BYTES = 220
"""Bytes of an entry beside its key and value, about: objects of this process, not what is sent."""


class KeyCounts(NamedTuple):
    """How many keys of each family there are."""

    open_jobs: int
    chunks: int
    machines: int
    ended_jobs: int


class StoreReplica:
    def __init__(self) -> None:
        self.revision = Revision(0)
        """All changes up to it are in; some later ones may be."""
        self.newest_revision = Revision(0)
        """The highest version of any key that it has, or had."""
        self.size_bytes = 0
        """In bytes, about."""
        self._items_by_prefix: dict[str, dict[str, Item]] = {name: {} for name in (*KEY_PREFIXES, OTHER_KEYS)}
        self._counts_by_revision: OrderedDict[Revision, KeyCounts] = OrderedDict()

    def _items_beside(self, key: str) -> dict[str, Item]:
        return self._items_by_prefix.get(key[:2], self._items_by_prefix[OTHER_KEYS])

    def get(self, key: str) -> Item | None:
        return self._items_beside(key).get(key)

    def items_under(self, prefix: str) -> list[Item]:
        """Of `j/`, `t/`, `w/` or `e/`; of all other keys with the empty name."""
        return list(self._items_by_prefix[prefix].values())

    def all_items(self) -> Iterator[Item]:
        for items_by_key in self._items_by_prefix.values():
            yield from list(items_by_key.values())

    def items_after(self, key: str) -> list[Item]:
        """All items whose keys come after this one, in order."""
        return sorted((item for item in self.all_items() if item.key > key), key=lambda item: item.key)

    def put(self, key: str, value: Raw, revision: Revision) -> None:
        self.newest_revision = max(self.newest_revision, revision)
        items_by_key = self._items_beside(key)
        current = items_by_key.get(key)
        if current is not None:
            if current.mod_revision >= revision:
                return
            self.size_bytes -= len(bytes(current.value))
        else:
            self.size_bytes += ENTRY_OVERHEAD_BYTES + len(key)
        content = bytes(value)
        # A copy: the value as received is a view that would keep the whole answer alive.
        items_by_key[key] = Item(key, Raw(content), revision)
        self.size_bytes += len(content)

    def drop(self, key: str, revision: Revision) -> None:
        self.newest_revision = max(self.newest_revision, revision)
        items_by_key = self._items_beside(key)
        current = items_by_key.get(key)
        if current is not None and current.mod_revision < revision:
            del items_by_key[key]
            self.size_bytes -= ENTRY_OVERHEAD_BYTES + len(key) + len(bytes(current.value))

    def load(self, items: Iterable[Item], revision: Revision) -> None:
        """A full read, begun at this revision."""
        for item in items:
            self.put(item.key, item.value, item.mod_revision)
        self.revision = revision

    def apply_events(self, events: Iterable[Event], revision: Revision) -> bool:
        """All changes since `self.revision`, up to `revision`; False where that is nothing new. An answer
        that came after a newer one is left out whole: its writes may have been dropped since."""
        if revision <= self.revision:
            return False
        previous_revision = Revision(0)
        for event in events:
            if event.mod_revision > previous_revision > 0:
                self._remember_counts(previous_revision)
            previous_revision = event.mod_revision
            if event.written_key is not None:
                self.put(event.written_key, event.value, event.mod_revision)
            elif event.deleted_key is not None:
                self.drop(event.deleted_key, event.mod_revision)
        self.revision = revision
        self._remember_counts(revision)
        return True

    def _remember_counts(self, revision: Revision) -> None:
        self._counts_by_revision[revision] = self.counts()
        while len(self._counts_by_revision) > MAX_REMEMBERED_COUNTS:
            self._counts_by_revision.popitem(last=False)

    def counts(self) -> KeyCounts:
        return KeyCounts(*(len(self._items_by_prefix[name]) for name in KEY_PREFIXES))

    def counts_at(self, revision: Revision) -> KeyCounts | None:
        """The counts just after that revision, where they are still known."""
        return self._counts_by_revision.get(revision)
