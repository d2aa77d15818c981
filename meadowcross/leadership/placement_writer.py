"""The part of a term that stores placements and machines, and acts on what became of each write."""

from __future__ import annotations

from collections.abc import Sequence

from meadowcross.autoscaling import messages as fm
from meadowcross.common.logging import get_logger
from meadowcross.common.types import (
    JobId,
    MachineId,
    Revision,
    WallTime,
)
from meadowcross.jobs import messages as jm
from meadowcross.jobs.job_table import Job, Placement, PlacementPhase
from meadowcross.leadership.messages import LEADER_KEY
from meadowcross.leadership.term_base import TermBase
from meadowcross.recovery.messages import RECOVERY_PROGRESS_KEY
from meadowcross.store import messages as sm
from meadowcross.store.group_commit import Write
from meadowcross.store.token_bucket import RequestPriority
from meadowcross.workers.machine import Machine

log = get_logger("leadership")


class PlacementWriter(TermBase):
    """What follows from a transaction that was stored, refused, or never answered."""

    def _on_written(self, mark: Revision, changes: Sequence[sm.Put | sm.Delete]) -> None:
        self._last_write_revision = mark
        if self._follower is not None:
            self._follower.apply_own_write(mark, changes)
        if self._active_write_back is not None:
            for change in changes:
                self._active_write_back.on_stored(change.key)

    def _on_job_ended(self, job: Job) -> None:
        self._known_ended.add(job.id)
        self.health.forget_job(job)
        self._preemption.forget(job.id)
        if self._forecaster is not None:
            self._forecaster.on_job_ended(job)
        if self._learned is not None:
            self._learned.forget(job.id)

    def _on_placement_stored(self, placement: Placement) -> None:
        if self._is_current_placement(placement):
            self._log_milestone("first placement stored")
            placement.phase = PlacementPhase.STORED
            self.dispatcher.enqueue_start(placement)

    def _may_start(self, placement: Placement) -> bool:
        job = self.job_table.jobs.get(placement.task.job)
        may_start = (
            not self._stopped
            and job is not None
            and job.cancelled_at is None
            and self._is_current_placement(placement)
            and placement.phase is PlacementPhase.STORED
        )
        if may_start:
            self._log_milestone("first start sent")
        return may_start

    def _on_start_not_sent(self, placement: Placement) -> None:
        """The start was certainly not sent: the task is nowhere."""
        job = self.job_table.jobs.get(placement.task.job)
        if job is None or placement.may_have_started or not self._is_current_placement(placement):
            return
        self.worker_registry.unassign(placement, job.spec, self.now)
        self.job_table.release(placement)
        self._after_release(job)
        self.schedule_pass()

    def store_machine(self, machine: Machine) -> None:
        def build() -> Write | None:
            if machine.id not in self.worker_registry.machines or not machine.kind.type:
                return None
            record = fm.MachineRecord(
                machine.kind.type, machine.kind.zone, machine.kind.spot, WallTime(machine.rented_at), machine.address
            )

            def done(mark: Revision) -> None:
                machine.is_stored = True
                self.schedule_pass()

            return Write([], [sm.Put(fm.machine_key(machine.id), sm.encode_raw(record))], done)

        self.group_committer.enqueue(("machine", machine.id), build, not machine.is_stored and machine.is_up)

    def on_machine_deleted(self, name: MachineId) -> None:
        """The cloud's delete of the machine answered 200."""
        machine = self.worker_registry.machines.get(name)
        last_contact_at = machine.contact.last_contact_at if machine is not None else None
        for placement in self.worker_registry.remove(name):
            job = self.job_table.jobs.get(placement.task.job)
            if job is not None:
                log.info("task %s attempt %d gone with %s", placement.task, placement.attempt, name)
                self._samples.gone(job, placement, False, last_contact_at, self.now)
                self.job_table.release(placement)
                job.last_loss_at = self.now
                self._after_release(job)
        self._on_machine_verified(name)
        if self.relay_pool is not None:
            self.relay_pool.forget(name)
        self.health.forget_machine(name)
        self.job_writer.enqueue_delete(fm.machine_key(name))
        self.schedule_pass()

    async def _reread_keys(self, keys: list[str]) -> None:
        """After a conflict or a lost answer: what do the keys hold now?"""
        # As known before the reads: the watch may tell of something newer while an answer is on its way, and what is
        # older than that then was once taken for a loss of data.
        revisions_before = {
            key: job.mod_revision
            for key in keys
            if (job := self.job_table.jobs.get(JobId(key.removeprefix(jm.OPEN_PREFIX))))
        }
        items = await self._store.get_all(keys, RequestPriority.PLACEMENT)
        for key, item in zip(keys, items, strict=True):
            if self._stopped:
                return
            if key == LEADER_KEY:
                if item is None or item.mod_revision != self._leader_condition.mod_revision:
                    self._election.step_down("the leader key is no longer ours")
                    return
            elif key.startswith(jm.CHUNK_PREFIX):
                job_id, chunk = jm.parse_chunk_key(key)
                job = self.job_table.jobs.get(job_id)
                if job is not None and (item.mod_revision if item is not None else 0) < job.chunk_revisions.get(
                    chunk, 0
                ):
                    self._report_data_loss(f"{key} went back")
                    return
                if job is not None:
                    job.chunk_revisions[chunk] = item.mod_revision if item is not None else Revision(0)
            elif key.startswith(jm.OPEN_PREFIX):
                known_job = self.job_table.jobs.get(JobId(key.removeprefix(jm.OPEN_PREFIX)))
                if item is not None:
                    if item.mod_revision < revisions_before.get(key, 0):
                        self._report_data_loss(f"{key} went back")
                        return
                    self._apply_job_record(item.key, item.value, item.mod_revision)
                elif known_job is not None and known_job.mod_revision > 0:
                    # Only a leader moves a job away, so our own lost transaction did.
                    ended = await self._store.get(jm.ended_key(known_job.id), RequestPriority.PLACEMENT)
                    if ended is None:
                        self._report_data_loss(f"{key} is gone")
                        return
                    if self._follower is not None:
                        # Stored by our lost transaction, too: without it our picture counts one job less.
                        self._follower.apply_read(ended.key, ended)
                    self.job_table.remove(known_job.id)
                    self._known_ended.add(known_job.id)
            elif key == RECOVERY_PROGRESS_KEY:
                if self._recovery is not None:
                    # Ours, carried out without an answer: it is rewritten from where it stands.
                    self._recovery.store_epochs.load_progress(item)
            elif key.startswith(jm.ENDED_PREFIX) and item is not None:
                # What was about to be written back as open is over.
                ended_job_id = JobId(key.removeprefix(jm.ENDED_PREFIX))
                self._unconfirmed_ends.pop(ended_job_id, None)
                self.job_table.remove(ended_job_id)
                self._known_ended.add(ended_job_id)
                if self._active_write_back is not None:
                    self._active_write_back.on_stored(jm.open_key(ended_job_id))
                    self._active_write_back.on_stored(key)
            elif self._active_write_back is not None and item is not None:
                self._active_write_back.on_stored(key)
            if self._follower is not None:
                # Only now: what is gone without our doing was lost, and our picture still has it.
                self._follower.apply_read(key, item)
