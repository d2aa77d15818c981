"""The part of a term that takes reports and settles what they prove."""

from __future__ import annotations

from meadowcross.common.logging import get_logger
from meadowcross.common.types import (
    Instant,
    MachineKind,
    NodeName,
    Seconds,
)
from meadowcross.estimates.samples import Where
from meadowcross.jobs.job_table import Job, Placement
from meadowcross.leadership.term_base import TermBase
from meadowcross.workers import messages as wm
from meadowcross.workers.dispatcher import commands_for
from meadowcross.workers.eviction import plan_reclaim_evictions
from meadowcross.workers.machine import Machine
from meadowcross.workers.registry import StaleTokenError, TaskChange, TaskOutcome

log = get_logger("leadership")

UNHEALTHY_REASON = "it failed what fares well elsewhere"


class HeartbeatHandler(TermBase):
    """Takes whole reports, from workers or relays, answers them, and acts on what they prove."""

    def handle_heartbeat(
        self, heartbeat: wm.Heartbeat, relay: NodeName | None = None
    ) -> wm.HeartbeatResponse | wm.Redirect | None:
        """A worker's report, come to us or whole through a relay (`via`); None: we don't lead any more."""
        if not self.loaded:
            # Renews leases while the picture is being read; proves nothing yet.
            return (
                wm.HeartbeatResponse(self.token, self._stops_before_load(heartbeat))
                if heartbeat.token <= self.token
                else None
            )
        if self.autoscaler.is_deleted(heartbeat.machine):
            return wm.HeartbeatResponse(self.token, [])
        known_machine = self.worker_registry.machines.get(heartbeat.machine)
        # A copy that comes late says nothing of whom its machine reaches now.
        is_copy = known_machine is not None and heartbeat.version <= max(
            known_machine.proof.heartbeat_version, known_machine.proof.renewed_version
        )
        try:
            is_newest = self._apply_heartbeat(heartbeat)
        except StaleTokenError as error:
            self._election.step_down(str(error))
            return None
        machine = self.worker_registry.machines[heartbeat.machine]
        if not is_copy:
            machine.contact.last_heartbeat_at = self.now
            if self.relay_pool is not None and (other_node := self.relay_pool.assign_relay(machine, relay)) is not None:
                return wm.Redirect(other_node)
        return wm.HeartbeatResponse(self.token, commands_for(machine, self.job_table) if is_newest else [])

    def is_settled(self, heartbeat: wm.Heartbeat) -> bool:
        """Whether the same report again would be answered with no command, and would tell nothing new."""
        machine = self.worker_registry.machines.get(heartbeat.machine)
        return (
            machine is not None
            and heartbeat.token == self.token
            and heartbeat.version == machine.proof.heartbeat_version
            and machine.proof.reconciled_tasks is not None
            and not machine.reported.stale
            and not machine.reported.orphaned
            and all(task.state is not wm.TaskState.EXITED for task in heartbeat.tasks)
            and all(placement.stop_requested_at is None for placement in machine.placements.values())
        )

    def _on_command_response(self, heartbeat: wm.Heartbeat) -> None:
        if self._stopped or heartbeat.machine not in self.worker_registry.machines:
            return
        try:
            self._apply_heartbeat(heartbeat)
        except StaleTokenError as error:
            self._election.step_down(str(error))

    def _apply_heartbeat(self, heartbeat: wm.Heartbeat) -> bool:
        machine = self.add_machine(
            heartbeat.machine, MachineKind(heartbeat.machine_type, heartbeat.zone, heartbeat.spot)
        )
        is_first = not machine.is_up
        previous_addr = machine.address
        was_confirmed = machine.proof.has_confirmed_token
        previous_reclaim_at = machine.reclaim_at
        previous_incarnation = machine.proof.heartbeat_version.incarnation
        if (
            machine.is_up
            and self.scheduling_view.is_silent(machine)
            and heartbeat.version > machine.proof.heartbeat_version
        ):
            machine.contact.silence_ended_at = self.now
        outcomes = self.worker_registry.apply_heartbeat(machine, heartbeat, self.now)
        if outcomes is not None and (machine.reported.stale or machine.reported.exited):
            if self._is_recovery_unsettled():
                self._adopt_orphans(machine)
            else:
                self._detect_lost_records(machine)
        if machine.proof.has_confirmed_token and not was_confirmed:
            self._on_machine_verified(machine.id)
        if machine.address != previous_addr or not machine.is_stored:
            self.store_machine(machine)
        if is_first and machine.is_up and previous_addr is None:
            self.autoscaler.on_machine_up(machine)
        if is_first and machine.is_up:
            log.info("machine %s (%s) reports first", machine.id, machine.kind.type)
        if machine.proof.heartbeat_version.incarnation > previous_incarnation > 0:
            log.info("machine %s began session %d", machine.id, machine.proof.heartbeat_version.incarnation)
        if machine.reclaim_at is not None and previous_reclaim_at is None:
            log.info("machine %s is taken back in %.0f s", machine.id, machine.reclaim_at - self.now)
        for outcome in outcomes or ():
            self._apply_outcome(machine, outcome)
        if machine.proof.has_confirmed_token and not was_confirmed and self._awaited_answers > 0:
            self._awaited_answers -= 1
            if not self._awaited_answers:
                self._log_milestone("nine of ten machines answered")
                if self._active_write_back is None and self._unverified_machines:
                    # After a cold start that is enough: a store that lost its last seconds would have shown by now.
                    self._unverified_machines.clear()
                    self.schedule_pass()
        if outcomes or (machine.proof.has_confirmed_token and not was_confirmed):
            self.schedule_pass()
        return outcomes is not None

    def _apply_outcome(self, machine: Machine, outcome: TaskOutcome) -> None:
        placement = outcome.placement
        job = self.job_table.jobs.get(placement.task.job)
        if job is None:
            self.worker_registry.machines[machine.id].placements.pop(placement.task, None)
            return
        now = self.now
        if outcome.change is TaskChange.RUNNING:
            machine.images.record(job.spec.image)
            log.debug("task %s runs on %s after %.2f s", placement.task, machine.id, now - placement.placed_at)
            return
        if outcome.change is TaskChange.WAITING:
            machine.images.record(job.spec.image)
            return
        self.worker_registry.unassign(placement, job.spec, now)
        if outcome.change is TaskChange.DONE:
            if placement.running_at is not None:
                log.debug("task %s done on %s after %.2f s", placement.task, machine.id, now - placement.running_at)
            run_site = Where(
                machine.id,
                machine.kind.type,
                not self.health.is_quarantined(machine.id),
                machine.contact.silence_ended_at,
            )
            self._samples.done(job, placement, run_site, now)
            machine.images.record(job.spec.image)
            self.job_table.complete_task(placement)
            self._decommission(self.health.record_success(job, machine.id), UNHEALTHY_REASON)
        else:
            log.info(
                "task %s attempt %d gone from %s: %s",
                placement.task,
                placement.attempt,
                machine.id,
                outcome.exit_reason,
            )
            self._samples.gone(job, placement, outcome.has_saved_progress, None, now)
            self.job_table.release(placement)
            job.last_loss_at = now
            if outcome.exit_reason in (wm.EXIT_ERROR, wm.EXIT_UNKNOWN_JOB) and job.cancelled_at is None:
                self._decommission(self.health.record_failure(job, placement, now), UNHEALTHY_REASON)
            elif outcome.exit_reason == wm.EXIT_NO_ROOM:
                job.paused_until = Instant(now + 0.5)
        self._after_release(job)

    def _after_release(self, job: Job) -> None:
        if job.is_gang and not job.placements:
            job.gang_attempt = None
        if not self.job_writer.enqueue_end_if_due(job):
            self.job_writer.enqueue_dirty_chunks()

    def stop_task(self, placement: Placement, grace_s: Seconds) -> None:
        if placement.stop_requested_at is None or grace_s < placement.grace_s:
            placement.stop_requested_at = self.now
            placement.grace_s = grace_s
            # Repeated with each answer to a report, so a relay must not answer the next one by itself.
            self.worker_registry.machines[placement.machine].proof.reconciled_tasks = None
            self.dispatcher.enqueue_stop(placement)

    def _evict_reclaimed(self) -> None:
        for machine in self.worker_registry.machines.values():
            if (
                machine.reclaim_at is None
                or machine.decommission_reason is not None
                or not machine.proof.has_confirmed_token
            ):
                continue
            if not machine.placements:
                self.autoscaler.decommission(machine, "to be taken back, and empty")
            for placement, grace in plan_reclaim_evictions(machine, self.job_table, self.runs, self.now):
                self.stop_task(placement, grace)
