"""Identifiers, revisions, tokens and times as distinct types, so that mypy tells them apart."""

from __future__ import annotations

from functools import lru_cache
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
NodeName = NewType("NodeName", str)
Address = NewType("Address", str)
"""host:port, as the settings and the machine list write it."""
FencingToken = NewType("FencingToken", int)
"""Fencing token of a leader: the store epoch, and the revision at which the leader key was created in it."""
Attempt = NewType("Attempt", int)
"""Number of a start of a task, from 1; the tasks of a gang share it."""
Revision = NewType("Revision", int)
"""Revision of a stored key's last change; 0 where the key does not exist."""
LeaseId = NewType("LeaseId", int)
"""Lease of the key-value store: keys attached to it are deleted when it expires."""
Seconds = float
Instant = NewType("Instant", float)
"""Seconds on this process's clock."""
WallTime = NewType("WallTime", float)
"""Seconds of the time of day, right to within the settings' bound."""


REVISION_BITS = 40
"""Low bits of a fencing token that hold the revision: about 10^12 changes in one store epoch.

The bits above, up to 2^64, hold the store epoch. In the first epoch, number 0, a token equals the revision, as it did
before epochs existed.
"""


def compose_token(store_epoch: int, revision: Revision) -> FencingToken:
    """Token of the leader whose key was created at `revision` in `store_epoch`."""
    return FencingToken((store_epoch << REVISION_BITS) + revision)


def store_epoch_of(token: FencingToken) -> int:
    """Store epoch in which the token was issued."""
    return token >> REVISION_BITS


def revision_of(token: FencingToken) -> Revision:
    """Revision of the leader key that the token was made from."""
    return Revision(token & ((1 << REVISION_BITS) - 1))


class TaskId(NamedTuple):
    """One task of a job, numbered from 0; written `job/number` on the wire."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"

    @staticmethod
    @lru_cache(maxsize=16_384)
    def parse(text: str) -> TaskId:
        """Read `job/number`; raises ValueError if the number is not an integer."""
        # Cached: every heartbeat of a machine names each of its running tasks again.
        job, _, number = text.rpartition("/")
        return TaskId(JobId(job), int(number))


class HeartbeatVersion(NamedTuple):
    """Orders the heartbeats of one worker: the larger version is the newer."""

    incarnation: int
    sequence: int


class MachineKind(NamedTuple):
    """What a scale-out request asks for: machine type, zone, and spot or on-demand."""

    type: str
    zone: str
    spot: bool


EPSILON = 1e-6
"""Tolerance for sums of decimal amounts held as floats."""
