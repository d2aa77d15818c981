"""What the user API needs of the rest of a node: peers, the replica, the state service's integrity."""

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
"""Returns a peer's answer to an operation, a job's id ("" where it is in the body) and a body; None without one."""


class StoreIntegrity(Protocol):
    """Whether the state service still holds what was stored in it, as far as requests need to know."""

    def is_known(self) -> bool:
        """Whether the store epoch was read; False only at the start."""

    def unavailable_reason(self) -> str | None:
        """Return why no request can be served now, or None."""

    def may_unknown_job_exist(self) -> bool:
        """Whether a job that the store does not know may have been accepted all the same."""

    def is_job_proven(self, job: str, /) -> bool:
        """Whether workers had tasks of a job whose submission is lost."""


class IntactStore:
    """A state service that has never lost data."""

    def is_known(self) -> bool:
        """Return True."""
        return True

    def unavailable_reason(self) -> str | None:
        """Return None."""
        return None

    def may_unknown_job_exist(self) -> bool:
        """Return False."""
        return False

    def is_job_proven(self, _job: str, /) -> bool:
        """Return False."""
        return False


async def _no_response(*_arguments: object) -> None:
    return None


@dataclass(frozen=True, slots=True)
class PeerQueries:
    """How other nodes of the cluster are asked."""

    progress: Callable[[JobId], Awaitable[JobProgress | None]] = _no_response
    """Returns what the leader knows of an open job; None where that is not known in time."""
    has_store: Callable[[], bool] = lambda: False
    """Whether a peer has a state service that answers."""
    forward: RequestForwarder = _no_response
    leader_forwarder: Callable[[], RequestForwarder | None] = lambda: None
    """Returns how to ask the leader, while only it knows all ended jobs; otherwise None."""
    ask_peer_with_history: Callable[[JobId], Awaitable[ServerResponse | None]] = _no_response
    """Returns what a node that has followed the store for longer says of a job that the store does not know."""
    has_unknown_leader: Callable[[], bool] = lambda: False
    """Whether a worker has shown the token of a leader unknown here. The state service elected it, so that there is
    no general outage, even where no peer can say so."""


@dataclass(frozen=True, slots=True)
class LocalReplica:
    """This node's replica of the store, if it keeps one."""

    get: ReplicaLookup = lambda _key: None
    state: Callable[[], str] = lambda: "off"
    """Returns the replica's state, as `/ready` reports it."""


@dataclass(frozen=True, slots=True)
class JobEvents:
    """What is told of stored jobs."""

    on_accepted: Callable[[str, msgspec.Raw, Revision], None] = lambda _key, _value, _revision: None
    """Called with a key that was written for a user, ahead of the replica's feed."""
    on_missing: Callable[[JobId], None] = lambda _job: None
    """Called with a job that this node saw stored, and that the store does not know."""
    on_cancelled: Callable[[JobId, Revision, bool], None] = lambda _job, _revision, _is_unrecorded: None
    """Called with a job whose cancel is stored and whose tasks are not proven gone, the cancel's revision, and
    whether it is stored under the ended key only."""
