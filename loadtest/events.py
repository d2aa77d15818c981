"""What happened to tasks and users, written by each process as JSON lines with the time, and read back in order."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from simulation.judge import JobRecord, Judge, Spec


class TaskOn(Struct, tag_field="kind", tag="on"):
    """A task is on a machine, with its image."""

    at: float
    job: str
    number: int
    machine: str
    type: str
    zone: str
    spot: bool


class TaskOff(Struct, tag_field="kind", tag="off"):
    at: float
    job: str
    number: int
    machine: str
    why: str


class LeaseEnded(Struct, tag_field="kind", tag="lease"):
    at: float
    machine: str


class Commanded(Struct, tag_field="kind", tag="commanded"):
    """The first starts with a token that a hollow process sees."""

    at: float
    token: int


class TokenSeen(Struct, tag_field="kind", tag="token"):
    """A worker has learned of a token."""

    at: float
    machine: str
    token: int


class Deleted(Struct, tag_field="kind", tag="deleted"):
    """The cloud answers 200 to the machine's deletion: all that was there is gone."""

    at: float
    machine: str


class LeaderSet(Struct, tag_field="kind", tag="leader"):
    at: float
    node: str
    token: int


class Killed(Struct, tag_field="kind", tag="killed"):
    """The run ended a controller."""

    at: float
    node: str
    led: bool


class Submitted(Struct, tag_field="kind", tag="submitted"):
    at: float
    spec: Spec


class Told(Struct, tag_field="kind", tag="told"):
    at: float
    job: str
    standing: str


class Refused(Struct, tag_field="kind", tag="refused"):
    at: float
    job: str
    status: int


class Polled(Struct, tag_field="kind", tag="polled"):
    at: float
    job: str
    status: int | None


class Cancelling(Struct, tag_field="kind", tag="cancelling"):
    at: float
    job: str


class Stray(Struct, tag_field="kind", tag="stray"):
    """A question about a job that nobody submitted."""

    at: float
    job: str
    status: int


Event = (
    TaskOn
    | TaskOff
    | LeaseEnded
    | Commanded
    | TokenSeen
    | Deleted
    | LeaderSet
    | Killed
    | Submitted
    | Told
    | Refused
    | Polled
    | Cancelling
    | Stray
)
encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(Event).decode


class Recorder:
    """A process's own history."""

    def __init__(self, directory: Path, name: str) -> None:
        self._file = (directory / f"events-{name}.jsonl").open("ab")

    def write(self, event: Event) -> None:
        self._file.write(encode(event) + b"\n")

    def flush(self) -> None:
        self._file.flush()


def history(directory: Path) -> Iterator[Event]:
    """The events of all processes, in the order of their times."""
    yield from heapq.merge(*map(_events, sorted(directory.glob("events-*.jsonl"))), key=lambda event: event.at)


def _events(path: Path) -> Iterator[Event]:
    with path.open("rb") as lines:
        for line in lines:
            # The last line of a process that was ended may be cut.
            if line.endswith(b"\n"):
                yield decode(line)


class UserHistory(Judge):
    """What users must remember of their jobs while they live, and a record of all that they saw; the rules are judged
    later, together with the workers' histories."""

    def __init__(self, now: Any, cancel_s: float, recorder: Recorder) -> None:
        super().__init__(now, cancel_s, {})
        self._recorder = recorder

    def record_violation(self, rule: str, what: str) -> None:
        """Not judged here."""

    def record_submission(self, spec: Spec) -> JobRecord:
        self._recorder.write(Submitted(self._now(), spec))
        return super().record_submission(spec)

    def record_state(self, job: str, standing: str, sent_at: float | None = None) -> None:
        self._recorder.write(Told(self._now(), job, standing))
        super().record_state(job, standing, sent_at)

    def record_rejection(self, job: str, status: int) -> None:
        self._recorder.write(Refused(self._now(), job, status))
        super().record_rejection(job, status)

    def record_poll(self, job: str, status: int | None) -> None:
        self._recorder.write(Polled(self._now(), job, status))
        super().record_poll(job, status)

    def record_cancel_request(self, job: str) -> None:
        self._recorder.write(Cancelling(self._now(), job))
        super().record_cancel_request(job)

    def unknown(self, job: str, status: int) -> None:
        self._recorder.write(Stray(self._now(), job, status))
