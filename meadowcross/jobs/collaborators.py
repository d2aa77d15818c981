"""Interfaces of the user API to the rest of its controller: peers, the replica, the store's integrity."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from meadowcross.common.http import ServerResponse
from meadowcross.common.types import JobId, Revision
from meadowcross.jobs.job_reader import ReplicaLookup
from meadowcross.jobs.messages import JobProgress

RequestForwarder = Callable[[str, str, bytes], Awaitable[ServerResponse | None]]
"""Forwards a request to a peer and returns the peer's response, or None if there is none.

The arguments are the operation, the job's id ("" if the body holds the id) and the body.
"""


class StoreIntegrity(Protocol):
    """Whether the store still holds all data that was written to it, as far as users' requests depend on it."""

    def is_known(self) -> bool:
        """Whether the store epoch was read; False only after the start of this process."""

    def unavailable_reason(self) -> str | None:
        """Return the reason why no request can be served now, or None."""

    def may_unknown_job_exist(self) -> bool:
        """Whether a job without a record in the store may still have been accepted."""

    def has_reported_tasks(self, job: str, /) -> bool:
        """Whether workers reported tasks of a job whose submission record is lost."""


class IntactStore:
    """The integrity of a store that has never lost data."""

    def is_known(self) -> bool:
        """Return True."""
        return True

    def unavailable_reason(self) -> str | None:
        """Return None."""
        return None

    def may_unknown_job_exist(self) -> bool:
        """Return False."""
        return False

    def has_reported_tasks(self, _job: str, /) -> bool:
        """Return False."""
        return False


async def _no_response(*_arguments: object) -> None:
    return None


@dataclass(frozen=True, slots=True)
class PeerQueries:
    """Requests to the other controllers of the cluster. The defaults are those of a controller without peers."""

    progress: Callable[[JobId], Awaitable[JobProgress | None]] = _no_response
    """Returns the progress of an open job as the leader sees it; None if it is not known in time."""
    has_store: Callable[[], bool] = lambda: False
    """Whether a peer has access to the store."""
    forward: RequestForwarder = _no_response
    """Forwards a request to a peer that has access to the store."""
    leader_forwarder: Callable[[], RequestForwarder | None] = lambda: None
    """Returns the forwarder to the leader while only the leader has all ended jobs; None otherwise."""
    query_peer_with_history: Callable[[JobId], Awaitable[ServerResponse | None]] = _no_response
    """Queries a peer that has followed the store for longer, for a job without a record in the store."""
    has_unknown_leader: Callable[[], bool] = lambda: False
    """Whether a worker has reported the token of a leader that is unknown here. That leader was elected through the
    store, so the store's outage is not general, even if no peer can confirm it."""


@dataclass(frozen=True, slots=True)
class LocalReplica:
    """This controller's replica of the store; the defaults are those of a controller without one."""

    get: ReplicaLookup = lambda _key: None
    """Returns the item that the replica holds under a key, or None."""
    state: Callable[[], str] = lambda: "off"
    """Returns the replica's state, as `/ready` reports it."""


@dataclass(frozen=True, slots=True)
class JobEvents:
    """Callbacks for changes of stored jobs."""

    on_accepted: Callable[[str, msgspec.Raw, Revision], None] = lambda _key, _value, _revision: None
    """Called with the key, value and revision that a user's request wrote, before the replica's watch reports them."""
    on_missing: Callable[[JobId], None] = lambda _job: None
    """Called with a job that this controller saw stored and that has no record in the store any more."""
    on_cancelled: Callable[[JobId, Revision, bool], None] = lambda _job, _revision, _is_unrecorded: None
    """Called with a job whose cancellation is stored while its tasks are not proven gone, the revision of the
    cancellation, and whether the job is unrecorded, so that the cancellation is stored under the ended key only."""
