"""Reconciles the known machines with the cloud's list of machines."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from meadowcross.autoscaling.cloud import CloudClient, CloudError
from meadowcross.autoscaling.context import AutoscalerContext
from meadowcross.autoscaling.decommissioning import Decommissioner
from meadowcross.autoscaling.messages import ListedMachine
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Instant, MachineId

log = get_logger("fleet")

LIST_LAG_FACTOR = 1.5
"""A list is asked for after so many times the lag that the cloud states for it."""
MIN_LIST_INTERVAL_S = 2.0
MAX_ABSENCES = 3
"""A list may be older than the one before, so a single absence of a machine means nothing."""
STATE_RUNNING = "running"
STATE_FAILED = "failed"


class MachineListReconciler:
    """Reads the cloud's machine list from time to time: finds unknown, failed and vanished machines."""

    def __init__(self, context: AutoscalerContext, cloud: CloudClient, decommissioner: Decommissioner) -> None:
        self._context = context
        self._cloud = cloud
        self._decommissioner = decommissioner
        self._listed: set[MachineId] = set()
        self._absences: dict[MachineId, int] = {}
        self._next_list_at = 0.0
        self._is_listing = False

    def refresh_if_due(self) -> None:
        """Begin to read the list, if it is time to and it is not being read."""
        if not self._is_listing and self._context.now >= self._next_list_at:
            self._is_listing = True
            Deferred.fromCoroutine(self._refresh())

    async def _refresh(self) -> None:
        try:
            machines = await self._cloud.list_machines()
            if self._context.is_running:
                self._apply(machines)
        except CloudError as error:
            log.info("machine list: %s", error)
        finally:
            self._is_listing = False
            lag_s = self._context.facts.cloud.list_lag_s
            self._next_list_at = self._context.now + max(MIN_LIST_INTERVAL_S, lag_s * LIST_LAG_FACTOR)

    def _apply(self, machines: list[ListedMachine]) -> None:
        now = self._context.now
        listed_ids = set()
        described_at: Instant | None = None
        for listed in machines:
            listed_ids.add(listed.id)
            known = self._context.machines().get(listed.id)
            if known is not None and known.is_rental_time_known:
                # The machine's age in the list tells what time the list describes.
                described_at = Instant(max(described_at or 0.0, known.rented_at + listed.age_s))
            if not self._decommissioner.is_deleted(listed.id):
                self._apply_machine(listed, now)
        self._context.host.on_cloud_list(described_at)
        self._listed.update(listed_ids)
        self._decommission_vanished(listed_ids)

    def _apply_machine(self, listed: ListedMachine, now: Instant) -> None:
        host = self._context.host
        is_new = listed.id not in self._context.machines()
        machine = host.add_machine(listed.id, listed.kind)
        if is_new:
            # Created for an earlier leader, or by a request executed late: it is used, or returned.
            log.info("machine %s found in the list: %s", listed.id, listed.state)
            machine.rented_at = Instant(now - listed.age_s)
        if listed.addr is not None and machine.address is None and listed.state == STATE_RUNNING:
            machine.address = listed.addr
            host.dispatcher.probe(machine.id)
        if not machine.is_stored:
            host.store_machine(machine)
        if listed.state == STATE_FAILED:
            self._decommissioner.decommission(machine, "the cloud lists it as failed")

    def _decommission_vanished(self, listed_ids: set[MachineId]) -> None:
        """Give up silent machines that were listed before and are absent from several lists in a row."""
        for machine in self._context.machines().values():
            if machine.id in listed_ids or machine.id not in self._listed:
                self._absences.pop(machine.id, None)
                continue
            absences = self._absences[machine.id] = self._absences.get(machine.id, 0) + 1
            if absences >= MAX_ABSENCES and self._context.host.scheduling_view.is_silent(machine):
                self._decommissioner.decommission(machine, "it left the machine list")
