"""Checks the rules over the events of a run, and summarizes its figures."""

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
from loadtest.hollow import MAX_RESPONSE_MS, SIGNIFICANT_DIGITS
from loadtest.plan import Plan
from simulation.judge import JobRecord, Judge

PERCENTILES = (50.0, 95.0, 99.0)
_decode_tally = msgspec.json.Decoder(Tally).decode


class Takeover(Struct):
    """The takeover after a leader was killed; times are in seconds from the kill."""

    at_s: float
    elected_s: float | None = None
    first_start_s: float | None = None
    half_of_workers_s: float | None = None
    all_workers_s: float | None = None
    """Until 50% (`half_of_workers_s`) and 99% of the workers with the old token received a newer one."""


class Replay:
    """Passes the events of a run to a judge in the order of their times, and collects figures."""

    def __init__(self, plan: Plan, started_at: float) -> None:
        self._started_at = started_at
        self._now = started_at
        limits = {team.name: team.cpus_max for team in plan.teams}
        self.judge = Judge(lambda: self._now - started_at, plan.facts.cancel_s, limits)
        self._tasks_by_machine: dict[str, set[tuple[str, int]]] = {}
        self._deleted: set[str] = set()
        self.starts: Counter[int] = Counter()
        """Number of started tasks by second."""
        self.leases_ended = 0
        self.lost = Counter[str]()
        self.takeovers: list[Takeover] = []
        self._tokens: dict[str, int] = {}
        self._seen_tokens: list[e.TokenSeen] = []
        self._kills: list[tuple[Takeover, float, int, int]] = []

    def play(self, events: Iterator[e.Event]) -> None:
        """Process all events; rules are checked on the way and at the end."""
        for event in events:
            self._now = max(self._now, event.at)
            self._process(event)
        self.judge.finish()
        for takeover, killed_at, old_token, workers in self._kills:
            self._measure_token_times(takeover, killed_at, old_token, workers)

    def _process(self, event: e.Event) -> None:
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
                for job, number in sorted(self._tasks_by_machine.pop(event.machine, set())):
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
                self.takeovers.append(Takeover(round(event.at - self._started_at, 3)))
                old_token = max(self._tokens.values(), default=0)
                self._kills.append((self.takeovers[-1], event.at, old_token, len(self._tokens)))
            case e.LeaderSet() if self.takeovers and self.takeovers[-1].elected_s is None:
                self.takeovers[-1].elected_s = round(event.at - self._kills[-1][1], 3)
            case e.Commanded() if self._kills and event.token > self._kills[-1][2]:
                if self.takeovers[-1].first_start_s is None:
                    self.takeovers[-1].first_start_s = round(event.at - self._kills[-1][1], 3)
            case e.TokenSeen():
                self._tokens[event.machine] = event.token
                self._seen_tokens.append(event)

    def _task_on(self, event: e.TaskOn) -> None:
        if event.machine in self._deleted:
            return
        self._tasks_by_machine.setdefault(event.machine, set()).add((event.job, event.number))
        self.starts[int(event.at - self._started_at)] += 1
        self.judge.task_on(event.job, event.number, event.machine, event.type, event.zone, event.spot)

    def _task_off(self, machine: str, job: str, number: int, reason: str) -> None:
        self._tasks_by_machine.get(machine, set()).discard((job, number))
        if reason != "done":
            self.lost[reason] += 1
        self.judge.task_off(job, number, machine, reason)

    def _measure_token_times(self, takeover: Takeover, killed_at: float, old_token: int, workers: int) -> None:
        first_seen_at: dict[str, float] = {}
        for seen in self._seen_tokens:
            if seen.token > old_token and seen.at >= killed_at:
                first_seen_at.setdefault(seen.machine, seen.at)
        times = sorted(first_seen_at.values())
        if workers and len(times) >= 0.99 * workers:
            takeover.half_of_workers_s = round(times[workers // 2] - killed_at, 3)
            takeover.all_workers_s = round(times[int(0.99 * workers) - 1] - killed_at, 3)


def percentiles(values: list[float]) -> dict[str, float]:
    """Percentiles of durations in seconds by nearest rank; empty without values."""
    ordered = sorted(values)
    return (
        {
            f"p{percent:g}": round(ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))], 3)
            for percent in PERCENTILES
        }
        if (ordered)
        else {}
    )


def _summarize_class(jobs: list[JobRecord]) -> dict[str, Any]:
    """Figures of one class: numbers of jobs, and times until their acceptance and until their first task started."""
    accepted = [job.accepted_at - job.submitted_at for job in jobs if job.accepted_at is not None]
    started = [job.first_started_at - job.submitted_at for job in jobs if job.first_started_at is not None]
    return {
        "jobs": len(jobs),
        "accepted": len(accepted),
        "begun": len(started),
        "done": sum(job.told == "done" for job in jobs),
        "accepted_s": percentiles(accepted),
        "begun_s": percentiles(started),
    }


def read_tallies(directory: Path) -> dict[str, list[Tally]]:
    """Read the tallies of each process, by its name."""
    by_process = {}
    for path in sorted(directory.glob("tally-*.jsonl")):
        lines = [line for line in path.read_bytes().split(b"\n") if line]
        by_process[path.stem.removeprefix("tally-")] = [_decode_tally(line) for line in lines]
    return by_process


def _summarize_reports(last: list[Tally]) -> dict[str, Any]:
    """Counts, bytes and response times in milliseconds of the heartbeats of all workers, from their last tallies."""
    answers = HdrHistogram(1, MAX_RESPONSE_MS, SIGNIFICANT_DIGITS)
    for tally in last:
        if tally.answers:
            answers.decode_and_add(tally.answers)
    return {
        "count": sum(process_tally.reports for process_tally in last),
        "unanswered": sum(process_tally.unanswered for process_tally in last),
        "commands": sum(process_tally.commands for process_tally in last),
        "sent_bytes": sum(process_tally.sent_bytes for process_tally in last),
        "received_bytes": sum(process_tally.received_bytes for process_tally in last),
        "answer_ms": {f"p{percent:g}": answers.get_value_at_percentile(percent) for percent in PERCENTILES},
    }


def summarize_run(plan: Plan, directory: Path, started_at: float) -> dict[str, Any]:
    """The summary of a run whose events and tallies are in a directory; `started_at`: its start as a Unix time."""
    replay = Replay(plan, started_at)
    replay.play(e.read_history(directory))
    judge = replay.judge
    by_process = read_tallies(directory)
    last = {name: process_tallies[-1] for name, process_tallies in by_process.items() if process_tallies}
    classes: dict[str, list[JobRecord]] = {}
    for record in judge.jobs.values():
        classes.setdefault(record.spec.job_class, []).append(record)
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
        "classes": {name: _summarize_class(jobs) for name, jobs in sorted(classes.items())},
        "takeovers": msgspec.to_builtins(replay.takeovers),
        "reports": _summarize_reports([tally for name, tally in last.items() if name.startswith("hollow")]),
        "store": {"requests": state.store_requests, "changes": state.store_changes, "refused": state.store_refused},
    }
