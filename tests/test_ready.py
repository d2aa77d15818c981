"""What is kept ready where the users' aims name no money."""

from __future__ import annotations

import msgspec
import pytest

from meadowcross.common.settings import Objective
from meadowcross.jobs.aims import money_counts

MONEY = [
    ("no aims at all: nothing is free", [], True),
    ("a price", [Objective("wait", "train"), Objective("price")], True),
    ("useful money", [Objective("useful")], True),
    ("starts and ends only", [Objective("wait", "train"), Objective("finished", "train")], False),
    ("an aim of a kind not known", [Objective("elegance", "train")], False),
]


@pytest.mark.parametrize(("objectives", "counts"), [m[1:] for m in MONEY], ids=[m[0] for m in MONEY])
def test_money_counts_where_an_aim_names_it_or_none_is_stated(objectives, counts):
    assert money_counts(objectives) is counts


def aims(world, *objectives):
    facts = msgspec.structs.replace(world.settings.facts, objectives=list(objectives))
    world.settings = msgspec.structs.replace(world.settings, facts=facts)


@pytest.mark.parametrize(("named", "kept"), [("price", 0), ("wait", 1)])
def test_machines_stay_ready_while_no_aim_names_money(world, named, kept):
    """Ordinary machines that may run what waits were returned as dear, and booted again for the next job."""
    aims(world, Objective(named, "train", within_s=15.0))
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
