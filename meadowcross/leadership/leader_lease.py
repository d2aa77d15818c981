"""The store's lease that the leader's key is attached to, and how long this node can be certain of it."""

from __future__ import annotations

from math import inf

from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.types import LeaseId, Seconds
from meadowcross.store.client import (
    IndeterminateResultError,
    RequestRejectedError,
    StoreClient,
    StoreUnavailableError,
)

log = get_logger("leadership")


class LeaderLease:
    """At most one lease at a time.

    Its validity is counted from when the last answered request was sent, so that it never seems to live for longer
    than the store lets it. The methods that ask the store raise its errors unless they say otherwise.
    """

    def __init__(self, clock: Clock, store: StoreClient, ttl_s: Seconds) -> None:
        self._clock = clock
        self._store = store
        self._prepared_at = -inf
        self._valid_until = 0.0
        self.ttl_s = ttl_s
        self.lease_id: LeaseId | None = None

    def has_valid_lease(self) -> bool:
        """Whether the lease can't have ended, by when its last answered renewal was sent."""
        return self._clock.seconds() < self._valid_until

    @property
    def is_prepared(self) -> bool:
        """Whether a lease that was granted ahead of need has at least half its time left."""
        return self.lease_id is not None and self._clock.seconds() - self._prepared_at <= self.ttl_s / 2

    async def grant(self) -> LeaseId:
        """A new lease, which counts for nothing until `keep_prepared`."""
        return await self._store.grant_lease(self.ttl_s)

    def keep_prepared(self, lease_id: LeaseId, asked_at: float) -> None:
        """Keep a lease that was asked for at this instant, to campaign with or to be given the key under."""
        self.lease_id, self._prepared_at = lease_id, asked_at

    async def acquire(self) -> LeaseId:
        """A lease to campaign with: the prepared one, else the last one renewed, else a new one."""
        asked_at = self._clock.seconds()
        if self.lease_id is not None and self.is_prepared:
            asked_at = self._prepared_at
        elif self.lease_id is None or not await self._store.renew_lease(self.lease_id, self.ttl_s):
            self.lease_id = await self.grant()
        self._valid_until = asked_at + self.ttl_s
        return self.lease_id

    def confirm(self) -> None:
        """The leader's key is attached to our lease. Where another leader attached it, the lease may be older than the
        last one that we acquired."""
        self._valid_until = max(self._valid_until, self._prepared_at + self.ttl_s)

    async def renew(self, lease_id: LeaseId) -> bool:
        """Returns whether the lease still lives."""
        asked_at = self._clock.seconds()
        is_alive = await self._store.renew_lease(lease_id, self.ttl_s)
        if is_alive and lease_id == self.lease_id:
            self._valid_until = max(self._valid_until, asked_at + self.ttl_s)
        return is_alive

    def forget(self) -> None:
        """Rely on the lease no more; it is left to expire."""
        self.lease_id = None

    async def revoke(self) -> None:
        """End the lease at the store, and with it the leader's key. Without an answer it is left to expire."""
        lease_id, self.lease_id = self.lease_id, None
        if lease_id is None:
            return
        try:
            await self._store.revoke_lease(lease_id)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError):
            log.debug("lease %d is left to expire", lease_id)
