"""The nodes' shares of the state service's limits."""

from __future__ import annotations

import pytest

from meadowcross.store.rate_shares import LEADER_SHARE, follower_share, follower_share_with_borrowed


@pytest.mark.parametrize("node_count", [2, 3, 5, 7])
def test_shares_of_all_nodes_add_up_to_the_limits(node_count):
    assert LEADER_SHARE + (node_count - 1) * follower_share(node_count) == pytest.approx(1.0)


FOLLOWER_SHARES = [
    # number of nodes, part of the limits that the leader uses, expected share of each follower
    (3, 0.0, 0.2),
    (3, 0.6, 0.2),
    (5, 0.0, 0.2),
    (5, 0.3, 0.15),
    (5, 0.5, 0.1),
    (5, 0.9, 0.1),
    (7, 0.0, 0.15),
]


@pytest.mark.parametrize(("node_count", "leader_used", "expected"), FOLLOWER_SHARES)
def test_followers_borrow_the_unused_part_of_the_leaders_share(node_count, leader_used, expected):
    assert follower_share_with_borrowed(node_count, leader_used) == pytest.approx(expected)
    # The sum exceeds the limits at most by an increase of the leader's usage within one heartbeat interval.
    assert leader_used + (node_count - 1) * follower_share_with_borrowed(node_count, leader_used) <= (
        max(1.0, leader_used + 0.4) + 1e-9
    )
