"""Unhandled errors of Deferreds are recorded; a simulation that is dropped while it runs leaves none."""

from __future__ import annotations

import gc

from twisted.internet.defer import Deferred

from simulation.scenario import load
from simulation.world import Lab
from tests.simulation.test_scenarios import EXAMPLES


def test_unhandled_error_of_a_deferred_is_recorded(unhandled_errors):
    Deferred().errback(RuntimeError("nobody looks at this"))
    gc.collect()
    assert len(unhandled_errors.tracebacks) == 1 and "nobody looks at this" in unhandled_errors.tracebacks[0]
    unhandled_errors.tracebacks.clear()


def test_dropped_simulation_leaves_no_unhandled_error(unhandled_errors):
    """Dropping the simulation closes the leader's coroutines. One of them once ended its term in doing so, and the end
    of the term resumed coroutines that were closed already."""
    world = Lab(load(str(EXAMPLES[0].parent / "quiet.toml")), 1)
    world.simulation.run(20.0)
    assert world.leader() is not None
    del world
    gc.unfreeze()
    gc.collect()
    assert unhandled_errors.tracebacks == []
