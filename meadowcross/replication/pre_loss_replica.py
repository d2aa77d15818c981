"""A replica of the store from before it lost data, kept until the recovery is over."""

from __future__ import annotations

from dataclasses import dataclass

from meadowcross.common.types import Revision
from meadowcross.replication.store_replica import StoreReplica


@dataclass(frozen=True, slots=True)
class PreLossReplica:
    """What a node knew of the store when it lost data."""

    replica: StoreReplica
    epoch: int
    is_complete: bool
    """This node led: its replica lacks nothing that was stored."""

    def known_revision(self) -> Revision:
        """For comparing who knows most; who led knows all, also what came after the replica's revision."""
        if self.is_complete:
            return Revision(self.replica.newest_revision + 1)
        return self.replica.revision

    def overlay(self, later: StoreReplica) -> None:
        """Put what a recovery had restored on top, where data was lost again in the middle of it."""
        base_revision = self.replica.revision
        for item in later.all_items():
            self.replica.put(item.key, item.value, Revision(base_revision + item.mod_revision))
        self.replica.revision = Revision(base_revision + later.revision)
