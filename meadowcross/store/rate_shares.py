"""How the nodes of a cluster divide the state service's rate limits among themselves.

Shares are parts of the limits, between 0 and 1.
"""

from __future__ import annotations

LEADER_SHARE = 0.6
RECOVERY_SHARE = 0.8
"""The leader's share while it writes lost data back."""
MAX_BORROWED_SHARE = 0.2
RESERVED_SHARE = 0.1
"""Part of the leader's share that is never lent: its use may rise before its next heartbeat reports it."""
MIN_BURST_SHARE = 0.2
"""Part of one second's limit that a node may use at once, however small its share. Submissions come in bursts: with
smaller ones they queued for seconds in a cluster of five, with larger ones the rejections made all nodes back off."""


def follower_share(node_count: int) -> float:
    """Return the share of each follower, so that all shares of the cluster's `node_count` nodes sum up to 1.

    With fixed shares of 20 %, five nodes used up to 140 % of the limits.
    """
    return (1.0 - LEADER_SHARE) / max(1, node_count - 1)


def follower_share_with_borrowed(node_count: int, leader_used: float) -> float:
    """Return a follower's share including what it may borrow while the leader uses `leader_used` of the limits.

    What the leader leaves of its share is lent in equal parts, up to `MAX_BORROWED_SHARE` in all.
    """
    borrowed = max(0.0, LEADER_SHARE - RESERVED_SHARE - leader_used) / max(1, node_count - 1)
    own = follower_share(node_count)
    return max(own, min(MAX_BORROWED_SHARE, own + borrowed))
