"""Scaling in: drains machines that the current load does not need, and decommissions idle ones."""

from __future__ import annotations

from meadowcross.autoscaling.context import AutoscalerContext
from meadowcross.autoscaling.decommissioning import Decommissioner
from meadowcross.autoscaling.demand import DemandTracker
from meadowcross.autoscaling.machine_kinds import kind_price
from meadowcross.autoscaling.sizing import MIN_CHARGE_S
from meadowcross.autoscaling.surplus import MachineUsage, select_surplus_machines
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.logging import get_logger
from meadowcross.common.types import Seconds
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.model import is_kind_allowed
from meadowcross.workers.eviction import plan_drain_evictions
from meadowcross.workers.machine import Machine

log = get_logger("fleet")


class ScaleIn:
    """Decides which machines to drain, and decommissions idle ones.

    If jobs may not wait for cheaper capacity, no machine is drained and no kind is expensive: once the machines that a
    site had from its start were deleted one by one as expensive, while its low-priority jobs waited for capacity.
    """

    def __init__(self, context: AutoscalerContext, demand: DemandTracker, decommissioner: Decommissioner) -> None:
        self._context = context
        self._demand = demand
        self._decommissioner = decommissioner

    def run(self) -> None:
        """Update which machines are draining, and decommission those that were idle for long enough."""
        self._demand.record_times()
        self._update_draining()
        for machine in self._context.machines().values():
            if machine.is_up and not machine.placements and machine.decommission_reason is None:
                with ErrorBoundary("checking an idle machine", machine=machine.id):
                    self._decommission_if_idle(machine)

    def _update_draining(self) -> None:
        """Drain surplus machines if no demand was recent, expensive ones if no demand at risk was recent, else none."""
        context, demand = self._context, self._demand
        now, drain_after_s = context.now, context.operator.drain_after_s
        if context.is_cost_sensitive and now - demand.last_demand_at > drain_after_s:
            self._drain_surplus()
        elif now - demand.last_at_risk_at > drain_after_s:
            self._drain_expensive()
        else:
            for machine in context.machines().values():
                machine.is_draining = False

    def _drain_surplus(self) -> None:
        """Drain the machines that the current load does not need, and evict their checkpointable tasks."""
        view = self._context.host.scheduling_view
        usages = [
            MachineUsage(
                machine.id,
                machine.machine_type.cpus,
                machine.usage.cpus,
                machine.machine_type.memory_gb,
                machine.usage.memory_gb,
                kind_price(machine.kind, machine.machine_type),
            )
            for machine in self._context.machines().values()
            if machine.machine_type is not None and (machine.is_draining or view.is_schedulable(machine))
        ]
        surplus = set(select_surplus_machines(usages, self._context.operator.spare_percent / 100))
        for machine in self._context.machines().values():
            if machine.is_draining != (machine.id in surplus):
                machine.is_draining = not machine.is_draining
                log.debug("draining changed machine=%s draining=%s", machine.id, machine.is_draining)
            if machine.is_draining:
                with ErrorBoundary("evicting tasks of a draining machine", machine=machine.id):
                    self._evict_checkpointable(machine)

    def _evict_checkpointable(self, machine: Machine) -> None:
        host = self._context.host
        is_expensive = machine.kind in self._demand.expensive_kinds
        for placement, grace_s in plan_drain_evictions(
            machine, host.job_table, host.run_time_estimator, self._context.now
        ):
            spec = host.job_table.jobs[placement.task.job].spec
            # A task that only expensive kinds may run is not evicted, as it would be placed on such a kind again.
            if not is_expensive or not self._demand.requires_expensive_kind(spec):
                host.stop_task(placement, grace_s)

    def _drain_expensive(self) -> None:
        """Drain the expensive machines that no waiting or running task requires."""
        demand = self._demand
        waiting_specs = [
            capacity_demand.spec
            for capacity_demand in demand.demands
            if demand.requires_expensive_kind(capacity_demand.spec)
        ]
        for machine in self._context.machines().values():
            machine.is_draining = (
                machine.kind in demand.expensive_kinds
                and machine.is_up
                and not self._is_required(machine, waiting_specs)
            )

    def _is_required(self, machine: Machine, waiting_specs: list[JobSpec]) -> bool:
        """Return whether a waiting job, or one with tasks on this machine, may not run on a cheaper kind.

        Once every on-demand machine was drained as expensive, and jobs that may use no other kind waited forever.
        """
        jobs = self._context.host.job_table.jobs
        job_ids = {placement.task.job for placement in machine.placements.values()}
        running_specs = [job.spec for job_id in job_ids if (job := jobs.get(job_id)) is not None]
        return any(is_kind_allowed(spec, machine.kind) for spec in waiting_specs) or any(
            self._demand.requires_expensive_kind(spec) for spec in running_specs
        )

    def _decommission_if_idle(self, machine: Machine) -> None:
        """Decommission a machine without tasks after its idle timeout and the minimum charge of the cloud."""
        if machine.reported.orphaned:
            return
        now = self._context.now
        idle_s = now - machine.idle_since
        timeout_s = 0.0
        if not machine.is_draining or machine.kind not in self._demand.expensive_kinds:
            timeout_s = self._idle_timeout_s(machine)
        may_decommission = machine.is_draining or not self._demand.demands
        if may_decommission and idle_s >= timeout_s and now - machine.created_at >= MIN_CHARGE_S:
            self._decommissioner.decommission(machine, f"idle for {idle_s:.0f} s")

    def _idle_timeout_s(self, machine: Machine) -> Seconds:
        """Return how long an idle machine is kept.

        If cost counts, it is kept for `idle_keep_boots` boot times: keeping it may cost as much as the boot of a
        replacement. Else it is kept for `ready_keep_s`, while more jobs of some class are likely to be submitted.
        """
        operator = self._context.operator
        if not self._context.is_cost_sensitive:
            return operator.ready_keep_s
        machine_type = machine.machine_type
        boot_s = self._context.expected_boot_s(machine_type) if machine_type is not None else 0.0
        return operator.idle_keep_boots * boot_s
