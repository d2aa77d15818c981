"""Preemption: what gives way to what, at the least loss, and who was asked already.

The choices are pure functions over a snapshot; `GivingWay` keeps what a leader must
remember from one pass to the next.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from math import inf
from typing import NamedTuple

from meadowcross.common.settings import Operator
from meadowcross.common.types import EPSILON, Instant, JobId, MachineId, Seconds
from meadowcross.jobs.messages import RANK, time_to_save
from meadowcross.placement.engine import (
    Hold,
    Offer,
    Room,
    Want,
    allowed,
    constrained,
    fill_constrained,
    order,
    shape_of,
    slots,
    talks,
)

GIVE_WAY_S: Seconds = 4.0
HURRY_RUNS = 0.5
HURRY_S: Seconds = 5.0
HOLD_TIMES = 10.0
"""Ends of a tenth of what runs on the machines held are waited for: a few seconds."""
HOLD_LEAST = 4.0
LOWEST_RANK = max(RANK.values())
AGED_RANK = min(RANK.values()) - 1
"""Of a hold that nothing else may enter."""


@dataclass(slots=True)
class Victim:
    """A running task that may be stopped for work of higher priority."""

    key: object
    machine: MachineId
    rank: int
    cpus: float
    gpus: float
    memory_gb: float
    loss: float
    """CPU seconds of progress that stopping it now throws away."""
    team: str = ""
    borrowed: bool = False
    """Its team uses more than its guarantee, this task's share of it included."""
    save_s: Seconds | None = None
    """The time it takes to save; None: what it has done is lost."""
    grace: Seconds = 0.0
    """The time it is given for that, once chosen."""


def yields(victim: Victim, want: Want) -> bool:
    """Lower priority gives way; so does work of the same priority that another team runs
    beyond its guarantee, to work within one. Higher priority never gives way to a
    guarantee: the users want the stated priority kept without exception, and the two
    would take turns stopping each other."""
    if victim.rank != want.rank:
        return victim.rank > want.rank
    return victim.borrowed and want.guaranteed > 0 and victim.team != want.spec.team


def _yielding(want: Want, victims: Iterable[Victim]) -> dict[MachineId, list[Victim]]:
    by_machine: dict[MachineId, list[Victim]] = {}
    for victim in victims:
        if yields(victim, want):
            by_machine.setdefault(victim.machine, []).append(victim)
    return by_machine


def preempt(want: Want, count: int, offers: Iterable[Offer], victims: Iterable[Victim]) -> list[Victim]:
    """The victims that make room for `count` tasks of the want at the least loss, machines
    that hold its image first."""
    return _preempt(want, count, offers, _by_loss(want, victims))


def _by_loss(want: Want, victims: Iterable[Victim]) -> dict[MachineId, list[Victim]]:
    by_machine = _yielding(want, victims)
    for candidates in by_machine.values():
        candidates.sort(key=lambda v: v.loss / v.cpus)
    return by_machine


def _preempt(
    want: Want, count: int, offers: Iterable[Offer], by_machine: Mapping[MachineId, list[Victim]]
) -> list[Victim]:
    spec = want.spec
    options: list[tuple[bool, float, MachineId, list[Victim]]] = []
    for offer in offers:
        candidates = by_machine.get(offer.machine)
        if candidates is None or not allowed(spec, offer.kind):
            continue
        if want.warm_only and spec.image not in offer.images:
            continue
        free = [offer.free_cpus, offer.free_gpus, offer.free_memory]
        chosen: list[Victim] = []
        made = 0
        for victim in candidates:
            chosen.append(victim)
            free[0] += victim.cpus
            free[1] += victim.gpus
            free[2] += victim.memory_gb
            if (
                free[0] + EPSILON >= spec.cpus
                and free[1] + EPSILON >= spec.gpus
                and free[2] + EPSILON >= spec.memory_gb
            ):
                loss = sum(v.loss for v in chosen)
                options.append((spec.image not in offer.images, loss, offer.machine, chosen))
                free = [free[0] - spec.cpus, free[1] - spec.gpus, free[2] - spec.memory_gb]
                chosen = []
                made += 1
                if made >= count:
                    break
    options.sort(key=lambda option: option[:3])
    chosen_victims: list[Victim] = []
    promised = want.guaranteed
    for *_, chosen in options:
        if count == 0:
            break
        if any(v.rank == want.rank for v in chosen):
            if promised == 0:
                continue
            promised -= 1
        count -= 1
        chosen_victims.extend(chosen)
    return chosen_victims


def preempt_constrained(
    want: Want, count: int, offers: Iterable[Offer], victims: Iterable[Victim], weights: Operator
) -> tuple[list[Victim], set[MachineId]]:
    """The victims that make room where the job's zones allow it, for a gang all of it or
    none, and the machines, where to hold the room until all of it is free."""
    spec = want.spec
    by_machine = _yielding(want, victims)
    cleared = []
    for offer in offers:
        if not allowed(spec, offer.kind):
            continue
        room = by_machine.get(offer.machine, [])
        cleared.append(
            replace(
                offer,
                free_cpus=offer.free_cpus + sum(v.cpus for v in room),
                free_gpus=offer.free_gpus + sum(v.gpus for v in room),
                free_memory=offer.free_memory + sum(v.memory_gb for v in room),
            )
        )
    machines = Counter(fill_constrained(want, cleared, count, weights))
    free = {o.machine: o for o in offers}
    chosen: list[Victim] = []
    for name, tasks in machines.items():
        rest = replace(free[name])
        for victim in sorted(by_machine.get(name, []), key=lambda v: v.loss / v.cpus):
            if slots(spec, rest.free_cpus, rest.free_gpus, rest.free_memory) >= tasks:
                break
            rest.free_cpus += victim.cpus
            rest.free_gpus += victim.gpus
            rest.free_memory += victim.memory_gb
            chosen.append(victim)
    return chosen, set(machines)


def _smallest(victims: Iterable[Victim]) -> dict[int, float]:
    """The CPUs of the smallest victim of each rank."""
    smallest: dict[int, float] = {}
    for victim in victims:
        smallest[victim.rank] = min(victim.cpus, smallest.get(victim.rank, inf))
    return smallest


def mark_borrowed(victims: Iterable[Victim], over: dict[str, float]) -> None:
    """`over` is each team's use beyond its guarantee, in CPUs. Of what a team borrows, its
    least important and least costly tasks are to go."""
    for victim in sorted(victims, key=lambda v: (-v.rank, v.loss)):
        if over.get(victim.team, 0.0) >= victim.cpus:
            victim.borrowed = True
            over[victim.team] -= victim.cpus


def in_hurry(want: Want, victims: Iterable[Victim]) -> bool:
    """Whether waiting for room harms: an aim on the start is about to be missed, or the slack
    is within the estimates' error, or others borrow what its team is guaranteed."""
    spec = want.spec
    return (
        want.aged
        or want.start_slack < HURRY_S
        or want.slack < HURRY_RUNS * want.run_s + HURRY_S
        or talks(spec)
        or (
            want.guaranteed > 0
            and spec.deadline_s is None
            and any(v.borrowed and v.rank == want.rank and v.team != spec.team for v in victims)
        )
    )


def savers(want: Want, victims: Iterable[Victim]) -> list[Victim]:
    """What another team runs beyond its guarantee and can save, for work of the same priority
    within one. It loses nothing, so nothing is gained by waiting until the slack is short:
    idle-time work of a guest that filled all room made a third of the others' jobs late."""
    if want.guaranteed == 0:
        return []
    return [
        replace(victim, grace=time_to_save(victim.save_s))
        for victim in victims
        if victim.save_s is not None and victim.borrowed and victim.rank == want.rank and yields(victim, want)
    ]


def room_by_ends(
    want: Want, short: int, offers: Iterable[Offer], victims: Iterable[Victim], holds: Mapping[MachineId, Hold]
) -> list[MachineId]:
    """Machines to hold until what ends there by itself has left room for `short` tasks.

    Smaller tasks of lower priority would take each piece of room that comes free before it
    is large enough. On a machine that runs many of them a hole forms soon and wastes
    little, so the larger machines are held, and none that runs just a few."""
    spec = want.spec
    by_machine = _yielding(want, victims)
    ending = [
        (sum(v.cpus for v in by_machine[offer.machine]), offer.machine)
        for offer in offers
        if offer.machine in by_machine and allowed(spec, offer.kind) and offer.machine not in holds
    ]
    held: list[MachineId] = []
    missing = HOLD_TIMES * short * spec.cpus
    for cpus, machine in sorted(ending, key=lambda one: (-one[0], one[1])):
        if missing <= 0 or cpus < HOLD_LEAST * spec.cpus:
            break
        missing -= cpus
        held.append(machine)
    return held


def room_for_aged(want: Want, short: int, offers: Iterable[Offer], holds: Mapping[MachineId, Hold]) -> list[MachineId]:
    """Machines, where most is free already, to hold for a job that waited too long to begin: nothing else enters until
    what runs there has left enough. One for each task that is short, so an array holds one."""
    spec = want.spec
    free = [
        (offer.free_gpus if spec.gpus > 0 else 0.0, offer.free_cpus, offer.machine, offer.kind.zone)
        for offer in offers
        if allowed(spec, offer.kind) and offer.machine not in holds
    ]
    zones = set(want.in_zone()) or {zone for *_, zone in free}
    groups = [[one for one in free if one[3] == zone] for zone in sorted(zones)] if spec.one_zone else [free]
    best = max(
        (sorted(group, key=lambda one: (-one[0], -one[1], one[2]))[:short] for group in groups),
        key=lambda group: (len(group), sum(one[0] for one in group), sum(one[1] for one in group)),
        default=[],
    )
    return [name for _, _, name, _ in best]


class Asked(NamedTuple):
    """What gave way for a job, when, and how many of its tasks waited."""

    at: Instant
    waiting: int
    keys: list[object]


class GivingWay:
    """Stops lower priority for what found no room. Victims under way count as room."""

    def __init__(self, weights: Operator) -> None:
        self._weights = weights
        self._asked: dict[JobId, Asked] = {}
        self._under_way: set[JobId] = set()
        self.holds: dict[MachineId, Hold] = {}

    def forget(self, job: JobId) -> None:
        self._asked.pop(job, None)
        self._under_way.discard(job)

    def known(self, now: Instant) -> dict[JobId, tuple[Seconds, int]]:
        """For the next leader: for which jobs others were asked lately, how long ago, and how many tasks waited."""
        return {
            job: (now - asked.at, asked.waiting) for job, asked in self._asked.items() if now - asked.at < GIVE_WAY_S
        }

    def presume(self, asked: Mapping[JobId, tuple[Seconds, int]], now: Instant) -> None:
        """The same, from the leader before."""
        for job, (age, waiting) in asked.items():
            self._asked[job] = Asked(Instant(now - age), waiting, [])

    def _look_after(self, now: Instant, placed: Callable[[object], bool]) -> None:
        for job in list(self._under_way):
            asked = self._asked[job]
            if now - asked.at >= GIVE_WAY_S or not any(placed(key) for key in asked.keys):
                self._under_way.discard(job)
        # What is held for ends is chosen anew in every pass.
        self.holds = {name: hold for name, hold in self.holds.items() if hold.job in self._under_way}

    def choose(
        self,
        wants: Collection[Want],
        found: Mapping[JobId, int],
        all_offers: Callable[[], list[Offer]],
        offers_where: Callable[[list[Victim]], list[Offer]],
        rooms: dict[str, Room],
        victims_now: Callable[[int, bool], list[Victim]],
        may_yield: Callable[[Want], bool],
        placed: Callable[[object], bool],
        now: Instant,
    ) -> list[tuple[JobId, list[Victim]]]:
        """The victims for each job that is short of room; `found` is what it got, `placed`
        tells whether a victim's key is still on its machine. Offers and victims are asked for
        only where some job may have others give way, and the offers of the whole fleet only
        where it is bound by zones: free room elsewhere counts for it."""
        self._look_after(now, placed)
        chosen_for: list[tuple[JobId, list[Victim]]] = []
        victims: list[Victim] | None = None
        offers: list[Offer] = []
        whole = False
        groups: dict[tuple[int, str], dict[MachineId, list[Victim]]] = {}
        smallest: dict[int, float] = {}
        barren: dict[tuple[object, ...], float] = {}
        for want in sorted(wants, key=order):
            short = min(want.count - found.get(want.job, 0), rooms[want.spec.team].tasks(want.spec))
            if short <= 0 or want.job in self._under_way:
                continue
            if want.aged:
                aged = room_for_aged(want, short, all_offers(), self.holds)
                self.holds.update((name, Hold(want.job, AGED_RANK)) for name in aged)
            if want.rank >= LOWEST_RANK and want.guaranteed == 0:
                continue
            asked = self._asked.get(want.job)
            if asked is not None and want.count >= asked.waiting and now - asked.at < GIVE_WAY_S:
                # What gave way last time did not help this job, so nothing more does yet.
                continue
            if not may_yield(want):
                continue
            if victims is None:
                # Wants come by rank, so what may give way to the first may to all.
                victims = victims_now(want.rank, any(other.guaranteed for other in wants))
                offers = offers_where(victims)
                smallest = _smallest(victims)
            if constrained(want.spec) and not whole:
                offers, whole = all_offers(), True
            hurry = in_hurry(want, victims)
            chosen = [] if hurry else self._victims_for(want, short, offers, savers(want, victims))
            if not hurry and not chosen:
                # What waits without harm lets the others keep what they have done.
                if not any(rank > want.rank and cpus < want.spec.cpus for rank, cpus in smallest.items()):
                    continue
                machines = room_by_ends(want, short, offers, victims, self.holds)
                if machines:
                    self.holds.update((name, Hold(want.job, want.rank)) for name in machines)
                    continue
            if not chosen and constrained(want.spec):
                chosen = self._victims_for(want, short, offers, victims)
            elif not chosen:
                # What found nobody finds nobody for its like, and who yields to it is sorted once: a swarm's
                # jobs asked the same thousands of tasks one by one, a tenth of a busy leader's time.
                group = (want.rank, want.spec.team if want.guaranteed else "")
                shape = (group, shape_of(want.spec)._replace(memory_gb=0.0), want.warm_only and want.spec.image)
                if want.spec.memory_gb >= barren.get(shape, inf):
                    continue
                if group not in groups:
                    groups[group] = _by_loss(want, victims)
                chosen = self._hold_equals(want, _preempt(want, short, offers, groups[group]))
                if not chosen:
                    barren[shape] = want.spec.memory_gb
            if chosen:
                taken = {victim.key for victim in chosen}
                victims = [v for v in victims if v.key not in taken]
                groups.clear()
                smallest = _smallest(victims)
                self._under_way.add(want.job)
                self._asked[want.job] = Asked(now, want.count, [v.key for v in chosen])
                chosen_for.append((want.job, chosen))
        return chosen_for

    def _hold_equals(self, want: Want, chosen: list[Victim]) -> list[Victim]:
        """Room that its equals give is held for the job whose guarantee it is."""
        if any(v.rank == want.rank for v in chosen):
            self.holds.update((v.machine, Hold(want.job, want.rank)) for v in chosen)
        return chosen

    def _victims_for(self, want: Want, short: int, offers: list[Offer], victims: list[Victim]) -> list[Victim]:
        if not constrained(want.spec):
            return self._hold_equals(want, preempt(want, short, offers, victims))
        if talks(want.spec) and short < want.count:
            return []
        chosen, machines = preempt_constrained(want, short, offers, victims, self._weights)
        if chosen:
            self.holds.update((name, Hold(want.job, want.rank)) for name in machines)
        return chosen
