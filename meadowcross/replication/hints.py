"""Publishes the leader's hints as numbered changes, and collects them at followers for the next leader.

No invariant depends on a hint. Hints state which machines to wait for, which run times and boots to expect, and which
requests not to repeat at once; only the machine's newest heartbeat or the cloud proves that a task has ended.
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
"""Further incarnations are sent with the next messages, so that hints do not delay other messages on the connection."""
MAX_HINT_AGE_S: Seconds = 6.0
"""Hints that are older than this when a term begins are outdated: a lease, a few heartbeats and an election together
take less time."""

BootSamples = dict[str, list[tuple[Seconds, Seconds]]]
"""By machine type: how long ago each machine came up, and how long its boot took."""


class HintPublisher:
    """The leader's side: builds the next message from the changes since the previous one."""

    def __init__(self, node: NodeName, token: FencingToken, settings_digest: str) -> None:
        self._node = node
        self._token = token
        self._settings_digest = settings_digest
        self._number = 0
        self._published_incarnations: dict[MachineId, int] = {}
        self._published_boot_times: BootSamples = {}
        self._is_full_due = True

    def request_full(self) -> None:
        """Make the next message a full one, because a peer missed a message."""
        self._is_full_due = True

    def next_message(self, current: Hints) -> Hints:
        """Return the message with the changes from the previous message to `current`, which contains everything."""
        if self._is_full_due:
            self._published_incarnations, self._published_boot_times = {}, {}
        incarnations = self._changed_incarnations(current)
        removed_machines = [machine for machine in self._published_incarnations if machine not in current.incarnations]
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
        for machine in removed_machines:
            del self._published_incarnations[machine]
        self._published_boot_times.update(boot_times)
        self._is_full_due = False
        return message

    def _changed_incarnations(self, current: Hints) -> dict[MachineId, int]:
        changed = {
            machine: incarnation
            for machine, incarnation in current.incarnations.items()
            if self._published_incarnations.get(machine) != incarnation
        }
        return dict(islice(changed.items(), MAX_INCARNATIONS_PER_MESSAGE))

    def _changed_boot_times(self, current: Hints) -> BootSamples:
        """Return the samples of machine types with new boots; a change of ages alone does not count."""
        return {
            machine_type: samples
            for machine_type, samples in current.boot_times.items()
            if _durations(self._published_boot_times.get(machine_type, [])) != _durations(samples)
        }


def _durations(samples: list[tuple[Seconds, Seconds]]) -> list[Seconds]:
    return [duration_s for _, duration_s in samples]


class HintSubscriber:
    """A follower's side: merges the messages of the leader."""

    def __init__(self, clock: Clock, settings_digest: str, request_full: Callable[[NodeName], None]) -> None:
        """`request_full` asks the given leader for a full message."""
        self._clock = clock
        self._settings_digest = settings_digest
        self._request_full = request_full
        self._latest: Hints | None = None
        self._updated_at = Instant(0.0)
        self._boot_times_updated_at: dict[str, Instant] = {}
        self._rejected_token: FencingToken | None = None

    def apply(self, hints: Hints) -> None:
        """Apply a message.

        A message of an earlier leader is ignored. A message of a leader with other settings discards all hints.
        """
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
            # A message was missed, so the merged hints would be partly outdated.
            self._latest = None
            self._request_full(hints.node)
            return
        self._boot_times_updated_at.update(dict.fromkeys(hints.boot_times, now))
        self._updated_at = now

    def _reject(self, hints: Hints) -> None:
        if self._rejected_token != hints.token:
            log.info("hints_rejected node=%s reason='settings or formats differ'", hints.node)
            self._rejected_token = hints.token
        self._latest = None

    def hints_before(self, token: FencingToken) -> Hints | None:
        """Return the latest hints of the leader before `token`, with times adjusted to the current instant.

        Returns None if the hints are older than `MAX_HINT_AGE_S`, if there are none, and if the sender's token is not
        lower than `token`.
        """
        latest, now = self._latest, self._clock.seconds()
        if latest is None or latest.token >= token or now - self._updated_at > MAX_HINT_AGE_S:
            return None
        boot_times_age_s = {
            machine_type: now - updated_at for machine_type, updated_at in self._boot_times_updated_at.items()
        }
        return _adjust_times(latest, now - self._updated_at, boot_times_age_s)


def _merge(latest: Hints, changes: Hints) -> Hints:
    """Return the hints with the changes of the following message applied."""
    incarnations = latest.incarnations | changes.incarnations
    for machine in changes.removed_machines:
        incarnations.pop(machine, None)
    boot_times = latest.boot_times | changes.boot_times
    return replace(changes, incarnations=incarnations, removed_machines=[], boot_times=boot_times)


def _adjust_times(hints: Hints, age_s: Seconds, boot_times_age_s: dict[str, Seconds]) -> Hints:
    """Return the hints with times adjusted by `age_s`; boot times came with earlier messages and have separate ages."""
    shortage_age_s = hints.last_shortage_age_s
    return replace(
        hints,
        silence_s={machine: silence_s + age_s for machine, silence_s in hints.silence_s.items()},
        eviction_in_s={machine: remaining_s - age_s for machine, remaining_s in hints.eviction_in_s.items()},
        job_pauses={job: (count, remaining_s - age_s) for job, (count, remaining_s) in hints.job_pauses.items()},
        boot_times={
            machine_type: [
                (ago_s + boot_times_age_s.get(machine_type, age_s), duration_s) for ago_s, duration_s in samples
            ]
            for machine_type, samples in hints.boot_times.items()
        },
        unavailable_kinds=[
            (machine_type, zone, spot, remaining_s - age_s)
            for machine_type, zone, spot, remaining_s in hints.unavailable_kinds
        ],
        last_shortage_age_s=shortage_age_s + age_s if shortage_age_s is not None else None,
        preemption_requests={
            job: (ago_s + age_s, waiting_tasks) for job, (ago_s, waiting_tasks) in hints.preemption_requests.items()
        },
    )
