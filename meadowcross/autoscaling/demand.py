"""Tracks the demand of the queue for machines that do not exist yet."""

from __future__ import annotations

from meadowcross.autoscaling.context import AutoscalerContext
from meadowcross.autoscaling.machine_kinds import find_expensive_kinds, requires_expensive_kind
from meadowcross.autoscaling.sizing import CapacityDemand, mark_at_risk
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.types import MachineKind, Seconds
from meadowcross.jobs.messages import JobSpec
from meadowcross.placement.model import PendingJob, QuotaHeadroom, queue_order


class DemandTracker:
    """The current demands in queue order, and the last instants with any demand and with one at risk."""

    def __init__(self, context: AutoscalerContext) -> None:
        self._context = context
        self.demands: list[CapacityDemand] = []
        self.expensive_kinds: set[MachineKind] = set()
        self.last_demand_at = 0.0
        self.last_at_risk_at = 0.0

    def update_expensive_kinds(self) -> None:
        """Determine the expensive kinds; no kind is expensive if jobs may not wait for cheaper capacity."""
        if self._context.is_cost_sensitive:
            multiple = self._context.operator.dear_multiple
            self.expensive_kinds = find_expensive_kinds(self._context.machine_types(), multiple)

    def requires_expensive_kind(self, spec: JobSpec) -> bool:
        """Return whether only expensive kinds may run the job."""
        return requires_expensive_kind(spec, self._context.machine_types(), self.expensive_kinds)

    def update(self) -> None:
        """Compute the demands of the queue within the teams' quotas, and mark those at risk."""
        context = self._context
        view = context.host.scheduling_view
        cpus = sum(
            machine.machine_type.cpus
            for machine in context.machines().values()
            if machine.machine_type is not None and machine.decommission_reason is None
        )
        headroom_by_team = view.quota_headroom()
        self.demands = []
        slacks_s: list[Seconds] = []
        for pending_job in sorted(view.pending_jobs(), key=queue_order):
            with ErrorBoundary("computing demand", job=pending_job.job_id):
                demand = _demand_of(pending_job, headroom_by_team[pending_job.spec.team])
                if demand is not None:
                    self.demands.append(demand)
                    # A late start counts like a late end: expensive machines may be used for either objective.
                    slacks_s.append(min(pending_job.slack_s, pending_job.start_slack_s))
        shortest_boot_s = min(
            (context.expected_boot_s(machine_type) for machine_type in context.machine_types()), default=0.0
        )
        mark_at_risk(self.demands, slacks_s, cpus, shortest_boot_s)

    def record_times(self) -> None:
        """Record the current instant if there are demands, and if one is at risk."""
        now = self._context.now
        if any(demand.is_at_risk for demand in self.demands):
            self.last_at_risk_at = now
        if self.demands:
            self.last_demand_at = now

    def import_at_risk_age(self, age_s: Seconds) -> None:
        """Import the time since the previous leader had a demand at risk."""
        self.last_at_risk_at = max(self.last_at_risk_at, self._context.now - age_s)


def _demand_of(pending_job: PendingJob, headroom: QuotaHeadroom) -> CapacityDemand | None:
    """Return the job's demand within its team's quota, which it uses up; None if the quota allows no task."""
    count = min(pending_job.task_count, headroom.max_tasks(pending_job.spec))
    headroom.consume(pending_job.spec, count)
    if count == 0:
        return None
    placed_by_zone = pending_job.count_siblings_by_zone()
    return CapacityDemand(pending_job.spec, count, pending_job.expected_run_s, placed_by_zone=placed_by_zone)
