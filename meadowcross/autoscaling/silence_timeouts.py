"""For how long a silent machine is kept: by how many others are silent, and where.

Few that are silent are dead, hung or cut off one by one, and their work waits. When most are silent
at once, they or we may be cut off, and a fleet is sooner back from a cut than booted anew. A cut takes
whole zones: in a zone where others still report, those that don't are more likely dead.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from meadowcross.common.types import Seconds

MAX_INDIVIDUAL_FAILURES = 2
ZONE_OUTAGE_SHARE = 0.9
"""Some machines of a zone that is cut off are still counted as heard, as they spoke last."""
UNCERTAIN_TIMEOUT_FACTOR = 2.0
"""With most silent, though not whole zones, it may still be our own slowness: so much longer is waited."""


def silence_timeout_by_zone(
    machines: Iterable[tuple[str, bool]], silent_s: Seconds, cloud_list_s: Seconds
) -> dict[str, Seconds]:
    """By zone, the silence after which a machine is given up; `machines` are those that were heard of
    at all, as zone and whether silent now. `told_s`: by then the cloud's list must have told which are dead."""
    known_by_zone: Counter[str] = Counter()
    silent_by_zone: Counter[str] = Counter()
    for zone, is_silent in machines:
        known_by_zone[zone] += 1
        silent_by_zone[zone] += is_silent
    silent_count = sum(silent_by_zone.values())
    if silent_count <= MAX_INDIVIDUAL_FAILURES or silent_count * 2 <= sum(known_by_zone.values()):
        return dict.fromkeys(known_by_zone, silent_s)
    return {
        zone: cloud_list_s
        if silent_by_zone[zone] >= ZONE_OUTAGE_SHARE * count
        else min(cloud_list_s, UNCERTAIN_TIMEOUT_FACTOR * silent_s)
        for zone, count in known_by_zone.items()
    }
