"""Eras as stored, and what nodes ask each other of their pictures; wire and key names stay here."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Raw, Struct, field

from meadowcross.common.types import NodeName, Revision, WallTime

LEADER_KEY = "lead"
EPOCH_KEY = "era"
RECOVERY_PROGRESS_KEY = "rebuild"


class StoreEpochRecord(Struct, frozen=True):
    """Under `era`, never rewritten within an era: everything that is written is conditional on it."""

    number: int = field(name="n")
    unique_id: str = field(name="x")


class RecoveryStage(IntEnum):
    """How far a rebuild has come."""

    OPEN_JOBS = 1
    """Open jobs, tasks and machines come back; users are told to come again."""
    ENDED_JOBS = 2
    """Ended jobs come back; who leads answers for them from what it gathered."""
    SETTLING = 3
    """All that was known is back; jobs that nobody knows may still be somebody's."""


class RecoveryProgress(Struct, frozen=True):
    """Under `rebuild`, from the beginning of an era until all is settled."""

    epoch: int = field(name="n")
    stage: RecoveryStage = field(name="p")
    settling_until: WallTime | None = field(name="u", default=None)
    """While settling: until then jobs that nobody knows are not said to be unknown; none: for ever."""
    proven_jobs: list[str] = field(name="j", default_factory=list)
    """Jobs of which nothing is left but tasks on machines: that proves that they were submitted, so they stay known,
    also once time is up, until their users submit them again."""


MAX_PROVEN_JOBS = 400
"""Of them; what a value of the state service holds with room to spare."""


class ReplicaPartRequest(Struct, tag="picture?", tag_field="kind"):
    """What did you follow before the loss? From this key on."""

    number: int
    after_key: str = field(name="after", default="")


class ReplicaPart(Struct, tag="picture", tag_field="kind"):
    """Keys in order, with their versions; `era` and `revision` of the picture, none where there is no picture."""

    number: int
    node: NodeName
    epoch: int | None = field(name="era", default=None)
    revision: Revision = Revision(0)
    is_complete: bool = field(name="whole", default=False)
    """It was a leader's own, which lacks nothing that was stored."""
    items: list[tuple[str, Revision, Raw]] = []
    has_more: bool = field(name="more", default=False)


Message = ReplicaPartRequest | ReplicaPart
