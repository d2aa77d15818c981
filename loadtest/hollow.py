"""A hollow process: simulates hundreds of workers with the whole protocol, whose tasks only wait."""

from __future__ import annotations

from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram

from loadtest import bus
from loadtest.events import Commanded, LeaseEnded, Recorder, TaskOff, TaskOn, TokenSeen
from loadtest.hosts import Host, RealTime
from meadowcross.common.http import ClientResponse, HttpClient
from meadowcross.common.types import Address
from simulation.machines import Machine, SharedState, UploadedJob
from simulation.scenario import Workers

OK = 200
MAX_RESPONSE_MS = 60_000
SIGNIFICANT_DIGITS = 2
"""Longest response time that the histogram holds, and its precision."""


class Traffic:
    """Requests, bytes and response times in milliseconds of all workers of a process."""

    def __init__(self) -> None:
        self.answers = HdrHistogram(1, MAX_RESPONSE_MS, SIGNIFICANT_DIGITS)
        self.reports = self.unanswered = self.sent_bytes = self.received_bytes = self.commands = 0


class TimedClient(HttpClient):
    """A worker's HTTP client that counts its requests, their bytes and their response times."""

    def __init__(self, reactor: Any, traffic: Traffic) -> None:
        super().__init__(reactor)
        self._seconds = reactor.seconds
        self._traffic = traffic

    async def call(
        self, method: str, address: Address, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> ClientResponse:
        """Send a request; raises ConnectionFailedError or NoResponseError as HttpClient does."""
        traffic, started_at = self._traffic, self._seconds()
        traffic.reports += 1
        traffic.sent_bytes += len(body or b"")
        try:
            response = await super().call(method, address, path, body, timeout)
        except Exception:
            traffic.unanswered += 1
            raise
        if response.status != OK:
            # The worker goes to another node and, by the protocol, keeps no connection to this one.
            self._pool.closeCachedConnections()
        traffic.received_bytes += len(response.body)
        traffic.answers.record_value(max(1, min(MAX_RESPONSE_MS, round(1000 * (self._seconds() - started_at)))))
        return response


class TaskEventWriter:
    """Receives the observations of machines in place of a judge, and writes them as events."""

    def __init__(self, seconds: Any, recorder: Recorder) -> None:
        self._seconds = seconds
        self._recorder = recorder

    def task_on(self, job: str, number: int, machine: str, type_: str, zone: str, spot: bool) -> None:
        """Write that a task starts on a machine."""
        self._recorder.write(TaskOn(self._seconds(), job, number, machine, type_, zone, spot))

    def task_off(self, job: str, number: int, machine: str, reason: str) -> None:
        """Write that a task left a machine."""
        self._recorder.write(TaskOff(self._seconds(), job, number, machine, reason))


class HollowWorker(Machine):
    """A simulated worker that writes an event for each ended lease and each higher token."""

    def __init__(
        self, shared: SharedState, machine: dict[str, Any], host: Any, recorder: Recorder, traffic: Traffic
    ) -> None:
        super().__init__(shared, machine, host)
        self._client = TimedClient(host, traffic)
        self._recorder = recorder
        self._traffic = traffic

    def stop(self, reason: str) -> None:
        """End all tasks; the reason `lease` is recorded."""
        if reason == "lease":
            self._recorder.write(LeaseEnded(self.now, self.machine["id"]))
        super().stop(reason)

    def _on_token_seen(self, token: int) -> None:
        if token > self.token:
            self._recorder.write(TokenSeen(self.now, self.machine["id"], token))
        super()._on_token_seen(token)

    def _commanded(self, request: dict[str, Any], late: bool) -> Any:
        self._traffic.commands += 1
        return super()._commanded(request, late)


class HollowProcess:
    """All workers of one hollow process; `rack_workers` machines with consecutive numbers form a rack."""

    def __init__(
        self,
        reactor: Any,
        number: int,
        seed: int,
        facts: Workers,
        nodes: dict[str, Address],
        rack_workers: int,
        recorder: Recorder,
    ) -> None:
        self._reactor = reactor
        self._number = number
        self._rack_workers = rack_workers
        self._recorder = recorder
        self._simulation = RealTime(reactor, seed * 1_000 + number)
        task_events: Any = TaskEventWriter(reactor.seconds, recorder)
        simulation: Any = self._simulation
        self.shared = SharedState(simulation, task_events, facts, nodes)
        self.shared.on_start_commands = self._on_start_commands
        self.workers: dict[str, tuple[HollowWorker, Host]] = {}
        self.traffic = Traffic()
        self._tokens: set[int] = set()

    def on_message(self, message: bus.Message) -> None:
        """Handle messages about machines, jobs and racks."""
        if isinstance(message, bus.MachineUp) and message.hollow == self._number:
            self._start_worker(message.machine)
        elif isinstance(message, bus.MachineGone) and message.name in self.workers:
            self._remove_worker(message.name)
        elif isinstance(message, bus.JobUploaded):
            random = Random(message.spec["id"])
            run_s = [message.run_s * random.uniform(0.7, 1.3) for _ in range(message.spec["heads"])]
            self.shared.uploaded_jobs[message.spec["id"]] = UploadedJob(message.spec, run_s)
        elif isinstance(message, bus.RackGone):
            self._disconnect_rack(message)

    def _on_start_commands(self, token: int) -> None:
        if token not in self._tokens:
            self._tokens.add(token)
            self._recorder.write(Commanded(self._reactor.seconds(), token))

    def _start_worker(self, machine: dict[str, Any]) -> None:
        host = Host(self._reactor, self._simulation, machine["addr"].rpartition(":")[0])
        worker = HollowWorker(self.shared, machine, host, self._recorder, self.traffic)
        self.workers[machine["id"]] = (worker, host)
        worker.start()

    def _remove_worker(self, name: str) -> None:
        worker, host = self.workers.pop(name)
        worker.stop("deleted")
        worker.mute = worker.deaf = True
        worker.is_gone = True
        host.close()

    def _disconnect_rack(self, message: bus.RackGone) -> None:
        for name, (worker, _) in self.workers.items():
            if machine_number(name) // self._rack_workers == message.rack:
                worker.mute = worker.deaf = True
                self._reactor.callLater(message.for_s, self._reconnect_worker, name)

    def _reconnect_worker(self, name: str) -> None:
        if name in self.workers:
            worker, _ = self.workers[name]
            worker.mute = worker.deaf = False


def machine_number(name: str) -> int:
    """The number in a machine's id; machines are numbered in the order of their creation."""
    return int(name.removeprefix("i-"))
