"""One state out of several replicas and what is left in the store. Pure functions.

Revisions order everything within an epoch. The replica that is complete up to the highest revision is the base: a
machine that it lacks although it is older than that revision was deleted, whoever still has it; a job is over only
where a source has its end. What was written to the store in the new epoch is newer than any replica; what is left there
of the old epoch counts as one more source, by its revisions.
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
"""Keys of the epoch itself, which are never restored."""


@dataclass(slots=True)
class RecoverySource:
    """A replica that a node followed, or a snapshot of one."""

    name: NodeName
    epoch: int
    revision: Revision
    is_complete: bool
    """It is a leader's own, and lacks nothing that was stored."""
    items: dict[str, Item]


@dataclass(slots=True)
class MergedState:
    """What the store should hold, by key, and what it holds now."""

    items: dict[str, Item] = field(default_factory=dict)
    stored_revisions: dict[str, Revision] = field(default_factory=dict)
    """The revision in the store of each key that it has."""
    is_complete: bool = False
    """Nothing that was stored before the loss can be missing."""
    sources: list[str] = field(default_factory=list)
    """Descriptions of the sources, for the log."""

    def items_under(self, prefix: str) -> list[Item]:
        """The items below a prefix, each with the revision that the store has now: 0 where it lacks the key."""
        return [self._replacing(key, item) for key, item in self.items.items() if key.startswith(prefix)]

    def missing_under(self, prefix: str) -> list[Item]:
        """What must be written back, each with the revision in the store that it replaces."""
        return [
            self._replacing(key, item)
            for key, item in self.items.items()
            if key.startswith(prefix) and self.stored_revisions.get(key) != item.mod_revision
        ]

    def _replacing(self, key: str, item: Item) -> Item:
        return Item(key, item.value, self.stored_revisions.get(key, Revision(0)))

    def stale_keys(self) -> list[str]:
        """What the store has again although it was deleted."""
        return [key for key in self.stored_revisions if key not in self.items and key not in EPOCH_KEYS]


def merge(
    sources: Iterable[RecoverySource],
    stored_items: Iterable[Item],
    epoch_revision: Revision,
    is_loss_older: bool = False,
) -> MergedState:
    """Merge the sources with what the store holds.

    `epoch_revision` is the revision of the new epoch's record: what the store got later is of the new epoch. With
    `is_loss_older` the store was written to for a while since the loss, at revisions that mean others to the sources:
    all of it is kept.
    """
    newest_first = sorted(sources, key=lambda source: (source.epoch, source.is_complete, source.revision), reverse=True)
    newest_items, base_revision = _merge_sources(newest_first)
    stored_base = base_revision if newest_first and not is_loss_older else Revision(0)
    merged = MergedState(
        is_complete=bool(newest_first) and newest_first[0].is_complete,
        sources=[f"{source.name} (era {source.epoch}, revision {source.revision})" for source in newest_first],
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
    """The newest item of each key, and the highest revision up to which a source is complete."""
    newest_items: dict[str, Item] = {}
    base_revision = Revision(0)
    newest_epoch = newest_first[0].epoch if newest_first else 0
    for source in newest_first:
        is_current = source.epoch == newest_epoch
        for key, item in source.items.items():
            # Of an older epoch only ended jobs still mean something: an end is never taken back.
            if is_current or key.startswith(ENDED_PREFIX):
                _keep_newest(newest_items, key, item, base_revision)
        if is_current:
            base_revision = max(base_revision, source.revision)
    return newest_items, base_revision


def _keep_newest(newest_items: dict[str, Item], key: str, item: Item, base_revision: Revision) -> None:
    """Keep the newer of two items; one that no other source has only if the base can't have deleted it.

    Jobs are always kept: an open one only ever moves to its end, in one step, so one without an end anywhere was not
    deleted, whatever the base's revision says. That may have been counted anew after the loss, before it was noticed.
    """
    current = newest_items.get(key)
    if current is None:
        if item.mod_revision > base_revision or key.startswith(JOB_PREFIXES):
            newest_items[key] = item
    elif item.mod_revision > current.mod_revision:
        newest_items[key] = item


def _drop_ended_jobs(newest_items: dict[str, Item], new_epoch_keys: set[str]) -> None:
    """A job that ended is not open any more, whatever else is still known of it."""
    ended_jobs = {JobId(key.removeprefix(ENDED_PREFIX)) for key in newest_items if key.startswith(ENDED_PREFIX)}
    open_jobs = {JobId(key.removeprefix(OPEN_PREFIX)) for key in newest_items if key.startswith(OPEN_PREFIX)}
    for key in list(newest_items):
        if key.startswith(OPEN_PREFIX) and key.removeprefix(OPEN_PREFIX) in ended_jobs:
            del newest_items[key]
        elif key.startswith(CHUNK_PREFIX):
            job_id, _ = parse_chunk_key(key)
            if job_id in ended_jobs or (job_id not in open_jobs and key not in new_epoch_keys):
                del newest_items[key]
