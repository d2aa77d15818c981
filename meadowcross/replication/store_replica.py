"""A replica of the store in memory: each key with its revision and value, complete up to a revision.

Revisions only grow, so a change that is older than the replica never undoes a newer one. The replica makes reading
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
"""Of open jobs, chunks of tasks, machines and ended jobs, in the order of `KeyCounts`."""
OTHER_KEYS = ""
"""Stands for all keys without one of the prefixes."""
MAX_REMEMBERED_COUNTS = 500
"""The counts are kept for so many revisions, to be compared with what another node reports for one of them."""
ENTRY_OVERHEAD_BYTES = 220
"""What an item takes in this process beside its key and value, about."""


class KeyCounts(NamedTuple):
    """How many keys there are below each prefix."""

    open_jobs: int
    chunks: int
    machines: int
    ended_jobs: int


class StoreReplica:
    """The items of the store by key, and the revision up to which they are complete."""

    def __init__(self) -> None:
        self.revision = Revision(0)
        """All changes up to it are in; some later ones may be."""
        self.newest_revision = Revision(0)
        """The highest revision of any key that it has, or had."""
        self.size_bytes = 0
        """Memory taken, about."""
        self._items_by_prefix: dict[str, dict[str, Item]] = {name: {} for name in (*KEY_PREFIXES, OTHER_KEYS)}
        self._counts_by_revision: OrderedDict[Revision, KeyCounts] = OrderedDict()

    def _items_beside(self, key: str) -> dict[str, Item]:
        """The items that share the key's prefix."""
        return self._items_by_prefix.get(key[:2], self._items_by_prefix[OTHER_KEYS])

    def get(self, key: str) -> Item | None:
        """The key's item, or None where the replica has none."""
        return self._items_beside(key).get(key)

    def items_under(self, prefix: str) -> list[Item]:
        """The items below one of KEY_PREFIXES, or those of OTHER_KEYS."""
        return list(self._items_by_prefix[prefix].values())

    def all_items(self) -> Iterator[Item]:
        """Every item, prefix by prefix; the replica may change meanwhile."""
        for items_by_key in self._items_by_prefix.values():
            yield from list(items_by_key.values())

    def items_after(self, key: str) -> list[Item]:
        """All items whose keys come after this one, in order."""
        return sorted((item for item in self.all_items() if item.key > key), key=lambda item: item.key)

    def put(self, key: str, value: Raw, revision: Revision) -> None:
        """The key was written at this revision; ignored where a newer one is known."""
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
        # A copy: the value as received is a view that would keep the whole response alive.
        items_by_key[key] = Item(key, Raw(content), revision)
        self.size_bytes += len(content)

    def drop(self, key: str, revision: Revision) -> None:
        """The key was deleted at this revision; ignored where it was written since."""
        self.newest_revision = max(self.newest_revision, revision)
        items_by_key = self._items_beside(key)
        current = items_by_key.get(key)
        if current is not None and current.mod_revision < revision:
            del items_by_key[key]
            self.size_bytes -= ENTRY_OVERHEAD_BYTES + len(key) + len(bytes(current.value))

    def load(self, items: Iterable[Item], revision: Revision) -> None:
        """Take in a full read that was begun at this revision."""
        for item in items:
            self.put(item.key, item.value, item.mod_revision)
        self.revision = revision

    def apply_events(self, events: Iterable[Event], revision: Revision) -> None:
        """Take in all changes since `self.revision`, up to `revision`.

        A response that came after a newer one is left out whole: what it writes may have been dropped since.
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
                self.drop(event.deleted_key, event.mod_revision)
        self.revision = revision
        self._remember_counts(revision)

    def _remember_counts(self, revision: Revision) -> None:
        self._counts_by_revision[revision] = self.counts()
        while len(self._counts_by_revision) > MAX_REMEMBERED_COUNTS:
            self._counts_by_revision.popitem(last=False)

    def counts(self) -> KeyCounts:
        """How many keys there are now."""
        return KeyCounts(*(len(self._items_by_prefix[name]) for name in KEY_PREFIXES))

    def counts_at(self, revision: Revision) -> KeyCounts | None:
        """The counts just after that revision, where they are still known."""
        return self._counts_by_revision.get(revision)
