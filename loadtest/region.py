"""The region's services as processes of their own: the project's stand-ins on a real reactor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loadtest import bus
from loadtest.events import Deleted, LeaderSet, Recorder
from loadtest.hollow import machine_number
from loadtest.hosts import Host, worker_address
from meadowcross.leadership.messages import LEADER_KEY
from simulation.scenario import Cloud, State, Type
from simulation.services import SimulatedCloud, SimulatedStore


class StateProcess:
    """The state service, which tells of each new leader."""

    def __init__(self, host: Host, facts: State, recorder: Recorder, send: Callable[[bus.Message], None]) -> None:
        self._host = host
        self._recorder = recorder
        self._send = send
        stand_in_reactor: Any = host
        self.store = SimulatedStore(stand_in_reactor, facts)
        self.store.on_written = self._written

    def _written(self, caller: str, request: dict[str, Any]) -> bool:
        for write in request["writes"]:
            if write.get("write") == LEADER_KEY:
                node, token = write["data"]["node"], self.store.service.keys[LEADER_KEY]["mark"]
                self._recorder.write(LeaderSet(self._host.seconds(), node, token))
                self._send(bus.Leads(node, token))
        return True

    def heard(self, message: bus.Message) -> None:
        """Takes its troubles."""
        if isinstance(message, bus.StoreTrouble):
            self.store.service.outage = message.outage
            self.store.slowdown = message.slow


class CloudProcess(SimulatedCloud):
    """The cloud, whose machines are played by hollow processes in turn."""

    def __init__(
        self,
        host: Host,
        facts: Cloud,
        types: list[Type],
        fetch_gb_per_s: float,
        hollow_processes: int,
        most: int,
        network: int,
        recorder: Recorder,
        send: Callable[[bus.Message], None],
    ) -> None:
        """`most` machines there are in all, whatever their types allow; their addresses are of this network."""
        stand_in_reactor: Any = host
        super().__init__(stand_in_reactor, facts, types, fetch_gb_per_s)
        self._most = most
        self._network = network
        self._host = host
        self._hollow_processes = hollow_processes
        self._recorder = recorder
        self._send = send
        self._rentals: dict[str, dict[str, Any]] = {}
        """All that were ever rented: the list shows them for a while after they are gone."""
        self.on_rent, self.on_delete = self._rented, self._deleted

    def grant_count(self, request: dict[str, Any]) -> int:
        return min(super().grant_count(request), max(0, self._most - len(self.machines)))

    def _rented(self, machine: dict[str, Any]) -> None:
        machine["addr"] = worker_address(self._network, machine_number(machine["id"]))
        self.record_created(machine)
        self._rentals[machine["id"]] = machine
        kind = self._types_by_name[machine["build"]]
        luck = self._host.simulation.random
        if luck.random() >= kind.boot_fail:
            self._host.callLater(kind.boot_s * luck.uniform(0.6, 1.5), self._up, machine)

    def _up(self, machine: dict[str, Any]) -> None:
        if machine["id"] in self.machines:
            self._send(bus.MachineUp(machine, machine_number(machine["id"]) % self._hollow_processes))

    def _deleted(self, name: str) -> None:
        self._recorder.write(Deleted(self._host.seconds(), name))
        self._send(bus.MachineGone(name))
        self.record_deleted(self._rentals[name])
