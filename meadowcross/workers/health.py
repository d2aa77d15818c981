"""Faulty machines and faulty jobs: which of the two is the cause of a failed task.

A faulty machine fails every task that it starts; a job that was submitted with a mistake fails on every machine. One
failure says little, and two faulty jobs that meet on one large machine say nothing against it: how the job runs
elsewhere decides.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from meadowcross.common.types import Instant, JobId, MachineId, Seconds
from meadowcross.jobs.job_table import Job, Placement, PlacementPhase

FIRST_PAUSE_S: Seconds = 2.0
MAX_PAUSE_S: Seconds = 30.0
MAX_PAUSES = 4
"""Doubled this often, the first pause has reached the longest one. The count must be bounded: at one pause for each
failed task of a large array the power exceeds what a float holds."""
OUTLIVED_FACTOR = 2.0
OUTLIVED_MARGIN_S: Seconds = 1.0
"""A task that has run this many times as long as another needed to fail, and this much longer, shows that the job
runs well on its machine."""


class PausedJob(NamedTuple):
    """A job that fails everywhere, and the longest time that a task of it took to fail."""

    job: Job
    failed_after_s: Seconds


class FailureHints(NamedTuple):
    """What the next leader should know of failures."""

    failed_jobs: dict[MachineId, dict[JobId, Seconds]]
    """By machine: the jobs that failed there, and after how long."""
    job_pauses: dict[JobId, tuple[int, Seconds]]
    """How often each paused job was paused, and for how much longer it is."""


class FailureTracker:
    """Decides from failed tasks which machines and which jobs are faulty.

    A machine on which a task failed is quarantined until the job has run elsewhere: it is to be decommissioned if the
    job runs or completes on another machine, and released if the job fails there, too.
    """

    def __init__(self, is_machine_known: Callable[[MachineId], bool]) -> None:
        """`is_machine_known`: whether the registry has a machine of this name."""
        self._is_machine_known = is_machine_known
        self._failures: dict[MachineId, dict[Job, Seconds]] = {}
        """By machine: the jobs that failed there, and after how long."""
        self._paused: dict[JobId, PausedJob] = {}

    def export_hints(self, now: Instant) -> FailureHints:
        """What the next leader should know, in durations, as its clock is another."""
        failures = {
            machine: {job.id: failed_after_s for job, failed_after_s in jobs.items()}
            for machine, jobs in self._failures.items()
        }
        paused = {
            job_id: (paused.job.pause_count, paused.job.paused_until - now) for job_id, paused in self._paused.items()
        }
        return FailureHints(failures, paused)

    def apply_hints(
        self,
        failures: dict[MachineId, dict[JobId, Seconds]],
        paused: dict[JobId, tuple[int, Seconds]],
        jobs: Mapping[JobId, Job],
        now: Instant,
    ) -> None:
        """Take over the hints of the previous leader, as far as their jobs and machines are known here."""
        for machine, failed_jobs in failures.items():
            for job_id, failed_after_s in failed_jobs.items():
                job = jobs.get(job_id)
                if job is not None and self._is_machine_known(machine):
                    job.failed_machines.add(machine)
                    self._failures.setdefault(machine, {})[job] = failed_after_s
        for job_id, (pauses, remaining_s) in paused.items():
            job = jobs.get(job_id)
            if job is not None:
                job.pause_count = min(pauses, MAX_PAUSES)
                job.paused_until = Instant(now + max(0.0, min(remaining_s, MAX_PAUSE_S)))
                self._paused[job_id] = PausedJob(job, 0.0)

    def is_quarantined(self, machine: MachineId) -> bool:
        """Whether a failure on the machine is not explained yet: nothing is placed on it."""
        return machine in self._failures

    def record_failure(self, job: Job, placement: Placement, now: Instant) -> list[MachineId]:
        """A task ended with an error; returns the machines to decommission."""
        machine = placement.machine
        job.failed_machines.add(machine)
        failed_after_s = now - (placement.running_at if placement.running_at is not None else placement.placed_at)
        if len(job.failed_machines) >= 2 and job.is_probing:
            self._pause_job(job, failed_after_s, now)
            return []
        failures = self._failures.setdefault(machine, {})
        failures[job] = max(failed_after_s, failures.get(job, 0.0))
        return self.find_faulty_machines(now)

    def _pause_job(self, job: Job, failed_after_s: Seconds, now: Instant) -> None:
        """The job fails everywhere. After a pause one task at a time shows whether it still does, as well as hundreds
        would; machines on which only this job failed are released."""
        if now >= job.paused_until:
            # Doubled once for all the tasks that fail together.
            job.pause_count = min(job.pause_count + 1, MAX_PAUSES)
            job.paused_until = Instant(now + min(FIRST_PAUSE_S * 2**job.pause_count, MAX_PAUSE_S))
        previous = self._paused.get(job.id)
        longest_s = previous.failed_after_s if previous is not None else 0.0
        self._paused[job.id] = PausedJob(job, max(failed_after_s, longest_s))
        self._release_machines(job)

    def _release_machines(self, job: Job) -> None:
        """Failures of this job count against no machine any more."""
        for machine in job.failed_machines:
            failures = self._failures.get(machine)
            if failures is not None and failures.pop(job, None) is not None and not failures:
                del self._failures[machine]

    def record_success(self, job: Job, machine: MachineId) -> list[MachineId]:
        """A task of the job completed; returns the machines to decommission, as the job failed there."""
        return self._record_sound_machine(job, machine)

    def _record_sound_machine(self, job: Job, machine: MachineId) -> list[MachineId]:
        """The job runs well on this machine, so that the machines where it failed are faulty; returns these."""
        job.healthy_machines.add(machine)
        if not job.failed_machines:
            return []
        faulty = [m for m in job.failed_machines if m != machine and job in self._failures.get(m, ())]
        self._release_machines(job)
        job.failed_machines.clear()
        job.pause_count = 0
        job.paused_until = Instant(0.0)
        self._paused.pop(job.id, None)
        return faulty

    def find_faulty_machines(self, now: Instant) -> list[MachineId]:
        """Machines to decommission: a job that failed there runs or completed elsewhere. To be called regularly, since
        a task that goes on running is no event."""
        faulty: list[MachineId] = []
        for machine, failures in list(self._failures.items()):
            for job, failed_after_s in list(failures.items()):
                sound_machine = self._find_sound_machine(job, failed_after_s, now, machine)
                if sound_machine is not None:
                    job.healthy_machines.add(sound_machine)
                if job.healthy_machine_count > (machine in job.healthy_machines):
                    faulty.append(machine)
        for job, failed_after_s in list(self._paused.values()):
            sound_machine = self._find_sound_machine(job, failed_after_s, now, None)
            if sound_machine is not None:
                faulty.extend(self._record_sound_machine(job, sound_machine))
        return [machine for machine in dict.fromkeys(faulty) if self._is_machine_known(machine)]

    def _find_sound_machine(
        self, job: Job, failed_after_s: Seconds, now: Instant, except_machine: MachineId | None
    ) -> MachineId | None:
        """A machine other than `except_machine` where a task of the job has outlived the failure."""
        required_s = OUTLIVED_FACTOR * failed_after_s + OUTLIVED_MARGIN_S
        for placement in job.placements.values():
            if (
                placement.machine != except_machine
                and placement.phase is PlacementPhase.RUNNING
                and placement.running_at is not None
                and now - placement.running_at >= required_s
            ):
                return placement.machine
        return None

    def forget_job(self, job: Job) -> None:
        """The job ended; its failures count no more."""
        self._release_machines(job)
        self._paused.pop(job.id, None)

    def forget_machine(self, machine: MachineId) -> None:
        """The machine was deleted."""
        self._failures.pop(machine, None)
