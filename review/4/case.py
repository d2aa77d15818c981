"""Arrays of the largest allowed size that must be spread over zones are queued; then a small urgent job comes."""

from __future__ import annotations

import os
import time

from lib2.cluster import Cluster, Record, cannot_run, job, machine_type, run_case

FOLDER = os.path.dirname(os.path.abspath(__file__))
ARRAYS = 12
LARGEST, SMALL = 100_000, 1_000
WAIT_S = 90.0
"""By the page of meetings: once the troubles are over, no job is left waiting for 90 s beside a machine with room."""
FIELDS = ("regina", "saskatoon", "winnipeg", "brandon")
URGENT = "wk-000900"


def play(record: Record, has_trouble: bool) -> str | None:
    """Return what broke, or None."""
    cluster = Cluster(record, [machine_type("darkroom", 8.0, 64.0, 0.39, FIELDS)], mem_mb=401.0)
    cluster.cloud.capacity = 8
    cluster.run_s = lambda _head: 3.0
    heads = LARGEST if has_trouble else SMALL
    try:
        cluster.start()
        began_at = time.monotonic()
        for number in range(1, ARRAYS + 1):
            cluster.submit(job(number, rank="idle", heads=heads, scatter=True, pullGb=0.2, grazeS=3.0))
        cluster.submit(job(900, rank="urgent", heads=2, herd="rights-check"))
        accepted_at = time.monotonic()
        if accepted_at - began_at > 25.0:
            cannot_run("the submissions took longer than 25 s")
        while time.monotonic() - accepted_at < WAIT_S:
            if cluster.standing(URGENT) == "done":
                return None
            time.sleep(2.0)
            record.add(f"leader {cluster.state.leader()}")
        record.add(f"tasks started on any machine: {sum(w.started for w in cluster.workers.values())}")
        if not any(worker.is_idle() for worker in cluster.workers.values()):
            cannot_run("no machine had room")
        return f"{URGENT}, accepted and urgent, has not run for {WAIT_S:.0f} s while a machine that fits is idle"
    finally:
        cluster.stop()


run_case(FOLDER, play)
