"""The known leader, and this node's own terms: their begin, their end and the leadership transfer to a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from meadowcross.common.settings import DIRECT_WORKERS_PER_SOCKET, socket_allowance
from meadowcross.common.types import FencingToken, JobId, NodeName, Seconds
from meadowcross.controller.services import Services
from meadowcross.jobs.messages import JobProgress
from meadowcross.leadership.cancellation_broadcast import CancellationBroadcast
from meadowcross.leadership.election import Election, Successor
from meadowcross.leadership.failure_detector import LeaderFailureDetector
from meadowcross.leadership.messages import LeaderRecord
from meadowcross.leadership.peer_link import PeerLink
from meadowcross.leadership.peer_status import PeerStatus
from meadowcross.recovery.collect import StateRecovery
from meadowcross.relay.pool import RelayPool, RelayPoolSettings, WorkerClients
from meadowcross.relay.relay import Relay
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.replication.hints import HintPublisher, HintSubscriber
from meadowcross.store.rate_shares import LEADER_SHARE
from meadowcross.workers.api import HandleHeartbeat

if TYPE_CHECKING:
    from meadowcross.leadership.term import LeaderTerm


class LeaderDirectory:
    """Finds out which node leads."""

    def __init__(self, node: NodeName, election: Election, peers: PeerStatus) -> None:
        self._node = node
        self._election = election
        self._peers = peers

    def known_leader(self) -> tuple[NodeName, FencingToken] | None:
        """Return the leader's name and token, or None if no leader is known.

        The newer one of the leader key as last read and of the peers' heartbeats counts, so that a node without access
        to the store still learns of a new leader.
        """
        leaders = [leader for leader in (self._election.leader, self._peers.reported_leader()) if leader is not None]
        return max(leaders, key=lambda leader: leader[1], default=None)

    def redirect_target(self) -> NodeName | None:
        """Return the node to which a worker is redirected; None if the leader is unknown or is this node.

        Without a target the worker tries the next node.
        """
        leader = self.known_leader()
        return leader[0] if leader is not None and leader[0] != self._node else None


class CurrentTerm:
    """Gives access to this node's own term."""

    def __init__(self) -> None:
        self.latest: LeaderTerm | None = None
        """The latest term, which may be over; None before the first one."""

    def active(self) -> LeaderTerm | None:
        """Return the term while this node leads, otherwise None."""
        return self.latest if self.latest is not None and not self.latest.is_stopped else None

    def heartbeat_handler(self) -> HandleHeartbeat | None:
        """Return the handler of workers' heartbeats while this node leads, otherwise None."""
        term = self.active()
        return term.handle_heartbeat if term is not None else None

    def progress_of(self, job: JobId) -> JobProgress | None:
        """Return a job's progress; None if this node does not lead or has no such open job."""
        term = self.active()
        known_job = term.job_table.jobs.get(job) if term is not None else None
        if term is None or known_job is None:
            return None
        return JobProgress(known_job.done_count, known_job.running_count(), term.forecast(job))


class ProgressQuery:
    """Reads a job's progress from this node's own term or requests it from the leader."""

    def __init__(self, terms: CurrentTerm, leaders: LeaderDirectory, link: PeerLink) -> None:
        self._terms = terms
        self._leaders = leaders
        self._link = link

    async def progress_of(self, job: JobId) -> JobProgress | None:
        """Return the job's progress; None if no leader is known or the leader does not respond in time."""
        if self._terms.active() is not None:
            return self._terms.progress_of(job)
        leader = self._leaders.known_leader()
        return await self._link.request_progress(leader[0], job) if leader is not None else None


class TermBuilder:
    """Builds a leader's term from the controller's parts."""

    def __init__(
        self,
        services: Services,
        election: Election,
        link: PeerLink,
        follower: ReplicaFollower | None,
        hints: HintSubscriber,
        recovery: StateRecovery,
        cancellations: CancellationBroadcast,
    ) -> None:
        self._services = services
        self._election = election
        self._link = link
        self._follower = follower
        self._hints = hints
        self._recovery = recovery
        self._cancellations = cancellations

    def build(self, token: FencingToken) -> LeaderTerm:
        """Return a new term, which has not started yet."""
        # Only a leader needs this module; the import is left out of the start-up. See `Controller.start`.
        from meadowcross.leadership.term import LeaderTerm  # noqa: PLC0415

        services = self._services
        return LeaderTerm(
            services.reactor,
            services.settings,
            services.operator,
            services.store,
            services.http,
            services.cloud,
            services.machine_types.machine_types,
            token,
            self._election,
            self._link.status.max_reporting_workers,
            self._follower,
            self._hints.hints_before(token) if self._follower is not None else None,
            self._recovery,
            self._is_cold_start(),
            self._cancellations.is_announced,
            self._build_relay_pool(token),
        )

    def _is_cold_start(self) -> bool:
        """Return whether neither this node nor any peer has seen an earlier leader since its process began."""
        peers = self._link.status.live_peer_heartbeats()
        return not (self._election.has_history or any(heartbeat.has_history for heartbeat in peers))

    def _build_relay_pool(self, token: FencingToken) -> RelayPool | None:
        services = self._services
        if not services.may_relay:
            return None
        return RelayPool(
            services.reactor,
            services.node,
            token,
            self._link,
            WorkerClients(services.http, services.short_lived_http),
            RelayPoolSettings(
                services.operator.relays,
                socket_allowance(services.settings, DIRECT_WORKERS_PER_SOCKET),
                {NodeName(peer.host_name): peer.zone for peer in services.settings.peers},
                services.settings.facts.workers.report_s,
                services.operator.silent_s,
            ),
            self._link.status.live_peer_heartbeats,
        )


class TermManager:
    """Begins and ends this node's terms on behalf of the election; implements `election.ElectionListener`."""

    def __init__(
        self,
        services: Services,
        terms: CurrentTerm,
        builder: TermBuilder,
        link: PeerLink,
        relay: Relay,
        detector: LeaderFailureDetector | None,
    ) -> None:
        self._services = services
        self._terms = terms
        self._builder = builder
        self._link = link
        self._relay = relay
        self._detector = detector
        self._hint_publisher: HintPublisher | None = None

    def begin_term(self, token: FencingToken) -> LeaderTerm:
        """Build and start a term with this token; see `ElectionListener`."""
        services = self._services
        services.store.reset_share(LEADER_SHARE)
        self._relay.on_token_seen(token)
        term = self._builder.build(token)
        self._terms.latest = term
        if term.relay_pool is not None:
            term.relay_pool.renew_grants()
        if services.operator.warm_standby >= 1:
            self._hint_publisher = HintPublisher(services.node, token, services.digest)
        term.start()
        return term

    def end_term(self) -> None:
        """Return to a follower's share of the store's request rate; see `ElectionListener`."""
        self._services.store.reset_share(self._services.initial_share)

    def election_delay(self) -> Seconds:
        """Return the time to wait before a campaign; 0 without a failure detector. See `ElectionListener`."""
        return self._detector.election_delay() if self._detector is not None else 0.0

    async def find_successor(self) -> Successor | None:
        """Return the successor for a leadership transfer; None if no peer accepts. See `ElectionListener`.

        The offer goes to the peer in sync with the store that receives the most workers' heartbeats.
        """
        candidates = [
            heartbeat
            for heartbeat in self._link.status.live_peer_heartbeats()
            if heartbeat.is_in_sync and heartbeat.is_store_answering
        ]
        best = min(candidates, key=lambda heartbeat: (-heartbeat.reporting_workers, heartbeat.node), default=None)
        if best is None:
            return None
        response = await self._link.offer_leadership(best.node)
        if response is None or response.lease is None:
            return None
        return Successor(LeaderRecord(best.node, response.incarnation), response.lease)

    # Methods for the active term

    def publish_hints(self) -> None:
        """Send the peers the leader's hints, if this node leads and has any."""
        term, publisher = self._terms.active(), self._hint_publisher
        if term is None or publisher is None:
            return
        hints = term.export_hints()
        if hints is not None:
            self._link.send_hints(publisher.next_message(hints))

    def on_full_hints_request(self) -> None:
        """Handle a peer's request for full hints, after it missed some."""
        if self._hint_publisher is not None:
            self._hint_publisher.request_full()

    def renew_relay_grants(self) -> None:
        """Renew the relays' grants, if this node leads."""
        term = self._terms.active()
        if term is not None and term.relay_pool is not None:
            term.relay_pool.renew_grants()
