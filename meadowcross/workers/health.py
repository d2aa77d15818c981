"""Decides whether the machine or the job is the cause of a failed task.

A faulty machine fails every task that it starts; a faulty job, submitted with a mistake, fails on every machine. One
failure is not enough evidence, and neither are the failures of two faulty jobs on one large machine: the decision
depends on how the job runs on other machines.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, JobId, MachineId, Seconds
from meadowcross.jobs.job_table import Job, Placement, PlacementPhase
from meadowcross.workers.quarantine import Quarantine, Trial, outlived_after_s

log = get_logger("workers")

FIRST_PAUSE_S: Seconds = 2.0
MAX_PAUSE_S: Seconds = 30.0
MAX_PAUSES = 4
"""Number of doublings after which the first pause has reached the longest one. The count must be bounded: with one
doubling for each failed task of a large array, the power would exceed the range of a float."""


class FaultyJob(NamedTuple):
    """A job that is at fault itself, and the longest time that one of its tasks took to fail."""

    job: Job
    failed_after_s: Seconds


class FailureHints(NamedTuple):
    """The failures that a leader passes on to the next leader."""

    failed_jobs: dict[MachineId, dict[JobId, Seconds]]
    """By machine: the jobs that failed on it, and the time that each took to fail."""
    job_pauses: dict[JobId, tuple[int, Seconds]]
    """By paused job: the number of its pauses, and the time left of its present pause."""


class FailureTracker:
    """Decides from failed tasks which machines and which jobs are faulty.

    A machine on which a task failed is quarantined until the job has run on another machine: the quarantined machine
    is to be decommissioned if the job runs or completes there, and released if the job fails there, too. If no other
    machine shows it, a trial on the machine itself does, one job at a time after a pause.
    """

    def __init__(self, is_machine_known: Callable[[MachineId], bool]) -> None:
        """`is_machine_known` returns whether the registry has a machine of this name."""
        self._is_machine_known = is_machine_known
        self._quarantines: dict[MachineId, Quarantine] = {}
        self._faulty_jobs: dict[JobId, FaultyJob] = {}

    def export_hints(self, now: Instant) -> FailureHints:
        """Return the hints for the next leader, in durations, because its clock differs."""
        failures = {
            machine: {job.id: failed_after_s for job, failed_after_s in quarantine.failures.items()}
            for machine, quarantine in self._quarantines.items()
        }
        paused = {
            job_id: (paused.job.pause_count, paused.job.paused_until - now)
            for job_id, paused in self._faulty_jobs.items()
        }
        return FailureHints(failures, paused)

    def apply_hints(
        self,
        failures: dict[MachineId, dict[JobId, Seconds]],
        paused: dict[JobId, tuple[int, Seconds]],
        jobs: Mapping[JobId, Job],
        now: Instant,
    ) -> None:
        """Apply the previous leader's hints of the jobs and machines that are known to this leader.

        Machines on which a task failed are quarantined with a first pause that begins now.
        """
        for machine, failed_jobs in failures.items():
            for job_id, failed_after_s in failed_jobs.items():
                job = jobs.get(job_id)
                if job is not None and self._is_machine_known(machine):
                    job.failed_machines.add(machine)
                    quarantine = self._quarantines.setdefault(machine, Quarantine(machine))
                    quarantine.record_failure(job, failed_after_s, now)
        for job_id, (pauses, remaining_s) in paused.items():
            job = jobs.get(job_id)
            if job is not None:
                job.pause_count = min(pauses, MAX_PAUSES)
                job.paused_until = Instant(now + max(0.0, min(remaining_s, MAX_PAUSE_S)))
                self._faulty_jobs[job_id] = FaultyJob(job, 0.0)

    def is_quarantined(self, machine: MachineId) -> bool:
        """Whether a failure on the machine has no known cause yet; until then only trials are placed on the machine."""
        return machine in self._quarantines

    def list_machines_for_trial(self, now: Instant) -> list[MachineId]:
        """Return the quarantined machines on which one job may be placed now."""
        return [machine for machine, quarantine in self._quarantines.items() if quarantine.may_begin_trial(now)]

    def begin_trial(self, job: Job, placement: Placement) -> None:
        """Record that a task of the job is placed on a quarantined machine, to show whether tasks still fail there."""
        self._quarantines[placement.machine].trial = Trial(job, placement)
        log.info("quarantine trial machine=%s job=%s", placement.machine, job.id)

    def record_failure(self, job: Job, placement: Placement, now: Instant) -> list[MachineId]:
        """Record that a task ended with an error; return the machines to decommission."""
        machine = placement.machine
        job.failed_machines.add(machine)
        failed_after_s = now - (placement.running_at if placement.running_at is not None else placement.placed_at)
        if job.is_probing and (len(job.failed_machines) >= 2 or job.has_failed_on_healthy_machine):
            self._pause_job(job, failed_after_s, now)
            return []
        quarantine = self._quarantines.setdefault(machine, Quarantine(machine))
        if quarantine.record_failure(job, failed_after_s, now):
            log.info(
                "machine quarantined machine=%s job=%s failed_after_s=%.1f pause_s=%.1f",
                machine,
                job.id,
                failed_after_s,
                quarantine.paused_until - now,
            )
        return self.find_faulty_machines(now)

    def _pause_job(self, job: Job, failed_after_s: Seconds, now: Instant) -> None:
        """Pause a job that fails on all machines, and release the machines on which only this job failed.

        After the pause, one task at a time is enough to show whether the job still fails.
        """
        if now >= job.paused_until:
            # Tasks that fail during a pause do not double it again.
            job.pause_count = min(job.pause_count + 1, MAX_PAUSES)
            job.paused_until = Instant(now + min(FIRST_PAUSE_S * 2**job.pause_count, MAX_PAUSE_S))
        previous = self._faulty_jobs.get(job.id)
        longest_s = previous.failed_after_s if previous is not None else 0.0
        self._faulty_jobs[job.id] = FaultyJob(job, max(failed_after_s, longest_s))
        self._release_machines(job)

    def _release_machines(self, job: Job) -> None:
        """Remove the job's failures from all machines, and release the machines without other failures."""
        for machine in job.failed_machines:
            quarantine = self._quarantines.get(machine)
            if quarantine is None or quarantine.failures.pop(job, None) is None or quarantine.failures:
                continue
            del self._quarantines[machine]
            log.info("quarantine ended machine=%s job=%s", machine, job.id)

    def record_success(self, job: Job, placement: Placement) -> list[MachineId]:
        """Record that a task of the job completed; return the machines to decommission."""
        quarantine = self._quarantines.get(placement.machine)
        if quarantine is not None and quarantine.is_disproved_by(placement):
            self._release_proven_machine(quarantine, job)
        return self._record_healthy_machine(job, placement.machine)

    def _release_proven_machine(self, quarantine: Quarantine, job: Job) -> None:
        """Release a machine on which the job has run after the failures: those were temporary, or the other jobs'."""
        for failed_job, failed_after_s in quarantine.failures.items():
            if failed_job is not job:
                failed_job.has_failed_on_healthy_machine = True
                self._faulty_jobs.setdefault(failed_job.id, FaultyJob(failed_job, failed_after_s))
        del self._quarantines[quarantine.machine]
        log.info("quarantine ended machine=%s job=%s", quarantine.machine, job.id)

    def _record_healthy_machine(self, job: Job, machine: MachineId) -> list[MachineId]:
        """Record that the job runs well on a machine; return the machines where the job failed, which are faulty."""
        job.healthy_machines.add(machine)
        if not job.failed_machines:
            return []
        faulty_machines = [
            failed
            for failed in job.failed_machines
            if failed != machine and failed in self._quarantines and job in self._quarantines[failed].failures
        ]
        self._release_machines(job)
        job.failed_machines.clear()
        job.has_failed_on_healthy_machine = False
        job.pause_count = 0
        job.paused_until = Instant(0.0)
        self._faulty_jobs.pop(job.id, None)
        return faulty_machines

    def find_faulty_machines(self, now: Instant) -> list[MachineId]:
        """Return the machines to decommission: a job that failed there runs or completed on another machine.

        Machines whose trial has run for long enough are released. To be called regularly, since no event shows that a
        task continues to run.
        """
        faulty_machines: list[MachineId] = []
        for machine, quarantine in list(self._quarantines.items()):
            for job, failed_after_s in list(quarantine.failures.items()):
                healthy_machine = self._find_healthy_machine(job, failed_after_s, now, machine)
                if healthy_machine is not None:
                    job.healthy_machines.add(healthy_machine)
                if job.healthy_machine_count > (machine in job.healthy_machines):
                    faulty_machines.append(machine)
        for job, failed_after_s in list(self._faulty_jobs.values()):
            healthy_machine = self._find_healthy_machine(job, failed_after_s, now, None)
            if healthy_machine is not None:
                faulty_machines.extend(self._record_healthy_machine(job, healthy_machine))
        faulty_machines += self._end_passed_trials(faulty_machines, now)
        return [machine for machine in dict.fromkeys(faulty_machines) if self._is_machine_known(machine)]

    def _end_passed_trials(self, faulty_machines: Collection[MachineId], now: Instant) -> list[MachineId]:
        """Release the machines whose trials have passed; return the machines that these show to be faulty."""
        shown_faulty: list[MachineId] = []
        for quarantine in list(self._quarantines.values()):
            trial = quarantine.trial
            if trial is None or quarantine.machine in faulty_machines or not quarantine.has_passed_trial(now):
                continue
            if quarantine.machine in self._quarantines:
                self._release_proven_machine(quarantine, trial.job)
                shown_faulty += self._record_healthy_machine(trial.job, quarantine.machine)
        return shown_faulty

    def _find_healthy_machine(
        self, job: Job, failed_after_s: Seconds, now: Instant, excluded_machine: MachineId | None
    ) -> MachineId | None:
        """Return a machine other than `excluded_machine` where a task of the job has outlived the failure, or None."""
        min_run_s = outlived_after_s(failed_after_s)
        for placement in job.placements.values():
            if (
                placement.machine != excluded_machine
                and placement.phase is PlacementPhase.RUNNING
                and placement.running_at is not None
                and now - placement.running_at >= min_run_s
            ):
                return placement.machine
        return None

    def forget_job(self, job: Job) -> None:
        """Remove all failures of an ended job."""
        self._release_machines(job)
        self._faulty_jobs.pop(job.id, None)

    def forget_machine(self, machine: MachineId) -> None:
        """Remove all failures on a deleted machine."""
        self._quarantines.pop(machine, None)
