"""Defines the messages of the user API and the stored records of jobs.

Only this module contains their names on the wire and in the store.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct, field

from meadowcross.common.types import JobId, Seconds, WallTime

MAX_TASKS = 100_000

_Id = Annotated[str, Meta(pattern=r"^wk-[0-9]{6,18}\Z")]
_Text = Annotated[str, Meta(min_length=1, max_length=200)]
_PositiveAmount = Annotated[float, Meta(gt=0, le=1e9)]
_Amount = Annotated[float, Meta(ge=0, le=1e9)]


class JobKind(Enum):
    """Kind of a job: independent tasks, tasks that run only all together, or tasks that run until they are stopped."""

    ARRAY = "batch"
    GANG = "group"
    SERVICE = "daemon"


class Priority(Enum):
    """Priority class of a job, highest first."""

    PRODUCTION = "critical"
    HIGH = "urgent"
    NORMAL = "normal"
    LOW = "idle"


PRIORITY_RANKS = {Priority.PRODUCTION: 0, Priority.HIGH: 1, Priority.NORMAL: 2, Priority.LOW: 3}
"""Rank of each priority; jobs of the lowest rank are placed first."""


class JobSpec(Struct, frozen=True):
    """A submission. A field that may be null may also be left out; all other fields are required."""

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
    """Return the grace period of a stop that is not urgent: twice the time to save a checkpoint, plus one second."""
    return 2 * checkpoint_save_s + 1.0


class JobState(Enum):
    """State of a job in the user API."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class JobRecord(Struct):
    """The stored record of an open job, under its open key; a cancelled job stays open until its end is proven."""

    spec: JobSpec
    submitted_at: WallTime = field(name="t")
    chunk_size: int = field(name="k", default=256)
    """Number of tasks in one stored chunk; fixed at acceptance, so that the settings may change later."""
    cancelled_at: WallTime | None = field(name="c", default=None)


class EndedRecord(Struct, omit_defaults=True):
    """The stored record of an ended job, under its ended key: the data that later responses need."""

    state: JobState = field(name="s")
    task_count: int = field(name="n")
    is_proven: bool = field(name="p", default=True)
    """False if the job was cancelled as an unrecorded job and workers may still have tasks of it."""


ForecastQuantiles = tuple[Seconds, Seconds, Seconds]
"""The 10 %, 50 % and 90 % quantiles of the seconds until a job is done."""


class JobResponse(Struct, omit_defaults=True):
    """The description of a job in responses to users."""

    id: JobId
    state: JobState = field(name="standing")
    done_count: int | None = field(name="done", default=None)
    running_count: int | None = field(name="running", default=None)
    forecast_s: ForecastQuantiles | None = field(name="endsS", default=None)
    """Quantiles of the remaining time; not part of the protocol."""


class JobProgress(NamedTuple):
    """Progress of an open job as the leader sees it, for display only."""

    done_count: int
    running_count: int
    forecast_s: ForecastQuantiles | None = None


StoredTask = int | tuple[int, str]
"""Entry of one task in a stored chunk; `jobs.job_table` describes the values."""

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
    """Return the job and the chunk's number from a chunk's key. Raises ValueError if the number is not an integer."""
    job, _, number = key.removeprefix(CHUNK_PREFIX).rpartition("/")
    return JobId(job), int(number)
