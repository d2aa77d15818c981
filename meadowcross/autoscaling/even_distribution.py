"""Distribution of units over bins so that their totals become as even as possible."""

from __future__ import annotations

from collections.abc import Mapping


def distribute_evenly(totals: Mapping[str, int], rooms: Mapping[str, int], count: int) -> dict[str, int]:
    """Return how many of `count` units each bin of `rooms` gets.

    The result is that of giving out one unit after the other, each to the bin with the lowest total that has room, and
    among equal ones to the bin whose name sorts first. The time grows with the bins and with the logarithm of the
    count. Bins that `totals` lacks begin at 0; a bin gets at most its room, and fewer than `count` units are given out
    if the rooms are smaller.
    """
    open_bins = {name: room for name, room in rooms.items() if room > 0}
    starts = {name: totals.get(name, 0) for name in open_bins}
    remaining = min(count, sum(open_bins.values()))
    given = dict.fromkeys(rooms, 0)
    if remaining <= 0:
        return given
    level = _highest_level(starts, open_bins, remaining)
    for name, room in open_bins.items():
        given[name] = _given_up_to(level, starts[name], room)
    remaining -= sum(given.values())
    for name in sorted(open_bins):
        if remaining and starts[name] + given[name] == level and given[name] < open_bins[name]:
            given[name] += 1
            remaining -= 1
    return given


def _given_up_to(level: int, start: int, room: int) -> int:
    """Return how many units a bin gets until its total has reached the level or its room is used up."""
    return min(room, max(0, level - start))


def _highest_level(starts: Mapping[str, int], rooms: Mapping[str, int], count: int) -> int:
    """Return the highest level to which all totals can be raised, as far as the rooms allow, with `count` units."""
    low = min(starts.values())
    high = max(starts.values()) + count
    while low < high:
        level = (low + high + 1) // 2
        if sum(_given_up_to(level, starts[name], room) for name, room in rooms.items()) <= count:
            low = level
        else:
            high = level - 1
    return low
