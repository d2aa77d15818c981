"""Scaling out: creates the machines that the queue needs."""

from __future__ import annotations

from msgspec.structs import replace
from twisted.internet.defer import Deferred

from meadowcross.autoscaling.cloud import CloudClient, CloudError, InsufficientCapacityError
from meadowcross.autoscaling.context import AutoscalerContext
from meadowcross.autoscaling.decommissioning import Decommissioner
from meadowcross.autoscaling.demand import DemandTracker
from meadowcross.autoscaling.incoming_capacity import (
    COMPLETION_HORIZON_BOOTS,
    IncomingCapacityCollector,
    TaskCompletionForecast,
)
from meadowcross.autoscaling.kind_availability import KindAvailability
from meadowcross.autoscaling.messages import MAX_MACHINES_PER_CREATION, MachineType
from meadowcross.autoscaling.sizing import IncomingCapacity, ScaleOutRequest, plan_scale_out
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, MachineId, MachineKind, Seconds

log = get_logger("fleet")

START_DELAY_S: Seconds = 1.0
"""Machines that an earlier leader created and did not store yet report within this time."""
NEW_WORK_DELAY_S: Seconds = 0.1
NEW_WORK_PAUSE_FACTOR = 9.0
"""Scaling out for new work pauses so many times as long as it last took: a swarm's jobs come many times a second."""
UNAVAILABLE_S: Seconds = 12.0
"""How long a kind without capacity is not asked for."""
RETRY_AFTER_ERROR_S: Seconds = 2.0
"""How long a kind is not asked for after a request without a usable answer."""


class ScaleOut:
    """Sends requests for machines, at each tick and soon after new work has come."""

    def __init__(
        self,
        context: AutoscalerContext,
        cloud: CloudClient,
        demand: DemandTracker,
        availability: KindAvailability,
        completions: TaskCompletionForecast,
        decommissioner: Decommissioner,
    ) -> None:
        self._context = context
        self._cloud = cloud
        self._demand = demand
        self._availability = availability
        self._completions = completions
        self._decommissioner = decommissioner
        self._open_requests: dict[str, ScaleOutRequest] = {}
        self._request_counter = 0
        self._may_begin_at = context.started_at
        self._is_scheduled = False
        self._last_run_s: Seconds = 0.0

    def start(self) -> None:
        """Begin; where machines are on record, only when those created last have had time to report.

        Where none is on record none is likely to come, and every second counts.
        """
        delay_s = START_DELAY_S if self._context.machines() else 0.0
        self._may_begin_at = Instant(self._context.now + delay_s)

    def on_new_work(self) -> None:
        """Scale out for a job that has come soon, and not only at the next tick."""
        if not self._is_scheduled and self._context.is_running:
            self._is_scheduled = True
            delay_s = max(NEW_WORK_DELAY_S, NEW_WORK_PAUSE_FACTOR * self._last_run_s)
            self._context.clock.callLater(delay_s, self._run_for_new_work)

    def _run_for_new_work(self) -> None:
        self._is_scheduled = False
        if not self._context.is_running or not self._context.host.has_valid_lease():
            return
        started_at = self._context.now
        try:
            self._demand.update()
            self.run()
        except Exception:
            # The next tick tries again.
            log.exception("renting for new work failed")
        self._last_run_s = self._context.now - started_at

    def run(self) -> None:
        """Request the machines that the demands need beyond what is coming."""
        context, now = self._context, self._context.now
        machine_types = {
            machine_type.name: replace(machine_type, boot_s=context.expected_boot_s(machine_type))
            for machine_type in context.machine_types()
        }
        if not machine_types or not self._demand.demands or now < self._may_begin_at:
            return
        unavailable = self._availability.unavailable_kinds()
        incoming = self._incoming_capacity(machine_types, now)
        for kind, machine_count in plan_scale_out(
            self._demand.demands, incoming, machine_types, unavailable, self._demand.expensive_kinds
        ):
            # As many requests at once as it takes: the client keeps to the cloud's rate.
            for offset in range(0, machine_count, MAX_MACHINES_PER_CREATION):
                self._send(ScaleOutRequest(kind, min(MAX_MACHINES_PER_CREATION, machine_count - offset)))

    def _incoming_capacity(self, machine_types: dict[str, MachineType], now: Instant) -> list[IncomingCapacity]:
        # To wait for tasks that end saves money, and nothing else: once an array waited for minutes for tasks that were
        # always about to end, while half of the spot machines could have been had.
        horizon_boots = COMPLETION_HORIZON_BOOTS if self._context.saves_money else 0.0
        host = self._context.host
        collector = IncomingCapacityCollector(machine_types, self._context.boot_times, self._completions, now)
        return collector.collect(
            self._open_requests.values(), host.worker_registry, host.scheduling_view, horizon_boots
        )

    def _send(self, request: ScaleOutRequest) -> None:
        self._request_counter += 1
        # Token and counter: no node ever uses the name of a request again.
        request_id = f"r-{self._context.host.token}-{self._request_counter}"
        self._open_requests[request_id] = request
        Deferred.fromCoroutine(self._request_machines(request_id, request))

    def _is_still_wanted(self, kind: MachineKind) -> bool:
        return self._context.is_running and self._availability.is_available(kind)

    async def _request_machines(self, request_id: str, request: ScaleOutRequest) -> None:
        kind = request.kind
        try:
            machine_ids = await self._cloud.create_machines(
                request_id, kind, request.machine_count, lambda: self._is_still_wanted(kind)
            )
        except InsufficientCapacityError:
            log.info("rental %s: no capacity for %s", request_id, kind)
            self._availability.mark_unavailable(kind, UNAVAILABLE_S)
            return
        except CloudError as error:
            # It may have been executed: such machines show up by their heartbeats and in the list.
            log.info("rental %s: %s", request_id, error)
            self._availability.mark_unavailable(kind, RETRY_AFTER_ERROR_S)
            return
        finally:
            del self._open_requests[request_id]
        log.info("rental %s: %d of %d %s", request_id, len(machine_ids), request.machine_count, kind)
        if len(machine_ids) < request.machine_count:
            self._availability.mark_unavailable(kind, UNAVAILABLE_S)
        if self._context.is_running:
            self._add_machines(machine_ids, kind)

    def _add_machines(self, machine_ids: list[MachineId], kind: MachineKind) -> None:
        host = self._context.host
        market = "spot" if kind.spot else "ordinary"
        for machine_id in machine_ids:
            if not self._decommissioner.is_deleted(machine_id):
                machine = host.add_machine(machine_id, kind)
                log.debug("machine %s rented: %s in %s, %s", machine_id, kind.type, kind.zone, market)
                host.store_machine(machine)
