"""Faulty machines and faulty jobs: who is to blame for a failed task.

A faulty machine fails every task that it starts; a job that was submitted with a mistake
fails on every machine. So one failure says little, and two faulty jobs that meet on one
large machine say nothing against it: what tells is how the job fares elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from meadowcross.common.types import Instant, JobId, MachineId, Seconds
from meadowcross.jobs.job_table import Job, Placement, PlacementPhase

FIRST_PAUSE_S: Seconds = 2.0
MAX_PAUSE_S: Seconds = 30.0
MAX_PAUSES = 4
"""Doubled so often the first pause is the longest. Once counted for each failed task of a
large array, the power outgrew a float, and every report ended in an error."""
OUTLIVED_FACTOR = 2.0
OUTLIVED_MARGIN_S: Seconds = 1.0
"""A task that has run for so many times as long as another needed to fail, and a little
more, shows that the job is sound there."""


class FailureTracker:
    """A machine that failed a task is suspect, and not offered, until the job has fared
    better or no better elsewhere: condemned where a task of it lives or is done on another
    machine, cleared where it fails there too."""

    def __init__(self, is_machine_known: Callable[[MachineId], bool]) -> None:
        self._is_machine_known = is_machine_known
        self._failures: dict[MachineId, dict[Job, Seconds]] = {}
        """By machine: the jobs that failed there, and how soon."""
        self._paused: dict[JobId, tuple[Job, Seconds]] = {}
        """Jobs to blame, and the longest that a task of theirs took to fail."""

    def export_hints(
        self, now: Instant
    ) -> tuple[dict[MachineId, dict[JobId, Seconds]], dict[JobId, tuple[int, Seconds]]]:
        """For the next leader: which machines failed tasks of which jobs, how soon; which jobs are paused, and for
        how much longer."""
        failures = {name: {job.id: took for job, took in jobs.items()} for name, jobs in self._failures.items()}
        return failures, {name: (job.pause_count, job.paused_until - now) for name, (job, _) in self._paused.items()}

    def apply_hints(
        self,
        failures: dict[MachineId, dict[JobId, Seconds]],
        paused: dict[JobId, tuple[int, Seconds]],
        jobs: Mapping[JobId, Job],
        now: Instant,
    ) -> None:
        """The same, from the leader before."""
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
                self._paused[job_id] = (job, 0.0)

    def is_quarantined(self, machine: MachineId) -> bool:
        return machine in self._failures

    def record_failure(self, job: Job, placement: Placement, now: Instant) -> list[MachineId]:
        """A task ended with an error; returns the machines to condemn."""
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
        """It fails everywhere. After a pause one task at a time asks whether it still does,
        which says as much as hundreds would; machines that failed only it are cleared."""
        if now >= job.paused_until:
            # Once for all the tasks that fail together.
            job.pause_count = min(job.pause_count + 1, MAX_PAUSES)
            job.paused_until = Instant(now + min(FIRST_PAUSE_S * 2**job.pause_count, MAX_PAUSE_S))
        _, longest_s = self._paused.get(job.id, (job, 0.0))
        self._paused[job.id] = (job, max(failed_after_s, longest_s))
        self._release_machines(job)

    def _release_machines(self, job: Job) -> None:
        for machine in job.failed_machines:
            failures = self._failures.get(machine)
            if failures is not None and failures.pop(job, None) is not None and not failures:
                del self._failures[machine]

    def record_success(self, job: Job, machine: MachineId) -> list[MachineId]:
        """A task of the job completed; returns machines that failed it, which are to blame."""
        return self._record_sound_machine(job, machine)

    def _record_sound_machine(self, job: Job, machine: MachineId) -> list[MachineId]:
        """The job fares well on this machine: those that failed it are to blame."""
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
        """Machines to condemn: a job that failed there lives or was done elsewhere. It is
        asked regularly, since living on is no event."""
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
        """A machine, another than `besides`, where a task of the job has outlived the failure."""
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
        """It ended. What it failed is suspect no longer on its account."""
        self._release_machines(job)
        self._paused.pop(job.id, None)

    def forget_machine(self, machine: MachineId) -> None:
        self._failures.pop(machine, None)
