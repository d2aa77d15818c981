"""Which relay a worker sends its heartbeats to: rendezvous hashing with bounded loads, the worker's zone first.

An assignment is sticky: it changes only when its relay goes, is full, or is left by the worker itself. Rendezvous
hashing (Thaler and Ravishankar, 1998) moves nobody but a gone relay's own workers; the bound on loads is that of
"Consistent Hashing with Bounded Loads" (Mirrokni, Thorup and Zadimoghaddam, 2018).
"""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import NamedTuple

from meadowcross.common.types import MachineId, NodeName

LOAD_FACTOR = 1.1
"""No relay gets more than this times an equal part, as long as another has room."""


class RelayCapacity(NamedTuple):
    """A relay with a grant: where it is, and how many workers its sockets allow."""

    zone: str
    max_workers: int


def rendezvous_weight(node: NodeName, machine: MachineId) -> int:
    """The rendezvous weight; the node with the highest one is preferred."""
    return int.from_bytes(blake2b(f"{node}/{machine}".encode(), digest_size=8).digest(), "big")


class RelayAssignment:
    """The workers of each relay, as the leader knows them."""

    def __init__(self) -> None:
        self.relays: dict[NodeName, RelayCapacity] = {}
        self._relay_by_worker: dict[MachineId, NodeName] = {}
        self._workers_by_relay: dict[NodeName, set[MachineId]] = {}
        self._avoided: dict[MachineId, set[NodeName]] = {}
        """Relays that a worker was redirected to and did not stay with."""

    def relay_of(self, machine: MachineId) -> NodeName | None:
        """The worker's relay, if it has one."""
        return self._relay_by_worker.get(machine)

    def load(self, node: NodeName) -> int:
        """How many workers are assigned to a relay."""
        return len(self.workers_of(node))

    def workers_of(self, node: NodeName) -> set[MachineId]:
        """The workers assigned to a relay."""
        return self._workers_by_relay.get(node, set())

    def assign(self, machine: MachineId, node: NodeName) -> None:
        """The worker's heartbeats come through this relay."""
        self._move(machine, node)
        self._avoided.pop(machine, None)

    def forget(self, machine: MachineId) -> None:
        """The machine was deleted."""
        self._move(machine, None)
        self._avoided.pop(machine, None)

    def reset_avoidance(self) -> None:
        """Relays that did not serve a worker may be assigned to it again."""
        self._avoided.clear()

    def remove_relay(self, node: NodeName) -> list[MachineId]:
        """The relay is gone. Returns its workers; each is assigned again at its next heartbeat."""
        self.relays.pop(node, None)
        workers = sorted(self.workers_of(node))
        for machine in workers:
            self._move(machine, None)
        return workers

    def on_heartbeat(self, machine: MachineId, zone: str, via: NodeName) -> NodeName | None:
        """A heartbeat came through node `via`, a relay or the leader itself. Returns the relay to redirect the worker
        to, or None if it is to stay."""
        current = self._relay_by_worker.get(machine)
        if current == via:
            self._avoided.pop(machine, None)
            return None
        if current is not None:
            # Assigned there, it comes by another node: that relay does not serve it.
            self._avoided.setdefault(machine, set()).add(current)
        if current is not None and self._has_capacity(via):
            self._move(machine, via)
            return None
        target = self.choose_relay(machine, zone)
        if target is None and via not in self.relays:
            self._move(machine, None)
            return None
        self._move(machine, target or via)
        return target if target != via else None

    def choose_relay(self, machine: MachineId, zone: str) -> NodeName | None:
        """The relay that a worker should send its heartbeats to; None if none has room."""
        avoided = self._avoided.get(machine, set())
        load_bound = math.ceil(LOAD_FACTOR * (len(self._relay_by_worker) + 1) / max(1, len(self.relays)))
        available = [node for node in self.relays if node not in avoided and self._has_capacity(node)]
        below_bound = [node for node in available if self.load(node) < load_bound] or available
        in_zone = [node for node in below_bound if self.relays[node].zone == zone] or below_bound
        return max(in_zone, key=lambda node: rendezvous_weight(node, machine), default=None)

    def _has_capacity(self, node: NodeName) -> bool:
        capacity = self.relays.get(node)
        return capacity is not None and self.load(node) < capacity.max_workers

    def _move(self, machine: MachineId, node: NodeName | None) -> None:
        previous = self._relay_by_worker.pop(machine, None)
        if previous is not None:
            self._workers_by_relay[previous].discard(machine)
        if node is not None:
            self._relay_by_worker[machine] = node
            self._workers_by_relay.setdefault(node, set()).add(machine)
