"""The relay's side: answers or forwards heartbeats while it has the leader's grant; the leader makes all decisions.

A heartbeat that repeats the last full one is answered here, with the token that it shows and without commands; any
other heartbeat is forwarded to the leader in full. Once the grant has expired or the token of a later leader was
received, workers are redirected, as by any other node that does not lead.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol, TypeVar

import msgspec
from msgspec import Raw

from meadowcross.common.clock import Clock
from meadowcross.common.http import ConnectionFailedError, HttpClient, NoResponseError, ServerResponse, error_response
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, Instant, MachineId, NodeName, Seconds
from meadowcross.relay.messages import (
    MAX_MACHINES_PER_MESSAGE,
    CommandsAnswer,
    DeliveryOutcome,
    ForwardedCommands,
    ForwardedHeartbeat,
    HeartbeatAnswer,
    HeartbeatRenewal,
    HeartbeatRenewals,
    RelayedWorkers,
    RelayGrant,
    ResendRequest,
)
from meadowcross.workers.dispatcher import COMMAND_TIMEOUT_S
from meadowcross.workers.messages import Heartbeat, HeartbeatResponse, encode

log = get_logger("relay")

FORWARD_TIMEOUT_S: Seconds = 3.0
"""Less than the 4 s that a worker waits for its response, by the protocol."""
RENEWAL_INTERVAL_S: Seconds = 0.5
WORKER_RETENTION_S: Seconds = 60.0
"""A worker without a heartbeat for this long uses another node or has ended, so its entry is removed."""


class LeaderLink(Protocol):
    """The part of the connections between controllers that a relay needs.

    `forward_heartbeat` raises ConnectionFailedError and NoResponseError.
    """

    def send_relay_message(self, message: HeartbeatRenewals | RelayedWorkers, peer: NodeName) -> bool:
        """Send the message without waiting for an answer; return False if the peer is not connected."""
        ...

    async def forward_heartbeat(
        self, leader: NodeName, make_request: Callable[[int], ForwardedHeartbeat], timeout_s: Seconds
    ) -> HeartbeatAnswer:
        """Send the request that `make_request` builds from its number, and return the answer."""
        ...


@dataclass(slots=True)
class RelayedWorker:
    """A worker that sends its heartbeats to this relay: its last full heartbeat, and the newest that was answered."""

    full_heartbeat: Heartbeat
    is_repeatable: bool
    """Whether a repetition of the full heartbeat would get the same response, without commands."""
    seq: int
    last_heartbeat_at: Instant

    def is_repeated_by(self, heartbeat: Heartbeat) -> bool:
        """Whether the heartbeat is newer, has the contents of the full one, and needs no response by the leader."""
        return (
            self.is_repeatable
            and heartbeat.seq > self.seq
            and heartbeat.incarnation == self.full_heartbeat.incarnation
            and heartbeat.token == self.full_heartbeat.token
            and heartbeat.address == self.full_heartbeat.address
            and heartbeat.notice_s is None
            and heartbeat.tasks == self.full_heartbeat.tasks
        )


class Relay:
    """Answers and forwards heartbeats, and sends the leader's commands to workers, under the grant of one leader."""

    def __init__(
        self,
        clock: Clock,
        node: NodeName,
        link: Callable[[], LeaderLink],
        http: HttpClient,
    ) -> None:
        """`node` is this node; `http` sends commands to workers."""
        self._clock = clock
        self._node = node
        self._link = link
        self._http = http
        self._grant: RelayGrant | None = None
        self._grant_expires_at = Instant(0.0)
        self._highest_token = FencingToken(0)
        self._workers: dict[MachineId, RelayedWorker] = {}
        self._pending_renewals: dict[MachineId, HeartbeatRenewal] = {}
        self._is_flush_scheduled = False

    @property
    def now(self) -> Instant:
        """The instant on this node's clock."""
        return Instant(self._clock.seconds())

    def active_grant(self) -> RelayGrant | None:
        """Return the grant by which this node may answer workers now, or None if there is no valid one."""
        grant = self._grant
        if grant is not None and self.now < self._grant_expires_at and grant.highest_token >= self._highest_token:
            return grant
        return None

    def accept_grant(self, grant: RelayGrant) -> None:
        """Accept a leader's grant, unless a token of a later leader was received before."""
        if grant.highest_token < self._highest_token:
            return
        is_new_term = self._grant is None or self._grant.token != grant.token
        if is_new_term:
            log.info(
                "accepted grant of a new term node=%s token=%d workers=%d", grant.node, grant.token, len(self._workers)
            )
            # The full heartbeats were handled by another term, so the next one of each worker must be forwarded.
            for worker in self._workers.values():
                worker.is_repeatable = False
            self._pending_renewals.clear()
        self._grant, self._grant_expires_at = grant, Instant(self.now + grant.expires_s)
        self._highest_token = grant.highest_token
        if is_new_term:
            self._announce_workers(grant)

    def _announce_workers(self, grant: RelayGrant) -> None:
        machines = list(self._workers)
        for part in _split(machines):
            self._link().send_relay_message(RelayedWorkers(self._node, grant.token, part), grant.node)

    def on_token_seen(self, token: FencingToken) -> None:
        """Record a token that was received in any message; grants of leaders with lower tokens are void from now on."""
        if token > self._highest_token:
            self._highest_token = token
            if self._grant is not None:
                log.info("grant void after a higher token node=%s token=%d", self._grant.node, token)

    def request_full_heartbeats(self, request: ResendRequest) -> None:
        """Have the next heartbeat of each of these machines forwarded, even if it repeats the last full one."""
        if self._grant is not None and request.token == self._grant.token:
            for machine in request.machines:
                if (worker := self._workers.get(machine)) is not None:
                    worker.is_repeatable = False

    def answer_unchanged(self, heartbeat: Heartbeat) -> ServerResponse | None:
        """Return the response to a heartbeat that repeats the last full one.

        Returns None if the heartbeat must be forwarded, and if there is no valid grant.
        """
        self.on_token_seen(heartbeat.token)
        grant = self.active_grant()
        worker = self._workers.get(heartbeat.machine)
        if grant is None or worker is None or not worker.is_repeated_by(heartbeat):
            return None
        # The entry moves to the end, which keeps the dictionary in the order of last heartbeats.
        del self._workers[heartbeat.machine]
        self._workers[heartbeat.machine] = worker
        worker.seq, worker.last_heartbeat_at = heartbeat.seq, self.now
        self._record_renewal(heartbeat, worker)
        return ServerResponse(200, encode(HeartbeatResponse(heartbeat.token, [])) + b"\n")

    def _record_renewal(self, heartbeat: Heartbeat, worker: RelayedWorker) -> None:
        self._pending_renewals[heartbeat.machine] = HeartbeatRenewal(
            heartbeat.machine, heartbeat.incarnation, worker.full_heartbeat.seq, heartbeat.seq
        )
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._clock.callLater(RENEWAL_INTERVAL_S, self._flush_renewals)

    def _flush_renewals(self) -> None:
        self._is_flush_scheduled = False
        renewals, self._pending_renewals = list(self._pending_renewals.values()), {}
        grant = self.active_grant()
        if grant is not None:
            for part in _split(renewals):
                self._link().send_relay_message(HeartbeatRenewals(self._node, grant.token, part), grant.node)
        self._remove_expired_workers()

    def _remove_expired_workers(self) -> None:
        oldest_kept_at = self.now - WORKER_RETENTION_S
        while self._workers:
            machine, worker = next(iter(self._workers.items()))
            if worker.last_heartbeat_at >= oldest_kept_at:
                break
            del self._workers[machine]

    async def forward_heartbeat(self, heartbeat: Heartbeat, body: bytes) -> ServerResponse | None:
        """Forward a heartbeat to the leader and return the leader's response, or 503 if none arrived.

        Returns None if the worker must be redirected, as by a node that does not lead.
        """
        grant = self.active_grant()
        if grant is None:
            return None
        try:
            answer = await self._link().forward_heartbeat(
                grant.node,
                lambda number: ForwardedHeartbeat(number, self._node, grant.token, Raw(body)),
                FORWARD_TIMEOUT_S,
            )
        except (ConnectionFailedError, NoResponseError) as error:
            log.debug("no response to a forwarded heartbeat machine=%s error=%s", heartbeat.machine, error)
            return error_response(503, "the leader gives no answer", 1)
        current_grant = self.active_grant()
        if current_grant is None or current_grant.token != grant.token:
            return None
        if answer.status == 200:
            self._keep_worker(heartbeat, answer.is_repeatable)
        else:
            self._workers.pop(heartbeat.machine, None)
        return ServerResponse(answer.status, bytes(answer.body) + b"\n")

    def _keep_worker(self, heartbeat: Heartbeat, is_repeatable: bool) -> None:
        previous = self._workers.pop(heartbeat.machine, None)
        if previous is not None and previous.full_heartbeat.version > heartbeat.version:
            # A newer full heartbeat was recorded while this one was in flight.
            self._workers[heartbeat.machine] = previous
            return
        self._workers[heartbeat.machine] = RelayedWorker(heartbeat, is_repeatable, heartbeat.seq, self.now)

    async def send_commands(self, request: ForwardedCommands) -> CommandsAnswer:
        """Send the leader's commands to a worker and return the outcome; without a valid grant nothing is sent."""
        grant = self.active_grant()
        if grant is None or request.token != grant.token:
            return CommandsAnswer(request.number, DeliveryOutcome.NOT_SENT)
        try:
            response = await self._http.call(
                "POST", request.address, "/commands", bytes(request.body), COMMAND_TIMEOUT_S
            )
        except ConnectionFailedError:
            return CommandsAnswer(request.number, DeliveryOutcome.NOT_SENT)
        except NoResponseError:
            return CommandsAnswer(request.number, DeliveryOutcome.UNANSWERED)
        return CommandsAnswer(request.number, DeliveryOutcome.ANSWERED, response.status, _as_json(response.body))


Item = TypeVar("Item")


def _split(items: list[Item]) -> Iterator[list[Item]]:
    """Yield parts of the list that fit into one message each."""
    for start in range(0, len(items), MAX_MACHINES_PER_MESSAGE):
        yield items[start : start + MAX_MACHINES_PER_MESSAGE]


def _as_json(body: bytes) -> Raw:
    """Return a worker's response for embedding in a message; null if the response is not JSON."""
    try:
        msgspec.json.decode(body, type=Raw)
    except msgspec.DecodeError:
        return Raw(b"null")
    return Raw(body)
