"""The state service and the cloud of a run: the simulated services on a real reactor, each in its own process."""

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
    """The state service; it announces each new leader on the bus."""

    def __init__(self, host: Host, settings: State, recorder: Recorder, send: Callable[[bus.Message], None]) -> None:
        self._host = host
        self._recorder = recorder
        self._send = send
        reactor: Any = host
        self.store = SimulatedStore(reactor, settings)
        self.store.on_written = self._on_written

    def _on_written(self, caller: str, request: dict[str, Any]) -> bool:
        for write in request["writes"]:
            if write.get("write") == LEADER_KEY:
                node, token = write["data"]["node"], self.store.service.keys[LEADER_KEY]["mark"]
                self._recorder.write(LeaderSet(self._host.seconds(), node, token))
                self._send(bus.Leads(node, token))
        return True

    def on_message(self, message: bus.Message) -> None:
        """Apply faults of the state service."""
        if isinstance(message, bus.StoreTrouble):
            self.store.service.outage = message.outage
            self.store.slowdown = message.slow


class CloudProcess(SimulatedCloud):
    """The cloud; its machines are distributed over the hollow processes in turn."""

    def __init__(
        self,
        host: Host,
        settings: Cloud,
        types: list[Type],
        fetch_gb_per_s: float,
        hollow_processes: int,
        max_machines: int,
        network: int,
        recorder: Recorder,
        send: Callable[[bus.Message], None],
    ) -> None:
        """`max_machines` limits the number of machines, whatever their types allow."""
        reactor: Any = host
        super().__init__(reactor, settings, types, fetch_gb_per_s)
        self._max_machines = max_machines
        self._network = network
        self._host = host
        self._hollow_processes = hollow_processes
        self._recorder = recorder
        self._send = send
        self._created_machines: dict[str, dict[str, Any]] = {}
        """All machines that were ever created: the list shows them for a while after their deletion."""
        self.on_rent, self.on_delete = self._on_created, self._on_deleted

    def grant_count(self, request: dict[str, Any]) -> int:
        """How many of the requested machines are within all limits."""
        return min(super().grant_count(request), max(0, self._max_machines - len(self.machines)))

    def _on_created(self, machine: dict[str, Any]) -> None:
        machine["addr"] = worker_address(self._network, machine_number(machine["id"]))
        self.record_created(machine)
        self._created_machines[machine["id"]] = machine
        machine_type = self._types_by_name[machine["build"]]
        random = self._host.simulation.random
        if random.random() >= machine_type.boot_fail:
            self._host.callLater(machine_type.boot_s * random.uniform(0.6, 1.5), self._on_booted, machine)

    def _on_booted(self, machine: dict[str, Any]) -> None:
        if machine["id"] in self.machines:
            self._send(bus.MachineUp(machine, machine_number(machine["id"]) % self._hollow_processes))

    def _on_deleted(self, name: str) -> None:
        self._recorder.write(Deleted(self._host.seconds(), name))
        self._send(bus.MachineGone(name))
        self.record_deleted(self._created_machines[name])
