"""Wiring and the command line."""

from __future__ import annotations

import argparse
import gc
import os
import sys
import uuid
from typing import Any

import meadowcross
from meadowcross.common import logging as node_logging
from meadowcross.common.settings import (
    DEFAULT_OPERATOR_FILE,
    Operator,
    Settings,
    SettingsError,
    load_operator,
    load_settings,
)

GC_OBJECTS, GC_TIMES = 100_000, 50
PREPARE_S = 30.0


def parser(program: str) -> argparse.ArgumentParser:
    options = argparse.ArgumentParser(prog=program, description="A controller node of meadowcross.")
    options.add_argument("--config", metavar="FILE", required=True, help="the platform's settings file (TOML)")
    options.add_argument(
        "--operator-settings",
        metavar="FILE",
        help=f"the operators' own settings (XML); default {DEFAULT_OPERATOR_FILE}, if it exists",
    )
    options.add_argument("--check", action="store_true", help="read both settings files, report, and exit")
    options.add_argument("--version", action="version", version=f"meadowcross {meadowcross.__version__}")
    return options


def main(arguments: list[str], program: str = "run.py") -> int:
    options = parser(program).parse_args(arguments)
    try:
        settings = load_settings(options.config)
        path = options.operator_settings
        if path is None and os.path.exists(DEFAULT_OPERATOR_FILE):
            path = DEFAULT_OPERATOR_FILE
        operator = load_operator(path) if path is not None else Operator()
    except SettingsError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return 2
    if options.check:
        print(f"{options.config}: good, node {settings.host_name}")
        print(f"{path}: good" if path else "no operators' settings: defaults apply")
        return 0
    node_logging.set_up(settings.host_name)
    # What a leader allocates lives long or is freed by its count; looking through it all for cycles
    # every few hundred objects took a tenth of its time.
    gc.set_threshold(GC_OBJECTS, GC_TIMES, GC_TIMES)
    # Only now: --help and --check need no reactor, and a start's cost is counted.
    from twisted.internet import reactor

    Node(reactor, settings, operator).start()
    gc.freeze()
    reactor.run()  # type: ignore[misc]
    return 0




class Node:
    """One controller: all slices, wired together."""

    def __init__(self, reactor: Any, settings: Settings, operator: Operator) -> None:
        from meadowcross.common.http import Answer, HttpClient, Router
        from meadowcross.common.types import Address, JobId, NodeName, Token
        from meadowcross.fleet.catalog import Catalog
        from meadowcross.fleet.cloud import Cloud
        from meadowcross.jobs.api import JobApi
        from meadowcross.jobs.messages import Progress
        from meadowcross.leadership.election import Election
        from meadowcross.leadership.messages import Beat
        from meadowcross.leadership.peerlink import PeerLink
        from meadowcross.leadership.reach import heard_window
        from meadowcross.leadership.term import Term
        from meadowcross.store.client import SHARE_OF_LEADER, SHARE_OF_OTHERS, StoreClient
        from meadowcross.workers.api import WorkerApi
        from meadowcross.workers.visitors import Visitors

        self._reactor = reactor
        self._settings = settings
        self._operator = operator
        node = NodeName(settings.host_name)
        facts = settings.facts
        http = HttpClient(reactor)
        self.store = StoreClient(reactor, http, Address(settings.outside.state), facts.state)
        cloud = Cloud(reactor, http, Address(settings.outside.cloud), facts.cloud)
        self.catalog = Catalog(reactor, cloud, self.store)
        self.term: Term | None = None

        def begin_term(token: Token) -> Term:
            self.store.set_share(SHARE_OF_LEADER)
            term = Term(
                reactor,
                settings,
                operator,
                self.store,
                http,
                cloud,
                self.catalog.types,
                token,
                self.election,
                self.link.most_heard,
            )
            self.term = term
            term.start()
            return term

        def end_term() -> None:
            self.store.set_share(SHARE_OF_OTHERS)

        def current_term() -> Term | None:
            return self.term if self.term is not None and not self.term.stopped else None

        def own_progress(job: JobId) -> Progress | None:
            term = current_term()
            known = term.book.jobs.get(job) if term is not None else None
            if term is None or known is None:
                return None
            return Progress(known.done_count, known.running_count(), term.ends(job))

        async def progress(job: JobId) -> Progress | None:
            if current_term() is not None:
                return own_progress(job)
            leader = known_leader()
            return await self.link.ask_progress(leader[0], job) if leader is not None else None

        def known_leader() -> tuple[NodeName, Token] | None:
            """By the key as last read or by the peers' beats, whichever is newer: a node that
            the store refuses still learns of a new leader."""
            seen = [one for one in (self.election.leader, self.link.leading()) if one is not None]
            return max(seen, key=lambda one: one[1], default=None)

        def leader_name() -> NodeName | None:
            leader = known_leader()
            # Naming ourselves, or nobody, sends the worker on to the next node.
            return leader[0] if leader is not None and leader[0] != node else None

        def take_report() -> Any:
            term = current_term()
            return term.on_report if term is not None else None

        def beat() -> Beat:
            return Beat(node, self.store.answering(), self.election.token, visitors.count())

        def on_beat(beat: Beat) -> None:
            own = self.election.token
            if own is not None and beat.leads is not None and beat.leads > own:
                self.election.stand_down(f"{beat.node} leads with token {beat.leads}")

        visitors = Visitors(reactor, heard_window(facts.workers.report_s))
        self.election = Election(reactor, self.store, node, uuid.uuid4().hex, operator.hold_s, begin_term, end_term)
        async def serve(operation: str, job: str, body: bytes) -> Answer:
            return await api.serve(operation, job, body)

        self.link = PeerLink(reactor, settings.peers, beat, own_progress, on_beat, serve)
        self.router = Router()
        api = JobApi(
            reactor,
            self.store,
            facts.teams,
            facts.zones,
            self.catalog.types,
            progress,
            self.link.peer_has_store,
            self.link.forward,
        )
        api.routes(self.router)
        WorkerApi(take_report, leader_name, visitors).routes(self.router)

    def _prepare(self) -> None:
        """What only a leader needs, loaded while there is nothing to hurry for."""
        import meadowcross.estimates.keeper
        import meadowcross.leadership.outlook  # noqa: F401

    def start(self) -> None:
        from twisted.internet.defer import Deferred

        from meadowcross.common.http import api_factory

        host, _, port = self._settings.api_addr.rpartition(":")
        self._reactor.listenTCP(int(port), api_factory(self.router, self._reactor), interface=host, backlog=512)
        self.link.start(self._reactor, self._settings.peer_bind)
        if self._operator.learned_estimates >= 1:
            self._reactor.callLater(PREPARE_S, self._prepare)
        Deferred.fromCoroutine(self.catalog.run())
        Deferred.fromCoroutine(self.election.run())
