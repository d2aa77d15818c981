"""Who leads, and what this node does while it does: begin and end of a term, and its transfer to a peer."""

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
    """Who leads, as far as this node knows."""

    def __init__(self, node: NodeName, election: Election, peers: PeerStatus) -> None:
        self._node = node
        self._election = election
        self._peers = peers

    def known_leader(self) -> tuple[NodeName, FencingToken] | None:
        """By the key as last read or by the peers' heartbeats, whichever is newer: a node that the store refuses still
        learns of a new leader."""
        leaders = [leader for leader in (self._election.leader, self._peers.reported_leader()) if leader is not None]
        return max(leaders, key=lambda leader: leader[1], default=None)

    def redirect_target(self) -> NodeName | None:
        """Where to send a worker. Naming ourselves, or nobody, sends it on to the next node."""
        leader = self.known_leader()
        return leader[0] if leader is not None and leader[0] != self._node else None


class CurrentTerm:
    """This node's own term, and what others ask of it."""

    def __init__(self) -> None:
        self.latest: LeaderTerm | None = None
        """Also once it is over."""

    def active(self) -> LeaderTerm | None:
        """The term, while this node leads."""
        return self.latest if self.latest is not None and not self.latest.stopped else None

    def heartbeat_handler(self) -> HandleHeartbeat | None:
        """What takes workers' heartbeats, while this node leads."""
        term = self.active()
        return term.handle_heartbeat if term is not None else None

    def progress_of(self, job: JobId) -> JobProgress | None:
        """A job's counts, where this node leads and knows the job."""
        term = self.active()
        known = term.job_table.jobs.get(job) if term is not None else None
        if term is None or known is None:
            return None
        return JobProgress(known.done_count, known.running_count(), term.forecast(job))


class ProgressQuery:
    """A job's progress, from this node's own term or from the leader."""

    def __init__(self, terms: CurrentTerm, leaders: LeaderDirectory, link: PeerLink) -> None:
        self._terms = terms
        self._leaders = leaders
        self._link = link

    async def progress_of(self, job: JobId) -> JobProgress | None:
        """None where the leader is not known, or does not answer in time."""
        if self._terms.active() is not None:
            return self._terms.progress_of(job)
        leader = self._leaders.known_leader()
        return await self._link.request_progress(leader[0], job) if leader is not None else None


class TermBuilder:
    """Builds a leader's term from what the controller has."""

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
        """A term that has not started yet."""
        # Only a leader needs it, and a start's time is counted; see `Controller.start`.
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
            self._link.status.most_workers_heard,
            self._follower,
            self._hints.hints_before(token) if self._follower is not None else None,
            self._recovery,
            self._is_cold_start(),
            self._cancellations.is_announced,
            self._build_relay_pool(token),
        )

    def _is_cold_start(self) -> bool:
        """Whether nobody here knows what was before."""
        peers = self._link.status.fresh_heartbeats()
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
            self._link.status.fresh_heartbeats,
        )


class TermManager:
    """Begins and ends this node's terms, as the election says; see `election.ElectionListener`."""

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
        """See `ElectionListener`."""
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
        """See `ElectionListener`."""
        self._services.store.reset_share(self._services.initial_share)

    def election_delay(self) -> Seconds:
        """See `ElectionListener`."""
        return self._detector.election_delay() if self._detector is not None else 0.0

    async def find_successor(self) -> Successor | None:
        """See `ElectionListener`: the peer that is placed best, if it is ready to lead."""
        candidates = [
            heartbeat
            for heartbeat in self._link.status.fresh_heartbeats()
            if heartbeat.is_in_sync and heartbeat.is_store_answering
        ]
        best = min(candidates, key=lambda heartbeat: (-heartbeat.workers_heard, heartbeat.node), default=None)
        if best is None:
            return None
        response = await self._link.offer_leadership(best.node)
        if response is None or response.lease is None:
            return None
        return Successor(LeaderRecord(best.node, response.incarnation), response.lease)

    # While this node leads

    def publish_hints(self) -> None:
        """Tell the peers what only the leader knows; behind everything else, and bounded."""
        term, publisher = self._terms.active(), self._hint_publisher
        if term is None or publisher is None:
            return
        hints = term.export_hints()
        if hints is not None:
            self._link.send_hints(publisher.next_message(hints))

    def on_full_hints_request(self) -> None:
        """A peer missed some of the hints."""
        if self._hint_publisher is not None:
            self._hint_publisher.request_full()

    def renew_relay_grants(self) -> None:
        """Tell the peers who of them may answer workers for us."""
        term = self._terms.active()
        if term is not None and term.relay_pool is not None:
            term.relay_pool.renew_grants()
