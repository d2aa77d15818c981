"""An election whose node has no peers, on a store that never lost data."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from meadowcross.common.types import FencingToken, NodeName, Revision
from meadowcross.leadership.election import ActiveTerm, Election, Successor
from meadowcross.leadership.messages import LeaderRecord


class RevisionTokens:
    """The leader key's revision is the token; see `election.TokenSource`."""

    def token_if_epoch_known(self, revision: Revision) -> FencingToken:
        return FencingToken(revision)

    def token_for_key(self, revision: Revision) -> FencingToken:
        return FencingToken(revision)

    async def begin_store_epoch(self, revision: Revision) -> FencingToken | None:
        return None

    def is_store_suspect(self) -> bool:
        return False


class LoneNode:
    """Begins terms by a function, and knows nobody else; see `election.ElectionListener`."""

    def __init__(self, begin_term: Callable[[Any], ActiveTerm]) -> None:
        self.begin_term = begin_term

    def end_term(self) -> None:
        """Nothing to do."""

    def election_delay(self) -> float:
        return 0.0

    async def find_successor(self) -> Successor | None:
        return None


def make_election(
    clock: Any, store: Any, name: str, incarnation: str, begin_term: Callable[[Any], ActiveTerm]
) -> Election:
    """An election that has a lease of three seconds, and does not run yet."""
    record = LeaderRecord(NodeName(name), incarnation)
    election = Election(clock, store, record, 3.0, RevisionTokens())
    election.set_listener(LoneNode(begin_term))
    return election
