"""Admission control: whether a well-formed submission can ever run on this cluster."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.settings import Team
from meadowcross.common.types import EPSILON
from meadowcross.jobs.messages import JobKind, JobSpec

MIN_SPREAD_ZONES = 2
"""At most half of the tasks of a spread job, rounded up, may run in one zone, so the other tasks need a second zone."""


class JobAdmission:
    """Checks submissions against the cluster's teams, zones and machine types.

    `machine_types` returns an empty list until the machine types are known.
    """

    def __init__(self, teams: list[Team], zones: list[str], machine_types: Callable[[], list[MachineType]]) -> None:
        self._teams = {team.name: team for team in teams}
        self._zones = zones
        self._machine_types = machine_types

    def is_ready(self) -> bool:
        """Whether the machine types are known; no submission can be checked before."""
        return bool(self._machine_types())

    def rejection_reason(self, spec: JobSpec) -> str | None:
        """Return the reason why the job can never run, or None if it can."""
        return rejection_reason(spec, self._teams, self._machine_types(), self._zones)


def rejection_reason(
    spec: JobSpec, teams: Mapping[str, Team], types: list[MachineType], zones: list[str]
) -> str | None:
    """Return the reason why a well-formed job can never run, as the body of the 422 response, or None if it can."""
    team = teams.get(spec.team)
    if team is None:
        return f"unknown team {spec.team}"
    known_zones = set(zones).union(*(machine_type.zones for machine_type in types))
    if spec.zone is not None and spec.zone not in known_zones:
        return f"unknown zone {spec.zone}"
    fitting_types = [machine_type for machine_type in types if _fits(spec, machine_type)]
    if not fitting_types:
        return "a task fits no allowed machine type"
    return _quota_violation(spec, team) or _spread_violation(spec, fitting_types)


def _fits(spec: JobSpec, machine_type: MachineType) -> bool:
    return (
        (spec.types is None or machine_type.name in spec.types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and spec.cpus <= machine_type.cpus + EPSILON
        and spec.gpus <= machine_type.gpus + EPSILON
        and spec.memory_gb <= machine_type.memory_gb + EPSILON
    )


def _quota_violation(spec: JobSpec, team: Team) -> str | None:
    """Return how the job exceeds its team's quota, or None. Tasks of an array can run one by one, other tasks can't."""
    concurrent_tasks = 1 if spec.kind is JobKind.ARRAY else spec.tasks
    for resource, needed, limit in (("cpus", spec.cpus, team.cpus_max), ("gpus", spec.gpus, team.gpus_max)):
        if limit > 0 and needed * concurrent_tasks > limit + EPSILON:
            return f"needs more {resource} than the team's limit of {limit:g}"
    return None


def _spread_violation(spec: JobSpec, fitting_types: list[MachineType]) -> str | None:
    """Return why the job's tasks can't be spread over zones as required, or None."""
    if not spec.spread or spec.tasks <= 1:
        return None
    allowed_zones = {spec.zone} if spec.zone is not None else set().union(*(fitting.zones for fitting in fitting_types))
    if spec.one_zone or len(allowed_zones) < MIN_SPREAD_ZONES:
        return "the job's zones can't be spread"
    return None
