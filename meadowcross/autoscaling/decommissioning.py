"""Takes machines out of use and deletes them in the cloud."""

from __future__ import annotations

from collections import OrderedDict

from twisted.internet.defer import Deferred

from meadowcross.autoscaling.cloud import CloudClient, CloudError, CloudRequestRejectedError
from meadowcross.autoscaling.context import AutoscalerContext
from meadowcross.autoscaling.incoming_capacity import TaskCompletionForecast
from meadowcross.autoscaling.kind_availability import KindAvailability
from meadowcross.autoscaling.messages import MAX_MACHINES_PER_DELETION
from meadowcross.common.logging import get_logger
from meadowcross.common.types import MachineId
from meadowcross.workers.machine import Machine

log = get_logger("fleet")

MAX_REMEMBERED_DELETIONS = 5_000
"""Ids of deleted machines to keep; the oldest are dropped."""


class Decommissioner:
    """Decommissions machines; only a deletion that the cloud confirmed proves that their tasks are gone."""

    def __init__(
        self,
        context: AutoscalerContext,
        cloud: CloudClient,
        availability: KindAvailability,
        completions: TaskCompletionForecast,
    ) -> None:
        self._context = context
        self._cloud = cloud
        self._availability = availability
        self._completions = completions
        self._deleted: OrderedDict[MachineId, None] = OrderedDict()
        self._deleting: set[MachineId] = set()

    def is_deleted(self, machine: MachineId) -> bool:
        """Return whether the machine was deleted in this term."""
        return machine in self._deleted

    def decommission(self, machine: Machine, reason: str, is_silence_only: bool = False) -> None:
        """Take the machine out of use and delete it at a later tick; no effect if it is decommissioned already.

        With `is_silence_only` the machine is reinstated if it reports again before a deletion may have been executed.
        """
        if machine.decommission_reason is None:
            log.info("decommissioning machine=%s tasks=%d reason=%s", machine.id, len(machine.placements), reason)
            machine.decommission_reason = reason
            machine.is_decommissioned_for_silence = is_silence_only

    def delete_decommissioned(self) -> None:
        """Start to delete decommissioned machines, as many as fit into one request.

        Machines that were decommissioned only for their silence and report again are reinstated.
        """
        to_delete = [
            machine.id
            for machine in self._context.machines().values()
            if machine.decommission_reason is not None
            and machine.id not in self._deleting
            and not self._reinstate_if_reporting(machine)
        ][:MAX_MACHINES_PER_DELETION]
        if to_delete:
            self._deleting.update(to_delete)
            Deferred.fromCoroutine(self._delete(to_delete))

    def _reinstate_if_reporting(self, machine: Machine) -> bool:
        """Reinstate a machine that was decommissioned only for its silence and reports again; return whether it was.

        During an outage of the cloud a network partition ended first; ten machines whose tasks were still running, or
        that had the images to restart them, were deleted when the cloud was back.
        """
        host = self._context.host
        if (
            not machine.is_decommissioned_for_silence
            or not machine.proof.has_confirmed_token
            or host.scheduling_view.is_silent(machine)
        ):
            return False
        if machine.contact.unresponsive_since is not None:
            host.dispatcher.probe(machine.id)
            return False
        log.info("reinstating machine that reports again machine=%s", machine.id)
        machine.decommission_reason, machine.is_decommissioned_for_silence = None, False
        return True

    async def _delete(self, machine_ids: list[MachineId]) -> None:
        try:
            await self._cloud.delete_machines(machine_ids)
        except CloudError as error:
            log.info("deleting machines failed machines=%s error=%s", ", ".join(machine_ids), error)
            self._on_not_deleted(machine_ids, may_still_execute=not isinstance(error, CloudRequestRejectedError))
            return
        finally:
            self._deleting.difference_update(machine_ids)
        log.info("deleted machines=%s", ", ".join(machine_ids))
        for machine_id in machine_ids:
            self._on_deleted(machine_id)
        while len(self._deleted) > MAX_REMEMBERED_DELETIONS:
            self._deleted.popitem(last=False)

    def _on_not_deleted(self, machine_ids: list[MachineId], may_still_execute: bool) -> None:
        for machine in map(self._context.machines().get, machine_ids):
            if machine is None:
                continue
            if may_still_execute:
                machine.is_decommissioned_for_silence = False
            if machine.placements:
                # A response to a probe proves as much about its tasks as the deletion would.
                self._context.host.dispatcher.probe(machine.id)

    def _on_deleted(self, machine_id: MachineId) -> None:
        machine = self._context.machines().get(machine_id)
        if machine is not None and machine.is_up and machine.reclaim_at is None:
            # The cloud has capacity for this kind again. Once 250 failed machines were deleted one second after a
            # refusal, and their kind was not requested for ten more seconds.
            self._availability.mark_available(machine.kind)
        self._deleted[machine_id] = None
        self._completions.forget(machine_id)
        if self._context.is_running:
            self._context.host.on_machine_deleted(machine_id)
