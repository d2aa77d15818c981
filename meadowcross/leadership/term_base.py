"""What all parts of a leader's term share: its state, and what each part asks of the others."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.task import LoopingCall

from meadowcross.common.clock import Clock
from meadowcross.common.http import HttpClient
from meadowcross.common.logging import logger
from meadowcross.common.settings import Operator, Settings
from meadowcross.common.types import (
    Instant,
    JobId,
    MachineId,
    MachineKind,
    Mark,
    Seconds,
    Token,
    WallTime,
    mark_of,
)
from meadowcross.estimates.runs import MeanRuns, Runs
from meadowcross.estimates.samples import Samples
from meadowcross.fleet import messages as fm
from meadowcross.fleet.cloud import Cloud
from meadowcross.fleet.manager import FleetManager
from meadowcross.jobs import messages as jm
from meadowcross.jobs.book import Book, Job, Placement
from meadowcross.jobs.keeper import Keeper
from meadowcross.leadership.election import Election
from meadowcross.leadership.messages import LEADER_KEY
from meadowcross.leadership.view import View
from meadowcross.placement.preemption import GivingWay
from meadowcross.rebuild.gather import Rebuild
from meadowcross.rebuild.merge import Merged
from meadowcross.rebuild.writeback import WriteBack
from meadowcross.relay.pool import RelayPool, direct_post
from meadowcross.replica.follower import Follower
from meadowcross.replica.messages import Hints
from meadowcross.replica.picture import Picture
from meadowcross.store import messages as sm
from meadowcross.store.client import StoreClient
from meadowcross.store.commit import Committer
from meadowcross.workers import messages as wm
from meadowcross.workers.commands import Sender
from meadowcross.workers.health import Health
from meadowcross.workers.roster import Machine, Roster

if TYPE_CHECKING:
    from meadowcross.estimates.finish import Ends
    from meadowcross.estimates.keeper import EstimateKeeper
    from meadowcross.estimates.learned import Learned
    from meadowcross.leadership.outlook import Outlooks

log = logger("leadership")


class TermBase(ABC):
    """The state of a term, and the questions that its parts have in common."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        operator: Operator,
        store: StoreClient,
        http: HttpClient,
        cloud: Cloud,
        types: Callable[[], list[fm.MachineType]],
        token: Token,
        election: Election,
        most_heard: Callable[[], int | None],
        follower: Follower | None = None,
        hints: Hints | None = None,
        rebuild: Rebuild | None = None,
        cold: bool = False,
        told: Callable[[JobId], bool] = lambda job: False,
        relays: RelayPool | None = None,
    ) -> None:
        """`cold`: nobody here knows what was before, so only the machines can tell whether the store still does.
        `told`: whether a peer has said that a job's cancel is stored. `relays`: who answers workers for us."""
        self.relays = relays
        self._cold = cold
        self._told = told
        self._cancelled_before: dict[JobId, bool] = {}
        """What the picture of before this term says of jobs whose tasks are reported while none could be taken."""
        self._rebuild = rebuild
        self._back: WriteBack | None = None
        self._doubted: set[MachineId] = set()
        """Machines that may run tasks which no record tells of, as the last of them was lost."""
        self._list_awaited = False
        self._asked: set[JobId] = set()
        self._ended_here: set[JobId] = set()
        """Jobs known to be over though no picture says so."""
        self._unproven: dict[JobId, tuple[Mark, Instant]] = {}
        """Of those, the ones whose stored ends, at this version, are not proven yet, and since when we know of them."""
        self._follower = follower
        self._hints = hints
        self._clock: Clock = reactor
        self._settings = settings
        self._operator = operator
        self._store = store
        self._types = types
        self._election = election
        self._most_heard = most_heard
        self.token = token
        self.book = Book()
        self.roster = Roster(token)
        if relays is not None:
            relays.serves(self.roster)
        self.health = Health(lambda name: name in self.roster.machines)
        self._leader_condition = sm.Condition(LEADER_KEY, mark_of(token))
        self._learn(operator)
        self.view = View(reactor, settings.facts, types, self.book, self.roster, self.health, self.runs)
        self._wrote = Mark(0)
        self.committer = Committer(reactor, store, self._leader_condition, self._reread, self._written)
        self.sender = Sender(
            reactor,
            relays.post if relays is not None else direct_post(http),
            self.roster,
            token,
            self._on_direct_report,
            self._on_unsent,
            self._may_start,
            lambda: 1 + (relays.count if relays is not None else 0),
        )
        self.keeper = Keeper(reactor, self.book, self.committer, store.max_changes, self._stored, self._ended)
        self.fleet = FleetManager(reactor, settings, operator, cloud, types, self)
        self._outlooks: Outlooks | None = None
        if self._learned is not None:
            from meadowcross.leadership.outlook import Outlooks

            self._outlooks = Outlooks(reactor, self.book, self.roster, self.view, types, self.fleet, self._learned)
        self.loaded = False
        self._merged: Merged | None = None
        self._followed = False
        """Whether the picture that the term began with had been followed, not read."""
        self._stopped = False
        self._pass_set = False
        self._pass_took: Seconds = 0.0
        self._moved_at = self._watched_at = self.now
        self._began = self._ticked_at = self.now
        self._reached: set[str] = set()
        self._unanswered = 0
        """Of the machines found on record, those that must still answer for nine of ten to have done so."""
        self._giving_way = GivingWay(operator)
        self._tick = LoopingCall(self._on_tick)
        self._tick.clock = reactor

    def _learn(self, operator: Operator) -> None:
        """Who learns run times, and whose word decides."""
        learners: list[Runs] = []
        self._learned: Learned | None = None
        self.estimates: EstimateKeeper | None = None
        self.runs: Runs = MeanRuns()
        if operator.learned_estimates >= 1:
            # Only by who leads: a node that was killed is back sooner without them.
            from meadowcross.estimates.keeper import EstimateKeeper
            from meadowcross.estimates.learned import Learned

            self._learned = Learned(self._clock)
            self.estimates = EstimateKeeper(
                self._clock, self._store, self._leader_condition, self._learned, self._reread
            )
            learners.append(self._learned)
        if self._learned is not None and operator.learned_estimates >= 2:
            self.runs = self._learned
        else:
            learners.append(self.runs)
        self._samples = Samples(learners)

    def ends(self, job: JobId) -> Ends | None:
        """When the job will be done, where that is learned."""
        return self._outlooks.ends(job) if self._outlooks is not None and self.loaded else None

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    def sure(self) -> bool:
        """Whether no other node can lead now."""
        return self._election.sure()

    @property
    def stopped(self) -> bool:
        return self._stopped

    def _reach(self, what: str) -> None:
        """For whoever measures takeovers: each step once, with the time since the election."""
        if what not in self._reached:
            self._reached.add(what)
            log.info("term %d: %s after %.3f s", self.token, what, self.now - self._began)

    def _crashed(self, failure: Any) -> None:
        log.error("term %d failed: %s", self.token, failure.getTraceback())
        self._election.stand_down("internal error")

    def type_named(self, name: str) -> fm.MachineType | None:
        return next((t for t in self._types() if t.name == name), None)

    def add_machine(self, machine: MachineId, kind: MachineKind) -> Machine:
        known = self.roster.machines.get(machine)
        if known is None:
            known = self.roster.add(Machine(machine, kind, self.type_named(kind.type), self.now))
        elif kind.type and not known.kind.type:
            known.kind = kind
        if known.type is None:
            known.type = self.type_named(known.kind.type)
            self.roster.typed(known)
        return known

    def _condemn(self, machines: list[MachineId], why: str) -> None:
        for name in machines:
            machine = self.roster.machines.get(name)
            if machine is not None:
                self.fleet.condemn(machine, why)

    def _still_placed(self, key: object) -> bool:
        if not isinstance(key, Placement):
            return False
        job = self.book.jobs.get(key.task.job)
        return job is not None and job.placed.get(key.task.number) is key

    def _picture_now(self) -> Picture | None:
        return self._follower.picture if self._follower is not None else None

    def _known_to_be_over(self, job: JobId) -> bool:
        return self._follower is not None and self._follower.get(jm.ended_key(job)) is not None

    def _over(self, job: JobId) -> bool:
        return job in self._ended_here or self._known_to_be_over(job)

    def _lost(self, why: str, old: bool = False) -> None:
        """Proof that the store lost data: versions only grow, and only we move jobs away."""
        if self._rebuild is not None:
            self._rebuild.eras.lost(why, old)

    def _unsettled(self) -> bool:
        return self._rebuild is not None and self._rebuild.unsettled()

    # What the parts ask of each other

    @abstractmethod
    def _after_change(self, job: Job) -> None:
        """See `Reports`."""

    @abstractmethod
    def _call_off(self, job: Job, cancelled: WallTime) -> None:
        """See `Cancellation`."""

    @abstractmethod
    def _certain(self) -> bool:
        """See `LostRecords`."""

    @abstractmethod
    def _claim(self, machine: Machine) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def _clear(self, job: Job) -> None:
        """See `Cancellation`."""

    @abstractmethod
    def _clear_late_cancels(self) -> None:
        """See `Cancellation`."""

    @abstractmethod
    def _cleared(self, machine: MachineId) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def _ended(self, job: Job) -> None:
        """See `Storing`."""

    @abstractmethod
    def _job_seen(self, key: str, value: msgspec.Raw, mark: Mark) -> None:
        """See `Loading`."""

    @abstractmethod
    def _leave_taken(self) -> None:
        """See `Reports`."""

    @abstractmethod
    async def _load_and_watch(self) -> None:
        """See `Loading`."""

    @abstractmethod
    def _may_start(self, placement: Placement) -> bool:
        """See `Storing`."""

    @abstractmethod
    def _on_direct_report(self, report: wm.Report) -> None:
        """See `Reports`."""

    @abstractmethod
    def _on_tick(self) -> None:
        """See `Term`."""

    @abstractmethod
    def _on_unsent(self, placement: Placement) -> None:
        """See `Storing`."""

    @abstractmethod
    async def _reread(self, keys: list[str]) -> None:
        """See `Storing`."""

    @abstractmethod
    def _see_beyond(self, machine: Machine) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def _settle_lost(self) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def _stops(self, report: wm.Report) -> list[wm.Command]:
        """See `Cancellation`."""

    @abstractmethod
    def _stored(self, placement: Placement) -> None:
        """See `Storing`."""

    @abstractmethod
    def _write_back(self, rebuild: Rebuild, merged: Merged) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def _written(self, mark: Mark, changes: Sequence[sm.Put | sm.Drop]) -> None:
        """See `Storing`."""

    @abstractmethod
    def kick(self) -> None:
        """See `Term`."""

    @abstractmethod
    def listed(self, described: Instant | None) -> None:
        """See `LostRecords`."""

    @abstractmethod
    def machine_gone(self, name: MachineId) -> None:
        """See `Storing`."""

    @abstractmethod
    def stop_task(self, placement: Placement, grace: Seconds) -> None:
        """See `Reports`."""

    @abstractmethod
    def store_machine(self, machine: Machine) -> None:
        """See `Storing`."""
