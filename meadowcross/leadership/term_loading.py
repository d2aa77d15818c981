"""The part of a term that builds its picture, and keeps it up with what users store."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from typing import TypeVar

import msgspec
from twisted.internet.defer import Deferred

from meadowcross.common.clock import pause
from meadowcross.common.logging import logger
from meadowcross.common.types import (
    Instant,
    JobId,
    MachineId,
    MachineKind,
    Mark,
    NodeName,
    Seconds,
    TaskId,
    WallTime,
    mark_of,
)
from meadowcross.estimates.runs import MeanRuns
from meadowcross.fleet import messages as fm
from meadowcross.jobs import messages as jm
from meadowcross.jobs.book import Job
from meadowcross.leadership.term_base import TermBase
from meadowcross.leadership.term_losses import ATTEMPTS_LOST
from meadowcross.rebuild.gather import Rebuild, picture_of
from meadowcross.replica.messages import Hints
from meadowcross.replica.picture import Picture
from meadowcross.replica.proof import differences
from meadowcross.store import messages as sm
from meadowcross.store.client import Refused, Unavailable, Unknown, WatchTooOld

log = logger("leadership")

TICK_S: Seconds = 0.5
WATCH_S: Seconds = 20.0
ESTIMATES_AFTER_S: Seconds = 3.0


MACHINES_A_SLICE = 500
JOBS_A_SLICE = 50
CHUNKS_A_SLICE = 5
"""Each some ten milliseconds of work."""
T = TypeVar("T")


class Loading(TermBase):
    """Loads machines, jobs and placements, follows open jobs, and tells peers what only a leader knows."""

    async def _load_and_watch(self) -> None:
        revision: Mark | None = None
        while not self._stopped and revision is None:
            try:
                revision = await self._load()
            except (Unavailable, Unknown, Refused) as error:
                log.info("loading waits: %s", error)
                await pause(self._clock, 0.3)
        if self._stopped or revision is None:
            return
        self._presume()
        self.loaded = True
        if self._rebuild is not None and self._merged is not None:
            self._write_back(self._rebuild, self._merged)
        elif self._cold and self._rebuild is not None:
            # All nodes ended. If the store lost its last minutes meanwhile, a machine runs what no record tells of.
            self._doubted = {m.id for m in self.roster.machines.values() if m.addr is not None}
            for name in self._doubted:
                self.roster.machines[name].presumed_at = self.now
        log.info(
            "term %d: %d open jobs, %d machines, %d placements, %s, %s",
            self.token,
            len(self.book.jobs),
            len(self.roster.machines),
            sum(len(m.placements) for m in self.roster.machines.values()),
            "followed" if self._followed else "read",
            "with hints" if self._hints is not None else "without hints",
        )
        # First where work that waits may go, then where most is about to end.
        reached = sorted(
            (machine for machine in self.roster.machines.values() if machine.addr is not None),
            key=lambda machine: (machine.id not in self.roster.roomy, -len(machine.placements), machine.id),
        )
        self._unanswered = len(reached) - len(reached) // 10
        for machine in reached:
            self.sender.greet(machine.id)
        self.fleet.start()
        self._tick.start(TICK_S)
        if self._followed:
            Deferred.fromCoroutine(self._prove())
        if self.estimates is not None:
            # The first seconds belong to the workers, the first placements and the users.
            self._clock.callLater(ESTIMATES_AFTER_S, self.estimates.start)
        await self._watch(revision)

    async def _picture(self) -> tuple[list[sm.Item], list[sm.Item], list[sm.Item], Mark]:
        """Machines, open jobs and chunks, complete up to a revision: as followed, or read now."""
        if self._rebuild is not None and self._rebuild.wanted():
            return await self._rebuilt(self._rebuild)
        picture = await self._follower.take(mark_of(self.token)) if self._follower is not None else None
        if picture is None:
            machines, _ = await self._store.list(fm.MACHINES)
            jobs, revision = await self._store.list(jm.OPEN)
            chunks, _ = await self._store.list(jm.CHUNKS)
            if self._follower is not None:
                read = Picture()
                read.read([*machines, *jobs, *chunks], revision)
                self._follower.lead(read, False)
            return machines, jobs, chunks, revision
        assert self._follower is not None
        self._follower.lead(picture, True)
        self._followed = True
        return picture.items(fm.MACHINES), picture.items(jm.OPEN), picture.items(jm.CHUNKS), picture.revision

    async def _rebuilt(self, rebuild: Rebuild) -> tuple[list[sm.Item], list[sm.Item], list[sm.Item], Mark]:
        """After a loss: what is still known somewhere, with the versions that the store has of it now."""
        merged, revision = await rebuild.gather()
        self._merged = merged
        if self._follower is not None:
            self._follower.lead(picture_of(merged, revision), True)
        return merged.under(fm.MACHINES), merged.under(jm.OPEN), merged.under(jm.CHUNKS), revision

    async def _load(self) -> Mark:
        machines, jobs, chunks, revision = await self._picture()
        now = self.now
        async for item in self._in_slices(machines, MACHINES_A_SLICE):
            record = fm.decode_record(item.value)
            kind = MachineKind(record.type, record.zone, record.spot)
            machine = self.add_machine(MachineId(item.key.removeprefix(fm.MACHINES)), kind)
            machine.addr = record.addr
            machine.rented_at = Instant(min(now, record.rented))
            machine.rented_known = True
            machine.stored = True
        async for item in self._in_slices(jobs, JOBS_A_SLICE):
            self._job_seen(item.key, item.value, item.mark)
        async for item in self._in_slices(chunks, CHUNKS_A_SLICE):
            job_id, chunk = jm.parse_chunk_key(item.key)
            job = self.book.jobs.get(job_id)
            if job is None:
                self.keeper.drop_later(item.key)
                continue
            job.chunk_marks[chunk] = item.mark
            first = job.chunk_range(chunk).start
            for index, attempt, name in job.load_chunk(first, jm.decode_chunk(item.value)):
                placement = self.book.inherit(job, index, attempt, name, now)
                machine = self.add_machine(MachineId(name), MachineKind("", "", False))
                self.roster.attach(machine, placement, job.spec)
        async for job in self._in_slices(list(self.book.jobs.values()), JOBS_A_SLICE):
            self.book.rebuild_waiting(job)
            if job.is_gang and job.placed:
                job.gang_attempt = max(p.attempt for p in job.placed.values())
            self.keeper.check_end(job)
            if job.cancelled is not None:
                self._clear(job)
        return revision

    async def _in_slices(self, items: Sequence[T], size: int) -> AsyncIterator[T]:
        """The items, with a turn of the loop after so many: 50,000 placements took a second and more at once, in which
        no renewal went out, and the hold of a new leader ended before it had begun."""
        for number, item in enumerate(items, 1):
            if self._stopped:
                return
            yield item
            if number % size == 0:
                await pause(self._clock, 0.0)

    async def _prove(self) -> None:
        """Compare what was followed with the store, behind everything else. Each write is conditional, so a
        difference broke no rule yet; but nobody knows what else is wrong, so all is read anew by a new term."""
        assert self._follower is not None
        picture = self._follower.picture
        differ = await differences(
            self._clock, self._store, picture, lambda: not self._stopped and picture is self._picture_now()
        )
        if differ:
            log.error("the picture differs from the store in %d keys: %s", len(differ), ", ".join(differ[:5]))
            self._follower.let_go("it differs from the store")
            self._election.stand_down("its picture differed from the store")

    def _presume(self) -> None:
        """Take the hints of the leader before: whom to wait for, what to expect. They prove nothing."""
        hints, now = self._hints, self.now
        if hints is None:
            return
        for name, session in hints.sessions.items():
            machine = self.roster.machines.get(name)
            if machine is not None:
                machine.presumed_session = session
                machine.presumed_at = Instant(now - hints.silent.get(name, 0.0))
                if (left := hints.notices.get(name)) is not None:
                    machine.taken_at = Instant(now + left)
        self.fleet.presume(
            hints.boots,
            [(MachineKind(name, zone, spot), left) for name, zone, spot, left in hints.closed],
            hints.pressed,
        )
        self.health.presume(hints.blamed, hints.pauses, self.book.jobs, now)
        self._giving_way.presume(hints.asked, now)
        if isinstance(self.runs, MeanRuns):
            self.runs.ratios.update(hints.ratios)

    def tell(self) -> Hints | None:
        """All that only this leader knows, for whoever leads next."""
        if not self.loaded or self._stopped:
            return None
        now = self.now
        machines = [m for m in self.roster.machines.values() if m.up or m.presumed_at is not None]
        boots, closed, pressed = self.fleet.known()
        blamed, pauses = self.health.known(now)
        hints = Hints(
            NodeName(""),
            self.token,
            0,
            "",
            sessions={m.id: m.version.session or m.presumed_session for m in machines},
            silent={m.id: round(self.view.silence(m), 1) for m in machines if self.view.silent(m)},
            notices={m.id: round(m.taken_at - now, 1) for m in machines if m.taken_at is not None},
            blamed=blamed,
            pauses=pauses,
            boots=boots,
            closed=[(kind.type, kind.zone, kind.spot, left) for kind, left in closed],
            pressed=pressed,
            asked=self._giving_way.known(now),
            ratios=dict(self.runs.ratios) if isinstance(self.runs, MeanRuns) else {},
        )
        picture = self._picture_now()
        if picture is not None and self.committer.idle() and self._wrote <= picture.revision:
            hints.counts = (picture.revision, *picture.counts())
        return hints

    async def _watch(self, revision: Mark) -> None:
        while not self._stopped:
            try:
                seen = await self._store.watch(jm.OPEN, revision, WATCH_S)
            except WatchTooOld:
                try:
                    revision = await self._read_again()
                except (Unavailable, Unknown, Refused):
                    await pause(self._clock, 0.3)
                continue
            except (Unavailable, Unknown, Refused) as error:
                log.debug("watch of jobs: %s", error)
                await pause(self._clock, 0.2)
                continue
            if self._stopped:
                return
            revision = seen.revision
            if self._follower is not None:
                self._follower.seen(seen.events, revision)
            for event in seen.events:
                if event.written is not None:
                    self._job_seen(event.written, event.value, event.mark)

    async def _read_again(self) -> Mark:
        items, revision = await self._store.list(jm.OPEN)
        for item in items:
            self._job_seen(item.key, item.value, item.mark)
        return revision

    def _job_seen(self, key: str, value: msgspec.Raw, mark: Mark) -> None:
        """A job's record as read or watched: new, or cancelled since."""
        name = JobId(key.removeprefix(jm.OPEN))
        job = self.book.jobs.get(name)
        if (job is not None and mark <= job.mark) or (job is None and name in self._ended_here):
            # A peer's word can be faster than the watch: what that tells of a job that has ended since is old. Such a
            # job came back into the book with no attempts, and a task of it counted as proof that records were lost.
            return
        record = jm.decode_record(value)
        if job is None:
            job = self.book.add(record, mark)
            log.debug("job %s joins the queue", job.id)
            if self.loaded and self._unsettled():
                # Submitted again: what machines still have of it is its own.
                job.attempts = [ATTEMPTS_LOST] * job.spec.tasks
                for machine in self.roster.machines.values():
                    if any(TaskId.parse(task.task).job == job.id for task in machine.unclaimed):
                        machine.strays += machine.unclaimed
                        self._claim(machine)
        self._changed(job, mark, record.cancelled)

    def _changed(self, job: Job, mark: Mark, cancelled: WallTime | None) -> None:
        """A newer version of its record is known, read, watched or told."""
        job.mark = mark
        job.cancel_read = cancelled is not None
        if cancelled is not None:
            self._call_off(job, cancelled)
        elif self.loaded:
            self.fleet.new_work()
            self.kick()
