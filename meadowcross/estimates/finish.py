"""When a job will be done: a function of what of it is left and of the room it may use."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from meadowcross.common.types import Seconds
from meadowcross.estimates.curve import Curve

MAX_LOOKED_AT = 16
"""Of thousands of running tasks so many tell enough."""


class Ends(NamedTuple):
    """Seconds from now until a job is done: in one case of ten sooner, as often sooner as
    later, in nine of ten sooner."""

    low: Seconds
    middle: Seconds
    high: Seconds


class Left(NamedTuple):
    """What is left of a job."""

    waiting: int
    """Tasks without a machine."""
    starting: int
    """Tasks that have one and don't run yet."""
    running: Sequence[Seconds]
    """How long each running task has run."""
    slots: int
    """How many of its tasks can run at once, by its team's room and the machines that fit."""
    turn: Seconds
    """Until its waiting tasks' turn comes: work ahead of it, or a boot."""
    fetch: Seconds


def middle_of(left: Left, curve: Curve, alike: float) -> Seconds:
    """The time until the last task is done, as likely too long as too short.

    The last of n tasks takes longer than the middle one, by the more the less tasks of a job
    are `alike`: 0, all take the same; 1, they differ as all runs of the class do.
    """
    count = left.waiting + left.starting + len(left.running)
    if count == 0:
        return 0.0
    at_once = max(1, min(left.slots, count))

    def last_of(tasks: int) -> float:
        return float(0.5 ** (1.0 / max(1, tasks) ** alike))

    run = curve.at(0.5)
    if left.waiting == 0:
        ends = [curve.left(min(left.running), last_of(len(left.running)))] if left.running else []
        if left.starting:
            ends.append(left.fetch + curve.at(last_of(left.starting)))
        return max(ends)
    every = max(1, len(left.running) // MAX_LOOKED_AT)
    looked_at = left.running[::every]
    going = sum(curve.left(one, 0.5) for one in looked_at) * (len(left.running) / max(1, len(looked_at)))
    work = going + left.starting * (left.fetch + run) + (left.waiting - 1) * run
    # The last begins where a place comes free first, half a run before the places' mean end.
    begins = max(left.turn, work / at_once - run * (at_once - 1) / (2 * at_once))
    return begins + left.fetch + curve.at(last_of(min(at_once, left.waiting)))
