"""Merges several replicas and the remaining content of the store into one state, with pure functions.

Revisions order all changes within an epoch. The source that is complete up to the highest revision is the base. A
machine's item that the base lacks, and whose revision is not above the base's, was deleted, even if another source
still has it. A job has ended only if a source has its end record. An item that was written to the store in the new
epoch is newer than any source; an item that remains from the old epoch is merged by its revision like one more source.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from meadowcross.common.types import JobId, NodeName, Revision
from meadowcross.jobs.messages import CHUNK_PREFIX, ENDED_PREFIX, OPEN_PREFIX, parse_chunk_key
from meadowcross.recovery.messages import EPOCH_KEY, LEADER_KEY, RECOVERY_PROGRESS_KEY
from meadowcross.store.messages import Item

JOB_PREFIXES = (OPEN_PREFIX, CHUNK_PREFIX, ENDED_PREFIX)
EPOCH_KEYS = (LEADER_KEY, EPOCH_KEY, RECOVERY_PROGRESS_KEY)
"""Keys that belong to one epoch or one leader and are never restored."""


@dataclass(slots=True)
class RecoverySource:
    """A state of the store from before the loss: a node's replica, or a snapshot."""

    name: NodeName
    epoch: int
    revision: Revision
    is_complete: bool
    """Whether the source is a leader's own replica, which has everything that was stored."""
    items: dict[str, Item]


@dataclass(slots=True)
class MergedState:
    """The items that the store should hold, by key, and the revisions that it holds now."""

    items: dict[str, Item] = field(default_factory=dict)
    stored_revisions: dict[str, Revision] = field(default_factory=dict)
    """Revision of each key that the store has."""
    is_complete: bool = False
    """Whether nothing that was stored before the loss can be missing."""
    sources: list[str] = field(default_factory=list)
    """Descriptions of the sources, for the log."""

    def items_under(self, prefix: str) -> list[Item]:
        """Return the items under a prefix, each with the key's present revision in the store (0: the key is absent)."""
        return [self._with_stored_revision(key, item) for key, item in self.items.items() if key.startswith(prefix)]

    def missing_under(self, prefix: str) -> list[Item]:
        """Return the items under a prefix that must be written back, each with the revision that it replaces."""
        return [
            self._with_stored_revision(key, item)
            for key, item in self.items.items()
            if key.startswith(prefix) and self.stored_revisions.get(key) != item.mod_revision
        ]

    def _with_stored_revision(self, key: str, item: Item) -> Item:
        return Item(key, item.value, self.stored_revisions.get(key, Revision(0)))

    def stale_keys(self) -> list[str]:
        """Return the keys that the store has although they were deleted before the loss."""
        return [key for key in self.stored_revisions if key not in self.items and key not in EPOCH_KEYS]


def merge(
    sources: Iterable[RecoverySource],
    stored_items: Iterable[Item],
    epoch_revision: Revision,
    is_loss_before_replica: bool = False,
) -> MergedState:
    """Merge the sources with the items that the store holds.

    `epoch_revision` is the revision of the new epoch's record; items with a higher revision belong to the new epoch.
    `is_loss_before_replica`: the loss happened before the nodes began to follow the store, and the store has been
    written to since. Its revisions can't be compared with those of the sources, so all its items are kept.
    """
    newest_first = sorted(sources, key=lambda source: (source.epoch, source.is_complete, source.revision), reverse=True)
    newest_items, base_revision = _merge_sources(newest_first)
    stored_base = base_revision if newest_first and not is_loss_before_replica else Revision(0)
    merged = MergedState(
        is_complete=bool(newest_first) and newest_first[0].is_complete,
        sources=[f"{source.name} (epoch {source.epoch}, revision {source.revision})" for source in newest_first],
    )
    new_epoch_keys: set[str] = set()
    for item in stored_items:
        merged.stored_revisions[item.key] = item.mod_revision
        is_of_new_epoch = item.mod_revision > epoch_revision
        if is_of_new_epoch:
            new_epoch_keys.add(item.key)
        if item.key in EPOCH_KEYS:
            continue
        if is_of_new_epoch:
            newest_items[item.key] = item
        else:
            _keep_newest(newest_items, item.key, item, stored_base)
    _drop_ended_jobs(newest_items, new_epoch_keys)
    merged.items = {key: item for key, item in newest_items.items() if key not in EPOCH_KEYS}
    return merged


def _merge_sources(newest_first: Sequence[RecoverySource]) -> tuple[dict[str, Item], Revision]:
    """Return the newest item of each key, and the highest revision up to which a source is complete."""
    newest_items: dict[str, Item] = {}
    base_revision = Revision(0)
    newest_epoch = newest_first[0].epoch if newest_first else 0
    for source in newest_first:
        is_current = source.epoch == newest_epoch
        for key, item in source.items.items():
            # Only end records of an older epoch are used: the end of a job is final.
            if is_current or key.startswith(ENDED_PREFIX):
                _keep_newest(newest_items, key, item, base_revision)
        if is_current:
            base_revision = max(base_revision, source.revision)
    return newest_items, base_revision


def _keep_newest(newest_items: dict[str, Item], key: str, item: Item, base_revision: Revision) -> None:
    """Keep the newer of two items. An item of a single source is kept only if the base can't have deleted it.

    Items of jobs are always kept. The record of an open job is only replaced by the job's end record, in one
    transaction, so a job without an end record in any source was not deleted, even if the base's revision is higher:
    that revision may come from a count that restarted after the loss, before the loss was detected.
    """
    current = newest_items.get(key)
    if current is None:
        if item.mod_revision > base_revision or key.startswith(JOB_PREFIXES):
            newest_items[key] = item
    elif item.mod_revision > current.mod_revision:
        newest_items[key] = item


def _drop_ended_jobs(newest_items: dict[str, Item], new_epoch_keys: set[str]) -> None:
    """Remove the open records and chunks of ended jobs, and the chunks of the old epoch that have no open job."""
    ended_jobs = {JobId(key.removeprefix(ENDED_PREFIX)) for key in newest_items if key.startswith(ENDED_PREFIX)}
    open_jobs = {JobId(key.removeprefix(OPEN_PREFIX)) for key in newest_items if key.startswith(OPEN_PREFIX)}
    for key in list(newest_items):
        if key.startswith(OPEN_PREFIX) and key.removeprefix(OPEN_PREFIX) in ended_jobs:
            del newest_items[key]
        elif key.startswith(CHUNK_PREFIX):
            job_id, _ = parse_chunk_key(key)
            if job_id in ended_jobs or (job_id not in open_jobs and key not in new_epoch_keys):
                del newest_items[key]
