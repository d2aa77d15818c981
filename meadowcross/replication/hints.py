"""Hints: sent by the leader as numbered changes, collected by followers, used by the next leader.

No rule rests on a hint. Hints say which machines to wait for, what to expect and what not to try again at once; that a
task has ended is proven as ever, by the machine's own newest heartbeat or by the cloud.
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
"""The rest goes with the next message, behind everything else on the link."""
MAX_HINT_AGE_S: Seconds = 6.0
"""Hints that are older when a term begins say nothing of now: a lease, a few heartbeats and an election are shorter."""

BootSamples = dict[str, list[tuple[Seconds, Seconds]]]
"""By machine type: how long ago machines came up, and how long they took."""


class HintPublisher:
    """The leader's side: what to send next."""

    def __init__(self, node: NodeName, token: FencingToken, settings_digest: str) -> None:
        self._node = node
        self._token = token
        self._settings_digest = settings_digest
        self._number = 0
        self._published_incarnations: dict[MachineId, int] = {}
        self._published_boot_times: BootSamples = {}
        self._is_full_due = True

    def request_full(self) -> None:
        """A peer missed a message: the next one holds everything."""
        self._is_full_due = True

    def next_message(self, current: Hints) -> Hints:
        """The message that brings whoever has the last one up to `current`, which holds everything."""
        if self._is_full_due:
            self._published_incarnations, self._published_boot_times = {}, {}
        incarnations = self._changed_incarnations(current)
        removed_machines = [name for name in self._published_incarnations if name not in current.incarnations]
        boot_times = self._changed_boot_times(current)
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

    def _changed_incarnations(self, current: Hints) -> dict[MachineId, int]:
        changed = {
            name: incarnation
            for name, incarnation in current.incarnations.items()
            if self._published_incarnations.get(name) != incarnation
        }
        return dict(islice(changed.items(), MAX_INCARNATIONS_PER_MESSAGE))

    def _changed_boot_times(self, current: Hints) -> BootSamples:
        """Of types of which machines came up since; ages grow by themselves."""
        return {
            name: samples
            for name, samples in current.boot_times.items()
            if _durations(self._published_boot_times.get(name, [])) != _durations(samples)
        }


def _durations(samples: list[tuple[Seconds, Seconds]]) -> list[Seconds]:
    return [duration_s for _, duration_s in samples]


class HintSubscriber:
    """A follower's side: all that the leader sent, put together."""

    def __init__(self, clock: Clock, settings_digest: str, request_full: Callable[[NodeName], None]) -> None:
        """`request_full` asks this leader for a message that holds everything."""
        self._clock = clock
        self._settings_digest = settings_digest
        self._request_full = request_full
        self._latest: Hints | None = None
        self._updated_at = Instant(0.0)
        self._boot_times_updated_at: dict[str, Instant] = {}
        self._rejected_token: FencingToken | None = None

    def apply(self, hints: Hints) -> None:
        """Take in a message; one of an earlier leader is ignored, one of other settings makes all be forgotten."""
        if hints.settings_digest != self._settings_digest:
            self._reject(hints)
            return
        latest = self._latest
        if latest is not None and latest.token > hints.token:
            return
        now = Instant(self._clock.seconds())
        if hints.is_full:
            self._latest = hints
            self._boot_times_updated_at = {}
        elif latest is not None and (latest.token, latest.number + 1) == (hints.token, hints.number):
            self._latest = _merge(latest, hints)
        else:
            # A message was missed: what is known would be part old, part new.
            self._latest = None
            self._request_full(hints.node)
            return
        self._boot_times_updated_at.update(dict.fromkeys(hints.boot_times, now))
        self._updated_at = now

    def _reject(self, hints: Hints) -> None:
        if self._rejected_token != hints.token:
            log.info("hints_rejected node=%s reason='other settings or formats'", hints.node)
            self._rejected_token = hints.token
        self._latest = None

    def hints_before(self, token: FencingToken) -> Hints | None:
        """What the leader before `token` sent last, its ages grown since.

        None where that is too old, where nothing was heard, and where the sender did not lead before `token`.
        """
        latest, now = self._latest, self._clock.seconds()
        if latest is None or latest.token >= token or now - self._updated_at > MAX_HINT_AGE_S:
            return None
        boot_times_age_s = {name: now - updated_at for name, updated_at in self._boot_times_updated_at.items()}
        return _grow_ages(latest, now - self._updated_at, boot_times_age_s)


def _merge(latest: Hints, changes: Hints) -> Hints:
    """The hints with the changes of the message that follows them."""
    incarnations = latest.incarnations | changes.incarnations
    for name in changes.removed_machines:
        incarnations.pop(name, None)
    boot_times = latest.boot_times | changes.boot_times
    return replace(changes, incarnations=incarnations, removed_machines=[], boot_times=boot_times)


def _grow_ages(hints: Hints, age_s: Seconds, boot_times_age_s: dict[str, Seconds]) -> Hints:
    """The hints as they are `age_s` later; boot times came with earlier messages and have ages of their own."""
    shortage_age_s = hints.last_shortage_age_s
    return replace(
        hints,
        silence_s={name: silence_s + age_s for name, silence_s in hints.silence_s.items()},
        eviction_in_s={name: remaining_s - age_s for name, remaining_s in hints.eviction_in_s.items()},
        job_pauses={job: (count, remaining_s - age_s) for job, (count, remaining_s) in hints.job_pauses.items()},
        boot_times={
            name: [(ago_s + boot_times_age_s.get(name, age_s), duration_s) for ago_s, duration_s in samples]
            for name, samples in hints.boot_times.items()
        },
        unavailable_kinds=[
            (name, zone, spot, remaining_s - age_s) for name, zone, spot, remaining_s in hints.unavailable_kinds
        ],
        last_shortage_age_s=shortage_age_s + age_s if shortage_age_s is not None else None,
        preemption_requests={
            job: (ago_s + age_s, waiting_tasks) for job, (ago_s, waiting_tasks) in hints.preemption_requests.items()
        },
    )
