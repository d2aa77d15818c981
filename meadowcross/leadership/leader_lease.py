"""The leader lease: the lease of the store that the leader key is attached to, and how long it is certainly valid."""

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
    """Holds at most one lease at a time.

    The validity of a lease is counted from the instant at which the last successful request was sent, so that the
    local estimate never exceeds the time of the store. Methods that send requests raise the errors of the store client
    unless their docstrings say otherwise.
    """

    def __init__(self, clock: Clock, store: StoreClient, ttl_s: Seconds) -> None:
        self._clock = clock
        self._store = store
        self._prepared_at = -inf
        self._valid_until = 0.0
        self.ttl_s = ttl_s
        self.lease_id: LeaseId | None = None

    def has_valid_lease(self) -> bool:
        """Return whether the lease can't have expired, by the send time of its last successful renewal."""
        return self._clock.seconds() < self._valid_until

    @property
    def is_prepared(self) -> bool:
        """Whether a lease that was requested in advance has at least half its time left."""
        return self.lease_id is not None and self._clock.seconds() - self._prepared_at <= self.ttl_s / 2

    async def grant(self) -> LeaseId:
        """Return a new lease of the store. It is not used before `keep_prepared` is called with it."""
        return await self._store.grant_lease(self.ttl_s)

    def keep_prepared(self, lease_id: LeaseId, requested_at: float) -> None:
        """Keep a lease that was requested at this instant, for a campaign or for a leadership transfer to this node."""
        self.lease_id, self._prepared_at = lease_id, requested_at

    async def acquire(self) -> LeaseId:
        """Return a lease to campaign with: the prepared lease, else the current lease if renewed, else a new lease."""
        requested_at = self._clock.seconds()
        if self.lease_id is not None and self.is_prepared:
            requested_at = self._prepared_at
        elif self.lease_id is None or not await self._store.renew_lease(self.lease_id, self.ttl_s):
            self.lease_id = await self.grant()
        self._valid_until = requested_at + self.ttl_s
        return self.lease_id

    def confirm(self) -> None:
        """Extend the validity because the leader key is attached to this lease.

        In a leadership transfer the previous leader attaches the key to the prepared lease. Then the validity counts
        from the request for that lease, not from the last `acquire`.
        """
        self._valid_until = max(self._valid_until, self._prepared_at + self.ttl_s)

    async def renew(self, lease_id: LeaseId) -> bool:
        """Renew the lease; return whether the lease still exists."""
        requested_at = self._clock.seconds()
        is_alive = await self._store.renew_lease(lease_id, self.ttl_s)
        if is_alive and lease_id == self.lease_id:
            self._valid_until = max(self._valid_until, requested_at + self.ttl_s)
        return is_alive

    def forget(self) -> None:
        """Stop using the lease without a revocation; it expires at the store."""
        self.lease_id = None

    async def revoke(self) -> None:
        """Revoke the lease at the store, which deletes the leader key.

        If the store does not confirm the revocation, the lease is left to expire, and no error is raised.
        """
        lease_id, self.lease_id = self.lease_id, None
        if lease_id is None:
            return
        try:
            await self._store.revoke_lease(lease_id)
        except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError):
            log.debug("lease not revoked, left to expire lease=%d", lease_id)
