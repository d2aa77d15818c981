"""Keeps a replica of the store from before a data loss until the recovery is complete."""

from __future__ import annotations

from dataclasses import dataclass

from meadowcross.common.types import Revision
from meadowcross.replication.store_replica import StoreReplica


@dataclass(frozen=True, slots=True)
class PreLossReplica:
    """A node's replica of the store at the time of a data loss, and the store epoch that was lost."""

    replica: StoreReplica
    epoch: int
    is_complete: bool
    """Whether the replica contains everything that was stored, because this node was the leader."""

    def known_revision(self) -> Revision:
        """Return the revision by which nodes compare whose replica is the most recent.

        A complete replica also contains writes after its own revision, so one above its newest revision is returned.
        """
        if self.is_complete:
            return Revision(self.replica.newest_revision + 1)
        return self.replica.revision

    def overlay(self, later: StoreReplica) -> None:
        """Add the items of `later`, a replica that was followed during a recovery in which data was lost again.

        The revisions of `later` are shifted above those of this replica, so that its items replace older ones.
        """
        base_revision = self.replica.revision
        for item in later.all_items():
            self.replica.put(item.key, item.value, Revision(base_revision + item.mod_revision))
        self.replica.revision = Revision(base_revision + later.revision)
