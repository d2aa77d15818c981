"""The users of a run: they submit jobs at a rate, poll them until their end, and cancel some of them."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from loadtest import bus
from loadtest.events import UserHistory
from loadtest.hosts import Host
from loadtest.plan import Load, Plan
from meadowcross.common.types import Address
from simulation.judge import Spec
from simulation.users import Users

UPLOAD_S = 0.2
"""Seconds between the upload of a job to the workers and its submission."""
UNKNOWN_JOB_QUERY_INTERVAL_S = 10.0


class Submitters:
    """Draws the arrivals of jobs, and acts as the user of each of them."""

    def __init__(self, host: Host, plan: Plan, nodes: dict[str, Address], history: UserHistory, send: Any) -> None:
        self._host = host
        self._plan = plan
        self._history = history
        self._send = send
        self._random = host.simulation.random
        reactor: Any = host
        self.users = Users(reactor, history, nodes)
        self._count = 0
        self._submissions_end_at = 0.0

    def begin(self) -> None:
        """Begin to submit jobs; this ends `drain_s` before the end of the run, so that open jobs can end."""
        self._submissions_end_at = self._host.seconds() + self._plan.duration_s - self._plan.drain_s
        for load in self._plan.loads:
            for _ in range(load.initial):
                self._submit(load)
            self._schedule_next(load)
        self._host.callLater(UNKNOWN_JOB_QUERY_INTERVAL_S, self._query_unknown_job)

    def _schedule_next(self, load: Load) -> None:
        self._host.callLater(self._random.expovariate(load.rate), self._arrive, load)

    def _arrive(self, load: Load) -> None:
        if self._host.seconds() < self._submissions_end_at:
            self._submit(load)
            self._schedule_next(load)

    def _query_unknown_job(self) -> None:
        if self._host.seconds() < self._submissions_end_at:
            self._count += 1
            Deferred.fromCoroutine(self.users.query_unknown_job(f"wk-{self._count:06d}"))
            self._host.callLater(UNKNOWN_JOB_QUERY_INTERVAL_S, self._query_unknown_job)

    def _submit(self, load: Load) -> None:
        self._count += 1
        spec = self._spec(load, f"wk-{self._count:06d}")
        self._send(bus.JobUploaded(spec, load.run_s))
        cancel_s = self._random.uniform(0.2, 1.0) * load.run_s if self._random.random() < load.cancelled else None
        self._host.callLater(UPLOAD_S, self._follow_job, load, spec, cancel_s)

    def _follow_job(self, load: Load, spec: dict[str, Any], cancel_after_s: float | None) -> None:
        self._history.record_submission(
            Spec(spec["id"], load.job_class, load.team, "array", spec["heads"], load.cpus, True, None, False, False)
        )
        Deferred.fromCoroutine(self.users.follow_job(spec, cancel_after_s, self._random.random() < 0.02))

    def _spec(self, load: Load, name: str) -> dict[str, Any]:
        tasks = max(1, round(load.tasks * self._random.uniform(0.5, 1.5)))
        return {
            "id": name,
            "herd": load.job_class,
            "steward": load.team,
            "breed": "batch",
            "rank": load.priority,
            "heads": tasks,
            "cpus": load.cpus,
            "gpus": 0.0,
            "memoryGb": load.memory_gb,
            "feedstock": f"img-{load.job_class}-{self._random.randrange(load.images)}",
            "pullGb": load.image_gb,
            "builds": None,
            "field": None,
            "oneZone": False,
            "scatter": False,
            "stubble": True,
            "grazeS": load.run_s,
            "stookS": 0.0,
            "baleS": 0.0,
            "sundownS": load.deadline_s,
        }
