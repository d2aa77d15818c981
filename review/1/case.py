"""Arrays of the largest allowed size wait; the controllers must stay within their memory, and a small job must run."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from review.lib.cluster import BROKEN, HELD, IS_TROUBLED, Cluster, Node, job, require, run_case

SETTINGS = """
host_name = "{name}"
zone = "{zone}"
api_addr = "{api}"
peer_bind = "{peer}"
{peers}
[outside]
cloud = "{cloud}"
state = "{state}"

[facts]
initial_size = 3
zones = ["ely", "tawe"]
clock_off_ms = 5.0

[[facts.teams]]
name = "gatekeepers"

[facts.workers]
report_s = 3.0
lease_s = 18.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 43.0

[facts.state]
rps = 150.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 24

[facts.cloud]
rps = 2.0
list_lag_s = 12.0

[facts.machine_limits]
cpu = 0.3
mem_mb = 106.0
fd_limit = 600
"""
BUILDS = [
    {
        "label": "lens-node",
        "cpus": 48.0,
        "gpus": 4.0,
        "memoryGb": 288.0,
        "localGb": 200.0,
        "fetchGbPerS": 1.0,
        "rate": 11.94,
        "marketPrice": 4.12,
        "readyS": 45.0,
        "fields": ["ely", "tawe"],
    }
]
MEMORY_LIMIT_BYTES = 106 * 2**20
BACK_AFTER_S = 5.0
ARRAYS = 9
HEADS = 100_000 if IS_TROUBLED else 100
LONGEST_WAIT_S = 90.0


def resident_bytes(node: Node) -> int:
    """Return what the process of a node holds in memory; 0 if it has ended."""
    try:
        status = Path(f"/proc/{node.process.pid}/status").read_text(encoding="ascii") if node.process else ""
    except OSError:
        return 0
    return next((int(line.split()[1]) * 1024 for line in status.splitlines() if line.startswith("VmRSS:")), 0)


async def enforce_memory_limit(cluster: Cluster, node: Node, ends: list[str]) -> None:
    """As the platform does: kill the process past its limit, and restart it some seconds later."""
    while True:
        await asyncio.sleep(0.05)
        held = resident_bytes(node)
        if held > MEMORY_LIMIT_BYTES and node.process is not None:
            cluster.record("over_memory", node=node.name, mb=held // 2**20)
            ends.append(node.name)
            node.process.kill()
            await node.process.wait()
            await asyncio.sleep(BACK_AFTER_S)
            await cluster.start_node(node)


async def scenario(cluster: Cluster) -> int:
    """Submit the arrays, then a small urgent job, which must start within 90 s."""
    cluster.settings = SETTINGS
    await cluster.start(
        {("lens-node", "ely", True): 3, ("lens-node", "tawe", True): 3}, BUILDS, lease_s=18.0, list_lag_s=12.0, rps=2.0
    )
    ends: list[str] = []
    platform = [asyncio.create_task(enforce_memory_limit(cluster, node, ends)) for node in cluster.nodes]
    work = {"steward": "gatekeepers", "herd": "photo-backfill", "cpus": 10.0, "memoryGb": 54.0, "sundownS": None}
    try:
        for number in range(ARRAYS):
            array = job(100 + number, heads=HEADS, rank="idle", grazeS=50.0, **work)
            require(await cluster.submit(array, run_s=50.0), "an array was not accepted")
        require(await cluster.submit(job(1, **work), run_s=5.0), "the small job was not accepted")
        accepted_at = time.monotonic()
        while time.monotonic() - accepted_at < LONGEST_WAIT_S:
            await asyncio.sleep(1.0)
            if "wk-000001/0" in cluster.platform.on_now:
                cluster.record("held", after_s=round(time.monotonic() - accepted_at, 1), ends=ends)
                return HELD
        cluster.record("broken", ends_for_memory=len(ends), nodes=sorted(set(ends)))
        return BROKEN
    finally:
        for task in platform:
            task.cancel()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, scenario))
