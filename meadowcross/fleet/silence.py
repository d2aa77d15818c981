"""For how long a silent machine is kept: by how many others are silent, and where.

Few that are silent are dead, hung or cut off one by one, and their work waits. When most are silent
at once, they or we may be cut off, and a fleet is sooner back from a cut than booted anew. A cut takes
whole zones: in a zone where others still report, those that don't are more likely dead.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from meadowcross.common.types import Seconds

FEW = 2
WHOLE_ZONE = 0.9
"""Some machines of a zone that is cut off are still counted as heard, as they spoke last."""
DOUBTFUL_TIMES = 2.0
"""With most silent, though not whole zones, it may still be our own slowness: so much longer is waited."""


def patience(machines: Iterable[tuple[str, bool]], silent_s: Seconds, told_s: Seconds) -> dict[str, Seconds]:
    """By zone, the silence after which a machine is given up; `machines` are those that were heard of
    at all, as zone and whether silent now. `told_s`: by then the cloud's list must have told which are dead."""
    known: Counter[str] = Counter()
    quiet: Counter[str] = Counter()
    for zone, silent in machines:
        known[zone] += 1
        quiet[zone] += silent
    all_quiet = sum(quiet.values())
    if all_quiet <= FEW or all_quiet * 2 <= sum(known.values()):
        return dict.fromkeys(known, silent_s)
    return {
        zone: told_s if quiet[zone] >= WHOLE_ZONE * count else min(told_s, DOUBTFUL_TIMES * silent_s)
        for zone, count in known.items()
    }
