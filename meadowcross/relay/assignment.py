"""Assigns workers to relays by rendezvous hashing with bounded loads, preferring relays in the worker's zone.

An assignment is sticky: it changes only when its relay fails or is full, or when the worker itself changes to another
node. With rendezvous hashing (Thaler and Ravishankar, 1998) the removal of a relay moves only the workers of that
relay; the bound on loads is that of "Consistent Hashing with Bounded Loads" (Mirrokni, Thorup and Zadimoghaddam, 2018).
"""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import NamedTuple

from meadowcross.common.types import MachineId, NodeName

LOAD_FACTOR = 1.1
"""Upper bound of a relay's load, as a multiple of the average load, while another relay has capacity left."""


class RelayCapacity(NamedTuple):
    """The zone of a relay with a grant, and the number of workers that its sockets allow."""

    zone: str
    max_workers: int


def rendezvous_weight(node: NodeName, machine: MachineId) -> int:
    """Return the rendezvous weight of a node for a machine; the node with the highest weight is preferred."""
    return int.from_bytes(blake2b(f"{node}/{machine}".encode(), digest_size=8).digest(), "big")


class RelayAssignment:
    """The leader's record of the relay that each worker is assigned to."""

    def __init__(self) -> None:
        self.relays: dict[NodeName, RelayCapacity] = {}
        self._relay_by_worker: dict[MachineId, NodeName] = {}
        self._workers_by_relay: dict[NodeName, set[MachineId]] = {}
        self._avoided: dict[MachineId, set[NodeName]] = {}
        """By worker: the relays that it was redirected to without staying there."""

    def relay_of(self, machine: MachineId) -> NodeName | None:
        """Return the relay that the worker is assigned to, or None."""
        return self._relay_by_worker.get(machine)

    def load(self, node: NodeName) -> int:
        """Return the number of workers that are assigned to a relay."""
        return len(self.workers_of(node))

    def workers_of(self, node: NodeName) -> set[MachineId]:
        """Return the workers that are assigned to a relay."""
        return self._workers_by_relay.get(node, set())

    def assign(self, machine: MachineId, node: NodeName) -> None:
        """Assign the worker to a relay that already answers its heartbeats, and clear its avoided relays."""
        self._move(machine, node)
        self._avoided.pop(machine, None)

    def remove_worker(self, machine: MachineId) -> None:
        """Remove a deleted machine's assignment and its avoided relays."""
        self._move(machine, None)
        self._avoided.pop(machine, None)

    def reset_avoidance(self) -> None:
        """Clear the avoided relays of all workers, so that each relay may be assigned to any worker again."""
        self._avoided.clear()

    def remove_relay(self, node: NodeName) -> list[MachineId]:
        """Remove a relay and return its workers, sorted; each is assigned again at its next heartbeat."""
        self.relays.pop(node, None)
        workers = sorted(self.workers_of(node))
        for machine in workers:
            self._move(machine, None)
        return workers

    def on_heartbeat(self, machine: MachineId, zone: str, via: NodeName) -> NodeName | None:
        """Update the assignment after a heartbeat that came through node `via`, a relay or the leader itself.

        Returns the relay to redirect the worker to, or None if the worker stays at `via`.
        """
        current = self._relay_by_worker.get(machine)
        if current == via:
            self._avoided.pop(machine, None)
            return None
        if current is not None:
            # The worker reached another node than its relay, so that relay does not serve it.
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
        """Return the relay that the worker should send its heartbeats to, or None if no relay has capacity left."""
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
