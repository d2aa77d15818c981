"""Where what was lost is still known: pictures of this node and its peers, snapshots, what is left in the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from msgspec import Raw

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import Mark, NodeName, Seconds
from meadowcross.rebuild.era import Eras
from meadowcross.rebuild.merge import Merged, Source, merge
from meadowcross.rebuild.messages import PicturePart, PictureWanted, Stage
from meadowcross.replica.follower import Follower
from meadowcross.replica.picture import Picture
from meadowcross.store.budget import Urgency
from meadowcross.store.client import StoreClient
from meadowcross.store.messages import Item
from meadowcross.store.shares import LEADER_SHARE, REBUILD_SHARE

log = logger("rebuild")

PART_BYTES = 128 * 1024
"""Of one answer, which fits a netstring of the link."""
TRIES = 3
AGAIN_S: Seconds = 0.3

AskPeer = Callable[[NodeName, str], Awaitable[PicturePart | None]]


def part_of(follower: Follower, wanted: PictureWanted, node: NodeName) -> PicturePart:
    """A piece of what this node followed before the loss, in the order of the keys."""
    former = follower.former
    if former is None:
        return PicturePart(wanted.number, node)
    part = PicturePart(wanted.number, node, former.era, former.picture.revision, former.whole)
    size = 0
    for item in former.picture.after(wanted.after):
        size += len(item.key) + len(bytes(item.value)) + 40
        if part.items and size > PART_BYTES:
            part.more = True
            break
        part.items.append((item.key, item.mark, item.value))
    return part


async def of_peer(clock: Clock, ask: AskPeer, peer: NodeName) -> Source | str | None:
    """A peer's whole picture, piece by piece; a word where it says that it has none, None where it says no more."""
    items: dict[str, Item] = {}
    after = ""
    while True:
        part = None
        for _ in range(TRIES):
            part = await ask(peer, after)
            if part is not None:
                break
            await pause(clock, AGAIN_S)
        if part is None:
            log.info("%s does not tell its picture", peer)
            return None
        if part.era is None:
            return "none"
        for key, mark, value in part.items:
            items[key] = Item(key, Raw(bytes(value)), mark)
            after = key
        if not part.more:
            return Source(peer, part.era, part.revision, part.whole, items)


class Rebuild:
    """What a term needs to begin on a store that has lost data."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        eras: Eras,
        follower: Follower | None,
        node: NodeName,
        peers: Callable[[], list[NodeName]],
        ask: AskPeer,
        snapshots: Callable[[], list[Source]],
        lost_wait_s: Seconds | None,
        all_peers: list[NodeName],
    ) -> None:
        self._all_peers = all_peers
        self._sources: list[Source] = []
        self.unheard: set[NodeName] = set()
        """Peers that may still know what nobody else does."""
        self._clock = clock
        self._store = store
        self.eras = eras
        self._follower = follower
        self._node = node
        self._peers = peers
        self._ask = ask
        self._snapshots = snapshots
        self.lost_wait_s = lost_wait_s

    def wanted(self) -> bool:
        return self.eras.phase in (Stage.OPEN, Stage.ENDED)

    def unsettled(self) -> bool:
        """Whether tasks of jobs that nobody knows may still be somebody's."""
        return self.eras.phase is not None

    async def late(self) -> Merged | None:
        """Ask whom we could not ask before; with what they add, everything merged anew, or None without news. Raises
        what the store client raises."""
        before = len(self._sources)
        await self._ask_unheard()
        if len(self._sources) == before:
            return None
        left, _ = await self._store.list("", Urgency.LATER)
        return merge(self._sources, left, self.eras.mark, self.eras.old)

    def hurry(self, on: bool) -> None:
        """While much is written back, four fifths of the store's rate; else a leader's share."""
        self._store.set_share(REBUILD_SHARE if on else LEADER_SHARE)

    def all_told(self) -> bool:
        """Whether every peer told what it had followed, so that nothing that users were told can be missing."""
        told = {source.name for source in self._sources}
        return all(peer in told for peer in self._all_peers)

    async def _ask_unheard(self) -> None:
        connected = set(self._peers())
        for peer in sorted(self.unheard & connected):
            found = await of_peer(self._clock, self._ask, peer)
            if found is None:
                continue
            self.unheard.discard(peer)
            if isinstance(found, Source):
                self._sources.append(found)

    async def gather(self) -> tuple[Merged, Mark]:
        """Everything that is still known, and the revision of the store that it was compared with. Raises what
        the store client raises."""
        sources = list(self._snapshots())
        former = self._follower.former if self._follower is not None else None
        if former is not None:
            items = {item.key: item for item in former.picture.entries()}
            sources.append(Source(self._node, former.era, former.picture.revision, former.whole, items))
        self._sources = sources
        self.unheard = set()
        if not self.eras.old:
            # Also where a leader's own picture is there: it lacks nothing that leaders stored, but what users did
            # at other nodes in the last moment only those may have seen.
            self.unheard = set(self._all_peers)
            await self._ask_unheard()
        left, revision = await self._store.list("", Urgency.LEADERSHIP)
        merged = merge(sources, left, self.eras.mark, self.eras.old)
        log.info(
            "gathered from %s and %d keys left in the store: %d keys, %d of them to write back",
            ", ".join(merged.sources) or "nobody",
            len(left),
            len(merged.items),
            len(merged.missing("")),
        )
        return merged, revision


def picture_of(merged: Merged, revision: Mark) -> Picture:
    """What the store will hold, for whoever leads meanwhile: what it lacks still counts as old as can be."""
    picture = Picture()
    items = (Item(key, item.value, merged.there.get(key) or Mark(1)) for key, item in merged.items.items())
    picture.read(items, revision)
    return picture
