"""Group commit: one leader transaction in flight, rebuilt until its outcome is known.

Units are rebuilt from memory at each try, so a retry stores what is true now. Each
carries the versions it rests on; a transaction that is applied late fails on them.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Hashable, Sequence
from dataclasses import dataclass
from threading import Lock

from twisted.internet.defer import Deferred

from meadowcross.common.clock import Clock, pause
from meadowcross.common.logging import logger
from meadowcross.common.types import Mark, Seconds
from meadowcross.store.budget import Urgency
from meadowcross.store.client import Conflicted, Refused, StoreClient, Unavailable, Unknown
from meadowcross.store.messages import Condition, Drop, Put

log = logger("store")

MAX_BYTES = 56 * 1024
LATER_AFTER_S: Seconds = 0.25
CONFLICTS_AT_ONCE = 2


@dataclass(slots=True)
class Built:
    """One unit's part of a transaction."""

    conditions: list[Condition]
    changes: list[Put | Drop]
    done: Callable[[Mark], None]

    def size(self) -> int:
        return sum(len(c.key) + 40 + (len(bytes(c.value)) if isinstance(c, Put) else 0) for c in self.changes)


Builder = Callable[[], Built | None]


class Committer:
    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        leader: Condition,
        reread: Callable[[list[str]], Awaitable[None]],
        written: Callable[[Mark, Sequence[Put | Drop]], None] = lambda mark, changes: None,
    ) -> None:
        self._written = written
        self._clock = clock
        self._store = store
        self._leader = leader
        self._reread = reread
        self._lock = Lock()
        self._urgent: dict[Hashable, Builder] = {}
        self._later: dict[Hashable, Builder] = {}
        self._later_since: float | None = None
        self._wake: Deferred[None] | None = None
        self._stopped = False
        self._solo = False
        self._busy = False

    def stop(self) -> None:
        self._stopped = True
        self._ring()

    def add(self, unit: Hashable, build: Builder, urgent: bool) -> None:
        with self._lock:
            if unit in self._urgent:
                return
            if urgent:
                self._later.pop(unit, None)
                self._urgent[unit] = build
            elif unit not in self._later:
                self._later[unit] = build
                if self._later_since is None:
                    self._later_since = self._clock.seconds()
                    self._clock.callLater(LATER_AFTER_S, self._ring)
        if urgent:
            self._ring()

    def _ring(self) -> None:
        wake, self._wake = self._wake, None
        if wake is not None:
            wake.callback(None)

    def idle(self) -> bool:
        """Whether nothing is being written, so that all that was is known to be stored or not."""
        return not self._busy

    def _due(self) -> bool:
        waited = self._later_since is not None and self._clock.seconds() - self._later_since >= LATER_AFTER_S - 1e-3
        return bool(self._urgent) or waited

    async def run(self) -> None:
        failures = conflicts = 0
        while not self._stopped:
            if not self._due():
                self._wake = Deferred()
                await self._wake
                continue
            self._busy = True
            try:
                conflicts = 0 if await self._round() else conflicts + 1
                failures = 0
                self._busy = False
                if conflicts > CONFLICTS_AT_ONCE:
                    # Each conflict is followed by a re-read, so units of their own may conflict one after the other.
                    # One that conflicts for ever would ask the store as fast as the budget lets it.
                    await pause(self._clock, min(0.02 * 2 ** (conflicts - CONFLICTS_AT_ONCE), 0.5))
            except (Unavailable, Unknown, Refused) as error:
                failures += 1
                log.debug("commit waits: %s", error)
                await pause(self._clock, min(0.05 * 2**failures, 0.5))
            except Exception:
                log.exception("commit failed")
                await pause(self._clock, 1.0)

    def _gather(self) -> tuple[dict[Hashable, tuple[Builder, Built, bool]], list[Condition], list[Put | Drop]]:
        """Urgent units first, then the others, up to a transaction's limits."""
        taken: dict[Hashable, tuple[Builder, Built, bool]] = {}
        conditions: dict[str, Condition] = {self._leader.key: self._leader}
        changes: list[Put | Drop] = []
        size = 0
        with self._lock:
            for queue, urgent in ((self._urgent, True), (self._later, False)):
                for unit in list(queue):
                    built = queue[unit]()
                    if built is None or not built.changes:
                        del queue[unit]
                        continue
                    if taken and (
                        self._solo
                        or len(changes) + len(built.changes) > self._store.max_changes
                        or len(conditions) + len(built.conditions) > self._store.max_conditions
                        or size + built.size() > MAX_BYTES
                    ):
                        break
                    taken[unit] = (queue.pop(unit), built, urgent)
                    conditions.update((c.key, c) for c in built.conditions)
                    changes.extend(built.changes)
                    size += built.size()
            if not self._later:
                self._later_since = None
        return taken, list(conditions.values()), changes

    async def _round(self) -> bool:
        """Store what is due, if anything is; False: a condition did not hold."""
        taken, conditions, changes = self._gather()
        if not taken:
            return True
        settled = False
        try:
            urgent = any(flag for _, _, flag in taken.values())
            mark = await self._store.transact(conditions, changes, Urgency.PLACEMENT if urgent else Urgency.LATER)
            settled = True
            self._solo = False
            self._written(mark, changes)
        except Conflicted as conflict:
            await self._reread(conflict.failed)
        except Unknown:
            # It may still be applied late; every unit's own version is a condition, so
            # after this re-read either it is seen, or our retry makes it fail. One comparison tells what to read: all
            # of it, key by key, kept a leader from placing for seconds while the state service was slow.
            changed = await self._store.compare(conditions, Urgency.PLACEMENT)
            await self._reread([c.key for c in conditions if c.key in changed])
            raise
        except Refused:
            # One unit that the service refuses must not hold up the others.
            self._solo = True
            raise
        finally:
            if not settled:
                with self._lock:
                    for unit, (build, _, flag) in taken.items():
                        (self._urgent if flag else self._later).setdefault(unit, build)
                    if self._later and self._later_since is None:
                        self._later_since = self._clock.seconds()
                        # Else a failed unit that nothing follows would wait for ever.
                        self._clock.callLater(LATER_AFTER_S, self._ring)
        if settled and not self._stopped:
            for _, built, _ in taken.values():
                built.done(mark)
        return settled
