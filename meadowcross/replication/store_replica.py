"""Keeps a replica of the store in memory: each key with its revision and value, complete up to a revision.

A change is applied only if its revision is higher than that of the key, so a late change never undoes a newer one.
The replica makes reads faster; decisions based on it are written under conditions that the store checks.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from msgspec import Raw

from meadowcross.common.types import Revision
from meadowcross.store.messages import Event, Item

KEY_PREFIXES = ("j/", "t/", "w/", "e/")
"""Prefixes of open jobs, chunks of tasks, machines and ended jobs, in the order of `KeyCounts`."""
OTHER_KEYS = ""
"""Represents all keys with none of `KEY_PREFIXES`."""
MAX_REMEMBERED_COUNTS = 500
"""Number of revisions whose counts are kept for comparison with the counts that another node reports."""
ENTRY_OVERHEAD_BYTES = 220
"""Approximate memory that an item takes in this process in addition to its key and value."""


class KeyCounts(NamedTuple):
    """The number of keys with each of `KEY_PREFIXES`."""

    open_jobs: int
    chunks: int
    machines: int
    ended_jobs: int


class StoreReplica:
    """The items of the store by key, and the revision up to which they are complete."""

    def __init__(self) -> None:
        self.revision = Revision(0)
        """All changes up to this revision are applied; some later ones may be, too."""
        self.newest_revision = Revision(0)
        """The highest revision of any change that was received, including deletions."""
        self.size_bytes = 0
        """Approximate memory that the items take."""
        self._items_by_prefix: dict[str, dict[str, Item]] = {name: {} for name in (*KEY_PREFIXES, OTHER_KEYS)}
        self._counts_by_revision: OrderedDict[Revision, KeyCounts] = OrderedDict()

    def _items_with_prefix_of(self, key: str) -> dict[str, Item]:
        """Return the items whose keys have the same prefix as this key."""
        return self._items_by_prefix.get(key[:2], self._items_by_prefix[OTHER_KEYS])

    def get(self, key: str) -> Item | None:
        """Return the key's item, or None if the replica has none."""
        return self._items_with_prefix_of(key).get(key)

    def items_under(self, prefix: str) -> list[Item]:
        """Return the items with one of `KEY_PREFIXES`, or those of `OTHER_KEYS`."""
        return list(self._items_by_prefix[prefix].values())

    def all_items(self) -> Iterator[Item]:
        """Yield all items, prefix by prefix; the replica may change during the iteration."""
        for items_by_key in self._items_by_prefix.values():
            yield from list(items_by_key.values())

    def items_after(self, key: str) -> list[Item]:
        """Return all items whose keys come after this key, in key order."""
        return sorted((item for item in self.all_items() if item.key > key), key=lambda item: item.key)

    def put(self, key: str, value: Raw, revision: Revision) -> None:
        """Apply a write of the key at this revision; ignored if the replica has the key at this or a newer revision."""
        self.newest_revision = max(self.newest_revision, revision)
        items_by_key = self._items_with_prefix_of(key)
        current = items_by_key.get(key)
        if current is not None:
            if current.mod_revision >= revision:
                return
            self.size_bytes -= len(bytes(current.value))
        else:
            self.size_bytes += ENTRY_OVERHEAD_BYTES + len(key)
        content = bytes(value)
        # The value is copied, because the received value is a view that would keep the whole response in memory.
        items_by_key[key] = Item(key, Raw(content), revision)
        self.size_bytes += len(content)

    def delete(self, key: str, revision: Revision) -> None:
        """Apply a deletion of the key at this revision; ignored if the key was written at this or a newer revision."""
        self.newest_revision = max(self.newest_revision, revision)
        items_by_key = self._items_with_prefix_of(key)
        current = items_by_key.get(key)
        if current is not None and current.mod_revision < revision:
            del items_by_key[key]
            self.size_bytes -= ENTRY_OVERHEAD_BYTES + len(key) + len(bytes(current.value))

    def load(self, items: Iterable[Item], revision: Revision) -> None:
        """Apply the items of a full read that began at this revision."""
        for item in items:
            self.put(item.key, item.value, item.mod_revision)
        self.revision = revision

    def apply_events(self, events: Iterable[Event], revision: Revision) -> None:
        """Apply all changes since `self.revision`, up to `revision`.

        A response that is older than the replica is ignored as a whole, because a key that it writes may have been
        deleted since.
        """
        if revision <= self.revision:
            return
        previous_revision = Revision(0)
        for event in events:
            if event.mod_revision > previous_revision > 0:
                self._remember_counts(previous_revision)
            previous_revision = event.mod_revision
            if event.written_key is not None:
                self.put(event.written_key, event.value, event.mod_revision)
            elif event.deleted_key is not None:
                self.delete(event.deleted_key, event.mod_revision)
        self.revision = revision
        self._remember_counts(revision)

    def _remember_counts(self, revision: Revision) -> None:
        self._counts_by_revision[revision] = self.counts()
        while len(self._counts_by_revision) > MAX_REMEMBERED_COUNTS:
            self._counts_by_revision.popitem(last=False)

    def counts(self) -> KeyCounts:
        """Return the current number of keys with each prefix."""
        return KeyCounts(*(len(self._items_by_prefix[name]) for name in KEY_PREFIXES))

    def counts_at(self, revision: Revision) -> KeyCounts | None:
        """Return the counts just after that revision, or None if they are not kept."""
        return self._counts_by_revision.get(revision)
