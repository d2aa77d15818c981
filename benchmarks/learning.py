"""Measures what learned run times cost a leader: processor time per completed task, bytes per class, import time.

`python3 -m benchmarks.learning [--machines 300] [--seconds 30] [--json]` runs the same load on simulated services with
estimates off (0), learned (1) and used (2). Processor time is measured on a core of this machine and includes that of
the simulated services, which is the same in all three.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import time
from random import Random
from typing import Any

import msgspec
from msgspec import Struct, structs

from benchmarks.meter import resident_mb


class Cost(Struct):
    """The figures of one value of the setting `learned-estimates`; the field names are the keys of the JSON output."""

    learned_estimates: int
    tasks_done: int
    cpu_ms_per_task: float
    memory_mb: float
    classes: int
    bytes_per_class: float
    changes_stored: int


def measure(setting: int, machines: int, seconds: int) -> Cost:
    """Runs a load for `seconds`: machines full of arrays, new jobs, forecasts; tasks end at random after 5 to 40 s."""
    from meadowcross.common.settings import OperatorSettings
    from meadowcross.estimates import messages
    from tests.support.world import World, job

    random = Random(1)
    world = World()
    world.operator = OperatorSettings(learned_estimates=float(setting))
    world.cloud.at_once = 50
    facts = structs.replace(
        world.settings.facts, state=structs.replace(world.settings.facts.state, rps=1e5, write_rps=1e5)
    )
    world.settings = structs.replace(world.settings, facts=facts)
    term = world.lead()
    memory_before_mb = resident_mb()
    number = 0

    def submit(count: int) -> None:
        nonlocal number
        for _ in range(count):
            number += 1
            priority = random.choice(["critical", "normal", "normal", "idle"])
            spec = job(
                id=f"wk-{number:06d}",
                herd=f"class {number % 12}",
                heads=random.choice([1, 8, 60]),
                rank=priority,
                builds=["large"],
                grazeS=random.uniform(5, 60),
                sundownS=300.0,
            )
            world.state.transact(
                {
                    "if": [],
                    "writes": [
                        {"write": "j/" + spec["id"], "data": {"spec": spec, "t": world.clock.seconds(), "k": 256}}
                    ],
                }
            )

    def end_some_tasks() -> int:
        ended_count = 0
        for worker in world.workers.values():
            for key, task in list(worker.tasks.items()):
                if task["standing"] == "running" and random.random() < 0.05:
                    worker.end(key)
                    ended_count += 1
        return ended_count

    submit(machines)
    while len(world.workers) < machines and world.clock.seconds() < 1060:
        world.pass_time(1.0)
    done_count = 0
    began_s = time.process_time()
    for _ in range(seconds):
        submit(6)
        done_count += end_some_tasks()
        world.pass_time(1.0)
        for name in random.sample(sorted(term.job_table.jobs), min(40, len(term.job_table.jobs))):
            term.forecast(name)
    cpu_s = time.process_time() - began_s
    classes = {key: entry for key, entry in world.state.keys.items() if key.startswith(messages.PREFIX + "c/")}
    total_bytes = sum(len(msgspec.json.encode(item["data"])) for item in classes.values())
    change_count = sum(event.get("write", "").startswith(messages.PREFIX) for event in world.state.log)
    return Cost(
        setting,
        done_count,
        round(1000 * cpu_s / max(1, done_count), 3),
        round(resident_mb() - memory_before_mb, 1),
        len(classes),
        round(total_bytes / max(1, len(classes))),
        change_count,
    )


def import_ms() -> float:
    """Processor time in ms to import the sketch library after modules that a controller imports anyway.

    The lowest of five measurements, each in a new interpreter.
    """

    def measure_once(statement: str) -> float:
        code = f"import time,msgspec,statistics,hashlib;b=time.process_time();{statement};print(time.process_time()-b)"
        return float(subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout)

    return round(1000 * min(measure_once("import ddsketch.mapping, ddsketch.store") for _ in range(5)), 1)


def main(arguments: list[str]) -> int:
    """Measures each setting in a process of its own and prints the figures; returns 0."""
    parser = argparse.ArgumentParser(prog="benchmarks.learning", description=__doc__.split("\n")[0])
    parser.add_argument("--machines", type=int, default=300)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--one", type=int, choices=(0, 1, 2), help=argparse.SUPPRESS)
    options = parser.parse_args(arguments)
    if options.one is not None:
        print(msgspec.json.encode(measure(options.one, options.machines, options.seconds)).decode())
        return 0
    costs: list[dict[str, Any]] = []
    for setting in (0, 1, 2):
        # One process for each setting, as memory is measured for the whole process.
        size_options = ["--machines", str(options.machines), "--seconds", str(options.seconds)]
        command = [sys.executable, "-m", "benchmarks.learning", "--one", str(setting), *size_options]
        costs.append(msgspec.json.decode(subprocess.run(command, capture_output=True, check=True).stdout))
    if options.json:
        print(msgspec.json.encode({"import_ms": import_ms(), "costs": costs}).decode())
        return 0
    print(f"the sketch library's import: {import_ms()} ms")
    print("setting  tasks done  ms of processor a task  memory MB  classes  bytes a class  changes stored")
    for cost in costs:
        print(
            f"{cost['learned_estimates']:7} {cost['tasks_done']:11} {cost['cpu_ms_per_task']:23.3f}"
            f" {cost['memory_mb']:10.1f} {cost['classes']:8} {cost['bytes_per_class']:14.0f}"
            f" {cost['changes_stored']:15}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
