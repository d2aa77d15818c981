"""Hints: told by the leader as changes with numbers, gathered by followers, used by the next leader.

No rule rests on a hint. They say whom to wait for, what to expect and what not to try again at once; that a task is
gone is proven as ever, by the machine's own newest report or by the cloud.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from msgspec.structs import replace

from meadowcross.common.clock import Clock
from meadowcross.common.logging import logger
from meadowcross.common.types import Instant, MachineId, NodeName, Seconds, Token
from meadowcross.replica.messages import Hints

log = logger("replica")

TELL_S: Seconds = 1.0
MOST_SESSIONS = 500
"""Of one message; the rest goes with the next, behind everything else on the link."""
USABLE_S: Seconds = 6.0
"""Hints that are older when a term begins say nothing of now: a hold, a few beats and an election are shorter."""


class Teller:
    """The leader's side: what to tell next."""

    def __init__(self, node: NodeName, token: Token, settings: str) -> None:
        self._node = node
        self._token = token
        self._settings = settings
        self._number = 0
        self._told: dict[MachineId, int] = {}
        self._boots: dict[str, list[tuple[Seconds, Seconds]]] = {}
        self._whole = True

    def again(self) -> None:
        """Somebody missed something."""
        self._whole = True

    def next(self, now: Hints) -> Hints:
        """The message that brings whoever heard the last one to `now`, in which everything is said."""
        if self._whole:
            self._told, self._boots = {}, {}
        changed = {name: session for name, session in now.sessions.items() if self._told.get(name) != session}
        sessions = dict(islice(changed.items(), MOST_SESSIONS))
        gone = [name for name in self._told if name not in now.sessions]
        # Ages grow by themselves: told again only where machines came up since.
        boots = {
            name: seen
            for name, seen in now.boots.items()
            if [took for _, took in self._boots.get(name, [])] != [took for _, took in seen]
        }
        self._number += 1
        message = replace(
            now,
            node=self._node,
            token=self._token,
            number=self._number,
            settings=self._settings,
            whole=self._whole,
            sessions=sessions,
            gone=gone,
            boots=boots,
        )
        self._told.update(sessions)
        for name in gone:
            del self._told[name]
        self._boots.update(boots)
        self._whole = False
        return message


class Hearer:
    """A follower's side: all that was told, put together."""

    def __init__(self, clock: Clock, settings: str, ask_again: Callable[[NodeName], None]) -> None:
        self._clock = clock
        self._settings = settings
        self._ask_again = ask_again
        self._known: Hints | None = None
        self._at = Instant(0.0)
        self._boots_at: dict[str, Instant] = {}
        self._refused: Token | None = None

    def hear(self, hints: Hints) -> None:
        known = self._known
        if hints.settings != self._settings:
            if self._refused != hints.token:
                log.info("hints of %s not taken: it has other settings or formats", hints.node)
                self._refused = hints.token
            self._known = None
            return
        if known is not None and known.token > hints.token:
            return
        now = Instant(self._clock.seconds())
        if hints.whole:
            self._known, self._boots_at = hints, dict.fromkeys(hints.boots, now)
        elif known is None or known.token != hints.token or known.number + 1 != hints.number:
            # A number was missed: what is known would be part old, part new.
            self._known = None
            self._ask_again(hints.node)
            return
        else:
            sessions = known.sessions | hints.sessions
            for name in hints.gone:
                sessions.pop(name, None)
            self._boots_at.update(dict.fromkeys(hints.boots, now))
            self._known = replace(hints, sessions=sessions, gone=[], boots=known.boots | hints.boots)
        self._at = now

    def take(self, token: Token) -> Hints | None:
        """What the leader before `token` last told, its ages grown since; None where that is too old, or was
        told by nobody, or by one who led before others did."""
        known, age = self._known, self._clock.seconds() - self._at
        if known is None or known.token >= token or age > USABLE_S:
            return None
        boots_age = {name: self._clock.seconds() - at for name, at in self._boots_at.items()}
        return replace(
            known,
            silent={name: since + age for name, since in known.silent.items()},
            notices={name: left - age for name, left in known.notices.items()},
            pauses={job: (count, left - age) for job, (count, left) in known.pauses.items()},
            boots={
                name: [(since + boots_age.get(name, age), took) for since, took in seen]
                for name, seen in known.boots.items()
            },
            closed=[(name, zone, spot, left - age) for name, zone, spot, left in known.closed],
            pressed=known.pressed + age if known.pressed is not None else None,
            asked={job: (since + age, waiting) for job, (since, waiting) in known.asked.items()},
        )
