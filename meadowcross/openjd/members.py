"""Which gateways live, and which partitions of the tickets each one drives.

A gateway lives while its key, attached to its hold, is there. Partitions are spread over the living by
rendezvous hashing (Thaler and Ravishankar, 1998), so one that comes or goes moves only its own share. A claim is a
key attached to the claimer's hold; its revision is a condition of every write that its owner makes,
so that a gateway that wrongly believes it owns a partition can't write. No clock is trusted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2s

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import LeaseId, Revision, Seconds
from meadowcross.openjd import records as r
from meadowcross.store import messages as sm
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("tickets")

TICK_S: Seconds = 1.0


def owner_of(partition: r.Partition, gateways: Iterable[str]) -> str | None:
    """The living gateway whose hash with the partition is highest."""

    def weight(gateway: str) -> bytes:
        return blake2s(f"{gateway}\0{partition}".encode(), digest_size=8).digest()

    return max(gateways, key=lambda gateway: (weight(gateway), gateway), default=None)


class Members:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        name: str,
        life: str,
        hold_s: Seconds,
        claimed: Callable[[r.Partition], None],
        lost: Callable[[r.Partition], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._name = name
        self._life = life
        self._hold_s = hold_s
        self._claimed = claimed
        self._lost = lost
        self._hold: LeaseId | None = None
        self._key = r.GATEWAYS + name
        self._mark = Revision(0)
        self._stopped = False
        self.claims: dict[r.Partition, sm.Condition] = {}
        """Of what we drive: the condition of every write."""
        self.living: list[str] = []

    async def run(self) -> None:
        renew_at = 0.0
        while not self._stopped:
            try:
                now = self._clock.seconds()
                if self._hold is None or now >= renew_at:
                    await self._keep_hold()
                    renew_at = now + self._hold_s / 4
                await self._round()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                # In an outage nobody else can claim either: what we drive stays ours.
                log.debug("membership waits: %s", error)
            except ConflictError:
                log.debug("a claim was made by another first")
            except Exception:
                log.exception("membership failed")
            await pause(self._clock, min(TICK_S, self._hold_s / 4))

    async def stop(self) -> None:
        """Leave: what we drive is free for the others at once."""
        self._stopped = True
        self._lose_all("stopped")
        hold, self._hold = self._hold, None
        if hold is not None:
            try:
                await self._store.revoke_lease(hold)
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError):
                log.debug("hold %d left to end by itself", hold)

    async def _keep_hold(self) -> None:
        if self._hold is not None and not await self._store.renew_lease(self._hold, self._hold_s):
            self._lose_all("hold ended")
            self._hold, self._mark = None, Revision(0)
        if self._hold is None:
            self._hold = await self._store.grant_lease(self._hold_s)

    def _lose_all(self, why: str) -> None:
        for partition in list(self.claims):
            self._lose(partition, why)

    def _lose(self, partition: r.Partition, why: str) -> None:
        if self.claims.pop(partition, None) is not None:
            log.debug("partition %d is no longer ours: %s", partition, why)
            self._lost(partition)

    def lose(self, partition: r.Partition) -> None:
        """A write showed that the claim is gone."""
        self._lose(partition, "its claim is gone")

    async def _round(self) -> None:
        items, _ = await self._store.list_items(r.MEMBERS, RequestPriority.LEADERSHIP)
        if self._stopped:
            return
        living: dict[str, sm.Item] = {}
        claims: dict[r.Partition, sm.Item] = {}
        for item in items:
            if item.key.startswith(r.GATEWAYS):
                living[item.key.removeprefix(r.GATEWAYS)] = item
            else:
                claims[r.Partition(int(item.key.removeprefix(r.CLAIMS)))] = item
        own = living.get(self._name)
        if own is None:
            await self._join()
            return
        if r.decode_member(own.value).life != self._life:
            # Our predecessor of the same name: its hold ends by itself.
            return
        self._mark = own.mod_revision
        if sorted(living) != self.living:
            self.living = sorted(living)
            log.info("living gateways: %s", ", ".join(self.living))
        self._see(claims)
        wanted = [p for p in map(r.Partition, range(r.PARTITIONS)) if owner_of(p, living) == self._name]
        await self._release([p for p in self.claims if p not in wanted])
        await self._claim([p for p in wanted if p not in claims])

    async def _join(self) -> None:
        assert self._hold is not None
        put = sm.Put(self._key, sm.encode_raw(r.Member(self._name, self._life)), self._hold)
        try:
            self._mark = await self._store.transact(
                [sm.Condition(self._key, Revision(0))], [put], RequestPriority.LEADERSHIP
            )
        except RequestRejectedError:
            # The hold ended meanwhile.
            self._hold = None
            raise

    def _see(self, claims: dict[r.Partition, sm.Item]) -> None:
        """What the keys say is so: also where a lost answer hid that a claim came about, or ended."""
        for partition in list(self.claims):
            item = claims.get(partition)
            if item is None or item.mod_revision != self.claims[partition].mod_revision:
                self._lose(partition, "its key says so")
        for partition, item in claims.items():
            if partition not in self.claims and r.decode_member(item.value).life == self._life:
                self._take(partition, item.mod_revision)

    def _take(self, partition: r.Partition, mark: Revision) -> None:
        self.claims[partition] = sm.Condition(r.claim_key(partition), mark)
        self._claimed(partition)

    async def _claim(self, partitions: list[r.Partition]) -> None:
        most = max(1, self._store.max_changes)
        for first in range(0, len(partitions), most):
            group = partitions[first : first + most]
            value = sm.encode_raw(r.Member(self._name, self._life))
            mark = await self._store.transact(
                [sm.Condition(self._key, self._mark), *(sm.Condition(r.claim_key(p), Revision(0)) for p in group)],
                [sm.Put(r.claim_key(p), value, self._hold) for p in group],
                RequestPriority.LEADERSHIP,
            )
            if self._stopped:
                return
            for partition in group:
                self._take(partition, mark)
        if partitions:
            log.info("drives %d of %d partitions", len(self.claims), r.PARTITIONS)

    async def _release(self, partitions: list[r.Partition]) -> None:
        """To a gateway that came: first nothing more is begun, then the claim goes."""
        for first in range(0, len(partitions), self._store.max_changes):
            group = partitions[first : first + self._store.max_changes]
            held = [self.claims[p] for p in group if p in self.claims]
            for partition in group:
                self._lose(partition, "another gateway's share")
            if held:
                await self._store.transact(held, [sm.Delete(one.key) for one in held], RequestPriority.LEADERSHIP)


def begin(members: Members) -> None:
    Deferred.fromCoroutine(members.run())
