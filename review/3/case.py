"""A machine fails the tasks that it starts for a few seconds; the work that only it can run must run afterwards."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from review.lib.cluster import BROKEN, HELD, IS_TROUBLED, Cluster, job, require, run_case, until

LONGEST_WAIT_S = 90.0
"""No job is left waiting for 90 s while a machine that fits has room (LATER.md of the hunt)."""
SICK_S = 4.0
CAPACITY = {
    ("till", "taff", False): 5,
    ("till", "taff", True): 40,
    ("grandstand", "menai", True): 1,
    ("grandstand", "taff", False): 1,
    ("grandstand", "taff", True): 1,
}
"""The `capacity` tables of tocyn-resale-cardiff: zone menai has one grandstand."""


async def scenario(cluster: Cluster) -> int:
    """Run a job on the only grandstand of menai, make the machine sick for one task, and submit another job."""
    await cluster.start(CAPACITY)
    bound = {"builds": ["grandstand"], "field": "menai"}
    accepted = await cluster.submit(job(1, **bound), run_s=2.0)

    async def first_is_done() -> bool:
        return await cluster.standing("wk-000001") == "done"

    is_done = accepted and await until(first_is_done, 30.0, 0.5)
    require(is_done, "the first job was not done before the disruption")
    machine = next(iter(cluster.platform.workers.values()))
    machine.sick = IS_TROUBLED
    cluster.record("sick", machine=machine.name, on=machine.sick)
    require(await cluster.submit(job(2, **bound), run_s=4.0), "the second job was not accepted")
    await asyncio.sleep(SICK_S)
    machine.sick = False
    cluster.record("healthy", machine=machine.name)
    over_at = time.monotonic()
    while time.monotonic() - over_at < LONGEST_WAIT_S + 1.0:
        if await cluster.standing("wk-000002") in ("running", "done"):
            cluster.record("held", waited_s=round(time.monotonic() - over_at, 1))
            return HELD
        if machine.gone or machine.sick or machine.free_cpus() < machine.build["cpus"]:
            # Taken away or in use: the time in which it had room begins again.
            over_at = time.monotonic()
        await asyncio.sleep(1.0)
    answered_s = time.monotonic() - machine.last_answer_at
    cluster.record(
        "broken", rule="not left waiting", machine=machine.name, free_cpus=machine.free_cpus(), answered_s=answered_s
    )
    return BROKEN


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, scenario))
