"""Starts the processes of a plan, strikes its faults, samples what each process uses, and ends what it started."""

from __future__ import annotations

import contextlib
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import psutil
from msgspec import Struct
from twisted.internet import reactor as _reactor
from twisted.internet.task import LoopingCall

from loadtest import bus
from loadtest.child import Setup
from loadtest.events import Killed, Recorder
from loadtest.hosts import (
    API_PORT,
    CLOUD_PORT,
    PEER_PORT,
    STATE_PORT,
    WORKER_PORT,
    controller_address,
    free_network,
    service_address,
)
from loadtest.plan import Fault, Plan
from loadtest.verdict import sum_up
from meadowcross.common.types import Address

reactor: Any = _reactor
ROOT = Path(__file__).resolve().parent.parent
MOST_MEMORY_BYTES = 12 * 2**30
START_WITHIN_S = 30.0
END_WITHIN_S = 5.0


class Usage(Struct):
    """What one process used within an interval, and holds at its end."""

    name: str
    processor: float
    """Of one core."""
    memory_mb: float
    sockets: int


class Interval(Struct):
    """One line of `intervals.jsonl`."""

    at_s: float
    leader: str | None
    processes: list[Usage]


class RunError(Exception):
    """Why a run was given up."""


class Process:
    """One process that this run started; no other is ever ended."""

    def __init__(self, name: str, command: list[str], directory: Path, sockets: int | None = None) -> None:
        self.name = name
        log = (directory / f"{name}.log").open("ab")

        def limit() -> None:
            if sockets is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

        self._popen = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=limit
        )
        log.close()
        self._looked_at = time.monotonic()
        self._used_s = 0.0
        self._ps: psutil.Process | None = psutil.Process(self._popen.pid)

    def alive(self) -> bool:
        return self._popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.alive():
            self._popen.send_signal(number)

    def end(self) -> None:
        """Kill it, also if it stands still, and wait for it."""
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def wait(self, seconds: float) -> None:
        with contextlib.suppress(subprocess.TimeoutExpired):
            self._popen.wait(seconds)

    def usage(self) -> Usage | None:
        """Since the last look; None once it has ended."""
        if self._ps is None or not self.alive():
            return None
        try:
            with self._ps.oneshot():
                times = self._ps.cpu_times()
                memory, sockets = self._ps.memory_info().rss, self._ps.num_fds()
        except psutil.Error:
            return None
        now, used_s = time.monotonic(), times.user + times.system
        share = (used_s - self._used_s) / max(1e-3, now - self._looked_at)
        self._looked_at, self._used_s = now, used_s
        return Usage(self.name, round(share, 3), round(memory / 2**20, 1), sockets)


def settings_toml(plan: Plan, name: str, network: int) -> str:
    """A controller's settings file, as the platform writes it."""
    names = plan.controller_names()
    zones = {one: plan.zones[number % len(plan.zones)] for number, one in enumerate(names)}
    api = {one: controller_address(network, number, API_PORT) for number, one in enumerate(names)}
    peers = {one: controller_address(network, number, PEER_PORT) for number, one in enumerate(names)}
    facts, state, cloud, limits = plan.facts, plan.state, plan.cloud, plan.limits
    lines = [
        f'host_name = "{name}"',
        f'zone = "{zones[name]}"',
        f'api_addr = "{api[name]}"',
        f'peer_bind = "{peers[name]}"',
    ]
    for other in api:
        if other != name:
            endpoint = f'endpoint = "{peers[other]}"'
            lines += ["[[peers]]", f'host_name = "{other}"', f'zone = "{zones[other]}"', endpoint]
    every_zone = sorted({zone for one in plan.types for zone in one.zones} | set(plan.zones))
    lines += [
        "[outside]",
        f'state = "{service_address(network, STATE_PORT)}"',
        f'cloud = "{service_address(network, CLOUD_PORT)}"',
        "[facts]",
        f"initial_size = {plan.controllers}",
        f"zones = {msgspec.json.encode(every_zone).decode()}",
    ]
    for team in plan.teams:
        lines += ["[[facts.teams]]", f'name = "{team.name}"', f"cpus = {team.cpus}", f"cpus_max = {team.cpus_max}"]
    lines += [
        "[facts.workers]",
        f"report_s = {facts.report_s}",
        f"lease_s = {facts.lease_s}",
        f"gang_wait_s = {facts.gang_wait_s}",
        f"gang_peer_s = {facts.gang_peer_s}",
        f"cancel_s = {facts.cancel_s}",
        "[facts.state]",
        f"rps = {state.rps}",
        f"write_rps = {state.write_rps}",
        f"value_kb = {state.value_kb}",
        f"txn_ops = {state.txn_ops}",
        "[facts.cloud]",
        f"rps = {cloud.rps}",
        f"list_lag_s = {cloud.list_lag_s}",
        "[facts.machine_limits]",
        f"cpu = {limits.cpu}",
        f"mem_mb = {limits.mem_mb}",
        f"fd_limit = {limits.sockets}",
    ]
    return "\n".join(lines) + "\n"


class Run:
    """One run of a plan; `play` returns its summary."""

    def __init__(
        self, plan: Plan, directory: Path, progress: Callable[[float, str], None], profile: bool = False
    ) -> None:
        """`profile`: controllers run under the interpreter's profiler, which slows them."""
        self._plan = plan
        self._profile = profile
        self._directory = directory
        self._progress = progress
        self._processes: dict[str, Process] = {}
        self._ready: set[str] = set()
        self._leader: str | None = None
        self._hub = bus.Hub(self._heard)
        self._recorder = Recorder(directory, "run")
        self._intervals = (directory / "intervals.jsonl").open("ab")
        self._failure: RunError | None = None
        self._began = 0.0
        self._network = free_network()
        self._api = {
            name: Address(controller_address(self._network, number, API_PORT))
            for number, name in enumerate(plan.controller_names())
        }
        self._claim = socket.create_server((f"127.{self._network}.255.254", WORKER_PORT))
        """Tells other runs that the network is taken."""

    def play(self) -> dict[str, Any]:
        """Raises RunError; whatever happens, nothing that was started goes on."""
        # A reactor of its own that stops on Ctrl-C as well.
        reactor.callWhenRunning(self._start)
        try:
            reactor.run()
        finally:
            self._end_all()
            self._claim.close()
            self._recorder.flush()
            self._intervals.close()
        if self._failure is not None:
            raise self._failure
        if not self._began:
            raise RunError("ended before it had begun")
        return sum_up(self._plan, self._directory, self._began)

    def _give_up(self, why: str) -> None:
        self._failure = self._failure or RunError(why)
        if reactor.running:
            reactor.stop()

    # Starting

    def _start(self) -> None:
        port = reactor.listenTCP(0, self._hub, interface="127.0.0.1")
        setup = Setup(
            self._plan,
            str(self._directory),
            port.getHost().port,
            self._api,
            self._network,
        )
        (self._directory / "setup.json").write_bytes(msgspec.json.encode(setup))
        (self._directory / "operator.xml").write_text(
            f"<meadowcross><relays>{self._plan.relays}</relays></meadowcross>\n", encoding="utf-8"
        )
        for role, count in (("state", 1), ("cloud", 1), ("hollow", self._plan.hollow_processes)):
            for number in range(count):
                self._start_child(role, number)
        self._wait_until = time.monotonic() + START_WITHIN_S
        reactor.callLater(0.1, self._await_services)

    def _start_child(self, role: str, number: int) -> None:
        path = str(self._directory / "setup.json")
        command = [sys.executable, "-m", "loadtest.child", role, str(number), path]
        self._processes[f"{role}{number}"] = Process(f"{role}{number}", command, self._directory)

    def _await_services(self) -> None:
        if len(self._ready) < len(self._processes):
            if time.monotonic() > self._wait_until or not all(one.alive() for one in self._processes.values()):
                self._give_up("not all processes came up; see their logs")
            else:
                reactor.callLater(0.1, self._await_services)
            return
        for name in self._plan.controller_names():
            self._start_controller(name)
        reactor.callLater(0.1, self._await_leader)

    def _start_controller(self, name: str) -> None:
        path = self._directory / f"{name}.toml"
        path.write_text(settings_toml(self._plan, name, self._network), encoding="utf-8")
        operator = str(self._directory / "operator.xml")
        profiler = ["-m", "cProfile", "-o", str(self._directory / f"{name}.profile")] if self._profile else []
        command = [sys.executable, *profiler, "run.py", "--config", str(path), "--operator-settings", operator]
        self._processes[name] = Process(name, command, self._directory, self._plan.limits.sockets)

    def _await_leader(self) -> None:
        if self._leader is None:
            if time.monotonic() > self._wait_until:
                self._give_up("no controller leads; see their logs")
            else:
                reactor.callLater(0.1, self._await_leader)
            return
        self._began = time.time()
        self._start_child("users", 0)
        for fault in self._plan.faults:
            reactor.callLater(fault.at_s, self._strike, fault)
        LoopingCall(self._sample).start(self._plan.interval_s)
        reactor.callLater(self._plan.duration_s, self._finish)

    # While it plays

    def _heard(self, message: bus.Message) -> None:
        if isinstance(message, bus.Ready):
            self._ready.add(message.name)
        elif isinstance(message, bus.Leads):
            self._leader = message.node

    def _sample(self) -> None:
        usages = [usage for one in self._processes.values() if (usage := one.usage()) is not None]
        at_s = time.time() - self._began
        self._intervals.write(msgspec.json.encode(Interval(round(at_s, 2), self._leader, usages)) + b"\n")
        self._intervals.flush()
        self._progress(at_s, f"leader {self._leader}")
        if sum(usage.memory_mb for usage in usages) * 2**20 > MOST_MEMORY_BYTES:
            self._give_up("over 12 GiB of memory")

    def _strike(self, fault: Fault) -> None:
        match fault.kind:
            case "controller_kill":
                self._kill(fault)
            case "hollow_stop":
                process = self._processes[f"hollow{fault.number}"]
                process.signal(signal.SIGSTOP)
                reactor.callLater(fault.for_s, process.signal, signal.SIGCONT)
            case "rack_gone":
                self._hub.tell(bus.RackGone(fault.number, fault.for_s))
            case "store_outage":
                self._trouble(bus.StoreTrouble(outage=True), fault.for_s)
            case "store_slow":
                self._trouble(bus.StoreTrouble(slow=fault.factor), fault.for_s)

    def _trouble(self, trouble: bus.StoreTrouble, for_s: float) -> None:
        self._hub.tell(trouble)
        reactor.callLater(for_s, self._hub.tell, bus.StoreTrouble())

    def _kill(self, fault: Fault) -> None:
        name: str | None = fault.node
        if fault.node == "leader":
            name = self._leader
        elif fault.node == "relay":
            name = next((one for one in self._plan.controller_names() if one != self._leader), None)
        if name is None:
            return
        self._recorder.write(Killed(time.time(), name, name == self._leader))
        self._processes[name].end()
        reactor.callLater(fault.back_s, self._start_controller, name)

    # The end

    def _finish(self) -> None:
        self._hub.tell(bus.Finish())
        reactor.callLater(1.0, reactor.stop)

    def _end_all(self) -> None:
        deadline = time.monotonic() + END_WITHIN_S
        for name, process in self._processes.items():
            if name not in self._api:
                # Told to finish; whoever stands still is not waited for long.
                process.wait(max(0.0, deadline - time.monotonic()) if self._failure is None else 0.0)
            elif self._profile:
                # Told to stop, a controller ends by itself, and its profile is written.
                process.signal(signal.SIGTERM)
                process.wait(END_WITHIN_S)
            process.end()
