"""The part of a term that takes reports and settles what they prove."""

from __future__ import annotations

from meadowcross.common.logging import logger
from meadowcross.common.types import (
    Instant,
    MachineKind,
    NodeName,
    Seconds,
)
from meadowcross.estimates.samples import Where
from meadowcross.jobs.book import Job, Placement
from meadowcross.leadership.term_base import TermBase
from meadowcross.workers import messages as wm
from meadowcross.workers.commands import commands_for
from meadowcross.workers.departures import leaving
from meadowcross.workers.roster import Change, HigherToken, Machine, Outcome

log = logger("leadership")

BAD_MACHINE = "it failed what fares well elsewhere"


class Reports(TermBase):
    """Takes whole reports, from workers or relays, answers them, and acts on what they prove."""

    def on_report(self, report: wm.Report, via: NodeName | None = None) -> wm.Response | wm.Elsewhere | None:
        """A worker's report, come to us or whole through a relay (`via`); None: we don't lead any more."""
        if not self.loaded:
            # Renews leases while the picture is being read; proves nothing yet.
            return wm.Response(self.token, self._stops(report)) if report.token <= self.token else None
        if self.fleet.is_deleted(report.machine):
            return wm.Response(self.token, [])
        known = self.roster.machines.get(report.machine)
        # A copy that comes late says nothing of whom its machine reaches now.
        copy = known is not None and report.version <= max(known.version, known.renewed)
        try:
            newest = self._take(report)
        except HigherToken as error:
            self._election.stand_down(str(error))
            return None
        machine = self.roster.machines[report.machine]
        if not copy:
            machine.reported_at = self.now
            if self.relays is not None and (other := self.relays.arrived(machine, via)) is not None:
                return wm.Elsewhere(other)
        return wm.Response(self.token, commands_for(machine, self.book) if newest else [])

    def settled(self, report: wm.Report) -> bool:
        """Whether the same report again would be answered with no command, and would tell nothing new."""
        machine = self.roster.machines.get(report.machine)
        return (
            machine is not None
            and report.token == self.token
            and report.version == machine.version
            and machine.shown is not None
            and not machine.strays
            and not machine.unclaimed
            and all(task.state is not wm.TaskState.EXITED for task in report.tasks)
            and all(placement.stop_at is None for placement in machine.placements.values())
        )

    def _on_direct_report(self, report: wm.Report) -> None:
        if self._stopped or report.machine not in self.roster.machines:
            return
        try:
            self._take(report)
        except HigherToken as error:
            self._election.stand_down(str(error))

    def _take(self, report: wm.Report) -> bool:
        machine = self.add_machine(report.machine, MachineKind(report.type, report.zone, report.spot))
        first = not machine.up
        had_addr = machine.addr
        was_confirmed = machine.confirmed
        notice = machine.taken_at
        session = machine.version.session
        if machine.up and self.view.silent(machine) and report.version > machine.version:
            machine.silent_until = self.now
        outcomes = self.roster.apply(machine, report, self.now)
        if outcomes is not None and (machine.strays or machine.exited):
            if self._unsettled():
                self._claim(machine)
            else:
                self._see_beyond(machine)
        if machine.confirmed and not was_confirmed:
            self._cleared(machine.id)
        if machine.addr != had_addr or not machine.stored:
            self.store_machine(machine)
        if first and machine.up and had_addr is None:
            self.fleet.came_up(machine)
        if first and machine.up:
            log.info("machine %s (%s) reports first", machine.id, machine.kind.type)
        if machine.version.session > session > 0:
            log.info("machine %s began session %d", machine.id, machine.version.session)
        if machine.taken_at is not None and notice is None:
            log.info("machine %s is taken back in %.0f s", machine.id, machine.taken_at - self.now)
        for outcome in outcomes or ():
            self._settle(machine, outcome)
        if machine.confirmed and not was_confirmed and self._unanswered > 0:
            self._unanswered -= 1
            if not self._unanswered:
                self._reach("nine of ten machines answered")
                if self._back is None and self._doubted:
                    # After a cold start that is enough: a store that lost its last seconds would have shown by now.
                    self._doubted.clear()
                    self.kick()
        if outcomes or (machine.confirmed and not was_confirmed):
            self.kick()
        return outcomes is not None

    def _settle(self, machine: Machine, outcome: Outcome) -> None:
        placement = outcome.placement
        job = self.book.jobs.get(placement.task.job)
        if job is None:
            self.roster.machines[machine.id].placements.pop(placement.task, None)
            return
        now = self.now
        if outcome.change is Change.RUNS:
            machine.has_image(job.spec.image)
            log.debug("task %s runs on %s after %.2f s", placement.task, machine.id, now - placement.since)
            return
        if outcome.change is Change.WAITS:
            machine.has_image(job.spec.image)
            return
        self.roster.detach(placement, job.spec, now)
        if outcome.change is Change.DONE:
            if placement.running_at is not None:
                log.debug("task %s done on %s after %.2f s", placement.task, machine.id, now - placement.running_at)
            where = Where(machine.id, machine.kind.type, not self.health.suspect(machine.id), machine.silent_until)
            self._samples.done(job, placement, where, now)
            machine.has_image(job.spec.image)
            self.book.task_done(placement)
            self._condemn(self.health.succeeded(job, machine.id), BAD_MACHINE)
        else:
            log.info("task %s attempt %d gone from %s: %s", placement.task, placement.attempt, machine.id, outcome.why)
            self._samples.gone(job, placement, outcome.saved, None, now)
            self.book.gone(placement)
            job.lost_at = now
            if outcome.why in (wm.ERROR, wm.UNKNOWN_JOB) and job.cancelled is None:
                self._condemn(self.health.failed(job, placement, now), BAD_MACHINE)
            elif outcome.why == wm.NO_ROOM:
                job.paused_until = Instant(now + 0.5)
        self._after_change(job)

    def _after_change(self, job: Job) -> None:
        if job.is_gang and not job.placed:
            job.gang_attempt = None
        if not self.keeper.check_end(job):
            self.keeper.flush()

    def stop_task(self, placement: Placement, grace: Seconds) -> None:
        if placement.stop_at is None or grace < placement.grace:
            placement.stop_at = self.now
            placement.grace = grace
            # Repeated with each answer to a report, so a relay must not answer the next one by itself.
            self.roster.machines[placement.machine].shown = None
            self.sender.end(placement)

    def _leave_taken(self) -> None:
        for machine in self.roster.machines.values():
            if machine.taken_at is None or machine.condemned is not None or not machine.confirmed:
                continue
            if not machine.placements:
                self.fleet.condemn(machine, "to be taken back, and empty")
            for placement, grace in leaving(machine, self.book, self.runs, self.now):
                self.stop_task(placement, grace)
