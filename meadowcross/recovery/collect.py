"""Where what was lost is still known: pictures of this node and its peers, snapshots, what is left in the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from msgspec import Raw

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import NodeName, Revision, Seconds
from meadowcross.recovery.merge import MergedState, RecoverySource, merge
from meadowcross.recovery.messages import RecoveryStage, ReplicaPart, ReplicaPartRequest
from meadowcross.recovery.store_epochs import StoreEpochs
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.replication.store_replica import StoreReplica
from meadowcross.store.client import StoreClient
from meadowcross.store.messages import Item
from meadowcross.store.rate_shares import LEADER_SHARE, RECOVERY_SHARE
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("rebuild")

MAX_PART_BYTES = 128 * 1024
"""Of one answer, which fits a netstring of the link."""
MAX_ATTEMPTS = 3
RETRY_DELAY_S: Seconds = 0.3

RequestReplicaPart = Callable[[NodeName, str], Awaitable[ReplicaPart | None]]


def build_replica_part(follower: ReplicaFollower, request: ReplicaPartRequest, node: NodeName) -> ReplicaPart:
    """A piece of what this node followed before the loss, in the order of the keys."""
    pre_loss = follower.pre_loss_replica
    if pre_loss is None:
        return ReplicaPart(request.number, node)
    part = ReplicaPart(request.number, node, pre_loss.epoch, pre_loss.replica.revision, pre_loss.is_complete)
    size_bytes = 0
    for item in pre_loss.replica.items_after(request.after_key):
        size_bytes += len(item.key) + len(bytes(item.value)) + 40
        if part.items and size_bytes > MAX_PART_BYTES:
            part.has_more = True
            break
        part.items.append((item.key, item.mod_revision, item.value))
    return part


async def fetch_peer_replica(
    clock: Clock, request_part: RequestReplicaPart, peer: NodeName
) -> RecoverySource | str | None:
    """A peer's whole picture, piece by piece; a word where it says that it has none, None where it says no more."""
    items: dict[str, Item] = {}
    after_key = ""
    while True:
        part = None
        for _ in range(MAX_ATTEMPTS):
            part = await request_part(peer, after_key)
            if part is not None:
                break
            await pause(clock, RETRY_DELAY_S)
        if part is None:
            log.info("%s does not tell its picture", peer)
            return None
        if part.epoch is None:
            return "none"
        for key, revision, value in part.items:
            items[key] = Item(key, Raw(bytes(value)), revision)
            after_key = key
        if not part.has_more:
            return RecoverySource(peer, part.epoch, part.revision, part.is_complete, items)


class StateRecovery:
    """What a term needs to begin on a store that has lost data."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        store_epochs: StoreEpochs,
        follower: ReplicaFollower | None,
        node: NodeName,
        connected_peers: Callable[[], list[NodeName]],
        request_part: RequestReplicaPart,
        read_snapshots: Callable[[], list[RecoverySource]],
        lost_jobs_wait_s: Seconds | None,
        all_peers: list[NodeName],
    ) -> None:
        self._all_peers = all_peers
        self._sources: list[RecoverySource] = []
        self.unanswered_peers: set[NodeName] = set()
        """Peers that may still know what nobody else does."""
        self._clock = clock
        self._store = store
        self.store_epochs = store_epochs
        self._follower = follower
        self._node = node
        self._connected_peers = connected_peers
        self._request_part = request_part
        self._read_snapshots = read_snapshots
        self.lost_jobs_wait_s = lost_jobs_wait_s

    def is_needed(self) -> bool:
        return self.store_epochs.stage in (RecoveryStage.OPEN_JOBS, RecoveryStage.ENDED_JOBS)

    def is_unsettled(self) -> bool:
        """Whether tasks of jobs that nobody knows may still be somebody's."""
        return self.store_epochs.stage is not None

    async def collect_late(self) -> MergedState | None:
        """Ask whom we could not ask before; with what they add, everything merged anew, or None without news. Raises
        what the store client raises."""
        previous_count = len(self._sources)
        await self._ask_unanswered_peers()
        if len(self._sources) == previous_count:
            return None
        stored_items, _ = await self._store.list_items("", RequestPriority.BACKGROUND)
        return merge(self._sources, stored_items, self.store_epochs.record_revision, self.store_epochs.is_loss_older)

    def prioritize(self, is_prioritized: bool) -> None:
        """While much is written back, four fifths of the store's rate; else a leader's share."""
        self._store.reset_share(RECOVERY_SHARE if is_prioritized else LEADER_SHARE)

    def have_all_peers_answered(self) -> bool:
        """Whether every peer told what it had followed, so that nothing that users were told can be missing."""
        answered = {source.name for source in self._sources}
        return all(peer in answered for peer in self._all_peers)

    async def _ask_unanswered_peers(self) -> None:
        connected = set(self._connected_peers())
        for peer in sorted(self.unanswered_peers & connected):
            result = await fetch_peer_replica(self._clock, self._request_part, peer)
            if result is None:
                continue
            self.unanswered_peers.discard(peer)
            if isinstance(result, RecoverySource):
                self._sources.append(result)

    async def collect(self) -> tuple[MergedState, Revision]:
        """Everything that is still known, and the revision of the store that it was compared with. Raises what
        the store client raises."""
        sources = list(self._read_snapshots())
        pre_loss = self._follower.pre_loss_replica if self._follower is not None else None
        if pre_loss is not None:
            items = {item.key: item for item in pre_loss.replica.all_items()}
            sources.append(
                RecoverySource(self._node, pre_loss.epoch, pre_loss.replica.revision, pre_loss.is_complete, items)
            )
        self._sources = sources
        self.unanswered_peers = set()
        if not self.store_epochs.is_loss_older:
            # Also where a leader's own picture is there: it lacks nothing that leaders stored, but what users did
            # at other nodes in the last moment only those may have seen.
            self.unanswered_peers = set(self._all_peers)
            await self._ask_unanswered_peers()
        stored_items, revision = await self._store.list_items("", RequestPriority.LEADERSHIP)
        merged = merge(sources, stored_items, self.store_epochs.record_revision, self.store_epochs.is_loss_older)
        log.info(
            "gathered from %s and %d keys left in the store: %d keys, %d of them to write back",
            ", ".join(merged.sources) or "nobody",
            len(stored_items),
            len(merged.items),
            len(merged.missing_under("")),
        )
        return merged, revision


def build_expected_replica(merged: MergedState, revision: Revision) -> StoreReplica:
    """What the store will hold, for whoever leads meanwhile: what it lacks still counts as old as can be."""
    replica = StoreReplica()
    items = (
        Item(key, item.value, merged.stored_revisions.get(key) or Revision(1)) for key, item in merged.items.items()
    )
    replica.load(items, revision)
    return replica
