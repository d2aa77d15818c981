"""Collects what was lost from all that still know it: replicas of nodes, snapshots, and what is left in the store."""

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
    """What is still known, and the revision of the store that it was compared with."""

    merged: MergedState
    revision: Revision


class LocalSources:
    """What this node itself knows of the store before a loss: its replica and its snapshots."""

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
        """Read the snapshots from the disk, and the replica, where it was kept."""
        sources = list(self._read_snapshots())
        pre_loss = self._follower.pre_loss_replica if self._follower is not None else None
        if pre_loss is not None:
            replica = pre_loss.replica
            items = {item.key: item for item in replica.all_items()}
            sources.append(RecoverySource(self._node, pre_loss.epoch, replica.revision, pre_loss.is_complete, items))
        return sources


class StateRecovery:
    """What a term needs to begin on a store that has lost data."""

    def __init__(
        self,
        store: StoreClient,
        store_epochs: StoreEpochs,
        local_sources: LocalSources,
        peer_replicas: PeerReplicas,
        lost_jobs_wait_s: Seconds | None,
    ) -> None:
        """`lost_jobs_wait_s` is how long jobs that nobody knows are not said to be unknown; None: for ever."""
        self._store = store
        self.store_epochs = store_epochs
        self._local_sources = local_sources
        self._peer_replicas = peer_replicas
        self.lost_jobs_wait_s = lost_jobs_wait_s
        self._own_sources: list[RecoverySource] = []

    @property
    def unanswered_peers(self) -> set[NodeName]:
        """Peers that may still know what nobody else does."""
        return self._peer_replicas.unanswered

    def is_needed(self) -> bool:
        """Whether a term that begins now must write lost data back."""
        return self.store_epochs.stage in (RecoveryStage.OPEN_JOBS, RecoveryStage.ENDED_JOBS)

    def is_unsettled(self) -> bool:
        """Whether tasks of jobs that nobody knows may still belong to a job that was accepted."""
        return self.store_epochs.stage is not None

    def have_all_peers_answered(self) -> bool:
        """Whether every peer sent its replica, so that nothing that users were told can be missing."""
        return self._peer_replicas.have_all_sent()

    def prioritize(self, is_prioritized: bool) -> None:
        """While much is written back, use four fifths of the store's rate; else a leader's share."""
        self._store.reset_share(RECOVERY_SHARE if is_prioritized else LEADER_SHARE)

    async def collect(self) -> CollectedState:
        """Everything that is still known. Raises what the store client raises."""
        self._own_sources = self._local_sources.read()
        # Peers are asked also where a leader's own replica is there: it lacks nothing that leaders stored, but what
        # users did at other nodes in the last moment only those may have seen.
        self._peer_replicas.reset(is_any_wanted=not self.store_epochs.is_loss_older)
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
        """Ask the peers that did not answer before.

        With what they add, everything merged again; None without news. Raises what the store client raises.
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
        return merge(sources, stored_items, epochs.record_revision, epochs.is_loss_older)


def build_expected_replica(merged: MergedState, revision: Revision) -> StoreReplica:
    """What the store will hold, for whoever leads meanwhile; what it lacks yet has the oldest possible revision."""
    replica = StoreReplica()
    stored = merged.stored_revisions
    items = (Item(key, item.value, stored.get(key) or Revision(1)) for key, item in merged.items.items())
    replica.load(items, revision)
    return replica
