"""How far a day was from the best that any scheduler could have reached.

`python3 -m benchmarks.bounds LOG FACTS [--json]` reads a day's log (see `benchmarks.day`) and a file of facts (TOML:
`machine_types`, `capacity`, `teams`, `targets`, `warmup_s`), and states for each aim what was reached and a bound that
nobody could pass: every job and its true run times known beforehand, no failures, no fetches, no lost work,
all capacity rented at the first submission, its boots as quick as they were seen.

Jobs in time are bounded by a linear program (HiGHS, through scipy): how much of each job's work fits between
its submission and its due time, within the capacity that is up and its team's limit, jobs cut into pieces at
will. It is solved twice: for the class alone, and with the work of higher priority served first, as the users
want. A relaxation, so the true optimum lies below it.
"""

from __future__ import annotations

import argparse
import json
import sys
import tomllib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import ceil
from statistics import median
from typing import Any

from benchmarks.day import Day, DayJob, money, paid, read

STEP_S = 4.0
ORDER = {"critical": 0, "urgent": 1, "normal": 2, "idle": 3}


@dataclass(slots=True)
class Facts:
    """What could be rented: CPUs, price an hour and boots by (type, spot); limits by team."""

    cpus: dict[str, float]
    price: dict[tuple[str, bool], float]
    count: dict[tuple[str, bool], int]
    boot_s: dict[str, float]
    limit: dict[str, float]
    targets: list[dict[str, Any]]
    counted_from: float = 0.0
    """Times of jobs submitted earlier in the day are counted from this second."""


class FactsError(Exception):
    """The facts can't be used; says the file and what is missing."""


def facts_from(path: str) -> Facts:
    try:
        with open(path, "rb") as file:
            site = tomllib.load(file)
        types = site["machine_types"]
        count: dict[tuple[str, bool], int] = {}
        for one in site["capacity"]:
            for spot, key in ((True, "spot"), (False, "count")):
                kind = (one["type"], spot)
                count[kind] = count.get(kind, 0) + int(one.get(key, 0))
        return Facts(
            {t["name"]: float(t["cpus"]) for t in types},
            {(t["name"], spot): float(t["spot_price" if spot else "price"]) for t in types for spot in (True, False)},
            count,
            {t["name"]: float(t["boot_s"]) for t in types},
            {t["name"]: float(t["cpus_max"]) for t in site.get("teams", ()) if t.get("cpus_max")},
            list(site.get("targets", ())),
            float(site.get("warmup_s", 0.0)),
        )
    except (OSError, tomllib.TOMLDecodeError, KeyError, TypeError, ValueError) as error:
        raise FactsError(f"{path}: {type(error).__name__}: {error}") from error


def capacity_curve(day: Day, facts: Facts) -> Callable[[float], float]:
    """CPUs that can be up at a time of the day, everything rented at the first submission: boots as
    quick as those seen for the type, in the same spread, but as stated where none was seen."""
    first = min((job.submitted for job in day.jobs.values()), default=0.0)
    boots: dict[str, list[float]] = {name: [] for name in facts.cpus}
    for machine in day.machines.values():
        if machine.up is not None and machine.kind[0] in boots:
            boots[machine.kind[0]].append(machine.up - machine.rented)
    total = {name: sum(n for (t, _), n in facts.count.items() if t == name) * cpus for name, cpus in facts.cpus.items()}

    def up(at: float) -> float:
        cpus = 0.0
        for name, seen in boots.items():
            share = (
                sum(1 for boot in seen if first + boot <= at) / len(seen)
                if seen
                else float(first + facts.boot_s[name] <= at)
            )
            cpus += share * total[name]
        return cpus

    return up


def work_of(job: DayJob) -> tuple[float, float]:
    """CPU seconds of the job, and its longest task: true run times where its tasks were done."""
    runs = job.run_s
    if not runs:
        return job.tasks * job.cpus * job.estimate_s, job.estimate_s
    return job.tasks * job.cpus * sum(runs) / len(runs), runs[-1]


def in_time(jobs: Sequence[DayJob], dues: Sequence[float], free: Sequence[float], first_up: float) -> float:
    """The most of these jobs that can be done by their due times (seconds of the day), in steps of STEP_S
    with `free` CPUs in each; a whole number of jobs or a fraction above it."""
    import numpy
    from scipy.optimize import linprog
    from scipy.sparse import coo_matrix

    rows: list[int] = []
    columns: list[int] = []
    values: list[float] = []
    limits: list[float] = []
    bounds: list[tuple[float, float]] = []
    equal: tuple[list[int], list[int], list[float]] = ([], [], [])
    cost: list[float] = []
    whole = 0
    for job, due in zip(jobs, dues, strict=True):
        work, longest = work_of(job)
        begin = max(job.submitted, first_up)
        if begin + longest > due + 1e-6:
            continue
        # Its own share done, then a variable for each step that it may work in.
        share = len(bounds)
        bounds.append((0.0, 1.0))
        cost.append(-1.0)
        equal[0].append(whole)
        equal[1].append(share)
        equal[2].append(-work)
        for step in range(int(begin // STEP_S), min(len(free), ceil(due / STEP_S))):
            inside = min(due, (step + 1) * STEP_S) - max(begin, step * STEP_S)
            if inside <= 0:
                continue
            column = len(bounds)
            bounds.append((0.0, job.tasks * job.cpus * inside))
            cost.append(0.0)
            equal[0].append(whole)
            equal[1].append(column)
            equal[2].append(1.0)
            rows.append(step)
            columns.append(column)
            values.append(1.0)
        whole += 1
    if not whole:
        return 0.0
    limits = [cpus * STEP_S for cpus in free]
    upper = coo_matrix((values, (rows, columns)), shape=(len(free), len(bounds)))
    parts = coo_matrix((equal[2], (equal[0], equal[1])), shape=(whole, len(bounds)))
    found = linprog(
        numpy.array(cost), A_ub=upper, b_ub=limits, A_eq=parts, b_eq=numpy.zeros(whole), bounds=bounds, method="highs"
    )
    if found.status != 0:
        raise ArithmeticError(f"the bound was not solved: {found.message}")
    return float(-found.fun)


def served_first(jobs: Sequence[DayJob], free: Sequence[float], first_up: float) -> list[float]:
    """What is left of `free` once these jobs took what they can use, as soon as they can."""
    left = list(free)
    for job in sorted(jobs, key=lambda one: one.submitted):
        work, _ = work_of(job)
        begin = max(job.submitted, first_up)
        for step in range(int(begin // STEP_S), len(left)):
            if work <= 0:
                break
            taken = min(left[step], job.tasks * job.cpus, work / STEP_S)
            left[step] -= taken
            work -= taken * STEP_S
    return left


@dataclass(slots=True)
class Line:
    aim: str
    users: float | None
    ours: float
    alone: float
    """The bound for the class by itself."""
    ranked: float
    """The bound with higher priority served first."""


def _deadline(
    day: Day, target: dict[str, Any], free: list[float], limit: float, first_up: float, counted_from: float
) -> Line | None:
    kind, job_class = target["kind"], target.get("class")
    times = float(target.get("times", 1.0))

    def due(job: DayJob) -> float | None:
        if kind == "finished":
            return float(target["within_s"])
        return times * job.due_s if job.due_s is not None else None

    jobs = [j for j in day.jobs.values() if j.job_class == job_class and j.standing == "done" and due(j) is not None]
    if not jobs:
        return None
    dues = [max(job.submitted, counted_from) + (due(job) or 0.0) for job in jobs]
    ours = sum(1 for job, at in zip(jobs, dues, strict=True) if job.ended is not None and job.ended <= at)
    mine = [min(limit, cpus) for cpus in free]
    rank = ORDER[jobs[0].priority]
    before = [j for j in day.jobs.values() if ORDER[j.priority] < rank and j.standing == "done"]
    left = [min(limit, cpus) for cpus in served_first(before, free, first_up)]
    name = f"{job_class} within {target['within_s']:g} s" if kind == "finished" else f"{job_class} by {times:g} x due"
    return Line(
        name,
        target.get("share"),
        ours / len(jobs),
        in_time(jobs, dues, mine, first_up) / len(jobs),
        in_time(jobs, dues, left, first_up) / len(jobs),
    )


def lines_of(day: Day, facts: Facts, spent: dict[str, float]) -> list[Line]:
    """Per aim on times, useful money, price and the end of all work."""
    if not day.jobs:
        return []
    curve = capacity_curve(day, facts)
    steps = ceil(day.ends / STEP_S)
    free = [curve((step + 0.5) * STEP_S) for step in range(steps)]
    first_up = next((step * STEP_S for step, cpus in enumerate(free) if cpus > 0), day.ends)
    done = [job for job in day.jobs.values() if job.standing == "done"]
    teams = {job.job_class: job.team for job in done}
    lines = []
    for target in facts.targets:
        if target["kind"] in ("deadline", "finished") and target.get("class") in teams:
            limit = facts.limit.get(teams[target["class"]], float("inf"))
            line = _deadline(day, target, free, limit, first_up, facts.counted_from)
            if line is not None:
                lines.append(line)
    end = max((job.ended or 0.0 for job in done), default=0.0)
    lines += _money_lines(day, facts, spent, done, end - first_up)
    # All work done: no sooner than its longest chain, nor than all capacity can.
    chain = max((max(j.submitted, first_up) + work_of(j)[1] for j in done), default=0.0)
    rest = served_first(done, free, first_up)
    used = [step for step in range(steps) if rest[step] < free[step] - 1e-9]
    fluid = (used[-1] + 1) * STEP_S if used else 0.0
    lines.append(Line("all work done (s)", None, end, max(chain, fluid), max(chain, fluid)))
    return lines


def _money_lines(day: Day, facts: Facts, spent: dict[str, float], done: Sequence[DayJob], lasted: float) -> list[Line]:
    all_paid = paid(spent)
    if all_paid <= 0:
        return []
    # The least that must be paid beside the work: one boot of the fewest CPUs that can do all of
    # it between the first that is up and the last end seen.
    work = sum(work_of(job)[0] for job in done)
    cheapest = min(facts.price[kind] / facts.cpus[kind[0]] for kind in facts.price if facts.count.get(kind))
    boots = [m.up - m.rented for m in day.machines.values() if m.up is not None]
    boot = median(boots) if boots else 0.0
    least = work + boot * work / max(1.0, lasted)
    useful = spent.get("useful", 0.0) / all_paid
    price = all_paid * 3600.0 / (work * cheapest) if work else 0.0
    return [
        Line("useful money (saved work not counted)", None, useful, work / least, work / least),
        Line("price", None, price, least / work if work else 0.0, least / work if work else 0.0),
    ]


def parser() -> argparse.ArgumentParser:
    options = argparse.ArgumentParser(
        prog="python3 -m benchmarks.bounds", description="A day against the best possible."
    )
    options.add_argument("log", metavar="LOG", help="the nodes' logs of the day, level debug, each line with its time")
    options.add_argument("facts", metavar="FACTS", help="TOML with machine_types, capacity, teams and targets")
    options.add_argument("--json", action="store_true", help="a list of objects instead of a table")
    return options


def main(arguments: list[str]) -> int:
    options = parser().parse_args(arguments)
    try:
        facts = facts_from(options.facts)
        with open(options.log, encoding="utf-8", errors="replace") as file:
            day = read(file)
    except (FactsError, OSError) as error:
        print(f"benchmarks.bounds: {error}", file=sys.stderr)
        return 2
    if not day.jobs:
        print(
            f"benchmarks.bounds: {options.log}: no job was accepted there; is it a log at level debug?", file=sys.stderr
        )
        return 2
    spent = money(day, facts.price, facts.cpus)
    lines = lines_of(day, facts, spent)
    if options.json:
        print(json.dumps([{f: getattr(line, f) for f in Line.__slots__} for line in lines]))
        return 0
    print("| aim | users' | ours | bound, alone | bound, by priority |\n| --- | --- | --- | --- | --- |")
    for line in lines:
        users = "" if line.users is None else f"{line.users:g}"
        print(f"| {line.aim} | {users} | {line.ours:.3f} | {line.alone:.3f} | {line.ranked:.3f} |")
    print("\n| where the money went | share |\n| --- | --- |")
    for key, value in sorted(spent.items(), key=lambda item: -item[1]):
        print(f"| {key} | {value / paid(spent):.1%} |")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
