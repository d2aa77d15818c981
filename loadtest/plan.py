"""Reads plans of load tests from TOML files and validates them before anything is started."""

from __future__ import annotations

import tomllib
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field
from msgspec.structs import replace

from simulation.fields import Amount, Count, Name, Seconds, Share, Span
from simulation.scenario import Cloud, State, Team, Type, Workers

MAX_PROCESSES = 100
SERVICE_PROCESSES = 4
"""Number of processes beside controllers and hollow processes: the run itself, state service, cloud, users."""


class PlanError(Exception):
    """A plan is unusable; the message names the file, the field and the expected value."""


class Load(Struct, forbid_unknown_fields=True):
    """Jobs of one class that arrive at a rate; each has between 0.5 and 1.5 times `tasks` tasks."""

    job_class: Name = field(name="class")
    team: Name
    rate: Annotated[float, Meta(gt=0, le=1000)]
    """Jobs per second."""
    tasks: Count = 10
    run_s: Span = 20.0
    priority: Literal["critical", "urgent", "normal", "idle"] = "normal"
    cpus: Amount = 1.0
    memory_gb: Amount = 1.0
    image_gb: Amount = 0.2
    images: Count = 4
    initial: Annotated[int, Meta(ge=0, le=100_000)] = 0
    """Number of jobs that are submitted at the start."""
    deadline_s: Span | None = None
    cancelled: Share = 0.0
    """Share of the jobs that their users cancel while they run."""


class Fault(Struct, forbid_unknown_fields=True):
    """One fault at a set time."""

    kind: Literal["controller_kill", "hollow_stop", "rack_gone", "store_outage", "store_slow"]
    at_s: Seconds
    node: str = "leader"
    """For `controller_kill`: a controller's name, `leader`, or `relay` for a controller that does not lead."""
    back_s: Span = 6.0
    """For `controller_kill`: seconds until the controller is started again."""
    for_s: Span = 10.0
    number: Annotated[int, Meta(ge=0, le=10_000)] = 0
    """For `hollow_stop` the number of the process, for `rack_gone` of the rack."""
    factor: Annotated[float, Meta(ge=1, le=1000)] = 10.0
    """For `store_slow`: factor of the store's response times."""


class Limits(Struct, forbid_unknown_fields=True):
    """Limits of a controller in cores, MB and sockets; only sockets are enforced, the controller reads the others."""

    cpu: Annotated[float, Meta(gt=0, le=64)] = 1.0
    mem_mb: Annotated[float, Meta(gt=0, le=65536)] = 512.0
    sockets: Annotated[int, Meta(ge=64, le=100_000)] = 2_256


class Plan(Struct, forbid_unknown_fields=True):
    """A load test with its deployment, jobs and faults."""

    name: Name
    duration_s: Span
    workers: Count
    """Largest number of machines at a time, whatever their types allow."""
    hollow_processes: Annotated[int, Meta(ge=1, le=MAX_PROCESSES)]
    loads: Annotated[list[Load], Meta(min_length=1)]
    types: Annotated[list[Type], Meta(min_length=1)]
    teams: Annotated[list[Team], Meta(min_length=1)]
    controllers: Annotated[int, Meta(ge=1, le=7)] = 3
    zones: Annotated[list[Name], Meta(min_length=1)] = field(default_factory=lambda: ["east", "west"])
    seed: Annotated[int, Meta(ge=0)] = 1
    interval_s: Span = 2.0
    drain_s: Seconds = 20.0
    """Seconds at the end of the run in which no jobs are submitted."""
    rack_workers: Count = 40
    stretch: Annotated[float, Meta(ge=1, le=100)] = 1.0
    """Factor by which all times are longer and all rates lower, for a machine that is too slow for the plan."""
    relays: Literal["auto", "always", "never"] = "auto"
    facts: Workers = field(default_factory=Workers)
    state: State = field(default_factory=State)
    cloud: Cloud = field(default_factory=Cloud)
    limits: Limits = field(default_factory=Limits)
    faults: list[Fault] = []

    def controller_names(self) -> list[str]:
        """The names of all controllers."""
        return [f"n{number}" for number in range(self.controllers)]


def load(path: str) -> Plan:
    """Read and validate a plan; raises PlanError."""
    try:
        with open(path, "rb") as file:
            plan = msgspec.convert(tomllib.load(file), Plan)
    except OSError as error:
        raise PlanError(f"{path}: can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise PlanError(f"{path}: {error}") from error
    return check(plan, path)


def check(plan: Plan, where: str) -> Plan:
    """Validate combinations of fields; `where` is the file's name for messages. Raises PlanError."""
    processes = SERVICE_PROCESSES + plan.controllers + plan.hollow_processes
    if processes > MAX_PROCESSES:
        raise PlanError(f"{where}: $.hollow_processes: {processes} processes in all, expected {MAX_PROCESSES} at most")
    teams = {team.name for team in plan.teams}
    for number, load in enumerate(plan.loads):
        if load.team not in teams:
            raise PlanError(
                f"{where}: $.loads[{number}].team: `{load.team}`: expected one of {', '.join(sorted(teams))}"
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
    """The plan as it is run: all times are longer and all rates lower by its factor `stretch`."""
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
        types=[replace(machine_type, boot_s=machine_type.boot_s * factor) for machine_type in plan.types],
        loads=[_slow_down(load, factor) for load in plan.loads],
        faults=[
            replace(fault, at_s=fault.at_s * factor, for_s=fault.for_s * factor, back_s=fault.back_s * factor)
            for fault in plan.faults
        ],
    )


def _slow_down(load: Load, factor: float) -> Load:
    deadline_s = load.deadline_s * factor if load.deadline_s is not None else None
    return replace(load, rate=load.rate / factor, run_s=load.run_s * factor, deadline_s=deadline_s)
