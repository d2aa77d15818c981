"""Room that will be there soon without renting more: asked for, booting, just up, or held by
tasks that are about to end."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

from meadowcross.common.types import Instant, MachineId, Seconds
from meadowcross.estimates.runs import CAUTIOUS, Runs
from meadowcross.estimates.samples import ran
from meadowcross.fleet import messages as m
from meadowcross.fleet.boots import Boots
from meadowcross.fleet.sizing import Coming, Rental
from meadowcross.jobs.book import Book, Phase
from meadowcross.jobs.messages import JobSpec
from meadowcross.workers.roster import Machine, Roster

FREED_BOOTS = 0.5
"""What ends within half a boot is there sooner than what is rented for it."""
ENDS_KEPT_S: Seconds = 5.0


class Offers(Protocol):
    """Which machines are offered, or will be in a moment."""

    def usable(self) -> Callable[[Machine], bool]: ...


class Ends:
    """When tasks on each machine are expected to end, soonest first. Worked out again only
    where something came, went or began to run, or after some seconds, since what is expected
    of a class moves slowly: asked of all tasks for every job that came, it was the largest
    piece of a busy leader's work (2.1 of 17.7 s under a profiler, 640 machines)."""

    def __init__(self, book: Book, runs: Runs) -> None:
        self._book = book
        self._runs = runs
        self._known: dict[MachineId, tuple[int, Instant, list[tuple[Instant, JobSpec]]]] = {}

    def of(self, machine: Machine, before: Instant, now: Instant) -> Iterator[JobSpec]:
        """What is expected to end there before the given time."""
        changes, at, ends = self._known.get(machine.id, (-1, now, []))
        if changes != machine.changes or now - at > ENDS_KEPT_S:
            ends = sorted(self._ends(machine, now), key=lambda end: end[0])
            self._known[machine.id] = (machine.changes, now, ends)
        for end, spec in ends:
            if end >= before:
                return
            yield spec

    def _ends(self, machine: Machine, now: Instant) -> Iterator[tuple[Instant, JobSpec]]:
        for placement in machine.placements.values():
            job = self._book.jobs.get(placement.task.job)
            if job is not None and placement.phase is Phase.RUNNING and placement.running_at is not None:
                yield Instant(now + self._runs.left(job.spec, ran(job, placement, now), CAUTIOUS)), job.spec

    def forget(self, machine: MachineId) -> None:
        self._known.pop(machine, None)


def room_coming(
    renting: Iterable[Rental],
    roster: Roster,
    ends: Ends,
    offers: Offers,
    boots: Boots,
    types: dict[str, m.MachineType],
    now: Instant,
    freed_boots: float = FREED_BOOTS,
) -> list[Coming]:
    """`freed_boots`: what ends within so many boots counts as room."""
    coming = []
    for rental in renting:
        kind, count = types[rental.kind.type], rental.machines
        coming.append(Coming(rental.kind, kind.cpus * count, kind.gpus * count, kind.memory_gb * count))
    there = [x for x in roster.machines.values() if x.condemned is None]
    waiting: dict[str, list[Seconds]] = {name: [] for name in types}
    for machine in there:
        if not machine.up and machine.type is not None:
            waiting[machine.type.name].append(now - machine.rented_at)
    late_after = {name: boots.late_after(kind, waiting[name], now) for name, kind in types.items()}
    usable = offers.usable()
    for machine in there:
        kind_of = machine.type
        if kind_of is None:
            continue
        if not machine.up and now - machine.rented_at > late_after[kind_of.name]:
            # It may still come, but what is rented now is likely to be there sooner.
            continue
        if not machine.up or usable(machine):
            room = Coming(
                machine.kind,
                kind_of.cpus - machine.cpus,
                kind_of.gpus - machine.gpus,
                kind_of.memory_gb - machine.memory_gb,
            )
            coming.append(room)
            if machine.up:
                soon = Instant(now + freed_boots * types[kind_of.name].boot_s)
                for spec in ends.of(machine, soon, now):
                    room.cpus += spec.cpus
                    room.gpus += spec.gpus
                    room.memory_gb += spec.memory_gb
    return coming
