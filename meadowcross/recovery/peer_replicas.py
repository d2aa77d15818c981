"""Replicas of before a loss, sent between nodes in parts."""

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
"""Of one answer, which fits a netstring of the link."""
ITEM_OVERHEAD_BYTES = 40
"""Of an item in a part beside its key and value, about."""
MAX_ATTEMPTS = 3
RETRY_DELAY_S: Seconds = 0.3

RequestReplicaPart = Callable[[NodeName, str], Awaitable[ReplicaPart | None]]
"""Asks a peer for the keys after one; None without an answer."""


class PeerUnresponsiveError(Exception):
    """A peer did not answer; it may still know what nobody else does."""

    def __init__(self, peer: NodeName) -> None:
        super().__init__(f"{peer} did not send its replica in {MAX_ATTEMPTS} attempts")


def build_replica_part(follower: ReplicaFollower, request: ReplicaPartRequest, node: NodeName) -> ReplicaPart:
    """A part of what this node followed before the loss, in the order of the keys."""
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
    """Collects the replicas that peers followed before a loss."""

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
        self.unanswered: set[NodeName] = set()
        """Peers that may still know what nobody else does."""
        self.sources: list[RecoverySource] = []
        """The replicas received."""

    def reset(self, is_any_wanted: bool) -> None:
        """Forget what was received; all peers are to be asked, or none."""
        self.sources = []
        self.unanswered = set(self._all_peers) if is_any_wanted else set()

    def have_all_sent(self) -> bool:
        """Whether every peer sent a replica, so that nothing that users were told can be missing."""
        return {source.name for source in self.sources}.issuperset(self._all_peers)

    async def fetch(self) -> None:
        """Ask the connected peers that have not answered yet; one without a replica has answered, too."""
        for peer in sorted(self.unanswered & set(self._connected_peers())):
            try:
                source = await self._fetch_replica(peer)
            except PeerUnresponsiveError as error:
                log.info("replica_not_received reason=%r", str(error))
                continue
            self.unanswered.discard(peer)
            if source is not None:
                self.sources.append(source)

    async def _fetch_replica(self, peer: NodeName) -> RecoverySource | None:
        """A peer's whole replica, part by part; None where it has none. Raises PeerUnresponsiveError."""
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
