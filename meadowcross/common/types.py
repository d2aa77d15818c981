"""Distinct types for identifiers, revisions, tokens and times, so that mypy detects mix-ups."""

from __future__ import annotations

from functools import lru_cache
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
NodeName = NewType("NodeName", str)
Address = NewType("Address", str)
"""`host:port`, as in the settings and in the machine list."""
FencingToken = NewType("FencingToken", int)
"""Fencing token of a leader: the store epoch, and a revision in it. That of the leader key identifies the term; a
worker may be given a later one of the same term, see `meadowcross.workers.fencing`."""
Attempt = NewType("Attempt", int)
"""Number of an attempt to run a task, from 1; the tasks of a gang have the same number."""
Revision = NewType("Revision", int)
"""Revision of a stored key's last change; 0 if the key does not exist."""
LeaseId = NewType("LeaseId", int)
"""Identifies a lease of the store. Keys attached to a lease are deleted when the lease expires."""
Seconds = float
"""A duration in seconds."""
Instant = NewType("Instant", float)
"""Time on this process's clock, in seconds."""
WallTime = NewType("WallTime", float)
"""Seconds of the time of day, with an error of at most the setting `clock_off_ms`."""


REVISION_BITS = 40
"""Number of low bits of a fencing token that hold the revision, enough for about 10^12 changes in one store epoch.

The higher bits, up to 2^64, hold the store epoch. In epoch 0, the first one, a token equals the revision, as it did in
versions without store epochs.
"""


def compose_token(store_epoch: int, revision: Revision) -> FencingToken:
    """Return the token of `revision`, that of a leader key or of a later transaction of its term, in `store_epoch`."""
    return FencingToken((store_epoch << REVISION_BITS) + revision)


def store_epoch_of(token: FencingToken) -> int:
    """Return the store epoch in which the token was issued."""
    return token >> REVISION_BITS


def revision_of(token: FencingToken) -> Revision:
    """Return the revision from which the token was composed; for the token of a term, that of its leader key."""
    return Revision(token & ((1 << REVISION_BITS) - 1))


class TaskId(NamedTuple):
    """A task of a job, numbered from 0. The text form is `job/number`."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"

    @staticmethod
    @lru_cache(maxsize=16_384)
    def parse(text: str) -> TaskId:
        """Parse `job/number`. Raises ValueError if the number is not an integer."""
        # Cached, because every heartbeat of a machine lists each of its running tasks again.
        job, _, number = text.rpartition("/")
        return TaskId(JobId(job), int(number))


class HeartbeatVersion(NamedTuple):
    """Orders the heartbeats of one worker: the greater version is the newer one."""

    incarnation: int
    sequence: int


class MachineKind(NamedTuple):
    """Kind of machine that a scale-out request asks for: machine type, zone, and spot or on-demand."""

    type: str
    zone: str
    spot: bool


EPSILON = 1e-6
"""Tolerance for comparing sums of decimal amounts, which floats represent inexactly."""
