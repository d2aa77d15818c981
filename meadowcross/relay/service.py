"""A node's part in relaying, by what it is now: relay for a leader, or the leader that its relays speak to."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec
from msgspec import Raw

from meadowcross.common.types import NodeName, Token
from meadowcross.relay import messages as m
from meadowcross.relay.pool import RelayPool
from meadowcross.relay.relay import Relay
from meadowcross.workers import messages as wm

OK, MALFORMED, ELSEWHERE = 200, 400, 421


class Leading(Protocol):
    """Of a term, what relays need."""

    token: Token
    relays: RelayPool | None

    def on_report(self, report: wm.Report, via: NodeName | None = None) -> wm.Response | wm.Elsewhere | None: ...
    def settled(self, report: wm.Report) -> bool: ...


class RelayService:
    """Takes what leaders and relays say on the controllers' link to whom it concerns."""

    def __init__(self, relay: Relay, leading: Callable[[], Leading | None]) -> None:
        self._relay = relay
        self._leading = leading

    def _pool(self) -> RelayPool | None:
        leading = self._leading()
        return leading.relays if leading is not None else None

    # As a relay

    def take_grant(self, grant: m.Grant) -> None:
        """See `Relay.take_grant`; a node that leads is nobody's relay."""
        if self._leading() is None:
            self._relay.take_grant(grant)

    def resend(self, wanted: m.ResendWanted) -> None:
        """See `Relay.resend`."""
        self._relay.resend(wanted)

    async def commands(self, passed: m.CommandsPassed) -> m.CommandsAnswered:
        """See `Relay.commands`."""
        return await self._relay.commands(passed)

    # As the leader

    def renewed(self, renewals: m.Renewals) -> None:
        """See `RelayPool.renewed`."""
        if (pool := self._pool()) is not None:
            pool.renewed(renewals)

    def held(self, sessions: m.SessionsHeld) -> None:
        """See `RelayPool.held`."""
        if (pool := self._pool()) is not None:
            pool.held(sessions)

    def peer_lost(self, peer: NodeName) -> None:
        """See `RelayPool.peer_lost`."""
        if (pool := self._pool()) is not None:
            pool.peer_lost(peer)

    def report_passed(self, passed: m.ReportPassed) -> m.ReportAnswered:
        """The answer to a worker's report that came whole through a relay; 421 where it was passed to another term
        than the one that leads here."""
        leading = self._leading()
        try:
            report = wm.decode_report(passed.report)
        except msgspec.DecodeError as error:
            return m.ReportAnswered(passed.number, MALFORMED, Raw(msgspec.json.encode({"error": str(error)})))
        response = None
        if leading is not None and leading.token == passed.token:
            response = leading.on_report(report, passed.node)
        if leading is None or not isinstance(response, wm.Response):
            elsewhere = response or wm.Elsewhere()
            return m.ReportAnswered(passed.number, ELSEWHERE, Raw(wm.encode(elsewhere)))
        settled = not response.commands and leading.settled(report)
        return m.ReportAnswered(passed.number, OK, Raw(wm.encode(response)), settled)
