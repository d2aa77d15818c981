"""What the users' aims ask of a job next: which time it can still meet, and how much is left until then.

A class may have several aims of one kind (a deadline and one and a half times of it; a start
within a second and within thirty). A job that can't meet the first any more is not the most
urgent for that: it aims at the next that it still can. Once the hopeless went first, took the
first machines that came up, and the next ones were late too.
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
"""Estimates are often wrong by half: a job that misses a time by less than this share of its
expected run may still meet it."""
OVERDUE_GROWTH = 1.5
"""Past all its aims a job goes on aiming at times that grow by this factor, so that it waits for
what can still be in time, but not for ever."""

log = get_logger("jobs")

KNOWN_KINDS = frozenset({"wait", "finished", "deadline", "up"})


def may_wait_for_cheaper_capacity(objectives: Collection[Objective]) -> bool:
    """Whether work may wait for cheaper room. A deadline is time that its owner gives, and money is saved within it.
    Where the users state aims, and all of them run from the submission, nobody gives time: what is kept ready follows
    from those aims alone. Where none are stated, nothing is taken for free. (The price itself is no aim that the
    settings name.)"""
    return not objectives or any(aim.kind == "deadline" for aim in objectives)


class ServiceLevelObjectives:
    def __init__(self, objectives: Collection[Objective]) -> None:
        self._start_limits_s: dict[str | None, list[Seconds]] = {}
        self._finish_limits_s: dict[str | None, list[Seconds]] = {}
        self._deadline_factors: dict[str | None, list[float]] = {}
        self._availability_after_s: dict[str | None, Seconds] = {}
        for objective in objectives:
            if objective.kind == "wait" and objective.within_s is not None:
                self._start_limits_s.setdefault(objective.job_class, []).append(objective.within_s)
            elif objective.kind == "finished" and objective.within_s is not None:
                self._finish_limits_s.setdefault(objective.job_class, []).append(objective.within_s)
            elif objective.kind == "deadline" and objective.times is not None:
                self._deadline_factors.setdefault(objective.job_class, []).append(objective.times)
            elif objective.kind == "up":
                self._availability_after_s[objective.job_class] = min(
                    objective.after_s or 0.0, self._availability_after_s.get(objective.job_class, inf)
                )
        if unknown_kinds := {objective.kind for objective in objectives} - KNOWN_KINDS:
            log.info("aims of kinds that are not known count for nothing: %s", ", ".join(sorted(unknown_kinds)))
        for limits in (self._start_limits_s, self._finish_limits_s, self._deadline_factors):
            for values in limits.values():
                values.sort()

    def shortest_start_s(self, job_class: str) -> Seconds | None:
        """The shortest time within which the class's tasks should start."""
        limits = self._start_limits_s.get(job_class)
        return limits[0] if limits else None

    def start_slack(self, spec: JobSpec, elapsed_s: Seconds) -> Seconds:
        """How long until the next time by which its tasks should have started; NO_DUE past all."""
        for limit in self._start_limits_s.get(spec.job_class, ()):
            if elapsed_s <= limit:
                return limit - elapsed_s
        return NO_DEADLINE_S

    def availability_slack(self, spec: JobSpec, elapsed_s: Seconds, was_lost: bool) -> Seconds:
        """How long until a service's replica that waits is missed: one that was `lost` after it ran is already; a new
        one is from when an aim begins to count the time that its class's replicas are up. NO_DUE for other jobs."""
        if spec.kind is not JobKind.SERVICE:
            return NO_DEADLINE_S
        return 0.0 if was_lost else self._availability_after_s.get(spec.job_class, NO_DEADLINE_S) - elapsed_s

    def deadlines(self, spec: JobSpec) -> list[Seconds]:
        """The times after its submission by which it should be done, soonest first: the same all its life."""
        deadlines = list(self._finish_limits_s.get(spec.job_class, ()))
        if spec.deadline_s is not None:
            deadlines.append(spec.deadline_s)
            deadlines += (times * spec.deadline_s for times in self._deadline_factors.get(spec.job_class, ()))
        return sorted(deadlines)


def slack(deadlines: list[Seconds], elapsed_s: Seconds, run_s: Seconds) -> Seconds:
    """How long a job's tasks may still wait for it to be done by the next time that it can meet."""
    if not deadlines:
        return NO_DEADLINE_S
    earliest_end = elapsed_s + (1 - ESTIMATE_TOLERANCE) * run_s
    for deadline in deadlines:
        if deadline >= earliest_end:
            return deadline - elapsed_s - run_s
    deadline = max(deadlines[-1], 1.0)
    while deadline < earliest_end:
        deadline *= OVERDUE_GROWTH
    return deadline - elapsed_s - run_s
