"""Runs this version on what an earlier version stored, and beside a process of it.

`python -m tests.support.previous_version TREE`, where TREE is a checkout of the earlier version. Real controllers on
loopback use the stand-ins of the state service, the cloud and the workers:

1. Three controllers of TREE accept jobs, finish some and cancel one, learn run times and write snapshots; all are
   killed.
2. Three controllers of this version start with the same settings files and the same store: every answer is as
   before, and the open jobs end without a second start of a finished task.
3. `meadowcross snapshot verify` and `restore` of this version read the snapshots into an empty store; a controller of
   this version gives the same final answers from it.
4. Two controllers of TREE and one of this version form a cluster. Each leader is killed in turn until both versions
   have led; jobs submitted to and cancelled through every controller end as their users asked.

Prints a line for each step; exit 1 with the step that failed.
"""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
import tempfile
import time
import traceback
from typing import Any

from simulation.standins import CloudService, StateService, serve
from tests.controller.test_end_to_end import CONFIG, NET, PEER, LiveWorker, call, until
from tests.support.paths import ROOT
from tests.support.world import job

CONTROLLERS = 3
FINAL = ("done", "cancelled")
OPERATOR_SETTINGS = """<meadowcross>
  <learned-estimates>2</learned-estimates>
  <snapshot-directory>{directory}</snapshot-directory>
  <snapshot-every-s>1</snapshot-every-s>
</meadowcross>
"""


class ServiceWorker(LiveWorker):
    """A worker on which the tasks of services run until they are stopped."""

    def __init__(self, machine: dict[str, Any], address: str, services: set[str]) -> None:
        self.services = services
        super().__init__(machine, address)

    def end(self, key: tuple[str, int], why: str = "done") -> None:
        if why != "done" or key[0].partition("/")[0] not in self.services:
            super().end(key, why)


class Cluster:
    """Stand-ins and controller processes, each started from a tree of its own."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.state = StateService(time.monotonic)
        self.cloud = CloudService()
        self.workers: list[ServiceWorker] = []
        self.services: set[str] = set()
        self.started: list[tuple[str, int]] = []
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.cloud.on_rent, self.cloud.on_delete = self._create_worker, self._end_worker
        self.servers = [serve(self.cloud, f"{NET}.200", 8443), serve(self.state, f"{NET}.201", 2379)]

    def _create_worker(self, machine: dict[str, Any]) -> None:
        worker = ServiceWorker(machine, f"{NET}.{100 + len(self.workers)}", self.services)
        worker.started = self.started
        self.workers.append(worker)

    def _end_worker(self, name: str) -> None:
        next(worker for worker in self.workers if worker.machine["id"] == name).over.set()

    def settings_file(self, number: int) -> pathlib.Path:
        """Write the platform's settings of a controller, or return the file that is there already."""
        path = self.directory / f"n{number}.toml"
        if not path.exists():
            others = (other for other in range(CONTROLLERS) if other != number)
            peers = "".join(PEER.format(i=other, a=other + 1, net=NET) for other in others)
            path.write_text(CONFIG.format(i=number, a=number + 1, net=NET, peers=peers))
        return path

    def snapshots(self, number: int) -> pathlib.Path:
        """The directory in which a controller keeps its snapshots."""
        path = self.directory / f"snapshots-n{number}"
        path.mkdir(exist_ok=True)
        return path

    def directory_with_snapshots(self) -> pathlib.Path | None:
        """The first controller's directory that holds a snapshot."""
        directories = [self.snapshots(number) for number in range(CONTROLLERS)]
        return next((directory for directory in directories if any(directory.glob("*.manifest"))), None)

    def operator_file(self, number: int) -> pathlib.Path:
        """Write the operators' settings of a controller, or return the file that is there already."""
        path = self.directory / f"operator-n{number}.xml"
        if not path.exists():
            path.write_text(OPERATOR_SETTINGS.format(directory=self.snapshots(number)))
        return path

    def start(self, number: int, tree: pathlib.Path) -> None:
        """Start a controller from `tree`."""
        command = [sys.executable, str(tree / "run.py"), "--config", str(self.settings_file(number))]
        command += ["--operator-settings", str(self.operator_file(number))]
        self.processes[number] = subprocess.Popen(command, cwd=tree, env={"LOG_LEVEL": "error", **os.environ})

    def kill(self, number: int) -> None:
        """Kill a controller, as a crash would."""
        process = self.processes.pop(number)
        process.kill()
        process.wait()

    def wait_until_ready(self) -> None:
        """Wait until every started controller answers as ready."""
        until(lambda: all(call(number, "GET", "/ready")[0] == 200 for number in self.processes))

    def leader(self) -> str | None:
        """The name of the controller that the leader's key names."""
        record = self.state.value("lead")
        return record["node"] if record is not None else None

    def close(self) -> None:
        """End all processes, workers and servers."""
        for number in list(self.processes):
            self.kill(number)
        for worker in self.workers:
            worker.over.set()
            worker.server.shutdown()
        for server in self.servers:
            server.shutdown()


def answers(controller: int, jobs: list[str]) -> dict[str, str | None]:
    """The state of each job as a controller reports it."""
    return {name: call(controller, "GET", f"/v1/jobs/{name}")[1].get("standing") for name in jobs}


def submit(controller: int, name: str, **fields: Any) -> None:
    """Submit a job until it is accepted."""
    until(lambda: call(controller, "POST", "/v1/jobs", job(id=name, **fields))[0] in (200, 201))


def cancel(controller: int, name: str) -> None:
    """Cancel a job until the cancellation is confirmed."""
    until(lambda: call(controller, "POST", f"/v1/jobs/{name}/withdraw", {})[0] == 200)


def check(condition: bool, text: str) -> None:
    """Print a passed step; raise AssertionError for a failed one."""
    if not condition:
        raise AssertionError(text)
    print(f"ok: {text}", flush=True)


def store_by_earlier_version(cluster: Cluster, earlier: pathlib.Path) -> list[str]:
    """Step 1. Returns the jobs."""
    for number in range(CONTROLLERS):
        cluster.start(number, earlier)
    cluster.wait_until_ready()
    submit(0, "wk-000001", heads=6)
    submit(1, "wk-000002", heads=4, breed="group")
    cluster.services |= {"wk-000003", "wk-000004"}
    submit(2, "wk-000003", heads=2, breed="daemon", grazeS=0.0)
    submit(0, "wk-000004", heads=3, breed="daemon", grazeS=0.0)
    until(lambda: answers(0, ["wk-000001", "wk-000002"]) == {"wk-000001": "done", "wk-000002": "done"})
    cancel(1, "wk-000004")
    submit(2, "wk-000005", heads=80)
    jobs = [f"wk-00000{number}" for number in range(1, 6)]
    until(cluster.directory_with_snapshots)
    until(lambda: any(key.startswith("est/") for key in cluster.state.keys))
    wait_for_part = len(cluster.started)
    until(lambda: len(cluster.started) > wait_for_part or answers(0, ["wk-000005"])["wk-000005"] in FINAL)
    before = answers(0, jobs)
    for number in range(CONTROLLERS):
        cluster.kill(number)
    prefixes = sorted({key.partition("/")[0] for key in cluster.state.keys})
    check(before["wk-000004"] == "cancelled", f"the earlier version stored jobs {before}, keys below {prefixes}")
    return jobs


def continue_with_this_version(cluster: Cluster, jobs: list[str]) -> dict[str, str | None]:
    """Step 2. Returns the final answers."""
    for number in range(CONTROLLERS):
        command = [sys.executable, str(pathlib.Path(ROOT) / "run.py"), "--check", "--config"]
        command += [str(cluster.settings_file(number)), "--operator-settings", str(cluster.operator_file(number))]
        check(subprocess.run(command, check=False, capture_output=True).returncode == 0, f"settings of n{number} pass")
        cluster.start(number, pathlib.Path(ROOT))
    cluster.wait_until_ready()
    expected = {"wk-000001": "done", "wk-000002": "done", "wk-000003": "running", "wk-000004": "cancelled"}
    expected["wk-000005"] = "done"
    for number in range(CONTROLLERS):
        until(lambda number=number: answers(number, jobs) == expected)
    check(len(cluster.started) == len(set(cluster.started)), "this version continues the store: no start is repeated")
    return expected


def restore_snapshots(cluster: Cluster, jobs: list[str], expected: dict[str, str | None]) -> None:
    """Step 3."""
    for number in range(CONTROLLERS):
        cluster.kill(number)
    directory = str(cluster.directory_with_snapshots())
    command = [sys.executable, "-m", "meadowcross", "snapshot", "verify", "--directory", directory]
    verified = subprocess.run(command, cwd=ROOT, check=False, capture_output=True, text=True)
    check(verified.returncode == 0, f"snapshots verified: {verified.stdout.strip().splitlines()[-1:]}")
    cluster.state.keys.clear()
    cluster.state.log.clear()
    cluster.state.holds.clear()
    cluster.state.revision = 0
    command = [sys.executable, "-m", "meadowcross", "snapshot", "restore", "--directory", directory]
    command += ["--config", str(cluster.settings_file(0))]
    restored = subprocess.run(command, cwd=ROOT, check=False, capture_output=True, text=True)
    check(restored.returncode == 0, f"snapshots restored: {restored.stdout.strip().splitlines()[-1:]}")
    for number in range(CONTROLLERS):
        cluster.start(number, pathlib.Path(ROOT))
    cluster.wait_until_ready()
    until(lambda: answers(0, jobs) == expected)
    check(True, "the restored store gives the same answers")
    for number in range(CONTROLLERS):
        cluster.kill(number)


def run_beside_earlier_version(cluster: Cluster, earlier: pathlib.Path) -> None:
    """Step 4."""
    trees = {0: earlier, 1: pathlib.Path(ROOT), 2: earlier}
    for number, tree in trees.items():
        cluster.start(number, tree)
    cluster.wait_until_ready()
    has_led: set[int] = set()
    jobs: dict[str, str | None] = {}
    for round_number in range(1, 9):
        leader = int(until(cluster.leader)[1:])
        has_led.add(leader)
        for number in trees:
            submit(number, f"wk-1{round_number}{number}001", heads=5)
            cluster.services.add(f"wk-1{round_number}{number}002")
            submit(number, f"wk-1{round_number}{number}002", heads=2, breed="daemon", grazeS=0.0)
            jobs[f"wk-1{round_number}{number}001"] = "done"
            cancel((number + 1) % CONTROLLERS, f"wk-1{round_number}{number}002")
            jobs[f"wk-1{round_number}{number}002"] = "cancelled"
        cluster.kill(leader)
        rest = next(number for number in trees if number != leader)
        until(lambda rest=rest: answers(rest, list(jobs)) == jobs)
        until(lambda leader=leader: cluster.leader() not in (None, f"n{leader}"))
        cluster.start(leader, trees[leader])
        cluster.wait_until_ready()
        if round_number >= 3 and 1 in has_led and has_led & {0, 2}:
            break
    check(1 in has_led and bool(has_led & {0, 2}), f"both versions led: {sorted(has_led)}, n1 is this version")
    for number in trees:
        until(lambda number=number: answers(number, list(jobs)) == jobs)
    check(len(cluster.started) == len(set(cluster.started)), f"{len(jobs)} jobs ended as asked, no start is repeated")


def main(earlier: pathlib.Path) -> int:
    """Carry out the steps; returns the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(pathlib.Path(directory))
        try:
            jobs = store_by_earlier_version(cluster, earlier)
            expected = continue_with_this_version(cluster, jobs)
            restore_snapshots(cluster, jobs, expected)
            run_beside_earlier_version(cluster, earlier)
        except AssertionError as error:
            traceback.print_exc()
            print(f"failed: {error}", file=sys.stderr)
            return 1
        finally:
            cluster.close()
    return 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1]).resolve()))
