"""Checks the protocol's rules against the observations of users, workers and the cloud.

No statement of a controller counts as evidence: workers show which tasks are on machines, and the responses to users
show the states of jobs.
"""

from __future__ import annotations

import hashlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

UNANSWERED_POLLS_S = 90.0
"""Longest time without an answer about a job while more than half of all recent polls are answered."""
FORGOTTEN_S = 75.0
"""Longest time without an answer about a job after the last fault, whatever becomes of polls of other jobs."""
FIRST_START_WITHIN_S = 240.0
"""A job whose first task starts within this time after its submission counts as started in time."""
MAX_WAIT_S = 90.0
"""After the last fault, longest wait of a job while a suitable machine has room and its team is below its quota."""
LARGEST_SHARE = 0.1
"""Share of a class's jobs, those with the most tasks and at least one job, that count as its largest."""


@dataclass(slots=True)
class Spec:
    """The properties of a submitted job that the rules need."""

    id: str
    job_class: str
    team: str
    kind: str
    tasks: int
    cpus: float
    spot: bool
    types: list[str] | None
    one_zone: bool
    spread: bool


@dataclass(slots=True)
class JobRecord:
    """What its user and the workers observed of a job; all times are in seconds from the start."""

    spec: Spec
    accepted_at: float | None = None
    cancel_asked: float | None = None
    cancel_told: float | None = None
    told: str | None = None
    """The last state that a response named."""
    last_answer_at: float = 0.0
    submitted_at: float = 0.0
    first_started_at: float | None = None
    runnable_since: float | None = None
    """Since when the job waits although one of its tasks could run."""
    end_reported_at: float = 0.0
    """When a response first named a final state."""
    done_tasks: set[int] = field(default_factory=set)


@dataclass(slots=True)
class TaskOnMachine:
    """A task on a machine, from the moment its image is there until the task has ended."""

    job: str
    number: int
    machine: str
    type: str
    zone: str
    spot: bool


class Judge:
    """Records observations, and a violation for each that breaks a rule.

    `now` gives seconds from the start, `limits` the quota of each team in CPUs (0: none). All tasks of a job have to be
    gone `cancel_s` seconds after its user received `cancelled`.
    """

    def __init__(self, now: Callable[[], float], cancel_s: float, limits: dict[str, float]) -> None:
        self._now = now
        self._cancel_s = cancel_s
        self._limits = limits
        self._hash = hashlib.sha256()
        self.history: list[str] | None = None
        """The hashed lines; None: they are not kept."""
        self.jobs: dict[str, JobRecord] = {}
        self.broken: list[dict[str, Any]] = []
        self.started = 0
        self.lost = 0
        """Number of attempts that ended neither done nor stopped."""
        self.restarted_done = 0
        """Starts of tasks that were done already. No rule forbids them, but a record of done work was lost."""
        self.running_when_cancelled = 0
        """Tasks on machines when their user received `cancelled`; they break the rule only after `cancel_s`."""
        self._attempts_on_machines: dict[tuple[str, int], list[TaskOnMachine]] = {}
        self._of_job: dict[str, dict[int, TaskOnMachine]] = {}
        self._used_cpus: Counter[str] = Counter()
        self._polls: deque[tuple[float, bool]] = deque()
        self.on_complete: Callable[[str], None] = lambda job: None
        """Called with the id of each job whose last task is done."""
        self.quiet_from = 0.0
        """When the last fault is over, in seconds from the start."""

    def note(self, event: str) -> None:
        """Add an event with its time to the hashed history."""
        line = f"{self._now():.6f} {event}\n"
        self._hash.update(line.encode())
        if self.history is not None:
            self.history.append(line)

    @property
    def hash(self) -> str:
        """SHA-256 of the history so far, in hexadecimal digits."""
        return self._hash.hexdigest()

    def record_violation(self, rule: str, description: str) -> None:
        """Note that a rule was broken, with the present time."""
        self.note(f"BROKEN {rule}: {description}")
        self.broken.append({"rule": rule, "at_s": round(self._now(), 3), "what": description})

    # Observations of workers

    def task_on(self, job: str, number: int, machine: str, type_: str, zone: str, spot: bool) -> None:
        """Record that a task starts on a machine, and check the rules on placement, cancellation and quotas."""
        self.note(f"{job}/{number} on {machine}")
        record = self.jobs[job]
        spec = record.spec
        self.started += 1
        if record.first_started_at is None:
            record.first_started_at = self._now()
        self.restarted_done += number in record.done_tasks
        started = TaskOnMachine(job, number, machine, type_, zone, spot)
        others = self._attempts_on_machines.setdefault((job, number), [])
        if others:
            self.record_violation("ran_twice", f"{job}/{number} starts on {machine} while on {others[0].machine}")
        others.append(started)
        if record.cancel_told is not None:
            self.record_violation("ran_cancelled", f"{job}/{number} starts on {machine} after its user was told")
        if (spec.types is not None and type_ not in spec.types) or (spot and not spec.spot):
            self.record_violation("wrong_place", f"{job}/{number} on {machine}, {type_}{' spot' if spot else ''}")
        siblings = self._of_job.setdefault(job, {})
        siblings[number] = started
        zones = Counter(task.zone for task in siblings.values())
        if spec.one_zone and len(zones) > 1:
            self.record_violation("wrong_place", f"{job} in zones {', '.join(sorted(zones))}")
        if spec.spread and zones[zone] > (spec.tasks + 1) // 2:
            self.record_violation("wrong_place", f"{job} has {zones[zone]} of {spec.tasks} tasks in {zone}")
        self._used_cpus[spec.team] += spec.cpus  # type: ignore[assignment]
        limit = self._limits.get(spec.team, 0.0)
        if limit > 0 and self._used_cpus[spec.team] > limit + 1e-6:
            self.record_violation("quota", f"{spec.team} uses {self._used_cpus[spec.team]:g} of {limit:g} CPUs")

    def task_off(self, job: str, number: int, machine: str, reason: str) -> None:
        """Record that a task left a machine: it exited, was stopped or was lost; the reason `done` completes it."""
        self.note(f"{job}/{number} off {machine}: {reason}")
        running = self._attempts_on_machines.get((job, number), [])
        ended = next((task for task in running if task.machine == machine), None)
        if ended is None:
            return
        running.remove(ended)
        if self._must_be_gone(self.jobs[job]):
            self.record_violation("ran_cancelled", f"{job}/{number} was on {machine} until now")
        if self._of_job[job].get(number) is ended:
            del self._of_job[job][number]
        self._used_cpus[self.jobs[job].spec.team] -= self.jobs[job].spec.cpus  # type: ignore[assignment]
        if reason == "done":
            self.jobs[job].done_tasks.add(number)
            if len(self.jobs[job].done_tasks) == self.jobs[job].spec.tasks:
                self.on_complete(job)
        elif reason != "stopped":
            self.lost += 1

    def _must_be_gone(self, record: JobRecord) -> bool:
        """Whether all tasks of a cancelled job had to be gone by now, whatever became of their machines."""
        return record.cancel_told is not None and self._now() > record.cancel_told + self._cancel_s

    def is_on(self, job: str) -> bool:
        """Whether a task of the job is on a machine."""
        return bool(self._of_job.get(job))

    def machines_of(self, job: str) -> set[str]:
        """The ids of the machines with a task of the job."""
        return {task.machine for task in self._of_job.get(job, {}).values()}

    def waiting_jobs(self) -> list[str]:
        """Accepted, uncancelled jobs with tasks that are not done.

        Gangs and jobs with zone constraints are left out: room for one task isn't enough for them.
        """
        return [
            job
            for job, record in self.jobs.items()
            if record.accepted_at is not None
            and record.cancel_asked is None
            and len(record.done_tasks) < record.spec.tasks
            and record.spec.kind != "gang"
            and not record.spec.one_zone
            and not record.spec.spread
        ]

    def running_jobs(self) -> list[str]:
        """Uncancelled jobs with a task on a machine, sorted."""
        return sorted(job for job, tasks in self._of_job.items() if tasks and self.jobs[job].cancel_asked is None)

    # Observations of users

    def record_submission(self, spec: Spec) -> JobRecord:
        """Return the record of a submitted job; a repeated submission returns the first one's record."""
        return self.jobs.setdefault(spec.id, JobRecord(spec, submitted_at=self._now()))

    def record_rejection(self, job: str, status: int) -> None:
        """Record that a submission was rejected with this HTTP status."""
        self.note(f"user: {job} refused with {status}")
        if self.jobs[job].accepted_at is not None:
            self.record_violation("forgotten", f"{job} submitted again got {status}")

    def unknown(self, job: str, status: int) -> None:
        """Check the HTTP status that a query about a job received which no user submitted."""
        if status == 200:
            self.record_violation("invented", f"{job} got 200")

    def record_state(self, job: str, standing: str, sent_at: float | None = None) -> None:
        """Record the state that a response named, and check it against earlier responses.

        `sent_at`: when the request was sent. The response to a request that was sent before the user learned of the
        job's end may arrive later with an older state; None: no other request was under way.
        """
        self.note(f"user: {job} is {standing}")
        record = self.jobs[job]
        now = self._now()
        if (
            sent_at is not None
            and record.told in ("done", "cancelled")
            and sent_at < record.end_reported_at
            and standing != record.told
        ):
            return
        if record.accepted_at is None:
            record.accepted_at = now
        record.last_answer_at = now
        if record.told in ("done", "cancelled") and standing != record.told:
            self.record_violation("went_back", f"{job} was {record.told}, is {standing}")
        if standing == "cancelled" and record.cancel_asked is None:
            self.record_violation("went_back", f"{job} is cancelled, and nobody asked")
        if standing == "done" and len(record.done_tasks) < record.spec.tasks:
            self.record_violation("not_done", f"{job}: {len(record.done_tasks)} of {record.spec.tasks} tasks are done")
        if standing in ("done", "cancelled") and record.told != standing:
            record.end_reported_at = now
        if standing == "cancelled" and record.cancel_told is None:
            record.cancel_told = now
            self.running_when_cancelled += len(self._of_job.get(job, {}))
        record.told = standing

    def record_poll(self, job: str, status: int | None) -> None:
        """Record a query about an accepted job with its HTTP status; None: there was no response."""
        now = self._now()
        record = self.jobs[job]
        self._polls.append((now, status == 200))
        while self._polls and self._polls[0][0] < now - UNANSWERED_POLLS_S:
            self._polls.popleft()
        if status == 404 and record.accepted_at is not None:
            self.record_violation("forgotten", f"{job} got 404")
        since = max(record.last_answer_at, self.quiet_from)
        if status != 200 and record.accepted_at is not None and now - since > FORGOTTEN_S:
            record.last_answer_at = now
            self.record_violation("forgotten", f"no answer about {job} for {FORGOTTEN_S:.0f} s after all troubles")
        answered = sum(1 for _, ok in self._polls if ok)
        waits_too_long = record.accepted_at is not None and now - record.last_answer_at > UNANSWERED_POLLS_S
        if status != 200 and waits_too_long and answered * 2 > len(self._polls):
            record.last_answer_at = now
            self.record_violation("forgotten", f"no answer about {job} for {UNANSWERED_POLLS_S:.0f} s")

    def record_cancel_request(self, job: str) -> None:
        """Record that the job's user begins to request its cancellation."""
        self.jobs[job].cancel_asked = self._now()

    def summarize_cancellations(self) -> dict[str, Any]:
        """The numbers of requested, confirmed and late (over 1 s) cancellations, and the longest wait in seconds."""
        requested = [record for record in self.jobs.values() if record.cancel_asked is not None]
        waits = [
            record.cancel_told - (record.cancel_asked or 0.0) for record in requested if record.cancel_told is not None
        ]
        return {
            "asked": len(requested),
            "told": len(waits),
            "late": sum(wait > 1.0 for wait in waits),
            "longest_s": round(max(waits, default=0.0), 3),
        }

    def check_wait(self, job: str, room: bool) -> None:
        """Check that a job doesn't wait too long; called regularly after the last fault for each waiting job.

        `room`: whether some suitable machine has room for one of its tasks.
        """
        record, now = self.jobs[job], self._now()
        limit = self._limits.get(record.spec.team, 0.0)
        is_below_limit = limit <= 0 or self._used_cpus[record.spec.team] + record.spec.cpus <= limit + 1e-6
        if not room or not is_below_limit or self.is_on(job):
            record.runnable_since = None
        elif record.runnable_since is None:
            record.runnable_since = now
        elif now - record.runnable_since > MAX_WAIT_S:
            record.runnable_since = now
            self.record_violation("left_waiting", f"{job} for {MAX_WAIT_S:.0f} s, though there was room for it")

    # Summaries at the end

    def finish(self) -> None:
        """Check the rules that can only be judged at the end."""
        if not self.started:
            self.record_violation("nothing_ran", "no task was started")
        for job, tasks in self._of_job.items():
            if tasks and self._must_be_gone(self.jobs[job]):
                self.record_violation(
                    "ran_cancelled", f"{job} is still on {sorted(task.machine for task in tasks.values())}"
                )

    def largest_jobs_served(self) -> dict[str, tuple[float, float]]:
        """By class, two shares of its largest uncancelled jobs: served, and started in time.

        Served jobs are done; a service is served while all its replicas run. A job is started in time if a task of it
        was on a machine within `FIRST_START_WITHIN_S` after its first submission.
        """
        classes: dict[str, list[JobRecord]] = {}
        for record in self.jobs.values():
            if record.cancel_asked is None:
                classes.setdefault(record.spec.job_class, []).append(record)
        shares = {}
        for name, jobs in sorted(classes.items()):
            jobs.sort(key=lambda record: (-record.spec.tasks, -record.spec.cpus, record.spec.id))
            largest_jobs = jobs[: max(1, round(LARGEST_SHARE * len(jobs)))]
            started_in_time = sum(
                1
                for record in largest_jobs
                if record.first_started_at is not None
                and record.first_started_at - record.submitted_at <= FIRST_START_WITHIN_S
            )
            shares[name] = (
                sum(map(self._is_served, largest_jobs)) / len(largest_jobs),
                started_in_time / len(largest_jobs),
            )
        return shares

    def _is_served(self, record: JobRecord) -> bool:
        if record.spec.kind == "service":
            return len(self._of_job.get(record.spec.id, {})) == record.spec.tasks
        return record.told == "done"

    def served_shares(self) -> tuple[dict[str, float], dict[str, float]]:
        """The share of served jobs by class and by team, without cancelled jobs.

        Served jobs are done; a service is served while all its replicas run.
        """
        totals: tuple[dict[str, list[int]], dict[str, list[int]]] = ({}, {})
        for record in self.jobs.values():
            if record.cancel_asked is not None:
                continue
            done = self._is_served(record)
            for total, name in zip(totals, (record.spec.job_class, record.spec.team), strict=True):
                count = total.setdefault(name, [0, 0])
                count[0] += done
                count[1] += 1
        classes, teams = (
            {name: done / job_count for name, (done, job_count) in sorted(total.items())} for total in totals
        )
        return classes, teams
