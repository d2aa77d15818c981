"""Faulty machines and faulty jobs: who is to blame for a failed task.

A faulty machine fails every task that it starts; a job that was submitted with a mistake
fails on every machine. So one failure says little, and two faulty jobs that meet on one
large machine say nothing against it: what tells is how the job fares elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from meadowcross.common.types import Instant, JobId, MachineId, Seconds
from meadowcross.jobs.book import Job, Phase, Placement

FIRST_PAUSE_S: Seconds = 2.0
LONGEST_PAUSE_S: Seconds = 30.0
MOST_PAUSES = 4
"""Doubled so often the first pause is the longest. Once counted for each failed task of a
large array, the power outgrew a float, and every report ended in an error."""
LIVES_TIMES = 2.0
LIVES_S: Seconds = 1.0
"""A task that has run for so many times as long as another needed to fail, and a little
more, shows that the job is sound there."""


class Health:
    """A machine that failed a task is suspect, and not offered, until the job has fared
    better or no better elsewhere: condemned where a task of it lives or is done on another
    machine, cleared where it fails there too."""

    def __init__(self, machine_is_there: Callable[[MachineId], bool]) -> None:
        self._machine_is_there = machine_is_there
        self._suspects: dict[MachineId, dict[Job, Seconds]] = {}
        """By machine: the jobs that failed there, and how soon."""
        self._paused: dict[JobId, tuple[Job, Seconds]] = {}
        """Jobs to blame, and the longest that a task of theirs took to fail."""

    def known(self, now: Instant) -> tuple[dict[MachineId, dict[JobId, Seconds]], dict[JobId, tuple[int, Seconds]]]:
        """For the next leader: which machines failed tasks of which jobs, how soon; which jobs are paused, and for
        how much longer."""
        suspects = {name: {job.id: took for job, took in jobs.items()} for name, jobs in self._suspects.items()}
        return suspects, {name: (job.pauses, job.paused_until - now) for name, (job, _) in self._paused.items()}

    def presume(
        self,
        suspects: dict[MachineId, dict[JobId, Seconds]],
        paused: dict[JobId, tuple[int, Seconds]],
        jobs: Mapping[JobId, Job],
        now: Instant,
    ) -> None:
        """The same, from the leader before."""
        for machine, failed in suspects.items():
            for name, took in failed.items():
                job = jobs.get(name)
                if job is not None and self._machine_is_there(machine):
                    job.failed_on.add(machine)
                    self._suspects.setdefault(machine, {})[job] = took
        for name, (pauses, left) in paused.items():
            job = jobs.get(name)
            if job is not None:
                job.pauses = min(pauses, MOST_PAUSES)
                job.paused_until = Instant(now + max(0.0, min(left, LONGEST_PAUSE_S)))
                self._paused[name] = (job, 0.0)

    def suspect(self, machine: MachineId) -> bool:
        return machine in self._suspects

    def failed(self, job: Job, placement: Placement, now: Instant) -> list[MachineId]:
        """A task ended with an error; returns the machines to condemn."""
        machine = placement.machine
        job.failed_on.add(machine)
        took = now - (placement.running_at if placement.running_at is not None else placement.since)
        if len(job.failed_on) >= 2 and job.probing:
            self._blame(job, took, now)
            return []
        suspected = self._suspects.setdefault(machine, {})
        suspected[job] = max(took, suspected.get(job, 0.0))
        return self.verdicts(now)

    def _blame(self, job: Job, took: Seconds, now: Instant) -> None:
        """It fails everywhere. After a pause one task at a time asks whether it still does,
        which says as much as hundreds would; machines that failed only it are cleared."""
        if now >= job.paused_until:
            # Once for all the tasks that fail together.
            job.pauses = min(job.pauses + 1, MOST_PAUSES)
            job.paused_until = Instant(now + min(FIRST_PAUSE_S * 2**job.pauses, LONGEST_PAUSE_S))
        _, before = self._paused.get(job.id, (job, 0.0))
        self._paused[job.id] = (job, max(took, before))
        self._clear(job)

    def _clear(self, job: Job) -> None:
        for machine in job.failed_on:
            suspected = self._suspects.get(machine)
            if suspected is not None and suspected.pop(job, None) is not None and not suspected:
                del self._suspects[machine]

    def succeeded(self, job: Job, machine: MachineId) -> list[MachineId]:
        """A task of the job completed; returns machines that failed it, which are to blame."""
        return self._sound(job, machine)

    def _sound(self, job: Job, machine: MachineId) -> list[MachineId]:
        """The job fares well on this machine: those that failed it are to blame."""
        job.sound_on.add(machine)
        if not job.failed_on:
            return []
        blamed = [m for m in job.failed_on if m != machine and job in self._suspects.get(m, ())]
        self._clear(job)
        job.failed_on.clear()
        job.pauses = 0
        job.paused_until = Instant(0.0)
        self._paused.pop(job.id, None)
        return blamed

    def verdicts(self, now: Instant) -> list[MachineId]:
        """Machines to condemn: a job that failed there lives or was done elsewhere. It is
        asked regularly, since living on is no event."""
        blamed: list[MachineId] = []
        for machine, suspected in list(self._suspects.items()):
            for job, took in list(suspected.items()):
                alive = self._lives(job, took, now, machine)
                if alive is not None:
                    job.sound_on.add(alive)
                if job.times_sound > (machine in job.sound_on):
                    blamed.append(machine)
        for job, took in list(self._paused.values()):
            alive = self._lives(job, took, now, None)
            if alive is not None:
                blamed.extend(self._sound(job, alive))
        return [machine for machine in dict.fromkeys(blamed) if self._machine_is_there(machine)]

    def _lives(self, job: Job, took: Seconds, now: Instant, besides: MachineId | None) -> MachineId | None:
        """A machine, another than `besides`, where a task of the job has outlived the failure."""
        long = LIVES_TIMES * took + LIVES_S
        for placement in job.placed.values():
            if (
                placement.machine != besides
                and placement.phase is Phase.RUNNING
                and placement.running_at is not None
                and now - placement.running_at >= long
            ):
                return placement.machine
        return None

    def forget_job(self, job: Job) -> None:
        """It ended. What it failed is suspect no longer on its account."""
        self._clear(job)
        self._paused.pop(job.id, None)

    def forget_machine(self, machine: MachineId) -> None:
        self._suspects.pop(machine, None)
