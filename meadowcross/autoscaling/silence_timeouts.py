"""Silence timeouts: how long a silent machine is kept, by the number of silent machines in each zone.

A few silent machines have failed individually, and their tasks wait. If most machines are silent at once, a network
partition may separate them from this leader, and it usually ends before new machines have booted. A partition affects
whole zones: in a zone where some machines still report, the silent ones have more likely failed.
"""

from __future__ import annotations

from collections.abc import Mapping

from meadowcross.common.types import Seconds

MAX_INDIVIDUAL_FAILURES = 2
"""Up to this number of silent machines is never treated as a partition."""
ZONE_OUTAGE_SHARE = 0.9
"""Share of silent machines from which a zone counts as partitioned: some may have reported just before."""
UNCERTAIN_TIMEOUT_FACTOR = 2.0
"""Multiple of the usual timeout if most machines, but not whole zones, are silent: this node may be slow."""


def silence_timeout_by_zone(
    known_by_zone: Mapping[str, int],
    silent_by_zone: Mapping[str, int],
    usual_timeout_s: Seconds,
    cloud_list_timeout_s: Seconds,
) -> dict[str, Seconds]:
    """Return by zone the silence after which a machine is decommissioned.

    `known_by_zone` counts the machines that have ever reported, `silent_by_zone` (with the same zones) those of them
    that are silent now. `cloud_list_timeout_s` is the timeout for a partitioned zone: the time after which the cloud's
    list shows which machines have failed.
    """
    silent_count = sum(silent_by_zone.values())
    if silent_count <= MAX_INDIVIDUAL_FAILURES or silent_count * 2 <= sum(known_by_zone.values()):
        return dict.fromkeys(known_by_zone, usual_timeout_s)
    uncertain_timeout_s = min(cloud_list_timeout_s, UNCERTAIN_TIMEOUT_FACTOR * usual_timeout_s)
    return {
        zone: cloud_list_timeout_s if silent_by_zone[zone] >= ZONE_OUTAGE_SHARE * count else uncertain_timeout_s
        for zone, count in known_by_zone.items()
    }
