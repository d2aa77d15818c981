"""Reads histories of runs from files of JSON lines, and generates them from a seed."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import exp
from random import Random
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

from meadowcross.common.types import Seconds
from meadowcross.estimates.run_time_model import RunFeatures, shape_name

MAX_LINE_BYTES = 64 * 1024

_Name = Annotated[str, Meta(max_length=100)]
_Amount = Annotated[float, Meta(ge=0, le=1e6)]
Outcome = Literal["done", "stopped", "error", "lost", "mates_gone"]


class Run(Struct, omit_defaults=True):
    """One run, as a line of a history: `seconds` of running, without image fetch and waiting."""

    job_class: Annotated[str, Meta(min_length=1, max_length=100)] = field(name="class")
    seconds: Annotated[float, Meta(gt=0, le=1e8)]
    estimate: Annotated[float, Meta(ge=0, le=1e8)] = 0.0
    """The owner's guess in seconds; 0 if there is none."""
    outcome: Outcome = "done"
    """With any outcome but `done` the run was interrupted after `seconds`."""
    team: _Name = ""
    type: _Name = ""
    job: _Name = ""
    machine: _Name = ""
    cpus: _Amount = 1.0
    gpus: _Amount = 0.0
    memory_gb: _Amount = 0.0

    @property
    def features(self) -> RunFeatures:
        """The features that a prediction of the run is made from."""
        shape = shape_name(self.cpus, self.gpus, self.memory_gb)
        return RunFeatures(self.job_class, self.team, shape, self.type, self.estimate, self.job)


_decode = msgspec.json.Decoder(Run).decode


def read_history(path: str, report_error: Callable[[str], None]) -> list[Run]:
    """Return the runs of all valid lines, in order; each invalid line is reported once, with its number.

    Raises OSError if the file can't be read."""
    runs = []
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            if not line.strip():
                continue
            try:
                if len(line) > MAX_LINE_BYTES:
                    raise ValueError(f"{len(line)} bytes, expected at most {MAX_LINE_BYTES}")
                run = _decode(line)
                if not run.job_class.isprintable():
                    raise ValueError("class name with characters that can't be printed")
                runs.append(run)
            except (msgspec.DecodeError, ValueError) as error:
                report_error(f"line {number}: {' '.join(str(error).split())}")
    return runs


def generate_history(seed: int, runs_per_case: int = 300) -> list[Run]:
    """Generate a history of all cases that the estimates must handle, mixed in time."""
    random = Random(seed)
    streams = [
        iter(generate_case(Random(f"{seed} {name}"), name, runs_per_case)) for name, generate_case in CASES.items()
    ]
    history: list[Run] = []
    while streams:
        stream = random.choice(streams)
        run = next(stream, None)
        if run is None:
            streams.remove(stream)
        else:
            history.append(run)
    # A class without any history, whose team is well known.
    history += _unknown_class(Random(f"{seed} unknown"))
    return history


def _guess_error(random: Random) -> float:
    """Return the factor of a guess's error: often a half too much or too little, sometimes more."""
    return exp(random.gauss(0.0, 0.45))


def _steady(random: Random, name: str, runs: int) -> Iterator[Run]:
    for _ in range(runs):
        yield Run(name, 60 * exp(random.gauss(0, 0.08)), 60 * _guess_error(random), team="ops")


def _guessed_by_owner(random: Random, name: str, runs: int) -> Iterator[Run]:
    """Run times of any run_s; the owner's guess is right except for a constant factor."""
    for _ in range(runs):
        run_s = exp(random.uniform(2.5, 6.5))
        yield Run(name, run_s * exp(random.gauss(0, 0.08)), run_s * 0.6, team="ops")


def _doubling(random: Random, name: str, runs: int) -> Iterator[Run]:
    for i in range(runs):
        run_s: Seconds = 80.0 if runs // 3 <= i < 2 * runs // 3 else 40.0
        yield Run(name, run_s * exp(random.gauss(0, 0.08)), 40 * _guess_error(random), team="gate")


def _bimodal(random: Random, name: str, runs: int) -> Iterator[Run]:
    for _ in range(runs):
        run_s = 200.0 if random.random() < 0.3 else 50.0
        yield Run(name, run_s * exp(random.gauss(0, 0.08)), 90.0, team="gate")


def _drift(random: Random, name: str, runs: int) -> Iterator[Run]:
    for i in range(runs):
        yield Run(name, 30 * exp(1.5 * i / runs + random.gauss(0, 0.08)), 60.0, team="gate")


def _heavy_tail(random: Random, name: str, runs: int) -> Iterator[Run]:
    for _ in range(runs):
        yield Run(name, 10 * random.paretovariate(1.2), 30.0, team="image")


def _hanging(random: Random, name: str, runs: int) -> Iterator[Run]:
    for _ in range(runs):
        if random.random() < 0.05:
            yield Run(name, 25 * random.uniform(5, 40), 25.0, "lost", team="image")
        else:
            yield Run(name, 25 * exp(random.gauss(0, 0.08)), 25 * _guess_error(random), team="image")


def _wrong_by_half(random: Random, name: str, runs: int) -> Iterator[Run]:
    for _ in range(runs):
        run_s = exp(random.uniform(3, 5)) * exp(random.gauss(0, 0.08))
        yield Run(name, run_s, run_s / 2, team="image")


def _two_teams(random: Random, name: str, runs: int) -> Iterator[Run]:
    for _ in range(runs):
        team, run_s = ("ops", 30.0) if random.random() < 0.5 else ("gate", 75.0)
        yield Run(name, run_s * exp(random.gauss(0, 0.08)), 50.0, team=team)


def _slow_machine(random: Random, name: str, runs: int) -> Iterator[Run]:
    """One machine of twelve takes three times as long, which can't be predicted from a run's features."""
    for _ in range(runs):
        machine = random.randrange(12)
        run_s = 45 * exp(random.gauss(0, 0.08)) * (3 if machine == 0 else 1)
        yield Run(name, run_s, 45 * _guess_error(random), team="ops", machine=f"i-{machine}")


def _arrays(random: Random, name: str, runs: int) -> Iterator[Run]:
    """Jobs of twenty similar tasks; run times differ between the jobs."""
    for job in range(max(1, runs // 20)):
        run_s = 60 * exp(random.gauss(0, 0.6))
        for _ in range(20):
            yield Run(name, run_s * exp(random.gauss(0, 0.06)), 60.0, team="image", job=f"{name}-{job}")


def _unknown_class(random: Random) -> list[Run]:
    return [Run("unknown", 35 * exp(random.gauss(0, 0.08)), 70.0, team="image") for _ in range(40)]


CaseGenerator = Callable[[Random, str, int], Iterator[Run]]
CASES: dict[str, CaseGenerator] = {
    "steady": _steady,
    "told-by-owner": _guessed_by_owner,
    "doubling": _doubling,
    "bimodal": _bimodal,
    "drift": _drift,
    "heavy-tail": _heavy_tail,
    "hanging": _hanging,
    "wrong-by-half": _wrong_by_half,
    "two-teams": _two_teams,
    "slow-machine": _slow_machine,
    "arrays": _arrays,
}
