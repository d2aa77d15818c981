"""A leader's term: rebuild the picture, take reports, place, commit, command.

Everything here is thrown away when the term ends; only the store is kept.
"""

from __future__ import annotations

from twisted.internet.defer import Deferred

from meadowcross.common.logging import logger
from meadowcross.common.types import (
    Attempt,
    Seconds,
)
from meadowcross.jobs.book import Placement
from meadowcross.leadership.term_cancels import Cancellation
from meadowcross.leadership.term_loading import Loading
from meadowcross.leadership.term_losses import LostRecords
from meadowcross.leadership.term_reports import BAD_MACHINE, Reports
from meadowcross.leadership.term_storing import Storing
from meadowcross.placement.engine import Choice, place
from meadowcross.placement.moves import moves

log = logger("leadership")

WAKE_S: Seconds = 2.0
"""Ticks this far apart tell that the process itself was silent between them."""
PASS_DELAY_S: Seconds = 0.02
PASS_PAUSE = 5.0
WARM_AGAIN_S: Seconds = 0.1
WATCH_RUNS_S: Seconds = 4.0


class Term(Loading, LostRecords, Cancellation, Reports, Storing):
    """One term: its life, its ticks and its passes; the other parts are in modules of their own."""

    def start(self) -> None:
        for work in (self._load_and_watch(), self.committer.run()):
            Deferred.fromCoroutine(work).addErrback(self._crashed)

    def stop(self) -> None:
        if self._stopped:
            return
        self._stopped = True
        self.committer.stop()
        if self.estimates is not None:
            self.estimates.stop()
        self.sender.stop()
        self.fleet.stop()
        if self._tick.running:
            self._tick.stop()
        if self._back is not None:
            self._back.stop()
        if self._follower is not None:
            self._follower.led()

    def kick(self) -> None:
        if not self._pass_set and not self._stopped and self.loaded:
            self._pass_set = True
            # A pause in proportion: reports and users are served between long passes.
            self._clock.callLater(max(PASS_DELAY_S, PASS_PAUSE * self._pass_took), self._pass)

    def _on_tick(self) -> None:
        slept = self.now - self._ticked_at > WAKE_S
        self._ticked_at = self.now
        if slept:
            # What passed meanwhile is our own silence, not the machines'; whether we still
            # lead is asked before anything else rests on it.
            log.info("this process was silent for a while")
            self.view.woke()
            return
        try:
            self._make_way()
            self._condemn(self.health.verdicts(self.now), BAD_MACHINE)
            self._clear_late_cancels()
            self._leave_taken()
            self._settle_lost()
            if self.now - self._watched_at >= WATCH_RUNS_S:
                self._watched_at = self.now
                if self._outlooks is not None:
                    self._samples.watch(self.book, self.now)
                    self._outlooks.look()
            if self.now - self._moved_at >= self._operator.move_period_s:
                self._moved_at = self.now
                self._move_replicas()
            self.kick()
        except Exception:
            log.exception("tick failed")

    def _make_way(self) -> None:
        """Direct answers renew no lease, so only reports tell whether workers reach us. A new
        leader waits until its workers can have found it."""
        if self.now - self._began < self._settings.facts.workers.lease_s / 2:
            return
        reach = self.view.reach(self._most_heard())
        if reach.better_elsewhere:
            self._election.hand_over(f"{reach.reported} of {reach.known} machines report, a peer hears {reach.peers}")

    def _move_replicas(self) -> None:
        replicas = self.view.replicas()
        if not replicas:
            return
        for replica in moves(self.view.all_offers(), replicas, self.view.usage(), self._operator):
            moving = replica.key
            if isinstance(moving, Placement):
                # It waits again, and the score places it, once this copy is proven gone.
                log.info("task %s moves off %s", moving.task, moving.machine)
                self.stop_task(moving, self.book.jobs[moving.task.job].spec.save_s)

    def _pass(self) -> None:
        self._pass_set = False
        if self._stopped or not self._types():
            return
        if self._store.failing_since is not None and self.now - self._store.failing_since > 1.0:
            return
        began = self.now
        wants = self.view.wants() if self._certain() else []
        if wants:
            rooms = self.view.rooms()
            choices = place(self.view.offers(), wants, rooms, self._operator, self._giving_way.holds)
            self._take_places(choices)
            found = {choice.job: len(choice.machines) for choice in choices}
            for job, victims in self._giving_way.choose(
                wants,
                found,
                self.view.all_offers,
                self.view.offers_where,
                rooms,
                self.view.victims,
                self.view.may_yield,
                self._still_placed,
                began,
            ):
                log.info("job %s: %d tasks give way", job, len(victims))
                for victim in victims:
                    if isinstance(victim.key, Placement):
                        self.stop_task(victim.key, victim.grace)
            if any(want.warm_only for want in wants):
                # Soon free room without their image is good enough for them.
                self._clock.callLater(WARM_AGAIN_S, self.kick)
        self.keeper.flush()
        self._pass_took = self.now - began

    def _take_places(self, choices: list[Choice]) -> None:
        now = self.now
        for choice in choices:
            job = self.book.jobs[choice.job]
            if job.is_gang and job.gang_attempt is None:
                job.gang_attempt = Attempt(max(job.attempts) + 1)
            for name in choice.machines:
                placement = self.book.place(job, job.take_waiting(), name, now)
                self.roster.attach(self.roster.machines[name], placement, job.spec)
