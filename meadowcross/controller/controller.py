"""One controller process: built, started and stopped."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from meadowcross.common.http import build_api_factory
from meadowcross.common.settings import INBOUND_SOCKET_SHARE, OperatorSettings, Settings, socket_allowance
from meadowcross.common.types import Seconds
from meadowcross.controller.assembly import assemble
from meadowcross.controller.services import build_services
from meadowcross.leadership.peer_link import HEARTBEAT_INTERVAL_S
from meadowcross.replication.follower import ReplicaFollower
from meadowcross.replication.hints import PUBLISH_INTERVAL_S

if TYPE_CHECKING:
    from meadowcross.leadership.term import LeaderTerm

PRELOAD_DELAY_S: Seconds = 4.0
LISTEN_BACKLOG = 512
SECONDS_PER_HOUR = 3600.0


class Controller:
    """Serves users, workers and peers, and leads when it is elected."""

    def __init__(self, reactor: Any, settings: Settings, operator: OperatorSettings) -> None:
        self.services = build_services(reactor, settings, operator)
        parts = assemble(self.services)
        self.follower = parts.store_view.follower
        self.store_epochs = parts.store_view.store_epochs
        self.peer_link = parts.cluster.link
        self.election = parts.cluster.election
        self.cluster_view = parts.cluster.view
        self.failure_detector = parts.cluster.failure_detector
        self.relay = parts.leadership.relay
        self.router = parts.router
        self.term_manager = parts.leadership.term_manager
        self._terms = parts.leadership.terms
        self._auditor = parts.auditor

    @property
    def term(self) -> LeaderTerm | None:
        """This node's latest term, also once it is over."""
        return self._terms.latest

    async def transfer_leadership(self, reason: str) -> None:
        """Stop leading before this process ends, in one step with the start of a peer's term where one is ready."""
        await self.election.transfer_leadership(reason)

    def start(self) -> None:
        """Listen, connect to the peers, and begin all that goes on until the process ends."""
        services, settings = self.services, self.services.settings
        self._listen()
        self.peer_link.start(services.reactor, settings.peer_bind)
        services.reactor.callLater(PRELOAD_DELAY_S, self._preload_leader_modules)
        Deferred.fromCoroutine(services.machine_types.run())
        Deferred.fromCoroutine(self.store_epochs.run())
        if self.follower is not None and self._auditor is not None:
            Deferred.fromCoroutine(self.follower.run())
            Deferred.fromCoroutine(self._auditor.run())
            if services.operator.snapshot_directory:
                self._start_snapshot_writer(self.follower)
            self._start_loop(self.term_manager.publish_hints, PUBLISH_INTERVAL_S)
        self._start_loop(self.term_manager.renew_relay_grants, HEARTBEAT_INTERVAL_S)
        Deferred.fromCoroutine(self.election.run())

    def _listen(self) -> None:
        settings, reactor = self.services.settings, self.services.reactor
        host, _, port = settings.api_addr.rpartition(":")
        max_connections = socket_allowance(settings, INBOUND_SOCKET_SHARE)
        factory = build_api_factory(self.router, reactor, max_connections=max_connections)
        reactor.listenTCP(int(port), factory, interface=host, backlog=LISTEN_BACKLOG)

    def _start_loop(self, function: Callable[[], None], interval_s: Seconds) -> None:
        loop = LoopingCall(function)
        loop.clock = self.services.reactor
        loop.start(interval_s, now=False)

    def _preload_leader_modules(self) -> None:
        """Load what only a leader needs while nothing is urgent: users wait for a start, and it took a fifth of one."""
        import meadowcross.leadership.term  # noqa: PLC0415

        if self.services.operator.learned_estimates >= 1:
            import meadowcross.estimates.keeper  # noqa: PLC0415
            import meadowcross.leadership.completion_forecaster  # noqa: F401, PLC0415

    def _start_snapshot_writer(self, follower: ReplicaFollower) -> None:
        # Only where operators name a directory: a start's time is counted.
        from meadowcross.snapshots.writer import SnapshotSettings, SnapshotWriter  # noqa: PLC0415

        operator = self.services.operator
        writer = SnapshotWriter(
            self.services.reactor,
            follower,
            self.services.node,
            self._intact_epoch,
            SnapshotSettings(
                operator.snapshot_directory,
                operator.snapshot_every_s,
                int(operator.snapshot_keep),
                operator.snapshot_keep_h * SECONDS_PER_HOUR,
            ),
        )
        Deferred.fromCoroutine(writer.run())

    def _intact_epoch(self) -> int | None:
        """The number of the store's epoch; None while it is not known, or lost data is written back."""
        record = self.store_epochs.record
        return record.number if record is not None and self.store_epochs.stage is None else None
