"""The stored records of learned run times, and their keys in the store."""

from __future__ import annotations

import re
from hashlib import blake2s
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

PREFIX = "est/"
FORMAT_VERSION = 1
MAX_PLAIN_NAME_CHARS = 60
"""A longer name is cut off in its key and completed by a hash."""

ALL_WORK = "a"
"""The name of the entry that covers all work."""

_PLAIN = re.compile(r"[A-Za-z0-9._-]+")

_Key = Annotated[int, Meta(ge=-400, le=1000)]
"""A bin of the sketch. The range is wider than any value needs, and bounds the bins that a record can make the sketch
allocate, which could otherwise be millions."""
_Weight = Annotated[float, Meta(gt=0, le=1e6)]
_Bins = Annotated[list[tuple[_Key, _Weight]], Meta(max_length=256)]
_Small = Annotated[float, Meta(ge=-100, le=100)]
_Three = tuple[_Small, _Small, _Small]


def class_entry_name(job_class: str) -> str:
    """Return the name of a job class's entry."""
    return "c/" + job_class


def team_entry_name(team: str) -> str:
    """Return the name of a team's entry."""
    return "t/" + team


def completion_entry_name(stage: str) -> str:
    """Return the name of the entry that holds the errors of completion forecasts made at this stage of a job."""
    return "f/" + stage


def store_key(name: str) -> str:
    """Return the store key of an entry.

    Names come from users. One that is long or has other than plain characters is completed by its hash, so that a
    key has only plain characters and stays far below the store's limit."""
    entry_type, _, rest = name.partition("/")
    if not rest:
        return PREFIX + entry_type
    if len(rest) <= MAX_PLAIN_NAME_CHARS and _PLAIN.fullmatch(rest):
        return f"{PREFIX}{entry_type}/{rest}"
    plain = re.sub(r"[^A-Za-z0-9._-]", "_", rest)[:MAX_PLAIN_NAME_CHARS]
    return f"{PREFIX}{entry_type}/{plain}~{blake2s(rest.encode('utf-8', 'surrogatepass'), digest_size=10).hexdigest()}"


class DistributionRecord(Struct, array_like=True):
    """One adaptive distribution: bins of its slow, fast and fresh sketches, and the state of its drift test."""

    slow: _Bins
    fast: _Bins
    fresh: _Bins | None
    drift: Annotated[float, Meta(ge=-1, le=1)]
    variance: Annotated[float, Meta(ge=0, le=1)]
    changes: Annotated[int, Meta(ge=0, le=2**53)]


class EntryRecord(Struct):
    """The stored form of `run_time_model.Entry`: run times of a class, a team or all work, or errors of forecasts."""

    v: int
    name: Annotated[str, Meta(max_length=400)]
    ends: Annotated[float, Meta(ge=0, le=1e15)]
    ratio: DistributionRecord
    time: DistributionRecord
    errors: tuple[_Small, _Small]
    spreads: tuple[_Small, _Small]
    widths: tuple[_Three, _Three]
    parts: dict[str, _Bins] = {}


class Version(Struct):
    """The version field of a record, decoded first: a record of a newer program is not decoded or overwritten."""

    v: int


encode = msgspec.json.Encoder().encode
decode_version = msgspec.json.Decoder(Version).decode
decode_entry = msgspec.json.Decoder(EntryRecord).decode
