"""Compares the results of a day with the best that any scheduler could have reached.

`python3 -m benchmarks.bounds LOG FACTS [--json]` reads a day's log (see `benchmarks.day`) and a TOML file of facts
(`machine_types`, `capacity`, `teams`, `targets`, `warmup_s`). For each target it prints the result and a bound that no
scheduler can pass. The bound assumes that all jobs and their true run times are known beforehand, that there are no
failures, image fetches or lost work, and that all machines are created at the first submission and boot as quickly as
observed.

The share of jobs in time is bounded by a linear program (HiGHS, through scipy): how much of each job's work fits
between its submission and its due time, within the capacity that is ready and its team's limit, if jobs can be divided
into pieces of any size. It is solved twice: for the job class alone, and for the capacity that remains once all work of
higher priority is served. The program is a relaxation, so the true optimum is not above the bound.
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

from benchmarks.day import Day, DayJob, attribute_costs, read_day, total_cost

STEP_S = 4.0
"""Length of a time step of the linear program."""
PRIORITY_RANK = {"critical": 0, "urgent": 1, "normal": 2, "idle": 3}


@dataclass(slots=True)
class Facts:
    """What the cloud offers, by machine type or by (type, spot); CPU limits by team; targets as in the file."""

    cpus: dict[str, float]
    price_per_hour: dict[tuple[str, bool], float]
    machine_counts: dict[tuple[str, bool], int]
    boot_s: dict[str, float]
    cpu_limits: dict[str, float]
    targets: list[dict[str, Any]]
    counted_from_s: float = 0.0
    """The times of jobs that were submitted before this second of the day are measured from it."""


class FactsError(Exception):
    """The file of facts can't be used; the message names the file and the error."""


def read_facts(path: str) -> Facts:
    """Reads a file of facts. Raises FactsError if it can't be read or lacks a key."""
    try:
        with open(path, "rb") as file:
            content = tomllib.load(file)
        types = content["machine_types"]
        machine_counts: dict[tuple[str, bool], int] = {}
        for capacity in content["capacity"]:
            for spot, key in ((True, "spot"), (False, "count")):
                kind = (capacity["type"], spot)
                machine_counts[kind] = machine_counts.get(kind, 0) + int(capacity.get(key, 0))
        return Facts(
            {machine_type["name"]: float(machine_type["cpus"]) for machine_type in types},
            {
                (machine_type["name"], spot): float(machine_type["spot_price" if spot else "price"])
                for machine_type in types
                for spot in (True, False)
            },
            machine_counts,
            {machine_type["name"]: float(machine_type["boot_s"]) for machine_type in types},
            {team["name"]: float(team["cpus_max"]) for team in content.get("teams", ()) if team.get("cpus_max")},
            list(content.get("targets", ())),
            float(content.get("warmup_s", 0.0)),
        )
    except (OSError, tomllib.TOMLDecodeError, KeyError, TypeError, ValueError) as error:
        raise FactsError(f"{path}: {type(error).__name__}: {error}") from error


def capacity_curve(day: Day, facts: Facts) -> Callable[[float], float]:
    """The number of CPUs that can be ready at a time of the day, if all machines are created at the first submission.

    Boot times have the distribution that the day's log shows for the type; the stated boot time where it shows none.
    """
    first_submitted_at = min((job.submitted_at for job in day.jobs.values()), default=0.0)
    boot_times_s: dict[str, list[float]] = {name: [] for name in facts.cpus}
    for machine in day.machines.values():
        if machine.ready_at is not None and machine.kind[0] in boot_times_s:
            boot_times_s[machine.kind[0]].append(machine.ready_at - machine.created_at)
    total_cpus = {
        name: sum(count for (type_name, _), count in facts.machine_counts.items() if type_name == name) * cpus
        for name, cpus in facts.cpus.items()
    }

    def ready_cpus(at: float) -> float:
        cpus = 0.0
        for name, observed_s in boot_times_s.items():
            share = (
                sum(1 for boot_s in observed_s if first_submitted_at + boot_s <= at) / len(observed_s)
                if observed_s
                else float(first_submitted_at + facts.boot_s[name] <= at)
            )
            cpus += share * total_cpus[name]
        return cpus

    return ready_cpus


def job_work(job: DayJob) -> tuple[float, float]:
    """The CPU seconds of the job and the run time of its longest task: actual run times if a task was done."""
    run_times_s = job.completed_run_times_s
    if not run_times_s:
        return job.tasks * job.cpus * job.estimate_s, job.estimate_s
    return job.tasks * job.cpus * sum(run_times_s) / len(run_times_s), run_times_s[-1]


def bound_jobs_in_time(
    jobs: Sequence[DayJob], due_at: Sequence[float], free: Sequence[float], first_ready_at: float
) -> float:
    """An upper bound for the number of these jobs that can be done by their due times; may be a fraction.

    `due_at`: seconds of the day; `free`: CPUs in each step of STEP_S. Raises ArithmeticError if the solver fails.
    """
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
    feasible_count = 0
    for job, due in zip(jobs, due_at, strict=True):
        work, longest_s = job_work(job)
        begin_at = max(job.submitted_at, first_ready_at)
        if begin_at + longest_s > due + 1e-6:
            continue
        # One variable for the share of the job that is done, then one for the work in each step before its due time.
        share = len(bounds)
        bounds.append((0.0, 1.0))
        cost.append(-1.0)
        equal[0].append(feasible_count)
        equal[1].append(share)
        equal[2].append(-work)
        for step in range(int(begin_at // STEP_S), min(len(free), ceil(due / STEP_S))):
            usable_s = min(due, (step + 1) * STEP_S) - max(begin_at, step * STEP_S)
            if usable_s <= 0:
                continue
            column = len(bounds)
            bounds.append((0.0, job.tasks * job.cpus * usable_s))
            cost.append(0.0)
            equal[0].append(feasible_count)
            equal[1].append(column)
            equal[2].append(1.0)
            rows.append(step)
            columns.append(column)
            values.append(1.0)
        feasible_count += 1
    if not feasible_count:
        return 0.0
    limits = [cpus * STEP_S for cpus in free]
    upper = coo_matrix((values, (rows, columns)), shape=(len(free), len(bounds)))
    equalities = coo_matrix((equal[2], (equal[0], equal[1])), shape=(feasible_count, len(bounds)))
    solution = linprog(
        numpy.array(cost),
        A_ub=upper,
        b_ub=limits,
        A_eq=equalities,
        b_eq=numpy.zeros(feasible_count),
        bounds=bounds,
        method="highs",
    )
    if solution.status != 0:
        raise ArithmeticError(f"the linear program was not solved: {solution.message}")
    return float(-solution.fun)


def remaining_capacity(jobs: Sequence[DayJob], free: Sequence[float], first_ready_at: float) -> list[float]:
    """The CPUs of `free` that remain in each step once these jobs have run.

    Jobs run in order of submission and as early as they can, but not before `first_ready_at`, in seconds of the day.
    """
    remaining = list(free)
    for job in sorted(jobs, key=lambda candidate: candidate.submitted_at):
        work, _ = job_work(job)
        begin_at = max(job.submitted_at, first_ready_at)
        for step in range(int(begin_at // STEP_S), len(remaining)):
            if work <= 0:
                break
            used = min(remaining[step], job.tasks * job.cpus, work / STEP_S)
            remaining[step] -= used
            work -= used * STEP_S
    return remaining


@dataclass(slots=True)
class Comparison:
    """One row of the output; the field names are the keys of the JSON output."""

    aim: str
    """Name of the target."""
    users: float | None
    """The value that the users want."""
    ours: float
    """The value that the day reached."""
    alone: float
    """The bound for the job class by itself."""
    ranked: float
    """The bound once all work of higher priority is served."""


def _compare_deadline(
    day: Day, target: dict[str, Any], free: list[float], limit: float, first_ready_at: float, counted_from_s: float
) -> Comparison | None:
    """The share of a class's done jobs that met the target; None if no job has such a target."""
    kind, job_class = target["kind"], target.get("class")
    times = float(target.get("times", 1.0))

    def due_after_s(job: DayJob) -> float | None:
        if kind == "finished":
            return float(target["within_s"])
        return times * job.due_s if job.due_s is not None else None

    jobs = [
        day_job
        for day_job in day.jobs.values()
        if day_job.job_class == job_class and day_job.state == "done" and due_after_s(day_job) is not None
    ]
    if not jobs:
        return None
    due_at = [max(job.submitted_at, counted_from_s) + (due_after_s(job) or 0.0) for job in jobs]
    in_time = sum(1 for job, due in zip(jobs, due_at, strict=True) if job.ended_at is not None and job.ended_at <= due)
    usable = [min(limit, cpus) for cpus in free]
    rank = PRIORITY_RANK[jobs[0].priority]
    higher = [
        day_job for day_job in day.jobs.values() if PRIORITY_RANK[day_job.priority] < rank and day_job.state == "done"
    ]
    remaining = [min(limit, cpus) for cpus in remaining_capacity(higher, free, first_ready_at)]
    name = f"{job_class} within {target['within_s']:g} s" if kind == "finished" else f"{job_class} by {times:g} x due"
    return Comparison(
        name,
        target.get("share"),
        in_time / len(jobs),
        bound_jobs_in_time(jobs, due_at, usable, first_ready_at) / len(jobs),
        bound_jobs_in_time(jobs, due_at, remaining, first_ready_at) / len(jobs),
    )


def compare_day(day: Day, facts: Facts, costs: dict[str, float]) -> list[Comparison]:
    """A row for each target on times, then for useful money, price and the end of all work; empty without jobs."""
    if not day.jobs:
        return []
    curve = capacity_curve(day, facts)
    step_count = ceil(day.ends_at / STEP_S)
    free = [curve((step + 0.5) * STEP_S) for step in range(step_count)]
    first_ready_at = next((step * STEP_S for step, cpus in enumerate(free) if cpus > 0), day.ends_at)
    done_jobs = [job for job in day.jobs.values() if job.state == "done"]
    teams = {job.job_class: job.team for job in done_jobs}
    rows = []
    for target in facts.targets:
        if target["kind"] in ("deadline", "finished") and target.get("class") in teams:
            limit = facts.cpu_limits.get(teams[target["class"]], float("inf"))
            row = _compare_deadline(day, target, free, limit, first_ready_at, facts.counted_from_s)
            if row is not None:
                rows.append(row)
    end_at = max((job.ended_at or 0.0 for job in done_jobs), default=0.0)
    rows += _compare_costs(day, facts, costs, done_jobs, end_at - first_ready_at)
    # All work ends no earlier than each job's longest task can end, and no earlier than the capacity can complete it.
    longest_end_at = max(
        (max(done_job.submitted_at, first_ready_at) + job_work(done_job)[1] for done_job in done_jobs), default=0.0
    )
    remaining = remaining_capacity(done_jobs, free, first_ready_at)
    used_steps = [step for step in range(step_count) if remaining[step] < free[step] - 1e-9]
    capacity_end_at = (used_steps[-1] + 1) * STEP_S if used_steps else 0.0
    rows.append(
        Comparison(
            "all work done (s)",
            None,
            end_at,
            max(longest_end_at, capacity_end_at),
            max(longest_end_at, capacity_end_at),
        )
    )
    return rows


def _compare_costs(
    day: Day, facts: Facts, costs: dict[str, float], done_jobs: Sequence[DayJob], duration_s: float
) -> list[Comparison]:
    """Rows for useful money and price; empty if nothing was paid. `duration_s`: from the first ready CPU to the end."""
    paid = total_cost(costs)
    if paid <= 0:
        return []
    # Beside the work, at least one boot must be paid of the fewest CPUs that can complete all work between the first
    # ready CPU and the end of the last job.
    work = sum(job_work(job)[0] for job in done_jobs)
    cheapest = min(
        facts.price_per_hour[kind] / facts.cpus[kind[0]]
        for kind in facts.price_per_hour
        if facts.machine_counts.get(kind)
    )
    boot_times_s = [
        machine.ready_at - machine.created_at for machine in day.machines.values() if machine.ready_at is not None
    ]
    boot_s = median(boot_times_s) if boot_times_s else 0.0
    least = work + boot_s * work / max(1.0, duration_s)
    useful = costs.get("useful", 0.0) / paid
    price = paid * 3600.0 / (work * cheapest) if work else 0.0
    return [
        Comparison("useful money (saved work not counted)", None, useful, work / least, work / least),
        Comparison("price", None, price, least / work if work else 0.0, least / work if work else 0.0),
    ]


def build_parser() -> argparse.ArgumentParser:
    """The parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python3 -m benchmarks.bounds", description="A day against the best possible."
    )
    parser.add_argument("log", metavar="LOG", help="the nodes' logs of the day, level debug, each line with its time")
    parser.add_argument("facts", metavar="FACTS", help="TOML with machine_types, capacity, teams and targets")
    parser.add_argument("--json", action="store_true", help="a list of objects instead of a table")
    return parser


def main(arguments: list[str]) -> int:
    """Prints the comparison; returns 0, or 2 if an input can't be used."""
    options = build_parser().parse_args(arguments)
    try:
        facts = read_facts(options.facts)
        with open(options.log, encoding="utf-8", errors="replace") as file:
            day = read_day(file)
    except (FactsError, OSError) as error:
        print(f"benchmarks.bounds: {error}", file=sys.stderr)
        return 2
    if not day.jobs:
        print(
            f"benchmarks.bounds: {options.log}: no job was accepted there; is it a log at level debug?", file=sys.stderr
        )
        return 2
    costs = attribute_costs(day, facts.price_per_hour, facts.cpus)
    rows = compare_day(day, facts, costs)
    if options.json:
        print(json.dumps([{name: getattr(row, name) for name in Comparison.__slots__} for row in rows]))
        return 0
    print("| aim | users' | ours | bound, alone | bound, by priority |\n| --- | --- | --- | --- | --- |")
    for row in rows:
        users = "" if row.users is None else f"{row.users:g}"
        print(f"| {row.aim} | {users} | {row.ours:.3f} | {row.alone:.3f} | {row.ranked:.3f} |")
    print("\n| where the money went | share |\n| --- | --- |")
    for key, value in sorted(costs.items(), key=lambda item: -item[1]):
        print(f"| {key} | {value / total_cost(costs):.1%} |")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
