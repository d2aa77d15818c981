"""Registers the machines of a term and stores their records."""

from __future__ import annotations

from meadowcross.autoscaling.autoscaler import Autoscaler
from meadowcross.autoscaling.messages import MachineRecord, MachineType, machine_key
from meadowcross.common.types import MachineId, MachineKind, Revision, WallTime
from meadowcross.leadership.pass_trigger import PassTrigger
from meadowcross.leadership.term_context import TermState
from meadowcross.store.group_commit import GroupCommitter, Write
from meadowcross.store.messages import Put, encode_raw
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry


class MachineRecords:
    """Registers machines and stores their records."""

    def __init__(self, state: TermState, committer: GroupCommitter, pass_trigger: PassTrigger) -> None:
        self._context = state.context
        self._worker_registry = state.worker_registry
        self._committer = committer
        self._pass_trigger = pass_trigger

    def _find_machine_type(self, name: str) -> MachineType | None:
        return next((t for t in self._context.list_machine_types() if t.name == name), None)

    def add_machine(self, machine_id: MachineId, kind: MachineKind) -> Machine:
        """Returns the machine with this id, registered if it is new. Fills in an unknown kind or type."""
        machine = self._worker_registry.machines.get(machine_id)
        if machine is None:
            machine_type = self._find_machine_type(kind.type)
            machine = self._worker_registry.add(Machine(machine_id, kind, machine_type, self._context.now))
        elif kind.type and not machine.kind.type:
            machine.kind = kind
        if machine.machine_type is None:
            machine.machine_type = self._find_machine_type(machine.kind.type)
            self._worker_registry.on_type_known(machine)
        return machine

    def store_machine(self, machine: Machine) -> None:
        """Store the machine's record: urgently if the machine is up and was never stored, as no task is placed on it
        before that, else in the background."""

        def build() -> Write | None:
            if machine.id not in self._worker_registry.machines or not machine.kind.type:
                return None
            kind = machine.kind
            record = MachineRecord(kind.type, kind.zone, kind.spot, WallTime(machine.created_at), machine.address)
            return Write([], [Put(machine_key(machine.id), encode_raw(record))], on_stored)

        def on_stored(_revision: Revision) -> None:
            machine.is_stored = True
            self._pass_trigger.schedule_pass()

        self._committer.enqueue(("machine", machine.id), build, not machine.is_stored and machine.is_up)


class MachineDecommissioner:
    """Decommissions machines by their ids."""

    def __init__(self, worker_registry: WorkerRegistry, autoscaler: Autoscaler) -> None:
        self._worker_registry = worker_registry
        self._autoscaler = autoscaler

    def decommission(self, machine_ids: list[MachineId], reason: str) -> None:
        """Decommission those of the machines that are still registered."""
        for machine_id in machine_ids:
            machine = self._worker_registry.machines.get(machine_id)
            if machine is not None:
                self._autoscaler.decommission(machine, reason)
