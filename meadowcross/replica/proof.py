"""Compares a picture with the store, in the background, by transactions that write nothing.

A term begins with the picture at once; every write is conditional anyway. This finds what conditions would only find
one by one, and late: a key that the picture has and the store has not, or in another version.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import Mark, Seconds
from meadowcross.replica.picture import Picture
from meadowcross.store.budget import Urgency
from meadowcross.store.client import Refused, StoreClient, Unavailable, Unknown
from meadowcross.store.messages import Condition

log = logger("replica")

WITHIN_S: Seconds = 8.0
"""All keys are compared within this time, a store that answers given."""
SETTLE_S: Seconds = 1.0
TRIES = 3
"""What differs is asked so often again: it may be just being written."""
FAMILIES = ("j/", "t/", "w/")


async def differences(
    clock: Clock, store: StoreClient, picture: Picture, still_wanted: Callable[[], bool]
) -> list[str] | None:
    """The keys that differ for good; None: not wanted any more, or the store gave no answer for long."""
    keys = [item.key for family in FAMILIES for item in picture.items(family)]
    size = store.max_conditions
    batches = [keys[first : first + size] for first in range(0, len(keys), size)]
    doubtful: dict[str, Mark] = {}
    for batch in batches:
        differ = await _compare(clock, store, picture, batch, still_wanted)
        if differ is None:
            return None
        doubtful |= differ
        await pause(clock, WITHIN_S / len(batches))
    for _ in range(TRIES):
        if not doubtful:
            break
        await pause(clock, SETTLE_S)
        differ = await _compare(clock, store, picture, list(doubtful)[:size], still_wanted)
        if differ is None:
            return None
        # In the picture it is another version now: it was being written when we asked.
        doubtful = {key: mark for key, mark in differ.items() if doubtful.get(key) == mark}
    return sorted(doubtful)


async def _compare(
    clock: Clock, store: StoreClient, picture: Picture, keys: list[str], still_wanted: Callable[[], bool]
) -> dict[str, Mark] | None:
    """Of these keys those that differ, with the picture's version."""
    for _ in range(TRIES):
        if not still_wanted():
            return None
        # As the picture has them now, some were written or dropped since.
        marks = {key: item.mark for key in keys if (item := picture.get(key)) is not None}
        try:
            changed = await store.compare([Condition(key, mark) for key, mark in marks.items()], Urgency.LATER)
        except (Unavailable, Unknown, Refused) as error:
            log.debug("comparing waits: %s", error)
            await pause(clock, SETTLE_S)
            continue
        return {key: marks[key] for key in changed if key in marks}
    return None
