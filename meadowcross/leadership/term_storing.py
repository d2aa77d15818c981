"""The part of a term that stores placements and machines, and acts on what became of each write."""

from __future__ import annotations

from collections.abc import Sequence

from meadowcross.common.logging import logger
from meadowcross.common.types import (
    JobId,
    MachineId,
    Mark,
    WallTime,
)
from meadowcross.fleet import messages as fm
from meadowcross.jobs import messages as jm
from meadowcross.jobs.book import Job, Phase, Placement
from meadowcross.leadership.messages import LEADER_KEY
from meadowcross.leadership.term_base import TermBase
from meadowcross.rebuild.messages import PROGRESS_KEY
from meadowcross.store import messages as sm
from meadowcross.store.budget import Urgency
from meadowcross.store.commit import Built
from meadowcross.workers.roster import Machine

log = logger("leadership")


class Storing(TermBase):
    """What follows from a transaction that was stored, refused, or never answered."""

    def _written(self, mark: Mark, changes: Sequence[sm.Put | sm.Drop]) -> None:
        self._wrote = mark
        if self._follower is not None:
            self._follower.written(mark, changes)
        if self._back is not None:
            for change in changes:
                self._back.stored(change.key)

    def _ended(self, job: Job) -> None:
        self._ended_here.add(job.id)
        self.health.forget_job(job)
        self._giving_way.forget(job.id)
        if self._outlooks is not None:
            self._outlooks.ended(job)
        if self._learned is not None:
            self._learned.forget(job.id)

    def _stored(self, placement: Placement) -> None:
        if self._still_placed(placement):
            self._reach("first placement stored")
            placement.phase = Phase.STORED
            self.sender.start(placement)

    def _may_start(self, placement: Placement) -> bool:
        job = self.book.jobs.get(placement.task.job)
        may = (
            not self._stopped
            and job is not None
            and job.cancelled is None
            and self._still_placed(placement)
            and placement.phase is Phase.STORED
        )
        if may:
            self._reach("first start sent")
        return may

    def _on_unsent(self, placement: Placement) -> None:
        """The start was certainly not sent: the task is nowhere."""
        job = self.book.jobs.get(placement.task.job)
        if job is None or placement.started or not self._still_placed(placement):
            return
        self.roster.detach(placement, job.spec, self.now)
        self.book.gone(placement)
        self._after_change(job)
        self.kick()

    def store_machine(self, machine: Machine) -> None:
        def build() -> Built | None:
            if machine.id not in self.roster.machines or not machine.kind.type:
                return None
            record = fm.MachineRecord(
                machine.kind.type, machine.kind.zone, machine.kind.spot, WallTime(machine.rented_at), machine.addr
            )

            def done(mark: Mark) -> None:
                machine.stored = True
                self.kick()

            return Built([], [sm.Put(fm.machine_key(machine.id), sm.raw(record))], done)

        self.committer.add(("machine", machine.id), build, not machine.stored and machine.up)

    def machine_gone(self, name: MachineId) -> None:
        """The cloud's delete of the machine answered 200."""
        machine = self.roster.machines.get(name)
        heard = machine.heard_at if machine is not None else None
        for placement in self.roster.deleted(name):
            job = self.book.jobs.get(placement.task.job)
            if job is not None:
                log.info("task %s attempt %d gone with %s", placement.task, placement.attempt, name)
                self._samples.gone(job, placement, False, heard, self.now)
                self.book.gone(placement)
                job.lost_at = self.now
                self._after_change(job)
        self._cleared(name)
        if self.relays is not None:
            self.relays.forget(name)
        self.health.forget_machine(name)
        self.keeper.drop_later(fm.machine_key(name))
        self.kick()

    async def _reread(self, keys: list[str]) -> None:
        """After a conflict or a lost answer: what do the keys hold now?"""
        # As known before the reads: the watch may tell of something newer while an answer is on its way, and what is
        # older than that then was once taken for a loss of data.
        before = {key: job.mark for key in keys if (job := self.book.jobs.get(JobId(key.removeprefix(jm.OPEN))))}
        items = await self._store.get_all(keys, Urgency.PLACEMENT)
        for key, item in zip(keys, items, strict=True):
            if self._stopped:
                return
            if key == LEADER_KEY:
                if item is None or item.mark != self._leader_condition.mark:
                    self._election.stand_down("the leader key is no longer ours")
                    return
            elif key.startswith(jm.CHUNKS):
                job_id, chunk = jm.parse_chunk_key(key)
                job = self.book.jobs.get(job_id)
                if job is not None and (item.mark if item is not None else 0) < job.chunk_marks.get(chunk, 0):
                    self._lost(f"{key} went back")
                    return
                if job is not None:
                    job.chunk_marks[chunk] = item.mark if item is not None else Mark(0)
            elif key.startswith(jm.OPEN):
                known = self.book.jobs.get(JobId(key.removeprefix(jm.OPEN)))
                if item is not None:
                    if item.mark < before.get(key, 0):
                        self._lost(f"{key} went back")
                        return
                    self._job_seen(item.key, item.value, item.mark)
                elif known is not None and known.mark > 0:
                    # Only a leader moves a job away, so our own lost transaction did.
                    ended = await self._store.get(jm.ended_key(known.id), Urgency.PLACEMENT)
                    if ended is None:
                        self._lost(f"{key} is gone")
                        return
                    if self._follower is not None:
                        # Stored by our lost transaction, too: without it our picture counts one job less.
                        self._follower.found(ended.key, ended)
                    self.book.remove(known.id)
                    self._ended_here.add(known.id)
            elif key == PROGRESS_KEY:
                if self._rebuild is not None:
                    # Ours, carried out without an answer: it is rewritten from where it stands.
                    self._rebuild.eras.progress_found(item)
            elif key.startswith(jm.ENDED) and item is not None:
                # What was about to be written back as open is over.
                over = JobId(key.removeprefix(jm.ENDED))
                self._unproven.pop(over, None)
                self.book.remove(over)
                self._ended_here.add(over)
                if self._back is not None:
                    self._back.stored(jm.open_key(over))
                    self._back.stored(key)
            elif self._back is not None and item is not None:
                self._back.stored(key)
            if self._follower is not None:
                # Only now: what is gone without our doing was lost, and our picture still has it.
                self._follower.found(key, item)
