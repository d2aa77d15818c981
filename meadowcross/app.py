"""Wiring and the command line."""

from __future__ import annotations

import argparse
import gc
import logging
import os
import sys
import uuid
from typing import TYPE_CHECKING, Any

import meadowcross
from meadowcross.common import logging as node_logging
from meadowcross.common.settings import (
    DEFAULT_OPERATOR_FILE,
    SOCKETS_ALONE,
    SOCKETS_RELAYED,
    SOCKETS_SERVED,
    Operator,
    RelayMode,
    Settings,
    SettingsError,
    digest,
    load_operator,
    load_settings,
    workers_served,
)

if TYPE_CHECKING:
    from meadowcross.leadership.term import Term
    from meadowcross.rebuild.merge import Source
    from meadowcross.replica.follower import Follower

GC_OBJECTS, GC_TIMES = 100_000, 50
PREPARE_S = 4.0
LONG_S = 300.0
"""Who has followed for so long has seen ended what users still ask about, or has had it compared."""


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
    from twisted.internet.defer import Deferred

    node = Node(reactor, settings, operator)
    node.start()
    loop: Any = reactor
    loop.addSystemEventTrigger("before", "shutdown", lambda: Deferred.fromCoroutine(node.leave("told to stop")))
    gc.freeze()
    loop.run()
    return 0


def most_bytes(settings: Settings) -> int:
    """For the picture of the store: a quarter of what the process may hold, or as much as seems small anywhere."""
    limits = settings.facts.machine_limits
    return int((limits.mem_mb if limits is not None else 256.0) / 4 * 2**20)


class Node:
    """One controller: all slices, wired together."""

    def __init__(self, reactor: Any, settings: Settings, operator: Operator) -> None:
        from meadowcross.common.http import BRIEFLY_OPEN_S, Answer, HttpClient, Router
        from meadowcross.common.types import Address, JobId, Mark, NodeName, Token, token_of
        from meadowcross.fleet.catalog import Catalog
        from meadowcross.fleet.cloud import Cloud
        from meadowcross.jobs.api import Forward, JobApi, Trust
        from meadowcross.jobs.messages import Progress
        from meadowcross.leadership.cancels import Cancels
        from meadowcross.leadership.election import Election, Successor
        from meadowcross.leadership.messages import Beat, LeaderRecord
        from meadowcross.leadership.peerlink import PeerLink
        from meadowcross.leadership.standby import Standby
        from meadowcross.rebuild.audit import Audit
        from meadowcross.rebuild.era import Eras
        from meadowcross.rebuild.gather import Rebuild, part_of
        from meadowcross.rebuild.messages import LEADER_KEY, PicturePart, PictureWanted, Stage
        from meadowcross.relay.pool import RelayPool
        from meadowcross.relay.relay import Relay
        from meadowcross.relay.service import RelayService
        from meadowcross.replica.follower import Follower
        from meadowcross.replica.hints import Hearer, Teller
        from meadowcross.replica.messages import Handed, Hints, HintsWanted
        from meadowcross.replica.picture import Counts
        from meadowcross.store.client import StoreClient
        from meadowcross.store.messages import Condition
        from meadowcross.store.shares import LEADER_SHARE, lent_share
        from meadowcross.workers.api import WorkerApi
        from meadowcross.workers.visitors import Visitors, heard_window

        self._reactor = reactor
        self._settings = settings
        self._operator = operator
        node = NodeName(settings.host_name)
        facts = settings.facts
        http = HttpClient(reactor)
        brief = HttpClient(reactor, keep_open_s=BRIEFLY_OPEN_S)
        nodes = 1 + len(settings.peers)
        # Until a leader has told what it uses: a cluster's first users come all at once.
        share = lent_share(nodes, 0.0)
        self.store = StoreClient(reactor, http, Address(settings.outside.state), facts.state, share)
        cloud = Cloud(reactor, http, Address(settings.outside.cloud), facts.cloud)
        self.catalog = Catalog(reactor, cloud, self.store)
        self.term: Term | None = None
        life = uuid.uuid4().hex
        same = digest(settings, operator)
        self.follower = (
            Follower(reactor, self.store, most_bytes(settings), lambda key, value: api.ended(key, value))
            if operator.warm_standby >= 1
            else None
        )
        follower = self.follower
        self.eras = Eras(
            reactor,
            self.store,
            lambda why: on_loss(why),
            lambda: follower.thaw() if follower is not None else None,
            cloud.oldest,
            self._floor,
        )
        eras = self.eras
        self._teller: Teller | None = None

        def begin_term(token: Token) -> Term:
            from meadowcross.leadership.term import Term

            self.store.set_share(LEADER_SHARE)
            self.relay.token_seen(token)
            pool = (
                RelayPool(
                    reactor,
                    node,
                    token,
                    self.link,
                    http,
                    brief,
                    operator.relays,
                    workers_served(settings, SOCKETS_ALONE),
                    {NodeName(peer.host_name): peer.zone for peer in settings.peers},
                    facts.workers.report_s,
                    operator.silent_s,
                    self.link.fresh_beats,
                )
                if operator.relays is not RelayMode.NEVER
                else None
            )
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
                follower,
                hearer.take(token) if follower is not None else None,
                self.rebuild,
                not (self.election.seasoned or any(one.seasoned for one in self.link.fresh_beats())),
                cancels.is_told,
                pool,
            )
            self.term = term
            if pool is not None:
                pool.grant()
            self._teller = Teller(node, token, same) if follower is not None else None
            term.start()
            return term

        def end_term() -> None:
            self.store.set_share(share)

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
            warm = follower is not None and follower.warm
            era = eras.record.number if eras.record is not None else None
            followed = follower.followed() if follower is not None else Mark(0)
            return Beat(
                node,
                self.store.answering(),
                self.election.token,
                visitors.count(),
                life,
                warm,
                self.link.all_lost(),
                era,
                eras.is_lost(),
                eras.old,
                self.election.seasoned,
                eras.highest,
                followed,
                self.store.used(),
                relay_room,
            )

        def on_beat(beat: Beat) -> None:
            if self.standby is not None:
                self.standby.heard(beat)
            eras.token_seen(max(beat.highest, beat.leads or Token(0)))
            self.relay.token_seen(beat.leads or Token(0))
            if beat.era_lost and beat.era is not None:
                eras.told_lost(beat.era, beat.node, beat.era_lost_before)
            own = self.election.token
            if own is None and beat.leads is not None and beat.life:
                self.store.adjust_share(lent_share(nodes, beat.store_used))
            if own is not None and beat.leads is not None and beat.leads > own:
                self.election.stand_down(f"{beat.node} leads with token {beat.leads}")

        def on_loss(why: str) -> None:
            """Hold still: what was followed is kept, nobody leads until somebody begins a new era."""
            if follower is not None and eras.record is not None:
                follower.lose(eras.record.number, eras.old)
            self.election.stand_down(f"the state service has lost data: {why}")
            self.election.nudge()
            self.link.send_beats()

        async def new_era(mark: Mark) -> Token | None:
            """Elected where no token can be had in the era as it is."""
            await eras.look()
            token = eras.token(mark)
            if token is not None:
                return token
            if not eras.is_lost():
                # Somebody has seen a token from beyond this one. If the key is still ours, it is from before a loss.
                if await self.store.compare([Condition(LEADER_KEY, mark)]):
                    return None
                eras.lost(f"token {eras.highest} was seen, the store is at revision {self.store.highest}", True)
            beats = self.link.fresh_beats()
            return await eras.renew(LEADER_KEY, mark, max((one.era or 0 for one in beats), default=0))

        def picture_part(wanted: PictureWanted) -> PicturePart:
            if eras.record is not None and follower is not None and follower.former is None:
                # Who asks has proof of a loss.
                eras.told_lost(eras.record.number, "a peer", False)
            return part_of(follower, wanted, node) if follower is not None else PicturePart(wanted.number, node)

        def missing(job: JobId) -> None:
            """The store knows nothing of a job that we saw stored."""
            eras.lost(f"job {job} is gone")

        async def elder(job: JobId) -> Answer | None:
            """What a peer says of a job that the store does not know, if it has followed for longer than we have."""
            if self.election.seasoned and follower is not None and follower.long_since(LONG_S):
                return None
            for one in self.link.fresh_beats():
                if one.seasoned and one.warm:
                    return await self.link.forward("query", job, b"", one.node)
            return None

        def our_audit() -> bool:
            names = [one.node for one in self.link.fresh_beats() if one.warm and one.leads is None]
            return current_term() is None and min([node, *names]) == node

        def to_leader() -> Forward | None:
            """While ended jobs come back only the leader knows them all."""
            if eras.phase is not Stage.ENDED or current_term() is not None:
                return None
            leader = known_leader()

            async def ask(operation: str, job: str, body: bytes) -> Answer | None:
                return await self.link.forward(operation, job, body, leader[0]) if leader is not None else None

            return ask

        visitors = Visitors(reactor, heard_window(facts.workers.report_s))
        relay_room = workers_served(settings, SOCKETS_RELAYED) if operator.relays is not RelayMode.NEVER else None

        def turn() -> float:
            return self.standby.turn() if self.standby is not None else 0.0

        async def successor() -> Successor | None:
            """The peer that is placed best, if it is ready to lead."""
            beats = [one for one in self.link.fresh_beats() if one.warm and one.store_ok]
            for one in sorted(beats, key=lambda one: (-one.hears, one.node))[:1]:
                handed = await self.link.ask_to_lead(one.node)
                if handed is not None and handed.hold is not None:
                    return Successor(LeaderRecord(one.node, handed.life), handed.hold)
            return None

        self.election = Election(
            reactor,
            self.store,
            node,
            life,
            operator.hold_s,
            begin_term,
            end_term,
            turn,
            successor,
            eras.token,
            new_era,
            lambda mark: token_of(eras.record.number if eras.record is not None else 0, mark),
            eras.is_lost,
        )

        async def serve(operation: str, job: str, body: bytes) -> Answer:
            return await api.serve(operation, job, body)

        async def be_handed(number: int) -> Handed:
            ready = await self.election.be_handed() if follower is not None and follower.warm else None
            return Handed(number, ready.hold, life) if ready is not None else Handed(number)

        def on_replica(message: Hints | HintsWanted) -> None:
            if isinstance(message, Hints):
                hearer.hear(message)
                counts = message.counts
                if follower is not None and counts and not follower.agrees(counts[0], Counts(*counts[1:])):
                    follower.let_go(f"it differs from the leader's at revision {counts[0]}")
            elif self._teller is not None:
                self._teller.again()

        def on_lost(peer: NodeName) -> None:
            if self.standby is not None:
                self.standby.peer_lost(peer)

        cancels = Cancels(reactor, current_term, known_leader, lambda *told: self.link.ask_cancels(*told))
        hearer = Hearer(reactor, same, lambda leader: self.link.tell(HintsWanted(node), leader))
        self.relay = Relay(reactor, node, lambda: self.link, brief)
        self.link = PeerLink(
            reactor,
            settings.peers,
            beat,
            own_progress,
            on_beat,
            serve,
            on_replica,
            on_lost,
            be_handed,
            picture_part,
            cancels.heard,
            RelayService(self.relay, current_term),
        )
        self.audit = Audit(reactor, self.store, eras, follower, our_audit) if follower is not None else None
        self.rebuild = Rebuild(
            reactor,
            self.store,
            eras,
            follower,
            node,
            lambda: [one.node for one in self.link.fresh_beats()],
            self.link.ask_picture,
            self._snapshots,
            operator.lost_wait_s or None,
            [NodeName(peer.host_name) for peer in settings.peers],
        )
        self.standby = (
            Standby(
                reactor,
                self.store,
                self.election,
                follower,
                self.link.lost,
                self.link.fresh_beats,
                beat,
                visitors.since,
                operator.hold_s,
            )
            if follower is not None and operator.warm_standby >= 2
            else None
        )
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
            follower.get if follower is not None else lambda key: None,
            lambda: follower.state.value if follower is not None else "off",
            Trust(
                lambda: eras.record is not None,
                eras.closed,
                eras.unknown_may_be_somebodys,
                to_leader,
                follower.accepted if follower is not None else lambda key, value, mark: None,
                missing,
                elder,
                lambda: eras.highest > (known[1] if (known := known_leader()) is not None else Token(0)),
                eras.shown_by_machines,
                cancels.tell,
            ),
        )
        api.routes(self.router)
        WorkerApi(take_report, leader_name, visitors, eras.token_seen, self.relay).routes(self.router)

    def _prepare(self) -> None:
        """What only a leader needs, loaded while there is nothing to hurry for: users wait for a start, and it
        took a fifth of one."""
        import meadowcross.leadership.term

        if self._operator.learned_estimates >= 1:
            import meadowcross.estimates.keeper
            import meadowcross.leadership.outlook  # noqa: F401

    def _snapshots(self) -> list[Source]:
        """What the directory of snapshots gives for a rebuild; nothing where none is named."""
        if not self._operator.snapshot_directory:
            return []
        from meadowcross.snapshots import files

        source, refused = files.read(self._operator.snapshot_directory)
        for text in refused:
            logging.getLogger("snapshots").error("not used: %s", text)
        return [source] if source is not None else []

    def _floor(self) -> tuple[int, int]:
        """The state service has been at least so far: era and revision."""
        return max(((source.era, int(source.revision)) for source in self._snapshots()), default=(0, 0))

    def _tell(self) -> None:
        """What only the leader knows, to its peers; behind everything else, and bounded."""
        term, teller = self.term, self._teller
        if term is None or teller is None or term.stopped:
            return
        hints = term.tell()
        if hints is not None:
            self.link.tell(teller.next(hints))

    def _grant(self) -> None:
        """While this node leads: who may answer workers for it."""
        if self.term is not None and not self.term.stopped and self.term.relays is not None:
            self.term.relays.grant()

    def _write_snapshots(self, follower: Follower) -> None:
        from twisted.internet.defer import Deferred

        from meadowcross.common.types import NodeName
        from meadowcross.snapshots.writer import Writer

        operator, eras = self._operator, self.eras
        writer = Writer(
            self._reactor,
            follower,
            NodeName(self._settings.host_name),
            lambda: eras.record.number if eras.record is not None and eras.phase is None else None,
            operator.snapshot_directory,
            operator.snapshot_every_s,
            int(operator.snapshot_keep),
            operator.snapshot_keep_h * 3600.0,
        )
        Deferred.fromCoroutine(writer.run())

    async def leave(self, why: str) -> None:
        """Stop leading before this process ends, handing over where a peer is ready."""
        await self.election.leave(why)

    def start(self) -> None:
        from twisted.internet.defer import Deferred
        from twisted.internet.task import LoopingCall

        from meadowcross.common.http import api_factory
        from meadowcross.leadership.peerlink import BEAT_S
        from meadowcross.replica.hints import TELL_S

        host, _, port = self._settings.api_addr.rpartition(":")
        factory = api_factory(self.router, self._reactor, most=workers_served(self._settings, SOCKETS_SERVED))
        self._reactor.listenTCP(int(port), factory, interface=host, backlog=512)
        self.link.start(self._reactor, self._settings.peer_bind)
        self._reactor.callLater(PREPARE_S, self._prepare)
        Deferred.fromCoroutine(self.catalog.run())
        Deferred.fromCoroutine(self.eras.run())
        if self.follower is not None and self.audit is not None:
            Deferred.fromCoroutine(self.follower.run())
            Deferred.fromCoroutine(self.audit.run())
            if self._operator.snapshot_directory:
                self._write_snapshots(self.follower)
            telling = LoopingCall(self._tell)
            telling.clock = self._reactor
            telling.start(TELL_S, now=False)
        granting = LoopingCall(self._grant)
        granting.clock = self._reactor
        granting.start(BEAT_S, now=False)
        Deferred.fromCoroutine(self.election.run())
