"""Decides whether a leader should transfer the leadership to a controller that more workers can reach.

A leader with a valid lease that most workers can't reach is worse than none: worker leases expire, and healthy machines
seem silent. Peer heartbeats are only a hint that another controller is reached better; the leader key in the store
alone decides which controller leads.
"""

from __future__ import annotations

from typing import NamedTuple


class Reachability(NamedTuple):
    """How many workers reach this controller, and how many reach the best of its peers."""

    known_machines: int
    """Machines in use."""
    reporting_machines: int
    """Machines in use whose heartbeats arrived here within the contact window."""
    best_peer_reach: int | None
    """Workers that report to the peer that most workers reach; None if no peer heartbeat arrived lately."""

    @property
    def is_better_elsewhere(self) -> bool:
        """Whether most workers don't reach this controller, and either more of them reach a peer or no peer heartbeat
        arrives here.

        Machines that reach no controller are no reason for a transfer: another leader could do no better.
        """
        if self.reporting_machines * 2 >= self.known_machines:
            return False
        return self.best_peer_reach is None or self.best_peer_reach > self.reporting_machines
