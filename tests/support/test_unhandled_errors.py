"""Errors of Deferreds that nobody handles are found; a cluster that is dropped in the middle leaves none behind."""

from __future__ import annotations

import gc

from twisted.internet.defer import Deferred

from simulation.scenario import load
from simulation.world import Lab
from tests.simulation.test_scenarios import EXAMPLES


def test_an_error_that_nobody_handles_is_found(unhandled_errors):
    Deferred().errback(RuntimeError("nobody looks at this"))
    gc.collect()
    assert len(unhandled_errors.found) == 1 and "nobody looks at this" in unhandled_errors.found[0]
    unhandled_errors.found.clear()


def test_a_cluster_that_is_dropped_in_the_middle_leaves_none(unhandled_errors):
    """A leader's coroutines are closed with the cluster. One of them ended its term then, which rang others that were
    closed already."""
    world = Lab(load(str(EXAMPLES[0].parent / "quiet.toml")), 1)
    world.simulation.run(20.0)
    assert world.leader() is not None
    del world
    gc.unfreeze()
    gc.collect()
    assert unhandled_errors.found == []
