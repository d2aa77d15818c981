"""What users send and read, and how jobs are stored. Wire names and stored names stay in this module."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct, field

from meadowcross.common.types import JobId, Seconds, WallTime

MAX_TASKS = 100_000

_Id = Annotated[str, Meta(pattern=r"^wk-[0-9]{6,18}$")]
_Text = Annotated[str, Meta(min_length=1, max_length=200)]
_PositiveAmount = Annotated[float, Meta(gt=0, le=1e9)]
_Amount = Annotated[float, Meta(ge=0, le=1e9)]


class JobKind(Enum):
    """Whether tasks run one by one, all together, or without an end."""

    ARRAY = "batch"
    GANG = "group"
    SERVICE = "daemon"


class Priority(Enum):
    """A job's priority class, highest first."""

    PRODUCTION = "critical"
    HIGH = "urgent"
    NORMAL = "normal"
    LOW = "idle"


PRIORITY_RANKS = {Priority.PRODUCTION: 0, Priority.HIGH: 1, Priority.NORMAL: 2, Priority.LOW: 3}
"""The lowest rank goes first."""


class JobSpec(Struct, frozen=True):
    """A submission. A field that may be null may be left out; the others are required."""

    id: _Id
    job_class: _Text = field(name="herd")
    team: _Text = field(name="steward")
    kind: JobKind = field(name="breed")
    priority: Priority = field(name="rank")
    tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS)] = field(name="heads")
    cpus: _PositiveAmount
    gpus: _Amount
    memory_gb: _Amount = field(name="memoryGb")
    image: _Text = field(name="feedstock")
    image_gb: _Amount = field(name="pullGb")
    one_zone: bool = field(name="oneZone")
    spread: bool = field(name="scatter")
    spot: bool = field(name="stubble")
    estimate_s: _Amount = field(name="grazeS")
    checkpoint_interval_s: _Amount = field(name="stookS")
    checkpoint_save_s: _Amount = field(name="baleS")
    types: list[_Text] | None = field(name="builds", default=None)
    zone: _Text | None = field(name="field", default=None)
    deadline_s: _Amount | None = field(name="sundownS", default=None)


def checkpoint_grace_s(checkpoint_save_s: Seconds) -> Seconds:
    """Return the grace of a stop without hurry: twice the time that saving a checkpoint takes, and a second."""
    return 2 * checkpoint_save_s + 1.0


class JobState(Enum):
    """A job's state as users see it."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class JobRecord(Struct):
    """An open or just cancelled job, under its open key."""

    spec: JobSpec
    submitted_at: WallTime = field(name="t")
    chunk_size: int = field(name="k", default=256)
    """Tasks in one stored chunk, fixed at acceptance so that settings may change later."""
    cancelled_at: WallTime | None = field(name="c", default=None)


class EndedRecord(Struct, omit_defaults=True):
    """All that a later answer needs of an ended job, under its ended key."""

    state: JobState = field(name="s")
    task_count: int = field(name="n")
    is_proven: bool = field(name="p", default=True)
    """False: cancelled while its record was lost, and workers may still have tasks of it."""


ForecastQuantiles = tuple[Seconds, Seconds, Seconds]
"""Seconds until a job is done, in one, five and nine cases of ten."""


class JobResponse(Struct, omit_defaults=True):
    """What users read of a job."""

    id: JobId
    state: JobState = field(name="standing")
    done_count: int | None = field(name="done", default=None)
    running_count: int | None = field(name="running", default=None)
    forecast_s: ForecastQuantiles | None = field(name="endsS", default=None)
    """Not part of the protocol."""


class JobProgress(NamedTuple):
    """What the leader knows of an open job, for display."""

    done_count: int
    running_count: int
    forecast_s: ForecastQuantiles | None = None


StoredTask = int | tuple[int, str]
"""One task in a stored chunk: see `jobs.job_table`."""

encode = msgspec.json.Encoder().encode
decode_spec = msgspec.json.Decoder(JobSpec).decode
decode_record = msgspec.json.Decoder(JobRecord).decode
decode_ended = msgspec.json.Decoder(EndedRecord).decode
decode_chunk = msgspec.json.Decoder(list[StoredTask]).decode

OPEN_PREFIX = "j/"
ENDED_PREFIX = "e/"
CHUNK_PREFIX = "t/"


def open_key(job: JobId) -> str:
    """Return the key of the job's record while it is open."""
    return OPEN_PREFIX + job


def ended_key(job: JobId) -> str:
    """Return the key of the job's record once it has ended."""
    return ENDED_PREFIX + job


def chunk_key(job: JobId, chunk: int) -> str:
    """Return the key of one chunk of the job's tasks."""
    return f"{chunk_prefix(job)}{chunk:05d}"


def chunk_prefix(job: JobId) -> str:
    """Return the prefix of the keys of all the job's chunks."""
    return f"{CHUNK_PREFIX}{job}/"


def parse_chunk_key(key: str) -> tuple[JobId, int]:
    """Return the job and the chunk's number of a chunk's key."""
    job, _, number = key.removeprefix(CHUNK_PREFIX).rpartition("/")
    return JobId(job), int(number)
