"""The controller: builds its parts, starts them, and transfers the leadership before it stops."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from meadowcross.common.error_boundary import contain_errors
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
"""Time from the start until the modules of a leader are imported."""
LISTEN_BACKLOG = 512
"""Length of the queue for connections that are not accepted yet."""
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
        """This node's latest term, which may be over; None before the first one."""
        return self._terms.latest

    async def transfer_leadership(self, reason: str) -> None:
        """Stop leading, for example before the process ends; a peer that is ready takes over in the same step."""
        await self.election.transfer_leadership(reason)

    def start(self) -> None:
        """Listen, connect to the peers, and start all loops, which run until the process ends."""
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
            self._start_loop("publishing hints", self.term_manager.publish_hints, PUBLISH_INTERVAL_S)
        self._start_loop("renewing relay grants", self.term_manager.renew_relay_grants, HEARTBEAT_INTERVAL_S)
        Deferred.fromCoroutine(self.election.run())

    def _listen(self) -> None:
        settings, reactor = self.services.settings, self.services.reactor
        host, _, port = settings.api_addr.rpartition(":")
        max_connections = socket_allowance(settings, INBOUND_SOCKET_SHARE)
        factory = build_api_factory(self.router, reactor, max_connections=max_connections)
        reactor.listenTCP(int(port), factory, interface=host, backlog=LISTEN_BACKLOG)

    def _start_loop(self, activity: str, function: Callable[[], None], interval_s: Seconds) -> None:
        loop = LoopingCall(contain_errors(activity, function))
        loop.clock = self.services.reactor
        loop.start(interval_s, now=False)

    def _preload_leader_modules(self) -> None:
        """Import the modules that only a leader needs, once the start is over.

        Users wait while a node starts, and these imports took a fifth of the start-up time.
        """
        import meadowcross.leadership.term  # noqa: PLC0415

        if self.services.operator.learned_estimates >= 1:
            import meadowcross.estimates.estimate_storage  # noqa: PLC0415
            import meadowcross.leadership.completion_forecaster  # noqa: F401, PLC0415

    def _start_snapshot_writer(self, follower: ReplicaFollower) -> None:
        # Imported only if a snapshot directory is set, to keep the start-up time short.
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
        """Return the number of the store's epoch; None while it is not known or lost data is written back."""
        record = self.store_epochs.record
        return record.number if record is not None and self.store_epochs.stage is None else None
