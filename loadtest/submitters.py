"""Users of a run: they submit at a rate, ask until their jobs are over, and cancel some."""

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
"""Jobs are with the workers so long before they are submitted."""
STRAY_EVERY_S = 10.0


class Submitters:
    """Draws arrivals and lets each job's user live; `accepted_s` holds how long each submission took."""

    def __init__(self, host: Host, plan: Plan, nodes: dict[str, Address], history: UserHistory, send: Any) -> None:
        self._host = host
        self._plan = plan
        self._history = history
        self._send = send
        self._luck = host.simulation.random
        stand_in_reactor: Any = host
        self.users = Users(stand_in_reactor, history, nodes)
        self._count = 0
        self._over_at = 0.0

    def begin(self) -> None:
        """From now on until the plan's last seconds, which are for what is under way."""
        self._over_at = self._host.seconds() + self._plan.duration_s - self._plan.drain_s
        for load in self._plan.loads:
            for _ in range(load.initial):
                self._submit(load)
            self._next(load)
        self._host.callLater(STRAY_EVERY_S, self._ask_stray)

    def _next(self, load: Load) -> None:
        self._host.callLater(self._luck.expovariate(load.rate), self._arrive, load)

    def _arrive(self, load: Load) -> None:
        if self._host.seconds() < self._over_at:
            self._submit(load)
            self._next(load)

    def _ask_stray(self) -> None:
        if self._host.seconds() < self._over_at:
            self._count += 1
            Deferred.fromCoroutine(self.users.query_unknown_job(f"wk-{self._count:06d}"))
            self._host.callLater(STRAY_EVERY_S, self._ask_stray)

    def _submit(self, load: Load) -> None:
        self._count += 1
        spec = self._spec(load, f"wk-{self._count:06d}")
        self._send(bus.JobUploaded(spec, load.run_s))
        cancel_s = self._luck.uniform(0.2, 1.0) * load.run_s if self._luck.random() < load.cancelled else None
        self._host.callLater(UPLOAD_S, self._live, load, spec, cancel_s)

    def _live(self, load: Load, spec: dict[str, Any], cancel_after_s: float | None) -> None:
        self._history.record_submission(
            Spec(spec["id"], load.job_class, load.team, "array", spec["heads"], load.cpus, True, None, False, False)
        )
        Deferred.fromCoroutine(self.users.follow_job(spec, cancel_after_s, self._luck.random() < 0.02))

    def _spec(self, load: Load, name: str) -> dict[str, Any]:
        tasks = max(1, round(load.tasks * self._luck.uniform(0.5, 1.5)))
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
            "feedstock": f"img-{load.job_class}-{self._luck.randrange(load.images)}",
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
