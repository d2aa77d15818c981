"""Faulty machines and faulty jobs: who is to blame for a failed task."""

from __future__ import annotations

from meadowcross.common.types import Instant, JobId, MachineId, Seconds
from meadowcross.jobs.book import Job

FIRST_PAUSE_S: Seconds = 2.0
LONGEST_PAUSE_S: Seconds = 30.0


class Health:
    """A machine that failed a task is suspect until another verdict is possible:
    condemned once a second job fails there, or once the job succeeds elsewhere;
    cleared once the job has failed on another machine too and nowhere succeeded."""

    def __init__(self) -> None:
        self._failures: dict[MachineId, set[JobId]] = {}
        self._succeeded: set[JobId] = set()

    def suspect(self, machine: MachineId) -> bool:
        return machine in self._failures

    def failed(self, job: Job, machine: MachineId, now: Instant) -> list[MachineId]:
        """A task ended with an error; returns the machines to condemn."""
        job.failed_on.add(machine)
        if job.id in self._succeeded:
            self._failures.setdefault(machine, set()).add(job.id)
            return [machine]
        if len(job.failed_on) >= 2:
            # It fails everywhere: the job is to blame, machines that failed only it are cleared.
            job.pauses += 1
            job.paused_until = Instant(now + min(FIRST_PAUSE_S * 2**job.pauses, LONGEST_PAUSE_S))
            for other in job.failed_on:
                failures = self._failures.get(other)
                if failures is not None:
                    failures.discard(job.id)
                    if not failures:
                        del self._failures[other]
            return []
        failures = self._failures.setdefault(machine, set())
        failures.add(job.id)
        return [machine] if len(failures) >= 2 else []

    def succeeded(self, job: Job, machine: MachineId) -> list[MachineId]:
        """A task of the job completed; machines that failed the job are to blame."""
        if job.id in self._succeeded and not job.failed_on:
            return []
        self._succeeded.add(job.id)
        blamed = [m for m in job.failed_on if m != machine and m in self._failures]
        job.failed_on.clear()
        job.pauses = 0
        job.paused_until = Instant(0.0)
        return blamed

    def forget_job(self, job: JobId) -> None:
        self._succeeded.discard(job)

    def forget_machine(self, machine: MachineId) -> None:
        self._failures.pop(machine, None)
