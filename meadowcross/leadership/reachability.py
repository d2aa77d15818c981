"""Whether a leader should make way for a node that workers can reach.

A leader whose hold lives but whom most workers can't reach is worse than none: their
leases run out, and machines that are well look silent to it. The peers' beats only
hint that another is better placed; who leads is still decided by the store's key alone.
"""

from __future__ import annotations

from typing import NamedTuple


class Reachability(NamedTuple):
    """How many machines are in use, how many of them reported to us within the window, and
    the most that a peer has seen (None: no peer was heard lately)."""

    known_machines: int
    reporting_machines: int
    most_heard_by_peer: int | None

    @property
    def is_better_elsewhere(self) -> bool:
        """Most workers don't reach us, and more reach a peer, or peers don't reach us either.
        Machines that are silent for everyone are no reason: another could do no better."""
        return self.reporting_machines * 2 < self.known_machines and (
            self.most_heard_by_peer is None or self.most_heard_by_peer > self.reporting_machines
        )
