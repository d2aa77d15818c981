"""Events of a run: each process writes its events as JSON lines, and they are read in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from simulation.judge import JobRecord, Judge, Spec


class TaskOn(Struct, tag_field="kind", tag="on"):
    """A task starts on a machine that has its image."""

    at: float
    job: str
    number: int
    machine: str
    type: str
    zone: str
    spot: bool


class TaskOff(Struct, tag_field="kind", tag="off"):
    """A task left a machine."""

    at: float
    job: str
    number: int
    machine: str
    why: str


class LeaseEnded(Struct, tag_field="kind", tag="lease"):
    """A worker's lease has run out."""

    at: float
    machine: str


class Commanded(Struct, tag_field="kind", tag="commanded"):
    """A hollow process received start commands with a fencing token for the first time."""

    at: float
    token: int


class TokenSeen(Struct, tag_field="kind", tag="token"):
    """A worker received a higher fencing token."""

    at: float
    machine: str
    token: int


class Deleted(Struct, tag_field="kind", tag="deleted"):
    """The cloud has answered 200 to a machine's deletion, so all its tasks are gone."""

    at: float
    machine: str


class LeaderSet(Struct, tag_field="kind", tag="leader"):
    """A controller wrote the leader's key."""

    at: float
    node: str
    token: int


class Killed(Struct, tag_field="kind", tag="killed"):
    """The run killed a controller; `led`: it was the leader."""

    at: float
    node: str
    led: bool


class Submitted(Struct, tag_field="kind", tag="submitted"):
    """A user submits a job."""

    at: float
    spec: Spec


class Told(Struct, tag_field="kind", tag="told"):
    """A response to a user named the state of a job."""

    at: float
    job: str
    standing: str


class Refused(Struct, tag_field="kind", tag="refused"):
    """A submission was rejected with an HTTP status."""

    at: float
    job: str
    status: int


class Polled(Struct, tag_field="kind", tag="polled"):
    """A user queried a job; `status` is None if there was no response."""

    at: float
    job: str
    status: int | None


class Cancelling(Struct, tag_field="kind", tag="cancelling"):
    """A user begins to request a job's cancellation."""

    at: float
    job: str


class Stray(Struct, tag_field="kind", tag="stray"):
    """The response to a query about a job that no user submitted."""

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
    """Writes the events of one process to a file in a directory."""

    def __init__(self, directory: Path, name: str) -> None:
        self._file = (directory / f"events-{name}.jsonl").open("ab")

    def write(self, event: Event) -> None:
        """Append an event to the file's buffer."""
        self._file.write(encode(event) + b"\n")

    def flush(self) -> None:
        """Write the buffered events to the file."""
        self._file.flush()


def read_history(directory: Path) -> Iterator[Event]:
    """Yield the events of all processes in the order of their times."""
    yield from heapq.merge(*map(_read_events, sorted(directory.glob("events-*.jsonl"))), key=lambda event: event.at)


def _read_events(path: Path) -> Iterator[Event]:
    with path.open("rb") as lines:
        for line in lines:
            # The last line of a killed process may be incomplete.
            if line.endswith(b"\n"):
                yield decode(line)


class UserHistory(Judge):
    """Keeps the records that simulated users need, and writes an event for each observation.

    The rules are checked after the run, together with the workers' events.
    """

    def __init__(self, now: Any, cancel_s: float, recorder: Recorder) -> None:
        super().__init__(now, cancel_s, {})
        self._recorder = recorder

    def record_violation(self, rule: str, description: str) -> None:
        """Do nothing: rules are checked after the run."""

    def record_submission(self, spec: Spec) -> JobRecord:
        """Write the event and return the job's record."""
        self._recorder.write(Submitted(self._now(), spec))
        return super().record_submission(spec)

    def record_state(self, job: str, standing: str, sent_at: float | None = None) -> None:
        """Write the event and update the job's record."""
        self._recorder.write(Told(self._now(), job, standing))
        super().record_state(job, standing, sent_at)

    def record_rejection(self, job: str, status: int) -> None:
        """Write the event."""
        self._recorder.write(Refused(self._now(), job, status))
        super().record_rejection(job, status)

    def record_poll(self, job: str, status: int | None) -> None:
        """Write the event and update the job's record."""
        self._recorder.write(Polled(self._now(), job, status))
        super().record_poll(job, status)

    def record_cancel_request(self, job: str) -> None:
        """Write the event and update the job's record."""
        self._recorder.write(Cancelling(self._now(), job))
        super().record_cancel_request(job)

    def unknown(self, job: str, status: int) -> None:
        """Write the event."""
        self._recorder.write(Stray(self._now(), job, status))
