"""Divides the state service's rate limits among the nodes of a cluster.

Shares are parts of the limits, between 0 and 1.
"""

from __future__ import annotations

LEADER_SHARE = 0.6
RECOVERY_SHARE = 0.8
"""The leader's share during the write-back of lost data."""
MAX_BORROWED_SHARE = 0.2
RESERVED_SHARE = 0.1
"""Part of the leader's share that is never lent, because its usage may rise before its next heartbeat reports that."""
MIN_BURST_SHARE = 0.2
"""Part of one second's limit that a node may use at once, however small its share is. Submissions arrive in bursts: in
a cluster of five nodes they queued for seconds with a smaller part, and with a larger part the service rejected
requests, which made all nodes back off."""


def follower_share(node_count: int) -> float:
    """Return the share of each follower, such that the shares of the cluster's `node_count` nodes add up to 1.

    With fixed follower shares of 20 %, five nodes used up to 140 % of the limits.
    """
    return (1.0 - LEADER_SHARE) / max(1, node_count - 1)


def follower_share_with_borrowed(node_count: int, leader_used: float) -> float:
    """Return a follower's share including what it may borrow while the leader uses `leader_used` of the limits.

    The unused part of the leader's share, less `RESERVED_SHARE`, is lent in equal parts. The result is at most
    `MAX_BORROWED_SHARE`, unless the follower's own share is larger.
    """
    borrowed = max(0.0, LEADER_SHARE - RESERVED_SHARE - leader_used) / max(1, node_count - 1)
    own = follower_share(node_count)
    return max(own, min(MAX_BORROWED_SHARE, own + borrowed))
