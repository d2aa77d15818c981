"""The command `python3 -m loadtest.child ROLE NUMBER SETUP`: one process of a run, which exits with the run."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet import reactor as _reactor
from twisted.internet.task import LoopingCall

from loadtest import bus
from loadtest.events import Recorder, UserHistory
from loadtest.hollow import HollowProcess
from loadtest.hosts import Host, RealTime, service_host
from loadtest.plan import Plan
from loadtest.region import CloudProcess, StateProcess
from loadtest.submitters import Submitters
from meadowcross.common.types import Address

reactor: Any = _reactor
FLUSH_INTERVAL_S = 0.5


class Setup(Struct):
    """The configuration that a run writes to a file for its processes."""

    plan: Plan
    directory: str
    bus_port: int
    nodes: dict[str, Address]
    network: int


class Tally(Struct):
    """The counts of a process since its start, written as one JSON line per interval.

    `answers` is a histogram of response times in HdrHistogram's own encoding.
    """

    at: float
    name: str
    reports: int = 0
    unanswered: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    commands: int = 0
    workers: int = 0
    store_requests: int = 0
    store_changes: int = 0
    store_refused: int = 0
    answers: str = ""


class Child:
    """Connects the object of a role to the bus, and writes its tallies.

    The method `_ROLE` creates the object of the role `ROLE`.
    """

    def __init__(self, role: str, number: int, setup: Setup) -> None:
        self._name = f"{role}{number}"
        self._directory = Path(setup.directory)
        self._recorder = Recorder(self._directory, self._name)
        self._tallies = (self._directory / f"tally-{self._name}.jsonl").open("ab")
        self._bus_client = bus.HubClient(self._on_message, self._on_connected, self._stop)
        self._role: Any = getattr(self, f"_{role}")(number, setup)
        for interval_s, act in ((FLUSH_INTERVAL_S, self._recorder.flush), (setup.plan.interval_s, self._write_tally)):
            LoopingCall(act).start(interval_s, now=False)
        reactor.connectTCP("127.0.0.1", setup.bus_port, self._bus_client)

    def _state(self, number: int, setup: Setup) -> StateProcess:
        host = Host(reactor, RealTime(reactor, setup.plan.seed), service_host(setup.network))
        return StateProcess(host, setup.plan.state, self._recorder, self._bus_client.send)

    def _cloud(self, number: int, setup: Setup) -> CloudProcess:
        plan = setup.plan
        host = Host(reactor, RealTime(reactor, plan.seed + 1), service_host(setup.network))
        return CloudProcess(
            host,
            plan.cloud,
            plan.types,
            plan.facts.fetch_gb_per_s,
            plan.hollow_processes,
            plan.workers,
            setup.network,
            self._recorder,
            self._bus_client.send,
        )

    def _users(self, number: int, setup: Setup) -> Submitters:
        host = Host(reactor, RealTime(reactor, setup.plan.seed + 2))
        history = UserHistory(reactor.seconds, setup.plan.facts.cancel_s, self._recorder)
        return Submitters(host, setup.plan, setup.nodes, history, self._bus_client.send)

    def _hollow(self, number: int, setup: Setup) -> HollowProcess:
        plan = setup.plan
        return HollowProcess(reactor, number, plan.seed, plan.facts, setup.nodes, plan.rack_workers, self._recorder)

    def _on_connected(self) -> None:
        self._bus_client.send(bus.Ready(self._name))
        if isinstance(self._role, Submitters):
            self._role.begin()

    def _on_message(self, message: bus.Message) -> None:
        if isinstance(message, bus.Finish):
            self._write_tally()
            self._stop()
        elif isinstance(self._role, (HollowProcess, StateProcess)):
            self._role.on_message(message)

    def _stop(self) -> None:
        self._recorder.flush()
        if reactor.running:
            reactor.stop()

    def _write_tally(self) -> None:
        tally = Tally(reactor.seconds(), self._name)
        if isinstance(self._role, HollowProcess):
            traffic = self._role.traffic
            tally.reports, tally.unanswered, tally.commands = traffic.reports, traffic.unanswered, traffic.commands
            tally.sent_bytes, tally.received_bytes = traffic.sent_bytes, traffic.received_bytes
            tally.workers = len(self._role.workers)
            tally.answers = traffic.answers.encode().decode()
        elif isinstance(self._role, StateProcess):
            store = self._role.store
            tally.store_requests, tally.store_changes, tally.store_refused = (
                store.requests,
                store.written,
                store.rate_limited,
            )
        self._tallies.write(msgspec.json.encode(tally) + b"\n")
        self._tallies.flush()


def main(arguments: list[str]) -> int:
    """Run the reactor of one process until the run ends."""
    role, number, path = arguments
    Child(role, int(number), msgspec.json.decode(Path(path).read_bytes(), type=Setup))
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
