"""Starts the controllers of a small deployment by the deploy file, and the stand-ins around them."""

from __future__ import annotations

import os
import shlex
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

from lib2.proxy import Proxy
from lib2.region import Cloud, State
from lib2.wire import HOST, Answer, call, free_ports, serve
from lib2.workers import Worker

ROOT = Path(__file__).resolve().parents[2]
NODES = ("paddock-0", "paddock-1", "paddock-2")
ZONES = ("menai", "taff", "menai")
OK, BROKEN, COULD_NOT_RUN = 0, 1, 2


def machine_type(
    label: str, cpus: float, memory_gb: float, rate: float, fields: tuple[str, ...], ready_s: float = 2.0
) -> dict[str, Any]:
    """Return a machine type; its machines are up at once unless the cloud is told otherwise."""
    return {
        "label": label,
        "cpus": cpus,
        "gpus": 0.0,
        "memoryGb": memory_gb,
        "localGb": 50.0,
        "fetchGbPerS": 1.0,
        "rate": rate,
        "marketPrice": rate / 2,
        "readyS": ready_s,
        "fields": list(fields),
    }


TILL = machine_type("till", 4.0, 16.0, 0.26, ("menai", "taff"))
GRANDSTAND = machine_type("grandstand", 64.0, 256.0, 4.79, ("menai", "taff"))


def job(number: int, **changes: Any) -> dict[str, Any]:
    """Return a submission of an array, with changes by the protocol's field names."""
    fields: dict[str, Any] = {
        "id": f"wk-{number:06d}",
        "herd": "listing-sweep",
        "steward": "listings",
        "breed": "batch",
        "rank": "normal",
        "heads": 1,
        "cpus": 1.0,
        "gpus": 0.0,
        "memoryGb": 1.0,
        "feedstock": "img-07",
        "pullGb": 0.2,
        "builds": None,
        "field": None,
        "oneZone": False,
        "scatter": False,
        "stubble": True,
        "grazeS": 10.0,
        "stookS": 0.0,
        "baleS": 0.0,
        "sundownS": None,
    }
    return {**fields, **changes}


class CannotRunError(Exception):
    """The case could not run."""


def cannot_run(reason: str) -> NoReturn:
    """End the case, since it could not run."""
    raise CannotRunError(reason)


class Cluster:
    """Three controllers, the state service, the cloud and its machines."""

    def __init__(self, record: Record, types: list[dict[str, Any]], **facts: float) -> None:
        self.record = record
        self.facts: dict[str, float] = {
            "report_s": 3.0,
            "lease_s": 16.0,
            "cancel_s": 41.0,
            "cloud_rps": 5.0,
            "list_lag_s": 5.0,
            "mem_mb": 186.0,
            "cpus_max": 0.0,
            "rps": 200.0,
            "write_rps": 80.0,
            **facts,
        }
        self.teams = f'[[facts.teams]]\nname = "listings"\ncpus = 0.0\ncpus_max = {self.facts["cpus_max"]}\n'
        """The teams, as in the settings."""
        self.state = State()
        self.workers: dict[str, Worker] = {}
        self.cloud = Cloud(types, self._rent, self._delete)
        self.run_s: Callable[[str], float] = lambda _head: 2.0
        self.ports = dict(zip(NODES, free_ports(3), strict=True))
        self._peer_ports = dict(zip(NODES, free_ports(3), strict=True))
        self.peer_proxies = {node: Proxy(port) for node, port in self._peer_ports.items()}
        """Connections of other controllers to a node pass through its proxy."""
        self._cloud_ports = {node: serve(self.cloud.answer_for(node)) for node in NODES}
        self._state_port = serve(self.state.answer)
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def _rent(self, machine: dict[str, Any]) -> str:
        worker = Worker(
            machine, self.ports, self.facts["report_s"], self.facts["lease_s"], self._task_run_s, self.record.add
        )
        self.workers[machine["id"]] = worker
        self.record.add(f"cloud rents {machine['id']} {machine['build']} {machine['field']}")
        return worker.address

    def _task_run_s(self, head: str) -> float:
        return self.run_s(head)

    def _delete(self, name: str) -> None:
        self.record.add(f"cloud deletes {name}")
        self.workers[name].delete()

    def _settings(self, node: str) -> str:
        facts = self.facts
        peers = "".join(
            f'[[peers]]\nhost_name = "{peer}"\nzone = "{zone}"\nendpoint = "{HOST}:{self.peer_proxies[peer].port}"\n'
            for peer, zone in zip(NODES, ZONES, strict=True)
            if peer != node
        )
        return (
            f'host_name = "{node}"\nzone = "{ZONES[NODES.index(node)]}"\n'
            f'api_addr = "{HOST}:{self.ports[node]}"\npeer_bind = "{HOST}:{self._peer_ports[node]}"\n{peers}'
            f'[outside]\ncloud = "{HOST}:{self._cloud_ports[node]}"\nstate = "{HOST}:{self._state_port}"\n'
            '[facts]\ninitial_size = 3\nzones = ["menai", "taff"]\nclock_off_ms = 5.0\n'
            f"{self.teams}"
            f"[facts.workers]\nreport_s = {facts['report_s']}\nlease_s = {facts['lease_s']}\n"
            f"gang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = {facts['cancel_s']}\n"
            f"[facts.state]\nrps = {facts['rps']}\nwrite_rps = {facts['write_rps']}\nvalue_kb = 16.0\ntxn_ops = 24\n"
            f"[facts.cloud]\nrps = {facts['cloud_rps']}\nlist_lag_s = {facts['list_lag_s']}\n"
            f"[facts.machine_limits]\ncpu = 0.25\nmem_mb = {facts['mem_mb']}\nfd_limit = 1200\n"
        )

    def start_node(self, node: str) -> None:
        """Start a controller by the `run` line of the deploy file."""
        run_line = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        path = Path(self._folder.name) / f"{node}.toml"
        path.write_text(self._settings(node))
        log_path = Path(self._folder.name) / f"{node}.log"
        with open(log_path, "ab") as log:
            self.processes[node] = subprocess.Popen(
                [*shlex.split(run_line), str(path)],
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )

    def start(self) -> None:
        """Start all controllers, and wait until they are ready."""
        for node in NODES:
            self.start_node(node)
        if not wait_until(lambda: all(call(port, "GET", "/ready")[0] == 200 for port in self.ports.values()), 30):
            cannot_run("the controllers are not ready after 30 s")
        if not wait_until(lambda: self.state.leader() is not None, 10):
            cannot_run("no leader after 10 s")

    def log_text(self, node: str) -> str:
        """Return what a controller has logged."""
        return (Path(self._folder.name) / f"{node}.log").read_text(errors="replace")

    def signal_node(self, node: str, number: int) -> None:
        """Send a signal to a controller's process."""
        self.record.add(f"{signal.Signals(number).name} to {node}")
        self.processes[node].send_signal(number)

    def stop(self) -> None:
        """End all processes of the case, and the workers."""
        for worker in self.workers.values():
            worker.delete()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if (keep := os.environ.get("KEEP_LOGS")) is not None:
            for node in NODES:
                (Path(keep) / f"{node}.log").write_text(self.log_text(node))
        self._folder.cleanup()

    # What a user does

    def request(
        self, method: str, path: str, body: Any = None, node: str | None = None, timeout: float = 5.0
    ) -> Answer:
        """Send a user's request to a node, or to the next one that answers, and record it."""
        answer: Answer = (0, None)
        for name in [node] if node is not None else NODES:
            answer = call(self.ports[name], method, path, body, timeout)
            shown = body["id"] if isinstance(body, dict) and "id" in body else ""
            self.record.add(f"user {method} {path} {shown} at {name}: {answer[0]} {answer[1]}")
            if answer[0] != 0:
                break
        return answer

    def submit(self, submission: dict[str, Any]) -> None:
        """Submit a job as a user does, for up to 60 s in total."""
        until = time.monotonic() + 60.0
        while time.monotonic() < until:
            if self.request("POST", "/v1/jobs", submission)[0] in (200, 201):
                return
            time.sleep(1.0)
        cannot_run(f"{submission['id']} was not accepted")

    def standing(self, name: str) -> str | None:
        """Ask for a job as a user does; None without an answer."""
        status, value = self.request("GET", f"/v1/jobs/{name}", timeout=2.0)
        return value["standing"] if status == 200 else None


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(path, "w")  # noqa: SIM115 - closed with the case

    def add(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{time.monotonic() - self._began_at:8.2f} {text[:400]}\n")

    def close(self) -> None:
        """Close the file; later lines are dropped."""
        with self._lock:
            self._file.close()


def wait_until(condition: Callable[[], bool], timeout_s: float, step_s: float = 0.1) -> bool:
    """Wait until the condition holds; return whether it did in time."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(step_s)
    return condition()


def run_case(folder: str, case: Callable[[Record, bool], str | None]) -> None:
    """Run a case and exit: `case` gets the record and whether to make trouble, and returns what broke, or None."""
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # So that a case that is ended from outside ends its processes, too.
    signal.signal(signal.SIGTERM, lambda _number, _frame: cannot_run("ended by a signal"))
    code = COULD_NOT_RUN
    try:
        broken = case(record, has_trouble)
        code = OK if broken is None else BROKEN
        verdict = "held" if broken is None else f"BROKEN: {broken}"
    except CannotRunError as error:
        verdict = f"could not run: {error}"
    except Exception as error:  # noqa: BLE001 - any error of the script means that the case could not run
        verdict = f"could not run: {error!r}"
    record.add(f"verdict {verdict}")
    record.close()
    print(verdict, flush=True)
    # Threads of stand-ins may still wait for answers; all processes have ended.
    sys.stdout.flush()
    os._exit(code)
