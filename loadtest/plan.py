"""A plan of a scale run, read from TOML and checked field by field before anything is started."""

from __future__ import annotations

import tomllib
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field
from msgspec.structs import replace

from simulation.fields import Amount, Count, Name, Seconds, Share, Span
from simulation.scenario import Cloud, State, Team, Type, Workers

MOST_PROCESSES = 100
SERVICES = 4
"""Processes beside controllers and hollow ones: the run itself, state service, cloud, users."""


class PlanError(Exception):
    """File, field and what was expected."""


class Load(Struct, forbid_unknown_fields=True):
    """Jobs of one class, arriving at a rate, each with half to one and a half times `tasks` tasks."""

    job_class: Name = field(name="class")
    team: Name
    rate: Annotated[float, Meta(gt=0, le=1000)]
    """Jobs a second."""
    tasks: Count = 10
    run_s: Span = 20.0
    priority: Literal["critical", "urgent", "normal", "idle"] = "normal"
    cpus: Amount = 1.0
    memory_gb: Amount = 1.0
    image_gb: Amount = 0.2
    images: Count = 4
    initial: Annotated[int, Meta(ge=0, le=100_000)] = 0
    """Jobs that wait at the start."""
    deadline_s: Span | None = None
    cancelled: Share = 0.0
    """The share whose users cancel them, while they run."""


class Fault(Struct, forbid_unknown_fields=True):
    """One trouble at a set time."""

    kind: Literal["controller_kill", "hollow_stop", "rack_gone", "store_outage", "store_slow"]
    at_s: Seconds
    node: str = "leader"
    """Of `controller_kill`: a controller's name, `leader`, or `relay`, any that does not lead."""
    back_s: Span = 6.0
    """Of `controller_kill`: when it is started again."""
    for_s: Span = 10.0
    number: Annotated[int, Meta(ge=0, le=10_000)] = 0
    """Of `hollow_stop` the process, of `rack_gone` the rack."""
    factor: Annotated[float, Meta(ge=1, le=1000)] = 10.0
    """Of `store_slow`."""


class Limits(Struct, forbid_unknown_fields=True):
    """What a controller may use; sockets are enforced, the others are told to it."""

    cpu: Annotated[float, Meta(gt=0, le=64)] = 1.0
    mem_mb: Annotated[float, Meta(gt=0, le=65536)] = 512.0
    sockets: Annotated[int, Meta(ge=64, le=100_000)] = 2_256


class Plan(Struct, forbid_unknown_fields=True):
    name: Name
    duration_s: Span
    workers: Count
    """At most so many machines at a time, whatever their types allow."""
    hollow_processes: Annotated[int, Meta(ge=1, le=MOST_PROCESSES)]
    loads: Annotated[list[Load], Meta(min_length=1)]
    types: Annotated[list[Type], Meta(min_length=1)]
    teams: Annotated[list[Team], Meta(min_length=1)]
    controllers: Annotated[int, Meta(ge=1, le=7)] = 3
    zones: Annotated[list[Name], Meta(min_length=1)] = field(default_factory=lambda: ["east", "west"])
    seed: Annotated[int, Meta(ge=0)] = 1
    interval_s: Span = 2.0
    drain_s: Seconds = 20.0
    """Nothing is submitted any more in the last so many seconds."""
    rack_workers: Count = 40
    stretch: Annotated[float, Meta(ge=1, le=100)] = 1.0
    """All times take so much longer, and all rates are so much lower: where a machine can't play it in real time."""
    relays: Literal["auto", "always", "never"] = "auto"
    facts: Workers = field(default_factory=Workers)
    state: State = field(default_factory=State)
    cloud: Cloud = field(default_factory=Cloud)
    limits: Limits = field(default_factory=Limits)
    faults: list[Fault] = []

    def controller_names(self) -> list[str]:
        return [f"n{number}" for number in range(self.controllers)]


def load(path: str) -> Plan:
    """Raises PlanError."""
    try:
        with open(path, "rb") as file:
            plan = msgspec.convert(tomllib.load(file), Plan)
    except OSError as error:
        raise PlanError(f"{path}: can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise PlanError(f"{path}: {error}") from error
    return check(plan, path)


def check(plan: Plan, where: str) -> Plan:
    """What single fields can't tell. Raises PlanError."""
    processes = SERVICES + plan.controllers + plan.hollow_processes
    if processes > MOST_PROCESSES:
        raise PlanError(f"{where}: $.hollow_processes: {processes} processes in all, expected {MOST_PROCESSES} at most")
    teams = {team.name for team in plan.teams}
    for number, one in enumerate(plan.loads):
        if one.team not in teams:
            raise PlanError(
                f"{where}: $.loads[{number}].team: `{one.team}`: expected one of {', '.join(sorted(teams))}"
            )
    for number, fault in enumerate(plan.faults):
        if fault.at_s >= plan.duration_s:
            raise PlanError(f"{where}: $.faults[{number}].at_s: expected less than {plan.duration_s:g}")
        if fault.kind == "controller_kill" and fault.node not in {*plan.controller_names(), "leader", "relay"}:
            raise PlanError(f"{where}: $.faults[{number}].node: `{fault.node}`: no such controller")
        if fault.kind == "hollow_stop" and fault.number >= plan.hollow_processes:
            raise PlanError(f"{where}: $.faults[{number}].number: expected less than {plan.hollow_processes}")
    return plan


def stretched(plan: Plan) -> Plan:
    """The plan as it is played: all times longer and all rates lower by its factor."""
    factor = plan.stretch
    if factor == 1.0:
        return plan
    facts, state, cloud = plan.facts, plan.state, plan.cloud
    times = {name: getattr(facts, name) * factor for name in facts.__struct_fields__ if name.endswith("_s")}
    return replace(
        plan,
        duration_s=plan.duration_s * factor,
        drain_s=plan.drain_s * factor,
        facts=replace(facts, **{**times, "fetch_gb_per_s": facts.fetch_gb_per_s / factor}),
        state=replace(state, rps=state.rps / factor, write_rps=state.write_rps / factor),
        cloud=replace(cloud, rps=cloud.rps / factor, list_lag_s=cloud.list_lag_s * factor),
        types=[replace(one, boot_s=one.boot_s * factor) for one in plan.types],
        loads=[_slower(one, factor) for one in plan.loads],
        faults=[
            replace(one, at_s=one.at_s * factor, for_s=one.for_s * factor, back_s=one.back_s * factor)
            for one in plan.faults
        ],
    )


def _slower(one: Load, factor: float) -> Load:
    deadline = one.deadline_s * factor if one.deadline_s is not None else None
    return replace(one, rate=one.rate / factor, run_s=one.run_s * factor, deadline_s=deadline)
