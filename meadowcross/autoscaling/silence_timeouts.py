"""How long a silent machine is kept, by how many others are silent and in which zones.

A few silent machines are dead, hung or cut off one by one, and their work waits. When most are silent at once, they or
this leader may be cut off, and machines are sooner back from a network partition than booted anew. A partition takes
whole zones: in a zone where others still report, the silent ones are more likely dead.
"""

from __future__ import annotations

from collections.abc import Mapping

from meadowcross.common.types import Seconds

MAX_INDIVIDUAL_FAILURES = 2
"""Up to so many silent machines are never taken for a partition."""
ZONE_OUTAGE_SHARE = 0.9
"""Some machines of a zone that is cut off are not counted as silent yet, as they spoke last."""
UNCERTAIN_TIMEOUT_FACTOR = 2.0
"""If most are silent, but not whole zones, this node may be slow: it waits so many times as long."""


def silence_timeout_by_zone(
    known_by_zone: Mapping[str, int], silent_by_zone: Mapping[str, int], silent_s: Seconds, cloud_list_s: Seconds
) -> dict[str, Seconds]:
    """Return by zone the silence after which a machine is given up.

    `known_by_zone` counts the machines that were ever heard of, `silent_by_zone` (with the same zones) those of them
    that are silent now. `silent_s` is the usual timeout; by `cloud_list_s` the cloud's list shows which machines are
    dead.
    """
    silent_count = sum(silent_by_zone.values())
    if silent_count <= MAX_INDIVIDUAL_FAILURES or silent_count * 2 <= sum(known_by_zone.values()):
        return dict.fromkeys(known_by_zone, silent_s)
    uncertain_s = min(cloud_list_s, UNCERTAIN_TIMEOUT_FACTOR * silent_s)
    return {
        zone: cloud_list_s if silent_by_zone[zone] >= ZONE_OUTAGE_SHARE * count else uncertain_s
        for zone, count in known_by_zone.items()
    }
