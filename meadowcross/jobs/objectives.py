"""Service level objectives: when a job should have started and ended, and how much slack is left until then.

A job class may have several objectives of one kind, such as the deadline and 1.5 times the deadline, or a start
within 1 s and within 30 s. A job that can no longer meet one objective is ordered by the next one that it can still
meet. Otherwise jobs that are late anyway would take the first machines and make the jobs after them late, too.
"""

from __future__ import annotations

from collections.abc import Collection
from math import inf

from meadowcross.common.logging import get_logger
from meadowcross.common.settings import Objective
from meadowcross.common.types import Seconds
from meadowcross.jobs.messages import JobKind, JobSpec

NO_DEADLINE_S: Seconds = 1e9
ESTIMATE_TOLERANCE = 0.25
"""Share of its expected run time by which a job may seem to miss a deadline and still be ordered by it, because
estimates are often wrong by half."""
OVERDUE_GROWTH = 1.5
"""A job that is past all its deadlines is ordered by substitute deadlines that grow by this factor: it waits for jobs
that can still be in time, but not forever."""

log = get_logger("jobs")

KNOWN_KINDS = frozenset({"wait", "finished", "deadline", "up"})


def may_wait_for_cheaper_capacity(objectives: Collection[Objective]) -> bool:
    """Whether jobs may wait for cheaper machines, given all the objectives.

    A deadline is time that the job's owner grants, and cost may be saved within it. If every objective is a fixed time
    from the submission, no owner grants time, and the objectives alone decide the capacity that is kept ready. Without
    objectives jobs may wait.
    """
    return not objectives or any(objective.kind == "deadline" for objective in objectives)


class ServiceLevelObjectives:
    """The users' objectives by job class; all limits are in seconds since a job's submission."""

    def __init__(self, objectives: Collection[Objective]) -> None:
        self._start_limits_s: dict[str | None, list[Seconds]] = {}
        self._finish_limits_s: dict[str | None, list[Seconds]] = {}
        self._deadline_factors: dict[str | None, list[float]] = {}
        self._availability_after_s: dict[str | None, Seconds] = {}
        for objective in objectives:
            self._add(objective)
        for limits in (self._start_limits_s, self._finish_limits_s, self._deadline_factors):
            for values in limits.values():
                values.sort()
        if unknown_kinds := {objective.kind for objective in objectives} - KNOWN_KINDS:
            log.info("objectives of unknown kinds ignored kinds=%s", ",".join(sorted(unknown_kinds)))

    def _add(self, objective: Objective) -> None:
        job_class = objective.job_class
        if objective.kind == "wait" and objective.within_s is not None:
            self._start_limits_s.setdefault(job_class, []).append(objective.within_s)
        elif objective.kind == "finished" and objective.within_s is not None:
            self._finish_limits_s.setdefault(job_class, []).append(objective.within_s)
        elif objective.kind == "deadline" and objective.times is not None:
            self._deadline_factors.setdefault(job_class, []).append(objective.times)
        elif objective.kind == "up":
            earliest_s = self._availability_after_s.get(job_class, inf)
            self._availability_after_s[job_class] = min(objective.after_s or 0.0, earliest_s)

    def shortest_start_s(self, job_class: str) -> Seconds | None:
        """Return the shortest time within which tasks of the class should start, or None without such an objective."""
        limits = self._start_limits_s.get(job_class)
        return limits[0] if limits else None

    def start_slack(self, spec: JobSpec, elapsed_s: Seconds) -> Seconds:
        """Return the time until the next limit on the start of the job's tasks; NO_DEADLINE_S if none is left."""
        for limit_s in self._start_limits_s.get(spec.job_class, ()):
            if elapsed_s <= limit_s:
                return limit_s - elapsed_s
        return NO_DEADLINE_S

    def availability_slack(self, spec: JobSpec, elapsed_s: Seconds, was_lost: bool) -> Seconds:
        """Return the time until a service's waiting task counts as unavailable; NO_DEADLINE_S for other kinds of job.

        A task that was lost after it ran is unavailable at once, a new task once the availability objective applies.
        """
        if spec.kind is not JobKind.SERVICE:
            return NO_DEADLINE_S
        if was_lost:
            return 0.0
        return self._availability_after_s.get(spec.job_class, NO_DEADLINE_S) - elapsed_s

    def deadlines(self, spec: JobSpec) -> list[Seconds]:
        """Return the times by which the job should be done, soonest first; they never change for a job."""
        deadlines = list(self._finish_limits_s.get(spec.job_class, ()))
        if spec.deadline_s is not None:
            deadlines.append(spec.deadline_s)
            deadlines += (factor * spec.deadline_s for factor in self._deadline_factors.get(spec.job_class, ()))
        return sorted(deadlines)


def slack(deadlines: list[Seconds], elapsed_s: Seconds, run_s: Seconds) -> Seconds:
    """Return how long a job's tasks may still wait if the job is to meet the next deadline that it can meet.

    `elapsed_s` is the time since the submission, `run_s` the expected run time. The result is negative if the job
    meets the deadline only with a run that is shorter than expected; it is NO_DEADLINE_S without deadlines.
    """
    if not deadlines:
        return NO_DEADLINE_S
    earliest_end_s = elapsed_s + (1 - ESTIMATE_TOLERANCE) * run_s
    for deadline_s in deadlines:
        if deadline_s >= earliest_end_s:
            return deadline_s - elapsed_s - run_s
    deadline_s = max(deadlines[-1], 1.0)
    while deadline_s < earliest_end_s:
        deadline_s *= OVERDUE_GROWTH
    return deadline_s - elapsed_s - run_s
