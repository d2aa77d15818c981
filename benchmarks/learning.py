"""What learning run times costs a leader: processor time a finished task, bytes a class, imports.

`python3 -m benchmarks.learning [--machines 300] [--seconds 30] [--json]` plays the same busy half minute
over the project's stand-ins with estimates off (0), learned (1) and used (2). Processor time of
this machine's core; the stand-ins' share is in all three alike.
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

from benchmarks.cost import resident_mb


class Cost(Struct):
    """One setting of `learned-estimates`."""

    learned_estimates: int
    tasks_done: int
    cpu_ms_per_task: float
    memory_mb: float
    classes: int
    bytes_per_class: float
    changes_stored: int


def play(setting: int, machines: int, seconds: int) -> Cost:
    """Machines full of arrays whose tasks end after 5 to 40 s, jobs coming, users asking."""
    from meadowcross.common.settings import OperatorSettings
    from meadowcross.estimates import messages as em
    from tests.support.world import World, job

    chance = Random(1)
    world = World()
    world.operator = OperatorSettings(learned_estimates=float(setting))
    world.cloud.at_once = 50
    facts = structs.replace(
        world.settings.facts, state=structs.replace(world.settings.facts.state, rps=1e5, write_rps=1e5)
    )
    world.settings = structs.replace(world.settings, facts=facts)
    term = world.lead()
    before = resident_mb()
    number = 0

    def submit(count: int) -> None:
        nonlocal number
        for _ in range(count):
            number += 1
            rank = chance.choice(["critical", "normal", "normal", "idle"])
            spec = job(
                id=f"wk-{number:06d}",
                herd=f"class {number % 12}",
                heads=chance.choice([1, 8, 60]),
                rank=rank,
                builds=["large"],
                grazeS=chance.uniform(5, 60),
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

    def end_some() -> int:
        ended = 0
        for worker in world.workers.values():
            for key, task in list(worker.tasks.items()):
                if task["standing"] == "running" and chance.random() < 0.05:
                    worker.end(key)
                    ended += 1
        return ended

    submit(machines)
    while len(world.workers) < machines and world.clock.seconds() < 1060:
        world.pass_time(1.0)
    done = 0
    began = time.process_time()
    for _ in range(seconds):
        submit(6)
        done += end_some()
        world.pass_time(1.0)
        for name in chance.sample(sorted(term.job_table.jobs), min(40, len(term.job_table.jobs))):
            term.forecast(name)
    took = time.process_time() - began
    stored = {k: v for k, v in world.state.keys.items() if k.startswith(em.PREFIX + "c/")}
    size = sum(len(msgspec.json.encode(item["data"])) for item in stored.values())
    writes = sum(e.get("write", "").startswith(em.PREFIX) for e in world.state.log)
    return Cost(
        setting,
        done,
        round(1000 * took / max(1, done), 3),
        round(resident_mb() - before, 1),
        len(stored),
        round(size / max(1, len(stored))),
        writes,
    )


def import_ms() -> float:
    """The least of five fresh interpreters' times for the sketch, over what a node loads anyway."""

    def once(extra: str) -> float:
        code = f"import time,msgspec,statistics,hashlib;b=time.process_time();{extra};print(time.process_time()-b)"
        return float(subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout)

    return round(1000 * min(once("import ddsketch.mapping, ddsketch.store") for _ in range(5)), 1)


def main(arguments: list[str]) -> int:
    options = argparse.ArgumentParser(prog="benchmarks.learning", description=__doc__.split("\n")[0])
    options.add_argument("--machines", type=int, default=300)
    options.add_argument("--seconds", type=int, default=30)
    options.add_argument("--json", action="store_true")
    options.add_argument("--one", type=int, choices=(0, 1, 2), help=argparse.SUPPRESS)
    given = options.parse_args(arguments)
    if given.one is not None:
        print(msgspec.json.encode(play(given.one, given.machines, given.seconds)).decode())
        return 0
    costs: list[dict[str, Any]] = []
    for setting in (0, 1, 2):
        # A process each: memory is read off the whole process.
        size = ["--machines", str(given.machines), "--seconds", str(given.seconds)]
        command = [sys.executable, "-m", "benchmarks.learning", "--one", str(setting), *size]
        costs.append(msgspec.json.decode(subprocess.run(command, capture_output=True, check=True).stdout))
    if given.json:
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
