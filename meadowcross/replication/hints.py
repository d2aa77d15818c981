"""Hints: told by the leader as changes with numbers, gathered by followers, used by the next leader.

No rule rests on a hint. They say whom to wait for, what to expect and what not to try again at once; that a task is
gone is proven as ever, by the machine's own newest report or by the cloud.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from msgspec.structs import replace

from meadowcross.common.clock import Clock
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, Instant, MachineId, NodeName, Seconds
from meadowcross.replication.messages import Hints

log = get_logger("replica")

PUBLISH_INTERVAL_S: Seconds = 1.0
MAX_INCARNATIONS_PER_MESSAGE = 500
"""Of one message; the rest goes with the next, behind everything else on the link."""
MAX_HINT_AGE_S: Seconds = 6.0
"""Hints that are older when a term begins say nothing of now: a hold, a few beats and an election are shorter."""


class HintPublisher:
    """The leader's side: what to tell next."""

    def __init__(self, node: NodeName, token: FencingToken, settings_digest: str) -> None:
        self._node = node
        self._token = token
        self._settings_digest = settings_digest
        self._number = 0
        self._published_incarnations: dict[MachineId, int] = {}
        self._published_boot_times: dict[str, list[tuple[Seconds, Seconds]]] = {}
        self._is_full_due = True

    def request_full(self) -> None:
        """Somebody missed something."""
        self._is_full_due = True

    def next_message(self, current: Hints) -> Hints:
        """The message that brings whoever heard the last one to `now`, in which everything is said."""
        if self._is_full_due:
            self._published_incarnations, self._published_boot_times = {}, {}
        changed_incarnations = {
            name: incarnation
            for name, incarnation in current.incarnations.items()
            if self._published_incarnations.get(name) != incarnation
        }
        incarnations = dict(islice(changed_incarnations.items(), MAX_INCARNATIONS_PER_MESSAGE))
        removed_machines = [name for name in self._published_incarnations if name not in current.incarnations]
        # Ages grow by themselves: told again only where machines came up since.
        boot_times = {
            name: samples
            for name, samples in current.boot_times.items()
            if [took for _, took in self._published_boot_times.get(name, [])] != [took for _, took in samples]
        }
        self._number += 1
        message = replace(
            current,
            node=self._node,
            token=self._token,
            number=self._number,
            settings_digest=self._settings_digest,
            is_full=self._is_full_due,
            incarnations=incarnations,
            removed_machines=removed_machines,
            boot_times=boot_times,
        )
        self._published_incarnations.update(incarnations)
        for name in removed_machines:
            del self._published_incarnations[name]
        self._published_boot_times.update(boot_times)
        self._is_full_due = False
        return message


class HintSubscriber:
    """A follower's side: all that was told, put together."""

    def __init__(self, clock: Clock, settings_digest: str, request_full: Callable[[NodeName], None]) -> None:
        self._clock = clock
        self._settings_digest = settings_digest
        self._request_full = request_full
        self._latest: Hints | None = None
        self._updated_at = Instant(0.0)
        self._boot_times_updated_at: dict[str, Instant] = {}
        self._rejected_token: FencingToken | None = None

    def apply(self, hints: Hints) -> None:
        latest = self._latest
        if hints.settings_digest != self._settings_digest:
            if self._rejected_token != hints.token:
                log.info("hints of %s not taken: it has other settings or formats", hints.node)
                self._rejected_token = hints.token
            self._latest = None
            return
        if latest is not None and latest.token > hints.token:
            return
        now = Instant(self._clock.seconds())
        if hints.is_full:
            self._latest, self._boot_times_updated_at = hints, dict.fromkeys(hints.boot_times, now)
        elif latest is None or latest.token != hints.token or latest.number + 1 != hints.number:
            # A number was missed: what is known would be part old, part new.
            self._latest = None
            self._request_full(hints.node)
            return
        else:
            incarnations = latest.incarnations | hints.incarnations
            for name in hints.removed_machines:
                incarnations.pop(name, None)
            self._boot_times_updated_at.update(dict.fromkeys(hints.boot_times, now))
            self._latest = replace(
                hints, incarnations=incarnations, removed_machines=[], boot_times=latest.boot_times | hints.boot_times
            )
        self._updated_at = now

    def hints_before(self, token: FencingToken) -> Hints | None:
        """What the leader before `token` last told, its ages grown since; None where that is too old, or was
        told by nobody, or by one who led before others did."""
        latest, age_s = self._latest, self._clock.seconds() - self._updated_at
        if latest is None or latest.token >= token or age_s > MAX_HINT_AGE_S:
            return None
        boot_times_age_s = {name: self._clock.seconds() - at for name, at in self._boot_times_updated_at.items()}
        return replace(
            latest,
            silence_s={name: elapsed_s + age_s for name, elapsed_s in latest.silence_s.items()},
            eviction_in_s={name: remaining_s - age_s for name, remaining_s in latest.eviction_in_s.items()},
            job_pauses={job: (count, remaining_s - age_s) for job, (count, remaining_s) in latest.job_pauses.items()},
            boot_times={
                name: [(elapsed_s + boot_times_age_s.get(name, age_s), duration_s) for elapsed_s, duration_s in samples]
                for name, samples in latest.boot_times.items()
            },
            unavailable_kinds=[
                (name, zone, spot, remaining_s - age_s) for name, zone, spot, remaining_s in latest.unavailable_kinds
            ],
            last_shortage_age_s=latest.last_shortage_age_s + age_s if latest.last_shortage_age_s is not None else None,
            preemption_requests={
                job: (elapsed_s + age_s, waiting) for job, (elapsed_s, waiting) in latest.preemption_requests.items()
            },
        )
