"""Stored records of store epochs and recoveries, and the messages in which nodes send each other their replicas.

This module maps the names on the wire and in the store to attributes; no other module uses these names.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from msgspec import Raw, Struct, field

from meadowcross.common.types import NodeName, Revision, WallTime

LEADER_KEY = "lead"
EPOCH_KEY = "era"
RECOVERY_PROGRESS_KEY = "rebuild"


class StoreEpochRecord(Struct, frozen=True):
    """Record of the present epoch, stored under EPOCH_KEY.

    The record is never rewritten within an epoch, and every write to the store is conditional on its revision.
    """

    number: int = field(name="n")
    """Number of the epoch, from 0."""
    unique_id: str = field(name="x")
    """Distinguishes two epochs with the same number, for example after the store was replaced."""


class RecoveryStage(IntEnum):
    """Stages of a recovery, in their order."""

    OPEN_JOBS = 1
    """Open jobs, tasks and machines are written back; users' requests are answered with a request to retry."""
    ENDED_JOBS = 2
    """Ended jobs are written back; the leader answers requests for ended jobs from the collected state."""
    SETTLING = 3
    """All collected data is written back; a job without a record may still have been accepted before the loss."""


class RecoveryProgress(Struct, frozen=True):
    """Progress of a recovery, stored under RECOVERY_PROGRESS_KEY from the start of the epoch until it is complete."""

    epoch: int = field(name="n")
    stage: RecoveryStage = field(name="p")
    settling_until: WallTime | None = field(name="u", default=None)
    """End of the settling stage. Before it, a request for a job without a record gets status 503, not 404; None: the
    stage has no end."""
    proven_jobs: list[str] = field(name="j", default_factory=list)
    """Jobs whose records are lost but whose tasks still run on machines, which proves that they were submitted. These
    jobs stay known after `settling_until`, until their users submit them again."""


MAX_PROVEN_JOBS = 400
"""Limit for `RecoveryProgress.proven_jobs`, well within the size of a stored value."""


class ReplicaPartRequest(Struct, tag="picture?", tag_field="kind"):
    """Asks a peer for a part of its pre-loss replica."""

    number: int
    """Number of the request, which the response repeats."""
    after_key: str = field(name="after", default="")
    """The part begins with the first key above this one."""


class ReplicaPartItem(NamedTuple):
    """One key of a replica; an array on the wire."""

    key: str
    revision: Revision
    value: Raw


class ReplicaPart(Struct, tag="picture", tag_field="kind"):
    """Response to a ReplicaPartRequest: items of the pre-loss replica in the order of their keys."""

    number: int
    """Number of the request."""
    node: NodeName
    """The node that sends the part."""
    epoch: int | None = field(name="era", default=None)
    """Epoch in which the replica was followed; None: the peer has no pre-loss replica."""
    revision: Revision = Revision(0)
    """Revision up to which the replica follows the store."""
    is_complete: bool = field(name="whole", default=False)
    """Whether the replica is a leader's own, which has everything that was stored."""
    items: list[ReplicaPartItem] = []
    has_more: bool = field(name="more", default=False)
    """Whether further items follow the last one of this part."""


Message = ReplicaPartRequest | ReplicaPart
