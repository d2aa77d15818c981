"""Eras: whether the state service still holds what was stored in it.

A store that came back empty, or as it was minutes ago, answers like any other. What gives it away: the era's record
is gone or another; a revision lower than one seen before the question was sent; a version of a key of ours that went
back; a worker's token that the store's own count has not reached. Each of these is proof, and none is a matter of
time, so slow, late or missing answers raise no alarm.
"""

from __future__ import annotations

import uuid
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import Mark, Seconds, Token, era_of, token_of
from meadowcross.rebuild.messages import ERA_KEY, LEADER_KEY, PROGRESS_KEY, EraRecord, Progress, Stage
from meadowcross.store import messages as sm
from meadowcross.store.budget import Urgency
from meadowcross.store.client import Conflicted, Refused, StoreClient, Unavailable, Unknown

log = logger("rebuild")

LOOK_S: Seconds = 0.3
"""Between looks at the record, while something is the matter with it."""
OLDER_S: Seconds = 5.0
"""Beyond this a machine's age is not explained by clocks, or by who rented what just now."""
AT_START_S: Seconds = 0.02
START_KEYS = (ERA_KEY, LEADER_KEY, "types")
"""What a new cluster's nodes may store before anybody else does."""
decode_era = msgspec.json.Decoder(EraRecord).decode
decode_progress = msgspec.json.Decoder(Progress).decode


class State(Enum):
    UNKNOWN = "unknown"
    WHOLE = "whole"
    LOST = "lost"
    REBUILDING = "rebuilding"


class Eras:
    """What this node knows of the store's era, and whether it may rely on the store."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        on_lost: Callable[[str], None],
        on_whole: Callable[[], None],
        oldest_rental: Callable[[], Awaitable[Seconds | None]],
        floor: Callable[[], tuple[int, int]] = lambda: (0, 0),
    ) -> None:
        """`oldest_rental` tells the age of the oldest machine that the cloud lists, 0 where it lists none, or None
        without an answer; `floor` the era and revision that the store is known to have reached, by a snapshot."""
        self._floor = floor
        self._on_whole = on_whole
        self._oldest_rental = oldest_rental
        self._began = 0.0
        self._clock = clock
        self._store = store
        self._on_lost = on_lost
        self.record: EraRecord | None = None
        self.mark = Mark(0)
        self.state = State.UNKNOWN
        self.progress: Progress | None = None
        self._progress_mark = Mark(0)
        self.why = ""
        self.highest = Token(0)
        """The highest token seen anywhere: on workers, in peers' beats, in snapshots."""
        self.old = False
        """The loss is older than anything that this node, or who told it, has followed."""
        self.fresh = False
        """We began the era on an empty store, and nothing has shown yet that there was none before."""
        self._doubted = False
        store.guard = self

    # For the store client

    def condition(self) -> sm.Condition | None:
        """What all writes and comparisons carry, so that none succeeds on a store of another era. Raises
        Unavailable where the store can't be relied on."""
        if self.state is State.LOST:
            raise Unavailable(f"the state service has lost data: {self.why}")
        if self.record is None:
            raise Unavailable("the state service's era is not known yet")
        return sm.Condition(ERA_KEY, self.mark)

    def another(self) -> None:
        """The condition failed: the record is gone, or another one."""
        self._doubted = True

    def went_back(self, seen: Mark, told: Mark) -> None:
        """A request sent after revision `seen` was seen was answered with a lower one."""
        self.lost(f"its revision went back from {seen} to {told}")

    # What was noticed

    def lost(self, why: str, old: bool = False) -> None:
        """Proof that data was lost: hold still until a rebuild has a leader. `old`: before this node followed, so
        that what it knows is no more than the store has."""
        if self.state not in (State.WHOLE, State.REBUILDING):
            return
        self.state, self.why, self.old = State.LOST, why, old
        log.error("the state service has lost data: %s", why)
        self._on_lost(why)

    def is_lost(self) -> bool:
        return self.state is State.LOST

    def token_seen(self, token: Token) -> None:
        self.highest = max(self.highest, token)

    def told_lost(self, number: int, node: str, old: bool) -> None:
        """A peer has proof for the era that we are in."""
        if self.record is not None and self.record.number == number:
            self.lost(f"{node} has noticed it", old)

    # What it is now

    async def run(self) -> None:
        while True:
            try:
                if self.state is not State.WHOLE or self._doubted:
                    await self.look()
                if self.fresh:
                    await self._prove_new()
            except (Unavailable, Unknown, Refused) as error:
                log.debug("the era can't be read: %s", error)
            except Exception:
                log.exception("looking at the era failed")
            # Nobody is served before the record is known: another node may just have written it.
            await pause(self._clock, LOOK_S if self.record is not None else AT_START_S)

    async def look(self) -> None:
        """Read the record and compare it with what we know."""
        item = await self._store.get(ERA_KEY, Urgency.LEADERSHIP)
        self._doubted = False
        known = self.record
        if item is None:
            if known is None:
                await self._begin()
            else:
                self.lost("the era's record is gone")
            return
        record = decode_era(item.value)
        if known is not None and (
            record.number < known.number
            or (record.number == known.number and (record.name, item.mark) != (known.name, self.mark))
        ):
            self.lost(f"it tells of era {record.number}, ours is {known.number}")
            return
        new = known is None or record.number > known.number
        if not new and self.is_lost():
            # Lost within this era: only a new one ends that.
            return
        progress = await self._store.get(PROGRESS_KEY, Urgency.LEADERSHIP)
        if self.record is not known or (not new and self.is_lost()):
            # Meanwhile we began an era ourselves, or a loss was noticed: what was read is from before.
            return
        if new:
            if known is not None:
                log.info("era %d follows era %d", record.number, known.number)
                self._store.restart(item.mark)
            # Only now, with all that requests ask for: a node that was ready once refused its first submission.
            self.record, self.mark = record, item.mark
        self.progress_found(progress)
        self.state = State.WHOLE if self.progress is None else State.REBUILDING
        if known is None:
            await self._compare_floor(record.number)
        if not self.is_lost():
            self._tell_whole()

    async def _compare_floor(self, number: int) -> None:
        """At our start: a snapshot of later than what the store holds proves a loss that nobody saw."""
        floor = self._floor()
        if floor == (0, 0):
            return
        revision = (await self._store.page("", 1)).revision
        if (number, revision) < floor:
            self.lost(f"a snapshot has era {floor[0]}, revision {floor[1]}; it is at {number}, {revision}", True)

    def _tell_whole(self) -> None:
        """All that was known is back: pictures of before the loss are no longer needed."""
        if self.progress is None or self.progress.phase is Stage.SETTLING:
            self._on_whole()

    async def _begin(self) -> None:
        """The first era: of a new cluster, or of one whose store was written by an earlier version."""
        record = EraRecord(0, uuid.uuid4().hex)
        try:
            self.mark = await self._store.transact_bare(
                [sm.Condition(ERA_KEY, Mark(0))], [sm.Put(ERA_KEY, sm.raw(record))], Urgency.LEADERSHIP
            )
        except Conflicted:
            return  # Another node's; the next look reads it.
        self.record, self.state = record, State.WHOLE
        # Users wait for a start: what else there is, is asked for only where this was not the first change of all.
        self.fresh = self.mark == 1 or all(
            item.key in START_KEYS for item in (await self._store.page("", len(START_KEYS) + 1)).items
        )
        self._began = self._clock.seconds()
        await self._compare_floor(0)
        log.info("era 0 begins on %s store", "an empty" if self.fresh else "an earlier version's")

    async def _prove_new(self) -> None:
        """An empty store is a new cluster's, or one that has lost everything while nobody watched: then the cloud
        lists machines that are older than our beginning."""
        oldest = await self._oldest_rental()
        if oldest is None:
            return
        if oldest > self._clock.seconds() - self._began + OLDER_S:
            self.lost(f"it is empty, and the cloud lists a machine rented {oldest:.0f} s ago", True)
        self.fresh = False

    # For a leader

    def token(self, mark: Mark) -> Token | None:
        """The token of the leader whose key has this version; None where a new era must begin first."""
        if self.state not in (State.WHOLE, State.REBUILDING) or self.record is None:
            return None
        token = token_of(self.record.number, mark)
        return token if token > self.highest else None

    async def renew(self, leader_key: str, mark: Mark, others: int) -> Token | None:
        """Begin a new era under our leader's key: its tokens are higher than any seen. None: not ours to begin,
        or nothing was lost. Raises what the store client raises."""
        item = await self._store.get(ERA_KEY, Urgency.LEADERSHIP)
        there = decode_era(item.value) if item is not None else None
        known = self.record.number if self.record is not None else 0
        if there is not None and there.number > known:
            await self.look()
            return self.token(mark)
        number = max(known, others, era_of(self.highest), self._floor()[0], there.number if there else 0) + 1
        record = EraRecord(number, uuid.uuid4().hex)
        progress = Progress(number, Stage.OPEN)
        self.mark = await self._store.transact_bare(
            [sm.Condition(leader_key, mark), sm.Condition(ERA_KEY, item.mark if item is not None else Mark(0))],
            [sm.Put(ERA_KEY, sm.raw(record)), sm.Put(PROGRESS_KEY, sm.raw(progress))],
            Urgency.LEADERSHIP,
        )
        self._store.restart(self.mark)
        self.record, self.progress, self.state, self.fresh = record, progress, State.REBUILDING, False
        self._progress_mark = self.mark
        log.info("era %d begins, after the loss in the one before: %s", number, self.why or "a token from beyond it")
        return token_of(number, mark)

    def progress_stands(self) -> sm.Condition:
        """On which its record is rewritten: a stage that was carried out late, once all was settled, sent all users'
        requests to the leader for as long as it led."""
        return sm.Condition(PROGRESS_KEY, self._progress_mark)

    def progress_found(self, item: sm.Item | None) -> None:
        """What the store holds of it."""
        self.progress = decode_progress(item.value) if item is not None else None
        self._progress_mark = item.mark if item is not None else Mark(0)

    def now_at(self, progress: Progress | None, mark: Mark) -> None:
        """Our own rebuild has come further, by a transaction of this revision."""
        self._progress_mark = mark if progress is not None else Mark(0)
        self.progress = progress
        self.state = State.WHOLE if progress is None else State.REBUILDING
        self._tell_whole()

    # For users' requests

    @property
    def phase(self) -> Stage | None:
        return self.progress.phase if self.state is State.REBUILDING and self.progress is not None else None

    def closed(self) -> str | None:
        """Why no request can be served now, or None."""
        if self.state is State.LOST:
            return "the state service has lost data; a rebuild is waited for"
        if self.state is State.UNKNOWN:
            return "the state service was not read yet"
        return "lost data is being written back" if self.phase is Stage.OPEN else None

    def unknown_may_be_somebodys(self) -> bool:
        """Whether a job that the store does not know may have been accepted all the same."""
        if self.phase is Stage.SETTLING and self.progress is not None and self.progress.until is not None:
            return self._clock.seconds() < self.progress.until
        return self.fresh or self.phase is not None

    def shown_by_machines(self, job: str) -> bool:
        """Whether the job's submission is lost, but machines had tasks of it."""
        return self.progress is not None and job in self.progress.known
