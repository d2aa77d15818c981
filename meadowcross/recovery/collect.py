"""Collects lost data from every source that still has it: the nodes' replicas, snapshots, and the store itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from meadowcross.common.logging import get_logger
from meadowcross.common.types import NodeName, Revision, Seconds
from meadowcross.recovery.merge import MergedState, RecoverySource, merge
from meadowcross.recovery.messages import RecoveryStage
from meadowcross.recovery.peer_replicas import PeerReplicas
from meadowcross.recovery.store_epochs import StoreEpochs
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.replication.store_replica import StoreReplica
from meadowcross.store.client import StoreClient
from meadowcross.store.messages import Item
from meadowcross.store.rate_shares import LEADER_SHARE, RECOVERY_SHARE
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("rebuild")


class CollectedState(NamedTuple):
    """The merged state of all sources, and the store's revision at which it was compared with the store."""

    merged: MergedState
    revision: Revision


class LocalSources:
    """This node's own recovery sources: its pre-loss replica and its snapshots."""

    def __init__(
        self,
        node: NodeName,
        follower: ReplicaFollower | None,
        read_snapshots: Callable[[], list[RecoverySource]],
    ) -> None:
        self._node = node
        self._follower = follower
        self._read_snapshots = read_snapshots

    def read(self) -> list[RecoverySource]:
        """Read the snapshots from the disk and add the pre-loss replica, if this node has one."""
        sources = list(self._read_snapshots())
        pre_loss = self._follower.pre_loss_replica if self._follower is not None else None
        if pre_loss is not None:
            replica = pre_loss.replica
            items = {item.key: item for item in replica.all_items()}
            sources.append(RecoverySource(self._node, pre_loss.epoch, replica.revision, pre_loss.is_complete, items))
        return sources


class StateRecovery:
    """Collects and merges the recovery sources for a term that begins on a store that has lost data."""

    def __init__(
        self,
        store: StoreClient,
        store_epochs: StoreEpochs,
        local_sources: LocalSources,
        peer_replicas: PeerReplicas,
        lost_jobs_wait_s: Seconds | None,
    ) -> None:
        """Collect from `local_sources` and `peer_replicas`.

        `lost_jobs_wait_s` is how long a job without a record may still turn up. Until then a request for such a job
        gets status 503, not 404. None: without limit.
        """
        self._store = store
        self.store_epochs = store_epochs
        self._local_sources = local_sources
        self._peer_replicas = peer_replicas
        self.lost_jobs_wait_s = lost_jobs_wait_s
        self._own_sources: list[RecoverySource] = []

    @property
    def missing_peers(self) -> set[NodeName]:
        """Peers whose replica has not arrived and may hold data that no other source has."""
        return self._peer_replicas.missing_peers

    def is_needed(self) -> bool:
        """Return whether a term that begins now must write lost data back."""
        return self.store_epochs.stage in (RecoveryStage.OPEN_JOBS, RecoveryStage.ENDED_JOBS)

    def is_unsettled(self) -> bool:
        """Return whether a task of a job without a record may still belong to an accepted job."""
        return self.store_epochs.stage is not None

    def has_all_peer_replicas(self) -> bool:
        """Return whether every peer sent a replica, so that nothing that users saw confirmed can be missing."""
        return self._peer_replicas.has_all_replicas()

    def prioritize(self, is_prioritized: bool) -> None:
        """Use four fifths of the store's request rate during the write-back, or the leader's share otherwise."""
        self._store.reset_share(RECOVERY_SHARE if is_prioritized else LEADER_SHARE)

    async def collect(self) -> CollectedState:
        """Merge all local sources, the connected peers' replicas and the store. Raises the store client's errors."""
        self._own_sources = self._local_sources.read()
        # Peers are asked even if a leader's own replica is available: that replica has all that leaders stored, but
        # the last submissions and cancellations at other nodes may be only in the replicas of those nodes.
        self._peer_replicas.reset(may_ask_peers=not self.store_epochs.is_loss_before_replica)
        await self._peer_replicas.fetch()
        stored_items, revision = await self._store.list_items("", RequestPriority.LEADERSHIP)
        merged = self._merge(stored_items)
        log.info(
            "state_collected sources=%r stored_keys=%d keys=%d missing_keys=%d",
            ", ".join(merged.sources) or "none",
            len(stored_items),
            len(merged.items),
            len(merged.missing_under("")),
        )
        return CollectedState(merged, revision)

    async def collect_late(self) -> MergedState | None:
        """Ask the missing peers once more and merge all sources again.

        Returns None if no further replica arrived. Raises the errors of the store client.
        """
        previous_count = len(self._peer_replicas.sources)
        await self._peer_replicas.fetch()
        if len(self._peer_replicas.sources) == previous_count:
            return None
        stored_items, _ = await self._store.list_items("", RequestPriority.BACKGROUND)
        return self._merge(stored_items)

    def _merge(self, stored_items: list[Item]) -> MergedState:
        sources = [*self._own_sources, *self._peer_replicas.sources]
        epochs = self.store_epochs
        return merge(sources, stored_items, epochs.record_revision, epochs.is_loss_before_replica)


def build_expected_replica(merged: MergedState, revision: Revision) -> StoreReplica:
    """Return a replica of the store as it will be after the write-back, for the leader to work with meanwhile.

    A key that the store does not have yet gets revision 1, the lowest one.
    """
    replica = StoreReplica()
    stored = merged.stored_revisions
    items = (Item(key, item.value, stored.get(key) or Revision(1)) for key, item in merged.items.items())
    replica.load(items, revision)
    return replica
