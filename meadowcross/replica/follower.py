"""Follows the store: one full read, then its feed of changes, at a bounded pace.

A node that leads is told of its own writes instead, which costs no request, and follows again when its term ends.
A node that is short of memory lets the picture go; one whose own timers come late asks less often.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple

from msgspec import Raw
from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import Instant, Mark, Seconds
from meadowcross.replica.picture import Counts, Picture
from meadowcross.store.budget import Urgency
from meadowcross.store.client import Refused, StoreClient, Unavailable, Unknown, WatchTooOld
from meadowcross.store.messages import Drop, Event, Item, Put

log = logger("replica")

PACE_S: Seconds = 0.4
"""Between two looks at the feed: two and a half requests a second at the most, whatever changes."""
SLOWEST_S: Seconds = 2.0
LATE_S: Seconds = 0.5
"""A timer this late tells that this process has no time to spare."""
WATCH_S: Seconds = 5.0
RETRY_S: Seconds = 1.0
RATE_OVER_S: Seconds = 5.0
"""How often the leader writes is counted over so long."""
LED_S: Seconds = 5.0
"""Peers that noticed a loss tell within a beat of a second, once they are heard."""
ENDED = "e/"
LEADERS = ("t/", "w/", ENDED)
"""Only a leader writes below these."""


class State(Enum):
    COLD = "cold"
    WARM = "warm"
    LEADING = "leading"
    FROZEN = "frozen"
    """The store has lost data: what was followed before is kept for the rebuild."""
    OFF = "off"


class Former(NamedTuple):
    """A picture of before a loss."""

    picture: Picture
    era: int
    whole: bool
    """This node led: its picture lacks nothing that was stored."""


class Follower:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        most_bytes: int,
        ended: Callable[[str, Raw], None] = lambda key, value: None,
    ) -> None:
        """`ended` is told of each ended job once its key is in the picture: followed, or written by us."""
        self._ended = ended
        self._clock = clock
        self._store = store
        self._most_bytes = most_bytes
        self.picture = Picture()
        self.state = State.COLD
        self._pace: Seconds = PACE_S
        self._writes: deque[tuple[Instant, int]] = deque()
        self._looked_at = Instant(0.0)
        self._wrote_at = Instant(0.0)
        self._resumed: Deferred[None] | None = None
        self.former: Former | None = None
        self._read_at = self._led_from = Instant(0.0)
        self._own = False
        """The picture is that of our own last term, not read since."""
        self.read_again = 0
        """How often the picture was read anew after the first time."""

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    @property
    def warm(self) -> bool:
        return self.state is State.WARM

    def get(self, key: str) -> Item | None:
        """As the picture has it, which may lag behind the store."""
        return self.picture.get(key)

    def _become(self, state: State, why: str) -> None:
        if state is not self.state:
            log.info(
                "replica %s: %s (%d keys, about %d KB, revision %d)",
                state.value,
                why,
                sum(self.picture.counts()),
                self.picture.size // 1024,
                self.picture.revision,
            )
            self.state = state

    async def run(self) -> None:
        while self.state is not State.OFF:
            if self.state in (State.LEADING, State.FROZEN):
                self._resumed = Deferred()
                await self._resumed
                continue
            try:
                if self.state is State.COLD:
                    await self._read()
                else:
                    await self._follow()
            except WatchTooOld:
                self.let_go("the feed no longer reaches back")
            except (Unavailable, Unknown) as error:
                log.debug("replica waits: %s", error)
                await pause(self._clock, RETRY_S)
            except Refused as error:
                self._become(State.OFF, f"the state service refuses to be followed: {error}")
            except Exception:
                log.exception("following failed")
                self.let_go("an error")
                await pause(self._clock, RETRY_S)

    async def _read(self) -> None:
        picture = Picture()
        items, revision = await self._store.list("", Urgency.LATER)
        if self.state is not State.COLD:
            return
        picture.read(items, revision)
        self.picture, self._own = picture, False
        self._read_at = self.now
        self._become(State.WARM, "read")
        self._check_size()

    async def _follow(self) -> None:
        due = self.now + self._pace
        await pause(self._clock, self._pace)
        # Who is late itself asks less often, down to a bound, until it keeps up again.
        late = self.now - due > LATE_S
        self._pace = min(SLOWEST_S, 2 * self._pace) if late else max(PACE_S, self._pace / 2)
        if self.state is State.WARM:
            await self._look(WATCH_S)

    async def _look(self, wait: Seconds) -> bool:
        """Take in what has changed; waits at most so long for something. False: nothing new."""
        asked = self.now
        picture = self.picture
        seen = await self._store.watch("", picture.revision, wait)
        if picture is not self.picture or self.state is not State.WARM:
            return False
        self._looked_at = max(self._looked_at, asked) if not seen.events else self.now
        self._note_writes(seen.events, picture.revision)
        changed = picture.apply(seen.events, seen.revision)
        for event in seen.events:
            if event.written is not None and event.written.startswith(ENDED):
                self._ended(event.written, event.value)
        self._check_size()
        return changed

    def _note_writes(self, events: Sequence[Event], since: Mark) -> None:
        marks = {event.mark for event in events if event.mark > since and event.key.startswith(LEADERS)}
        if marks:
            self._wrote_at = self.now
            self._writes.append((self.now, len(marks)))
        while self._writes and self.now - self._writes[0][0] > RATE_OVER_S:
            self._writes.popleft()

    def _check_size(self) -> None:
        if self.picture.size > self._most_bytes:
            self.picture = Picture()
            self._become(State.OFF, f"it would take more than {self._most_bytes // 2**20} MB")

    def long_since(self, seconds: Seconds) -> bool:
        """Whether the picture goes back at least so far."""
        return self.state in (State.WARM, State.LEADING) and self.now - self._read_at >= seconds

    def let_go(self, why: str) -> None:
        """The picture can't be relied on: read anew before it is used again."""
        if self.state in (State.WARM, State.LEADING):
            self.read_again += 1
            self.picture = Picture()
            self._become(State.COLD, why)
            self._resume()

    def _resume(self) -> None:
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    # For whoever wonders whether the leader still lives

    def write_rate(self) -> float:
        """Transactions a second that a leader stored lately."""
        return sum(count for at, count in self._writes if self.now - at <= RATE_OVER_S) / RATE_OVER_S

    def quiet_since(self, since: Instant) -> Seconds:
        """For how long, from `since` on, the store is known to have taken nothing from a leader."""
        return max(0.0, self._looked_at - max(since, self._wrote_at))

    async def glance(self, wait: Seconds) -> None:
        """Look at the feed now, beside the usual pace. Raises what the store client raises."""
        if self.state is State.WARM:
            try:
                await self._look(wait)
            except WatchTooOld:
                self.let_go("the feed no longer reaches back")

    # For a new leader

    async def take(self, token: Mark) -> Picture | None:
        """The picture, complete up to the revision of the new leader's own key, so that it holds all that
        earlier leaders stored; None: read everything. Raises what the store client raises."""
        if self.state is not State.WARM:
            return None
        picture = self.picture
        if picture.revision < token:
            try:
                await self._look(0.0)
            except WatchTooOld:
                self.let_go("the feed no longer reaches back")
                return None
        if self.state is not State.WARM or picture is not self.picture or picture.revision < token:
            log.info("replica not used: it reaches revision %d, the leader's key has %d", picture.revision, token)
            return None
        return picture

    def lead(self, picture: Picture, whole: bool) -> None:
        """A term begins with this picture, and tells of what it writes and sees; not `whole`: ended jobs, which
        no term needs, are still to be read."""
        if self.state is not State.OFF:
            self.picture = picture
            self._led_from = self.now
            self._become(State.LEADING, "this node leads")
            if not whole:
                Deferred.fromCoroutine(self._read_ended(picture))

    async def _read_ended(self, picture: Picture) -> None:
        while self.state is State.LEADING and picture is self.picture:
            try:
                # They are never dropped, so what is read late can undo nothing.
                for item in (await self._store.list(ENDED, Urgency.LATER))[0]:
                    picture.put(item.key, item.value, item.mark)
                return
            except (Unavailable, Unknown, Refused) as error:
                log.debug("ended jobs not read yet: %s", error)
                await pause(self._clock, RETRY_S)

    def written(self, mark: Mark, changes: Sequence[Put | Drop]) -> None:
        """Our own transaction was stored."""
        if self.state is State.LEADING:
            for change in changes:
                if isinstance(change, Put):
                    self.picture.put(change.key, change.value, mark)
                    if change.key.startswith(ENDED):
                        self._ended(change.key, change.value)
                else:
                    self.picture.drop(change.key, mark)

    def found(self, key: str, item: Item | None) -> None:
        """What a key holds, read after a transaction whose outcome was not known."""
        if self.state is State.LEADING:
            if item is not None:
                self.picture.put(item.key, item.value, item.mark)
                if key.startswith(ENDED):
                    self._ended(key, item.value)
            elif (known := self.picture.get(key)) is not None:
                self.picture.drop(key, Mark(known.mark + 1))

    def accepted(self, key: str, value: Raw, mark: Mark) -> None:
        """This node stored something for a user; the feed will tell it again. Nobody else may know it yet. Where the
        feed was faster it has told already what became of it."""
        if self.state in (State.WARM, State.LEADING) and mark > self.picture.revision:
            self.picture.put(key, value, mark)

    def followed(self) -> Mark:
        """For whoever asks who knows most of the store as it was before a loss; a leader knows all."""
        former = self.former
        if former is None:
            return self.picture.revision
        return Mark(former.picture.newest + 1) if former.whole else former.picture.revision

    def seen(self, events: Sequence[Event], revision: Mark) -> None:
        """What users stored, as the term's own watch of open jobs tells it."""
        if self.state is State.LEADING:
            for event in events:
                # What has ended by our own transaction is over, though the watch tells only now how it changed before.
                if event.written is not None and self.picture.get(ENDED + event.written[2:]) is None:
                    self.picture.put(event.written, event.value, event.mark)
            self.picture.revision = max(self.picture.revision, revision)

    def led(self) -> None:
        """The term is over. Transactions of ours without an answer may have been stored, so all is read again;
        until then the picture stays as it was, and is not used."""
        if self.state is State.LEADING:
            self._own = True
            self._become(State.COLD, "the term is over")
            self._resume()

    def lose(self, era: int, old: bool) -> None:
        """The store has lost data in this era: what was followed is kept as it is, and nothing follows. `old`: the
        loss came before, so the picture is of what was left."""
        if self.state in (State.OFF, State.FROZEN):
            return
        if old:
            self._become(State.FROZEN, "the state service lost data before it was followed")
            return
        # Whoever just began to lead may have begun on what was left already: others noticed before.
        led = self.now - self._led_from >= LED_S
        own = led and (self.state is State.LEADING or (self.state is State.COLD and self._own))
        if self.former is None or own:
            self.former = Former(self.picture, era, own)
        else:
            # Lost again, in the middle of a rebuild: what came back so far goes on top of what was known before.
            before = self.former.picture
            first = before.revision
            for item in self.picture.entries():
                before.put(item.key, item.value, Mark(first + item.mark))
            before.revision = Mark(first + self.picture.revision)
        self._become(State.FROZEN, "the state service has lost data")

    def thaw(self) -> None:
        """All is back, or known to be gone: read and follow the store as it is now."""
        self.former = None
        if self.state is State.FROZEN:
            self.picture = Picture()
            self._become(State.COLD, "the rebuild is done")
            self._resume()

    def agrees(self, revision: Mark, counts: Counts) -> bool:
        """Compare with what the leader counted; True also where that revision is not remembered."""
        ours = self.picture.counts_at(revision) if self.state is State.WARM else None
        return ours is None or ours == counts
