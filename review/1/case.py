"""One job is submitted with a mistaken amount; the jobs of all other users must still run."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

from review.lib.cluster import BROKEN, HELD, IS_TROUBLED, Cluster, job, require, run_case, until
from review.lib.standins import Uploaded, Worker

CAPACITY = {
    ("till", "taff", False): 5,
    ("till", "taff", True): 40,
    ("grandstand", "menai", True): 1,
    ("grandstand", "taff", False): 1,
    ("grandstand", "taff", True): 1,
}
"""The `capacity` tables of tocyn-resale-cardiff."""
MISTAKEN_CPUS = 6.9e-310
"""What a double holds that was never set and overlays the bits of a pointer; above zero, so it is a valid amount."""
LONGEST_WAIT_S = 90.0
"""No job is left waiting for 90 s while a machine that fits has room (LATER.md of the hunt)."""
OTHERS = (3, 4, 5)


def has_room(cluster: Cluster, worker: Worker) -> bool:
    """Return whether the machine reports, and a task of the waiting jobs fits on it."""
    is_reporting = time.monotonic() - worker.last_answer_at < 2 * cluster.platform.report_s
    return is_reporting and not worker.gone and worker.free_cpus() >= job(0)["cpus"]


async def submit_with_mistake(cluster: Cluster) -> bool:
    """Submit the job with the mistaken amount, written as a decimal number; without the disruption it has 4 CPUs."""
    cpus = MISTAKEN_CPUS if IS_TROUBLED else 4.0
    spec = job(2, cpus=cpus)
    cluster.platform.jobs[spec["id"]] = Uploaded(spec, 3.0)
    body = json.dumps(spec | {"cpus": "CPUS"}).replace('"CPUS"', f"{cpus:.330f}".rstrip("0") + "0")
    cluster.record("submitting", body=body)
    return await cluster.submit_body(body.encode())


async def scenario(cluster: Cluster) -> int:
    """Run one job, submit the mistaken one, then jobs of both teams; all but the mistaken one must start."""
    await cluster.start(CAPACITY)
    require(await cluster.submit(job(1), run_s=3.0), "the first job was not accepted")

    async def first_is_done() -> bool:
        return await cluster.standing("wk-000001") == "done"

    require(await until(first_is_done, 20.0, 0.5), "the first job was not done before the disruption")
    is_accepted = await submit_with_mistake(cluster)
    # A refusal is no fault: the rule is about what is accepted.
    cluster.record("mistaken_job", accepted=is_accepted)
    for number in OTHERS:
        team = "listings" if number % 2 else "integrity"
        is_accepted = await cluster.submit(job(number, steward=team), run_s=3.0)
        require(is_accepted, "another job was not accepted")
    room_since: dict[str, float] = {}
    while True:
        await asyncio.sleep(1.0)
        now = time.monotonic()
        waiting = [n for n in OTHERS if f"wk-{n:06d}/0" not in cluster.platform.on_now]
        if not waiting:
            cluster.record("held")
            return HELD
        with_room = [worker.name for worker in cluster.platform.workers.values() if has_room(cluster, worker)]
        room_since = {name: room_since.get(name, now) for name in with_room}
        longest_s = max((now - since for since in room_since.values()), default=0.0)
        cluster.record("waiting", jobs=waiting, room_for_s=round(longest_s, 1))
        if longest_s >= LONGEST_WAIT_S:
            for number in OTHERS:
                await cluster.standing(f"wk-{number:06d}")
            cluster.record("broken", never_started=waiting, machines_with_room=with_room)
            return BROKEN


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, scenario))
