"""Whether a leader should transfer its place to a node that workers can reach.

A leader whose lease lives but whom most workers can't reach is worse than none: their leases run out, and machines that
are well look silent to it. The peers' heartbeats only hint that another is placed better; who leads is still decided by
the store's key alone.
"""

from __future__ import annotations

from typing import NamedTuple


class Reachability(NamedTuple):
    """How many workers reach this node, and the best of its peers."""

    known_machines: int
    """Machines in use."""
    reporting_machines: int
    """Those of them that reported to us within the window."""
    most_heard_by_peer: int | None
    """The most that a peer heard; None: no peer was heard lately."""

    @property
    def is_better_elsewhere(self) -> bool:
        """Most workers don't reach us, and more reach a peer, or peers don't reach us either.

        Machines that are silent for everyone are no reason: another leader could do no better.
        """
        if self.reporting_machines * 2 >= self.known_machines:
            return False
        return self.most_heard_by_peer is None or self.most_heard_by_peer > self.reporting_machines
