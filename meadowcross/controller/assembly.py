"""Builds the parts of a controller and connects them.

Two parts that need each other are built first and then connected by a listener. No part sends a request before the
controller starts it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from msgspec import Raw

from meadowcross.common.http import Router
from meadowcross.common.settings import RELAYED_WORKERS_PER_SOCKET, Settings, socket_allowance
from meadowcross.controller.leadership import CurrentTerm, LeaderDirectory, ProgressQuery, TermBuilder, TermManager
from meadowcross.controller.peers import ClusterView, HeartbeatReactions, HintExchange, PeerRequests
from meadowcross.controller.recovery import (
    AuditTurn,
    DataLossHandler,
    EpochTokens,
    ReplicaParts,
    RequestPeers,
    SnapshotReader,
)
from meadowcross.controller.services import Services
from meadowcross.jobs.admission import JobAdmission
from meadowcross.jobs.api import JobApi
from meadowcross.jobs.collaborators import JobEvents, LocalReplica
from meadowcross.leadership.cancellation_broadcast import CancellationBroadcast
from meadowcross.leadership.election import Election
from meadowcross.leadership.failure_detector import LeaderFailureDetector
from meadowcross.leadership.messages import LeaderRecord
from meadowcross.leadership.peer_link import PeerLink
from meadowcross.leadership.peer_listeners import PeerListeners
from meadowcross.recovery.audit import StoreAuditor
from meadowcross.recovery.collect import LocalSources, StateRecovery
from meadowcross.recovery.peer_replicas import PeerReplicas
from meadowcross.recovery.store_epochs import StoreEpochs
from meadowcross.relay.relay import Relay
from meadowcross.relay.service import RelayService
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.replication.hints import HintSubscriber
from meadowcross.replication.messages import FullHintsRequest
from meadowcross.workers.api import WorkerApi
from meadowcross.workers.heartbeat_tracker import HeartbeatTracker, silence_window_s

DEFAULT_MEMORY_MB = 256.0
"""Memory limit of the process that is assumed if the platform's settings have none."""
REPLICA_MEMORY_SHARE = 1 / 4
"""Share of the process's memory that the replica of the store may use."""
STANDBY_FOLLOWS, STANDBY_DETECTS_FAILURES = 1, 2
"""Values of the setting `warm_standby`."""


class EndedJobFeed:
    """Passes ended jobs in the replica to a listener that is built after the follower."""

    def __init__(self) -> None:
        self._listener: Callable[[str, Raw], None]

    def subscribe(self, listener: Callable[[str, Raw], None]) -> None:
        """Set the listener, which takes the stored key and its value. Called once, before the follower runs."""
        self._listener = listener

    def publish(self, key: str, value: Raw) -> None:
        """Pass on the end record of a job that the follower received or wrote."""
        self._listener(key, value)


@dataclass(frozen=True)
class StoreView:
    """This node's view of the store: its replica, the store's epoch, and the snapshots."""

    follower: ReplicaFollower | None
    """None if the setting `warm_standby` turns the replica off."""
    store_epochs: StoreEpochs
    loss_handler: DataLossHandler
    snapshots: SnapshotReader
    ended_jobs: EndedJobFeed


@dataclass(frozen=True)
class Cluster:
    """The parts that deal with peers and with the election."""

    link: PeerLink
    election: Election
    leaders: LeaderDirectory
    workers: HeartbeatTracker
    view: ClusterView
    terms: CurrentTerm
    failure_detector: LeaderFailureDetector | None
    """None if the setting `warm_standby` leaves a failed leader's lease to expire."""


@dataclass(frozen=True)
class Leadership:
    """The parts for this node's own terms, and for its role as a follower of another leader."""

    terms: CurrentTerm
    term_manager: TermManager
    cancellations: CancellationBroadcast
    hints: HintSubscriber
    relay: Relay


@dataclass(frozen=True)
class Parts:
    """All connected parts of a controller."""

    store_view: StoreView
    cluster: Cluster
    leadership: Leadership
    auditor: StoreAuditor | None
    router: Router


def assemble(services: Services) -> Parts:
    """Build and connect all parts."""
    store_view = build_store_view(services)
    cluster = build_cluster(services, store_view)
    store_view.loss_handler.connect(store_view.store_epochs, cluster.election, cluster.link)
    leadership = build_leadership(services, store_view, cluster)
    cluster.election.set_listener(leadership.term_manager)
    job_api = build_job_api(services, store_view, cluster, leadership)
    store_view.ended_jobs.subscribe(job_api.on_ended_stored)
    cluster.link.set_listeners(build_peer_listeners(services, store_view, cluster, leadership, job_api))
    router = Router()
    job_api.add_routes(router)
    build_worker_api(store_view, cluster, leadership).add_routes(router)
    return Parts(
        store_view, cluster, leadership, build_auditor(services, store_view, cluster, leadership.terms), router
    )


def build_store_view(services: Services) -> StoreView:
    """Build the view of the store. Its loss handler is not connected yet, and its ended jobs have no listener yet."""
    ended_jobs = EndedJobFeed()
    follower = None
    if services.operator.warm_standby >= STANDBY_FOLLOWS:
        follower = ReplicaFollower(
            services.reactor, services.store, replica_size_limit(services.settings), ended_jobs.publish
        )
    loss_handler = DataLossHandler(follower)
    snapshots = SnapshotReader(services.operator)
    store_epochs = StoreEpochs(
        services.reactor,
        services.store,
        loss_handler.on_data_loss,
        loss_handler.on_recovered,
        services.cloud.oldest_machine_age_s,
        snapshots.minimum_position,
    )
    return StoreView(follower, store_epochs, loss_handler, snapshots, ended_jobs)


def replica_size_limit(settings: Settings) -> int:
    """Return the replica's limit in bytes: a quarter of the process's memory limit, or of DEFAULT_MEMORY_MB."""
    limits = settings.facts.machine_limits
    memory_mb = limits.mem_mb if limits is not None else DEFAULT_MEMORY_MB
    return int(memory_mb * REPLICA_MEMORY_SHARE * 2**20)


def build_cluster(services: Services, store_view: StoreView) -> Cluster:
    """Build the parts for peers and the election. The election and the peer link have no listeners yet."""
    reactor, settings = services.reactor, services.settings
    link = PeerLink(reactor, settings.peers)
    election = Election(
        reactor,
        services.store,
        LeaderRecord(services.node, services.incarnation),
        services.operator.hold_s,
        EpochTokens(services.store, store_view.store_epochs, link.status),
    )
    workers = HeartbeatTracker(reactor, silence_window_s(settings.facts.workers.report_s))
    terms = CurrentTerm()
    view = ClusterView(
        services=services,
        election=election,
        peers=link.status,
        workers=workers,
        store_epochs=store_view.store_epochs,
        follower=store_view.follower,
        terms=terms,
        relay_capacity=socket_allowance(settings, RELAYED_WORKERS_PER_SOCKET) if services.may_relay else None,
    )
    failure_detector = None
    if store_view.follower is not None and services.operator.warm_standby >= STANDBY_DETECTS_FAILURES:
        failure_detector = LeaderFailureDetector(
            reactor, services.store, election, store_view.follower, view, services.operator.hold_s
        )
    leaders = LeaderDirectory(services.node, election, link.status)
    return Cluster(link, election, leaders, workers, view, terms, failure_detector)


def build_leadership(services: Services, store_view: StoreView, cluster: Cluster) -> Leadership:
    """Build the parts that run this node's terms. A term uses nearly all other parts."""
    reactor, link, follower, terms = services.reactor, cluster.link, store_view.follower, cluster.terms
    cancellations = CancellationBroadcast(
        reactor, terms.active, cluster.leaders.known_leader, link.announce_cancellations
    )
    hints = HintSubscriber(
        reactor, services.digest, lambda leader: link.request_full_hints(FullHintsRequest(services.node), leader)
    )
    relay = Relay(reactor, services.node, lambda: link, services.short_lived_http)
    peer_replicas = PeerReplicas(
        reactor,
        services.peer_names,
        lambda: [heartbeat.node for heartbeat in link.status.live_peer_heartbeats()],
        link.request_replica_part,
    )
    recovery = StateRecovery(
        services.store,
        store_view.store_epochs,
        LocalSources(services.node, follower, store_view.snapshots.read),
        peer_replicas,
        services.operator.lost_wait_s or None,
    )
    builder = TermBuilder(services, cluster.election, link, follower, hints, recovery, cancellations)
    term_manager = TermManager(services, terms, builder, link, relay, cluster.failure_detector)
    return Leadership(terms, term_manager, cancellations, hints, relay)


def build_job_api(services: Services, store_view: StoreView, cluster: Cluster, leadership: Leadership) -> JobApi:
    """Build the API for users."""
    facts, link, follower, terms = services.settings.facts, cluster.link, store_view.follower, leadership.terms
    peers = RequestPeers(store_view.store_epochs, follower, cluster.election, link, terms, cluster.leaders)
    events = JobEvents(
        on_missing=store_view.loss_handler.on_job_missing, on_cancelled=leadership.cancellations.announce
    )
    if follower is not None:
        events = replace(events, on_accepted=follower.apply_submission)
    return JobApi(
        services.reactor,
        services.store,
        JobAdmission(facts.teams, facts.zones, services.machine_types.machine_types),
        peers.as_peer_queries(ProgressQuery(terms, cluster.leaders, link)),
        store_view.store_epochs,
        LocalReplica(follower.get, lambda: follower.state.value) if follower is not None else LocalReplica(),
        events,
    )


def build_worker_api(store_view: StoreView, cluster: Cluster, leadership: Leadership) -> WorkerApi:
    """Build the API for workers."""
    return WorkerApi(
        leadership.terms.heartbeat_handler,
        cluster.leaders.redirect_target,
        cluster.workers,
        store_view.store_epochs.observe_token,
        leadership.relay,
    )


def build_peer_listeners(
    services: Services, store_view: StoreView, cluster: Cluster, leadership: Leadership, job_api: JobApi
) -> PeerListeners:
    """Build the handlers of peers' messages and requests."""
    election, epochs, follower, relay = (
        cluster.election,
        store_view.store_epochs,
        store_view.follower,
        leadership.relay,
    )
    replica_parts = ReplicaParts(services.node, epochs, follower)
    return PeerListeners(
        heartbeats=HeartbeatReactions(services, cluster.view, election, epochs, relay, cluster.failure_detector),
        requests=PeerRequests(services, election, follower, leadership.terms, replica_parts, job_api),
        hints=HintExchange(leadership.hints, follower, leadership.term_manager),
        cancellations=leadership.cancellations,
        relays=RelayService(relay, leadership.terms.active),
    )


def build_auditor(
    services: Services, store_view: StoreView, cluster: Cluster, terms: CurrentTerm
) -> StoreAuditor | None:
    """Build the store auditor; None if there is no replica to compare the store with."""
    if store_view.follower is None:
        return None
    turn = AuditTurn(services.node, cluster.link.status, terms)
    return StoreAuditor(
        services.reactor, services.store, store_view.store_epochs, store_view.follower, turn.is_own_turn
    )
