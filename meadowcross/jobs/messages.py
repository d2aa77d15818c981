"""What users send and read, and how jobs are stored; wire names stay here."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta, Struct, field

from meadowcross.common.types import JobId, Seconds, WallTime

MAX_TASKS = 100_000

_Id = Annotated[str, Meta(pattern=r"^wk-[0-9]{6,18}$")]
_Text = Annotated[str, Meta(min_length=1, max_length=200)]
_PositiveAmount = Annotated[float, Meta(gt=0, le=1e9)]
_Amount = Annotated[float, Meta(ge=0, le=1e9)]


class JobKind(Enum):
    ARRAY = "batch"
    GANG = "group"
    SERVICE = "daemon"


class Priority(Enum):
    PRODUCTION = "critical"
    HIGH = "urgent"
    NORMAL = "normal"
    LOW = "idle"


PRIORITY_RANKS = {Priority.PRODUCTION: 0, Priority.HIGH: 1, Priority.NORMAL: 2, Priority.LOW: 3}
"""0 goes first."""


class JobSpec(Struct, frozen=True):
    """A submission. A field that may be null may be left out; the rest must be there."""

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
    """What a task that is stopped without hurry is given to save: twice what it needs, and some."""
    return 2 * checkpoint_save_s + 1.0


class JobState(Enum):
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
    """False: cancelled while its record was lost, and machines may still have tasks of it."""


class JobResponse(Struct, omit_defaults=True):
    id: JobId
    state: JobState = field(name="standing")
    done_count: int | None = field(name="done", default=None)
    running_count: int | None = field(name="running", default=None)
    forecast_s: tuple[Seconds, Seconds, Seconds] | None = field(name="endsS", default=None)
    """Beyond the protocol: seconds until it is done, in one, five and nine cases of ten."""


class JobProgress(NamedTuple):
    """What the leader knows of an open job, for display."""

    done_count: int
    running_count: int
    forecast_s: tuple[Seconds, Seconds, Seconds] | None = None


encode = msgspec.json.Encoder().encode
decode_spec = msgspec.json.Decoder(JobSpec).decode
decode_record = msgspec.json.Decoder(JobRecord).decode
decode_ended = msgspec.json.Decoder(EndedRecord).decode

OPEN_PREFIX = "j/"
ENDED_PREFIX = "e/"
CHUNK_PREFIX = "t/"

Stored = Any
"""One task in a stored chunk: see `jobs.book`."""
decode_chunk = msgspec.json.Decoder(list[int | tuple[int, str]]).decode


def open_key(job: JobId) -> str:
    return OPEN_PREFIX + job


def ended_key(job: JobId) -> str:
    return ENDED_PREFIX + job


def chunk_key(job: JobId, chunk: int) -> str:
    return f"{chunk_prefix(job)}{chunk:05d}"


def chunk_prefix(job: JobId) -> str:
    """Under which all its chunks are."""
    return f"{CHUNK_PREFIX}{job}/"


def parse_chunk_key(key: str) -> tuple[JobId, int]:
    job, _, number = key.removeprefix(CHUNK_PREFIX).rpartition("/")
    return JobId(job), int(number)
