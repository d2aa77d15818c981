"""Tracks the live gateways, and claims the partitions of tickets that this gateway owns.

A gateway is live while its member key, attached to its lease, exists. Partitions are assigned to live gateways by
rendezvous hashing (Thaler and Ravishankar, 1998), so that a gateway that joins or leaves moves only its own share. A
claim is a key attached to the owner's lease; its revision is a condition of every write of the owner, so that a gateway
that wrongly assumes it owns a partition can't write. No clock is trusted.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2s

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import LeaseId, Revision, Seconds
from meadowcross.openjd import records
from meadowcross.store import messages as store_messages
from meadowcross.store.client import (
    ConflictError,
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)
from meadowcross.store.token_bucket import RequestPriority

log = get_logger("tickets")

UPDATE_INTERVAL_S: Seconds = 1.0


def find_owner(partition: records.Partition, gateways: Iterable[str]) -> str | None:
    """The live gateway whose hash with the partition is highest; None without gateways."""

    def weight(gateway: str) -> bytes:
        return blake2s(f"{gateway}\0{partition}".encode(), digest_size=8).digest()

    return max(gateways, key=lambda gateway: (weight(gateway), gateway), default=None)


class Membership:
    """One gateway's membership: its lease, its member key and its claims on partitions."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        name: str,
        incarnation: str,
        lease_s: Seconds,
        on_claimed: Callable[[records.Partition], None],
        on_lost: Callable[[records.Partition], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._name = name
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._on_claimed = on_claimed
        self._on_lost = on_lost
        self._lease: LeaseId | None = None
        self._member_key = records.GATEWAY_PREFIX + name
        self._member_revision = Revision(0)
        self._stopped = False
        self.claims: dict[records.Partition, store_messages.Condition] = {}
        """The partitions that this gateway owns; each write for a partition requires its condition."""
        self.live_gateways: list[str] = []

    async def run(self) -> None:
        """Renew the lease and update the claims, until stopped."""
        renew_at = 0.0
        while not self._stopped:
            try:
                now = self._clock.seconds()
                if self._lease is None or now >= renew_at:
                    await self._keep_lease()
                    renew_at = now + self._lease_s / 4
                await self._update()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                # During an outage no other gateway can claim either, so this gateway keeps its claims.
                log.debug("membership not updated error=%s", error)
            except ConflictError:
                log.debug("partition claimed by another gateway first")
            except Exception:
                log.exception("membership update failed")
            await pause(self._clock, min(UPDATE_INTERVAL_S, self._lease_s / 4))

    async def stop(self) -> None:
        """Leave: revoke the lease, so that other gateways can claim the partitions at once."""
        self._stopped = True
        self._lose_all("stopped")
        lease, self._lease = self._lease, None
        if lease is not None:
            try:
                await self._store.revoke_lease(lease)
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError):
                log.debug("lease not revoked, left to expire lease=%d", lease)

    async def _keep_lease(self) -> None:
        if self._lease is not None and not await self._store.renew_lease(self._lease, self._lease_s):
            self._lose_all("lease expired")
            self._lease, self._member_revision = None, Revision(0)
        if self._lease is None:
            self._lease = await self._store.grant_lease(self._lease_s)

    def _lose_all(self, reason: str) -> None:
        for partition in list(self.claims):
            self._lose(partition, reason)

    def _lose(self, partition: records.Partition, reason: str) -> None:
        if self.claims.pop(partition, None) is not None:
            log.debug("partition lost partition=%d reason=%s", partition, reason)
            self._on_lost(partition)

    def lose(self, partition: records.Partition) -> None:
        """Give up a partition after a conflicting write showed that the claim no longer exists."""
        self._lose(partition, "claim deleted")

    async def _update(self) -> None:
        """Read all member keys and claims once, then join, release or claim as needed."""
        items, _ = await self._store.list_items(records.MEMBER_PREFIX, RequestPriority.LEADERSHIP)
        if self._stopped:
            return
        members: dict[str, store_messages.Item] = {}
        claims: dict[records.Partition, store_messages.Item] = {}
        for item in items:
            if item.key.startswith(records.GATEWAY_PREFIX):
                members[item.key.removeprefix(records.GATEWAY_PREFIX)] = item
            else:
                claims[records.Partition(int(item.key.removeprefix(records.CLAIM_PREFIX)))] = item
        own_member = members.get(self._name)
        if own_member is None:
            await self._join()
            return
        if records.decode_member(own_member.value).incarnation != self._incarnation:
            # The key belongs to an earlier process with this gateway's name; that process's lease will expire.
            return
        self._member_revision = own_member.mod_revision
        if sorted(members) != self.live_gateways:
            self.live_gateways = sorted(members)
            log.info("live gateways changed gateways=%s", ", ".join(self.live_gateways))
        self._sync_claims(claims)
        owned = [
            p for p in map(records.Partition, range(records.PARTITION_COUNT)) if find_owner(p, members) == self._name
        ]
        await self._release([p for p in self.claims if p not in owned])
        await self._claim([p for p in owned if p not in claims])

    async def _join(self) -> None:
        assert self._lease is not None
        put = store_messages.Put(
            self._member_key, store_messages.encode_raw(records.Member(self._name, self._incarnation)), self._lease
        )
        try:
            self._member_revision = await self._store.transact(
                [store_messages.Condition(self._member_key, Revision(0))], [put], RequestPriority.LEADERSHIP
            )
        except RequestRejectedError:
            # The lease has expired meanwhile.
            self._lease = None
            raise

    def _sync_claims(self, claims: dict[records.Partition, store_messages.Item]) -> None:
        """Adopt the claims as stored; a lost response may have hidden that a claim was stored or deleted."""
        for partition in list(self.claims):
            item = claims.get(partition)
            if item is None or item.mod_revision != self.claims[partition].mod_revision:
                self._lose(partition, "stored claim differs")
        for partition, item in claims.items():
            if partition not in self.claims and records.decode_member(item.value).incarnation == self._incarnation:
                self._add_claim(partition, item.mod_revision)

    def _add_claim(self, partition: records.Partition, revision: Revision) -> None:
        self.claims[partition] = store_messages.Condition(records.claim_key(partition), revision)
        self._on_claimed(partition)

    async def _claim(self, partitions: list[records.Partition]) -> None:
        batch_size = max(1, self._store.max_changes)
        for first in range(0, len(partitions), batch_size):
            batch = partitions[first : first + batch_size]
            value = store_messages.encode_raw(records.Member(self._name, self._incarnation))
            revision = await self._store.transact(
                [
                    store_messages.Condition(self._member_key, self._member_revision),
                    *(store_messages.Condition(records.claim_key(p), Revision(0)) for p in batch),
                ],
                [store_messages.Put(records.claim_key(p), value, self._lease) for p in batch],
                RequestPriority.LEADERSHIP,
            )
            if self._stopped:
                return
            for partition in batch:
                self._add_claim(partition, revision)
        if partitions:
            log.info("partitions claimed count=%d total=%d", len(self.claims), records.PARTITION_COUNT)

    async def _release(self, partitions: list[records.Partition]) -> None:
        """Release partitions to a gateway that joined: stop work on them first, then delete the claims."""
        for first in range(0, len(partitions), self._store.max_changes):
            batch = partitions[first : first + self._store.max_changes]
            held_claims = [self.claims[p] for p in batch if p in self.claims]
            for partition in batch:
                self._lose(partition, "owned by another gateway")
            if held_claims:
                await self._store.transact(
                    held_claims, [store_messages.Delete(claim.key) for claim in held_claims], RequestPriority.LEADERSHIP
                )


def start_membership(membership: Membership) -> None:
    """Run the membership in the background, until it is stopped."""
    Deferred.fromCoroutine(membership.run())
