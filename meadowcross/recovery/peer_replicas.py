"""Sends this node's pre-loss replica to a peer, and fetches the peers' pre-loss replicas, part by part."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

from msgspec import Raw

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import NodeName, Seconds
from meadowcross.recovery.merge import RecoverySource
from meadowcross.recovery.messages import ReplicaPart, ReplicaPartItem, ReplicaPartRequest
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.store.messages import Item

log = get_logger("rebuild")

MAX_PART_BYTES = 128 * 1024
"""Limit for the items of one part, which has to fit into one netstring of the peer connection."""
ITEM_OVERHEAD_BYTES = 40
"""Approximate encoded size of an item in a part, without its key and value."""
MAX_ATTEMPTS = 3
RETRY_DELAY_S: Seconds = 0.3

RequestReplicaPart = Callable[[NodeName, str], Awaitable[ReplicaPart | None]]
"""Requests the part after a key from a peer. Returns None if no response arrives."""


class PeerUnresponsiveError(Exception):
    """A peer did not send its replica, which may hold data that no other source has."""

    def __init__(self, peer: NodeName) -> None:
        super().__init__(f"{peer} did not send its replica in {MAX_ATTEMPTS} attempts")


def build_replica_part(follower: ReplicaFollower, request: ReplicaPartRequest, node: NodeName) -> ReplicaPart:
    """Return the part of this node's pre-loss replica after the request's key, in the order of the keys."""
    pre_loss = follower.pre_loss_replica
    if pre_loss is None:
        return ReplicaPart(request.number, node)
    part = ReplicaPart(request.number, node, pre_loss.epoch, pre_loss.replica.revision, pre_loss.is_complete)
    size_bytes = 0
    for item in pre_loss.replica.items_after(request.after_key):
        size_bytes += len(item.key) + len(bytes(item.value)) + ITEM_OVERHEAD_BYTES
        if part.items and size_bytes > MAX_PART_BYTES:
            part.has_more = True
            break
        part.items.append(ReplicaPartItem(item.key, item.mod_revision, item.value))
    return part


class PeerReplicas:
    """Fetches the pre-loss replicas of the peers."""

    def __init__(
        self,
        clock: Clock,
        all_peers: Sequence[NodeName],
        connected_peers: Callable[[], list[NodeName]],
        request_part: RequestReplicaPart,
    ) -> None:
        self._clock = clock
        self._all_peers = all_peers
        self._connected_peers = connected_peers
        self._request_part = request_part
        self.missing_peers: set[NodeName] = set()
        """Peers that have not responded yet; their replicas may hold data that no other source has."""
        self.sources: list[RecoverySource] = []
        """The replicas received so far."""

    def reset(self, may_ask_peers: bool) -> None:
        """Discard all received replicas. The next `fetch` asks every peer, or none if `may_ask_peers` is false."""
        self.sources = []
        self.missing_peers = set(self._all_peers) if may_ask_peers else set()

    def has_all_replicas(self) -> bool:
        """Return whether every peer sent a replica, so that nothing that users saw confirmed can be missing."""
        return {source.name for source in self.sources}.issuperset(self._all_peers)

    async def fetch(self) -> None:
        """Request the replicas of the connected missing peers. A peer that reports no replica is not missing either."""
        for peer in sorted(self.missing_peers & set(self._connected_peers())):
            try:
                source = await self._fetch_replica(peer)
            except PeerUnresponsiveError as error:
                log.info("replica_not_received reason=%r", str(error))
                continue
            self.missing_peers.discard(peer)
            if source is not None:
                self.sources.append(source)

    async def _fetch_replica(self, peer: NodeName) -> RecoverySource | None:
        """Return a peer's whole replica, or None if it has none. Raises PeerUnresponsiveError."""
        items: dict[str, Item] = {}
        after_key = ""
        while True:
            part = await self._fetch_part(peer, after_key)
            if part.epoch is None:
                return None
            for key, revision, value in part.items:
                items[key] = Item(key, Raw(bytes(value)), revision)
                after_key = key
            if not part.has_more:
                return RecoverySource(peer, part.epoch, part.revision, part.is_complete, items)

    async def _fetch_part(self, peer: NodeName, after_key: str) -> ReplicaPart:
        for _ in range(MAX_ATTEMPTS):
            part = await self._request_part(peer, after_key)
            if part is not None:
                return part
            await pause(self._clock, RETRY_DELAY_S)
        raise PeerUnresponsiveError(peer)
