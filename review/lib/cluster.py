"""Starts three controllers with the commands of the deploy file, users and a record of what was sent and answered."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

from review.lib.standins import Platform, StateService, Uploaded
from review.lib.web import Client

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"

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
zones = ["menai", "taff"]
clock_off_ms = 5.0

[[facts.teams]]
name = "listings"
cpus = 120.0
cpus_max = 240.0
gpus = 0.0
gpus_max = 0.0

[[facts.teams]]
name = "integrity"
cpus = 80.0
cpus_max = 240.0
gpus = 0.0
gpus_max = 0.0

[[facts.objectives]]
kind = "deadline"
class = "listing-sweep"
share = 0.85
times = 1.0

[[facts.objectives]]
kind = "deadline"
class = "transfer-screen"
share = 0.82
times = 1.0

[facts.workers]
report_s = 3.0
lease_s = 16.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 41.0

[facts.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 24

[facts.cloud]
rps = 5.0
list_lag_s = 5.0

[facts.machine_limits]
cpu = 0.25
mem_mb = 186.0
fd_limit = 1200
"""
PEER = '\n[[peers]]\nhost_name = "{name}"\nzone = "{zone}"\nendpoint = "{peer}"\n'

BUILDS = [
    {
        "label": "till",
        "cpus": 4.0,
        "gpus": 0.0,
        "memoryGb": 16.0,
        "localGb": 50.0,
        "fetchGbPerS": 0.3,
        "rate": 0.26,
        "marketPrice": 0.11,
        "readyS": 35.0,
        "fields": ["taff"],
    },
    {
        "label": "grandstand",
        "cpus": 64.0,
        "gpus": 0.0,
        "memoryGb": 256.0,
        "localGb": 70.0,
        "fetchGbPerS": 1.0,
        "rate": 4.79,
        "marketPrice": 1.74,
        "readyS": 40.0,
        "fields": ["menai", "taff"],
    },
]
"""The machine types of tocyn-resale-cardiff."""


class Recorder:
    """Writes what was sent, answered and run, a line each, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line."""
        shown = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {event} {shown}\n")
        self._file.flush()


class CannotRunError(Exception):
    """The case can't run here, so that nothing is said about the rule."""


def require(is_met: object, message: str) -> None:
    """Raise CannotRunError with the message, unless the condition is met."""
    if not is_met:
        raise CannotRunError(message)


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose ports are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{one.getsockname()[1]}" for one in sockets]
    for one in sockets:
        one.close()
    return addresses


class Node:
    """One controller process."""

    def __init__(self, name: str, zone: str, api: str, peer: str) -> None:
        self.name, self.zone, self.api, self.peer = name, zone, api, peer
        self.config = ""
        self.process: asyncio.subprocess.Process | None = None


class Cluster:
    """Three controllers, the state service, the cloud, its machines and their users."""

    def __init__(self, record: Recorder, folder: Path) -> None:
        self.record, self._folder = record, folder
        addresses = free_addresses(6)
        self.nodes = [
            Node(f"paddock-{i}", zone, addresses[2 * i], addresses[2 * i + 1])
            for i, zone in enumerate(("menai", "taff", "menai"))
        ]
        self.state = StateService()
        self.state_address_for: dict[str, str] = {}
        """By node: the address of the state service, where it is not the stand-in's own (a proxy)."""
        self.peer_address: dict[str, str] = {}
        """By node: where its peers reach it, if not at its own address (a proxy)."""
        self.api_address_for_workers: dict[str, str] = {}
        self.platform: Platform
        self.client = Client()
        self._expiry: asyncio.Task[None] | None = None
        self.settings = SETTINGS
        self.ended_by_themselves: list[str] = []

    async def start(
        self, capacity: dict[tuple[str, str, bool], int], builds: list[dict[str, Any]] = BUILDS, **options: Any
    ) -> None:
        """Start the stand-ins, then the controllers, and wait until all are ready."""
        nodes = [(node.name, self.api_address_for_workers.get(node.name, node.api)) for node in self.nodes]
        self.platform = Platform(self.record, nodes, builds, capacity, **options)
        self._expiry = asyncio.create_task(self.state.expire_forever())
        await self.state.server.start()
        await self.platform.server.start()
        for node in self.nodes:
            await self.start_node(node)
        for node in self.nodes:
            is_ready = await until(lambda node=node: self.is_ready(node), 20.0)  # type: ignore[misc]
            require(is_ready, f"{node.name} is not ready")
        self.record("ready")

    async def is_ready(self, node: Node) -> bool:
        """Whether the node answers `GET /ready` with 200."""
        return (await self.client.call("GET", node.api, "/ready", timeout_s=1.0, fresh=True))[0] == 200

    async def start_node(self, node: Node) -> None:
        """Start a controller with the `run` line of the deploy file."""
        peers = "".join(
            PEER.format(name=n.name, zone=n.zone, peer=self.peer_address.get(n.name, n.peer))
            for n in self.nodes
            if n is not node
        )
        path = self._folder / f"{node.name}.toml"
        path.write_text(
            self.settings.format(
                name=node.name,
                zone=node.zone,
                api=node.api,
                peer=node.peer,
                peers=peers,
                cloud=self.platform.server.address,
                state=self.state_address_for.get(node.name, self.state.server.address),
            ),
            encoding="utf-8",
        )
        with (ROOT / "deploy" / "service.toml").open("rb") as file:
            run = shlex.split(tomllib.load(file)["run"])
        log = (self._folder / f"{node.name}.log").open("ab")
        node.process = await asyncio.create_subprocess_exec(
            *run,
            str(path),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
        )
        self.record("node_started", node=node.name, pid=node.process.pid)

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to a controller that this test started."""
        assert node.process is not None
        self.record("signal", node=node.name, signal=number.name)
        node.process.send_signal(number)

    def leader(self) -> Node | None:
        """The leading controller by its key in the state service."""
        name = self.state.leader()
        return next((node for node in self.nodes if node.name == name), None)

    async def stop(self) -> None:
        """End all processes and machines."""
        for node in self.nodes:
            if node.process is None:
                continue
            if node.process.returncode is not None:
                self.ended_by_themselves.append(node.name)
                continue
            node.process.kill()
            await node.process.wait()
        for name in list(self.platform.workers):
            await self.platform.take_away(name, "end of the test")
        await self.platform.server.stop()
        await self.state.server.stop()
        if self._expiry is not None:
            self._expiry.cancel()

    # Users

    async def request(
        self, method: str, path: str, value: Any = None, node: Node | None = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Send one request of a user to a node, and record it."""
        node = node or random.choice([n for n in self.nodes if n.process is not None])
        sent_at = time.monotonic()
        status, answer = await self.client.call(method, node.api, path, value, timeout_s, fresh=True)
        shown = answer if isinstance(answer, dict) else None
        self.record(
            "user",
            request=f"{method} {path}",
            node=node.name,
            status=status,
            answer=shown,
            took_s=round(time.monotonic() - sent_at, 3),
        )
        return status, answer

    async def submit(self, spec: dict[str, Any], run_s: float, nodes: list[Node] | None = None) -> bool:
        """Upload a job and submit it as a user does, with retries for 60 s; return whether it was accepted."""
        self.platform.jobs[spec["id"]] = Uploaded(spec, run_s)
        return await self._repeat("POST", "/v1/jobs", spec, nodes)

    async def submit_body(self, body: bytes) -> bool:
        """Submit a body as it is, with retries for 60 s; return whether it was accepted."""
        return await self._repeat("POST", "/v1/jobs", body, None)

    async def withdraw(self, job: str, nodes: list[Node] | None = None) -> bool:
        """Cancel a job as a user does; return whether a final answer came."""
        return await self._repeat("POST", f"/v1/jobs/{job}/withdraw", {}, nodes)

    async def _repeat(self, method: str, path: str, value: Any, nodes: list[Node] | None) -> bool:
        until_at = time.monotonic() + 60.0
        while time.monotonic() < until_at:
            status, _ = await self.request(method, path, value, random.choice(nodes) if nodes else None)
            if status in (200, 201):
                return True
            if status in (400, 404, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def standing(self, job: str, node: Node | None = None) -> str | None:
        """Ask for a job's standing once."""
        status, answer = await self.request("GET", f"/v1/jobs/{job}", None, node, 2.0)
        return answer["standing"] if status == 200 else None


async def until(condition: Callable[[], Awaitable[Any]], seconds: float, step_s: float = 0.1) -> Any:
    """Poll the condition until its value is true; return the value, or None after `seconds`."""
    until_at = time.monotonic() + seconds
    while time.monotonic() < until_at:
        value = await condition()
        if value:
            return value
        await asyncio.sleep(step_s)
    return None


def job(number: int, **fields: Any) -> dict[str, Any]:
    """Return a submission of one short task; `fields` replace its values."""
    spec: dict[str, Any] = {
        "id": f"wk-{number:06d}",
        "herd": "transfer-screen",
        "steward": "integrity",
        "breed": "batch",
        "rank": "urgent",
        "heads": 1,
        "cpus": 4.0,
        "gpus": 0.0,
        "memoryGb": 12.0,
        "feedstock": "img-07",
        "pullGb": 0.6,
        "builds": None,
        "field": None,
        "oneZone": False,
        "scatter": False,
        "stubble": True,
        "grazeS": 10.0,
        "stookS": 0.0,
        "baleS": 0.0,
        "sundownS": 40.0,
    }
    return spec | fields


def run_case(folder: Path, scenario: Callable[[Cluster], Awaitable[int]]) -> int:
    """Run a scenario with a cluster of its own within 118 s; return its exit status."""

    async def run() -> int:
        record = Recorder(folder / "record.txt")
        record("begin", trouble=IS_TROUBLED)
        with tempfile.TemporaryDirectory() as directory:
            cluster = Cluster(record, Path(directory))
            try:
                return await asyncio.wait_for(scenario(cluster), 116.0)
            except Exception as error:  # noqa: BLE001 - whatever fails, the case could not run
                record("cannot_run", error=f"{type(error).__name__}: {error}")
                for path in sorted(Path(directory).glob("*.log")):
                    record("log", name=path.name, tail=path.read_text(errors="replace")[-2000:])
                return CANNOT_RUN
            finally:
                await cluster.stop()
                if keep := os.environ.get("KEEP_LOGS"):
                    for path in Path(directory).glob("*.log"):
                        (Path(keep) / path.name).write_bytes(path.read_bytes())

    status = asyncio.run(run())
    print({HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "could not run"}[status], file=sys.stderr)
    return status
