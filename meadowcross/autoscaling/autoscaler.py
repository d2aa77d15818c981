"""The leader's autoscaler: creates and deletes machines to match the demand, and decommissions failed ones."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.task import LoopingCall

from meadowcross.autoscaling.boot_times import BootTimeEstimator
from meadowcross.autoscaling.cloud import CloudClient
from meadowcross.autoscaling.context import AutoscalerContext, AutoscalerHost
from meadowcross.autoscaling.decommissioning import Decommissioner
from meadowcross.autoscaling.demand import DemandTracker
from meadowcross.autoscaling.incoming_capacity import TaskCompletionForecast
from meadowcross.autoscaling.kind_availability import KindAvailability
from meadowcross.autoscaling.machine_checks import MachineChecker
from meadowcross.autoscaling.machine_list import MachineListReconciler
from meadowcross.autoscaling.messages import MachineType
from meadowcross.autoscaling.scale_in import ScaleIn
from meadowcross.autoscaling.scale_out import ScaleOut
from meadowcross.common.clock import Clock
from meadowcross.common.error_boundary import ErrorBoundary
from meadowcross.common.settings import OperatorSettings, Settings
from meadowcross.common.types import Instant, MachineId, MachineKind, Seconds
from meadowcross.jobs.objectives import may_wait_for_cheaper_capacity
from meadowcross.workers.machine import Machine

TICK_INTERVAL_S: Seconds = 1.0


class AutoscalerState(NamedTuple):
    """State that a leader exports for its successor."""

    boot_samples: dict[str, list[tuple[Seconds, Seconds]]]
    """By machine type: the age and the duration of each recent boot."""
    unavailable: list[tuple[MachineKind, Seconds]]
    """Kinds that had no capacity, and the remaining time for which they are not requested."""
    at_risk_age_s: Seconds
    """Time since a demand was at risk."""


class Autoscaler:
    """Creates the parts of the autoscaler, and runs them once a second while the leader lease is valid."""

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        operator: OperatorSettings,
        cloud: CloudClient,
        machine_types: Callable[[], list[MachineType]],
        host: AutoscalerHost,
    ) -> None:
        self._host = host
        self._ticker = LoopingCall(self.tick)
        self._ticker.clock = clock  # type: ignore[assignment]
        self.boot_times = BootTimeEstimator()
        self._context = context = AutoscalerContext(
            clock=clock,
            facts=settings.facts,
            operator=operator,
            machine_types=machine_types,
            host=host,
            ticker=self._ticker,
            boot_times=self.boot_times,
            is_cost_sensitive=may_wait_for_cheaper_capacity(settings.facts.objectives),
            started_at=Instant(clock.seconds()),
        )
        completions = TaskCompletionForecast(host.job_table, host.run_time_estimator)
        self.kind_availability = availability = KindAvailability(clock)
        self._demand = demand = DemandTracker(context)
        self._decommissioner = Decommissioner(context, cloud, availability, completions)
        self._machine_list = MachineListReconciler(context, cloud, self._decommissioner)
        self._machine_checker = MachineChecker(context, self._decommissioner)
        self._scale_in = ScaleIn(context, demand, self._decommissioner)
        self._scale_out = ScaleOut(context, cloud, demand, availability, completions, self._decommissioner)

    def start(self) -> None:
        """Start ticking; the first tick runs at once."""
        self._context.started_at = self._context.now
        self._scale_out.start()
        self._ticker.start(TICK_INTERVAL_S)

    def stop(self) -> None:
        """Stop ticking. Requests in flight end by themselves, and their responses are ignored."""
        if self._ticker.running:
            self._ticker.stop()

    def export_state(self) -> AutoscalerState:
        """Return the state that the next leader imports."""
        now = self._context.now
        return AutoscalerState(
            self.boot_times.export_samples(now),
            self.kind_availability.export_state(),
            now - self._demand.last_at_risk_at,
        )

    def import_state(
        self,
        boot_samples: dict[str, list[tuple[Seconds, Seconds]]],
        unavailable: list[tuple[MachineKind, Seconds]],
        at_risk_age_s: Seconds | None,
    ) -> None:
        """Import the previous leader's state, as in `AutoscalerState`; an age of None is unknown."""
        self.boot_times.import_samples(boot_samples, self._context.now)
        self.kind_availability.import_state(unavailable)
        if at_risk_age_s is not None:
            self._demand.import_at_risk_age(at_risk_age_s)

    def is_deleted(self, machine: MachineId) -> bool:
        """Return whether the machine was deleted in this term."""
        return self._decommissioner.is_deleted(machine)

    def is_kind_available(self, kind: MachineKind) -> bool:
        """Return whether the kind may be requested: no recent request for it failed."""
        return self.kind_availability.is_available(kind)

    def on_machine_up(self, machine: Machine) -> None:
        """Record the boot time of a machine that has sent its first heartbeat to any leader."""
        if machine.machine_type is not None:
            now = self._context.now
            self.boot_times.record_boot(machine.machine_type, now - machine.created_at, now)

    def on_new_job(self) -> None:
        """Schedule a scale-out for a new job before the next tick."""
        self._scale_out.on_new_job()

    def decommission(self, machine: Machine, reason: str) -> None:
        """Take the machine out of use and delete it; the deletion proves that its tasks are gone."""
        self._decommissioner.decommission(machine, reason)

    def tick(self) -> None:
        """Run all steps; one that fails does not keep the others from running, and is tried again at the next tick."""
        if not self._host.has_valid_lease():
            # Another node may lead and receive the heartbeats: without heartbeats here, machines may still be busy.
            return
        with ErrorBoundary("computing demands") as demand_boundary:
            self._demand.update_expensive_kinds()
            self._demand.update()
        with ErrorBoundary("checking machines"):
            self._machine_checker.check()
        # Without the demands, machines that jobs wait for would count as idle.
        if not demand_boundary.has_failed:
            with ErrorBoundary("scaling in"):
                self._scale_in.run()
        with ErrorBoundary("deleting machines"):
            self._decommissioner.delete_decommissioned()
        if not demand_boundary.has_failed:
            with ErrorBoundary("scaling out"):
                self._scale_out.run()
        with ErrorBoundary("reading the machine list"):
            self._machine_list.refresh_if_due()
