"""Ids, versions and times as small types of their own."""

from __future__ import annotations

from functools import lru_cache
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
NodeName = NewType("NodeName", str)
Address = NewType("Address", str)
"""host:port, as the settings and the machine list write it."""
FencingToken = NewType("FencingToken", int)
"""Who may give commands: the era, and the revision at which the leader key was created in it."""
Attempt = NewType("Attempt", int)
Revision = NewType("Revision", int)
"""Revision of a stored key's last change; 0 where the key does not exist."""
LeaseId = NewType("LeaseId", int)
Seconds = float
Instant = NewType("Instant", float)
"""Seconds on this process's clock."""
WallTime = NewType("WallTime", float)
"""Seconds of the time of day, right to within the settings' bound."""


REVISION_BITS = 40
"""Of a token: a million million changes in one era; the rest, below 2^64, counts eras. In the first era, number 0, a
token is the revision alone, as it was before there were eras."""


def compose_token(store_epoch: int, revision: Revision) -> FencingToken:
    return FencingToken((store_epoch << REVISION_BITS) + revision)


def store_epoch_of(token: FencingToken) -> int:
    return token >> REVISION_BITS


def revision_of(token: FencingToken) -> Revision:
    """The version of the leader's key."""
    return Revision(token & ((1 << REVISION_BITS) - 1))


class TaskId(NamedTuple):
    """One task of a job; written `job/number` on the wire."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"

    @staticmethod
    @lru_cache(maxsize=16_384)
    def parse(text: str) -> TaskId:
        # Kept, since each task that runs is named anew in every report of its machine.
        job, _, number = text.rpartition("/")
        return TaskId(JobId(job), int(number))


class HeartbeatVersion(NamedTuple):
    """Orders the reports of one worker: the larger is the newer."""

    incarnation: int
    sequence: int


class MachineKind(NamedTuple):
    """What a rental request chooses: type, zone, and spot or ordinary."""

    type: str
    zone: str
    spot: bool


EPSILON = 1e-6
"""Slack for sums of decimal amounts held as floats."""
