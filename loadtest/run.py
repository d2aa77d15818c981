"""Runs a plan: starts its processes, injects its faults, samples the usage of each process, and ends all processes."""

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
from loadtest.verdict import summarize_run
from meadowcross.common.types import Address

reactor: Any = _reactor
ROOT = Path(__file__).resolve().parent.parent
MAX_MEMORY_BYTES = 12 * 2**30
START_TIMEOUT_S = 30.0
END_TIMEOUT_S = 5.0


class Usage(Struct):
    """Usage of one process: processor time within an interval, memory and sockets at its end."""

    name: str
    processor: float
    """Share of one core."""
    memory_mb: float
    sockets: int


class Interval(Struct):
    """One line of `intervals.jsonl`."""

    at_s: float
    leader: str | None
    processes: list[Usage]


class RunError(Exception):
    """A run was aborted; the message says why."""


class Process:
    """One process that this run started; the run ends only such processes.

    `sockets`: the limit on its file descriptors; None: no limit.
    """

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
        self._sampled_at = time.monotonic()
        self._used_s = 0.0
        self._process_info: psutil.Process | None = psutil.Process(self._popen.pid)

    def is_alive(self) -> bool:
        """Whether the process still runs."""
        return self._popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.is_alive():
            self._popen.send_signal(number)

    def end(self) -> None:
        """Kill the process, also a stopped one, and wait for its end."""
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def wait(self, seconds: float) -> None:
        """Wait for the process's end for at most this time."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            self._popen.wait(seconds)

    def usage(self) -> Usage | None:
        """The usage since the last call; None once the process has ended."""
        if self._process_info is None or not self.is_alive():
            return None
        try:
            with self._process_info.oneshot():
                times = self._process_info.cpu_times()
                memory, sockets = self._process_info.memory_info().rss, self._process_info.num_fds()
        except psutil.Error:
            return None
        now, used_s = time.monotonic(), times.user + times.system
        share = (used_s - self._used_s) / max(1e-3, now - self._sampled_at)
        self._sampled_at, self._used_s = now, used_s
        return Usage(self.name, round(share, 3), round(memory / 2**20, 1), sockets)


def settings_toml(plan: Plan, name: str, network: int) -> str:
    """The text of a controller's settings file, in the form in which the platform writes it."""
    names = plan.controller_names()
    zones = {node: plan.zones[number % len(plan.zones)] for number, node in enumerate(names)}
    api = {node: controller_address(network, number, API_PORT) for number, node in enumerate(names)}
    peers = {node: controller_address(network, number, PEER_PORT) for number, node in enumerate(names)}
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
    every_zone = sorted({zone for machine_type in plan.types for zone in machine_type.zones} | set(plan.zones))
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
    """One run of a plan."""

    def __init__(
        self, plan: Plan, directory: Path, progress: Callable[[float, str], None], profile: bool = False
    ) -> None:
        """`progress` is called with the elapsed seconds and a text; `profile`: controllers run under a profiler."""
        self._plan = plan
        self._profile = profile
        self._directory = directory
        self._progress = progress
        self._processes: dict[str, Process] = {}
        self._ready: set[str] = set()
        self._leader: str | None = None
        self._hub = bus.Hub(self._on_message)
        self._recorder = Recorder(directory, "run")
        self._intervals = (directory / "intervals.jsonl").open("ab")
        self._failure: RunError | None = None
        self._started_at = 0.0
        self._network = free_network()
        self._api = {
            name: Address(controller_address(self._network, number, API_PORT))
            for number, name in enumerate(plan.controller_names())
        }
        self._network_claim = socket.create_server((f"127.{self._network}.255.254", WORKER_PORT))
        """A listening socket that marks the network as used."""

    def play(self) -> dict[str, Any]:
        """Run the plan and return its summary; raises RunError. In any case all started processes are ended."""
        # The reactor stops on Ctrl-C as well.
        reactor.callWhenRunning(self._start)
        try:
            reactor.run()
        finally:
            self._end_processes()
            self._network_claim.close()
            self._recorder.flush()
            self._intervals.close()
        if self._failure is not None:
            raise self._failure
        if not self._started_at:
            raise RunError("ended before it had begun")
        return summarize_run(self._plan, self._directory, self._started_at)

    def _abort(self, reason: str) -> None:
        self._failure = self._failure or RunError(reason)
        if reactor.running:
            reactor.stop()

    # Start

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
        self._start_deadline = time.monotonic() + START_TIMEOUT_S
        reactor.callLater(0.1, self._await_services)

    def _start_child(self, role: str, number: int) -> None:
        path = str(self._directory / "setup.json")
        command = [sys.executable, "-m", "loadtest.child", role, str(number), path]
        self._processes[f"{role}{number}"] = Process(f"{role}{number}", command, self._directory)

    def _await_services(self) -> None:
        if len(self._ready) < len(self._processes):
            if time.monotonic() > self._start_deadline or not all(
                process.is_alive() for process in self._processes.values()
            ):
                self._abort("not all processes came up; see their logs")
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
            if time.monotonic() > self._start_deadline:
                self._abort("no controller leads; see their logs")
            else:
                reactor.callLater(0.1, self._await_leader)
            return
        self._started_at = time.time()
        self._start_child("users", 0)
        for fault in self._plan.faults:
            reactor.callLater(fault.at_s, self._inject_fault, fault)
        LoopingCall(self._sample).start(self._plan.interval_s)
        reactor.callLater(self._plan.duration_s, self._finish)

    # During the run

    def _on_message(self, message: bus.Message) -> None:
        if isinstance(message, bus.Ready):
            self._ready.add(message.name)
        elif isinstance(message, bus.Leads):
            self._leader = message.node

    def _sample(self) -> None:
        usages = [usage for process in self._processes.values() if (usage := process.usage()) is not None]
        at_s = time.time() - self._started_at
        self._intervals.write(msgspec.json.encode(Interval(round(at_s, 2), self._leader, usages)) + b"\n")
        self._intervals.flush()
        self._progress(at_s, f"leader {self._leader}")
        if sum(usage.memory_mb for usage in usages) * 2**20 > MAX_MEMORY_BYTES:
            self._abort("over 12 GiB of memory")

    def _inject_fault(self, fault: Fault) -> None:
        match fault.kind:
            case "controller_kill":
                self._kill_controller(fault)
            case "hollow_stop":
                process = self._processes[f"hollow{fault.number}"]
                process.signal(signal.SIGSTOP)
                reactor.callLater(fault.for_s, process.signal, signal.SIGCONT)
            case "rack_gone":
                self._hub.broadcast(bus.RackGone(fault.number, fault.for_s))
            case "store_outage":
                self._set_store_fault(bus.StoreTrouble(outage=True), fault.for_s)
            case "store_slow":
                self._set_store_fault(bus.StoreTrouble(slow=fault.factor), fault.for_s)

    def _set_store_fault(self, store_fault: bus.StoreTrouble, for_s: float) -> None:
        self._hub.broadcast(store_fault)
        reactor.callLater(for_s, self._hub.broadcast, bus.StoreTrouble())

    def _kill_controller(self, fault: Fault) -> None:
        name: str | None = fault.node
        if fault.node == "leader":
            name = self._leader
        elif fault.node == "relay":
            name = next((node for node in self._plan.controller_names() if node != self._leader), None)
        if name is None:
            return
        self._recorder.write(Killed(time.time(), name, name == self._leader))
        self._processes[name].end()
        reactor.callLater(fault.back_s, self._start_controller, name)

    # End

    def _finish(self) -> None:
        self._hub.broadcast(bus.Finish())
        reactor.callLater(1.0, reactor.stop)

    def _end_processes(self) -> None:
        deadline = time.monotonic() + END_TIMEOUT_S
        for name, process in self._processes.items():
            if name not in self._api:
                # The process was asked to exit; the wait is short, because it may be stopped.
                process.wait(max(0.0, deadline - time.monotonic()) if self._failure is None else 0.0)
            elif self._profile:
                # On SIGTERM a controller exits by itself and its profile is written.
                process.signal(signal.SIGTERM)
                process.wait(END_TIMEOUT_S)
            process.end()
