"""A picture of the store: each key with its version and value, complete up to a revision.

Versions only grow, so what is older than the picture never undoes what is newer. The picture is for reading
faster; whatever is decided from it is written under conditions that the store checks.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from msgspec import Raw

from meadowcross.common.types import Mark
from meadowcross.store.messages import Event, Item

FAMILIES = ("j/", "t/", "w/", "e/")
OTHERS = ""
REMEMBERED = 500
"""Of so many revisions the counts are kept, to be compared with what another node says of one of them."""
OVERHEAD = 220
"""Bytes of an entry beside its key and value, about: objects of this process, not what is sent."""


class Counts(NamedTuple):
    """How many keys of each family there are."""

    open_jobs: int
    chunks: int
    machines: int
    ended: int


class Picture:
    def __init__(self) -> None:
        self.revision = Mark(0)
        """All changes up to it are in; some later ones may be."""
        self.newest = Mark(0)
        """The highest version of any key that it has, or had."""
        self.size = 0
        """In bytes, about."""
        self._families: dict[str, dict[str, Item]] = {name: {} for name in (*FAMILIES, OTHERS)}
        self._counts: OrderedDict[Mark, Counts] = OrderedDict()

    def _family(self, key: str) -> dict[str, Item]:
        return self._families.get(key[:2], self._families[OTHERS])

    def get(self, key: str) -> Item | None:
        return self._family(key).get(key)

    def items(self, family: str) -> list[Item]:
        """Of `j/`, `t/`, `w/` or `e/`; of all other keys with the empty name."""
        return list(self._families[family].values())

    def entries(self) -> Iterator[Item]:
        for family in self._families.values():
            yield from list(family.values())

    def after(self, key: str) -> list[Item]:
        """All items whose keys come after this one, in order."""
        return sorted((item for item in self.entries() if item.key > key), key=lambda item: item.key)

    def put(self, key: str, value: Raw, mark: Mark) -> None:
        self.newest = max(self.newest, mark)
        family = self._family(key)
        known = family.get(key)
        if known is not None:
            if known.mark >= mark:
                return
            self.size -= len(bytes(known.value))
        else:
            self.size += OVERHEAD + len(key)
        content = bytes(value)
        # A copy: the value as received is a view that would keep the whole answer alive.
        family[key] = Item(key, Raw(content), mark)
        self.size += len(content)

    def drop(self, key: str, mark: Mark) -> None:
        self.newest = max(self.newest, mark)
        family = self._family(key)
        known = family.get(key)
        if known is not None and known.mark < mark:
            del family[key]
            self.size -= OVERHEAD + len(key) + len(bytes(known.value))

    def read(self, items: Iterable[Item], revision: Mark) -> None:
        """A full read, begun at this revision."""
        for item in items:
            self.put(item.key, item.value, item.mark)
        self.revision = revision

    def apply(self, events: Iterable[Event], revision: Mark) -> bool:
        """All changes since `self.revision`, up to `revision`; False where that is nothing new. An answer
        that came after a newer one is left out whole: its writes may have been dropped since."""
        if revision <= self.revision:
            return False
        before = Mark(0)
        for event in events:
            if event.mark > before > 0:
                self._remember(before)
            before = event.mark
            if event.written is not None:
                self.put(event.written, event.value, event.mark)
            elif event.dropped is not None:
                self.drop(event.dropped, event.mark)
        self.revision = revision
        self._remember(revision)
        return True

    def _remember(self, revision: Mark) -> None:
        self._counts[revision] = self.counts()
        while len(self._counts) > REMEMBERED:
            self._counts.popitem(last=False)

    def counts(self) -> Counts:
        return Counts(*(len(self._families[name]) for name in FAMILIES))

    def counts_at(self, revision: Mark) -> Counts | None:
        """The counts just after that revision, where they are still known."""
        return self._counts.get(revision)
