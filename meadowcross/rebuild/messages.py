"""Eras as stored, and what nodes ask each other of their pictures; wire and key names stay here."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Raw, Struct, field

from meadowcross.common.types import Mark, NodeName, WallTime

LEADER_KEY = "lead"
ERA_KEY = "era"
PROGRESS_KEY = "rebuild"


class EraRecord(Struct, frozen=True):
    """Under `era`, never rewritten within an era: everything that is written is conditional on it."""

    number: int = field(name="n")
    name: str = field(name="x")


class Stage(IntEnum):
    """How far a rebuild has come."""

    OPEN = 1
    """Open jobs, tasks and machines come back; users are told to come again."""
    ENDED = 2
    """Ended jobs come back; who leads answers for them from what it gathered."""
    SETTLING = 3
    """All that was known is back; jobs that nobody knows may still be somebody's."""


class Progress(Struct, frozen=True):
    """Under `rebuild`, from the beginning of an era until all is settled."""

    era: int = field(name="n")
    phase: Stage = field(name="p")
    until: WallTime | None = field(name="u", default=None)
    """While settling: until then jobs that nobody knows are not said to be unknown; none: for ever."""
    known: list[str] = field(name="j", default_factory=list)
    """Jobs of which nothing is left but tasks on machines: that proves that they were submitted, so they stay known,
    also once time is up, until their users submit them again."""


MOST_KNOWN = 400
"""Of them; what a value of the state service holds with room to spare."""


class PictureWanted(Struct, tag="picture?", tag_field="kind"):
    """What did you follow before the loss? From this key on."""

    number: int
    after: str = ""


class PicturePart(Struct, tag="picture", tag_field="kind"):
    """Keys in order, with their versions; `era` and `revision` of the picture, none where there is no picture."""

    number: int
    node: NodeName
    era: int | None = None
    revision: Mark = Mark(0)
    whole: bool = False
    """It was a leader's own, which lacks nothing that was stored."""
    items: list[tuple[str, Mark, Raw]] = []
    more: bool = False


Message = PictureWanted | PicturePart
