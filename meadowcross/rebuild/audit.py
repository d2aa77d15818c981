"""Looks for keys that the store lost without a word: compared with what a follower saw stored, a few at a time.

Versions only grow, and a key that is dropped is told as dropped. So one that the store has in an older version, or
not at all, while the feed, caught up after the question, still has it, was lost. One follower at a time asks.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import Seconds
from meadowcross.rebuild.era import Eras
from meadowcross.replica.follower import Follower
from meadowcross.store.budget import Urgency
from meadowcross.store.client import Refused, StoreClient, Unavailable, Unknown
from meadowcross.store.messages import Condition

log = logger("rebuild")

PACE_S: Seconds = 1.0
"""One request a second at the most; open work first, so that all of it is asked for within some ten seconds."""
REST_S: Seconds = 5.0
FAMILIES = ("j/", "t/", "w/", "e/")


class Audit:
    def __init__(
        self, clock: Clock, store: StoreClient, eras: Eras, follower: Follower, our_turn: Callable[[], bool]
    ) -> None:
        self._clock = clock
        self._store = store
        self._eras = eras
        self._follower = follower
        self._our_turn = our_turn

    async def run(self) -> None:
        while True:
            try:
                for family in FAMILIES:
                    await self._family(family)
            except (Unavailable, Unknown, Refused) as error:
                log.debug("audit waits: %s", error)
            except Exception:
                log.exception("audit failed")
            await pause(self._clock, REST_S)

    async def _family(self, family: str) -> None:
        keys = [item.key for item in self._follower.picture.items(family)]
        for first in range(0, len(keys), self._store.max_conditions):
            await pause(self._clock, PACE_S)
            if not self._follower.warm or not self._our_turn():
                return
            picture = self._follower.picture
            marks = {
                key: item.mark
                for key in keys[first : first + self._store.max_conditions]
                if (item := picture.get(key)) is not None
            }
            differ = await self._store.compare([Condition(key, mark) for key, mark in marks.items()], Urgency.LATER)
            for key in differ:
                await self._look(key)

    async def _look(self, key: str) -> None:
        """Newer, being dropped, or lost? Judged by what the picture had before the store was asked: once a chunk that
        was written between the question and the next look at the feed was taken for one that had gone back, every
        ten seconds on a busy day."""
        picture = self._follower.picture
        known = picture.get(key)
        if known is None:
            return
        item = await self._store.get(key, Urgency.LATER)
        if item is not None:
            if item.mark < known.mark:
                self._eras.lost(f"{key} went back from {known.mark} to {item.mark}")
            return
        await self._follower.glance(0.0)
        after = picture.get(key)
        if self._follower.warm and self._follower.picture is picture and after is not None and after.mark == known.mark:
            # The feed, which reaches beyond the question, tells of no drop.
            self._eras.lost(f"{key} is gone")
