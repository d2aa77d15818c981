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
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, MachineId, MachineKind, Seconds

log = get_logger("fleet")

START_DELAY_S: Seconds = 1.0
"""Machines that an earlier leader created but did not store report within this time."""
NEW_JOB_DELAY_S: Seconds = 0.1
"""Shortest time from a new job to the scale-out for it."""
NEW_JOB_PAUSE_FACTOR = 9.0
"""Pause before a scale-out for new jobs, as a multiple of the last one's duration: many jobs may come per second."""
UNAVAILABLE_S: Seconds = 12.0
"""How long a kind without capacity is not requested."""
RETRY_AFTER_ERROR_S: Seconds = 2.0
"""How long a kind is not requested after a request without a usable response."""


class ScaleOut:
    """Sends requests for machines, at each tick and shortly after a new job."""

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
        self._earliest_run_at = context.started_at
        self._is_scheduled = False
        self._last_run_s: Seconds = 0.0

    def start(self) -> None:
        """Set the earliest instant of a scale-out.

        If machines are recorded, scaling out is delayed until machines that were created but not recorded have had time
        to report. If none is recorded, no such machine is likely, and scaling out starts at once.
        """
        delay_s = START_DELAY_S if self._context.machines() else 0.0
        self._earliest_run_at = Instant(self._context.now + delay_s)

    def on_new_job(self) -> None:
        """Schedule a scale-out for a new job, which may run before the next tick."""
        if not self._is_scheduled and self._context.is_running:
            self._is_scheduled = True
            delay_s = max(NEW_JOB_DELAY_S, NEW_JOB_PAUSE_FACTOR * self._last_run_s)
            self._context.clock.callLater(delay_s, self._run_for_new_job)

    def _run_for_new_job(self) -> None:
        self._is_scheduled = False
        if not self._context.is_running or not self._context.host.has_valid_lease():
            return
        started_at = self._context.now
        with ErrorBoundary("scaling out for new jobs"):
            self._demand.update()
            self.run()
        self._last_run_s = self._context.now - started_at

    def run(self) -> None:
        """Request the machines that the demands need beyond the incoming capacity."""
        context, now = self._context, self._context.now
        machine_types = {
            machine_type.name: replace(machine_type, boot_s=context.expected_boot_s(machine_type))
            for machine_type in context.machine_types()
        }
        if not machine_types or not self._demand.demands or now < self._earliest_run_at:
            return
        unavailable = self._availability.unavailable_kinds()
        incoming = self._incoming_capacity(machine_types, now)
        for kind, machine_count in plan_scale_out(
            self._demand.demands, incoming, machine_types, unavailable, self._demand.expensive_kinds
        ):
            # All requests are sent at once: the client limits their rate.
            for offset in range(0, machine_count, MAX_MACHINES_PER_CREATION):
                self._send(ScaleOutRequest(kind, min(MAX_MACHINES_PER_CREATION, machine_count - offset)))

    def _incoming_capacity(self, machine_types: dict[str, MachineType], now: Instant) -> list[IncomingCapacity]:
        # Waiting for tasks to end only saves cost: once an array waited for minutes for tasks that were always about to
        # end, while half of the spot machines were still available.
        horizon_boots = COMPLETION_HORIZON_BOOTS if self._context.is_cost_sensitive else 0.0
        host = self._context.host
        collector = IncomingCapacityCollector(machine_types, self._context.boot_times, self._completions, now)
        return collector.collect(
            self._open_requests.values(), host.worker_registry, host.scheduling_view, horizon_boots
        )

    def _send(self, request: ScaleOutRequest) -> None:
        self._request_counter += 1
        # The token and the counter make the id unique: no node ever uses it again.
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
            log.info("no capacity request=%s kind=%s", request_id, kind)
            self._availability.mark_unavailable(kind, UNAVAILABLE_S)
            return
        except CloudError as error:
            # The request may have been executed: then its machines appear by their heartbeats and in the machine list.
            log.info("scale-out request failed request=%s error=%s", request_id, error)
            self._availability.mark_unavailable(kind, RETRY_AFTER_ERROR_S)
            return
        finally:
            del self._open_requests[request_id]
        log.info(
            "scale-out request executed request=%s count=%d requested=%d kind=%s",
            request_id,
            len(machine_ids),
            request.machine_count,
            kind,
        )
        if len(machine_ids) < request.machine_count:
            self._availability.mark_unavailable(kind, UNAVAILABLE_S)
        if self._context.is_running:
            self._add_machines(machine_ids, kind)

    def _add_machines(self, machine_ids: list[MachineId], kind: MachineKind) -> None:
        host = self._context.host
        market = "spot" if kind.spot else "on-demand"
        for machine_id in machine_ids:
            if not self._decommissioner.is_deleted(machine_id):
                machine = host.add_machine(machine_id, kind)
                log.debug("created machine=%s type=%s zone=%s market=%s", machine_id, kind.type, kind.zone, market)
                host.store_machine(machine)
