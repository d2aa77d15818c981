"""Machines taken out of use, until the cloud has deleted them."""

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


class Decommissioner:
    """Takes machines out of use and deletes them. Only a deletion that the cloud confirmed proves their tasks gone."""

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

    def decommission(self, machine: Machine, reason: str, is_only_silent: bool = False) -> None:
        """Take the machine out of use, to be deleted.

        If it is `is_only_silent`, it is taken back when it is heard again and the cloud has not deleted it.
        """
        if machine.decommission_reason is None:
            log.info("machine %s condemned with %d tasks: %s", machine.id, len(machine.placements), reason)
            machine.decommission_reason = reason
            machine.is_decommissioned_for_silence = is_only_silent

    def delete_decommissioned(self) -> None:
        """Begin to delete what is decommissioned, as many as one request takes, but for what is heard again."""
        to_delete = [
            machine.id
            for machine in self._context.machines().values()
            if machine.decommission_reason is not None
            and machine.id not in self._deleting
            and not self._reinstate_if_heard(machine)
        ][:MAX_MACHINES_PER_DELETION]
        if to_delete:
            self._deleting.update(to_delete)
            Deferred.fromCoroutine(self._delete(to_delete))

    def _reinstate_if_heard(self, machine: Machine) -> bool:
        """Take a machine back that was only silent and is heard again.

        In an outage of the cloud a network partition ended first, and ten machines whose tasks ran on, or could have
        begun again beside their images, were deleted when the cloud was back.
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
        log.info("machine %s speaks again before it was deleted", machine.id)
        machine.decommission_reason, machine.is_decommissioned_for_silence = None, False
        return True

    async def _delete(self, machine_ids: list[MachineId]) -> None:
        try:
            await self._cloud.delete_machines(machine_ids)
        except CloudError as error:
            log.info("deletion of %s: %s", ", ".join(machine_ids), error)
            self._on_not_deleted(machine_ids, may_be_executed=not isinstance(error, CloudRequestRejectedError))
            return
        finally:
            self._deleting.difference_update(machine_ids)
        log.info("deleted %s", ", ".join(machine_ids))
        for machine_id in machine_ids:
            self._on_deleted(machine_id)
        while len(self._deleted) > MAX_REMEMBERED_DELETIONS:
            self._deleted.popitem(last=False)

    def _on_not_deleted(self, machine_ids: list[MachineId], may_be_executed: bool) -> None:
        for machine in map(self._context.machines().get, machine_ids):
            if machine is None:
                continue
            if may_be_executed:
                machine.is_decommissioned_for_silence = False
            if machine.placements:
                # An answer to a probe proves as much of its tasks as the deletion would.
                self._context.host.dispatcher.probe(machine.id)

    def _on_deleted(self, machine_id: MachineId) -> None:
        machine = self._context.machines().get(machine_id)
        if machine is not None and machine.is_up and machine.reclaim_at is None:
            # The cloud has room for such a machine again. Once 250 dead machines were deleted a second after a
            # refusal, and their kind was not asked for during ten more.
            self._availability.mark_available(machine.kind)
        self._deleted[machine_id] = None
        self._completions.forget(machine_id)
        if self._context.is_running:
            self._context.host.on_machine_deleted(machine_id)
