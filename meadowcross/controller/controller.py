"""Wiring and the command line."""

from __future__ import annotations

import argparse
import gc
import logging
import os
import sys
import uuid
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import meadowcross
from meadowcross.common import logging as node_logging
from meadowcross.common.settings import (
    DEFAULT_OPERATOR_SETTINGS_PATH,
    DIRECT_WORKERS_PER_SOCKET,
    INBOUND_SOCKET_SHARE,
    RELAYED_WORKERS_PER_SOCKET,
    OperatorSettings,
    RelayMode,
    Settings,
    SettingsError,
    load_operator_settings,
    load_settings,
    settings_digest,
    socket_allowance,
)

if TYPE_CHECKING:
    from meadowcross.leadership.term import LeaderTerm
    from meadowcross.recovery.merge import RecoverySource
    from meadowcross.replication.follower import ReplicaFollower

GC_THRESHOLD_OBJECTS, GC_GENERATION_RATIO = 100_000, 50
PRELOAD_DELAY_S = 4.0
LONG_HISTORY_S = 300.0
"""Who has followed for so long has seen ended what users still ask about, or has had it compared."""


def build_parser(program: str) -> argparse.ArgumentParser:
    options = argparse.ArgumentParser(prog=program, description="A controller node of meadowcross.")
    options.add_argument("--config", metavar="FILE", required=True, help="the platform's settings file (TOML)")
    options.add_argument(
        "--operator-settings",
        metavar="FILE",
        help=f"the operators' own settings (XML); default {DEFAULT_OPERATOR_SETTINGS_PATH}, if it exists",
    )
    options.add_argument("--check", action="store_true", help="read both settings files, report, and exit")
    options.add_argument("--version", action="version", version=f"meadowcross {meadowcross.__version__}")
    return options


def main(arguments: list[str], program: str = "run.py") -> int:
    options = build_parser(program).parse_args(arguments)
    try:
        settings = load_settings(options.config)
        path = options.operator_settings
        if path is None and os.path.exists(DEFAULT_OPERATOR_SETTINGS_PATH):
            path = DEFAULT_OPERATOR_SETTINGS_PATH
        operator = load_operator_settings(path) if path is not None else OperatorSettings()
    except SettingsError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return 2
    if options.check:
        print(f"{options.config}: good, node {settings.host_name}")
        print(f"{path}: good" if path else "no operators' settings: defaults apply")
        return 0
    node_logging.configure_logging(settings.host_name)
    # What a leader allocates lives long or is freed by its count; looking through it all for cycles
    # every few hundred objects took a tenth of its time.
    gc.set_threshold(GC_THRESHOLD_OBJECTS, GC_GENERATION_RATIO, GC_GENERATION_RATIO)
    # Only now: --help and --check need no reactor, and a start's cost is counted.
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred

    node = Controller(reactor, settings, operator)
    node.start()
    loop: Any = reactor
    loop.addSystemEventTrigger(
        "before", "shutdown", lambda: Deferred.fromCoroutine(node.transfer_leadership("told to stop"))
    )
    gc.freeze()
    loop.run()
    return 0


def replica_size_limit(settings: Settings) -> int:
    """For the picture of the store: a quarter of what the process may hold, or as much as seems small anywhere."""
    limits = settings.facts.machine_limits
    return int((limits.mem_mb if limits is not None else 256.0) / 4 * 2**20)


class Controller:
    """One controller: all slices, wired together."""

    def __init__(self, reactor: Any, settings: Settings, operator: OperatorSettings) -> None:
        from meadowcross.autoscaling.catalog import MachineTypeCatalog
        from meadowcross.autoscaling.cloud import CloudClient
        from meadowcross.common.http import SHORT_IDLE_TIMEOUT_S, HttpClient, Router, ServerResponse
        from meadowcross.common.types import Address, FencingToken, JobId, NodeName, Revision, compose_token
        from meadowcross.jobs.admission import JobAdmission
        from meadowcross.jobs.api import JobApi
        from meadowcross.jobs.collaborators import JobEvents, LocalReplica, PeerQueries, RequestForwarder
        from meadowcross.jobs.messages import JobProgress
        from meadowcross.leadership.cancellation_broadcast import CancellationBroadcast
        from meadowcross.leadership.election import Election, Successor
        from meadowcross.leadership.failure_detector import LeaderFailureDetector
        from meadowcross.leadership.messages import LeaderRecord, PeerHeartbeat
        from meadowcross.leadership.peer_link import PeerLink
        from meadowcross.recovery.audit import StoreAuditor
        from meadowcross.recovery.collect import StateRecovery, build_replica_part
        from meadowcross.recovery.messages import LEADER_KEY, RecoveryStage, ReplicaPart, ReplicaPartRequest
        from meadowcross.recovery.store_epochs import StoreEpochs
        from meadowcross.relay.pool import RelayPool, RelayPoolSettings, WorkerClients
        from meadowcross.relay.relay import Relay
        from meadowcross.relay.service import RelayService
        from meadowcross.replication.follower import ReplicaFollower
        from meadowcross.replication.hints import HintPublisher, HintSubscriber
        from meadowcross.replication.messages import FullHintsRequest, Hints, LeadershipOfferResponse
        from meadowcross.replication.store_replica import KeyCounts
        from meadowcross.store.client import StoreClient
        from meadowcross.store.messages import Condition
        from meadowcross.store.rate_shares import LEADER_SHARE, follower_share_with_borrowed
        from meadowcross.workers.api import WorkerApi
        from meadowcross.workers.heartbeat_tracker import HeartbeatTracker, silence_window

        self._reactor = reactor
        self._settings = settings
        self._operator = operator
        node = NodeName(settings.host_name)
        facts = settings.facts
        http = HttpClient(reactor)
        short_lived_http = HttpClient(reactor, idle_timeout_s=SHORT_IDLE_TIMEOUT_S)
        node_count = 1 + len(settings.peers)
        # Until a leader has told what it uses: a cluster's first users come all at once.
        follower_share = follower_share_with_borrowed(node_count, 0.0)
        self.store = StoreClient(reactor, http, Address(settings.outside.state), facts.state, follower_share)
        cloud = CloudClient(reactor, http, Address(settings.outside.cloud), facts.cloud)
        self.machine_types = MachineTypeCatalog(reactor, cloud, self.store)
        self.term: LeaderTerm | None = None
        incarnation = uuid.uuid4().hex
        own_digest = settings_digest(settings, operator)
        self.follower = (
            ReplicaFollower(
                reactor, self.store, replica_size_limit(settings), lambda key, value: api.on_ended_stored(key, value)
            )
            if operator.warm_standby >= 1
            else None
        )
        follower = self.follower
        self.store_epochs = StoreEpochs(
            reactor,
            self.store,
            lambda why: on_loss(why),
            lambda: follower.unfreeze() if follower is not None else None,
            cloud.oldest_machine_age_s,
            self._snapshot_floor,
        )
        store_epochs = self.store_epochs
        self._hint_publisher: HintPublisher | None = None

        def begin_term(token: FencingToken) -> LeaderTerm:
            from meadowcross.leadership.term import LeaderTerm

            self.store.reset_share(LEADER_SHARE)
            self.relay.on_token_seen(token)
            pool = (
                RelayPool(
                    reactor,
                    node,
                    token,
                    self.peer_link,
                    WorkerClients(http, short_lived_http),
                    RelayPoolSettings(
                        operator.relays,
                        socket_allowance(settings, DIRECT_WORKERS_PER_SOCKET),
                        {NodeName(peer.host_name): peer.zone for peer in settings.peers},
                        facts.workers.report_s,
                        operator.silent_s,
                    ),
                    self.peer_link.fresh_heartbeats,
                )
                if operator.relays is not RelayMode.NEVER
                else None
            )
            term = LeaderTerm(
                reactor,
                settings,
                operator,
                self.store,
                http,
                cloud,
                self.machine_types.machine_types,
                token,
                self.election,
                self.peer_link.most_workers_heard,
                follower,
                hint_subscriber.hints_before(token) if follower is not None else None,
                self.recovery,
                not (self.election.has_history or any(one.has_history for one in self.peer_link.fresh_heartbeats())),
                cancellations.is_announced,
                pool,
            )
            self.term = term
            if pool is not None:
                pool.renew_grants()
            self._hint_publisher = HintPublisher(node, token, own_digest) if follower is not None else None
            term.start()
            return term

        def end_term() -> None:
            self.store.reset_share(follower_share)

        def current_term() -> LeaderTerm | None:
            return self.term if self.term is not None and not self.term.stopped else None

        def own_progress(job: JobId) -> JobProgress | None:
            term = current_term()
            known = term.job_table.jobs.get(job) if term is not None else None
            if term is None or known is None:
                return None
            return JobProgress(known.done_count, known.running_count(), term.forecast(job))

        async def progress(job: JobId) -> JobProgress | None:
            if current_term() is not None:
                return own_progress(job)
            leader = known_leader()
            return await self.peer_link.request_progress(leader[0], job) if leader is not None else None

        def known_leader() -> tuple[NodeName, FencingToken] | None:
            """By the key as last read or by the peers' beats, whichever is newer: a node that
            the store refuses still learns of a new leader."""
            seen = [one for one in (self.election.leader, self.peer_link.reported_leader()) if one is not None]
            return max(seen, key=lambda one: one[1], default=None)

        def leader_name() -> NodeName | None:
            leader = known_leader()
            # Naming ourselves, or nobody, sends the worker on to the next node.
            return leader[0] if leader is not None and leader[0] != node else None

        def heartbeat_handler() -> Any:
            term = current_term()
            return term.handle_heartbeat if term is not None else None

        def own_heartbeat() -> PeerHeartbeat:
            warm = follower is not None and follower.is_in_sync
            era = store_epochs.record.number if store_epochs.record is not None else None
            followed = follower.followed_revision() if follower is not None else Revision(0)
            return PeerHeartbeat(
                node,
                self.store.is_answering(),
                self.election.token,
                heartbeat_tracker.count(),
                incarnation,
                warm,
                self.peer_link.lost_peers(),
                era,
                store_epochs.is_lost(),
                store_epochs.is_loss_older,
                self.election.has_history,
                store_epochs.highest_token,
                followed,
                self.store.used_share(),
                relay_capacity,
            )

        def on_heartbeat(beat: PeerHeartbeat) -> None:
            if self.failure_detector is not None:
                self.failure_detector.on_heartbeat(beat)
            store_epochs.observe_token(max(beat.highest_token, beat.leading_token or FencingToken(0)))
            self.relay.on_token_seen(beat.leading_token or FencingToken(0))
            if beat.is_epoch_lost and beat.store_epoch is not None:
                store_epochs.on_loss_reported(beat.store_epoch, beat.node, beat.is_loss_older)
            own = self.election.token
            if own is None and beat.leading_token is not None and beat.incarnation:
                self.store.adjust_share(follower_share_with_borrowed(node_count, beat.store_utilization))
            if own is not None and beat.leading_token is not None and beat.leading_token > own:
                self.election.step_down(f"{beat.node} leads with token {beat.leading_token}")

        def on_loss(why: str) -> None:
            """Hold still: what was followed is kept, nobody leads until somebody begins a new era."""
            if follower is not None and store_epochs.record is not None:
                follower.freeze(store_epochs.record.number, store_epochs.is_loss_older)
            self.election.step_down(f"the state service has lost data: {why}")
            self.election.wake()
            self.peer_link.send_heartbeats()

        async def begin_store_epoch(mark: Revision) -> FencingToken | None:
            """Elected where no token can be had in the era as it is."""
            await store_epochs.refresh()
            token = store_epochs.token_for_key(mark)
            if token is not None:
                return token
            if not store_epochs.is_lost():
                # Somebody has seen a token from beyond this one. If the key is still ours, it is from before a loss.
                if await self.store.find_changed_keys([Condition(LEADER_KEY, mark)]):
                    return None
                store_epochs.report_loss(
                    f"token {store_epochs.highest_token} was seen, "
                    f"the store is at revision {self.store.highest_revision}",
                    True,
                )
            beats = self.peer_link.fresh_heartbeats()
            return await store_epochs.begin_epoch(
                LEADER_KEY, mark, max((one.store_epoch or 0 for one in beats), default=0)
            )

        def replica_part(wanted: ReplicaPartRequest) -> ReplicaPart:
            if store_epochs.record is not None and follower is not None and follower.pre_loss_replica is None:
                # Who asks has proof of a loss.
                store_epochs.on_loss_reported(store_epochs.record.number, "a peer", False)
            return (
                build_replica_part(follower, wanted, node) if follower is not None else ReplicaPart(wanted.number, node)
            )

        def on_job_missing(job: JobId) -> None:
            """The store knows nothing of a job that we saw stored."""
            store_epochs.report_loss(f"job {job} is gone")

        async def ask_peer_with_history(job: JobId) -> ServerResponse | None:
            """What a peer says of a job that the store does not know, if it has followed for longer than we have."""
            if self.election.has_history and follower is not None and follower.has_followed_for(LONG_HISTORY_S):
                return None
            for one in self.peer_link.fresh_heartbeats():
                if one.has_history and one.is_in_sync:
                    return await self.peer_link.forward("query", job, b"", one.node)
            return None

        def is_audit_turn() -> bool:
            names = [
                one.node for one in self.peer_link.fresh_heartbeats() if one.is_in_sync and one.leading_token is None
            ]
            return current_term() is None and min([node, *names]) == node

        def leader_forwarder() -> RequestForwarder | None:
            """While ended jobs come back only the leader knows them all."""
            if store_epochs.stage is not RecoveryStage.ENDED_JOBS or current_term() is not None:
                return None
            leader = known_leader()

            async def ask(operation: str, job: str, body: bytes) -> ServerResponse | None:
                return await self.peer_link.forward(operation, job, body, leader[0]) if leader is not None else None

            return ask

        heartbeat_tracker = HeartbeatTracker(reactor, silence_window(facts.workers.report_s))
        relay_capacity = (
            socket_allowance(settings, RELAYED_WORKERS_PER_SOCKET) if operator.relays is not RelayMode.NEVER else None
        )

        def election_delay() -> float:
            return self.failure_detector.election_delay() if self.failure_detector is not None else 0.0

        async def find_successor() -> Successor | None:
            """The peer that is placed best, if it is ready to lead."""
            beats = [one for one in self.peer_link.fresh_heartbeats() if one.is_in_sync and one.is_store_answering]
            for one in sorted(beats, key=lambda one: (-one.workers_heard, one.node))[:1]:
                handed = await self.peer_link.offer_leadership(one.node)
                if handed is not None and handed.lease is not None:
                    return Successor(LeaderRecord(one.node, handed.incarnation), handed.lease)
            return None

        self.election = Election(
            reactor,
            self.store,
            node,
            incarnation,
            operator.hold_s,
            begin_term,
            end_term,
            election_delay,
            find_successor,
            store_epochs.token_for_key,
            begin_store_epoch,
            lambda mark: compose_token(store_epochs.record.number if store_epochs.record is not None else 0, mark),
            store_epochs.is_lost,
        )

        async def serve(operation: str, job: str, body: bytes) -> ServerResponse:
            return await api.serve(operation, job, body)

        async def accept_leadership(number: int) -> LeadershipOfferResponse:
            ready = await self.election.accept_leadership() if follower is not None and follower.is_in_sync else None
            return (
                LeadershipOfferResponse(number, ready.lease, incarnation)
                if ready is not None
                else LeadershipOfferResponse(number)
            )

        def on_replica_message(message: Hints | FullHintsRequest) -> None:
            if isinstance(message, Hints):
                hint_subscriber.apply(message)
                counts = message.key_counts
                if follower is not None and counts and not follower.matches_counts(counts[0], KeyCounts(*counts[1:])):
                    follower.resync(f"it differs from the leader's at revision {counts[0]}")
            elif self._hint_publisher is not None:
                self._hint_publisher.request_full()

        def on_peer_lost(peer: NodeName) -> None:
            if self.failure_detector is not None:
                self.failure_detector.on_peer_lost(peer)

        cancellations = CancellationBroadcast(
            reactor, current_term, known_leader, lambda *told: self.peer_link.announce_cancellations(*told)
        )
        hint_subscriber = HintSubscriber(
            reactor, own_digest, lambda leader: self.peer_link.send_replica_message(FullHintsRequest(node), leader)
        )
        self.relay = Relay(reactor, node, lambda: self.peer_link, short_lived_http)
        self.peer_link = PeerLink(
            reactor,
            settings.peers,
            own_heartbeat,
            own_progress,
            on_heartbeat,
            serve,
            on_replica_message,
            on_peer_lost,
            accept_leadership,
            replica_part,
            cancellations.on_notice,
            RelayService(self.relay, current_term),
        )
        self.audit = (
            StoreAuditor(reactor, self.store, store_epochs, follower, is_audit_turn) if follower is not None else None
        )
        self.recovery = StateRecovery(
            reactor,
            self.store,
            store_epochs,
            follower,
            node,
            lambda: [one.node for one in self.peer_link.fresh_heartbeats()],
            self.peer_link.request_replica_part,
            self._read_snapshots,
            operator.lost_wait_s or None,
            [NodeName(peer.host_name) for peer in settings.peers],
        )
        self.failure_detector = (
            LeaderFailureDetector(
                reactor,
                self.store,
                self.election,
                follower,
                self.peer_link.is_lost,
                self.peer_link.fresh_heartbeats,
                own_heartbeat,
                heartbeat_tracker.count_since,
                operator.hold_s,
            )
            if follower is not None and operator.warm_standby >= 2
            else None
        )

        def has_unknown_leader() -> bool:
            """Whether somebody has shown the token of a leader that this node does not know."""
            known = known_leader()
            return store_epochs.highest_token > (known[1] if known is not None else FencingToken(0))

        events = JobEvents(on_missing=on_job_missing, on_cancelled=cancellations.announce)
        if follower is not None:
            events = replace(events, on_accepted=follower.apply_submission)
        self.router = Router()
        api = JobApi(
            reactor,
            self.store,
            JobAdmission(facts.teams, facts.zones, self.machine_types.machine_types),
            PeerQueries(
                progress=progress,
                has_store=self.peer_link.peer_has_store,
                forward=self.peer_link.forward,
                leader_forwarder=leader_forwarder,
                ask_peer_with_history=ask_peer_with_history,
                has_unknown_leader=has_unknown_leader,
            ),
            store_epochs,
            LocalReplica(follower.get, lambda: follower.state.value) if follower is not None else LocalReplica(),
            events,
        )
        api.add_routes(self.router)
        WorkerApi(heartbeat_handler, leader_name, heartbeat_tracker, store_epochs.observe_token, self.relay).add_routes(
            self.router
        )

    def _preload_leader_modules(self) -> None:
        """What only a leader needs, loaded while there is nothing to hurry for: users wait for a start, and it
        took a fifth of one."""
        import meadowcross.leadership.term

        if self._operator.learned_estimates >= 1:
            import meadowcross.estimates.keeper
            import meadowcross.leadership.completion_forecaster  # noqa: F401

    def _read_snapshots(self) -> list[RecoverySource]:
        """What the directory of snapshots gives for a rebuild; nothing where none is named."""
        if not self._operator.snapshot_directory:
            return []
        from meadowcross.snapshots import files

        source, rejections = files.read_newest(self._operator.snapshot_directory)
        for text in rejections:
            logging.getLogger("snapshots").error("not used: %s", text)
        return [source] if source is not None else []

    def _snapshot_floor(self) -> tuple[int, int]:
        """The state service has been at least so far: era and revision."""
        return max(((source.epoch, int(source.revision)) for source in self._read_snapshots()), default=(0, 0))

    def _publish_hints(self) -> None:
        """What only the leader knows, to its peers; behind everything else, and bounded."""
        term, publisher = self.term, self._hint_publisher
        if term is None or publisher is None or term.stopped:
            return
        hints = term.export_hints()
        if hints is not None:
            self.peer_link.send_replica_message(publisher.next_message(hints))

    def _renew_relay_grants(self) -> None:
        """While this node leads: who may answer workers for it."""
        if self.term is not None and not self.term.stopped and self.term.relay_pool is not None:
            self.term.relay_pool.renew_grants()

    def _start_snapshot_writer(self, follower: ReplicaFollower) -> None:
        from twisted.internet.defer import Deferred

        from meadowcross.common.types import NodeName
        from meadowcross.snapshots.writer import SnapshotSettings, SnapshotWriter

        operator, store_epochs = self._operator, self.store_epochs
        writer = SnapshotWriter(
            self._reactor,
            follower,
            NodeName(self._settings.host_name),
            lambda: (
                store_epochs.record.number if store_epochs.record is not None and store_epochs.stage is None else None
            ),
            SnapshotSettings(
                operator.snapshot_directory,
                operator.snapshot_every_s,
                int(operator.snapshot_keep),
                operator.snapshot_keep_h * 3600.0,
            ),
        )
        Deferred.fromCoroutine(writer.run())

    async def transfer_leadership(self, reason: str) -> None:
        """Stop leading before this process ends, handing over where a peer is ready."""
        await self.election.transfer_leadership(reason)

    def start(self) -> None:
        from twisted.internet.defer import Deferred
        from twisted.internet.task import LoopingCall

        from meadowcross.common.http import build_api_factory
        from meadowcross.leadership.peer_link import HEARTBEAT_INTERVAL_S
        from meadowcross.replication.hints import PUBLISH_INTERVAL_S

        host, _, port = self._settings.api_addr.rpartition(":")
        factory = build_api_factory(
            self.router, self._reactor, max_connections=socket_allowance(self._settings, INBOUND_SOCKET_SHARE)
        )
        self._reactor.listenTCP(int(port), factory, interface=host, backlog=512)
        self.peer_link.start(self._reactor, self._settings.peer_bind)
        self._reactor.callLater(PRELOAD_DELAY_S, self._preload_leader_modules)
        Deferred.fromCoroutine(self.machine_types.run())
        Deferred.fromCoroutine(self.store_epochs.run())
        if self.follower is not None and self.audit is not None:
            Deferred.fromCoroutine(self.follower.run())
            Deferred.fromCoroutine(self.audit.run())
            if self._operator.snapshot_directory:
                self._start_snapshot_writer(self.follower)
            hint_loop = LoopingCall(self._publish_hints)
            hint_loop.clock = self._reactor
            hint_loop.start(PUBLISH_INTERVAL_S, now=False)
        grant_loop = LoopingCall(self._renew_relay_grants)
        grant_loop.clock = self._reactor
        grant_loop.start(HEARTBEAT_INTERVAL_S, now=False)
        Deferred.fromCoroutine(self.election.run())
