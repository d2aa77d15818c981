"""Store epochs as stored, and how nodes send each other their replicas; wire and key names stay in this file."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from msgspec import Raw, Struct, field

from meadowcross.common.types import NodeName, Revision, WallTime

LEADER_KEY = "lead"
EPOCH_KEY = "era"
RECOVERY_PROGRESS_KEY = "rebuild"


class StoreEpochRecord(Struct, frozen=True):
    """Stored under EPOCH_KEY and never rewritten within an epoch: everything that is written is conditional on it."""

    number: int = field(name="n")
    unique_id: str = field(name="x")


class RecoveryStage(IntEnum):
    """How far a recovery has come."""

    OPEN_JOBS = 1
    """Open jobs, tasks and machines are written back; users are asked to retry."""
    ENDED_JOBS = 2
    """Ended jobs are written back; the leader answers for them from what it collected."""
    SETTLING = 3
    """All that was known is back; a job that nobody knows may still have been accepted."""


class RecoveryProgress(Struct, frozen=True):
    """Stored under RECOVERY_PROGRESS_KEY, from the beginning of an epoch until all is settled."""

    epoch: int = field(name="n")
    stage: RecoveryStage = field(name="p")
    settling_until: WallTime | None = field(name="u", default=None)
    """While settling: until then jobs that nobody knows are not said to be unknown; None: for ever."""
    proven_jobs: list[str] = field(name="j", default_factory=list)
    """Jobs of which nothing is left but tasks on machines. That proves that they were submitted, so they stay known,
    also once the time is up, until their users submit them again."""


MAX_PROVEN_JOBS = 400
"""Of RecoveryProgress; a value of the store holds so many with room to spare."""


class ReplicaPartRequest(Struct, tag="picture?", tag_field="kind"):
    """Asks a peer for what it followed before the loss, from the key after `after_key` on."""

    number: int
    after_key: str = field(name="after", default="")


class ReplicaPartItem(NamedTuple):
    """One key of a replica; an array on the wire."""

    key: str
    revision: Revision
    value: Raw


class ReplicaPart(Struct, tag="picture", tag_field="kind"):
    """Items in the order of their keys; without `epoch` the peer has no replica of before the loss."""

    number: int
    node: NodeName
    epoch: int | None = field(name="era", default=None)
    """In which the replica was followed."""
    revision: Revision = Revision(0)
    """Of the replica."""
    is_complete: bool = field(name="whole", default=False)
    """The replica is a leader's own, and lacks nothing that was stored."""
    items: list[ReplicaPartItem] = []
    has_more: bool = field(name="more", default=False)


Message = ReplicaPartRequest | ReplicaPart
