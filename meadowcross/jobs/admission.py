"""Decides whether a well-formed submission can ever run on this cluster."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from meadowcross.autoscaling.messages import MachineType
from meadowcross.common.settings import Team
from meadowcross.common.types import EPSILON
from meadowcross.jobs.messages import JobKind, JobSpec

MIN_SPREAD_ZONES = 2
"""At most half the tasks of a spread job, rounded up, may be in one zone, so the rest needs another."""


class JobAdmission:
    """The cluster's teams, zones and machine types, as far as submissions are checked against them.

    `machine_types` returns an empty list until the types are known.
    """

    def __init__(self, teams: list[Team], zones: list[str], machine_types: Callable[[], list[MachineType]]) -> None:
        self._teams = {team.name: team for team in teams}
        self._zones = zones
        self._machine_types = machine_types

    def is_ready(self) -> bool:
        """Whether the machine types are known, so that submissions can be decided."""
        return bool(self._machine_types())

    def rejection_reason(self, spec: JobSpec) -> str | None:
        """Return why the job can never run, or None."""
        return rejection_reason(spec, self._teams, self._machine_types(), self._zones)


def rejection_reason(
    spec: JobSpec, teams: Mapping[str, Team], types: list[MachineType], zones: list[str]
) -> str | None:
    """Return why a well-formed job can never run, as the answer 422 says it, or None."""
    team = teams.get(spec.team)
    if team is None:
        return f"unknown team {spec.team}"
    known_zones = set(zones).union(*(machine_type.zones for machine_type in types))
    if spec.zone is not None and spec.zone not in known_zones:
        return f"unknown zone {spec.zone}"
    fitting = [machine_type for machine_type in types if _fits(spec, machine_type)]
    if not fitting:
        return "a task fits no allowed machine type"
    return _quota_violation(spec, team) or _spread_violation(spec, fitting)


def _fits(spec: JobSpec, machine_type: MachineType) -> bool:
    return (
        (spec.types is None or machine_type.name in spec.types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and spec.cpus <= machine_type.cpus + EPSILON
        and spec.gpus <= machine_type.gpus + EPSILON
        and spec.memory_gb <= machine_type.memory_gb + EPSILON
    )


def _quota_violation(spec: JobSpec, team: Team) -> str | None:
    at_once = 1 if spec.kind is JobKind.ARRAY else spec.tasks
    for resource, needed, limit in (("cpus", spec.cpus, team.cpus_max), ("gpus", spec.gpus, team.gpus_max)):
        if limit > 0 and needed * at_once > limit + EPSILON:
            return f"needs more {resource} than the team's limit of {limit:g}"
    return None


def _spread_violation(spec: JobSpec, fitting: list[MachineType]) -> str | None:
    if not spec.spread or spec.tasks <= 1:
        return None
    allowed_zones = {spec.zone} if spec.zone is not None else set().union(*(fit.zones for fit in fitting))
    if spec.one_zone or len(allowed_zones) < MIN_SPREAD_ZONES:
        return "the job's zones can't be spread"
    return None
