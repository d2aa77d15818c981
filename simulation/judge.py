"""The rules at the end of the protocol, judged by what users, workers and the cloud saw.

Never by a controller's word: tasks are on machines as the workers have them, jobs are what users were told.
"""

from __future__ import annotations

import hashlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

POLLS_FAIL_S = 90.0
FORGOTTEN_S = 75.0
"""Once all troubles are over: a job about which no question is answered for so long, however others fare."""
BEGIN_S = 240.0
WAITS_S = 90.0
"""Once all troubles are over nobody waits longer while a machine that fits has room and its team is under its limit."""
LARGEST = 0.1
"""The share of a class's jobs, those with most tasks and at least one, that count as its largest."""


@dataclass(slots=True)
class Spec:
    """What the judge must know of a submission."""

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
class Seen:
    """What happened to a job, as its user saw it."""

    spec: Spec
    accepted: float | None = None
    cancel_asked: float | None = None
    cancel_told: float | None = None
    told: str | None = None
    answered: float = 0.0
    submitted: float = 0.0
    begun: float | None = None
    waits_from: float | None = None
    """Since when it waits though it might run."""
    told_at: float = 0.0
    """When its user first heard of its end."""
    done: set[int] = field(default_factory=set)


@dataclass(slots=True)
class On:
    """A task that is on a machine, from having its image until it is gone."""

    job: str
    number: int
    machine: str
    type: str
    zone: str
    spot: bool


class Judge:
    def __init__(self, now: Callable[[], float], cancel_s: float, limits: dict[str, float]) -> None:
        self._now = now
        self._cancel_s = cancel_s
        self._limits = limits
        self._hash = hashlib.sha256()
        self.history: list[str] | None = None
        """The lines that are hashed, where somebody wants to read them."""
        self.jobs: dict[str, Seen] = {}
        self.broken: list[dict[str, Any]] = []
        self.started = 0
        self.lost = 0
        """Ends without being done, stops left out."""
        self.again = 0
        """Starts of tasks that were done already; no rule, but work of a job that was counted and forgotten."""
        self.kept_at_word = 0
        """Tasks on machines at the moment at which their users were told of the cancel; the rule leaves them time."""
        self._on: dict[tuple[str, int], list[On]] = {}
        self._of_job: dict[str, dict[int, On]] = {}
        self._use: Counter[str] = Counter()
        self._polls: deque[tuple[float, bool]] = deque()
        self.on_complete: Callable[[str], None] = lambda job: None
        """Told of each job whose last task is done."""
        self.quiet_from = 0.0
        """When the last trouble is over."""

    def note(self, what: str) -> None:
        line = f"{self._now():.6f} {what}\n"
        self._hash.update(line.encode())
        if self.history is not None:
            self.history.append(line)

    @property
    def hash(self) -> str:
        return self._hash.hexdigest()

    def breaks(self, rule: str, what: str) -> None:
        self.note(f"BROKEN {rule}: {what}")
        self.broken.append({"rule": rule, "at_s": round(self._now(), 3), "what": what})

    # Workers

    def task_on(self, job: str, number: int, machine: str, type_: str, zone: str, spot: bool) -> None:
        self.note(f"{job}/{number} on {machine}")
        seen = self.jobs[job]
        spec = seen.spec
        self.started += 1
        if seen.begun is None:
            seen.begun = self._now()
        self.again += number in seen.done
        here = On(job, number, machine, type_, zone, spot)
        others = self._on.setdefault((job, number), [])
        if others:
            self.breaks("ran_twice", f"{job}/{number} starts on {machine} while on {others[0].machine}")
        others.append(here)
        if seen.cancel_told is not None:
            self.breaks("ran_cancelled", f"{job}/{number} starts on {machine} after its user was told")
        if (spec.types is not None and type_ not in spec.types) or (spot and not spec.spot):
            self.breaks("wrong_place", f"{job}/{number} on {machine}, {type_}{' spot' if spot else ''}")
        mates = self._of_job.setdefault(job, {})
        mates[number] = here
        zones = Counter(mate.zone for mate in mates.values())
        if spec.one_zone and len(zones) > 1:
            self.breaks("wrong_place", f"{job} in zones {', '.join(sorted(zones))}")
        if spec.spread and zones[zone] > (spec.tasks + 1) // 2:
            self.breaks("wrong_place", f"{job} has {zones[zone]} of {spec.tasks} tasks in {zone}")
        self._use[spec.team] += spec.cpus  # type: ignore[assignment]
        most = self._limits.get(spec.team, 0.0)
        if most > 0 and self._use[spec.team] > most + 1e-6:
            self.breaks("quota", f"{spec.team} uses {self._use[spec.team]:g} of {most:g} CPUs")

    def task_off(self, job: str, number: int, machine: str, why: str) -> None:
        """Exited, killed, or gone with its machine; `done` completes the task."""
        self.note(f"{job}/{number} off {machine}: {why}")
        here = self._on.get((job, number), [])
        gone = next((one for one in here if one.machine == machine), None)
        if gone is None:
            return
        here.remove(gone)
        if self._too_late(self.jobs[job]):
            self.breaks("ran_cancelled", f"{job}/{number} was on {machine} until now")
        if self._of_job[job].get(number) is gone:
            del self._of_job[job][number]
        self._use[self.jobs[job].spec.team] -= self.jobs[job].spec.cpus  # type: ignore[assignment]
        if why == "done":
            self.jobs[job].done.add(number)
            if len(self.jobs[job].done) == self.jobs[job].spec.tasks:
                self.on_complete(job)
        elif why != "stopped":
            self.lost += 1

    def _too_late(self, seen: Seen) -> bool:
        """Whether all tasks of the job had to be gone by now, whatever had become of their machines."""
        return seen.cancel_told is not None and self._now() > seen.cancel_told + self._cancel_s

    def is_on(self, job: str) -> bool:
        return bool(self._of_job.get(job))

    def machines_of(self, job: str) -> set[str]:
        return {one.machine for one in self._of_job.get(job, {}).values()}

    def waiting(self) -> list[str]:
        """Accepted jobs with tasks left to do that nobody has called off; gangs and jobs bound by zones need more than
        room for a task, and are left out."""
        return [
            job
            for job, seen in self.jobs.items()
            if seen.accepted is not None
            and seen.cancel_asked is None
            and len(seen.done) < seen.spec.tasks
            and seen.spec.kind != "gang"
            and not seen.spec.one_zone
            and not seen.spec.spread
        ]

    def running(self) -> list[str]:
        """Jobs with a task on a machine that nobody has called off."""
        return sorted(job for job, on in self._of_job.items() if on and self.jobs[job].cancel_asked is None)

    # Users

    def submitted(self, spec: Spec) -> Seen:
        return self.jobs.setdefault(spec.id, Seen(spec, submitted=self._now()))

    def refused(self, job: str, status: int) -> None:
        self.note(f"user: {job} refused with {status}")
        if self.jobs[job].accepted is not None:
            self.breaks("forgotten", f"{job} submitted again got {status}")

    def unknown(self, job: str, status: int) -> None:
        """A question about a job that nobody submitted."""
        if status == 200:
            self.breaks("invented", f"{job} got 200")

    def told(self, job: str, standing: str, asked: float | None = None) -> None:
        """`asked`: when the question was begun. One from before its user heard of the end may be answered after it."""
        self.note(f"user: {job} is {standing}")
        seen = self.jobs[job]
        now = self._now()
        if asked is not None and seen.told in ("done", "cancelled") and asked < seen.told_at and standing != seen.told:
            return
        if seen.accepted is None:
            seen.accepted = now
        seen.answered = now
        if seen.told in ("done", "cancelled") and standing != seen.told:
            self.breaks("went_back", f"{job} was {seen.told}, is {standing}")
        if standing == "cancelled" and seen.cancel_asked is None:
            self.breaks("went_back", f"{job} is cancelled, and nobody asked")
        if standing == "done" and len(seen.done) < seen.spec.tasks:
            self.breaks("not_done", f"{job}: {len(seen.done)} of {seen.spec.tasks} tasks are done")
        if standing in ("done", "cancelled") and seen.told != standing:
            seen.told_at = now
        if standing == "cancelled" and seen.cancel_told is None:
            seen.cancel_told = now
            self.kept_at_word += len(self._of_job.get(job, {}))
        seen.told = standing

    def polled(self, job: str, status: int | None) -> None:
        """Every question about an accepted job, with the status of its answer, if one came."""
        now = self._now()
        seen = self.jobs[job]
        self._polls.append((now, status == 200))
        while self._polls and self._polls[0][0] < now - POLLS_FAIL_S:
            self._polls.popleft()
        if status == 404 and seen.accepted is not None:
            self.breaks("forgotten", f"{job} got 404")
        since = max(seen.answered, self.quiet_from)
        if status != 200 and seen.accepted is not None and now - since > FORGOTTEN_S:
            seen.answered = now
            self.breaks("forgotten", f"no answer about {job} for {FORGOTTEN_S:.0f} s after all troubles")
        good = sum(1 for _, ok in self._polls if ok)
        waited = seen.accepted is not None and now - seen.answered > POLLS_FAIL_S
        if status != 200 and waited and good * 2 > len(self._polls):
            seen.answered = now
            self.breaks("forgotten", f"no answer about {job} for {POLLS_FAIL_S:.0f} s")

    def cancelling(self, job: str) -> None:
        self.jobs[job].cancel_asked = self._now()

    def cancels(self) -> dict[str, Any]:
        """How many cancels were asked for and told, and in seconds how long users waited for the word."""
        asked = [seen for seen in self.jobs.values() if seen.cancel_asked is not None]
        waits = [seen.cancel_told - (seen.cancel_asked or 0.0) for seen in asked if seen.cancel_told is not None]
        return {
            "asked": len(asked),
            "told": len(waits),
            "late": sum(wait > 1.0 for wait in waits),
            "longest_s": round(max(waits, default=0.0), 3),
        }

    def could_run(self, job: str, room: bool) -> None:
        """Asked again and again after all troubles, of each open job: whether a task of it would find room."""
        seen, now = self.jobs[job], self._now()
        most = self._limits.get(seen.spec.team, 0.0)
        under = most <= 0 or self._use[seen.spec.team] + seen.spec.cpus <= most + 1e-6
        if not room or not under or self.is_on(job):
            seen.waits_from = None
        elif seen.waits_from is None:
            seen.waits_from = now
        elif now - seen.waits_from > WAITS_S:
            seen.waits_from = now
            self.breaks("left_waiting", f"{job} for {WAITS_S:.0f} s, though there was room for it")

    # The end

    def finish(self) -> None:
        if not self.started:
            self.breaks("nothing_ran", "no task was started")
        for job, on in self._of_job.items():
            if on and self._too_late(self.jobs[job]):
                self.breaks("ran_cancelled", f"{job} is still on {sorted(one.machine for one in on.values())}")

    def largest(self) -> dict[str, tuple[float, float]]:
        """By class, of its largest jobs that were not cancelled: the share done (of services, running in full), and
        the share of which a task was on a machine within four minutes of the first submission."""
        classes: dict[str, list[Seen]] = {}
        for seen in self.jobs.values():
            if seen.cancel_asked is None:
                classes.setdefault(seen.spec.job_class, []).append(seen)
        found = {}
        for name, jobs in sorted(classes.items()):
            jobs.sort(key=lambda seen: (-seen.spec.tasks, -seen.spec.cpus, seen.spec.id))
            some = jobs[: max(1, round(LARGEST * len(jobs)))]
            begun = sum(1 for seen in some if seen.begun is not None and seen.begun - seen.submitted <= BEGIN_S)
            found[name] = (sum(map(self._is_served, some)) / len(some), begun / len(some))
        return found

    def _is_served(self, seen: Seen) -> bool:
        if seen.spec.kind == "service":
            return len(self._of_job.get(seen.spec.id, {})) == seen.spec.tasks
        return seen.told == "done"

    def served(self) -> tuple[dict[str, float], dict[str, float]]:
        """The share of jobs that were done, by class and by team; of services, of those whose replicas all run.
        Jobs that their users cancelled do not count."""
        totals: tuple[dict[str, list[int]], dict[str, list[int]]] = ({}, {})
        for seen in self.jobs.values():
            if seen.cancel_asked is not None:
                continue
            done = self._is_served(seen)
            for total, name in zip(totals, (seen.spec.job_class, seen.spec.team), strict=True):
                count = total.setdefault(name, [0, 0])
                count[0] += done
                count[1] += 1
        classes, teams = ({name: done / of for name, (done, of) in sorted(total.items())} for total in totals)
        return classes, teams
