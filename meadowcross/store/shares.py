"""How the nodes of a cluster divide the state service's limits among themselves."""

from __future__ import annotations

LEADER_SHARE = 0.6
REBUILD_SHARE = 0.8
"""Of a leader while it writes lost data back."""
MOST_LENT_SHARE = 0.2
KEPT_BACK_SHARE = 0.1
"""The leader may need more before it has told of it."""
LEAST_BURST_SHARE = 0.2
"""Of a second's worth: what a node may use at once, however small its share. Users' submissions come in bursts, which
queued for seconds at five nodes; where all burst at once, refusals shrink the budgets."""


def follower_share(nodes: int) -> float:
    """What each of the others may use, so that all nodes together promise the limits once.

    `nodes` counts the whole cluster. With fixed shares of 20 % five nodes promised 140 % of the limits.
    """
    return (1.0 - LEADER_SHARE) / max(1, nodes - 1)


def lent_share(nodes: int, leader_used: float) -> float:
    """What each of the others may use while the leader uses this part of the limits: what the leader leaves of its own
    share is lent to them in equal parts, up to what each of three nodes has anyway, and never less than their own."""
    lent = max(0.0, LEADER_SHARE - KEPT_BACK_SHARE - leader_used) / max(1, nodes - 1)
    own = follower_share(nodes)
    return max(own, min(MOST_LENT_SHARE, own + lent))
