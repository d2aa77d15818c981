"""The relay's side: holds workers' sessions while the leader grants it, and decides nothing.

A report like the last whole one is answered here, with the leader's token and no commands; any other goes whole to the
leader. Without a renewed grant, or once a higher token is seen anywhere, workers are turned away as by any node that
does not lead.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec
from msgspec import Raw

from meadowcross.common.clock import Clock
from meadowcross.common.http import ConnectionFailedError, HttpClient, NoResponseError, ServerResponse, error_response
from meadowcross.common.logging import get_logger
from meadowcross.common.types import FencingToken, Instant, MachineId, NodeName, Seconds
from meadowcross.relay import messages as m
from meadowcross.workers import messages as wm
from meadowcross.workers.dispatcher import COMMAND_TIMEOUT_S

log = get_logger("relay")

FORWARD_TIMEOUT_S: Seconds = 3.0
"""A worker waits 4 s for its answer (the protocol)."""
RENEWAL_INTERVAL_S: Seconds = 0.5
WORKER_RETENTION_S: Seconds = 60.0
"""A worker that has not come for so long is at another node, or gone."""


class LeaderLink(Protocol):
    """Of the controllers' link, what a relay needs. `ask_leader` raises NotSent and Unanswered."""

    def send_relay(self, message: m.HeartbeatRenewals | m.RelayedWorkers, peer: NodeName) -> bool: ...
    async def ask_leader(
        self, leader: NodeName, make_request: Callable[[int], m.ForwardedHeartbeat], timeout_s: Seconds
    ) -> m.HeartbeatAnswer: ...


@dataclass(slots=True)
class RelayedWorker:
    """A worker that reports here: its last whole report, and the newest one that was answered."""

    full_heartbeat: wm.Heartbeat
    is_repeatable: bool
    """The leader has nothing to say to that report."""
    seq: int
    last_heartbeat_at: Instant

    def is_repeated_by(self, heartbeat: wm.Heartbeat) -> bool:
        """Whether a newer report says what the last whole one said, to which the leader has nothing to say."""
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
    def __init__(
        self,
        clock: Clock,
        node: NodeName,
        link: Callable[[], LeaderLink],
        http: HttpClient,
    ) -> None:
        self._clock = clock
        self._node = node
        self._link = link
        self._http = http
        self._grant: m.RelayGrant | None = None
        self._grant_expires_at = Instant(0.0)
        self._highest_token = FencingToken(0)
        self._workers: dict[MachineId, RelayedWorker] = {}
        self._pending_renewals: dict[MachineId, m.HeartbeatRenewal] = {}
        self._is_flush_scheduled = False

    @property
    def now(self) -> Instant:
        return Instant(self._clock.seconds())

    def active_grant(self) -> m.RelayGrant | None:
        """The grant by which this node answers workers now; None where it must not."""
        if self._grant is not None and self.now < self._grant_expires_at and self._grant.token >= self._highest_token:
            return self._grant
        return None

    def accept_grant(self, grant: m.RelayGrant) -> None:
        """A leader's word. One of an earlier term than was seen anywhere counts for nothing."""
        if grant.token < self._highest_token:
            return
        is_new_term = self._grant is None or self._grant.token != grant.token
        if is_new_term:
            log.info("relays for %s, token %d, %d sessions held", grant.node, grant.token, len(self._workers))
            # Whole reports were judged by another term: the next one of each worker is passed on.
            for worker in self._workers.values():
                worker.is_repeatable = False
            self._pending_renewals.clear()
        self._grant, self._grant_expires_at = grant, Instant(self.now + grant.expires_s)
        self._highest_token = grant.token
        if is_new_term:
            self._announce_workers(grant)

    def _announce_workers(self, grant: m.RelayGrant) -> None:
        machines = list(self._workers)
        for first in range(0, len(machines), m.MAX_MACHINES_PER_MESSAGE):
            part = machines[first : first + m.MAX_MACHINES_PER_MESSAGE]
            self._link().send_relay(m.RelayedWorkers(self._node, grant.token, part), grant.node)

    def on_token_seen(self, token: FencingToken) -> None:
        """A token was seen, by whatever way: an earlier leader's grant is worth nothing from now on."""
        if token > self._highest_token:
            self._highest_token = token
            if self._grant is not None:
                log.info("relays for %s no more: token %d was seen", self._grant.node, token)

    def request_full_heartbeats(self, request: m.ResendRequest) -> None:
        """The leader wants the next reports of these machines whole."""
        if self._grant is not None and request.token == self._grant.token:
            for machine in request.machines:
                if (worker := self._workers.get(machine)) is not None:
                    worker.is_repeatable = False

    # Reports

    def answer_unchanged(self, heartbeat: wm.Heartbeat) -> ServerResponse | None:
        """The answer to a report that says nothing new; None: it must be passed on, or nothing is granted."""
        self.on_token_seen(heartbeat.token)
        grant = self.active_grant()
        worker = self._workers.get(heartbeat.machine)
        if grant is None or worker is None or not worker.is_repeated_by(heartbeat):
            return None
        # Put last, so that whoever came least lately stays first.
        del self._workers[heartbeat.machine]
        self._workers[heartbeat.machine] = worker
        worker.seq, worker.last_heartbeat_at = heartbeat.seq, self.now
        self._record_renewal(heartbeat, worker)
        return ServerResponse(200, wm.encode(wm.HeartbeatResponse(grant.token, [])) + b"\n")

    def _record_renewal(self, heartbeat: wm.Heartbeat, worker: RelayedWorker) -> None:
        self._pending_renewals[heartbeat.machine] = m.HeartbeatRenewal(
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
            for first in range(0, len(renewals), m.MAX_MACHINES_PER_MESSAGE):
                part = renewals[first : first + m.MAX_MACHINES_PER_MESSAGE]
                self._link().send_relay(m.HeartbeatRenewals(self._node, grant.token, part), grant.node)
        self._forget_old()

    def _forget_old(self) -> None:
        oldest = self.now - WORKER_RETENTION_S
        while self._workers:
            machine, worker = next(iter(self._workers.items()))
            if worker.last_heartbeat_at >= oldest:
                break
            del self._workers[machine]

    async def forward_heartbeat(self, heartbeat: wm.Heartbeat, body: bytes) -> ServerResponse | None:
        """A report that says something new goes to the leader, and its answer comes back; None: turn the worker away
        as a node that does not lead."""
        grant = self.active_grant()
        if grant is None:
            return None
        try:
            answer = await self._link().ask_leader(
                grant.node,
                lambda number: m.ForwardedHeartbeat(number, self._node, grant.token, Raw(body)),
                FORWARD_TIMEOUT_S,
            )
        except (ConnectionFailedError, NoResponseError) as error:
            log.debug("report of %s not answered: %s", heartbeat.machine, error)
            return error_response(503, "the leader gives no answer", 1)
        current_grant = self.active_grant()
        if current_grant is None or current_grant.token != grant.token:
            return None
        if answer.status == 200:
            self._keep_worker(heartbeat, answer.is_repeatable)
        else:
            self._workers.pop(heartbeat.machine, None)
        return ServerResponse(answer.status, bytes(answer.body) + b"\n")

    def _keep_worker(self, heartbeat: wm.Heartbeat, is_repeatable: bool) -> None:
        previous = self._workers.pop(heartbeat.machine, None)
        if previous is not None and previous.full_heartbeat.version > heartbeat.version:
            # A copy, come late.
            self._workers[heartbeat.machine] = previous
            return
        self._workers[heartbeat.machine] = RelayedWorker(heartbeat, is_repeatable, heartbeat.seq, self.now)

    # Commands

    async def send_commands(self, request: m.ForwardedCommands) -> m.CommandsAnswer:
        """Commands of the leader for a worker, and what became of them."""
        grant = self.active_grant()
        if grant is None or request.token != grant.token:
            return m.CommandsAnswer(request.number, m.DeliveryOutcome.NOT_SENT)
        try:
            reply = await self._http.call("POST", request.address, "/commands", bytes(request.body), COMMAND_TIMEOUT_S)
        except ConnectionFailedError:
            return m.CommandsAnswer(request.number, m.DeliveryOutcome.NOT_SENT)
        except NoResponseError:
            return m.CommandsAnswer(request.number, m.DeliveryOutcome.UNANSWERED)
        return m.CommandsAnswer(request.number, m.DeliveryOutcome.ANSWERED, reply.status, _as_json(reply.body))


def _as_json(body: bytes) -> Raw:
    """A worker's answer, to be passed on inside a message; what is no JSON is passed on as null."""
    try:
        msgspec.json.decode(body, type=Raw)
    except msgspec.DecodeError:
        return Raw(b"null")
    return Raw(body)
