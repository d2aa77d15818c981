"""One truth out of several pictures and what is left in the store. Pure functions.

Versions order everything within an era. The picture that is complete up to the highest revision is the base: a machine
that it lacks although it is older than that revision was dropped, whoever still has it; a job is over only where
somebody knows its end. What was written to the store in the new era is newer than any picture; what is
left there of the old era counts as one more source, by its versions.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from meadowcross.common.types import JobId, NodeName, Revision
from meadowcross.jobs import messages as jm
from meadowcross.recovery.messages import EPOCH_KEY, LEADER_KEY, RECOVERY_PROGRESS_KEY
from meadowcross.store.messages import Item

JOB_PREFIXES = (jm.OPEN_PREFIX, jm.CHUNK_PREFIX, jm.ENDED_PREFIX)
EPOCH_KEYS = (LEADER_KEY, EPOCH_KEY, RECOVERY_PROGRESS_KEY)


@dataclass(slots=True)
class RecoverySource:
    """A picture that somebody followed, or a snapshot of one."""

    name: NodeName
    epoch: int
    revision: Revision
    is_complete: bool
    """A leader's own, which lacks nothing that was stored."""
    items: dict[str, Item]


@dataclass(slots=True)
class MergedState:
    """What the store should hold, by key, and what of it it does not hold yet."""

    items: dict[str, Item] = field(default_factory=dict)
    stored_revisions: dict[str, Revision] = field(default_factory=dict)
    """The version in the store of each key that it has."""
    is_complete: bool = False
    """Nothing that was stored before the loss can be missing."""
    sources: list[str] = field(default_factory=list)

    def items_under(self, prefix: str) -> list[Item]:
        """Of a family, the items with the version that the store has now: 0 where it lacks them."""
        return [
            Item(key, item.value, self.stored_revisions.get(key, Revision(0)))
            for key, item in self.items.items()
            if key.startswith(prefix)
        ]

    def missing_under(self, prefix: str) -> list[Item]:
        """What must be written back, with the version in the store that it replaces."""
        return [
            Item(key, item.value, self.stored_revisions.get(key, Revision(0)))
            for key, item in self.items.items()
            if key.startswith(prefix) and self.stored_revisions.get(key) != item.mod_revision
        ]

    def stale_keys(self) -> list[str]:
        """What the store has again although it was dropped."""
        return [key for key in self.stored_revisions if key not in self.items and key not in EPOCH_KEYS]


def merge(
    sources: Iterable[RecoverySource],
    stored_items: Iterable[Item],
    epoch_revision: Revision,
    is_loss_older: bool = False,
) -> MergedState:
    """`era_mark` is the version of the new era's record: what the store got later is of the new era. `old`: the store
    was written to for a while since the loss, with versions that the sources know for others: all of it is kept."""
    merged = MergedState()
    newest_items: dict[str, Item] = {}
    newest_first = sorted(sources, key=lambda source: (source.epoch, source.is_complete, source.revision), reverse=True)
    newest_epoch = newest_first[0].epoch if newest_first else 0
    # Of an older era only ended jobs still mean something: an end is never taken back.
    base_revision = Revision(0)
    for source in newest_first:
        merged.sources.append(f"{source.name} (era {source.epoch}, revision {source.revision})")
        for key, item in source.items.items():
            if source.epoch != newest_epoch and not key.startswith(jm.ENDED_PREFIX):
                continue
            _keep_newest(newest_items, key, item, base_revision)
        if source.epoch == newest_epoch:
            base_revision = max(base_revision, source.revision)
    merged.is_complete = bool(newest_first) and newest_first[0].is_complete
    remaining_items = list(stored_items)
    for item in remaining_items:
        merged.stored_revisions[item.key] = item.mod_revision
        if item.key in EPOCH_KEYS:
            continue
        if item.mod_revision > epoch_revision:
            newest_items[item.key] = item
        else:
            _keep_newest(
                newest_items, item.key, item, base_revision if newest_first and not is_loss_older else Revision(0)
            )
    _drop_ended_jobs(newest_items, {item.key for item in remaining_items if item.mod_revision > epoch_revision})
    merged.items = {key: item for key, item in newest_items.items() if key not in EPOCH_KEYS}
    return merged


def _keep_newest(newest_items: dict[str, Item], key: str, item: Item, base_revision: Revision) -> None:
    """The newer of two; one that nobody else has only if the base can't have dropped it. Jobs are always kept: an
    open one only ever moves to its end, in one step, so one without an end anywhere was not dropped, whatever the
    base's revision says: that may have been counted anew after the loss, before it was noticed."""
    current = newest_items.get(key)
    if current is None:
        if item.mod_revision > base_revision or key.startswith(JOB_PREFIXES):
            newest_items[key] = item
    elif item.mod_revision > current.mod_revision:
        newest_items[key] = item


def _drop_ended_jobs(newest_items: dict[str, Item], new_epoch_keys: set[str]) -> None:
    """A job that ended is open no more, whatever else is still known of it."""
    ended_jobs = {JobId(key.removeprefix(jm.ENDED_PREFIX)) for key in newest_items if key.startswith(jm.ENDED_PREFIX)}
    open_jobs = {JobId(key.removeprefix(jm.OPEN_PREFIX)) for key in newest_items if key.startswith(jm.OPEN_PREFIX)}
    for key in list(newest_items):
        if key.startswith(jm.OPEN_PREFIX) and key.removeprefix(jm.OPEN_PREFIX) in ended_jobs:
            del newest_items[key]
        elif key.startswith(jm.CHUNK_PREFIX):
            job, _ = jm.parse_chunk_key(key)
            if job in ended_jobs or (job not in open_jobs and key not in new_epoch_keys):
                del newest_items[key]
