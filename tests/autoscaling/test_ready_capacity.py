"""What is kept ready where no aim of the users gives time to save money in."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.settings import Objective
from meadowcross.jobs.objectives import may_wait_for_cheaper_capacity

MONEY = [
    ("no aims at all: nothing is free", [], True),
    ("a deadline gives time", [Objective("wait", "train"), Objective("deadline", "train", times=1.0)], True),
    ("all from the submission", [Objective("wait", "train"), Objective("finished", "train")], False),
    ("an aim of a kind not known", [Objective("elegance", "train")], False),
]


@pytest.mark.parametrize(("objectives", "counts"), [m[1:] for m in MONEY], ids=[m[0] for m in MONEY])
def test_money_counts_where_an_aim_gives_time_or_none_is_stated(objectives, counts):
    assert may_wait_for_cheaper_capacity(objectives) is counts


def aims(world, *objectives):
    facts = msgspec.structs.replace(world.settings.facts, objectives=list(objectives))
    world.settings = msgspec.structs.replace(world.settings, facts=facts)


@pytest.mark.parametrize(("named", "kept"), [("deadline", 0), ("wait", 1)])
def test_machines_stay_ready_while_no_aim_is_a_deadline(world, named, kept):
    """Ordinary machines that may run what waits were returned as dear, and booted again for the next job."""
    aims(world, Objective(named, "train", within_s=15.0, times=1.0))
    world.lead()
    world.submit(heads=1, stubble=False)
    world.pass_time(8.0)
    (worker,) = (w for w in world.workers.values() if w.tasks)
    for key in list(worker.tasks):
        worker.end(key)
    world.pass_time(120.0, 0.25)
    assert len(world.workers) == kept
    world.pass_time(world.operator.ready_keep_s, 1.0)
    assert not world.workers, "nothing is kept that serves no aim"


ROOM = [
    # the kind of aim, what runs, whether a machine is rented for work that finds no room
    ("there is time: what ends soon is waited for", "deadline", {"grazeS": 10.0}, 0),
    ("no time is given: a boot begins at once", "wait", {"grazeS": 10.0}, 1),
    ("there is time, but a service never ends", "deadline", {"grazeS": 0.0, "breed": "daemon", "herd": "web"}, 1),
]


@pytest.mark.parametrize(("named", "runs", "rented"), [r[1:] for r in ROOM], ids=[r[0] for r in ROOM])
def test_what_waits_for_room_that_comes_free_and_what_is_rented_for(world, named, runs, rented):
    """An array waited for minutes for tasks that were always about to end, and for services, whose estimate is 0."""
    aims(world, Objective(named, "train", within_s=15.0, times=1.0))
    world.types = [msgspec.structs.replace(one, boot_s=40.0) for one in world.types]
    world.lead()
    world.submit(heads=1, cpus=4.0, builds=["small"], sundownS=None, **runs)
    world.pass_time(3.0)
    before = len(world.workers)
    world.submit(id="wk-000002", heads=1, cpus=4.0, builds=["small"], grazeS=10.0, sundownS=None)
    world.pass_time(1.0)
    assert len(world.workers) - before == rented
