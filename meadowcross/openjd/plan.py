"""What a ticket becomes: native jobs, one a step, and what of the ticket is kept for the worker.

Every thing that a ticket can say is honoured as it is meant, kept, or refused with what to write
instead; docs/tickets.md has the table. Nothing is altered quietly.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import isfinite
from typing import Any

from msgspec import Struct

from meadowcross.jobs import messages as jm
from meadowcross.openjd.reading import TicketError, job_of, task_count
from meadowcross.openjd.site import Submitter

TICKET_TIMES = 10
MIB_IN_GB = 1024.0
ZONE, TYPE = "attr.meadowcross.zone", "attr.meadowcross.type"
FAMILY, ARCHITECTURE = "attr.worker.os.family", "attr.worker.cpu.arch"
HERE = {FAMILY: "linux", ARCHITECTURE: "x86_64"}
"""What the platform's workers are."""


class Step(Struct):
    """One step, as the native job that it becomes."""

    name: str
    tasks: int
    after: list[int]
    """Numbers of the steps that must be done before."""
    cpus: float
    gpus: float
    memory_gb: float
    types: list[str] | None
    zone: str | None
    kept: list[str]
    """What of the step is kept for a worker that can run it, and not acted on by the scheduler."""


class Plan(Struct):
    """A whole ticket."""

    name: str
    submitter: str
    team: str
    job_class: str
    priority: str
    steps: list[Step]

    @property
    def tasks(self) -> int:
        return sum(step.tasks for step in self.steps)


def plan_of(raw: bytes, parameters: Mapping[str, str], submitter: Submitter) -> Plan:
    """Raises TicketError: the field, the value and the bound."""
    job = job_of(raw, parameters)
    numbers = {step.name: number for number, step in enumerate(job.steps)}
    steps = [_step(step, f"steps[{i}]", numbers, submitter) for i, step in enumerate(job.steps)]
    plan = Plan(job.name, submitter.name, submitter.team, submitter.job_class, submitter.priority.value, steps)
    most = TICKET_TIMES * submitter.max_tasks
    if plan.tasks > most:
        raise TicketError("steps", f"{plan.tasks} tasks in all; {submitter.name} may have {most}")
    return plan


def _step(step: Any, field: str, numbers: dict[str, int], submitter: Submitter) -> Step:
    tasks = task_count(step, f"{field}.parameterSpace")
    if tasks < 1:
        raise TicketError(f"{field}.parameterSpace", "no tasks; at least 1")
    if tasks > submitter.max_tasks:
        raise TicketError(f"{field}.parameterSpace", f"{tasks} tasks; {submitter.name} may have {submitter.max_tasks}")
    made = Step(
        step.name,
        tasks,
        [numbers[one.dependsOn] for one in step.dependencies or []],
        submitter.cpus,
        0.0,
        submitter.memory_gb,
        None,
        None,
        _kept(step),
    )
    asked = step.hostRequirements
    where = f"{field}.hostRequirements"
    for i, amount in enumerate(asked.amounts or [] if asked is not None else []):
        _amount(made, amount, f"{where}.amounts[{i}]", submitter)
    for i, attribute in enumerate(asked.attributes or [] if asked is not None else []):
        _attribute(made, attribute, f"{where}.attributes[{i}]", submitter)
    return made


def _kept(step: Any) -> list[str]:
    kept = ["script"]
    if step.stepEnvironments:
        kept.append("environments " + ", ".join(one.name for one in step.stepEnvironments))
    if step.script.embeddedFiles:
        kept.append("files " + ", ".join(one.name for one in step.script.embeddedFiles))
    action = step.script.actions.onRun
    if action.timeout is not None:
        kept.append(f"timeout {action.timeout} s")
    if action.cancelation is not None:
        kept.append("cancelation")
    return kept


def _amount(step: Step, amount: Any, field: str, submitter: Submitter) -> None:
    """A native job takes what it asks for, no more and no less, so only `min` has a meaning."""
    name = amount.name.lower()
    known = {
        "amount.worker.vcpu": ("cpus", submitter.max_cpus, 1.0),
        "amount.worker.memory": ("memory_gb", submitter.max_memory_gb, MIB_IN_GB),
        "amount.worker.gpu": ("gpus", submitter.max_gpus, 1.0),
    }.get(name)
    if known is None:
        taken = "amount.worker.vcpu, amount.worker.memory and amount.worker.gpu"
        raise TicketError(f"{field}.name", f"{amount.name[:60]!r} is not known here; ask for {taken}")
    what, bound, unit = known
    if amount.max is not None:
        raise TicketError(f"{field}.max", f"{amount.max}: a task takes what it asks for; leave max out")
    if amount.min is None:
        raise TicketError(f"{field}.min", "missing; say how much a task takes")
    asked = float(amount.min)
    if not isfinite(asked) or asked < 0 or (asked == 0 and what == "cpus"):
        raise TicketError(f"{field}.min", f"{amount.min}; expected more than 0")
    if asked / unit > bound:
        raise TicketError(f"{field}.min", f"{amount.min}; {submitter.name} may have {bound * unit:g}")
    setattr(step, what, asked / unit)


def _attribute(step: Step, attribute: Any, field: str, submitter: Submitter) -> None:
    name = attribute.name.lower()
    if attribute.allOf and len(set(attribute.allOf)) > 1:
        raise TicketError(f"{field}.allOf", "several values at once; no machine has them; give one, or anyOf")
    values = list(dict.fromkeys(attribute.allOf or attribute.anyOf or []))
    if name in HERE:
        if HERE[name] not in [value.lower() for value in values]:
            raise TicketError(field, f"{attribute.name} {', '.join(values)[:80]}; workers here are {HERE[name]}")
    elif name == ZONE:
        if len(values) != 1:
            raise TicketError(field, f"{len(values)} zones; a job is bound to one zone or to none")
        _allowed(values, submitter.zones, field, submitter)
        step.zone = values[0]
    elif name == TYPE:
        _allowed(values, submitter.types, field, submitter)
        step.types = values
    else:
        taken = f"{FAMILY}, {ARCHITECTURE}, {ZONE} and {TYPE}"
        raise TicketError(f"{field}.name", f"{attribute.name[:60]!r} is not known here; ask for {taken}")


def _allowed(values: list[str], bound: list[str], field: str, submitter: Submitter) -> None:
    for value in values:
        if bound and value not in bound:
            raise TicketError(field, f"{value[:60]!r}; {submitter.name} may have {', '.join(bound)}")


def native(plan: Plan, number: int, job: str, submitter: Submitter) -> jm.JobSpec:
    """The step's submission under the id given: an array of independent tasks like any other."""
    step = plan.steps[number]
    return jm.JobSpec(
        id=job,
        job_class=submitter.job_class,
        team=submitter.team,
        kind=jm.JobKind.ARRAY,
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
