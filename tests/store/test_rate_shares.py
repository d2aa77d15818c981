"""The nodes' shares of the state service's limits."""

from __future__ import annotations

import pytest

from meadowcross.store.rate_shares import LEADER_SHARE, follower_share, follower_share_with_borrowed


@pytest.mark.parametrize("nodes", [2, 3, 5, 7])
def test_shares_of_all_nodes_sum_up_to_the_limits(nodes):
    assert LEADER_SHARE + (nodes - 1) * follower_share(nodes) == pytest.approx(1.0)


LENT = [
    # nodes, what the leader uses, what each of the others may use
    (3, 0.0, 0.2),
    (3, 0.6, 0.2),
    (5, 0.0, 0.2),
    (5, 0.3, 0.15),
    (5, 0.5, 0.1),
    (5, 0.9, 0.1),
    (7, 0.0, 0.15),
]


@pytest.mark.parametrize(("nodes", "used", "share"), LENT)
def test_followers_borrow_what_the_leader_leaves(nodes, used, share):
    assert follower_share_with_borrowed(nodes, used) == pytest.approx(share)
    # All together promise no more than the limits, but for what the leader may still take up within a beat.
    assert used + (nodes - 1) * follower_share_with_borrowed(nodes, used) <= max(1.0, used + 0.4) + 1e-9
