"""Reconciles the known machines with the cloud's machine list."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from meadowcross.autoscaling.cloud import CloudClient, CloudError
from meadowcross.autoscaling.context import AutoscalerContext
from meadowcross.autoscaling.decommissioning import Decommissioner
from meadowcross.autoscaling.messages import ListedMachine
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, MachineId

log = get_logger("fleet")

LIST_LAG_FACTOR = 1.5
"""The list is read again after this multiple of the lag that the cloud states for it, or after the minimum."""
MIN_LIST_INTERVAL_S = 2.0
"""Minimum time between the end of a read and the next one."""
MAX_ABSENCES = 3
"""Consecutive lists without a machine until it counts as vanished: a single list may be out of date."""
STATE_RUNNING = "running"
STATE_FAILED = "failed"


class MachineListReconciler:
    """Reads the cloud's machine list periodically: adds unknown machines, decommissions failed and vanished ones."""

    def __init__(self, context: AutoscalerContext, cloud: CloudClient, decommissioner: Decommissioner) -> None:
        self._context = context
        self._cloud = cloud
        self._decommissioner = decommissioner
        self._ever_listed_ids: set[MachineId] = set()
        self._absence_counts: dict[MachineId, int] = {}
        self._next_list_at = 0.0
        self._is_listing = False

    def refresh_if_due(self) -> None:
        """Start to read the list if it is due and no read is in progress."""
        if not self._is_listing and self._context.now >= self._next_list_at:
            self._is_listing = True
            Deferred.fromCoroutine(self._refresh())

    async def _refresh(self) -> None:
        try:
            machines = await self._cloud.list_machines()
            if self._context.is_running:
                self._apply(machines)
        except CloudError as error:
            log.info("reading the machine list failed error=%s", error)
        finally:
            self._is_listing = False
            lag_s = self._context.facts.cloud.list_lag_s
            self._next_list_at = self._context.now + max(MIN_LIST_INTERVAL_S, lag_s * LIST_LAG_FACTOR)

    def _apply(self, machines: list[ListedMachine]) -> None:
        now = self._context.now
        listed_ids = set()
        described_at: Instant | None = None
        for listed_machine in machines:
            listed_ids.add(listed_machine.id)
            known_machine = self._context.machines().get(listed_machine.id)
            if known_machine is not None and known_machine.is_creation_time_known:
                # The creation time of the machine and its age in the list give the instant that the list describes.
                described_at = Instant(max(described_at or 0.0, known_machine.created_at + listed_machine.age_s))
            if not self._decommissioner.is_deleted(listed_machine.id):
                with ErrorBoundary("applying a listed machine", machine=listed_machine.id):
                    self._apply_machine(listed_machine, now)
        self._context.host.on_cloud_list(described_at)
        self._ever_listed_ids.update(listed_ids)
        self._decommission_vanished(listed_ids)

    def _apply_machine(self, listed_machine: ListedMachine, now: Instant) -> None:
        host = self._context.host
        is_new = listed_machine.id not in self._context.machines()
        machine = host.add_machine(listed_machine.id, listed_machine.kind)
        if is_new:
            # It was created for an earlier leader, or by a request executed late; it is used, or deleted when idle.
            log.info("unknown machine listed machine=%s state=%s", listed_machine.id, listed_machine.state)
            machine.created_at = Instant(now - listed_machine.age_s)
        if listed_machine.addr is not None and machine.address is None and listed_machine.state == STATE_RUNNING:
            machine.address = listed_machine.addr
            host.dispatcher.probe(machine.id)
        if not machine.is_stored:
            host.store_machine(machine)
        if listed_machine.state == STATE_FAILED:
            self._decommissioner.decommission(machine, "listed as failed")

    def _decommission_vanished(self, listed_ids: set[MachineId]) -> None:
        """Decommission silent machines that were listed before and are absent from several lists in a row."""
        for machine in self._context.machines().values():
            if machine.id in listed_ids or machine.id not in self._ever_listed_ids:
                self._absence_counts.pop(machine.id, None)
                continue
            absence_count = self._absence_counts[machine.id] = self._absence_counts.get(machine.id, 0) + 1
            if absence_count >= MAX_ABSENCES and self._context.host.scheduling_view.is_silent(machine):
                self._decommissioner.decommission(machine, "missing from the machine list")
