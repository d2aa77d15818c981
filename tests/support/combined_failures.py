"""Simulates a cluster of some 170 machines with many kinds of failures at once, drawn by seed from two lists.

`python -m tests.support.combined_failures FIRST LAST [always]` simulates each seed from FIRST to LAST and prints a line
for each; exit status 1 if a rule was broken. `always` uses relays in every simulation.
"""

from __future__ import annotations

import logging
import os
import random
import sys

import msgspec

from simulation.scenario import Fault, Jobs, Team, Type, load
from simulation.world import Lab
from tests.simulation.test_isolation_and_starvation import COMBINED_FAULTS, WHERE

DURATION_S = 200.0
"""Simulated seconds: long tasks can still complete after a store outage of 45 s, in which all leases expire."""
JOBS = [
    {"class": "long", "tasks": 60, "run_s": 50.0, "count": 8},
    {"class": "flow", "tasks": 4, "run_s": 8.0, "count": 80, "at_s": 2.0},
    {"class": "pair", "tasks": 2, "run_s": 5.0, "apart_s": 30.0, "count": 20, "at_s": 4.0, "every_s": 2.0},
    {"class": "train", "kind": "gang", "tasks": 6, "checkpoint_s": 5.0, "save_s": 1.0, "count": 4, "every_s": 8.0},
    {"class": "web", "kind": "service", "tasks": 4, "spread": True, "spot": False, "at_s": 8.0, "count": 2},
    {"class": "idle", "tasks": 6, "run_s": 200.0, "count": 40, "at_s": 2.0, "cancel_after_s": 25.0},
]


def draw_faults(seed: int) -> list[dict]:
    """Five of COMBINED_FAULTS, eight of the list here, some within five seconds after another, and command copies."""
    rng = random.Random(seed)
    refused_at_s, frozen_at_s = rng.uniform(25.0, 70.0), rng.uniform(20.0, 75.0)
    back_s = rng.choice([0.1, 0.6, 6.0])
    other_faults = [
        {"kind": "late_writes", "at_s": rng.uniform(10.0, 60.0), "for_s": 25.0, "share": 0.3},
        {"kind": "late_commands", "at_s": rng.uniform(10.0, 60.0), "for_s": 25.0, "share": 0.2, "factor": 10.0},
        {"kind": "store_refuses", "at_s": refused_at_s, "node": "leader", "for_s": 12.0},
        {"kind": "store_outage", "at_s": refused_at_s + rng.uniform(0.5, 5.0), "for_s": rng.choice([5.0, 20.0, 45.0])},
        {"kind": "node_freeze", "at_s": frozen_at_s, "node": "leader", "for_s": 12.0},
        {
            "kind": "node_kill",
            "at_s": frozen_at_s + rng.uniform(0.5, 5.0),
            "node": rng.choice(["leader", "all"]),
            "back_s": back_s,
        },
        {"kind": "cloud_outage", "at_s": rng.uniform(25.0, 70.0), "for_s": 25.0},
        {"kind": "machine_cut", "at_s": rng.uniform(25.0, 70.0), "count": 25, "for_s": 24.0},
        {"kind": "machine_mute", "at_s": rng.uniform(15.0, 60.0), "count": 25, "for_s": 30.0},
        {
            "kind": "cancel_now",
            "at_s": frozen_at_s - rng.uniform(0.0, 1.0),
            "count": 12,
            "hang_s": rng.choice([8.0, 45.0]),
        },
        {"kind": "cancel_at_end", "at_s": 10.0, "for_s": 60.0, "share": 0.2},
        {"kind": "close_looks", "at_s": 10.0, "for_s": 70.0},
        {"kind": "odd_requests", "at_s": 10.0, "for_s": 70.0},
        {"kind": "late_writes", "at_s": rng.uniform(10.0, 60.0), "for_s": 25.0, "share": 0.3, "at_once": True},
        {"kind": "report_copies", "at_s": 10.0, "for_s": 70.0, "factor": 1.0, "for_next": True},
    ]
    # Drawn apart from the others, so that each seed keeps the faults that it had without copies.
    copies_rng = random.Random(f"command copies {seed}")
    command_copies = {
        "kind": "command_copies",
        "at_s": copies_rng.uniform(5.0, 40.0),
        "for_s": 60.0,
        "share": 0.5,
        "factor": copies_rng.choice([1.0, 8.0, 25.0]),
        "count": 2,
    }
    # COMBINED_FAULTS has its counts for a cluster of fewer machines; here they are six times as high.
    scaled_kinds = {"machine_deaf", "machine_back"}
    return [
        fault | {"count": fault["count"] * 6} if fault["kind"] in scaled_kinds else fault
        for fault in (*rng.sample(COMBINED_FAULTS, 5), *rng.sample(other_faults, 8), command_copies)
    ]


def mixed(seed: int, relays: str = "auto") -> tuple[dict, int]:
    """The result of one simulation, and the highest number of machines in it."""
    scenario = load(str(WHERE / "quiet.toml"))
    scenario.operator = {"relays": relays}
    scenario.duration_s = DURATION_S
    small = {"name": "small", "cpus": 4.0, "memory_gb": 16.0, "zones": ["east", "west"], "most": 80}
    scenario.types = [msgspec.convert(small, Type)]
    scenario.teams = [Team("b")]
    scenario.jobs = [msgspec.convert({"team": "b"} | jobs, Jobs) for jobs in JOBS]
    scenario.faults = [msgspec.convert(fault, Fault) for fault in draw_faults(seed)]
    lab = Lab(scenario, seed)
    machine_counts = [0]
    for at_s in range(20, int(DURATION_S), 10):
        lab.simulation.at(float(at_s), lambda: machine_counts.append(len(lab.machines)))
    return lab.play(), max(machine_counts)


def main(first: int, last: int, relays: str = "auto") -> int:
    """Simulates the seeds from `first` to `last`; returns 1 if a rule was broken in any of them, else 0."""
    logging.disable()
    failed_count = 0
    for seed in range(first, last + 1):
        result, machines = mixed(seed, relays)
        failed_count += bool(result["broken"])
        served = min([*result["served"].values(), *(share for pair in result["largest"].values() for share in pair)])
        cancels = result["cancels"]
        print(seed, f"{machines} machines, least served {served:.2f}, {cancels}", result["broken"], flush=True)
    return 1 if failed_count else 0


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED", "random") == "random":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "tests.support.combined_failures", *sys.argv[1:]])
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:4]))
