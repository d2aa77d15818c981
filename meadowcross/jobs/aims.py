"""What the users' aims ask of a job next: which time it can still meet, and how much is left until then.

A class may have several aims of one kind (a deadline and one and a half times of it; a start
within a second and within thirty). A job that can't meet the first any more is not the most
urgent for that: it aims at the next that it still can. Once the hopeless went first, took the
first machines that came up, and the next ones were late too.
"""

from __future__ import annotations

from collections.abc import Collection
from math import inf

from meadowcross.common.logging import logger
from meadowcross.common.settings import Objective
from meadowcross.common.types import Seconds
from meadowcross.jobs.messages import JobSpec, Kind

NO_DUE: Seconds = 1e9
HOPE = 0.25
"""Estimates are often wrong by half: a job that misses a time by less than this share of its
expected run may still meet it."""
LATE_GROWTH = 1.5
"""Past all its aims a job goes on aiming at times that grow by this factor, so that it waits for
what can still be in time, but not for ever."""

log = logger("jobs")

KNOWN = frozenset({"wait", "finished", "deadline", "up"})


def money_counts(objectives: Collection[Objective]) -> bool:
    """Whether work may wait for cheaper room. A deadline is time that its owner gives, and money is saved within it.
    Where the users state aims, and all of them run from the submission, nobody gives time: what is kept ready follows
    from those aims alone. Where none are stated, nothing is taken for free. (The price itself is no aim that the
    settings name.)"""
    return not objectives or any(aim.kind == "deadline" for aim in objectives)


class Aims:
    def __init__(self, objectives: Collection[Objective]) -> None:
        self._starts: dict[str | None, list[Seconds]] = {}
        self._finishes: dict[str | None, list[Seconds]] = {}
        self._times: dict[str | None, list[float]] = {}
        self._ups: dict[str | None, Seconds] = {}
        for aim in objectives:
            if aim.kind == "wait" and aim.within_s is not None:
                self._starts.setdefault(aim.job_class, []).append(aim.within_s)
            elif aim.kind == "finished" and aim.within_s is not None:
                self._finishes.setdefault(aim.job_class, []).append(aim.within_s)
            elif aim.kind == "deadline" and aim.times is not None:
                self._times.setdefault(aim.job_class, []).append(aim.times)
            elif aim.kind == "up":
                self._ups[aim.job_class] = min(aim.after_s or 0.0, self._ups.get(aim.job_class, inf))
        if unknown := {aim.kind for aim in objectives} - KNOWN:
            log.info("aims of kinds that are not known count for nothing: %s", ", ".join(sorted(unknown)))
        for aims in (self._starts, self._finishes, self._times):
            for values in aims.values():
                values.sort()

    def start_within(self, job_class: str) -> Seconds | None:
        """The shortest time within which the class's tasks should start."""
        starts = self._starts.get(job_class)
        return starts[0] if starts else None

    def start_slack(self, spec: JobSpec, elapsed: Seconds) -> Seconds:
        """How long until the next time by which its tasks should have started; NO_DUE past all."""
        for within in self._starts.get(spec.job_class, ()):
            if elapsed <= within:
                return within - elapsed
        return NO_DUE

    def up_slack(self, spec: JobSpec, elapsed: Seconds, lost: bool) -> Seconds:
        """How long until a service's replica that waits is missed: one that was `lost` after it ran is already; a new
        one is from when an aim begins to count the time that its class's replicas are up. NO_DUE for other jobs."""
        if spec.kind is not Kind.SERVICE:
            return NO_DUE
        return 0.0 if lost else self._ups.get(spec.job_class, NO_DUE) - elapsed

    def dues(self, spec: JobSpec) -> list[Seconds]:
        """The times after its submission by which it should be done, soonest first: the same all its life."""
        dues = list(self._finishes.get(spec.job_class, ()))
        if spec.deadline_s is not None:
            dues.append(spec.deadline_s)
            dues += (times * spec.deadline_s for times in self._times.get(spec.job_class, ()))
        return sorted(dues)


def slack(dues: list[Seconds], elapsed: Seconds, run_s: Seconds) -> Seconds:
    """How long a job's tasks may still wait for it to be done by the next time that it can meet."""
    if not dues:
        return NO_DUE
    least = elapsed + (1 - HOPE) * run_s
    for due in dues:
        if due >= least:
            return due - elapsed - run_s
    due = max(dues[-1], 1.0)
    while due < least:
        due *= LATE_GROWTH
    return due - elapsed - run_s
