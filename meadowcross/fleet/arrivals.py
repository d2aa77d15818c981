"""Room that will be there soon without renting more: asked for, booting, just up, or held by
tasks that are about to end."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from meadowcross.common.types import Instant, Seconds
from meadowcross.fleet import messages as m
from meadowcross.fleet.boots import Boots
from meadowcross.fleet.sizing import Coming, Rental
from meadowcross.jobs.book import Book, Phase
from meadowcross.workers.roster import Machine, Roster

FREED_BOOTS = 0.5
"""What ends within half a boot is there sooner than what is rented for it."""


class Offers(Protocol):
    """Which machines are offered, or will be in a moment."""

    def offerable(self, machine: Machine) -> bool: ...
    def arriving(self, machine: Machine) -> bool: ...


def room_coming(
    renting: Iterable[Rental],
    roster: Roster,
    book: Book,
    offers: Offers,
    boots: Boots,
    types: dict[str, m.MachineType],
    now: Instant,
) -> list[Coming]:
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
    for machine in there:
        kind_of = machine.type
        if kind_of is None:
            continue
        if not machine.up and now - machine.rented_at > late_after[kind_of.name]:
            # It may still come, but what is rented now is likely to be there sooner.
            continue
        if not machine.up or offers.arriving(machine) or offers.offerable(machine):
            room = Coming(
                machine.kind,
                kind_of.cpus - machine.cpus,
                kind_of.gpus - machine.gpus,
                kind_of.memory_gb - machine.memory_gb,
            )
            coming.append(room)
            if machine.up:
                _add_ends(room, machine, book, FREED_BOOTS * types[kind_of.name].boot_s, now)
    return coming


def _add_ends(room: Coming, machine: Machine, book: Book, within: Seconds, now: Instant) -> None:
    for placement in machine.placements.values():
        job = book.jobs.get(placement.task.job)
        if job is None or placement.phase is not Phase.RUNNING or placement.running_at is None:
            continue
        if book.expected_run(job.spec) - (now - placement.running_at) < within:
            room.cpus += job.spec.cpus
            room.gpus += job.spec.gpus
            room.memory_gb += job.spec.memory_gb
