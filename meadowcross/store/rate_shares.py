"""How the nodes of a cluster divide the state service's limits among themselves."""

from __future__ import annotations

LEADER_SHARE = 0.6
RECOVERY_SHARE = 0.8
"""Of a leader while it writes lost data back."""
MAX_BORROWED_SHARE = 0.2
RESERVED_SHARE = 0.1
"""The leader may need more before it has told of it."""
MIN_BURST_SHARE = 0.2
"""Of a second's worth: what a node may use at once, however small its share. Users' submissions come in bursts, which
queued for seconds at five nodes; where all burst at once, refusals shrink the budgets."""


def follower_share(node_count: int) -> float:
    """What each of the others may use, so that all nodes together promise the limits once.

    `nodes` counts the whole cluster. With fixed shares of 20 % five nodes promised 140 % of the limits.
    """
    return (1.0 - LEADER_SHARE) / max(1, node_count - 1)


def follower_share_with_borrowed(node_count: int, leader_used: float) -> float:
    """What each of the others may use while the leader uses this part of the limits: what the leader leaves of its own
    share is lent to them in equal parts, up to what each of three nodes has anyway, and never less than their own."""
    borrowed = max(0.0, LEADER_SHARE - RESERVED_SHARE - leader_used) / max(1, node_count - 1)
    own = follower_share(node_count)
    return max(own, min(MAX_BORROWED_SHARE, own + borrowed))
