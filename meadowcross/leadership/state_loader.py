"""The part of a term that builds its picture, and keeps it up with what users store."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from typing import TypeVar

import msgspec
from twisted.internet.defer import Deferred

from meadowcross.autoscaling import messages as fm
from meadowcross.common.clock import pause
from meadowcross.common.logging import get_logger
from meadowcross.common.types import (
    Instant,
    JobId,
    MachineId,
    MachineKind,
    NodeName,
    Revision,
    Seconds,
    TaskId,
    WallTime,
    revision_of,
)
from meadowcross.estimates.runs import MeanRuns
from meadowcross.jobs import messages as jm
from meadowcross.jobs.job_table import Job
from meadowcross.leadership.reconciler import LOST_ATTEMPTS_MARGIN
from meadowcross.leadership.term_base import TermBase
from meadowcross.recovery.collect import StateRecovery, build_expected_replica
from meadowcross.replication.consistency_check import find_differences
from meadowcross.replication.messages import Hints
from meadowcross.replication.store_replica import StoreReplica
from meadowcross.store import messages as sm
from meadowcross.store.client import (
    IndeterminateResultError,
    RequestRejectedError,
    StoreUnavailableError,
    WatchCompactedError,
)

log = get_logger("leadership")

TICK_S: Seconds = 0.5
WATCH_TIMEOUT_S: Seconds = 20.0
ESTIMATES_DELAY_S: Seconds = 3.0


MACHINES_PER_SLICE = 500
JOBS_PER_SLICE = 50
CHUNKS_PER_SLICE = 5
"""Each some ten milliseconds of work."""
T = TypeVar("T")


class StateLoader(TermBase):
    """Loads machines, jobs and placements, follows open jobs, and tells peers what only a leader knows."""

    async def _load_and_watch(self) -> None:
        revision: Revision | None = None
        while not self._stopped and revision is None:
            try:
                revision = await self._load_state()
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.info("loading waits: %s", error)
                await pause(self._clock, 0.3)
        if self._stopped or revision is None:
            return
        self._apply_hints()
        self.loaded = True
        if self._recovery is not None and self._merged_state is not None:
            self._begin_write_back(self._recovery, self._merged_state)
        elif self._is_cold_start and self._recovery is not None:
            # All nodes ended. If the store lost its last minutes meanwhile, a machine runs what no record tells of.
            self._unverified_machines = {m.id for m in self.worker_registry.machines.values() if m.address is not None}
            for name in self._unverified_machines:
                self.worker_registry.machines[name].contact.hinted_contact_at = self.now
        log.info(
            "term %d: %d open jobs, %d machines, %d placements, %s, %s",
            self.token,
            len(self.job_table.jobs),
            len(self.worker_registry.machines),
            sum(len(m.placements) for m in self.worker_registry.machines.values()),
            "followed" if self._was_replica_followed else "read",
            "with hints" if self._hints is not None else "without hints",
        )
        # First where work that waits may go, then where most is about to end.
        reachable = sorted(
            (machine for machine in self.worker_registry.machines.values() if machine.address is not None),
            key=lambda machine: (
                machine.id not in self.worker_registry.machines_with_free_cpu,
                -len(machine.placements),
                machine.id,
            ),
        )
        self._awaited_answers = len(reachable) - len(reachable) // 10
        for machine in reachable:
            self.dispatcher.probe(machine.id)
        self.autoscaler.start()
        self._ticker.start(TICK_S)
        if self._was_replica_followed:
            Deferred.fromCoroutine(self._verify_replica())
        if self.estimates is not None:
            # The first seconds belong to the workers, the first placements and the users.
            self._clock.callLater(ESTIMATES_DELAY_S, self.estimates.start)
        await self._watch(revision)

    async def _read_stored_state(self) -> tuple[list[sm.Item], list[sm.Item], list[sm.Item], Revision]:
        """Machines, open jobs and chunks, complete up to a revision: as followed, or read now."""
        if self._recovery is not None and self._recovery.is_needed():
            return await self._recover_stored_state(self._recovery)
        replica = await self._follower.catch_up_to(revision_of(self.token)) if self._follower is not None else None
        if replica is None:
            machines, _ = await self._store.list_items(fm.MACHINE_KEY_PREFIX)
            jobs, revision = await self._store.list_items(jm.OPEN_PREFIX)
            chunks, _ = await self._store.list_items(jm.CHUNK_PREFIX)
            if self._follower is not None:
                read_replica = StoreReplica()
                read_replica.load([*machines, *jobs, *chunks], revision)
                self._follower.begin_leading(read_replica, False)
            return machines, jobs, chunks, revision
        assert self._follower is not None
        self._follower.begin_leading(replica, True)
        self._was_replica_followed = True
        return (
            replica.items_under(fm.MACHINE_KEY_PREFIX),
            replica.items_under(jm.OPEN_PREFIX),
            replica.items_under(jm.CHUNK_PREFIX),
            replica.revision,
        )

    async def _recover_stored_state(
        self, recovery: StateRecovery
    ) -> tuple[list[sm.Item], list[sm.Item], list[sm.Item], Revision]:
        """After a loss: what is still known somewhere, with the versions that the store has of it now."""
        merged, revision = await recovery.collect()
        self._merged_state = merged
        if self._follower is not None:
            self._follower.begin_leading(build_expected_replica(merged, revision), True)
        return (
            merged.items_under(fm.MACHINE_KEY_PREFIX),
            merged.items_under(jm.OPEN_PREFIX),
            merged.items_under(jm.CHUNK_PREFIX),
            revision,
        )

    async def _load_state(self) -> Revision:
        machines, jobs, chunks, revision = await self._read_stored_state()
        now = self.now
        async for item in self._in_slices(machines, MACHINES_PER_SLICE):
            record = fm.decode_machine_record(item.value)
            kind = MachineKind(record.type, record.zone, record.spot)
            machine = self.add_machine(MachineId(item.key.removeprefix(fm.MACHINE_KEY_PREFIX)), kind)
            machine.address = record.addr
            machine.rented_at = Instant(min(now, record.created_at))
            machine.is_rental_time_known = True
            machine.is_stored = True
        async for item in self._in_slices(jobs, JOBS_PER_SLICE):
            self._apply_job_record(item.key, item.value, item.mod_revision)
        async for item in self._in_slices(chunks, CHUNKS_PER_SLICE):
            job_id, chunk = jm.parse_chunk_key(item.key)
            job = self.job_table.jobs.get(job_id)
            if job is None:
                self.job_writer.enqueue_delete(item.key)
                continue
            job.chunk_revisions[chunk] = item.mod_revision
            first = job.chunk_range(chunk).start
            for index, attempt, machine_id in job.load_chunk(first, jm.decode_chunk(item.value)):
                placement = self.job_table.adopt_placement(job, index, attempt, machine_id, now)
                machine = self.add_machine(MachineId(machine_id), MachineKind("", "", False))
                self.worker_registry.assign(machine, placement, job.spec)
        async for job in self._in_slices(list(self.job_table.jobs.values()), JOBS_PER_SLICE):
            self.job_table.rebuild_waiting(job)
            if job.is_gang and job.placements:
                job.gang_attempt = max(p.attempt for p in job.placements.values())
            self.job_writer.enqueue_end_if_due(job)
            if job.cancelled_at is not None:
                self._stop_all_tasks(job)
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

    async def _verify_replica(self) -> None:
        """Compare what was followed with the store, behind everything else. Each write is conditional, so a
        difference broke no rule yet; but nobody knows what else is wrong, so all is read anew by a new term."""
        assert self._follower is not None
        replica = self._follower.replica
        differing_keys = await find_differences(
            self._clock, self._store, replica, lambda: not self._stopped and replica is self._current_replica()
        )
        if differing_keys:
            log.error(
                "the picture differs from the store in %d keys: %s", len(differing_keys), ", ".join(differing_keys[:5])
            )
            self._follower.resync("it differs from the store")
            self._election.step_down("its picture differed from the store")

    def _apply_hints(self) -> None:
        """Take the hints of the leader before: whom to wait for, what to expect. They prove nothing."""
        hints, now = self._hints, self.now
        if hints is None:
            return
        for machine_id, session in hints.incarnations.items():
            machine = self.worker_registry.machines.get(machine_id)
            if machine is not None:
                machine.proof.hinted_incarnation = session
                machine.contact.hinted_contact_at = Instant(now - hints.silence_s.get(machine_id, 0.0))
                if (left := hints.eviction_in_s.get(machine_id)) is not None:
                    machine.reclaim_at = Instant(now + left)
        self.autoscaler.import_state(
            hints.boot_times,
            [(MachineKind(machine_id, zone, spot), left) for machine_id, zone, spot, left in hints.unavailable_kinds],
            hints.last_shortage_age_s,
        )
        self.health.apply_hints(hints.failed_jobs, hints.job_pauses, self.job_table.jobs, now)
        self._preemption.import_attempts(hints.preemption_requests, now)
        if isinstance(self.runs, MeanRuns):
            self.runs.ratios.update(hints.runtime_ratios)

    def export_hints(self) -> Hints | None:
        """All that only this leader knows, for whoever leads next."""
        if not self.loaded or self._stopped:
            return None
        now = self.now
        machines = [
            m for m in self.worker_registry.machines.values() if m.is_up or m.contact.hinted_contact_at is not None
        ]
        boots, closed, pressed = self.autoscaler.export_state()
        blamed, pauses = self.health.export_hints(now)
        hints = Hints(
            NodeName(""),
            self.token,
            0,
            "",
            incarnations={m.id: m.proof.heartbeat_version.incarnation or m.proof.hinted_incarnation for m in machines},
            silence_s={
                m.id: round(self.scheduling_view.silence_s(m), 1) for m in machines if self.scheduling_view.is_silent(m)
            },
            eviction_in_s={m.id: round(m.reclaim_at - now, 1) for m in machines if m.reclaim_at is not None},
            failed_jobs=blamed,
            job_pauses=pauses,
            boot_times=boots,
            unavailable_kinds=[(kind.type, kind.zone, kind.spot, left) for kind, left in closed],
            last_shortage_age_s=pressed,
            preemption_requests=self._preemption.export_attempts(now),
            runtime_ratios=dict(self.runs.ratios) if isinstance(self.runs, MeanRuns) else {},
        )
        replica = self._current_replica()
        if replica is not None and self.group_committer.is_idle() and self._last_write_revision <= replica.revision:
            hints.key_counts = (replica.revision, *replica.counts())
        return hints

    async def _watch(self, revision: Revision) -> None:
        while not self._stopped:
            try:
                watched = await self._store.watch(jm.OPEN_PREFIX, revision, WATCH_TIMEOUT_S)
            except WatchCompactedError:
                try:
                    revision = await self._reread_open_jobs()
                except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError):
                    await pause(self._clock, 0.3)
                continue
            except (StoreUnavailableError, IndeterminateResultError, RequestRejectedError) as error:
                log.debug("watch of jobs: %s", error)
                await pause(self._clock, 0.2)
                continue
            if self._stopped:
                return
            revision = watched.revision
            if self._follower is not None:
                self._follower.apply_events(watched.events, revision)
            for event in watched.events:
                if event.written_key is not None:
                    self._apply_job_record(event.written_key, event.value, event.mod_revision)

    async def _reread_open_jobs(self) -> Revision:
        items, revision = await self._store.list_items(jm.OPEN_PREFIX)
        for item in items:
            self._apply_job_record(item.key, item.value, item.mod_revision)
        return revision

    def _apply_job_record(self, key: str, value: msgspec.Raw, mark: Revision) -> None:
        """A job's record as read or watched: new, or cancelled since."""
        job_id = JobId(key.removeprefix(jm.OPEN_PREFIX))
        job = self.job_table.jobs.get(job_id)
        if (job is not None and mark <= job.mod_revision) or (job is None and job_id in self._known_ended):
            # A peer's word can be faster than the watch: what that tells of a job that has ended since is old. Such a
            # job came back into the book with no attempts, and a task of it counted as proof that records were lost.
            return
        record = jm.decode_record(value)
        if job is None:
            job = self.job_table.add(record, mark)
            log.debug("job %s joins the queue", job.id)
            if self.loaded and self._is_recovery_unsettled():
                # Submitted again: what machines still have of it is its own.
                job.attempts = [LOST_ATTEMPTS_MARGIN] * job.spec.tasks
                for machine in self.worker_registry.machines.values():
                    if any(TaskId.parse(task.task).job == job.id for task in machine.reported.orphaned):
                        machine.reported.stale += machine.reported.orphaned
                        self._adopt_orphans(machine)
        self._on_job_version(job, mark, record.cancelled_at)

    def _on_job_version(self, job: Job, mark: Revision, cancelled_at: WallTime | None) -> None:
        """A newer version of its record is known, read, watched or told."""
        job.mod_revision = mark
        job.is_cancel_stored = cancelled_at is not None
        if cancelled_at is not None:
            self._apply_cancellation(job, cancelled_at)
        elif self.loaded:
            self.autoscaler.on_new_work()
            self.schedule_pass()
