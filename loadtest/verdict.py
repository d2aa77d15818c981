"""Judges a run by the workers' own histories, and sums up its figures."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from loadtest import events as e
from loadtest.child import Tally
from loadtest.hollow import DIGITS, LONGEST_MS
from loadtest.plan import Plan
from simulation.judge import JobRecord, Judge

PERCENTILES = (50.0, 95.0, 99.0)
_decode_tally = msgspec.json.Decoder(Tally).decode


class Takeover(Struct):
    """Of one end of a leader, in seconds from it."""

    at_s: float
    elected_s: float | None = None
    first_start_s: float | None = None
    half_of_workers_s: float | None = None
    all_workers_s: float | None = None
    """Until half, and 99 of 100, of the workers that had the token before knew the next one."""


class Replay:
    """Feeds the histories to the lab's judge in the order of their times."""

    def __init__(self, plan: Plan, began: float) -> None:
        self._began = began
        self._now = began
        limits = {team.name: team.cpus_max for team in plan.teams}
        self.judge = Judge(lambda: self._now - began, plan.facts.cancel_s, limits)
        self._on: dict[str, set[tuple[str, int]]] = {}
        """By machine, the tasks on it."""
        self._deleted: set[str] = set()
        self.starts: Counter[int] = Counter()
        """By second."""
        self.leases_ended = 0
        self.lost = Counter[str]()
        self.takeovers: list[Takeover] = []
        self._tokens: dict[str, int] = {}
        self._learned: dict[int, list[float]] = {}
        self._awaited: list[tuple[Takeover, float, int, int]] = []

    def play(self, history: Iterator[e.Event]) -> None:
        """All of it; the rules are judged as it goes, and at its end."""
        for event in history:
            self._now = max(self._now, event.at)
            self._take(event)
        self.judge.finish()
        for takeover, killed_at, before, workers in self._awaited:
            self._learned_by(takeover, killed_at, before, workers)

    def _take(self, event: e.Event) -> None:
        judge = self.judge
        match event:
            case e.TaskOn():
                self._task_on(event)
            case e.TaskOff():
                if event.machine not in self._deleted:
                    self._task_off(event.machine, event.job, event.number, event.why)
            case e.LeaseEnded():
                self.leases_ended += 1
            case e.Deleted():
                for job, number in sorted(self._on.pop(event.machine, set())):
                    self._task_off(event.machine, job, number, "deleted")
                self._deleted.add(event.machine)
                self._tokens.pop(event.machine, None)
            case e.Submitted():
                judge.record_submission(event.spec)
            case e.Told():
                judge.record_state(event.job, event.standing)
            case e.Refused():
                judge.record_rejection(event.job, event.status)
            case e.Polled():
                judge.record_poll(event.job, event.status)
            case e.Cancelling():
                judge.record_cancel_request(event.job)
            case e.Stray():
                judge.unknown(event.job, event.status)
            case e.Killed() if event.led:
                self.takeovers.append(Takeover(round(event.at - self._began, 3)))
                before = max(self._tokens.values(), default=0)
                self._awaited.append((self.takeovers[-1], event.at, before, len(self._tokens)))
            case e.LeaderSet() if self.takeovers and self.takeovers[-1].elected_s is None:
                self.takeovers[-1].elected_s = round(event.at - self._awaited[-1][1], 3)
            case e.Commanded() if self._awaited and event.token > self._awaited[-1][2]:
                if self.takeovers[-1].first_start_s is None:
                    self.takeovers[-1].first_start_s = round(event.at - self._awaited[-1][1], 3)
            case e.TokenSeen():
                self._tokens[event.machine] = event.token
                self._learned.setdefault(event.token, []).append(event.at)

    def _task_on(self, event: e.TaskOn) -> None:
        if event.machine in self._deleted:
            return
        self._on.setdefault(event.machine, set()).add((event.job, event.number))
        self.starts[int(event.at - self._began)] += 1
        self.judge.task_on(event.job, event.number, event.machine, event.type, event.zone, event.spot)

    def _task_off(self, machine: str, job: str, number: int, why: str) -> None:
        self._on.get(machine, set()).discard((job, number))
        if why != "done":
            self.lost[why] += 1
        self.judge.task_off(job, number, machine, why)

    def _learned_by(self, takeover: Takeover, killed_at: float, before: int, workers: int) -> None:
        times = sorted(at for token, seen in self._learned.items() if token > before for at in seen if at >= killed_at)
        if workers and len(times) >= 0.99 * workers:
            takeover.half_of_workers_s = round(times[workers // 2] - killed_at, 3)
            takeover.all_workers_s = round(times[int(0.99 * workers) - 1] - killed_at, 3)


def percentiles(values: list[float]) -> dict[str, float]:
    """Of seconds, by nearest rank; nothing of nothing."""
    ordered = sorted(values)
    return (
        {f"p{p:g}": round(ordered[min(len(ordered) - 1, int(len(ordered) * p / 100))], 3) for p in PERCENTILES}
        if (ordered)
        else {}
    )


def _waits(jobs: list[JobRecord]) -> dict[str, Any]:
    """Of one class: submissions, how long they took, and how long until a first task was on a machine."""
    accepted = [one.accepted_at - one.submitted_at for one in jobs if one.accepted_at is not None]
    begun = [one.first_started_at - one.submitted_at for one in jobs if one.first_started_at is not None]
    return {
        "jobs": len(jobs),
        "accepted": len(accepted),
        "begun": len(begun),
        "done": sum(one.told == "done" for one in jobs),
        "accepted_s": percentiles(accepted),
        "begun_s": percentiles(begun),
    }


def tallies(directory: Path) -> dict[str, list[Tally]]:
    """What each process counted, by its name."""
    found = {}
    for path in sorted(directory.glob("tally-*.jsonl")):
        lines = [line for line in path.read_bytes().split(b"\n") if line]
        found[path.stem.removeprefix("tally-")] = [_decode_tally(line) for line in lines]
    return found


def _reports(last: list[Tally]) -> dict[str, Any]:
    """Of all workers: their reports' answer times in milliseconds, counts and bytes."""
    answers = HdrHistogram(1, LONGEST_MS, DIGITS)
    for tally in last:
        if tally.answers:
            answers.decode_and_add(tally.answers)
    return {
        "count": sum(one.reports for one in last),
        "unanswered": sum(one.unanswered for one in last),
        "commands": sum(one.commands for one in last),
        "sent_bytes": sum(one.sent_bytes for one in last),
        "received_bytes": sum(one.received_bytes for one in last),
        "answer_ms": {f"p{p:g}": answers.get_value_at_percentile(p) for p in PERCENTILES},
    }


def sum_up(plan: Plan, directory: Path, began: float) -> dict[str, Any]:
    """The summary of a run whose histories and tallies are in a directory."""
    replay = Replay(plan, began)
    replay.play(e.history(directory))
    judge = replay.judge
    counted = tallies(directory)
    last = {name: ones[-1] for name, ones in counted.items() if ones}
    classes: dict[str, list[JobRecord]] = {}
    for seen in judge.jobs.values():
        classes.setdefault(seen.spec.job_class, []).append(seen)
    state = last.get("state0", Tally(0.0, "state0"))
    busiest = sorted(replay.starts.values(), reverse=True)
    return {
        "plan": plan.name,
        "workers": plan.workers,
        "controllers": plan.controllers,
        "relays": plan.relays,
        "stretch": plan.stretch,
        "seed": plan.seed,
        "duration_s": plan.duration_s,
        "broken": judge.broken,
        "starts": judge.started,
        "started_again": judge.restarted_done,
        "starts_a_second": {
            "mean": round(judge.started / plan.duration_s, 1),
            "busiest": busiest[0] if busiest else 0,
        },
        "leases_ended": replay.leases_ended,
        "ends_without_done": dict(replay.lost),
        "classes": {name: _waits(jobs) for name, jobs in sorted(classes.items())},
        "takeovers": msgspec.to_builtins(replay.takeovers),
        "reports": _reports([one for name, one in last.items() if name.startswith("hollow")]),
        "store": {"requests": state.store_requests, "changes": state.store_changes, "refused": state.store_refused},
    }
