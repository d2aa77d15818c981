"""Builds the state that the components of a leader's term share, and injects faults into running terms."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from twisted.internet.task import Clock

from meadowcross.autoscaling.messages import decode_machine_types, encode
from meadowcross.common.settings import OperatorSettings, Settings
from meadowcross.common.types import FencingToken, Instant, MachineId, MachineKind, Revision, WallTime, revision_of
from meadowcross.jobs.job_table import Job, JobTable, Placement
from meadowcross.jobs.messages import JobRecord, JobSpec
from meadowcross.leadership.maintenance_loop import MaintenanceLoop
from meadowcross.leadership.messages import LEADER_KEY
from meadowcross.leadership.term import LeaderTerm
from meadowcross.leadership.term_context import TermContext, TermLifecycle, TermState
from meadowcross.store.messages import Condition
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import WorkerRegistry
from simulation.standins import TYPES
from tests.support.world import SETTINGS, job


def before_each_tick(monkeypatch: pytest.MonkeyPatch, act: Callable[[LeaderTerm], None]) -> None:
    """Calls `act` with each leader's term before each tick of its maintenance loop."""
    start, tick = LeaderTerm.start, MaintenanceLoop.tick
    terms: dict[MaintenanceLoop, LeaderTerm] = {}

    def start_and_register(term: LeaderTerm) -> None:
        terms[term.maintenance_loop] = term
        start(term)

    def act_and_tick(loop: MaintenanceLoop) -> None:
        act(terms[loop])
        tick(loop)

    monkeypatch.setattr(LeaderTerm, "start", start_and_register)
    monkeypatch.setattr(MaintenanceLoop, "tick", act_and_tick)


class FakeLeadership:
    """Replaces the election of a term; records requests to step down or to transfer leadership."""

    def __init__(self) -> None:
        self.step_down_reasons: list[str] = []
        self.transfer_reasons: list[str] = []
        self.is_lease_valid = True

    def has_valid_lease(self) -> bool:
        return self.is_lease_valid

    def step_down(self, reason: str) -> None:
        self.step_down_reasons.append(reason)

    def begin_transfer(self, reason: str) -> None:
        self.transfer_reasons.append(reason)


def build_state(clock: Clock, leadership: FakeLeadership | None = None, is_loaded: bool = True) -> TermState:
    """The state of a term with fencing token 1 that begins now, without jobs and machines."""
    token = FencingToken(1)
    settings = msgspec.convert(SETTINGS, Settings)
    types = decode_machine_types(encode({"builds": TYPES})).types
    context = TermContext(
        clock,
        token,
        settings,
        OperatorSettings(),
        leadership or FakeLeadership(),
        lambda: types,
        Condition(LEADER_KEY, revision_of(token)),
        Instant(clock.seconds()),
    )
    lifecycle = TermLifecycle(context)
    lifecycle.is_loaded = is_loaded
    return TermState(context, lifecycle, JobTable(), WorkerRegistry(token))


def add_job(state: TermState, **changes: Any) -> Job:
    """Adds an open job with the default submission's fields, some of them changed."""
    record = JobRecord(msgspec.convert(job(**changes), JobSpec), WallTime(state.context.now))
    return state.job_table.add(record, Revision(1))


def add_machine(state: TermState, name: str = "i-1") -> Machine:
    """Adds a machine of the first type that has not sent a heartbeat yet."""
    machine_type = state.context.list_machine_types()[0]
    kind = MachineKind(machine_type.name, "east", False)
    return state.worker_registry.add(Machine(MachineId(name), kind, machine_type, state.context.now))


def place_task(state: TermState, job: Job, machine: Machine) -> Placement:
    """Places the job's next waiting task on the machine; the placement is not stored."""
    placement = state.job_table.place(job, job.pop_waiting_task(), machine.id, state.context.now)
    state.worker_registry.assign(machine, placement, job.spec)
    return placement
