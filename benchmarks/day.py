"""A day read back from the nodes' logs at level `debug`: jobs, attempts, machines, and where the money went.

Each line is expected to begin with a time in seconds, whatever follows it up to the node's own line
(`LEVEL NODE SLICE: TEXT`), as a bench or a service manager writes it. What can't be read is passed over.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

LINE = re.compile(r"\s*(\d+(?:\.\d+)?)\s.*?\b([DIEW]) (\S+) (\w+): (.*)")
# The patterns of job lines match the present log format and the one before it.
ACCEPTED = re.compile(
    r"job (?:accepted job=)?(\S+) (?:accepted: |class=)(\S+) (?:of |team=)(\S+?),? (?:priority=)?(\w+),? "
    r"(?:tasks=)?(\d+) (?:tasks of |cpus=)(\S+) (?:CPUs and |memory_gb=)(\S+) (?:GB, about |estimate_s=)(\S+) "
    r"(?:s, due after |deadline_s=)(\S+)"
)
ENDED = re.compile(r"job (?:ended job=)?(\S+) (?:ended: |state=)(\w+)")
RUNS = re.compile(r"task (?:running task=)?(\S+)/(\d+) (?:runs on |machine=)(\S+) (?:after |elapsed_s=)(\S+)")
DONE = re.compile(r"task (?:done task=)?(\S+)/(\d+) (?:done on |machine=)(\S+) (?:after |elapsed_s=)(\S+)")
GONE = re.compile(
    r"task (?:released (?:with its machine )?task=)?(\S+)/(\d+) attempt[ =](\d+) "
    r"(?:gone from |gone with |machine=)([^:\s]+)(?:(?:: | reason=)(.*))?"
)
RENTED = re.compile(
    r"(?:machine |created machine=)(\S+)(?: rented: | type=)(\S+)"
    r"(?: in | zone=)(\S+)(?:, | market=)(spot|ordinary|on-demand)"
)
FIRST = re.compile(r"(?:first contact )?machine[ =](\S+) (?:\(|type=)([^\s)]+)(?:\) reports first)?$")
DELETED = re.compile(r"deleted (?:machines=)?(.*)")
CONDEMNED = re.compile(
    r"(?:machine |decommissioning machine=)(\S+)(?: condemned with | tasks=)(\d+)(?: tasks: | reason=)(.*)"
)


@dataclass(slots=True)
class Ran:
    """One attempt of a task that was seen running, or was stopped before."""

    job: str
    number: int
    machine: str
    began: float | None
    ended: float
    why: str
    """`done`, or why it was lost."""

    @property
    def seconds(self) -> float:
        return self.ended - self.began if self.began is not None else 0.0


@dataclass(slots=True)
class DayJob:
    name: str
    job_class: str
    team: str
    priority: str
    tasks: int
    cpus: float
    memory_gb: float
    estimate_s: float
    due_s: float | None
    submitted: float
    ended: float | None = None
    standing: str = "open"
    runs: list[Ran] = field(default_factory=list)
    began: dict[int, float] = field(default_factory=dict)
    """When each task was first seen running."""

    @property
    def endless(self) -> bool:
        """A service: it runs until it is cancelled."""
        return self.estimate_s == 0

    @property
    def run_s(self) -> list[float]:
        """Run times of the tasks that were done, shortest first."""
        return sorted(run.seconds for run in self.runs if run.why == "done" and run.began is not None)


@dataclass(slots=True)
class DayMachine:
    name: str
    kind: tuple[str, str, bool]
    rented: float
    up: float | None = None
    gone: float | None = None
    why: str = ""
    runs: list[Ran] = field(default_factory=list)


@dataclass(slots=True)
class Day:
    jobs: dict[str, DayJob] = field(default_factory=dict)
    machines: dict[str, DayMachine] = field(default_factory=dict)
    ends: float = 0.0


def read(lines: Iterable[str]) -> Day:
    day = Day()
    running: dict[tuple[str, int], tuple[str, float]] = {}
    why: dict[str, str] = {}

    def settle(name: str, number: int, machine: str, at: float, reason: str, took: float | None = None) -> None:
        _, began = running.pop((name, number), (machine, None))
        if began is None and took is not None:
            began = at - took
        ran = Ran(name, number, machine, began, at, reason)
        if name in day.jobs:
            day.jobs[name].runs.append(ran)
        if machine in day.machines:
            day.machines[machine].runs.append(ran)

    for line in lines:
        match = LINE.match(line)
        if match is None:
            continue
        at, text = float(match[1]), match[5]
        day.ends = max(day.ends, at)
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
        elif found := RUNS.match(text):
            # A new leader tells anew of what it finds running.
            if found[1] in day.jobs:
                day.jobs[found[1]].began.setdefault(int(found[2]), at)
            if running.get((found[1], int(found[2])), ("", 0.0))[0] != found[3]:
                running[found[1], int(found[2])] = (found[3], at)
        elif found := DONE.match(text):
            settle(found[1], int(found[2]), found[3], at, "done", float(found[4]))
        elif found := GONE.match(text):
            reason = found[5] or why.get(found[4], "machine gone")
            settle(found[1], int(found[2]), found[4], at, reason)
        elif found := RENTED.match(text):
            day.machines.setdefault(found[1], DayMachine(found[1], (found[2], found[3], found[4] == "spot"), at))
        elif found := FIRST.match(text):
            if found[1] in day.machines and day.machines[found[1]].up is None:
                day.machines[found[1]].up = at
        elif found := CONDEMNED.match(text):
            why[found[1]] = re.sub(r"[\d.]+", "N", found[3])
        elif found := DELETED.match(text):
            for name in found[1].split(", "):
                if name in day.machines:
                    day.machines[name].gone = at
                    day.machines[name].why = why.get(name, "")
        elif (found := ENDED.match(text)) and found[1] in day.jobs:
            day.jobs[found[1]].ended = at
            day.jobs[found[1]].standing = found[2]
    return day


def money(day: Day, prices: dict[tuple[str, bool], float], cpus: dict[str, float]) -> dict[str, float]:
    """Where the money went, by what each paid CPU second did; `prices` an hour by type and spot, `cpus` by
    type. A machine's second is split by the CPUs that its tasks held."""
    spent: dict[str, float] = defaultdict(float)
    for machine in day.machines.values():
        type_name, _, spot = machine.kind
        rate = prices[type_name, spot] / 3600.0
        gone = machine.gone if machine.gone is not None else day.ends
        up = machine.up
        if up is None or up > gone:
            spent["never up"] += rate * (gone - machine.rented)
            continue
        spent["boot"] += rate * (up - machine.rented)
        in_use = rate * (gone - up)
        used = 0.0
        for run in machine.runs:
            job = day.jobs.get(run.job)
            if job is None or run.began is None:
                continue
            part = rate * run.seconds * job.cpus / cpus[type_name]
            used += part
            spent["useful" if run.why == "done" else f"lost: {run.why}"] += part
        last = max((run.ended for run in machine.runs), default=up)
        after = rate * max(0.0, gone - last)
        spent["empty at the end"] += after
        spent["room unused, fetches"] += max(0.0, in_use - used - after)
        if not spot:
            spent["(of all: ordinary machines)"] += rate * (gone - machine.rented)
    return dict(spent)


def paid(spent: dict[str, float]) -> float:
    """All that was paid; what stands in brackets is told a second time there."""
    return sum(value for key, value in spent.items() if not key.startswith("("))
