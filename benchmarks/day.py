"""Reads the jobs, attempts and machines of a day from the controllers' logs at level `debug`, and attributes costs.

Each line must begin with a time in seconds. Any text may stand between the time and the controller's own line
(`LEVEL NODE COMPONENT: TEXT`), as a load test or a service manager writes it. Other lines are ignored. The patterns
also match the texts that earlier versions logged.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

LOG_LINE = re.compile(r"\s*(\d+(?:\.\d+)?)\s.*?\b([DIEW]) (\S+) (\w+): (.*)")
# The patterns of log lines match the present form and the one before it.
ACCEPTED = re.compile(
    r"job (?:accepted job=)?(\S+) (?:accepted: |class=)(\S+) (?:of |team=)(\S+?),? (?:priority=)?(\w+),? "
    r"(?:tasks=)?(\d+) (?:tasks of |cpus=)(\S+) (?:CPUs and |memory_gb=)(\S+) (?:GB, about |estimate_s=)(\S+) "
    r"(?:s, due after |deadline_s=)(\S+)"
)
ENDED = re.compile(r"job (?:ended job=)?(\S+) (?:ended: |state=)(\w+)")
RUNNING = re.compile(r"task (?:running task=)?(\S+)/(\d+) (?:runs on |machine=)(\S+) (?:after |elapsed_s=)(\S+)")
DONE = re.compile(r"task (?:done task=)?(\S+)/(\d+) (?:done on |machine=)(\S+) (?:after |elapsed_s=)(\S+)")
RELEASED = re.compile(
    r"task (?:released (?:with its machine )?task=)?(\S+)/(\d+) attempt[ =](\d+) "
    r"(?:gone from |gone with |machine=)([^:\s]+)(?:(?:: | reason=)(.*))?"
)
CREATED = re.compile(
    r"(?:machine |created machine=)(\S+)(?: rented: | type=)(\S+)"
    r"(?: in | zone=)(\S+)(?:, | market=)(spot|ordinary|on-demand)"
)
FIRST_CONTACT = re.compile(r"(?:first contact )?machine[ =](\S+) (?:\(|type=)([^\s)]+)(?:\) reports first)?$")
DELETED = re.compile(r"deleted (?:machines=)?(.*)")
DECOMMISSIONED = re.compile(
    r"(?:machine |decommissioning machine=)(\S+)(?: condemned with | tasks=)(\d+)(?: tasks: | reason=)(.*)"
)


@dataclass(slots=True)
class TaskAttempt:
    """One attempt of a task, which ended while it ran or before it ran. Times are seconds of the day."""

    job: str
    number: int
    machine: str
    started_at: float | None
    """When the task was first logged as running, or its end minus its logged run time; None if it did not run."""
    ended_at: float
    outcome: str
    """`done`, or the reason for the attempt's loss."""

    @property
    def run_time_s(self) -> float:
        """Seconds for which the task ran; 0 if it never did."""
        return self.ended_at - self.started_at if self.started_at is not None else 0.0


@dataclass(slots=True)
class DayJob:
    """An accepted job and its attempts. Times are seconds of the day."""

    name: str
    job_class: str
    team: str
    priority: str
    tasks: int
    cpus: float
    memory_gb: float
    estimate_s: float
    due_s: float | None
    submitted_at: float
    ended_at: float | None = None
    state: str = "open"
    attempts: list[TaskAttempt] = field(default_factory=list)
    first_started_at: dict[int, float] = field(default_factory=dict)
    """By task number, when the task was first logged as running."""

    @property
    def is_service(self) -> bool:
        """Whether the job runs until it is cancelled: only services have an estimate of 0."""
        return self.estimate_s == 0

    @property
    def completed_run_times_s(self) -> list[float]:
        """Run times of the attempts that were done, shortest first."""
        return sorted(
            attempt.run_time_s
            for attempt in self.attempts
            if attempt.outcome == "done" and attempt.started_at is not None
        )


@dataclass(slots=True)
class DayMachine:
    """A machine that was created in the day, and the attempts on it. Times are seconds of the day."""

    name: str
    kind: tuple[str, str, bool]
    """Type, zone, and whether it is a spot machine."""
    created_at: float
    ready_at: float | None = None
    """When its worker first contacted a leader."""
    deleted_at: float | None = None
    decommission_reason: str = ""
    attempts: list[TaskAttempt] = field(default_factory=list)


@dataclass(slots=True)
class Day:
    """All jobs by id and machines by name, and the time of the last line in seconds."""

    jobs: dict[str, DayJob] = field(default_factory=dict)
    machines: dict[str, DayMachine] = field(default_factory=dict)
    ends_at: float = 0.0


def read_day(lines: Iterable[str]) -> Day:
    """The day that these log lines describe; lines in another form are ignored."""
    day = Day()
    running: dict[tuple[str, int], tuple[str, float]] = {}
    decommission_reasons: dict[str, str] = {}

    def end_attempt(
        job: str, number: int, machine: str, at: float, outcome: str, elapsed_s: float | None = None
    ) -> None:
        _, started_at = running.pop((job, number), (machine, None))
        if started_at is None and elapsed_s is not None:
            started_at = at - elapsed_s
        attempt = TaskAttempt(job, number, machine, started_at, at, outcome)
        if job in day.jobs:
            day.jobs[job].attempts.append(attempt)
        if machine in day.machines:
            day.machines[machine].attempts.append(attempt)

    for line in lines:
        match = LOG_LINE.match(line)
        if match is None:
            continue
        at, text = float(match[1]), match[5]
        day.ends_at = max(day.ends_at, at)
        if found := ACCEPTED.match(text):
            day.jobs.setdefault(
                found[1],
                DayJob(
                    found[1],
                    found[2],
                    found[3],
                    found[4],
                    int(found[5]),
                    float(found[6]),
                    float(found[7]),
                    float(found[8]),
                    float(found[9]) or None,
                    at,
                ),
            )
        elif found := RUNNING.match(text):
            # A new leader logs again which tasks it finds running.
            if found[1] in day.jobs:
                day.jobs[found[1]].first_started_at.setdefault(int(found[2]), at)
            if running.get((found[1], int(found[2])), ("", 0.0))[0] != found[3]:
                running[found[1], int(found[2])] = (found[3], at)
        elif found := DONE.match(text):
            end_attempt(found[1], int(found[2]), found[3], at, "done", float(found[4]))
        elif found := RELEASED.match(text):
            outcome = found[5] or decommission_reasons.get(found[4], "machine gone")
            end_attempt(found[1], int(found[2]), found[4], at, outcome)
        elif found := CREATED.match(text):
            day.machines.setdefault(found[1], DayMachine(found[1], (found[2], found[3], found[4] == "spot"), at))
        elif found := FIRST_CONTACT.match(text):
            if found[1] in day.machines and day.machines[found[1]].ready_at is None:
                day.machines[found[1]].ready_at = at
        elif found := DECOMMISSIONED.match(text):
            decommission_reasons[found[1]] = re.sub(r"[\d.]+", "N", found[3])
        elif found := DELETED.match(text):
            for name in found[1].split(", "):
                if name in day.machines:
                    day.machines[name].deleted_at = at
                    day.machines[name].decommission_reason = decommission_reasons.get(name, "")
        elif (found := ENDED.match(text)) and found[1] in day.jobs:
            day.jobs[found[1]].ended_at = at
            day.jobs[found[1]].state = found[2]
    return day


def attribute_costs(day: Day, prices: dict[tuple[str, bool], float], cpus: dict[str, float]) -> dict[str, float]:
    """The money paid for machines, by the use of each paid CPU second.

    `prices` are per hour, by type and whether the machine is a spot machine; `cpus` are by type. A second of a machine
    is divided by the CPUs that its tasks held. A key in brackets repeats a part of the other keys' money.
    """
    costs: dict[str, float] = defaultdict(float)
    for machine in day.machines.values():
        type_name, _, spot = machine.kind
        rate = prices[type_name, spot] / 3600.0
        deleted_at = machine.deleted_at if machine.deleted_at is not None else day.ends_at
        ready_at = machine.ready_at
        if ready_at is None or ready_at > deleted_at:
            costs["never up"] += rate * (deleted_at - machine.created_at)
            continue
        costs["boot"] += rate * (ready_at - machine.created_at)
        ready_cost = rate * (deleted_at - ready_at)
        used_cost = 0.0
        for attempt in machine.attempts:
            job = day.jobs.get(attempt.job)
            if job is None or attempt.started_at is None:
                continue
            attempt_cost = rate * attempt.run_time_s * job.cpus / cpus[type_name]
            used_cost += attempt_cost
            costs["useful" if attempt.outcome == "done" else f"lost: {attempt.outcome}"] += attempt_cost
        last_end_at = max((attempt.ended_at for attempt in machine.attempts), default=ready_at)
        empty_cost = rate * max(0.0, deleted_at - last_end_at)
        costs["empty at the end"] += empty_cost
        costs["room unused, fetches"] += max(0.0, ready_cost - used_cost - empty_cost)
        if not spot:
            costs["(of all: ordinary machines)"] += rate * (deleted_at - machine.created_at)
    return dict(costs)


def total_cost(costs: dict[str, float]) -> float:
    """All money paid; keys in brackets are left out, as their money is counted under other keys too."""
    return sum(value for key, value in costs.items() if not key.startswith("("))
