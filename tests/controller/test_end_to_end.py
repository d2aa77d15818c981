"""End-to-end test: three controller processes on loopback addresses, with simulated services and workers.

Jobs are submitted and run, the leader is killed with `kill -9`, and the other nodes finish the jobs and agree.
"""

from __future__ import annotations

import http.client
import json
import os
import subprocess
import sys
import threading
import time

from simulation.standins import CloudService, StateService, Worker, serve
from tests.support.paths import ROOT
from tests.support.world import job

# Loopback addresses that depend on the process id, so that the fixed ports of parallel test runs don't collide.
NET = f"127.{100 + os.getpid() // 250 % 100}.{os.getpid() % 250}"
WAIT_TIMEOUT_S = 60.0

CONFIG = """
host_name = "n{i}"
zone = "east"
api_addr = "{net}.{a}:8080"
peer_bind = "{net}.{a}:8081"
{peers}
[outside]
cloud = "{net}.200:8443"
state = "{net}.201:2379"
[facts]
zones = ["east", "west"]
[[facts.teams]]
name = "b"
[facts.workers]
report_s = 0.5
lease_s = 8.0
cancel_s = 20.0
[facts.state]
rps = 500.0
write_rps = 500.0
value_kb = 16.0
txn_ops = 24
[facts.cloud]
rps = 50.0
list_lag_s = 1.0
"""
PEER = '[[peers]]\nhost_name = "n{i}"\nzone = "east"\nendpoint = "{net}.{a}:8081"\n'


def call(node: int, method: str, path: str, body: object = None) -> tuple[int, dict]:
    connection = http.client.HTTPConnection(f"{NET}.{node + 1}", 8080, timeout=4)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except OSError:
        return 0, {}
    finally:
        connection.close()


def until(condition, seconds: float = WAIT_TIMEOUT_S):
    """Poll `condition` until its value is true, and return the value. Raises AssertionError after `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        poll_pause.wait(0.05)
    raise AssertionError(f"condition was not met within {seconds} s")


poll_pause = threading.Event()


class LiveWorker(Worker):
    """Sends heartbeats to the leader from a thread of its own, and ends each task after one second."""

    def __init__(self, machine: dict, address: str) -> None:
        super().__init__(machine)
        self.machine["addr"] = f"{address}:9000"
        self.lock = threading.RLock()
        self.over = threading.Event()
        self.node = 0
        self.running_since: dict[tuple[str, int], float] = {}
        self.server = serve(self, address, 9000)
        threading.Thread(target=self.loop, daemon=True).start()

    def handle(self, method, path, query, body):
        with self.lock:
            return super().handle(method, path, query, body)

    def loop(self) -> None:
        while not self.over.wait(0.2):
            with self.lock:
                for key, task in self.tasks.items():
                    if (
                        task["standing"] == "running"
                        and time.monotonic() - self.running_since.setdefault(key, time.monotonic()) > 1.0
                    ):
                        self.end(key)
                report = self.report()
            status, response = call(self.node, "POST", "/checkin", report)
            with self.lock:
                if status == 200 and response["crook"] >= self.token:
                    self.token = response["crook"]
                    self.obey(response["calls"])
                elif status == 421 and response.get("drover"):
                    self.node = int(response["drover"][1:])
                else:
                    self.node = (self.node + 1) % 3


def test_the_other_nodes_finish_all_jobs_after_the_leader_is_killed(tmp_path):
    state = StateService(time.monotonic)
    cloud = CloudService()
    workers: list[LiveWorker] = []
    started: list[tuple[str, int]] = []

    def on_machine_created(machine: dict) -> None:
        worker = LiveWorker(machine, f"{NET}.{100 + len(workers)}")
        worker.started = started
        workers.append(worker)

    def on_machine_deleted(name: str) -> None:
        next(worker for worker in workers if worker.machine["id"] == name).over.set()

    cloud.on_rent, cloud.on_delete = on_machine_created, on_machine_deleted
    servers = [serve(cloud, f"{NET}.200", 8443), serve(state, f"{NET}.201", 2379)]
    processes: list[subprocess.Popen[bytes]] = []
    try:
        for i in range(3):
            peers = "".join(PEER.format(i=k, a=k + 1, net=NET) for k in range(3) if k != i)
            path = tmp_path / f"n{i}.toml"
            path.write_text(CONFIG.format(i=i, a=i + 1, net=NET, peers=peers))
            command = [sys.executable, os.path.join(ROOT, "run.py"), "--config", str(path)]
            processes.append(subprocess.Popen(command, env={**os.environ, "LOG_LEVEL": "error"}))
        until(lambda: all(call(i, "GET", "/ready")[0] == 200 for i in range(3)))
        for number in range(3):
            body = job(id=f"wk-00000{number}", heads=6)
            assert call(number, "POST", "/v1/jobs", body)[0] == 201
        until(lambda: len(started) >= 6)
        leader = int(state.value("lead")["node"][1:])
        processes[leader].kill()
        live_nodes = [i for i in range(3) if i != leader]
        assert call(live_nodes[0], "POST", "/v1/jobs", job(id="wk-000009", heads=4))[0] in (201, 200)
        job_ids = ["wk-000000", "wk-000001", "wk-000002", "wk-000009"]

        def job_states(node: int) -> list[str | None]:
            return [call(node, "GET", f"/v1/jobs/{job_id}")[1].get("standing") for job_id in job_ids]

        until(lambda: job_states(live_nodes[0]) == ["done"] * 4)
        assert job_states(live_nodes[1]) == ["done"] * 4
        assert len(started) == len(set(started)) and len({task for task, _ in started}) == 22
        for node in live_nodes:
            assert call(node, "GET", "/v1/jobs/wk-000777")[0] == 404
            assert call(node, "DELETE", "/v1/jobs/wk-000000")[0] == 405
            assert call(node, "GET", "/elsewhere")[0] == 404
            assert call(node, "POST", "/v1/jobs", {"pad": "x" * 70_000})[0] == 413
        assert state.value("lead")["node"] in {f"n{i}" for i in live_nodes}
    finally:
        for process in processes:
            process.kill()
            process.wait()
        for worker in workers:
            worker.over.set()
            worker.server.shutdown()
        for server in servers:
            server.shutdown()
