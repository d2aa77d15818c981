"""Builds an election of a node without peers, on a store that never lost data."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from meadowcross.common.types import FencingToken, NodeName, Revision
from meadowcross.leadership.election import ActiveTerm, Election, Successor
from meadowcross.leadership.messages import LeaderRecord


class RevisionTokens:
    """Takes the revision of the leader key as the fencing token; implements `election.TokenSource`."""

    def token_if_epoch_known(self, revision: Revision) -> FencingToken:
        return FencingToken(revision)

    def token_for_key(self, revision: Revision) -> FencingToken:
        return FencingToken(revision)

    async def begin_store_epoch(self, revision: Revision) -> FencingToken | None:
        return None

    def is_store_suspect(self) -> bool:
        return False


class SingleNode:
    """Begins each term by calling a function, and has no peers; implements `election.ElectionListener`."""

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
    """An election with a leader lease of three seconds that is not running yet."""
    record = LeaderRecord(NodeName(name), incarnation)
    election = Election(clock, store, record, 3.0, RevisionTokens())
    election.set_listener(SingleNode(begin_term))
    return election
