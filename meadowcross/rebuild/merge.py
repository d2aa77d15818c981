"""One truth out of several pictures and what is left in the store. Pure functions.

Versions order everything within an era. The picture that is complete up to the highest revision is the base: a machine
that it lacks although it is older than that revision was dropped, whoever still has it; a job is over only where
somebody knows its end. What was written to the store in the new era is newer than any picture; what is
left there of the old era counts as one more source, by its versions.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from meadowcross.common.types import JobId, Mark, NodeName
from meadowcross.jobs import messages as jm
from meadowcross.rebuild.messages import ERA_KEY, LEADER_KEY, PROGRESS_KEY
from meadowcross.store.messages import Item

OF_JOBS = (jm.OPEN, jm.CHUNKS, jm.ENDED)
OF_THE_ERA = (LEADER_KEY, ERA_KEY, PROGRESS_KEY)


@dataclass(slots=True)
class Source:
    """A picture that somebody followed, or a snapshot of one."""

    name: NodeName
    era: int
    revision: Mark
    whole: bool
    """A leader's own, which lacks nothing that was stored."""
    items: dict[str, Item]


@dataclass(slots=True)
class Merged:
    """What the store should hold, by key, and what of it it does not hold yet."""

    items: dict[str, Item] = field(default_factory=dict)
    there: dict[str, Mark] = field(default_factory=dict)
    """The version in the store of each key that it has."""
    whole: bool = False
    """Nothing that was stored before the loss can be missing."""
    sources: list[str] = field(default_factory=list)

    def under(self, family: str) -> list[Item]:
        """Of a family, the items with the version that the store has now: 0 where it lacks them."""
        return [
            Item(key, item.value, self.there.get(key, Mark(0)))
            for key, item in self.items.items()
            if key.startswith(family)
        ]

    def missing(self, family: str) -> list[Item]:
        """What must be written back, with the version in the store that it replaces."""
        return [
            Item(key, item.value, self.there.get(key, Mark(0)))
            for key, item in self.items.items()
            if key.startswith(family) and self.there.get(key) != item.mark
        ]

    def stale(self) -> list[str]:
        """What the store has again although it was dropped."""
        return [key for key in self.there if key not in self.items and key not in OF_THE_ERA]


def merge(sources: Iterable[Source], store: Iterable[Item], era_mark: Mark, old: bool = False) -> Merged:
    """`era_mark` is the version of the new era's record: what the store got later is of the new era. `old`: the store
    was written to for a while since the loss, with versions that the sources know for others: all of it is kept."""
    merged = Merged()
    known: dict[str, Item] = {}
    ordered = sorted(sources, key=lambda source: (source.era, source.whole, source.revision), reverse=True)
    newest_era = ordered[0].era if ordered else 0
    # Of an older era only ended jobs still mean something: an end is never taken back.
    base = Mark(0)
    for source in ordered:
        merged.sources.append(f"{source.name} (era {source.era}, revision {source.revision})")
        for key, item in source.items.items():
            if source.era != newest_era and not key.startswith(jm.ENDED):
                continue
            _take(known, key, item, base)
        if source.era == newest_era:
            base = max(base, source.revision)
    merged.whole = bool(ordered) and ordered[0].whole
    left = list(store)
    for item in left:
        merged.there[item.key] = item.mark
        if item.key in OF_THE_ERA:
            continue
        if item.mark > era_mark:
            known[item.key] = item
        else:
            _take(known, item.key, item, base if ordered and not old else Mark(0))
    _settle(known, {item.key for item in left if item.mark > era_mark})
    merged.items = {key: item for key, item in known.items() if key not in OF_THE_ERA}
    return merged


def _take(known: dict[str, Item], key: str, item: Item, base: Mark) -> None:
    """The newer of two; one that nobody else has only if the base can't have dropped it. Jobs are always kept: an
    open one only ever moves to its end, in one step, so one without an end anywhere was not dropped, whatever the
    base's revision says: that may have been counted anew after the loss, before it was noticed."""
    before = known.get(key)
    if before is None:
        if item.mark > base or key.startswith(OF_JOBS):
            known[key] = item
    elif item.mark > before.mark:
        known[key] = item


def _settle(known: dict[str, Item], new: set[str]) -> None:
    """A job that ended is open no more, whatever else is still known of it."""
    ended = {JobId(key.removeprefix(jm.ENDED)) for key in known if key.startswith(jm.ENDED)}
    open_jobs = {JobId(key.removeprefix(jm.OPEN)) for key in known if key.startswith(jm.OPEN)}
    for key in list(known):
        if key.startswith(jm.OPEN) and key.removeprefix(jm.OPEN) in ended:
            del known[key]
        elif key.startswith(jm.CHUNKS):
            job, _ = jm.parse_chunk_key(key)
            if job in ended or (job not in open_jobs and key not in new):
                del known[key]
