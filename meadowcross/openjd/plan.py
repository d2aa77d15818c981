"""Maps a ticket to a plan: one native job for each step, and the parts of the step that are preserved for the worker.

Each element of a ticket is applied as the format defines it, preserved, or rejected with a message that says what to
write instead; docs/tickets.md has the table. No element is changed silently.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any

import msgspec
from msgspec import Struct

from meadowcross.jobs import messages as job_messages
from meadowcross.openjd.site import Submitter
from meadowcross.openjd.template import TicketError, count_tasks, create_job

TICKET_TASKS_FACTOR = 10
MIB_PER_GB = 1024.0
ZONE_ATTRIBUTE, TYPE_ATTRIBUTE = "attr.meadowcross.zone", "attr.meadowcross.type"
OS_FAMILY_ATTRIBUTE, CPU_ARCHITECTURE_ATTRIBUTE = "attr.worker.os.family", "attr.worker.cpu.arch"
WORKER_ATTRIBUTES = {OS_FAMILY_ATTRIBUTE: "linux", CPU_ARCHITECTURE_ATTRIBUTE: "x86_64"}
"""Attributes that all workers have."""


class Step(Struct):
    """One step of a ticket, with the resources of its native job."""

    name: str
    tasks: int
    dependencies: list[int] = msgspec.field(name="after")
    """Indexes of the steps that must be done first."""
    cpus: float
    gpus: float
    memory_gb: float
    types: list[str] | None
    zone: str | None
    preserved: list[str] = msgspec.field(name="kept")
    """Parts of the step that are stored for a worker that can run it; the scheduler doesn't act on them."""


class Plan(Struct):
    """The plan of a whole ticket."""

    name: str
    submitter: str
    team: str
    job_class: str
    priority: str
    steps: list[Step]

    @property
    def tasks(self) -> int:
        """Number of tasks of all steps together."""
        return sum(step.tasks for step in self.steps)


def build_plan(raw: bytes, parameters: Mapping[str, str], submitter: Submitter) -> Plan:
    """Check a ticket against the submitter's limits, and plan its jobs.

    Raises TicketError, which names the field, the value and the limit.
    """
    job = create_job(raw, parameters)
    step_numbers = {step.name: number for number, step in enumerate(job.steps)}
    steps = [_plan_step(step, f"steps[{i}]", step_numbers, submitter) for i, step in enumerate(job.steps)]
    plan = Plan(job.name, submitter.name, submitter.team, submitter.job_class, submitter.priority.value, steps)
    max_tasks = TICKET_TASKS_FACTOR * submitter.max_tasks
    if plan.tasks > max_tasks:
        raise TicketError("steps", f"{plan.tasks} tasks in all; {submitter.name} may have {max_tasks}")
    return plan


def _plan_step(step: Any, field: str, step_numbers: dict[str, int], submitter: Submitter) -> Step:
    tasks = count_tasks(step, f"{field}.parameterSpace")
    if tasks < 1:
        raise TicketError(f"{field}.parameterSpace", "no tasks; at least 1")
    if tasks > submitter.max_tasks:
        raise TicketError(f"{field}.parameterSpace", f"{tasks} tasks; {submitter.name} may have {submitter.max_tasks}")
    planned_step = Step(
        step.name,
        tasks,
        [step_numbers[dependency.dependsOn] for dependency in step.dependencies or []],
        submitter.cpus,
        0.0,
        submitter.memory_gb,
        None,
        None,
        _preserved_parts(step),
    )
    requirements = step.hostRequirements
    requirements_field = f"{field}.hostRequirements"
    for i, amount in enumerate(requirements.amounts or [] if requirements is not None else []):
        _apply_amount(planned_step, amount, f"{requirements_field}.amounts[{i}]", submitter)
    for i, attribute in enumerate(requirements.attributes or [] if requirements is not None else []):
        _apply_attribute(planned_step, attribute, f"{requirements_field}.attributes[{i}]", submitter)
    return planned_step


def _preserved_parts(step: Any) -> list[str]:
    preserved = ["script"]
    if step.stepEnvironments:
        preserved.append("environments " + ", ".join(environment.name for environment in step.stepEnvironments))
    if step.script.embeddedFiles:
        preserved.append("files " + ", ".join(file.name for file in step.script.embeddedFiles))
    action = step.script.actions.onRun
    if action.timeout is not None:
        preserved.append(f"timeout {action.timeout} s")
    if action.cancelation is not None:
        preserved.append("cancelation")
    return preserved


def _apply_amount(step: Step, amount: Any, field: str, submitter: Submitter) -> None:
    """Set a resource of the step from a required amount.

    A native job gets exactly the amount that it requests, so only `min` has a meaning and `max` is rejected.
    """
    name = amount.name.lower()
    resource = {
        "amount.worker.vcpu": ("cpus", submitter.max_cpus, 1.0),
        "amount.worker.memory": ("memory_gb", submitter.max_memory_gb, MIB_PER_GB),
        "amount.worker.gpu": ("gpus", submitter.max_gpus, 1.0),
    }.get(name)
    if resource is None:
        supported_names = "amount.worker.vcpu, amount.worker.memory and amount.worker.gpu"
        raise TicketError(f"{field}.name", f"{amount.name[:60]!r} is not known here; ask for {supported_names}")
    attribute_name, limit, unit_factor = resource
    if amount.max is not None:
        raise TicketError(f"{field}.max", f"{amount.max}: a task takes what it asks for; leave max out")
    if amount.min is None:
        raise TicketError(f"{field}.min", "missing; say how much a task takes")
    requested = float(amount.min)
    if not isfinite(requested) or requested < 0 or (requested == 0 and attribute_name == "cpus"):
        raise TicketError(f"{field}.min", f"{amount.min}; expected more than 0")
    if requested / unit_factor > limit:
        raise TicketError(f"{field}.min", f"{amount.min}; {submitter.name} may have {limit * unit_factor:g}")
    setattr(step, attribute_name, requested / unit_factor)


def _apply_attribute(step: Step, attribute: Any, field: str, submitter: Submitter) -> None:
    """Set the zone or machine types of the step from a required attribute, or check what all workers have."""
    name = attribute.name.lower()
    if attribute.allOf and len(set(attribute.allOf)) > 1:
        raise TicketError(f"{field}.allOf", "several values at once; no machine has them; give one, or anyOf")
    values = list(dict.fromkeys(attribute.allOf or attribute.anyOf or []))
    if name in WORKER_ATTRIBUTES:
        if WORKER_ATTRIBUTES[name] not in [value.lower() for value in values]:
            raise TicketError(
                field, f"{attribute.name} {', '.join(values)[:80]}; workers here are {WORKER_ATTRIBUTES[name]}"
            )
    elif name == ZONE_ATTRIBUTE:
        if len(values) != 1:
            raise TicketError(field, f"{len(values)} zones; a job is bound to one zone or to none")
        _check_allowed(values, submitter.zones, field, submitter)
        step.zone = values[0]
    elif name == TYPE_ATTRIBUTE:
        _check_allowed(values, submitter.types, field, submitter)
        step.types = values
    else:
        supported_names = f"{OS_FAMILY_ATTRIBUTE}, {CPU_ARCHITECTURE_ATTRIBUTE}, {ZONE_ATTRIBUTE} and {TYPE_ATTRIBUTE}"
        raise TicketError(f"{field}.name", f"{attribute.name[:60]!r} is not known here; ask for {supported_names}")


def _check_allowed(values: list[str], allowed: list[str], field: str, submitter: Submitter) -> None:
    for value in values:
        if allowed and value not in allowed:
            raise TicketError(field, f"{value[:60]!r}; {submitter.name} may have {', '.join(allowed)}")


def build_job_spec(plan: Plan, number: int, job_id: str, submitter: Submitter) -> job_messages.JobSpec:
    """The submission of a step as an array of independent tasks, under the given job id."""
    step = plan.steps[number]
    return job_messages.JobSpec(
        id=job_id,
        job_class=submitter.job_class,
        team=submitter.team,
        kind=job_messages.JobKind.ARRAY,
        priority=submitter.priority,
        tasks=step.tasks,
        cpus=step.cpus,
        gpus=step.gpus,
        memory_gb=step.memory_gb,
        image=submitter.image,
        image_gb=submitter.image_gb,
        one_zone=False,
        spread=False,
        spot=submitter.spot,
        estimate_s=submitter.estimate_s,
        checkpoint_interval_s=0.0,
        checkpoint_save_s=0.0,
        types=step.types,
        zone=step.zone,
    )
