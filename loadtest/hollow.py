"""A hollow process: hundreds of workers of the protocol, whose tasks only take time."""

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
LONGEST_MS = 60_000
DIGITS = 2


class Traffic:
    """Of all workers of a process: their reports' answer times in milliseconds, and bytes."""

    def __init__(self) -> None:
        self.answers = HdrHistogram(1, LONGEST_MS, DIGITS)
        self.reports = self.unanswered = self.sent_bytes = self.received_bytes = self.commands = 0


class TimedClient(HttpClient):
    """A worker's client that notes what its requests take."""

    def __init__(self, reactor: Any, traffic: Traffic) -> None:
        super().__init__(reactor)
        self._seconds = reactor.seconds
        self._traffic = traffic

    async def call(
        self, method: str, address: Address, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> ClientResponse:
        traffic, began = self._traffic, self._seconds()
        traffic.reports += 1
        traffic.sent_bytes += len(body or b"")
        try:
            reply = await super().call(method, address, path, body, timeout)
        except Exception:
            traffic.unanswered += 1
            raise
        if reply.status != OK:
            # It goes to another node, and keeps no connection to this one (the protocol).
            self._pool.closeCachedConnections()
        traffic.received_bytes += len(reply.body)
        traffic.answers.record_value(max(1, min(LONGEST_MS, round(1000 * (self._seconds() - began)))))
        return reply


class Histories:
    """Stands for the lab's judge towards machines: what they tell is written down."""

    def __init__(self, seconds: Any, recorder: Recorder) -> None:
        self._seconds = seconds
        self._recorder = recorder

    def task_on(self, job: str, number: int, machine: str, type_: str, zone: str, spot: bool) -> None:
        self._recorder.write(TaskOn(self._seconds(), job, number, machine, type_, zone, spot))

    def task_off(self, job: str, number: int, machine: str, why: str) -> None:
        self._recorder.write(TaskOff(self._seconds(), job, number, machine, why))


class HollowWorker(Machine):
    """The lab's worker, with a note of each lease that ends and each token that it learns."""

    def __init__(
        self, world: SharedState, machine: dict[str, Any], host: Any, recorder: Recorder, traffic: Traffic
    ) -> None:
        super().__init__(world, machine, host)
        self._client = TimedClient(host, traffic)
        self._recorder = recorder
        self._traffic = traffic

    def stop(self, why: str) -> None:
        if why == "lease":
            self._recorder.write(LeaseEnded(self.now, self.machine["id"]))
        super().stop(why)

    def _on_token_seen(self, token: int) -> None:
        if token > self.token:
            self._recorder.write(TokenSeen(self.now, self.machine["id"], token))
        super()._on_token_seen(token)

    def _commanded(self, request: dict[str, Any], late: bool) -> Any:
        self._traffic.commands += 1
        return super()._commanded(request, late)


class HollowProcess:
    """All workers of one process."""

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
        histories: Any = Histories(reactor.seconds, recorder)
        simulation: Any = self._simulation
        self.world = SharedState(simulation, histories, facts, nodes)
        self.world.on_start_commands = self._started
        self.workers: dict[str, tuple[HollowWorker, Host]] = {}
        self.traffic = Traffic()
        self._tokens: set[int] = set()

    def heard(self, message: bus.Message) -> None:
        """Takes what concerns workers."""
        if isinstance(message, bus.MachineUp) and message.hollow == self._number:
            self._up(message.machine)
        elif isinstance(message, bus.MachineGone) and message.name in self.workers:
            self._gone(message.name)
        elif isinstance(message, bus.JobUploaded):
            luck = Random(message.spec["id"])
            run_s = [message.run_s * luck.uniform(0.7, 1.3) for _ in range(message.spec["heads"])]
            self.world.uploaded_jobs[message.spec["id"]] = UploadedJob(message.spec, run_s)
        elif isinstance(message, bus.RackGone):
            self._rack_gone(message)

    def _started(self, token: int) -> None:
        if token not in self._tokens:
            self._tokens.add(token)
            self._recorder.write(Commanded(self._reactor.seconds(), token))

    def _up(self, machine: dict[str, Any]) -> None:
        host = Host(self._reactor, self._simulation, machine["addr"].rpartition(":")[0])
        worker = HollowWorker(self.world, machine, host, self._recorder, self.traffic)
        self.workers[machine["id"]] = (worker, host)
        worker.start()

    def _gone(self, name: str) -> None:
        worker, host = self.workers.pop(name)
        worker.stop("deleted")
        worker.mute = worker.deaf = True
        worker.is_gone = True
        host.close()

    def _rack_gone(self, message: bus.RackGone) -> None:
        for name, (worker, _) in self.workers.items():
            if machine_number(name) // self._rack_workers == message.rack:
                worker.mute = worker.deaf = True
                self._reactor.callLater(message.for_s, self._rack_back, name)

    def _rack_back(self, name: str) -> None:
        if name in self.workers:
            worker, _ = self.workers[name]
            worker.mute = worker.deaf = False


def machine_number(name: str) -> int:
    """Machines are numbered in the order of their rentals."""
    return int(name.removeprefix("i-"))
